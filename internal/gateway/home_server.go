package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"briarcroft/internal/duty"
	"briarcroft/internal/inner"
	"briarcroft/internal/placement"
	"briarcroft/internal/record"
	"briarcroft/internal/ring"
	"briarcroft/internal/roster"
	"briarcroft/internal/route"
)

// Times of the homes.
const (
	// tickInterval is the time between two runs of the timers of services that have requests.
	tickInterval = 10 * time.Millisecond
	// idleTickInterval is the same while no service has any.
	idleTickInterval = 100 * time.Millisecond
	// keepAliveInterval is how often a home shows hosts that wait for a place that it still listens.
	keepAliveInterval = 150 * time.Millisecond
)

// Shares of the retry slack. All homes and all hosts that decide alone must stay within it together.
const (
	primarySlackShare = 0.4
	standInSlackShare = 0.4
	// retryRatioShare leaves room for repeats that were decided by a home that has just been replaced.
	retryRatioShare = 0.9
)

// verdictQueueSize is how many verdicts may wait for a host that reads slowly.
const verdictQueueSize = 1024

// homeServer holds the decisions for those services that ask here, whether as their home or because no home answers.
type homeServer struct {
	gateway  *Gateway
	mu       sync.Mutex
	services map[string]*serviceHome
	// sessions are the conversations with the hosts that ask.
	sessions    map[uint64]*session
	lastSession uint64
	// requestArrived ends the pause of the timers while nothing was under way.
	requestArrived *ring.Ring[struct{}]
}

// serviceHome is the decision for one service.
type serviceHome struct {
	server     *homeServer
	service    string
	mu         sync.Mutex
	home       *placement.Home
	healthPath string
}

// session is the conversation with one host that asks for places; verdicts go out in order.
type session struct {
	id       uint64
	verdicts *ring.Ring[*inner.PlaceVerdict]
	// deliverLocal gets the verdicts of the own host instead.
	deliverLocal func(number uint64, v placement.Verdict)
	// disconnect ends the conversation with another host, which begins a new one.
	disconnect context.CancelFunc
}

func newHomes(g *Gateway) *homeServer {
	return &homeServer{gateway: g, services: map[string]*serviceHome{}, sessions: map[uint64]*session{}, requestArrived: ring.New[struct{}](ring.Config{Capacity: 1})}
}

// openSession begins a conversation: with another host one that end ends, or with the own host, which gets verdicts by local.
func (s *homeServer) openSession(local func(uint64, placement.Verdict), end context.CancelFunc) *session {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSession++
	sess := &session{id: s.lastSession, deliverLocal: local, disconnect: end}
	if local == nil {
		sess.verdicts = ring.New[*inner.PlaceVerdict](ring.Config{Capacity: verdictQueueSize})
	}
	s.sessions[sess.id] = sess
	return sess
}

// closeSession ends a conversation and forgets all that its host held.
func (s *homeServer) closeSession(sess *session) {
	s.mu.Lock()
	delete(s.sessions, sess.id)
	s.mu.Unlock()
	for _, h := range s.all() {
		h.mu.Lock()
		h.home.Leave(s.gateway.now(), sess.id)
		h.mu.Unlock()
	}
}

func (s *homeServer) all() []*serviceHome {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*serviceHome, 0, len(s.services))
	for _, h := range s.services {
		list = append(list, h)
	}
	return list
}

// get returns the decision for a service, beginning it with the targets known here.
func (s *homeServer) get(service string) *serviceHome {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.services[service]
	if h == nil {
		h = &serviceHome{server: s, service: service}
		h.home = placement.New(placement.Config{
			Random: rand.New(rand.NewPCG(s.gateway.incarnation, uint64(len(s.services)))), Budget: s.retryBudget(), Notify: s.sendVerdict,
			OnEjection: func(e placement.Ejection) { s.recordEjection(service, e) },
		})
		s.services[service] = h
		h.applyView(s.gateway.roster.View())
	}
	return h
}

// recordEjection writes a record of a target that failures took out, or that is back.
func (s *homeServer) recordEjection(service string, e placement.Ejection) {
	g := s.gateway
	r := record.Record{Kind: record.TargetMoved, Service: service, Target: e.Target, From: route.Live.String(), To: route.Ejected.String(), Cause: string(route.CauseFailures), Note: g.chain.Number()}
	r.Evidence.Failures = e.Failures
	if !e.Out {
		r.From, r.To, r.Cause = r.To, r.From, string(route.CauseReturn)
	}
	g.records.Add(r)
}

// retryBudget returns the part of the retry budget that this host may decide on.
func (s *homeServer) retryBudget() placement.Budget {
	r := s.gateway.reloadable.Load().Retries
	return placement.Budget{Ratio: retryRatioShare * r.Ratio, Window: r.Window}
}

// retrySlack returns how many repeats beyond the ratio this host may decide on: many as the service's primary home, few otherwise.
func (s *homeServer) retrySlack(primary bool, hosts int) float64 {
	total := float64(s.gateway.reloadable.Load().Retries.Slack)
	if primary {
		return primarySlackShare * total
	}
	return standInSlackShare * total / float64(max(1, hosts))
}

// applyView hands new targets to every decision.
func (s *homeServer) applyView(v *roster.View) {
	for _, h := range s.all() {
		h.mu.Lock()
		h.applyView(v)
		h.mu.Unlock()
	}
}

func (h *serviceHome) applyView(v *roster.View) {
	list := v.Targets[h.service]
	targets := make([]placement.Target, 0, len(list))
	for _, t := range list {
		targets = append(targets, t.Target)
	}
	if service, named := v.Configuration.Service(h.service); named {
		h.healthPath = service.ReportPath
	}
	h.home.SetTargets(h.server.gateway.now(), targets)
}

// place offers a request of a session's host.
func (s *homeServer) place(service string, r *placement.Request) {
	h := s.get(service)
	ranked := s.gateway.homeClient.rankedHomes(service)
	primary := len(ranked) > 0 && ranked[0].Name == s.gateway.settings.Host.Name
	h.mu.Lock()
	defer h.mu.Unlock()
	h.home.SetPrimary(primary)
	h.home.SetRetrySlack(s.retrySlack(primary, len(ranked)))
	h.home.Ask(s.gateway.now(), r)
	h.sendProbes()
	// The timers must run while requests wait.
	s.requestArrived.Push(struct{}{})
}

// sendProbes begins the probes that are due; the caller holds the lock.
func (h *serviceHome) sendProbes() {
	for _, p := range h.home.Probes(h.server.gateway.now()) {
		go h.probe(h.server.gateway.background, p)
	}
}

// runEnded takes in the end of a run.
func (s *homeServer) runEnded(service string, d placement.Done) {
	h := s.get(service)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.home.Done(s.gateway.now(), d)
}

// runEndedAnyService ends a run of whichever service has it.
func (s *homeServer) runEndedAnyService(d placement.Done) {
	for _, h := range s.all() {
		h.mu.Lock()
		h.home.Done(s.gateway.now(), d)
		h.mu.Unlock()
	}
}

// withdraw takes a request out of the queue.
func (s *homeServer) withdraw(service string, id placement.ID) {
	h := s.get(service)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.home.Withdraw(id)
}

// sendVerdict hands a verdict to the host that asked; it runs under the lock of the decision.
func (s *homeServer) sendVerdict(r *placement.Request, v placement.Verdict) {
	s.mu.Lock()
	sess := s.sessions[r.ID.Host]
	s.mu.Unlock()
	if sess == nil {
		return
	}
	if sess.deliverLocal != nil {
		sess.deliverLocal(r.ID.Number, v)
		return
	}
	if !sess.verdicts.Push(inner.ToVerdict(r.ID.Number, v)) {
		// A host that does not read would hold its places until their time limit.
		s.gateway.stats.slowReaders.Add(1)
		sess.disconnect()
	}
}

// runPlacementTimers runs the timers of the decisions and sends their probes.
func (g *Gateway) runPlacementTimers(ctx context.Context) {
	wait := idleTickInterval
	var alive time.Duration
	for ctx.Err() == nil {
		if wait == idleTickInterval {
			woken, cancel := context.WithTimeout(ctx, wait)
			g.homeServer.requestArrived.Pop(woken)
			cancel()
		} else {
			duty.Sleep(ctx, wait)
		}
		wait = idleTickInterval
		for _, h := range g.homeServer.all() {
			h.mu.Lock()
			if h.home.Tick(g.now()) {
				wait = tickInterval
			}
			h.sendProbes()
			h.mu.Unlock()
		}
		if now := g.now(); now-alive >= keepAliveInterval {
			alive = now
			g.homeServer.sendKeepAlives()
		}
	}
}

// sendKeepAlives tells the hosts whose requests wait here that this one still listens.
func (s *homeServer) sendKeepAlives() {
	waiting := map[uint64]bool{}
	for _, h := range s.all() {
		h.mu.Lock()
		h.home.WaitingHosts(waiting)
		h.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sess := range s.sessions {
		if sess.verdicts != nil && waiting[sess.id] {
			sess.verdicts.Push(&inner.PlaceVerdict{})
		}
	}
}

// queuedByService returns how many requests wait at the decisions here, by service.
func (s *homeServer) queuedByService() map[string]int {
	counts := map[string]int{}
	for _, h := range s.all() {
		h.mu.Lock()
		counts[h.service] = h.home.Queued()
		h.mu.Unlock()
	}
	return counts
}
