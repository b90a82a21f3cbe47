package route

import (
	"slices"
	"time"
)

// Parameters of slow start and of the ejection of unhealthy targets. A target is ejected after failuresToEject
// consecutive failures, or when its mean latency without network time has been at least stragglerRatio times the mean
// latency of the service for stragglerDelay. An ejection lasts ejectDuration at first, and twice as long each time that
// the target is ejected again, up to maxEjectDuration. The slow start of a new or returning target takes rampDuration.
const (
	rampDuration     = 2 * time.Second
	failuresToEject  = 3
	ejectDuration    = time.Second
	maxEjectDuration = 30 * time.Second
	stragglerRatio   = 3.0
	stragglerDelay   = time.Second
)

// SetTargets replaces the set of targets. Targets that remain keep their state and measurements; new ones start with
// few requests and ramp up, unless the router was empty. Targets that are not in specs are withdrawn: they are drained,
// and removed once they have no requests in flight.
func (r *Router) SetTargets(now time.Duration, specs []Spec) {
	initial := len(r.targets) == 0
	configured := map[string]bool{}
	for _, spec := range specs {
		configured[spec.Name] = true
		if i, found := r.byName[spec.Name]; found {
			r.updateSpec(now, r.targets[i], spec)
			continue
		}
		r.add(now, spec, initial)
	}
	for _, t := range r.targets {
		if !configured[t.spec.Name] && t.stateCause != CauseWithdrawn {
			r.setState(now, t, Draining, CauseWithdrawn)
		}
	}
	r.removeWithdrawn()
}

func (r *Router) updateSpec(now time.Duration, t *target, spec Spec) {
	if spec.RoundTrip == 0 {
		spec.RoundTrip = t.spec.RoundTrip
	}
	t.spec = spec
	if t.stateCause == CauseWithdrawn {
		r.setState(now, t, Ramping, CauseAdded)
	}
}

func (r *Router) add(now time.Duration, spec Spec, initial bool) {
	t := &target{spec: spec, state: Absent, stateSince: now, slowSince: -1, starts: make([]time.Duration, 0, 2*spec.Slots+2)}
	r.byName[spec.Name] = Index(len(r.targets))
	r.targets = append(r.targets, t)
	state := Ramping
	if initial {
		state = Live
	}
	r.setState(now, t, state, CauseAdded)
}

// removeWithdrawn removes withdrawn targets without requests in flight. The indices of other targets may change.
func (r *Router) removeWithdrawn() {
	removable := func(t *target) bool { return t.stateCause == CauseWithdrawn && len(t.starts) == 0 }
	if !slices.ContainsFunc(r.targets, removable) {
		return
	}
	r.targets = slices.DeleteFunc(r.targets, removable)
	clear(r.byName)
	for i, t := range r.targets {
		r.byName[t.spec.Name] = Index(i)
	}
}

// Drain stops sending new requests to a target. Requests in flight are not interrupted.
func (r *Router) Drain(now time.Duration, i Index, cause Cause) {
	if t := r.targets[i]; t.state != Draining {
		r.setState(now, t, Draining, cause)
	}
}

// Undrain lets a draining target ramp up again, unless it was withdrawn from the configuration.
func (r *Router) Undrain(now time.Duration, i Index, cause Cause) {
	if t := r.targets[i]; t.state == Draining && t.stateCause != CauseWithdrawn {
		r.setState(now, t, Ramping, cause)
	}
}

// eject stops sending requests to a target for a time that doubles with each consecutive ejection, up to
// maxEjectDuration. It does nothing if the target is ejected or draining already, or if too few targets would remain.
func (r *Router) eject(now time.Duration, t *target, cause Cause) {
	if t.state == Ejected || t.state == Draining || !r.mayEject() {
		return
	}
	duration := min(maxEjectDuration, ejectDuration<<min(t.ejections, 5))
	t.ejections++
	t.ejectedUntil = now + duration
	r.setState(now, t, Ejected, cause)
}

// mayEject reports whether one more target can be ejected: at least one target, and at least half of those that are not
// draining, must stay eligible.
func (r *Router) mayEject() bool {
	eligible, total := 0, 0
	for _, t := range r.targets {
		switch t.state {
		case Live, Ramping:
			eligible++
			total++
		case Ejected:
			total++
		case Draining, Absent:
		}
	}
	return eligible > 1 && 2*(eligible-1) >= total
}

// Tick ends ejections and slow starts that are due, ejects stragglers and removes withdrawn targets. It must be called
// several times a second.
func (r *Router) Tick(now time.Duration) {
	for _, t := range r.targets {
		switch {
		case t.state == Ejected && now >= t.ejectedUntil:
			t.consecutiveFailures, t.slowMean, t.fastMean, t.slowSince = 0, 0, 0, -1
			r.setState(now, t, Ramping, CauseEjectionEnded)
		case t.state == Ramping && now-t.stateSince >= rampDuration:
			r.setState(now, t, Live, CauseRampEnded)
		case t.state == Live:
			r.checkStraggler(now, t)
		}
	}
	r.removeWithdrawn()
}

// checkStraggler ejects a live target whose latency has been too high for stragglerDelay. It resets the count of
// consecutive ejections of a target that is not slow and has been live for more than maxEjectDuration.
func (r *Router) checkStraggler(now time.Duration, t *target) {
	// Network time is subtracted, so that a target in another region is not taken for a straggler.
	if r.meanLatency == 0 || t.slowMean-t.spec.RoundTrip.Seconds() < stragglerRatio*r.meanLatency || now-t.latencyAt > slowTimeConstant {
		t.slowSince = -1
		if now-t.stateSince > maxEjectDuration {
			t.ejections = 0
		}
		return
	}
	if t.slowSince < 0 {
		t.slowSince = now
	}
	if now-t.slowSince >= stragglerDelay {
		r.eject(now, t, CauseStraggler)
	}
}

func (r *Router) setState(now time.Duration, t *target, to State, cause Cause) {
	r.changes = append(r.changes, StateChange{
		Target: t.spec.Name, From: t.state, To: to, Cause: cause, Failures: t.consecutiveFailures,
		Latency: seconds(t.slowMean), MeanLatency: seconds(r.meanLatency),
	})
	t.state, t.stateCause, t.stateSince = to, cause, now
}

// PopChanges returns the state changes since its last call.
func (r *Router) PopChanges() []StateChange {
	changes := r.changes
	r.changes = nil
	return changes
}

// ApplyProbe applies the draining flag that a probe of the target's report path returned. A target that was drained
// because it reported draining, or refused a request and closed the connection, ramps up again only after one probe has
// returned the draining flag and a later one has not. A report path that has never returned the flag may be stale or
// wrong, so it does not end the draining.
func (r *Router) ApplyProbe(now time.Duration, i Index, draining bool) {
	t := r.targets[i]
	switch {
	case draining:
		t.drainConfirmed = true
	case t.drainConfirmed && t.state == Draining && (t.stateCause == CauseReportedDraining || t.stateCause == CauseRefusedAndClosed):
		t.drainConfirmed = false
		r.setState(now, t, Ramping, CauseReportedDraining)
	}
}

// Stable reports whether no target is ramping up, ejected or waiting to be removed. Tick then only checks for
// stragglers.
func (r *Router) Stable() bool {
	return !slices.ContainsFunc(r.targets, func(t *target) bool {
		return t.state == Ramping || t.state == Ejected || t.stateCause == CauseWithdrawn
	})
}
