package entry

import (
	"context"
	"sync"
	"time"

	"briarcroft/internal/duty"
	"briarcroft/internal/host"
	"briarcroft/internal/inner"
	"briarcroft/internal/meter"
)

// Times and sizes of the exchange of counts.
const (
	countsEvery   = 25 * time.Millisecond
	countsTimeout = 250 * time.Millisecond
	// idleCountsEvery is how often to look whether any service has several homes.
	idleCountsEvery = time.Second
	countBytes      = 24
	countsFresh     = time.Second
)

// peerCounts holds the other entry hosts' requests in flight.
type peerCounts struct {
	mu     sync.Mutex
	byHost map[string]hostCounts
}

// hostCounts is what one peer pushed last, and when.
type hostCounts struct {
	incarnation, sequence uint64
	at                    time.Duration
	inFlight              map[string]int
}

func newPeerCounts() *peerCounts {
	return &peerCounts{byHost: map[string]hostCounts{}}
}

// take stores what a peer pushed, unless something newer came before.
func (p *peerCounts) take(now time.Duration, r *inner.CountsRequest) {
	counts := hostCounts{r.Incarnation, r.Sequence, now, map[string]int{}}
	for i, target := range r.Targets {
		if i < len(r.InFlight) {
			counts.inFlight[target] = int(r.InFlight[i])
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.byHost[r.Sender]
	if r.Incarnation == old.incarnation && r.Sequence <= old.sequence {
		return
	}
	p.byHost[r.Sender] = counts
}

// sum returns all peers' fresh requests in flight on a target.
func (p *peerCounts) sum(now time.Duration, target string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := 0
	for _, counts := range p.byHost {
		if now-counts.at < countsFresh {
			sum += counts.inFlight[target]
		}
	}
	return sum
}

// countsDuty pushes own requests in flight to the other homes of the services that have several.
func (h *Host) countsDuty(ctx context.Context) {
	var sequence uint64
	last := map[string]int{}
	wait := countsEvery
	for duty.Sleep(ctx, wait) {
		wait = idleCountsEvery
		shared := h.sharedServices()
		if len(shared) == 0 {
			continue
		}
		wait = countsEvery
		changed, counts := h.changedCounts(shared, last)
		if !changed {
			continue
		}
		last = counts
		sequence++
		h.pushCounts(ctx, sequence, counts)
	}
}

// sharedServices returns the services that have several homes.
func (h *Host) sharedServices() map[string]bool {
	live := h.table.Live(h.now())
	shared := map[string]bool{}
	for _, s := range h.steering.Configuration().Services {
		if host.HomeCount(s.Name, s.Homes, live) > 1 {
			shared[s.Name] = true
		}
	}
	return shared
}

// changedCounts returns own requests in flight on targets of services that have other homes too.
func (h *Host) changedCounts(shared map[string]bool, last map[string]int) (bool, map[string]int) {
	counts := map[string]int{}
	for _, service := range h.steering.Services() {
		if shared[service.Name()] {
			service.InFlight(func(target string, n int) { counts[target] = n })
		}
	}
	changed := len(counts) != len(last)
	for target, n := range counts {
		changed = changed || last[target] != n
	}
	return changed, counts
}

func (h *Host) pushCounts(ctx context.Context, sequence uint64, counts map[string]int) {
	request := &inner.CountsRequest{Sender: h.Name(), Incarnation: h.incarnation, Sequence: sequence}
	for target, n := range counts {
		request.Targets = append(request.Targets, target)
		request.InFlight = append(request.InFlight, uint32(n))
	}
	ctx, cancel := context.WithTimeout(ctx, countsTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, m := range h.otherHomes() {
		if !h.budget.Allow(h.now(), meter.ActivityCounts, m.Domain, countBytes*(1+len(counts))) {
			continue
		}
		group.Go(func() {
			// A lost push is made up for by the next one.
			_, _ = h.client.Peer(ctx, m.Inner).Counts(ctx, request)
		})
	}
	group.Wait()
}

// otherHomes returns the hosts that are home, beside this one, to a service with several homes.
func (h *Host) otherHomes() []host.Member {
	live := h.table.Live(h.now())
	seen := map[string]bool{h.Name(): true}
	var list []host.Member
	for _, s := range h.steering.Configuration().Services {
		homes := host.HomeCount(s.Name, s.Homes, live)
		if homes < 2 {
			continue
		}
		for _, m := range host.RegionHomes(s.Name, homes, h.settings.Host.Region, live) {
			if !seen[m.Name] {
				seen[m.Name] = true
				list = append(list, m)
			}
		}
	}
	return list
}

// takeCounts takes in a peer's push.
func (h *Host) takeCounts(r *inner.CountsRequest) {
	started := time.Now()
	h.peerCounts.take(h.now(), r)
	for _, service := range h.steering.Services() {
		service.TakePeerCounts(r.Targets, func(target string) int { return h.peerCounts.sum(h.now(), target) })
	}
	h.budget.Charge(h.now(), time.Since(started))
}
