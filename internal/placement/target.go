package placement

import (
	"math"
	"slices"
	"time"
)

// Horizons and weights of what is known of a target.
const (
	// paceHorizon is how long a reported pace stays telling: neighbours' load shifts within a few hundred milliseconds.
	paceHorizon = 300 * time.Millisecond
	// loadHorizon is how long a reported load counts; after it only own runs do.
	loadHorizon = 100 * time.Millisecond
	// travelTime is how long a request may be on its way to a target that does not count it yet.
	travelTime = 8 * time.Millisecond
	// failureHorizon is how long a failure makes a target less attractive.
	failureHorizon = 3 * time.Second
	// failureGain is the weight of one outcome in the moving share of failures.
	failureGain = 0.25
	// failurePenalty is how much longer than usual a run is taken to last at a target where every run fails.
	failurePenalty = 6.0
	// warmingSlowdown is how much slower a target is taken to be right after its start, as long as it doesn't say.
	warmingSlowdown = 2.0
	// overdueRatio is the age of a run, in expected times, from which its target looks stuck.
	overdueRatio = 2.0
	// crowdedShare is the part of a target's slots beyond which one more run may slow it down.
	crowdedShare = 0.8
	// longestEjection and firstEjection bound how long a failing target is left out.
	firstEjection   = 500 * time.Millisecond
	longestEjection = 8 * time.Second
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

// target is what the home knows of one target.
type target struct {
	Target
	warmUntil time.Duration
	holds     []*hold
	// pace is the last one reported, at pacedAt.
	pace    float64
	pacedAt time.Duration
	// seen is how many requests the target held by its last report, at seenAt.
	seen   int
	seenAt time.Duration
	// failures is the moving share of runs that failed, last changed at failedAt.
	failures float64
	failedAt time.Duration
	inARow   int
	// answeredAt is when a run last ended with an answer.
	answeredAt   time.Duration
	ejectedUntil time.Duration
	ejections    int
	// out is whether the target was ejected when that was last told.
	out       bool
	probe     probe
	misplaced bool
}

// fade returns how much knowledge of an age still counts, from 1 down to 0.
func fade(age, horizon time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(horizon))
}

// load returns how many requests the target holds, whoever sent them. A fresh report goes before own counts: runs whose
// answers were lost hold no slot any more.
func (t *target) load(now time.Duration) int {
	if now-t.seenAt > loadHorizon {
		return len(t.holds)
	}
	load := t.seen
	for _, h := range t.holds {
		if h.started > t.seenAt-travelTime {
			load++
		}
	}
	return load
}

// usable reports whether the target may get requests at all.
func (t *target) usable() bool { return !t.Draining && !t.misplaced }

// sound reports whether nothing speaks against the target now.
func (t *target) sound(now time.Duration) bool {
	return t.usable() && now >= t.ejectedUntil && !t.probe.down
}

// slowdown returns how much longer than the base time a run that starts now should take.
func (t *target) slowdown(now time.Duration, usualPace, crowding float64) (factor float64, crowded bool) {
	known := fade(now-t.pacedAt, paceHorizon)
	if t.pace == 0 {
		known = 0
	}
	unknown := usualPace
	if now < t.warmUntil {
		// A report shows the pace as it is, warming up included.
		unknown *= warmingSlowdown
	}
	factor = t.pace*known + unknown*(1-known)
	crowded = float64(t.load(now)+1) > crowdedShare*float64(t.Slots)
	if crowded {
		factor *= crowding
	}
	factor *= 1 + failurePenalty*t.failures*fade(now-t.failedAt, failureHorizon)
	return factor * t.stuck(now), crowded
}

// stuck returns a factor above 1 when runs on the target are overdue and none has ended since.
func (t *target) stuck(now time.Duration) float64 {
	worst := 1.0
	for _, h := range t.holds {
		age := now - max(h.started, t.answeredAt)
		if ratio := float64(age) / float64(max(time.Millisecond, h.expected)); ratio > overdueRatio {
			worst = max(worst, ratio)
		}
	}
	return worst
}

// report takes in the target's own word.
func (t *target) report(now time.Duration, l LoadReport) {
	if l.Pace > 0 {
		t.pace, t.pacedAt = l.Pace, now
	}
	if l.Slots > 0 {
		t.Slots = l.Slots
	}
	t.seen, t.seenAt = l.Running+l.Waiting, now
}

// succeeded takes in a run that ended well.
func (t *target) succeeded(now time.Duration) {
	t.answeredAt = now
	t.inARow = 0
	t.ejections = 0
	t.failures *= (1 - failureGain) * fade(now-t.failedAt, failureHorizon)
	t.failedAt = now
}

// failed takes in a run that ended badly, and ejects the target after several in a row when that is allowed.
func (t *target) failed(now time.Duration, mayEject bool) {
	t.failures = t.failures*fade(now-t.failedAt, failureHorizon)*(1-failureGain) + failureGain
	t.failedAt = now
	t.inARow++
	if t.inARow < failuresToEject || !mayEject || now < t.ejectedUntil {
		return
	}
	t.ejectedUntil = now + min(longestEjection, firstEjection<<min(t.ejections, 8))
	t.ejections++
}

func (t *target) drop(h *hold) {
	t.holds = slices.DeleteFunc(t.holds, func(other *hold) bool { return other == h })
}
