package placement

import (
	"math"
	"time"
)

// Times of callers' returns.
const (
	// leastReturn is the shortest pause that callers are told to make.
	leastReturn = 50 * time.Millisecond
	// outageReturn is the pause while a service has no target.
	outageReturn = 300 * time.Millisecond
	// quarantineReturn is the pause for requests that crash targets.
	quarantineReturn = 5 * time.Second
	// returnSpread is how far, relative to the pause, returns are spread out.
	returnSpread = 0.5
)

// goldenRatio steps through the unit interval evenly, however many steps are taken.
var goldenRatio = (math.Sqrt(5) - 1) / 2

// retryAfter returns when a refused caller should come back: when those that wait now will have been served,
// spread out so that callers that were refused together don't return together.
func (h *Home) retryAfter(now time.Duration, r *Request, reason Reason) time.Duration {
	h.returns++
	_, place := math.Modf(float64(h.returns) * goldenRatio)
	pause := leastReturn
	switch reason {
	case ReasonQuarantined:
		return quarantineReturn
	case ReasonNoTargets:
		pause = outageReturn
	case ReasonDeadlineCannotBeMet, ReasonRetryBudgetSpent:
		if slots := h.slots(now); slots > 0 {
			pause = max(pause, time.Duration(float64(len(h.queue)+1)/float64(slots)*h.pace*float64(h.base(r))))
		}
	}
	return pause + time.Duration(returnSpread*place*float64(pause))
}
