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

// maxReturnDelay is the longest time that callers refused because of load are told to wait with Config.AgeOrder. Bursts of load last
// 2 to 6 s.
const maxReturnDelay = 6 * time.Second

// minReturnDelay is the shortest such time. Neighbors slow targets down for some hundred ms, so that there is no room before.
const minReturnDelay = 250 * time.Millisecond

// returnPlanner books room for the callers that come back after refusals, one after the other. It answers overload, in which callers
// that return together, or before there is room, are refused again and have used up a retry.
type returnPlanner struct {
	// bookedUntil is when the room for the callers booked so far will be used up.
	bookedUntil time.Duration
}

// book returns the time after which a caller should return with the given work, in seconds. The work that has been accepted is done
// after the time drained, and from then on there is room for perSecond of work. Fraction spreads callers while there is none.
func (p *returnPlanner) book(now, drained time.Duration, work, perSecond, fraction float64) time.Duration {
	from := max(p.bookedUntil, now+max(drained, minReturnDelay))
	if left := now + maxReturnDelay - from; left <= 0 || perSecond*left.Seconds() < work {
		return time.Duration((0.5 + 0.5*fraction) * float64(maxReturnDelay))
	}
	p.bookedUntil = from + time.Duration(work/perSecond*float64(time.Second))
	return p.bookedUntil - now
}

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
	case ReasonAllowanceSpent:
		return r.allowance.retryAfter
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
		if h.config.AgeOrder {
			return h.bookReturn(now, r, fraction)
		}
		if slots := h.availableCapacity(now, h.serviceTime(r)); slots > 0 {
			delay = max(delay, time.Duration(float64(len(h.queue)+1)/slots*h.averagePace*float64(h.serviceTime(r))))
		}
	}
	return delay + time.Duration(retryDelaySpread*fraction*float64(delay))
}

// bookReturn returns the delay after which there is room for a request that was refused because of load.
func (h *Home) bookReturn(now time.Duration, r *Request, fraction float64) time.Duration {
	accepted := 0.0
	for _, other := range h.queue {
		if other.queued {
			accepted += h.serviceTime(other).Seconds()
		}
	}
	drained := h.limitWait(now)
	if rate := h.drainRate(now); accepted > 0 {
		drained += time.Duration(min(accepted/max(rate, 1e-9), maxTurn.Seconds()) * float64(time.Second))
	}
	room := h.currentRoom(now)
	return h.returns.book(now, drained, h.serviceTime(r).Seconds(), room.lateSlots()/max(1, h.demand.slowdown), fraction)
}

// refuse refuses a request and tells the caller when to retry.
func (h *Home) refuse(now time.Duration, r *Request, reason Reason) {
	r.queued = false
	h.returnToken(r)
	if len(r.runs) == 0 {
		delete(h.requests, r.ID)
	}
	verdict := Refused{
		Reason: reason, RetryAfter: h.retryAfter(now, r, reason), Waiting: len(h.queue), Slots: h.availableSlots(now), Expected: h.serviceTime(r),
	}
	if h.config.AgeOrder {
		verdict.Turn, verdict.Free = h.turn(now, r), h.currentRoom(now).free()
	}
	h.config.OnVerdict(r, verdict)
}
