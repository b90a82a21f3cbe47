package placement

import (
	"math"
	"slices"
	"time"
)

// Horizons and weights of what is known of a target.
const (
	// paceDecayTime is how long a reported pace stays telling: neighbours' load shifts within a few hundred milliseconds.
	paceDecayTime = 300 * time.Millisecond
	// maxLoadAge is how long a reported load counts; after it only own runs do.
	maxLoadAge = 100 * time.Millisecond
	// transitTime is how long a request may be on its way to a target that does not count it yet.
	transitTime = 8 * time.Millisecond
	// failureDecayTime is how long a failure makes a target less attractive.
	failureDecayTime = 3 * time.Second
	// failureGain is the weight of one outcome in the moving share of failures.
	failureGain = 0.25
	// failurePenalty is how much longer than usual a run is taken to last at a target where every run fails.
	failurePenalty = 6.0
	// warmUpSlowdown is how much slower a target is taken to be right after its start, as long as it doesn't say.
	warmUpSlowdown = 2.0
	// overdueRatio is the age of a run, in expected times, from which its target looks stuck.
	overdueRatio = 2.0
	// nearlyFullShare is the part of a target's slots beyond which one more run may slow it down.
	nearlyFullShare = 0.8
	// longestEjection and firstEjection bound how long a failing target is left out.
	minEjection = 500 * time.Millisecond
	maxEjection = 8 * time.Second
	// failuresToEject is how many failures in a row take a target out.
	failuresToEject = 3
)

// Target is one target as it describes itself.
type Target struct {
	Name    string
	Address string
	Domain  string
	// Slots is how many requests it runs at a time.
	Slots int
	// Draining is set once it takes no new work.
	Draining bool
	// WarmUpLeft is how long it stays slow, counted from when this was told.
	WarmUpLeft time.Duration
	// Incarnation identifies one start of the target; another value means that it holds and knows nothing of before.
	Incarnation int64
}

// targetState is what the home knows of one target.
type targetState struct {
	Target
	warmUpUntil time.Duration
	runs        []*run
	// pace is the last one reported, at pacedAt.
	pace   float64
	paceAt time.Duration
	// reportedLoad is how many requests the target held by its last report, at seenAt.
	reportedLoad int
	loadAt       time.Duration
	// failureRate is the moving share of runs that failed, last changed at failedAt.
	failureRate         float64
	failureRateAt       time.Duration
	consecutiveFailures int
	// answeredAt is when a run last ended with an answer.
	answeredAt   time.Duration
	ejectedUntil time.Duration
	ejections    int
	// ejectionReported is whether the target was ejected when that was last told.
	ejectionReported bool
	probe            probeState
	otherServer      bool
}

// decay returns how much knowledge of an age still counts, from 1 down to 0.
func decay(age, horizon time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(horizon))
}

// load returns how many requests the target holds, whoever sent them. A fresh report goes before own counts: runs whose
// answers were lost hold no slot any more.
func (t *targetState) load(now time.Duration) int {
	if now-t.loadAt > maxLoadAge {
		return len(t.runs)
	}
	load := t.reportedLoad
	for _, h := range t.runs {
		if h.startedAt > t.loadAt-transitTime {
			load++
		}
	}
	return load
}

// inService reports whether the target may get requests at all.
func (t *targetState) inService() bool { return !t.Draining && !t.otherServer }

// available reports whether nothing speaks against the target now.
func (t *targetState) available(now time.Duration) bool {
	return t.inService() && now >= t.ejectedUntil && !t.probe.down
}

// slowdown returns how much longer than the base time a run that starts now should take.
func (t *targetState) slowdown(now time.Duration, usualPace, crowding float64) (factor float64, crowded bool) {
	known := decay(now-t.paceAt, paceDecayTime)
	if t.pace == 0 {
		known = 0
	}
	unknown := usualPace
	if now < t.warmUpUntil {
		// A report shows the pace as it is, warming up included.
		unknown *= warmUpSlowdown
	}
	factor = t.pace*known + unknown*(1-known)
	crowded = float64(t.load(now)+1) > nearlyFullShare*float64(t.Slots)
	if crowded {
		factor *= crowding
	}
	factor *= 1 + failurePenalty*t.failureRate*decay(now-t.failureRateAt, failureDecayTime)
	return factor * t.overdueFactor(now), crowded
}

// overdueFactor returns a factor above 1 when runs on the target are overdue and none has ended since.
func (t *targetState) overdueFactor(now time.Duration) float64 {
	worst := 1.0
	for _, h := range t.runs {
		age := now - max(h.startedAt, t.answeredAt)
		if ratio := float64(age) / float64(max(time.Millisecond, h.expected)); ratio > overdueRatio {
			worst = max(worst, ratio)
		}
	}
	return worst
}

// recordLoad takes in the target's own word.
func (t *targetState) recordLoad(now time.Duration, l LoadReport) {
	if l.Pace > 0 {
		t.pace, t.paceAt = l.Pace, now
	}
	if l.Slots > 0 {
		t.Slots = l.Slots
	}
	t.reportedLoad, t.loadAt = l.Running+l.Waiting, now
}

// recordSuccess takes in a run that ended well.
func (t *targetState) recordSuccess(now time.Duration) {
	t.answeredAt = now
	t.consecutiveFailures = 0
	t.ejections = 0
	t.failureRate *= (1 - failureGain) * decay(now-t.failureRateAt, failureDecayTime)
	t.failureRateAt = now
}

// recordFailure takes in a run that ended badly, and ejects the target after several in a row when that is allowed.
func (t *targetState) recordFailure(now time.Duration, mayEject bool) {
	t.failureRate = t.failureRate*decay(now-t.failureRateAt, failureDecayTime)*(1-failureGain) + failureGain
	t.failureRateAt = now
	t.consecutiveFailures++
	if t.consecutiveFailures < failuresToEject || !mayEject || now < t.ejectedUntil {
		return
	}
	t.ejectedUntil = now + min(maxEjection, minEjection<<min(t.ejections, 8))
	t.ejections++
}

func (t *targetState) removeRun(h *run) {
	t.runs = slices.DeleteFunc(t.runs, func(other *run) bool { return other == h })
}
