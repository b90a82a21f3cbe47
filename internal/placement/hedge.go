package placement

import "time"

// Limits of hedging.
const (
	// hedgeAgeRatio is the age of a run, relative to its expected duration, from which a hedge is worthwhile.
	hedgeAgeRatio = 1.6
	// lastChanceAgeRatio replaces hedgeAgeRatio if a hedge would meet the request's goal when started now, but no longer
	// when started at the next tick.
	lastChanceAgeRatio = 1.25
	// hedgeMargin is the safety factor on the expected duration of a hedge when it is compared with the goal.
	hedgeMargin = 1.3
	// hedgeReserve is how many extra attempts of the retry budget hedges leave for retries after failures.
	hedgeReserve = 10.0
)

// startHedges starts a second run for each repeatable request whose run takes longer than expected, if no request is
// queued, another target has a free slot and the retry budget allows it. This limits the latency that a target causes
// when it becomes slow or drops a request.
func (h *Home) startHedges(now time.Duration) {
	if h.second != nil {
		h.startLimited(now)
		return
	}
	if len(h.queue) > h.awaitingDomain() || h.config.Budget.Remaining(now) < 1+hedgeReserve {
		return
	}
	for _, t := range h.targets {
		for _, active := range t.runs {
			r := active.request
			if r.Repeatable && !r.hedged && !r.queued && len(r.runs) == 1 {
				h.hedgeIfSlow(now, r, active)
			}
		}
	}
}

// hedgeIfSlow starts a hedge for a request whose first run has reached hedgeAgeRatio, or lastChanceAgeRatio if it is
// the last chance to meet the goal. A hedge that would miss a goal which a faster target could still meet is not
// started.
func (h *Home) hedgeIfSlow(now time.Duration, r *Request, first *run) {
	ageRatio := float64(now-first.startedAt) / float64(first.expected)
	if ageRatio < lastChanceAgeRatio {
		return
	}
	if h.config.Quarantine.Suspected(now, r.fingerprints()...) {
		return
	}
	// A target in need gets no hedges.
	excluded := append(h.limitedTargets(), first.target.Name)
	t, e := h.pickTarget(now, r, append(excluded, r.Tried...))
	if t == nil || e.nearlyFull || now+e.expected > r.Deadline {
		return
	}
	end := now + time.Duration(hedgeMargin*float64(e.expected))
	inTime := end <= r.Goal
	lastChance := inTime && end+tickInterval > r.Goal
	if !lastChance && (ageRatio < hedgeAgeRatio || !inTime && h.lateRank(now, r) == 0) {
		return
	}
	if !h.reserveHedgeToken(now, r) {
		return
	}
	if !h.config.Budget.Spend(now, hedgeReserve) {
		h.returnToken(r)
		return
	}
	r.hedged = true
	h.startRun(now, r, t, e)
	h.config.OnVerdict(r, Hedge(newPlaced(now, t, e)))
}

// tickInterval is the expected interval between calls of Tick.
const tickInterval = 10 * time.Millisecond
