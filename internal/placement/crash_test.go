package placement

import (
	"testing"
	"time"

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
		f.home.config.Quarantine.RecordBreak(f.now, f.now, 7, target)
	}
	f.home.Tick(f.now)
	refused, isRefused := f.lastVerdict(waiting).(Refused)
	is.True(isRefused)
	is.Equal(refused.Reason, ReasonQuarantined)
	is.True(refused.RetryAfter > time.Minute) // until the quarantine ends
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
