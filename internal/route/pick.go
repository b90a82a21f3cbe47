package route

import (
	"time"
)

// Weights of a target's score.
const (
	// maxScoreRatio is how many usual latencies a target's answer may take before waiting for another target is better.
	maxScoreRatio  = 2.0
	loadWeight     = 0.1
	tieBreakWeight = 0.02
	// defaultLatency is taken in seconds for a target before anything is known.
	defaultLatency = 1e-3
	// meanLatencyGain is the weight of one latency in the service's usual one, which counts outliers only up to clipRatio.
	meanLatencyGain  = 0.02
	outlierClipRatio = 3
)

// Pick returns the target to run one more request, or None when it is better to wait.
// Queued is the number of requests that wait before this one; avoid is a target not to use, or None.
func (r *Router) Pick(now time.Duration, queued int, excluded Index) Index {
	best, bestScore := NoTarget, 0.0
	capacity, busy := 0, 0
	overcommit := r.backlogOvercommit(queued)
	for i, t := range r.targets {
		limit := t.inFlightLimit(now, r.meanLatency, r.config.Overcommit)
		capacity += limit
		busy += len(t.starts)
		if limit == 0 || Index(i) == excluded {
			continue
		}
		load := t.load(now, r.meanLatency)
		if len(t.starts) >= limit+overcommit || load >= float64(limit+overcommit) && len(t.starts) > 0 {
			continue
		}
		if score := r.score(now, t, load); best == NoTarget || score < bestScore {
			best, bestScore = Index(i), score
		}
	}
	if best == NoTarget || busy == 0 || r.meanLatency == 0 {
		return best
	}
	wait := r.meanLatency * float64(queued+1) / float64(capacity)
	if bestScore > maxScoreRatio*r.meanLatency+wait {
		return NoTarget
	}
	return best
}

// backlogOvercommit returns how many more requests than usual a target may hold while others wait:
// a slot that idles while an answer travels costs more then than a short wait at the target.
func (r *Router) backlogOvercommit(queued int) int {
	if queued == 0 {
		return 0
	}
	return 1 + min(1, queued/(2*len(r.targets)))
}

// score returns the expected time to an answer in seconds, with a small random part to break ties.
func (r *Router) score(now time.Duration, t *target, load float64) float64 {
	estimate := t.estimateLatency(now, r.meanLatency)
	if estimate == 0 {
		estimate = defaultLatency
	}
	slots := float64(t.spec.Slots)
	wait := 0.0
	if excess := load + 1 - slots; excess > 0 {
		wait = t.timeUntilSlotFree(now, estimate) + estimate*(excess-1)/slots
	}
	return wait + estimate*(1+loadWeight*load/slots+tieBreakWeight*r.config.Random.Float64())
}
