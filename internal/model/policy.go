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

func (b *idealBalancer) submit(j *job) {
	b.queue = append(b.queue, j)
	b.dispatch()
}

// dispatch starts what can meet its goal; the rest waits until half of the slots are free.
func (b *idealBalancer) dispatch() {
	now := b.sim.now
	remaining := b.queue[:0]
	for _, j := range b.queue {
		switch {
		case now > j.deadline:
			b.sim.recordRefusal(j)
		case !b.tryStart(j):
			remaining = append(remaining, j)
		}
	}
	b.queue = remaining
	if len(b.queue) > 0 && !b.timerSet {
		b.timerSet = true
		b.sim.schedule(time.Millisecond, func() {
			b.timerSet = false
			b.dispatch()
		})
	}
}

func (b *idealBalancer) tryStart(j *job) bool {
	best, shortest, freeSlots, slots := (*server)(nil), 0.0, 0, 0
	for _, s := range b.sim.servers {
		slots += b.sim.workload.Slots
		freeSlots += b.sim.workload.Slots - len(s.running)
		if s.fault == Mute || len(s.running) >= b.sim.workload.Slots {
			continue
		}
		if t := s.expectedServiceTime(); best == nil || t < shortest {
			best, shortest = s, t
		}
	}
	if best == nil {
		return false
	}
	meetsGoal := b.sim.now+time.Duration(shortest*float64(time.Second)) <= j.goal
	late := b.sim.now+b.sim.workload.ServiceTime > j.goal
	if !meetsGoal && (!late || 2*freeSlots < slots) {
		return false
	}
	best.accept(&run{job: j, onResponse: func(bool) {
		b.sim.recordResponse(j)
		b.sim.schedule(0, b.dispatch)
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
	b := &directBalancer{sim: s}
	for range hosts {
		b.inFlight = append(b.inFlight, make([]int, len(s.servers)))
	}
	return b
}

func (b *directBalancer) submit(j *job) {
	index, release := b.chooseServer()
	server := b.sim.servers[index]
	b.sim.schedule(b.sim.workload.NetworkDelay, func() {
		accepted := server.accept(&run{job: j, onResponse: func(bool) {
			b.sim.schedule(b.sim.workload.NetworkDelay, func() {
				release()
				b.sim.recordResponse(j)
			})
		}})
		if !accepted {
			release()
			b.sim.recordRefusal(j)
		}
	})
}

func (b *directBalancer) chooseServer() (int, func()) {
	first := b.sim.random.IntN(len(b.sim.servers))
	if len(b.inFlight) == 0 {
		return first, func() {}
	}
	inFlight := b.inFlight[b.sim.random.IntN(len(b.inFlight))]
	best := first
	for i := range inFlight {
		if n := (first + i) % len(inFlight); inFlight[n] < inFlight[best] {
			best = n
		}
	}
	inFlight[best]++
	return best, func() { inFlight[best]-- }
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

func newHomeBalancer(sim *simulation, p Home) *homeBalancer {
	b := &homeBalancer{sim: sim, jobs: map[uint64]*job{}, runs: map[uint64][]*run{}}
	budget := placement.Budget{Ratio: retryBudgetRatio, Slack: retryBudgetSlack, Window: retryBudgetWindow}
	if !p.Hedges {
		budget = placement.Budget{Window: retryBudgetWindow}
	}
	b.home = placement.New(placement.Config{Random: rand.New(rand.NewPCG(sim.workload.Seed, 9)), Budget: budget, Notify: b.onVerdict})
	b.home.SetPrimary(true)
	var targets []placement.Target
	for _, t := range sim.servers {
		targets = append(targets, placement.Target{Name: t.name, Address: t.name, Slots: sim.workload.Slots})
	}
	slices.SortFunc(targets, func(a, b placement.Target) int { return cmp.Compare(a.Name, b.Name) })
	b.home.SetTargets(0, targets)
	b.tick()
	return b
}

func (b *homeBalancer) tick() {
	b.home.Tick(b.sim.now)
	b.sendProbes()
	b.sim.schedule(homeTickInterval, b.tick)
}

// sendProbes sends the probes that are due.
func (b *homeBalancer) sendProbes() {
	for _, p := range b.home.Probes(b.sim.now) {
		server := b.serverByName(p.Target)
		b.sim.probes++
		b.sim.schedule(b.sim.workload.NetworkDelay, func() {
			report := server.loadReport()
			b.sim.schedule(b.sim.workload.NetworkDelay, func() {
				b.home.Probed(b.sim.now, server.name, placement.Healthy, &report)
				b.sendProbes()
			})
		})
	}
}

func (b *homeBalancer) serverByName(name string) *server {
	for _, s := range b.sim.servers {
		if s.name == name {
			return s
		}
	}
	return nil
}

func (b *homeBalancer) submit(j *job) {
	b.jobs[j.id] = j
	b.sim.schedule(b.sim.workload.NetworkDelay, func() { b.requestPlacement(j, nil) })
}

func (b *homeBalancer) requestPlacement(j *job, tried []string) {
	b.home.Ask(b.sim.now, &placement.Request{
		ID: placement.ID{Number: j.id}, Class: "model", Goal: j.goal, Deadline: j.deadline, Repeatable: b.sim.workload.Repeatable, Tried: tried,
	})
	b.sendProbes()
}

// onVerdict carries a verdict to the host that asked.
func (b *homeBalancer) onVerdict(r *placement.Request, v placement.Verdict) {
	j := b.jobs[r.ID.Number]
	switch v := v.(type) {
	case placement.Placed:
		b.sim.schedule(2*b.sim.workload.NetworkDelay, func() { b.send(j, v.Target) })
	case placement.Hedge:
		b.sim.extraAttempts++
		b.sim.schedule(2*b.sim.workload.NetworkDelay, func() { b.send(j, v.Target) })
	case placement.Refused:
		b.sim.schedule(b.sim.workload.NetworkDelay, func() { b.sim.recordRefusal(j) })
	}
}

// send offers the request to the server, as the host does.
func (b *homeBalancer) send(j *job, target string) {
	server := b.serverByName(target)
	if j.finished {
		b.reportRunEnd(j, target, placement.Abandoned, 0, nil)
		return
	}
	sent := b.sim.now
	r := &run{job: j}
	r.onResponse = func(bool) {
		report := server.loadReport()
		b.sim.schedule(b.sim.workload.NetworkDelay, func() {
			isFirst := !j.finished
			b.sim.recordResponse(j)
			b.reportRunEnd(j, target, placement.Answered, b.sim.now-sent, &report)
			if isFirst {
				b.cancelOthers(j, r)
			}
		})
	}
	if !server.accept(r) {
		report := server.loadReport()
		b.reportRunEnd(j, target, placement.NotRun, 0, &report)
		b.sim.recordRefusal(j)
		return
	}
	b.runs[j.id] = append(b.runs[j.id], r)
}

// reportRunEnd reports the end of a run to the home.
func (b *homeBalancer) reportRunEnd(j *job, target string, outcome placement.Outcome, duration time.Duration, report *placement.Load) {
	b.sim.schedule(b.sim.workload.NetworkDelay, func() {
		b.home.Done(b.sim.now, placement.Done{ID: placement.ID{Number: j.id}, Target: target, Outcome: outcome, Took: duration, Load: report})
		b.sendProbes()
	})
}

// cancelOthers closes the connections of runs that came second.
func (b *homeBalancer) cancelOthers(j *job, winner *run) {
	for _, r := range b.runs[j.id] {
		if r == winner {
			continue
		}
		b.sim.schedule(b.sim.workload.NetworkDelay, func() { r.server.cancel(r) })
		b.reportRunEnd(j, r.server.name, placement.Abandoned, 0, nil)
	}
	delete(b.runs, j.id)
}
