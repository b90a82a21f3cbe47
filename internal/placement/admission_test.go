package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAdmission guards against promises that cannot be kept, as waits then use up the time to the goal, and against requests that
// are refused although there will be room.
func TestAdmission(t *testing.T) {
	// The home has one target with three slots, all of them in use for 90 ms.
	for _, c := range []struct {
		name           string
		queued         int
		queuedPriority int
		change         func(*Request)
		promised       bool
	}{
		{"first in the queue", 0, 1, nil, true},
		{"behind many", 20, 1, nil, false},
		{"urgent, others wait", 20, 1, func(r *Request) { r.Priority = 0 }, true},
		{"urgent account, others wait", 20, 1, func(r *Request) { r.AccountPriority, r.Priority = -1, 5 }, true},
		{"behind urgent ones", 20, 0, nil, false},
		{"behind many, with much time", 20, 1, func(r *Request) { r.Goal, r.Deadline = r.Goal+20*time.Second, r.Deadline+20*time.Second }, true},
		{"came back", 0, 1, func(r *Request) { r.Age = 50 * time.Millisecond }, false},
		{"after a failed run", 0, 1, func(r *Request) { r.Age, r.Tried = 50*time.Millisecond, []string{"other"} }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newAgeHome(1)
			for range 3 {
				f.submit(nil)
			}
			for range c.queued {
				f.submit(func(r *Request) { r.Priority = c.queuedPriority })
				f.home.queue[len(f.home.queue)-1].promised = true
			}
			r := &Request{ID: RequestID{Number: 1000}, Class: "c", Priority: 1, Goal: f.now + 250*time.Millisecond, Deadline: f.now + time.Second, Domain: "a"}
			if c.change != nil {
				c.change(r)
			}
			r.submittedAt = f.now
			f.home.admit(f.now, r)
			is.Equal(r.promised, c.promised)
		})
	}
}

// TestOverloadIsRefusedAtOnce guards against requests that wait under overload and are refused after that, and against targets that
// are not kept busy with work in time because of it. What waits was accepted in the first 150 ms of a surge.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	for _, c := range []struct {
		perSecond       int
		duration        time.Duration
		maxWaitedPerMil int
	}{{666, 4 * time.Second, 30}, {1110, 6 * time.Second, 10}} {
		is := is.New(t)
		f := newAgeHome(10)
		f.offer(222, time.Second, nil)
		atOnce, waited, placed := 0, 0, 0
		for _, number := range f.offer(c.perSecond, c.duration, nil) {
			verdicts := f.verdicts[number]
			switch v := verdicts[len(verdicts)-1].(type) {
			case Placed:
				placed++
			case Refused:
				is.True(v.Turn > 0)
				if len(verdicts) == 1 {
					atOnce++
				} else {
					waited++
				}
			}
		}
		t.Logf("%d a second: %d placed, %d refused at once, %d after a wait", c.perSecond, placed, atOnce, waited)
		is.True(float64(placed) > 0.95*333*c.duration.Seconds()) // 30 slots serve 333 a second
		is.True(waited*1000 <= c.maxWaitedPerMil*(waited+atOnce))
	}
}

// TestReturnsAreSpread guards against callers that are told to come back when there is no room, or all at the same time.
func TestReturnsAreSpread(t *testing.T) {
	is := is.New(t)
	var p returnPlanner
	// Room for ten requests of 100 ms of work a second.
	for i := range 20 {
		delay := p.book(time.Minute, 0, 0.1, 1, 0)
		is.Equal(delay, minReturnDelay+time.Duration(i+1)*100*time.Millisecond)
	}
	is.Equal(p.book(time.Minute, 3*time.Second, 0.1, 1, 0), 3100*time.Millisecond) // after the accepted work
	for range 100 {
		p.book(time.Minute, 0, 0.1, 1, 0)
	}
	for _, fraction := range []float64{0, 0.5, 1} {
		delay := p.book(time.Minute, 0, 0.1, 1, fraction)
		is.Equal(delay, time.Duration((0.5+0.5*fraction)*float64(maxReturnDelay)))
		is.Equal(p.book(time.Minute, 0, 0.1, 0, fraction), delay) // no room at all
	}
	is.Equal(p.book(2*time.Minute, 0, 0.1, 1, 0), minReturnDelay+100*time.Millisecond)
}

// TestDrainMeter guards against an estimate that forgets what targets should do before it has measured, or counts times in which
// nobody waits.
func TestDrainMeter(t *testing.T) {
	is := is.New(t)
	var m drainMeter
	is.Equal(m.rate(30), 30.0)
	now := time.Minute
	m.setBlocked(now, true)
	for range 200 {
		now += 10 * time.Millisecond
		m.recordPlaced(now, 100*time.Millisecond)
	}
	is.True(m.rate(30) > 9 && m.rate(30) < 15) // ten slots' worth of work
	before := m.rate(30)
	m.setBlocked(now, false)
	now += time.Hour
	m.setBlocked(now, true)
	is.Equal(m.rate(30), before)
}

// TestPriorityDemandIsBounded guards against memory that grows with the number of priorities.
func TestPriorityDemandIsBounded(t *testing.T) {
	is := is.New(t)
	var m demandMeter
	for i := range 10 * maxPriorities {
		m.addRequest(time.Minute, &Request{Priority: i, Goal: time.Minute + time.Second, submittedAt: time.Minute}, 100*time.Millisecond)
	}
	is.Equal(len(m.classes), maxPriorities)
	short, lower := m.slots(time.Minute)
	is.True(short > 63 && short < 65) // 32 s of work in a decay time of 0.5 s
	is.True(lower < short)
}
