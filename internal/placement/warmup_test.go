package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"briarcroft/internal/notice"
	"briarcroft/internal/quarantine"
	"briarcroft/internal/ratelimit"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// usualWarmUp is what cold targets take in these tests.
func usualWarmUp(rate float64) WarmUp { return WarmUp{Rate: rate, Bound: 1.5*rate + 8} }

// chill makes a target cold for a time.
func (f *testHome) chill(name string, left time.Duration) {
	f.home.config.RateLimits.RecordWarmUp(f.now, f.now, f.home.byName[name].limitKey(), f.now+left)
}

// mostInSecond returns the largest number of times, which are in order, within any second.
func mostInSecond(times []time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at-times[first] >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestColdTargetBoundIsKept floods 13 homes with requests for one cold target, while the homes that have the majority move at random, two
// have it at once, parts of the fleet do not see each other or every host decides alone, after times without any request: what the target
// gets in any second from all of them must stay within the bound.
func TestColdTargetBoundIsKept(t *testing.T) {
	const hosts, step = 13, 20 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{0.3, 1, 2.7, 8, 20, 60}).Draw(t, "rate")
		var sent []time.Duration
		now := time.Minute
		limits := ratelimit.New()
		homes := make([]*Home, hosts)
		for i := range homes {
			homes[i] = New(Config{
				Random: rand.New(rand.NewPCG(uint64(i), rapid.Uint64().Draw(t, "seed"))), Quarantine: quarantine.New(quarantine.Config{Targets: crashesToQuarantine}),
				RateLimits: limits, Notices: notice.New(), Budget: ampleBudget,
				OnVerdict: func(_ *Request, v Verdict) {
					if _, placed := v.(Placed); placed {
						sent = append(sent, now)
					}
				},
			})
			homes[i].SetWarmUp(usualWarmUp(rate))
			homes[i].SetTargets(now, []Target{{Name: "t0", Address: "10.0.0.1:80", Slots: 1000}})
		}
		limits.RecordWarmUp(now, now, ratelimit.Key{Target: "t0"}, now+time.Hour)
		var number uint64
		for range rapid.IntRange(1, 12).Draw(t, "phases") {
			first, second := rapid.IntRange(0, hosts-1).Draw(t, "first"), rapid.IntRange(0, hosts-1).Draw(t, "second")
			split := rapid.IntRange(0, 3).Draw(t, "split")
			if split == 1 && rate > 8 {
				split = 0 // two homes with the majority at once keep only lower rates within the bound
			}
			share := func(i int) LimitShare {
				switch {
				case split == 0 && i == first, split == 1 && (i == first || i == second):
					return LimitShare{Share: 0.8, Majority: true}
				case split == 2:
					return LimitShare{Share: 0.4 / hosts}
				case split == 3 && i < 3:
					return LimitShare{Share: 0.4 * 5 / hosts}
				}
				return LimitShare{Share: 0.2 / hosts}
			}
			now += rapid.SampledFrom([]time.Duration{0, 0, 2 * time.Second}).Draw(t, "idle")
			for end := now + rapid.SampledFrom([]time.Duration{step, 200 * time.Millisecond, 2 * time.Second}).Draw(t, "duration"); now < end; now += step {
				for i, h := range homes {
					h.SetLimitShare(share(i))
					h.RecordProbe(now, "t0", ProbeHealthy, &LoadReport{Slots: 1000, Pace: 1})
					for before := -1; before < len(sent); { // until the home sends no more
						before = len(sent)
						number++
						id := RequestID{Number: number}
						h.Submit(now, &Request{ID: id, Class: "c", Goal: now + time.Second, Deadline: now + 2*time.Second})
						h.CancelQueued(id)
						if len(sent) > before {
							h.RunEnded(now, RunEnd{ID: id, Target: "t0", Outcome: OutcomeAnswered, Duration: step, Load: &LoadReport{Running: 1, Slots: 1000, Pace: 1}})
						}
					}
				}
			}
		}
		if most := mostInSecond(sent); float64(most) > usualWarmUp(rate).Bound {
			t.Fatalf("the target got %d requests in one second, %.1f are allowed", most, usualWarmUp(rate).Bound)
		}
	})
}

// TestColdDomainUnderBurst replays a failure domain whose targets come back cold together while there are more requests than the others
// take. It guards against a crowd at the cold ones, against requests that wait for them, and against targets that stay unused or limited
// when they are warm.
func TestColdDomainUnderBurst(t *testing.T) {
	const coldTime, runTime, rate = 3 * time.Second, 50 * time.Millisecond, 2.7
	is := is.New(t)
	f := newTestHome(9, ampleBudget)
	f.home.SetWarmUp(usualWarmUp(rate))
	var changes []WarmUpChange
	f.home.config.OnWarmUp = func(c WarmUpChange) { changes = append(changes, c) }
	cold := []string{"t0", "t1", "t2"}
	var returned []Target
	for _, t := range f.home.targets {
		next := t.Target
		if slices.Contains(cold, t.Name) {
			next.Incarnation, next.WarmUpLeft = 2, coldTime
		}
		returned = append(returned, next)
	}
	began := f.now
	for _, name := range cold {
		f.home.config.RateLimits.RecordEntry(f.now, f.now-time.Second, ratelimit.Key{Target: name, Incarnation: 2}, coldTime)
	}
	f.home.SetTargets(f.now, returned)
	placed := map[string][]time.Duration{}
	endsAt := map[uint64]time.Duration{}
	for ; f.now-began < coldTime+2*time.Second; f.now += 10 * time.Millisecond {
		for number, end := range endsAt {
			if f.now >= end {
				f.endRun(number, OutcomeAnswered)
				delete(endsAt, number)
			}
		}
		for _, p := range f.home.DueProbes(f.now) {
			f.home.RecordProbe(f.now, p.Target, ProbeHealthy, &LoadReport{Slots: 3, Pace: 1})
		}
		for range 5 { // 500 a second, where the warm targets run 360
			number := f.submit(nil)
			if target := f.placedOn(number); target != "" {
				placed[target] = append(placed[target], f.now)
				endsAt[number] = f.now + runTime
			} else if r, refused := f.lastVerdict(number).(Refused); refused {
				is.True(r.Reason != ReasonTargetsCold) // others are warm
			} else {
				f.home.CancelQueued(RequestID{Number: number})
			}
		}
		f.home.Tick(f.now)
	}
	for _, name := range cold {
		during := slices.DeleteFunc(slices.Clone(placed[name]), func(at time.Duration) bool { return at-began >= coldTime })
		t.Logf("%s got %d requests in 3 s while cold, %d in one second, %d in the 2 s after that", name, len(during), mostInSecond(during), len(placed[name])-len(during))
		is.True(float64(mostInSecond(during)) <= rate+1)
		is.True(len(during) >= 4)
		is.True(len(placed[name])-len(during) > 40)
		is.True(slices.Contains(changes, WarmUpChange{name, coldTime}) && slices.Contains(changes, WarmUpChange{name, 0}))
	}
}

// TestAllTargetsCold guards against requests that wait for cold targets, and against callers that return all at once.
func TestAllTargetsCold(t *testing.T) {
	is := is.New(t)
	f := newTestHome(4, ampleBudget)
	f.home.SetWarmUp(usualWarmUp(2.7))
	for i := range 4 {
		f.chill(fmt.Sprintf("t%d", i), 3*time.Second)
	}
	f.now += 400 * time.Millisecond
	f.reportPace(1)
	var returns []time.Duration
	for range 20 {
		number := f.submit(nil)
		if f.placedOn(number) != "" {
			continue
		}
		r, refused := f.lastVerdict(number).(Refused)
		is.True(refused)
		is.Equal(len(f.verdicts[number]), 1) // it has not waited
		is.Equal(r.Reason, ReasonTargetsCold)
		is.True(r.RetryAfter >= minRetryDelay && r.RetryAfter <= maxColdReturn*3/2)
		returns = append(returns, r.RetryAfter)
	}
	is.True(len(returns) >= 16)
	is.True(slices.Max(returns)-slices.Min(returns) > 400*time.Millisecond) // the limits leave room for 10 a second
}

// TestColdTargetIsProbed guards against cold targets that get too few probes for anybody to learn that they are warm before their time, and
// against warm ones that become cold unnoticed because responses keep what is known of their load fresh.
func TestColdTargetIsProbed(t *testing.T) {
	is := is.New(t)
	f := newTestHome(2, ampleBudget)
	f.home.SetWarmUp(usualWarmUp(2.7))
	f.chill("t0", time.Hour)
	probes := map[string]int{}
	runs := map[string]int{}
	const duration = 4 * time.Second
	for began := f.now; f.now-began < duration; f.now += 20 * time.Millisecond {
		number := f.submit(func(r *Request) { r.Probes = 1 })
		if target := f.placedOn(number); target != "" {
			runs[target]++
			f.endRun(number, OutcomeAnswered)
		}
		for _, p := range f.home.DueProbes(f.now) {
			probes[p.Target]++
			f.home.RecordProbe(f.now, p.Target, ProbeHealthy, &LoadReport{Slots: 3, Pace: 1})
		}
	}
	t.Logf("runs %v, probes %v in %v", runs, probes, duration)
	is.True(probes["t0"] >= int(duration/coldProbeInterval)-2)
	is.True(probes["t1"] >= runs["t1"]/(f.home.warmUp.unconfirmedRuns()+1)-1)
	is.True(probes["t1"] <= runs["t1"]/f.home.warmUp.unconfirmedRuns()+1)
	is.True(f.home.byName["t1"].unconfirmed <= f.home.warmUp.unconfirmedRuns()+1)
	f.home.config.RateLimits.RecordWarmUp(f.now, f.now, f.home.byName["t0"].limitKey(), 0)
	f.home.Dispatch(f.now)
	is.True(!f.home.byName["t0"].limiter.limited())
}

// TestLowerLimitHolds checks that the limit of a target is the lower one of that which it names and that of a cold target, that each ends by
// itself, and that a service without a limit for cold targets has none.
func TestLowerLimitHolds(t *testing.T) {
	is := is.New(t)
	f := newTestHome(1, ampleBudget)
	limit := func() float64 {
		f.home.Dispatch(f.now)
		return f.home.byName["t0"].limiter.perSecond
	}
	f.chill("t0", 3*time.Second)
	is.True(!f.home.byName["t0"].limiter.limited())
	f.home.SetWarmUp(usualWarmUp(2.7))
	is.Equal(limit(), 2.7)
	f.limitTarget("t0", 1)
	is.Equal(limit(), 1.0)
	f.limitTarget("t0", 5)
	is.Equal(limit(), 2.7)
	f.now += 3*time.Second - 1
	is.Equal(limit(), 2.7)
	f.now++
	is.Equal(limit(), 5.0)
	f.home.SetWarmUp(WarmUp{})
	f.chill("t0", 3*time.Second)
	is.Equal(limit(), 5.0)
}

// TestColdTargetGetsNoHedges checks that the second run of a slow request does not go to a cold target.
func TestColdTargetGetsNoHedges(t *testing.T) {
	is := is.New(t)
	f := newTestHome(2, ampleBudget)
	f.home.SetWarmUp(usualWarmUp(2.7))
	number := f.submit(func(r *Request) { r.Repeatable = true })
	for _, other := range f.home.targets {
		if other.Name != f.placedOn(number) {
			f.chill(other.Name, time.Hour)
		}
	}
	for range 100 {
		f.now += 10 * time.Millisecond
		f.reportPace(1)
		f.home.Tick(f.now)
	}
	_, isHedge := f.lastVerdict(number).(Hedge)
	is.True(!isHedge)
}
