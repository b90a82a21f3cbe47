package gateway

import (
	"net/http"
	"sync"
	"time"

	"briarcroft/internal/backend"
	"briarcroft/internal/roster"
)

// Times and sizes of the connections to targets.
const (
	// targetDialTimeout is how long a target may take to accept a connection; the opening packet is sent again after a second.
	targetDialTimeout = 300 * time.Millisecond
	// targetSilence is how long a target may leave bytes unacknowledged.
	targetSilence = 2 * time.Second
	// targetProof is how long after its last answer a connection may carry a request that must not run twice.
	targetProof = 5 * time.Second
	// targetConnections is the most connections of one host to one target.
	targetConnections = 32
)

// poolKey names one start of a target at one address.
type poolKey struct {
	name, address string
}

type pool struct {
	*backend.Pool
	close func()
}

// pools holds the connections to targets.
type pools struct {
	gateway *Gateway
	mu      sync.Mutex
	byKey   map[poolKey]pool
}

func newPools(g *Gateway) *pools { return &pools{gateway: g, byKey: map[poolKey]pool{}} }

// get returns the pool of a target, opening it when it is new.
func (p *pools) get(name, address string) *backend.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := poolKey{name, address}
	held, known := p.byKey[key]
	if !known {
		held.Pool, held.close = backend.New(backend.Config{
			Address: address, MaxConnections: targetConnections, DialTimeout: targetDialTimeout, RecentUseWindow: targetProof,
			UnackedTimeout: targetSilence, MatchResponse: p.gateway.answers, Dial: p.gateway.config.Dial,
		})
		p.byKey[key] = held
	}
	return held.Pool
}

// answers reports whether a response belongs to a request; one that names no request may.
func (g *Gateway) answers(r *http.Request, response *http.Response) bool {
	id := response.Header.Get(g.dialect.AttemptHeader)
	return id == "" || id == r.Header.Get(g.dialect.AttemptHeader)
}

// adopt closes the pools of targets that are gone.
func (p *pools) adopt(v *roster.View) {
	named := map[poolKey]bool{}
	for _, list := range v.Targets {
		for _, t := range list {
			named[poolKey{t.Name, t.Address}] = true
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, held := range p.byKey {
		if !named[key] {
			held.close()
			delete(p.byKey, key)
		}
	}
}

func (p *pools) close() { p.adopt(&roster.View{}) }
