// Package route decides which target runs a request. It knows no sockets and no wall clock: callers pass the time in.
package route

import (
	"math/rand/v2"
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

// Weights of a target's score.
const (
	// patience is how many usual latencies a target's answer may take before waiting for another target is better.
	patience   = 2.0
	loadWeight = 0.1
	tieWeight  = 0.02
	// unknownLatency is taken in seconds for a target before anything is known.
	unknownLatency = 1e-3
	// usualGain is the weight of one latency in the service's usual one, which counts outliers only up to clipRatio.
	usualGain = 0.02
	clipRatio = 3
)

// Index names a target of a Router until its targets are next set.
type Index int

// None is the Index of no target.
const None Index = -1

// Cause says why a target's state changed.
type Cause string

// The causes of a change of state.
const (
	CauseAdded     Cause = "AddedByNote"
	CauseWithdrawn Cause = "WithdrawnByNote"
	CauseFailures  Cause = "FailuresInARow"
	CauseStraggler Cause = "Straggler"
	CauseLeaving   Cause = "HostListLeaving"
	CauseReport    Cause = "ReportedDraining"
	CauseRefusal   Cause = "RefusedAndClosed"
	CauseReturn    Cause = "EjectionEnded"
	CauseRamped    Cause = "RampEnded"
	CauseListed    Cause = "HostListLive"
)

// Change is one change of a target's state, with the evidence for it.
type Change struct {
	Target string
	From   State
	To     State
	Cause  Cause
	// Failures is the number of failures in a row; Latency and Usual compare the target with its service.
	Failures int
	Latency  time.Duration
	Usual    time.Duration
	// Gone is set when the target left the note.
	Gone bool
}

// Outcome is how a request on a target ended, as far as the target's health goes.
type Outcome int

// The outcomes of a request.
const (
	// Succeeded means that an answer came, whatever it said.
	Succeeded Outcome = iota
	// Failed means a broken or silent connection, or a server error.
	Failed
	// Refused means that the target said it did not run the request.
	Refused
	// Abandoned means that this host or the caller gave up; it says nothing of the target but its age.
	Abandoned
)

// Report is a target's own word on its load; it may be stale or wrong.
type Report struct {
	InFlight int
	Draining bool
	// Age is how old the report was when it arrived.
	Age time.Duration
}

// Config sets up a Router.
type Config struct {
	Service string
	Random  *rand.Rand
	// Overcommit is the number of requests beyond its slots that a target may hold; negative means by round trip.
	Overcommit int
}

// Router holds one entry host's knowledge of one service's targets. It is not safe for concurrent use.
type Router struct {
	config  Config
	targets []*target
	byName  map[string]Index
	// usual is the service's moving mean latency in seconds, with outliers clipped.
	usual   float64
	changes []Change
}

// New returns a Router without targets.
func New(c Config) *Router {
	return &Router{config: c, byName: map[string]Index{}}
}

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
	t := &target{spec: spec, state: Live, since: now, slowSince: -1, starts: make([]time.Duration, 0, 2*spec.Slots+2)}
	r.byName[spec.Name] = Index(len(r.targets))
	r.targets = append(r.targets, t)
	state := Ramping
	if first {
		state = Live
	}
	t.state = Draining
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

// Lookup returns the index of a target by name, or None.
func (r *Router) Lookup(name string) Index {
	if i, known := r.byName[name]; known {
		return i
	}
	return None
}

// Name returns the name of a target.
func (r *Router) Name(i Index) string { return r.targets[i].spec.Name }

// Size returns the number of targets known, whatever their state.
func (r *Router) Size() int { return len(r.targets) }

// Usual returns the service's usual latency.
func (r *Router) Usual() time.Duration { return seconds(r.usual) }

// Expected returns the latency to expect of a target now.
func (r *Router) Expected(now time.Duration, i Index) time.Duration {
	return seconds(r.targets[i].estimate(now, r.usual))
}

// InFlight returns the number of own requests on a target.
func (r *Router) InFlight(i Index) int { return len(r.targets[i].starts) }

// Capacity returns how many requests all eligible targets may hold, at least 1.
func (r *Router) Capacity(now time.Duration) int {
	sum := 0
	for _, t := range r.targets {
		sum += t.limit(now, r.usual, r.config.Overcommit)
	}
	return max(1, sum)
}

// Pick returns the target to run one more request, or None when it is better to wait.
// Queued is the number of requests that wait before this one; avoid is a target not to use, or None.
func (r *Router) Pick(now time.Duration, queued int, avoid Index) Index {
	best, bestScore := None, 0.0
	capacity, busy := 0, 0
	extra := r.pressure(queued)
	for i, t := range r.targets {
		limit := t.limit(now, r.usual, r.config.Overcommit)
		capacity += limit
		busy += len(t.starts)
		if limit == 0 || Index(i) == avoid {
			continue
		}
		load := t.load(now)
		if len(t.starts) >= limit+extra || load >= float64(limit+extra) && len(t.starts) > 0 {
			continue
		}
		if score := r.score(now, t, load); best == None || score < bestScore {
			best, bestScore = Index(i), score
		}
	}
	if best == None || busy == 0 || r.usual == 0 {
		return best
	}
	wait := r.usual * float64(queued+1) / float64(capacity)
	if bestScore > patience*r.usual+wait {
		return None
	}
	return best
}

// pressure returns how many more requests than usual a target may hold while others wait:
// a slot that idles while an answer travels costs more then than a short wait at the target.
func (r *Router) pressure(queued int) int {
	if queued == 0 {
		return 0
	}
	return 1 + min(1, queued/(2*len(r.targets)))
}

// score returns the expected time to an answer in seconds, with a small random part to break ties.
func (r *Router) score(now time.Duration, t *target, load float64) float64 {
	estimate := t.estimate(now, r.usual)
	if estimate == 0 {
		estimate = unknownLatency
	}
	slots := float64(t.spec.Slots)
	wait := 0.0
	if over := load + 1 - slots; over > 0 {
		wait = t.untilFree(now, estimate) + estimate*(over-1)/slots
	}
	return wait + estimate*(1+loadWeight*load/slots+tieWeight*r.config.Random.Float64())
}

// Start notes that a request was handed to a target.
func (r *Router) Start(now time.Duration, i Index) {
	t := r.targets[i]
	t.starts = append(t.starts, now)
}

// Finish notes the end of a request that started at the given time.
// Took is the time to the answer; it may be less than the time since the start when the caller read slowly.
func (r *Router) Finish(now time.Duration, i Index, start, took time.Duration, outcome Outcome) {
	t := r.targets[i]
	t.finish(start)
	latency := took.Seconds()
	switch outcome {
	case Succeeded:
		t.failures = 0
		r.learn(now, t, latency)
	case Failed:
		t.failures++
		if t.failures >= failuresToEject {
			r.eject(now, t, CauseFailures)
		}
	case Abandoned:
		if latency > t.estimate(now, r.usual) {
			t.observe(now, latency)
		}
	case Refused:
	}
}

// learn takes the latency of a success into the target's and the service's means.
func (r *Router) learn(now time.Duration, t *target, latency float64) {
	t.observe(now, latency)
	if r.usual == 0 {
		r.usual = latency
		return
	}
	r.usual += (min(latency, clipRatio*r.usual) - r.usual) * usualGain
}

// TakeReport takes in a target's own word and reports whether it was believed.
func (r *Router) TakeReport(now time.Duration, i Index, report Report) bool {
	t := r.targets[i]
	if report.Draining {
		r.Drain(now, i, CauseReport)
		return true
	}
	own := len(t.starts)
	if report.Age < 5*time.Millisecond && report.InFlight+1 < own {
		t.doubtUntil = now + doubtTime
	}
	if now < t.doubtUntil {
		return false
	}
	t.foreign = min(float64(max(0, report.InFlight-own)), 2*float64(t.spec.Slots))
	t.foreignAt = now - report.Age
	return true
}

// TakePeerCounts sets the sum of other entry hosts' requests in flight on a target.
func (r *Router) TakePeerCounts(now time.Duration, i Index, inFlight int) {
	t := r.targets[i]
	t.peers, t.peersAt = float64(inFlight), now
}

// SetRoundTrip sets the network's share of a request's time on a target.
func (r *Router) SetRoundTrip(i Index, trip time.Duration) { r.targets[i].spec.RoundTrip = trip }

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
		case Draining:
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
			r.move(now, t, Ramping, CauseReturn)
		case t.state == Ramping && now-t.since >= rampTime:
			r.move(now, t, Live, CauseRamped)
		case t.state == Live:
			r.checkStraggler(now, t)
		}
	}
	r.forget()
}

func (r *Router) checkStraggler(now time.Duration, t *target) {
	if r.usual == 0 || t.slow < stragglerRatio*r.usual || now-t.updated > slowHorizon {
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
	r.changes = append(r.changes, Change{
		Target: t.spec.Name, From: t.state, To: to, Cause: cause, Failures: t.failures,
		Latency: seconds(t.slow), Usual: seconds(r.usual), Gone: cause == CauseWithdrawn,
	})
	t.state, t.cause, t.since = to, cause, now
}

// TakeChanges returns the changes of state since the last call.
func (r *Router) TakeChanges() []Change {
	changes := r.changes
	r.changes = nil
	return changes
}

// Eligible appends the names of the targets that may get new requests.
func (r *Router) Eligible(names []string) []string {
	for _, t := range r.targets {
		if t.state == Live || t.state == Ramping {
			names = append(names, t.spec.Name)
		}
	}
	return names
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// State returns the state of a target.
func (r *Router) State(i Index) State { return r.targets[i].state }

// Witness takes in what a target's report address says of its leaving. A target that drains by its own word returns
// only when the same address first confirmed that and then took it back: one that never confirmed it lags or misleads.
func (r *Router) Witness(now time.Duration, i Index, draining bool) {
	t := r.targets[i]
	switch {
	case draining:
		t.witnessed = true
	case t.witnessed && t.state == Draining && (t.cause == CauseReport || t.cause == CauseRefusal):
		t.witnessed = false
		r.move(now, t, Ramping, CauseReport)
	}
}

// LastNews returns when something was last learned of a target, or asked.
func (r *Router) LastNews(i Index) time.Duration {
	t := r.targets[i]
	return max(t.updated, t.asked)
}

// Asked notes that a target is being probed.
func (r *Router) Asked(now time.Duration, i Index) { r.targets[i].asked = now }

// Settled reports whether no target waits for a timer or to be forgotten.
func (r *Router) Settled() bool {
	return !slices.ContainsFunc(r.targets, func(t *target) bool {
		return t.state == Ramping || t.state == Ejected || t.cause == CauseWithdrawn
	})
}

// Busy reports whether any request is in flight.
func (r *Router) Busy() bool {
	return slices.ContainsFunc(r.targets, func(t *target) bool { return len(t.starts) > 0 })
}
