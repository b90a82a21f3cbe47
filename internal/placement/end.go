package placement

import (
	"slices"
	"time"

	"briarcroft/internal/notice"
)

// RunEnd reports the end of one run.
type RunEnd struct {
	ID      RequestID
	Target  string
	Outcome Outcome
	// Duration is the time from sending the request to its response.
	Duration time.Duration
	// Bytes is the size of the response.
	Bytes int
	// Load is the load report that came with the response, or nil.
	Load *LoadReport
	// RateLimit is the rate limit that the target named in its response, in requests per second from all hosts together. It
	// is infinite if the target named none, and nil if there was no response from which to tell.
	RateLimit *float64
	// Notice is what the target said of itself, in this response or in an earlier one to the same host.
	Notice notice.Notice
}

// RunEnded records the end of a run, frees its slot and dispatches queued requests.
func (h *Home) RunEnded(now time.Duration, end RunEnd) {
	r := h.requests[end.ID]
	t := h.byName[end.Target]
	if t != nil && end.Load != nil && end.Outcome != OutcomeOtherServer {
		load := *end.Load
		if end.Outcome != OutcomeNotRun {
			// The load report in a response still counts the run that the response ends.
			load.Running = max(0, load.Running-1)
		}
		h.recordLoad(now, t, load)
	}
	if t != nil && end.RateLimit != nil && end.Outcome != OutcomeOtherServer {
		h.recordRateLimit(now, t, *end.RateLimit)
	}
	if t != nil && end.Outcome != OutcomeOtherServer {
		h.recordNotice(now, t, end.Notice)
	}
	var ended *run
	if r != nil {
		for _, candidate := range r.runs {
			if candidate.target.Name == end.Target {
				ended = candidate
			}
		}
	}
	if ended != nil {
		h.removeRun(ended)
		h.recordOutcome(now, r, ended, end)
		if len(r.runs) == 0 && !r.queued {
			delete(h.requests, r.ID)
		}
	}
	h.Dispatch(now)
}

// recordOutcome updates the state of the target and the statistics of the service from the end of a run.
func (h *Home) recordOutcome(now time.Duration, r *Request, ended *run, end RunEnd) {
	t := ended.target
	h.endSecond(now, ended, end.Outcome, end.Duration)
	h.unspendToken(ended, end.Outcome)
	if end.Outcome == OutcomeAnswered || end.Outcome == OutcomeFailed || end.Outcome == OutcomeNotRun && end.Load != nil {
		t.recordResponse(now)
	}
	switch end.Outcome {
	case OutcomeAnswered:
		r.answered = true
		t.firstBroken = nil
		t.recordSuccess(now)
		h.config.Quarantine.RecordSuccess(now, ended.fingerprints...)
		h.recordDuration(r, ended, end.Duration)
		h.recordUnreported(now, ended, end.Duration, false)
		h.recordResponseBytes(r.Class, end.Bytes)
	case OutcomeFailed:
		t.recordFailure(now, h.mayEject(now))
	case OutcomeTimedOut:
		t.recordFailure(now, h.mayEject(now))
		h.recordUnanswered(now, ended)
	case OutcomeConnectionBroke:
		t.recordFailure(now, h.mayEject(now))
		h.recordBroken(now, ended)
	case OutcomeNotRun:
		if end.Notice != (notice.Notice{}) {
			// The target is missing for a time, and not ill.
			break
		}
		full := end.Load != nil && t.reportedLoad >= t.Slots
		// Count the target as full: it has more requests than this home knows of.
		t.reportedLoad, t.loadAt = max(t.Slots, t.reportedLoad), now
		if !full {
			// Its load does not explain the refusal, so that it may refuse the next request too.
			t.failureRate = max(t.failureRate, failureGain)
		}
	case OutcomeUnreachable:
		t.recordFailure(now, h.mayEject(now))
		h.recordDown(now, t)
	case OutcomeBlocked:
		t.blockedUntil = now + blockedPause
	case OutcomeOtherServer:
		t.otherServer = true
	case OutcomeCanceled:
		h.recordUnreported(now, ended, now-ended.startedAt, true)
		h.recordUnanswered(now, ended)
	}
}

// recordDuration updates the service time of the request's class from the duration of a run or, if the run took one of
// the target's last slots, the slowdown of nearly full targets. The first run of a class always sets its service time.
func (h *Home) recordDuration(r *Request, ended *run, duration time.Duration) {
	seconds := duration.Seconds() / max(minFactor, ended.slowdown)
	old := h.serviceTimes[r.Class]
	if old == 0 {
		h.serviceTimes[r.Class] = seconds
		return
	}
	if ended.nearlyFull {
		ratio := min(maxFactor, max(minFactor, seconds*h.nearlyFullSlowdown/old))
		h.nearlyFullSlowdown += (ratio - h.nearlyFullSlowdown) * nearlyFullGain
		return
	}
	h.serviceTimes[r.Class] = old + (min(seconds, maxFactor*old)-old)*serviceTimeGain
}

// recordLoad updates the state of a target and the average pace of all targets from a load report.
func (h *Home) recordLoad(now time.Duration, t *targetState, l LoadReport) {
	t.recordLoad(now, l)
	if l.Pace > 0 {
		h.averagePace += (min(maxFactor, max(minFactor, l.Pace)) - h.averagePace) * paceGain
	}
}

// mayEject reports whether one more target may be ejected: at least half of the targets that are not evacuated must stay available.
func (h *Home) mayEject(now time.Duration) bool {
	available, evacuated := 0, 0
	for _, t := range h.targets {
		if t.available(now) {
			available++
		}
		if t.Evacuated {
			evacuated++
		}
	}
	return 2*(available-1) >= len(h.targets)-evacuated
}

// CancelQueued removes a request from the queue. Runs of the request continue until RunEnded.
func (h *Home) CancelQueued(id RequestID) {
	r := h.requests[id]
	if r == nil {
		return
	}
	h.removeFromQueue(r)
	if len(r.runs) == 0 {
		delete(h.requests, id)
	}
}

func (h *Home) removeFromQueue(r *Request) {
	if !r.queued {
		return
	}
	r.queued = false
	h.returnToken(r)
	for i, other := range h.queue {
		if other == r {
			h.queue = append(h.queue[:i], h.queue[i+1:]...)
			return
		}
	}
}

// EndStream removes all requests of a placement stream that has ended, frees the slots of their runs and dispatches
// queued requests.
func (h *Home) EndStream(now time.Duration, stream uint64) {
	for id, r := range h.requests {
		if id.Stream != stream {
			continue
		}
		h.removeFromQueue(r)
		h.removeRequest(r)
	}
	h.Dispatch(now)
}

// removeRequest removes a request and frees the slots of its runs.
func (h *Home) removeRequest(r *Request) {
	for _, active := range slices.Clone(r.runs) {
		h.removeRun(active)
	}
	delete(h.requests, r.ID)
}

// runEndTimeout is how long after the deadline of its request a run is removed if its end is not reported.
const runEndTimeout = time.Second

// Tick handles timeouts, reports ejections, dispatches queued requests and starts hedges. It must be called about every
// 10 ms (tickInterval) while the home has requests, and reports whether it still has any.
func (h *Home) Tick(now time.Duration) bool {
	h.checkProbeTimeouts(now)
	h.reportEjections(now)
	h.config.RateLimits.Expire(now)
	for _, r := range h.requests {
		if !r.queued && now > r.Deadline+runEndTimeout {
			h.removeRequest(r)
		}
	}
	h.Dispatch(now)
	h.startHedges(now)
	return len(h.requests) > 0
}

// reportEjections calls OnEjection for each target that was ejected, or whose ejection ended, since the last call.
func (h *Home) reportEjections(now time.Duration) {
	for _, t := range h.targets {
		if ejected := now < t.ejectedUntil; ejected != t.ejectionReported {
			t.ejectionReported = ejected
			if h.config.OnEjection != nil {
				h.config.OnEjection(Ejection{t.Name, ejected, t.consecutiveFailures})
			}
		}
	}
}

// AddQueuedStreams adds to a set the placement streams that have requests in the queue.
func (h *Home) AddQueuedStreams(set map[uint64]bool) {
	for _, r := range h.queue {
		set[r.ID.Stream] = true
	}
}

// QueueLength returns the number of queued requests.
func (h *Home) QueueLength() int { return len(h.queue) }
