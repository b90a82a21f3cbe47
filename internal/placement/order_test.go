package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// newAgeHome returns a home with AgeOrder. The service time of its class is 90 ms.
func newAgeHome(targets int) *testHome {
	f := newTestHome(targets, ampleBudget)
	f.home.config.AgeOrder = true
	f.home.serviceTimes["c"] = 0.09
	return f
}

// late makes a request come back 300 ms after its first attempt, which is 50 ms after its goal.
func late(r *Request) {
	r.Age, r.Goal, r.Deadline = 300*time.Millisecond, r.Goal-300*time.Millisecond, r.Deadline-300*time.Millisecond
}

// offer submits requests at equal distances for the given time and ends each run after 90 ms. It returns the numbers.
func (f *testHome) offer(perSecond int, duration time.Duration, change func(*Request)) []uint64 {
	var numbers []uint64
	for end := f.now + duration; f.now < end; {
		f.now += time.Second / time.Duration(perSecond)
		for _, t := range f.home.targets {
			for _, active := range append([]*run{}, t.runs...) {
				if f.now-active.startedAt >= 90*time.Millisecond {
					f.home.RunEnded(f.now, RunEnd{ID: active.request.ID, Target: t.Name, Outcome: OutcomeAnswered, Duration: 90 * time.Millisecond, Load: &LoadReport{Running: len(t.runs), Slots: 3, Pace: 1}})
				}
			}
		}
		f.reportPace(1)
		f.home.Tick(f.now)
		numbers = append(numbers, f.submit(change))
	}
	return numbers
}

// TestLateWorkGetsSpareCapacity guards against late requests that are refused while there is room, and against those that take
// the place of work in time.
func TestLateWorkGetsSpareCapacity(t *testing.T) {
	// Ten targets with 3 slots serve 222 requests a second without getting nearly full.
	for _, c := range []struct {
		name                   string
		inTime                 int
		wantAtOnce, wantPlaced bool
	}{
		{"idle", 0, true, true},
		{"a third", 70, true, true},
		{"three quarters", 165, false, true},
		{"nine tenths", 200, false, true},
		{"three times the capacity", 666, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newAgeHome(10)
			if c.inTime > 0 {
				f.offer(c.inTime, 2*time.Second, nil)
			}
			number := f.submit(late)
			t.Logf("%+v %+v", f.lastVerdict(number), *f.home.measureRoom(f.now))
			if c.wantAtOnce {
				is.True(f.placedOn(number) != "")
				return
			}
			_, refused := f.lastVerdict(number).(Refused)
			is.Equal(refused, !c.wantPlaced) // refused at once, without a wait
			f.offer(c.inTime, 600*time.Millisecond, nil)
			is.Equal(f.placedOn(number) != "", c.wantPlaced)
		})
	}
}

// TestLateUrgentWorkWaitsForWorkInTime guards against late requests of a higher priority that go before requests in time of a lower
// one, whose responses are worth more.
func TestLateUrgentWorkWaitsForWorkInTime(t *testing.T) {
	is := is.New(t)
	f := newAgeHome(1)
	running := []uint64{f.submit(nil), f.submit(nil), f.submit(nil)}
	urgent := f.submit(func(r *Request) { late(r); r.Priority = -1 })
	normal := f.submit(nil)
	f.endRun(running[0], OutcomeAnswered)
	is.True(f.placedOn(normal) != "")
	is.Equal(f.placedOn(urgent), "")
}

// TestMovedHomeServesLateWork guards against a home that has just been chosen and refuses late requests for want of statistics.
func TestMovedHomeServesLateWork(t *testing.T) {
	is := is.New(t)
	f := newTestHome(2, ampleBudget)
	f.home.config.AgeOrder = true
	is.True(f.placedOn(f.submit(late)) != "")
}

// TestSlowTargetsAreLeftUnderOverload guards against runs on targets that neighbors slow down at present: under overload each keeps a
// slot for the time of several others. Without overload the request is served there.
func TestSlowTargetsAreLeftUnderOverload(t *testing.T) {
	for _, overload := range []bool{false, true} {
		is := is.New(t)
		f := newAgeHome(10)
		patient := func(r *Request) { r.Goal, r.Deadline = f.now+2*time.Second, f.now+5*time.Second }
		f.offer(map[bool]int{false: 100, true: 1500}[overload], time.Second, patient)
		f.home.EndStream(f.now, 0) // all slots are free now
		for _, target := range f.home.targets {
			f.home.RecordProbe(f.now, target.Name, ProbeHealthy, &LoadReport{Slots: 3, Pace: 3})
		}
		is.Equal(f.home.measureRoom(f.now).overloaded(), overload)
		is.Equal(f.placedOn(f.submit(patient)) == "", overload)
	}
}
