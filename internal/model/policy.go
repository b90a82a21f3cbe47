package model

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"briarcroft/internal/age"
	"briarcroft/internal/notice"
	"briarcroft/internal/placement"
	"briarcroft/internal/quarantine"
	"briarcroft/internal/ratelimit"
)

// Policy is a load-balancing policy: Ideal, Home, LeastInFlight or AtRandom.
type Policy interface {
	Name() string
	policy()
}

// Ideal is an upper bound that cannot be built: a single queue that always knows the current pace, load and fault of
// every server and has no network delay. Like the other policies, it does not know how long a particular request takes.
type Ideal struct{}

// Home places all requests of the service in its home, with the code that the gateway runs, package placement. A home is
// the entry host that decides for all entry hosts which server runs which request of a service.
type Home struct {
	// Hedges allows hedging: a second run on another server if the first takes longer than expected.
	Hedges bool
	// AgeOrder makes the home go by the age of requests.
	AgeOrder bool
	// DomainPlan makes the home plan how much traffic crosses between failure domains.
	DomainPlan bool
	// SecondRuns is the operators' limit on hedges; the zero value means that there is none.
	SecondRuns placement.SecondRunLimit
}

// LeastInFlight sends each request immediately to the server with the fewest requests in flight. Requests arrive at
// random at one of Hosts entry hosts, each of which counts only the requests that it sent itself.
type LeastInFlight struct{ Hosts int }

// AtRandom sends each request immediately to a random server.
type AtRandom struct{}

// Name implements Policy.
func (Ideal) Name() string { return "Ideal" }

// Name implements Policy.
func (h Home) Name() string {
	switch {
	case h.AgeOrder:
		return "HomeByAge"
	case h.DomainPlan:
		return "HomeDomainPlan"
	case h.Hedges:
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

// balancer runs a policy in a simulation. Its method submit is called for each request when it arrives.
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

// idealBalancer runs Ideal. It starts each request on the server where it is expected to end first.
type idealBalancer struct {
	sim      *simulation
	queue    []*job
	timerSet bool
}

func (b *idealBalancer) submit(j *job) {
	b.queue = append(b.queue, j)
	b.dispatch()
}

// dispatch starts queued requests that are expected to meet their goal. A request that can no longer meet it, even on
// an undisturbed server, is started only while at least half of all slots are free. Requests are refused once their
// deadline has passed. While requests are queued, dispatch runs at least every millisecond.
func (b *idealBalancer) dispatch() {
	now := b.sim.now
	remaining := b.queue[:0]
	for _, j := range b.queue {
		switch {
		case now > j.deadline:
			b.sim.recordRefusal(j, 0)
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

// tryStart starts the request and returns true, or returns false if the request must stay in the queue.
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

// expectedServiceTime returns the time in seconds that a request of mean service time would take if it started now.
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

// Parameters of the simulated home.
const (
	// The retry budget allows 0.18 extra attempts per request, and 22 more, in a window of 10 s.
	retryBudgetRatio  = 0.18
	retryBudgetSlack  = 22
	retryBudgetWindow = 10 * time.Second
	// secondRunShare is the home's share of the limit on second runs.
	secondRunShare = 0.8
	// probesPerTarget is the number of health probes that a target may get per second.
	probesPerTarget = 30
	// homeTickInterval is the period at which Home.Tick is called.
	homeTickInterval = 10 * time.Millisecond
	// fullServerRetryAfter is what a caller is told after a full server has refused its request.
	fullServerRetryAfter = 200 * time.Millisecond
	// goneTimeout is how long a host waits for a connection to a server that cannot be reached.
	goneTimeout = 300 * time.Millisecond
)

// homeBalancer runs Home. It simulates the messages between the entry hosts, the home and the servers, and their delays.
type homeBalancer struct {
	sim  *simulation
	home *placement.Home
	// jobs holds all requests by ID. runs holds the runs that servers accepted, by the ID of the request, until the first
	// response.
	jobs map[uint64]*job
	runs map[uint64][]*run
	// allowance gives probes to requests. The model has one host that submits all of them.
	allowance placement.ProbeAllowance
	// ages tells the age of requests; it is nil without AgeOrder.
	ages *age.Table
}

func newHomeBalancer(sim *simulation, p Home) *homeBalancer {
	b := &homeBalancer{sim: sim, jobs: map[uint64]*job{}, runs: map[uint64][]*run{}, allowance: placement.ProbeAllowance{PerTarget: probesPerTarget}}
	budget := placement.RetryBudget{Ratio: retryBudgetRatio, Slack: retryBudgetSlack, Window: retryBudgetWindow}
	if !p.Hedges {
		budget = placement.RetryBudget{Window: retryBudgetWindow}
	}
	if p.AgeOrder {
		b.ages = age.New()
	}
	b.home = placement.New(placement.Config{
		AgeOrder: p.AgeOrder, DomainPlan: p.DomainPlan,
		Random: rand.New(rand.NewPCG(sim.workload.Seed, 9)), Budget: budget, Quarantine: quarantine.New(quarantine.Config{Targets: len(sim.servers)}),
		RateLimits: ratelimit.New(), Notices: notice.New(), OnVerdict: b.onVerdict,
	})
	var targets []placement.Target
	for _, t := range sim.servers {
		targets = append(targets, placement.Target{Name: t.name, Address: t.name, Domain: domainName(t.domain), Slots: sim.workload.Slots})
	}
	slices.SortFunc(targets, func(a, b placement.Target) int { return cmp.Compare(a.Name, b.Name) })
	b.home.SetTargets(0, targets)
	b.home.SetSecondRuns(p.SecondRuns, secondRunShare)
	b.tick()
	return b
}

func (b *homeBalancer) tick() {
	b.home.Tick(b.sim.now)
	b.sendProbes()
	b.sim.schedule(homeTickInterval, b.tick)
}

// sendProbes sends the health probes that are due.
func (b *homeBalancer) sendProbes() {
	for _, p := range b.home.DueProbes(b.sim.now) {
		server := b.serverByName(p.Target)
		b.sim.probes++
		if server.fault == Gone {
			b.sim.schedule(goneTimeout, func() { b.home.RecordProbe(b.sim.now, server.name, placement.ProbeNoResponse, nil) })
			continue
		}
		b.sim.schedule(b.sim.workload.NetworkDelay, func() {
			report := server.loadReport()
			b.sim.schedule(b.sim.workload.NetworkDelay, func() {
				b.home.RecordProbe(b.sim.now, server.name, placement.ProbeHealthy, &report)
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

// requestPlacement submits a request to the home. Without AgeOrder an attempt is taken for a new request.
func (b *homeBalancer) requestPlacement(j *job, tried []string) {
	w, now := b.sim.workload, b.sim.now
	goal, asked := min(j.deadline, j.arrivedAt+w.LatencyGoal), time.Duration(0)
	if b.ages != nil {
		asked = b.ages.Observe(now, "model", j.call.caller, j.call.deadline-j.arrivedAt)
		goal = min(j.deadline, j.arrivedAt-asked+w.LatencyGoal)
		if asked > 0 {
			asked += now - j.arrivedAt
		}
	}
	b.home.Submit(now, &placement.Request{
		ID: placement.RequestID{Number: j.id}, Class: j.call.class.Name, Priority: j.call.class.Priority, Age: asked, Goal: goal, Deadline: j.deadline,
		Repeatable: w.Repeatable, Tried: tried, Domain: domainName(j.domain), Probes: b.allowance.Take(now, len(b.sim.servers), 1, placement.ProbesPerRequest),
	})
	j.submitted = true
	b.sendProbes()
}

// onVerdict sends a verdict of the home to the host that submitted the request. The host then sends the request to the
// target, which takes a second network delay.
func (b *homeBalancer) onVerdict(r *placement.Request, v placement.Verdict) {
	j := b.jobs[r.ID.Number]
	switch v := v.(type) {
	case placement.Placed:
		b.sim.schedule(2*b.sim.workload.NetworkDelay, func() { b.send(j, v.Target, false) })
	case placement.Hedge:
		b.sim.extraAttempts++
		b.sim.schedule(2*b.sim.workload.NetworkDelay, func() { b.send(j, v.Target, true) })
	case placement.Refused:
		j.refusedAtOnce = !j.submitted
		b.sim.schedule(b.sim.workload.NetworkDelay, func() { b.sim.recordRefusal(j, v.RetryAfter) })
	}
}

// send sends a request to the target as an entry host does. If the request has been answered or refused meanwhile, it
// instead reports the run to the home as canceled. Hedge is set if the run is a hedge.
func (b *homeBalancer) send(j *job, target string, hedge bool) {
	server := b.serverByName(target)
	if j.finished {
		b.reportRunEnd(j, target, placement.OutcomeCanceled, 0, nil)
		return
	}
	sentAt := b.sim.now
	if server.fault == Gone {
		b.sim.schedule(goneTimeout, func() {
			b.reportRunEnd(j, target, placement.OutcomeUnreachable, 0, nil)
			b.sim.schedule(b.sim.workload.NetworkDelay, func() { b.requestPlacement(j, []string{target}) })
		})
		return
	}
	r := &run{job: j, hedge: hedge}
	r.onResponse = func(bool) {
		report := server.loadReport()
		b.sim.schedule(b.sim.workload.NetworkDelay, func() {
			isFirst := !j.finished
			b.sim.recordResponse(j)
			b.reportRunEnd(j, target, placement.OutcomeAnswered, b.sim.now-sentAt, &report)
			if isFirst {
				b.cancelOthers(j, r)
			}
		})
	}
	if !server.accept(r) {
		report := server.loadReport()
		b.reportRunEnd(j, target, placement.OutcomeNotRun, 0, &report)
		b.sim.recordRefusal(j, fullServerRetryAfter)
		return
	}
	b.runs[j.id] = append(b.runs[j.id], r)
}

// domainName returns the name of a failure domain.
func domainName(domain int) string { return string(rune('a' + domain)) }

// reportRunEnd reports the end of a run to the home, which receives it after the network delay.
func (b *homeBalancer) reportRunEnd(j *job, target string, outcome placement.Outcome, duration time.Duration, report *placement.LoadReport) {
	b.sim.schedule(b.sim.workload.NetworkDelay, func() {
		b.home.RunEnded(b.sim.now, placement.RunEnd{ID: placement.RequestID{Number: j.id}, Target: target, Outcome: outcome, Duration: duration, Bytes: int(j.bytes), Load: report})
		b.sendProbes()
	})
}

// cancelOthers cancels the runs of a request other than the one that was answered first.
func (b *homeBalancer) cancelOthers(j *job, answered *run) {
	for _, r := range b.runs[j.id] {
		if r == answered {
			continue
		}
		b.sim.schedule(b.sim.workload.NetworkDelay, func() { r.server.cancel(r) })
		b.reportRunEnd(j, r.server.name, placement.OutcomeCanceled, 0, nil)
	}
	delete(b.runs, j.id)
}
