package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"briarcroft/internal/backend"
	"briarcroft/internal/placement"

	"github.com/joomcode/errorx"
)

// outcomeNames are the outcomes of runs as logs show them.
var outcomeNames = map[placement.Outcome]string{
	placement.Answered: "Answered", placement.Failed: "TargetFailed", placement.NotRun: "TargetRefused",
	placement.Unreachable: "TargetUnreachable", placement.Broken: "ConnectionBroke", placement.Silent: "TimedOut",
	placement.Abandoned: "Abandoned", placement.Misplaced: "OtherTargetAtAddress",
}

// result is how a run on a target ended.
type result struct {
	outcome placement.Outcome
	answer  *answer
	load    *placement.Load
	took    time.Duration
	// run numbers the runs of one try.
	run int
}

// notRun reports whether the target certainly did not run the request.
func (r *result) notRun() bool {
	switch r.outcome {
	case placement.NotRun, placement.Unreachable, placement.Misplaced:
		return true
	}
	return false
}

// attempt sends the request to one target and tells the home how that ended.
func (x *exchange) attempt(ctx context.Context, from decider, p placement.Placed) *result {
	started := x.gateway.now()
	r := x.send(ctx, p)
	if r.took == 0 {
		r.took = x.gateway.now() - started
	}
	x.gateway.stats.attempts.Add(1)
	done := placement.Done{Target: p.Target, Outcome: r.outcome, Took: r.took, Load: r.load}
	if r.answer != nil {
		done.Bytes = len(r.answer.body)
	}
	from.end(x.inquiry, done)
	return r
}

func (x *exchange) send(ctx context.Context, p placement.Placed) *result {
	g := x.gateway
	started := g.now()
	pool := g.pools.get(p.Target, p.Address)
	response, err := pool.Do(x.outgoing(ctx, p), backend.Options{RecentlyUsed: !x.repeatable()})
	if err != nil {
		return &result{outcome: x.sendFailure(ctx, err)}
	}
	r := &result{load: g.load(response.Header), took: g.now() - started}
	if response.Header.Get(g.dialect.NotRunHeader) != "" || response.StatusCode == http.StatusMisdirectedRequest {
		r.outcome = placement.NotRun
		if response.StatusCode == http.StatusMisdirectedRequest {
			r.outcome = placement.Misplaced
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, longestHealth))
		_ = response.Body.Close()
		return r
	}
	return x.readAnswer(ctx, r, response)
}

// sendFailure tells how a run without an answer ended.
func (x *exchange) sendFailure(ctx context.Context, err error) placement.Outcome {
	ended := ctx.Err()
	switch {
	case errorx.IsOfType(err, backend.ErrNotSent) && ended == nil:
		return placement.Unreachable
	case errorx.IsOfType(err, backend.ErrPoolExhausted):
		return placement.NotRun
	case errorx.IsOfType(err, backend.ErrNotSent):
		return placement.NotRun
	case errors.Is(ended, context.DeadlineExceeded):
		return placement.Silent
	case ended != nil:
		return placement.Abandoned
	}
	return placement.Broken
}

// outgoing builds the request that the target gets.
func (x *exchange) outgoing(ctx context.Context, p placement.Placed) *http.Request {
	q := x.request
	r := (&http.Request{
		Method: q.method, Host: q.host, Header: q.header.Clone(), URL: &url.URL{Scheme: "http", Host: p.Address, Opaque: q.uri},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	backend.RemoveHopByHopHeaders(r.Header)
	r.Header.Del("Expect")
	if r.Header.Get("User-Agent") == "" {
		// An empty field keeps the library from adding its own.
		r.Header.Set("User-Agent", "")
	}
	left := max(1, (x.deadline - x.gateway.now()).Milliseconds())
	r.Header.Set(x.gateway.dialect.DeadlineHeader, strconv.FormatInt(left, 10))
	r.Header.Set(x.gateway.dialect.ExpectHeader, p.Target)
	if len(q.body) > 0 {
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(q.body)), int64(len(q.body))
	}
	return r
}

// promisesNotRun reports whether callers take a status as the word that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// readAnswer reads an answer whole, or its beginning when it is too large to hold.
func (x *exchange) readAnswer(ctx context.Context, r *result, response *http.Response) *result {
	sealed := response.Header.Get(x.gateway.dialect.SealHeader) != ""
	if !sealed && (response.StatusCode < http.StatusMultipleChoices || promisesNotRun(response.StatusCode)) {
		_ = response.Body.Close()
		r.outcome = placement.Broken
		return r
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, wholeBytes))
	if err != nil {
		_ = response.Body.Close()
		r.outcome = x.sendFailure(ctx, err)
		return r
	}
	a := &answer{status: response.StatusCode, header: response.Header, body: body, length: int64(len(body))}
	backend.RemoveHopByHopHeaders(a.header)
	if len(body) == wholeBytes {
		a.rest, a.length = response.Body, response.ContentLength
	} else {
		_ = response.Body.Close()
	}
	if x.request.method == http.MethodHead {
		a.length = max(0, response.ContentLength)
	}
	r.answer = a
	r.outcome = placement.Answered
	if response.StatusCode >= http.StatusInternalServerError {
		r.outcome = placement.Failed
	}
	return r
}
