package admission

import "sync/atomic"

// Class is the number of a class within one service.
type Class int

// Domain is the number of a caller's failure domain.
type Domain int

// Sizes of the table of counts.
const (
	MaxClasses = 16
	MaxDomains = 16
)

// Counters is what one class of one failure domain did; every field only grows.
type Counters struct {
	Offered, Admitted, Refused atomic.Int64
	// Weighted is the sum of the weights of admitted requests.
	Weighted atomic.Int64
}

// CounterTable holds a Count per class and failure domain in one flat table.
type CounterTable struct {
	counters [MaxClasses * MaxDomains]Counters
}

// At returns the count of a class and failure domain; numbers beyond the table share its last row.
func (c *CounterTable) At(class Class, domain Domain) *Counters {
	class = min(max(class, 0), MaxClasses-1)
	domain = min(max(domain, 0), MaxDomains-1)
	return &c.counters[int(class)*MaxDomains+int(domain)]
}
