package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"briarcroft/internal/note"
	"briarcroft/internal/placement"
)

// Times of an exchange.
const (
	// firstVerdictTimeout is how long a home may take to its first word on a request.
	firstVerdictTimeout = 60 * time.Millisecond
	// noConfigurationRetryAfter is when callers should come back to a host that knows no configuration yet.
	noConfigurationRetryAfter = 500 * time.Millisecond
	// defaultTimeout is the time limit of a request that names none under a rule without one.
	defaultTimeout = 30 * time.Second
	// minAttemptTime is the least time that must be left for a target to be worth asking.
	minAttemptTime = 5 * time.Millisecond
)

// exchange carries one request to targets and back.
type exchange struct {
	gateway  *Gateway
	caller   *callerConn
	request  *request
	rule     note.Rule
	service  string
	goal     time.Duration
	deadline time.Duration
	pending  *pendingRequest
	// placer is where the last place came from.
	placer placer
	tried  []string
	// mayHaveRun is set once a target may have begun the request.
	mayHaveRun bool
	// targetFailure is a target's own failure, to answer with when nothing better comes.
	targetFailure *callerResponse
	noteNumber    int
	ruleFound     bool
	// homesAsked, hedges and queued say how the request was placed.
	homesAsked, hedges int
	queued             bool
	lastOutcome        string
	// verdict is the last verdict that placed or refused the request.
	verdict placement.Verdict
	// cancel ends what is left of the runs; an answer that is still being read needs its run until it was sent.
	cancel context.CancelFunc
}

func newExchange(c *callerConn, q *request) *exchange {
	return &exchange{gateway: c.gateway, caller: c, request: q, cancel: func() {}}
}

// run returns the answer to the request.
func (x *exchange) run() *callerResponse {
	g := x.gateway
	g.stats.requests.Add(1)
	index := g.rules.Load()
	x.noteNumber = index.number
	if x.noteNumber == 0 {
		return localResponse(http.StatusServiceUnavailable, "NoConfiguration", noConfigurationRetryAfter)
	}
	rule, found := index.match(x.request.host, x.request.path)
	if !found {
		return localResponse(http.StatusNotFound, "NoRule", 0)
	}
	x.ruleFound = true
	x.applyRule(rule)
	var ctx context.Context
	ctx, x.cancel = context.WithTimeout(x.caller.requestContext(x.repeatable()), x.deadline-g.now())
	x.pending = g.homeClient.register(x.service)
	defer g.homeClient.unregister(x.pending)
	return x.placeAndRun(ctx)
}

func (x *exchange) applyRule(rule note.Rule) {
	x.rule = rule
	x.service = x.gateway.split.choose(rule)
	limit := rule.Deadline
	if limit == 0 {
		limit = defaultTimeout
	}
	if x.request.timeout > 0 {
		limit = min(limit, x.request.timeout)
	}
	x.deadline = x.request.arrived + limit
	x.goal = x.deadline
	if rule.Goal > 0 {
		x.goal = min(x.deadline, x.request.arrived+rule.Goal)
	}
}

func (x *exchange) repeatable() bool { return x.rule.IsIdempotent(x.request.method) }

// placeAndRun places and sends the request until there is something to answer with.
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

// handleResult returns the answer after a run, or nil to try another target.
func (x *exchange) handleResult(ctx context.Context, r *result) *callerResponse {
	switch r.outcome {
	case placement.Answered:
		return r.response
	case placement.NotRun, placement.Unreachable, placement.Misplaced:
		if x.mayRetry(ctx) {
			return nil
		}
		return x.refuse(placement.Refused{Reason: placement.ReasonNoTargets, RetryAfter: refusedRetryAfter})
	case placement.Failed:
		x.targetFailure = r.response
	}
	x.mayHaveRun = true
	if x.repeatable() && x.mayRetry(ctx) {
		return nil
	}
	return x.failedResponse(ctx)
}

// refusedRetryAfter is when callers should come back after every target tried has refused.
const refusedRetryAfter = 200 * time.Millisecond

// mayRetry reports whether another target may get the request.
func (x *exchange) mayRetry(ctx context.Context) bool {
	if ctx.Err() != nil || x.deadline-x.gateway.now() < minAttemptTime {
		return false
	}
	return x.rule.Attempts == 0 || len(x.tried) < x.rule.Attempts
}

// refuse returns the answer when no target gets the request any more.
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

// failedResponse returns the answer when a target may have run the request and no answer came.
func (x *exchange) failedResponse(ctx context.Context) *callerResponse {
	switch {
	case x.targetFailure != nil:
		return x.targetFailure
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return localResponse(http.StatusGatewayTimeout, "TimedOut", 0)
	case ctx.Err() != nil:
		return localResponse(http.StatusGatewayTimeout, "CallerLeft", 0)
	}
	return localResponse(http.StatusBadGateway, "AnswerLost", 0)
}

// notPlacedInTime returns the answer when the time ended before a place was found.
func (x *exchange) notPlacedInTime(ctx context.Context) *callerResponse {
	if x.mayHaveRun || x.targetFailure != nil {
		return x.failedResponse(ctx)
	}
	return refusalResponse(placement.Refused{Reason: placement.ReasonTooLate, RetryAfter: refusedRetryAfter})
}

// place asks the service's homes for a place; both results are nil when the time ended first.
func (x *exchange) place(ctx context.Context) (*placement.Placed, *placement.Refused) {
	for _, p := range x.gateway.homeClient.placers(x.service) {
		x.placer = p
		x.homesAsked++
		p.place(x.pending, x.placementRequest())
		v, timedOut := x.awaitVerdict(ctx, p)
		switch v := v.(type) {
		case placement.Placed:
			p.verdictReceived()
			return &v, nil
		case placement.Refused:
			p.verdictReceived()
			return nil, &v
		}
		p.withdraw(x.pending)
		if timedOut {
			return nil, nil
		}
	}
	return nil, &placement.Refused{Reason: placement.ReasonNoTargets, RetryAfter: refusedRetryAfter}
}

func (x *exchange) placementRequest() *placement.Request {
	return &placement.Request{
		Class: x.rule.Class, Priority: x.rule.Priority, Goal: x.goal, Deadline: x.deadline, Repeatable: x.repeatable(),
		Tried: x.tried, Fingerprint: x.request.fingerprint(), Domain: x.gateway.settings.Host.Domain,
	}
}

// awaitVerdict waits for a home's decision; it returns nil when the home gives none, and ended when the time is over.
func (x *exchange) awaitVerdict(ctx context.Context, p placer) (v placement.Verdict, timedOut bool) {
	timer := time.NewTimer(firstVerdictTimeout)
	defer timer.Stop()
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
			x.gateway.stats.silentHomes.Add(1)
			return nil, false
		case <-ctx.Done():
			return nil, true
		}
	}
}

// releaseSlot gives back a place that comes too late.
func (x *exchange) releaseSlot(e placementEvent) {
	if target, reserved := reservedTarget(e.verdict); reserved {
		e.placer.endRun(x.pending, placement.Done{Target: target, Outcome: placement.Abandoned})
	}
}

// runWithHedge runs the request on a target, and on a second one when the home asks for that.
func (x *exchange) runWithHedge(ctx context.Context, placed placement.Placed) *result {
	runs := hedgedRuns{exchange: x, results: make(chan *result, 2)}
	runs.start(ctx, x.placer, placed)
	var best *result
	for {
		select {
		case r := <-runs.results:
			runs.active--
			best = moreConclusive(r, best)
			if r.outcome == placement.Answered || runs.active == 0 {
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

// hedgedRuns are the runs of one try that go on beside each other.
type hedgedRuns struct {
	exchange *exchange
	results  chan *result
	cancels  []context.CancelFunc
	// active is how many have not ended.
	active int
}

func (u *hedgedRuns) start(ctx context.Context, from placer, placed placement.Placed) {
	ctx, cancel := context.WithCancel(ctx)
	index := len(u.cancels)
	u.cancels = append(u.cancels, cancel)
	u.active++
	u.exchange.tried = append(u.exchange.tried, placed.Target)
	go func() {
		r := u.exchange.runOn(ctx, from, placed)
		r.index = index
		u.results <- r
	}()
}

// cancelOthers ends all runs but the one whose answer goes on.
func (u *hedgedRuns) cancelOthers(kept *result) {
	for index, cancel := range u.cancels {
		if index != kept.index {
			cancel()
		}
	}
	if u.active > 0 {
		go u.discardResults()
	}
}

// discardResults closes the answers of runs that came second.
func (u *hedgedRuns) discardResults() {
	for range u.active {
		if r := <-u.results; r.response != nil && r.response.unread != nil {
			_ = r.response.unread.Close()
		}
	}
}

// moreConclusive returns the result to go by when two runs have ended: the one that says most.
func moreConclusive(a, b *result) *result {
	if b == nil || a.outcome == placement.Answered || a.outcome == placement.Failed {
		return a
	}
	if b.outcome == placement.Failed || !b.notRun() {
		return b
	}
	return a
}

// finish notes how the exchange ended.
func (x *exchange) finish(response *callerResponse, sent bool) {
	x.cancel()
	x.gateway.finish(x, response, sent)
}
