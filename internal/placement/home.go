package placement

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Weights of what is learned of a service.
const (
	// initialGoalShare is the part of its goal that a class's work is taken to need before any was seen.
	initialGoalShare = 0.4
	// serviceTimeGain is the weight of one run in the class's base time, and paceGain that of one report in the usual pace.
	serviceTimeGain = 0.05
	paceGain        = 0.01
	// nearlyFullGain is the weight of one crowded run in what is learned of crowding.
	nearlyFullGain = 0.05
	// initialNearlyFullSlowdown and firstPace hold until something was learned.
	initialNearlyFullSlowdown = 1.3
	initialPace               = 1.5
	// minFactor and mostFactor bound learned factors against odd reports.
	minFactor = 1.0
	maxFactor = 4.0
	// goalMargin is the part of the time to the goal that a run may be expected to take.
	goalMargin = 1.15
	// lateFreeShare is the share of slots that late requests leave free for those that can still meet their goal.
	lateFreeShare = 0.7
)

// Config sets up a Home.
type Config struct {
	Random *rand.Rand
	Budget RetryBudget
	// OnVerdict gets each verdict; it must not call the home.
	OnVerdict func(*Request, Verdict)
	// OnEjection is told when failures have taken a target out, and when it is back; it must not call the home.
	OnEjection func(Ejection)
}

// Ejection is a change of whether failures in a row keep a target out.
type Ejection struct {
	Target   string
	Ejected  bool
	Failures int
}

// Home decides for one service. It is not safe for concurrent use.
type Home struct {
	config  Config
	targets []*targetState
	byName  map[string]*targetState
	// requests are all that wait or hold a place.
	requests map[RequestID]*Request
	queue    []*Request
	// serviceTimes holds the moving base time of each class, in seconds.
	serviceTimes map[string]float64
	// responseBytes holds the moving size of each class's answers.
	responseBytes map[string]float64
	// usualPace is the usual pace of all targets; crowding is how much one more run slows a nearly full one.
	usualPace          float64
	nearlyFullSlowdown float64
	// lastRequestAt is when a request last asked.
	lastRequestAt time.Duration
	lateWait      lateWaitEstimator
	// primary is set for the one home that all hosts ask first; probeCredit is how many probes another one may send now.
	primary     bool
	probeCredit float64
	crashes     crashTracker
	// refusals counts refusals, to spread the callers' return.
	refusals uint64
}

// New returns a home without targets.
func New(c Config) *Home {
	return &Home{
		config: c, byName: map[string]*targetState{}, requests: map[RequestID]*Request{}, serviceTimes: map[string]float64{}, responseBytes: map[string]float64{},
		usualPace: initialPace, nearlyFullSlowdown: initialNearlyFullSlowdown, lastRequestAt: -time.Hour, crashes: crashTracker{},
	}
}

// SetRetrySlack changes how many repeats are allowed beyond the budget's ratio.
func (h *Home) SetRetrySlack(slack float64) { h.config.Budget.Slack = slack }

// SetTargets replaces the targets; known ones keep what was learned of them.
func (h *Home) SetTargets(now time.Duration, list []Target) {
	next := make([]*targetState, 0, len(list))
	names := make(map[string]*targetState, len(list))
	for _, spec := range list {
		t := h.byName[spec.Name]
		if t == nil || t.Incarnation != spec.Incarnation || t.Address != spec.Address {
			t = &targetState{Target: spec, warmUpUntil: now + spec.WarmUpLeft, paceAt: -time.Hour, loadAt: -time.Hour, failureRateAt: -time.Hour, probe: probeState{sentAt: -time.Hour}}
		}
		if spec.WarmUpLeft != t.WarmUpLeft {
			// The entry has been written anew; its time counts from now.
			t.warmUpUntil = now + spec.WarmUpLeft
		}
		t.Target = spec
		next = append(next, t)
		names[spec.Name] = t
	}
	h.probeCredit += float64(max(0, len(next)-len(h.targets)))
	h.targets, h.byName = next, names
	h.Dispatch(now)
}

// Submit offers a request; verdicts follow through Notify, the first one before Ask returns.
func (h *Home) Submit(now time.Duration, r *Request) {
	h.resumeProbing(now)
	h.lastRequestAt = now
	h.addProbeCredit()
	r.submittedAt = now
	if h.crashes.quarantined(now, r.Fingerprint) {
		h.refuse(now, r, ReasonQuarantined)
		return
	}
	if len(r.Tried) == 0 {
		h.config.Budget.AddRequest(now)
	} else if !h.config.Budget.Spend(now, 0) {
		h.refuse(now, r, ReasonRetryBudgetSpent)
		return
	}
	if known := h.requests[r.ID]; known != nil {
		// A request that asks again goes on holding what still runs for it.
		r.runs = known.runs
	}
	h.requests[r.ID] = r
	if reason, hopeless := h.cannotServe(now, r); hopeless {
		h.refuse(now, r, reason)
		return
	}
	r.queued = true
	h.queue = append(h.queue, r)
	h.Dispatch(now)
	if r.queued {
		h.config.OnVerdict(r, Queued{})
	}
}

// cannotServe reports whether a new request can't be served before its deadline.
func (h *Home) cannotServe(now time.Duration, r *Request) (Reason, bool) {
	slots := h.availableSlots(now)
	if slots == 0 {
		return ReasonNoTargets, true
	}
	if now+h.queueWait(r)+h.serviceTime(r) > r.Deadline {
		return ReasonDeadlineCannotBeMet, true
	}
	return "", false
}

// availableSlots returns how many slots the targets that may get requests have.
func (h *Home) availableSlots(now time.Duration) int {
	sum := 0
	for _, t := range h.targets {
		if t.available(now) {
			sum += t.Slots
		}
	}
	return sum
}

// queueWait returns how long a request will wait behind those that go before it.
func (h *Home) queueWait(r *Request) time.Duration {
	ahead := 0
	for _, other := range h.queue {
		if other != r && queuedBefore(other, r) {
			ahead++
		}
	}
	slots := 0
	for _, t := range h.targets {
		if t.inService() && !t.probe.down {
			slots += t.Slots
		}
	}
	if slots == 0 || ahead == 0 {
		return 0
	}
	return time.Duration(float64(ahead) / float64(slots) * h.usualPace * float64(h.serviceTime(r)))
}

// queuedBefore reports whether a waiting request goes before a new one at the latest once that has missed its goal.
func queuedBefore(waiting, r *Request) bool { return waiting.Priority <= r.Priority }

// serviceTime returns the time that a request's work takes at the usual pace.
func (h *Home) serviceTime(r *Request) time.Duration {
	if b := h.serviceTimes[r.Class]; b > 0 {
		return time.Duration(b * float64(time.Second))
	}
	return time.Duration(initialGoalShare * float64(max(0, r.Goal-r.submittedAt)))
}

// Dispatch binds waiting requests to targets and refuses those that have become hopeless.
func (h *Home) Dispatch(now time.Duration) {
	if len(h.queue) == 0 {
		return
	}
	slices.SortStableFunc(h.queue, func(a, b *Request) int { return h.compareQueued(now, a, b) })
	waiting := h.queue[:0]
	ahead, lateAhead := 0, 0
	for _, r := range h.queue {
		if h.placeOrRefuse(now, r, ahead, lateAhead) {
			r.queued = false
			continue
		}
		ahead++
		lateAhead += h.late(now, r)
		waiting = append(waiting, r)
	}
	h.lateWait.setQueued(now, lateAhead)
	clear(h.queue[len(waiting):])
	h.queue = waiting
}

// compareQueued goes by rank, and puts requests that can still meet their goal before the others. Among those the one with the
// most time left goes first: under overload, serving each at the last moment would make all of them late.
func (h *Home) compareQueued(now time.Duration, a, b *Request) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(h.late(now, a), h.late(now, b)),
		cmp.Compare(b.Goal, a.Goal),
	)
}

// late is 1 for a request that can't meet its goal any more, even at the fastest target.
func (h *Home) late(now time.Duration, r *Request) int {
	if now+time.Duration(goalMargin*float64(h.serviceTime(r))) > r.Goal {
		return 1
	}
	return 0
}

// placeOrRefuse places or refuses a waiting request and reports whether it did. Of those ahead of it, lateAhead are late.
func (h *Home) placeOrRefuse(now time.Duration, r *Request, ahead, lateAhead int) bool {
	t, c := h.pickTarget(now, r, r.Tried)
	if t != nil && h.shouldPlaceNow(now, r, c.expected) {
		if h.shouldAwaitProbe(now, r, t) {
			return false
		}
		if h.late(now, r) == 1 {
			h.lateWait.recordPlaced(now)
		}
		h.startRun(now, r, t, c)
		h.config.OnVerdict(r, newPlaced(now, t, c))
		return true
	}
	slots := h.availableSlots(now)
	switch {
	case slots == 0:
		h.refuse(now, r, ReasonNoTargets)
		return true
	case now+time.Duration(float64(ahead)/float64(slots)*h.usualPace*float64(h.serviceTime(r)))+h.serviceTime(r) > r.Deadline,
		h.late(now, r) == 1 && now+h.lateWait.estimate(now, lateAhead)+h.serviceTime(r) > r.Deadline:
		h.refuse(now, r, ReasonDeadlineCannotBeMet)
		return true
	}
	return false
}

// newPlaced is the verdict on a request that goes to a target, with what it was based on.
func newPlaced(now time.Duration, t *targetState, c runEstimate) Placed {
	return Placed{Target: t.Name, Address: t.Address, Expected: c.expected, KnowledgeAge: now - t.paceAt}
}

// runEstimate is what a run that starts now at a target should take.
type runEstimate struct {
	expected time.Duration
	// slowdown is the factor over the base time; crowded is set when the run takes one of the last slots.
	slowdown   float64
	nearlyFull bool
}

// pickTarget returns the target where a request should end soonest, among those with a free slot that are not skipped.
func (h *Home) pickTarget(now time.Duration, r *Request, skip []string) (*targetState, runEstimate) {
	var best *targetState
	var chosen runEstimate
	score := math.Inf(1)
	start := 0
	if len(h.targets) > 0 {
		start = h.config.Random.IntN(len(h.targets))
	}
	base := float64(h.serviceTime(r))
	for i := range h.targets {
		t := h.targets[(start+i)%len(h.targets)]
		if !t.available(now) || t.load(now) >= t.Slots || slices.Contains(skip, t.Name) {
			continue
		}
		f, crowded := t.slowdown(now, h.usualPace, h.nearlyFullSlowdown)
		s := f * h.crossDomainFactor(t, r) * (1 + loadPenalty*float64(t.load(now))/float64(t.Slots))
		if s < score {
			best, chosen, score = t, runEstimate{time.Duration(base * f), f, crowded}, s
		}
	}
	return best, chosen
}

// Penalties that decide between targets that are about as fast.
const (
	// loadPenalty spreads requests over targets.
	loadPenalty = 0.1
	// crossDomainBytes is the size of an answer that is worth twice the time when it comes from the own failure domain:
	// traffic between failure domains is paid by the byte.
	crossDomainBytes = 256 << 10
	// maxCrossDomainPenalty bounds the penalty, so that the largest answers still go to a target that is much faster.
	maxCrossDomainPenalty = 0.5
	// responseBytesGain is the weight of one answer in the moving size of a class's answers.
	responseBytesGain = 0.05
)

// crossDomainFactor is the cost of sending the answer between failure domains.
func (h *Home) crossDomainFactor(t *targetState, r *Request) float64 {
	if t.Domain == r.Domain {
		return 1
	}
	return 1 + min(maxCrossDomainPenalty, h.responseBytes[r.Class]/crossDomainBytes)
}

// shouldPlaceNow reports whether to take the best place now rather than wait for a better one.
func (h *Home) shouldPlaceNow(now time.Duration, r *Request, expected time.Duration) bool {
	if now+time.Duration(float64(expected)*goalMargin) <= r.Goal {
		return true
	}
	if h.late(now, r) == 0 {
		// A faster target may come free in time.
		return false
	}
	return now+expected < r.Deadline && h.freeSlotShare(now) > lateFreeShare
}

// freeSlotShare returns the share of all slots that are free.
func (h *Home) freeSlotShare(now time.Duration) float64 {
	slots, held := 0, 0
	for _, t := range h.targets {
		if t.available(now) {
			slots += t.Slots
			held += min(t.Slots, t.load(now))
		}
	}
	if slots == 0 {
		return 0
	}
	return 1 - float64(held)/float64(slots)
}

func (h *Home) startRun(now time.Duration, r *Request, t *targetState, c runEstimate) {
	held := &run{request: r, target: t, startedAt: now, expected: c.expected, slowdown: c.slowdown, nearlyFull: c.nearlyFull}
	t.runs = append(t.runs, held)
	r.runs = append(r.runs, held)
}

// refuse ends a request that gets no place.
func (h *Home) refuse(now time.Duration, r *Request, reason Reason) {
	r.queued = false
	if len(r.runs) == 0 {
		delete(h.requests, r.ID)
	}
	h.config.OnVerdict(r, Refused{
		Reason: reason, RetryAfter: h.retryAfter(now, r, reason), Waiting: len(h.queue), Slots: h.availableSlots(now), Expected: h.serviceTime(r),
	})
}
