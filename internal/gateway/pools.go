package gateway

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"time"

	"briarcroft/internal/backend"
	"briarcroft/internal/duty"
	"briarcroft/internal/placement"
	"briarcroft/internal/roster"
	"briarcroft/internal/socket"
)

// Limits of the connections to targets.
const (
	// targetDialTimeout is how long a target may take to accept a connection. It is well below the second after which
	// TCP sends a lost SYN again, so another target is tried before that.
	targetDialTimeout = 300 * time.Millisecond
	// targetUnackedTimeout is how long sent bytes may stay unacknowledged before the connection is closed.
	targetUnackedTimeout = 2 * time.Second
	// targetRecentUseWindow is how long after its last response a connection may be reused for a request that is not
	// repeatable: such a request must not be lost on a dead connection.
	targetRecentUseWindow = 5 * time.Second
	// maxTargetConnections bounds the connections of this host to one target for runs, and maxProbeConnections those for health
	// probes, of which at most one is kept idle.
	maxTargetConnections = 32
	maxProbeConnections  = 4
	// idleCapShare is the share of a target's cap on connections that hosts divide among them for idle ones. The rest is for
	// connections in use, for those of homes that send probes, and for those that hosts open before others have learned of new hosts.
	idleCapShare = 0.8
	// poolSweepInterval is the time between two sweeps for unused connections, and longQueueTime how long after a report of a
	// long queue fewer are kept.
	poolSweepInterval = time.Second
	longQueueTime     = time.Second
	// targetIdleTime is how long a connection to a target with a cap is kept idle, and shortIdleTime how long one of a host whose
	// share is below one connection.
	targetIdleTime = 30 * time.Second
	shortIdleTime  = 2 * time.Second
	// responseRecordInterval is the time between two records about responses of one target that were not taken.
	responseRecordInterval = 10 * time.Second
)

// poolKey identifies a target at an address; a target that restarts elsewhere gets a new pool.
type poolKey struct {
	name, address string
}

// pool holds the connections to one target. Health probes have no attempt ID, so a further response to a probe that arrives late
// could not be told from the response to a run: probes have connections of their own.
type pool struct {
	*backend.Pool
	probes *backend.Pool
	close  func()
	// responseRecordedAt is when a response that was not taken was last recorded; zero means never.
	responseRecordedAt time.Duration
	// cap is the number of connections that the target may have with all hosts together; 0 means that there is no cap.
	cap int
	// queuedAt is when the target last reported a long queue; zero means never.
	queuedAt time.Duration
}

// pools holds the connection pools of all targets.
type pools struct {
	gateway *Gateway
	mu      sync.Mutex
	byKey   map[poolKey]pool
	// dial opens connections to targets.
	dial socket.DialFunc
	// caps holds the caps of the targets of services that have one.
	caps map[poolKey]int
}

func newPools(g *Gateway) *pools {
	p := &pools{gateway: g, byKey: map[poolKey]pool{}, dial: g.config.Dial}
	if p.dial == nil {
		p.dial = socket.NewDialFunc(socket.Config{Timeout: targetDialTimeout, UnackedTimeout: targetUnackedTimeout})
	}
	return p
}

// get returns the pool of a target for runs, creating it if necessary, and probes the one for health probes.
func (p *pools) get(name, address string) *backend.Pool    { return p.entry(name, address).Pool }
func (p *pools) probes(name, address string) *backend.Pool { return p.entry(name, address).probes }

func (p *pools) entry(name, address string) pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := poolKey{name, address}
	entry, found := p.byKey[key]
	if !found {
		c := backend.Config{
			Address: address, MaxConnections: maxProbeConnections, DialTimeout: targetDialTimeout, RecentUseWindow: targetRecentUseWindow,
			UnackedTimeout: targetUnackedTimeout, Dial: p.gateway.freeingDial(p.dial),
		}
		var closeRuns, closeProbes func()
		entry.probes, closeProbes = backend.New(c)
		c.MaxConnections, c.ID = maxTargetConnections, p.gateway.attemptID
		entry.Pool, closeRuns = backend.New(c)
		entry.close = func() { closeRuns(); closeProbes() }
		entry.probes.LimitIdle(1, targetIdleTime)
		entry.setCap(p.caps[key], p.gateway.fleetSize(), p.gateway.now())
		p.byKey[key] = entry
	}
	return entry
}

// setCap takes over the cap of the pool's target.
func (e *pool) setCap(limit, hosts int, now time.Duration) {
	if limit > 0 || e.cap > 0 {
		share, idleTime := idleShare(limit, hosts, e.hasLongQueue(now))
		e.LimitIdle(share, idleTime)
		if share == 1 {
			idleTime = shortIdleTime
		}
		e.probes.LimitIdle(1, cmp.Or(idleTime, targetIdleTime))
	}
	e.cap = limit
}

// hasLongQueue reports whether the target has said lately that it has a long queue.
func (e *pool) hasLongQueue(now time.Duration) bool {
	return e.queuedAt > 0 && now-e.queuedAt < longQueueTime
}

// idleShare returns how many idle connections a host may keep, and for how long, to a target that has a cap on its connections
// with all hosts together; a cap of 0 means that it has none. Connections in use need no share, because the homes of a service
// place no more requests on a target than it has slots. While a target has a long queue it takes fewer connections. A host with
// a share below one keeps a connection for a short time, so that only hosts that send requests just now have one.
func idleShare(limit, hosts int, longQueue bool) (int, time.Duration) {
	if limit == 0 {
		return -1, 0
	}
	share := int(idleCapShare * float64(limit) / float64(hosts))
	if longQueue {
		share /= 2
	}
	if share == 0 {
		return 1, shortIdleTime
	}
	return share, targetIdleTime
}

// recordLoad closes idle connections to a target that reports a long queue.
func (p *pools) recordLoad(target, address string, load *placement.LoadReport) {
	if load == nil || load.Waiting < max(1, load.Slots) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	key, now := poolKey{target, address}, p.gateway.now()
	entry, found := p.byKey[key]
	if !found || entry.cap == 0 || entry.queuedAt > 0 && now-entry.queuedAt < longQueueTime/2 {
		return
	}
	entry.queuedAt = now
	entry.setCap(entry.cap, p.gateway.fleetSize(), now)
	p.byKey[key] = entry
}

// closeUnused closes the connections to targets with a cap that may not be used any more or exceed this host's share, which
// changes with the fleet.
func (p *pools) closeUnused() {
	hosts, now := p.gateway.fleetSize(), p.gateway.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, entry := range p.byKey {
		if entry.cap > 0 {
			entry.setCap(entry.cap, hosts, now)
		}
	}
}

// runPoolSweeps is the background task that closes unused connections to targets with a cap.
func (g *Gateway) runPoolSweeps(ctx context.Context) {
	for duty.Sleep(ctx, poolSweepInterval) {
		g.pools.closeUnused()
	}
}

// usage returns the number of this host's connections to all targets.
func (p *pools) usage() backend.Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	var sum backend.Usage
	for _, entry := range p.byKey {
		for _, u := range []backend.Usage{entry.Usage(), entry.probes.Usage()} {
			sum.Open += u.Open
			sum.Idle += u.Idle
		}
	}
	return sum
}

// closeIdle closes all idle connections to targets.
func (p *pools) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, entry := range p.byKey {
		entry.CloseIdle()
		entry.probes.CloseIdle()
	}
}

// busy returns the number of this host's connections to a target that carry a request or are being opened for one.
func (p *pools) busy(name, address string) int {
	p.mu.Lock()
	entry, found := p.byKey[poolKey{name, address}]
	p.mu.Unlock()
	if !found {
		return 0
	}
	runs, probes := entry.Usage(), entry.probes.Usage()
	return runs.Open - runs.Idle + probes.Open - probes.Idle
}

// mayRecordResponse reports whether a record about a response of a target that was not taken is due, and if so counts it as made.
func (p *pools) mayRecordResponse(name, address string) bool {
	now := p.gateway.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	key := poolKey{name, address}
	entry, found := p.byKey[key]
	if !found || entry.responseRecordedAt > 0 && now-entry.responseRecordedAt < responseRecordInterval {
		return false
	}
	entry.responseRecordedAt = now
	p.byKey[key] = entry
	return true
}

// attemptID returns the attempt ID in the header of a request or of its response, or an empty string.
func (g *Gateway) attemptID(header http.Header) string {
	return header.Get(g.dialect.AttemptIDHeader)
}

// applyView closes the pools of targets that are no longer registered at their address.
func (p *pools) applyView(v *roster.View) {
	registered, caps := map[poolKey]bool{}, map[poolKey]int{}
	for name, targets := range v.Targets {
		service, _ := v.Configuration.Service(name)
		for _, t := range targets {
			key := poolKey{t.Name, t.Address}
			registered[key] = true
			if service.Connections > 0 {
				caps[key] = service.Connections
			}
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.caps = caps
	for key, entry := range p.byKey {
		if !registered[key] {
			entry.close()
			delete(p.byKey, key)
		} else if entry.cap != caps[key] {
			entry.setCap(caps[key], p.gateway.fleetSize(), p.gateway.now())
			p.byKey[key] = entry
		}
	}
}

func (p *pools) close() { p.applyView(&roster.View{}) }
