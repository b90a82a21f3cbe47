package host

import (
	"fmt"
	"os"
	"slices"
	"testing"

	"briarcroft/internal/fixedseed"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Main(m)) }

const testFanOut = 4

// membersOf draws live hosts in several failure domains, some of which have lost the store.
func membersOf(t *rapid.T) []Member {
	domains := rapid.IntRange(1, 6).Draw(t, "domains")
	var members []Member
	for i := range rapid.IntRange(1, 200).Draw(t, "hosts") {
		domain := rapid.IntRange(0, domains-1).Draw(t, "domain")
		members = append(members, Member{Name: fmt.Sprintf("h%03d", i), Domain: fmt.Sprintf("d%d", domain), StoreLost: rapid.IntRange(0, 4).Draw(t, "lost") == 0})
	}
	return members
}

// TestSourcesReachEveryHost checks that changes reach every host from the watchers over the first parents, in few steps,
// and that no host serves more followers than the fan-out, in fleets of any size.
func TestSourcesReachEveryHost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := membersOf(t)
		connected := slices.DeleteFunc(slices.Clone(live), func(m Member) bool { return m.StoreLost })
		watchers := map[string]bool{}
		for _, m := range Watchers(connected, 1) {
			watchers[m.Name] = true
		}
		parents, children, roots := map[string]string{}, map[string]int{}, 0
		for _, m := range live {
			s := FindSources(m, live, testFanOut)
			if slices.ContainsFunc(append(slices.Clone(s.Parents), s.Announcers...), func(x Member) bool { return x.Name == m.Name }) {
				t.Fatalf("%s is a source of itself", m.Name)
			}
			if watchers[m.Name] || len(s.Parents) == 0 {
				roots++
				continue
			}
			parents[m.Name] = s.Parents[0].Name
			if s.Parents[0].Domain == m.Domain {
				children[s.Parents[0].Name]++
			}
		}
		for name, count := range children {
			if count > testFanOut {
				t.Fatalf("%s has %d followers in its domain", name, count)
			}
		}
		if len(connected) == 0 && roots != 1 {
			t.Fatalf("%d hosts follow nobody while all have lost the store", roots)
		}
		for _, m := range live {
			steps, at := 0, m.Name
			for parents[at] != "" && steps <= len(live) {
				at = parents[at]
				steps++
			}
			// Four levels of a tree hold 341 hosts; roots of domains without the store add a step each.
			if steps > 4+6 || len(connected) > 0 && !watchers[at] {
				t.Fatalf("%s is %d steps from %s, which follows nobody", m.Name, steps, at)
			}
		}
	})
}

func TestFindSources(t *testing.T) {
	member := func(name, domain string) Member { return Member{Name: name, Domain: domain} }
	lost := func(m Member) Member { m.StoreLost = true; return m }
	a, b, newcomer := member("a", "x"), member("b", "y"), member("c", "x")
	for _, c := range []struct {
		name                string
		self                Member
		live                []Member
		parents, announcers []string
	}{
		{"alone", a, []Member{a}, nil, nil},
		{"a watcher", a, []Member{a, b}, []string{"b"}, nil},
		{"the only one of its domain, without the store", lost(a), []Member{lost(a), b}, []string{"b"}, nil},
		{"all without the store, first domain", lost(a), []Member{lost(a), lost(b)}, nil, []string{"b"}},
		{"all without the store, second domain", lost(b), []Member{lost(a), lost(b)}, []string{"a"}, nil},
		{"not live yet", newcomer, []Member{a, b}, []string{"a", "b"}, []string{"b"}},
		{"not live yet, nobody is", newcomer, nil, nil, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			names := func(members []Member) (result []string) {
				for _, m := range members {
					result = append(result, m.Name)
				}
				return result
			}
			is := is.New(t)
			s := FindSources(c.self, c.live, testFanOut)
			is.Equal(names(s.Parents), c.parents)
			is.Equal(names(s.Announcers), c.announcers)
		})
	}
}
