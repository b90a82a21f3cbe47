// Package roster keeps what the store says is in force: the configuration and the targets that registered themselves.
// It knows no sockets and no wall clock: callers pass the time in.
package roster

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"briarcroft/internal/note"
	"briarcroft/internal/platform"
)

// returnGrace is how long after the store's return a target whose entry lapsed meanwhile stays in use:
// a living one has registered again by then.
const returnGrace = 2 * time.Second

// maxTombstones bounds the deletions that are remembered so that an older write can't undo them.
const maxTombstones = 4096

// Config sets up a Roster.
type Config struct {
	Decode DecodeFunc
	// OnRejectedEntry is told of entries that can't be used.
	OnRejectedEntry func(key string, err error)
	// OnChange is told after each change of the view, which may have changed again by then.
	OnChange func()
}

// View is what is in force; it is replaced whole and must not be changed.
type View struct {
	Configuration note.Configuration
	// Targets lists the targets of each service, sorted by name.
	Targets map[string][]Target
	// PeerAddresses are inner addresses of other entry hosts, by store key.
	PeerAddresses map[string]string
}

// entryState is the newest knowledge of one key.
type entryState struct {
	change platform.Change
	item   DecodedEntry
	// usableUntil is when a removed target goes out of use; zero means at once.
	usableUntil time.Duration
}

// Roster is a replica of the store's entries. It is safe for concurrent use.
type Roster struct {
	config  Config
	mu      sync.Mutex
	entries map[string]*entryState
	// revision is the store revision up to which the replica is whole.
	revision int64
	// storeReturnedAt is when the store came back after an outage.
	storeReturnedAt time.Duration
	configured      note.Configuration
	// configuredBy is the change that brought the configuration in force; newer ones of its key may have been refused.
	configuredBy platform.Change
	view         atomic.Pointer[View]
	deletedCount int
}

// New returns an empty roster.
func New(c Config) *Roster {
	r := &Roster{config: c, entries: map[string]*entryState{}, storeReturnedAt: -returnGrace}
	r.view.Store(&View{})
	return r
}

// View returns what is in force.
func (r *Roster) View() *View { return r.view.Load() }

// Revision returns the store revision up to which the roster is whole.
func (r *Roster) Revision() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// StoreReturned notes that the store answers again after an outage. It reports whether that is news: several hosts
// notice the same return.
func (r *Roster) StoreReturned(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now-r.storeReturnedAt < returnGrace {
		return false
	}
	r.storeReturnedAt = now
	return true
}

// Apply takes in changes that complete the roster up to a revision; it returns the news that others need to come to the same.
// Changes may come late or twice: for each key the highest revision holds.
func (r *Roster) Apply(now time.Duration, changes []platform.Change, revision int64) []platform.Change {
	r.mu.Lock()
	var news []platform.Change
	for _, c := range changes {
		if r.applyOne(now, c) {
			news = append(news, c)
		}
	}
	r.revision = max(r.revision, revision)
	news = r.dropSuperseded(news)
	r.unlockAndPublish(len(news) > 0)
	return news
}

// dropSuperseded leaves out the changes that later ones of their key replace. A configuration may change many times before a watch
// answers, and each of its values goes to every follower.
func (r *Roster) dropSuperseded(changes []platform.Change) []platform.Change {
	last := map[string]int64{}
	for _, c := range changes {
		last[c.Key] = c.Revision
	}
	return slices.DeleteFunc(changes, func(c platform.Change) bool {
		return c.Revision != last[c.Key] && c.Revision != r.configuredBy.Revision
	})
}

// ApplySnapshot takes in a snapshot: keys that it lacks were removed at some time before.
func (r *Roster) ApplySnapshot(now time.Duration, entries []platform.Entry, revision int64) []platform.Change {
	listed := map[string]bool{}
	changes := make([]platform.Change, 0, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
		changes = append(changes, platform.Change{Entry: e})
	}
	r.mu.Lock()
	for key, known := range r.entries {
		if !listed[key] && !known.change.Deleted && known.change.Revision <= revision {
			changes = append(changes, platform.Change{Entry: platform.Entry{Key: key, Revision: revision}, Deleted: true})
		}
	}
	r.mu.Unlock()
	return r.Apply(now, changes, revision)
}

// applyOne stores one change and reports whether it is news.
func (r *Roster) applyOne(now time.Duration, c platform.Change) bool {
	old := r.entries[c.Key]
	if old != nil && old.change.Revision >= c.Revision {
		return false
	}
	if c.Deleted {
		return r.remove(now, old, c)
	}
	item, err := r.config.Decode(c.Key, c.Value)
	if err != nil {
		r.config.OnRejectedEntry(c.Key, err)
	}
	if configured, is := item.(ConfigurationEntry); is {
		r.setConfiguration(c, configured.Configuration)
	}
	r.entries[c.Key] = &entryState{change: c, item: item}
	return true
}

// setConfiguration puts a configuration in force unless it is older than the one that is.
func (r *Roster) setConfiguration(change platform.Change, c note.Configuration) {
	if c.Number < r.configured.Number {
		r.config.OnRejectedEntry(change.Key, note.ErrChain.New("note %d is older than note %d, which stays in force", c.Number, r.configured.Number))
		return
	}
	r.configured, r.configuredBy = c, change
}

// remove marks a key as deleted; a target stays in use for a while when its entry may only have lapsed with the store.
func (r *Roster) remove(now time.Duration, old *entryState, c platform.Change) bool {
	next := &entryState{change: c}
	if old != nil && !old.change.Deleted && now-r.storeReturnedAt < returnGrace {
		next.item, next.usableUntil = old.item, r.storeReturnedAt+returnGrace
	}
	r.entries[c.Key] = next
	r.deletedCount++
	if r.deletedCount > maxTombstones {
		r.dropTombstones()
	}
	return old != nil
}

func (r *Roster) dropTombstones() {
	for key, known := range r.entries {
		if known.change.Deleted && known.item == nil {
			delete(r.entries, key)
		}
	}
	r.deletedCount = 0
}

// Tick ends the use of targets whose entries lapsed and did not come back.
func (r *Roster) Tick(now time.Duration) {
	r.mu.Lock()
	changed := false
	for _, known := range r.entries {
		if known.change.Deleted && known.item != nil && now >= known.usableUntil {
			known.item, changed = nil, true
		}
	}
	r.unlockAndPublish(changed)
}

// unlockAndPublish unlocks and, after a change, replaces the view and tells of it.
func (r *Roster) unlockAndPublish(changed bool) {
	if !changed {
		r.mu.Unlock()
		return
	}
	r.view.Store(r.buildView())
	r.mu.Unlock()
	r.config.OnChange()
}

func (r *Roster) buildView() *View {
	v := &View{Configuration: r.configured, Targets: map[string][]Target{}, PeerAddresses: map[string]string{}}
	for key, known := range r.entries {
		switch item := known.item.(type) {
		case TargetEntry:
			if _, named := r.configured.Service(item.Target.Service); named {
				v.Targets[item.Target.Service] = append(v.Targets[item.Target.Service], item.Target)
			}
		case PeerEntry:
			v.PeerAddresses[key] = item.Inner
		}
	}
	for _, list := range v.Targets {
		slices.SortFunc(list, func(a, b Target) int { return cmp.Compare(a.Name, b.Name) })
	}
	return v
}

// AllChanges returns everything the roster holds as changes, oldest first, for a peer that knows nothing, and the revision that it
// is whole at.
func (r *Roster) AllChanges() ([]platform.Change, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]platform.Change, 0, len(r.entries))
	for _, known := range r.entries {
		list = append(list, known.change)
	}
	if known := r.entries[r.configuredBy.Key]; known != nil && known.change.Revision != r.configuredBy.Revision {
		list = append(list, r.configuredBy)
	}
	slices.SortFunc(list, func(a, b platform.Change) int { return cmp.Compare(a.Revision, b.Revision) })
	return list, r.revision
}
