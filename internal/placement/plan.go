package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Parameters of the plan of flows.
const (
	// planInterval is the time between two computations of the plan.
	planInterval = 100 * time.Millisecond
	// planTime is the time constant of the moving averages of demand and pace. It is longer than the 300 ms for which noise
	// slows a target, and than a burst of requests that a queue levels out.
	planTime = time.Second
	// planLoad is the share of what a failure domain can take up to which its own demand stays there. The rest is kept for
	// noise.
	planLoad = 0.9
	// minFlowRate is the rate in requests per second below which a flow is forgotten.
	minFlowRate = 0.01
	// meanResponses is the number of responses over which their mean size is taken. With the 20 responses of responseBytesGain,
	// a class would count as one with small responses most of the time if a few very large ones make up most of its bytes.
	meanResponses = 500
)

// domainPlan decides how much of the demand of each failure domain goes to targets of other failure domains: what its own
// targets cannot take for longer than noise lasts. The requests that go are those with the fewest bytes for the work that
// they take along.
//
// It answers a load of 50 requests a second with responses of 110 KB, equal from three failure domains with 5, 6 and 3
// targets of 3 slots, where a third of the targets is at times four times as slow for 300 ms. Without a plan two thirds of
// the responses cross between failure domains, although each can serve its own.
//
// Work is measured in slots of a pace of 1 that are always in use.
type domainPlan struct {
	flows      map[flowKey]*flow
	domains    map[string]*domainLoad
	computedAt time.Duration
	// busy is set while the work of all domains exceeds busyLoad of what all of them can take.
	busy bool
	// small is set while the mean response of the service has fewer bytes than Config.DomainPlanBytes. Requests are then placed
	// as without a plan.
	small bool
	// responses counts the responses of each class, up to meanResponses.
	responses map[string]int
}

// flowKey names the demand for one class of requests from the hosts of one failure domain.
type flowKey struct{ domain, class string }

// flow is a demand and the part of it that goes to other failure domains.
type flow struct {
	// arrivals counts new requests since the last computation. rate is its moving average per second.
	arrivals int
	rate     float64
	// work is the work that the flow brings.
	work float64
	// crossing is the share that goes to other failure domains, from 0 to 1. credit is the number of requests that may go,
	// of those that came.
	crossing, credit float64
}

// domainLoad is what the targets of a failure domain can take and what they get.
type domainLoad struct {
	// slots is the number of slots that can be in use on available targets without slowing them down.
	slots float64
	// speed is the moving average of the inverse of the pace of these slots; 0 before the first computation.
	speed float64
	// unlimited is the part of slots on targets that name no rate limit. Requests wait only for these: cold targets get a
	// request only when they have room for it.
	unlimited float64
	// work is the work that the domain's own hosts bring. capacity is the work that its targets can take beside planLoad.
	work, capacity float64
	// waiting is the number of requests that wait for a slot in this domain.
	waiting int
}

func newDomainPlan() *domainPlan {
	return &domainPlan{flows: map[flowKey]*flow{}, domains: map[string]*domainLoad{}, computedAt: -time.Hour, responses: map[string]int{}}
}

// responseGain counts a response of a class and returns its weight in the mean size. The first one sets the mean, as otherwise the home
// would take the responses for small ones after each start.
func (p *domainPlan) responseGain(class string) float64 {
	p.responses[class] = min(meanResponses, p.responses[class]+1)
	return 1 / float64(p.responses[class])
}

// domain returns the state of a failure domain.
func (p *domainPlan) domain(name string) *domainLoad {
	d := p.domains[name]
	if d == nil {
		d = &domainLoad{}
		p.domains[name] = d
	}
	return d
}

// arrival counts a new request and reports whether it may go to another failure domain.
func (p *domainPlan) arrival(k flowKey) bool {
	f := p.flows[k]
	if f == nil {
		f = &flow{}
		p.flows[k] = f
	}
	f.arrivals++
	f.credit += f.crossing
	if f.credit < 1 {
		return false
	}
	f.credit--
	return true
}

// sortedKeys returns the keys of all flows, sorted, so that sums over them do not depend on the order of a map.
func (p *domainPlan) sortedKeys() []flowKey {
	return slices.SortedFunc(maps.Keys(p.flows), func(a, b flowKey) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.domain, b.domain))
	})
}

// due reports whether the plan is to be computed.
func (p *domainPlan) due(now time.Duration) bool { return now-p.computedAt >= planInterval }

// domainSupply is what the available targets of a failure domain have at present: slots, and of these the sum of the
// inverses of their paces. Unlimited is the part of the slots on targets that name no rate limit.
type domainSupply struct{ slots, speed, unlimited float64 }

// compute plans anew. Supplies are by failure domain; serviceTime returns the service time of a class in seconds, and bytes
// its mean response size.
func (p *domainPlan) compute(now time.Duration, supplies map[string]domainSupply, serviceTime, bytes func(class string) float64) {
	elapsed := now - p.computedAt
	gain := 1 - decay(elapsed, planTime)
	p.computedAt = now
	for name, d := range p.domains {
		if _, found := supplies[name]; !found {
			d.slots, d.unlimited, d.capacity = 0, 0, 0
		}
		d.work = 0
	}
	for name, supply := range supplies {
		d := p.domain(name)
		d.slots, d.unlimited = supply.slots, supply.unlimited
		if supply.slots > 0 {
			speed := supply.speed / supply.slots
			if d.speed == 0 {
				d.speed = speed
			}
			d.speed += (speed - d.speed) * gain
		}
		d.capacity = planLoad * d.slots * d.speed
	}
	var keys []flowKey
	for _, k := range p.sortedKeys() {
		f := p.flows[k]
		f.rate += (float64(f.arrivals)/elapsed.Seconds() - f.rate) * gain
		f.arrivals = 0
		if f.rate < minFlowRate {
			delete(p.flows, k)
			continue
		}
		f.work = f.rate * serviceTime(k.class)
		p.domain(k.domain).work += f.work
		keys = append(keys, k)
	}
	// The cheapest come first: those with the fewest bytes in a second of work.
	slices.SortStableFunc(keys, func(a, b flowKey) int {
		return cmp.Compare(bytes(a.class)/serviceTime(a.class), bytes(b.class)/serviceTime(b.class))
	})
	work, capacity := 0.0, 0.0
	for _, name := range slices.Sorted(maps.Keys(p.domains)) {
		work += p.domains[name].work
		capacity += p.domains[name].capacity / planLoad
	}
	p.busy = work > busyLoad*capacity
	excess := make(map[string]float64, len(p.domains))
	for name, d := range p.domains {
		excess[name] = max(0, d.work-d.capacity)
	}
	for _, k := range keys {
		f := p.flows[k]
		moved := min(f.work, excess[k.domain])
		excess[k.domain] -= moved
		f.crossing = 0
		if f.work > 0 {
			f.crossing = moved / f.work
		}
		if f.crossing == 0 {
			f.credit = 0
		}
	}
}

// receives reports whether a failure domain has room for requests from others.
func (p *domainPlan) receives(name string) bool {
	d := p.domains[name]
	return d != nil && d.work < d.capacity
}

// Parameters of requests that stay in their failure domain.
const (
	// stayBytes is the mean response size from which the requests of a class stay in their failure domain as long as that
	// leaves their goal within reach.
	stayBytes = 20 << 10
	// stayMargin is the safety factor on the expected duration of a run on a slower target of the own failure domain.
	stayMargin = 2.2
	// stayReserve is how many service times before its goal a request stops waiting for a slot in its own failure domain. A
	// run at a pace of maxFactor, begun then, is still in time.
	stayReserve = 7.0
	// stayWaiting is the number of requests, as a share of the slots of a failure domain, above which no further one waits
	// for a slot there.
	stayWaiting = 0.5
	// smallCrossFactor is the penalty for traffic between failure domains for classes with small responses. It is too low
	// to choose a slowed or nearly full target.
	smallCrossFactor = 1.25
	// busyLoad is the share of the capacity of all failure domains from which on a service is busy. Requests with less time than
	// busyReserve service times until their goal then take the best target by its score, as each slower run makes others late.
	busyLoad    = 0.55
	busyReserve = 5.0
	// noSpareFactor is a further penalty for targets in a failure domain that has no room for requests from others.
	noSpareFactor = 1.1
)

// planArrival counts a new request in the plan of flows.
func (h *Home) planArrival(now time.Duration, r *Request) {
	h.updatePlan(now)
	if len(r.Tried) == 0 {
		r.mayCross = h.plan.arrival(flowKey{r.Domain, r.Class})
	}
}

// updatePlan computes the plan of flows if it is due.
func (h *Home) updatePlan(now time.Duration) {
	if !h.plan.due(now) {
		return
	}
	var work, bytes, rate float64
	for _, k := range h.plan.sortedKeys() {
		f := h.plan.flows[k]
		work += f.rate * h.serviceTimes[k.class]
		bytes += f.rate * h.responseBytes[k.class]
		rate += f.rate
	}
	h.plan.small = bytes < h.config.DomainPlanBytes*rate || rate == 0 && h.config.DomainPlanBytes > 0
	supplies := map[string]domainSupply{}
	for _, t := range h.targets {
		if !t.available(now) {
			continue
		}
		s := supplies[t.Domain]
		usable := max(1, math.Floor(nearlyFullShare*float64(t.Slots)))
		factor, _ := t.slowdown(now, h.averagePace, 1)
		factor *= t.unreported.factor(now)
		speed := usable / max(minFactor, factor)
		if t.limiter.limited() && rate > 0 {
			// The rate limit in work, with the mean service time of the requests of late.
			speed = min(speed, t.limiter.rate(h.limitShare)*work/rate)
		}
		if !t.limiter.limited() {
			s.unlimited += usable
		}
		s.slots += usable
		s.speed += speed
		supplies[t.Domain] = s
	}
	h.plan.compute(now, supplies,
		func(class string) float64 { return max(1e-3, h.serviceTimes[class]) },
		func(class string) float64 { return h.responseBytes[class] })
}

// planned reports whether the plan of flows decides where requests are placed at present.
func (h *Home) planned() bool { return h.plan != nil && !h.plan.small }

// plannedFactor returns the factor by which the traffic between failure domains makes a target less attractive, with a
// plan of flows.
func (h *Home) plannedFactor(t *targetState, r *Request) float64 {
	factor := 1.0
	if !h.plan.receives(t.Domain) {
		factor = noSpareFactor
	}
	if r.mayCross {
		return factor
	}
	bytes, known := h.responseBytes[r.Class]
	if !known {
		return 1 + maxCrossDomainPenalty
	}
	return factor * max(smallCrossFactor, 1+min(maxCrossDomainPenalty, bytes/crossDomainBytes))
}

// choosePlanned chooses between the best target in the failure domain of the request and the best one in another. It
// returns none if the request should wait for a slot in its own. Responses of unknown size count as large, since a home that
// has just started or moved knows no sizes. A retry does not wait, because it may have tried all targets of its domain.
func (h *Home) choosePlanned(now time.Duration, r *Request, own, other candidate) candidate {
	best := own
	if other.better(own) {
		best = other
	}
	if r.queued {
		h.setAwaitsDomain(r, false)
	}
	bytes, known := h.responseBytes[r.Class]
	if r.mayCross || len(r.Tried) > 0 || known && bytes < stayBytes || best.target == nil || !h.maySpendTime(now, r) {
		return best
	}
	inTime := func(c candidate, margin float64) bool {
		return c.target != nil && now+time.Duration(margin*float64(c.estimate.expected)) <= r.Goal
	}
	switch {
	case inTime(own, stayMargin):
		return own
	case h.mayAwaitDomain(now, r):
		if r.queued {
			h.setAwaitsDomain(r, true)
		}
		return candidate{}
	case own.target != nil && !inTime(other, goalMargin):
		// Going elsewhere would not help.
		return own
	}
	return best
}

// maySpendTime reports whether a request may take a slower target for the sake of its failure domain.
func (h *Home) maySpendTime(now time.Duration, r *Request) bool {
	return !h.plan.busy || now+time.Duration(busyReserve*float64(h.serviceTime(r))) <= r.Goal
}

// mayAwaitDomain reports whether a request may wait for a slot in its own failure domain.
func (h *Home) mayAwaitDomain(now time.Duration, r *Request) bool {
	d := h.plan.domains[r.Domain]
	if d == nil || d.unlimited == 0 || now+time.Duration(stayReserve*float64(h.serviceTime(r))) > r.Goal {
		return false
	}
	return float64(d.waiting) < stayWaiting*d.unlimited
}

// setAwaitsDomain records whether a queued request waits for a slot in its own failure domain.
func (h *Home) setAwaitsDomain(r *Request, awaits bool) {
	if h.plan == nil || awaits == r.awaitsDomain {
		return
	}
	r.awaitsDomain = awaits
	if awaits {
		h.plan.domain(r.Domain).waiting++
	} else {
		h.plan.domain(r.Domain).waiting--
	}
}

// countAwaitingDomain counts the queued requests that wait for a slot in their own failure domain, as some have left the
// queue.
func (h *Home) countAwaitingDomain() {
	for _, d := range h.plan.domains {
		d.waiting = 0
	}
	for _, r := range h.queue {
		if r.awaitsDomain {
			h.plan.domain(r.Domain).waiting++
		}
	}
}

// awaitingDomain returns the number of queued requests that wait for a slot in their own failure domain though there may be
// free ones elsewhere.
func (h *Home) awaitingDomain() int {
	if h.plan == nil {
		return 0
	}
	sum := 0
	for _, d := range h.plan.domains {
		sum += d.waiting
	}
	return sum
}
