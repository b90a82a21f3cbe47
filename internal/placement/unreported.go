package placement

import "time"

// Parameters of unreportedSlowdown.
const (
	// unreportedGain is the weight of one run in the moving average, and unreportedDecayTime the decay time without runs.
	unreportedGain      = 0.2
	unreportedDecayTime = 3 * time.Second
	// minUnreported is the least slowdown that counts: less may be chance, as service times vary by a third or so.
	minUnreported = 1.5
)

// unreportedSlowdown is the moving average of how much longer runs on a target take than its load reports suggest. Only a
// home with a plan of flows uses it, because such a home sends requests to targets that are not the fastest.
type unreportedSlowdown struct {
	excess float64
	at     time.Duration
}

// record counts a run that took the given multiple of what the load reports suggested.
func (u *unreportedSlowdown) record(now time.Duration, ratio float64) {
	excess := max(0, min(2*maxFactor, ratio)-1)
	u.excess = u.excess*decay(now-u.at, unreportedDecayTime)*(1-unreportedGain) + excess*unreportedGain
	u.at = now
}

// factor returns the factor by which the next run is expected to take longer than the load reports suggest.
func (u *unreportedSlowdown) factor(now time.Duration) float64 {
	if f := 1 + u.excess*decay(now-u.at, unreportedDecayTime); f >= minUnreported {
		return f
	}
	return 1
}

// recordUnreported compares the duration of a run with what the load reports of its target suggested. Of a canceled run only
// the least duration is known, so it counts only if it is long.
func (h *Home) recordUnreported(now time.Duration, ended *run, duration time.Duration, canceled bool) {
	if h.plan == nil || ended.expected <= 0 {
		return
	}
	ratio := float64(duration) / float64(ended.expected) * ended.unreported
	if !canceled || ratio > overdueRatio {
		ended.target.unreported.record(now, ratio)
	}
}
