package placement

import (
	"math"
	"time"
)

// Parameters of the demand of work in time.
const (
	// demandDecayTime is the decay time of the measured demand. Bursts last a few seconds.
	demandDecayTime = 500 * time.Millisecond
	// demandGain is the weight of one request in the moving averages of demandMeter.
	demandGain = 0.02
	// roomMargin is the number of standard deviations of the number of runs in time by which late work stays below the slots that
	// these leave on average.
	roomMargin = 1.0
)

// demandMeter measures how many slots the work in time needs. Requests and their work count when they are submitted, served or
// not, so that under overload the demand exceeds the slots.
type demandMeter struct {
	// work is the service time of the requests that arrive per unit of time, as of updatedAt. It is the number of slots that they
	// take on targets with a pace of 1.
	work      float64
	updatedAt time.Duration
	// slowdown is the moving average of the expected slowdown of runs in time, and tolerance that of the slowdown with which a
	// request that is new meets its goal. They are 0 before the first.
	slowdown, tolerance float64
}

// addRequest counts a request in time, with the time from the caller's first attempt to its goal.
func (m *demandMeter) addRequest(now, serviceTime, goalLength time.Duration) {
	m.work = m.workAt(now) + serviceTime.Seconds()/demandDecayTime.Seconds()
	m.updatedAt = now
	m.tolerance = average(m.tolerance, float64(goalLength)/(goalMargin*float64(max(time.Microsecond, serviceTime))))
}

// addRun counts a run in time.
func (m *demandMeter) addRun(slowdown float64) { m.slowdown = average(m.slowdown, slowdown) }

func (m *demandMeter) workAt(now time.Duration) float64 {
	return m.work * decay(now-m.updatedAt, demandDecayTime)
}

// slots returns the number of slots that the work in time needs on average.
func (m *demandMeter) slots(now time.Duration) float64 { return m.workAt(now) * max(1, m.slowdown) }

// average returns the new value of a moving average that is 0 before its first value.
func average(old, value float64) float64 {
	if old == 0 {
		return value
	}
	return old + (value-old)*demandGain
}

// room is the room that a service has for late work, in slots. It answers loads above capacity, whose late work would take the
// place of work in time, and loads below, at which late work must not be refused.
type room struct {
	// slots is the number of slots of available targets, and usable that of those which are quick enough for work in time.
	slots, usable float64
	// busy is the number of slots that runs take, of which late ones take late.
	busy, late float64
	// needed is the number of slots that work in time needs on average.
	needed float64
}

// forInTime returns the share of all slots that must be left so that n of the usable ones are: a slot that late work takes may be
// on any target.
func (r room) forInTime(n float64) float64 {
	if n == 0 {
		return 0
	}
	return n * r.slots / max(r.usable, r.slots/10)
}

// allowsLate reports whether one more run of late work may start: it must leave what work in time needs now and may need soon.
func (r room) allowsLate() bool {
	inTime := max(r.needed, r.busy-r.late)
	return r.late+1+r.forInTime(inTime+roomMargin*math.Sqrt(inTime)) <= r.slots
}

// lateSlots returns the number of slots that late work gets on average.
func (r room) lateSlots() float64 { return max(0, r.slots-r.forInTime(r.needed)) }

// turn returns the expected time until the turn of a late request with the given number of late requests before it, whose runs
// take runTime each.
func (r room) turn(ahead int, runTime time.Duration) time.Duration {
	if ahead == 0 && r.allowsLate() {
		return 0
	}
	slots := r.lateSlots()
	if slots < float64(ahead+1)*runTime.Seconds()/maxTurn.Seconds() {
		return maxTurn
	}
	return time.Duration(float64(ahead+1) / slots * float64(runTime))
}

// maxTurn is the longest time that is expected until a turn.
const maxTurn = time.Hour

// recordDemand counts a submitted request if it is in time.
func (h *Home) recordDemand(now time.Duration, r *Request) {
	if h.config.AgeOrder && len(r.Tried) == 0 && h.lateRank(now, r) == 0 {
		h.demand.addRequest(now, h.serviceTime(r), r.goalLength())
	}
}

// recordStart counts a run that starts.
func (h *Home) recordStart(now time.Duration, started *run) {
	if !h.config.AgeOrder {
		return
	}
	started.late = h.lateRank(now, started.request) == 1
	if !started.late {
		h.demand.addRun(started.slowdown)
		return
	}
	h.lateRuns++
	if h.room != nil {
		h.room.late++
		h.room.busy++
	}
}

// lateRunTime returns the expected duration of a run of a late request.
func (h *Home) lateRunTime(r *Request) time.Duration {
	return time.Duration(max(1, h.demand.slowdown) * float64(h.serviceTime(r)))
}

// currentRoom returns the room for late work, which is computed once in each Dispatch.
func (h *Home) currentRoom(now time.Duration) room {
	if h.room == nil {
		h.room = h.measureRoom(now)
	}
	return *h.room
}

func (h *Home) measureRoom(now time.Duration) *room {
	r := &room{late: float64(h.lateRuns), needed: h.demand.slots(now)}
	for _, t := range h.targets {
		if !t.available(now) {
			continue
		}
		slots, load := float64(t.openSlots(now)), float64(t.load(now))
		r.slots += slots
		r.busy += min(slots, load)
		if factor, _ := t.slowdown(now, h.averagePace, 1); factor <= h.demand.tolerance {
			r.usable += slots
		}
	}
	return r
}
