package placement

import (
	"time"
)

// Parameters of the decision when to start a second run under a limit.
const (
	// stuckPrior is the share of runs whose target is assumed to have stopped answering. A target that has answered since the run
	// started counts answeredFactor times.
	stuckPrior     = 0.01
	answeredFactor = 0.3
	// leastMargin is the ratio of the expected remaining time of the first run to the expected duration of a second run from which the
	// latter is started while nothing of the limit is used, and scarceMargin by how much it rises until all is used.
	leastMargin  = 1.0
	scarceMargin = 1.0
	// lossStep is by how much a first run that beats its second raises the margin of its class, up to maxLosses. It is forgotten with
	// lossDecayTime, and a second run that wins multiplies it by winFactor.
	lossStep      = 0.2
	maxLosses     = 4.0
	winFactor     = 0.5
	lossDecayTime = 10 * time.Second
	// maxClasses is the number of classes with a distribution of their own.
	maxClasses = 64
)

// secondRuns is the state of a home whose operators have set a limit on second runs.
type secondRuns struct {
	window  *secondRunWindow
	classes map[string]*classRuns
	counts  SecondRunCounts
}

// classRuns is what is known of the runs of one class. Losses raises the margin, as of lossesAt.
type classRuns struct {
	times    runTimes
	losses   float64
	lossesAt time.Duration
}

// SetSecondRuns sets the limit on second runs of the service, and the share of the limit that this home has. If the limit is not set,
// only the retry budget limits second runs.
func (h *Home) SetSecondRuns(l SecondRunLimit, share float64) {
	if !l.IsSet() {
		h.second = nil
		return
	}
	if h.second == nil || h.second.window.limit.Window != l.Window {
		h.second = &secondRuns{window: newSecondRunWindow(l), classes: map[string]*classRuns{}}
	}
	h.second.window.limit, h.second.window.share = l, share
}

// TakeSecondRuns returns the counts of second runs since its last call, and false without a limit.
func (h *Home) TakeSecondRuns() (counts SecondRunCounts, limited bool) {
	if h.second == nil {
		return SecondRunCounts{}, false
	}
	counts = h.second.counts
	h.second.counts = SecondRunCounts{}
	return counts, true
}

// class returns the state of a class; classes beyond maxClasses share one.
func (s *secondRuns) class(name string) *classRuns {
	if c := s.classes[name]; c != nil {
		return c
	}
	if len(s.classes) >= maxClasses {
		name = ""
		if c := s.classes[name]; c != nil {
			return c
		}
	}
	c := &classRuns{}
	s.classes[name] = c
	return c
}

// raised returns by how much the margin of the class is raised now.
func (c *classRuns) raised(now time.Duration) float64 {
	return c.losses * decay(now-c.lossesAt, lossDecayTime)
}

// recordResult learns from a pair of runs, one of which was answered.
func (c *classRuns) recordResult(now time.Duration, won bool) {
	losses := c.raised(now)
	if won {
		losses *= winFactor
	} else {
		losses = min(maxLosses, losses+lossStep)
	}
	c.losses, c.lossesAt = losses, now
}

// secondRunCase is what is known of a run when a second one is considered.
type secondRunCase struct {
	// age is how long the run has taken, and slowdown how much longer runs take on its target.
	age      time.Duration
	slowdown float64
	// silence holds the ages of the other runs on the target that have not ended, and their slowdowns.
	silence []silentRun
	// answered is set if the target has answered since the run started. longest is the time until the deadline.
	answered bool
	longest  time.Duration
}

type silentRun struct {
	age      time.Duration
	slowdown float64
}

// remaining returns the expected remaining time of a run: that of its class at the target's slowdown or, if the target has stopped
// answering, the time until the deadline. All runs that the target has left unanswered tell how probable the latter is.
func (c *classRuns) remaining(s secondRunCase) time.Duration {
	left, survival := c.times.remaining(time.Duration(float64(s.age) / s.slowdown))
	for _, other := range s.silence {
		_, p := c.times.remaining(time.Duration(float64(other.age) / other.slowdown))
		survival *= p
	}
	prior := stuckPrior
	if s.answered {
		prior *= answeredFactor
	}
	stuck := prior / (prior + (1-prior)*survival)
	usual := s.slowdown * float64(left)
	return time.Duration((1-stuck)*usual + stuck*float64(max(s.longest, 0)))
}

// margin returns the ratio from which a second run is started while the given part of the limit is left.
func margin(left float64) float64 { return leastMargin + scarceMargin*(1-left)*(1-left) }

// startLimited starts second runs under the operators' limit.
func (h *Home) startLimited(now time.Duration) {
	for _, t := range h.targets {
		for _, active := range t.runs {
			r := active.request
			if !r.hedged && !r.queued && len(r.runs) == 1 && now > active.startedAt && r.Deadline > now {
				h.considerSecond(now, r, active)
			}
		}
	}
}

// considerSecond starts a second run of a request if its first run is expected to take so much longer that it is worth the limit.
func (h *Home) considerSecond(now time.Duration, r *Request, first *run) {
	c := h.second.class(r.Class)
	if c.times.runs() < minRunTimes {
		return
	}
	usual := c.times.mean()
	if 2*(now-first.startedAt) < usual {
		return
	}
	remaining := c.remaining(h.secondRunCase(now, r, first))
	if float64(remaining) <= leastMargin*float64(usual) {
		return
	}
	if reason := h.startSecond(now, r, first, c, remaining); reason != SecondRunAllowed {
		if bit := uint16(1) << reason; first.refusals&bit == 0 {
			first.refusals |= bit
			h.second.counts.Refused[reason]++
		}
	}
}

// startSecond starts a second run, or returns the reason why it would be worthwhile but must not start.
func (h *Home) startSecond(now time.Duration, r *Request, first *run, c *classRuns, remaining time.Duration) SecondRunRefusal {
	longest := r.Deadline - now
	switch {
	case !r.Repeatable:
		return RefusedNotRepeatable
	case len(h.queue) > h.awaitingDomain():
		return RefusedQueue
	}
	if h.config.Quarantine.Suspected(now, r.fingerprints()...) {
		return RefusedSuspected
	}
	if _, found := h.quarantined(now, r); found {
		return RefusedSuspected
	}
	left, reason := h.second.window.left(now, longest)
	if reason != SecondRunAllowed {
		return reason
	}
	if h.config.Budget.Remaining(now) < 1+hedgeReserve {
		return RefusedRetryBudget
	}
	t, e := h.pickTarget(now, r, h.excludedFromSecond(now, r, first))
	if t == nil || e.nearlyFull || now+e.expected > r.Deadline {
		return RefusedNoTarget
	}
	ratio := float64(remaining) / (e.slowdown * float64(c.times.mean()))
	if ratio <= margin(left) {
		return RefusedScarce
	}
	if ratio <= margin(left)*(1+c.raised(now)) {
		return RefusedLearned
	}
	if !h.reserveHedgeToken(now, r) {
		return RefusedAllowance
	}
	if !h.config.Budget.Spend(now, hedgeReserve) {
		h.returnToken(r)
		return RefusedRetryBudget
	}
	r.hedged = true
	h.startRun(now, r, t, e)
	second := r.runs[len(r.runs)-1]
	second.second, second.longest = true, longest
	h.second.window.start(now, longest)
	h.second.counts.Started++
	h.config.OnVerdict(r, Hedge(newPlaced(now, t, e)))
	return SecondRunAllowed
}

// excludedFromSecond returns the names of the targets that get no second run of the request.
func (h *Home) excludedFromSecond(now time.Duration, r *Request, first *run) []string {
	excluded := append(h.limitedTargets(), first.target.Name)
	for _, t := range h.targets {
		if now < t.warmUpUntil || t.cold() || t.doubtful(now) {
			excluded = append(excluded, t.Name)
		}
	}
	return append(excluded, r.Tried...)
}

// secondRunCase collects what is known of a run.
func (h *Home) secondRunCase(now time.Duration, r *Request, first *run) secondRunCase {
	t := first.target
	s := secondRunCase{age: now - first.startedAt, answered: t.answeredAt > first.startedAt, longest: r.Deadline - now}
	s.slowdown = (max(1, first.slowdown) + h.paceOf(now, t)) / 2
	for _, other := range t.runs {
		if other != first && other.startedAt >= t.answeredAt && len(s.silence) < maxSilentRuns {
			s.silence = append(s.silence, silentRun{now - other.startedAt, max(1, other.slowdown)})
		}
	}
	return s
}

// maxSilentRuns is the number of other runs on a target that count when it may have stopped answering.
const maxSilentRuns = 3

// paceOf returns the pace of a target as far as it is known now.
func (h *Home) paceOf(now time.Duration, t *targetState) float64 {
	if t.pace == 0 {
		return max(1, h.averagePace)
	}
	weight := decay(now-t.paceAt, paceDecayTime)
	return max(1, t.pace*weight+h.averagePace*(1-weight))
}

// endSecond records the end of a run, be it the first or the second of its request. A run that is removed without a report keeps the
// longest time that it may have taken.
func (h *Home) endSecond(now time.Duration, ended *run, outcome Outcome, took time.Duration) {
	if h.second == nil {
		return
	}
	r := ended.request
	if took <= 0 {
		took = min(now, max(r.Deadline, ended.startedAt)) - ended.startedAt
	}
	switch outcome {
	case OutcomeNotRun, OutcomeUnreachable, OutcomeOtherServer, OutcomeBlocked:
		took = 0
	}
	h.second.window.addServerTime(now, took)
	if ended.second {
		h.second.window.end(ended.startedAt, ended.longest, took)
	}
	c := h.second.class(r.Class)
	normal := time.Duration(float64(took) / max(minFactor, ended.slowdown))
	switch outcome {
	case OutcomeAnswered:
		c.times.recordEnd(normal)
		if r.hedged && !r.answered && (ended.second || len(r.runs) > 0) {
			c.recordResult(now, ended.second)
			if ended.second {
				h.second.counts.Won++
			} else {
				h.second.counts.Lost++
			}
		}
	case OutcomeCanceled, OutcomeTimedOut:
		if !ended.second && normal > 0 && c.times.runs() > 0 {
			c.times.recordCanceled(normal)
		}
	}
}
