package steering

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"briarcroft/internal/admission"
	"briarcroft/internal/backend"
)

// Parameters of hedging.
const (
	// hedgeRatio is the multiple of the service's mean latency after which a second attempt starts, but not before
	// minHedgeDelay.
	hedgeRatio    = 2.5
	minHedgeDelay = 5 * time.Millisecond
	// unresponsiveRatio is the multiple of the target's expected latency after which a connection without a response
	// counts as unresponsive, but not before minUnresponsiveTime.
	unresponsiveRatio   = 8
	minUnresponsiveTime = 100 * time.Millisecond
	// defaultHedgeDelay is the delay of the second attempt while no latency has been measured.
	defaultHedgeDelay = 100 * time.Millisecond
)

// hedge is the state of a request with a second attempt, which starts if the first has no response after the hedge
// delay. Whichever response comes first is used, and the other attempt is canceled.
type hedge struct {
	service *Service
	request *Request
	// ctx is the context of the second attempt.
	ctx context.Context
	// cancelFirst cancels the first attempt.
	cancelFirst context.CancelFunc
	// excluded is the target of the first attempt.
	excluded string
	// winner is 0 until an attempt has a response, then 1 for the first attempt or 2 for the second.
	winner atomic.Int32
	// done is closed when the second attempt has ended; response or failure is then its result.
	done     chan struct{}
	response *Response
	failure  *failure
}

// attemptHedged makes one attempt, and a second one in parallel if the response is late.
func (s *Service) attemptHedged(ctx context.Context, r *Request, excluded string) (*Response, *failure) {
	switch v := s.admit(ctx, r, excluded).(type) {
	case *admission.Assignment:
		return s.exchangeHedged(ctx, r, v)
	case *admission.Refusal:
		return nil, &failure{kind: failedAdmission, refusal: v}
	}
	return nil, &failure{kind: failedCanceledBeforeSend}
}

// exchangeHedged sends an assigned request, and makes a second attempt in parallel if the first is late.
func (s *Service) exchangeHedged(ctx context.Context, r *Request, a *admission.Assignment) (*Response, *failure) {
	first, cancelFirst := context.WithCancel(ctx)
	second, cancelSecond := context.WithCancel(ctx)
	h := &hedge{service: s, request: r, ctx: second, cancelFirst: cancelFirst, excluded: a.Target, done: make(chan struct{})}
	start := time.Now()
	timer := time.AfterFunc(s.hedgeDelay(), h.runSecond)
	response, failed := s.exchange(first, r, a, backend.Options{})
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
		// The second attempt had its response first; that response is used.
		_ = response.Body.Close()
	}
	s.closeIdleIfUnresponsive(failed, time.Since(start))
	if h.failure == nil {
		return cancelOnClose(h.response, cancelSecond), nil
	}
	cancelSecond()
	return nil, failed
}

// runSecond makes the second attempt, unless requests are queued or the retry budget is spent.
func (h *hedge) runSecond() {
	defer close(h.done)
	if onPanic := h.service.dispatcher.config.OnPanic; onPanic != nil {
		defer func() {
			if value := recover(); value != nil {
				onPanic(value)
				h.failure = &failure{kind: failedCanceledAfterSend}
			}
		}()
	}
	if h.service.queued() > 0 || !h.service.spendRetry() {
		h.failure = &failure{kind: failedCanceledBeforeSend}
		return
	}
	second := *h.request
	second.RetryAllowance = 0
	h.response, h.failure = h.service.attempt(h.ctx, &second, h.excluded, backend.Options{NewConnection: true})
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

// queued returns the number of queued requests.
func (s *Service) queued() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admission.Queued()
}

// hedgeDelay returns how long the first attempt may take before a second one starts.
func (s *Service) hedgeDelay() time.Duration {
	s.mu.Lock()
	meanLatency := s.admission.Router().MeanLatency()
	s.mu.Unlock()
	if meanLatency == 0 {
		return defaultHedgeDelay
	}
	return max(minHedgeDelay, time.Duration(hedgeRatio*float64(meanLatency)))
}

// closeIdleIfUnresponsive closes the idle connections to a target that has sent no response for so long that they are
// probably broken too.
func (s *Service) closeIdleIfUnresponsive(failed *failure, elapsed time.Duration) {
	if failed == nil || failed.target == "" || elapsed < max(minUnresponsiveTime, unresponsiveRatio*s.expectedLatency(failed.target)) {
		return
	}
	if pool := s.pool(failed.target); pool != nil {
		pool.CloseIdle()
	}
}

// cancelOnClose cancels an attempt's context when the body of its response is closed, or at once if the body is already
// buffered or there is no response.
func cancelOnClose(response *Response, cancel context.CancelFunc) *Response {
	if response == nil || response.Buffered {
		cancel()
		return response
	}
	response.Body = &cancelingBody{response.Body, cancel}
	return response
}

// cancelingBody is a response body that cancels the context of its request when it is closed.
type cancelingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (c *cancelingBody) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close()
}
