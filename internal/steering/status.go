package steering

import (
	"slices"
	"time"

	"briarcroft/internal/route"
)

// Eligible returns the targets that may get new requests, sorted.
func (s *Service) Eligible() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := s.admission.Router().Eligible(nil)
	slices.Sort(names)
	return names
}

// TargetStatus is the status of a target as this host sees it.
type TargetStatus struct {
	Target      string
	State       string
	InFlight    int
	Connections int
}

// Status is the status of a service on this host. Usual is its mean latency; Retries and Denied count the retries and
// hedges that its budget allowed and denied.
type Status struct {
	Service string
	Queued  int
	Usual   time.Duration
	Retries int64
	Denied  int64
	Targets []TargetStatus
	Counts  []CountStatus
}

// CountStatus is the request counts of one class and failure domain. Weighted is the sum of the admitted requests'
// weights.
type CountStatus struct {
	Class    string
	Domain   string
	Offered  int64
	Admitted int64
	Refused  int64
	Weighted int64
}

// Status returns the current status of the service.
func (s *Service) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	router := s.admission.Router()
	status := Status{Service: s.name, Queued: s.admission.Queued(), Usual: router.MeanLatency(), Retries: s.budget.Spent, Denied: s.budget.Denied}
	for i := range router.Size() {
		index := route.Index(i)
		t := TargetStatus{Target: router.Name(index), State: router.State(index).String(), InFlight: router.InFlight(index)}
		if pool := s.pools[t.Target]; pool != nil {
			t.Connections = pool.Usage().Open
		}
		status.Targets = append(status.Targets, t)
	}
	status.Counts = s.counts()
	return status
}

func (s *Service) counts() []CountStatus {
	var counts []CountStatus
	names := s.dispatcher.domains.names()
	for class, number := range s.classes {
		for domain, name := range names {
			c := s.admission.Counters.At(number, domain)
			if c.Offered.Load() == 0 {
				continue
			}
			counts = append(counts, CountStatus{class, name, c.Offered.Load(), c.Admitted.Load(), c.Refused.Load(), c.Weighted.Load()})
		}
	}
	return counts
}
