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
	// goalShare is the part of its goal that a class's work is taken to need before any was seen.
	goalShare = 0.4
	// baseGain is the weight of one run in the class's base time, and paceGain that of one report in the usual pace.
	baseGain = 0.05
	paceGain = 0.01
	// crowdingGain is the weight of one crowded run in what is learned of crowding.
	crowdingGain = 0.05
	// firstCrowding and firstPace hold until something was learned.
	firstCrowding = 1.3
	firstPace     = 1.5
	// leastFactor and mostFactor bound learned factors against odd reports.
	leastFactor = 1.0
	mostFactor  = 4.0
	// goalMargin is the part of the time to the goal that a run may be expected to take.
	goalMargin = 1.15
	// lateFree is the share of slots that late requests leave free for those that can still meet their goal.
	lateFree = 0.7
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
	targets []*target
	byName  map[string]*target
	// requests are all that wait or hold a place.
	requests map[RequestID]*Request
	queue    []*Request
	// bases holds the moving base time of each class, in seconds.
	bases map[string]float64
	// bytes holds the moving size of each class's answers.
	bytes map[string]float64
	// pace is the usual pace of all targets; crowding is how much one more run slows a nearly full one.
	pace     float64
	crowding float64
	// busyAt is when a request last asked.
	busyAt  time.Duration
	overdue overdue
	// primary is set for the one home that all hosts ask first; probeCredit is how many probes another one may send now.
	primary     bool
	probeCredit float64
	crash       crashes
	// returns counts refusals, to spread the callers' return.
	returns uint64
}

// New returns a home without targets.
func New(c Config) *Home {
	return &Home{
		config: c, byName: map[string]*target{}, requests: map[RequestID]*Request{}, bases: map[string]float64{}, bytes: map[string]float64{},
		pace: firstPace, crowding: firstCrowding, busyAt: -time.Hour, crash: crashes{},
	}
}

// SetRetrySlack changes how many repeats are allowed beyond the budget's ratio.
func (h *Home) SetRetrySlack(slack float64) { h.config.Budget.Slack = slack }

// SetTargets replaces the targets; known ones keep what was learned of them.
func (h *Home) SetTargets(now time.Duration, list []Target) {
	next := make([]*target, 0, len(list))
	names := make(map[string]*target, len(list))
	for _, spec := range list {
		t := h.byName[spec.Name]
		if t == nil || t.Incarnation != spec.Incarnation || t.Address != spec.Address {
			t = &target{Target: spec, warmUntil: now + spec.WarmUpLeft, pacedAt: -time.Hour, seenAt: -time.Hour, failedAt: -time.Hour, probe: probe{asked: -time.Hour}}
		}
		if spec.WarmUpLeft != t.WarmUpLeft {
			// The entry has been written anew; its time counts from now.
			t.warmUntil = now + spec.WarmUpLeft
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
	h.wake(now)
	h.busyAt = now
	h.earnProbes()
	r.asked = now
	if h.crash.quarantined(now, r.Fingerprint) {
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
		r.holds = known.holds
	}
	h.requests[r.ID] = r
	if reason, hopeless := h.hopeless(now, r); hopeless {
		h.refuse(now, r, reason)
		return
	}
	r.waiting = true
	h.queue = append(h.queue, r)
	h.Dispatch(now)
	if r.waiting {
		h.config.OnVerdict(r, Queued{})
	}
}

// hopeless reports whether a new request can't be served before its deadline.
func (h *Home) hopeless(now time.Duration, r *Request) (Reason, bool) {
	slots := h.slots(now)
	if slots == 0 {
		return ReasonNoTargets, true
	}
	if now+h.wait(r)+h.base(r) > r.Deadline {
		return ReasonDeadlineCannotBeMet, true
	}
	return "", false
}

// slots returns how many slots the targets that may get requests have.
func (h *Home) slots(now time.Duration) int {
	sum := 0
	for _, t := range h.targets {
		if t.sound(now) {
			sum += t.Slots
		}
	}
	return sum
}

// wait returns how long a request will wait behind those that go before it.
func (h *Home) wait(r *Request) time.Duration {
	ahead := 0
	for _, other := range h.queue {
		if other != r && before(other, r) {
			ahead++
		}
	}
	slots := 0
	for _, t := range h.targets {
		if t.usable() && !t.probe.down {
			slots += t.Slots
		}
	}
	if slots == 0 || ahead == 0 {
		return 0
	}
	return time.Duration(float64(ahead) / float64(slots) * h.pace * float64(h.base(r)))
}

// before reports whether a waiting request goes before a new one at the latest once that has missed its goal.
func before(waiting, r *Request) bool { return waiting.Priority <= r.Priority }

// base returns the time that a request's work takes at the usual pace.
func (h *Home) base(r *Request) time.Duration {
	if b := h.bases[r.Class]; b > 0 {
		return time.Duration(b * float64(time.Second))
	}
	return time.Duration(goalShare * float64(max(0, r.Goal-r.asked)))
}

// Dispatch binds waiting requests to targets and refuses those that have become hopeless.
func (h *Home) Dispatch(now time.Duration) {
	if len(h.queue) == 0 {
		return
	}
	slices.SortStableFunc(h.queue, func(a, b *Request) int { return h.order(now, a, b) })
	waiting := h.queue[:0]
	ahead, lateAhead := 0, 0
	for _, r := range h.queue {
		if h.settle(now, r, ahead, lateAhead) {
			r.waiting = false
			continue
		}
		ahead++
		lateAhead += h.late(now, r)
		waiting = append(waiting, r)
	}
	h.overdue.wait(now, lateAhead)
	clear(h.queue[len(waiting):])
	h.queue = waiting
}

// order goes by rank, and puts requests that can still meet their goal before the others. Among those the one with the
// most time left goes first: under overload, serving each at the last moment would make all of them late.
func (h *Home) order(now time.Duration, a, b *Request) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(h.late(now, a), h.late(now, b)),
		cmp.Compare(b.Goal, a.Goal),
	)
}

// late is 1 for a request that can't meet its goal any more, even at the fastest target.
func (h *Home) late(now time.Duration, r *Request) int {
	if now+time.Duration(goalMargin*float64(h.base(r))) > r.Goal {
		return 1
	}
	return 0
}

// settle places or refuses a waiting request and reports whether it did. Of those ahead of it, lateAhead are late.
func (h *Home) settle(now time.Duration, r *Request, ahead, lateAhead int) bool {
	t, c := h.pickBut(now, r, r.Tried)
	if t != nil && h.worthwhile(now, r, c.expected) {
		if h.awaitsProbe(now, r, t) {
			return false
		}
		if h.late(now, r) == 1 {
			h.overdue.served(now)
		}
		h.place(now, r, t, c)
		h.config.OnVerdict(r, placed(now, t, c))
		return true
	}
	slots := h.slots(now)
	switch {
	case slots == 0:
		h.refuse(now, r, ReasonNoTargets)
		return true
	case now+time.Duration(float64(ahead)/float64(slots)*h.pace*float64(h.base(r)))+h.base(r) > r.Deadline,
		h.late(now, r) == 1 && now+h.overdue.turn(now, lateAhead)+h.base(r) > r.Deadline:
		h.refuse(now, r, ReasonDeadlineCannotBeMet)
		return true
	}
	return false
}

// placed is the verdict on a request that goes to a target, with what it was based on.
func placed(now time.Duration, t *target, c cost) Placed {
	return Placed{Target: t.Name, Address: t.Address, Expected: c.expected, KnowledgeAge: now - t.pacedAt}
}

// cost is what a run that starts now at a target should take.
type cost struct {
	expected time.Duration
	// slowdown is the factor over the base time; crowded is set when the run takes one of the last slots.
	slowdown float64
	crowded  bool
}

// pickBut returns the target where a request should end soonest, among those with a free slot that are not skipped.
func (h *Home) pickBut(now time.Duration, r *Request, skip []string) (*target, cost) {
	var best *target
	var chosen cost
	score := math.Inf(1)
	start := 0
	if len(h.targets) > 0 {
		start = h.config.Random.IntN(len(h.targets))
	}
	base := float64(h.base(r))
	for i := range h.targets {
		t := h.targets[(start+i)%len(h.targets)]
		if !t.sound(now) || t.load(now) >= t.Slots || slices.Contains(skip, t.Name) {
			continue
		}
		f, crowded := t.slowdown(now, h.pace, h.crowding)
		s := f * h.farPenalty(t, r) * (1 + loadPenalty*float64(t.load(now))/float64(t.Slots))
		if s < score {
			best, chosen, score = t, cost{time.Duration(base * f), f, crowded}, s
		}
	}
	return best, chosen
}

// Penalties that decide between targets that are about as fast.
const (
	// loadPenalty spreads requests over targets.
	loadPenalty = 0.1
	// farBytes is the size of an answer that is worth twice the time when it comes from the own failure domain:
	// traffic between failure domains is paid by the byte.
	farBytes = 256 << 10
	// mostFar bounds the penalty, so that the largest answers still go to a target that is much faster.
	mostFar = 0.5
	// bytesGain is the weight of one answer in the moving size of a class's answers.
	bytesGain = 0.05
)

// farPenalty is the cost of sending the answer between failure domains.
func (h *Home) farPenalty(t *target, r *Request) float64 {
	if t.Domain == r.Domain {
		return 1
	}
	return 1 + min(mostFar, h.bytes[r.Class]/farBytes)
}

// worthwhile reports whether to take the best place now rather than wait for a better one.
func (h *Home) worthwhile(now time.Duration, r *Request, expected time.Duration) bool {
	if now+time.Duration(float64(expected)*goalMargin) <= r.Goal {
		return true
	}
	if h.late(now, r) == 0 {
		// A faster target may come free in time.
		return false
	}
	return now+expected < r.Deadline && h.freeShare(now) > lateFree
}

// freeShare returns the share of all slots that are free.
func (h *Home) freeShare(now time.Duration) float64 {
	slots, held := 0, 0
	for _, t := range h.targets {
		if t.sound(now) {
			slots += t.Slots
			held += min(t.Slots, t.load(now))
		}
	}
	if slots == 0 {
		return 0
	}
	return 1 - float64(held)/float64(slots)
}

func (h *Home) place(now time.Duration, r *Request, t *target, c cost) {
	held := &hold{request: r, target: t, started: now, expected: c.expected, slowdown: c.slowdown, crowded: c.crowded}
	t.holds = append(t.holds, held)
	r.holds = append(r.holds, held)
}

// refuse ends a request that gets no place.
func (h *Home) refuse(now time.Duration, r *Request, reason Reason) {
	r.waiting = false
	if len(r.holds) == 0 {
		delete(h.requests, r.ID)
	}
	h.config.OnVerdict(r, Refused{
		Reason: reason, RetryAfter: h.retryAfter(now, r, reason), Waiting: len(h.queue), Slots: h.slots(now), Expected: h.base(r),
	})
}
