package placement

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"briarcroft/internal/fixedseed"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Main(m)) }

// testHome collects what a home decides.
type testHome struct {
	home       *Home
	verdicts   map[uint64][]Verdict
	now        time.Duration
	lastNumber uint64
}

// newTestHome returns a home with so many targets of three slots, all known to be at their usual pace.
func newTestHome(targets int, budget RetryBudget) *testHome {
	d := &testHome{verdicts: map[uint64][]Verdict{}, now: time.Minute}
	d.home = New(Config{Random: rand.New(rand.NewPCG(1, 1)), Budget: budget, OnVerdict: func(r *Request, v Verdict) {
		d.verdicts[r.ID.Number] = append(d.verdicts[r.ID.Number], v)
	}})
	var list []Target
	for i := range targets {
		list = append(list, Target{Name: fmt.Sprintf("t%d", i), Address: "10.0.0.1:80", Domain: "a", Slots: 3})
	}
	d.home.SetTargets(d.now, list)
	d.reportPace(1)
	return d
}

// reportPace lets every target report a pace.
func (d *testHome) reportPace(pace float64) {
	for _, t := range d.home.targets {
		d.home.RecordProbe(d.now, t.Name, ProbeHealthy, &LoadReport{Running: len(t.runs), Slots: 3, Pace: pace})
	}
}

// submit offers a request with a goal of 250 ms and returns its number.
func (d *testHome) submit(change func(*Request)) uint64 {
	d.lastNumber++
	r := &Request{ID: RequestID{Number: d.lastNumber}, Class: "c", Goal: d.now + 250*time.Millisecond, Deadline: d.now + time.Second, Domain: "a"}
	if change != nil {
		change(r)
	}
	d.home.Submit(d.now, r)
	return r.ID.Number
}

// lastVerdict returns the newest verdict on a request.
func (d *testHome) lastVerdict(number uint64) Verdict {
	list := d.verdicts[number]
	if len(list) == 0 {
		return nil
	}
	return list[len(list)-1]
}

// placedOn returns the target of a request, or nothing when it has none.
func (d *testHome) placedOn(number uint64) string {
	if p, is := d.lastVerdict(number).(Placed); is {
		return p.Target
	}
	return ""
}

func (d *testHome) endRun(number uint64, outcome Outcome) {
	d.home.RunEnded(d.now, RunEnd{ID: RequestID{Number: number}, Target: d.placedOn(number), Outcome: outcome, Duration: 90 * time.Millisecond, Load: &LoadReport{Running: 1, Slots: 3, Pace: 1}})
}

var ampleBudget = RetryBudget{Ratio: 1, Slack: 100, Window: 10 * time.Second}

// TestBindsLate offers more requests than there are slots: the rest waits, and goes to the first slot that comes free.
func TestBindsLate(t *testing.T) {
	is := is.New(t)
	d := newTestHome(2, ampleBudget)
	for range 6 {
		is.True(d.placedOn(d.submit(nil)) != "")
	}
	waiting := d.submit(nil)
	is.Equal(d.lastVerdict(waiting), Queued{})
	d.endRun(1, OutcomeAnswered)
	is.True(d.placedOn(waiting) != "")
}

// TestAvoidsNoisyTargets lets neighbours slow one target down: requests that have time go elsewhere, or wait for that.
func TestAvoidsNoisyTargets(t *testing.T) {
	is := is.New(t)
	d := newTestHome(2, ampleBudget)
	d.home.RecordProbe(d.now, "t0", ProbeHealthy, &LoadReport{Slots: 3, Pace: 4})
	for range 3 {
		is.Equal(d.placedOn(d.submit(nil)), "t1")
	}
	is.Equal(d.lastVerdict(d.submit(nil)), Queued{})
}

// TestWaitsForFreshKnowledge offers a request after a quiet second: it waits for probes, and at most for freshWait.
func TestWaitsForFreshKnowledge(t *testing.T) {
	is := is.New(t)
	d := newTestHome(4, ampleBudget)
	d.now += time.Second
	number := d.submit(nil)
	is.Equal(d.lastVerdict(number), Queued{})
	due := d.home.DueProbes(d.now)
	is.True(len(due) >= targetsProbedAtOnce)
	for _, p := range due {
		d.home.RecordProbe(d.now+3*time.Millisecond, p.Target, ProbeHealthy, &LoadReport{Slots: 3, Pace: 1})
	}
	is.True(d.placedOn(number) != "")
	d.now += time.Second
	silent := d.submit(nil)
	d.now += maxProbeWait
	d.home.Tick(d.now)
	is.True(d.placedOn(silent) != "")
}

// TestOrdersQueue lets requests of two ranks wait: the higher one goes first, then the one with more time left.
func TestOrdersQueue(t *testing.T) {
	is := is.New(t)
	d := newTestHome(1, ampleBudget)
	for range 3 {
		d.submit(nil)
	}
	old := d.submit(func(r *Request) { r.Priority = 2 })
	d.now += 10 * time.Millisecond
	young := d.submit(func(r *Request) { r.Priority = 2 })
	urgent := d.submit(func(r *Request) { r.Priority = 1 })
	for i, want := range []uint64{urgent, young, old} {
		d.endRun(uint64(i+1), OutcomeAnswered)
		is.True(d.placedOn(want) != "")
	}
}

// TestRefusesAtOnce offers what can't be served: it is refused when it comes, with a time to return.
func TestRefusesAtOnce(t *testing.T) {
	cases := []struct {
		name   string
		desk   func() *testHome
		change func(*Request)
		reason Reason
	}{
		{"no targets", func() *testHome { return newTestHome(0, ampleBudget) }, nil, ReasonNoTargets},
		{"no time", func() *testHome { return newTestHome(2, ampleBudget) }, func(r *Request) { r.Deadline = r.Goal - 240*time.Millisecond }, ReasonDeadlineCannotBeMet},
		{"retry without budget", func() *testHome { return newTestHome(2, RetryBudget{Window: 10 * time.Second}) }, func(r *Request) { r.Tried = []string{"t0"} }, ReasonRetryBudgetSpent},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := c.desk()
			r, refused := d.lastVerdict(d.submit(c.change)).(Refused)
			is.True(refused)
			is.Equal(r.Reason, c.reason)
			is.True(r.RetryAfter > 0)
		})
	}
}

// TestRetryDelaysAreSpread refuses many callers at once: they are told to come back at different times.
func TestRetryDelaysAreSpread(t *testing.T) {
	is := is.New(t)
	d := newTestHome(0, ampleBudget)
	least, most := time.Hour, time.Duration(0)
	seen := map[time.Duration]bool{}
	for range 50 {
		after := d.lastVerdict(d.submit(nil)).(Refused).RetryAfter
		least, most = min(least, after), max(most, after)
		seen[after] = true
	}
	is.Equal(len(seen), 50)
	is.True(most-least > time.Duration(0.9*retryDelaySpread*float64(least)))
}

// TestEjectsWithAFloor breaks runs on every target: at least half of them stay in.
func TestEjectsWithAFloor(t *testing.T) {
	is := is.New(t)
	d := newTestHome(4, ampleBudget)
	d.home.serviceTimes["patient"] = 0.09
	for range 40 {
		number := d.submit(func(r *Request) { r.Class, r.Goal, r.Deadline = "patient", d.now+time.Minute, d.now+2*time.Minute })
		if d.placedOn(number) != "" {
			d.endRun(number, OutcomeTimedOut)
		}
	}
	sound := 0
	for _, x := range d.home.targets {
		if x.available(d.now) {
			sound++
		}
	}
	is.True(sound >= 2)
	is.True(sound < 4)
}

// TestEjectionsAreReported lets runs at one target fail until it is taken out, and waits until it is back.
func TestEjectionsAreReported(t *testing.T) {
	is := is.New(t)
	d := newTestHome(4, ampleBudget)
	var told []Ejection
	d.home.config.OnEjection = func(e Ejection) { told = append(told, e) }
	for range failuresToEject {
		d.home.byName["t0"].recordFailure(d.now, true)
	}
	d.home.Tick(d.now)
	d.home.Tick(d.now)
	is.Equal(told, []Ejection{{"t0", true, failuresToEject}})
	d.now += minEjection
	d.home.Tick(d.now)
	is.Equal(len(told), 2)
	is.Equal(told[1].Ejected, false)
}

// TestQuarantine runs a request that breaks each target: it reaches crashesToQuarantine targets and no more.
func TestQuarantine(t *testing.T) {
	is := is.New(t)
	d := newTestHome(8, ampleBudget)
	placed := 0
	for range 10 {
		number := d.submit(func(r *Request) { r.Fingerprint = 7 })
		if d.placedOn(number) != "" {
			placed++
			d.endRun(number, OutcomeConnectionBroke)
			continue
		}
		is.Equal(d.lastVerdict(number).(Refused).Reason, ReasonQuarantined)
	}
	is.Equal(placed, crashesToQuarantine)
	is.True(d.placedOn(d.submit(func(r *Request) { r.Fingerprint = 8 })) != "")
}

// TestLostAnswersFreeSlots loses answers: a target that reports free slots gets requests again at once.
func TestLostAnswersFreeSlots(t *testing.T) {
	is := is.New(t)
	d := newTestHome(1, ampleBudget)
	for range 3 {
		d.submit(nil)
	}
	waiting := d.submit(nil)
	d.now += 120 * time.Millisecond
	is.Equal(d.lastVerdict(waiting), Queued{})
	d.home.RecordProbe(d.now, "t0", ProbeHealthy, &LoadReport{Slots: 3, Pace: 1})
	is.True(d.placedOn(waiting) != "")
}

// TestHedges lets a run of a repeatable request grow late: a second one starts elsewhere, once, and never for one that
// must not run twice.
func TestHedges(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		t.Run(fmt.Sprint(repeatable), func(t *testing.T) {
			is := is.New(t)
			d := newTestHome(3, ampleBudget)
			number := d.submit(func(r *Request) { r.Repeatable = repeatable })
			first := d.placedOn(number)
			hedges := 0
			for range 100 {
				d.now += 10 * time.Millisecond
				d.reportPace(1)
				d.home.Tick(d.now)
			}
			for _, v := range d.verdicts[number] {
				if h, is := v.(Hedge); is {
					hedges++
					if h.Target == first {
						t.Fatal("the second run went to the first one's target")
					}
				}
			}
			is.Equal(hedges == 1, repeatable)
		})
	}
}

// TestSilentTargetIsLeftOut leaves probes without an answer.
func TestSilentTargetIsLeftOut(t *testing.T) {
	is := is.New(t)
	d := newTestHome(2, ampleBudget)
	d.submit(nil)
	d.now += probeInterval
	is.Equal(len(d.home.DueProbes(d.now)), 2)
	d.home.RecordProbe(d.now, "t1", ProbeHealthy, &LoadReport{Slots: 3, Pace: 1})
	d.now += probeTimeout + time.Millisecond
	d.home.Tick(d.now)
	d.home.RecordProbe(d.now, "t1", ProbeHealthy, &LoadReport{Slots: 3, Pace: 1})
	for range 3 {
		is.Equal(d.placedOn(d.submit(nil)), "t1")
	}
}

// TestWarmingEnds sets the same targets again and again: one that warms up does so for its time only.
func TestWarmingEnds(t *testing.T) {
	is := is.New(t)
	d := newTestHome(1, ampleBudget)
	list := []Target{{Name: "new", Address: "10.0.0.2:80", Slots: 3, WarmUpLeft: time.Second}}
	for range 20 {
		d.home.SetTargets(d.now, list)
		d.now += 100 * time.Millisecond
	}
	is.True(d.home.byName["new"].warmUpUntil < d.now)
}

// TestIdleServiceIsNotProbed leaves a service alone: no probes go out until the next request, which finds all targets in.
func TestIdleServiceIsNotProbed(t *testing.T) {
	is := is.New(t)
	d := newTestHome(3, ampleBudget)
	number := d.submit(nil)
	d.endRun(number, OutcomeUnreachable)
	for range 100 {
		d.now += 100 * time.Millisecond
		d.home.Tick(d.now)
		for _, p := range d.home.DueProbes(d.now) {
			d.home.RecordProbe(d.now, p.Target, ProbeNoResponse, nil)
		}
	}
	before := d.now - busyPeriod
	for _, x := range d.home.targets {
		is.True(x.probe.sentAt < before)
		is.True(x.probe.down)
	}
	again := d.submit(nil)
	is.Equal(d.lastVerdict(again), Queued{}) // it waits for fresh knowledge
	is.Equal(len(d.home.DueProbes(d.now)), 3)
}

// TestBudgetHolds spends repeats in any pattern: in no sliding window are there more than the ratio and slack allow. The
// requests are those of the window itself, the one before it or the one half a window before, whichever has most, as the
// service's owners count them.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := RetryBudget{Ratio: 0.2, Slack: 5, Window: 10 * time.Second}
		type moment struct {
			at           time.Duration
			first, extra int
		}
		var history []moment
		now := time.Minute
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond
			m := moment{at: now, first: rapid.IntRange(0, 20).Draw(t, "first")}
			for range m.first {
				b.AddRequest(now)
			}
			for range rapid.IntRange(0, 30).Draw(t, "wanted") {
				if b.Spend(now, 0) {
					m.extra++
				}
			}
			history = append(history, m)
		}
		sum := func(end time.Duration) (first, extra int) {
			for _, m := range history {
				if m.at > end-b.Window && m.at <= end {
					first += m.first
					extra += m.extra
				}
			}
			return first, extra
		}
		for _, m := range history {
			first, extra := sum(m.at)
			before, _ := sum(m.at - b.Window)
			half, _ := sum(m.at - b.Window/2)
			if float64(extra) > b.Ratio*float64(max(first, before, half))+b.Slack {
				t.Fatalf("%d repeats for %d requests in the window that ends at %v", extra, max(first, before, half), m.at)
			}
		}
	})
}

// TestHomeForgets ends conversations and runs in any order: nothing is held in the end.
func TestHomeForgets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newTestHome(3, ampleBudget)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				d.submit(func(r *Request) { r.ID.Stream = uint64(rapid.IntRange(1, 3).Draw(t, "host")) })
			case 2:
				d.home.EndStream(d.now, uint64(rapid.IntRange(1, 3).Draw(t, "leaving")))
			case 3:
				d.now += 20 * time.Millisecond
				d.home.Tick(d.now)
			case 4:
				for id := range d.home.requests {
					d.home.CancelQueued(id)
				}
			}
		}
		d.now += time.Minute
		d.home.Tick(d.now)
		if n := len(d.home.requests) + d.home.QueueLength(); n > 0 {
			t.Fatalf("%d requests are still known", n)
		}
		for _, x := range d.home.targets {
			if len(x.runs) > 0 {
				t.Fatalf("target %s still holds %d runs", x.Name, len(x.runs))
			}
		}
	})
}

// TestFallbackHomesLimitProbes replays a fleet that has lost touch with a service's home: a hundred hosts decide alone, each on a
// few requests. Together they must keep to the probes of one home, 20 a target and second.
func TestFallbackHomesLimitProbes(t *testing.T) {
	is := is.New(t)
	const hosts, targets, seconds, perHost = 100, 20, 10, 1
	probes := 0
	for range hosts {
		d := newTestHome(targets, ampleBudget)
		for tick := range seconds * 100 {
			d.now += tickInterval
			if tick%(100/perHost) == 0 {
				d.submit(func(r *Request) { r.Goal, r.Deadline = d.now+time.Second, d.now+time.Second })
			}
			d.home.Tick(d.now)
			for _, p := range d.home.DueProbes(d.now) {
				probes++
				d.home.RecordProbe(d.now, p.Target, ProbeHealthy, &LoadReport{Slots: 3, Pace: 1})
			}
		}
	}
	perTarget := float64(probes) / targets / seconds
	t.Logf("%.1f probes a target and second", perTarget)
	// One probe of each target by each host comes on top, when it begins.
	is.True(perTarget <= 20+float64(hosts)/seconds)
}

// TestWarmingTargetsAreUsed replays a service that has lost half of its targets and got new ones, which report that they are
// twice as slow as usual: a request that can meet its goal there must not wait while their slots stand idle.
func TestWarmingTargetsAreUsed(t *testing.T) {
	is := is.New(t)
	d := newTestHome(2, ampleBudget)
	d.endRun(d.submit(nil), OutcomeAnswered) // the class takes 90 ms
	for range 6 {
		is.True(d.placedOn(d.submit(nil)) != "")
	}
	list := []Target{{Name: "new", Address: "10.0.0.2:80", Domain: "a", Slots: 3, WarmUpLeft: 3 * time.Second}}
	for _, x := range d.home.targets {
		list = append(list, x.Target)
	}
	d.home.SetTargets(d.now, list)
	d.home.RecordProbe(d.now, "new", ProbeHealthy, &LoadReport{Slots: 3, Pace: 2})
	is.Equal(d.placedOn(d.submit(nil)), "new") // 180 ms of 250
}

// TestFormerHomeStillProbes lets another host become the home that all ask first: the former one has not spent its probes.
func TestFormerHomeStillProbes(t *testing.T) {
	is := is.New(t)
	d := newTestHome(4, ampleBudget)
	probe := func(rounds int) (sent int) {
		for round := range rounds {
			d.now += probeInterval
			if round%4 == 0 {
				d.endRun(d.submit(nil), OutcomeAnswered)
			}
			for _, p := range d.home.DueProbes(d.now) {
				sent++
				d.home.RecordProbe(d.now, p.Target, ProbeHealthy, &LoadReport{Slots: 3, Pace: 1})
			}
		}
		return sent
	}
	d.home.SetPrimary(true)
	is.True(probe(100) > 100)
	d.home.SetPrimary(false)
	is.True(probe(10) > 10)
}
