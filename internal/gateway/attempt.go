package gateway

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"briarcroft/internal/backend"
	"briarcroft/internal/notice"
	"briarcroft/internal/payload"
	"briarcroft/internal/placement"
	"briarcroft/internal/record"
	"briarcroft/internal/uri"

	"github.com/joomcode/errorx"
)

// outcomeNames are the names of outcomes in the request log.
var outcomeNames = map[placement.Outcome]string{
	placement.OutcomeAnswered: "Answered", placement.OutcomeFailed: "TargetFailed", placement.OutcomeNotRun: "TargetRefused",
	placement.OutcomeUnreachable: "TargetUnreachable", placement.OutcomeConnectionBroke: "ConnectionBroke", placement.OutcomeTimedOut: "TimedOut",
	placement.OutcomeCanceled: "Abandoned", placement.OutcomeOtherServer: "OtherTargetAtAddress",
	placement.OutcomeBlocked: "TargetEvacuated",
}

// runResult is how a run on a target ended.
type runResult struct {
	outcome placement.Outcome
	// response is what the caller may get; it is nil unless the outcome is OutcomeAnswered or OutcomeFailed.
	response *callerResponse
	load     *placement.LoadReport
	// rateLimit is that of placement.RunEnd.
	rateLimit *float64
	// duration is the time until the response header arrived, or until the run ended without one.
	duration time.Duration
	// blocked is set if nothing was sent because the target is evacuated or has said that it wants no requests.
	blocked bool
	// withheld is the reason why nothing was sent because the caller's key must not be accepted any more or this host has no
	// descriptor; it is empty otherwise.
	withheld placement.Reason
	// index is the position of the run among its hedgedRuns.
	index int
}

// notRun reports whether the target certainly did not run the request.
func (r *runResult) notRun() bool {
	switch r.outcome {
	case placement.OutcomeNotRun, placement.OutcomeUnreachable, placement.OutcomeOtherServer, placement.OutcomeBlocked:
		return true
	}
	return false
}

// moreConclusive returns the result that decides what the caller gets: a response first, then a run that may have
// reached the target, then one that certainly did not. The result b may be nil.
func moreConclusive(a, b *runResult) *runResult {
	if b == nil || a.outcome == placement.OutcomeAnswered || a.outcome == placement.OutcomeFailed {
		return a
	}
	if b.outcome == placement.OutcomeFailed || !b.notRun() {
		return b
	}
	return a
}

// runOn sends the request to one target and reports the end of the run to the home that placed it.
func (x *exchange) runOn(ctx context.Context, from placer, p placement.Placed) *runResult {
	started := x.gateway.now()
	x.gateway.stats.running.Add(1)
	defer x.gateway.stats.running.Add(-1)
	key, _ := x.gateway.noticeKey(p.Target)
	r := x.roundTrip(ctx, from, p, key)
	if r.duration == 0 {
		r.duration = x.gateway.now() - started
	}
	x.gateway.stats.attempts.Add(1)
	end := placement.RunEnd{Target: p.Target, Outcome: r.outcome, Duration: r.duration, Load: r.load, RateLimit: r.rateLimit, Notice: x.gateway.noticeOf(key)}
	switch {
	case r.response != nil:
		end.Bytes = int(r.response.body.Length())
		if x.gateway.settings.Placement.DomainPlan {
			// Of a very large response only the beginning has been read.
			end.Bytes = int(max(int64(end.Bytes), min(math.MaxUint32, r.response.length)))
		}
		x.gateway.countTargetBytes(p.Target, end.Bytes)
	case r.withheld != "":
		// The target has refused nothing.
		end.Outcome = placement.OutcomeCanceled
	}
	from.endRun(x.pending, end)
	return r
}

// countTargetBytes counts the bytes of a response by whether its target is in this host's failure domain.
func (g *Gateway) countTargetBytes(target string, bytes int) {
	if t, found := g.findTarget(target); found && t.Domain != g.settings.Host.Domain {
		g.stats.otherDomainBytes.Add(int64(bytes))
		return
	}
	g.stats.ownDomainBytes.Add(int64(bytes))
}

// roundTrip sends the request to the target that a home has chosen and reads the response. Notices of the target are recorded
// under the key.
func (x *exchange) roundTrip(ctx context.Context, from placer, p placement.Placed, key notice.Key) *runResult {
	g := x.gateway
	started := g.now()
	response, err := x.send(ctx, from, p)
	if err != nil {
		g.recordUnusable(p, err)
		return &runResult{
			outcome: x.outcomeOfError(ctx, err), blocked: errorx.IsOfType(err, errBlocked) || errorx.IsOfType(err, errEvacuated), withheld: withheldReason(err),
		}
	}
	g.readNotice(key, response.StatusCode, response.Header)
	r := &runResult{load: g.parseLoad(response.Header), rateLimit: g.parseRateLimit(response.Header), duration: g.now() - started}
	g.pools.recordLoad(p.Target, p.Address, r.load)
	if response.Header.Get(g.dialect.NotRunHeader) != "" || response.StatusCode == http.StatusMisdirectedRequest {
		r.outcome = placement.OutcomeNotRun
		if response.StatusCode == http.StatusMisdirectedRequest {
			r.outcome = placement.OutcomeOtherServer
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxHealthBytes))
		_ = response.Body.Close()
		return r
	}
	return x.readResponse(ctx, p, r, response)
}

// outcomeOfError returns the outcome of a run that ended with an error of the connection pool.
func (x *exchange) outcomeOfError(ctx context.Context, err error) placement.Outcome {
	ctxErr := ctx.Err()
	switch {
	case errorx.IsOfType(err, backend.ErrNotSent) && ctxErr == nil:
		return placement.OutcomeUnreachable
	case errorx.IsOfType(err, errEvacuated):
		return placement.OutcomeBlocked
	case errorx.IsOfType(err, backend.ErrPoolExhausted), errorx.IsOfType(err, errBlocked), withheldReason(err) != "":
		return placement.OutcomeNotRun
	case errorx.IsOfType(err, backend.ErrNotSent):
		return placement.OutcomeNotRun
	case errors.Is(ctxErr, context.DeadlineExceeded):
		return placement.OutcomeTimedOut
	case ctxErr != nil:
		return placement.OutcomeCanceled
	}
	return placement.OutcomeConnectionBroke
}

// targetRequest returns the request to send to a target: the caller's without hop-by-hop fields, with the remaining
// time, the target's name and the client account set, whatever the caller says of these fields.
func (x *exchange) targetRequest(ctx context.Context, p placement.Placed) *http.Request {
	q := x.request
	r := (&http.Request{
		Method: q.method, Host: q.host, Header: q.header.Clone(), URL: uri.URL(p.Address, q.uri),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	backend.RemoveHopByHopHeaders(r.Header, x.gateway.dialect.AttemptIDHeader)
	r.Header.Del("Expect")
	if x.account != nil {
		r.Header.Set(x.gateway.dialect.AccountHeader, x.account.Name)
	}
	if r.Header.Get("User-Agent") == "" {
		// An empty field keeps net/http from adding its own user agent.
		r.Header.Set("User-Agent", "")
	}
	remaining := max(1, (x.deadline - x.gateway.now()).Milliseconds())
	r.Header.Set(x.gateway.dialect.DeadlineHeader, strconv.FormatInt(remaining, 10))
	r.Header.Set(x.gateway.dialect.ExpectedTargetHeader, p.Target)
	if q.body.Length() > 0 {
		r.Body, r.ContentLength = q.body.Reader(), q.body.Length()
	}
	return r
}

// errFailureTooLarge reports an error response that is longer than maxFailureBytes.
var errFailureTooLarge = errors.New("the error response is too large")

// recordUnusable counts and records that a target sent what is no response to the request, if the error of backend.Pool.Do says so.
func (g *Gateway) recordUnusable(p placement.Placed, err error) {
	switch {
	case errorx.IsOfType(err, backend.ErrResponseTooLarge):
		g.recordTooLarge(p)
	case errorx.IsOfType(err, backend.ErrInvalidResponse):
		g.stats.invalidResponses.Add(1)
		g.recordResponse(record.ResponseInvalid, p, backend.InvalidReason(err))
	case errorx.IsOfType(err, backend.ErrUnidentifiedResponse):
		g.stats.unidentified.Add(1)
	}
}

// recordTooLarge counts and records that a target sent more than a response may have.
func (g *Gateway) recordTooLarge(p placement.Placed) {
	g.stats.tooLarge.Add(1)
	g.recordResponse(record.ResponseTooLarge, p, "Endless")
}

// recordResponse records a response of a target that was not taken, once in responseRecordInterval for each target.
func (g *Gateway) recordResponse(kind record.Kind, p placement.Placed, cause string) {
	if g.pools.mayRecordResponse(p.Target, p.Address) {
		g.records.Add(record.Record{Kind: kind, Target: p.Target, Cause: cause, Note: g.chain.Number(), Evidence: record.Evidence{Detail: p.Address}})
	}
}

// impliesNotRun reports whether callers understand a status as proof that the request was not run, so that they may
// send even an unsafe one again.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// streamedRules tells which rules have large responses. It is safe for concurrent use.
type streamedRules struct {
	// any is set once there was one.
	any atomic.Bool
	// seen holds, by the name of the rule, when a response was last passed on while it was read, on the clock of Gateway.now.
	seen sync.Map
}

// streamedRuleTime is for how long a rule is expected to have further such responses.
const streamedRuleTime = time.Minute

func (s *streamedRules) add(rule string, now time.Duration) {
	s.seen.Store(rule, now)
	s.any.Store(true)
}

// mayStream reports whether the response to a request may be passed on while it is read, as others to its rule have been.
func (g *Gateway) mayStream(q *request) bool {
	if !g.streamedRules.any.Load() {
		return false
	}
	rule, _ := g.rules.Load().match(q.host, q.path)
	seen, found := g.streamedRules.seen.Load(rule.Name)
	return found && g.now()-seen.(time.Duration) < streamedRuleTime
}

// readResponse reads a response completely, or its beginning when it reaches maxBufferedResponse or no memory is left. A
// success, or a status that implies that the request was not run, counts as a broken connection unless the seal header proves
// that the target itself sent it.
func (x *exchange) readResponse(ctx context.Context, p placement.Placed, r *runResult, response *http.Response) *runResult {
	sealed := response.Header.Get(x.gateway.dialect.SealHeader) != ""
	if !sealed && (response.StatusCode < http.StatusMultipleChoices || impliesNotRun(response.StatusCode)) {
		_ = response.Body.Close()
		r.outcome = placement.OutcomeConnectionBroke
		return r
	}
	body, limit := payload.NewBudgeted(x.gateway.responses, headerSize(response.Header)), int64(maxBufferedResponse)
	if response.StatusCode >= http.StatusMultipleChoices && response.ContentLength <= maxFailureBytes {
		// A failure may be kept while the request is retried. One of unknown length may have no end.
		body.Overdraws = true
		if response.ContentLength < 0 {
			limit = maxFailureBytes
		}
	}
	length := response.ContentLength
	if x.request.method == http.MethodHead {
		length = 0
	}
	ended, err := body.Fill(response.Body, length, limit)
	switch {
	case errors.Is(err, payload.ErrNoRoom):
		// What the target has run is delivered while it is read.
		x.gateway.stats.responsesUnbuffered.Add(1)
	case err == nil && !ended && body.Overdraws:
		err = errFailureTooLarge
		x.gateway.recordTooLarge(p)
		fallthrough
	case err != nil:
		body.Release()
		_ = response.Body.Close()
		r.outcome = x.outcomeOfError(ctx, err)
		return r
	}
	c := &callerResponse{status: response.StatusCode, header: response.Header, body: body, length: body.Length()}
	backend.RemoveHopByHopHeaders(c.header, x.gateway.dialect.SealHeader, x.gateway.dialect.AttemptIDHeader, "Retry-After", "Content-Type", "Content-Encoding")
	if ended {
		_ = response.Body.Close()
	} else {
		c.unread, c.length = response.Body, length
		x.gateway.streamedRules.add(x.rule.Name, x.gateway.now())
	}
	if x.request.method == http.MethodHead {
		c.length = max(0, response.ContentLength)
	}
	r.response = c
	r.outcome = placement.OutcomeAnswered
	if response.StatusCode >= http.StatusInternalServerError {
		r.outcome = placement.OutcomeFailed
	}
	return r
}
