package gateway

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"briarcroft/internal/record"
	"briarcroft/internal/roster"
)

// errEvacuated reports that nothing was sent to a target because its failure domain is evacuated.
var errEvacuated = namespace.NewType("evacuated")

// evacuations holds which failure domains are evacuated on this host, and when former evacuations ended.
type evacuations struct {
	mu sync.Mutex
	// began and ended hold the times by domain. A domain is in began only while it is evacuated, and then not in ended.
	began, ended map[string]time.Duration
}

// apply takes over the set of evacuated domains and returns those that were added and removed, in order.
func (e *evacuations) apply(now time.Duration, evacuated map[string]bool) (added, removed []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, domain := range slices.Sorted(maps.Keys(evacuated)) {
		if _, known := e.began[domain]; !known {
			added = append(added, domain)
			e.began[domain] = now
			delete(e.ended, domain)
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(e.began)) {
		if !evacuated[domain] {
			removed = append(removed, domain)
			delete(e.began, domain)
			e.ended[domain] = now
		}
	}
	return added, removed
}

// endedAt returns when the last evacuation of a domain ended; zero if there was none or one is in force.
func (e *evacuations) endedAt(domain string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ended[domain]
}

// applyEvacuations records which evacuations have begun and ended with a view of the store, and returns the domains of those that have
// ended. The caller holds applyMu.
func (g *Gateway) applyEvacuations(v *roster.View) (ended []string) {
	age := g.knowledgeAge()
	added, removed := g.evacuations.apply(g.now(), v.Evacuated)
	for kind, domains := range map[record.Kind][]string{record.EvacuationBegan: added, record.EvacuationEnded: removed} {
		for _, domain := range domains {
			g.records.Add(record.Record{
				Kind: kind, Cause: "Store", Note: g.chain.Number(),
				Evidence: record.Evidence{Detail: fmt.Sprintf("domain %s, knowledge of the store %v old", domain, age.Round(time.Millisecond))},
			})
		}
	}
	return removed
}

// evacuated reports whether a target must get no requests because its failure domain is evacuated. While any domain is, this includes
// targets that this host does not know: they may be there.
func (g *Gateway) evacuated(target string) bool {
	t, found := g.findTarget(target)
	if !found {
		return len(g.roster.View().Evacuated) > 0
	}
	return t.Evacuated
}

// maySend returns nil if a request may be sent to a target now. Errors are errBlocked and errEvacuated.
func (g *Gateway) maySend(target string) error {
	switch {
	case g.evacuated(target):
		return errEvacuated.New("the failure domain of target %s is evacuated", target)
	case g.said(target).Blocked(g.now()):
		return errBlocked.New("target %s has said that it wants no requests", target)
	}
	return nil
}

// evacuationStatus is what the status page tells of an evacuated failure domain.
type evacuationStatus struct {
	Domain string
	// Milliseconds is how long ago this host learned of the evacuation. Running is the number of requests that it has running on
	// targets of the domain.
	Milliseconds int64
	Running      int
}

// evacuationStatuses returns the evacuated domains in order.
func (g *Gateway) evacuationStatuses() []evacuationStatus {
	now := g.now()
	g.evacuations.mu.Lock()
	began := maps.Clone(g.evacuations.began)
	g.evacuations.mu.Unlock()
	statuses := []evacuationStatus{}
	for _, domain := range slices.Sorted(maps.Keys(began)) {
		statuses = append(statuses, evacuationStatus{domain, (now - began[domain]).Milliseconds(), g.runningIn(domain)})
	}
	return statuses
}

// runningIn returns the number of requests that this host has running on the registered targets of a failure domain.
func (g *Gateway) runningIn(domain string) int {
	running := 0
	for name, t := range *g.registered.Load() {
		if t.Domain == domain {
			running += g.pools.busy(name, t.Address)
		}
	}
	return running
}
