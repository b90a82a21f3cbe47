package entry

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"briarcroft/internal/claim"
	"briarcroft/internal/meter"
	"briarcroft/internal/record"
	"briarcroft/internal/steering"
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
	f.mux.Handle("GET "+pathExplain, f.host.book)
	f.mux.HandleFunc("GET "+pathVars, f.serveVars)
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	limits := h.settings.Limits
	return &http.Server{
		Handler: f, Protocols: protocols, ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout,
		MaxHeaderBytes: limits.HeaderBytes, TLSConfig: h.callerTLS,
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
		f.refuse(w, f.noRule(r))
		return
	}
	request, refusal := f.read(w, r, rule, arrived)
	if refusal != nil {
		f.refuse(w, refusal)
		return
	}
	defer func() {
		f.host.histograms.Record(meter.Key{Service: rule.Service, Class: rule.Class}, time.Since(arrived))
	}()
	if o, held := f.host.quarantine.Lookup(f.host.now(), request.Fingerprint); held && request.Fingerprint != 0 {
		w.Header().Set(steering.HeaderReason, o.Reason)
		f.refuse(w, &steering.Refusal{Status: http.StatusUnprocessableEntity, Outcome: claim.Unknown, Reason: "Quarantined", RetryAfter: o.Remaining})
		return
	}
	if key := r.Header.Get("Idempotency-Key"); key != "" && !request.Idempotent {
		f.serveKeyed(w, r, request, key)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	// The deadline holds until the answer begins; from then on a stream may take its time as long as it moves.
	deadline := time.AfterFunc(time.Until(request.Deadline), cancel)
	defer deadline.Stop()
	result := service.Run(ctx, request)
	deadline.Stop()
	f.write(w, result)
}

// explain is a shorthand for records about this host.
func (h *Host) explain(kind record.Kind, cause string) {
	h.book.Add(record.Record{Kind: kind, Cause: cause, Note: h.chain.Number()})
}
