package placement

import (
	"slices"
	"strconv"
	"time"

	"briarcroft/internal/quarantine"
)

// fallbackTrialDelay is how much longer a fallback home keeps requests in quarantine. Meanwhile the primary home tries one of
// them, and all hosts learn whether that has crashed a target.
const fallbackTrialDelay = 3 * time.Second

// SetPrimary sets whether this home is the service's primary home, which it is at first.
func (h *Home) SetPrimary(primary bool) { h.fallback = !primary }

// quarantined returns the quarantine of a request that must not be sent to any more targets, because it has crashed several.
func (h *Home) quarantined(now time.Duration, r *Request) (quarantine.Request, bool) {
	if h.fallback {
		now -= fallbackTrialDelay
	}
	return h.config.Quarantine.Lookup(now, r.fingerprints()...)
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
		if _, found := h.quarantined(now, r); found {
			h.refuse(now, r, ReasonQuarantined)
			continue
		}
		remaining = append(remaining, r)
	}
	clear(h.queue[len(remaining):])
	h.queue = remaining
}

// awaitsOtherRun reports whether a request must wait until another run of the same request, or of one with which it shares
// what may have crashed targets, has ended: such requests run on one target at a time. If the connection of a run of another
// request broke, its target must have responded since or be known as down.
func (h *Home) awaitsOtherRun(now time.Duration, r *Request) bool {
	for _, f := range h.config.Quarantine.Suspects(now, r.fingerprints()...) {
		if h.running[f] > 0 || f != r.Fingerprint && h.awaitsProbeAfterBreak(now, f) {
			return true
		}
	}
	return false
}

// awaitsProbeAfterBreak reports whether a run with the given fingerprint broke a connection a short time ago and its target has
// not responded since. It requests a probe of the target.
func (h *Home) awaitsProbeAfterBreak(now time.Duration, fingerprint uint64) bool {
	awaits := false
	for _, t := range h.targets {
		for _, b := range t.broken {
			if now-b.endedAt < maxFateWait && slices.Contains(b.fingerprints, fingerprint) {
				t.probe.awaited, h.awaitsProbes, awaits = true, true, true
			}
		}
	}
	return awaits
}

// maxUnanswered limits the number of unanswered runs, and of broken ones, that are kept for a target.
const maxUnanswered = 16

// breakGap is the time within which a target that ends breaks all its connections.
const breakGap = 50 * time.Millisecond

// maxFateWait is how long a request that may have crashed a target waits for a probe that shows whether it has.
const maxFateWait = 2 * probeTimeout

// brokenRun is a run during which the connection broke.
type brokenRun struct {
	*run
	endedAt time.Duration
	// targetFails is that of quarantine.Break.
	targetFails bool
}

// recordResponse records that the target responds, so that it has not crashed.
func (t *targetState) recordResponse(now time.Duration) {
	t.respondedAt = now
	t.unanswered, t.broken = nil, nil
}

// recordDown marks a target as down because it does not respond, and the runs that it has left unanswered as the possible
// causes.
func (h *Home) recordDown(now time.Duration, t *targetState) {
	t.probe.down = true
	h.recordLost(now, t)
}

// recordLost records that a target has ended or does not respond any more. Of the connections that broke before, those that
// broke together with the last one broke as the target ended.
func (h *Home) recordLost(now time.Duration, t *targetState) {
	unanswered, broken := t.unanswered, t.broken
	t.unanswered, t.broken = nil, nil
	for _, b := range broken {
		if b.endedAt >= broken[len(broken)-1].endedAt-breakGap {
			h.recordEnd(now, b)
		}
	}
	for _, ended := range unanswered {
		h.recordCrash(now, ended)
	}
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

// newBrokenRun returns a run whose connection has broken now, or whose target has ended.
func newBrokenRun(now time.Duration, ended *run) brokenRun {
	t := ended.target
	b := brokenRun{run: ended, endedAt: now}
	if t.firstBroken == nil {
		t.firstBroken = &b
	}
	b.targetFails = t.firstBroken.endedAt <= ended.startedAt && t.firstBroken.fingerprints[0] != ended.fingerprints[0]
	return b
}

// recordBroken records that the connection of a run broke.
func (h *Home) recordBroken(now time.Duration, ended *run) {
	b, t := newBrokenRun(now, ended), ended.target
	h.recordBreak(now, b)
	if t.probe.down {
		h.recordEnd(now, b)
		return
	}
	t.broken = append(t.broken[max(0, len(t.broken)+1-maxUnanswered):], b)
}

// recordCrash records that a run has ended without a response because its target has crashed.
func (h *Home) recordCrash(now time.Duration, ended *run) {
	b := newBrokenRun(now, ended)
	h.recordBreak(now, b)
	h.recordEnd(now, b)
}

// recordBreak records that the target of a run may have crashed because of its request.
func (h *Home) recordBreak(now time.Duration, b brokenRun) {
	if b.fingerprints[0] != 0 {
		h.reportQuarantine(b.target)(h.config.Quarantine.RecordBreak(now, b.evidence()))
	}
}

// recordEnd records that the target of a run that recordBreak was told of has ended.
func (h *Home) recordEnd(now time.Duration, b brokenRun) {
	if b.fingerprints[0] != 0 {
		h.reportQuarantine(b.target)(h.config.Quarantine.RecordEnd(now, b.evidence()))
	}
}

// reportQuarantine returns a function that calls OnQuarantine if the given target's crash has put a request in quarantine.
func (h *Home) reportQuarantine(t *targetState) func(fingerprint uint64, quarantined bool) {
	return func(fingerprint uint64, quarantined bool) {
		if quarantined && h.config.OnQuarantine != nil {
			h.config.OnQuarantine(fingerprint, t.Name)
		}
	}
}

// evidence returns what the quarantine learns of the run.
func (b brokenRun) evidence() quarantine.Break {
	// A target that has crashed may return under its old name.
	incarnation := b.target.Name + " " + strconv.FormatInt(b.target.Incarnation, 10)
	return quarantine.Break{Target: incarnation, Started: b.startedAt, Ended: b.endedAt, TargetFails: b.targetFails, Fingerprints: b.fingerprints}
}
