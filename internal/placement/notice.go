package placement

import (
	"math"
	"time"

	"briarcroft/internal/notice"
)

// pauseRampTime is the time after a target's pause over which its slots come into use again one after the other. The requests
// that wait then would otherwise all be sent there at once.
const pauseRampTime = time.Second

// blockedPause is how long a target is not used after a host did not send it a request because it is evacuated. By then this home
// has usually learned the same.
const blockedPause = 250 * time.Millisecond

// TargetNotice reports what a target has said for the first time: that it leaves, or that it wants no requests for a time.
type TargetNotice struct {
	Target string
	notice.Notice
}

func (t *targetState) noticeKey() notice.Key {
	return notice.Key{Target: t.Name, Incarnation: t.Incarnation}
}

// recordNotice records what a target says in a response.
func (h *Home) recordNotice(now time.Duration, t *targetState, n notice.Notice) {
	if h.config.Notices.Record(now, t.noticeKey(), n) && h.config.OnNotice != nil {
		h.config.OnNotice(TargetNotice{t.Name, n})
	}
	h.applyNotices()
}

// applyNotices takes over what targets have said to this host or others if any of it has changed.
func (h *Home) applyNotices() {
	version := h.config.Notices.Version()
	if version == h.noticesVersion {
		return
	}
	h.noticesVersion = version
	for _, t := range h.targets {
		t.said = h.config.Notices.State(t.noticeKey())
	}
}

// openSlots returns how many slots of a target may be used: few at first after a pause or an evacuation.
func (t *targetState) openSlots(now time.Duration) int {
	resumedAt := max(t.said.PausedUntil, t.EvacuatedUntil)
	since := now - resumedAt
	if resumedAt == 0 || since >= pauseRampTime {
		return t.Slots
	}
	return max(1, int(float64(t.Slots)*float64(since)/float64(pauseRampTime)))
}

// pauseLeft returns the time until the first target takes requests again, if all that could are pausing.
func (h *Home) pauseLeft(now time.Duration) (left time.Duration, pausing bool) {
	left = math.MaxInt64
	for _, t := range h.targets {
		if t.inService() && now < t.said.PausedUntil {
			left, pausing = min(left, t.said.PausedUntil-now), true
		}
	}
	return left, pausing
}

// noTargetsReason returns the reason for refusing a request while no target is available.
func (h *Home) noTargetsReason(now time.Duration) Reason {
	if _, pausing := h.pauseLeft(now); pausing {
		return ReasonTargetsPausing
	}
	if h.allEvacuated() {
		return ReasonTargetsEvacuated
	}
	return ReasonNoTargets
}

// allEvacuated reports whether there are targets that accept requests, and all of them are evacuated.
func (h *Home) allEvacuated() bool {
	any := false
	for _, t := range h.targets {
		if t.inService() {
			return false
		}
		any = any || t.acceptsRequests()
	}
	return any
}
