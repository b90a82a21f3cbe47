package placement

import (
	"slices"
	"time"
)

// Limits of hedging.
const (
	// hedgeRatio is the age of a run, in expected times, from which a second run is of use.
	hedgeRatio = 1.6
	// lastChanceRatio is the same when a later second run would miss the goal.
	lastChanceRatio = 1.25
	// hedgeMargin is how much longer than expected a second run may take and still meet the goal.
	hedgeMargin = 1.3
	// hedgeReserve is how many repeats of the budget are kept for retries after failures.
	hedgeReserve = 10.0
)

// hedge starts second runs of repeatable requests that are late while targets stand free.
// It answers targets that turn slow or swallow a request after it was placed.
func (h *Home) hedge(now time.Duration) {
	if len(h.queue) > 0 {
		return
	}
	for _, t := range h.targets {
		for _, held := range t.holds {
			r := held.request
			if r.Repeatable && !r.hedged && !r.waiting && len(r.holds) == 1 {
				h.hedgeOne(now, r, held)
			}
		}
	}
}

func (h *Home) hedgeOne(now time.Duration, r *Request, first *hold) {
	age := float64(now-first.started) / float64(first.expected)
	if age < lastChanceRatio {
		return
	}
	t, c := h.pickBut(now, r, append(slices.Clone(r.Tried), first.target.Name))
	if t == nil || c.crowded || now+c.expected > r.Deadline {
		return
	}
	end := now + time.Duration(hedgeMargin*float64(c.expected))
	inTime := end <= r.Goal
	lastChance := inTime && end+tickSlack > r.Goal
	if !lastChance && (age < hedgeRatio || !inTime && h.late(now, r) == 0) {
		return
	}
	if !h.config.Budget.Spend(now, hedgeReserve) {
		return
	}
	r.hedged = true
	h.place(now, r, t, c)
	h.config.OnVerdict(r, Hedge(placed(now, t, c)))
}

// tickSlack is the time between two looks at the runs under way.
const tickSlack = 10 * time.Millisecond
