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

// awaitsOtherRun reports whether a request must wait until another run of the same request has ended: one that may have
// crashed a target runs on one target at a time.
func (h *Home) awaitsOtherRun(now time.Duration, r *Request) bool {
	return h.running[r.Fingerprint] > 0 && h.config.Quarantine.Suspected(now, r.Fingerprint)
}

// recordCrash records that the target of a run may have crashed because of it.
func (h *Home) recordCrash(now time.Duration, ended *run) {
	fingerprint, t := ended.request.Fingerprint, ended.target
	if fingerprint == 0 {
		return
	}
	// A target that has crashed may return under its old name.
	incarnation := t.Name + " " + strconv.FormatInt(t.Incarnation, 10)
	if h.config.Quarantine.RecordBreak(now, ended.startedAt, fingerprint, incarnation) && h.config.OnQuarantine != nil {
		h.config.OnQuarantine(fingerprint, t.Name)
	}
}
