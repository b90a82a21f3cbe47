package gateway

import (
	"math"
	"os"
	"testing"

	"briarcroft/internal/fixedseed"
	"briarcroft/internal/note"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Main(m)) }

// TestShares divides requests by weight: after any number of requests, the count of each service differs from its exact
// share by at most the number of services.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rule := note.Rule{Name: "r"}
		total := 0
		for i := range rapid.IntRange(1, 5).Draw(t, "services") {
			weight := rapid.IntRange(1, 100).Draw(t, "weight")
			rule.Shares = append(rule.Shares, note.Share{Service: string(rune('a' + i)), Weight: weight})
			total += weight
		}
		var s trafficSplit
		counts := map[string]int{}
		for n := 1; n <= 400; n++ {
			counts[s.choose(rule)]++
			for _, share := range rule.Shares {
				want := float64(n) * float64(share.Weight) / float64(total)
				if math.Abs(float64(counts[share.Service])-want) > float64(len(rule.Shares)) {
					t.Fatalf("service %s got %d of %d requests, want %.1f", share.Service, counts[share.Service], n, want)
				}
			}
		}
	})
}

// TestMatch checks that the rule with the longest matching path of the request's host is chosen, with or without a port.
func TestMatch(t *testing.T) {
	is := is.New(t)
	index := newRuleIndex(note.Configuration{Rules: []note.Rule{
		{Name: "short", Host: "h", Path: "/a/"}, {Name: "long", Host: "h", Path: "/a/b/"}, {Name: "other", Host: "i", Path: "/a/"},
	}}, &ruleIndex{})
	cases := []struct {
		host, path, want string
	}{
		{"h", "/a/x", "short"}, {"h", "/a/b/x", "long"}, {"h", "/a/b", "short"}, {"h:80", "/a/x", "short"}, {"i", "/a/b/x", "other"},
		{"h", "/b/", ""}, {"j", "/a/x", ""}, {"h", "/a", ""},
	}
	for _, c := range cases {
		r, found := index.match(c.host, c.path)
		is.Equal(r.Name, c.want)
		is.Equal(found, c.want != "")
	}
}
