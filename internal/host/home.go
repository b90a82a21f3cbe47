package host

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// maxLocalAddresses is the most addresses in one answer.
const maxLocalAddresses = 5

// Rank orders members for a name by rendezvous hash: each member's place depends on itself and the name alone,
// so that a join or a leave moves only what it must.
func Rank(name string, members []Member) []Member {
	scores := make([]score, len(members))
	for i, m := range members {
		scores[i] = scoreOf(name, m, i)
	}
	slices.SortFunc(scores, func(a, b score) int { return a.compare(b, members) })
	ranked := make([]Member, len(members))
	for i, s := range scores {
		ranked[i] = members[s.index]
	}
	return ranked
}

// score is the weight of one member of a list for a name.
type score struct {
	value uint64
	index int
}

func scoreOf(name string, m Member, index int) score {
	return score{xxhash.Sum64String(name + "\x00" + m.Name), index}
}

// compare is negative when a goes first.
func (a score) compare(b score, members []Member) int {
	return cmp.Or(cmp.Compare(b.value, a.value), strings.Compare(members[a.index].Name, members[b.index].Name))
}

// Homes returns the hosts that callers in a failure domain should connect to for a service, best first.
// Every region has homes of its own, the first of its rank; those in the caller's failure domain come before the others.
// Hosts of other regions come last, for when the caller's region has none left.
func Homes(service string, homes int, domain, region string, live []Member) []Member {
	near, away := splitByRegion(live, regionOf(domain, region, live))
	ranked := Rank(service, near)
	homes = min(homes, len(ranked))
	first := Rank(service+"\x00"+domain, ranked[:homes])
	slices.SortStableFunc(first, func(a, b Member) int { return cmp.Compare(domainDistance(a, domain), domainDistance(b, domain)) })
	list := append(first, ranked[homes:]...)
	list = list[:min(len(list), max(homes, maxLocalAddresses))]
	away = Rank(service, away)
	return append(list, away[:min(len(away), maxRemoteAddresses)]...)
}

// RegionHomes returns the homes of a service in one region.
func RegionHomes(service string, homes int, region string, live []Member) []Member {
	near, _ := splitByRegion(live, region)
	ranked := Rank(service, near)
	return ranked[:min(homes, len(ranked))]
}

// maxRemoteAddresses is the most addresses of other regions in one answer.
const maxRemoteAddresses = 2

// regionOf returns the region of a failure domain as the live hosts tell it, or the given one.
func regionOf(domain, region string, live []Member) string {
	for _, m := range live {
		if m.Domain == domain {
			return m.Region
		}
	}
	return region
}

// splitByRegion parts the members of a region from the others; without any in the region all count as near.
func splitByRegion(members []Member, region string) (near, away []Member) {
	for _, m := range members {
		if m.Region == region {
			near = append(near, m)
		} else {
			away = append(away, m)
		}
	}
	if len(near) == 0 {
		return away, nil
	}
	return near, away
}

func domainDistance(m Member, domain string) int {
	if m.Domain == domain {
		return 0
	}
	return 1
}

// Watchers returns the few hosts of each failure domain that follow the store for the others, in the order of the list.
func Watchers(live []Member, perDomain int) []Member {
	first := map[string][]score{}
	for i, m := range live {
		best := append(first[m.Domain], scoreOf("watcher\x00"+m.Domain, m, i))
		if len(best) > perDomain {
			slices.SortFunc(best, func(a, b score) int { return a.compare(b, live) })
			best = best[:perDomain]
		}
		first[m.Domain] = best
	}
	var list []Member
	for i, m := range live {
		if slices.ContainsFunc(first[m.Domain], func(s score) bool { return s.index == i }) {
			list = append(list, m)
		}
	}
	return list
}

// IsWatcher reports whether a host is among the few of its failure domain that follow the store, as if it were live itself.
func IsWatcher(self Member, live []Member, perDomain int) bool {
	same := func(m Member) bool { return m.Name == self.Name }
	if !slices.ContainsFunc(live, same) {
		live = append(slices.Clone(live), self)
	}
	return slices.ContainsFunc(Watchers(live, perDomain), same)
}
