package host

import (
	"cmp"
	"slices"
)

// Sources are the hosts from which one host receives the changes of the platform's store, each list in order of
// preference. Further entries of a list are used while the first ones fail.
type Sources struct {
	// Parents send changes.
	Parents []Member
	// Announcers only tell up to which revision they know the store. A host whose parent is slow or has failed learns
	// from them that it lacks changes.
	Announcers []Member
}

// FindSources returns the sources of a host. The hosts of each failure domain form a tree in which each host passes
// changes on to fanOut others, so that no host sends more the larger the fleet is. The root is the host that Watchers
// selects of the domain; in its place a root of another domain sends changes while the whole domain has lost the store.
// The announcer is the host at the same position in another domain. Hosts with the same view of the members build the same
// trees.
func FindSources(self Member, live []Member, fanOut int) Sources {
	f := newForest(self, live)
	domain := slices.Index(f.domains, self.Domain)
	tree := f.trees[self.Domain]
	position := slices.IndexFunc(tree, func(m Member) bool { return m.Name == self.Name })
	var s Sources
	for p := position; p > 0; {
		p = (p - 1) / fanOut
		s.Parents = append(s.Parents, tree[p])
	}
	s.Parents = append(s.Parents, f.otherRoots(domain)...)
	s.Announcers = f.announcers(domain, position)
	if len(s.Parents) > 0 {
		s.Announcers = slices.DeleteFunc(s.Announcers, func(m Member) bool { return m.Name == s.Parents[0].Name })
	}
	return s
}

// WatcherRank returns how many hosts of self's failure domain are to ask the platform's store before self: the position of self
// in the tree of its domain. Hosts that have lost the store come last.
func WatcherRank(self Member, live []Member) int {
	return slices.IndexFunc(newForest(self, live).trees[self.Domain], func(m Member) bool { return m.Name == self.Name })
}

// forest holds the tree of each failure domain. The parent of position p in a tree is at (p-1)/fanOut.
type forest struct {
	// domains are the sorted names of the failure domains.
	domains []string
	trees   map[string][]Member
}

// newForest builds the trees of the live hosts and of self. Hosts that have lost the store come last, and after them self
// if it is not live, because nobody else expects it in the tree.
func newForest(self Member, live []Member) forest {
	f := forest{trees: map[string][]Member{}}
	selfLive := false
	for _, m := range live {
		f.trees[m.Domain] = append(f.trees[m.Domain], m)
		selfLive = selfLive || m.Name == self.Name
	}
	for domain, members := range f.trees {
		ranked := RankHomes(watcherRank(domain), members)
		slices.SortStableFunc(ranked, func(a, b Member) int { return cmp.Compare(boolByte(a.StoreLost), boolByte(b.StoreLost)) })
		f.trees[domain] = ranked
	}
	if !selfLive {
		f.trees[self.Domain] = append(f.trees[self.Domain], self)
	}
	f.domains = sortedKeys(f.trees)
	return f
}

// otherRoots returns the roots that may stand in for the root of a domain: those of the next domains that reach the
// store, or the root of the previous domain if none does.
func (f forest) otherRoots(domain int) []Member {
	var roots []Member
	for i := 1; i < len(f.domains); i++ {
		if root := f.trees[f.domains[(domain+i)%len(f.domains)]][0]; !root.StoreLost {
			roots = append(roots, root)
		}
	}
	if len(roots) == 0 && domain > 0 {
		roots = append(roots, f.trees[f.domains[domain-1]][0])
	}
	return roots
}

// announcers returns the hosts at a position in the other domains, or the one before it if there is only one domain.
func (f forest) announcers(domain, position int) []Member {
	if len(f.domains) == 1 {
		if position < 2 {
			return nil
		}
		return []Member{f.trees[f.domains[0]][position-1]}
	}
	var announcers []Member
	for i := 1; i < len(f.domains); i++ {
		tree := f.trees[f.domains[(domain+i)%len(f.domains)]]
		announcers = append(announcers, tree[position%len(tree)])
	}
	return announcers
}
