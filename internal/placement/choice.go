package placement

import (
	"math"
	"slices"
	"time"
)

// Penalties that decide between targets of similar expected duration.
const (
	// loadPenalty is the penalty of a full target. It spreads requests over the targets.
	loadPenalty = 0.1
	// crossDomainBytes is the response size for which a target in another failure domain would count as twice as slow
	// without the limit of maxCrossDomainPenalty. Traffic between failure domains is billed by the byte.
	crossDomainBytes = 256 << 10
	// maxCrossDomainPenalty limits the penalty, so that requests with large responses still go to a target in another
	// failure domain if it is much faster.
	maxCrossDomainPenalty = 0.5
	// responseBytesGain is the weight of one response in the moving average of the response size of a class.
	responseBytesGain = 0.05
)

// runEstimate is the expected duration of a run that starts on a target now.
type runEstimate struct {
	expected time.Duration
	// slowdown is the expected duration relative to the service time of the request's class. nearlyFull is set if the run
	// would take one of the target's last slots.
	slowdown   float64
	nearlyFull bool
}

// candidate is a target that may run a request now. Lower scores are better; a candidate without a target has the worst.
type candidate struct {
	target   *targetState
	estimate runEstimate
	score    float64
	// rank is the position in the scan of all targets, which begins at a random one. It decides between equal scores.
	rank int
}

// better reports whether the candidate comes before another.
func (c candidate) better(other candidate) bool {
	return c.score < other.score || c.score == other.score && c.rank < other.rank
}

// pickTarget returns the target with the lowest expected duration, adjusted for load and for traffic between failure
// domains, and the estimate for a run there. It considers available targets with a free slot that are not in excluded and
// whose rate limit allows a run, and returns nil if there is none or, with a plan of flows, if the request should wait for
// one in its own failure domain.
func (h *Home) pickTarget(now time.Duration, r *Request, excluded []string) (*targetState, runEstimate) {
	own, other := h.bestTargets(now, r, excluded)
	if h.planned() {
		best := h.choosePlanned(now, r, own, other)
		return best.target, best.estimate
	}
	h.setAwaitsDomain(r, false)
	if other.better(own) {
		return other.target, other.estimate
	}
	return own.target, own.estimate
}

// bestTargets returns the best target in the failure domain of the request and the best one in another, with the penalty
// for traffic between failure domains included in the score.
func (h *Home) bestTargets(now time.Duration, r *Request, excluded []string) (own, other candidate) {
	own.score, other.score = math.Inf(1), math.Inf(1)
	start := 0
	if len(h.targets) > 0 {
		start = h.config.Random.IntN(len(h.targets))
	}
	serviceTime := float64(h.serviceTime(r))
	for i := range h.targets {
		t := h.targets[(start+i)%len(h.targets)]
		if !t.available(now) || t.load(now) >= t.openSlots(now) || slices.Contains(excluded, t.Name) || !h.mayRunOn(now, t) || !r.Repeatable && t.doubtful(now) {
			continue
		}
		factor, nearlyFull := t.slowdown(now, h.averagePace, h.nearlyFullSlowdown)
		if h.planned() {
			factor *= t.unreported.factor(now)
		}
		score := factor * h.crossDomainFactor(t, r) * (1 + loadPenalty*float64(t.load(now))/float64(t.Slots))
		if h.anyLimited {
			score *= t.limitCheckFactor(now)
		}
		best := &own
		if t.Domain != r.Domain {
			best = &other
		}
		if score < best.score {
			*best = candidate{t, runEstimate{time.Duration(serviceTime * factor), factor, nearlyFull}, score, i}
		}
	}
	return own, other
}

// crossDomainFactor returns the factor by which the traffic between failure domains makes a target less attractive.
func (h *Home) crossDomainFactor(t *targetState, r *Request) float64 {
	if t.Domain == r.Domain {
		return 1
	}
	if h.planned() {
		return h.plannedFactor(t, r)
	}
	return 1 + min(maxCrossDomainPenalty, h.responseBytes[r.Class]/crossDomainBytes)
}

// recordResponseBytes updates the mean response size of a class.
func (h *Home) recordResponseBytes(class string, bytes int) {
	gain := responseBytesGain
	if h.plan != nil {
		gain = h.plan.responseGain(class)
	}
	h.responseBytes[class] += (float64(bytes) - h.responseBytes[class]) * gain
}
