package admission_test

import (
	"math"
	"math/rand/v2"
	"time"

	"briarcroft/internal/admission"
	"briarcroft/internal/route"
)

// entryHosts is the number of entry hosts that the callers are spread over if requests are not sent to homes. A home is
// the host that places the requests of a service.
const entryHosts = 13

// earlyBinding is a policy that assigns each job to a target on arrival at one of the entry hosts.
type earlyBinding struct {
	choose           func(s *simulation, host *earlyHost) *fakeTarget
	hosts            []*earlyHost
	probesSent       int
	probesPerRequest float64
	probeCredit      float64
}

type earlyHost struct {
	domain    int
	next      int
	inFlight  []int
	probePool []probeSample
}

type probeSample struct {
	target   *fakeTarget
	inFlight int
	latency  float64
	at       time.Duration
}

func newEarlyBinding(hosts, targets int, choose func(*simulation, *earlyHost) *fakeTarget) *earlyBinding {
	p := &earlyBinding{choose: choose}
	for i := range hosts {
		p.hosts = append(p.hosts, &earlyHost{domain: i % domains, next: i, inFlight: make([]int, targets)})
	}
	return p
}

func (p *earlyBinding) requestArrived(s *simulation, j *job) {
	j.hostIndex = s.random.IntN(len(p.hosts))
	host := p.hosts[j.hostIndex]
	t := p.choose(s, host)
	host.inFlight[t.index]++
	s.send(j, t, host.domain)
	p.probeCredit += p.probesPerRequest
	for ; p.probeCredit >= 1; p.probeCredit-- {
		p.sendProbe(s, host)
	}
}

func (p *earlyBinding) requestCompleted(s *simulation, j *job) {
	host := p.hosts[j.hostIndex]
	s.after(s.networkDelay(host.domain, j.target), func() {
		host.inFlight[j.target.index]--
		s.finish(j)
	})
}

func (p *earlyBinding) tick(*simulation) {}
func (p *earlyBinding) probeCount() int  { return p.probesSent }

// probePoolSize and probeAge are the maximum number and age of the probe results that a host keeps.
const (
	probePoolSize = 16
	probeAge      = time.Second
)

func (p *earlyBinding) sendProbe(s *simulation, host *earlyHost) {
	p.probesSent++
	t := s.targets[s.random.IntN(len(s.targets))]
	delay := s.networkDelay(host.domain, t)
	s.after(delay, func() {
		sample := probeSample{t, len(t.running) + len(t.waiting), s.meanWork.Seconds() / t.speed, s.now}
		s.after(delay, func() {
			host.probePool = append(host.probePool, sample)
			if len(host.probePool) > probePoolSize {
				host.probePool = host.probePool[1:]
			}
		})
	})
}

func chooseRandom(s *simulation, _ *earlyHost) *fakeTarget {
	return s.targets[s.random.IntN(len(s.targets))]
}

func chooseRoundRobin(s *simulation, h *earlyHost) *fakeTarget {
	h.next++
	return s.targets[h.next%len(s.targets)]
}

func chooseTwo(s *simulation, h *earlyHost) *fakeTarget {
	a, b := chooseRandom(s, h), chooseRandom(s, h)
	if h.inFlight[b.index] < h.inFlight[a.index] {
		return b
	}
	return a
}

// chooseProbed returns the target with the best product of latency and load in the probe pool, and removes its sample.
// Without a recent sample it falls back to chooseTwo.
func chooseProbed(s *simulation, h *earlyHost) *fakeTarget {
	best, bestScore := -1, math.Inf(1)
	for i, sample := range h.probePool {
		if s.now-sample.at > probeAge {
			continue
		}
		score := sample.latency * (1 + float64(sample.inFlight)/float64(sample.target.slots))
		if score < bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return chooseTwo(s, h)
	}
	t := h.probePool[best].target
	h.probePool = append(h.probePool[:best], h.probePool[best+1:]...)
	return t
}

// idealQueue is a single queue that always knows the free slots and the speed of every target and assigns jobs without
// delay. The network delay is added to the response only, so that it leaves no slot idle. If maxSlowdown is not 0, no
// target is used while it is slower than normal by more than that factor.
type idealQueue struct {
	maxSlowdown float64
	queue       []*job
}

func (p *idealQueue) requestArrived(s *simulation, j *job) {
	p.queue = append(p.queue, j)
	p.dispatch(s)
}

func (p *idealQueue) dispatch(s *simulation) {
	for len(p.queue) > 0 {
		var best *fakeTarget
		for _, t := range s.targets {
			free := len(t.running) < t.slots && (p.maxSlowdown == 0 || t.speed*p.maxSlowdown >= 1)
			if free && (best == nil || t.speed > best.speed) {
				best = t
			}
		}
		if best == nil {
			return
		}
		j := p.queue[0]
		p.queue = p.queue[1:]
		j.target = best
		s.start(j)
	}
}

func (p *idealQueue) requestCompleted(s *simulation, j *job) {
	p.dispatch(s)
	mean := (sameDomainDelay + (domains-1)*s.oneWayDelay) / domains
	s.after(2*mean, func() { s.finish(j) })
}

func (p *idealQueue) tick(s *simulation) { p.dispatch(s) }
func (p *idealQueue) probeCount() int    { return 0 }

// lateBinding is briarcroft's policy: the homes of a service queue its requests, assign them when a target can take
// another one and exchange in-flight counts.
type lateBinding struct {
	hosts            []*homeHost
	exchangeInterval time.Duration
	lastExchange     time.Duration
	reports          bool
	countMessages    int
	// hedgeRatio is the multiple of the service's mean latency after which a second attempt starts; 0 means never.
	hedgeRatio float64
	hedges     int
}

type homeHost struct {
	domain     int
	controller *admission.Controller
	waiting    []*job
	budget     *route.RetryBudget
}

type lateBindingConfig struct {
	homes            int
	overcommit       int
	exchangeInterval time.Duration
	reports          bool
	queueLimit       int
	hedgeRatio       float64
}

func newLateBinding(c scenario, config lateBindingConfig) *lateBinding {
	p := &lateBinding{exchangeInterval: config.exchangeInterval, reports: config.reports}
	if c.idempotent {
		p.hedgeRatio = config.hedgeRatio
	}
	for i := range config.homes {
		r := route.New(route.Config{Random: rand.New(rand.NewPCG(c.seed, uint64(i))), Overcommit: config.overcommit})
		h := &homeHost{domain: i % domains, budget: route.NewRetryBudget(route.RetryBudgetConfig{Ratio: hedgeBudgetRatio})}
		var specs []route.Spec
		for t := range c.targets {
			roundTrip := 2 * c.oneWayDelay
			if t%domains == h.domain {
				roundTrip = 2 * sameDomainDelay
			}
			specs = append(specs, route.Spec{Name: targetName(t), Slots: c.slots, RoundTrip: roundTrip})
		}
		r.SetTargets(0, specs)
		h.controller = admission.New(admission.Config{Router: r, QueueLimit: max(config.queueLimit, 256)})
		p.hosts = append(p.hosts, h)
	}
	return p
}

func targetName(i int) string { return "target-" + string(rune('a'+i/26)) + string(rune('a'+i%26)) }

func (p *lateBinding) requestArrived(s *simulation, j *job) {
	j.hostIndex = s.random.IntN(len(p.hosts))
	h := p.hosts[j.hostIndex]
	deadline := s.deadline
	if deadline == 0 {
		deadline = 10 * time.Second
	}
	request := &admission.Request{Class: admission.Class(j.class), Weight: 1 + 3*j.class, Deadline: j.offeredAt + deadline}
	j.policyData = request
	h.budget.RecordRequest()
	h.waiting = append(h.waiting, j)
	h.controller.Submit(s.now, request)
	p.applyDecisions(s, h)
}

// hedgeBudgetRatio is the maximum ratio of hedges to requests. It is the default retry ratio of a service.
const hedgeBudgetRatio = 0.1

// scheduleHedge schedules a second attempt of an assigned job after hedgeRatio times the mean latency. The attempt
// starts if there is no response by then, no request is queued and the budget allows it.
func (p *lateBinding) scheduleHedge(s *simulation, h *homeHost, j *job) {
	if p.hedgeRatio == 0 || j.otherAttempt != nil {
		return
	}
	delay := time.Duration(p.hedgeRatio * float64(h.controller.Router().MeanLatency()))
	s.after(delay, func() {
		if delay == 0 || j.done || h.controller.Queued() > 0 || !h.budget.TrySpend() {
			return
		}
		p.hedges++
		firstRequest := j.policyData.(*admission.Request)
		second := &job{offeredAt: j.offeredAt, remaining: j.work, work: j.work, hostIndex: j.hostIndex, otherAttempt: j}
		j.otherAttempt = second
		request := &admission.Request{Class: firstRequest.Class, Weight: firstRequest.Weight, Deadline: firstRequest.Deadline, ExcludedTarget: targetName(j.target.index)}
		second.policyData = request
		h.waiting = append(h.waiting, second)
		h.controller.Submit(s.now, request)
		p.applyDecisions(s, h)
	})
}

// cancelOtherAttempt cancels the other attempt of a job that was answered.
func (p *lateBinding) cancelOtherAttempt(s *simulation, h *homeHost, j *job) {
	j.done = true
	other := j.otherAttempt
	if other == nil || other.done {
		return
	}
	other.done = true
	request := other.policyData.(*admission.Request)
	h.controller.Cancel(request)
	if assignment, assigned := request.Decision().(*admission.Assignment); assigned {
		h.controller.Finish(s.now, assignment, s.now-assignment.Start, route.Abandoned)
		if other.target != nil {
			s.after(s.networkDelay(h.domain, other.target), func() { s.cancel(other) })
		}
	}
}

// applyDecisions sends or refuses the jobs that the controller has decided on since the last call.
func (p *lateBinding) applyDecisions(s *simulation, h *homeHost) {
	waiting := h.waiting[:0]
	for _, j := range h.waiting {
		if j.done {
			continue
		}
		switch v := j.policyData.(*admission.Request).Decision().(type) {
		case admission.Waiting:
			waiting = append(waiting, j)
		case *admission.Assignment:
			s.send(j, s.targets[v.Index], h.domain)
			p.scheduleHedge(s, h, j)
		case *admission.Refusal:
			if j.otherAttempt == nil {
				s.refuse(j)
			}
		}
	}
	h.waiting = waiting
}

func (p *lateBinding) requestCompleted(s *simulation, j *job) {
	h := p.hosts[j.hostIndex]
	reported := j.target.reportedInFlight
	s.after(s.networkDelay(h.domain, j.target), func() {
		if j.done {
			return
		}
		assignment := j.policyData.(*admission.Request).Decision().(*admission.Assignment)
		h.controller.Finish(s.now, assignment, s.now-assignment.Start, route.Succeeded)
		p.cancelOtherAttempt(s, h, j)
		if p.reports {
			h.controller.Router().ApplyReport(s.now, assignment.Index, route.LoadReport{InFlight: reported})
		}
		s.finish(j)
		p.applyDecisions(s, h)
	})
}

func (p *lateBinding) tick(s *simulation) {
	for _, h := range p.hosts {
		h.controller.Tick(s.now)
		p.applyDecisions(s, h)
	}
	if p.exchangeInterval == 0 || s.now-p.lastExchange < p.exchangeInterval || len(p.hosts) == 1 {
		return
	}
	p.lastExchange = s.now
	for i := range s.targets {
		sum := 0
		for _, h := range p.hosts {
			sum += h.controller.Router().InFlight(route.Index(i))
		}
		for _, h := range p.hosts {
			peers := sum - h.controller.Router().InFlight(route.Index(i))
			s.after(s.oneWayDelay, func() { h.controller.Router().SetPeerInFlight(s.now, route.Index(i), peers) })
		}
	}
	p.countMessages += len(p.hosts) * (len(p.hosts) - 1)
}

func (p *lateBinding) probeCount() int { return 0 }
