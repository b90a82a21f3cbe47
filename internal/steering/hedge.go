package steering

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"briarcroft/internal/admission"
	"briarcroft/internal/backend"
)

// Times of hedging.
const (
	// hedgeRatio is how many times the expected latency a try may take before a second one starts.
	hedgeRatio    = 2.5
	minHedgeDelay = 5 * time.Millisecond
	// silentRatio and leastSilent say when a connection without an answer counts as silent.
	silentRatio   = 8
	minSilentTime = 100 * time.Millisecond
	// defaultHedgeDelay is the delay while no latency is known.
	defaultHedgeDelay = 100 * time.Millisecond
)

// hedge is a second try that starts when the first is late; whichever answers first wins and the other is cancelled.
type hedge struct {
	service *Service
	request *Request
	ctx     context.Context
	// cancelFirst ends the first try.
	cancelFirst context.CancelFunc
	excluded    string
	// winner is 0 until a try has answered, then 1 for the first and 2 for the second.
	winner   atomic.Int32
	done     chan struct{}
	response *Response
	failure  *failure
}

// attemptHedged makes one attempt and a second one beside it when the answer is late.
func (s *Service) attemptHedged(ctx context.Context, r *Request, excluded string) (*Response, *failure) {
	switch v := s.admit(ctx, r, excluded).(type) {
	case *admission.Assignment:
		return s.race(ctx, r, v)
	case *admission.Refusal:
		return nil, &failure{kind: failedAdmission, refusal: v}
	}
	return nil, &failure{kind: failedCanceledBeforeSend}
}

// race sends a bound request and a second try beside it when the first is late.
func (s *Service) race(ctx context.Context, r *Request, a *admission.Assignment) (*Response, *failure) {
	first, cancelFirst := context.WithCancel(ctx)
	second, cancelSecond := context.WithCancel(ctx)
	h := &hedge{service: s, request: r, ctx: second, cancelFirst: cancelFirst, excluded: a.Target, done: make(chan struct{})}
	start := time.Now()
	timer := time.AfterFunc(s.hedgeDelay(), h.runSecond)
	response, failed := s.exchange(first, r, a, backend.Try{})
	if timer.Stop() {
		cancelSecond()
		return cancelOnClose(response, cancelFirst), failed
	}
	if failed == nil && h.winner.CompareAndSwap(0, 1) {
		cancelSecond()
		<-h.done
		return cancelOnClose(response, cancelFirst), nil
	}
	<-h.done
	cancelFirst()
	if response != nil {
		// The second try answered first; its answer goes on.
		_ = response.Body.Close()
	}
	s.closeIdleIfSilent(failed, time.Since(start))
	if h.failure == nil {
		return cancelOnClose(h.response, cancelSecond), nil
	}
	cancelSecond()
	return nil, failed
}

// runSecond is the second try.
func (h *hedge) runSecond() {
	defer close(h.done)
	if h.service.queued() > 0 || !h.service.spendRetry() {
		h.failure = &failure{kind: failedCanceledBeforeSend}
		return
	}
	second := *h.request
	second.RetryAllowance = 0
	h.response, h.failure = h.service.attempt(h.ctx, &second, h.excluded, backend.Try{Fresh: true})
	if h.failure != nil {
		return
	}
	if h.winner.CompareAndSwap(0, 2) {
		h.cancelFirst()
		return
	}
	_ = h.response.Body.Close()
	h.failure = &failure{kind: failedCanceledAfterSend}
}

// queued returns the number of requests that wait at the gate.
func (s *Service) queued() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admission.Queued()
}

// hedgeDelay returns how long a try may take before a second one starts.
func (s *Service) hedgeDelay() time.Duration {
	s.mu.Lock()
	meanLatency := s.admission.Router().MeanLatency()
	s.mu.Unlock()
	if meanLatency == 0 {
		return defaultHedgeDelay
	}
	return max(minHedgeDelay, time.Duration(hedgeRatio*float64(meanLatency)))
}

// closeIdleIfSilent closes the idle connections to a target whose connection has been silent for too long.
func (s *Service) closeIdleIfSilent(failed *failure, elapsed time.Duration) {
	if failed == nil || failed.target == "" || elapsed < max(minSilentTime, silentRatio*s.expectedLatency(failed.target)) {
		return
	}
	if pool := s.pool(failed.target); pool != nil {
		pool.Suspect()
	}
}

// cancelOnClose ties a try's context to the end of its answer.
func cancelOnClose(response *Response, cancel context.CancelFunc) *Response {
	if response == nil || response.Buffered {
		cancel()
		return response
	}
	response.Body = &cancelingBody{response.Body, cancel}
	return response
}

// cancelingBody is a body whose end also ends its context.
type cancelingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (c *cancelingBody) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close()
}
