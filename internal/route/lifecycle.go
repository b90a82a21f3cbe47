package route

import (
	"slices"
	"time"
)

// Times and counts of ejection and slow start.
const (
	rampDuration     = 2 * time.Second
	failuresToEject  = 3
	ejectDuration    = time.Second
	maxEjectDuration = 30 * time.Second
	stragglerRatio   = 3.0
	stragglerDelay   = time.Second
)

// SetTargets replaces the specs. Known targets keep what was learned; new ones ramp up unless the router was empty.
// Targets that are gone start to drain and are forgotten when nothing is in flight.
func (r *Router) SetTargets(now time.Duration, specs []Spec) {
	initial := len(r.targets) == 0
	configured := map[string]bool{}
	for _, spec := range specs {
		configured[spec.Name] = true
		if i, known := r.byName[spec.Name]; known {
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

// removeWithdrawn drops withdrawn targets that hold no requests; indexes of the others may change.
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

// Drain stops new requests to a target that is leaving.
func (r *Router) Drain(now time.Duration, i Index, cause Cause) {
	if t := r.targets[i]; t.state != Draining {
		r.setState(now, t, Draining, cause)
	}
}

// Undrain lets a target that was drained by the host list or by reports ramp up again.
func (r *Router) Undrain(now time.Duration, i Index, cause Cause) {
	if t := r.targets[i]; t.state == Draining && t.stateCause != CauseWithdrawn {
		r.setState(now, t, Ramping, cause)
	}
}

// eject takes a target out for a time that grows with each ejection in a row; the floor of targets stays in.
func (r *Router) eject(now time.Duration, t *target, cause Cause) {
	if t.state == Ejected || t.state == Draining || !r.mayEject() {
		return
	}
	duration := min(maxEjectDuration, ejectDuration<<min(t.ejections, 5))
	t.ejections++
	t.ejectedUntil = now + duration
	r.setState(now, t, Ejected, cause)
}

// mayEject reports whether one more target can be ejected: at least half of those not draining stay in.
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

// Tick ends ejections and ramps and ejects stragglers; call it several times a second.
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

func (r *Router) checkStraggler(now time.Duration, t *target) {
	// Travel is no fault of the target: one in another region is far, not slow.
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

// PopChanges returns the changes of state since the last call.
func (r *Router) PopChanges() []StateChange {
	changes := r.changes
	r.changes = nil
	return changes
}

// ApplyProbe takes in what a target's report address says of its leaving. A target that drains by its own word returns
// only when the same address first confirmed that and then took it back: one that never confirmed it lags or misleads.
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

// Stable reports whether no target waits for a timer or to be forgotten.
func (r *Router) Stable() bool {
	return !slices.ContainsFunc(r.targets, func(t *target) bool {
		return t.state == Ramping || t.state == Ejected || t.stateCause == CauseWithdrawn
	})
}
