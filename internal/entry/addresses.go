package entry

import (
	"expvar"
	"net/http"
	"time"

	"briarcroft/internal/address"
	"briarcroft/internal/claim"
	"briarcroft/internal/host"
	"briarcroft/internal/meter"
	"briarcroft/internal/note"
	"briarcroft/internal/page"
	"briarcroft/internal/steering"
)

// isolatedMaxAge is how long, in seconds, callers may keep the answer of a host that hears no peer.
const isolatedMaxAge = 1

// serveAddresses tells a caller which entry hosts to connect to for a service.
func (f *front) serveAddresses(w http.ResponseWriter, r *http.Request) {
	h := f.host
	name := r.URL.Query().Get("Service")
	service, found := h.steering.Configuration().Service(name)
	if !found {
		f.refuse(w, &steering.Refusal{Status: http.StatusNotFound, Outcome: claim.NotRun, Reason: "UnknownService"})
		return
	}
	domain := r.URL.Query().Get("Domain")
	if domain == "" {
		domain = h.settings.Host.Domain
	}
	now := h.now()
	if h.table.Overdue(now) {
		// This host was paused and has not yet compared itself with its peers.
		f.refuse(w, &steering.Refusal{Status: http.StatusServiceUnavailable, Outcome: claim.NotRun, Reason: "HostWasPaused", RetryAfter: time.Second})
		return
	}
	answer := address.Response{
		Service: name, MaxAge: int(h.settings.Limits.AddressMaxAge / time.Second), Note: h.Number(),
		Grant: h.claims.Grant(now).String(), GrantHost: h.Name(),
	}
	live := h.table.Live(now)
	if len(live) == 0 || h.table.Isolated(now) {
		answer.MaxAge = isolatedMaxAge
	}
	for _, m := range host.Homes(name, host.Wanted(name, service.Homes, live), domain, h.settings.Host.Region, live) {
		answer.Addresses = append(answer.Addresses, toAddress(m))
	}
	if len(answer.Addresses) == 0 {
		answer.Addresses = append(answer.Addresses, toAddress(h.table.Self()))
	}
	page.WriteJSON(w, http.StatusOK, answer)
}

func toAddress(m host.Member) address.Address {
	return address.Address{Host: m.Name, Address: m.Listen, Domain: m.Domain, Incarnation: m.Incarnation}
}

func (f *front) serveNote(w http.ResponseWriter, _ *http.Request) {
	head, hash, _ := f.host.chain.Head()
	page.WriteJSON(w, http.StatusOK, note.Status{
		Host: f.host.Name(), Incarnation: f.host.incarnation, Number: head.Number, Hash: hash, Configuration: head.Configuration,
		InForceSince: time.UnixMilli(f.host.inForce.Load()).UTC(), Operator: head.Note.Operator, Reason: head.Note.Reason,
	})
}

// Health is whether a host may serve.
type Health struct {
	Host     string
	Ready    bool
	Leaving  bool
	Isolated bool
	Note     int
}

func (f *front) serveHealth(w http.ResponseWriter, _ *http.Request) {
	self := f.host.table.Self()
	status := http.StatusOK
	if !self.Ready || self.Leaving {
		status = http.StatusServiceUnavailable
	}
	page.WriteJSON(w, status, Health{self.Name, self.Ready, self.Leaving, f.host.table.Isolated(f.host.now()), self.Note})
}

// Status is everything that one host tells of itself.
type Status struct {
	Host        string
	Domain      string
	Incarnation uint64
	Ready       bool
	Leaving     bool
	Note        int
	Peers       []host.Member
	Services    []steering.Status
	Latency     []meter.Summary
	Budget      meter.Usage
	Claims      claim.Size
	Counters    Counters
	Process     ProcessStatus
	Unwritten   int64
}

// Counters only grow.
type Counters struct {
	Requests, Passed, Kept, Joined, Refused, Cut int64
}

func (h *Host) status() Status {
	self := h.table.Self()
	s := Status{
		Host: self.Name, Domain: self.Domain, Incarnation: self.Incarnation, Ready: self.Ready, Leaving: self.Leaving, Note: h.Number(),
		Peers: h.table.Peers(), Latency: h.histograms.Summaries(), Budget: h.budget.Usage(), Claims: h.claims.Size(),
		Process: h.process(), Unwritten: h.book.Unwritten(),
		Counters: Counters{
			h.stats.requests.Load(), h.stats.passed.Load(), h.stats.kept.Load(), h.stats.joined.Load(), h.stats.refused.Load(), h.stats.cut.Load(),
		},
	}
	for _, spec := range h.steering.Configuration().Services {
		if service := h.steering.Services()[spec.Name]; service != nil {
			s.Services = append(s.Services, service.Status())
		}
	}
	return s
}

func (f *front) serveStatus(w http.ResponseWriter, _ *http.Request) {
	page.WriteJSON(w, http.StatusOK, f.host.status())
}

// newVars returns the host's expvar map; it is not global, so that several hosts can live in one process.
func (h *Host) newVars() *expvar.Map {
	vars := (&expvar.Map{}).Init()
	vars.Set("Status", expvar.Func(func() any { return h.status() }))
	return vars
}

func (f *front) serveVars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// The caller went away if this fails.
	_, _ = w.Write([]byte(f.vars.String()))
}
