package placement

import "time"

// Limits of the quarantine for requests that crash targets.
const (
	// crashesToQuarantine is the number of targets whose connection broke after which a request is quarantined.
	crashesToQuarantine = 3
	// quarantineTime is the duration of the quarantine after the last broken connection.
	quarantineTime = 2 * time.Minute
	// maxCrashSuspects limits the memory for suspects.
	maxCrashSuspects = 4096
)

// crashSuspect is a request of which at least one run ended with OutcomeConnectionBroke.
type crashSuspect struct {
	targets     map[string]bool
	lastCrashAt time.Duration
}

// crashTracker finds requests that crash every target they run on. Its keys are request fingerprints.
type crashTracker map[uint64]*crashSuspect

// recordConnectionBreak records that the connection to a target broke while the target ran the request. It reports whether
// the request is quarantined from now on.
func (c crashTracker) recordConnectionBreak(now time.Duration, fingerprint uint64, target string) bool {
	if fingerprint == 0 {
		return false
	}
	before := c.quarantined(now, fingerprint)
	s := c[fingerprint]
	if s == nil {
		if len(c) >= maxCrashSuspects {
			c.evict(now)
		}
		s = &crashSuspect{targets: map[string]bool{}}
		c[fingerprint] = s
	}
	s.targets[target] = true
	s.lastCrashAt = now
	return !before && c.quarantined(now, fingerprint)
}

// remove removes a request from the suspects, because a target has answered it.
func (c crashTracker) remove(fingerprint uint64) { delete(c, fingerprint) }

// quarantined reports whether a request must not be sent to any more targets.
func (c crashTracker) quarantined(now time.Duration, fingerprint uint64) bool {
	s := c[fingerprint]
	return s != nil && len(s.targets) >= crashesToQuarantine && now-s.lastCrashAt < quarantineTime
}

// evict removes suspects whose last crash is more than quarantineTime ago, or all suspects if that does not make room.
func (c crashTracker) evict(now time.Duration) {
	for fingerprint, s := range c {
		if now-s.lastCrashAt > quarantineTime {
			delete(c, fingerprint)
		}
	}
	if len(c) >= maxCrashSuspects {
		clear(c)
	}
}
