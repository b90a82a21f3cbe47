// Package notice holds what targets (backend servers) say of themselves in their responses: that they leave, or that they want no
// requests for a time. Hosts record it and tell each other. The package opens no connections and reads no clock: callers pass in
// the time since the start of their host.
package notice

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// MaxPause is the longest time that a target can ask not to be sent requests; longer ones are cut to it. Then it is asked
	// again.
	MaxPause = 5 * time.Minute
	// leavingLifetime is how long a target that leaves is remembered after it was last recorded. Its entry in the store is
	// removed long before.
	leavingLifetime = time.Hour
	// maxEntries is the number of targets that are remembered at most, and maxShared that of the reports that Share returns.
	maxEntries = 4096
	maxShared  = 64
)

// Key identifies one start of a target. What one incarnation has said does not hold for the next.
type Key struct {
	Target      string
	Incarnation int64
}

// Notice is what a target says in a response.
type Notice struct {
	// Leaving is set if the target is about to end. It does not take that back.
	Leaving bool
	// Pause is the time for which the target wants no requests; zero means none.
	Pause time.Duration
}

// Report is what a host knows of a target: that it leaves, and what remains of its pause.
type Report struct {
	Key
	Notice
}

// State is what is known of a target, with the time at which its last pause ends; zero means that it had none.
type State struct {
	Leaving     bool
	PausedUntil time.Duration
}

// Blocked reports whether the target must get no requests now.
func (s State) Blocked(now time.Duration) bool { return s.Leaving || now < s.PausedUntil }

type entry struct {
	State
	recordedAt time.Duration
}

// expired reports whether the entry says nothing any more.
func (e entry) expired(now time.Duration) bool {
	return now >= e.PausedUntil && (!e.Leaving || now-e.recordedAt >= leavingLifetime)
}

// Table holds what targets have said. It is safe for concurrent use.
type Table struct {
	// size is the number of entries. version changes whenever the State of a target does.
	size    atomic.Int64
	version atomic.Uint64
	mu      sync.Mutex
	entries map[Key]entry
	// lastShared is the last key that Share has returned.
	lastShared Key
}

// New returns an empty table.
func New() *Table { return &Table{entries: map[Key]entry{}} }

// Record records what a target says just now, and reports whether that is news: that it leaves, or a pause after it had none.
func (t *Table) Record(now time.Duration, k Key, n Notice) (isNews bool) {
	if !n.Leaving && n.Pause <= 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.entries[k]
	if !known && len(t.entries) >= maxEntries {
		t.removeExpired(now)
		if len(t.entries) >= maxEntries {
			return false
		}
	}
	next := entry{State{Leaving: old.Leaving || n.Leaving, PausedUntil: old.PausedUntil}, now}
	if n.Pause > 0 {
		next.PausedUntil = max(old.PausedUntil, now+min(n.Pause, MaxPause))
	}
	t.entries[k] = next
	t.size.Store(int64(len(t.entries)))
	if next.State != old.State {
		t.version.Add(1)
	}
	return next.Leaving && !old.Leaving || n.Pause > 0 && now >= old.PausedUntil
}

// Merge records the reports of another host and returns those that are news.
func (t *Table) Merge(now time.Duration, reports []Report) []Report {
	var news []Report
	for _, r := range reports {
		if t.Record(now, r.Key, r.Notice) {
			news = append(news, r)
		}
	}
	return news
}

// Share returns up to maxShared reports to be merged by other hosts; further calls return the others in turn.
func (t *Table) Share(now time.Duration) []Report {
	if t.size.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	keys := slices.SortedFunc(maps.Keys(t.entries), func(a, b Key) int {
		return cmp.Or(strings.Compare(a.Target, b.Target), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	next := 1 + slices.Index(keys, t.lastShared)
	var reports []Report
	for i := range min(len(keys), maxShared) {
		k := keys[(next+i)%len(keys)]
		e := t.entries[k]
		reports = append(reports, Report{k, Notice{Leaving: e.Leaving, Pause: max(0, e.PausedUntil-now)}})
		t.lastShared = k
	}
	return reports
}

// removeExpired removes the entries that say nothing any more; the caller holds t.mu.
func (t *Table) removeExpired(now time.Duration) {
	maps.DeleteFunc(t.entries, func(_ Key, e entry) bool { return e.expired(now) })
	t.size.Store(int64(len(t.entries)))
}

// Version returns a number that changes whenever the State of a target does.
func (t *Table) Version() uint64 { return t.version.Load() }

// State returns what is known of a target.
func (t *Table) State(k Key) State {
	if t.size.Load() == 0 {
		return State{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries[k].State
}
