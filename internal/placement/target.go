package placement

import (
	"math"
	"slices"
	"time"

	"briarcroft/internal/notice"
)

// Parameters of the state of a target. A decay time is the time constant of an exponential decay.
const (
	// paceDecayTime is the decay time of a reported pace. The load that neighboring workloads put on the target's
	// machine changes within a few hundred milliseconds.
	paceDecayTime = 300 * time.Millisecond
	// maxLoadAge is how long a reported load is used. After that, only the runs that this home has placed are counted.
	maxLoadAge = 100 * time.Millisecond
	// transitTime is the longest time until a run that was placed is counted in the target's load reports.
	transitTime = 8 * time.Millisecond
	// failureDecayTime is the decay time of a target's failure rate.
	failureDecayTime = 3 * time.Second
	// failureGain is the weight of one outcome in the moving average of the failure rate.
	failureGain = 0.25
	// failurePenalty makes a run on a target where every run fails count as 1+failurePenalty times as long.
	failurePenalty = 6.0
	// warmUpSlowdown is the factor by which a target is assumed to be slower while it warms up, unless it reports its
	// pace.
	warmUpSlowdown = 2.0
	// overdueRatio is the age of a run, relative to its expected duration, from which the run is overdue and its target
	// is assumed to be slow or hung.
	overdueRatio = 2.0
	// nearlyFullShare is the share of used slots above which a target is nearly full and may slow down.
	nearlyFullShare = 0.8
	// minEjection is the duration of a target's first ejection. It doubles with each further one, up to maxEjection,
	// until a run on the target succeeds.
	minEjection = 500 * time.Millisecond
	maxEjection = 8 * time.Second
	// failuresToEject is the number of consecutive failures after which a target is ejected.
	failuresToEject = 3
)

// Target is a backend server as it has registered itself.
type Target struct {
	Name    string
	Address string
	Domain  string
	// Slots is the number of requests that it can run concurrently.
	Slots int
	// Draining is set when it accepts no new requests.
	Draining bool
	// WarmUpLeft is how long it remains slow after its start, counted from the registration.
	WarmUpLeft time.Duration
	// WarmUpOmitted is set if the registration does not say how long it remains slow.
	WarmUpOmitted bool
	// Incarnation changes with each start of the target. State of an earlier incarnation is discarded.
	Incarnation int64
	// Evacuated is set while the target's failure domain is evacuated: it gets no requests and no probes. EvacuatedUntil is when
	// the last evacuation of the domain ended on this host; zero means that there was none.
	Evacuated      bool
	EvacuatedUntil time.Duration
}

// targetState is the home's state of one target.
type targetState struct {
	Target
	warmUpUntil time.Duration
	runs        []*run
	// pace is the last pace that the target reported, at paceAt.
	pace      float64
	paceAt    time.Duration
	paceDecay cachedDecay
	// reportedLoad is the number of running and waiting requests in the target's last load report, at loadAt.
	reportedLoad int
	loadAt       time.Duration
	// failureRate is the moving average of the share of runs that failed, last updated at failureRateAt.
	failureRate         float64
	failureRateAt       time.Duration
	failureDecay        cachedDecay
	consecutiveFailures int
	// failedAt is when a run last failed.
	failedAt time.Duration
	// answeredAt is when a run last ended with a response.
	answeredAt time.Duration
	// respondedAt is when the target last responded to anything, probes included.
	respondedAt time.Duration
	// unanswered holds runs that ended without a response while the target was not known to be down.
	unanswered []*run
	// broken holds the last runs whose connection broke since the target responded.
	broken []brokenRun
	// firstBroken is the first run whose connection broke since the target answered a request.
	firstBroken  *brokenRun
	ejectedUntil time.Duration
	// ejections counts the ejections since the last success.
	ejections int
	// ejectionReported is set if the last call of OnEjection for this target reported it as ejected.
	ejectionReported bool
	probe            probeState
	limiter          rateLimiter
	// coldUntil is when the target, which is cold, will be warm; zero if it is not cold. unconfirmed is the number of runs since its
	// last health response.
	coldUntil   time.Duration
	unconfirmed int
	// said is what the target has said of itself.
	said notice.State
	// otherServer is set while another server answers at the target's address.
	otherServer bool
	// blockedUntil is until when the target is not used because a host has not sent it a request; see OutcomeBlocked.
	blockedUntil time.Duration
	// unreported is kept only with a plan of flows.
	unreported unreportedSlowdown
}

// decay returns the weight of a value of the given age, which falls exponentially from 1 to 0.
func decay(age, decayTime time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(decayTime))
}

// cachedDecay caches the last result of decay, as many requests are compared with the same targets at the same time.
type cachedDecay struct {
	age    time.Duration
	weight float64
}

func (c *cachedDecay) decay(age, decayTime time.Duration) float64 {
	if c.age != age || c.weight == 0 {
		c.age, c.weight = age, decay(age, decayTime)
	}
	return c.weight
}

// load returns the number of requests on the target. A recent load report, which also counts requests that this home has
// not placed, takes precedence over the number of runs, because runs whose response was lost no longer occupy a slot.
func (t *targetState) load(now time.Duration) int {
	if now-t.loadAt > maxLoadAge {
		return len(t.runs)
	}
	load := t.reportedLoad
	for _, active := range t.runs {
		if active.startedAt > t.loadAt-transitTime {
			load++
		}
	}
	return load
}

// inService reports whether the target accepts new requests, or will when it has paused, may get them, and its address is still its
// own.
func (t *targetState) inService() bool { return t.acceptsRequests() && !t.Evacuated }

// acceptsRequests reports whether the target would be in service if it were not evacuated.
func (t *targetState) acceptsRequests() bool { return !t.Draining && !t.said.Leaving && !t.otherServer }

// available reports whether the target is in service, not pausing, not ejected, not down and not doubtful, or due for a trial.
func (t *targetState) available(now time.Duration) bool {
	return t.inService() && now >= t.said.PausedUntil && now >= t.blockedUntil && now >= t.ejectedUntil && !t.probe.down && (!t.doubtful(now) || t.trialDue(now))
}

// doubtful reports whether probes say that the target is unhealthy and no request has shown the opposite lately.
func (t *targetState) doubtful(now time.Duration) bool {
	return t.probe.unhealthy && (t.failedAt >= t.answeredAt || now-t.answeredAt >= answerTrustTime)
}

// trialDue reports whether a doubtful target may get a request.
func (t *targetState) trialDue(now time.Duration) bool {
	return len(t.runs) == 0 && now >= t.probe.trialAt
}

// slowdown returns the expected duration of a run that starts now relative to its service time, and whether the run would
// take one of the target's last slots.
func (t *targetState) slowdown(now time.Duration, averagePace, nearlyFullSlowdown float64) (factor float64, nearlyFull bool) {
	weight := t.paceDecay.decay(now-t.paceAt, paceDecayTime)
	if t.pace == 0 {
		weight = 0
	}
	assumed := averagePace
	if now < t.warmUpUntil || t.cold() {
		// Only the assumed pace is corrected, because a reported pace includes the effect of warming up.
		assumed *= warmUpSlowdown
	}
	factor = t.pace*weight + assumed*(1-weight)
	nearlyFull = float64(t.load(now)+1) > nearlyFullShare*float64(t.Slots)
	if nearlyFull {
		factor *= nearlyFullSlowdown
	}
	if t.failureRate > 0 {
		factor *= 1 + failurePenalty*t.failureRate*t.failureDecay.decay(now-t.failureRateAt, failureDecayTime)
	}
	return factor * t.overdueFactor(now), nearlyFull
}

// overdueFactor returns the age of the most overdue run on the target relative to its expected duration, or 1 if no run
// is overdue. The age counts from the last response of the target if the run started before it.
func (t *targetState) overdueFactor(now time.Duration) float64 {
	worst := 1.0
	for _, active := range t.runs {
		age := now - max(active.startedAt, t.answeredAt)
		if ratio := float64(age) / float64(max(time.Millisecond, active.expected)); ratio > overdueRatio {
			worst = max(worst, ratio)
		}
	}
	return worst
}

// recordLoad updates the state from a load report.
func (t *targetState) recordLoad(now time.Duration, l LoadReport) {
	if l.Pace > 0 {
		t.pace, t.paceAt = l.Pace, now
	}
	if l.Slots > 0 {
		t.Slots = l.Slots
	}
	t.reportedLoad, t.loadAt = l.Running+l.Waiting, now
}

// recordSuccess updates the state after a run that was answered.
func (t *targetState) recordSuccess(now time.Duration) {
	t.answeredAt = now
	t.consecutiveFailures = 0
	t.ejections = 0
	t.failureRate *= (1 - failureGain) * decay(now-t.failureRateAt, failureDecayTime)
	t.failureRateAt = now
}

// recordFailure updates the state after a failed run, and ejects the target after failuresToEject consecutive failures if
// mayEject is set.
func (t *targetState) recordFailure(now time.Duration, mayEject bool) {
	if t.Evacuated {
		// Its machine may be shut down, which says nothing of the target.
		return
	}
	t.failureRate = t.failureRate*decay(now-t.failureRateAt, failureDecayTime)*(1-failureGain) + failureGain
	t.failureRateAt = now
	t.consecutiveFailures++
	t.failedAt = now
	if t.consecutiveFailures < failuresToEject || !mayEject || now < t.ejectedUntil {
		return
	}
	t.ejectedUntil = now + min(maxEjection, minEjection<<min(t.ejections, 8))
	t.ejections++
}

func (t *targetState) removeRun(ended *run) {
	t.runs = slices.DeleteFunc(t.runs, func(other *run) bool { return other == ended })
}
