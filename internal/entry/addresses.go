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

// isolatedMaxAge is how long, in seconds, callers may cache the address response of a host that receives neither
// heartbeats nor replies to its own, or knows no live host.
const isolatedMaxAge = 1

// serveAddresses answers GET /Addresses: the homes of a service, which are the entry hosts that a caller should connect
// to, and a grant for its keyed requests.
func (f *frontend) serveAddresses(w http.ResponseWriter, r *http.Request) {
	h := f.host
	name := r.URL.Query().Get("Service")
	service, found := h.dispatcher.Configuration().Service(name)
	if !found {
		f.writeRefusal(w, &steering.Refusal{Status: http.StatusNotFound, Outcome: claim.NotRun, Reason: "UnknownService"})
		return
	}
	domain := r.URL.Query().Get("Domain")
	if domain == "" {
		domain = h.settings.Host.Domain
	}
	now := h.now()
	if h.membership.HeartbeatOverdue(now) {
		// This host was paused, so its membership table may be stale until the next round of heartbeats.
		f.writeRefusal(w, &steering.Refusal{Status: http.StatusServiceUnavailable, Outcome: claim.NotRun, Reason: "HostWasPaused", RetryAfter: time.Second})
		return
	}
	response := address.Response{
		Service: name, MaxAge: int(h.settings.Limits.AddressMaxAge / time.Second), Note: h.NoteNumber(),
		Grant: h.idempotency.IssueGrant(now).String(), GrantHost: h.Name(),
	}
	live := h.membership.Live(now)
	if len(live) == 0 || h.membership.Isolated(now) {
		response.MaxAge = isolatedMaxAge
	}
	for _, m := range host.Homes(name, host.HomeCount(name, service.Homes, live), domain, h.settings.Host.Region, live) {
		response.Addresses = append(response.Addresses, toAddress(m))
	}
	if len(response.Addresses) == 0 {
		response.Addresses = append(response.Addresses, toAddress(h.membership.Self()))
	}
	page.WriteJSON(w, http.StatusOK, response)
}

func toAddress(m host.Member) address.Address {
	return address.Address{Host: m.Name, Address: m.Listen, Domain: m.Domain, Incarnation: m.Incarnation}
}

// serveNote answers GET /Note: the note in force. A note is one revision of the configuration.
func (f *frontend) serveNote(w http.ResponseWriter, _ *http.Request) {
	head, hash, _ := f.host.chain.Head()
	page.WriteJSON(w, http.StatusOK, note.Status{
		Host: f.host.Name(), Incarnation: f.host.incarnation, Number: head.Number, Hash: hash, Configuration: head.Configuration,
		InForceSince: time.UnixMilli(f.host.inForceSince.Load()).UTC(), Operator: head.Note.Operator, Reason: head.Note.Reason,
	})
}

// Health is the response to GET /Health; its status code is 503 unless the host is ready and not leaving.
type Health struct {
	Host     string
	Ready    bool
	Leaving  bool
	Isolated bool
	Note     int
}

func (f *frontend) serveHealth(w http.ResponseWriter, _ *http.Request) {
	self := f.host.membership.Self()
	status := http.StatusOK
	if !self.Ready || self.Leaving {
		status = http.StatusServiceUnavailable
	}
	page.WriteJSON(w, status, Health{self.Name, self.Ready, self.Leaving, f.host.membership.Isolated(f.host.now()), self.Note})
}

// Status is the response to GET /Status: the state of a host, its peers and its services.
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
	Connections ConnectionStatus
	Process     ProcessStatus
	// Unwritten is the number of lines that were not logged because the log could not keep up or nobody reads it.
	Unwritten int64
}

// Counters are totals since the start of the host. Passed counts keyed requests that were forwarded to another host,
// Kept resends that got a stored response, Joined resends that waited for a run in progress, and Cut responses that
// broke off before their end.
type Counters struct {
	Requests, Passed, Kept, Joined, Refused, Cut int64
}

func (h *Host) status() Status {
	self := h.membership.Self()
	s := Status{
		Host: self.Name, Domain: self.Domain, Incarnation: self.Incarnation, Ready: self.Ready, Leaving: self.Leaving, Note: h.NoteNumber(),
		Peers: h.membership.Peers(), Latency: h.histograms.Summaries(), Budget: h.budget.Usage(), Claims: h.idempotency.Size(),
		Connections: h.callerConns.status(), Process: h.processStatus(), Unwritten: h.records.Unwritten() + h.config.LostLogLines(),
		Counters: Counters{
			h.stats.requests.Load(), h.stats.forwarded.Load(), h.stats.stored.Load(), h.stats.joined.Load(), h.stats.refused.Load(), h.stats.truncated.Load(),
		},
	}
	for _, spec := range h.dispatcher.Configuration().Services {
		if service := h.dispatcher.Services()[spec.Name]; service != nil {
			s.Services = append(s.Services, service.Status())
		}
	}
	return s
}

func (f *frontend) serveStatus(w http.ResponseWriter, _ *http.Request) {
	page.WriteJSON(w, http.StatusOK, f.host.status())
}

// newVars returns the host's expvar map. It is not published globally, so that several hosts can run in one process.
func (h *Host) newVars() *expvar.Map {
	vars := (&expvar.Map{}).Init()
	vars.Set("Status", expvar.Func(func() any { return h.status() }))
	return vars
}

func (f *frontend) serveVars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the caller has disconnected.
	_, _ = w.Write([]byte(f.vars.String()))
}
