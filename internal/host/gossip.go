package host

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// fullStateTime is how long a change of a member is sent in full to whoever is told.
const fullStateTime = 1500 * time.Millisecond

// MemberHash names everything about a member but its heartbeat; it changes when any of that does.
type MemberHash uint32

// Digest is the newest heartbeat of a member that the other side knows already.
type Digest struct {
	Hash MemberHash
	Beat uint64
}

// Gossip is what one host tells another of the members.
type Gossip struct {
	Members []Member
	Digests []Digest
	// Unknown lists pulses that the other side sent and that this one could not place.
	Unknown []MemberHash
}

// hash computes a member's ID.
func (m Member) hash() MemberHash {
	d := xxhash.New()
	for _, text := range []string{m.Name, m.Listen, m.Inner, m.Domain, m.Region} {
		// A hash never fails to write.
		_, _ = d.WriteString(text)
		_, _ = d.Write([]byte{0})
	}
	for _, w := range m.Wants {
		_, _ = d.WriteString(w.Service)
		_, _ = d.Write([]byte{0, byte(w.Homes)})
	}
	var fixed [19]byte
	binary.LittleEndian.PutUint64(fixed[:], m.Incarnation)
	binary.LittleEndian.PutUint64(fixed[8:], uint64(m.Note))
	fixed[16], fixed[17] = boolByte(m.Leaving), boolByte(m.Ready)
	fixed[18] = boolByte(m.StoreLost)
	_, _ = d.Write(fixed[:])
	return MemberHash(d.Sum64())
}

func boolByte(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// newestPeers returns the members to tell of: the own one first, then those that advanced last, at most maxSent.
func (t *MemberTable) newestPeers() []*peer {
	peers := make([]*peer, 0, len(t.peers)+1)
	for _, p := range t.peers {
		if !p.dead {
			peers = append(peers, p)
		}
	}
	slices.SortFunc(peers, func(a, b *peer) int {
		return cmp.Or(cmp.Compare(b.lastAdvance, a.lastAdvance), strings.Compare(a.member.Name, b.member.Name))
	})
	peers = peers[:min(len(peers), maxGossipMembers-1)]
	self := &peer{member: t.self, hash: t.self.hash()}
	return append([]*peer{self}, peers...)
}

// OutgoingGossip returns what to tell a peer: the own member and recent changes in full, the rest as pulses.
func (t *MemberTable) OutgoingGossip(now time.Duration) Gossip {
	t.mu.Lock()
	defer t.mu.Unlock()
	var news Gossip
	for i, p := range t.newestPeers() {
		if i == 0 || now-p.stateChanged < fullStateTime {
			news.Members = append(news.Members, p.member)
			continue
		}
		news.Digests = append(news.Digests, Digest{p.hash, p.member.Beat})
	}
	return news
}

// HandleGossip takes in what a peer told and returns what that peer does not know yet.
func (t *MemberTable) HandleGossip(now time.Duration, sender string, news Gossip) Gossip {
	unknown := t.Merge(now, sender, news)
	t.mu.Lock()
	defer t.mu.Unlock()
	told := make(map[MemberHash]uint64, len(news.Digests)+len(news.Members))
	for _, m := range news.Members {
		told[m.hash()] = m.Beat
	}
	for _, p := range news.Digests {
		told[p.Hash] = p.Beat
	}
	answer := Gossip{Unknown: unknown}
	for _, p := range t.newestPeers() {
		beat, known := told[p.hash]
		switch {
		case !known:
			answer.Members = append(answer.Members, p.member)
		case p.member.Beat > beat:
			answer.Digests = append(answer.Digests, Digest{p.hash, p.member.Beat})
		}
	}
	return answer
}

// FullGossip returns the members with the given IDs, the own one first.
func (t *MemberTable) FullGossip(ids []MemberHash) Gossip {
	t.mu.Lock()
	defer t.mu.Unlock()
	news := Gossip{Members: []Member{t.self}}
	for _, p := range t.peers {
		if slices.Contains(ids, p.hash) {
			news.Members = append(news.Members, p.member)
		}
	}
	return news
}

// mergeDigests advances the members that the pulses name and returns the IDs that name none.
func (t *MemberTable) mergeDigests(now time.Duration, pulses []Digest) []MemberHash {
	if len(pulses) == 0 {
		return nil
	}
	byID := make(map[MemberHash]*peer, len(t.peers)+1)
	for _, p := range t.peers {
		byID[p.hash] = p
	}
	byID[t.self.hash()] = nil
	var unknown []MemberHash
	for _, pulse := range pulses {
		p, known := byID[pulse.Hash]
		switch {
		case !known:
			unknown = append(unknown, pulse.Hash)
		case p != nil && pulse.Beat > p.member.Beat:
			m := p.member
			m.Beat = pulse.Beat
			t.mergeMember(now, m, false)
		}
	}
	return unknown
}
