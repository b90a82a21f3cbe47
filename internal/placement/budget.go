package placement

import "time"

// RetryBudget limits extra attempts, that is, retries and hedges, to a share of the requests of a service, plus a fixed
// number, in any sliding window. It prevents retry storms: a service that fails or refuses requests must not get more
// load because of that.
type RetryBudget struct {
	// Ratio is the maximum number of extra attempts per request, and Slack how many more are allowed per window.
	Ratio  float64
	Slack  float64
	Window time.Duration

	buckets [budgetBuckets + 1]budgetBucket
}

// budgetBuckets is the number of buckets that a window is divided into. One more bucket is kept, because a window that
// does not begin at a bucket boundary overlaps with one bucket more.
const budgetBuckets = 20

type budgetBucket struct {
	index         int64
	requests      int
	extraAttempts int
}

func (b *RetryBudget) bucket(now time.Duration) *budgetBucket {
	index := int64(now / (b.Window / budgetBuckets))
	bucket := &b.buckets[index%int64(len(b.buckets))]
	if bucket.index != index {
		*bucket = budgetBucket{index: index}
	}
	return bucket
}

// AddRequest counts the first attempt of a request.
func (b *RetryBudget) AddRequest(now time.Duration) { b.bucket(now).requests++ }

// sums returns the number of extra attempts in the window that ends now, and the number of requests in its second half.
//
// Requests of the first half are left out because a window that ends later may contain an extra attempt but no longer
// the requests that allowed it. With half the requests, the limit holds in this sense: the requests of the half window
// before an extra attempt are all in any later window that contains the attempt, or all in the window that ends half a
// window earlier, and the extra attempts of a window never exceed the limit for the larger of these two counts.
func (b *RetryBudget) sums(now time.Duration) (requests, extraAttempts int) {
	current := b.bucket(now).index
	for _, bucket := range b.buckets {
		if bucket.index > current-budgetBuckets/2 {
			requests += bucket.requests
		}
		if bucket.index > current-int64(len(b.buckets)) {
			extraAttempts += bucket.extraAttempts
		}
	}
	return requests, extraAttempts
}

// Remaining returns how many extra attempts the budget still allows; it may be negative.
func (b *RetryBudget) Remaining(now time.Duration) float64 {
	requests, extraAttempts := b.sums(now)
	return b.Ratio*float64(requests) + b.Slack - float64(extraAttempts)
}

// Spend takes one extra attempt from the budget. It reports false and takes nothing if less than reserve would remain.
func (b *RetryBudget) Spend(now time.Duration, reserve float64) bool {
	if b.Remaining(now) < 1+reserve {
		return false
	}
	b.bucket(now).extraAttempts++
	return true
}
