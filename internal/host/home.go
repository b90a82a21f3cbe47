package host

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// maxLocalAddresses is the maximum number of addresses of the caller's region that Homes returns, unless the service
// has more homes.
const maxLocalAddresses = 5

// Rank orders members for a name by rendezvous hashing. The relative order of two members depends only on their names
// and the given one, so a join or leave does not reorder the others.
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

// strongReference is how many hosts must be strong enough to be homes. A few hosts that are stronger than all others thus
// do not become the homes of all services.
const strongReference = 3

// RankHomes orders members as homes of a service: like Rank, but strong hosts first, because a home does work for each
// request of its service on all hosts. Strong hosts have at least half the processor power and half the bandwidth of the
// strongReference-th best one.
func RankHomes(service string, members []Member) []Member {
	strong := strongHosts(members)
	ranked := Rank(service, members)
	slices.SortStableFunc(ranked, func(a, b Member) int { return cmp.Compare(boolByte(!strong(a)), boolByte(!strong(b))) })
	return ranked
}

// RankPlacers orders members as homes of a service that reach its backend servers: like RankHomes, but hosts that reach none
// last.
func RankPlacers(service string, members []Member) []Member {
	ranked := RankHomes(service, members)
	slices.SortStableFunc(ranked, func(a, b Member) int { return cmp.Compare(boolByte(a.TargetsLost), boolByte(b.TargetsLost)) })
	return ranked
}

// WithTargets returns the members that reach backend servers, or all of them if none does. It returns the given slice if that
// makes no difference.
func WithTargets(members []Member) []Member {
	lost := func(m Member) bool { return m.TargetsLost }
	if !slices.ContainsFunc(members, lost) {
		return members
	}
	if with := slices.DeleteFunc(slices.Clone(members), lost); len(with) > 0 {
		return with
	}
	return members
}

// strongHosts returns a function that reports whether one of the members is strong, see RankHomes.
func strongHosts(members []Member) func(Member) bool {
	cores := halfOfReference(members, func(m Member) uint32 { return m.MilliCores })
	link := halfOfReference(members, func(m Member) uint32 { return m.LinkMbps })
	return func(m Member) bool { return m.MilliCores >= cores && m.LinkMbps >= link }
}

// halfOfReference returns half of the strongReference-th highest value among the members.
func halfOfReference(members []Member, value func(Member) uint32) uint32 {
	var highest [strongReference]uint32
	for _, m := range members {
		v := value(m)
		for i, other := range highest {
			if v > other {
				highest[i], v = v, other
			}
		}
	}
	return highest[strongReference-1] / 2
}

// score is the rendezvous hash of a name and one member of a list.
type score struct {
	value uint64
	// index is the position of the member in the list.
	index int
}

func scoreOf(name string, m Member, index int) score {
	return score{xxhash.Sum64String(name + "\x00" + m.Name), index}
}

// compare orders scores from highest to lowest, and equal ones by the names of the members.
func (a score) compare(b score, members []Member) int {
	return cmp.Or(cmp.Compare(b.value, a.value), strings.Compare(members[a.index].Name, members[b.index].Name))
}

// Homes returns the hosts that callers in a failure domain should connect to for a service, in order of preference.
// Every region has homes of its own: the given number of its hosts that rank first for the service. The homes of the
// caller's region come first, beginning with those in the caller's failure domain. Further hosts of the region follow
// as fallbacks, then hosts of other regions in case the caller's region has none left. The given region applies if no
// live host is in the failure domain.
func Homes(service string, homes int, domain, region string, live []Member) []Member {
	local, remote := splitByRegion(live, regionOf(domain, region, live))
	ranked := Rank(service, local)
	homes = min(homes, len(ranked))
	preferred := Rank(service+"\x00"+domain, ranked[:homes])
	slices.SortStableFunc(preferred, func(a, b Member) int { return cmp.Compare(domainDistance(a, domain), domainDistance(b, domain)) })
	selected := append(preferred, ranked[homes:]...)
	selected = selected[:min(len(selected), max(homes, maxLocalAddresses))]
	remote = Rank(service, remote)
	return append(selected, remote[:min(len(remote), maxRemoteAddresses)]...)
}

// RegionHomes returns the homes of a service in one region, or among all live hosts if the region has none.
func RegionHomes(service string, homes int, region string, live []Member) []Member {
	local, _ := splitByRegion(live, region)
	ranked := Rank(service, local)
	return ranked[:min(homes, len(ranked))]
}

// maxRemoteAddresses is the maximum number of addresses of other regions that Homes returns.
const maxRemoteAddresses = 2

// regionOf returns the region of the live hosts in a failure domain, or the given default if there are none.
func regionOf(domain, region string, live []Member) string {
	for _, m := range live {
		if m.Domain == domain {
			return m.Region
		}
	}
	return region
}

// splitByRegion separates the members of a region from the others. If the region has none, all members count as local.
func splitByRegion(members []Member, region string) (local, remote []Member) {
	for _, m := range members {
		if m.Region == region {
			local = append(local, m)
		} else {
			remote = append(remote, m)
		}
	}
	if len(local) == 0 {
		return remote, nil
	}
	return local, remote
}

// domainDistance returns 0 for a member in the failure domain and 1 for any other.
func domainDistance(m Member, domain string) int {
	if m.Domain == domain {
		return 0
	}
	return 1
}

// watcherRank returns the name for which RankHomes orders the hosts of a failure domain as its watchers.
func watcherRank(domain string) string { return "watcher\x00" + domain }

// Watchers returns the hosts that watch the platform's store on behalf of all others, perDomain of each failure domain,
// in the order of the list. Hosts with the same view of the members select the same watchers.
func Watchers(live []Member, perDomain int) []Member {
	byDomain := map[string][]Member{}
	for _, m := range live {
		byDomain[m.Domain] = append(byDomain[m.Domain], m)
	}
	selected := map[string]bool{}
	for domain, members := range byDomain {
		for _, m := range RankHomes(watcherRank(domain), members)[:min(perDomain, len(members))] {
			selected[m.Name] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(live), func(m Member) bool { return !selected[m.Name] })
}

// IsWatcher reports whether self is one of the Watchers, even if it is not in the list of live members yet.
func IsWatcher(self Member, live []Member, perDomain int) bool {
	same := func(m Member) bool { return m.Name == self.Name }
	if !slices.ContainsFunc(live, same) {
		live = append(slices.Clone(live), self)
	}
	return slices.ContainsFunc(Watchers(live, perDomain), same)
}
