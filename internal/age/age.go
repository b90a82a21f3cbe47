// Package age tells how long ago a caller first sent a request. Callers name the time that they still wait, so that a request which
// comes back after a refusal names less than a new one. What new requests name is learned for each rule. The package does no I/O and
// reads no clock: callers pass in the time since the start of their host.
package age

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// binRatio is the ratio of the bounds of a bin. First attempts of one time limit differ by a few ms and are to be in one or two
	// bins.
	binRatio = 1.03
	// valueGain is the weight of one new value in the shares of the bins.
	valueGain = 1.0 / 64
	// minCallers is the number of callers that must have named values of a bin before it counts.
	minCallers = 2
	// minLongestShare is the share of all values that the bin of the longest time must have. With two retries for each request, a
	// third of the requests are new, and fewer for a while after a burst.
	minLongestShare = 1.0 / 16
	// minOtherShare is the share of a bin of shorter times, which callers with another time limit name. It is higher, because
	// requests that all come back after the same time have such a bin too. Bursts, in which they do, last up to 6 s, so that the bin must
	// be older than otherAge.
	minOtherShare = 1.0 / 6
	otherAge      = 10 * time.Second
	// returnShare is the share of their time that callers have left after the longest wait that they accept, a third. Times that are up
	// to returnSpread below the return share of a longer one, or its square, are those of returning callers.
	returnShare  = 2.0 / 3
	returnSpread = 0.1
	// minTotalShare is the share of all values that the bins which count must have together. Otherwise callers name times of many
	// kinds and no age can be told.
	minTotalShare = 1.0 / 4
	// maxNewAge is the age up to which a request is taken for new. A caller that repeats a refused request at once is at least 16 ms
	// later, as it is 8 ms away.
	maxNewAge = 12 * time.Millisecond
	// lifetime is how long a bin counts after its last value.
	lifetime = time.Minute
	// minWeight is the weight below which a bin is forgotten.
	minWeight = 0.01
	// maxTime bounds the times that are looked at; a longer one says nothing.
	maxTime = time.Hour
	// maxRules bounds the rules of which something is kept.
	maxRules = 1024
)

// Table holds what the callers of each rule name. It answers the load of callers that come back after refusals: taken for new
// requests, they get a goal that has passed for the caller, and their work is done although it is late. It is safe for concurrent
// use.
type Table struct {
	mu    sync.Mutex
	rules map[string]*rule
}

// New returns an empty table.
func New() *Table { return &Table{rules: map[string]*rule{}} }

// Observe records that a caller has sent a request on a rule and still waits for the given time, and returns how long ago it first
// sent the request: the shortest time at or above left that callers of the rule commonly name, less left. The age is 0 if that is
// not known. A time of 0 or less means that the caller names none.
func (t *Table) Observe(now time.Duration, ruleName, caller string, left time.Duration) time.Duration {
	if left < time.Millisecond || left > maxTime {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rules[ruleName]
	if r == nil {
		t.makeRoom(now)
		r = &rule{bins: map[int]*bin{}}
		t.rules[ruleName] = r
	}
	r.record(now, xxhash.Sum64String(caller), left)
	if age := r.age(now, left); age > maxNewAge {
		return age
	}
	return 0
}

// makeRoom removes rules without recent values, and all if there are too many.
func (t *Table) makeRoom(now time.Duration) {
	if len(t.rules) < maxRules {
		return
	}
	for name, r := range t.rules {
		if now-r.updatedAt > lifetime {
			delete(t.rules, name)
		}
	}
	if len(t.rules) >= maxRules {
		clear(t.rules)
	}
}

// rule is a histogram of the values of one rule, with bins of equal ratio.
type rule struct {
	bins      map[int]*bin
	updatedAt time.Duration
}

// bin holds the values between two bounds.
type bin struct {
	// weight is the number of values, of which older ones count less.
	weight               float64
	createdAt, updatedAt time.Duration
	// highest is the highest value, which one caller has named, and second the highest of any other caller.
	highest, second time.Duration
	caller          uint64
	// callers is the number of different callers, up to minCallers.
	callers int
}

// binOf returns the index of the bin of a value.
func binOf(left time.Duration) int {
	return int(math.Floor(math.Log(float64(left)/float64(time.Millisecond)) / math.Log(binRatio)))
}

func (r *rule) record(now time.Duration, caller uint64, left time.Duration) {
	r.updatedAt = now
	for index, b := range r.bins {
		b.weight *= 1 - valueGain
		if b.weight < minWeight || now-b.updatedAt > lifetime {
			delete(r.bins, index)
		}
	}
	b := r.bins[binOf(left)]
	if b == nil {
		b = &bin{caller: caller, callers: 1, createdAt: now}
		r.bins[binOf(left)] = b
	}
	b.weight++
	b.updatedAt = now
	b.record(caller, left)
}

func (b *bin) record(caller uint64, left time.Duration) {
	switch {
	case caller == b.caller:
		b.highest = max(b.highest, left)
		return
	case left > b.highest:
		b.second, b.highest, b.caller = b.highest, left, caller
	default:
		b.second = max(b.second, left)
	}
	b.callers = minCallers
}

// age returns the age of a request whose caller still waits for the given time.
func (r *rule) age(now, left time.Duration) time.Duration {
	total := 0.0
	for _, b := range r.bins {
		total += b.weight
	}
	// The longest time is in the highest bin that has its share.
	found := math.MinInt
	for index := range r.bins {
		if index > found && r.counts(index, minLongestShare*total) {
			found = index
		}
	}
	if found == math.MinInt {
		return 0
	}
	var nearest time.Duration
	common, longest := 0.0, r.bins[found].second
	for index, b := range r.bins {
		if index != found && (index > found || now-b.createdAt < otherAge || !r.counts(index, minOtherShare*total) || isReturn(b.second, longest)) {
			continue
		}
		common += b.weight
		if b.second >= left && (nearest == 0 || b.second < nearest) {
			nearest = b.second
		}
	}
	if nearest == 0 || common < minTotalShare*total {
		return 0
	}
	return nearest - left
}

// isReturn reports whether callers whose whole time is the longest one name the given time when they come back.
func isReturn(left, longest time.Duration) bool {
	ratio := float64(left) / float64(longest)
	for _, share := range []float64{returnShare, returnShare * returnShare} {
		if ratio <= share*binRatio && ratio >= share*(1-returnSpread) {
			return true
		}
	}
	return false
}

// counts reports whether enough callers have named the values of a bin and its share, together with the bin below, is large enough:
// values near a bound fall into two bins.
func (r *rule) counts(index int, minWeight float64) bool {
	b := r.bins[index]
	weight := b.weight
	if below := r.bins[index-1]; below != nil {
		weight += below.weight
	}
	return b.callers >= minCallers && weight >= minWeight
}
