package gateway

import (
	"context"
	"time"

	"briarcroft/internal/platform"
)

const (
	// maxAddressWrites is the number of addresses that are written or removed in one call.
	maxAddressWrites = 32
	// addressCheckInterval is the time between two comparisons of the addresses in the store with the fleet.
	addressCheckInterval = 2 * time.Second
	// unknownAddressTime is how long after its start a host leaves the address of a host in the store that it has never seen.
	unknownAddressTime = time.Hour
)

// addressKeeper keeps the addresses of all hosts of the fleet in the store. A host that starts where it reaches few others learns
// from them how large the fleet is, so that it does not take a part for most of it. The first watcher writes them for all hosts,
// which takes few calls, and the other watchers write their own.
type addressKeeper struct {
	checkedAt time.Duration
	// set and remove are the changes that the next call makes, and more is set if there are others.
	set    []platform.Entry
	remove []string
	more   bool
	// written is set after a write until the next call has read what it has changed.
	written bool
	// seen holds the keys of hosts that have counted as members of the fleet.
	seen map[string]bool
}

// due reports whether addresses must be written, after it has compared those in the store with the fleet.
func (k *addressKeeper) due(g *Gateway) bool {
	now := g.now()
	if k.written {
		k.written = false
		return false
	}
	if now <= registerDelay || !k.more && now-k.checkedAt < addressCheckInterval || !g.isWatcher() {
		return false
	}
	k.checkedAt = now
	k.compare(g)
	return len(k.set)+len(k.remove) > 0
}

// compare finds out which addresses in the store are to be changed.
func (k *addressKeeper) compare(g *Gateway) {
	k.set, k.remove, k.more = nil, nil, false
	own := g.settings.Host.Name
	k.add(g, own, g.settings.Host.PeerAddress())
	if watchers := g.watchers(); len(watchers) == 0 || watchers[0].Name != own {
		return
	}
	for _, m := range g.members.Peers() {
		if !m.Leaving {
			k.add(g, m.Name, m.Inner)
		}
	}
	counted := map[string]bool{}
	if k.seen == nil {
		k.seen = map[string]bool{}
	}
	for _, name := range g.members.Counted() {
		key := g.dialect.PeerKey(name)
		counted[key], k.seen[key] = true, true
	}
	for key := range g.roster.View().PeerAddresses {
		if !counted[key] && (k.seen[key] || g.now() > unknownAddressTime) && k.hasRoom() {
			k.remove = append(k.remove, key)
		}
	}
}

// add adds the address of a host to the next call unless the store holds it.
func (k *addressKeeper) add(g *Gateway, name, address string) {
	key := g.dialect.PeerKey(name)
	if g.roster.Stored(key) && g.roster.View().PeerAddresses[key] == address || !k.hasRoom() {
		return
	}
	k.set = append(k.set, platform.Entry{Key: key, Value: []byte(address)})
}

// hasRoom reports whether the next call may hold another change.
func (k *addressKeeper) hasRoom() bool {
	if len(k.set)+len(k.remove) < maxAddressWrites {
		return true
	}
	k.more = true
	return false
}

// write makes one call with the changes that are due.
func (k *addressKeeper) write(ctx context.Context, g *Gateway) error {
	g.stats.storeCalls.Add(1)
	k.written = true
	return g.config.Store.Write(ctx, k.set, k.remove)
}
