package placement

import "time"

const (
	// waitShare is the share of the time that a request has left to start in time which it may be expected to wait. Runs vary: if
	// requests waited until the last moment, a third of them would end late.
	waitShare = 0.1
	// drainTime is the time of waiting requests over which drainMeter averages, and drainPriorTime the weight of what targets
	// should do until it has measured.
	drainTime      = 500 * time.Millisecond
	drainPriorTime = 100 * time.Millisecond
	// acceptShare is the share of its time that a request without a promise may be expected to wait when it is accepted while the
	// demand is above what is usable.
	acceptShare = 0.3
)

// drainMeter measures how much work in time leaves the queue while there is some that waits for a slot. It answers overload: the
// number of slots says little then, because targets are slowed by neighbors and by their own load.
type drainMeter struct {
	// work is the service time of requests that were placed while others waited, in seconds, and busy the time in which requests
	// waited; both are decayed by busy time.
	work, busy float64
	blocked    bool
	since      time.Duration
}

// setBlocked records whether requests wait for a slot from now on.
func (m *drainMeter) setBlocked(now time.Duration, blocked bool) {
	m.advance(now)
	m.blocked = blocked
}

func (m *drainMeter) advance(now time.Duration) {
	if elapsed := now - m.since; m.blocked && elapsed > 0 {
		weight := decay(elapsed, drainTime)
		m.work *= weight
		m.busy = m.busy*weight + drainTime.Seconds()*(1-weight)
	}
	m.since = now
}

// recordPlaced records that a request in time was placed.
func (m *drainMeter) recordPlaced(now, serviceTime time.Duration) {
	m.advance(now)
	if m.blocked {
		m.work += serviceTime.Seconds()
	}
}

// rate returns the work that leaves the queue per unit of time; prior is what is assumed before there are measurements.
func (m *drainMeter) rate(prior float64) float64 {
	p := drainPriorTime.Seconds()
	return (prior*p + m.work) / (p + m.busy)
}

// admit decides whether a new request gets a promise: its turn among requests in time of the same or higher priority must come
// while there is enough time left to meet the goal. It answers overload, in which requests that wait for the last moment are late
// when they end, and those that have waited in vain have lost the time to go elsewhere. Requests that come back get no promise: they
// are served when there is room, which is when they were told to come, and callers that repeat at once gain nothing.
func (h *Home) admit(now time.Duration, r *Request) {
	if !h.config.AgeOrder || h.lateRank(now, r) == 1 {
		return
	}
	if r.Age > 0 && len(r.Tried) == 0 {
		return
	}
	slack := r.Goal - now - time.Duration(goalMargin*float64(h.serviceTime(r)))
	r.promised = h.promisedTurn(now, r) <= time.Duration(waitShare*float64(slack))
}

// promisedTurn returns the expected time until a request in time gets its turn if it gets a promise. Those before it are others with
// a promise, of the same or higher priority, and with several accounts those that their fair shares put before it.
func (h *Home) promisedTurn(now time.Duration, r *Request) time.Duration {
	ahead, fair := 0.0, h.setFairStarts(r)
	for _, other := range h.queue {
		if other != r && other.queued && h.ageRank(now, other) == rankPromised && comparePriority(other, r) <= 0 && (!fair || fairlyBefore(other, r)) {
			ahead += h.serviceTime(other).Seconds()
		}
	}
	if ahead == 0 {
		return 0
	}
	rate := h.drainRate(now) - h.demand.workBefore(now, r)
	if rate*maxTurn.Seconds() <= ahead {
		return maxTurn
	}
	return time.Duration(ahead / rate * float64(time.Second))
}

// drainRate returns the work in time that the service does per unit of time when requests wait.
func (h *Home) drainRate(now time.Duration) float64 {
	return h.drain.rate(h.currentRoom(now).quick / max(1, h.demand.slowdown))
}

// pickKey holds what tells apart the requests that are placed on different targets, beside the targets that they have tried.
type pickKey struct {
	class, domain string
	repeatable    bool
}

type pick struct {
	target   *targetState
	estimate runEstimate
}

// pickQueued is pickTarget for a queued request. With AgeOrder it looks at all targets only once for requests of one kind until a run
// starts, because under overload many requests wait while nothing is free.
func (h *Home) pickQueued(now time.Duration, r *Request) (*targetState, runEstimate) {
	if !h.config.AgeOrder || h.plan != nil || h.anyLimited || len(r.Tried) > 0 {
		return h.pickTarget(now, r, r.Tried)
	}
	key := pickKey{r.Class, r.Domain, r.Repeatable}
	p, found := h.picks[key]
	if !found {
		p.target, p.estimate = h.pickTarget(now, r, nil)
		if h.picks == nil {
			h.picks = map[pickKey]pick{}
		}
		h.picks[key] = p
	}
	return p.target, p.estimate
}

// turn returns the expected time until the turn of a new request.
func (h *Home) turn(now time.Duration, r *Request) time.Duration {
	if r.promised {
		return h.promisedTurn(now, r)
	}
	ahead := 0
	fair := h.setFairStarts(r)
	for _, other := range h.queue {
		if other != r && other.queued && h.ageRank(now, other) != rankPromised && (!fair || fairlyBefore(other, r)) {
			ahead++
		}
	}
	return h.currentRoom(now).turn(ahead, h.lateRunTime(r))
}
