package gateway

import (
	"math"
	"sync"

	"briarcroft/internal/note"
	"briarcroft/internal/placement"
	"briarcroft/internal/settings"
)

// secondRunLimit returns the limit on second runs of a service: that of the configuration or else that of the settings.
func secondRunLimit(s *settings.Settings, configured note.Service) placement.SecondRunLimit {
	choose := func(configured *float64, setting float64) float64 {
		switch {
		case configured != nil:
			return *configured
		case setting == settings.Unset:
			return math.Inf(1)
		}
		return setting
	}
	return placement.SecondRunLimit{Runs: choose(configured.SecondRuns, s.SecondRuns.Runs), Work: choose(configured.SecondRunWork, s.SecondRuns.Work), Window: s.Retries.Window}
}

// applySecondRuns sets the limit on second runs and the host's share of it; the caller holds h.mu.
func (h *serviceHome) applySecondRuns(primary bool, live int) {
	g := h.server.gateway
	limit := secondRunLimit(g.reloadable.Load(), h.configured)
	if !limit.IsSet() {
		h.home.SetSecondRuns(limit, 0)
		return
	}
	h.home.SetSecondRuns(limit, h.secondShare.Of(g.now(), limit.Window, primary, live, g.fleetSize()))
}

// secondRunStats adds up the counts of second runs of all services.
type secondRunStats struct {
	mu     sync.Mutex
	counts placement.SecondRunCounts
	// limited is set once a service has had a limit.
	limited bool
}

// add adds the counts of one service with a limit.
func (s *secondRunStats) add(c placement.SecondRunCounts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limited = true
	s.counts.Started += c.Started
	s.counts.Won += c.Won
	s.counts.Lost += c.Lost
	for i, n := range c.Refused {
		s.counts.Refused[i] += n
	}
}

// secondRunStatus is what the metrics page and the log show of second runs under a limit.
type secondRunStatus struct {
	Started, Won, Lost int64
	// Refused counts requests by the reason why they got no second run that would have been worthwhile.
	Refused map[string]int64
}

// status returns the counts, or nil if no service has had a limit.
func (s *secondRunStats) status() *secondRunStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.limited {
		return nil
	}
	status := &secondRunStatus{Started: s.counts.Started, Won: s.counts.Won, Lost: s.counts.Lost, Refused: map[string]int64{}}
	for i, n := range s.counts.Refused {
		if n > 0 {
			status.Refused[placement.SecondRunRefusal(i).String()] = n
		}
	}
	return status
}

// countSecondRuns adds the second runs of the service to the counters; the caller holds h.mu.
func (h *serviceHome) countSecondRuns() {
	if counts, limited := h.home.TakeSecondRuns(); limited {
		h.server.gateway.stats.secondRuns.add(counts)
	}
}
