package model

import (
	"flag"
	"math"
	"testing"
	"time"

	"briarcroft/internal/placement"
)

// unlimitedWork is the limit of a service whose operators limit only the number of second runs.
var unlimitedWork = math.Inf(1)

// secondRunLoads returns the loads of the comparison in docs/design/second-runs.md.
func secondRunLoads() []Workload {
	var loads []Workload
	for _, base := range []Workload{StockWorkload(), LookupWorkload()} {
		for _, c := range []struct {
			suffix string
			change func(*Workload)
		}{
			{"noise", func(*Workload) {}},
			{"slow", func(w *Workload) { w.Fault, w.FaultShare = Slow, 0.25 }},
			{"mute", func(w *Workload) { w.Fault, w.FaultShare = Mute, 0.1 }},
			{"all-slow", func(w *Workload) { w.Fault, w.FaultShare, w.OfferedLoad = Slow, 1, 0.1 }},
		} {
			w := base
			w.Name, w.OfferedLoad = w.Name+"-"+c.suffix, 0.4
			w.FaultFrom, w.FaultUntil = 8*time.Second, 20*time.Second
			c.change(&w)
			loads = append(loads, w)
		}
	}
	return loads
}

// secondRunTable makes TestSecondRuns simulate all limits of the table in docs/design/second-runs.md, with more seeds.
var secondRunTable = flag.Bool("second-run-table", false, "simulate all limits of the table of second runs")

// meanOfSeeds returns the means of the results that TestSecondRuns uses; lost requests are summed up.
func meanOfSeeds(p Policy, w Workload, seeds int) Result {
	var mean Result
	part := time.Duration(seeds)
	for seed := range uint64(seeds) {
		w.Seed = seed + 1
		r := Simulate(p, w)
		mean.P50 += r.P50 / part
		mean.P99 += r.P99 / part
		mean.P999 += r.P999 / part
		mean.ServerTime += r.ServerTime / part
		mean.ExtraAttempts += r.ExtraAttempts / float64(seeds)
		mean.HedgeWork += r.HedgeWork / float64(seeds)
		mean.Utility += r.Utility / float64(seeds)
		mean.Lost += r.Lost
	}
	return mean
}

// TestSecondRuns guards against second runs beyond the operators' limit, and against a limit at which they do not shorten the tail
// when some targets are slow or mute. With -second-run-table it prints the table of docs/design/second-runs.md.
func TestSecondRuns(t *testing.T) {
	limits, seeds := []float64{0, 1, 5}, 2
	if *secondRunTable {
		limits, seeds = []float64{0, 1, 2, 5, 10, math.Inf(1)}, 8
	}
	for _, w := range secondRunLoads() {
		t.Run(w.Name, func(t *testing.T) {
			t.Parallel()
			results := map[float64]Result{}
			for _, limit := range limits {
				r := meanOfSeeds(Home{Hedges: true, SecondRuns: placement.SecondRunLimit{Runs: limit, Work: unlimitedWork, Window: 10 * time.Second}}, w, seeds)
				results[limit] = r
				t.Logf("| %s | %v | %d | %d | %d | %.2f | %.2f | %d | %.4f | %d |", w.Name, limit, r.P50.Milliseconds(), r.P99.Milliseconds(), r.P999.Milliseconds(),
					100*r.ExtraAttempts, 100*r.HedgeWork, r.ServerTime.Milliseconds(), r.Utility, r.Lost)
				if limit <= 100 && r.ExtraAttempts > limit/100 {
					t.Errorf("%.4f second runs per request at a limit of %v in 100", r.ExtraAttempts, limit)
				}
			}
			if w.Fault == Slow && w.FaultShare < 1 && results[5].P99 >= results[0].P99 {
				t.Errorf("p99 %v with second runs, %v without", results[5].P99, results[0].P99)
			}
			if w.Fault == Mute && 2*results[5].Lost > results[0].Lost {
				t.Errorf("%d lost with second runs, %d without", results[5].Lost, results[0].Lost)
			}
		})
	}
}
