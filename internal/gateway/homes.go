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
	// tickEvery is the time between two runs of the timers of services that have requests.
	tickEvery = 10 * time.Millisecond
	// idleTickEvery is the same while no service has any.
	idleTickEvery = 100 * time.Millisecond
	// aliveEvery is how often a home shows hosts that wait for a place that it still listens.
	aliveEvery = 150 * time.Millisecond
)

// Shares of the retry slack. All homes and all hosts that decide alone must stay within it together.
const (
	homeSlackShare  = 0.4
	aloneSlackShare = 0.4
	// ratioShare leaves room for repeats that were decided by a home that has just been replaced.
	ratioShare = 0.9
)

// verdictRing is how many verdicts may wait for a host that reads slowly.
const verdictRing = 1024

// homes holds the decisions for those services that ask here, whether as their home or because no home answers.
type homes struct {
	gateway *Gateway
	mu      sync.Mutex
	byName  map[string]*home
	// sessions are the conversations with the hosts that ask.
	sessions map[uint64]*session
	last     uint64
	// woken ends the pause of the timers while nothing was under way.
	woken *ring.Ring[struct{}]
}

// home is the decision for one service.
type home struct {
	homes   *homes
	service string
	mu      sync.Mutex
	home    *placement.Home
	health  string
}

// session is the conversation with one host that asks for places; verdicts go out in order.
type session struct {
	number   uint64
	verdicts *ring.Ring[*inner.PlaceVerdict]
	// local gets the verdicts of the own host instead.
	local func(number uint64, v placement.Verdict)
	// end ends the conversation with another host, which begins a new one.
	end context.CancelFunc
}

func newHomes(g *Gateway) *homes {
	return &homes{gateway: g, byName: map[string]*home{}, sessions: map[uint64]*session{}, woken: ring.New[struct{}](ring.Config{Capacity: 1})}
}

// openSession begins a conversation: with another host one that end ends, or with the own host, which gets verdicts by local.
func (o *homes) openSession(local func(uint64, placement.Verdict), end context.CancelFunc) *session {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.last++
	d := &session{number: o.last, local: local, end: end}
	if local == nil {
		d.verdicts = ring.New[*inner.PlaceVerdict](ring.Config{Capacity: verdictRing})
	}
	o.sessions[d.number] = d
	return d
}

// closeSession ends a conversation and forgets all that its host held.
func (o *homes) closeSession(d *session) {
	o.mu.Lock()
	delete(o.sessions, d.number)
	o.mu.Unlock()
	for _, h := range o.all() {
		h.mu.Lock()
		h.home.Leave(o.gateway.now(), d.number)
		h.mu.Unlock()
	}
}

func (o *homes) all() []*home {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := make([]*home, 0, len(o.byName))
	for _, h := range o.byName {
		list = append(list, h)
	}
	return list
}

// get returns the decision for a service, beginning it with the targets known here.
func (o *homes) get(service string) *home {
	o.mu.Lock()
	defer o.mu.Unlock()
	h := o.byName[service]
	if h == nil {
		h = &home{homes: o, service: service}
		h.home = placement.New(placement.Config{
			Random: rand.New(rand.NewPCG(o.gateway.incarnation, uint64(len(o.byName)))), Budget: o.budget(), Notify: o.notify,
			OnEjection: func(e placement.Ejection) { o.explainEjection(service, e) },
		})
		o.byName[service] = h
		h.adopt(o.gateway.roster.View())
	}
	return h
}

// explainEjection writes a record of a target that failures took out, or that is back.
func (o *homes) explainEjection(service string, e placement.Ejection) {
	g := o.gateway
	r := record.Record{Kind: record.TargetMoved, Service: service, Target: e.Target, From: route.Live.String(), To: route.Ejected.String(), Cause: string(route.CauseFailures), Note: g.chain.Number()}
	r.Evidence.Failures = e.Failures
	if !e.Out {
		r.From, r.To, r.Cause = r.To, r.From, string(route.CauseReturn)
	}
	g.book.Add(r)
}

// budget returns the part of the retry budget that this host may decide on.
func (o *homes) budget() placement.Budget {
	s := o.gateway.tunable.Load().Retries
	return placement.Budget{Ratio: ratioShare * s.Ratio, Window: s.Window}
}

// slack returns how many repeats beyond the ratio this host may decide on: many as the service's primary home, few otherwise.
func (o *homes) slack(primary bool, hosts int) float64 {
	total := float64(o.gateway.tunable.Load().Retries.Slack)
	if primary {
		return homeSlackShare * total
	}
	return aloneSlackShare * total / float64(max(1, hosts))
}

// adopt hands new targets to every decision.
func (o *homes) adopt(v *roster.View) {
	for _, h := range o.all() {
		h.mu.Lock()
		h.adopt(v)
		h.mu.Unlock()
	}
}

func (h *home) adopt(v *roster.View) {
	list := v.Targets[h.service]
	targets := make([]placement.Target, 0, len(list))
	for _, t := range list {
		targets = append(targets, t.Target)
	}
	if s, named := v.Configuration.Service(h.service); named {
		h.health = s.ReportPath
	}
	h.home.SetTargets(h.homes.gateway.now(), targets)
}

// ask offers a request of a session's host.
func (o *homes) ask(service string, r *placement.Request) {
	h := o.get(service)
	ranked := o.gateway.links.rank(service)
	primary := len(ranked) > 0 && ranked[0].Name == o.gateway.settings.Host.Name
	h.mu.Lock()
	defer h.mu.Unlock()
	h.home.SetPrimary(primary)
	h.home.SetRetrySlack(o.slack(primary, len(ranked)))
	h.home.Ask(o.gateway.now(), r)
	h.sendProbes()
	// The timers must run while requests wait.
	o.woken.Push(struct{}{})
}

// sendProbes begins the probes that are due; the caller holds the lock.
func (h *home) sendProbes() {
	for _, p := range h.home.Probes(h.homes.gateway.now()) {
		go h.probe(h.homes.gateway.background, p)
	}
}

// done takes in the end of a run.
func (o *homes) done(service string, d placement.Done) {
	h := o.get(service)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.home.Done(o.gateway.now(), d)
}

// abandon ends a run of whichever service has it.
func (o *homes) abandon(d placement.Done) {
	for _, h := range o.all() {
		h.mu.Lock()
		h.home.Done(o.gateway.now(), d)
		h.mu.Unlock()
	}
}

// withdraw takes a request out of the queue.
func (o *homes) withdraw(service string, id placement.ID) {
	h := o.get(service)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.home.Withdraw(id)
}

// notify hands a verdict to the host that asked; it runs under the lock of the decision.
func (o *homes) notify(r *placement.Request, v placement.Verdict) {
	o.mu.Lock()
	d := o.sessions[r.ID.Host]
	o.mu.Unlock()
	if d == nil {
		return
	}
	if d.local != nil {
		d.local(r.ID.Number, v)
		return
	}
	if !d.verdicts.Push(inner.EncodeVerdict(r.ID.Number, v)) {
		// A host that does not read would hold its places until their time limit.
		o.gateway.stats.slowReaders.Add(1)
		d.end()
	}
}

// tickDuty runs the timers of the decisions and sends their probes.
func (g *Gateway) tickDuty(ctx context.Context) {
	wait := idleTickEvery
	var alive time.Duration
	for ctx.Err() == nil {
		if wait == idleTickEvery {
			woken, cancel := context.WithTimeout(ctx, wait)
			g.homes.woken.Pop(woken)
			cancel()
		} else {
			duty.Sleep(ctx, wait)
		}
		wait = idleTickEvery
		for _, h := range g.homes.all() {
			h.mu.Lock()
			if h.home.Tick(g.now()) {
				wait = tickEvery
			}
			h.sendProbes()
			h.mu.Unlock()
		}
		if now := g.now(); now-alive >= aliveEvery {
			alive = now
			g.homes.showAlive()
		}
	}
}

// showAlive tells the hosts whose requests wait here that this one still listens.
func (o *homes) showAlive() {
	waiting := map[uint64]bool{}
	for _, h := range o.all() {
		h.mu.Lock()
		h.home.WaitingHosts(waiting)
		h.mu.Unlock()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, d := range o.sessions {
		if d.verdicts != nil && waiting[d.number] {
			d.verdicts.Push(&inner.PlaceVerdict{})
		}
	}
}

// queued returns how many requests wait at the decisions here, by service.
func (o *homes) queued() map[string]int {
	counts := map[string]int{}
	for _, h := range o.all() {
		h.mu.Lock()
		counts[h.service] = h.home.Queued()
		h.mu.Unlock()
	}
	return counts
}
