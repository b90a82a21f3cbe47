package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"briarcroft/internal/note"
	"briarcroft/internal/placement"
)

// Time limits of an exchange.
const (
	// firstVerdictTimeout is how long a home may take to place, queue or refuse a request before the next home is tried.
	// Once the home has queued the request, it is waited for until the deadline or the end of its stream.
	firstVerdictTimeout = 60 * time.Millisecond
	// noConfigurationRetryAfter is the Retry-After time of a host that has no configuration yet.
	noConfigurationRetryAfter = 500 * time.Millisecond
	// defaultTimeout limits requests whose rule and deadline header set no limit.
	defaultTimeout = 30 * time.Second
	// minAttemptTime is the least remaining time for which a request is sent to another target.
	minAttemptTime = 5 * time.Millisecond
)

// exchange handles one request of a caller: it has the request placed, sends it to targets, retries it where that is
// allowed and returns the response. Times are on the clock of Gateway.now.
type exchange struct {
	gateway *Gateway
	caller  *callerConn
	request *request
	rule    note.Rule
	service string
	identity
	// goal is the latency goal of the rule, and deadline is when the caller stops waiting.
	goal     time.Duration
	deadline time.Duration
	// sendBy is the deadline on the clock of Config.BootTime, after which nothing is sent to targets: the token for it would count in
	// another window. It is 0 without allowances.
	sendBy time.Duration
	// age is how long before its arrival the caller first sent the request; it is 0 without Overload.AgeOrder.
	age     time.Duration
	pending *pendingRequest
	// placer is the home that the request was last sent to for placement; it is nil before the first call of place.
	placer placer
	// tried names the targets that the request was placed on, including those that could not be reached.
	tried []string
	// blocked is the number of these to which nothing was sent because they were evacuated or had said that they want no requests.
	blocked int
	// mayHaveRun is set once a target may have begun to run the request.
	mayHaveRun bool
	// targetFailure is the last 5xx response of a target; the caller gets it when no other attempt succeeds.
	targetFailure *callerResponse
	// noteNumber is the number of the note (configuration revision) that was in force at the start; 0 means none.
	noteNumber int
	ruleFound  bool
	// homesTried counts the calls of placer.place, and hedges the runs that hedges have started; queued is set if a home
	// has queued the request.
	homesTried, hedges int
	queued             bool
	// lastOutcome is the outcome of the last run or the reason of a refusal, for the request log.
	lastOutcome string
	// verdict is the last verdict that placed or refused the request.
	verdict placement.Verdict
	// fingerprint recognizes repetitions of the request; see request.fingerprint.
	fingerprint uint64
	// sharedFingerprints recognize what the request shares with others; see request.sharedFingerprints.
	sharedFingerprints []uint64
	// relayedBy is the name of the peer that relayed a run last; nil means that none did.
	relayedBy atomic.Pointer[string]
	// responses are those of the runs that have ended. They are released when the exchange ends.
	responses []*callerResponse
	// cancel ends the context of the runs. A response that is still being read from a target needs it until it is sent.
	cancel context.CancelFunc
}

func newExchange(c *callerConn, q *request) *exchange {
	return &exchange{gateway: c.gateway, caller: c, request: q, fingerprint: q.fingerprint(), sharedFingerprints: q.sharedFingerprints(), cancel: func() {}}
}

// run handles the request and returns the response for the caller.
func (x *exchange) run() *callerResponse {
	g := x.gateway
	g.stats.requests.Add(1)
	mayAcceptKeys := g.mayAcceptKeys()
	index := g.rules.Load()
	x.noteNumber = index.number
	if x.noteNumber == 0 {
		return localResponse(http.StatusServiceUnavailable, "NoConfiguration", noConfigurationRetryAfter)
	}
	rule, found := index.match(x.request.host, x.request.path)
	if !found {
		return localResponse(http.StatusNotFound, "NoRule", 0)
	}
	x.rule = rule
	if response := x.authenticate(index, mayAcceptKeys); response != nil {
		return response
	}
	x.ruleFound = true
	x.applyRule(rule)
	if x.account != nil && g.allowances.limited.Load() {
		x.sendBy = g.config.BootTime() + x.deadline - g.now()
	}
	if q, found := g.quarantine.Lookup(g.now(), append([]uint64{x.fingerprint}, x.sharedFingerprints...)...); found {
		return x.refuse(placement.Refused{Reason: placement.ReasonQuarantined, RetryAfter: q.Remaining})
	}
	var ctx context.Context
	ctx, x.cancel = context.WithTimeout(x.caller.requestContext(x.repeatable()), x.deadline-g.now())
	x.pending = g.homeClient.register(x.service)
	defer g.homeClient.unregister(x.pending)
	return x.placeAndRun(ctx)
}

// repeatable reports whether the request is idempotent, so that it may run more than once.
func (x *exchange) repeatable() bool { return x.rule.IsIdempotent(x.request.method) }

// placeAndRun has the request placed and sends it to targets until there is a response for the caller.
func (x *exchange) placeAndRun(ctx context.Context) *callerResponse {
	for {
		placed, refusal := x.place(ctx)
		if refusal != nil {
			return x.refuse(*refusal)
		}
		if placed == nil {
			return x.notPlacedInTime(ctx)
		}
		r := x.runWithHedge(ctx, *placed)
		x.lastOutcome = outcomeNames[r.outcome]
		if response := x.handleResult(ctx, r); response != nil {
			return response
		}
	}
}

// handleResult returns the response for the caller after a run, or nil to try another target.
func (x *exchange) handleResult(ctx context.Context, r *runResult) *callerResponse {
	switch r.outcome {
	case placement.OutcomeAnswered:
		return r.response
	case placement.OutcomeNotRun, placement.OutcomeUnreachable, placement.OutcomeOtherServer, placement.OutcomeBlocked:
		if r.blocked {
			x.blocked++
		}
		if r.withheld != "" {
			return x.refuseWithheld(r.withheld)
		}
		if x.mayRetry(ctx) {
			return nil
		}
		if !x.mayStartRun() {
			return x.refuse(hostStopping)
		}
		return x.refuse(placement.Refused{Reason: placement.ReasonNoTargets, RetryAfter: refusedRetryAfter})
	case placement.OutcomeFailed:
		x.targetFailure = r.response
	}
	x.mayHaveRun = true
	if x.repeatable() && x.mayRetry(ctx) {
		return nil
	}
	return x.failedResponse(ctx)
}

// refusedRetryAfter is the Retry-After time of refusals that no home decided, such as after all targets tried have
// refused the request.
const refusedRetryAfter = 200 * time.Millisecond

// mayRetry reports whether the remaining time, that of a graceful stop and the rule's limit of attempts allow another target.
func (x *exchange) mayRetry(ctx context.Context) bool {
	if ctx.Err() != nil || x.deadline-x.gateway.now() < minAttemptTime || !x.mayStartRun() {
		return false
	}
	return x.rule.Attempts == 0 || len(x.tried)-x.blocked < x.rule.Attempts
}

// refuse returns the response when the request will not be sent to a target again: a refusal, which states that the
// request was not run, only if no target may have run it.
func (x *exchange) refuse(r placement.Refused) *callerResponse {
	x.lastOutcome = string(r.Reason)
	if x.targetFailure != nil {
		return x.targetFailure
	}
	if x.mayHaveRun {
		return localResponse(http.StatusBadGateway, "AnswerLost", 0)
	}
	return refusalResponse(r)
}

// failedResponse returns the response when a target may have run the request but gave no usable response.
func (x *exchange) failedResponse(ctx context.Context) *callerResponse {
	switch {
	case x.targetFailure != nil:
		return x.targetFailure
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return localResponse(http.StatusGatewayTimeout, "TimedOut", 0)
	case x.gateway.runs.Err() != nil:
		return localResponse(http.StatusGatewayTimeout, "HostStopped", 0)
	case ctx.Err() != nil:
		return localResponse(http.StatusGatewayTimeout, "CallerLeft", 0)
	}
	return localResponse(http.StatusBadGateway, "AnswerLost", 0)
}

// notPlacedInTime returns the response when the deadline passed or the caller disconnected before a target was found.
func (x *exchange) notPlacedInTime(ctx context.Context) *callerResponse {
	if x.mayHaveRun || x.targetFailure != nil {
		return x.failedResponse(ctx)
	}
	return refusalResponse(placement.Refused{Reason: placement.ReasonDeadlineCannotBeMet, RetryAfter: refusedRetryAfter})
}

// place submits the request to the service's homes, one after the other, until one of them places or refuses it. A home that
// has no target is no reason to refuse it while there are others: it may be the home that reaches none. Both results are nil
// when the context ended first.
func (x *exchange) place(ctx context.Context) (*placement.Placed, *placement.Refused) {
	ctx, cancel := x.placementContext(ctx)
	defer cancel()
	x.gateway.stats.waiting.Add(1)
	defer x.gateway.stats.waiting.Add(-1)
	refused := &placement.Refused{Reason: placement.ReasonNoTargets, RetryAfter: refusedRetryAfter}
	for _, p := range x.gateway.homeClient.placers(x.service) {
		if !x.mayStartRun() {
			break
		}
		x.placer = p
		x.homesTried++
		p.place(x.pending, x.placementRequest(p))
		v, timedOut := x.awaitVerdict(ctx, p)
		switch v := v.(type) {
		case placement.Placed:
			p.verdictReceived()
			return &v, nil
		case placement.Refused:
			p.verdictReceived()
			refused = &v
			if v.Reason == placement.ReasonNoTargets {
				continue
			}
			return nil, refused
		}
		p.withdraw(x.pending)
		if timedOut {
			return nil, nil
		}
	}
	if !x.mayStartRun() {
		return nil, &hostStopping
	}
	return nil, refused
}

// placementContext returns the context for the placement of the request. It ends when the caller disconnects, even if a run of
// the request must go on then.
func (x *exchange) placementContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if x.repeatable() {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(x.caller.ctx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

func (x *exchange) placementRequest(p placer) *placement.Request {
	return &placement.Request{
		Class: x.rule.Class, Account: x.accountName(), AccountPriority: x.accountPriority(), Priority: x.rule.Priority,
		Age: x.submissionAge(), Goal: x.goal, Deadline: x.deadline, Repeatable: x.repeatable(),
		Tried: x.tried, Fingerprint: x.fingerprint, SharedFingerprints: x.sharedFingerprints, Domain: x.gateway.settings.Host.Domain,
		Probes: x.gateway.homeClient.takeProbes(x.service, p.name()),
	}
}

// awaitVerdict waits until a home has placed or refused the request. The verdict is nil if the home sent none within
// firstVerdictTimeout, its stream ended or no run may be started any more in a graceful stop, and also if the context ended;
// timedOut is true only in the last case.
func (x *exchange) awaitVerdict(ctx context.Context, p placer) (v placement.Verdict, timedOut bool) {
	timer := time.NewTimer(firstVerdictTimeout)
	defer timer.Stop()
	lastRun := x.gateway.stop.LastRun()
	for {
		select {
		case e := <-x.pending.events:
			if e.placer != p {
				x.releaseSlot(e)
				continue
			}
			if e.disconnected {
				return nil, false
			}
			switch e.verdict.(type) {
			case placement.Placed, placement.Refused:
				x.verdict = e.verdict
				return e.verdict, false
			case placement.Queued:
				x.queued = true
				timer.Stop()
			case placement.Hedge:
				x.releaseSlot(e)
			}
		case <-timer.C:
			x.gateway.homeClient.suspect(p.name())
			x.gateway.stats.unresponsiveHomes.Add(1)
			return nil, false
		case <-lastRun:
			if !x.mayStartRun() {
				return nil, false
			}
			lastRun = nil
		case <-ctx.Done():
			return nil, true
		}
	}
}

// releaseSlot frees the slot that an unused verdict reserves, if it reserves one.
func (x *exchange) releaseSlot(e placementEvent) {
	if target, reserved := reservedTarget(e.verdict); reserved {
		e.placer.endRun(x.pending, placement.RunEnd{Target: target, Outcome: placement.OutcomeCanceled})
	}
}

// runWithHedge runs the request on a target, and on a second one when the home decides to hedge it. The first run with
// outcome OutcomeAnswered cancels the other one; after a 5xx response or another failure the other run is waited for.
func (x *exchange) runWithHedge(ctx context.Context, placed placement.Placed) *runResult {
	runs := hedgedRuns{exchange: x, results: make(chan *runResult, 2)}
	runs.start(ctx, x.placer, placed)
	var best *runResult
	for {
		select {
		case r := <-runs.results:
			runs.active--
			if r.response != nil {
				x.responses = append(x.responses, r.response)
			}
			best = moreConclusive(r, best)
			if r.outcome == placement.OutcomeAnswered || runs.active == 0 {
				runs.cancelOthers(best)
				return best
			}
		case e := <-x.pending.events:
			hedge, isHedge := e.verdict.(placement.Hedge)
			if !isHedge || e.placer != x.placer || runs.active != 1 || !x.mayRetry(ctx) {
				x.releaseSlot(e)
				continue
			}
			x.hedges++
			runs.start(ctx, e.placer, placement.Placed(hedge))
		}
	}
}

// hedgedRuns are the concurrent runs after one placement: the one on the target of the Placed verdict and that of a
// hedge.
type hedgedRuns struct {
	exchange *exchange
	results  chan *runResult
	cancels  []context.CancelFunc
	// active counts the runs that have not ended.
	active int
}

// start starts a run on the target that a home has chosen.
func (h *hedgedRuns) start(ctx context.Context, from placer, placed placement.Placed) {
	ctx, cancel := context.WithCancel(ctx)
	index := len(h.cancels)
	h.cancels = append(h.cancels, cancel)
	h.active++
	h.exchange.tried = append(h.exchange.tried, placed.Target)
	go func() {
		r := h.exchange.runRecovered(ctx, from, placed)
		r.index = index
		h.results <- r
	}()
}

// cancelOthers cancels all runs but the one whose result is used.
func (h *hedgedRuns) cancelOthers(kept *runResult) {
	for index, cancel := range h.cancels {
		if index != kept.index {
			cancel()
		}
	}
	if h.active > 0 {
		go h.discardResults()
	}
}

// discardResults waits for the canceled runs and releases their responses.
func (h *hedgedRuns) discardResults() {
	defer h.exchange.gateway.guard("Run")
	for range h.active {
		if r := <-h.results; r.response != nil {
			r.response.release()
		}
	}
}

// finish releases the runs and logs how the exchange ended; sent reports whether the whole response was written.
func (x *exchange) finish(response *callerResponse, sent bool) {
	defer x.gateway.guard("FinishRequest")
	for _, r := range x.responses {
		r.release()
	}
	x.cancel()
	x.gateway.finish(x, response, sent)
}
