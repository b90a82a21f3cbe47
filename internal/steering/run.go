package steering

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"briarcroft/internal/backend"
	"briarcroft/internal/claim"
)

// maxTries is the most targets that one request is handed to at this host.
const maxTries = 3

// Run runs a request on a target of the service, with the retries and hedges that the request and the budget allow.
func (s *Service) Run(ctx context.Context, r *Request) Result {
	s.firstTry()
	avoid := ""
	for try := 1; ; try++ {
		answer, failed := s.try(ctx, r, avoid)
		if failed == nil {
			return answer
		}
		if !mayRetry(ctx, r, failed) {
			return giveUp(ctx, r, failed, false)
		}
		if try >= maxTries || !s.takeRetry() {
			return giveUp(ctx, r, failed, true)
		}
		r.Allowance = max(0, r.Allowance-1)
		avoid = failed.target
	}
}

// try makes one attempt, hedged when the request may run twice.
func (s *Service) try(ctx context.Context, r *Request, avoid string) (*Answer, *failure) {
	if r.Idempotent && r.replayable() && r.Allowance > 0 {
		return s.hedged(ctx, r, avoid)
	}
	return s.attempt(ctx, r, avoid, backend.Options{RecentlyUsed: !r.Idempotent})
}

// mayRetry reports whether handing the request over again is safe and of use.
func mayRetry(ctx context.Context, r *Request, f *failure) bool {
	if ctx.Err() != nil || r.Allowance <= 0 {
		return false
	}
	switch f.kind {
	case failedNotSent:
		return true
	case failedRefused:
		return r.replayable()
	case failedBroken:
		return r.Idempotent && r.replayable()
	case failedServer:
		return r.replayable() && f.answer.Header.Get(HeaderRetry) != RetryDone
	case failedAtGate, failedGivenUp, failedCancelled:
	}
	return false
}

// giveUp turns the last failure into what the caller gets; denied is set when a retry was of use but not allowed.
func giveUp(ctx context.Context, r *Request, f *failure, denied bool) Result {
	done := denied || r.Allowance <= 0
	if f.answer != nil {
		if done {
			f.answer.Header.Set(HeaderRetry, RetryDone)
		}
		return f.answer
	}
	refusal := &Refusal{Status: http.StatusServiceUnavailable, Outcome: claim.NotRun, RetryDone: done}
	switch f.kind {
	case failedAtGate:
		refusal.Reason, refusal.RetryAfter = string(f.refused.Reason), f.refused.RetryAfter
	case failedGivenUp:
		refusal.Reason = "DeadlinePassedInQueue"
	case failedNotSent:
		refusal.Reason = "BackendServerRefusedConnection"
		refusal.RetryAfter = time.Second
	case failedBroken:
		refusal.Status, refusal.Outcome, refusal.Reason = http.StatusBadGateway, claim.Unknown, "ConnectionBroke"
	case failedCancelled:
		refusal.Status, refusal.Outcome, refusal.Reason = http.StatusGatewayTimeout, claim.Unknown, "DeadlinePassed"
	case failedRefused, failedServer:
	}
	return refusal
}

func (s *Service) firstTry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.First()
	s.requests++
	s.probeCredit = min(maxProbeCredit, s.probeCredit+probePerRequest)
}

// takeRetry spends one more try from the service's budget.
func (s *Service) takeRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Take()
}

func parseURI(uri string) *url.URL {
	u, err := url.ParseRequestURI(uri)
	if err != nil {
		return &url.URL{Path: "/"}
	}
	return u
}
