package gateway

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"briarcroft/internal/duty"
	"briarcroft/internal/inner"
	"briarcroft/internal/note"
	"briarcroft/internal/placement"
	"briarcroft/internal/record"
	"briarcroft/internal/ring"
	"briarcroft/internal/roster"
	"briarcroft/internal/route"
)

// Intervals of the placement timers.
const (
	// tickInterval is the time between two runs of the placement timers while any service has requests.
	tickInterval = 10 * time.Millisecond
	// idleTickInterval is the time between two runs of the placement timers while no service has requests.
	idleTickInterval = 100 * time.Millisecond
	// keepAliveInterval is how often a home sends a keep-alive message to each host whose requests it has queued.
	keepAliveInterval = 150 * time.Millisecond
)

// Shares of the retry slack and ratio of the settings, and of the rate limits that targets name. The primary home of a
// service and all fallback homes together must stay within the whole.
const (
	// primarySlackShare is the share of the slack that the primary home of a service gets.
	primarySlackShare = 0.4
	// fallbackSlackShare is the share of the slack that all fallback homes divide among them.
	fallbackSlackShare = 0.4
	// majorityLimitShare is the share of the rate limits of targets that a primary home gets that sees most of the fleet.
	// Primary homes of smaller parts of the fleet divide minorityLimitShare among them, by the hosts that they see, and all
	// fallback homes fallbackLimitShare.
	majorityLimitShare = 0.8
	minorityLimitShare = 0.4
	fallbackLimitShare = 0.2
	// retryRatioShare is the share of the ratio that a home may grant. The rest leaves room for extra attempts that were
	// granted by a home that has just been replaced.
	retryRatioShare = 0.9
)

// verdictQueueSize is the number of verdicts that may be queued for a host that reads slowly.
const verdictQueueSize = 1024

// homeServer places the requests that other hosts and this one send to it, of any service: as the service's primary
// home, or as a fallback home while others cannot be reached.
type homeServer struct {
	gateway  *Gateway
	mu       sync.Mutex
	services map[string]*serviceHome
	// sessions holds the placement streams of the hosts that send requests here, by their id.
	sessions    map[uint64]*session
	lastSession uint64
	// requestArrived wakes the placement timers from their idle interval.
	requestArrived *ring.Queue[struct{}]
}

// serviceHome is the placement state of one service; mu guards home.
type serviceHome struct {
	server     *homeServer
	service    string
	mu         sync.Mutex
	home       *placement.Home
	healthPath string
	// primary is set while this host is the service's primary home, which all hosts try first.
	primary bool
	// configured is the service in the configuration in force, and secondShare the host's share of its limit on second runs.
	configured  note.Service
	secondShare placement.SecondRunShare
}

// session is the placement stream of one host that sends requests here. Verdicts are delivered in order.
type session struct {
	id       uint64
	verdicts *ring.Queue[*inner.PlaceVerdict]
	// deliverLocal receives the verdicts for requests of this host; it is nil for other hosts.
	deliverLocal func(number uint64, v placement.Verdict)
	// disconnect closes the stream of another host, which then opens a new one.
	disconnect context.CancelFunc
}

func newHomeServer(g *Gateway) *homeServer {
	return &homeServer{gateway: g, services: map[string]*serviceHome{}, sessions: map[uint64]*session{}, requestArrived: ring.NewQueue[struct{}](ring.Config{Capacity: 1})}
}

// openSession registers a placement stream. Verdicts for another host are queued for its stream, which disconnect closes;
// those for this host are passed to deliverLocal.
func (s *homeServer) openSession(deliverLocal func(uint64, placement.Verdict), disconnect context.CancelFunc) *session {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSession++
	sess := &session{id: s.lastSession, deliverLocal: deliverLocal, disconnect: disconnect}
	if deliverLocal == nil {
		sess.verdicts = ring.NewQueue[*inner.PlaceVerdict](ring.Config{Capacity: verdictQueueSize})
	}
	s.sessions[sess.id] = sess
	return sess
}

// closeSession removes a placement stream, drops the queued requests of its host and frees the slots of its runs.
func (s *homeServer) closeSession(sess *session) {
	s.mu.Lock()
	delete(s.sessions, sess.id)
	s.mu.Unlock()
	for _, h := range s.serviceHomes() {
		h.use(func(home *placement.Home) { home.EndStream(s.gateway.now(), sess.id) })
	}
}

// use calls a function with the placement state while it holds h.mu. It releases h.mu also if the function panics, because
// deferred calls of an RPC may wait for other goroutines before the process ends.
func (h *serviceHome) use(call func(*placement.Home)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	defer h.server.gateway.stopAfterPanic("Placement")
	call(h.home)
}

// serviceHomes returns the placement states of all services, in no particular order.
func (s *homeServer) serviceHomes() []*serviceHome {
	s.mu.Lock()
	defer s.mu.Unlock()
	homes := make([]*serviceHome, 0, len(s.services))
	for _, h := range s.services {
		homes = append(homes, h)
	}
	return homes
}

// serviceHome returns the placement state of a service, creating it with the targets in the roster.
func (s *homeServer) serviceHome(service string) *serviceHome {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.services[service]
	if h == nil {
		h = &serviceHome{server: s, service: service}
		h.home = placement.New(placement.Config{
			Random: rand.New(rand.NewPCG(s.gateway.incarnation, uint64(len(s.services)))), Budget: s.retryBudget(), AgeOrder: s.gateway.settings.Overload.AgeOrder, Quarantine: s.gateway.quarantine, RateLimits: s.gateway.rateLimits, Notices: s.gateway.notices, OnVerdict: s.sendVerdict,
			DomainPlan: s.gateway.settings.Placement.DomainPlan, DomainPlanBytes: s.gateway.settings.Placement.DomainPlanBytes,
			Allowances: s.gateway.allowances.wallet, BootTime: s.gateway.allowances.bootTime,
			OnTokenWanted: func() { s.gateway.allowances.tokenWanted.Push(struct{}{}) },
			OnNotice:      func(n placement.TargetNotice) { s.gateway.recordNotice(n.Target, n.Notice, "") },
			OnEjection:    func(e placement.Ejection) { s.recordEjection(service, e) },
			OnRateLimit:   func(c placement.RateLimitChange) { s.recordRateLimit(service, c) },
			OnWarmUp:      func(c placement.WarmUpChange) { s.recordWarmUp(service, c) },
			OnQuarantine:  func(fingerprint uint64, target string) { s.recordQuarantine(service, fingerprint, target) },
		})
		s.services[service] = h
		h.applyView(s.gateway.roster.View())
	}
	return h
}

// recordEjection writes a change record for a target that was ejected after failures or whose ejection has ended.
func (s *homeServer) recordEjection(service string, e placement.Ejection) {
	g := s.gateway
	r := record.Record{Kind: record.TargetMoved, Service: service, Target: e.Target, From: route.Live.String(), To: route.Ejected.String(), Cause: string(route.CauseFailures), Note: g.chain.Number()}
	r.Evidence.Failures = e.Failures
	if !e.Ejected {
		r.From, r.To, r.Cause = r.To, r.From, string(route.CauseEjectionEnded)
	}
	g.records.Add(r)
}

// recordRateLimit writes a change record for a target that has begun or stopped to name a rate limit.
func (s *homeServer) recordRateLimit(service string, c placement.RateLimitChange) {
	g := s.gateway
	g.records.Add(record.Record{
		Kind: record.TargetLimited, Service: service, Target: c.Target, Cause: "Named", Note: g.chain.Number(),
		Evidence: record.Evidence{Detail: strconv.FormatFloat(c.PerSecond, 'g', 4, 64)},
	})
}

// recordQuarantine writes a change record for a request that is refused from now on, because it broke the connections of
// several targets, and tells peers at once. The fingerprint is that of the request log.
func (s *homeServer) recordQuarantine(service string, fingerprint uint64, target string) {
	g := s.gateway
	g.stats.quarantined.Add(1)
	g.records.Add(record.Record{
		Kind: record.RequestQuarantined, Service: service, Target: target, Cause: "BrokeConnections", Note: g.chain.Number(),
		Evidence: record.Evidence{Detail: strconv.FormatUint(fingerprint, 16)},
	})
	g.heartbeatTrigger.Push(struct{}{})
}

// retryBudget returns the ratio of extra attempts to requests that this host may grant for a service, without slack.
func (s *homeServer) retryBudget() placement.RetryBudget {
	r := s.gateway.reloadable.Load().Retries
	return placement.RetryBudget{Ratio: retryRatioShare * r.Ratio, Window: r.Window}
}

// retrySlack returns how many extra attempts beyond the ratio this host may grant. A fallback home gets an equal part
// of fallbackSlackShare, since every host of the fleet may act as one at the same time. So does a primary home that
// sees no more than half of the fleet, since the other part may have a primary home of its own.
func (s *homeServer) retrySlack(primary bool, live int) float64 {
	total, fleet := float64(s.gateway.reloadable.Load().Retries.Slack), s.gateway.fleetSize()
	if primary && 2*live > fleet {
		return primarySlackShare * total
	}
	return fallbackSlackShare * total / float64(fleet)
}

// limitShare returns this host's share in the rate limits of targets. That of a fallback home is an equal part, since every
// host of the fleet may act as one at the same time.
func (s *homeServer) limitShare(primary bool, live int) placement.LimitShare {
	fleet := s.gateway.fleetSize()
	switch {
	case primary && 2*live > fleet:
		return placement.LimitShare{Share: majorityLimitShare, Majority: true}
	case primary:
		return placement.LimitShare{Share: minorityLimitShare * float64(live) / float64(fleet)}
	}
	return placement.LimitShare{Share: fallbackLimitShare / float64(fleet)}
}

// applyView passes changed targets to the placement state of every service.
func (s *homeServer) applyView(v *roster.View) {
	for _, h := range s.serviceHomes() {
		h.use(func(*placement.Home) { h.applyView(v) })
	}
}

// applyView sets the service's targets and health path; the caller holds h.mu.
func (h *serviceHome) applyView(v *roster.View) {
	registered := v.Targets[h.service]
	targets := make([]placement.Target, 0, len(registered))
	for _, t := range registered {
		t.EvacuatedUntil = h.server.gateway.evacuations.endedAt(t.Domain)
		targets = append(targets, t.Target)
	}
	if service, found := v.Configuration.Service(h.service); found {
		h.healthPath, h.configured = service.ReportPath, service
		h.home.SetWarmUp(h.server.gateway.warmUp(service))
	}
	h.home.SetTargets(h.server.gateway.now(), targets)
}

// place submits a request to the home of its service on this host. Verdicts follow through sendVerdict.
func (s *homeServer) place(service string, r *placement.Request) {
	h := s.serviceHome(service)
	ranked := s.gateway.homeClient.rankedHomes(service)
	primary := len(ranked) > 0 && ranked[0].Name == s.gateway.settings.Host.Name
	h.use(func(home *placement.Home) {
		h.primary = primary
		home.SetPrimary(primary)
		home.SetRetrySlack(s.retrySlack(primary, len(ranked)))
		home.SetLimitShare(s.limitShare(primary, len(ranked)))
		h.applySecondRuns(primary, len(ranked))
		home.Submit(s.gateway.now(), r)
		h.sendProbes()
	})
	// The timers must run while the service has requests: they start hedges and refuse queued requests that are too late.
	s.requestArrived.Push(struct{}{})
}

// sendProbes starts the health probes that are due; the caller holds h.mu.
func (h *serviceHome) sendProbes() {
	g := h.server.gateway
	sent := &g.stats.fallbackProbes
	if h.primary {
		sent = &g.stats.primaryProbes
	}
	for _, p := range h.home.DueProbes(g.now()) {
		sent.Add(1)
		path := h.healthPath
		go func() {
			defer g.guard("Probe")
			h.probe(g.background, p, path)
		}()
	}
}

// countLimitedRuns adds the runs on targets with a rate limit to the counters; the caller holds h.mu.
func (h *serviceHome) countLimitedRuns() {
	counter := &h.server.gateway.stats.fallbackLimitedRuns
	if h.primary {
		counter = &h.server.gateway.stats.primaryLimitedRuns
	}
	counter.Add(h.home.TakeLimitedRuns())
}

// runEnded frees the slot of a run of a service and records its outcome.
func (s *homeServer) runEnded(service string, end placement.RunEnd) {
	s.serviceHome(service).use(func(home *placement.Home) { home.RunEnded(s.gateway.now(), end) })
}

// runEndedAnyService frees the slot of a run whose service is unknown, by trying every service.
func (s *homeServer) runEndedAnyService(end placement.RunEnd) {
	for _, h := range s.serviceHomes() {
		h.use(func(home *placement.Home) { home.RunEnded(s.gateway.now(), end) })
	}
}

// withdraw removes a request from the service's queue.
func (s *homeServer) withdraw(service string, id placement.RequestID) {
	s.serviceHome(service).use(func(home *placement.Home) { home.CancelQueued(id) })
}

// sendVerdict sends a verdict to the host that sent the request; its caller holds the lock of the service's placement state.
func (s *homeServer) sendVerdict(r *placement.Request, v placement.Verdict) {
	s.mu.Lock()
	sess := s.sessions[r.ID.Stream]
	s.mu.Unlock()
	if sess == nil {
		return
	}
	if sess.deliverLocal != nil {
		sess.deliverLocal(r.ID.Number, v)
		return
	}
	if !sess.verdicts.Push(inner.EncodeVerdict(r.ID.Number, v)) {
		// A host that does not read its verdicts would keep the slots that they reserve until its requests time out.
		s.gateway.stats.slowReaders.Add(1)
		sess.disconnect()
	}
}

// runPlacementTimers is the background task that runs the placement timers of all services, starts health probes that
// are due and sends keep-alive messages.
func (g *Gateway) runPlacementTimers(ctx context.Context) {
	wait := idleTickInterval
	var lastKeepAlive time.Duration
	for ctx.Err() == nil {
		if wait == idleTickInterval {
			waitCtx, cancel := context.WithTimeout(ctx, wait)
			g.homeServer.requestArrived.Pop(waitCtx)
			cancel()
		} else {
			duty.Sleep(ctx, wait)
		}
		wait = idleTickInterval
		for _, h := range g.homeServer.serviceHomes() {
			h.use(func(home *placement.Home) {
				if home.Tick(g.now()) {
					wait = tickInterval
				}
				h.sendProbes()
				h.countLimitedRuns()
				h.countSecondRuns()
			})
		}
		if now := g.now(); now-lastKeepAlive >= keepAliveInterval {
			lastKeepAlive = now
			g.homeServer.sendKeepAlives()
		}
	}
}

// sendKeepAlives sends an empty verdict to each host whose requests are queued here, so that it can tell a long queue
// from an unreachable home.
func (s *homeServer) sendKeepAlives() {
	waiting := map[uint64]bool{}
	for _, h := range s.serviceHomes() {
		h.use(func(home *placement.Home) { home.AddQueuedStreams(waiting) })
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sess := range s.sessions {
		if sess.verdicts != nil && waiting[sess.id] {
			sess.verdicts.Push(&inner.PlaceVerdict{})
		}
	}
}

// queuedByService returns the number of requests queued on this host, by service.
func (s *homeServer) queuedByService() map[string]int {
	counts := map[string]int{}
	for _, h := range s.serviceHomes() {
		h.use(func(home *placement.Home) { counts[h.service] = home.QueueLength() })
	}
	return counts
}
