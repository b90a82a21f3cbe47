package placement

import (
	"math"
	"time"
)

// SecondRunLimit is the limit that operators set on second runs (hedges) of a service.
type SecondRunLimit struct {
	// Runs is the number of second runs in 100 requests, and Work the server time of second runs in 100 of that of all runs. Zero
	// means no second runs, and infinity that this part is not set.
	Runs, Work float64
	// Window is the time over which the limit holds.
	Window time.Duration
}

// IsSet reports whether the limit is set. If it is not, only the retry budget limits second runs.
func (l SecondRunLimit) IsSet() bool {
	return l.Window > 0 && !(math.IsInf(l.Runs, 1) && math.IsInf(l.Work, 1))
}

// Shares of the limit on second runs. The sum over all homes of a service is at most 1.
const (
	// majoritySecondShare is the share of a primary home that has seen most of the fleet for a whole window. Before that it has the
	// share of a fallback home, because the home before it may have counted the same requests.
	majoritySecondShare = 0.8
	// otherSecondShare is what all other homes divide among them: the hosts of the fleet in equal parts.
	otherSecondShare = 0.2
)

// SecondRunShare follows which share of the limit on second runs the home of one service has.
type SecondRunShare struct {
	// majority is set while the host is the primary home and sees most of the fleet, since the given time.
	majority bool
	since    time.Duration
}

// Of returns the share of a home now, from whether it is the primary home, how many hosts it sees and the size of the fleet.
func (s *SecondRunShare) Of(now, window time.Duration, primary bool, live, fleet int) float64 {
	majority := primary && 2*live > fleet
	if majority != s.majority {
		s.majority, s.since = majority, now
	}
	if majority && now-s.since >= window {
		return majoritySecondShare
	}
	return otherSecondShare / float64(max(1, fleet))
}

// secondRunWindow holds a home's share in the limit on second runs. It answers loads in which many runs take long at once, so that
// second runs would add to what slows the targets down, and homes that move or that cannot see one another.
//
// Requests and server time count with the share that the home has when they are recorded. The shares of all homes are at most 1 in
// sum, so the limit holds over all homes even if each of them counts the same request. It holds in this sense: the second runs that
// start in any window are at most the limit for the requests whose first run started, and the runs that ended, in it or within one window
// before, and at each start it holds exactly for the window that ends then. The work of a second run counts from its start: as the
// longest time that it may take until it has ended, then as the measured time.
type secondRunWindow struct {
	limit   SecondRunLimit
	share   float64
	buckets [secondRunBuckets + 1]secondRunBucket
}

// secondRunBuckets is the number of buckets of a window. One more is kept, as a window overlaps with one more than it has.
const secondRunBuckets = 20

// secondRunBucket counts in one part of a window: requests and server time in seconds, both multiplied by the share, and second runs
// with their work in seconds.
type secondRunBucket struct {
	index                            int64
	requests, serverTime, runs, work float64
}

func newSecondRunWindow(l SecondRunLimit) *secondRunWindow {
	w := &secondRunWindow{limit: l}
	for i := range w.buckets {
		w.buckets[i].index = math.MinInt64
	}
	return w
}

func (w *secondRunWindow) index(at time.Duration) int64 {
	return int64(at / (w.limit.Window / secondRunBuckets))
}

func (w *secondRunWindow) bucket(now time.Duration) *secondRunBucket {
	index := w.index(now)
	b := &w.buckets[index%int64(len(w.buckets))]
	if b.index != index {
		*b = secondRunBucket{index: index}
	}
	return b
}

// addRequest counts a request whose first run starts, and addServerTime the time that a run has taken, second or not.
func (w *secondRunWindow) addRequest(now time.Duration) { w.bucket(now).requests += w.share }

func (w *secondRunWindow) addServerTime(now, d time.Duration) {
	w.bucket(now).serverTime += w.share * max(0, d.Seconds())
}

// sums returns the counts of the window that ends now. The oldest bucket may lie partly before the window: its second runs count, and
// its requests do not.
func (w *secondRunWindow) sums(now time.Duration) secondRunBucket {
	var sum secondRunBucket
	current := w.index(now)
	for _, b := range w.buckets {
		if b.index > current-secondRunBuckets {
			sum.requests += b.requests
			sum.serverTime += b.serverTime
		}
		if b.index >= current-secondRunBuckets {
			sum.runs += b.runs
			sum.work += b.work
		}
	}
	return sum
}

// left returns the part of the limit that a second run would leave, from 0 to 1, if it may take the given time. If the limit has no
// room for it, the reason says which part has none.
func (w *secondRunWindow) left(now, longest time.Duration) (left float64, reason SecondRunRefusal) {
	sum := w.sums(now)
	left = 1
	if !math.IsInf(w.limit.Runs, 1) {
		allowed := w.limit.Runs / 100 * sum.requests
		if sum.runs+1 > allowed {
			return 0, RefusedRunLimit
		}
		left = min(left, 1-sum.runs/allowed)
	}
	if !math.IsInf(w.limit.Work, 1) {
		allowed := w.limit.Work / 100 * sum.serverTime
		if longest <= 0 || sum.work+longest.Seconds() > allowed {
			return 0, RefusedWorkLimit
		}
		left = min(left, 1-sum.work/allowed)
	}
	return left, SecondRunAllowed
}

// start counts a second run that may take the given time. The caller has asked left.
func (w *secondRunWindow) start(now, longest time.Duration) {
	b := w.bucket(now)
	b.runs++
	b.work += longest.Seconds()
}

// end replaces the longest time of a second run by the time that it took, which counts at its start.
func (w *secondRunWindow) end(startedAt, longest, took time.Duration) {
	index := w.index(startedAt)
	if b := &w.buckets[index%int64(len(w.buckets))]; b.index == index {
		b.work = max(0, b.work+took.Seconds()-longest.Seconds())
	}
}

// SecondRunRefusal is a reason why a second run that would have been worthwhile was not started.
type SecondRunRefusal int

// Reasons for refusals of second runs. SecondRunAllowed is none.
const (
	SecondRunAllowed SecondRunRefusal = iota
	// RefusedRunLimit and RefusedWorkLimit mean that the operators' limit has no room, and RefusedRetryBudget that the retry budget
	// has none.
	RefusedRunLimit
	RefusedWorkLimit
	RefusedRetryBudget
	// RefusedQueue means that requests wait for a slot.
	RefusedQueue
	// RefusedNotRepeatable means that the request may not run more than once, and RefusedSuspected that it may crash targets.
	RefusedNotRepeatable
	RefusedSuspected
	// RefusedNoTarget means that no other target is free that is neither nearly full, cold, limited nor doubtful.
	RefusedNoTarget
	// RefusedAllowance means that the account of the request has no token.
	RefusedAllowance
	// RefusedScarce means that little of the limit is left, which is kept for runs that gain more.
	RefusedScarce
	// RefusedLearned means that a second run would have been started if first runs of the class had not won lately.
	RefusedLearned
	secondRunRefusals
)

// String implements fmt.Stringer.
func (r SecondRunRefusal) String() string {
	return [...]string{"Allowed", "RunLimit", "WorkLimit", "RetryBudget", "Queue", "NotRepeatable", "Suspected", "NoTarget", "Allowance", "Scarce", "Learned"}[r]
}

// SecondRunCounts counts second runs. Won are those that answered first and Lost those whose first run did. Refused counts each
// request once for each reason.
type SecondRunCounts struct {
	Started, Won, Lost int64
	Refused            [secondRunRefusals]int64
}
