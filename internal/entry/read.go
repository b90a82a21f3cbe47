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

// noRule refuses a request that no rule matches. With a key it may have run before, where a rule did match.
func (f *front) noRule(r *http.Request) *steering.Refusal {
	refusal := &steering.Refusal{Status: http.StatusNotFound, Outcome: claim.NotRun, Reason: "NoRule"}
	if r.Header.Get("Idempotency-Key") != "" {
		refusal.Outcome = claim.Unknown
	}
	if f.host.Number() == 0 {
		refusal.Status, refusal.Reason, refusal.RetryAfter = http.StatusServiceUnavailable, "NoNoteYet", time.Second
	}
	return refusal
}

// read makes the request to steer from the caller's, with its body when that is small enough to hold.
func (f *front) read(w http.ResponseWriter, r *http.Request, rule note.Rule, arrived time.Time) (*steering.Request, *steering.Refusal) {
	limits := f.host.settings.Limits
	request := &steering.Request{
		Method: r.Method, Host: r.Host, URI: r.URL.RequestURI(), Header: forwarded(r), Rule: rule, Length: r.ContentLength,
		Idempotent: rule.IsIdempotent(r.Method), Domain: r.Header.Get(steering.HeaderDomain),
		Deadline: arrived.Add(allowed(r, rule.Deadline)), Allowance: allowance(r.Header),
	}
	if request.Domain == "" {
		request.Domain = f.host.settings.Host.Domain
	}
	if r.ContentLength > int64(limits.BodyBytes) {
		return nil, tooLarge
	}
	keyed := r.Header.Get("Idempotency-Key") != "" && !request.Idempotent
	hold := replayBytes
	if keyed {
		hold = limits.KeyedBodyBytes
	}
	if r.ContentLength == 0 || r.Body == nil {
		request.Fingerprint = fingerprint(request)
		return request, nil
	}
	body := http.MaxBytesReader(w, r.Body, int64(limits.BodyBytes))
	if r.ContentLength > int64(hold) && keyed {
		return nil, tooLarge
	}
	if r.ContentLength > int64(hold) || r.ContentLength < 0 && !keyed {
		request.Stream = body
		return request, nil
	}
	return f.hold(w, r, request, body, hold)
}

var tooLarge = &steering.Refusal{Status: http.StatusRequestEntityTooLarge, Outcome: claim.NotRun, Reason: "BodyTooLarge"}

// hold reads a body that is to be held; a caller that stalls is given up on.
func (f *front) hold(w http.ResponseWriter, r *http.Request, request *steering.Request, body io.Reader, limit int) (*steering.Request, *steering.Refusal) {
	control := http.NewResponseController(w)
	// A server that cannot set deadlines is a test's; the header timeout still holds there.
	_ = control.SetReadDeadline(time.Now().Add(stallTimeout))
	text, err := io.ReadAll(io.LimitReader(body, int64(limit)+1))
	_ = control.SetReadDeadline(time.Time{})
	switch {
	case err != nil:
		return nil, &steering.Refusal{Status: http.StatusBadRequest, Outcome: claim.Unknown, Reason: "BodyCut"}
	case len(text) > limit:
		return nil, tooLarge
	}
	request.Body, request.Length = text, int64(len(text))
	request.Fingerprint = fingerprint(request)
	return request, nil
}

// fingerprint names a request by its service, method, URI and body. The host field is left out,
// since a caller that sends a request again through another entry host may name that one.
func fingerprint(r *steering.Request) uint64 {
	d := xxhash.New()
	for _, part := range []string{r.Rule.Service, r.Method, r.URI} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return max(1, d.Sum64())
}

// allowed returns the time that a request has: the rule's, or less if the caller passed less on.
func allowed(r *http.Request, longest time.Duration) time.Duration {
	if n, err := strconv.ParseInt(r.Header.Get(steering.HeaderDeadline), 10, 64); err == nil && n > 0 {
		return min(longest, time.Duration(min(n, longest.Milliseconds()))*time.Millisecond)
	}
	return longest
}

// allowance returns how many more tries the request may make.
func allowance(header http.Header) int {
	if n, err := strconv.Atoi(header.Get(steering.HeaderAllowance)); err == nil && n >= 0 {
		return min(n, defaultAllowance)
	}
	return defaultAllowance
}

// forwarded returns the header fields that go on to the target.
func forwarded(r *http.Request) http.Header {
	header := r.Header.Clone()
	dropHops(header)
	if address, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		header.Add("X-Forwarded-For", address)
	}
	if _, given := header["User-Agent"]; !given {
		header.Set("User-Agent", "")
	}
	return header
}

// dropHops removes the fields that end at this host: those of one connection, and Expect, which the host answers itself.
func dropHops(header http.Header) {
	backend.RemoveHopByHopHeaders(header)
	header.Del("Expect")
}
