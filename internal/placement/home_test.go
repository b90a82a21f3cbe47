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

// desk collects what a home decides.
type desk struct {
	home     *Home
	verdicts map[uint64][]Verdict
	now      time.Duration
	next     uint64
}

// newDesk returns a home with so many targets of three slots, all known to be at their usual pace.
func newDesk(targets int, budget RetryBudget) *desk {
	d := &desk{verdicts: map[uint64][]Verdict{}, now: time.Minute}
	d.home = New(Config{Random: rand.New(rand.NewPCG(1, 1)), Budget: budget, OnVerdict: func(r *Request, v Verdict) {
		d.verdicts[r.ID.Number] = append(d.verdicts[r.ID.Number], v)
	}})
	var list []Target
	for i := range targets {
		list = append(list, Target{Name: fmt.Sprintf("t%d", i), Address: "10.0.0.1:80", Domain: "a", Slots: 3})
	}
	d.home.SetTargets(d.now, list)
	d.pace(1)
	return d
}

// pace lets every target report a pace.
func (d *desk) pace(pace float64) {
	for _, t := range d.home.targets {
		d.home.RecordProbe(d.now, t.Name, ProbeHealthy, &LoadReport{Running: len(t.holds), Slots: 3, Pace: pace})
	}
}

// ask offers a request with a goal of 250 ms and returns its number.
func (d *desk) ask(change func(*Request)) uint64 {
	d.next++
	r := &Request{ID: RequestID{Number: d.next}, Class: "c", Goal: d.now + 250*time.Millisecond, Deadline: d.now + time.Second, Domain: "a"}
	if change != nil {
		change(r)
	}
	d.home.Submit(d.now, r)
	return r.ID.Number
}

// last returns the newest verdict on a request.
func (d *desk) last(number uint64) Verdict {
	list := d.verdicts[number]
	if len(list) == 0 {
		return nil
	}
	return list[len(list)-1]
}

// placedAt returns the target of a request, or nothing when it has none.
func (d *desk) placedAt(number uint64) string {
	if p, is := d.last(number).(Placed); is {
		return p.Target
	}
	return ""
}

func (d *desk) done(number uint64, outcome Outcome) {
	d.home.RunEnded(d.now, RunEnd{ID: RequestID{Number: number}, Target: d.placedAt(number), Outcome: outcome, Duration: 90 * time.Millisecond, Load: &LoadReport{Running: 1, Slots: 3, Pace: 1}})
}

var plenty = RetryBudget{Ratio: 1, Slack: 100, Window: 10 * time.Second}

// TestBindsLate offers more requests than there are slots: the rest waits, and goes to the first slot that comes free.
func TestBindsLate(t *testing.T) {
	is := is.New(t)
	d := newDesk(2, plenty)
	for range 6 {
		is.True(d.placedAt(d.ask(nil)) != "")
	}
	waiting := d.ask(nil)
	is.Equal(d.last(waiting), Queued{})
	d.done(1, OutcomeAnswered)
	is.True(d.placedAt(waiting) != "")
}

// TestAvoidsNoisyTargets lets neighbours slow one target down: requests that have time go elsewhere, or wait for that.
func TestAvoidsNoisyTargets(t *testing.T) {
	is := is.New(t)
	d := newDesk(2, plenty)
	d.home.RecordProbe(d.now, "t0", ProbeHealthy, &LoadReport{Slots: 3, Pace: 4})
	for range 3 {
		is.Equal(d.placedAt(d.ask(nil)), "t1")
	}
	is.Equal(d.last(d.ask(nil)), Queued{})
}

// TestWaitsForFreshKnowledge offers a request after a quiet second: it waits for probes, and at most for freshWait.
func TestWaitsForFreshKnowledge(t *testing.T) {
	is := is.New(t)
	d := newDesk(4, plenty)
	d.now += time.Second
	number := d.ask(nil)
	is.Equal(d.last(number), Queued{})
	due := d.home.DueProbes(d.now)
	is.True(len(due) >= askedAtOnce)
	for _, p := range due {
		d.home.RecordProbe(d.now+3*time.Millisecond, p.Target, ProbeHealthy, &LoadReport{Slots: 3, Pace: 1})
	}
	is.True(d.placedAt(number) != "")
	d.now += time.Second
	silent := d.ask(nil)
	d.now += freshWait
	d.home.Tick(d.now)
	is.True(d.placedAt(silent) != "")
}

// TestRanksWaiting lets requests of two ranks wait: the higher one goes first, then the one with more time left.
func TestRanksWaiting(t *testing.T) {
	is := is.New(t)
	d := newDesk(1, plenty)
	for range 3 {
		d.ask(nil)
	}
	old := d.ask(func(r *Request) { r.Priority = 2 })
	d.now += 10 * time.Millisecond
	young := d.ask(func(r *Request) { r.Priority = 2 })
	urgent := d.ask(func(r *Request) { r.Priority = 1 })
	for i, want := range []uint64{urgent, young, old} {
		d.done(uint64(i+1), OutcomeAnswered)
		is.True(d.placedAt(want) != "")
	}
}

// TestRefusesAtOnce offers what can't be served: it is refused when it comes, with a time to return.
func TestRefusesAtOnce(t *testing.T) {
	cases := []struct {
		name   string
		desk   func() *desk
		change func(*Request)
		reason Reason
	}{
		{"no targets", func() *desk { return newDesk(0, plenty) }, nil, ReasonNoTargets},
		{"no time", func() *desk { return newDesk(2, plenty) }, func(r *Request) { r.Deadline = r.Goal - 240*time.Millisecond }, ReasonDeadlineCannotBeMet},
		{"retry without budget", func() *desk { return newDesk(2, RetryBudget{Window: 10 * time.Second}) }, func(r *Request) { r.Tried = []string{"t0"} }, ReasonRetryBudgetSpent},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := c.desk()
			r, refused := d.last(d.ask(c.change)).(Refused)
			is.True(refused)
			is.Equal(r.Reason, c.reason)
			is.True(r.RetryAfter > 0)
		})
	}
}

// TestReturnsAreSpread refuses many callers at once: they are told to come back at different times.
func TestReturnsAreSpread(t *testing.T) {
	is := is.New(t)
	d := newDesk(0, plenty)
	least, most := time.Hour, time.Duration(0)
	seen := map[time.Duration]bool{}
	for range 50 {
		after := d.last(d.ask(nil)).(Refused).RetryAfter
		least, most = min(least, after), max(most, after)
		seen[after] = true
	}
	is.Equal(len(seen), 50)
	is.True(most-least > time.Duration(0.9*returnSpread*float64(least)))
}

// TestEjectsWithAFloor breaks runs on every target: at least half of them stay in.
func TestEjectsWithAFloor(t *testing.T) {
	is := is.New(t)
	d := newDesk(4, plenty)
	d.home.bases["patient"] = 0.09
	for range 40 {
		number := d.ask(func(r *Request) { r.Class, r.Goal, r.Deadline = "patient", d.now+time.Minute, d.now+2*time.Minute })
		if d.placedAt(number) != "" {
			d.done(number, OutcomeTimedOut)
		}
	}
	sound := 0
	for _, x := range d.home.targets {
		if x.sound(d.now) {
			sound++
		}
	}
	is.True(sound >= 2)
	is.True(sound < 4)
}

// TestEjectionsAreTold lets runs at one target fail until it is taken out, and waits until it is back.
func TestEjectionsAreTold(t *testing.T) {
	is := is.New(t)
	d := newDesk(4, plenty)
	var told []Ejection
	d.home.config.OnEjection = func(e Ejection) { told = append(told, e) }
	for range failuresToEject {
		d.home.byName["t0"].failed(d.now, true)
	}
	d.home.Tick(d.now)
	d.home.Tick(d.now)
	is.Equal(told, []Ejection{{"t0", true, failuresToEject}})
	d.now += firstEjection
	d.home.Tick(d.now)
	is.Equal(len(told), 2)
	is.Equal(told[1].Ejected, false)
}

// TestQuarantine runs a request that breaks each target: it reaches crashesToQuarantine targets and no more.
func TestQuarantine(t *testing.T) {
	is := is.New(t)
	d := newDesk(8, plenty)
	placed := 0
	for range 10 {
		number := d.ask(func(r *Request) { r.Fingerprint = 7 })
		if d.placedAt(number) != "" {
			placed++
			d.done(number, OutcomeConnectionBroke)
			continue
		}
		is.Equal(d.last(number).(Refused).Reason, ReasonQuarantined)
	}
	is.Equal(placed, crashesToQuarantine)
	is.True(d.placedAt(d.ask(func(r *Request) { r.Fingerprint = 8 })) != "")
}

// TestLostAnswersFreeSlots loses answers: a target that reports free slots gets requests again at once.
func TestLostAnswersFreeSlots(t *testing.T) {
	is := is.New(t)
	d := newDesk(1, plenty)
	for range 3 {
		d.ask(nil)
	}
	waiting := d.ask(nil)
	d.now += 120 * time.Millisecond
	is.Equal(d.last(waiting), Queued{})
	d.home.RecordProbe(d.now, "t0", ProbeHealthy, &LoadReport{Slots: 3, Pace: 1})
	is.True(d.placedAt(waiting) != "")
}

// TestHedges lets a run of a repeatable request grow late: a second one starts elsewhere, once, and never for one that
// must not run twice.
func TestHedges(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		t.Run(fmt.Sprint(repeatable), func(t *testing.T) {
			is := is.New(t)
			d := newDesk(3, plenty)
			number := d.ask(func(r *Request) { r.Repeatable = repeatable })
			first := d.placedAt(number)
			hedges := 0
			for range 100 {
				d.now += 10 * time.Millisecond
				d.pace(1)
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
	d := newDesk(2, plenty)
	d.ask(nil)
	d.now += probeEvery
	is.Equal(len(d.home.DueProbes(d.now)), 2)
	d.home.RecordProbe(d.now, "t1", ProbeHealthy, &LoadReport{Slots: 3, Pace: 1})
	d.now += silentAfter + time.Millisecond
	d.home.Tick(d.now)
	d.home.RecordProbe(d.now, "t1", ProbeHealthy, &LoadReport{Slots: 3, Pace: 1})
	for range 3 {
		is.Equal(d.placedAt(d.ask(nil)), "t1")
	}
}

// TestWarmingEnds sets the same targets again and again: one that warms up does so for its time only.
func TestWarmingEnds(t *testing.T) {
	is := is.New(t)
	d := newDesk(1, plenty)
	list := []Target{{Name: "new", Address: "10.0.0.2:80", Slots: 3, WarmUpLeft: time.Second}}
	for range 20 {
		d.home.SetTargets(d.now, list)
		d.now += 100 * time.Millisecond
	}
	is.True(d.home.byName["new"].warmUntil < d.now)
}

// TestIdleServiceIsNotProbed leaves a service alone: no probes go out until the next request, which finds all targets in.
func TestIdleServiceIsNotProbed(t *testing.T) {
	is := is.New(t)
	d := newDesk(3, plenty)
	number := d.ask(nil)
	d.done(number, OutcomeUnreachable)
	for range 100 {
		d.now += 100 * time.Millisecond
		d.home.Tick(d.now)
		for _, p := range d.home.DueProbes(d.now) {
			d.home.RecordProbe(d.now, p.Target, ProbeNoAnswer, nil)
		}
	}
	before := d.now - busyFor
	for _, x := range d.home.targets {
		is.True(x.probe.asked < before)
		is.True(x.probe.down)
	}
	again := d.ask(nil)
	is.Equal(d.last(again), Queued{}) // it waits for fresh knowledge
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
		d := newDesk(3, plenty)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				d.ask(func(r *Request) { r.ID.Stream = uint64(rapid.IntRange(1, 3).Draw(t, "host")) })
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
			if len(x.holds) > 0 {
				t.Fatalf("target %s still holds %d runs", x.Name, len(x.holds))
			}
		}
	})
}

// TestStandInsProbeLittle replays a fleet that has lost touch with a service's home: a hundred hosts decide alone, each on a
// few requests. Together they must keep to the probes of one home, 20 a target and second.
func TestStandInsProbeLittle(t *testing.T) {
	is := is.New(t)
	const hosts, targets, seconds, perHost = 100, 20, 10, 1
	probes := 0
	for range hosts {
		d := newDesk(targets, plenty)
		for tick := range seconds * 100 {
			d.now += tickSlack
			if tick%(100/perHost) == 0 {
				d.ask(func(r *Request) { r.Goal, r.Deadline = d.now+time.Second, d.now+time.Second })
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
	d := newDesk(2, plenty)
	d.done(d.ask(nil), OutcomeAnswered) // the class takes 90 ms
	for range 6 {
		is.True(d.placedAt(d.ask(nil)) != "")
	}
	list := []Target{{Name: "new", Address: "10.0.0.2:80", Domain: "a", Slots: 3, WarmUpLeft: 3 * time.Second}}
	for _, x := range d.home.targets {
		list = append(list, x.Target)
	}
	d.home.SetTargets(d.now, list)
	d.home.RecordProbe(d.now, "new", ProbeHealthy, &LoadReport{Slots: 3, Pace: 2})
	is.Equal(d.placedAt(d.ask(nil)), "new") // 180 ms of 250
}

// TestFormerHomeStillProbes lets another host become the home that all ask first: the former one has not spent its probes.
func TestFormerHomeStillProbes(t *testing.T) {
	is := is.New(t)
	d := newDesk(4, plenty)
	probe := func(rounds int) (sent int) {
		for round := range rounds {
			d.now += probeEvery
			if round%4 == 0 {
				d.done(d.ask(nil), OutcomeAnswered)
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
