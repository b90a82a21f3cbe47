package entry

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"time"

	"briarcroft/internal/claim"
	"briarcroft/internal/message"
	"briarcroft/internal/meter"
	"briarcroft/internal/record"
	"briarcroft/internal/steering"
	"briarcroft/internal/uri"
)

// Limits of the frontend.
const (
	// stallTimeout bounds one write of a response body to a caller, and the reading of a request body that is buffered.
	stallTimeout = 15 * time.Second
	// copyBufferBytes is the size of the buffers through which response bodies are streamed.
	copyBufferBytes = 32 << 10
	// maxReplayBytes is the largest request body that is buffered so that the request can be sent again. For non-idempotent
	// requests with a key, the setting KeyedBodyBytes applies instead.
	maxReplayBytes = 64 << 10
	// defaultRetryAllowance is how many further attempts a request and all calls it causes may make in total.
	// Callers can only lower it, through the retry allowance header.
	defaultRetryAllowance = 2
	// maxRunTime is the longest time for which a request may run, which is the longest deadline that a rule may set.
	// The idempotency table keeps an entry for this long after the window in which its grant may be used.
	maxRunTime = 5 * time.Minute
)

// Reserved paths, which the host answers itself instead of forwarding them to a target.
const (
	pathAddresses = "/Addresses"
	pathNote      = "/Note"
	pathHealth    = "/Health"
	pathStatus    = "/Status"
	pathExplain   = "/Explain"
	pathVars      = "/debug/vars"
)

// frontend is the HTTP handler for callers.
type frontend struct {
	host *Host
	mux  *http.ServeMux
	vars *expvar.Map
}

func (h *Host) newCallerServer() *http.Server {
	f := &frontend{host: h, mux: http.NewServeMux(), vars: h.newVars()}
	f.mux.HandleFunc("GET "+pathAddresses, f.serveAddresses)
	f.mux.HandleFunc("GET "+pathNote, f.serveNote)
	f.mux.HandleFunc("GET "+pathHealth, f.serveHealth)
	f.mux.HandleFunc("GET "+pathStatus, f.serveStatus)
	f.mux.Handle("GET "+pathExplain, f.host.records)
	f.mux.HandleFunc("GET "+pathVars, f.serveVars)
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	limits := h.settings.Limits
	return &http.Server{
		Handler: f, Protocols: protocols, ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout,
		MaxHeaderBytes: limits.HeaderBytes, TLSConfig: h.callerTLS, BaseContext: func(net.Listener) context.Context { return h.requests }, ConnContext: h.callerConns.add, ConnState: h.callerConns.setState,
	}
}

// ServeHTTP implements http.Handler: the host answers requests for reserved paths itself and proxies all others to a
// target. While the host is leaving, it closes HTTP/1.1 connections after each response so that callers connect to other
// hosts.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.host.membership.Self().Leaving {
		w.Header().Set("Connection", "close")
	}
	if r.Context().Value(refusedConn{}) != nil {
		w.Header().Set("Connection", "close")
		f.writeRefusal(w, tooManyConnections())
		return
	}
	switch r.URL.Path {
	case pathAddresses, pathNote, pathHealth, pathStatus, pathExplain, pathVars:
		f.mux.ServeHTTP(w, r)
	default:
		f.proxyRecovered(&responseState{ResponseWriter: w}, r)
	}
}

// proxyRecovered does the same as proxyRequest. After a panic the caller gets a response unless one has begun, which then ends
// early.
func (f *frontend) proxyRecovered(w *responseState, r *http.Request) {
	defer func() {
		value := recover()
		switch {
		case value == nil:
		case value == http.ErrAbortHandler, f.host.recovered("Request", value) && w.begun:
			panic(http.ErrAbortHandler)
		default:
			f.writeRefusal(w, panicRefusal())
		}
	}()
	f.proxyRequest(w, r)
}

// proxyRequest sends a request to a target of the service that the matching rule names, and returns its response.
// It refuses a request whose fingerprint is in quarantine because it has crashed several targets.
func (f *frontend) proxyRequest(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	f.host.stats.requests.Add(1)
	if problem := message.CheckRequest(r, r.Header[steering.HeaderDeadline], r.Header["Idempotency-Key"]); problem != nil {
		w.Header().Set("Connection", "close")
		f.writeRefusal(w, &steering.Refusal{Status: problem.Status, Outcome: claim.NotRun, Reason: problem.Reason})
		return
	}
	rule, service, found := f.host.dispatcher.Match(r.Host, uri.PathOf(r.URL.RequestURI()), r.Method)
	if !found {
		f.writeRefusal(w, f.noRuleRefusal(r))
		return
	}
	request, refusal := f.readRequest(w, r, rule, arrived)
	if refusal != nil {
		f.writeRefusal(w, refusal)
		return
	}
	defer func() {
		f.host.histograms.Record(meter.Key{Service: rule.Service, Class: rule.Class}, time.Since(arrived))
	}()
	if quarantined, inQuarantine := f.host.quarantine.Lookup(f.host.now(), request.Fingerprint); inQuarantine && request.Fingerprint != 0 {
		w.Header().Set(steering.HeaderReason, quarantined.Reason)
		f.writeRefusal(w, &steering.Refusal{Status: http.StatusUnprocessableEntity, Outcome: claim.Unknown, Reason: "Quarantined", RetryAfter: quarantined.Remaining})
		return
	}
	if key := r.Header.Get("Idempotency-Key"); key != "" && !request.Idempotent {
		f.serveKeyed(w, r, request, key)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	// The deadline applies until the response begins. After that, a streamed body may take longer than the deadline;
	// only the write timeout in copyBody limits it.
	deadline := time.AfterFunc(time.Until(request.Deadline), cancel)
	defer deadline.Stop()
	result := service.Run(ctx, request)
	deadline.Stop()
	if refusal, isRefusal := result.(*steering.Refusal); isRefusal && refusal.Outcome == claim.Unknown && f.host.requests.Err() != nil {
		result = hostStopped()
	}
	f.writeResult(w, result)
}

// addRecord adds an event record about this host, with the number of the note in force.
func (h *Host) addRecord(kind record.Kind, cause string) {
	h.records.Add(record.Record{Kind: kind, Cause: cause, Note: h.chain.Number()})
}
