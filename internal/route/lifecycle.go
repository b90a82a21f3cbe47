package route

import (
	"slices"
	"time"
)

// Times and counts of ejection and slow start.
const (
	rampTime         = 2 * time.Second
	failuresToEject  = 3
	ejectTime        = time.Second
	longestEject     = 30 * time.Second
	stragglerRatio   = 3.0
	stragglerPatient = time.Second
)

// SetTargets replaces the specs. Known targets keep what was learned; new ones ramp up unless the router was empty.
// Targets that are gone start to drain and are forgotten when nothing is in flight.
func (r *Router) SetTargets(now time.Duration, specs []Spec) {
	first := len(r.targets) == 0
	named := map[string]bool{}
	for _, spec := range specs {
		named[spec.Name] = true
		if i, known := r.byName[spec.Name]; known {
			r.respec(now, r.targets[i], spec)
			continue
		}
		r.add(now, spec, first)
	}
	for _, t := range r.targets {
		if !named[t.spec.Name] && t.cause != CauseWithdrawn {
			r.move(now, t, Draining, CauseWithdrawn)
		}
	}
	r.forget()
}

func (r *Router) respec(now time.Duration, t *target, spec Spec) {
	if spec.RoundTrip == 0 {
		spec.RoundTrip = t.spec.RoundTrip
	}
	t.spec = spec
	if t.cause == CauseWithdrawn {
		r.move(now, t, Ramping, CauseAdded)
	}
}

func (r *Router) add(now time.Duration, spec Spec, first bool) {
	t := &target{spec: spec, state: Absent, since: now, slowSince: -1, starts: make([]time.Duration, 0, 2*spec.Slots+2)}
	r.byName[spec.Name] = Index(len(r.targets))
	r.targets = append(r.targets, t)
	state := Ramping
	if first {
		state = Live
	}
	r.move(now, t, state, CauseAdded)
}

// forget drops withdrawn targets that hold no requests; indexes of the others may change.
func (r *Router) forget() {
	gone := func(t *target) bool { return t.cause == CauseWithdrawn && len(t.starts) == 0 }
	if !slices.ContainsFunc(r.targets, gone) {
		return
	}
	r.targets = slices.DeleteFunc(r.targets, gone)
	clear(r.byName)
	for i, t := range r.targets {
		r.byName[t.spec.Name] = Index(i)
	}
}

// Drain stops new requests to a target that is leaving.
func (r *Router) Drain(now time.Duration, i Index, cause Cause) {
	if t := r.targets[i]; t.state != Draining {
		r.move(now, t, Draining, cause)
	}
}

// Undrain lets a target that was drained by the host list or by reports ramp up again.
func (r *Router) Undrain(now time.Duration, i Index, cause Cause) {
	if t := r.targets[i]; t.state == Draining && t.cause != CauseWithdrawn {
		r.move(now, t, Ramping, cause)
	}
}

// eject takes a target out for a time that grows with each ejection in a row; the floor of targets stays in.
func (r *Router) eject(now time.Duration, t *target, cause Cause) {
	if t.state == Ejected || t.state == Draining || !r.maySpare() {
		return
	}
	length := min(longestEject, ejectTime<<min(t.ejections, 5))
	t.ejections++
	t.until = now + length
	r.move(now, t, Ejected, cause)
}

// maySpare reports whether one more target can be ejected: at least half of those not draining stay in.
func (r *Router) maySpare() bool {
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
		case t.state == Ejected && now >= t.until:
			t.failures, t.slow, t.fast, t.slowSince = 0, 0, 0, -1
			r.move(now, t, Ramping, CauseEjectionEnded)
		case t.state == Ramping && now-t.since >= rampTime:
			r.move(now, t, Live, CauseRampEnded)
		case t.state == Live:
			r.checkStraggler(now, t)
		}
	}
	r.forget()
}

func (r *Router) checkStraggler(now time.Duration, t *target) {
	// Travel is no fault of the target: one in another region is far, not slow.
	if r.usual == 0 || t.slow-t.spec.RoundTrip.Seconds() < stragglerRatio*r.usual || now-t.updated > slowHorizon {
		t.slowSince = -1
		if now-t.since > longestEject {
			t.ejections = 0
		}
		return
	}
	if t.slowSince < 0 {
		t.slowSince = now
	}
	if now-t.slowSince >= stragglerPatient {
		r.eject(now, t, CauseStraggler)
	}
}

func (r *Router) move(now time.Duration, t *target, to State, cause Cause) {
	r.changes = append(r.changes, StateChange{
		Target: t.spec.Name, From: t.state, To: to, Cause: cause, Failures: t.failures,
		Latency: seconds(t.slow), MeanLatency: seconds(r.usual),
	})
	t.state, t.cause, t.since = to, cause, now
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
		t.witnessed = true
	case t.witnessed && t.state == Draining && (t.cause == CauseReportedDraining || t.cause == CauseRefusedAndClosed):
		t.witnessed = false
		r.move(now, t, Ramping, CauseReportedDraining)
	}
}

// Stable reports whether no target waits for a timer or to be forgotten.
func (r *Router) Stable() bool {
	return !slices.ContainsFunc(r.targets, func(t *target) bool {
		return t.state == Ramping || t.state == Ejected || t.cause == CauseWithdrawn
	})
}
