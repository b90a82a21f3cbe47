package placement

import "time"

// gapGain is the weight of one pause between two late requests that were placed in what is expected of the next.
const gapGain = 0.3

// overdue predicts when a late request gets its turn. Those in time go first, so that the length of the queue tells little.
// It answers overload that lasts: late requests would wait until their time limit for slots that never stay free.
type overdue struct {
	// gap is the moving time between two late requests that were placed.
	gap time.Duration
	// since is when the last one was placed, or when they began to wait.
	since   time.Duration
	waiting int
}

// wait takes in how many late requests wait.
func (o *overdue) wait(now time.Duration, count int) {
	if o.waiting == 0 {
		o.since = now
	}
	if count == 0 {
		o.gap = 0
	}
	o.waiting = count
}

// served takes in that a late request was placed.
func (o *overdue) served(now time.Duration) {
	if o.waiting > 0 {
		o.gap += time.Duration(gapGain * float64(now-o.since-o.gap))
	}
	o.since = now
}

// turn returns how long a late request will wait behind so many others: as long for each as for the last ones, or as the
// next one has waited already.
func (o *overdue) turn(now time.Duration, ahead int) time.Duration {
	if o.waiting == 0 {
		return 0
	}
	return time.Duration(ahead+1) * max(o.gap, now-o.since)
}
