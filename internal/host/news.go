package host

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// fullStateTime is how long after a change a member is gossiped in full rather than as a digest.
const fullStateTime = 1500 * time.Millisecond

// MemberHash is a hash of the whole state of a member except its heartbeat counter.
type MemberHash uint32

// Digest is a member's heartbeat counter with the hash of its state, sent in place of the full state if the receiver is
// expected to know that already.
type Digest struct {
	Hash MemberHash
	Beat uint64
}

// Gossip is the content of a heartbeat or of a reply to one.
type Gossip struct {
	// Members are sent with their full state.
	Members []Member
	// Digests stand for members whose state the receiver is expected to know.
	Digests []Digest
	// Unknown lists the hashes of received digests that match no member known to the sender, which asks for their state.
	Unknown []MemberHash
}

// hash returns the member's MemberHash.
func (m Member) hash() MemberHash {
	d := xxhash.New()
	for _, field := range []string{m.Name, m.Listen, m.Inner, m.Domain, m.Region} {
		// Writes to a hash never return an error.
		_, _ = d.WriteString(field)
		_, _ = d.Write([]byte{0})
	}
	for _, w := range m.Wants {
		_, _ = d.WriteString(w.Service)
		_, _ = d.Write([]byte{0, byte(w.Homes)})
	}
	var fixedFields [19]byte
	binary.LittleEndian.PutUint64(fixedFields[:], m.Incarnation)
	binary.LittleEndian.PutUint64(fixedFields[8:], uint64(m.Note))
	fixedFields[16], fixedFields[17] = boolByte(m.Leaving), boolByte(m.Ready)
	fixedFields[18] = boolByte(m.StoreLost)
	_, _ = d.Write(fixedFields[:])
	return MemberHash(d.Sum64())
}

func boolByte(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// newestPeers returns up to maxGossipMembers members to gossip about: this host, then the peers that are not dead,
// those whose heartbeat counter increased most recently first.
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

// OutgoingGossip returns the content of a heartbeat: this host and recently changed members in full, others as digests.
func (t *MemberTable) OutgoingGossip(now time.Duration) Gossip {
	t.mu.Lock()
	defer t.mu.Unlock()
	var gossip Gossip
	for i, p := range t.newestPeers() {
		if i == 0 || now-p.stateChanged < fullStateTime {
			gossip.Members = append(gossip.Members, p.member)
			continue
		}
		gossip.Digests = append(gossip.Digests, Digest{p.hash, p.member.Beat})
	}
	return gossip
}

// HandleGossip merges a received heartbeat and returns the reply, which holds what its sender does not know yet.
func (t *MemberTable) HandleGossip(now time.Duration, sender string, gossip Gossip) Gossip {
	unknown := t.Merge(now, sender, gossip)
	t.mu.Lock()
	defer t.mu.Unlock()
	received := make(map[MemberHash]uint64, len(gossip.Digests)+len(gossip.Members))
	for _, m := range gossip.Members {
		received[m.hash()] = m.Beat
	}
	for _, d := range gossip.Digests {
		received[d.Hash] = d.Beat
	}
	reply := Gossip{Unknown: unknown}
	for _, p := range t.newestPeers() {
		beat, found := received[p.hash]
		switch {
		case !found:
			reply.Members = append(reply.Members, p.member)
		case p.member.Beat > beat:
			reply.Digests = append(reply.Digests, Digest{p.hash, p.member.Beat})
		}
	}
	return reply
}

// FullGossip returns in full this host and the members with the given hashes, which the receiver reported as unknown.
func (t *MemberTable) FullGossip(hashes []MemberHash) Gossip {
	t.mu.Lock()
	defer t.mu.Unlock()
	gossip := Gossip{Members: []Member{t.self}}
	for _, p := range t.peers {
		if slices.Contains(hashes, p.hash) {
			gossip.Members = append(gossip.Members, p.member)
		}
	}
	return gossip
}

// mergeDigests updates the heartbeat counters of the members that digests stand for and returns the hashes that match
// neither a peer nor this host.
func (t *MemberTable) mergeDigests(now time.Duration, digests []Digest) []MemberHash {
	if len(digests) == 0 {
		return nil
	}
	byHash := make(map[MemberHash]*peer, len(t.peers)+1)
	for _, p := range t.peers {
		byHash[p.hash] = p
	}
	byHash[t.self.hash()] = nil
	var unknown []MemberHash
	for _, digest := range digests {
		p, found := byHash[digest.Hash]
		switch {
		case !found:
			unknown = append(unknown, digest.Hash)
		case p != nil && digest.Beat > p.member.Beat:
			m := p.member
			m.Beat = digest.Beat
			t.mergeMember(now, m, false)
		}
	}
	return unknown
}
