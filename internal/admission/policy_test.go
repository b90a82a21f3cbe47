package admission_test

import (
	"fmt"
	"os"
	"testing"
	"time"
)

type namedPolicy struct {
	name string
	make func(c scenario) policy
}

func ours(homes, overcommit int) func(scenario) policy {
	return func(c scenario) policy {
		return newGated(c, gatedConfig{homes: homes, overcommit: overcommit, exchange: 10 * time.Millisecond})
	}
}

func chosen(choose func(*simulation, *earlyHost) *fakeTarget, perAnswer float64) func(scenario) policy {
	return func(c scenario) policy {
		p := newEarly(entryHosts, c.targets, choose)
		p.perAnswer = perAnswer
		return p
	}
}

var allPolicies = []namedPolicy{
	{"random", chosen(chooseRandom, 0)},
	{"round robin", chosen(chooseRoundRobin, 0)},
	{"two choices", chosen(chooseTwo, 0)},
	{"probe pool", chosen(chooseProbed, 2)},
	{"ideal queue", func(scenario) policy { return &ideal{} }},
	{"ideal patient", func(scenario) policy { return &ideal{patience: 2.5} }},
	{"homes 1 rtt", ours(1, -1)},
	{"homes 1 +0", ours(1, 0)},
	{"homes 1 +1", ours(1, 1)},
	{"homes 1 +2", ours(1, 2)},
	{"homes 3", ours(3, -1)},
	{"homes 13", ours(13, -1)},
}

func lookup(use float64) scenario {
	return scenario{targets: 13, slots: 4, work: 10 * time.Millisecond, oneWay: time.Millisecond, use: use,
		noise: true, straggler: true, liar: true, length: 12 * time.Second, seed: 1}
}

// TestPolicyTrial prints the table for exploration when BRIARCROFT_TRIAL is set.
func TestPolicyTrial(t *testing.T) {
	if os.Getenv("BRIARCROFT_TRIAL") == "" {
		t.Skip("exploration only")
	}
	for _, n := range []int{13, 8} {
		for _, use := range []float64{0.5, 0.7, 0.85, 0.95} {
			for _, p := range allPolicies {
				c := lookup(use)
				c.targets = n
				s := newSimulation(c, p.make(c))
				s.run()
				fmt.Printf("%2d %.2f %-14s p50 %7.1f p99 %7.1f p999 %7.1f ms  n %d refused %d\n", n, use, p.name,
					float64(s.latency.ValueAtQuantile(50))/1e6, float64(s.latency.ValueAtQuantile(99))/1e6, float64(s.latency.ValueAtQuantile(99.9))/1e6, s.answered, s.refused)
			}
		}
	}
}
