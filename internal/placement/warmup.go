package placement

import (
	"math"
	"time"
)

// Probes that show whether targets are cold.
const (
	// coldProbeInterval is the probe interval of a cold target, so that it is soon used fully when it is warm before its time.
	coldProbeInterval = 250 * time.Millisecond
	// warmProbeInterval is the least probe interval of a warm target that gets many requests.
	warmProbeInterval = 50 * time.Millisecond
	// maxColdReturn is the longest delay after which a caller is told to retry that was refused because all targets are cold: health
	// responses may show at any time that they are warm.
	maxColdReturn = time.Second
)

// WarmUp is what cold targets of a service take. It answers targets that come back together under load, and that become cold at any
// moment: each would crash under the requests that it takes when it is warm.
type WarmUp struct {
	// Rate is the number of requests per second that a cold target takes from all hosts together; zero means no limit.
	Rate float64
	// Bound is the number of requests that a cold target must not exceed in any one second, from all hosts together.
	Bound float64
}

// limit returns the rate limit of a cold target, in requests per second.
func (w WarmUp) limit() float64 { return min(w.Rate, w.Bound) }

// unconfirmedRuns returns how many requests a warm target may get after a health response before it is probed again. It may have become
// cold just after that response; what it has got when the next one shows this must leave room below the bound.
func (w WarmUp) unconfirmedRuns() int { return max(1, int((w.Bound-w.Rate)/2)) }

// WarmUpChange reports that a target has become cold or warm.
type WarmUpChange struct {
	Target string
	// Left is how much longer the target stays cold; zero means that it is warm.
	Left time.Duration
}

// SetWarmUp sets what cold targets take.
func (h *Home) SetWarmUp(w WarmUp) {
	if w != h.warmUp {
		h.warmUp, h.limitsVersion = w, 0
		h.nextWarm = 0
	}
}

// cold reports whether the target takes only few requests because it is cold.
func (t *targetState) cold() bool { return t.coldUntil > 0 }

// applyWarmUp takes over until when a target is cold, and returns the limit that results for it, in requests per second.
func (h *Home) applyWarmUp(now time.Duration, t *targetState) float64 {
	wasCold := t.cold()
	t.coldUntil = 0
	limit := math.Inf(1)
	if h.warmUp.Rate > 0 {
		if until := h.config.RateLimits.ColdUntil(t.limitKey()); now < until {
			t.coldUntil, limit = until, h.warmUp.limit()
			h.nextWarm = min(h.nextWarm, until)
		}
	}
	if t.cold() != wasCold && !h.fallback && h.config.OnWarmUp != nil {
		h.config.OnWarmUp(WarmUpChange{t.Name, max(0, t.coldUntil-now)})
	}
	return limit
}

// allCold reports whether all available targets are cold. Requests that they do not take at once are refused: to wait until they do would
// take longer than most callers have.
func (h *Home) allCold(now time.Duration) bool {
	if h.nextWarm == math.MaxInt64 {
		return false
	}
	any := false
	for _, t := range h.targets {
		if t.available(now) {
			if !t.cold() {
				return false
			}
			any = true
		}
	}
	return any
}

// coldReturn returns the delay after which there will be room for a refused request at targets that are all cold, behind the requests that
// were refused before it.
func (h *Home) coldReturn(now time.Duration) time.Duration {
	rate, warmIn := 0.0, maxColdReturn
	for _, t := range h.targets {
		if t.available(now) && t.cold() {
			rate += t.limiter.rate(h.limitShare)
			warmIn = min(warmIn, t.coldUntil-now)
		}
	}
	if rate > 0 {
		h.coldReturnAt = max(now, h.coldReturnAt) + time.Duration(float64(time.Second)/rate)
	}
	return max(minRetryDelay, min(h.coldReturnAt-now, warmIn))
}

// awaitWarmUpProbes marks the targets that must be probed next to learn whether they are cold.
func (h *Home) awaitWarmUpProbes(now time.Duration) {
	if h.warmUp.Rate <= 0 || !h.busy(now) {
		return
	}
	for _, t := range h.targets {
		since := now - t.probe.sentAt
		if t.cold() && since >= coldProbeInterval || t.unconfirmed >= h.warmUp.unconfirmedRuns() && since >= warmProbeInterval {
			t.probe.awaited, h.awaitsProbes = true, true
		}
	}
}
