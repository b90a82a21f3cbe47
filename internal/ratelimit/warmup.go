package ratelimit

import (
	"maps"
	"slices"
	"time"
)

const (
	// MaxWarmUp is the longest time for which a target counts as cold after one statement; longer ones are cut to it.
	MaxWarmUp = time.Hour
	// warmUpStep is by how much the end of a warm-up must change for Version to change: each health response names it anew.
	warmUpStep = 20 * time.Millisecond
)

// WarmUpReport is what a host knows of a cold target, or of one that was cold a short time ago.
type WarmUpReport struct {
	Key
	// Left is how much longer the target stays cold; zero means that it is warm. For OlderLeft, which is at least that, hosts may still hold
	// older statements that it is cold, so that the report must be passed on.
	Left, OlderLeft time.Duration
	// Age is the time since the statement.
	Age time.Duration
}

// warmUp is the newest statement of how long a target stays cold.
type warmUp struct {
	// until is when the target will be warm; zero if it was at the time of the statement, at.
	until, at time.Duration
	// sharedUntil is when the last of the older statements that other hosts may still hold ends.
	sharedUntil time.Duration
}

// RecordWarmUp records a statement, made at a time, that a target stays cold until another; zero means that it was warm. The newest
// statement holds. It reports whether the target counts as cold now and did not before.
func (t *Table) RecordWarmUp(now, at time.Duration, k Key, until time.Duration) (isNews bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recordWarmUp(now, at, k, until)
}

// RecordUnknown records that nothing said after the given time whether a target is cold, so that it counts as cold until a newer
// statement. Unlike statements it is not shared: every host learns of what made it unknown by itself, and sharing it would add the
// targets of a whole failure domain to each heartbeat.
func (t *Table) RecordUnknown(now, at time.Duration, k Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	shared := t.warmUps[k].sharedUntil
	t.recordWarmUp(now, at, k, now+MaxWarmUp)
	w := t.warmUps[k]
	w.sharedUntil = shared
	t.warmUps[k] = w
}

// RecordEntry records that an entry of the store, written at some time from earliest until now, says how long a target stays cold. What
// it says is taken for as late as possible if the target is cold and for as early as possible if not, so that it ends no warm-up that
// began after it was written.
func (t *Table) RecordEntry(now, earliest time.Duration, k Key, left time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if left <= 0 {
		t.recordWarmUp(now, earliest, k, 0)
		return
	}
	old := t.warmUps[k]
	if old.at > earliest && old.until >= earliest+left && old.until <= now+left {
		// A response has said the same more exactly.
		return
	}
	t.recordWarmUp(now, now, k, now+left)
}

// recordWarmUp does what RecordWarmUp does; the caller holds t.mu.
func (t *Table) recordWarmUp(now, at time.Duration, k Key, until time.Duration) (isNews bool) {
	old, known := t.warmUps[k]
	until = min(until, now+MaxWarmUp)
	if known && at < old.at {
		// Hosts that hold the older statement are told the newer one.
		old.sharedUntil = max(old.sharedUntil, until)
		t.warmUps[k] = old
		return false
	}
	t.warmUps[k] = warmUp{until: until, at: at, sharedUntil: max(old.sharedUntil, until)}
	t.warmUpCount.Store(int64(len(t.warmUps)))
	wasCold, isCold := now < old.until, now < until
	if wasCold != isCold || isCold && (until-old.until).Abs() >= warmUpStep {
		t.version.Add(1)
	}
	return isCold && !wasCold
}

// ColdUntil returns when a target will be warm; zero if nothing is known of it.
func (t *Table) ColdUntil(k Key) time.Duration {
	if t.warmUpCount.Load() == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.warmUps[k].until
}

// ColdTargets returns the number of targets that count as cold.
func (t *Table) ColdTargets(now time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, w := range t.warmUps {
		if now < w.until {
			count++
		}
	}
	return count
}

// MergeWarmUps adds the reports of another host.
func (t *Table) MergeWarmUps(now time.Duration, reports []WarmUpReport) {
	if len(reports) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports {
		if r.Left < 0 || r.OlderLeft < 0 || r.OlderLeft > MaxWarmUp || r.Age < 0 || r.Age > MaxWarmUp {
			continue
		}
		until := time.Duration(0)
		if r.Left > 0 {
			until = now + r.Left
		}
		t.recordWarmUp(now, now-r.Age-relayMargin, r.Key, until)
		w := t.warmUps[r.Key]
		w.sharedUntil = max(w.sharedUntil, now+r.OlderLeft)
		t.warmUps[r.Key] = w
	}
}

// ShareWarmUps returns up to maxShared reports to be merged by other hosts; further calls return the others in turn.
func (t *Table) ShareWarmUps(now time.Duration) []WarmUpReport {
	if t.warmUpCount.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var keys []Key
	for k, w := range t.warmUps {
		if now < w.sharedUntil {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, compareKeys)
	next, found := slices.BinarySearchFunc(keys, t.lastSharedWarmUp, compareKeys)
	if found {
		next++
	}
	var reports []WarmUpReport
	for i := range min(len(keys), maxShared) {
		k := keys[(next+i)%len(keys)]
		w := t.warmUps[k]
		reports = append(reports, WarmUpReport{Key: k, Left: max(0, w.until-now), OlderLeft: w.sharedUntil - now, Age: now - w.at})
		t.lastSharedWarmUp = k
	}
	return reports
}

// expireWarmUps removes the statements that say nothing any more; the caller holds t.mu.
func (t *Table) expireWarmUps(now time.Duration) {
	maps.DeleteFunc(t.warmUps, func(_ Key, w warmUp) bool { return now >= w.sharedUntil && now-w.at >= lifetime })
	t.warmUpCount.Store(int64(len(t.warmUps)))
}
