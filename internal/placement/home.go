package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"briarcroft/internal/notice"
	"briarcroft/internal/quarantine"
	"briarcroft/internal/quota"
	"briarcroft/internal/ratelimit"
)

// Parameters of the statistics of a service. A gain is the weight of one new value in an exponential moving average.
const (
	// initialGoalShare is the service time assumed for a class before its first response, as a share of its latency goal.
	initialGoalShare = 0.4
	// serviceTimeGain applies to the service time of a class for each run, paceGain to the average pace for each load
	// report.
	serviceTimeGain = 0.05
	paceGain        = 0.01
	// nearlyFullGain applies to the slowdown of nearly full targets for each run that took one of the last slots.
	nearlyFullGain = 0.05
	// initialNearlyFullSlowdown and initialPace are the values before the first run and the first load report.
	initialNearlyFullSlowdown = 1.3
	initialPace               = 1.5
	// minFactor and maxFactor clamp measured factors, so that a wrong load report or an outlier does little harm.
	minFactor = 1.0
	maxFactor = 4.0
)

// Config configures a Home.
type Config struct {
	Random *rand.Rand
	// AgeOrder makes order, refusals and retry delays go by the age of requests; see Request.Age.
	AgeOrder bool
	Budget   RetryBudget
	// Quarantine lists requests that crash targets. All homes of a host share one.
	Quarantine *quarantine.List
	// RateLimits holds the rate limits that targets name. All homes of a host share one.
	RateLimits *ratelimit.Table
	// Notices holds what targets say of themselves. All homes of a host share one.
	Notices *notice.Table
	// Allowances holds the tokens that this host has of the allowances of client accounts, nil if there are none. All homes of a
	// host share one. BootTime is its clock, which goes on while the host is suspended. OnTokenWanted is called when a request
	// begins to wait for a token; it must not call the home, and may be nil.
	Allowances    *quota.Wallet
	BootTime      func() time.Duration
	OnTokenWanted func()
	// OnNotice is called when a target first says that it leaves, or wants no requests for a time. It must not call the home. It
	// may be nil.
	OnNotice func(TargetNotice)
	// OnVerdict is called with each verdict. It must not call the home.
	OnVerdict func(*Request, Verdict)
	// OnEjection is called when a target is ejected and when its ejection ends. It must not call the home. It may be nil.
	OnEjection func(Ejection)
	// OnRateLimit is called when a target begins or stops to name a rate limit. It must not call the home. It may be nil.
	OnRateLimit func(RateLimitChange)
	// OnWarmUp is called when a target becomes cold or warm, unless this is a fallback home. It must not call the home. It may be nil.
	OnWarmUp func(WarmUpChange)
	// OnQuarantine is called when a request is put in quarantine because the given target has broken its connection. It must
	// not call the home. It may be nil.
	OnQuarantine func(fingerprint uint64, target string)
	// DomainPlan makes the home plan how much traffic crosses between failure domains.
	DomainPlan bool
	// DomainPlanBytes is the mean response size of the service in bytes from which the plan decides where requests are placed.
	DomainPlanBytes float64
}

// Ejection reports that a target was ejected after consecutive failures or, if Ejected is false, that its ejection ended.
type Ejection struct {
	Target  string
	Ejected bool
	// Failures is the number of consecutive failures.
	Failures int
}

// Home places the requests of one service: it holds the queue and the state of the service's targets, and decides where
// and when each request runs. One entry host is the primary home of a service and decides for all entry hosts. Any other
// host acts as a fallback home for hosts that cannot reach the primary. A Home is not safe for concurrent use.
type Home struct {
	config  Config
	targets []*targetState
	byName  map[string]*targetState
	// requests holds all requests that are queued or have a run.
	requests map[RequestID]*Request
	queue    []*Request
	// queueBuffer is the memory of the queue before the last Dispatch.
	queueBuffer []*Request
	// serviceTimes holds, by class, the moving average of the time that a run takes at a pace of 1, in seconds.
	serviceTimes map[string]float64
	// responseBytes holds, by class, the moving average of the response size.
	responseBytes map[string]float64
	// averagePace is the moving average of the paces that targets report. nearlyFullSlowdown is the factor by which a run
	// takes longer on a nearly full target.
	averagePace        float64
	nearlyFullSlowdown float64
	// lastRequestAt is when a request was last submitted.
	lastRequestAt time.Duration
	lateWait      lateWaitEstimator
	// probeCredit is the number of probes that requests have brought and that were not sent yet.
	probeCredit int
	// nextProbed is the index of the target at which DueProbes ran out of probes, where it goes on.
	nextProbed int
	// awaitsProbes is set while a queued request may wait for a probe that was not sent yet.
	awaitsProbes bool
	// quarantineVersion is the version of Config.Quarantine for which queued requests were checked.
	quarantineVersion uint64
	// noticesVersion is the version of Config.Notices that the targets hold.
	noticesVersion uint64
	// fallback is set if this is not the service's primary home.
	fallback bool
	// running is the number of runs of each request that has any, by each of its fingerprints.
	running map[uint64]int
	// limitShare is this home's share in the rate limits of targets. limitsVersion is the version of Config.RateLimits that
	// the targets' limiters hold, and anyLimited is set if there is a limit.
	limitShare    LimitShare
	limitsVersion uint64
	anyLimited    bool
	// warmUp is what cold targets take, and nextWarm when the first of those that are cold now will be warm. coldReturnAt is when the
	// last caller that was refused because all targets are cold was told to return.
	warmUp       WarmUp
	nextWarm     time.Duration
	coldReturnAt time.Duration
	// limitedRuns counts the runs on targets that named a rate limit or were cold when they started, since TakeLimitedRuns.
	limitedRuns int64
	fair        fairShares
	// fairAccounts and fairBuffer are kept for the next call of setFairStarts and fairOrder.
	fairAccounts map[string]fairAccount
	fairBuffer   []*Request
	// lastBootTime is the time of Config.BootTime at bootTimeAt.
	lastBootTime, bootTimeAt time.Duration
	// demand measures what work in time needs. It is used only with Config.AgeOrder.
	demand demandMeter
	// room is the room for late work in the present Dispatch, once it is known.
	room *room
	// drain measures how fast work in time leaves the queue. blocked is set if a request in time found no suitable slot in the
	// present Dispatch.
	drain   drainMeter
	blocked bool
	// picks holds the targets that the present Dispatch has picked since the last run was started.
	picks map[pickKey]pick
	// spareAhead is the number of requests without a promise that the present Dispatch has left in the queue.
	spareAhead int
	// usableShare is the share of slots that are usable for work in time; see room.
	usableShare timeAverage
	// returns spreads the times at which refused callers are told to come back.
	returns returnPlanner
	// lateRuns is the number of runs that were late when they started.
	lateRuns int
	// refusals is the number of refusals so far. It gives each retry delay a different jitter.
	refusals uint64
	// plan decides which requests may go to another failure domain; it is nil unless Config.DomainPlan is set.
	plan *domainPlan
	// second limits second runs; it is nil unless operators have set a limit.
	second *secondRuns
}

// New returns a home without targets.
func New(c Config) *Home {
	h := &Home{
		config: c, byName: map[string]*targetState{}, requests: map[RequestID]*Request{}, serviceTimes: map[string]float64{}, responseBytes: map[string]float64{},
		averagePace: initialPace, nearlyFullSlowdown: initialNearlyFullSlowdown, lastRequestAt: -time.Hour, running: map[uint64]int{}, limitShare: LimitShare{Share: 1, Majority: true}, nextWarm: math.MaxInt64,
	}
	if c.DomainPlan {
		h.plan = newDomainPlan()
	}
	return h
}

// SetRetrySlack sets the number of extra attempts per window that are allowed beyond the retry budget's ratio.
func (h *Home) SetRetrySlack(slack float64) { h.config.Budget.Slack = slack }

// SetTargets replaces the list of targets. A target with the same name, incarnation and address keeps its state.
func (h *Home) SetTargets(now time.Duration, targets []Target) {
	next := make([]*targetState, 0, len(targets))
	byName := make(map[string]*targetState, len(targets))
	for _, registered := range targets {
		t := h.byName[registered.Name]
		if t == nil || t.Incarnation != registered.Incarnation || t.Address != registered.Address {
			t = &targetState{Target: registered, warmUpUntil: now + registered.WarmUpLeft, paceAt: -time.Hour, loadAt: -time.Hour, failureRateAt: -time.Hour, limiter: unlimited, probe: probeState{sentAt: -time.Hour}}
		}
		if registered.WarmUpLeft != t.WarmUpLeft {
			// The target has written its store entry again: the new warm-up time counts from now.
			t.warmUpUntil = now + registered.WarmUpLeft
		}
		if h.warmUp.Rate > 0 {
			t.warmUpUntil = 0 // targetState.cold knows better than an entry of unknown age
		}
		if t.Evacuated && !registered.Evacuated {
			t.probe.down, t.probe.unhealthy = false, false // outdated
		}
		t.Target = registered
		next = append(next, t)
		byName[registered.Name] = t
	}
	for _, t := range h.targets {
		if byName[t.Name] != t && !t.Draining && !t.said.Leaving && !t.Evacuated {
			h.recordLost(now, t)
		}
	}
	h.targets, h.byName = next, byName
	h.limitsVersion, h.noticesVersion = 0, 0
	if h.warmUp.Rate > 0 {
		h.nextWarm = 0
	}
	h.Dispatch(now)
}

// Submit places, queues or refuses a request. Verdicts are passed to OnVerdict, the first one before Submit returns.
func (h *Home) Submit(now time.Duration, r *Request) {
	h.resumeProbing(now)
	h.lastRequestAt = now
	h.addProbeCredit(r)
	r.submittedAt = now
	if previous := h.requests[r.ID]; previous != nil {
		h.takeOverRuns(previous, r)
	}
	if _, found := h.quarantined(now, r); found {
		h.refuse(now, r, ReasonQuarantined)
		return
	}
	if !h.reserveToken(now, r) {
		h.refuse(now, r, ReasonAllowanceSpent)
		return
	}
	if len(r.Tried) == 0 {
		h.config.Budget.AddRequest(now)
	} else if !h.config.Budget.Spend(now, 0) {
		h.refuse(now, r, ReasonRetryBudgetSpent)
		return
	}
	h.requests[r.ID] = r
	h.room = nil
	h.recordDemand(now, r)
	h.admit(now, r)
	if reason, refused := h.cannotServe(now, r); refused {
		h.refuse(now, r, reason)
		return
	}
	r.accepted = !r.promised
	if h.plan != nil {
		h.planArrival(now, r)
	}
	r.queued = true
	h.queue = append(h.queue, r)
	h.Dispatch(now)
	if r.queued {
		h.config.OnVerdict(r, Queued{})
	}
}

// takeOverRuns gives a request that is submitted again the runs of its former submission that have not ended, such as a hedge
// that the host does not know of yet.
func (h *Home) takeOverRuns(previous, r *Request) {
	h.removeFromQueue(previous)
	r.runs, previous.runs = previous.runs, nil
	for _, active := range r.runs {
		active.request = r
	}
	h.requests[r.ID] = r
}

// availableSlots returns the number of slots, free or not, of all available targets.
func (h *Home) availableSlots(now time.Duration) int {
	sum := 0
	for _, t := range h.targets {
		if t.available(now) {
			sum += t.Slots
		}
	}
	return sum
}

// serviceTime returns the expected duration of a run of the request at a pace of 1.
func (h *Home) serviceTime(r *Request) time.Duration {
	if seconds := h.serviceTimes[r.Class]; seconds > 0 {
		return time.Duration(seconds * float64(time.Second))
	}
	return time.Duration(initialGoalShare * float64(max(0, r.goalLength())))
}

// Dispatch places queued requests for which a suitable target has a free slot, and refuses those that can no longer meet
// their deadline, or all if no target is available.
func (h *Home) Dispatch(now time.Duration) {
	h.applyRateLimits(now)
	h.applyNotices()
	h.refuseQuarantined(now)
	if h.plan != nil {
		h.updatePlan(now)
		h.countAwaitingDomain()
	}
	if len(h.queue) == 0 {
		h.drain.setBlocked(now, false)
		return
	}
	slices.SortStableFunc(h.queue, func(a, b *Request) int { return h.compareQueued(now, a, b) })
	ahead, lateAhead := 0, 0
	h.room, h.blocked, h.spareAhead = nil, false, 0
	clear(h.picks)
	for _, r := range h.fairOrder(now) {
		if h.placeOrRefuse(now, r, ahead, lateAhead) {
			r.queued = false
			continue
		}
		ahead++
		lateAhead += h.lateRank(now, r)
		if h.config.AgeOrder && h.ageRank(now, r) != rankPromised {
			h.spareAhead++
		}
	}
	remaining := h.queueBuffer[:0]
	for _, r := range h.queue {
		if r.queued {
			remaining = append(remaining, r)
		}
	}
	h.lateWait.setQueued(now, lateAhead)
	h.drain.setBlocked(now, h.blocked)
	clear(h.queue)
	h.queueBuffer, h.queue = h.queue, remaining
}

// placeOrRefuse places or refuses a queued request, unless it is better kept in the queue, and reports whether the
// request has left the queue. The number of queued requests ahead of it is ahead, of which lateAhead are late.
func (h *Home) placeOrRefuse(now time.Duration, r *Request, ahead, lateAhead int) bool {
	if !h.reserveToken(now, r) {
		h.refuse(now, r, ReasonAllowanceSpent)
		return true
	}
	t, e := h.pickQueued(now, r)
	if t != nil && !r.allowance.waiting && !h.awaitsOtherRun(now, r) && h.shouldPlaceNow(now, r, e.expected) {
		if h.shouldAwaitProbe(now, r, t) {
			return false
		}
		if h.lateRank(now, r) == 1 {
			h.lateWait.recordPlaced(now)
		}
		h.startRun(now, r, t, e)
		h.config.OnVerdict(r, newPlaced(now, t, e))
		return true
	}
	if h.availableCapacity(now, h.serviceTime(r)) == 0 {
		h.refuse(now, r, h.noTargetsReason(now))
		return true
	}
	if t == nil && h.allCold(now) {
		h.refuse(now, r, ReasonTargetsCold)
		return true
	}
	if h.turnTooLate(now, r, ahead, lateAhead) {
		h.refuse(now, r, h.lateReason(now))
		return true
	}
	h.blocked = h.blocked || r.promised && len(r.Tried) == 0 && !h.awaitsOtherRun(now, r)
	return false
}

// newPlaced returns the verdict that assigns a request to a target, with the data on which the decision was based.
func newPlaced(now time.Duration, t *targetState, e runEstimate) Placed {
	return Placed{Target: t.Name, Address: t.Address, Expected: e.expected, KnowledgeAge: now - t.paceAt}
}

func (h *Home) startRun(now time.Duration, r *Request, t *targetState, e runEstimate) {
	started := &run{request: r, target: t, startedAt: now, fingerprints: r.fingerprints(), expected: e.expected, slowdown: e.slowdown, nearlyFull: e.nearlyFull, unreported: t.unreported.factor(now), token: h.spendToken(now, r)}
	if h.second != nil && len(r.Tried) == 0 && !r.hedged {
		h.second.window.addRequest(now)
	}
	h.chargeAccount(r)
	h.recordStart(now, started)
	clear(h.picks)
	if t.doubtful(now) {
		t.probe.startTrial(now)
	}
	t.runs = append(t.runs, started)
	r.runs = append(r.runs, started)
	t.unconfirmed++
	for _, f := range started.fingerprints {
		h.running[f]++
	}
	if t.limiter.limited() {
		t.limiter.credit--
		t.limiter.usedAt = now
		h.limitedRuns++
	}
}

// removeRun frees the slot of a run.
func (h *Home) removeRun(ended *run) {
	ended.target.removeRun(ended)
	ended.request.removeRun(ended)
	if ended.late {
		h.lateRuns--
	}
	for _, f := range ended.fingerprints {
		if h.running[f]--; h.running[f] == 0 {
			delete(h.running, f)
		}
	}
}
