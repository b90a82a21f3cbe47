package placement

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRunsStayConsistent applies random operations to a home, as hosts send them in any order, and checks that targets,
// requests and the counts of runs agree after each, and that nothing is left when all have ended.
func TestRunsStayConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestHome(rapid.IntRange(1, 4).Draw(t, "targets"), ampleBudget)
		number := func() uint64 { return uint64(rapid.IntRange(1, 6).Draw(t, "number")) }
		target := func() string { return fmt.Sprintf("t%d", rapid.IntRange(0, 4).Draw(t, "target")) }
		operations := map[string]func(){
			"submit": func() {
				r := &Request{
					ID: RequestID{Stream: uint64(rapid.IntRange(0, 1).Draw(t, "stream")), Number: number()}, Class: "c",
					Goal: f.now + 250*time.Millisecond, Deadline: f.now + time.Second, Repeatable: rapid.Bool().Draw(t, "repeatable"),
					Fingerprint: uint64(rapid.IntRange(0, 3).Draw(t, "fingerprint")), SharedFingerprints: []uint64{uint64(rapid.IntRange(4, 5).Draw(t, "shared fingerprint"))}, Probes: ProbesPerRequest,
				}
				if rapid.Bool().Draw(t, "retry") {
					r.Tried = []string{target()}
				}
				f.home.Submit(f.now, r)
			},
			"end": func() {
				outcome := Outcome(rapid.IntRange(int(OutcomeAnswered), int(OutcomeOtherServer)).Draw(t, "outcome"))
				f.home.RunEnded(f.now, RunEnd{
					ID:     RequestID{Stream: uint64(rapid.IntRange(0, 1).Draw(t, "stream")), Number: number()},
					Target: target(), Outcome: outcome, Duration: 50 * time.Millisecond,
				})
			},
			"limit":  func() { f.limitKnown(target(), float64(rapid.IntRange(0, 3).Draw(t, "limit"))) },
			"cancel": func() { f.home.CancelQueued(RequestID{Number: number()}) },
			"probe": func() {
				f.home.RecordProbe(f.now, target(), ProbeResult(rapid.IntRange(0, 3).Draw(t, "result")), nil)
			},
			"end of stream": func() { f.home.EndStream(f.now, uint64(rapid.IntRange(0, 1).Draw(t, "stream"))) },
			"time": func() {
				f.now += time.Duration(rapid.IntRange(1, 400).Draw(t, "milliseconds")) * time.Millisecond
				f.home.Tick(f.now)
			},
			"targets": func() {
				var list []Target
				for i := range rapid.IntRange(0, 4).Draw(t, "count") {
					list = append(list, Target{Name: fmt.Sprintf("t%d", i), Slots: 3, Incarnation: int64(rapid.IntRange(0, 1).Draw(t, "incarnation"))})
				}
				f.home.SetTargets(f.now, list)
			},
		}
		names := []string{"submit", "submit", "submit", "end", "end", "limit", "cancel", "probe", "end of stream", "time", "time", "targets"}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			operations[rapid.SampledFrom(names).Draw(t, "operation")]()
			f.checkRuns(t)
		}
		f.now += time.Minute
		f.home.Tick(f.now)
		f.now += time.Minute
		f.home.Tick(f.now)
		if len(f.home.requests) != 0 || len(f.home.running) != 0 {
			t.Fatalf("%d requests and the runs %v are left", len(f.home.requests), f.home.running)
		}
	})
}

// limitKnown makes a target name a rate limit if there is such a target.
func (f *testHome) limitKnown(name string, perSecond float64) {
	if f.home.byName[name] != nil {
		f.limitTarget(name, perSecond)
	}
}

// checkRuns fails unless the runs of all requests are those of their targets and are counted by their fingerprints.
func (f *testHome) checkRuns(t *rapid.T) {
	byFingerprint := map[uint64]int{}
	for id, r := range f.home.requests {
		for _, active := range r.runs {
			for _, f := range active.fingerprints {
				byFingerprint[f]++
			}
			if active.request != r {
				t.Fatalf("a run of request %v refers to another request", id)
			}
			found := 0
			for _, other := range active.target.runs {
				if other == active {
					found++
				}
			}
			if found != 1 {
				t.Fatalf("a run of request %v is %d times on its target", id, found)
			}
		}
	}
	if fmt.Sprint(byFingerprint) != fmt.Sprint(f.home.running) {
		t.Fatalf("runs by fingerprint are %v, counted are %v", byFingerprint, f.home.running)
	}
	for _, x := range f.home.targets {
		for _, active := range x.runs {
			if f.home.requests[active.request.ID] != active.request {
				t.Fatalf("target %s has a run of a request that is forgotten", x.Name)
			}
		}
	}
}
