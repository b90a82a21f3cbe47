package placement

import "math"

// RateLimitChange reports that a target has begun to name a rate limit, or has stopped.
type RateLimitChange struct {
	Target string
	// PerSecond is the limit in requests per second, infinite if the target names none any more.
	PerSecond float64
}

// limited reports whether the target names a rate limit.
func (t *targetState) limited() bool { return !math.IsInf(t.rateLimit, 1) }

// recordRateLimit records the rate limit that a target has named.
func (h *Home) recordRateLimit(t *targetState, perSecond float64) {
	wasLimited := t.limited()
	t.rateLimit = perSecond
	if t.limited() != wasLimited && h.config.OnRateLimit != nil {
		h.config.OnRateLimit(RateLimitChange{t.Name, perSecond})
	}
}
