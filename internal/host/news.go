package host

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// fullStateTime is how long after a change a host tells its full state rather than a digest.
	fullStateTime = 1500 * time.Millisecond
	// overdueAfter is how long nothing may have been heard of a member before other failure domains are asked about it.
	overdueAfter = 1750 * time.Millisecond
	// maxOverdue is the maximum number of members that one heartbeat asks about in this way.
	maxOverdue = 64
)

// MemberHash is a hash of the whole state of a member except its heartbeat counter.
type MemberHash uint32

// Digest is a member's heartbeat counter with the hash of its state, sent in place of the full state if the receiver is
// expected to know that already. Age and KnowsAge are as in Member.
type Digest struct {
	Hash     MemberHash
	Beat     uint64
	Age      time.Duration
	KnowsAge bool
}

// Gossip is the content of a heartbeat or of a reply to one.
type Gossip struct {
	// Members are sent with their full state.
	Members []Member
	// Digests stand for members whose state the receiver is expected to know.
	Digests []Digest
	// Unknown lists the hashes of received digests that match no member known to the sender of this message, which asks for
	// their full state.
	Unknown []MemberHash
	// Views tell which members the sender knows in each failure domain, its own first. It is empty in messages of hosts of
	// older versions and in those that follow a reply.
	Views []ViewHash
	// Ages are the ages of the members of the sender's failure domain, in the order of domainView. A receiver can only read
	// them if it knows the same members there.
	Ages []byte
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
	if m.MilliCores > 0 || m.LinkMbps > 0 {
		// Hosts of older versions tell neither and hash neither.
		var strength [8]byte
		binary.LittleEndian.PutUint32(strength[:], m.MilliCores)
		binary.LittleEndian.PutUint32(strength[4:], m.LinkMbps)
		_, _ = d.Write(strength[:])
	}
	if m.TargetsLost {
		// Hosts of older versions do not know this field.
		_, _ = d.WriteString("targets lost")
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

// newestPeers returns up to count peers, those of which something was heard most recently.
func newestPeers(peers []*peer, count int) []*peer {
	if len(peers) <= count {
		return peers
	}
	slices.SortFunc(peers, func(a, b *peer) int {
		return cmp.Or(cmp.Compare(b.lastHeard, a.lastHeard), strings.Compare(a.member.Name, b.member.Name))
	})
	return peers[:count]
}

// overduePeers returns up to maxOverdue peers that are not dead and of which nothing was heard for overdueAfter. They may
// be reachable from the receiver of the next heartbeat only.
func (t *MemberTable) overduePeers(now time.Duration) []*peer {
	var peers []*peer
	for _, p := range t.peers {
		if !p.dead && now-p.lastHeard >= overdueAfter {
			peers = append(peers, p)
		}
	}
	return newestPeers(peers, maxOverdue)
}

// digest returns the digest of a peer. Hosts of older versions expect a heartbeat counter that increases with each round.
func (t *MemberTable) digest(now time.Duration, p *peer) Digest {
	if p == nil {
		return Digest{Hash: t.selfHash, Beat: t.self.Beat, KnowsAge: true}
	}
	beat := p.member.Beat + uint64(max(0, p.lastHeard-p.beatAt)/HeartbeatInterval)
	return Digest{Hash: p.hash, Beat: beat, Age: now - p.lastHeard, KnowsAge: true}
}

// selfGossip returns what this host tells of itself: its full state for a while after a change, and a digest otherwise.
func (t *MemberTable) selfGossip(now time.Duration) Gossip {
	if now-t.selfChanged < fullStateTime {
		return Gossip{Members: []Member{t.fullMember(now, nil)}}
	}
	return Gossip{Digests: []Digest{t.digest(now, nil)}}
}

// fullMember returns the state of a peer, or of this host if p is nil, with its age.
func (t *MemberTable) fullMember(now time.Duration, p *peer) Member {
	m := t.self
	if p != nil {
		m = p.member
		m.Age = now - p.lastHeard
	}
	m.KnowsAge = true
	return m
}

// OutgoingGossip returns the content of a heartbeat: this host, which members it knows in each failure domain, when those of
// its own one were last heard of, and the members of which it has heard nothing lately.
func (t *MemberTable) OutgoingGossip(now time.Duration) Gossip {
	t.mu.Lock()
	defer t.mu.Unlock()
	gossip := t.selfGossip(now)
	for _, p := range t.overduePeers(now) {
		gossip.Digests = append(gossip.Digests, t.digest(now, p))
	}
	gossip.Views = t.viewHashes()
	gossip.Ages = t.ownView().ages(now)
	return gossip
}

// HandleGossip merges a received heartbeat and returns the reply. It tells of this host, of the members of its failure
// domain, of the members in the heartbeat of which it has heard later than the sender, and of those that the sender asks for.
func (t *MemberTable) HandleGossip(now time.Duration, sender string, gossip Gossip) Gossip {
	unknown := t.Merge(now, sender, gossip)
	t.mu.Lock()
	defer t.mu.Unlock()
	reply := t.selfGossip(now)
	reply.Unknown = unknown
	known := make(map[MemberHash]bool, len(gossip.Digests))
	for _, d := range gossip.Digests {
		known[d.Hash] = true
		if p := t.byHash[d.Hash]; p != nil && !p.dead && (d.KnowsAge && now-p.lastHeard < d.Age || !d.KnowsAge && t.digest(now, p).Beat > d.Beat) {
			reply.Digests = append(reply.Digests, t.digest(now, p))
		}
	}
	if len(gossip.Views) > 0 || len(gossip.Digests) > 0 {
		t.replyDomains(now, sender, gossip, known, &reply)
	}
	for _, hash := range gossip.Unknown {
		if p := t.byHash[hash]; p != nil {
			reply.Members = append(reply.Members, t.fullMember(now, p))
		} else if hash == t.selfHash && len(reply.Members) == 0 {
			reply.Members = append(reply.Members, t.fullMember(now, nil))
		}
	}
	return reply
}

// replyDomains adds to a reply the members of this host's failure domain, in the shortest form that the sender can read.
// A sender that knows few hosts of its own failure domain or none of another one, since it has just started, is told of
// them too.
func (t *MemberTable) replyDomains(now time.Duration, sender string, gossip Gossip, known map[MemberHash]bool, reply *Gossip) {
	add := func(members []*peer) {
		for _, p := range members {
			if p != nil && !known[p.hash] && p.member.Name != sender {
				known[p.hash] = true
				reply.Digests = append(reply.Digests, t.digest(now, p))
			}
		}
	}
	own := t.ownView()
	if slices.Contains(gossip.Views, own.hash()) {
		reply.Views, reply.Ages = []ViewHash{own.hash()}, own.ages(now)
	} else {
		add(own.members)
	}
	if len(gossip.Views) == 0 {
		return
	}
	for _, view := range t.domainViews() {
		i := slices.IndexFunc(gossip.Views, func(v ViewHash) bool { return v.Domain == view.id })
		switch {
		case i < 0:
			add(view.members[:1])
		case i == 0 && gossip.Views[0].Count < len(view.members):
			add(view.members)
		}
	}
}

// FullGossip returns in full this host and the members with the given hashes, which the receiver reported as unknown. It
// asks for the members that unknown holds.
func (t *MemberTable) FullGossip(now time.Duration, hashes, unknown []MemberHash) Gossip {
	t.mu.Lock()
	defer t.mu.Unlock()
	gossip := Gossip{Members: []Member{t.fullMember(now, nil)}, Unknown: unknown}
	for _, hash := range hashes {
		if p := t.byHash[hash]; p != nil {
			gossip.Members = append(gossip.Members, t.fullMember(now, p))
		}
	}
	return gossip
}

// mergeDigests updates the members that digests stand for and returns the hashes that match neither a peer nor this host.
func (t *MemberTable) mergeDigests(now time.Duration, digests []Digest) []MemberHash {
	var unknown []MemberHash
	for _, d := range digests {
		p := t.byHash[d.Hash]
		switch {
		case p == nil && d.Hash != t.selfHash:
			unknown = append(unknown, d.Hash)
		case p == nil:
		case d.KnowsAge:
			t.hear(now, p, now-d.Age)
		case d.Beat > p.member.Beat:
			m := p.member
			m.Beat = d.Beat
			t.mergeMember(now, m, false)
		}
	}
	return unknown
}
