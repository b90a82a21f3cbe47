package route

import (
	"time"
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

// Pick returns the target to run one more request, or None when it is better to wait.
// Queued is the number of requests that wait before this one; avoid is a target not to use, or None.
func (r *Router) Pick(now time.Duration, queued int, avoid Index) Index {
	best, bestScore := NoTarget, 0.0
	capacity, busy := 0, 0
	extra := r.pressure(queued)
	for i, t := range r.targets {
		limit := t.limit(now, r.usual, r.config.Overcommit)
		capacity += limit
		busy += len(t.starts)
		if limit == 0 || Index(i) == avoid {
			continue
		}
		load := t.load(now, r.usual)
		if len(t.starts) >= limit+extra || load >= float64(limit+extra) && len(t.starts) > 0 {
			continue
		}
		if score := r.score(now, t, load); best == NoTarget || score < bestScore {
			best, bestScore = Index(i), score
		}
	}
	if best == NoTarget || busy == 0 || r.usual == 0 {
		return best
	}
	wait := r.usual * float64(queued+1) / float64(capacity)
	if bestScore > patience*r.usual+wait {
		return NoTarget
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
