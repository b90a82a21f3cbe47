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

// balancer carries out a policy.
type balancer interface{ submit(j *job) }

func newBalancer(s *simulation, p Policy) balancer {
	switch p := p.(type) {
	case Ideal:
		return &idealBalancer{sim: s}
	case Home:
		return newHomeBalancer(s, p)
	case LeastInFlight:
		return newDirectBalancer(s, p.Hosts)
	}
	return newDirectBalancer(s, 0)
}

// idealBalancer keeps one queue and starts requests where they end soonest.
type idealBalancer struct {
	sim      *simulation
	queue    []*job
	timerSet bool
}

func (p *idealBalancer) submit(j *job) {
	p.queue = append(p.queue, j)
	p.dispatch()
}

// dispatch starts what can meet its goal; the rest waits until half of the slots are free.
func (p *idealBalancer) dispatch() {
	now := p.sim.now
	waiting := p.queue[:0]
	for _, j := range p.queue {
		switch {
		case now > j.deadline:
			p.sim.recordRefusal(j)
		case !p.tryStart(j):
			waiting = append(waiting, j)
		}
	}
	p.queue = waiting
	if len(p.queue) > 0 && !p.timerSet {
		p.timerSet = true
		p.sim.schedule(time.Millisecond, func() {
			p.timerSet = false
			p.dispatch()
		})
	}
}

func (p *idealBalancer) tryStart(j *job) bool {
	best, took, free, slots := (*server)(nil), 0.0, 0, 0
	for _, s := range p.sim.servers {
		slots += p.sim.workload.Slots
		free += p.sim.workload.Slots - len(s.running)
		if s.fault == Mute || len(s.running) >= p.sim.workload.Slots {
			continue
		}
		if t := s.expectedServiceTime(); best == nil || t < took {
			best, took = s, t
		}
	}
	if best == nil {
		return false
	}
	inGoal := p.sim.now+time.Duration(took*float64(time.Second)) <= j.goal
	hopeless := p.sim.now+p.sim.workload.ServiceTime > j.goal
	if !inGoal && (!hopeless || 2*free < slots) {
		return false
	}
	best.accept(&run{job: j, onResponse: func(bool) {
		p.sim.recordResponse(j)
		p.sim.schedule(0, p.dispatch)
	}})
	return true
}

// expectedServiceTime returns what a request of mean work would take if it started now, in seconds.
func (s *server) expectedServiceTime() float64 {
	t := s.sim.workload.ServiceTime.Seconds() * s.pace
	if float64(len(s.running)+1) > s.sim.workload.NearlyFullShare*float64(s.sim.workload.Slots) {
		t *= s.sim.workload.NearlyFullSlowdown
	}
	if s.fault == Slow {
		t *= slowFaultFactor
	}
	return t
}

// directBalancer sends requests on at once, by own counts of each host, or at random without any.
type directBalancer struct {
	sim *simulation
	// inFlight holds the requests in flight, by host and server.
	inFlight [][]int
}

func newDirectBalancer(s *simulation, hosts int) *directBalancer {
	p := &directBalancer{sim: s}
	for range hosts {
		p.inFlight = append(p.inFlight, make([]int, len(s.servers)))
	}
	return p
}

func (p *directBalancer) submit(j *job) {
	index, done := p.chooseServer()
	server := p.sim.servers[index]
	p.sim.schedule(p.sim.workload.NetworkDelay, func() {
		taken := server.accept(&run{job: j, onResponse: func(bool) {
			p.sim.schedule(p.sim.workload.NetworkDelay, func() {
				done()
				p.sim.recordResponse(j)
			})
		}})
		if !taken {
			done()
			p.sim.recordRefusal(j)
		}
	})
}

func (p *directBalancer) chooseServer() (int, func()) {
	first := p.sim.random.IntN(len(p.sim.servers))
	if len(p.inFlight) == 0 {
		return first, func() {}
	}
	counts := p.inFlight[p.sim.random.IntN(len(p.inFlight))]
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
	retryBudgetRatio  = 0.18
	retryBudgetSlack  = 22
	retryBudgetWindow = 10 * time.Second
	// homeTickInterval is how often the home's timers run.
	homeTickInterval = 10 * time.Millisecond
)

// homeBalancer drives a placement.Home over simulated travel.
type homeBalancer struct {
	sim  *simulation
	home *placement.Home
	jobs map[uint64]*job
	runs map[uint64][]*run
}

func newHomeBalancer(s *simulation, p Home) *homeBalancer {
	h := &homeBalancer{sim: s, jobs: map[uint64]*job{}, runs: map[uint64][]*run{}}
	budget := placement.Budget{Ratio: retryBudgetRatio, Slack: retryBudgetSlack, Window: retryBudgetWindow}
	if !p.Hedges {
		budget = placement.Budget{Window: retryBudgetWindow}
	}
	h.home = placement.New(placement.Config{Random: rand.New(rand.NewPCG(s.workload.Seed, 9)), Budget: budget, Notify: h.onVerdict})
	h.home.SetPrimary(true)
	var targets []placement.Target
	for _, t := range s.servers {
		targets = append(targets, placement.Target{Name: t.name, Address: t.name, Slots: s.workload.Slots})
	}
	slices.SortFunc(targets, func(a, b placement.Target) int { return cmp.Compare(a.Name, b.Name) })
	h.home.SetTargets(0, targets)
	h.tick()
	return h
}

func (h *homeBalancer) tick() {
	h.home.Tick(h.sim.now)
	h.sendProbes()
	h.sim.schedule(homeTickInterval, h.tick)
}

// sendProbes sends the probes that are due.
func (h *homeBalancer) sendProbes() {
	for _, p := range h.home.Probes(h.sim.now) {
		server := h.serverByName(p.Target)
		h.sim.probes++
		h.sim.schedule(h.sim.workload.NetworkDelay, func() {
			load := server.loadReport()
			h.sim.schedule(h.sim.workload.NetworkDelay, func() {
				h.home.Probed(h.sim.now, server.name, placement.Healthy, &load)
				h.sendProbes()
			})
		})
	}
}

func (h *homeBalancer) serverByName(name string) *server {
	for _, s := range h.sim.servers {
		if s.name == name {
			return s
		}
	}
	return nil
}

func (h *homeBalancer) submit(j *job) {
	h.jobs[j.id] = j
	h.sim.schedule(h.sim.workload.NetworkDelay, func() { h.requestPlacement(j, nil) })
}

func (h *homeBalancer) requestPlacement(j *job, tried []string) {
	h.home.Ask(h.sim.now, &placement.Request{
		ID: placement.ID{Number: j.id}, Class: "model", Goal: j.goal, Deadline: j.deadline, Repeatable: h.sim.workload.Repeatable, Tried: tried,
	})
	h.sendProbes()
}

// onVerdict carries a verdict to the host that asked.
func (h *homeBalancer) onVerdict(r *placement.Request, v placement.Verdict) {
	j := h.jobs[r.ID.Number]
	switch v := v.(type) {
	case placement.Placed:
		h.sim.schedule(2*h.sim.workload.NetworkDelay, func() { h.send(j, v.Target) })
	case placement.Hedge:
		h.sim.extraAttempts++
		h.sim.schedule(2*h.sim.workload.NetworkDelay, func() { h.send(j, v.Target) })
	case placement.Refused:
		h.sim.schedule(h.sim.workload.NetworkDelay, func() { h.sim.recordRefusal(j) })
	}
}

// send offers the request to the server, as the host does.
func (h *homeBalancer) send(j *job, name string) {
	server := h.serverByName(name)
	if j.finished {
		h.reportRunEnd(j, name, placement.Abandoned, 0, nil)
		return
	}
	sent := h.sim.now
	r := &run{job: j}
	r.onResponse = func(bool) {
		load := server.loadReport()
		h.sim.schedule(h.sim.workload.NetworkDelay, func() {
			first := !j.finished
			h.sim.recordResponse(j)
			h.reportRunEnd(j, name, placement.Answered, h.sim.now-sent, &load)
			if first {
				h.cancelOthers(j, r)
			}
		})
	}
	if !server.accept(r) {
		load := server.loadReport()
		h.reportRunEnd(j, name, placement.NotRun, 0, &load)
		h.sim.recordRefusal(j)
		return
	}
	h.runs[j.id] = append(h.runs[j.id], r)
}

// reportRunEnd reports the end of a run to the home.
func (h *homeBalancer) reportRunEnd(j *job, name string, outcome placement.Outcome, took time.Duration, load *placement.Load) {
	h.sim.schedule(h.sim.workload.NetworkDelay, func() {
		h.home.Done(h.sim.now, placement.Done{ID: placement.ID{Number: j.id}, Target: name, Outcome: outcome, Took: took, Load: load})
		h.sendProbes()
	})
}

// cancelOthers closes the connections of runs that came second.
func (h *homeBalancer) cancelOthers(j *job, winner *run) {
	for _, r := range h.runs[j.id] {
		if r == winner {
			continue
		}
		h.sim.schedule(h.sim.workload.NetworkDelay, func() { r.server.cancel(r) })
		h.reportRunEnd(j, r.server.name, placement.Abandoned, 0, nil)
	}
	delete(h.runs, j.id)
}
