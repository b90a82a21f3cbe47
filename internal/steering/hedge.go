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
	hedgeRatio = 2.5
	leastHedge = 5 * time.Millisecond
	// silentRatio and leastSilent say when a connection without an answer counts as silent.
	silentRatio = 8
	leastSilent = 100 * time.Millisecond
	// unknownHedge is the delay while no latency is known.
	unknownHedge = 100 * time.Millisecond
)

// hedge is a second try that starts when the first is late; whichever answers first wins and the other is cancelled.
type hedge struct {
	service *Service
	request *Request
	ctx     context.Context
	// cancelFirst ends the first try.
	cancelFirst context.CancelFunc
	avoid       string
	// won is 0 until a try has answered, then 1 for the first and 2 for the second.
	won    atomic.Int32
	done   chan struct{}
	answer *Answer
	failed *failure
}

// hedged makes one attempt and a second one beside it when the answer is late.
func (s *Service) hedged(ctx context.Context, r *Request, avoid string) (*Answer, *failure) {
	switch v := s.enter(ctx, r, avoid).(type) {
	case *admission.Bound:
		return s.race(ctx, r, v)
	case *admission.Refused:
		return nil, &failure{kind: failedAtGate, refused: v}
	}
	return nil, &failure{kind: failedGivenUp}
}

// race sends a bound request and a second try beside it when the first is late.
func (s *Service) race(ctx context.Context, r *Request, b *admission.Bound) (*Answer, *failure) {
	first, cancelFirst := context.WithCancel(ctx)
	second, cancelSecond := context.WithCancel(ctx)
	h := &hedge{service: s, request: r, ctx: second, cancelFirst: cancelFirst, avoid: b.Target, done: make(chan struct{})}
	start := time.Now()
	timer := time.AfterFunc(s.hedgeDelay(), h.run)
	answer, failed := s.exchange(first, r, b, backend.Options{})
	if timer.Stop() {
		cancelSecond()
		return release(answer, cancelFirst), failed
	}
	if failed == nil && h.won.CompareAndSwap(0, 1) {
		cancelSecond()
		<-h.done
		return release(answer, cancelFirst), nil
	}
	<-h.done
	cancelFirst()
	if answer != nil {
		// The second try answered first; its answer goes on.
		_ = answer.Body.Close()
	}
	s.suspect(failed, time.Since(start))
	if h.failed == nil {
		return release(h.answer, cancelSecond), nil
	}
	cancelSecond()
	return nil, failed
}

// run is the second try.
func (h *hedge) run() {
	defer close(h.done)
	if h.service.queued() > 0 || !h.service.takeRetry() {
		h.failed = &failure{kind: failedGivenUp}
		return
	}
	again := *h.request
	again.Allowance = 0
	h.answer, h.failed = h.service.attempt(h.ctx, &again, h.avoid, backend.Options{NewConnection: true})
	if h.failed != nil {
		return
	}
	if h.won.CompareAndSwap(0, 2) {
		h.cancelFirst()
		return
	}
	_ = h.answer.Body.Close()
	h.failed = &failure{kind: failedCancelled}
}

// queued returns the number of requests that wait at the gate.
func (s *Service) queued() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Queued()
}

// hedgeDelay returns how long a try may take before a second one starts.
func (s *Service) hedgeDelay() time.Duration {
	s.mu.Lock()
	usual := s.gate.Router().Usual()
	s.mu.Unlock()
	if usual == 0 {
		return unknownHedge
	}
	return max(leastHedge, time.Duration(hedgeRatio*float64(usual)))
}

// suspect closes the idle connections to a target whose connection has been silent for too long.
func (s *Service) suspect(failed *failure, took time.Duration) {
	if failed == nil || failed.target == "" || took < max(leastSilent, silentRatio*s.expected(failed.target)) {
		return
	}
	if pool := s.pool(failed.target); pool != nil {
		pool.CloseIdle()
	}
}

// release ties a try's context to the end of its answer.
func release(answer *Answer, cancel context.CancelFunc) *Answer {
	if answer == nil || answer.Whole {
		cancel()
		return answer
	}
	answer.Body = &cancelling{answer.Body, cancel}
	return answer
}

// cancelling is a body whose end also ends its context.
type cancelling struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (c *cancelling) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close()
}
