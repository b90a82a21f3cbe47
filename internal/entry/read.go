package entry

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"briarcroft/internal/backend"
	"briarcroft/internal/claim"
	"briarcroft/internal/note"
	"briarcroft/internal/steering"

	"github.com/cespare/xxhash/v2"
)

// noRuleRefusal returns the refusal of a request that no rule matches. The outcome of a request with an Idempotency-Key
// is unknown, because an earlier attempt may have run on a host whose note has a matching rule.
func (f *frontend) noRuleRefusal(r *http.Request) *steering.Refusal {
	refusal := &steering.Refusal{Status: http.StatusNotFound, Outcome: claim.NotRun, Reason: "NoRule"}
	if r.Header.Get("Idempotency-Key") != "" {
		refusal.Outcome = claim.Unknown
	}
	if f.host.NoteNumber() == 0 {
		refusal.Status, refusal.Reason, refusal.RetryAfter = http.StatusServiceUnavailable, "NoNoteYet", time.Second
	}
	return refusal
}

// readRequest converts a caller's request for the dispatcher. It buffers a small body, so that the request can be sent
// again, and leaves a larger one or one of unknown length to be streamed. The body of a keyed request is always buffered;
// a body that is too large for that, or larger than the limit for all requests, is refused.
func (f *frontend) readRequest(w http.ResponseWriter, r *http.Request, rule note.Rule, arrived time.Time) (*steering.Request, *steering.Refusal) {
	limits := f.host.settings.Limits
	request := &steering.Request{
		Method: r.Method, Host: r.Host, URI: r.URL.RequestURI(), Header: forwardedHeader(r), Rule: rule, Length: r.ContentLength,
		Idempotent: rule.IsIdempotent(r.Method), Domain: r.Header.Get(steering.HeaderDomain),
		Arrived: arrived, Deadline: arrived.Add(requestTimeout(r, rule.Deadline)), RetryAllowance: retryAllowance(r.Header),
	}
	if request.Domain == "" {
		request.Domain = f.host.settings.Host.Domain
	}
	if r.ContentLength > int64(limits.BodyBytes) {
		return nil, bodyTooLarge
	}
	keyed := r.Header.Get("Idempotency-Key") != "" && !request.Idempotent
	bufferLimit := maxReplayBytes
	if keyed {
		bufferLimit = limits.KeyedBodyBytes
	}
	if r.ContentLength == 0 || r.Body == nil {
		request.Fingerprint = fingerprint(request)
		return request, nil
	}
	body := http.MaxBytesReader(w, r.Body, int64(limits.BodyBytes))
	if r.ContentLength > int64(bufferLimit) && keyed {
		return nil, bodyTooLarge
	}
	if r.ContentLength > int64(bufferLimit) || r.ContentLength < 0 && !keyed {
		request.Stream = body
		return request, nil
	}
	return f.bufferBody(w, r, request, body, bufferLimit)
}

var bodyTooLarge = &steering.Refusal{Status: http.StatusRequestEntityTooLarge, Outcome: claim.NotRun, Reason: "BodyTooLarge"}

// bufferBody reads a body of up to limit bytes into request. It refuses a request whose body does not arrive within
// stallTimeout.
func (f *frontend) bufferBody(w http.ResponseWriter, r *http.Request, request *steering.Request, body io.Reader, limit int) (*steering.Request, *steering.Refusal) {
	control := http.NewResponseController(w)
	// An error means that the server does not support deadlines, as in some tests; its header timeout still applies.
	_ = control.SetReadDeadline(time.Now().Add(stallTimeout))
	content, err := io.ReadAll(io.LimitReader(body, int64(limit)+1))
	_ = control.SetReadDeadline(time.Time{})
	switch {
	case err != nil:
		return nil, &steering.Refusal{Status: http.StatusBadRequest, Outcome: claim.Unknown, Reason: "BodyCut"}
	case len(content) > limit:
		return nil, bodyTooLarge
	}
	request.Body, request.Length = content, int64(len(content))
	request.Fingerprint = fingerprint(request)
	return request, nil
}

// fingerprint returns a hash that identifies a request by its service, method, URI and body; it is never 0. It leaves out
// the Host header, because a caller that resends a request through another entry host may put that host's name there.
func fingerprint(r *steering.Request) uint64 {
	d := xxhash.New()
	for _, part := range []string{r.Rule.Service, r.Method, r.URI} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return max(1, d.Sum64())
}

// requestTimeout returns the deadline of the rule, or the shorter one of the caller's deadline header.
func requestTimeout(r *http.Request, longest time.Duration) time.Duration {
	if n, err := strconv.ParseInt(r.Header.Get(steering.HeaderDeadline), 10, 64); err == nil && n > 0 {
		return min(longest, time.Duration(min(n, longest.Milliseconds()))*time.Millisecond)
	}
	return longest
}

// retryAllowance returns the number of further attempts that the request may make: the one of the caller's header, at most
// the default.
func retryAllowance(header http.Header) int {
	if n, err := strconv.Atoi(header.Get(steering.HeaderRetryAllowance)); err == nil && n >= 0 {
		return min(n, defaultRetryAllowance)
	}
	return defaultRetryAllowance
}

// forwardedHeader returns the header of the request to the target: without hop-by-hop fields, with the caller's address in
// X-Forwarded-For, and with an empty User-Agent when the caller sent none, so that net/http does not add its own.
func forwardedHeader(r *http.Request) http.Header {
	header := r.Header.Clone()
	removeHopByHopHeaders(header)
	if address, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		header.Add("X-Forwarded-For", address)
	}
	if _, found := header["User-Agent"]; !found {
		header.Set("User-Agent", "")
	}
	return header
}

// removeHopByHopHeaders removes the header fields that concern one connection only, and Expect, which the host handles
// itself.
func removeHopByHopHeaders(header http.Header) {
	backend.RemoveHopByHopHeaders(header)
	header.Del("Expect")
}
