package steering

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"briarcroft/internal/admission"
	"briarcroft/internal/backend"
	"briarcroft/internal/claim"
	"briarcroft/internal/record"
	"briarcroft/internal/route"

	"github.com/joomcode/errorx"
)

// bufferBytes is the largest answer that is read whole before its caller sees a byte, so that it can be tried again unseen.
const bufferBytes = 64 << 10

// failureKind says how an attempt failed, as far as a retry goes.
type failureKind int

const (
	// failedAtGate means that admission refused.
	failedAtGate failureKind = iota
	// failedGivenUp means that the context ended before the request was handed over.
	failedGivenUp
	// failedNotSent means that no byte reached the target.
	failedNotSent
	// failedRefused means that the target said that it did not run the request.
	failedRefused
	// failedBroken means that the request was handed over and no whole answer came.
	failedBroken
	// failedCancelled means that the context ended after the request was handed over.
	failedCancelled
	// failedServer means that the target answered with a gateway or availability error.
	failedServer
)

// failure is an attempt without a usable answer.
type failure struct {
	kind    failureKind
	target  string
	refused *admission.Refused
	// answer is the target's own answer, when there was one.
	answer *Answer
}

// attempt hands the request to one target, once.
func (s *Service) attempt(ctx context.Context, r *Request, avoid string, try backend.Try) (*Answer, *failure) {
	switch v := s.enter(ctx, r, avoid).(type) {
	case *admission.Bound:
		return s.exchange(ctx, r, v, try)
	case *admission.Refused:
		return nil, &failure{kind: failedAtGate, refused: v}
	}
	return nil, &failure{kind: failedGivenUp}
}

// exchange sends the request to the target that it is bound to and reads the answer.
func (s *Service) exchange(ctx context.Context, r *Request, b *admission.Bound, try backend.Try) (*Answer, *failure) {
	pool := s.pool(b.Target)
	if pool == nil {
		s.leave(b, 0, route.Abandoned)
		return nil, &failure{kind: failedNotSent, target: b.Target}
	}
	started := s.steering.config.Clock()
	response, err := pool.Do(outgoing(ctx, r, pool.target.Address), try)
	took := s.steering.config.Clock() - started
	if err != nil {
		return nil, s.failed(ctx, r, b, err, started)
	}
	s.readReport(b.Target, response)
	answer := &Answer{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, Target: b.Target}
	if slices.Contains(r.Rule.NotRunStatuses, response.StatusCode) {
		return nil, s.refused(b, response, answer, took)
	}
	if r.Idempotent && isUnavailable(response.StatusCode) {
		s.leave(b, took, route.Failed)
		s.readRefusal(answer, response)
		return nil, &failure{kind: failedServer, target: b.Target, answer: answer}
	}
	return s.readAnswer(ctx, r, b, response, answer, started)
}

// outgoing builds the request that the target gets.
func outgoing(ctx context.Context, r *Request, address string) *http.Request {
	out := (&http.Request{
		Method: r.Method, Host: r.Host, Header: r.Header.Clone(), ContentLength: r.Length,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	out.URL = parseURI(r.URI)
	out.URL.Scheme, out.URL.Host = "http", address
	switch {
	case r.Stream != nil:
		out.Body = io.NopCloser(r.Stream)
	case len(r.Body) > 0:
		out.Body = io.NopCloser(bytes.NewReader(r.Body))
		out.ContentLength = int64(len(r.Body))
	default:
		out.ContentLength = 0
	}
	out.Header.Set(HeaderDeadline, strconv.FormatInt(max(1, time.Until(r.Deadline).Milliseconds()), 10))
	out.Header.Set(HeaderAllowance, strconv.Itoa(r.Allowance))
	return out
}

func isUnavailable(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// failed ends an attempt whose connection could not be opened or broke.
func (s *Service) failed(ctx context.Context, r *Request, b *admission.Bound, err error, started time.Duration) *failure {
	now := s.steering.config.Clock()
	switch {
	case errorx.IsOfType(err, backend.ErrNotSent) && ctx.Err() != nil:
		s.leave(b, now-started, route.Abandoned)
		return &failure{kind: failedGivenUp, target: b.Target}
	case errorx.IsOfType(err, backend.ErrFull):
		s.leave(b, now-started, route.Refused)
		return &failure{kind: failedNotSent, target: b.Target}
	case errorx.IsOfType(err, backend.ErrNotSent):
		s.leave(b, now-started, route.Failed)
		return &failure{kind: failedNotSent, target: b.Target}
	case ctx.Err() != nil:
		s.leave(b, now-started, route.Abandoned)
		return &failure{kind: failedCancelled, target: b.Target}
	}
	s.leave(b, now-started, s.judgeBreak(now, started, r, b.Target))
	return &failure{kind: failedBroken, target: b.Target}
}

// judgeBreak decides whether a broken connection is held against the target or against the request.
func (s *Service) judgeBreak(now, started time.Duration, r *Request, target string) route.Outcome {
	if r.Fingerprint == 0 || !s.steering.config.Quarantine.Broke(now, started, r.Fingerprint, target) {
		return route.Failed
	}
	s.steering.config.Book.Add(record.Record{
		Kind: record.RequestQuarantined, Service: s.name, Target: target, Cause: "BrokeConnections", Note: s.steering.note(),
		Evidence: record.Evidence{Detail: strconv.FormatUint(r.Fingerprint, 16)},
	})
	s.steering.config.OnQuarantine()
	return route.Abandoned
}

// refused ends an attempt that the target refused under the rule.
func (s *Service) refused(b *admission.Bound, response *http.Response, answer *Answer, took time.Duration) *failure {
	s.leave(b, took, route.Refused)
	s.readRefusal(answer, response)
	answer.Outcome = claim.NotRun
	if response.Close {
		s.Drain(b.Target, route.CauseRefusal)
	}
	return &failure{kind: failedRefused, target: b.Target, answer: answer}
}

// readRefusal reads the start of a refusal's body, so that it can be passed on if no other target answers.
func (s *Service) readRefusal(answer *Answer, response *http.Response) {
	text, _ := io.ReadAll(io.LimitReader(response.Body, bufferBytes))
	// A refusal is passed on as far as it was read.
	_ = response.Body.Close()
	answer.keep(text)
}

// readReport takes in the load that a target reports on its answers.
func (s *Service) readReport(target string, response *http.Response) {
	if response.Header.Get(HeaderDraining) == "true" {
		s.report(target, route.Report{Draining: true})
		return
	}
	if text := response.Header.Get(HeaderLoad); text != "" {
		if n, err := strconv.Atoi(text); err == nil && n >= 0 {
			s.report(target, route.Report{InFlight: n})
		}
	}
}

// readAnswer reads a small answer whole and leaves a large one to stream.
func (s *Service) readAnswer(ctx context.Context, r *Request, b *admission.Bound, response *http.Response, answer *Answer, started time.Duration) (*Answer, *failure) {
	end := func(outcome route.Outcome) { s.leave(b, s.steering.config.Clock()-started, outcome) }
	if response.ContentLength > bufferBytes || response.Header.Get("Content-Type") == "text/event-stream" {
		s.streamAnswer(ctx, r, answer, response, end)
		return answer, nil
	}
	bodiless := r.Method == http.MethodHead || response.StatusCode == http.StatusNotModified
	text, err := readStart(response, bodiless)
	if err != nil {
		_ = response.Body.Close()
		return nil, s.failed(ctx, r, b, err, started)
	}
	if len(text) > bufferBytes {
		s.streamAnswer(ctx, r, answer, response, end)
		answer.Body = &prefixed{Reader: io.MultiReader(bytes.NewReader(text), answer.Body), Closer: answer.Body}
		return answer, nil
	}
	closeErr := response.Body.Close()
	end(outcomeOf(closeErr))
	if r.Fingerprint != 0 {
		s.steering.config.Quarantine.Succeeded(r.Fingerprint)
	}
	answer.keep(text)
	if bodiless {
		answer.Length = response.ContentLength
	}
	return answer, nil
}

// readStart reads a body up to one byte more than is read whole.
// A bodiless answer may name the length of a body that it does not have.
func readStart(response *http.Response, bodiless bool) ([]byte, error) {
	if response.ContentLength < 0 || bodiless {
		return io.ReadAll(io.LimitReader(response.Body, bufferBytes+1))
	}
	text := make([]byte, response.ContentLength)
	if _, err := io.ReadFull(response.Body, text); err != nil {
		return nil, err
	}
	// The end must be read too, or the connection cannot be used again.
	if n, err := response.Body.Read(make([]byte, 1)); n > 0 || err != io.EOF {
		return nil, io.ErrUnexpectedEOF
	}
	return text, nil
}

// keep makes text the whole body of the answer.
func (a *Answer) keep(text []byte) {
	a.Body, a.Text, a.Length, a.Whole = io.NopCloser(bytes.NewReader(text)), text, int64(len(text)), true
}

func outcomeOf(err error) route.Outcome {
	if err != nil {
		return route.Abandoned
	}
	return route.Succeeded
}

type prefixed struct {
	io.Reader
	io.Closer
}
