package entry

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"briarcroft/internal/claim"
	"briarcroft/internal/meter"
	"briarcroft/internal/note"
	"briarcroft/internal/record"
	"briarcroft/internal/ring"
	"briarcroft/internal/steering"

	"github.com/cespare/xxhash/v2"
)

// Times and sizes of the front.
const (
	// stallTimeout is how long a caller may take no byte of an answer.
	stallTimeout = 15 * time.Second
	copyBytes    = 32 << 10
	// replayBytes is the largest request body that is held so that an idempotent request can be tried again.
	replayBytes = 64 << 10
	// defaultAllowance is how many more tries a request from outside and all that it causes may make.
	defaultAllowance = 2
	// longestRun bounds how long a request may take after it began.
	longestRun = 5 * time.Minute
)

// reserved are the paths that the host answers itself.
const (
	pathAddresses = "/Addresses"
	pathNote      = "/Note"
	pathHealth    = "/Health"
	pathStatus    = "/Status"
	pathExplain   = "/Explain"
	pathVars      = "/debug/vars"
)

// front serves callers.
type front struct {
	host *Host
	mux  *http.ServeMux
	vars *expvar.Map
}

func (h *Host) newServer() *http.Server {
	f := &front{host: h, mux: http.NewServeMux(), vars: h.newVars()}
	f.mux.HandleFunc("GET "+pathAddresses, f.serveAddresses)
	f.mux.HandleFunc("GET "+pathNote, f.serveNote)
	f.mux.HandleFunc("GET "+pathHealth, f.serveHealth)
	f.mux.HandleFunc("GET "+pathStatus, f.serveStatus)
	f.mux.HandleFunc("GET "+pathExplain, f.serveExplain)
	f.mux.HandleFunc("GET "+pathVars, f.serveVars)
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	limits := h.settings.Limits
	return &http.Server{
		Handler: f, Protocols: protocols, ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout,
		MaxHeaderBytes: limits.HeaderBytes, ErrorLog: nil,
	}
}

// ServeHTTP implements http.Handler: reserved paths go to the host's own mux and all others to a target.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.host.table.Self().Leaving {
		w.Header().Set("Connection", "close")
	}
	switch r.URL.Path {
	case pathAddresses, pathNote, pathHealth, pathStatus, pathExplain, pathVars:
		f.mux.ServeHTTP(w, r)
	default:
		f.serveTarget(w, r)
	}
}

// serveTarget carries a request to a target of the service that its rule names.
func (f *front) serveTarget(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	f.host.stats.requests.Add(1)
	rule, service, found := f.host.steering.Match(r.Host, r.URL.Path, r.Method)
	if !found {
		refuse(w, f.noRule(r))
		return
	}
	request, refusal := f.read(w, r, rule, arrived)
	if refusal != nil {
		refuse(w, refusal)
		return
	}
	defer func() {
		f.host.histograms.Record(meter.Key{Service: rule.Service, Class: rule.Class}, time.Since(arrived))
	}()
	if o, held := f.host.quarantine.Check(f.host.now(), request.Fingerprint); held && request.Fingerprint != 0 {
		w.Header().Set(steering.HeaderReason, o.Reason)
		refuse(w, &steering.Refusal{Status: http.StatusUnprocessableEntity, Outcome: claim.Unknown, Reason: "Quarantined", RetryAfter: o.Remaining})
		return
	}
	if key := r.Header.Get("Idempotency-Key"); key != "" && !request.Idempotent {
		f.serveKeyed(w, r, request, key)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), request.Deadline)
	defer cancel()
	f.write(w, service.Run(ctx, request))
}

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

// hopFields are the header fields that end at one connection (RFC 9110, section 7.6.1).
var hopFields = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// forwarded returns the header fields that go on to the target.
func forwarded(r *http.Request) http.Header {
	header := r.Header.Clone()
	dropHops(header)
	if address, _, found := strings.Cut(r.RemoteAddr, ":"); found {
		header.Add("X-Forwarded-For", address)
	}
	if _, given := header["User-Agent"]; !given {
		header.Set("User-Agent", "")
	}
	return header
}

func dropHops(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopFields {
		header.Del(name)
	}
}

// write sends a result to the caller; an answer that was cut breaks the caller's connection.
func (f *front) write(w http.ResponseWriter, result steering.Result) {
	switch result := result.(type) {
	case *steering.Refusal:
		refuse(w, result)
	case *steering.Answer:
		f.writeAnswer(w, result)
	}
}

func (f *front) writeAnswer(w http.ResponseWriter, a *steering.Answer) {
	defer a.Body.Close()
	dropHops(a.Header)
	for name, values := range a.Header {
		if name != "Content-Length" {
			w.Header()[name] = values
		}
	}
	w.Header().Set(steering.HeaderTarget, a.Target)
	if a.Outcome != "" {
		w.Header().Set(steering.HeaderOutcome, string(a.Outcome))
	}
	if a.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	w.WriteHeader(a.Status)
	if a.Whole {
		// The caller went away if this fails.
		_, _ = w.Write(a.Text)
		return
	}
	if err := relay(w, a.Body, a.Length < 0); err != nil {
		f.host.stats.cut.Add(1)
		panic(http.ErrAbortHandler)
	}
}

// errStalled reports a caller that took no byte for too long.
var errStalled = errors.New("caller took no byte in time")

// copyBuffers holds the buffers of streams.
var copyBuffers = ring.NewBuffers(copyBytes)

// relay copies a body with back-pressure; each write has a deadline, so that a slow caller holds the host only so long.
func relay(w http.ResponseWriter, body io.Reader, flush bool) error {
	control := http.NewResponseController(w)
	held := copyBuffers.Take()
	defer copyBuffers.Put(held)
	buffer := *held
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			// A writer without deadlines is a peer's or a test's, which cannot stall.
			_ = control.SetWriteDeadline(time.Now().Add(stallTimeout))
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return errors.Join(errStalled, writeErr)
			}
			if flush {
				_ = control.Flush()
			}
		}
		if err == io.EOF {
			_ = control.SetWriteDeadline(time.Time{})
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// refuse answers in the host's own name.
func refuse(w http.ResponseWriter, r *steering.Refusal) {
	w.Header().Set(steering.HeaderOutcome, string(r.Outcome))
	if r.Reason != "" && w.Header().Get(steering.HeaderReason) == "" {
		w.Header().Set(steering.HeaderReason, r.Reason)
	}
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(int64((r.RetryAfter+time.Second-1)/time.Second), 10))
	}
	if r.RetryDone {
		w.Header().Set(steering.HeaderRetry, "Done")
	}
	writeJSON(w, r.Status, struct {
		Outcome           claim.Outcome
		Reason            string
		RetryAfterSeconds float64
	}{r.Outcome, r.Reason, r.RetryAfter.Seconds()})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller went away if this fails.
	_, _ = w.Write(append(text, '\n'))
}

// explain is a shorthand for records about this host.
func (h *Host) explain(kind record.Kind, cause string) {
	h.book.Add(record.Record{Kind: kind, Cause: cause, Note: h.chain.Number()})
}
