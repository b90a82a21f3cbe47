package route

import (
	"math"
	"time"
)

// State says whether a target may get new requests.
type State int

// States of targets.
const (
	// Live targets may get as many requests as they have capacity for.
	Live State = iota
	// Ramping targets are in slow start: their limit grows from 1 to their number of slots.
	Ramping
	// Ejected targets get no requests for some time after failures or slow responses.
	Ejected
	// Draining targets get no new requests but finish those in flight.
	Draining
	// Absent is the state before a target was added.
	Absent
)

// String implements fmt.Stringer.
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

// Spec describes a target: its name and slots come from the configuration, its round-trip time is measured.
type Spec struct {
	Name string
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// RoundTrip is the network's share of a request's latency.
	RoundTrip time.Duration
}

// target is the state of one target as this host sees it. Times are on the monotonic clock of the Router's caller.
type target struct {
	spec  Spec
	state State
	// stateSince is when the state began; ejectedUntil is when an ejection ends.
	stateSince, ejectedUntil time.Duration
	// stateCause is the cause of the last state change.
	stateCause Cause
	// ejections counts consecutive ejections, for the exponential back-off. It restarts from 0 after the target has been
	// live for more than maxEjectDuration.
	ejections int
	// starts holds the start times of this host's requests in flight.
	starts []time.Duration
	// fastMean and slowMean are moving means of the latency in seconds with a short and a long time constant;
	// 0 means that none was measured. latencyAt is when they were updated.
	fastMean, slowMean float64
	latencyAt          time.Duration
	// lastFinishAt is when a request last ended.
	lastFinishAt time.Duration
	// probedAt is when the target was last probed.
	probedAt time.Duration
	// consecutiveFailures counts failed requests since the last success.
	consecutiveFailures int
	// slowSince is when the latency first exceeded the straggler threshold; negative means that it does not.
	slowSince time.Duration
	// reportedLoad is the number of requests of other hosts on the target by its last accepted load report.
	reportedLoad float64
	reportedAt   time.Duration
	// peerInFlight is the sum of the in-flight counts that other entry hosts sent.
	peerInFlight   float64
	peerInFlightAt time.Duration
	// drainConfirmed is set once a probe of the target's report path has confirmed that the target is draining, until a
	// later probe ends the draining.
	drainConfirmed bool
	// distrustReportsUntil is when load reports are accepted again after one that contradicted this host's count.
	distrustReportsUntil time.Duration
}

// Time constants of the exponential decay of the latency means and of load reports, and the time for which reports are
// ignored after one that contradicted this host's count.
const (
	fastTimeConstant   = 25 * time.Millisecond
	slowTimeConstant   = 2 * time.Second
	reportTimeConstant = 250 * time.Millisecond
	reportDistrustTime = 10 * time.Second
)

// Parameters of the latency estimate.
const (
	// fastGain and slowGain are the minimum weights of one new latency in the two means.
	fastGain = 0.3
	slowGain = 0.02
	// fastShare is how far the estimate follows the fast mean while that is recent.
	fastShare = 0.5
	// overdueRatio is the age of a request in flight, as a multiple of the expected latency, beyond which it raises the
	// estimate; overdueWeight is how much of the excess age is added.
	overdueRatio  = 1.2
	overdueWeight = 0.3
	// missingAfter is how many responses may be due before they raise the estimate; missingWeight is the relative
	// increase per further one.
	missingAfter  = 0.5
	missingWeight = 0.2
	// minResidual is the minimum remaining time of a request in flight, as a share of the expected latency.
	minResidual = 0.25
)

// decay returns the weight of a measurement of the given age, from 1 when it is new down to 0.
func decay(age, timeConstant time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	if age > 8*timeConstant {
		return 0
	}
	return math.Exp(-float64(age) / float64(timeConstant))
}

// recordLatency adds one latency in seconds to the means.
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

// estimateLatency returns the latency in seconds to expect of the target now. The estimate decays to the service's
// meanLatency as the target's own measurements age.
func (t *target) estimateLatency(now time.Duration, meanLatency float64) float64 {
	if t.slowMean == 0 {
		return meanLatency
	}
	age := now - t.latencyAt
	slowEstimate := meanLatency + (t.slowMean-meanLatency)*decay(age, slowTimeConstant)
	expected := slowEstimate + (t.fastMean-slowEstimate)*fastShare*decay(age, fastTimeConstant)
	return max(expected, t.overdueLatency(now, expected)) * t.missingResponseFactor(now, meanLatency)
}

// missingResponseFactor returns a factor of 1 or more that grows with the number of responses that have become due since
// a request on the target last ended. It detects a slowdown of the whole target, as by a noisy neighbor on its machine,
// sooner than any single overdue request does.
func (t *target) missingResponseFactor(now time.Duration, meanLatency float64) float64 {
	due := 0.0
	for _, start := range t.starts {
		due += (now - max(start, t.lastFinishAt)).Seconds()
	}
	return 1 + missingWeight*max(0, due/meanLatency-missingAfter)
}

// overdueLatency returns the expected latency in seconds, raised by the requests in flight that exceed it.
func (t *target) overdueLatency(now time.Duration, expected float64) float64 {
	var late float64
	for _, start := range t.starts {
		if age := (now - start).Seconds(); age > overdueRatio*expected {
			late += overdueWeight * (age - overdueRatio*expected)
		}
	}
	return expected + late
}

// timeUntilSlotFree returns the expected time in seconds until the oldest request in flight ends.
func (t *target) timeUntilSlotFree(now time.Duration, estimate float64) float64 {
	oldest := now
	for _, start := range t.starts {
		oldest = min(oldest, start)
	}
	return max(estimate*minResidual, estimate-(now-oldest).Seconds())
}

// load returns the estimated number of requests on the target, of this host and of others.
func (t *target) load(now time.Duration, meanLatency float64) float64 {
	reported := t.reportedLoad * decay(now-t.reportedAt, reportTimeConstant)
	peers := t.peerInFlight * decay(now-t.peerInFlightAt, peerTimeConstant(meanLatency))
	return float64(len(t.starts)) + max(reported, peers)
}

// inFlightLimit returns how many requests this host may have in flight on the target.
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

// pipelineDepth returns how many requests beyond its slots keep the target busy while requests and responses are on the
// network.
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

// peerTimeConstant returns the time constant of the decay of other entry hosts' in-flight counts. It is the service's
// mean latency, because the counted requests end after about that time.
func peerTimeConstant(meanLatency float64) time.Duration {
	return max(time.Millisecond, time.Duration(meanLatency*float64(time.Second)))
}
