package model

import (
	"testing"
	"time"
)

// largeWorkload is 50 requests a second with responses of 110 KB on average, equal from three failure domains with 5, 6 and 3
// targets, whose work fills a fifth of all slots.
func largeWorkload() Workload {
	return Workload{
		Name: "large", Targets: 14, Domains: []int{5, 6, 3}, Slots: 3, ServiceTime: 150 * time.Millisecond, ServiceTimeSigma: 0.3,
		LatencyGoal: 1500 * time.Millisecond, CallerTimeout: 10 * time.Second, OfferedLoad: 0.4, Duration: 24 * time.Second,
		NetworkDelay: 2 * time.Millisecond, NoisyShare: 1.0 / 3, NoisyPace: 4, NoiseInterval: 300 * time.Millisecond,
		NearlyFullShare: 0.8, NearlyFullSlowdown: 1.7, ResponseBytes: 110 << 10, Repeatable: true, Seed: 1,
	}
}

// faultyDomain gives the first failure domain, with 5 targets, a fault for half of the time.
func faultyDomain(w *Workload, fault FaultKind) {
	w.Fault, w.FaultShare, w.FaultFrom, w.FaultUntil = fault, 0.36, w.Duration/4, 3*w.Duration/4
}

// small makes responses small and the goal tight.
func small(w *Workload) {
	w.ResponseBytes, w.ServiceTime, w.LatencyGoal, w.CallerTimeout = 5000, 190*time.Millisecond, 600*time.Millisecond, 3*time.Second
}

// TestDomainPlan compares the load of large responses with and without a plan of flows between failure domains: the bytes that
// cross must fall to the given share of all, and the answers within the goal must not be fewer. Without the plan, 0.11 of the bytes
// cross at the mean load, although each domain can serve its own requests. The inputs are the loads of
// docs/design/hard-load.md, part 5.
func TestDomainPlan(t *testing.T) {
	for _, test := range []struct {
		name     string
		change   func(*Workload)
		maxCross float64
	}{
		{"mean", func(*Workload) {}, 0.02},
		{"wave", func(w *Workload) { w.Wave = 0.5 }, 0.04},
		{"clumps", func(w *Workload) { w.Clump = 8 }, 0.2},
		// Half of the time a third of the requests has no targets in its domain.
		{"domain lost", func(w *Workload) { faultyDomain(w, Gone) }, 0.22},
		{"domain slow", func(w *Workload) { faultyDomain(w, Paced) }, 0.08},
		{"domain slow, not reported", func(w *Workload) { faultyDomain(w, Slow) }, 0.16},
		{"load of 20", func(w *Workload) { w.OfferedLoad = 0.2 }, 0.01},
		{"load of 70", func(w *Workload) { w.OfferedLoad = 0.7 }, 0.12},
		{"load of 90", func(w *Workload) { w.OfferedLoad = 0.9 }, 0.3},
		{"load of 120", func(w *Workload) { w.OfferedLoad = 1.2 }, 0.5},
		{"small", small, 0.2},
		{"tight goal, load of 90", func(w *Workload) {
			small(w)
			w.ResponseBytes, w.OfferedLoad = 30<<10, 0.9
		}, 0.55},
		{"small, load of 90", func(w *Workload) { small(w); w.OfferedLoad = 0.9 }, 0.52},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			w := largeWorkload()
			test.change(&w)
			off, on := simulateSeeds(Home{Hedges: true}, w), simulateSeeds(Home{Hedges: true, DomainPlan: true}, w)
			for _, r := range []Result{off, on} {
				t.Logf("%-14s cross %.4f in goal %.4f late %.4f refused %.4f p50 %v p99 %v extra %.3f probes %.1f", r.Policy, r.CrossShare, inGoalShare(r),
					float64(r.Late)/float64(r.Requests), float64(r.Refused)/float64(r.Requests), r.P50, r.P99, r.ExtraAttempts, r.Probes)
			}
			if on.CrossShare > test.maxCross {
				t.Errorf("%.4f of the bytes cross, more than %.4f", on.CrossShare, test.maxCross)
			}
			// The difference of two runs of the same policy with other seeds is up to 0.002.
			if inGoalShare(on) < inGoalShare(off)-0.002 {
				t.Errorf("%.4f of the requests are answered within the goal, and %.4f without the plan", inGoalShare(on), inGoalShare(off))
			}
		})
	}
}

// simulateSeeds sums up the counts of simulations with several seeds, and averages their other results.
func simulateSeeds(p Policy, w Workload) Result {
	const seeds = 3
	sum := Result{Policy: p.Name()}
	for seed := range uint64(seeds) {
		w.Seed = seed + 1
		r := Simulate(p, w)
		sum.Requests += r.Requests
		sum.InGoal += r.InGoal
		sum.Late += r.Late
		sum.Refused += r.Refused
		sum.P50 += r.P50 / seeds
		sum.P99 += r.P99 / seeds
		sum.Probes += r.Probes / seeds
		sum.ExtraAttempts += r.ExtraAttempts / seeds
		sum.CrossShare += r.CrossShare / seeds
	}
	return sum
}
