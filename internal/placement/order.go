package placement

import (
	"cmp"
	"time"
)

const (
	// goalMargin is the safety factor on the expected duration of a run when it is compared with the goal.
	goalMargin = 1.15
	// lateFreeShare is the share of slots that late requests leave free for requests that can still meet their goal: a
	// late request is placed only while more than this share is free. With Config.AgeOrder, room decides instead.
	lateFreeShare = 0.7
	// slowRunRatio is the expected duration of a run in relation to that of other runs from which it does not start under overload.
	// Targets are slowed by neighbors for some hundred ms; a run that starts then keeps a slot for the time of several.
	slowRunRatio = 2.0
)

// cannotServe reports whether a new request must be refused, because no target is available or the request is not
// expected to end before its deadline, and returns the reason.
func (h *Home) cannotServe(now time.Duration, r *Request) (Reason, bool) {
	h.applyNotices()
	slots := h.availableSlots(now)
	if slots == 0 {
		return h.noTargetsReason(now), true
	}
	if now+h.queueWait(now, r)+h.serviceTime(r) > r.Deadline {
		return h.lateReason(now), true
	}
	return "", false
}

// queueWait estimates how long a new request will wait behind the queued requests that are placed before it.
func (h *Home) queueWait(now time.Duration, r *Request) time.Duration {
	if h.config.AgeOrder {
		room := h.currentRoom(now)
		// A slot that is free for a moment under overload is for the next new request, or callers that repeat at once would gain.
		if t, e := h.pickTarget(now, r, r.Tried); t != nil && h.shouldPlaceNow(now, r, e.expected) && (r.promised || r.Age == 0 || !room.overloaded()) {
			return 0
		}
		turn := h.turn(now, r)
		if !r.promised && r.Age == 0 && room.needed > room.lastingUsable {
			turn = time.Duration(float64(turn) / acceptShare)
		}
		return h.limitWait(now) + turn
	}
	ahead := 0
	fair := h.setFairStarts(r)
	for _, other := range h.queue {
		if other != r && queuedBefore(other, r) && (!fair || fairlyBefore(other, r)) {
			ahead++
		}
	}
	slots, serviceTime := 0.0, h.serviceTime(r)
	for _, t := range h.targets {
		if t.inService() && !t.probe.down {
			slots += h.capacity(t, serviceTime)
		}
	}
	wait := h.limitWait(now)
	if slots == 0 || ahead == 0 {
		return wait
	}
	return wait + time.Duration(float64(ahead)/slots*h.averagePace*float64(serviceTime))
}

// queuedBefore reports whether a queued request is placed before a new one in the worst case, which is that the new one becomes
// late.
func queuedBefore(other, r *Request) bool { return comparePriority(other, r) <= 0 }

// comparePriority orders requests by the priority of the account and then that of the rule.
func comparePriority(a, b *Request) int {
	return cmp.Or(cmp.Compare(a.AccountPriority, b.AccountPriority), cmp.Compare(a.Priority, b.Priority))
}

// compareQueued orders the queue by priority, and then puts requests that can still meet their goal before late ones. Within each
// group the latest goal comes first: under overload, the earliest goal first would serve every request at the last moment and make
// all of them late. With AgeOrder, compareByAge replaces it.
func (h *Home) compareQueued(now time.Duration, a, b *Request) int {
	if h.config.AgeOrder {
		return h.compareByAge(now, a, b)
	}
	return cmp.Or(
		comparePriority(a, b),
		cmp.Compare(h.lateRank(now, a), h.lateRank(now, b)),
		cmp.Compare(b.Goal, a.Goal),
	)
}

// compareByAge puts requests whose turn was promised in time first, then others in time, then late ones. Lateness goes before
// priority, because a late response is worth a tenth of one in time and priorities differ by less. Requests with a promise, and
// late ones, keep their order, so that what was expected at their admission holds; of the others the latest goal has the best
// chance.
func (h *Home) compareByAge(now time.Duration, a, b *Request) int {
	rank := h.ageRank(now, a)
	if c := cmp.Or(cmp.Compare(rank, h.ageRank(now, b)), comparePriority(a, b)); c != 0 {
		return c
	}
	if rank == rankInTime {
		return cmp.Compare(b.Goal, a.Goal)
	}
	return cmp.Compare(a.submittedAt, b.submittedAt)
}

// Ranks of queued requests with AgeOrder.
const (
	rankPromised = iota
	rankInTime
	rankLate
)

func (h *Home) ageRank(now time.Duration, r *Request) int {
	switch {
	case h.lateRank(now, r) == 1:
		return rankLate
	case r.promised:
		return rankPromised
	}
	return rankInTime
}

// lateRank returns 1 for a late request, which is not expected to meet its goal even on a target with a pace of 1, and
// 0 for any other.
func (h *Home) lateRank(now time.Duration, r *Request) int {
	if now+time.Duration(goalMargin*float64(h.serviceTime(r))) > r.Goal {
		return 1
	}
	return 0
}

// shouldPlaceNow reports whether to place a request on the best free target now, rather than keep it queued for a faster
// target or for requests that are not late.
func (h *Home) shouldPlaceNow(now time.Duration, r *Request, expected time.Duration) bool {
	if now+time.Duration(float64(expected)*goalMargin) <= r.Goal {
		return !h.config.AgeOrder || float64(expected) <= slowRunRatio*float64(h.lateRunTime(r)) || !h.currentRoom(now).overloaded()
	}
	if h.lateRank(now, r) == 0 {
		// A faster target may get a free slot in time to meet the goal.
		return false
	}
	if now+expected >= r.Deadline {
		return false
	}
	if h.config.AgeOrder {
		room := h.currentRoom(now)
		latest := time.Duration(lastChanceRatio * float64(h.lateRunTime(r)))
		lastChance := expected <= latest && r.Deadline-now <= latest
		return room.allowsLate() || lastChance && (r.accepted || !room.overloaded())
	}
	return h.freeSlotShare(now, h.serviceTime(r)) > lateFreeShare
}

// turnTooLate reports whether the turn of a queued request is expected too late for its deadline. The number of queued requests
// ahead of it is ahead, of which lateAhead are late.
func (h *Home) turnTooLate(now time.Duration, r *Request, ahead, lateAhead int) bool {
	serviceTime := h.serviceTime(r)
	if h.config.AgeOrder {
		if h.ageRank(now, r) == rankPromised {
			return now+serviceTime > r.Deadline
		}
		return now+h.limitWait(now)+h.currentRoom(now).turn(h.spareAhead, h.lateRunTime(r))+serviceTime > r.Deadline
	}
	wait := time.Duration(float64(ahead) / h.availableCapacity(now, serviceTime) * h.averagePace * float64(serviceTime))
	return now+h.limitWait(now)+wait+serviceTime > r.Deadline ||
		h.lateRank(now, r) == 1 && now+h.lateWait.estimate(now, lateAhead)+serviceTime > r.Deadline
}

// freeSlotShare returns the share of the slots of available targets that are free, where a rate limit counts as fewer slots.
func (h *Home) freeSlotShare(now, serviceTime time.Duration) float64 {
	slots, used := 0.0, 0.0
	for _, t := range h.targets {
		if t.available(now) {
			capacity := h.capacity(t, serviceTime)
			slots += capacity
			used += min(capacity, float64(t.load(now)))
		}
	}
	if slots == 0 {
		return 0
	}
	return 1 - used/slots
}
