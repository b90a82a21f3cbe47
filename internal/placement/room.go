package placement

import (
	"math"
	"time"
)

// Parameters of the demand of work in time.
const (
	// demandDecayTime is the decay time of the measured demand. Bursts last a few seconds.
	demandDecayTime = 500 * time.Millisecond
	// slowDemandDecayTime is that of the demand by which late requests are refused. Below full load, neighbors and chance fill all slots
	// for some hundred ms.
	slowDemandDecayTime = 2 * time.Second
	// maxPriorities is the number of priorities whose demand is measured separately.
	maxPriorities = 32
	// demandGain is the weight of one request in the moving averages of demandMeter.
	demandGain = 0.02
	// minLateShare is the share of the slots that late work is expected to get at least below full load, where the estimate is too
	// coarse to say that there are none.
	minLateShare = 0.1
	// overloadFrom is the lasting demand in relation to the usable slots above which late work gets none.
	overloadFrom = 1.15
	// surgeFrom is the demand in relation to the usable slots that is overload even if it has just begun.
	surgeFrom = 1.5
	// lastChanceRatio is the time that a late request has left, in relation to its run, from which it need not wait for room below
	// full load.
	lastChanceRatio = 2.0
	// roomMargin is the number of standard deviations of the number of runs in time by which late work stays below the slots that
	// these leave on average.
	roomMargin = 1.0
)

// demandMeter measures how many slots the work in time needs. Requests and their work count when they are submitted, served or
// not, so that under overload the demand exceeds the slots.
type demandMeter struct {
	// classes holds the demand of each priority.
	classes []priorityDemand
	// slowdown is the moving average of the expected slowdown of runs in time, and pace that without the effect of nearly full
	// targets. Tolerance is that of the slowdown with which a request that is new meets its goal. They are 0 before the first.
	slowdown, pace, tolerance float64
}

// priorityDemand is the demand of one priority.
type priorityDemand struct {
	account, rule int
	// work is the service time of the requests that arrive per unit of time, as of updatedAt. It is the number of slots that they
	// take on targets with a pace of 1. slowWork is the same over slowDemandDecayTime.
	work, slowWork float64
	updatedAt      time.Duration
}

func (d *priorityDemand) at(now time.Duration) (work, slowWork float64) {
	return d.work * decay(now-d.updatedAt, demandDecayTime), d.slowWork * decay(now-d.updatedAt, slowDemandDecayTime)
}

// addRequest counts a request in time.
func (m *demandMeter) addRequest(now time.Duration, r *Request, serviceTime time.Duration) {
	d := m.find(r)
	work, slowWork := d.at(now)
	d.work, d.slowWork, d.updatedAt = work+serviceTime.Seconds()/demandDecayTime.Seconds(), slowWork+serviceTime.Seconds()/slowDemandDecayTime.Seconds(), now
	m.tolerance = average(m.tolerance, float64(r.goalLength())/(goalMargin*float64(max(time.Microsecond, serviceTime))))
}

// find returns the demand of the priority of a request. Beyond maxPriorities, priorities share one.
func (m *demandMeter) find(r *Request) *priorityDemand {
	for i := range m.classes {
		if d := &m.classes[i]; d.account == r.AccountPriority && d.rule == r.Priority {
			return d
		}
	}
	if len(m.classes) == maxPriorities {
		return &m.classes[maxPriorities-1]
	}
	m.classes = append(m.classes, priorityDemand{account: r.AccountPriority, rule: r.Priority})
	return &m.classes[len(m.classes)-1]
}

// addRun counts a run in time.
func (m *demandMeter) addRun(slowdown, pace float64) {
	m.slowdown, m.pace = average(m.slowdown, slowdown), average(m.pace, pace)
}

// slots returns the number of slots that the work in time needs on targets that are not nearly full: over a short time, and the lower of this and what it needs over a
// longer time.
func (m *demandMeter) slots(now time.Duration) (short, lower float64) {
	slow := 0.0
	for i := range m.classes {
		work, slowWork := m.classes[i].at(now)
		short += work
		slow += slowWork
	}
	factor := max(1, m.pace)
	return short * factor, min(short, slow) * factor
}

// workBefore returns the work per unit of time of requests of higher priority than the given one.
func (m *demandMeter) workBefore(now time.Duration, r *Request) float64 {
	sum := 0.0
	for i := range m.classes {
		d := &m.classes[i]
		if d.account < r.AccountPriority || d.account == r.AccountPriority && d.rule < r.Priority {
			work, _ := d.at(now)
			sum += work
		}
	}
	return sum
}

// timeAverage is a moving average over slowDemandDecayTime of a value that changes at any time.
type timeAverage struct {
	value     float64
	updatedAt time.Duration
	started   bool
}

// update records that the value is the given one since the last call, and returns the average.
func (a *timeAverage) update(now time.Duration, value float64) float64 {
	if !a.started {
		a.value, a.started = value, true
	}
	a.value += (value - a.value) * (1 - decay(now-a.updatedAt, slowDemandDecayTime))
	a.updatedAt = now
	return a.value
}

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
	// slots is the number of slots of available targets, and quick that of those which are quick enough for work in time. Usable are
	// those of the latter that a target may use without becoming nearly full, and lastingUsable is what has been usable for longer.
	slots, quick, usable, lastingUsable float64
	// busy is the number of slots that runs take, of which late ones take late.
	busy, late float64
	// needed is the number of slots that work in time needs, and lasting the number that it needs for longer.
	needed, lasting float64
}

// forInTime returns the number of slots that must be left so that n of the usable ones are: a slot that late work takes may be on any
// target.
func (r room) forInTime(n, usable float64) float64 {
	if n == 0 {
		return 0
	}
	return n * r.slots / max(usable, r.slots/10)
}

// allowsLate reports whether one more run of late work may start: it must leave what work in time needs now and may need soon.
func (r room) allowsLate() bool {
	inTime := max(r.needed, r.busy-r.late)
	return r.late+1+r.forInTime(inTime+roomMargin*math.Sqrt(inTime), r.usable) <= r.slots
}

// overloaded reports whether work in time needs more than the usable slots for longer, or far more of them now.
func (r room) overloaded() bool {
	return r.lasting > overloadFrom*r.lastingUsable || r.needed > surgeFrom*r.lastingUsable
}

// lateSlots returns the number of slots that late work gets on average.
func (r room) lateSlots() float64 {
	if r.overloaded() {
		return 0
	}
	return max(minLateShare*r.slots, r.slots-r.forInTime(r.lasting, r.lastingUsable))
}

// free returns the number of free slots.
func (r room) free() int { return int(max(0, r.slots-r.busy)) }

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
		h.demand.addRequest(now, r, h.serviceTime(r))
	}
}

// recordStart counts a run that starts.
func (h *Home) recordStart(now time.Duration, started *run) {
	if !h.config.AgeOrder {
		return
	}
	started.late = h.lateRank(now, started.request) == 1
	if !started.late {
		pace := started.slowdown
		if started.nearlyFull {
			pace /= h.nearlyFullSlowdown
		}
		h.demand.addRun(started.slowdown, pace)
		h.drain.recordPlaced(now, h.serviceTime(started.request))
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
	r := &room{late: float64(h.lateRuns)}
	r.needed, r.lasting = h.demand.slots(now)
	for _, t := range h.targets {
		if !t.available(now) {
			continue
		}
		slots, load := float64(t.openSlots(now)), float64(t.load(now))
		r.slots += slots
		r.busy += min(slots, load)
		if factor, _ := t.slowdown(now, h.averagePace, 1); factor <= h.demand.tolerance {
			r.quick += slots
			r.usable += min(slots, max(1, math.Floor(nearlyFullShare*slots)))
		}
	}
	if r.slots > 0 {
		r.lastingUsable = r.slots * h.usableShare.update(now, r.usable/r.slots)
	}
	return r
}
