package host

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// maxAnswered is the most addresses in one answer.
const maxAnswered = 5

// Rank orders members for a name by rendezvous hash: each member's place depends on itself and the name alone,
// so that a join or a leave moves only what it must.
func Rank(name string, members []Member) []Member {
	ranked := slices.Clone(members)
	scores := make(map[string]uint64, len(ranked))
	for _, m := range ranked {
		scores[m.Name] = xxhash.Sum64String(name + "\x00" + m.Name)
	}
	slices.SortFunc(ranked, func(a, b Member) int {
		return cmp.Or(cmp.Compare(scores[b.Name], scores[a.Name]), strings.Compare(a.Name, b.Name))
	})
	return ranked
}

// Homes returns the hosts that callers in a failure domain should connect to for a service, best first.
// Every region has homes of its own, the first of its rank; those in the caller's failure domain come before the others.
// Hosts of other regions come last, for when the caller's region has none left.
func Homes(service string, homes int, domain, region string, live []Member) []Member {
	near, away := split(live, regionOf(domain, region, live))
	ranked := Rank(service, near)
	homes = min(homes, len(ranked))
	first := Rank(service+"\x00"+domain, ranked[:homes])
	slices.SortStableFunc(first, func(a, b Member) int { return cmp.Compare(far(a, domain), far(b, domain)) })
	list := append(first, ranked[homes:]...)
	list = list[:min(len(list), max(homes, maxAnswered))]
	away = Rank(service, away)
	return append(list, away[:min(len(away), maxAway)]...)
}

// RegionHomes returns the homes of a service in one region.
func RegionHomes(service string, homes int, region string, live []Member) []Member {
	near, _ := split(live, region)
	ranked := Rank(service, near)
	return ranked[:min(homes, len(ranked))]
}

// maxAway is the most addresses of other regions in one answer.
const maxAway = 2

// regionOf returns the region of a failure domain as the live hosts tell it, or the given one.
func regionOf(domain, region string, live []Member) string {
	for _, m := range live {
		if m.Domain == domain {
			return m.Region
		}
	}
	return region
}

// split parts the members of a region from the others; without any in the region all count as near.
func split(members []Member, region string) (near, away []Member) {
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

func far(m Member, domain string) int {
	if m.Domain == domain {
		return 0
	}
	return 1
}

// IsWatcher reports whether a host is among the few of its failure domain that hold the store's watch.
func IsWatcher(self Member, live []Member, perDomain int) bool {
	neighbours := slices.DeleteFunc(slices.Clone(live), func(m Member) bool { return m.Domain != self.Domain })
	if !slices.ContainsFunc(neighbours, func(m Member) bool { return m.Name == self.Name }) {
		neighbours = append(neighbours, self)
	}
	for _, m := range Rank("watcher\x00"+self.Domain, neighbours)[:min(perDomain, len(neighbours))] {
		if m.Name == self.Name {
			return true
		}
	}
	return false
}
