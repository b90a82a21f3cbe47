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
	"briarcroft/internal/quarantine"
	"briarcroft/internal/record"
	"briarcroft/internal/route"

	"github.com/joomcode/errorx"
)

// maxBufferedBytes is the size of the largest response that is buffered completely before any of it is sent to the
// caller, so that a request whose response breaks off can be retried without the caller noticing.
const maxBufferedBytes = 64 << 10

// failureKind is how an attempt failed, as far as it matters for a retry.
type failureKind int

const (
	// failedAdmission means that admission control refused the request.
	failedAdmission failureKind = iota
	// failedCanceledBeforeSend means that the context ended before the request was sent.
	failedCanceledBeforeSend
	// failedNotSent means that no byte of the request was sent to the target.
	failedNotSent
	// failedRefused means that the target responded that it did not run the request.
	failedRefused
	// failedConnectionBroke means that the request was sent but no complete response arrived.
	failedConnectionBroke
	// failedCanceledAfterSend means that the context ended after the request was sent.
	failedCanceledAfterSend
	// failedUnavailable means that the target responded with status 502, 503 or 504.
	failedUnavailable
)

// failure is the result of an attempt without a usable response.
type failure struct {
	kind    failureKind
	target  string
	refusal *admission.Refusal
	// response is the target's own response, or nil if there was none.
	response *Response
}

// attempt sends the request to one target, once.
func (s *Service) attempt(ctx context.Context, r *Request, excluded string, options backend.Options) (*Response, *failure) {
	switch v := s.admit(ctx, r, excluded).(type) {
	case *admission.Assignment:
		return s.exchange(ctx, r, v, options)
	case *admission.Refusal:
		return nil, &failure{kind: failedAdmission, refusal: v}
	}
	return nil, &failure{kind: failedCanceledBeforeSend}
}

// exchange sends the request to the target that it is assigned to and reads the response.
func (s *Service) exchange(ctx context.Context, r *Request, a *admission.Assignment, options backend.Options) (*Response, *failure) {
	pool := s.pool(a.Target)
	if pool == nil {
		s.finish(a, 0, route.Abandoned)
		return nil, &failure{kind: failedNotSent, target: a.Target}
	}
	started := s.dispatcher.config.Clock()
	httpResponse, err := pool.Do(newTargetRequest(ctx, r, pool.target.Address), options)
	latency := s.dispatcher.config.Clock() - started
	if err != nil {
		return nil, s.connectionFailure(ctx, r, a, err, started)
	}
	s.readLoadReport(a.Target, httpResponse)
	response := &Response{Status: httpResponse.StatusCode, Header: httpResponse.Header, Length: httpResponse.ContentLength, Target: a.Target}
	if slices.Contains(r.Rule.NotRunStatuses, httpResponse.StatusCode) {
		return nil, s.targetRefusal(a, httpResponse, response, latency)
	}
	if r.Idempotent && isUnavailable(httpResponse.StatusCode) {
		s.finish(a, latency, route.Failed)
		s.bufferRefusal(response, httpResponse)
		return nil, &failure{kind: failedUnavailable, target: a.Target, response: response}
	}
	return s.readResponse(ctx, r, a, httpResponse, response, started)
}

// newTargetRequest returns the HTTP request to send to a target.
func newTargetRequest(ctx context.Context, r *Request, address string) *http.Request {
	request := (&http.Request{
		Method: r.Method, Host: r.Host, Header: r.Header.Clone(), ContentLength: r.Length,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	request.URL = parseURI(r.URI)
	request.URL.Scheme, request.URL.Host = "http", address
	switch {
	case r.Stream != nil:
		request.Body = io.NopCloser(r.Stream)
	case len(r.Body) > 0:
		request.Body = io.NopCloser(bytes.NewReader(r.Body))
		request.ContentLength = int64(len(r.Body))
	default:
		request.ContentLength = 0
	}
	request.Header.Set(HeaderDeadline, strconv.FormatInt(max(1, time.Until(r.Deadline).Milliseconds()), 10))
	request.Header.Set(HeaderRetryAllowance, strconv.Itoa(r.RetryAllowance))
	return request
}

func isUnavailable(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// connectionFailure finishes an attempt whose connection could not be opened or broke.
func (s *Service) connectionFailure(ctx context.Context, r *Request, a *admission.Assignment, err error, started time.Duration) *failure {
	now := s.dispatcher.config.Clock()
	switch {
	case errorx.IsOfType(err, backend.ErrNotSent) && ctx.Err() != nil:
		s.finish(a, now-started, route.Abandoned)
		return &failure{kind: failedCanceledBeforeSend, target: a.Target}
	case errorx.IsOfType(err, backend.ErrPoolExhausted):
		s.finish(a, now-started, route.Refused)
		return &failure{kind: failedNotSent, target: a.Target}
	case errorx.IsOfType(err, backend.ErrNotSent):
		s.finish(a, now-started, route.Failed)
		return &failure{kind: failedNotSent, target: a.Target}
	case ctx.Err() != nil:
		s.finish(a, now-started, route.Abandoned)
		return &failure{kind: failedCanceledAfterSend, target: a.Target}
	}
	s.finish(a, now-started, s.classifyBreak(now, started, r, a.Target))
	return &failure{kind: failedConnectionBroke, target: a.Target}
}

// classifyBreak decides whether a broken connection counts against the target or against the request. A request that
// has broken the connections of two targets is put in quarantine, and the break does not count against the target.
func (s *Service) classifyBreak(now, started time.Duration, r *Request, target string) route.Outcome {
	broken := quarantine.Break{Target: target, Started: started, Ended: now, Fingerprints: []uint64{r.Fingerprint}}
	if r.Fingerprint == 0 {
		return route.Failed
	}
	if _, quarantined := s.dispatcher.config.Quarantine.RecordBreak(now, broken); !quarantined {
		return route.Failed
	}
	s.dispatcher.config.Records.Add(record.Record{
		Kind: record.RequestQuarantined, Service: s.name, Target: target, Cause: "BrokeConnections", Note: s.dispatcher.noteNumber(),
		Evidence: record.Evidence{Detail: strconv.FormatUint(r.Fingerprint, 16)},
	})
	s.dispatcher.config.OnQuarantine()
	return route.Abandoned
}

// targetRefusal finishes an attempt whose response has one of the rule's NotRunStatuses. A target that also closes the
// connection is drained.
func (s *Service) targetRefusal(a *admission.Assignment, httpResponse *http.Response, response *Response, latency time.Duration) *failure {
	s.finish(a, latency, route.Refused)
	s.bufferRefusal(response, httpResponse)
	response.Outcome = claim.NotRun
	if httpResponse.Close {
		s.Drain(a.Target, route.CauseRefusedAndClosed)
	}
	return &failure{kind: failedRefused, target: a.Target, response: response}
}

// bufferRefusal buffers the start of the body of a refusal or error, so that it can be sent to the caller if no other
// target responds.
func (s *Service) bufferRefusal(response *Response, httpResponse *http.Response) {
	content, _ := io.ReadAll(io.LimitReader(httpResponse.Body, maxBufferedBytes))
	// An incomplete body is used as far as it was read.
	_ = httpResponse.Body.Close()
	response.setBody(content)
}

// readLoadReport applies the load report in the header of a response.
func (s *Service) readLoadReport(target string, httpResponse *http.Response) {
	if httpResponse.Header.Get(HeaderDraining) == "true" {
		s.applyReport(target, route.LoadReport{Draining: true})
		return
	}
	if value := httpResponse.Header.Get(HeaderLoad); value != "" {
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			s.applyReport(target, route.LoadReport{InFlight: n})
		}
	}
}

// readResponse buffers a small response completely and leaves a large one or an event stream to be streamed.
func (s *Service) readResponse(ctx context.Context, r *Request, a *admission.Assignment, httpResponse *http.Response, response *Response, started time.Duration) (*Response, *failure) {
	finishRequest := func(outcome route.Outcome) { s.finish(a, s.dispatcher.config.Clock()-started, outcome) }
	if httpResponse.ContentLength > maxBufferedBytes || httpResponse.Header.Get("Content-Type") == "text/event-stream" {
		s.streamResponse(ctx, r, response, httpResponse, finishRequest)
		return response, nil
	}
	noBody := r.Method == http.MethodHead || httpResponse.StatusCode == http.StatusNotModified
	content, err := readPrefix(httpResponse, noBody)
	if err != nil {
		_ = httpResponse.Body.Close()
		return nil, s.connectionFailure(ctx, r, a, err, started)
	}
	if len(content) > maxBufferedBytes {
		s.streamResponse(ctx, r, response, httpResponse, finishRequest)
		response.Body = &prefixedBody{Reader: io.MultiReader(bytes.NewReader(content), response.Body), Closer: response.Body}
		return response, nil
	}
	closeErr := httpResponse.Body.Close()
	finishRequest(outcomeOf(closeErr))
	if r.Fingerprint != 0 {
		s.dispatcher.config.Quarantine.RecordSuccess(s.dispatcher.config.Clock(), r.Fingerprint)
	}
	response.setBody(content)
	if noBody {
		response.Length = httpResponse.ContentLength
	}
	return response, nil
}

// readPrefix reads a body up to one byte more than maxBufferedBytes, so that the caller sees whether it fits.
// NoBody is set for responses without a body, whose Content-Length may be that of a body that is not sent.
func readPrefix(httpResponse *http.Response, noBody bool) ([]byte, error) {
	if httpResponse.ContentLength < 0 || noBody {
		return io.ReadAll(io.LimitReader(httpResponse.Body, maxBufferedBytes+1))
	}
	content := make([]byte, httpResponse.ContentLength)
	if _, err := io.ReadFull(httpResponse.Body, content); err != nil {
		return nil, err
	}
	// The connection can be reused only after the end of the body has been read.
	if n, err := httpResponse.Body.Read(make([]byte, 1)); n > 0 || err != io.EOF {
		return nil, io.ErrUnexpectedEOF
	}
	return content, nil
}

// setBody sets the complete body of the response.
func (r *Response) setBody(content []byte) {
	r.Body, r.Content, r.Length, r.Buffered = io.NopCloser(bytes.NewReader(content)), content, int64(len(content)), true
}

func outcomeOf(err error) route.Outcome {
	if err != nil {
		return route.Abandoned
	}
	return route.Succeeded
}

type prefixedBody struct {
	io.Reader
	io.Closer
}
