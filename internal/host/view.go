package host

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ageUnit is the unit of the ages that domainView encodes in a byte each.
const ageUnit = 20 * time.Millisecond

// maxAge is the highest encoded age, which stands for any longer one too.
const maxAge = 255

// ViewHash identifies the members that a host knows in one failure domain. Two hosts with the same ViewHash know the same
// members with the same state there.
type ViewHash struct {
	// Domain is a hash of the failure domain's name.
	Domain uint32
	// Members is a hash of the members, and Count their number.
	Members MemberHash
	Count   int
}

// domainView holds the members of a failure domain that are not dead, ordered by hash. This host itself is nil.
type domainView struct {
	id      uint32
	members []*peer
	sum     MemberHash
	// partners caches the result of MemberTable.partners.
	partners []string
}

func (v *domainView) hash() ViewHash { return ViewHash{v.id, v.sum, len(v.members)} }

// ages returns the age of each member, rounded up to ageUnit.
func (v *domainView) ages(now time.Duration) []byte {
	ages := make([]byte, len(v.members))
	for i, p := range v.members {
		if p != nil {
			ages[i] = byte(min(maxAge, (now-p.lastHeard+ageUnit-1)/ageUnit))
		}
	}
	return ages
}

func domainID(domain string) uint32 { return uint32(xxhash.Sum64String(domain)) }

// domainViews returns the views of all failure domains by name.
func (t *MemberTable) domainViews() map[string]*domainView {
	if t.views != nil {
		return t.views
	}
	t.views = map[string]*domainView{}
	add := func(domain string, p *peer, hash MemberHash) {
		v := t.views[domain]
		if v == nil {
			v = &domainView{id: domainID(domain)}
			t.views[domain] = v
		}
		v.members = append(v.members, p)
		v.sum += hash
	}
	add(t.self.Domain, nil, t.selfHash)
	for _, p := range t.peers {
		if !p.dead {
			add(p.member.Domain, p, p.hash)
		}
	}
	for _, v := range t.views {
		slices.SortFunc(v.members, func(a, b *peer) int { return cmp.Compare(t.hashOf(a), t.hashOf(b)) })
	}
	return t.views
}

// hashOf returns the hash of a peer, or of this host if p is nil.
func (t *MemberTable) hashOf(p *peer) MemberHash {
	if p == nil {
		return t.selfHash
	}
	return p.hash
}

func (t *MemberTable) ownView() *domainView { return t.domainViews()[t.self.Domain] }

// viewHashes returns the ViewHash of each failure domain, that of this host first.
func (t *MemberTable) viewHashes() []ViewHash {
	own := t.ownView()
	hashes := []ViewHash{own.hash()}
	for _, v := range t.domainViews() {
		if v != own {
			hashes = append(hashes, v.hash())
		}
	}
	return hashes
}

// mergeAges updates the members of the sender's failure domain from their ages, if this host knows the same ones.
func (t *MemberTable) mergeAges(now time.Duration, gossip Gossip) {
	if len(gossip.Ages) == 0 || len(gossip.Views) == 0 {
		return
	}
	for _, v := range t.domainViews() {
		if v.hash() != gossip.Views[0] || len(v.members) != len(gossip.Ages) {
			continue
		}
		for i, p := range v.members {
			if p != nil && gossip.Ages[i] < maxAge {
				t.hear(now, p, now-time.Duration(gossip.Ages[i])*ageUnit)
			}
		}
		return
	}
}
