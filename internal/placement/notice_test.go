package placement

import (
	"slices"
	"testing"
	"time"

	"briarcroft/internal/notice"

	"github.com/matryer/is"
)

// endWithNotice ends a run that the target refused, with what it said.
func (f *testHome) endWithNotice(number uint64, n notice.Notice) {
	f.home.RunEnded(f.now, RunEnd{ID: RequestID{Number: number}, Target: f.placedOn(number), Outcome: OutcomeNotRun, Duration: time.Millisecond, Notice: n})
}

// TestPauseEndsWithoutCrowd replays a queue that has gathered while all targets paused: the first slots open one after the other.
func TestPauseEndsWithoutCrowd(t *testing.T) {
	is := is.New(t)
	f := newTestHome(1, ampleBudget)
	pausedAt := f.now
	f.endWithNotice(f.submit(nil), notice.Notice{Pause: 2 * time.Second})
	refused, isRefused := f.lastVerdict(f.submit(nil)).(Refused)
	is.True(isRefused)
	is.Equal(refused.Reason, ReasonTargetsPausing)
	is.True(refused.RetryAfter >= 2*time.Second && refused.RetryAfter <= 3*time.Second)
	for _, c := range []struct {
		after time.Duration
		runs  int
	}{{0, 1}, {700 * time.Millisecond, 2}, {pauseRampTime, 3}} {
		f.now = pausedAt + 2*time.Second + c.after
		f.reportPace(1)
		for range 5 {
			f.submit(nil)
		}
		is.Equal(len(f.home.targets[0].runs), c.runs)
		for _, r := range slices.Clone(f.home.queue) {
			f.home.CancelQueued(r.ID)
		}
		for _, active := range slices.Clone(f.home.targets[0].runs) {
			f.endRun(active.request.ID.Number, OutcomeAnswered)
		}
	}
}

// TestPausingTargetIsNotIll checks that a pause leaves no trace of failure, that the target gets neither runs nor probes in it, and
// that others are used meanwhile.
func TestPausingTargetIsNotIll(t *testing.T) {
	is := is.New(t)
	f := newTestHome(2, ampleBudget)
	number := f.submit(nil)
	paused := f.placedOn(number)
	f.endWithNotice(number, notice.Notice{Pause: time.Second})
	state := f.home.byName[paused]
	is.Equal(state.failureRate, 0.0)
	is.Equal(state.consecutiveFailures, 0)
	for end := f.now + 990*time.Millisecond; f.now < end; {
		f.now += 10 * time.Millisecond
		for _, p := range f.home.DueProbes(f.now) {
			is.True(p.Target != paused)
			f.home.RecordProbe(f.now, p.Target, ProbeHealthy, &LoadReport{Pace: 1})
		}
		if number := f.submit(nil); f.placedOn(number) != "" {
			is.True(f.placedOn(number) != paused)
			f.endRun(number, OutcomeAnswered)
		}
	}
}

// TestLeavingTargetIsNotTakenForCrashed checks that a target that has said that it leaves gets nothing more, also once its entry is
// rewritten as ready, and that its end is not blamed on the requests that ran there.
func TestLeavingTargetIsNotTakenForCrashed(t *testing.T) {
	is := is.New(t)
	f := newTestHome(1, ampleBudget)
	unanswered := f.submit(func(r *Request) { r.Fingerprint = 7 })
	other := f.submit(nil)
	f.home.RunEnded(f.now, RunEnd{ID: RequestID{Number: other}, Target: "t0", Outcome: OutcomeAnswered, Notice: notice.Notice{Leaving: true}})
	is.Equal(f.lastVerdict(f.submit(nil)).(Refused).Reason, ReasonNoTargets)
	target := f.home.targets[0].Target
	target.WarmUpLeft = time.Second
	f.home.SetTargets(f.now, []Target{target})
	is.Equal(f.lastVerdict(f.submit(nil)).(Refused).Reason, ReasonNoTargets)
	f.now += time.Second
	f.endRun(unanswered, OutcomeTimedOut)
	f.home.SetTargets(f.now, nil)
	is.True(!f.home.config.Quarantine.Suspected(f.now, 7))
	target.Incarnation++
	f.home.SetTargets(f.now, []Target{target})
	f.reportPace(1)
	is.True(f.placedOn(f.submit(nil)) != "") // a new start
}
