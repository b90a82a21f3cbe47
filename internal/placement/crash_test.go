package placement

import (
	"testing"
	"time"

	"briarcroft/internal/quarantine"

	"github.com/matryer/is"
)

// TestQuarantineAppliesToQueue checks that a request that waits in the queue is refused when it is put in quarantine.
func TestQuarantineAppliesToQueue(t *testing.T) {
	is := is.New(t)
	f := newTestHome(1, ampleBudget)
	for range 3 {
		f.submit(nil)
	}
	waiting := f.submit(func(r *Request) { r.Fingerprint = 7 })
	is.Equal(f.lastVerdict(waiting), Queued{})
	for _, target := range []string{"a", "b", "c"} {
		f.home.config.Quarantine.RecordBreak(f.now, quarantine.Break{Target: target, Started: f.now, Ended: f.now, Fingerprints: []uint64{7}})
	}
	f.home.Tick(f.now)
	refused, isRefused := f.lastVerdict(waiting).(Refused)
	is.True(isRefused)
	is.Equal(refused.Reason, ReasonQuarantined)
	quarantined, _ := f.home.config.Quarantine.Lookup(f.now, 7)
	is.Equal(refused.RetryAfter, quarantined.Remaining)
}

// TestSuspectRunsOnOneTargetAtATime sends one request many times at once: after its first crash only one of its runs is in
// progress at any time, and three crashes one after the other put it in quarantine.
func TestSuspectRunsOnOneTargetAtATime(t *testing.T) {
	is := is.New(t)
	f := newTestHome(8, ampleBudget)
	poison := func(r *Request) { r.Fingerprint, r.Repeatable = 7, true }
	f.endRun(f.submit(poison), OutcomeConnectionBroke)
	for range 2 {
		f.now += time.Millisecond
		f.reportPace(1)
		var placed []uint64
		for range 5 {
			if number := f.submit(poison); f.placedOn(number) != "" {
				placed = append(placed, number)
			}
		}
		is.Equal(len(placed), 1)
		f.now += 400 * time.Millisecond // long enough for a hedge
		f.home.Tick(f.now)
		_, hedged := f.lastVerdict(placed[0]).(Hedge)
		is.True(!hedged)
		for number := range f.verdicts {
			if number != placed[0] {
				f.home.CancelQueued(RequestID{Number: number})
			}
		}
		f.endRun(placed[0], OutcomeConnectionBroke)
	}
	is.Equal(f.lastVerdict(f.submit(poison)).(Refused).Reason, ReasonQuarantined)
}

// TestHomesShareQuarantine checks that a request that crashes the targets of one service is not sent to those of another.
func TestHomesShareQuarantine(t *testing.T) {
	is := is.New(t)
	first, second := newTestHome(4, ampleBudget), newTestHome(4, ampleBudget)
	second.home.config.Quarantine = first.home.config.Quarantine
	for range crashesToQuarantine {
		first.endRun(first.submit(func(r *Request) { r.Fingerprint = 7 }), OutcomeConnectionBroke)
	}
	is.Equal(second.lastVerdict(second.submit(func(r *Request) { r.Fingerprint = 7 })).(Refused).Reason, ReasonQuarantined)
}

// TestUnansweredRunsCountAsCrashes ends a run without a response and checks whether it counts as the cause of a crash,
// depending on what becomes of its target.
func TestUnansweredRunsCountAsCrashes(t *testing.T) {
	probed := func(result ProbeResult) func(*testHome) {
		return func(f *testHome) { f.home.RecordProbe(f.now, "t0", result, nil) }
	}
	replaced := func(targets ...Target) func(*testHome) {
		return func(f *testHome) { f.home.SetTargets(f.now, targets) }
	}
	nothing := func(*testHome) {}
	old := Target{Name: "t0", Address: "10.0.0.1:80", Domain: "a", Slots: 3}
	draining, restarted := old, old
	draining.Draining, restarted.Incarnation = true, 1
	for _, c := range []struct {
		name          string
		during, after func(*testHome)
		outcome       Outcome
		suspected     bool
	}{
		{"nothing is known of the target", nothing, nothing, OutcomeTimedOut, false},
		{"no response to a probe during the run", probed(ProbeNoResponse), nothing, OutcomeTimedOut, true},
		{"no response to a probe after the run", nothing, probed(ProbeNoResponse), OutcomeTimedOut, true},
		{"no response after the caller has left", nothing, probed(ProbeNoResponse), OutcomeCanceled, true},
		{"slow, healthy", nothing, probed(ProbeHealthy), OutcomeTimedOut, false},
		{"slow, healthy, then silent", probed(ProbeHealthy), func(f *testHome) {
			probed(ProbeHealthy)(f)
			probed(ProbeNoResponse)(f)
		}, OutcomeTimedOut, false},
		{"slow, unhealthy", probed(ProbeUnhealthy), nothing, OutcomeTimedOut, false},
		{"entry removed", nothing, replaced(), OutcomeTimedOut, true},
		{"restarted under its name", nothing, replaced(restarted), OutcomeTimedOut, true},
		{"entry rewritten", nothing, replaced(old), OutcomeTimedOut, false},
		{"removed after draining", nothing, func(f *testHome) {
			replaced(draining)(f)
			replaced()(f)
		}, OutcomeTimedOut, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newTestHome(1, ampleBudget)
			number := f.submit(func(r *Request) { r.Fingerprint = 7 })
			f.now += 100 * time.Millisecond
			c.during(f)
			f.now += 900 * time.Millisecond
			f.endRun(number, c.outcome)
			c.after(f)
			is.Equal(f.home.config.Quarantine.Suspected(f.now, 7), c.suspected)
		})
	}
}

// TestAnsweredRequestIsNotSuspected checks that the canceled run of a request that another target has answered is not
// taken for the cause of a crash.
func TestAnsweredRequestIsNotSuspected(t *testing.T) {
	is := is.New(t)
	f := newTestHome(2, ampleBudget)
	number := f.submit(func(r *Request) { r.Fingerprint, r.Repeatable = 7, true })
	first := f.placedOn(number)
	f.now += 150 * time.Millisecond
	f.reportPace(1)
	f.now += 50 * time.Millisecond
	f.home.Tick(f.now)
	hedge, isHedge := f.lastVerdict(number).(Hedge)
	is.True(isHedge)
	f.home.RecordProbe(f.now, first, ProbeNoResponse, nil)
	f.home.RunEnded(f.now, RunEnd{ID: RequestID{Number: number}, Target: hedge.Target, Outcome: OutcomeAnswered, Duration: 50 * time.Millisecond})
	f.home.RunEnded(f.now, RunEnd{ID: RequestID{Number: number}, Target: first, Outcome: OutcomeCanceled})
	is.True(!f.home.config.Quarantine.Suspected(f.now, 7))
}

// TestTrialAfterQuarantineIsNotRepeatedBeforeItsEndIsKnown replays the end of a shared quarantine while targets break other
// connections too, which makes a broken connection weak evidence: the next request with the same path waits until a probe has
// shown whether the target of the first one has ended, and is then refused.
func TestTrialAfterQuarantineIsNotRepeatedBeforeItsEndIsKnown(t *testing.T) {
	const path = 9
	is := is.New(t)
	f := newTestHome(4, ampleBudget)
	list := f.home.config.Quarantine
	list.Merge(f.now, []quarantine.Request{{Fingerprint: path, Remaining: time.Second}})
	for i := range 4 {
		// Targets answer some requests and break the connections of others.
		list.RecordSuccess(f.now, 50)
		list.RecordBreak(f.now, quarantine.Break{Target: "other", Started: f.now, Ended: f.now, Fingerprints: []uint64{uint64(60 + i)}})
	}
	f.now += 2 * time.Second
	f.reportPace(1)
	caller := uint64(0)
	submit := func() uint64 {
		caller++
		return f.submit(func(r *Request) {
			r.Fingerprint, r.SharedFingerprints, r.Repeatable = caller, []uint64{path}, true
		})
	}
	trial := submit()
	target := f.placedOn(trial)
	is.True(target != "")
	f.now += 50 * time.Millisecond
	f.endRun(trial, OutcomeConnectionBroke)
	for _, t := range f.home.targets {
		if t.Name != target {
			f.home.RecordProbe(f.now, t.Name, ProbeHealthy, &LoadReport{Pace: 1})
		}
	}
	waiting := submit()
	f.now += 5 * time.Millisecond
	f.home.Tick(f.now)
	is.Equal(f.lastVerdict(waiting), Queued{})
	f.home.RecordProbe(f.now, target, ProbeNoResponse, nil)
	f.home.Tick(f.now)
	is.Equal(f.lastVerdict(waiting).(Refused).Reason, ReasonQuarantined)
}

// TestFallbackHomeLeavesTrialToPrimaryHome checks that a fallback home does not send a request out of quarantine while the
// primary home tries it.
func TestFallbackHomeLeavesTrialToPrimaryHome(t *testing.T) {
	is := is.New(t)
	primary, fallback := newTestHome(4, ampleBudget), newTestHome(4, ampleBudget)
	fallback.home.SetPrimary(false)
	for _, c := range []struct {
		at              time.Duration
		tried, fallback bool
	}{{500 * time.Millisecond, false, false}, {time.Second, true, false}, {3 * time.Second, true, false}, {4 * time.Second, true, true}} {
		for _, f := range []*testHome{primary, fallback} {
			f.home.config.Quarantine = quarantine.New(quarantine.Config{Targets: crashesToQuarantine})
			f.home.config.Quarantine.Merge(0, []quarantine.Request{{Fingerprint: 7, Remaining: time.Second}})
			f.now = c.at
			f.reportPace(1)
			number := f.submit(func(r *Request) { r.Fingerprint, r.SharedFingerprints = 6, []uint64{7} })
			tried := c.tried
			if f == fallback {
				tried = c.fallback
			}
			is.Equal(f.placedOn(number) != "", tried)
			if r, refused := f.lastVerdict(number).(Refused); refused {
				is.Equal(r.Reason, ReasonQuarantined)
				is.True(r.RetryAfter > 0)
			}
			f.endRun(number, OutcomeAnswered)
		}
	}
}
