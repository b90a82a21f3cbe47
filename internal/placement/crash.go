package placement

import "time"

// Limits of the quarantine for requests that crash targets.
const (
	crashesToQuarantine = 3
	quarantineTime      = 2 * time.Minute
	maxSuspects         = 4096
)

// suspect is a request that broke the connections of targets.
type suspect struct {
	targets map[string]bool
	last    time.Duration
}

// crashes finds requests that crash each target they run on, by their fingerprint.
type crashes map[uint64]*suspect

// broke notes that a target broke its connection while it ran the request.
func (c crashes) broke(now time.Duration, fingerprint uint64, name string) {
	if fingerprint == 0 {
		return
	}
	s := c[fingerprint]
	if s == nil {
		if len(c) >= maxSuspects {
			c.sweep(now)
		}
		s = &suspect{targets: map[string]bool{}}
		c[fingerprint] = s
	}
	s.targets[name] = true
	s.last = now
}

// answered clears the suspicion.
func (c crashes) answered(fingerprint uint64) { delete(c, fingerprint) }

// quarantined reports whether a request must not reach another target.
func (c crashes) quarantined(now time.Duration, fingerprint uint64) bool {
	s := c[fingerprint]
	return s != nil && len(s.targets) >= crashesToQuarantine && now-s.last < quarantineTime
}

// sweep forgets old suspects, and all of them if none is old.
func (c crashes) sweep(now time.Duration) {
	for fingerprint, s := range c {
		if now-s.last > quarantineTime {
			delete(c, fingerprint)
		}
	}
	if len(c) >= maxSuspects {
		clear(c)
	}
}
