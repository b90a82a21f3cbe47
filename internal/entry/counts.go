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

// Times and sizes of the exchange of in-flight counts between the homes of a service.
const (
	// countsInterval is the shortest time between two pushes of changed counts.
	countsInterval = 25 * time.Millisecond
	// countsTimeout bounds one push to all peers.
	countsTimeout = 250 * time.Millisecond
	// idleCountsInterval is how often to check, while no service has several homes, whether one has got them.
	idleCountsInterval = time.Second
	// bytesPerCount is the size of one count on the network as charged to the measuring budget.
	bytesPerCount = 24
	// countsMaxAge is how long counts are used after they were received.
	countsMaxAge = time.Second
)

// peerCounts holds the requests in flight of the other entry hosts. It is safe for concurrent use.
type peerCounts struct {
	mu     sync.Mutex
	byHost map[string]hostCounts
}

// hostCounts is the latest push of one peer: requests in flight by target, and when it was received.
type hostCounts struct {
	incarnation, sequence uint64
	receivedAt            time.Duration
	inFlight              map[string]int
}

func newPeerCounts() *peerCounts {
	return &peerCounts{byHost: map[string]hostCounts{}}
}

// store keeps the counts that a peer pushed, unless a later push of the same incarnation has already arrived.
func (p *peerCounts) store(now time.Duration, r *inner.CountsRequest) {
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

// sum returns the requests in flight on a target over all peers whose counts are recent.
func (p *peerCounts) sum(now time.Duration, target string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := 0
	for _, counts := range p.byHost {
		if now-counts.receivedAt < countsMaxAge {
			sum += counts.inFlight[target]
		}
	}
	return sum
}

// countsLoop pushes this host's requests in flight to the other homes of services that have several, whenever the
// counts have changed.
func (h *Host) countsLoop(ctx context.Context) {
	var sequence uint64
	last := map[string]int{}
	wait := countsInterval
	for duty.Sleep(ctx, wait) {
		wait = idleCountsInterval
		shared := h.sharedServices()
		if len(shared) == 0 {
			continue
		}
		wait = countsInterval
		changed, counts := h.collectCounts(shared, last)
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
	live := h.membership.Live(h.now())
	shared := map[string]bool{}
	for _, s := range h.dispatcher.Configuration().Services {
		if host.HomeCount(s.Name, s.Homes, live) > 1 {
			shared[s.Name] = true
		}
	}
	return shared
}

// collectCounts returns this host's requests in flight by target, for the services in shared, and whether they differ
// from last.
func (h *Host) collectCounts(shared map[string]bool, last map[string]int) (bool, map[string]int) {
	counts := map[string]int{}
	for _, service := range h.dispatcher.Services() {
		if shared[service.Name()] {
			service.ForEachInFlight(func(target string, n int) { counts[target] = n })
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
		if !h.budget.Allow(h.now(), meter.ActivityCounts, m.Domain, bytesPerCount*(1+len(counts))) {
			continue
		}
		group.Go(func() {
			// A failed push is not repeated: the next one replaces it.
			_, _ = h.client.Peer(ctx, m.Inner).Counts(ctx, request)
		})
	}
	group.Wait()
}

// otherHomes returns the other hosts of this region that are a home of a service with several homes.
func (h *Host) otherHomes() []host.Member {
	live := h.membership.Live(h.now())
	seen := map[string]bool{h.Name(): true}
	var peers []host.Member
	for _, s := range h.dispatcher.Configuration().Services {
		homes := host.HomeCount(s.Name, s.Homes, live)
		if homes < 2 {
			continue
		}
		for _, m := range host.RegionHomes(s.Name, homes, h.settings.Host.Region, live) {
			if !seen[m.Name] {
				seen[m.Name] = true
				peers = append(peers, m)
			}
		}
	}
	return peers
}

// handleCounts stores the counts that a peer pushed and gives each service the new totals of all peers.
func (h *Host) handleCounts(r *inner.CountsRequest) {
	started := time.Now()
	h.peerCounts.store(h.now(), r)
	for _, service := range h.dispatcher.Services() {
		service.SetPeerInFlight(r.Targets, func(target string) int { return h.peerCounts.sum(h.now(), target) })
	}
	h.budget.Charge(h.now(), time.Since(started))
}
