package route

import (
	"math"
	"time"
)

// State says whether a target may get new requests.
type State int

// The states of a target.
const (
	Live State = iota
	Ramping
	Ejected
	Draining
	// Absent is the state before a target was added.
	Absent
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Live:
		return "Live"
	case Ramping:
		return "Ramping"
	case Ejected:
		return "Ejected"
	case Draining:
		return "Draining"
	case Absent:
		return "Absent"
	}
	return "Unknown"
}

// Spec is what a release note and the network say of a target.
type Spec struct {
	Name  string
	Slots int
	// RoundTrip is the network's share of a request's time.
	RoundTrip time.Duration
}

// target is what one entry host knows of one target; times are on the caller's monotonic clock.
type target struct {
	spec  Spec
	state State
	// since is when the state began; until is when an ejection ends.
	since, until time.Duration
	// cause explains the state.
	cause Cause
	// ejections counts ejections in a row, for the exponential delay.
	ejections int
	// starts holds the start times of own requests in flight.
	starts []time.Duration
	// fast and slow are moving means of latency in seconds over two horizons; 0 means unknown.
	fast, slow float64
	updated    time.Duration
	// lastFinish is when a request last ended.
	lastFinish time.Duration
	// asked is when the target was last probed.
	asked time.Duration
	// failures counts failed requests in a row.
	failures int
	// slowSince is when the target began to look like a straggler; negative means that it does not.
	slowSince time.Duration
	// foreign is the load that others put on the target, as its last believed report said.
	foreign   float64
	foreignAt time.Duration
	// peers is the sum of in-flight counts that other entry hosts pushed.
	peers   float64
	peersAt time.Duration
	// witnessed is set once the target's report address itself has said that it drains.
	witnessed bool
	// doubtUntil is when reports are believed again after one that contradicted own counts.
	doubtUntil time.Duration
}

// Horizons of the latency means and of outside knowledge.
const (
	fastHorizon    = 25 * time.Millisecond
	slowHorizon    = 2 * time.Second
	foreignHorizon = 250 * time.Millisecond
	doubtTime      = 10 * time.Second
)

// Weights of the latency estimate.
const (
	// fastGain and slowGain are the least weights of one new latency in the two means.
	fastGain = 0.3
	slowGain = 0.02
	// fastShare is how far the estimate follows the fast mean while that is new.
	fastShare = 0.5
	// overdueAfter is the age of a request in flight, in expected latencies, from which it makes the target look slow.
	overdueAfter  = 1.2
	overdueWeight = 0.3
	// silenceAfter is how many answers may be due before a target looks slow, and silenceWeight how much each further one adds.
	silenceAfter  = 0.5
	silenceWeight = 0.2
	// leastResidual is the least part of a run that is taken to be left.
	leastResidual = 0.25
)

// weight returns how much knowledge of an age still counts, from 1 down to 0.
func weight(age, horizon time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	if age > 8*horizon {
		return 0
	}
	return math.Exp(-float64(age) / float64(horizon))
}

// observe takes in one latency in seconds.
func (t *target) observe(now time.Duration, latency float64) {
	if t.slow == 0 {
		t.fast, t.slow, t.updated = latency, latency, now
		return
	}
	age := now - t.updated
	t.fast += (latency - t.fast) * max(fastGain, 1-weight(age, fastHorizon))
	t.slow += (latency - t.slow) * max(slowGain, 1-weight(age, slowHorizon))
	t.updated = now
}

// estimate returns the latency in seconds to expect now; usual is the service's own.
func (t *target) estimate(now time.Duration, usual float64) float64 {
	if t.slow == 0 {
		return usual
	}
	age := now - t.updated
	steady := usual + (t.slow-usual)*weight(age, slowHorizon)
	expected := steady + (t.fast-steady)*fastShare*weight(age, fastHorizon)
	return max(expected, t.overdue(now, expected)) * t.silence(now, usual)
}

// silence returns a factor of 1 or more: it grows with the answers that were due since the last one and have not come.
// It shows a neighbour's noise sooner than any single request that is late.
func (t *target) silence(now time.Duration, usual float64) float64 {
	due := 0.0
	for _, start := range t.starts {
		due += (now - max(start, t.lastFinish)).Seconds()
	}
	return 1 + silenceWeight*max(0, due/usual-silenceAfter)
}

// overdue returns a latency in seconds that requests still in flight make plausible.
func (t *target) overdue(now time.Duration, expected float64) float64 {
	var late float64
	for _, start := range t.starts {
		if age := (now - start).Seconds(); age > overdueAfter*expected {
			late += overdueWeight * (age - overdueAfter*expected)
		}
	}
	return expected + late
}

// untilFree returns the time in seconds until the oldest request in flight should end.
func (t *target) untilFree(now time.Duration, estimate float64) float64 {
	oldest := now
	for _, start := range t.starts {
		oldest = min(oldest, start)
	}
	return max(estimate*leastResidual, estimate-(now-oldest).Seconds())
}

// load returns own and others' requests on the target.
func (t *target) load(now time.Duration, usual float64) float64 {
	foreign := t.foreign * weight(now-t.foreignAt, foreignHorizon)
	peers := t.peers * weight(now-t.peersAt, peersHorizon(usual))
	return float64(len(t.starts)) + max(foreign, peers)
}

// limit returns how many own requests the target may have in flight.
func (t *target) limit(now time.Duration, usual float64, overcommit int) int {
	switch t.state {
	case Ejected, Draining, Absent:
		return 0
	case Ramping:
		share := float64(now-t.since) / float64(rampTime)
		return max(1, int(share*float64(t.spec.Slots)))
	}
	if overcommit >= 0 {
		return t.spec.Slots + overcommit
	}
	return t.spec.Slots + t.inTransit(usual)
}

// inTransit returns how many requests beyond the slots keep them busy while answers travel.
func (t *target) inTransit(usual float64) int {
	trip := t.spec.RoundTrip.Seconds()
	if trip <= 0 || usual <= trip {
		return 0
	}
	return min(t.spec.Slots, int(math.Round(float64(t.spec.Slots)*trip/(usual-trip))))
}

func (t *target) finish(start time.Duration) {
	for i, s := range t.starts {
		if s == start {
			last := len(t.starts) - 1
			t.starts[i] = t.starts[last]
			t.starts = t.starts[:last]
			return
		}
	}
}

// peersHorizon returns how long other entry hosts' counts are worth something: about as long as a request takes.
func peersHorizon(usual float64) time.Duration {
	return max(time.Millisecond, time.Duration(usual*float64(time.Second)))
}
