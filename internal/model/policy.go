package model

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"briarcroft/internal/placement"
)

// Policy is one way of steering: Ideal, Home, LeastInFlight or AtRandom.
type Policy interface {
	Name() string
	policy()
}

// Ideal is one queue that knows every server's pace at once and has no way to travel. Like all others it does not know
// how much work a request is.
type Ideal struct{}

// Home places requests by one home, as gateways do.
type Home struct {
	// Hedges allows second runs beside late ones.
	Hedges bool
}

// LeastInFlight sends each request at once to the server with the fewest requests, by the counts of each of several hosts.
type LeastInFlight struct{ Hosts int }

// AtRandom sends each request at once to any server.
type AtRandom struct{}

// Name implements Policy.
func (Ideal) Name() string { return "Ideal" }

// Name implements Policy.
func (h Home) Name() string {
	if h.Hedges {
		return "Home"
	}
	return "HomeNoHedges"
}

// Name implements Policy.
func (l LeastInFlight) Name() string {
	if l.Hosts == 1 {
		return "LeastInFlightOneHost"
	}
	return "LeastInFlight"
}

// Name implements Policy.
func (AtRandom) Name() string { return "AtRandom" }

func (Ideal) policy()         {}
func (Home) policy()          {}
func (LeastInFlight) policy() {}
func (AtRandom) policy()      {}

// player carries out a policy.
type player interface{ arrived(j *job) }

func start(s *simulation, p Policy) player {
	switch p := p.(type) {
	case Ideal:
		return &idealPlayer{sim: s}
	case Home:
		return newHomePlayer(s, p)
	case LeastInFlight:
		return newDirectPlayer(s, p.Hosts)
	}
	return newDirectPlayer(s, 0)
}

// idealPlayer keeps one queue and starts requests where they end soonest.
type idealPlayer struct {
	sim   *simulation
	queue []*job
	armed bool
}

func (p *idealPlayer) arrived(j *job) {
	p.queue = append(p.queue, j)
	p.dispatch()
}

// dispatch starts what can meet its goal; the rest waits until half of the slots are free.
func (p *idealPlayer) dispatch() {
	now := p.sim.now
	waiting := p.queue[:0]
	for _, j := range p.queue {
		switch {
		case now > j.deadline:
			p.sim.refused(j)
		case !p.begin(j):
			waiting = append(waiting, j)
		}
	}
	p.queue = waiting
	if len(p.queue) > 0 && !p.armed {
		p.armed = true
		p.sim.after(time.Millisecond, func() {
			p.armed = false
			p.dispatch()
		})
	}
}

func (p *idealPlayer) begin(j *job) bool {
	best, took, free, slots := (*server)(nil), 0.0, 0, 0
	for _, s := range p.sim.servers {
		slots += p.sim.load.Slots
		free += p.sim.load.Slots - len(s.running)
		if s.fault == Mute || len(s.running) >= p.sim.load.Slots {
			continue
		}
		if t := s.expected(); best == nil || t < took {
			best, took = s, t
		}
	}
	if best == nil {
		return false
	}
	inGoal := p.sim.now+time.Duration(took*float64(time.Second)) <= j.goal
	hopeless := p.sim.now+p.sim.load.ServiceTime > j.goal
	if !inGoal && (!hopeless || 2*free < slots) {
		return false
	}
	best.accept(&run{job: j, done: func(bool) {
		p.sim.answered(j)
		p.sim.after(0, p.dispatch)
	}})
	return true
}

// expected returns what a request of mean work would take if it started now, in seconds.
func (s *server) expected() float64 {
	t := s.sim.load.ServiceTime.Seconds() * s.pace
	if float64(len(s.running)+1) > s.sim.load.NearlyFullShare*float64(s.sim.load.Slots) {
		t *= s.sim.load.NearlyFullSlowdown
	}
	if s.fault == Slow {
		t *= slowFactor
	}
	return t
}

// directPlayer sends requests on at once, by own counts of each host, or at random without any.
type directPlayer struct {
	sim *simulation
	// counts holds the requests in flight, by host and server.
	counts [][]int
}

func newDirectPlayer(s *simulation, hosts int) *directPlayer {
	p := &directPlayer{sim: s}
	for range hosts {
		p.counts = append(p.counts, make([]int, len(s.servers)))
	}
	return p
}

func (p *directPlayer) arrived(j *job) {
	index, done := p.choose()
	server := p.sim.servers[index]
	p.sim.after(p.sim.load.NetworkDelay, func() {
		taken := server.accept(&run{job: j, done: func(bool) {
			p.sim.after(p.sim.load.NetworkDelay, func() {
				done()
				p.sim.answered(j)
			})
		}})
		if !taken {
			done()
			p.sim.refused(j)
		}
	})
}

func (p *directPlayer) choose() (int, func()) {
	first := p.sim.random.IntN(len(p.sim.servers))
	if len(p.counts) == 0 {
		return first, func() {}
	}
	counts := p.counts[p.sim.random.IntN(len(p.counts))]
	best := first
	for i := range counts {
		if n := (first + i) % len(counts); counts[n] < counts[best] {
			best = n
		}
	}
	counts[best]++
	return best, func() { counts[best]-- }
}

// Retry budget of the model's service.
const (
	modelRatio  = 0.18
	modelSlack  = 22
	modelWindow = 10 * time.Second
	// modelTick is how often the home's timers run.
	modelTick = 10 * time.Millisecond
)

// homePlayer drives a placement.Home over simulated travel.
type homePlayer struct {
	sim  *simulation
	home *placement.Home
	jobs map[uint64]*job
	runs map[uint64][]*run
}

func newHomePlayer(s *simulation, p Home) *homePlayer {
	h := &homePlayer{sim: s, jobs: map[uint64]*job{}, runs: map[uint64][]*run{}}
	budget := placement.Budget{Ratio: modelRatio, Slack: modelSlack, Window: modelWindow}
	if !p.Hedges {
		budget = placement.Budget{Window: modelWindow}
	}
	h.home = placement.New(placement.Config{Random: rand.New(rand.NewPCG(s.load.Seed, 9)), Budget: budget, Notify: h.notify})
	h.home.SetPrimary(true)
	var targets []placement.Target
	for _, t := range s.servers {
		targets = append(targets, placement.Target{Name: t.name, Address: t.name, Slots: s.load.Slots})
	}
	slices.SortFunc(targets, func(a, b placement.Target) int { return cmp.Compare(a.Name, b.Name) })
	h.home.SetTargets(0, targets)
	h.tick()
	return h
}

func (h *homePlayer) tick() {
	h.home.Tick(h.sim.now)
	h.probe()
	h.sim.after(modelTick, h.tick)
}

// probe sends the probes that are due.
func (h *homePlayer) probe() {
	for _, p := range h.home.Probes(h.sim.now) {
		server := h.server(p.Target)
		h.sim.probes++
		h.sim.after(h.sim.load.NetworkDelay, func() {
			load := server.report()
			h.sim.after(h.sim.load.NetworkDelay, func() {
				h.home.Probed(h.sim.now, server.name, placement.Healthy, &load)
				h.probe()
			})
		})
	}
}

func (h *homePlayer) server(name string) *server {
	for _, s := range h.sim.servers {
		if s.name == name {
			return s
		}
	}
	return nil
}

func (h *homePlayer) arrived(j *job) {
	h.jobs[j.id] = j
	h.sim.after(h.sim.load.NetworkDelay, func() { h.ask(j, nil) })
}

func (h *homePlayer) ask(j *job, tried []string) {
	h.home.Ask(h.sim.now, &placement.Request{
		ID: placement.ID{Number: j.id}, Class: "model", Goal: j.goal, Deadline: j.deadline, Repeatable: h.sim.load.Repeatable, Tried: tried,
	})
	h.probe()
}

// notify carries a verdict to the host that asked.
func (h *homePlayer) notify(r *placement.Request, v placement.Verdict) {
	j := h.jobs[r.ID.Number]
	switch v := v.(type) {
	case placement.Placed:
		h.sim.after(2*h.sim.load.NetworkDelay, func() { h.send(j, v.Target) })
	case placement.Hedge:
		h.sim.repeats++
		h.sim.after(2*h.sim.load.NetworkDelay, func() { h.send(j, v.Target) })
	case placement.Refused:
		h.sim.after(h.sim.load.NetworkDelay, func() { h.sim.refused(j) })
	}
}

// send offers the request to the server, as the host does.
func (h *homePlayer) send(j *job, name string) {
	server := h.server(name)
	if j.ended {
		h.tell(j, name, placement.Abandoned, 0, nil)
		return
	}
	sent := h.sim.now
	r := &run{job: j}
	r.done = func(bool) {
		load := server.report()
		h.sim.after(h.sim.load.NetworkDelay, func() {
			first := !j.ended
			h.sim.answered(j)
			h.tell(j, name, placement.Answered, h.sim.now-sent, &load)
			if first {
				h.cancelOthers(j, r)
			}
		})
	}
	if !server.accept(r) {
		load := server.report()
		h.tell(j, name, placement.NotRun, 0, &load)
		h.sim.refused(j)
		return
	}
	h.runs[j.id] = append(h.runs[j.id], r)
}

// tell reports the end of a run to the home.
func (h *homePlayer) tell(j *job, name string, outcome placement.Outcome, took time.Duration, load *placement.Load) {
	h.sim.after(h.sim.load.NetworkDelay, func() {
		h.home.Done(h.sim.now, placement.Done{ID: placement.ID{Number: j.id}, Target: name, Outcome: outcome, Took: took, Load: load})
		h.probe()
	})
}

// cancelOthers closes the connections of runs that came second.
func (h *homePlayer) cancelOthers(j *job, winner *run) {
	for _, r := range h.runs[j.id] {
		if r == winner {
			continue
		}
		h.sim.after(h.sim.load.NetworkDelay, func() { r.server.cancel(r) })
		h.tell(j, r.server.name, placement.Abandoned, 0, nil)
	}
	delete(h.runs, j.id)
}
