package placement

import (
	"slices"
	"time"
)

// Times and counts of probing.
const (
	// probeEvery is how often each target is asked while its service is busy, so that one that went silent is noticed.
	probeEvery = 250 * time.Millisecond
	// queuedProbeEvery is how often targets with free slots are asked while requests wait.
	queuedProbeEvery = 25 * time.Millisecond
	// busyFor is how long after a request a service counts as busy. An idle one isn't probed: many hosts may once have
	// decided alone, and each would go on for ever.
	busyFor = 2 * time.Second
	// silentAfter is how long a probe may take before its target counts as down.
	silentAfter = 150 * time.Millisecond
	// downProbeEvery is how often a target that is down is asked.
	downProbeEvery = 100 * time.Millisecond
	// freshFor is how old knowledge of a target's pace may be for a placement without asking: a fraction of the few
	// hundred milliseconds in which neighbours' load shifts.
	freshFor = 25 * time.Millisecond
	// freshWait is how long a request waits for probes: a round trip and the time of two wake-ups.
	freshWait = 8 * time.Millisecond
	// probeRate is the most probes that one target gets a second in the long run, and probeBurst how many it may get at once.
	probeRate  = 18.0
	probeBurst = 10.0
	// probesPerRequest is how many probes a stand-in may send for each request that it decides on, so that all stand-ins
	// together stay within the probes of one home.
	probesPerRequest = 4.0
	// askedAtOnce is how many targets are probed for a request that finds nothing fresh.
	askedAtOnce = 3
)

// probe is the state of the health probes of one target.
type probe struct {
	// asked is when the last probe was sent; pending is set while it has no answer.
	asked   time.Duration
	pending bool
	// wanted is set when a request waits for fresh knowledge of the target.
	wanted bool
	// credit is how many probes the target may get now, as of creditAt.
	credit   float64
	creditAt time.Duration
	// down is set while probes get no answer or the target says it is ill.
	down bool
}

// take spends the credit for one probe and reports whether there was any.
func (p *probe) take(now time.Duration) bool {
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
	// ProbeNoAnswer means that the target gave no answer.
	ProbeNoAnswer
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
		if t.probe.pending || t.Draining || !t.probe.wanted && !h.probeDue(now, t) || !t.probe.take(now) {
			continue
		}
		if !h.primary {
			h.probeCredit--
		}
		t.probe.asked, t.probe.pending, t.probe.wanted = now, true, false
		due = append(due, Placed{Target: t.Name, Address: t.Address})
	}
	return due
}

// SetPrimary says whether this is the one home that all hosts ask first. Any other is a stand-in, of which many may be at
// work when hosts lose touch with the home: it begins with one probe of each target and earns more by requests.
func (h *Home) SetPrimary(primary bool) { h.primary = primary }

// earnProbes gives a stand-in the probes for one more request.
func (h *Home) earnProbes() {
	h.probeCredit = min(h.probeCredit+probesPerRequest, 2*float64(len(h.targets)))
}

// probeDue reports whether it is time to look at a target again.
func (h *Home) probeDue(now time.Duration, t *target) bool {
	switch {
	case !h.busy(now):
		return false
	case t.probe.down:
		return now-t.probe.asked >= downProbeEvery
	case len(h.queue) > 0 && t.sound(now) && t.load(now) < t.Slots:
		// Requests wait although the target has room: it was slow when last seen.
		return now-max(t.probe.asked, t.pacedAt) >= queuedProbeEvery
	}
	return now-max(t.probe.asked, t.pacedAt) >= probeEvery
}

// busy reports whether the service had requests lately.
func (h *Home) busy(now time.Duration) bool { return now-h.busyAt <= busyFor }

// wake begins to look at the targets of a service that was idle: what was known of them then is no reason to leave any out.
func (h *Home) wake(now time.Duration) {
	if h.busy(now) {
		return
	}
	for _, t := range h.targets {
		t.probe.down = false
	}
}

// awaitsProbe reports whether a request should wait for a probe of the target that looks best, because what is known
// of it is old. It asks for probes of the few best targets.
func (h *Home) awaitsProbe(now time.Duration, r *Request, best *target) bool {
	if now-r.asked >= freshWait || now-best.pacedAt < freshFor || best.probe.asked >= r.asked && !best.probe.pending {
		return false
	}
	skip := slices.Clone(r.Tried)
	for range askedAtOnce {
		t, _ := h.pickBut(now, r, skip)
		if t == nil {
			break
		}
		skip = append(skip, t.Name)
		t.probe.wanted = !t.probe.pending && now-t.pacedAt >= freshFor
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
		t.misplaced = false
	case ProbeUnhealthy, ProbeNoAnswer:
		t.probe.down = true
	case ProbeOtherServer:
		t.misplaced = true
	}
	if load != nil && health != ProbeOtherServer {
		h.reported(now, t, *load)
	}
	h.Dispatch(now)
}

// checkSilence marks targets whose probes have been without an answer for too long.
func (h *Home) checkSilence(now time.Duration) {
	for _, t := range h.targets {
		if t.probe.pending && now-t.probe.asked > silentAfter {
			t.probe.down = true
		}
	}
}
