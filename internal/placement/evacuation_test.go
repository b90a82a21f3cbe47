package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// evacuate sets which targets are evacuated. Those that were before have been until now.
func (f *testHome) evacuate(names ...string) {
	var targets []Target
	for _, t := range f.home.targets {
		next := t.Target
		if next.Evacuated {
			next.EvacuatedUntil = f.now
		}
		next.Evacuated = false
		for _, name := range names {
			next.Evacuated = next.Evacuated || name == t.Name
		}
		targets = append(targets, next)
	}
	f.home.SetTargets(f.now, targets)
}

// TestEvacuatedTargetGetsNothing guards against requests, waiting ones included, second runs and probes for evacuated targets, and
// against runs that are given up there.
func TestEvacuatedTargetGetsNothing(t *testing.T) {
	is := is.New(t)
	f := newTestHome(2, ampleBudget)
	var running []uint64
	for range 6 {
		running = append(running, f.submit(func(r *Request) { r.Repeatable = true }))
	}
	waiting := f.submit(nil)
	is.Equal(f.lastVerdict(waiting), Queued{})
	f.evacuate("t0")
	for _, number := range running {
		if f.placedOn(number) == "t0" {
			f.endRun(number, OutcomeAnswered)
		}
	}
	is.Equal(f.lastVerdict(waiting), Queued{}) // the free slots are in the evacuated domain
	for _, number := range running {
		if f.placedOn(number) == "t1" {
			f.endRun(number, OutcomeAnswered)
		}
	}
	is.Equal(f.placedOn(waiting), "t1")
	for range 100 {
		f.now += 10 * time.Millisecond
		f.home.Tick(f.now)
		for _, p := range f.home.DueProbes(f.now) {
			is.True(p.Target != "t0")
			f.home.RecordProbe(f.now, p.Target, ProbeHealthy, &LoadReport{Slots: 3, Pace: 1})
		}
		if target := f.placedOn(f.submit(func(r *Request) { r.Repeatable = true })); target != "" {
			is.Equal(target, "t1")
		}
		if _, isHedge := f.lastVerdict(f.lastNumber).(Hedge); isHedge {
			t.Fatal("a second run was started on an evacuated target")
		}
	}
}

// TestAllTargetsEvacuated guards against requests that wait while all targets are evacuated, and against other reasons given.
func TestAllTargetsEvacuated(t *testing.T) {
	is := is.New(t)
	f := newTestHome(2, ampleBudget)
	for range 6 {
		f.submit(nil)
	}
	waiting := f.submit(nil)
	f.evacuate("t0", "t1")
	for _, number := range []uint64{waiting, f.submit(nil)} {
		r, refused := f.lastVerdict(number).(Refused)
		is.True(refused)
		is.Equal(r.Reason, ReasonTargetsEvacuated)
		is.True(r.RetryAfter > 0)
		is.Equal(r.Slots, 0)
	}
	f.evacuate("t0")
	f.home.byName["t1"].ejectedUntil = f.now + time.Second
	r, refused := f.lastVerdict(f.submit(nil)).(Refused)
	is.True(refused)
	is.Equal(r.Reason, ReasonNoTargets) // one is not evacuated, but does not serve
}

// TestEvacuationIsNoFailure guards against evacuated targets that count as failing afterwards, because their machines were shut down
// or because hosts did not send them requests, and against sound targets that cannot be ejected meanwhile or are too readily.
func TestEvacuationIsNoFailure(t *testing.T) {
	is := is.New(t)
	f := newTestHome(4, ampleBudget)
	blocked := f.submit(nil)
	name := f.placedOn(blocked)
	f.home.RunEnded(f.now, RunEnd{ID: RequestID{Number: blocked}, Target: name, Outcome: OutcomeBlocked})
	for range 3 {
		is.True(f.placedOn(f.submit(nil)) != name)
	}
	f.now += blockedPause
	f.reportPace(1)
	var running []uint64
	for range 6 {
		running = append(running, f.submit(nil))
	}
	f.evacuate("t0", "t1")
	for _, number := range running {
		if target := f.placedOn(number); target == "t0" || target == "t1" {
			f.endRun(number, OutcomeConnectionBroke)
		}
	}
	is.True(f.home.mayEject(f.now))
	f.home.byName["t2"].ejectedUntil = f.now + time.Minute
	is.True(!f.home.mayEject(f.now))
	f.evacuate()
	for _, evacuated := range []string{"t0", "t1"} {
		t := f.home.byName[evacuated]
		is.Equal(t.failureRate, 0.0)
		is.Equal(t.ejections, 0)
		is.True(t.available(f.now))
	}
}

// TestEvacuationEndsWithoutCrowd guards against all waiting requests being sent at once to targets that come back.
func TestEvacuationEndsWithoutCrowd(t *testing.T) {
	is := is.New(t)
	f := newTestHome(4, ampleBudget)
	f.evacuate("t0", "t1", "t2")
	for range 20 {
		f.submit(nil)
	}
	f.evacuate()
	for step := range 12 {
		f.reportPace(1)
		f.home.Tick(f.now)
		for _, name := range []string{"t0", "t1", "t2"} {
			open := max(1, min(3, 3*step/10))
			is.True(len(f.home.byName[name].runs) <= open)
		}
		f.now += pauseRampTime / 10
		f.submit(nil)
	}
	for _, t := range f.home.targets {
		is.True(len(t.runs) > 0)
		is.Equal(t.openSlots(f.now), 3)
	}
}
