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
	// ackTimeout is how long a home may take to its first word on a request.
	ackTimeout = 60 * time.Millisecond
	// noConfigurationReturn is when callers should come back to a host that knows no configuration yet.
	noConfigurationReturn = 500 * time.Millisecond
	// noDeadline is the time limit of a request that names none under a rule without one.
	noDeadline = 30 * time.Second
	// leastTime is the least time that must be left for a target to be worth asking.
	leastTime = 5 * time.Millisecond
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
	inquiry  *inquiry
	// decider is where the last place came from.
	decider decider
	tried   []string
	// mayHaveRun is set once a target may have begun the request.
	mayHaveRun bool
	// failure is a target's own failure, to answer with when nothing better comes.
	failure *answer
	number  int
	matched bool
	// asks, hedges and queued say how the request was placed.
	asks, hedges int
	queued       bool
	lastOutcome  string
	// decided is the last verdict that placed or refused the request.
	decided placement.Verdict
	// cancel ends what is left of the runs; an answer that is still being read needs its run until it was sent.
	cancel context.CancelFunc
}

func newExchange(c *callerConn, q *request) *exchange {
	return &exchange{gateway: c.gateway, caller: c, request: q, cancel: func() {}}
}

// run returns the answer to the request.
func (x *exchange) run() *answer {
	g := x.gateway
	g.stats.requests.Add(1)
	index := g.rules.Load()
	x.number = index.number
	if x.number == 0 {
		return own(http.StatusServiceUnavailable, "NoConfiguration", noConfigurationReturn)
	}
	rule, found := index.match(x.request.host, x.request.path)
	if !found {
		return own(http.StatusNotFound, "NoRule", 0)
	}
	x.matched = true
	x.begin(rule)
	var ctx context.Context
	ctx, x.cancel = context.WithTimeout(x.caller.requestContext(x.repeatable()), x.deadline-g.now())
	x.inquiry = g.links.open(x.service)
	defer g.links.done(x.inquiry)
	return x.answer(ctx)
}

func (x *exchange) begin(rule note.Rule) {
	x.rule = rule
	x.service = x.gateway.shares.choose(rule)
	limit := rule.Deadline
	if limit == 0 {
		limit = noDeadline
	}
	if x.request.patience > 0 {
		limit = min(limit, x.request.patience)
	}
	x.deadline = x.request.arrived + limit
	x.goal = x.deadline
	if rule.Goal > 0 {
		x.goal = min(x.deadline, x.request.arrived+rule.Goal)
	}
}

func (x *exchange) repeatable() bool { return x.rule.IsIdempotent(x.request.method) }

// answer places and sends the request until there is something to answer with.
func (x *exchange) answer(ctx context.Context) *answer {
	for {
		place, refusal := x.place(ctx)
		if refusal != nil {
			return x.giveUp(*refusal)
		}
		if place == nil {
			return x.timedOut(ctx)
		}
		r := x.try(ctx, *place)
		x.lastOutcome = outcomeNames[r.outcome]
		if a := x.settle(ctx, r); a != nil {
			return a
		}
	}
}

// settle returns the answer after a run, or nil to try another target.
func (x *exchange) settle(ctx context.Context, r *result) *answer {
	switch r.outcome {
	case placement.OutcomeAnswered:
		return r.answer
	case placement.OutcomeNotRun, placement.OutcomeUnreachable, placement.OutcomeOtherServer:
		if x.mayTryAgain(ctx) {
			return nil
		}
		return x.giveUp(placement.Refused{Reason: placement.ReasonNoTargets, RetryAfter: refusedReturn})
	case placement.OutcomeFailed:
		x.failure = r.answer
	}
	x.mayHaveRun = true
	if x.repeatable() && x.mayTryAgain(ctx) {
		return nil
	}
	return x.afterRun(ctx)
}

// refusedReturn is when callers should come back after every target tried has refused.
const refusedReturn = 200 * time.Millisecond

// mayTryAgain reports whether another target may get the request.
func (x *exchange) mayTryAgain(ctx context.Context) bool {
	if ctx.Err() != nil || x.deadline-x.gateway.now() < leastTime {
		return false
	}
	return x.rule.Attempts == 0 || len(x.tried) < x.rule.Attempts
}

// giveUp returns the answer when no target gets the request any more.
func (x *exchange) giveUp(r placement.Refused) *answer {
	x.lastOutcome = string(r.Reason)
	if x.failure != nil {
		return x.failure
	}
	if x.mayHaveRun {
		return own(http.StatusBadGateway, "AnswerLost", 0)
	}
	return refused(r)
}

// afterRun returns the answer when a target may have run the request and no answer came.
func (x *exchange) afterRun(ctx context.Context) *answer {
	switch {
	case x.failure != nil:
		return x.failure
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return own(http.StatusGatewayTimeout, "TimedOut", 0)
	case ctx.Err() != nil:
		return own(http.StatusGatewayTimeout, "CallerLeft", 0)
	}
	return own(http.StatusBadGateway, "AnswerLost", 0)
}

// timedOut returns the answer when the time ended before a place was found.
func (x *exchange) timedOut(ctx context.Context) *answer {
	if x.mayHaveRun || x.failure != nil {
		return x.afterRun(ctx)
	}
	return refused(placement.Refused{Reason: placement.ReasonDeadlineCannotBeMet, RetryAfter: refusedReturn})
}

// place asks the service's homes for a place; both results are nil when the time ended first.
func (x *exchange) place(ctx context.Context) (*placement.Placed, *placement.Refused) {
	for _, s := range x.gateway.links.deciders(x.service) {
		x.decider = s
		x.asks++
		s.ask(x.inquiry, x.placementRequest())
		v, ended := x.await(ctx, s)
		switch v := v.(type) {
		case placement.Placed:
			s.decided()
			return &v, nil
		case placement.Refused:
			s.decided()
			return nil, &v
		}
		s.withdraw(x.inquiry)
		if ended {
			return nil, nil
		}
	}
	return nil, &placement.Refused{Reason: placement.ReasonNoTargets, RetryAfter: refusedReturn}
}

func (x *exchange) placementRequest() *placement.Request {
	return &placement.Request{
		Class: x.rule.Class, Priority: x.rule.Priority, Goal: x.goal, Deadline: x.deadline, Repeatable: x.repeatable(),
		Tried: x.tried, Fingerprint: x.request.fingerprint(), Domain: x.gateway.settings.Host.Domain,
	}
}

// await waits for a home's decision; it returns nil when the home gives none, and ended when the time is over.
func (x *exchange) await(ctx context.Context, s decider) (v placement.Verdict, ended bool) {
	ack := time.NewTimer(ackTimeout)
	defer ack.Stop()
	for {
		select {
		case e := <-x.inquiry.events:
			if e.from != s {
				x.decline(e)
				continue
			}
			if e.lost {
				return nil, false
			}
			switch e.verdict.(type) {
			case placement.Placed, placement.Refused:
				x.decided = e.verdict
				return e.verdict, false
			case placement.Queued:
				x.queued = true
				ack.Stop()
			case placement.Hedge:
				x.decline(e)
			}
		case <-ack.C:
			x.gateway.links.suspect(s.name())
			x.gateway.stats.silentHomes.Add(1)
			return nil, false
		case <-ctx.Done():
			return nil, true
		}
	}
}

// decline gives back a place that comes too late.
func (x *exchange) decline(e event) {
	if target, held := placeOf(e.verdict); held {
		e.from.end(x.inquiry, placement.RunEnd{Target: target, Outcome: placement.OutcomeCanceled})
	}
}

// try runs the request on a target, and on a second one when the home asks for that.
func (x *exchange) try(ctx context.Context, p placement.Placed) *result {
	runs := runs{exchange: x, results: make(chan *result, 2)}
	runs.start(ctx, x.decider, p)
	var worst *result
	for {
		select {
		case r := <-runs.results:
			runs.under--
			worst = better(r, worst)
			if r.outcome == placement.OutcomeAnswered || runs.under == 0 {
				runs.endOthers(worst)
				return worst
			}
		case e := <-x.inquiry.events:
			hedge, is := e.verdict.(placement.Hedge)
			if !is || e.from != x.decider || runs.under != 1 || !x.mayTryAgain(ctx) {
				x.decline(e)
				continue
			}
			x.hedges++
			runs.start(ctx, e.from, placement.Placed(hedge))
		}
	}
}

// runs are the runs of one try that go on beside each other.
type runs struct {
	exchange *exchange
	results  chan *result
	cancels  []context.CancelFunc
	// under is how many have not ended.
	under int
}

func (u *runs) start(ctx context.Context, from decider, p placement.Placed) {
	ctx, cancel := context.WithCancel(ctx)
	run := len(u.cancels)
	u.cancels = append(u.cancels, cancel)
	u.under++
	u.exchange.tried = append(u.exchange.tried, p.Target)
	go func() {
		r := u.exchange.attempt(ctx, from, p)
		r.run = run
		u.results <- r
	}()
}

// endOthers ends all runs but the one whose answer goes on.
func (u *runs) endOthers(kept *result) {
	for run, cancel := range u.cancels {
		if run != kept.run {
			cancel()
		}
	}
	if u.under > 0 {
		go u.discard()
	}
}

// discard closes the answers of runs that came second.
func (u *runs) discard() {
	for range u.under {
		if r := <-u.results; r.answer != nil && r.answer.rest != nil {
			_ = r.answer.rest.Close()
		}
	}
}

// better returns the result to go by when two runs have ended: the one that says most.
func better(a, b *result) *result {
	if b == nil || a.outcome == placement.OutcomeAnswered || a.outcome == placement.OutcomeFailed {
		return a
	}
	if b.outcome == placement.OutcomeFailed || !b.notRun() {
		return b
	}
	return a
}

// finish notes how the exchange ended.
func (x *exchange) finish(a *answer, sent bool) {
	x.cancel()
	x.gateway.finish(x, a, sent)
}
