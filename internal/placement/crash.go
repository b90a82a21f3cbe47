package placement

import (
	"strconv"
	"time"
)

// quarantined reports whether a request must not be sent to any more targets, because it has crashed several.
func (h *Home) quarantined(now time.Duration, r *Request) bool {
	_, found := h.config.Quarantine.Lookup(now, r.Fingerprint)
	return found
}

// refuseQuarantined refuses the queued requests that were put in quarantine since its last call.
func (h *Home) refuseQuarantined(now time.Duration) {
	version := h.config.Quarantine.Version()
	if version == h.quarantineVersion {
		return
	}
	h.quarantineVersion = version
	remaining := h.queue[:0]
	for _, r := range h.queue {
		if h.quarantined(now, r) {
			h.refuse(now, r, ReasonQuarantined)
			continue
		}
		remaining = append(remaining, r)
	}
	clear(h.queue[len(remaining):])
	h.queue = remaining
}

// awaitsOtherRun reports whether a request must wait until another run of the same request has ended: one that may have
// crashed a target runs on one target at a time.
func (h *Home) awaitsOtherRun(now time.Duration, r *Request) bool {
	return h.running[r.Fingerprint] > 0 && h.config.Quarantine.Suspected(now, r.Fingerprint)
}

// maxUnanswered limits the number of unanswered runs that are kept for a target.
const maxUnanswered = 16

// recordResponse records that the target responds, so that it has not crashed.
func (t *targetState) recordResponse(now time.Duration) {
	t.respondedAt = now
	t.unanswered = nil
}

// recordDown marks a target as down because it does not respond, and the runs that it has left unanswered as the possible
// causes.
func (h *Home) recordDown(now time.Duration, t *targetState) {
	t.probe.down = true
	h.recordLost(now, t)
}

// recordLost records that a target has ended or does not respond any more.
func (h *Home) recordLost(now time.Duration, t *targetState) {
	for _, ended := range t.unanswered {
		h.recordCrash(now, ended)
	}
	t.unanswered = nil
}

// recordUnanswered records that a run has ended without a response. If its target does not respond to probes either, it may
// have crashed because of the run; otherwise that shows with the next probe.
func (h *Home) recordUnanswered(now time.Duration, ended *run) {
	t := ended.target
	switch {
	case ended.request.answered:
	case t.probe.down && t.respondedAt <= ended.startedAt:
		h.recordCrash(now, ended)
	case len(t.unanswered) < maxUnanswered:
		t.unanswered = append(t.unanswered, ended)
	}
}

// recordCrash records that the target of a run may have crashed because of it.
func (h *Home) recordCrash(now time.Duration, ended *run) {
	fingerprint, t := ended.fingerprint, ended.target
	if fingerprint == 0 {
		return
	}
	// A target that has crashed may return under its old name.
	incarnation := t.Name + " " + strconv.FormatInt(t.Incarnation, 10)
	if h.config.Quarantine.RecordBreak(now, ended.startedAt, fingerprint, incarnation) && h.config.OnQuarantine != nil {
		h.config.OnQuarantine(fingerprint, t.Name)
	}
}
