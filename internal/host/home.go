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
// The first homes of the rank come first, those in the caller's domain before the others.
func Homes(service string, homes int, domain string, live []Member) []Member {
	ranked := Rank(service, live)
	homes = min(homes, len(ranked))
	first := Rank(service+"\x00"+domain, ranked[:homes])
	slices.SortStableFunc(first, func(a, b Member) int { return cmp.Compare(far(a, domain), far(b, domain)) })
	list := append(first, ranked[homes:]...)
	return list[:min(len(list), max(homes, maxAnswered))]
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
