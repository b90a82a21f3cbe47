package placement

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"briarcroft/internal/notice"
	"briarcroft/internal/quarantine"
	"briarcroft/internal/quota"
)

// secondLoad is a replayed load on homes of one service, each with targets of its own. Every request is repeatable.
type secondLoad struct {
	limit SecondRunLimit
	// homes is the number of homes. Each request goes to the primary home, which changes each moveEvery, and to asked-1 more.
	homes, asked int
	moveEvery    time.Duration
	lasts        time.Duration
	perTick      int
	// takes draws how long a run on a target takes.
	takes func(random *rand.Rand, now time.Duration, target string) time.Duration
	// share replaces the share of a home, and before is called before each tick of a home; both inject faults.
	share  func(float64) float64
	before func(*Home)
	seed   uint64
}

type timedWork struct{ at, work time.Duration }

// secondResult holds when requests arrived, when second runs started and their work, and when runs ended and their server time.
type secondResult struct {
	arrivals      []time.Duration
	second, ended []timedWork
	counts        SecondRunCounts
	slowest       time.Duration
}

// replay runs the load. A run ends after its time or at the deadline of 1 s, and the other run of its request is canceled at once.
func (l secondLoad) replay() *secondResult {
	const targets, tick = 8, 10 * time.Millisecond
	random, result := rand.New(rand.NewPCG(l.seed, 1)), &secondResult{}
	type openRun struct {
		target            string
		started, end, due time.Duration
		second            int
	}
	homes, shares, open := make([]*testHome, l.homes), make([]SecondRunShare, l.homes), make([]map[uint64][]openRun, l.homes)
	oldest := make([]uint64, l.homes) // number of the oldest open request
	for i := range homes {
		homes[i], open[i] = newTestHome(targets, RetryBudget{Ratio: 1, Slack: 1000, Window: 10 * time.Second}), map[uint64][]openRun{}
	}
	began := homes[0].now
	for now := began; now < began+l.lasts; now += tick {
		primary := int((now-began)/l.moveEvery) % l.homes
		for range l.perTick {
			result.arrivals = append(result.arrivals, now)
			for k := range l.asked {
				i := (primary + k) % l.homes
				share := shares[i].Of(now, l.limit.Window, k == 0, l.homes, l.homes)
				if l.share != nil {
					share = l.share(share)
				}
				homes[i].now = now
				homes[i].home.SetSecondRuns(l.limit, share)
				homes[i].submit(func(r *Request) { r.Repeatable = true })
			}
		}
		for i, f := range homes {
			f.now = now
			if now%(50*time.Millisecond) == 0 {
				f.each(func(t *targetState) {
					f.home.RecordProbe(now, t.Name, ProbeHealthy, &LoadReport{Running: len(t.runs), Slots: 200, Pace: 1})
				})
			}
			if l.before != nil {
				l.before(f.home)
			}
			f.home.Tick(now)
			for _, number := range slices.Sorted(maps.Keys(f.verdicts)) {
				for _, v := range f.verdicts[number] {
					switch v := v.(type) {
					case Placed:
						open[i][number] = []openRun{{v.Target, now, now + l.takes(random, now, v.Target), now + time.Second, -1}}
					case Hedge:
						open[i][number] = append(open[i][number], openRun{v.Target, now, now + l.takes(random, now, v.Target), open[i][number][0].due, len(result.second)})
						result.second = append(result.second, timedWork{at: now})
					}
				}
			}
			clear(f.verdicts)
			for oldest[i] <= f.lastNumber && open[i][oldest[i]] == nil {
				oldest[i]++
			}
			for number := oldest[i]; number <= f.lastNumber; number++ {
				runs := open[i][number]
				ended := -1
				for k, run := range runs {
					if now >= min(run.end, run.due) {
						ended = k
					}
				}
				if ended < 0 {
					continue
				}
				delete(open[i], number)
				result.slowest = max(result.slowest, now-runs[0].started)
				for k := range runs {
					run := runs[(ended+k)%len(runs)]
					outcome := OutcomeCanceled
					if k == 0 && run.end <= run.due {
						outcome = OutcomeAnswered
					}
					f.home.RunEnded(now, RunEnd{ID: RequestID{Number: number}, Target: run.target, Outcome: outcome, Duration: now - run.started})
					result.ended = append(result.ended, timedWork{now, now - run.started})
					if run.second >= 0 {
						result.second[run.second].work = now - run.started
					}
				}
			}
		}
	}
	for _, f := range homes {
		counts, _ := f.home.TakeSecondRuns()
		result.counts.Started, result.counts.Won, result.counts.Lost = result.counts.Started+counts.Started, result.counts.Won+counts.Won, result.counts.Lost+counts.Lost
		for i, n := range counts.Refused {
			result.counts.Refused[i] += n
		}
	}
	return result
}

// violation describes a window in which the second runs of all homes exceed the limit; it is empty if there is none.
func (r *secondResult) violation(l SecondRunLimit) string {
	for i, first := range r.second {
		runs, work := 0.0, 0.0
		requests, time := 0, 0.0
		nextArrival, nextEnd := 0, 0
		for _, s := range r.second[i:] {
			runs++
			work += s.work.Seconds()
			for ; nextArrival < len(r.arrivals) && r.arrivals[nextArrival] <= s.at; nextArrival++ {
				if r.arrivals[nextArrival] > first.at-l.Window {
					requests++
				}
			}
			for ; nextEnd < len(r.ended) && r.ended[nextEnd].at <= s.at; nextEnd++ {
				if r.ended[nextEnd].at > first.at-l.Window {
					time += r.ended[nextEnd].work.Seconds()
				}
			}
			if runs > l.Runs/100*float64(requests)+1e-9 || work > l.Work/100*time+1e-9 {
				return fmt.Sprintf("%v to %v: %v second runs for %d requests, work %.3f s of %.3f s", first.at, s.at, runs, requests, work, time)
			}
		}
	}
	return ""
}

// uneven draws run times of which a tenth are long, on any target.
func uneven(random *rand.Rand, _ time.Duration, _ string) time.Duration {
	t := time.Duration(60+random.IntN(60)) * time.Millisecond
	if random.IntN(10) == 0 {
		return 8 * t
	}
	return t
}

func drawSecondLoad(random func(from, to int) int) secondLoad {
	l := secondLoad{
		limit: SecondRunLimit{Runs: float64(random(1, 20)), Work: float64(random(1, 20)), Window: time.Second},
		homes: random(1, 4), moveEvery: time.Duration(random(500, 4000)) * time.Millisecond, lasts: 3 * time.Second, perTick: random(1, 3), takes: uneven, seed: uint64(random(0, 1000)),
	}
	l.asked = random(1, l.homes)
	if random(0, 1) == 0 {
		l.limit.Work = math.Inf(1)
	}
	return l
}

// TestSecondRunLimitHolds guards against second runs beyond the limit in any window, over all homes: with loads and limits of all
// sizes, primary homes that change, and requests that several homes count.
func TestSecondRunLimitHolds(t *testing.T) {
	started := 0
	rapid.Check(t, func(t *rapid.T) {
		l := drawSecondLoad(func(from, to int) int { return rapid.IntRange(from, to).Draw(t, "number") })
		result := l.replay()
		started += len(result.second)
		if v := result.violation(l.limit); v != "" {
			t.Fatal(v)
		}
	})
	if started < 1000 {
		t.Fatalf("only %d second runs", started)
	}
}

// TestSecondRunLimitIsChecked guards against a test of the limit that finds no violation: faults in the shares and in the counting
// must be found.
func TestSecondRunLimitIsChecked(t *testing.T) {
	for _, c := range []struct {
		fault  string
		inject func(*secondLoad)
	}{
		{"every home has the whole limit", func(l *secondLoad) { l.homes, l.asked, l.share = 5, 5, func(float64) float64 { return 1 } }},
		{"second runs are forgotten", func(l *secondLoad) {
			l.before = func(h *Home) {
				if h.second != nil {
					for i := range h.second.window.buckets {
						h.second.window.buckets[i].runs = 0
					}
				}
			}
		}},
		{"work is forgotten", func(l *secondLoad) {
			l.limit.Runs, l.limit.Work = 100, 5
			l.before = func(h *Home) {
				if h.second != nil {
					for i := range h.second.window.buckets {
						h.second.window.buckets[i].work = 0
					}
				}
			}
		}},
	} {
		found := false
		for seed := uint64(0); seed < 20 && !found; seed++ {
			random := rand.New(rand.NewPCG(seed, 2))
			l := drawSecondLoad(func(from, to int) int { return from + random.IntN(to-from+1) })
			c.inject(&l)
			found = l.replay().violation(l.limit) != ""
		}
		if !found {
			t.Errorf("not found: %s", c.fault)
		}
	}
}

// TestSecondRunDecision replays loads on one home. It guards against second runs that help nobody, and against none where a target
// has become slow or mute without saying so.
func TestSecondRunDecision(t *testing.T) {
	usual := func(random *rand.Rand) time.Duration {
		return time.Duration(90 * math.Exp(0.3*random.NormFloat64()) * float64(time.Millisecond))
	}
	for _, c := range []struct {
		load  string
		takes func(random *rand.Rand, now time.Duration, target string) time.Duration
		check func(*is.I, *secondResult)
	}{
		{"one target turns slow", func(random *rand.Rand, now time.Duration, target string) time.Duration {
			if target == "t1" && now > time.Minute+3*time.Second {
				return 6 * usual(random)
			}
			return usual(random)
		}, func(is *is.I, r *secondResult) {
			is.True(r.counts.Started >= 5)
			is.True(r.counts.Won > r.counts.Lost)
		}},
		{"one target turns mute", func(random *rand.Rand, now time.Duration, target string) time.Duration {
			if target == "t1" && now > time.Minute+3*time.Second {
				return time.Hour
			}
			return usual(random)
		}, func(is *is.I, r *secondResult) {
			is.True(r.counts.Started >= 5)
			is.True(r.slowest < time.Second) // no request waits until its deadline
		}},
		{"noise of which nothing is gained", func(random *rand.Rand, _ time.Duration, _ string) time.Duration { return usual(random) },
			func(is *is.I, r *secondResult) {
				is.True(r.counts.Started*100 < 3*int64(len(r.arrivals))) // 5 in 100 without learning
			}},
		{"all targets turn slow", func(random *rand.Rand, now time.Duration, _ string) time.Duration {
			if now > time.Minute+3*time.Second {
				return 5 * usual(random)
			}
			return usual(random)
		}, func(is *is.I, r *secondResult) {
			is.True(r.counts.Refused[RefusedLearned] > 0) // first runs win, which is learned from
			is.True(r.counts.Started*20 < int64(len(r.arrivals)))
		}},
	} {
		t.Run(c.load, func(t *testing.T) {
			l := secondLoad{limit: SecondRunLimit{Runs: 10, Work: math.Inf(1), Window: time.Second}, homes: 1, asked: 1, moveEvery: time.Hour, lasts: 20 * time.Second, perTick: 1, takes: c.takes}
			r := l.replay()
			t.Logf("%+v of %d, slowest %v", r.counts, len(r.arrivals), r.slowest)
			c.check(is.New(t), r)
		})
	}
}

// TestSecondRunRefusals guards against second runs where none may be started, one row for each reason.
func TestSecondRunRefusals(t *testing.T) {
	for _, c := range []struct {
		reason SecondRunRefusal
		name   string
		change func(f *testHome, number uint64)
	}{
		{SecondRunAllowed, "nothing in the way", func(*testHome, uint64) {}},
		{RefusedRunLimit, "runs 0", func(f *testHome, _ uint64) { f.home.second.window.limit.Runs = 0 }},
		{RefusedWorkLimit, "work 0", func(f *testHome, _ uint64) { f.home.second.window.limit.Work = 0 }},
		{RefusedRetryBudget, "retry budget", func(f *testHome, _ uint64) { f.home.config.Budget.Slack, f.home.config.Budget.Ratio = hedgeReserve, 0 }},
		{RefusedNotRepeatable, "not repeatable", func(f *testHome, number uint64) { f.home.requests[RequestID{Number: number}].Repeatable = false }},
		{RefusedSuspected, "suspected", func(f *testHome, number uint64) {
			f.home.requests[RequestID{Number: number}].Fingerprint = 7
			for i := range crashesToQuarantine - 1 {
				f.home.config.Quarantine.RecordBreak(f.now, quarantine.Break{Target: fmt.Sprint("x", i), Started: f.now, Ended: f.now, Fingerprints: []uint64{7}})
			}
		}},
		{RefusedNoTarget, "nearly full", func(f *testHome, _ uint64) { f.report(LoadReport{Running: 2, Slots: 3, Pace: 1}) }},
		{RefusedNoTarget, "cold", func(f *testHome, _ uint64) { f.each(func(t *targetState) { t.warmUpUntil = f.now + time.Second }) }},
		{RefusedNoTarget, "limited", func(f *testHome, _ uint64) {
			for i := range 4 {
				f.limitTarget(fmt.Sprint("t", i), 100)
			}
		}},
		{RefusedNoTarget, "pausing", func(f *testHome, _ uint64) {
			f.each(func(t *targetState) { f.home.recordNotice(f.now, t, notice.Notice{Pause: time.Second}) })
		}},
		{RefusedNoTarget, "doubtful", func(f *testHome, _ uint64) {
			f.each(func(t *targetState) { t.probe.unhealthy, t.failedAt = true, f.now })
		}},
		{RefusedAllowance, "no token", func(f *testHome, number uint64) {
			f.limitAccounts(map[string]quota.Limit{"a": {Rate: 10, Burst: 10}})
			f.home.requests[RequestID{Number: number}].Account = "a"
		}},
		{RefusedQueue, "queue", func(f *testHome, _ uint64) {
			f.report(LoadReport{Running: 3, Slots: 3, Pace: 1})
			f.submit(nil)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newTestHome(4, ampleBudget)
			f.home.SetSecondRuns(SecondRunLimit{Runs: 100, Work: 100, Window: 10 * time.Second}, 1)
			for range 40 {
				number := f.submit(nil)
				f.now += 90 * time.Millisecond
				f.endRun(number, OutcomeAnswered)
			}
			f.reportPace(1)
			number := f.submit(func(r *Request) { r.Repeatable = true })
			f.now += 250 * time.Millisecond
			f.reportPace(1)
			c.change(f, number)
			f.home.startHedges(f.now)
			_, hedged := f.lastVerdict(number).(Hedge)
			is.Equal(hedged, c.reason == SecondRunAllowed)
			counts, _ := f.home.TakeSecondRuns()
			is.Equal(counts.Refused[c.reason] == 1, c.reason != SecondRunAllowed)
		})
	}
}

// TestUnsetSecondRunsKeepNoState guards against a limit that goes on to bind, or to cost memory, when operators have removed it.
func TestUnsetSecondRunsKeepNoState(t *testing.T) {
	is := is.New(t)
	f := newTestHome(1, ampleBudget)
	f.home.SetSecondRuns(SecondRunLimit{Runs: 0, Work: math.Inf(1), Window: time.Second}, 1)
	is.True(f.home.second != nil)
	f.home.SetSecondRuns(SecondRunLimit{Runs: math.Inf(1), Work: math.Inf(1), Window: time.Second}, 1)
	is.True(f.home.second == nil)
}

// report records the same load report of every target, and each calls a function with every target.
func (f *testHome) report(l LoadReport) {
	f.each(func(t *targetState) { f.home.RecordProbe(f.now, t.Name, ProbeHealthy, &l) })
}

func (f *testHome) each(call func(*targetState)) {
	for _, t := range f.home.targets {
		call(t)
	}
}
