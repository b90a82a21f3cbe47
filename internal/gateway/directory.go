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

// Times and counts of the directory.
const (
	// mostAddresses bounds the addresses in one answer.
	mostAddresses = 64
	// leastNear is how many ready hosts a caller's failure domain needs for the caller to be sent to those alone.
	leastNear = 3
	// plainTimeout bounds the reading of requests to the host's own pages.
	plainTimeout = 3 * time.Second
)

// serveHTTP serves a host's own pages until the context ends.
func serveHTTP(ctx context.Context, l net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: plainTimeout, IdleTimeout: 4 * plainTimeout}
	stop := context.AfterFunc(ctx, func() {
		// The listener closes with the host; requests to these pages are short.
		_ = server.Close()
	})
	defer stop()
	err := server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (g *Gateway) serveReady(ctx context.Context, l net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+g.dialect.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.table.Self().Ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return serveHTTP(ctx, l, mux)
}

func (g *Gateway) serveDirectory(ctx context.Context, l net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+g.dialect.AddressesPath, func(w http.ResponseWriter, r *http.Request) {
		domain, region := g.dialect.ParseAddresses(r)
		addresses := g.addresses(domain, region)
		if len(addresses) == 0 {
			http.Error(w, "no host is ready", http.StatusServiceUnavailable)
			return
		}
		page.WriteJSON(w, http.StatusOK, g.dialect.AddressesBody(addresses, int(g.tunable.Load().Limits.AddressMaxAge/time.Second)))
	})
	return serveHTTP(ctx, l, mux)
}

// addresses returns where a caller of a failure domain should connect. Callers choose among them at random, so those
// of other domains are named only when the caller's own has few hosts.
func (g *Gateway) addresses(domain, region string) []string {
	live := g.table.Live(g.now())
	for _, near := range []func(host.Member) bool{
		func(m host.Member) bool { return m.Domain == domain },
		func(m host.Member) bool { return m.Region == region },
	} {
		list := slices.DeleteFunc(slices.Clone(live), func(m host.Member) bool { return !near(m) })
		if len(list) >= leastNear {
			return listens(list)
		}
	}
	return listens(live)
}

func listens(members []host.Member) []string {
	var list []string
	for _, m := range members[:min(len(members), mostAddresses)] {
		list = append(list, m.Listen)
	}
	return list
}

func (g *Gateway) serveMetrics(ctx context.Context, l net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /Metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		// A reader that has gone reads no error either.
		_, _ = w.Write([]byte(g.vars().String() + "\n"))
	})
	mux.HandleFunc("GET /Note", g.serveNote)
	mux.HandleFunc("GET /Status", g.serveStatus)
	mux.Handle("GET /Explain", g.book)
	return serveHTTP(ctx, l, mux)
}

func (g *Gateway) serveNote(w http.ResponseWriter, _ *http.Request) {
	head, hash, _ := g.chain.Head()
	page.WriteJSON(w, http.StatusOK, note.Status{
		Host: g.settings.Host.Name, Incarnation: g.incarnation, Number: head.Number, Hash: hash, Configuration: head.Configuration,
		InForceSince: time.UnixMilli(g.inForce.Load()).UTC(), Operator: head.Note.Operator, Reason: head.Note.Reason,
	})
}

func (g *Gateway) serveStatus(w http.ResponseWriter, _ *http.Request) {
	self := g.table.Self()
	page.WriteJSON(w, http.StatusOK, struct {
		Host, Domain   string
		Incarnation    uint64
		Ready, Leaving bool
		Note           int
		Peers          []host.Member
		Latency        []meter.Summary
		Unwritten      int64
	}{
		self.Name, self.Domain, g.incarnation, self.Ready, self.Leaving, self.Note, g.table.Peers(),
		g.histograms.Summaries(), g.trace.unwritten.Load() + g.book.Unwritten(),
	})
}

// vars returns the counters and histograms.
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
		{"CutAnswers", func() any { return s.cut.Load() }},
		{"RejectedRequests", func() any { return s.rejected.Load() }},
		{"Attempts", func() any { return s.attempts.Load() }},
		{"Probes", func() any { return s.probes.Load() }},
		{"StoreCalls", func() any { return s.storeCalls.Load() }},
		{"StoreLost", func() any { return g.watch.lost.Load() }},
		{"SilentHomes", func() any { return s.silentHomes.Load() }},
		{"SlowReaders", func() any { return s.slowReaders.Load() }},
		{"OpenConnections", func() any { return g.open.Load() }},
		{"Note", func() any { return g.chain.Number() }},
		{"UnwrittenLines", func() any { return g.trace.unwritten.Load() + g.book.Unwritten() }},
		{"InnerBytesSent", func() any { return g.client.BytesSent() }},
		{"Latencies", func() any { return g.histograms.Summaries() }},
		{"Queued", func() any { return g.homes.queued() }},
	} {
		vars.Set(v.name, expvar.Func(v.value))
	}
	return vars
}
