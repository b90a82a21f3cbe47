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

// Count is what one class of one failure domain did; every field only grows.
type Count struct {
	Offered, Admitted, Refused atomic.Int64
	// Weighted is the sum of the weights of admitted requests.
	Weighted atomic.Int64
}

// Counts holds a Count per class and failure domain in one flat table.
type Counts struct {
	table [MaxClasses * MaxDomains]Count
}

// At returns the count of a class and failure domain; numbers beyond the table share its last row.
func (c *Counts) At(class Class, domain Domain) *Count {
	class = min(max(class, 0), MaxClasses-1)
	domain = min(max(domain, 0), MaxDomains-1)
	return &c.table[int(class)*MaxDomains+int(domain)]
}
