package admission

import "sync/atomic"

// Class is the index of a class of requests within one service. Classes share the queue in proportion to their weights.
type Class int

// Domain is the index of the failure domain that a request comes from.
type Domain int

// Dimensions of CounterTable.
const (
	MaxClasses = 16
	MaxDomains = 16
)

// Counters counts the requests of one class and failure domain. All fields are cumulative and never reset.
type Counters struct {
	Offered, Admitted, Refused atomic.Int64
	// Weighted is the sum of the weights of the admitted requests.
	Weighted atomic.Int64
}

// CounterTable holds the Counters of every class and failure domain. It is a fixed array, so that counting allocates
// nothing.
type CounterTable struct {
	counters [MaxClasses * MaxDomains]Counters
}

// At returns the counters of a class and failure domain. Indices outside the table are clamped to its bounds.
func (c *CounterTable) At(class Class, domain Domain) *Counters {
	class = min(max(class, 0), MaxClasses-1)
	domain = min(max(domain, 0), MaxDomains-1)
	return &c.counters[int(class)*MaxDomains+int(domain)]
}
