package placement

import "time"

// Limits of hedging.
const (
	// hedgeRatio is the age of a run, in expected times, from which a second run is considered.
	hedgeRatio = 1.6
	// hedgeReserve is how many repeats of the budget are kept for retries after failures.
	hedgeReserve = 10.0
)

// hedge starts second runs of repeatable requests that are late while targets stand free.
// It answers targets that turn slow or swallow a request after it was placed.
func (h *Home) hedge(now time.Duration) {
	if len(h.queue) > 0 {
		return
	}
	for _, r := range h.requests {
		if !r.Repeatable || r.hedged || r.waiting || len(r.holds) != 1 {
			continue
		}
		first := r.holds[0]
		if float64(now-first.started) < hedgeRatio*float64(first.expected) {
			continue
		}
		h.hedgeOne(now, r, first)
	}
}

func (h *Home) hedgeOne(now time.Duration, r *Request, first *hold) {
	again := *r
	again.Tried = append([]string{first.target.Name}, r.Tried...)
	t, expected, factor, crowded := h.pick(now, &again)
	if t == nil || crowded || now+time.Duration(float64(expected)*goalMargin) > h.useful(now, r) {
		return
	}
	if !h.config.Budget.Take(now, hedgeReserve) {
		return
	}
	r.hedged = true
	h.place(now, r, t, expected, factor, crowded)
	h.config.Notify(r, Hedge{t.Name, t.Address})
}

// useful returns until when a second run is of use: the goal while it can be met, then the deadline.
func (h *Home) useful(now time.Duration, r *Request) time.Duration {
	if h.late(now, r) == 0 {
		return r.Goal
	}
	return r.Deadline
}
