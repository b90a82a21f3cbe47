package host

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// Config sets up a Table.
type Config struct {
	Self  Member
	Seeds []string
	// DomainFanOut is the number of peers in the own failure domain that a heartbeat goes to; other domains get one each.
	DomainFanOut int
	Random       *rand.Rand
}

// maxGossipMembers bounds the members in one heartbeat.
const maxGossipMembers = 64

// seedContactRounds is how many rounds pass between two heartbeats to seeds and listed hosts, whether they are known or not.
const seedContactRounds = 16

type peer struct {
	member      Member
	hash        MemberHash
	lastAdvance time.Duration
	// stateChanged is when anything but the heartbeat last changed.
	stateChanged time.Duration
	dead         bool
	// listedLeaving is set while the platform's host list says that the host leaves.
	listedLeaving bool
}

// MemberTable is what one entry host knows of all others. It is safe for concurrent use.
type MemberTable struct {
	mu        sync.Mutex
	config    Config
	self      Member
	peers     map[string]*peer
	lastRound time.Duration
	// discovered is set when a member was heard of for the first time since the last round of heartbeats.
	discovered bool
	// quietRounds counts the rounds since then.
	quietRounds int
	started     bool
	paused      bool
	// lastReceived is when any peer's heartbeat last advanced.
	lastReceived time.Duration
	events       []Event
	// hostListAddresses are the inner addresses of entry hosts on the platform's list.
	hostListAddresses []string
	// live caches Live until the next change.
	live []Member
}

// NewMemberTable returns a table that knows only its own host.
func NewMemberTable(c Config) *MemberTable {
	return &MemberTable{config: c, self: c.Self, peers: map[string]*peer{}}
}

// Self returns the own member as it is now.
func (t *MemberTable) Self() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// SetNote sets the number of the note in force here.
func (t *MemberTable) SetNote(number int) { t.update(func(m *Member) { m.Note = max(m.Note, number) }) }

// SetReady sets whether this host may be in address answers.
func (t *MemberTable) SetReady(ready bool) { t.update(func(m *Member) { m.Ready = ready }) }

// SetHomeDemands sets which services' load asks for more homes.
func (t *MemberTable) SetHomeDemands(wants []HomeDemand) {
	t.update(func(m *Member) { m.Wants = wants })
}

// SetSeeds replaces the addresses that are asked first.
func (t *MemberTable) SetSeeds(seeds []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.config.Seeds = seeds
}

// SetStoreLost sets whether this host can't reach the platform's store.
func (t *MemberTable) SetStoreLost(lost bool) { t.update(func(m *Member) { m.StoreLost = lost }) }

// Leave marks the own host as leaving.
func (t *MemberTable) Leave() { t.update(func(m *Member) { m.Leaving = true }) }

func (t *MemberTable) update(change func(*Member)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.self)
	t.live = nil
}

// BeginRound begins a round of heartbeats and returns the inner addresses to send to.
// It notices when this host was paused since the last round.
func (t *MemberTable) BeginRound(now time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.started && now-t.lastRound > pauseThreshold {
		t.paused = true
		t.self.Ready = false
		t.restartTimeouts(now)
	}
	t.quietRounds++
	if t.discovered {
		t.quietRounds = 0
	}
	t.started, t.lastRound, t.discovered = true, now, false
	t.self.Beat++
	t.expire(now)
	t.live = nil
	return t.recipients()
}

// RoundInterval returns how long to wait for the next round of heartbeats.
func (t *MemberTable) RoundInterval() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.discovered || t.quietRounds < discoveryRounds {
		return discoveryInterval
	}
	return HeartbeatInterval
}

// restartTimeouts gives every peer a new chance after an own pause, so that none is taken for dead that was only unheard.
func (t *MemberTable) restartTimeouts(now time.Duration) {
	for _, p := range t.peers {
		if !p.dead {
			p.lastAdvance = now
		}
	}
}

// ResetPaused reports whether the host was paused since the last call; the note and the peers must be read again.
func (t *MemberTable) ResetPaused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	paused := t.paused
	t.paused = false
	return paused
}

// HeartbeatOverdue reports whether the host's own heartbeat is late, which means that it was paused and has not noticed yet.
func (t *MemberTable) HeartbeatOverdue(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.started && now-t.lastRound > pauseThreshold
}

// recipients picks a few live peers of each failure domain, one dead one, and the seeds while no peer is known.
func (t *MemberTable) recipients() []string {
	byDomain := map[string][]string{}
	var dead []string
	for _, name := range t.peerNames() {
		p := t.peers[name]
		if p.dead {
			dead = append(dead, p.member.Inner)
			continue
		}
		byDomain[p.member.Domain] = append(byDomain[p.member.Domain], p.member.Inner)
	}
	var list []string
	for _, domain := range sortedKeys(byDomain) {
		count := 1
		if domain == t.self.Domain {
			count = t.config.DomainFanOut
		}
		list = append(list, t.sample(byDomain[domain], count)...)
	}
	list = append(list, t.sample(dead, 1)...)
	if len(list) == 0 || t.self.Beat%seedContactRounds == 0 {
		list = append(list, t.sample(t.config.Seeds, 2)...)
		list = append(list, t.sample(t.hostListAddresses, 2)...)
	}
	slices.Sort(list)
	return slices.DeleteFunc(slices.Compact(list), func(a string) bool { return a == t.self.Inner })
}

func (t *MemberTable) peerNames() []string {
	names := make([]string, 0, len(t.peers))
	for name := range t.peers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func sortedKeys(m map[string][]string) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func (t *MemberTable) sample(list []string, count int) []string {
	list = slices.Clone(list)
	t.config.Random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(count, len(list))]
}

// deadTimeout returns how long a member lives without a new heartbeat. It grows with a fleet so large that
// a heartbeat cannot tell of every member.
func (t *MemberTable) deadTimeout() time.Duration {
	return deadAfter * time.Duration(max(maxGossipMembers, len(t.peers))) / maxGossipMembers
}

func (t *MemberTable) expire(now time.Duration) {
	for name, p := range t.peers {
		age := now - p.lastAdvance
		if !p.dead && age > t.deadTimeout() {
			p.dead = true
			t.events = append(t.events, Event{Died, p.member})
		}
		if p.dead && age > removeAfter {
			delete(t.peers, name)
		}
	}
}

// Merge takes in a heartbeat or its reply; sender is the name of the host that sent it.
// It returns the pulses that name no known member.
func (t *MemberTable) Merge(now time.Duration, sender string, news Gossip) []MemberHash {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastReceived = now
	for _, m := range news.Members {
		if m.Name != t.self.Name {
			t.mergeMember(now, m, m.Name == sender)
		}
	}
	t.live = nil
	return t.mergeDigests(now, news.Digests)
}

func (t *MemberTable) mergeMember(now time.Duration, m Member, direct bool) {
	p, known := t.peers[m.Name]
	if !known {
		t.peers[m.Name] = &peer{member: m, hash: m.hash(), lastAdvance: now, stateChanged: now}
		t.events = append(t.events, Event{Joined, m})
		t.discovered = true
		return
	}
	old := p.member
	replaced := m.Incarnation > old.Incarnation || m.Incarnation != old.Incarnation && p.dead && direct
	advanced := m.Incarnation == old.Incarnation && m.Beat > old.Beat
	if !replaced && !advanced {
		return
	}
	if advanced {
		m.Leaving = m.Leaving || old.Leaving
	}
	t.discovered = t.discovered || replaced
	t.appendEvents(p, m, replaced)
	p.member, p.lastAdvance, p.dead = m, now, false
	if id := m.hash(); id != p.hash {
		p.hash, p.stateChanged = id, now
	}
}

func (t *MemberTable) appendEvents(p *peer, m Member, replaced bool) {
	switch {
	case replaced:
		t.events = append(t.events, Event{Joined, m})
	case p.dead:
		t.events = append(t.events, Event{Returned, m})
	}
	if m.Leaving && (replaced || !p.member.Leaving) {
		t.events = append(t.events, Event{Left, m})
	}
}

// HeartbeatFailed notes that a heartbeat to an inner address got no answer.
// A host that refuses connections is not yet dead: it dies when no peer has heard it.
func (t *MemberTable) HeartbeatFailed(now time.Duration, inner string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if p.member.Inner == inner && p.member.Leaving {
			p.lastAdvance = min(p.lastAdvance, now-t.deadTimeout())
		}
	}
}

// SetHostList takes in the platform's list: the inner addresses of its entry hosts, to find peers by beside the seeds,
// and the names of the hosts that it calls leaving.
func (t *MemberTable) SetHostList(listed []string, names map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hostListAddresses = listed
	for name, p := range t.peers {
		p.listedLeaving = names[name]
	}
	t.live = nil
}

// Isolated reports whether this host knew peers and now hears none.
func (t *MemberTable) Isolated(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.peers) > 0 && now-t.lastReceived > t.deadTimeout()
}

// Live returns the ready hosts that are not leaving, the own one among them, sorted by name.
func (t *MemberTable) Live(now time.Duration) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.live != nil {
		return t.live
	}
	live := []Member{}
	if t.self.Ready && !t.self.Leaving {
		live = append(live, t.self)
	}
	for _, p := range t.peers {
		if p.member.Ready && !p.member.Leaving && !p.listedLeaving && !p.dead && now-p.lastAdvance <= t.deadTimeout() {
			live = append(live, p.member)
		}
	}
	slices.SortFunc(live, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	t.live = live
	return live
}

// Find returns a member by name, dead or alive.
func (t *MemberTable) Find(name string) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if name == t.self.Name {
		return t.self, true
	}
	p, known := t.peers[name]
	if !known {
		return Member{}, false
	}
	return p.member, true
}

// Peers returns every known peer that is not dead, sorted by name.
func (t *MemberTable) Peers() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Member
	for _, name := range t.peerNames() {
		if p := t.peers[name]; !p.dead {
			list = append(list, p.member)
		}
	}
	return list
}

// DrainEvents returns the changes since the last call.
func (t *MemberTable) DrainEvents() []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	events := t.events
	t.events = nil
	return events
}
