package admission_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"briarcroft/internal/admission"
	"briarcroft/internal/fixedseed"
	"briarcroft/internal/route"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestMain runs the tests with a fixed seed for the property tests.
func TestMain(m *testing.M) { os.Exit(fixedseed.Main(m)) }

// Requirements on the behavior under an overload of overloadSeconds: the minimum goodput as a share of the capacity, the
// time after the overload until latency is normal again, and the minimum share of high-class requests that are answered.
const (
	minGoodput           = 0.95
	recoveryTime         = 2 * time.Second
	minHighClassAnswered = 0.95
	overloadSeconds      = 60
)

// overloadRun is a simulation of an overload with requests of two classes, followed by normal load. The callers may
// retry refused requests.
type overloadRun struct {
	*simulation
	factor                    float64
	callersRetry              bool
	highOffered, highAnswered int
	answeredInOverload        int
	maxLatencyAfter           time.Duration
	overloadEnd, end          time.Duration
}

func runOverload(factor float64, retry bool) *overloadRun {
	o := &overloadRun{factor: factor, callersRetry: retry, overloadEnd: (2 + overloadSeconds) * time.Second, end: (2 + overloadSeconds + 8) * time.Second}
	c := scenario{targets: 8, slots: 4, meanWork: 10 * time.Millisecond, oneWayDelay: time.Millisecond, callerDelay: time.Millisecond, noise: true, deadline: 500 * time.Millisecond, seed: 5, length: o.end}
	o.simulation = newSimulation(c, newLateBinding(c, lateBindingConfig{homes: 1, overcommit: -1, reports: true}))
	o.onJobEnd = o.jobEnded
	o.after(0, o.generateOverload)
	for len(o.pending) > 0 && o.pending[0].at <= o.length {
		o.advance()
	}
	return o
}

// generateOverload offers a tenth of the capacity in the high class and the rest of the load in the low one.
func (o *overloadRun) generateOverload() {
	utilization := 0.6
	if o.now > warmUp && o.now < o.overloadEnd {
		utilization = o.factor
	}
	j := &job{}
	if o.random.Float64()*utilization < 0.1 {
		j.class = 1
	}
	o.offer(j)
	o.after(time.Duration(o.random.ExpFloat64()/(utilization*o.capacity())*float64(time.Second)), o.generateOverload)
}

// jobEnded counts the end of a job. If callers retry, a refused or late one is offered again after 50 to 150 ms, up to
// three times.
func (o *overloadRun) jobEnded(j *job, ok bool) {
	offeredInOverload := j.offeredAt > warmUp && j.offeredAt < o.overloadEnd
	if offeredInOverload && j.class == 1 && j.retries == 0 {
		o.highOffered++
		if ok {
			o.highAnswered++
		}
	}
	if ok && o.now > warmUp && o.now < o.overloadEnd {
		o.answeredInOverload++
	}
	if ok && o.now > o.overloadEnd+recoveryTime {
		o.maxLatencyAfter = max(o.maxLatencyAfter, o.now-j.offeredAt)
	}
	if !ok && o.callersRetry && j.retries < 3 {
		retry := &job{class: j.class, retries: j.retries + 1}
		o.after(time.Duration(50+o.random.IntN(100))*time.Millisecond, func() { o.offer(retry) })
	}
}

func TestOverloadBound(t *testing.T) {
	cases := []struct {
		factor float64
		retry  bool
	}{{2, false}, {2, true}, {5, false}, {5, true}}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%.0fx retry %t", c.factor, c.retry), func(t *testing.T) {
			t.Parallel()
			is := is.NewRelaxed(t)
			o := runOverload(c.factor, c.retry)
			goodput := float64(o.answeredInOverload) / (o.capacity() * overloadSeconds)
			high := float64(o.highAnswered) / float64(o.highOffered)
			t.Logf("%.0fx for %d s, callers that retry %t: goodput %.3f of capacity, high class answered %.4f, slowest response later than %v after the overload %v, refused %d",
				c.factor, overloadSeconds, c.retry, goodput, high, recoveryTime, o.maxLatencyAfter, o.refused)
			is.True(goodput >= minGoodput)
			is.True(high >= minHighClassAnswered)
			is.True(o.maxLatencyAfter < 200*time.Millisecond) // normal latency again
		})
	}
}

// TestControllerInvariants submits, finishes and cancels requests in random order at random times. The queue must stay
// within its limit, no target may exceed its slots by more than the overcommit, the router must count exactly the
// assigned requests as in flight, and ejection must leave at least one target.
func TestControllerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 8).Draw(t, "limit")
		targets := rapid.IntRange(1, 4).Draw(t, "targets")
		r := route.New(route.Config{Random: rand.New(rand.NewPCG(1, 1)), Overcommit: -1})
		var specs []route.Spec
		for i := range targets {
			specs = append(specs, route.Spec{Name: targetName(i), Slots: 2})
		}
		r.SetTargets(0, specs)
		c := admission.New(admission.Config{Router: r, QueueLimit: limit})
		var all []*admission.Request
		inFlight := map[*admission.Request]bool{}
		now := time.Duration(0)
		t.Repeat(map[string]func(*rapid.T){
			"enter": func(t *rapid.T) {
				request := &admission.Request{
					Class: admission.Class(rapid.IntRange(0, 2).Draw(t, "class")), Weight: rapid.IntRange(1, 4).Draw(t, "weight"),
					Deadline: now + time.Duration(rapid.IntRange(1, 500).Draw(t, "deadline"))*time.Millisecond,
				}
				all = append(all, request)
				c.Submit(now, request)
			},
			"end": func(t *rapid.T) {
				for request := range inFlight {
					assignment := request.Decision().(*admission.Assignment)
					outcome := route.Outcome(rapid.IntRange(0, 3).Draw(t, "outcome"))
					c.Finish(now, assignment, now-assignment.Start, outcome)
					delete(inFlight, request)
					request.ExcludedTarget = "ended"
					return
				}
			},
			"abandon": func(t *rapid.T) {
				if len(all) > 0 {
					c.Cancel(all[rapid.IntRange(0, len(all)-1).Draw(t, "request")])
				}
			},
			"tick": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 100).Draw(t, "pass")) * time.Millisecond
				c.Tick(now)
			},
			"": func(t *rapid.T) {
				if c.Queued() > limit {
					t.Fatalf("%d requests are queued, the limit is %d", c.Queued(), limit)
				}
				for _, request := range all {
					if _, assigned := request.Decision().(*admission.Assignment); assigned && request.ExcludedTarget != "ended" {
						inFlight[request] = true
					}
				}
				sum := 0
				for i := range r.Size() {
					inFlightOnTarget := r.InFlight(route.Index(i))
					if inFlightOnTarget > 2+2 {
						t.Fatalf("target %d has %d requests in flight, more than its 2 slots and an overcommit of 2", i, inFlightOnTarget)
					}
					sum += inFlightOnTarget
				}
				if sum != len(inFlight) {
					t.Fatalf("%d requests are assigned, but the router counts %d in flight", len(inFlight), sum)
				}
				if len(r.Eligible(nil)) == 0 {
					t.Fatal("no target is eligible: all were ejected")
				}
			},
		})
	})
}

// TestDecisionBound checks that admitting and finishing a request, picking a target and counting a request allocate
// nothing.
func TestDecisionBound(t *testing.T) {
	is := is.New(t)
	c, request := newDecisionFixture()
	is.Equal(testing.AllocsPerRun(1000, func() { admitAndFinish(c, request, 0) }), 0.0)
	r := c.Router()
	is.Equal(testing.AllocsPerRun(1000, func() { r.Pick(0, 0, route.NoTarget) }), 0.0)
	is.Equal(testing.AllocsPerRun(1000, func() {
		count := c.Counters.At(request.Class, request.Domain)
		count.Offered.Add(1)
		count.Weighted.Add(int64(request.Weight))
	}), 0.0)
}

// newDecisionFixture returns a controller with the targets of one service of the planned size, and a request to submit.
func newDecisionFixture() (*admission.Controller, *admission.Request) {
	r := route.New(route.Config{Random: rand.New(rand.NewPCG(1, 1)), Overcommit: -1})
	var specs []route.Spec
	for i := range 20 {
		specs = append(specs, route.Spec{Name: targetName(i), Slots: 4, RoundTrip: time.Millisecond})
	}
	r.SetTargets(0, specs)
	return admission.New(admission.Config{Router: r, QueueLimit: 256}), &admission.Request{Weight: 2, Deadline: time.Hour}
}

func admitAndFinish(c *admission.Controller, request *admission.Request, now time.Duration) {
	c.Submit(now, request)
	assignment := request.Decision().(*admission.Assignment)
	c.Finish(now+10*time.Millisecond, assignment, 10*time.Millisecond, route.Succeeded)
}

func BenchmarkDecision(b *testing.B) {
	c, request := newDecisionFixture()
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += time.Millisecond
		admitAndFinish(c, request, now)
	}
}

func BenchmarkPick(b *testing.B) {
	c, request := newDecisionFixture()
	admitAndFinish(c, request, 0)
	b.ReportAllocs()
	for b.Loop() {
		c.Router().Pick(time.Second, 0, route.NoTarget)
	}
}

func BenchmarkWeightedCount(b *testing.B) {
	c, request := newDecisionFixture()
	b.ReportAllocs()
	for b.Loop() {
		count := c.Counters.At(request.Class, request.Domain)
		count.Offered.Add(1)
		count.Weighted.Add(int64(request.Weight))
	}
}
