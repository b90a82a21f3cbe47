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
	// stateSince is when the state began; until is when an ejection ends.
	stateSince, ejectedUntil time.Duration
	// stateCause explains the state.
	stateCause Cause
	// ejections counts ejections in a row, for the exponential delay.
	ejections int
	// starts holds the start times of own requests in flight.
	starts []time.Duration
	// fastMean and slow are moving means of latency in seconds over two horizons; 0 means unknown.
	fastMean, slowMean float64
	latencyAt          time.Duration
	// lastFinishAt is when a request last ended.
	lastFinishAt time.Duration
	// probedAt is when the target was last probed.
	probedAt time.Duration
	// consecutiveFailures counts failed requests in a row.
	consecutiveFailures int
	// slowSince is when the target began to look like a straggler; negative means that it does not.
	slowSince time.Duration
	// reportedLoad is the load that others put on the target, as its last believed report said.
	reportedLoad float64
	reportedAt   time.Duration
	// peerInFlight is the sum of in-flight counts that other entry hosts pushed.
	peerInFlight   float64
	peerInFlightAt time.Duration
	// drainConfirmed is set once the target's report address itself has said that it drains.
	drainConfirmed bool
	// distrustReportsUntil is when reports are believed again after one that contradicted own counts.
	distrustReportsUntil time.Duration
}

// Horizons of the latency means and of outside knowledge.
const (
	fastTimeConstant   = 25 * time.Millisecond
	slowTimeConstant   = 2 * time.Second
	reportTimeConstant = 250 * time.Millisecond
	reportDistrustTime = 10 * time.Second
)

// Weights of the latency estimate.
const (
	// fastGain and slowGain are the least weights of one new latency in the two means.
	fastGain = 0.3
	slowGain = 0.02
	// fastShare is how far the estimate follows the fast mean while that is new.
	fastShare = 0.5
	// overdueRatio is the age of a request in flight, in expected latencies, from which it makes the target look slow.
	overdueRatio  = 1.2
	overdueWeight = 0.3
	// missingAfter is how many answers may be due before a target looks slow, and silenceWeight how much each further one adds.
	missingAfter  = 0.5
	missingWeight = 0.2
	// minResidual is the least part of a run that is taken to be left.
	minResidual = 0.25
)

// decay returns how much knowledge of an age still counts, from 1 down to 0.
func decay(age, timeConstant time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	if age > 8*timeConstant {
		return 0
	}
	return math.Exp(-float64(age) / float64(timeConstant))
}

// recordLatency takes in one latency in seconds.
func (t *target) recordLatency(now time.Duration, latency float64) {
	if t.slowMean == 0 {
		t.fastMean, t.slowMean, t.latencyAt = latency, latency, now
		return
	}
	age := now - t.latencyAt
	t.fastMean += (latency - t.fastMean) * max(fastGain, 1-decay(age, fastTimeConstant))
	t.slowMean += (latency - t.slowMean) * max(slowGain, 1-decay(age, slowTimeConstant))
	t.latencyAt = now
}

// estimateLatency returns the latency in seconds to expect now; usual is the service's own.
func (t *target) estimateLatency(now time.Duration, meanLatency float64) float64 {
	if t.slowMean == 0 {
		return meanLatency
	}
	age := now - t.latencyAt
	steady := meanLatency + (t.slowMean-meanLatency)*decay(age, slowTimeConstant)
	expected := steady + (t.fastMean-steady)*fastShare*decay(age, fastTimeConstant)
	return max(expected, t.overdueLatency(now, expected)) * t.missingResponseFactor(now, meanLatency)
}

// missingResponseFactor returns a factor of 1 or more: it grows with the answers that were due since the last one and have not come.
// It shows a neighbour's noise sooner than any single request that is late.
func (t *target) missingResponseFactor(now time.Duration, meanLatency float64) float64 {
	due := 0.0
	for _, start := range t.starts {
		due += (now - max(start, t.lastFinishAt)).Seconds()
	}
	return 1 + missingWeight*max(0, due/meanLatency-missingAfter)
}

// overdueLatency returns a latency in seconds that requests still in flight make plausible.
func (t *target) overdueLatency(now time.Duration, expected float64) float64 {
	var late float64
	for _, start := range t.starts {
		if age := (now - start).Seconds(); age > overdueRatio*expected {
			late += overdueWeight * (age - overdueRatio*expected)
		}
	}
	return expected + late
}

// timeUntilSlotFree returns the time in seconds until the oldest request in flight should end.
func (t *target) timeUntilSlotFree(now time.Duration, estimate float64) float64 {
	oldest := now
	for _, start := range t.starts {
		oldest = min(oldest, start)
	}
	return max(estimate*minResidual, estimate-(now-oldest).Seconds())
}

// load returns own and others' requests on the target.
func (t *target) load(now time.Duration, meanLatency float64) float64 {
	foreign := t.reportedLoad * decay(now-t.reportedAt, reportTimeConstant)
	peers := t.peerInFlight * decay(now-t.peerInFlightAt, peerTimeConstant(meanLatency))
	return float64(len(t.starts)) + max(foreign, peers)
}

// inFlightLimit returns how many own requests the target may have in flight.
func (t *target) inFlightLimit(now time.Duration, meanLatency float64, overcommit int) int {
	switch t.state {
	case Ejected, Draining, Absent:
		return 0
	case Ramping:
		share := float64(now-t.stateSince) / float64(rampDuration)
		return max(1, int(share*float64(t.spec.Slots)))
	}
	if overcommit >= 0 {
		return t.spec.Slots + overcommit
	}
	return t.spec.Slots + t.pipelineDepth(meanLatency)
}

// pipelineDepth returns how many requests beyond the slots keep them busy while answers travel.
func (t *target) pipelineDepth(meanLatency float64) int {
	roundTrip := t.spec.RoundTrip.Seconds()
	if roundTrip <= 0 || meanLatency <= roundTrip {
		return 0
	}
	return min(t.spec.Slots, int(math.Round(float64(t.spec.Slots)*roundTrip/(meanLatency-roundTrip))))
}

func (t *target) removeStart(start time.Duration) {
	for i, s := range t.starts {
		if s == start {
			last := len(t.starts) - 1
			t.starts[i] = t.starts[last]
			t.starts = t.starts[:last]
			return
		}
	}
}

// peerTimeConstant returns how long other entry hosts' counts are worth something: about as long as a request takes.
func peerTimeConstant(meanLatency float64) time.Duration {
	return max(time.Millisecond, time.Duration(meanLatency*float64(time.Second)))
}
