package host

import "slices"

// partnersPerDomain is the number of hosts of each failure domain among which the recipients of heartbeats are chosen. With
// few partners, a host keeps few connections however large the fleet is.
const partnersPerDomain = 8

// recipients returns the inner addresses for a round of heartbeats: random partners of each failure domain, and one
// dead peer in case it has recovered. Seeds and hosts of the host list are added while no peer is known and every
// seedContactRounds rounds.
func (t *MemberTable) recipients() []string {
	views := t.domainViews()
	var addresses []string
	for _, domain := range sortedKeys(views) {
		count := 1
		if domain == t.self.Domain {
			count = t.config.DomainFanOut
		}
		addresses = append(addresses, t.sample(t.partners(views[domain]), count)...)
	}
	var dead []string
	for _, p := range t.peers {
		if p.dead {
			dead = append(dead, p.member.Inner)
		}
	}
	slices.Sort(dead)
	addresses = append(addresses, t.sample(dead, 1)...)
	if len(addresses) == 0 || t.self.Beat%seedContactRounds == 0 {
		addresses = append(addresses, t.sample(t.config.Seeds, 2)...)
		addresses = append(addresses, t.sample(t.hostListAddresses, 2)...)
	}
	slices.Sort(addresses)
	return slices.DeleteFunc(slices.Compact(addresses), func(a string) bool { return a == t.self.Inner })
}

// partners returns the inner addresses of this host's partners in a failure domain: its first by rendezvous hash.
func (t *MemberTable) partners(v *domainView) []string {
	if v.partners != nil {
		return v.partners
	}
	var members []Member
	for _, p := range v.members {
		if p != nil {
			members = append(members, p.member)
		}
	}
	ranked := Rank(t.self.Name, members)
	v.partners = []string{}
	for _, m := range ranked[:min(partnersPerDomain, len(ranked))] {
		v.partners = append(v.partners, m.Inner)
	}
	return v.partners
}

// sample returns up to count random elements of a list.
func (t *MemberTable) sample(addresses []string, count int) []string {
	addresses = slices.Clone(addresses)
	count = min(count, len(addresses))
	for i := range count {
		j := i + t.config.Random.IntN(len(addresses)-i)
		addresses[i], addresses[j] = addresses[j], addresses[i]
	}
	return addresses[:count]
}
