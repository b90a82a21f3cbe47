package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func newTestRouter(targets int) *Router {
	r := New(Config{Random: rand.New(rand.NewPCG(1, 1)), Overcommit: -1})
	var specs []Spec
	for i := range targets {
		specs = append(specs, Spec{Name: fmt.Sprint(i), Slots: 4})
	}
	r.SetTargets(0, specs)
	return r
}

// runRequest starts and finishes a request on a target.
func runRequest(r *Router, now time.Duration, i Index, elapsed time.Duration, outcome Outcome) {
	r.Start(now, i)
	r.Finish(now+elapsed, i, now, elapsed, outcome)
}

func TestEjectionKeepsHalfOfTargets(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(5)
	for round := range 4 {
		for i := range 5 {
			runRequest(r, time.Duration(round)*time.Millisecond, Index(i), time.Millisecond, Failed)
		}
	}
	is.Equal(len(r.Eligible(nil)), 3) // at least half of five
	for now := time.Second; now < 5*time.Second; now += 100 * time.Millisecond {
		r.Tick(now)
	}
	is.Equal(len(r.Eligible(nil)), 5) // all ejections have ended
}

func TestEjectionDoublesAndRampStartsWithOneRequest(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(4)
	now := time.Duration(0)
	var lengths []time.Duration
	for range 3 {
		for range failuresToEject {
			runRequest(r, now, 0, 0, Failed)
		}
		is.Equal(r.State(0), Ejected)
		from := now
		for r.State(0) == Ejected {
			now += 10 * time.Millisecond
			r.Tick(now)
		}
		lengths = append(lengths, (now - from).Round(100*time.Millisecond))
	}
	is.Equal(lengths, []time.Duration{time.Second, 2 * time.Second, 4 * time.Second})
	is.Equal(r.State(0), Ramping)
	is.Equal(r.targets[0].inFlightLimit(now, 0, 0), 1)
	is.Equal(r.targets[0].inFlightLimit(now+rampDuration*3/4, 0, 0), 3)
	r.Tick(now + rampDuration)
	is.Equal(r.State(0), Live)
}

func TestStragglerIsEjectedWithEvidence(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(4)
	r.PopChanges()
	for now := time.Duration(0); now < 4*time.Second && r.State(0) == Live; now += 20 * time.Millisecond {
		for i := range 4 {
			elapsed := 10 * time.Millisecond
			if i == 0 {
				elapsed = 100 * time.Millisecond
			}
			runRequest(r, now, Index(i), elapsed, Succeeded)
		}
		r.Tick(now)
	}
	is.Equal(r.State(0), Ejected)
	changes := r.PopChanges()
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Cause, CauseStraggler)
	is.True(changes[0].Latency > 3*changes[0].MeanLatency)
}

func TestContradictoryReportIsIgnored(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(2)
	is.True(r.ApplyReport(0, 0, LoadReport{InFlight: 3}))
	is.True(r.targets[0].load(0, 0.01) > 2.9)
	is.True(r.targets[0].load(time.Second, 0.01) < 0.1) // old reports decay
	for range 4 {
		r.Start(0, 0)
	}
	is.True(!r.ApplyReport(0, 0, LoadReport{InFlight: 0}))             // this host alone has four in flight
	is.True(!r.ApplyReport(5*time.Second, 0, LoadReport{InFlight: 9})) // still ignored after the contradiction
	is.True(r.ApplyReport(11*time.Second, 0, LoadReport{InFlight: 4}))
}

func TestDrainedTargetReturnsOnlyAfterProbeConfirmedDraining(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(2)
	r.Drain(0, 0, CauseReportedDraining)
	r.ApplyProbe(time.Second, 0, false) // ignored: no probe has confirmed the draining
	is.Equal(r.State(0), Draining)
	r.ApplyProbe(2*time.Second, 0, true)
	r.ApplyProbe(3*time.Second, 0, false)
	is.Equal(r.State(0), Ramping)
}

func TestWithdrawnTargetIsRemovedWhenIdle(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(2)
	r.Start(0, 0)
	r.SetTargets(0, []Spec{{Name: "1", Slots: 4}})
	is.Equal(r.Size(), 2)
	is.Equal(r.Eligible(nil), []string{"1"})
	r.Finish(time.Second, r.Lookup("0"), 0, time.Second, Succeeded)
	r.Tick(time.Second)
	is.Equal(r.Size(), 1)
	is.Equal(r.Lookup("1"), Index(0))
}

func TestRetryBudgetIsARatioOfRequests(t *testing.T) {
	is := is.New(t)
	b := NewRetryBudget(RetryBudgetConfig{Ratio: 0.1})
	for range 1000 {
		b.RecordRequest()
		b.TrySpend()
	}
	is.True(b.Spent <= 100+maxBudgetTokens)
	is.True(b.Spent >= 95)
	is.Equal(b.Spent+b.Denied, int64(1000))
}

// TestRemoteTargetsAreUsedOnlyAsFallback runs a service with targets in two regions. The remote ones must get requests
// only when the near ones are full or drained, and must not be ejected as stragglers for their network delay.
func TestRemoteTargetsAreUsedOnlyAsFallback(t *testing.T) {
	is := is.New(t)
	const runTime, roundTrip = 10 * time.Millisecond, 60 * time.Millisecond
	r := New(Config{Random: rand.New(rand.NewPCG(1, 1)), Overcommit: -1})
	r.SetTargets(0, []Spec{{Name: "near-1", Slots: 4}, {Name: "near-2", Slots: 4}, {Name: "far-1", Slots: 4, RoundTrip: roundTrip}, {Name: "far-2", Slots: 4, RoundTrip: roundTrip}})
	now := time.Duration(0)
	remoteShare := func(rounds int) float64 {
		remote := 0
		for range rounds {
			now += runTime
			i := r.Pick(now, 0, NoTarget)
			elapsed := runTime
			if r.Name(i)[:3] == "far" {
				remote++
				elapsed += roundTrip
			}
			runRequest(r, now, i, elapsed, Succeeded)
			r.Tick(now)
		}
		return float64(remote) / float64(rounds)
	}
	remoteShare(100)
	is.True(remoteShare(1000) < 0.02)
	is.Equal(len(r.Eligible(nil)), 4) // no target was ejected
	for _, name := range []string{"near-1", "near-2"} {
		r.Drain(now, r.Lookup(name), CauseHostListLeaving)
	}
	is.Equal(remoteShare(100), 1.0)
	is.Equal(len(r.Eligible(nil)), 2)
}
