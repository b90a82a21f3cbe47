package gateway

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"slices"
	"time"

	"briarcroft/internal/host"
	"briarcroft/internal/meter"
	"briarcroft/internal/note"
	"briarcroft/internal/page"
)

// Limits of the directory and of the host's other pages.
const (
	// maxAddresses bounds the addresses in one directory response.
	maxAddresses = 64
	// minNearHosts is how many ready hosts a caller's failure domain or region needs for the caller to be sent to only
	// those.
	minNearHosts = 3
	// pageReadTimeout bounds the reading of a request header for a page of the host itself.
	pageReadTimeout = 3 * time.Second
)

// servePages serves pages of the host itself until the context ends.
func (g *Gateway) servePages(ctx context.Context, l net.Listener, pages http.Handler) error {
	guarded := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if g.recovered("Page", recover()) {
				http.Error(w, "internal error", http.StatusInternalServerError)
			}
		}()
		pages.ServeHTTP(w, r)
	})
	server := &http.Server{Handler: guarded, ReadHeaderTimeout: pageReadTimeout, IdleTimeout: 4 * pageReadTimeout}
	stop := context.AfterFunc(ctx, func() {
		// Requests to these pages are short, so they are not waited for; the listener is closed with the host.
		_ = server.Close()
	})
	defer stop()
	err := server.Serve(countedListener{l, &g.connections.pages})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// serveReady serves the readiness check: status 200 while the host is ready and 503 otherwise.
func (g *Gateway) serveReady(ctx context.Context, l net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+g.dialect.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.members.Self().Ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return g.servePages(ctx, l, mux)
}

// serveDirectory serves the directory, which tells callers the addresses of entry hosts to connect to.
func (g *Gateway) serveDirectory(ctx context.Context, l net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+g.dialect.AddressesPath, func(w http.ResponseWriter, r *http.Request) {
		domain, region := g.dialect.ParseAddresses(r)
		addresses := g.addresses(domain, region)
		if len(addresses) == 0 {
			http.Error(w, "no host is ready", http.StatusServiceUnavailable)
			return
		}
		page.WriteJSON(w, http.StatusOK, g.dialect.AddressesBody(addresses, int(g.reloadable.Load().Limits.AddressMaxAge/time.Second)))
	})
	return g.servePages(ctx, l, mux)
}

// addresses returns the addresses of ready hosts for a caller of a failure domain and region. Callers choose among them
// at random, so hosts of other domains are included only when the caller's domain has fewer than minNearHosts, and
// hosts of other regions only when its region has too few as well. Hosts that reach no target are left out unless none does. If there are more than maxAddresses, each response names
// the next ones, so that all get about as many callers.
func (g *Gateway) addresses(domain, region string) []string {
	live := host.WithTargets(g.members.Live(g.now()))
	for _, isNear := range []func(host.Member) bool{
		func(m host.Member) bool { return m.Domain == domain },
		func(m host.Member) bool { return m.Region == region },
	} {
		near := slices.DeleteFunc(slices.Clone(live), func(m host.Member) bool { return !isNear(m) })
		if len(near) >= minNearHosts {
			return listenAddresses(near, g.directoryPosition.Add(maxAddresses))
		}
	}
	return listenAddresses(live, g.directoryPosition.Add(maxAddresses))
}

// listenAddresses returns the callers' addresses of up to maxAddresses hosts from a position of the list on, which starts
// again after its end.
func listenAddresses(members []host.Member, position uint64) []string {
	addresses := make([]string, 0, maxAddresses)
	for i := range min(len(members), maxAddresses) {
		addresses = append(addresses, members[(position+uint64(i))%uint64(len(members))].Listen)
	}
	return addresses
}

// serveMetrics serves the operator's pages: metrics, the note in force, the host's status and its change records.
func (g *Gateway) serveMetrics(ctx context.Context, l net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /Metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		// A write error means that the client has disconnected; there is nobody to report it to.
		_, _ = w.Write([]byte(g.vars().String() + "\n"))
	})
	mux.HandleFunc("GET /Note", g.serveNote)
	mux.HandleFunc("GET /Status", g.serveStatus)
	mux.Handle("GET /Explain", g.records)
	mux.HandleFunc("GET /Allowance", g.serveAllowance)
	return g.servePages(ctx, l, mux)
}

// serveNote serves the status of the note, that is the configuration revision, in force.
func (g *Gateway) serveNote(w http.ResponseWriter, _ *http.Request) {
	head, hash, _ := g.chain.Head()
	page.WriteJSON(w, http.StatusOK, note.Status{
		Host: g.settings.Host.Name, Incarnation: g.incarnation, Number: head.Number, Hash: hash, Configuration: head.Configuration,
		InForceSince: time.UnixMilli(g.inForceSince.Load()).UTC(), Operator: head.Note.Operator, Reason: head.Note.Reason,
	})
}

// serveStatus serves the membership and the latencies as this host sees them.
func (g *Gateway) serveStatus(w http.ResponseWriter, _ *http.Request) {
	self := g.members.Self()
	page.WriteJSON(w, http.StatusOK, struct {
		Host, Domain   string
		Incarnation    uint64
		Ready, Leaving bool
		Note           int
		Peers          []host.Member
		Latency        []meter.Summary
		Unwritten      int64
		Allowances     *allowanceStatus `json:",omitempty"`
		Evacuated      []evacuationStatus
	}{
		self.Name, self.Domain, g.incarnation, self.Ready, self.Leaving, self.Note, g.members.Peers(),
		g.histograms.Summaries(), g.unwrittenLines(), g.allowanceStatus(), g.evacuationStatuses(),
	})
}

// vars returns the metrics: counters, gauges and latency histograms.
func (g *Gateway) vars() *expvar.Map {
	s := &g.stats
	vars := new(expvar.Map).Init()
	for _, v := range []struct {
		name  string
		value func() any
	}{
		{"Requests", func() any { return s.requests.Load() }},
		{"Answered", func() any { return s.answered.Load() }},
		{"Refused", func() any { return s.refused.Load() }},
		{"Failed", func() any { return s.failed.Load() }},
		{"NotFound", func() any { return s.notFound.Load() }},
		{"CutAnswers", func() any { return s.truncated.Load() }},
		{"RejectedRequests", func() any { return s.rejected.Load() }},
		{"WaitingRequests", func() any { return s.waiting.Load() }},
		{"RunningRequests", func() any { return s.running.Load() }},
		{"BodiesRejected", func() any { return s.bodiesRejected.Load() }},
		{"HeldBodyBytes", func() any { return g.bodies.Used() }},
		{"ResponsesUnbuffered", func() any { return s.responsesUnbuffered.Load() }},
		{"HeldResponseBytes", func() any { return g.responses.Used() }},
		{"Attempts", func() any { return s.attempts.Load() }},
		{"Probes", func() any { return s.primaryProbes.Load() + s.fallbackProbes.Load() }},
		{"Quarantined", func() any { return s.quarantined.Load() }},
		{"UnknownKeys", func() any { return s.unknownKeys.Load() }},
		{"ConfigurationTooOld", func() any { return s.tooOld.Load() }},
		{"PrimaryProbes", func() any { return s.primaryProbes.Load() }},
		{"FallbackProbes", func() any { return s.fallbackProbes.Load() }},
		{"PrimaryLimitedRuns", func() any { return s.primaryLimitedRuns.Load() }},
		{"FallbackLimitedRuns", func() any { return s.fallbackLimitedRuns.Load() }},
		{"StoreBytesSent", func() any { return s.storeBytesSent.Load() }},
		{"StoreBytesReceived", func() any { return s.storeBytesReceived.Load() }},
		{"FollowsStarted", func() any { return s.followsStarted.Load() }},
		{"Followers", func() any { return g.followers.count() }},
		{"StoreCalls", func() any { return s.storeCalls.Load() }},
		{"StoreChecks", func() any { return s.storeChecks.Load() }},
		{"StoreAgeMilliseconds", func() any { return g.knowledgeAge().Milliseconds() }},
		{"ProvenAgeMilliseconds", func() any { return g.provenAge().Milliseconds() }},
		{"StoreLost", func() any { return g.storeWatch.unreachable.Load() }},
		{"SilentHomes", func() any { return s.unresponsiveHomes.Load() }},
		{"InvalidResponses", func() any { return s.invalidResponses.Load() }},
		{"ResponsesTooLarge", func() any { return s.tooLarge.Load() }},
		{"UnidentifiedResponses", func() any { return s.unidentified.Load() }},
		{"TargetsLost", func() any { return g.reach.Lost() }},
		{"RelayedRequests", func() any { return s.relayed.Load() }},
		{"RequestsForPeers", func() any { return s.relayedForPeers.Load() }},
		{"StoreRestores", func() any { return s.restores.Load() }},
		{"Evacuated", func() any { return g.evacuationStatuses() }},
		{"ColdTargets", func() any { return g.rateLimits.ColdTargets(g.now()) }},
		{"TargetNotices", func() any { return s.notices.Load() }},
		{"ReachChecks", func() any { return s.reachChecks.Load() }},
		{"SlowReaders", func() any { return s.slowReaders.Load() }},
		{"Connections", func() any { return g.connectionCounts() }},
		{"Descriptors", func() any { return g.descriptorCounts() }},
		{"ConnectionsReclaimed", func() any { return s.reclaimed.Load() }},
		{"ConnectionsRefused", func() any { return s.refusedConns.Load() }},
		{"AcceptFailures", func() any { return s.acceptFailures.Load() }},
		{"OpenConnections", func() any { return g.openConns.Load() }},
		{"Note", func() any { return g.chain.Number() }},
		{"UnwrittenLines", func() any { return g.unwrittenLines() }},
		{"Panics", func() any { return s.panics.Load() }},
		{"LostLogLines", func() any { return g.config.LostLogLines() }},
		{"InnerBytesSent", func() any { return g.client.BytesSent() }},
		{"OwnDomainBytes", func() any { return s.ownDomainBytes.Load() }},
		{"OtherDomainBytes", func() any { return s.otherDomainBytes.Load() }},
		{"InnerTraffic", func() any { return g.client.Traffic() }},
		{"Latencies", func() any { return g.histograms.Summaries() }},
		{"Queued", func() any { return g.homeServer.queuedByService() }},
		{"Allowances", func() any { return g.allowanceStatus() }},
		{"SecondRuns", func() any { return s.secondRuns.status() }},
	} {
		vars.Set(v.name, expvar.Func(v.value))
	}
	return vars
}
