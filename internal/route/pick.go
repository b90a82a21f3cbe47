package route

import (
	"time"
)

// Parameters of a target's score, which is its expected time to a response.
const (
	// maxScoreRatio is by how many mean latencies of the service a target's score may exceed the expected wait in the
	// queue. Beyond it the request is better queued until a faster target can take it.
	maxScoreRatio = 2.0
	// loadWeight is the relative increase of the expected latency when all slots are in use, tieBreakWeight the maximum
	// relative increase by the random part.
	loadWeight     = 0.1
	tieBreakWeight = 0.02
	// defaultLatency is the latency in seconds that is assumed before any was measured.
	defaultLatency = 1e-3
	// meanLatencyGain is the weight of one latency in the service's moving mean. Latencies count there as at most
	// outlierClipRatio times the mean, so that outliers do not distort it.
	meanLatencyGain  = 0.02
	outlierClipRatio = 3
)

// Pick returns the target for one more request, or NoTarget if the request should wait. It chooses the lowest score
// among the targets with capacity left. While this host has no request in flight, no score is too high.
// Queued is the number of requests queued before it; excluded is a target not to use, or NoTarget.
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

// backlogOvercommit returns how many requests beyond its limit a target may hold while requests are queued: a slot
// that is idle while a response is on the network then costs more than a short wait at the target.
func (r *Router) backlogOvercommit(queued int) int {
	if queued == 0 {
		return 0
	}
	return 1 + min(1, queued/(2*len(r.targets)))
}

// score returns the expected time to a response in seconds, with a small random part to break ties.
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
