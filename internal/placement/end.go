package placement

import "time"

// RunEnd is the end of one run.
type RunEnd struct {
	ID      RequestID
	Target  string
	Outcome Outcome
	// Duration is the time from the request's sending to its answer.
	Duration time.Duration
	// Bytes is the size of the answer.
	Bytes int
	// Load is the report that came with the answer, or nil.
	Load *LoadReport
}

// RunEnded takes in the end of a run and places requests that wait.
func (h *Home) RunEnded(now time.Duration, d RunEnd) {
	r := h.requests[d.ID]
	t := h.byName[d.Target]
	if t != nil && d.Load != nil && d.Outcome != OutcomeOtherServer {
		load := *d.Load
		if d.Outcome != OutcomeNotRun {
			// The report on an answer still counts the run that it answers.
			load.Running = max(0, load.Running-1)
		}
		h.reported(now, t, load)
	}
	var ended *hold
	if r != nil {
		for _, held := range r.holds {
			if held.target.Name == d.Target {
				ended = held
			}
		}
	}
	if ended != nil {
		ended.target.drop(ended)
		r.drop(ended)
		h.learn(now, r, ended, d)
		if len(r.holds) == 0 && !r.waiting {
			delete(h.requests, r.ID)
		}
	}
	h.Dispatch(now)
}

// learn takes in what the end of a run says of its target and its service.
func (h *Home) learn(now time.Duration, r *Request, ended *hold, d RunEnd) {
	t := ended.target
	switch d.Outcome {
	case OutcomeAnswered:
		t.succeeded(now)
		h.crash.answered(r.Fingerprint)
		h.learnTime(r, ended, d.Duration)
		h.bytes[r.Class] += (float64(d.Bytes) - h.bytes[r.Class]) * bytesGain
	case OutcomeFailed, OutcomeTimedOut:
		t.failed(now, h.mayEject(now))
	case OutcomeConnectionBroke:
		t.failed(now, h.mayEject(now))
		h.crash.broke(now, r.Fingerprint, t.Name)
	case OutcomeNotRun:
		// The target holds more than is known here.
		t.seen, t.seenAt = max(t.Slots, t.seen), now
		t.failures = max(t.failures, failureGain)
	case OutcomeUnreachable:
		t.failed(now, h.mayEject(now))
		t.probe.down = true
	case OutcomeOtherServer:
		t.misplaced = true
	case OutcomeCanceled:
	}
}

// learnTime takes the time of a run into the class's base time and into what is known of crowding.
func (h *Home) learnTime(r *Request, ended *hold, took time.Duration) {
	seconds := took.Seconds() / max(leastFactor, ended.slowdown)
	old := h.bases[r.Class]
	if old == 0 {
		h.bases[r.Class] = seconds
		return
	}
	if ended.crowded {
		ratio := min(mostFactor, max(leastFactor, seconds*h.crowding/old))
		h.crowding += (ratio - h.crowding) * crowdingGain
		return
	}
	h.bases[r.Class] = old + (min(seconds, mostFactor*old)-old)*baseGain
}

// reported takes in a target's own word.
func (h *Home) reported(now time.Duration, t *target, l LoadReport) {
	t.report(now, l)
	if l.Pace > 0 {
		h.pace += (min(mostFactor, max(leastFactor, l.Pace)) - h.pace) * paceGain
	}
}

// mayEject reports whether one more target can be left out: at least half of them stay in.
func (h *Home) mayEject(now time.Duration) bool {
	sound := 0
	for _, t := range h.targets {
		if t.sound(now) {
			sound++
		}
	}
	return 2*(sound-1) >= len(h.targets)
}

// CancelQueued takes a waiting request out of the queue; runs go on until Done.
func (h *Home) CancelQueued(id RequestID) {
	r := h.requests[id]
	if r == nil {
		return
	}
	h.unqueue(r)
	if len(r.holds) == 0 {
		delete(h.requests, id)
	}
}

func (h *Home) unqueue(r *Request) {
	if !r.waiting {
		return
	}
	r.waiting = false
	for i, other := range h.queue {
		if other == r {
			h.queue = append(h.queue[:i], h.queue[i+1:]...)
			return
		}
	}
}

// EndStream forgets everything of a host whose conversation has ended.
func (h *Home) EndStream(now time.Duration, host uint64) {
	for id, r := range h.requests {
		if id.Stream != host {
			continue
		}
		h.unqueue(r)
		h.forget(r)
	}
	h.Dispatch(now)
}

func (h *Home) forget(r *Request) {
	for _, held := range r.holds {
		held.target.drop(held)
	}
	r.holds = nil
	delete(h.requests, r.ID)
}

// forgetAfter is how long after its deadline a run without an end is forgotten.
const forgetAfter = time.Second

// Tick runs the timers: call it every few milliseconds while requests are known. It reports whether any are.
func (h *Home) Tick(now time.Duration) bool {
	h.checkSilence(now)
	h.tellEjections(now)
	for _, r := range h.requests {
		if !r.waiting && now > r.Deadline+forgetAfter {
			h.forget(r)
		}
	}
	h.Dispatch(now)
	h.hedge(now)
	return len(h.requests) > 0
}

// tellEjections tells of targets that were taken out or are back.
func (h *Home) tellEjections(now time.Duration) {
	for _, t := range h.targets {
		if out := now < t.ejectedUntil; out != t.out {
			t.out = out
			if h.config.OnEjection != nil {
				h.config.OnEjection(Ejection{t.Name, out, t.inARow})
			}
		}
	}
}

// AddQueuedStreams adds the hosts whose requests wait to a set.
func (h *Home) AddQueuedStreams(set map[uint64]bool) {
	for _, r := range h.queue {
		set[r.ID.Stream] = true
	}
}

// QueueLength returns the number of waiting requests.
func (h *Home) QueueLength() int { return len(h.queue) }
