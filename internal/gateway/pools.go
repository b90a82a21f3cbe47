package gateway

import (
	"net/http"
	"sync"
	"time"

	"briarcroft/internal/backend"
	"briarcroft/internal/roster"
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
	// maxTargetConnections bounds the connections of this host to one target.
	maxTargetConnections = 32
	// tooLargeRecordInterval is the time between two records about too large responses of one target.
	tooLargeRecordInterval = 10 * time.Second
)

// poolKey identifies a target at an address; a target that restarts elsewhere gets a new pool.
type poolKey struct {
	name, address string
}

type pool struct {
	*backend.Pool
	close func()
	// tooLargeAt is when a response that was too large was last recorded; zero means never.
	tooLargeAt time.Duration
}

// pools holds the connection pools of all targets.
type pools struct {
	gateway *Gateway
	mu      sync.Mutex
	byKey   map[poolKey]pool
}

func newPools(g *Gateway) *pools { return &pools{gateway: g, byKey: map[poolKey]pool{}} }

// get returns the pool of a target, creating it if necessary.
func (p *pools) get(name, address string) *backend.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := poolKey{name, address}
	entry, found := p.byKey[key]
	if !found {
		entry.Pool, entry.close = backend.New(backend.Config{
			Address: address, MaxConnections: maxTargetConnections, DialTimeout: targetDialTimeout, RecentUseWindow: targetRecentUseWindow,
			UnackedTimeout: targetUnackedTimeout, MatchResponse: p.gateway.responseMatches, Dial: p.gateway.config.Dial,
		})
		p.byKey[key] = entry
	}
	return entry.Pool
}

// busy returns the number of this host's connections to a target that carry a request or are being opened for one.
func (p *pools) busy(name, address string) int {
	p.mu.Lock()
	entry, found := p.byKey[poolKey{name, address}]
	p.mu.Unlock()
	if !found {
		return 0
	}
	usage := entry.Usage()
	return usage.Open - usage.Idle
}

// mayRecordTooLarge reports whether a record about a too large response of a target is due, and if so counts it as made.
func (p *pools) mayRecordTooLarge(name, address string) bool {
	now := p.gateway.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	key := poolKey{name, address}
	entry, found := p.byKey[key]
	if !found || entry.tooLargeAt > 0 && now-entry.tooLargeAt < tooLargeRecordInterval {
		return false
	}
	entry.tooLargeAt = now
	p.byKey[key] = entry
	return true
}

// responseMatches reports whether a response belongs to a request, by the attempt ID that both carry. A response
// without an ID is accepted.
func (g *Gateway) responseMatches(r *http.Request, response *http.Response) bool {
	id := response.Header.Get(g.dialect.AttemptIDHeader)
	return id == "" || id == r.Header.Get(g.dialect.AttemptIDHeader)
}

// applyView closes the pools of targets that are no longer registered at their address.
func (p *pools) applyView(v *roster.View) {
	registered := map[poolKey]bool{}
	for _, targets := range v.Targets {
		for _, t := range targets {
			registered[poolKey{t.Name, t.Address}] = true
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, entry := range p.byKey {
		if !registered[key] {
			entry.close()
			delete(p.byKey, key)
		}
	}
}

func (p *pools) close() { p.applyView(&roster.View{}) }
