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
	outcome  placement.Outcome
	response *callerResponse
	load     *placement.Load
	took     time.Duration
	// index numbers the runs of one try.
	index int
}

// notRun reports whether the target certainly did not run the request.
func (r *result) notRun() bool {
	switch r.outcome {
	case placement.NotRun, placement.Unreachable, placement.Misplaced:
		return true
	}
	return false
}

// runOn sends the request to one target and tells the home how that ended.
func (x *exchange) runOn(ctx context.Context, from placer, p placement.Placed) *result {
	started := x.gateway.now()
	r := x.roundTrip(ctx, p)
	if r.took == 0 {
		r.took = x.gateway.now() - started
	}
	x.gateway.stats.attempts.Add(1)
	done := placement.Done{Target: p.Target, Outcome: r.outcome, Took: r.took, Load: r.load}
	if r.response != nil {
		done.Bytes = len(r.response.body)
	}
	from.endRun(x.pending, done)
	return r
}

func (x *exchange) roundTrip(ctx context.Context, p placement.Placed) *result {
	g := x.gateway
	started := g.now()
	pool := g.pools.get(p.Target, p.Address)
	response, err := pool.Do(x.targetRequest(ctx, p), backend.Try{Proven: !x.repeatable()})
	if err != nil {
		return &result{outcome: x.outcomeOfError(ctx, err)}
	}
	r := &result{load: g.parseLoad(response.Header), took: g.now() - started}
	if response.Header.Get(g.dialect.NotRunHeader) != "" || response.StatusCode == http.StatusMisdirectedRequest {
		r.outcome = placement.NotRun
		if response.StatusCode == http.StatusMisdirectedRequest {
			r.outcome = placement.Misplaced
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxHealthBytes))
		_ = response.Body.Close()
		return r
	}
	return x.readResponse(ctx, r, response)
}

// outcomeOfError tells how a run without an answer ended.
func (x *exchange) outcomeOfError(ctx context.Context, err error) placement.Outcome {
	ended := ctx.Err()
	switch {
	case errorx.IsOfType(err, backend.ErrNotSent) && ended == nil:
		return placement.Unreachable
	case errorx.IsOfType(err, backend.ErrFull):
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

// targetRequest builds the request that the target gets.
func (x *exchange) targetRequest(ctx context.Context, p placement.Placed) *http.Request {
	q := x.request
	r := (&http.Request{
		Method: q.method, Host: q.host, Header: q.header.Clone(), URL: &url.URL{Scheme: "http", Host: p.Address, Opaque: q.uri},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	backend.DropHops(r.Header)
	r.Header.Del("Expect")
	if r.Header.Get("User-Agent") == "" {
		// An empty field keeps the library from adding its own.
		r.Header.Set("User-Agent", "")
	}
	left := max(1, (x.deadline - x.gateway.now()).Milliseconds())
	r.Header.Set(x.gateway.dialect.DeadlineHeader, strconv.FormatInt(left, 10))
	r.Header.Set(x.gateway.dialect.ExpectedTargetHeader, p.Target)
	if len(q.body) > 0 {
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(q.body)), int64(len(q.body))
	}
	return r
}

// impliesNotRun reports whether callers take a status as the word that the request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// readResponse reads an answer whole, or its beginning when it is too large to hold.
func (x *exchange) readResponse(ctx context.Context, r *result, response *http.Response) *result {
	sealed := response.Header.Get(x.gateway.dialect.SealHeader) != ""
	if !sealed && (response.StatusCode < http.StatusMultipleChoices || impliesNotRun(response.StatusCode)) {
		_ = response.Body.Close()
		r.outcome = placement.Broken
		return r
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedResponse))
	if err != nil {
		_ = response.Body.Close()
		r.outcome = x.outcomeOfError(ctx, err)
		return r
	}
	c := &callerResponse{status: response.StatusCode, header: response.Header, body: body, length: int64(len(body))}
	backend.DropHops(c.header)
	if len(body) == maxBufferedResponse {
		c.unread, c.length = response.Body, response.ContentLength
	} else {
		_ = response.Body.Close()
	}
	if x.request.method == http.MethodHead {
		c.length = max(0, response.ContentLength)
	}
	r.response = c
	r.outcome = placement.Answered
	if response.StatusCode >= http.StatusInternalServerError {
		r.outcome = placement.Failed
	}
	return r
}
