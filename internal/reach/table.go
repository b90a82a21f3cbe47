// Package reach tracks which backend servers (targets) an entry host reaches over its own links, and whether it reaches any at
// all. A target that one host cannot reach may well serve others. The package opens no connections and reads no clock: callers
// send the checks and pass in the time since the start of their host.
package reach

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// lostTargets is the number of targets that must fail one after the other, without a response of any, for the host to have
	// lost all targets, or all if there are fewer. Several targets may end at the same time.
	lostTargets = 8
	// firstChecks is the number of other targets that are checked after the failure of one. After that of a second one, all
	// are checked that lostTargets needs.
	firstChecks = 2
	// returnedTargets is the number of targets that must respond one after the other for the host to have them again.
	returnedTargets = 2
	// checkInterval is the time between two checks of a target that failed, while requests are placed on it, and the least time
	// between two checks of one that may have.
	checkInterval = 500 * time.Millisecond
)

// state is what the host knows about its way to one target.
type state struct {
	failed bool
	// checkedAt is when the target was last checked.
	checkedAt time.Duration
}

// Table holds which targets a host reaches. It is safe for concurrent use.
type Table struct {
	mu sync.Mutex
	// targets holds the registered targets by name, and names their names in order.
	targets map[string]*state
	names   []string
	// nextOther is the index in names at which takeOtherChecks goes on.
	nextOther int
	// failing holds the targets that failed since the last response of any; while lost is set, responding holds those that
	// responded since the last failure.
	failing, responding map[string]bool
	lost                bool
}

// New returns a table without targets.
func New() *Table {
	return &Table{targets: map[string]*state{}, failing: map[string]bool{}, responding: map[string]bool{}}
}

// SetTargets replaces the names of the registered targets. Those that remain keep their state.
func (t *Table) SetTargets(names map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.targets {
		if !names[name] {
			delete(t.targets, name)
			delete(t.failing, name)
			delete(t.responding, name)
		}
	}
	for name := range names {
		if t.targets[name] == nil {
			t.targets[name] = &state{checkedAt: -checkInterval}
		}
	}
	t.names = slices.Sorted(maps.Keys(t.targets))
}

// RecordResponse records that a target has responded to this host, and reports whether the host thereby has targets again.
func (t *Table) RecordResponse(name string) (returned bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.targets[name]
	if s == nil {
		return false
	}
	s.failed = false
	clear(t.failing)
	if !t.lost {
		return false
	}
	t.responding[name] = true
	if len(t.responding) < min(returnedTargets, len(t.targets)) {
		return false
	}
	t.lost = false
	clear(t.responding)
	return true
}

// RecordFailure records that this host could not connect to a target. It reports whether the host has thereby lost all targets,
// and returns the targets to check to find out if it may have.
func (t *Table) RecordFailure(now time.Duration, name string) (lost bool, check []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.targets[name]
	if s == nil {
		return false, nil
	}
	s.failed = true
	t.failing[name] = true
	clear(t.responding)
	needed := min(lostTargets, len(t.targets))
	switch {
	case t.lost:
		return false, nil
	case len(t.failing) < needed && len(t.failing) == 1:
		return false, t.takeOtherChecks(now, min(firstChecks, needed-1))
	case len(t.failing) < needed:
		return false, t.takeOtherChecks(now, needed-len(t.failing))
	}
	t.lost = true
	return true, nil
}

// Lost reports whether the host has lost all targets.
func (t *Table) Lost() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lost
}

// Direct reports whether requests for a target are sent over this host's own link. Those for a target that failed, or for any
// while the host has lost all, must be relayed.
func (t *Table) Direct(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.targets[name]
	return !t.lost && (s == nil || !s.failed)
}

// TakeCheck reports whether to check now whether a target responds to this host. It allows one check in checkInterval.
func (t *Table) TakeCheck(now time.Duration, name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.targets[name]
	if s == nil || now-s.checkedAt < checkInterval {
		return false
	}
	s.checkedAt = now
	return true
}

// TakeLostCheck returns a target to check now if the host has lost all targets.
func (t *Table) TakeLostCheck(now time.Duration) (name string, due bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.lost {
		return "", false
	}
	taken := t.takeOtherChecks(now, 1)
	if len(taken) == 0 {
		return "", false
	}
	return taken[0], true
}

// takeOtherChecks returns up to count targets that are not in failing, or any while lost is set, to check now.
func (t *Table) takeOtherChecks(now time.Duration, count int) []string {
	var taken []string
	for range t.names {
		if len(taken) == count {
			break
		}
		t.nextOther = (t.nextOther + 1) % len(t.names)
		other := t.names[t.nextOther]
		if s := t.targets[other]; (t.lost || !t.failing[other]) && now-s.checkedAt >= checkInterval {
			s.checkedAt = now
			taken = append(taken, other)
		}
	}
	return taken
}
