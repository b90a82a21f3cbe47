package steering

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"briarcroft/internal/backend"
	"briarcroft/internal/claim"
)

// maxAttempts is the maximum number of attempts per request on this host; hedges are not counted.
const maxAttempts = 3

// Run runs a request on a target of the service, with the retries and hedges that the request and the retry budget
// allow. The result is a *Response, which may report an error of the target, or a *Refusal.
func (s *Service) Run(ctx context.Context, r *Request) Result {
	s.recordRequest()
	if !s.mayStartRun(r) {
		return hostStopping()
	}
	excluded := ""
	var last *failure
	for attempt := 1; ; attempt++ {
		response, failed := s.attemptOnce(ctx, r, excluded)
		stopping := failed != nil && failed.kind == failedCanceledBeforeSend && ctx.Err() == nil && !s.mayStartRun(r)
		switch {
		case failed == nil:
			return response
		case stopping && last != nil:
			// An earlier attempt may have run.
			return resultOf(ctx, r, last, true)
		case stopping:
			return hostStopping()
		case !mayRetry(ctx, r, failed) || !s.mayStartRun(r):
			return resultOf(ctx, r, failed, false)
		}
		if attempt >= maxAttempts || !s.spendRetry() {
			return resultOf(ctx, r, failed, true)
		}
		r.RetryAllowance = max(0, r.RetryAllowance-1)
		excluded, last = failed.target, failed
	}
}

// mayStartRun reports whether a run of the request may be started, as far as a graceful stop of the host is concerned.
func (s *Service) mayStartRun(r *Request) bool {
	now := s.dispatcher.config.Clock()
	return s.dispatcher.config.Stop.MayStartRun(now, now-time.Since(r.Arrived), now+time.Until(r.Deadline))
}

// hostStopping returns the refusal of a request that the host cannot finish before its stop. Other hosts can take it at once, so it names
// no time to wait.
func hostStopping() *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Outcome: claim.NotRun, Reason: "HostStopping"}
}

// attemptOnce makes one attempt, with a hedge if the request may run more than once.
func (s *Service) attemptOnce(ctx context.Context, r *Request, excluded string) (*Response, *failure) {
	if r.Idempotent && r.replayable() && r.RetryAllowance > 0 {
		return s.attemptHedged(ctx, r, excluded)
	}
	return s.attempt(ctx, r, excluded, backend.Options{Once: !r.Idempotent})
}

// mayRetry reports whether sending the request again is safe and may help.
func mayRetry(ctx context.Context, r *Request, f *failure) bool {
	if ctx.Err() != nil || r.RetryAllowance <= 0 {
		return false
	}
	switch f.kind {
	case failedNotSent:
		return true
	case failedRefused:
		return r.replayable()
	case failedConnectionBroke:
		return r.Idempotent && r.replayable()
	case failedUnavailable:
		return r.replayable() && f.response.Header.Get(HeaderRetry) != RetryDone
	case failedAdmission, failedCanceledBeforeSend, failedCanceledAfterSend:
	}
	return false
}

// resultOf converts the last failure to the caller's result. Denied is set if a retry might have helped but was denied.
func resultOf(ctx context.Context, r *Request, f *failure, denied bool) Result {
	done := denied || r.RetryAllowance <= 0
	if f.response != nil {
		if done {
			f.response.Header.Set(HeaderRetry, RetryDone)
		}
		return f.response
	}
	refusal := &Refusal{Status: http.StatusServiceUnavailable, Outcome: claim.NotRun, RetryDone: done}
	switch f.kind {
	case failedAdmission:
		refusal.Reason, refusal.RetryAfter = string(f.refusal.Reason), f.refusal.RetryAfter
	case failedCanceledBeforeSend:
		refusal.Reason = "DeadlinePassedInQueue"
	case failedNotSent:
		refusal.Reason = "BackendServerRefusedConnection"
		refusal.RetryAfter = time.Second
	case failedConnectionBroke:
		refusal.Status, refusal.Outcome, refusal.Reason = http.StatusBadGateway, claim.Unknown, "ConnectionBroke"
	case failedCanceledAfterSend:
		refusal.Status, refusal.Outcome, refusal.Reason = http.StatusGatewayTimeout, claim.Unknown, "DeadlinePassed"
	case failedRefused, failedUnavailable:
	}
	return refusal
}

func (s *Service) recordRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.RecordRequest()
	s.requestCount++
	s.probeCredit = min(maxProbeCredit, s.probeCredit+probePerRequest)
}

// spendRetry spends one retry or hedge of the service's retry budget and reports whether it was allowed.
func (s *Service) spendRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.TrySpend()
}

func parseURI(uri string) *url.URL {
	u, err := url.ParseRequestURI(uri)
	if err != nil {
		return &url.URL{Path: "/"}
	}
	return u
}
