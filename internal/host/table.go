package host

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// Config configures a MemberTable.
type Config struct {
	// Self describes this host at its start.
	Self Member
	// Seeds are the inner addresses at which the first peers are found.
	Seeds []string
	// DomainFanOut is the number of peers in this host's failure domain that receive each round of heartbeats.
	// One peer of each other failure domain receives it as well.
	DomainFanOut int
	// Random selects the peers that receive a round of heartbeats.
	Random *rand.Rand
}

// seedContactRounds is the number of rounds between two heartbeats to seeds and hosts of the platform's host list,
// which are also sent while peers are known.
const seedContactRounds = 16

// peer is what this host knows about another one.
type peer struct {
	member Member
	hash   MemberHash
	// lastHeard is when the member sent the newest heartbeat that this host knows of, directly or from others.
	lastHeard time.Duration
	// beatAt is when the heartbeat that Member.Beat counts was sent.
	beatAt time.Duration
	dead   bool
	// listedLeaving is set while the platform's host list marks the host as leaving.
	listedLeaving bool
}

// MemberTable holds the state of this host and what it knows about all other entry hosts. It is safe for concurrent use.
type MemberTable struct {
	mu     sync.Mutex
	config Config
	self   Member
	// selfHash is the hash of self, and selfChanged when that last changed.
	selfHash    MemberHash
	selfChanged time.Duration
	// peers holds the other hosts by name, and byHash by the hash of their state.
	peers  map[string]*peer
	byHash map[MemberHash]*peer
	// removed holds when a dead host was removed from peers, by name.
	removed map[string]time.Duration
	// lastRound is when the last round of heartbeats began.
	lastRound time.Duration
	// resumedAt is when a pause of this process last ended. Heartbeats that were missed before do not count.
	resumedAt time.Duration
	// views caches the result of domainViews until the next change of a member's state.
	views map[string]*domainView
	// firstRound is when the first round of heartbeats began.
	firstRound time.Duration
	// discovered is set when a new member, or a new incarnation of one, appeared since the last round of heartbeats.
	discovered bool
	// quietRounds is the number of rounds since a member was last discovered.
	quietRounds int
	// started is set with the first round of heartbeats.
	started bool
	// paused is set when a pause of this process was detected; ResetPaused clears it.
	paused bool
	// lastReceived is when a heartbeat or a reply was last received.
	lastReceived time.Duration
	// events are the changes since the last call of DrainEvents.
	events []Event
	// hostListAddresses are the inner addresses of the entry hosts on the platform's host list.
	hostListAddresses []string
	// live caches the result of Live until the next change of a member's state, at the latest until liveUntil.
	live      []Member
	liveUntil time.Duration
}

// NewMemberTable returns a table that holds only this host.
func NewMemberTable(c Config) *MemberTable {
	return &MemberTable{
		config: c, self: c.Self, selfHash: c.Self.hash(), peers: map[string]*peer{}, byHash: map[MemberHash]*peer{}, removed: map[string]time.Duration{},
	}
}

// Self returns the current state of this host.
func (t *MemberTable) Self() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// SetNote sets the number of the note in force on this host; a lower number than the current one is ignored.
func (t *MemberTable) SetNote(number int) { t.update(func(m *Member) { m.Note = max(m.Note, number) }) }

// SetReady sets whether callers may be sent to this host.
func (t *MemberTable) SetReady(ready bool) { t.update(func(m *Member) { m.Ready = ready }) }

// SetHomeDemands sets the services that need more than one home according to this host; see HomeScaler.Demands.
func (t *MemberTable) SetHomeDemands(demands []HomeDemand) {
	t.update(func(m *Member) { m.Wants = demands })
}

// SetSeeds replaces the seed addresses.
func (t *MemberTable) SetSeeds(seeds []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.config.Seeds = seeds
}

// SetStoreLost sets whether the platform's store is unreachable from this host.
func (t *MemberTable) SetStoreLost(lost bool) { t.update(func(m *Member) { m.StoreLost = lost }) }

// SetTargetsLost sets whether this host reaches no backend server.
func (t *MemberTable) SetTargetsLost(lost bool) {
	t.update(func(m *Member) { m.TargetsLost = lost })
}

// Leave marks this host as leaving.
func (t *MemberTable) Leave() { t.update(func(m *Member) { m.Leaving = true }) }

// update changes the state of this host.
func (t *MemberTable) update(change func(*Member)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.self)
	t.selfUpdated()
}

// selfUpdated must be called after a change of self.
func (t *MemberTable) selfUpdated() {
	if hash := t.self.hash(); hash != t.selfHash {
		// The next round of heartbeats is the first one that can tell others.
		t.selfHash, t.selfChanged = hash, t.lastRound+HeartbeatInterval
	}
	t.changed()
}

// changed must be called after a change of the state of any member, other than that it was heard of.
func (t *MemberTable) changed() { t.live, t.views = nil, nil }

// BeginRound begins a round of heartbeats and returns the inner addresses to send them to.
// If this process was paused since the last round, the host is set not ready, and ResetPaused reports the pause.
func (t *MemberTable) BeginRound(now time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.started {
		t.started, t.firstRound = true, now
	} else if now-t.lastRound > pauseThreshold {
		t.paused, t.resumedAt = true, now
		t.self.Ready = false
		t.selfUpdated()
	}
	t.quietRounds++
	if t.discovered {
		t.quietRounds = 0
	}
	t.lastRound, t.discovered = now, false
	t.self.Beat++
	t.expire(now)
	return t.recipients()
}

// RoundInterval returns how long to wait for the next round of heartbeats.
func (t *MemberTable) RoundInterval() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	starting := t.lastRound-t.firstRound < discoveryPeriod
	if starting && (t.discovered || t.quietRounds < discoveryRounds) {
		return discoveryInterval
	}
	return HeartbeatInterval
}

// ResetPaused reports whether a pause of this process was detected since the last call. After a pause the note in force
// and the state of the peers are out of date, and the caller must fetch them again.
func (t *MemberTable) ResetPaused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	paused := t.paused
	t.paused = false
	return paused
}

// HeartbeatOverdue reports whether this host's next round of heartbeats is so late that the process must have been
// paused and BeginRound has not detected it yet.
func (t *MemberTable) HeartbeatOverdue(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.started && now-t.lastRound > pauseThreshold
}

// overdue reports whether a peer has not been heard of for so long that it counts as dead.
func (t *MemberTable) overdue(now time.Duration, p *peer) bool {
	return now-max(p.lastHeard, t.resumedAt) > deadAfter
}

// expire marks peers without recent heartbeats as dead and removes those that have been dead for long.
func (t *MemberTable) expire(now time.Duration) {
	for name, p := range t.peers {
		if !p.dead && t.overdue(now, p) {
			p.dead = true
			t.changed()
			t.events = append(t.events, Event{Died, p.member})
		}
		if p.dead && now-p.lastHeard > removeAfter {
			delete(t.peers, name)
			delete(t.byHash, p.hash)
			if !p.member.Leaving {
				t.removed[name] = now
			}
		}
	}
	for name, at := range t.removed {
		if now-at > countedAfterRemoval {
			delete(t.removed, name)
		}
	}
}

// Counted returns the names of the hosts that may be running, this one included, in no particular order. Dead hosts that did not
// stop gracefully count for countedAfterRemoval and longer, because they may be running where this host cannot reach them.
func (t *MemberTable) Counted() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := make([]string, 0, len(t.peers)+len(t.removed)+1)
	names = append(names, t.self.Name)
	for name := range t.peers {
		names = append(names, name)
	}
	for name := range t.removed {
		if t.peers[name] == nil {
			names = append(names, name)
		}
	}
	return names
}

// FleetSize returns the number of hosts that Counted names.
func (t *MemberTable) FleetSize() int { return len(t.Counted()) }

// HeartbeatFailed records that the peer at an inner address did not answer a heartbeat. A leaving peer counts as dead
// from the next round on. Any other may still be reachable from other hosts, and counts as dead only when no host has
// passed on a new heartbeat of it within deadAfter.
func (t *MemberTable) HeartbeatFailed(now time.Duration, inner string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if p.member.Inner == inner && p.member.Leaving {
			p.lastHeard = min(p.lastHeard, now-deadAfter)
		}
	}
}

// SetHostList applies the platform's host list. The inner addresses of its entry hosts are used like seeds, and the
// hosts whose names are in leaving are excluded from Live.
func (t *MemberTable) SetHostList(addresses []string, leaving map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hostListAddresses = addresses
	for name, p := range t.peers {
		p.listedLeaving = leaving[name]
	}
	t.changed()
}

// Isolated reports whether this host knows peers but has received no heartbeat or reply from any within deadAfter.
func (t *MemberTable) Isolated(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.peers) > 0 && now-t.lastReceived > deadAfter
}

// Live returns the hosts that are alive, ready and not leaving, possibly including this one, sorted by name. It returns
// the same slice until a host comes, goes or changes. The caller must not modify the result, of which the heartbeat counters
// may be out of date.
func (t *MemberTable) Live(now time.Duration) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.live != nil && now <= t.liveUntil {
		return t.live
	}
	live := []Member{}
	if t.self.Ready && !t.self.Leaving {
		live = append(live, t.self)
	}
	t.liveUntil = now + deadAfter
	for _, p := range t.peers {
		if p.member.Ready && !p.member.Leaving && !p.listedLeaving && !p.dead && !t.overdue(now, p) {
			live = append(live, p.member)
			t.liveUntil = min(t.liveUntil, max(p.lastHeard, t.resumedAt)+deadAfter)
		}
	}
	if t.live != nil && len(live) == len(t.live) {
		// No member's state has changed, and none has become overdue either.
		return t.live
	}
	slices.SortFunc(live, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	t.live = live
	return live
}

// Find returns the member with a name, dead or alive.
func (t *MemberTable) Find(name string) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if name == t.self.Name {
		return t.self, true
	}
	p, found := t.peers[name]
	if !found {
		return Member{}, false
	}
	return p.member, true
}

// FindWithNewerNote returns the peer with a name if the note (revision of the configuration) in force there is newer than
// the given one.
func (t *MemberTable) FindWithNewerNote(name string, note int) (Member, bool) {
	m, found := t.Find(name)
	return m, found && m.Note > note
}

// Alone reports whether no other host is known that is not dead.
func (t *MemberTable) Alone() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if !p.dead {
			return false
		}
	}
	return true
}

// Peers returns all other hosts that are not dead, sorted by name.
func (t *MemberTable) Peers() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var members []Member
	for _, name := range t.peerNames() {
		if p := t.peers[name]; !p.dead {
			members = append(members, p.member)
		}
	}
	return members
}

// DrainEvents returns the events since the last call.
func (t *MemberTable) DrainEvents() []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	events := t.events
	t.events = nil
	return events
}

func (t *MemberTable) peerNames() []string {
	names := make([]string, 0, len(t.peers))
	for name := range t.peers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
