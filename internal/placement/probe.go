package placement

import (
	"slices"
	"time"
)

// Intervals and limits of health probes.
const (
	// probeInterval is the probe interval of a target while its service is busy, so that a hung target is detected.
	probeInterval = 250 * time.Millisecond
	// queuedProbeInterval is the probe interval of targets with free slots while requests are queued.
	queuedProbeInterval = 25 * time.Millisecond
	// busyPeriod is how long after its last request a service counts as busy. An idle service is not probed, because any
	// number of hosts may have become fallback homes at some time, and each of them would probe forever.
	busyPeriod = 2 * time.Second
	// probeTimeout is the time without a response after which the target of a probe counts as down.
	probeTimeout = 150 * time.Millisecond
	// downProbeInterval is the probe interval of a target that is down.
	downProbeInterval = 100 * time.Millisecond
	// maxPaceAge is the age up to which a reported pace is used for a placement without a new probe. It is a fraction of
	// the few hundred milliseconds in which the load of neighboring workloads changes.
	maxPaceAge = 25 * time.Millisecond
	// maxProbeWait is how long a request waits for probe results: one round trip and two scheduling delays.
	maxProbeWait = 8 * time.Millisecond
	// probeRate is the maximum long-term rate of probes to one target, per second, and probeBurst the maximum burst.
	probeRate  = 18.0
	probeBurst = 10.0
	// limitedProbeRate and limitedProbeInterval apply to targets that name a rate limit, which are in need.
	limitedProbeRate     = 1.0
	limitedProbeInterval = time.Second
	// maxCreditPerTarget limits how many probes a home saves up.
	maxCreditPerTarget = 2
	// minTrialPause is the time from the first unhealthy result of a target until it gets a request as a trial. It doubles
	// with each further one, up to maxTrialPause.
	minTrialPause = time.Second
	maxTrialPause = 8 * time.Second
	// answerTrustTime is how long after a response to a request the target counts as healthy whatever its probes say.
	answerTrustTime = 2 * time.Second
	// targetsProbedAtOnce is the number of targets that are probed for a request if the reported paces are too old.
	targetsProbedAtOnce = 3
)

// probeState is the state of the health probes of one target.
type probeState struct {
	// sentAt is when the last probe was sent. pending is set until its result is recorded.
	sentAt  time.Duration
	pending bool
	// awaited is set when a queued request waits for a probe of the target.
	awaited bool
	// credit is the number of probes that the rate limit allowed at creditAt.
	credit   float64
	creditAt time.Duration
	// down is set after a probe without a response or a failed connection, and unhealthy after an unhealthy result. Both are
	// reset when a probe succeeds or the service gets its first request after being idle.
	down, unhealthy bool
	// trialAt is from when on an unhealthy target may get a request that shows whether it really is, and trialPause the time
	// from then until the next one.
	trialAt, trialPause time.Duration
}

// recordUnhealthy records an unhealthy result.
func (p *probeState) recordUnhealthy(now time.Duration) {
	if !p.unhealthy {
		p.trialAt, p.trialPause = now+minTrialPause, 2*minTrialPause
	}
	p.unhealthy, p.down = true, false
}

// startTrial records that an unhealthy target gets a request.
func (p *probeState) startTrial(now time.Duration) {
	p.trialAt = now + p.trialPause
	p.trialPause = min(maxTrialPause, 2*p.trialPause)
}

// spend takes one probe from the limit of so many per second and reports whether it was allowed.
func (p *probeState) spend(now time.Duration, rate float64) bool {
	p.credit = min(max(1, probeBurst*rate/probeRate), p.credit+rate*(now-p.creditAt).Seconds())
	p.creditAt = now
	if p.credit < 1 {
		return false
	}
	p.credit--
	return true
}

// ProbeResult is the result of a health probe.
type ProbeResult int

// The results of a probe.
const (
	// ProbeHealthy means that the target responded and reported itself healthy.
	ProbeHealthy ProbeResult = iota
	// ProbeUnhealthy means that the target responded and reported itself unhealthy.
	ProbeUnhealthy
	// ProbeNoResponse means that the target did not respond.
	ProbeNoResponse
	// ProbeOtherServer means that another server responded at the target's address.
	ProbeOtherServer
	// ProbeNotSent means that the probe was not sent because the target is evacuated.
	ProbeNotSent
)

// DueProbes returns the targets to probe now, as Placed values of which only Target and Address are set. For each of them
// the caller must call RecordProbe with the result. Each probe takes one from those that requests have brought; targets
// for which a request waits come first.
func (h *Home) DueProbes(now time.Duration) []Placed {
	h.awaitWarmUpProbes(now)
	var due []Placed
	first := h.nextProbed
	for _, onlyAwaited := range []bool{true, false} {
		if onlyAwaited && !h.awaitsProbes {
			continue
		}
		for i := range h.targets {
			index := (first + i) % len(h.targets)
			if h.probeCredit == 0 {
				h.nextProbed = index
				return due
			}
			if t := h.targets[index]; h.probeAllowed(now, t, onlyAwaited) {
				h.probeCredit--
				t.probe.sentAt, t.probe.pending, t.probe.awaited = now, true, false
				due = append(due, Placed{Target: t.Name, Address: t.Address})
			}
		}
		h.awaitsProbes = false
	}
	return due
}

// probeAllowed reports whether to probe a target now: if a request waits for it or, unless onlyAwaited is set, its probe
// interval has passed. The probe then counts against the target's rate limit.
func (h *Home) probeAllowed(now time.Duration, t *targetState, onlyAwaited bool) bool {
	if t.probe.pending || t.Draining || t.Evacuated || t.said.Blocked(now) {
		return false
	}
	rate := probeRate
	if t.limiter.named {
		rate = limitedProbeRate
	}
	return (t.probe.awaited || !onlyAwaited && h.probeDue(now, t)) && t.probe.spend(now, rate)
}

// addProbeCredit adds the probes that a request has brought.
func (h *Home) addProbeCredit(r *Request) {
	h.probeCredit = min(h.probeCredit+r.Probes, maxCreditPerTarget*len(h.targets))
}

// probeDue reports whether the probe interval of a target has passed.
func (h *Home) probeDue(now time.Duration, t *targetState) bool {
	switch {
	case !h.busy(now):
		return false
	case t.limiter.named:
		return now-max(t.probe.sentAt, t.paceAt) >= limitedProbeInterval
	case t.probe.down || t.probe.unhealthy:
		return now-t.probe.sentAt >= downProbeInterval
	case len(h.queue) > h.awaitingDomain() && t.available(now) && t.load(now) < t.Slots:
		// Requests are queued although the target has free slots: it was too slow at its last load report.
		return now-max(t.probe.sentAt, t.paceAt) >= queuedProbeInterval
	}
	return now-max(t.probe.sentAt, t.paceAt) >= probeInterval
}

// busy reports whether the service has had a request within busyPeriod.
func (h *Home) busy(now time.Duration) bool { return now-h.lastRequestAt <= busyPeriod }

// resumeProbing marks all targets as not down if the service was idle, because their last probe results are outdated.
func (h *Home) resumeProbing(now time.Duration) {
	if h.busy(now) {
		return
	}
	for _, t := range h.targets {
		t.probe.down, t.probe.unhealthy = false, false
	}
}

// shouldAwaitProbe reports whether a request should stay queued until a probe of its best target returns, because the
// reported pace of that target is too old. If so, it requests probes of the few best targets. A request waits at most
// maxProbeWait in this way.
func (h *Home) shouldAwaitProbe(now time.Duration, r *Request, best *targetState) bool {
	if now-r.submittedAt >= maxProbeWait || now-best.paceAt < maxPaceAge || best.probe.sentAt >= r.submittedAt && !best.probe.pending {
		return false
	}
	excluded := slices.Clone(r.Tried)
	for range targetsProbedAtOnce {
		t, _ := h.pickTarget(now, r, excluded)
		if t == nil {
			break
		}
		excluded = append(excluded, t.Name)
		t.probe.awaited = !t.probe.pending && now-t.paceAt >= maxPaceAge
		h.awaitsProbes = h.awaitsProbes || t.probe.awaited
	}
	h.setAwaitsDomain(r, false)
	return true
}

// RecordProbe records the result of a probe that DueProbes returned, with the load report of the response if there was
// one, and dispatches queued requests.
func (h *Home) RecordProbe(now time.Duration, name string, result ProbeResult, load *LoadReport) {
	t := h.byName[name]
	if t == nil {
		return
	}
	t.probe.pending = false
	switch result {
	case ProbeHealthy:
		t.recordResponse(now)
		t.unconfirmed = 0
		t.probe.down, t.probe.unhealthy = false, false
		t.otherServer = false
	case ProbeUnhealthy:
		t.recordResponse(now)
		t.unconfirmed = 0
		t.probe.recordUnhealthy(now)
	case ProbeNoResponse:
		h.recordDown(now, t)
	case ProbeOtherServer:
		t.otherServer = true
	}
	if load != nil && result != ProbeOtherServer {
		h.recordLoad(now, t, *load)
	}
	h.Dispatch(now)
}

// checkProbeTimeouts marks targets as down whose probe has had no response for probeTimeout.
func (h *Home) checkProbeTimeouts(now time.Duration) {
	for _, t := range h.targets {
		if t.probe.pending && !t.Evacuated && now-t.probe.sentAt > probeTimeout {
			h.recordDown(now, t)
		}
	}
}
