package placement

import (
	"math"
	"time"
)

// Delays after which refused callers are told to retry.
const (
	minRetryDelay = 50 * time.Millisecond
	// noTargetsRetryDelay applies while the service has no available target.
	noTargetsRetryDelay = 300 * time.Millisecond
	// evacuatedRetryDelay applies while all targets are evacuated, which lasts until an operator ends it.
	evacuatedRetryDelay = time.Second
	// retryDelaySpread is the largest jitter, relative to the delay.
	retryDelaySpread = 0.5
)

// goldenRatio is the step of a low-discrepancy sequence: its multiples modulo 1 cover the unit interval evenly, however
// many there are.
var goldenRatio = (math.Sqrt(5) - 1) / 2

// retryAfter returns the delay after which a refused caller should retry. For a request that was refused because of
// load it is about the time in which the current queue is served, for one in quarantine what remains of that; for other
// reasons it is fixed. Jitter is added, so that callers refused together do not retry together, except for quarantined
// requests.
func (h *Home) retryAfter(now time.Duration, r *Request, reason Reason) time.Duration {
	h.refusals++
	_, fraction := math.Modf(float64(h.refusals) * goldenRatio)
	delay := minRetryDelay
	switch reason {
	case ReasonQuarantined:
		quarantined, _ := h.quarantined(now, r)
		return quarantined.Remaining
	case ReasonTargetsPausing:
		left, _ := h.pauseLeft(now)
		delay = max(minRetryDelay, left)
	case ReasonNoTargets:
		delay = noTargetsRetryDelay
	case ReasonTargetsCold:
		delay = h.coldReturn(now)
	case ReasonTargetsEvacuated:
		delay = evacuatedRetryDelay
	case ReasonDeadlineCannotBeMet, ReasonRateLimited, ReasonRetryBudgetSpent:
		if slots := h.availableCapacity(now, h.serviceTime(r)); slots > 0 {
			delay = max(delay, time.Duration(float64(len(h.queue)+1)/slots*h.averagePace*float64(h.serviceTime(r))))
		}
	}
	return delay + time.Duration(retryDelaySpread*fraction*float64(delay))
}
