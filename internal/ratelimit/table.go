// Package ratelimit holds the rate limits that targets (backend servers) name in their responses, and how long targets stay cold, during
// which they take few requests. The homes of a host record both, and hosts tell each other, so that a host that becomes a home knows them. It opens no connections and reads no clock:
// callers pass in the time since the start of their host.
package ratelimit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lifetime is how long a report is valid. A target that is used at all responds many times within it, see MinPerSecond.
	lifetime = 5 * time.Minute
	// maxShared is the maximum number of reports that Share returns.
	maxShared = 64
	// relayMargin is added to the age of a report of another host. It exceeds the time that a heartbeat usually takes, so that
	// a report does not become younger than a later response by being passed on.
	relayMargin = 50 * time.Millisecond
)

// MinPerSecond is the rate in requests per second at which a target is asked that names a lower limit, even zero: only its
// responses tell when the limit ends.
const MinPerSecond = 0.1

// Key identifies one start of a target.
type Key struct {
	Target      string
	Incarnation int64
}

// Report is what a target said in its last response that a host knows of.
type Report struct {
	Key
	// PerSecond is the number of requests per second that the target takes from all hosts together; infinite means that it
	// names no limit any more.
	PerSecond float64
	// Age is the time since the response.
	Age time.Duration
}

type entry struct {
	perSecond float64
	at        time.Duration
}

// Table holds the newest report of each target that names a limit or did so lately. It is safe for concurrent use.
type Table struct {
	// size is the number of entries. version changes whenever the limit of a target does.
	size    atomic.Int64
	version atomic.Uint64
	mu      sync.Mutex
	entries map[Key]entry
	// lastShared is the last key that Share has returned.
	lastShared Key
	// warmUps holds the newest statement of each target that may become cold, warmUpCount their number and lastSharedWarmUp the last
	// key that ShareWarmUps has returned.
	warmUps          map[Key]warmUp
	warmUpCount      atomic.Int64
	lastSharedWarmUp Key
}

// New returns an empty table.
func New() *Table { return &Table{entries: map[Key]entry{}, warmUps: map[Key]warmUp{}} }

// Record records the limit that a target has named in a response just now; infinite means that it named none, which is
// recorded only if it did before.
func (t *Table) Record(now time.Duration, k Key, perSecond float64) {
	if t.size.Load() == 0 && math.IsInf(perSecond, 1) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.entries[k]; known || !math.IsInf(perSecond, 1) {
		t.record(now, k, perSecond)
	}
}

// record replaces an older report.
func (t *Table) record(at time.Duration, k Key, perSecond float64) {
	old, known := t.entries[k]
	if !known {
		old.perSecond = math.Inf(1)
	} else if at < old.at {
		return
	}
	t.entries[k] = entry{perSecond, at}
	t.size.Store(int64(len(t.entries)))
	if perSecond != old.perSecond {
		t.version.Add(1)
	}
}

// Merge adds the reports of another host. It ignores those with values that Share cannot return.
func (t *Table) Merge(now time.Duration, reports []Report) {
	if len(reports) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports {
		if r.PerSecond >= 0 && r.Age >= 0 && r.Age < lifetime {
			t.record(now-r.Age-relayMargin, r.Key, r.PerSecond)
		}
	}
}

// Share returns up to maxShared reports to be merged by other hosts; further calls return the others in turn.
func (t *Table) Share(now time.Duration) []Report {
	if t.size.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	keys := slices.SortedFunc(maps.Keys(t.entries), compareKeys)
	next, found := slices.BinarySearchFunc(keys, t.lastShared, compareKeys)
	if found {
		next++
	}
	var reports []Report
	for i := range min(len(keys), maxShared) {
		k := keys[(next+i)%len(keys)]
		e := t.entries[k]
		reports = append(reports, Report{k, e.perSecond, now - e.at})
		t.lastShared = k
	}
	return reports
}

func compareKeys(a, b Key) int {
	return cmp.Or(strings.Compare(a.Target, b.Target), cmp.Compare(a.Incarnation, b.Incarnation))
}

// Expire removes reports that are no longer valid. The caller must call it from time to time.
func (t *Table) Expire(now time.Duration) {
	if t.size.Load() == 0 && t.warmUpCount.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireWarmUps(now)
	for k, e := range t.entries {
		if now-e.at >= lifetime {
			delete(t.entries, k)
			t.version.Add(1)
		}
	}
	t.size.Store(int64(len(t.entries)))
}

// Version returns a number that changes whenever the limit of a target or the end of its warm-up does. It does not change when a warm-up
// ends in time.
func (t *Table) Version() uint64 { return t.version.Load() }

// PerSecond returns the limit of a target in requests per second, infinite if it names none.
func (t *Table) PerSecond(k Key) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, found := t.entries[k]; found {
		return e.perSecond
	}
	return math.Inf(1)
}
