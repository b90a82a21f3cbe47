package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"briarcroft/internal/notice"
	"briarcroft/internal/quarantine"
	"briarcroft/internal/ratelimit"

	"github.com/matryer/is"
)

// newPlannedHome returns a home with a plan of flows, with targets of three slots in the given failure domains, named after
// their domain and index. Class "large" is known to have responses of 110 KB and class "c" of 1 KB; both take 100 ms.
func newPlannedHome(domains ...string) *testHome {
	f := &testHome{verdicts: map[uint64][]Verdict{}, now: time.Minute}
	f.home = New(Config{
		Random: rand.New(rand.NewPCG(1, 1)), Budget: ampleBudget, Quarantine: quarantine.New(quarantine.Config{Targets: crashesToQuarantine}),
		RateLimits: ratelimit.New(), Notices: notice.New(), DomainPlan: true,
		OnVerdict: func(r *Request, v Verdict) { f.verdicts[r.ID.Number] = append(f.verdicts[r.ID.Number], v) },
	})
	var list []Target
	for i, domain := range domains {
		list = append(list, Target{Name: fmt.Sprintf("%s%d", domain, i), Address: "10.0.0.1:80", Domain: domain, Slots: 3})
	}
	f.home.SetTargets(f.now, list)
	f.reportPace(1)
	for class, bytes := range map[string]int{"large": 110 << 10, "c": 1 << 10} {
		f.home.recordResponseBytes(class, bytes)
		f.home.serviceTimes[class] = 0.1
	}
	return f
}

// submitLarge submits a request of class "large" of failure domain a with the given time until its goal.
func (f *testHome) submitLarge(goal time.Duration) uint64 {
	return f.submit(func(r *Request) {
		r.Class, r.Goal, r.Deadline = "large", f.now+goal, f.now+10*time.Second
	})
}

// TestLargeResponsesStay slows the only target in the failure domain of a request down: the request must stay there while its
// goal leaves time for that, and go to the other domain otherwise. Without the plan it always went.
func TestLargeResponsesStay(t *testing.T) {
	for _, test := range []struct {
		class  string
		goal   time.Duration
		target string
	}{
		{"large", 1500 * time.Millisecond, "a0"},
		{"large", 500 * time.Millisecond, "b1"},
		{"c", 1500 * time.Millisecond, "b1"},
	} {
		t.Run(fmt.Sprint(test.class, test.goal), func(t *testing.T) {
			is := is.New(t)
			f := newPlannedHome("a", "b")
			f.home.RecordProbe(f.now, "a0", ProbeHealthy, &LoadReport{Slots: 3, Pace: 4})
			number := f.submit(func(r *Request) { r.Class, r.Goal, r.Deadline = test.class, f.now+test.goal, f.now+10*time.Second })
			is.Equal(f.placedOn(number), test.target)
		})
	}
}

// TestSmallResponsesPreferTheirDomain submits requests with small responses to two equal targets: they must go to the one in
// their own failure domain until it is nearly full.
func TestSmallResponsesPreferTheirDomain(t *testing.T) {
	is := is.New(t)
	f := newPlannedHome("b", "a")
	for _, want := range []string{"a1", "a1", "b0"} {
		is.Equal(f.placedOn(f.submit(nil)), want)
	}
}

// TestWaitsForOwnDomain fills the only target in the failure domain of a request: the request must wait, take the first slot
// that becomes free there, and go to the other domain while its goal can still be met there.
func TestWaitsForOwnDomain(t *testing.T) {
	is := is.New(t)
	f := newPlannedHome("a", "b")
	for range 3 {
		is.Equal(f.placedOn(f.submitLarge(1500*time.Millisecond)), "a0")
	}
	first := f.submitLarge(1500 * time.Millisecond)
	is.Equal(f.lastVerdict(first), Queued{})
	f.endRun(1, OutcomeAnswered)
	is.Equal(f.placedOn(first), "a0")
	second := f.submitLarge(1500 * time.Millisecond)
	submitted := f.now
	for f.placedOn(second) == "" && f.now < submitted+1500*time.Millisecond {
		f.now += tickInterval
		f.home.Tick(f.now)
		f.home.RecordProbe(f.now, "b1", ProbeHealthy, &LoadReport{Slots: 3, Pace: 1})
	}
	is.Equal(f.placedOn(second), "b1")
	is.True(f.now-submitted <= time.Second)
}

// TestNoWaitForLostDomain ejects the only target in the failure domain of a request: the request must go to the other domain
// at once.
func TestNoWaitForLostDomain(t *testing.T) {
	is := is.New(t)
	f := newPlannedHome("a", "b", "b")
	f.home.RecordProbe(f.now, "a0", ProbeNoResponse, nil)
	is.True(f.placedOn(f.submitLarge(1500*time.Millisecond)) != "")
}

// TestRetryDoesNotWaitForOwnDomain sends a request again that the only target in its failure domain has refused: it must go to the
// other domain at once, as no other target comes in its own.
func TestRetryDoesNotWaitForOwnDomain(t *testing.T) {
	is := is.New(t)
	f := newPlannedHome("a", "b")
	retry := f.submit(func(r *Request) {
		r.Class, r.Goal, r.Deadline, r.Tried = "large", f.now+1500*time.Millisecond, f.now+10*time.Second, []string{"a0"}
	})
	is.Equal(f.placedOn(retry), "b1")
}

// TestNoWaitForLimitedDomain lets the only target in the failure domain of a request name a rate limit, as a cold one does: once
// the limit is used up, further requests must go to the other domain at once.
func TestNoWaitForLimitedDomain(t *testing.T) {
	is := is.New(t)
	f := newPlannedHome("a", "b")
	f.home.config.RateLimits.Record(f.now, f.home.byName["a0"].limitKey(), 1)
	f.now += planInterval
	f.reportPace(1)
	for range 2 {
		is.Equal(f.placedOn(f.submitLarge(1500*time.Millisecond)), "b1")
	}
}

// TestBusyServiceSparesTightGoals submits requests with large responses and little time until their goal: they must stay on a slower
// target of their failure domain only while the service is not busy. Under load each slower run made others late.
func TestBusyServiceSparesTightGoals(t *testing.T) {
	for _, test := range []struct {
		busy   bool
		target string
	}{{false, "a0"}, {true, "b1"}} {
		is := is.New(t)
		f := newPlannedHome("a", "b")
		f.home.RecordProbe(f.now, "a0", ProbeHealthy, &LoadReport{Slots: 3, Pace: 1.7})
		f.home.updatePlan(f.now)
		f.home.plan.busy = test.busy
		is.Equal(f.placedOn(f.submitLarge(400*time.Millisecond)), test.target)
	}
}

// TestServiceWithSmallResponsesHasNoPlan guards against the plan of flows in services whose responses are small: their requests must
// go to the faster target although it is in another failure domain.
func TestServiceWithSmallResponsesHasNoPlan(t *testing.T) {
	for _, test := range []struct {
		class, target string
	}{{"c", "b1"}, {"large", "a0"}} {
		t.Run(test.class, func(t *testing.T) {
			is := is.New(t)
			f := newPlannedHome("a", "b")
			f.home.config.DomainPlanBytes = 20 << 10
			submit := func() uint64 {
				return f.submit(func(r *Request) {
					r.Class, r.Goal, r.Deadline = test.class, f.now+1500*time.Millisecond, f.now+10*time.Second
				})
			}
			f.endRun(submit(), OutcomeAnswered)
			f.now += planInterval
			f.reportPace(1)
			f.home.RecordProbe(f.now, "a0", ProbeHealthy, &LoadReport{Slots: 3, Pace: 1.2})
			is.Equal(f.placedOn(submit()), test.target)
		})
	}
}

// TestRareLargeResponsesCount lets one response in 100 have 10 MB and the others 5 KB. The class must count as one with large
// responses all the time from the first such response on; a mean of the last 20 responses forgot it.
func TestRareLargeResponsesCount(t *testing.T) {
	f := newPlannedHome("a", "b")
	for i := range 2000 {
		bytes := 5 << 10
		if i%100 == 0 {
			bytes = 10 << 20
		}
		f.home.recordResponseBytes("mixed", bytes)
		if mean := f.home.responseBytes["mixed"]; mean < stayBytes {
			t.Fatalf("the mean is %.0f bytes after %d responses", mean, i+1)
		}
	}
}

// TestPlan computes plans for a demand that lasts: only what the targets of a failure domain cannot take must cross, and
// classes with the fewest bytes first.
func TestPlan(t *testing.T) {
	// Each class takes 100 ms, so that 10 requests a second keep one slot busy.
	bytes := map[string]float64{"large": 110 << 10, "small": 1 << 10}
	for _, test := range []struct {
		name     string
		demand   map[flowKey]int
		supplies map[string]domainSupply
		crossing map[flowKey]float64
	}{
		{
			"enough", map[flowKey]int{{"a", "large"}: 50, {"b", "large"}: 50},
			map[string]domainSupply{"a": {slots: 10, speed: 10}, "b": {slots: 6, speed: 6}}, map[flowKey]float64{{"a", "large"}: 0, {"b", "large"}: 0},
		},
		{
			"too few slots", map[flowKey]int{{"a", "large"}: 100, {"b", "large"}: 50},
			map[string]domainSupply{"a": {slots: 10, speed: 10}, "b": {slots: 20, speed: 20}}, map[flowKey]float64{{"a", "large"}: 0.1, {"b", "large"}: 0},
		},
		{
			"slow", map[flowKey]int{{"a", "large"}: 50, {"b", "large"}: 50},
			map[string]domainSupply{"a": {slots: 10, speed: 2.5}, "b": {slots: 20, speed: 20}}, map[flowKey]float64{{"a", "large"}: 0.55, {"b", "large"}: 0},
		},
		{
			"small first", map[flowKey]int{{"a", "large"}: 50, {"a", "small"}: 50},
			map[string]domainSupply{"a": {slots: 10, speed: 10}, "b": {slots: 20, speed: 20}}, map[flowKey]float64{{"a", "large"}: 0, {"a", "small"}: 0.2},
		},
		{
			"lost", map[flowKey]int{{"a", "large"}: 50, {"b", "large"}: 50},
			map[string]domainSupply{"b": {slots: 20, speed: 20}}, map[flowKey]float64{{"a", "large"}: 1, {"b", "large"}: 0},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newDomainPlan()
			crossed, arrived := map[flowKey]int{}, map[flowKey]int{}
			for now := time.Duration(0); now < 20*time.Second; now += planInterval {
				for k, perSecond := range test.demand {
					for range perSecond / 10 {
						if p.arrival(k) && now >= 10*time.Second {
							crossed[k]++
						}
						if now >= 10*time.Second {
							arrived[k]++
						}
					}
				}
				p.compute(now+planInterval, test.supplies, func(string) float64 { return 0.1 }, func(class string) float64 { return bytes[class] })
			}
			for k, want := range test.crossing {
				if got := float64(crossed[k]) / float64(arrived[k]); got < want-0.01 || got > want+0.01 {
					t.Errorf("%v: %.3f of the requests cross, not %.3f", k, got, want)
				}
			}
		})
	}
}
