package placement

import (
	"slices"
	"time"
)

// Times and counts of probing.
const (
	// probeInterval is how often each target is asked while its service is busy, so that one that went silent is noticed.
	probeInterval = 250 * time.Millisecond
	// queuedProbeInterval is how often targets with free slots are asked while requests wait.
	queuedProbeInterval = 25 * time.Millisecond
	// busyPeriod is how long after a request a service counts as busy. An idle one isn't probed: many hosts may once have
	// decided alone, and each would go on for ever.
	busyPeriod = 2 * time.Second
	// probeTimeout is how long a probe may take before its target counts as down.
	probeTimeout = 150 * time.Millisecond
	// downProbeInterval is how often a target that is down is asked.
	downProbeInterval = 100 * time.Millisecond
	// maxPaceAge is how old knowledge of a target's pace may be for a placement without asking: a fraction of the few
	// hundred milliseconds in which neighbours' load shifts.
	maxPaceAge = 25 * time.Millisecond
	// maxProbeWait is how long a request waits for probes: a round trip and the time of two wake-ups.
	maxProbeWait = 8 * time.Millisecond
	// probeRate is the most probes that one target gets a second in the long run, and probeBurst how many it may get at once.
	probeRate  = 18.0
	probeBurst = 10.0
	// fallbackProbesPerRequest is how many probes a stand-in may send for each request that it decides on, so that all stand-ins
	// together stay within the probes of one home.
	fallbackProbesPerRequest = 4.0
	// targetsProbedAtOnce is how many targets are probed for a request that finds nothing fresh.
	targetsProbedAtOnce = 3
)

// probeState is the state of the health probes of one target.
type probeState struct {
	// sentAt is when the last probe was sent; pending is set while it has no answer.
	sentAt  time.Duration
	pending bool
	// wanted is set when a request waits for fresh knowledge of the target.
	wanted bool
	// credit is how many probes the target may get now, as of creditAt.
	credit   float64
	creditAt time.Duration
	// down is set while probes get no answer or the target says it is ill.
	down bool
}

// spend spends the credit for one probe and reports whether there was any.
func (p *probeState) spend(now time.Duration) bool {
	p.credit = min(probeBurst, p.credit+probeRate*(now-p.creditAt).Seconds())
	p.creditAt = now
	if p.credit < 1 {
		return false
	}
	p.credit--
	return true
}

// ProbeResult is what a probe found.
type ProbeResult int

// The results of a probe.
const (
	// ProbeHealthy means that the target answered and calls itself healthy.
	ProbeHealthy ProbeResult = iota
	// ProbeUnhealthy means that the target answered and calls itself ill.
	ProbeUnhealthy
	// ProbeNoResponse means that the target gave no answer.
	ProbeNoResponse
	// ProbeOtherServer means that another server answered at the target's address.
	ProbeOtherServer
)

// DueProbes returns the targets to probe now; each must be followed by Probed.
func (h *Home) DueProbes(now time.Duration) []Placed {
	var due []Placed
	for _, t := range h.targets {
		if !h.primary && h.probeCredit < 1 {
			break
		}
		if t.probe.pending || t.Draining || !t.probe.wanted && !h.probeDue(now, t) || !t.probe.spend(now) {
			continue
		}
		if !h.primary {
			h.probeCredit--
		}
		t.probe.sentAt, t.probe.pending, t.probe.wanted = now, true, false
		due = append(due, Placed{Target: t.Name, Address: t.Address})
	}
	return due
}

// SetPrimary says whether this is the one home that all hosts ask first. Any other is a stand-in, of which many may be at
// work when hosts lose touch with the home: it begins with one probe of each target and earns more by requests.
func (h *Home) SetPrimary(primary bool) { h.primary = primary }

// addProbeCredit gives a stand-in the probes for one more request.
func (h *Home) addProbeCredit() {
	h.probeCredit = min(h.probeCredit+fallbackProbesPerRequest, 2*float64(len(h.targets)))
}

// probeDue reports whether it is time to look at a target again.
func (h *Home) probeDue(now time.Duration, t *targetState) bool {
	switch {
	case !h.busy(now):
		return false
	case t.probe.down:
		return now-t.probe.sentAt >= downProbeInterval
	case len(h.queue) > 0 && t.available(now) && t.load(now) < t.Slots:
		// Requests wait although the target has room: it was slow when last seen.
		return now-max(t.probe.sentAt, t.paceAt) >= queuedProbeInterval
	}
	return now-max(t.probe.sentAt, t.paceAt) >= probeInterval
}

// busy reports whether the service had requests lately.
func (h *Home) busy(now time.Duration) bool { return now-h.lastRequestAt <= busyPeriod }

// resumeProbing begins to look at the targets of a service that was idle: what was known of them then is no reason to leave any out.
func (h *Home) resumeProbing(now time.Duration) {
	if h.busy(now) {
		return
	}
	for _, t := range h.targets {
		t.probe.down = false
	}
}

// shouldAwaitProbe reports whether a request should wait for a probe of the target that looks best, because what is known
// of it is old. It asks for probes of the few best targets.
func (h *Home) shouldAwaitProbe(now time.Duration, r *Request, best *targetState) bool {
	if now-r.submittedAt >= maxProbeWait || now-best.paceAt < maxPaceAge || best.probe.sentAt >= r.submittedAt && !best.probe.pending {
		return false
	}
	skip := slices.Clone(r.Tried)
	for range targetsProbedAtOnce {
		t, _ := h.pickTarget(now, r, skip)
		if t == nil {
			break
		}
		skip = append(skip, t.Name)
		t.probe.wanted = !t.probe.pending && now-t.paceAt >= maxPaceAge
	}
	return true
}

// RecordProbe takes in the result of a probe that Probes asked for.
func (h *Home) RecordProbe(now time.Duration, name string, health ProbeResult, load *LoadReport) {
	t := h.byName[name]
	if t == nil {
		return
	}
	t.probe.pending = false
	switch health {
	case ProbeHealthy:
		t.probe.down = false
		t.otherServer = false
	case ProbeUnhealthy, ProbeNoResponse:
		t.probe.down = true
	case ProbeOtherServer:
		t.otherServer = true
	}
	if load != nil && health != ProbeOtherServer {
		h.recordLoad(now, t, *load)
	}
	h.Dispatch(now)
}

// checkProbeTimeouts marks targets whose probes have been without an answer for too long.
func (h *Home) checkProbeTimeouts(now time.Duration) {
	for _, t := range h.targets {
		if t.probe.pending && now-t.probe.sentAt > probeTimeout {
			t.probe.down = true
		}
	}
}
