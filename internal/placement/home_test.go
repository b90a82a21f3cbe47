package placement

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"briarcroft/internal/fixedseed"
	"briarcroft/internal/notice"
	"briarcroft/internal/quarantine"
	"briarcroft/internal/ratelimit"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Main(m)) }

// crashesToQuarantine is the number of targets that a request must crash to be put in quarantine.
const crashesToQuarantine = 3

// testHome is a home with a simulated clock that records its verdicts by request number.
type testHome struct {
	home       *Home
	verdicts   map[uint64][]Verdict
	now        time.Duration
	lastNumber uint64
}

// newTestHome returns a home with the given number of targets. Each has three slots and has just reported a pace of 1.
func newTestHome(targets int, budget RetryBudget) *testHome {
	f := &testHome{verdicts: map[uint64][]Verdict{}, now: time.Minute}
	f.home = New(Config{Random: rand.New(rand.NewPCG(1, 1)), Budget: budget, Quarantine: quarantine.New(quarantine.Config{Targets: crashesToQuarantine}), RateLimits: ratelimit.New(), Notices: notice.New(), OnVerdict: func(r *Request, v Verdict) {
		f.verdicts[r.ID.Number] = append(f.verdicts[r.ID.Number], v)
	}})
	var list []Target
	for i := range targets {
		list = append(list, Target{Name: fmt.Sprintf("t%d", i), Address: "10.0.0.1:80", Domain: "a", Slots: 3})
	}
	f.home.SetTargets(f.now, list)
	f.reportPace(1)
	return f
}

// reportPace records a successful probe of every target, with the given pace.
func (f *testHome) reportPace(pace float64) {
	for _, t := range f.home.targets {
		f.home.RecordProbe(f.now, t.Name, ProbeHealthy, &LoadReport{Running: len(t.runs), Slots: 3, Pace: pace})
	}
}

// submit submits a request with a goal of 250 ms and a deadline of 1 s, changed by change, and returns its number.
func (f *testHome) submit(change func(*Request)) uint64 {
	f.lastNumber++
	r := &Request{ID: RequestID{Number: f.lastNumber}, Class: "c", Goal: f.now + 250*time.Millisecond, Deadline: f.now + time.Second, Domain: "a", Probes: ProbesPerRequest}
	if change != nil {
		change(r)
	}
	f.home.Submit(f.now, r)
	return r.ID.Number
}

// lastVerdict returns the latest verdict on a request, or nil.
func (f *testHome) lastVerdict(number uint64) Verdict {
	verdicts := f.verdicts[number]
	if len(verdicts) == 0 {
		return nil
	}
	return verdicts[len(verdicts)-1]
}

// placedOn returns the target of a request, or "" if it is not placed.
func (f *testHome) placedOn(number uint64) string {
	if p, is := f.lastVerdict(number).(Placed); is {
		return p.Target
	}
	return ""
}

func (f *testHome) endRun(number uint64, outcome Outcome) {
	f.home.RunEnded(f.now, RunEnd{ID: RequestID{Number: number}, Target: f.placedOn(number), Outcome: outcome, Duration: 90 * time.Millisecond, Load: &LoadReport{Running: 1, Slots: 3, Pace: 1}})
}

var ampleBudget = RetryBudget{Ratio: 1, Slack: 100, Window: 10 * time.Second}

// TestQueuedRequestGetsFirstFreeSlot submits more requests than there are slots: the last one is queued, and placed when
// the first slot becomes free.
func TestQueuedRequestGetsFirstFreeSlot(t *testing.T) {
	is := is.New(t)
	f := newTestHome(2, ampleBudget)
	for range 6 {
		is.True(f.placedOn(f.submit(nil)) != "")
	}
	waiting := f.submit(nil)
	is.Equal(f.lastVerdict(waiting), Queued{})
	f.endRun(1, OutcomeAnswered)
	is.True(f.placedOn(waiting) != "")
}

// TestAvoidsNoisyTargets slows one of two targets down, as a noisy neighbor does: requests are placed on the other one,
// or queued for it while their goal allows.
func TestAvoidsNoisyTargets(t *testing.T) {
	is := is.New(t)
	f := newTestHome(2, ampleBudget)
	f.home.RecordProbe(f.now, "t0", ProbeHealthy, &LoadReport{Slots: 3, Pace: 4})
	for range 3 {
		is.Equal(f.placedOn(f.submit(nil)), "t1")
	}
	is.Equal(f.lastVerdict(f.submit(nil)), Queued{})
}

// TestWaitsForProbes submits requests after a second without load reports: they wait for the result of a probe, but not
// longer than maxProbeWait.
func TestWaitsForProbes(t *testing.T) {
	is := is.New(t)
	f := newTestHome(4, ampleBudget)
	f.now += time.Second
	number := f.submit(nil)
	is.Equal(f.lastVerdict(number), Queued{})
	due := f.home.DueProbes(f.now)
	is.True(len(due) >= targetsProbedAtOnce)
	for _, p := range due {
		f.home.RecordProbe(f.now+3*time.Millisecond, p.Target, ProbeHealthy, &LoadReport{Slots: 3, Pace: 1})
	}
	is.True(f.placedOn(number) != "")
	f.now += time.Second
	unprobed := f.submit(nil)
	f.now += maxProbeWait
	f.home.Tick(f.now)
	is.True(f.placedOn(unprobed) != "")
}

// TestOrdersQueue queues requests of two priorities: the one of the higher priority is placed first, then the one with
// the latest goal.
func TestOrdersQueue(t *testing.T) {
	is := is.New(t)
	f := newTestHome(1, ampleBudget)
	for range 3 {
		f.submit(nil)
	}
	earlier := f.submit(func(r *Request) { r.Priority = 2 })
	f.now += 10 * time.Millisecond
	later := f.submit(func(r *Request) { r.Priority = 2 })
	urgent := f.submit(func(r *Request) { r.Priority = 1 })
	for i, want := range []uint64{urgent, later, earlier} {
		f.endRun(uint64(i+1), OutcomeAnswered)
		is.True(f.placedOn(want) != "")
	}
}

// TestRefusesAtOnce submits requests that cannot be served: they are refused immediately, with a retry delay.
func TestRefusesAtOnce(t *testing.T) {
	cases := []struct {
		name    string
		newHome func() *testHome
		change  func(*Request)
		reason  Reason
	}{
		{"no targets", func() *testHome { return newTestHome(0, ampleBudget) }, nil, ReasonNoTargets},
		{"no time", func() *testHome { return newTestHome(2, ampleBudget) }, func(r *Request) { r.Deadline = r.Goal - 240*time.Millisecond }, ReasonDeadlineCannotBeMet},
		{"retry without budget", func() *testHome { return newTestHome(2, RetryBudget{Window: 10 * time.Second}) }, func(r *Request) { r.Tried = []string{"t0"} }, ReasonRetryBudgetSpent},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := c.newHome()
			r, refused := f.lastVerdict(f.submit(c.change)).(Refused)
			is.True(refused)
			is.Equal(r.Reason, c.reason)
			is.True(r.RetryAfter > 0)
		})
	}
}

// TestRetryDelaysAreSpread refuses many callers at once: they get different retry delays, so that they do not retry
// together.
func TestRetryDelaysAreSpread(t *testing.T) {
	is := is.New(t)
	f := newTestHome(0, ampleBudget)
	shortest, longest := time.Hour, time.Duration(0)
	seen := map[time.Duration]bool{}
	for range 50 {
		delay := f.lastVerdict(f.submit(nil)).(Refused).RetryAfter
		shortest, longest = min(shortest, delay), max(longest, delay)
		seen[delay] = true
	}
	is.Equal(len(seen), 50)
	is.True(longest-shortest > time.Duration(0.9*retryDelaySpread*float64(shortest)))
}

// TestEjectsAtMostHalf lets runs time out on every target: some targets are ejected, but at least half stay available.
func TestEjectsAtMostHalf(t *testing.T) {
	is := is.New(t)
	f := newTestHome(4, ampleBudget)
	f.home.serviceTimes["patient"] = 0.09
	for range 40 {
		number := f.submit(func(r *Request) { r.Class, r.Goal, r.Deadline = "patient", f.now+time.Minute, f.now+2*time.Minute })
		if f.placedOn(number) != "" {
			f.endRun(number, OutcomeTimedOut)
		}
	}
	available := 0
	for _, x := range f.home.targets {
		if x.available(f.now) {
			available++
		}
	}
	is.True(available >= 2)
	is.True(available < 4)
}

// TestEjectionsAreReported lets runs on a target fail until it is ejected, and waits for the end of the ejection: each is
// reported once.
func TestEjectionsAreReported(t *testing.T) {
	is := is.New(t)
	f := newTestHome(4, ampleBudget)
	var ejections []Ejection
	f.home.config.OnEjection = func(e Ejection) { ejections = append(ejections, e) }
	for range failuresToEject {
		f.home.byName["t0"].recordFailure(f.now, true)
	}
	f.home.Tick(f.now)
	f.home.Tick(f.now)
	is.Equal(ejections, []Ejection{{"t0", true, failuresToEject}})
	f.now += minEjection
	f.home.Tick(f.now)
	is.Equal(len(ejections), 2)
	is.Equal(ejections[1].Ejected, false)
}

// TestQuarantine submits a request that breaks the connection of each target: it is sent to crashesToQuarantine targets
// and then refused.
func TestQuarantine(t *testing.T) {
	is := is.New(t)
	f := newTestHome(8, ampleBudget)
	placed := 0
	for range 10 {
		number := f.submit(func(r *Request) { r.Fingerprint = 7 })
		if f.placedOn(number) != "" {
			placed++
			f.endRun(number, OutcomeConnectionBroke)
			continue
		}
		is.Equal(f.lastVerdict(number).(Refused).Reason, ReasonQuarantined)
	}
	is.Equal(placed, crashesToQuarantine)
	is.True(f.placedOn(f.submit(func(r *Request) { r.Fingerprint = 8 })) != "")
}

// TestLoadReportFreesSlotsOfLostResponses loses the responses of all runs on a target: once the target reports that its
// slots are free, the queued request is placed there.
func TestLoadReportFreesSlotsOfLostResponses(t *testing.T) {
	is := is.New(t)
	f := newTestHome(1, ampleBudget)
	for range 3 {
		f.submit(nil)
	}
	waiting := f.submit(nil)
	f.now += 120 * time.Millisecond
	is.Equal(f.lastVerdict(waiting), Queued{})
	f.home.RecordProbe(f.now, "t0", ProbeHealthy, &LoadReport{Slots: 3, Pace: 1})
	is.True(f.placedOn(waiting) != "")
}

// TestHedges lets a run take too long: a repeatable request is hedged once, on another target, and one that is not
// repeatable is not hedged.
func TestHedges(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		t.Run(fmt.Sprint(repeatable), func(t *testing.T) {
			is := is.New(t)
			f := newTestHome(3, ampleBudget)
			number := f.submit(func(r *Request) { r.Repeatable = repeatable })
			first := f.placedOn(number)
			hedges := 0
			for range 100 {
				f.now += 10 * time.Millisecond
				f.reportPace(1)
				f.home.Tick(f.now)
			}
			for _, v := range f.verdicts[number] {
				if h, is := v.(Hedge); is {
					hedges++
					if h.Target == first {
						t.Fatal("the hedge was placed on the same target as the first run")
					}
				}
			}
			is.Equal(hedges == 1, repeatable)
		})
	}
}

// TestUnresponsiveTargetIsNotUsed leaves the probe of one target without a response: requests are placed on the other.
func TestUnresponsiveTargetIsNotUsed(t *testing.T) {
	is := is.New(t)
	f := newTestHome(2, ampleBudget)
	f.submit(nil)
	f.now += probeInterval
	is.Equal(len(f.home.DueProbes(f.now)), 2)
	f.home.RecordProbe(f.now, "t1", ProbeHealthy, &LoadReport{Slots: 3, Pace: 1})
	f.now += probeTimeout + time.Millisecond
	f.home.Tick(f.now)
	f.home.RecordProbe(f.now, "t1", ProbeHealthy, &LoadReport{Slots: 3, Pace: 1})
	for range 3 {
		is.Equal(f.placedOn(f.submit(nil)), "t1")
	}
}

// TestWarmUpEnds repeats SetTargets with an unchanged target that is warming up: this must not prolong its warm-up.
func TestWarmUpEnds(t *testing.T) {
	is := is.New(t)
	f := newTestHome(1, ampleBudget)
	targets := []Target{{Name: "new", Address: "10.0.0.2:80", Slots: 3, WarmUpLeft: time.Second}}
	for range 20 {
		f.home.SetTargets(f.now, targets)
		f.now += 100 * time.Millisecond
	}
	is.True(f.home.byName["new"].warmUpUntil < f.now)
}

// TestIdleServiceIsNotProbed sends no requests for some time: probing stops after busyPeriod. The next request resumes
// it, and targets that were down are probed too.
func TestIdleServiceIsNotProbed(t *testing.T) {
	is := is.New(t)
	f := newTestHome(3, ampleBudget)
	number := f.submit(nil)
	f.endRun(number, OutcomeUnreachable)
	for range 100 {
		f.now += 100 * time.Millisecond
		f.home.Tick(f.now)
		for _, p := range f.home.DueProbes(f.now) {
			f.home.RecordProbe(f.now, p.Target, ProbeNoResponse, nil)
		}
	}
	before := f.now - busyPeriod
	for _, x := range f.home.targets {
		is.True(x.probe.sentAt < before)
		is.True(x.probe.down)
	}
	second := f.submit(nil)
	is.Equal(f.lastVerdict(second), Queued{}) // it waits for the results of probes
	is.Equal(len(f.home.DueProbes(f.now)), 3)
}

// TestRetryBudgetIsNeverExceeded spends extra attempts in random patterns: no sliding window has more of them than the
// ratio and slack allow. The ratio applies to the requests of that window, of the window before it or of the one half a
// window earlier, whichever has the most. The owners of the services measure the limit in the same way.
func TestRetryBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := RetryBudget{Ratio: 0.2, Slack: 5, Window: 10 * time.Second}
		type step struct {
			at                      time.Duration
			requests, extraAttempts int
		}
		var history []step
		now := time.Minute
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond
			s := step{at: now, requests: rapid.IntRange(0, 20).Draw(t, "requests")}
			for range s.requests {
				b.AddRequest(now)
			}
			for range rapid.IntRange(0, 30).Draw(t, "extra attempts") {
				if b.Spend(now, 0) {
					s.extraAttempts++
				}
			}
			history = append(history, s)
		}
		sum := func(end time.Duration) (requests, extraAttempts int) {
			for _, m := range history {
				if m.at > end-b.Window && m.at <= end {
					requests += m.requests
					extraAttempts += m.extraAttempts
				}
			}
			return requests, extraAttempts
		}
		for _, m := range history {
			requests, extraAttempts := sum(m.at)
			requestsBefore, _ := sum(m.at - b.Window)
			requestsHalfway, _ := sum(m.at - b.Window/2)
			if float64(extraAttempts) > b.Ratio*float64(max(requests, requestsBefore, requestsHalfway))+b.Slack {
				t.Fatalf("%d extra attempts for %d requests in the window that ends at %v", extraAttempts, max(requests, requestsBefore, requestsHalfway), m.at)
			}
		}
	})
}

// TestRequestsAndRunsAreRemoved submits and cancels requests and ends placement streams in random order: when all
// deadlines have passed, no request and no run is left.
func TestRequestsAndRunsAreRemoved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestHome(3, ampleBudget)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				f.submit(func(r *Request) { r.ID.Stream = uint64(rapid.IntRange(1, 3).Draw(t, "stream")) })
			case 2:
				f.home.EndStream(f.now, uint64(rapid.IntRange(1, 3).Draw(t, "ended stream")))
			case 3:
				f.now += 20 * time.Millisecond
				f.home.Tick(f.now)
			case 4:
				for id := range f.home.requests {
					f.home.CancelQueued(id)
				}
			}
		}
		f.now += time.Minute
		f.home.Tick(f.now)
		if n := len(f.home.requests) + f.home.QueueLength(); n > 0 {
			t.Fatalf("%d requests were not removed", n)
		}
		for _, x := range f.home.targets {
			if len(x.runs) > 0 {
				t.Fatalf("target %s: %d runs were not removed", x.Name, len(x.runs))
			}
		}
	})
}

// TestWarmingTargetsAreUsed adds a target that is warming up and reports a pace of 2 to a service whose other targets are
// full: a request that can meet its goal there must not wait in the queue.
func TestWarmingTargetsAreUsed(t *testing.T) {
	is := is.New(t)
	f := newTestHome(2, ampleBudget)
	f.endRun(f.submit(nil), OutcomeAnswered) // the service time of the class is now 90 ms
	for range 6 {
		is.True(f.placedOn(f.submit(nil)) != "")
	}
	targets := []Target{{Name: "new", Address: "10.0.0.2:80", Domain: "a", Slots: 3, WarmUpLeft: 3 * time.Second}}
	for _, x := range f.home.targets {
		targets = append(targets, x.Target)
	}
	f.home.SetTargets(f.now, targets)
	f.home.RecordProbe(f.now, "new", ProbeHealthy, &LoadReport{Slots: 3, Pace: 2})
	is.Equal(f.placedOn(f.submit(nil)), "new") // expected to take 180 ms, with a goal of 250 ms
}

// TestResubmittedRequestKeepsItsRuns submits a request again while one of its runs goes on: its slot is freed once, by the end
// of the run or by the timeout.
func TestResubmittedRequestKeepsItsRuns(t *testing.T) {
	for _, c := range []struct {
		name                  string
		quarantined, reported bool
	}{
		{"ends are reported", false, true},
		{"ends are not reported", false, false},
		{"refused, end is reported", true, true},
		{"refused, end is not reported", true, false},
	} {
		t.Log(c.name)
		is := is.New(t)
		f := newTestHome(3, ampleBudget)
		number := f.submit(func(r *Request) { r.Repeatable, r.Fingerprint = true, 7 })
		first := f.placedOn(number)
		f.now += 200 * time.Millisecond
		f.reportPace(1)
		f.home.Tick(f.now)
		hedge, isHedge := f.lastVerdict(number).(Hedge)
		is.True(isHedge)
		f.home.RunEnded(f.now, RunEnd{ID: RequestID{Number: number}, Target: first, Outcome: OutcomeFailed})
		if c.quarantined {
			f.home.config.Quarantine.Merge(f.now, []quarantine.Request{{Fingerprint: 7, Remaining: time.Minute}})
		}
		f.home.Submit(f.now, &Request{
			ID: RequestID{Number: number}, Class: "c", Goal: f.now + 100*time.Millisecond, Deadline: f.now + 500*time.Millisecond, Domain: "a",
			Tried: []string{first, hedge.Target}, Fingerprint: 7,
		})
		third := f.placedOn(number)
		is.Equal(third == "", c.quarantined)
		is.True(third != first && third != hedge.Target)
		if c.reported {
			for _, target := range []string{hedge.Target, third} {
				f.home.RunEnded(f.now, RunEnd{ID: RequestID{Number: number}, Target: target, Outcome: OutcomeCanceled})
			}
		}
		f.now += time.Second + runEndTimeout
		f.home.Tick(f.now)
		is.Equal(len(f.home.requests), 0)
		is.Equal(len(f.home.running), 0)
		for _, x := range f.home.targets {
			is.Equal(len(x.runs), 0)
		}
	}
}

// TestFullTargetIsUsedAgainAfterRefusal guards against a target that gets nothing for seconds after one refusal, which its load explains,
// while others have room. One whose load does not explain it is still avoided.
func TestFullTargetIsUsedAgainAfterRefusal(t *testing.T) {
	const requests, interval = 100, 20 * time.Millisecond
	for _, c := range []struct {
		name     string
		running  int
		isUsed   bool
		reported bool
	}{
		{"full", 6, true, true},
		{"with room", 0, false, true},
		{"load unknown", 0, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newTestHome(3, RetryBudget{Ratio: 1, Window: 10 * time.Second})
			refused := f.submit(nil)
			target := f.placedOn(refused)
			f.home.byName[target].recordSuccess(f.now)
			end := RunEnd{ID: RequestID{Number: refused}, Target: target, Outcome: OutcomeNotRun}
			if c.reported {
				end.Load = &LoadReport{Running: c.running, Slots: 3, Pace: 1}
			}
			f.home.RunEnded(f.now, end)
			used := 0
			for range requests {
				f.now += interval
				f.reportPace(1)
				number := f.submit(nil)
				if f.placedOn(number) == target {
					used++
				}
				f.home.RunEnded(f.now, RunEnd{ID: RequestID{Number: number}, Target: f.placedOn(number), Duration: 10 * time.Millisecond, Load: &LoadReport{Running: 1, Slots: 3, Pace: 1}})
			}
			t.Logf("%d of %d requests on the target that refused", used, requests)
			is.Equal(used > requests/6, c.isUsed)
		})
	}
}
