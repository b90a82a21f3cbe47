package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Limits for the requests of a target that names a rate limit, from the requirements of the platform: in any limitWindow,
// limitFactor times what the rate limit allows, and limitSlack more.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// answer ends the run of a request with a response that names a rate limit.
func (f *testHome) answer(number uint64, perSecond float64) {
	f.home.RunEnded(f.now, RunEnd{
		ID: RequestID{Number: number}, Target: f.placedOn(number), Outcome: OutcomeAnswered, Duration: 90 * time.Millisecond,
		Load: &LoadReport{Running: 1, Slots: 3, Pace: 1}, RateLimit: &perSecond,
	})
}

// limitTarget makes a target name a rate limit in a response.
func (f *testHome) limitTarget(name string, perSecond float64) {
	f.home.recordRateLimit(f.now, f.home.byName[name], perSecond)
}

// mostInWindow returns the largest number of times within any limitWindow.
func mostInWindow(times []time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at-times[first] >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// sendSteadily submits requests at a steady rate, more than targets with a rate limit take. Each is answered 50 ms after it
// was placed, with the given rate limit. It returns when requests were placed on each target, and all verdicts that refused
// one.
func (f *testHome) sendSteadily(duration, interval time.Duration, perSecond float64) (placed map[string][]time.Duration, refused []Refused) {
	const runTime, step = 50 * time.Millisecond, 10 * time.Millisecond
	placed = map[string][]time.Duration{}
	placedAt := map[uint64]time.Duration{}
	var pending []uint64
	var submitted time.Duration
	for began := f.now; f.now-began < duration; f.now += step {
		if f.now-submitted >= interval {
			pending = append(pending, f.submit(nil))
			submitted = f.now
		}
		f.home.Tick(f.now)
		var remaining []uint64
		for _, number := range pending {
			at, started := placedAt[number]
			switch v := f.lastVerdict(number).(type) {
			case Refused:
				refused = append(refused, v)
				continue
			case Placed:
				if !started {
					placedAt[number] = f.now
					placed[v.Target] = append(placed[v.Target], f.now)
				} else if f.now-at >= runTime {
					f.answer(number, perSecond)
					continue
				}
			}
			remaining = append(remaining, number)
		}
		pending = remaining
	}
	return placed, refused
}

// TestHomeKeepsRateLimit sends far more requests than the only target takes: it gets nearly all of the home's share in its
// limit, and no more.
func TestHomeKeepsRateLimit(t *testing.T) {
	for _, perSecond := range []float64{0, 0.5, 1, 3.3, 20} {
		for _, share := range []float64{0.3, 1} {
			is := is.New(t)
			f := newTestHome(1, ampleBudget)
			f.home.SetLimitShare(LimitShare{Share: share, Majority: true})
			f.limitTarget("t0", perSecond)
			const duration = time.Minute
			placed, _ := f.sendSteadily(duration, 10*time.Millisecond, perSecond)
			times := placed["t0"]
			t.Logf("limit %.1f, share %.1f: %d requests in a minute, %d in 4 s", perSecond, share, len(times), mostInWindow(times))
			is.True(float64(mostInWindow(times)) <= limitFactor*perSecond*limitWindow.Seconds()+limitSlack)
			is.True(float64(len(times)) <= share*max(perSecond, 0.1)*duration.Seconds()+1)
			is.True(float64(len(times)) >= 0.8*share*perSecond*duration.Seconds()-1)
		}
	}
}

// TestHomesWithoutMajorityKeepRateLimit lets any number of homes that do not know of each other send a target as many
// requests as they may, after a time in which they sent none, and all at the same moments.
func TestHomesWithoutMajorityKeepRateLimit(t *testing.T) {
	for _, homes := range []int{1, 13, 106, 1000} {
		for _, perSecond := range []float64{0, 1, 3.3, 20} {
			is := is.New(t)
			random := rand.New(rand.NewPCG(uint64(homes), uint64(perSecond)))
			limiters := make([]rateLimiter, homes)
			for i := range limiters {
				limiters[i] = rateLimiter{perSecond: perSecond}
			}
			share := LimitShare{Share: 1 / float64(homes)}
			var sent []time.Duration
			const duration = 2 * time.Minute
			for now := 10 * time.Minute; now < 10*time.Minute+duration; now += 50 * time.Millisecond {
				for i := range limiters {
					for limiters[i].allows(now, share, random.Float64) {
						limiters[i].credit--
						sent = append(sent, now)
					}
				}
			}
			t.Logf("%d homes, limit %.1f: %d requests in two minutes, %d in 4 s", homes, perSecond, len(sent), mostInWindow(sent))
			is.True(float64(mostInWindow(sent)) <= limitFactor*perSecond*limitWindow.Seconds()+limitSlack)
			is.True(float64(len(sent)) >= 0.5*perSecond*duration.Seconds())
		}
	}
}

// TestRequestsBeyondRateLimitsAreRefusedAtOnce checks that a request is refused when it is submitted if the rate limits of all
// targets leave no room for it before its deadline, and that it is told when there will be.
func TestRequestsBeyondRateLimitsAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	f := newTestHome(2, ampleBudget)
	f.limitTarget("t0", 0.5)
	f.limitTarget("t1", 0.5)
	refusedAtOnce := 0
	for range 20 {
		if r, isRefused := f.lastVerdict(f.submit(nil)).(Refused); isRefused {
			refusedAtOnce++
			is.Equal(r.Reason, ReasonRateLimited)
			is.True(r.RetryAfter >= time.Second && r.RetryAfter < 10*time.Second) // one request a second fits
		}
		f.now += 10 * time.Millisecond
	}
	is.Equal(refusedAtOnce, 20)
	f.now += 2 * time.Second
	f.reportPace(1)
	is.True(f.placedOn(f.submit(nil)) != "")
	is.True(f.placedOn(f.submit(nil)) != "")
	_, isRefused := f.lastVerdict(f.submit(nil)).(Refused)
	is.True(isRefused)
}

// TestOtherTargetsTakeTheRest checks that the requests that a limited target does not take run on the others at once.
func TestOtherTargetsTakeTheRest(t *testing.T) {
	is := is.New(t)
	f := newTestHome(4, ampleBudget)
	f.limitTarget("t0", 1)
	placed, refused := f.sendSteadily(20*time.Second, 20*time.Millisecond, math.Inf(1))
	is.Equal(len(refused), 0)
	is.True(len(placed["t1"])+len(placed["t2"])+len(placed["t3"]) > 0)
}

// TestLimitedTargetIsAskedNowAndThen checks that a limited target gets a request from time to time although the others have
// room, so that the end of its limit is noticed, and that it is used like the others after that.
func TestLimitedTargetIsAskedNowAndThen(t *testing.T) {
	is := is.New(t)
	f := newTestHome(3, ampleBudget)
	f.limitTarget("t0", 3)
	placed, _ := f.sendSteadily(4*limitCheckInterval, 200*time.Millisecond, 3)
	is.True(len(placed["t0"]) >= 2)
	placed, _ = f.sendSteadily(4*limitCheckInterval, 20*time.Millisecond, math.Inf(1))
	is.True(!f.home.byName["t0"].limiter.limited())
	is.True(len(placed["t0"]) > 100)
}

// TestRestartEndsRateLimit checks that a target that has started again is not held to the limit of its former start, and
// that one whose entry was only written again is.
func TestRestartEndsRateLimit(t *testing.T) {
	is := is.New(t)
	f := newTestHome(1, ampleBudget)
	f.limitTarget("t0", 1)
	registered := Target{Name: "t0", Address: "10.0.0.1:80", Domain: "a", Slots: 3}
	f.home.SetTargets(f.now, []Target{registered})
	is.True(f.home.byName["t0"].limiter.limited())
	registered.Incarnation = 2
	f.home.SetTargets(f.now, []Target{registered})
	is.True(!f.home.byName["t0"].limiter.limited())
}

// TestLimitIsNotSlowness checks that a target is not ejected, nor counts as down or failing, because it names a limit.
func TestLimitIsNotSlowness(t *testing.T) {
	is := is.New(t)
	f := newTestHome(2, ampleBudget)
	f.limitTarget("t0", 1)
	f.sendSteadily(10*time.Second, 20*time.Millisecond, 1)
	limited := f.home.byName["t0"]
	is.True(limited.available(f.now))
	is.Equal(limited.failureRate, 0.0)
	is.Equal(limited.ejections, 0)
}

// TestLimitedTargetIsProbedSeldom checks that a target in need gets few health probes, even while requests wait.
func TestLimitedTargetIsProbedSeldom(t *testing.T) {
	is := is.New(t)
	f := newTestHome(1, ampleBudget)
	f.limitTarget("t0", 1)
	probes := 0
	const duration = 20 * time.Second
	for began := f.now; f.now-began < duration; f.now += 10 * time.Millisecond {
		f.submit(nil)
		f.home.Tick(f.now)
		for _, p := range f.home.DueProbes(f.now) {
			probes++
			f.home.RecordProbe(f.now, p.Target, ProbeHealthy, &LoadReport{Slots: 3, Pace: 1})
		}
	}
	t.Logf("%d probes in %v", probes, duration)
	is.True(float64(probes) <= limitedProbeRate*duration.Seconds()+1)
	is.True(probes > 0)
}

// TestLimitedTargetGetsNoHedges checks that the second run of a slow request goes to a target without a rate limit, or
// nowhere.
func TestLimitedTargetGetsNoHedges(t *testing.T) {
	for _, limited := range [][]string{{"t0"}, {"t0", "t1"}, {"t0", "t1", "t2"}} {
		is := is.New(t)
		f := newTestHome(3, ampleBudget)
		number := f.submit(func(r *Request) { r.Repeatable = true })
		first := f.placedOn(number)
		for _, name := range limited {
			f.limitTarget(name, 100)
		}
		f.now += 200 * time.Millisecond
		f.reportPace(1)
		f.home.Tick(f.now)
		hedge, isHedge := f.lastVerdict(number).(Hedge)
		isLimited := func(name string) bool { return slices.Contains(limited, name) }
		others := 0
		for _, t := range f.home.targets {
			if t.Name != first && !isLimited(t.Name) {
				others++
			}
		}
		is.Equal(isHedge, others > 0)
		is.True(!isHedge || !isLimited(hedge.Target))
	}
}
