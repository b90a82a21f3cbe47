package placement

import "time"

// intervalGain is the weight of the latest interval in the moving average of lateWaitEstimator.
const intervalGain = 0.3

// lateWaitEstimator predicts how long late requests, those that can no longer meet their goal, stay in the queue. The
// length of the queue predicts that badly, because requests that can meet their goal are placed first. Without it, late
// requests would wait until their deadline under lasting overload, for slots that never stay free.
type lateWaitEstimator struct {
	// interval is the moving average of the time between placements of late requests.
	interval time.Duration
	// lastPlacedAt is when a late request was last placed or, if that was later, when late requests began to queue.
	lastPlacedAt time.Duration
	queued       int
}

// setQueued records the number of late requests in the queue.
func (e *lateWaitEstimator) setQueued(now time.Duration, count int) {
	if e.queued == 0 {
		e.lastPlacedAt = now
	}
	if count == 0 {
		e.interval = 0
	}
	e.queued = count
}

// recordPlaced records that a late request was placed.
func (e *lateWaitEstimator) recordPlaced(now time.Duration) {
	if e.queued > 0 {
		e.interval += time.Duration(intervalGain * float64(now-e.lastPlacedAt-e.interval))
	}
	e.lastPlacedAt = now
}

// estimate returns how long a late request will wait behind the given number of other late requests. For itself and
// each of them it adds the average interval between placements, or the time since the last placement if that is longer.
func (e *lateWaitEstimator) estimate(now time.Duration, ahead int) time.Duration {
	if e.queued == 0 {
		return 0
	}
	return time.Duration(ahead+1) * max(e.interval, now-e.lastPlacedAt)
}
