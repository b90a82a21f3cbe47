package host

import "time"

// Merge updates the table from a heartbeat or a reply; sender is the name of the host that sent it.
// It returns the hashes of the digests that match no known member.
func (t *MemberTable) Merge(now time.Duration, sender string, gossip Gossip) []MemberHash {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastReceived = now
	for _, m := range gossip.Members {
		if m.Name != t.self.Name {
			t.mergeMember(now, m, m.Name == sender)
		}
	}
	t.mergeAges(now, gossip)
	return t.mergeDigests(now, gossip.Digests)
}

// mergeMember updates the table from the state of one member; direct is set if the member itself sent it. A lower
// incarnation replaces a dead higher one only if it is direct, since other hosts may still gossip outdated state.
func (t *MemberTable) mergeMember(now time.Duration, m Member, direct bool) {
	heard := now - m.Age
	knowsAge := m.KnowsAge
	m.Age, m.KnowsAge = 0, false
	p, found := t.peers[m.Name]
	if !found {
		p = &peer{member: m, hash: m.hash(), lastHeard: heard, beatAt: heard}
		t.peers[m.Name], t.byHash[p.hash] = p, p
		t.events = append(t.events, Event{Joined, m})
		t.discovered = true
		t.changed()
		return
	}
	old := p.member
	replaced := m.Incarnation > old.Incarnation || m.Incarnation != old.Incarnation && p.dead && direct
	advanced := m.Incarnation == old.Incarnation && m.Beat > old.Beat
	switch {
	case replaced:
		t.discovered = true
	case advanced:
		m.Leaving = m.Leaving || old.Leaving
	case m.Incarnation == old.Incarnation && knowsAge:
		t.hear(now, p, heard)
		return
	default:
		return
	}
	t.appendEvents(p, m, replaced)
	if p.dead {
		p.dead = false
		t.changed()
	}
	p.member, p.lastHeard, p.beatAt = m, max(heard, p.lastHeard), heard
	if hash := m.hash(); hash != p.hash {
		delete(t.byHash, p.hash)
		p.hash, t.byHash[hash] = hash, p
		t.changed()
	}
}

// hear records that a peer sent a heartbeat at a time.
func (t *MemberTable) hear(now time.Duration, p *peer, at time.Duration) {
	if at <= p.lastHeard {
		return
	}
	p.lastHeard = at
	if p.dead && now-at <= deadAfter {
		p.dead = false
		t.events = append(t.events, Event{Returned, p.member})
		t.changed()
	}
}

// appendEvents appends the events of a peer's change to a new state.
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
