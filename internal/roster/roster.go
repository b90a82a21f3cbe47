// Package roster keeps a replica of the platform's store on an entry host: the configuration in force, the targets
// (backend servers) that have registered themselves, and the addresses of other entry hosts. A configuration results
// from a note, a numbered release note of an operator; a note with a higher number is newer.
//
// The package does no I/O and reads no clock: callers pass changes of the store and the time as a monotonic offset.
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

// StoreReturnGrace is how long after the end of a store outage a target stays in use whose entry expired during the
// outage. A target that is still running has registered again by then.
const StoreReturnGrace = 2 * time.Second

// maxTombstones is the number of deletions that are remembered, so that an older write that arrives late is ignored.
// When it is exceeded, all of them are dropped, except those of entries that are still in use.
const maxTombstones = 4096

// Config configures a Roster.
type Config struct {
	Decode DecodeFunc
	// OnRejectedEntry is called for each entry that cannot be decoded or is older than the configuration in force.
	OnRejectedEntry func(key string, err error)
	// OnUpdate is called with those applied changes that replicas on other hosts need to reach the same state, and with the
	// revision up to which they make them complete. Calls are in order, and come before OnChange. It must not block and
	// must not call the roster. It may be nil.
	OnUpdate func(changes []platform.Change, revision int64)
	// OnRestore is called when the store has come back from an older copy, with the positions before and after. It must not call
	// the roster. It may be nil.
	OnRestore func(before, after int64)
	// OnChange is called after each change of the view. The view may have changed again by then.
	OnChange func()
}

// View is an immutable snapshot of the configuration in force, the targets in use and the addresses of entry hosts.
type View struct {
	Configuration note.Configuration
	// Targets lists the targets of each configured service, sorted by name.
	Targets map[string][]Target
	// PeerAddresses holds the addresses of entry hosts for traffic between hosts, by store key.
	PeerAddresses map[string]string
	// Evacuated holds the failure domains that are evacuated; the targets there are marked too.
	Evacuated map[string]bool
}

// entryState is the latest known state of one key of the store.
type entryState struct {
	change  platform.Change
	decoded DecodedEntry
	// newest is the newest registration of a target that was seen under the key; its name is empty if there was none.
	newest Target
	// usableUntil is when the content of a deleted entry goes out of use; zero means immediately.
	usableUntil time.Duration
}

// Roster is a replica of the store. It is safe for concurrent use.
type Roster struct {
	config  Config
	mu      sync.Mutex
	entries map[string]*entryState
	// revision is the store revision up to which the replica is complete.
	revision int64
	// confirmed is the newest statement about the store that the replica fulfills.
	confirmed Knowledge
	// knowledgeNumbers holds the number of the newest statement of each source.
	knowledgeNumbers map[KnowledgeSource]uint64
	// storeReturnedAt is the end of the last store outage.
	storeReturnedAt time.Duration
	configuration   note.Configuration
	// configurationChange is the change with the configuration in force. Later changes of its key may have been rejected.
	configurationChange platform.Change
	view                atomic.Pointer[View]
	tombstones          int
	// droppedRevision is the highest revision of the deletions that are no longer remembered.
	droppedRevision int64
}

// New returns an empty roster.
func New(c Config) *Roster {
	r := &Roster{config: c, entries: map[string]*entryState{}, knowledgeNumbers: map[KnowledgeSource]uint64{}, storeReturnedAt: -StoreReturnGrace}
	r.view.Store(&View{})
	return r
}

// View returns the current view.
func (r *Roster) View() *View { return r.view.Load() }

// Revision returns the store revision up to which the roster is complete.
func (r *Roster) Revision() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// Knowledge is the statement that the store held nothing newer than a revision at a time. A replica that is complete up to
// this revision was up to date then, whoever has asked the store.
type Knowledge struct {
	Revision int64
	AsOf     time.Duration
	// Source is who has asked, and Number increases with each of its calls.
	Source KnowledgeSource
	Number uint64
}

// KnowledgeSource is one start of a host that asks the store.
type KnowledgeSource struct {
	Host        string
	Incarnation uint64
}

// maxKnowledgeSources is the number of sources that a roster remembers.
const maxKnowledgeSources = 4096

// Confirm records a statement about the store and reports whether the roster fulfills it. If not, it lacks changes. Each statement
// counts as it came first: every host that passes it on makes it seem a little younger, as its age leaves out the way of the
// message.
func (r *Roster) Confirm(k Knowledge) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.revision < k.Revision {
		return false
	}
	if number, known := r.knowledgeNumbers[k.Source]; known && number >= k.Number {
		return true
	}
	if len(r.knowledgeNumbers) >= maxKnowledgeSources {
		clear(r.knowledgeNumbers)
	}
	r.knowledgeNumbers[k.Source] = k.Number
	if k.AsOf > r.confirmed.AsOf || r.confirmed.Revision == 0 {
		r.confirmed = k
	}
	return true
}

// Confirmed returns the newest statement about the store that the roster fulfills; its revision is 0 if there is none.
func (r *Roster) Confirmed() Knowledge {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmed
}

// StoreReturned records that the store can be reached again after an outage. It reports false if this was recorded
// already, because several hosts detect the end of the same outage.
func (r *Roster) StoreReturned(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now-r.storeReturnedAt < StoreReturnGrace {
		return false
	}
	r.storeReturnedAt = now
	return true
}

// ReturnedLately reports whether the store has returned from an outage so short a time ago that entries which expired during
// it stay in use.
func (r *Roster) ReturnedLately(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now-r.storeReturnedAt < StoreReturnGrace
}

// Apply applies changes that make the roster complete up to a revision. Changes may come late or twice: for each key the
// highest revision wins.
func (r *Roster) Apply(now time.Duration, changes []platform.Change, revision int64) {
	r.change(func() bool { return r.applyAll(now, changes, revision) })
}

// applyAll applies changes and reports whether they change the view. The caller holds r.mu.
func (r *Roster) applyAll(now time.Duration, changes []platform.Change, revision int64) bool {
	r.noticeRestore(now, revision)
	var updates []platform.Change
	for _, c := range changes {
		if r.applyOne(now, c) {
			updates = append(updates, c)
		}
	}
	advanced := revision > r.revision
	r.revision = max(r.revision, revision)
	updates = r.dropSuperseded(updates)
	if (len(updates) > 0 || advanced) && r.config.OnUpdate != nil {
		r.config.OnUpdate(updates, r.revision)
	}
	return len(updates) > 0
}

// noticeRestore handles the beginning of a new era of the store, which has come back from an older copy. It counts as the end of an
// outage, so that what was lost stays in use until it can have been written again.
func (r *Roster) noticeRestore(now time.Duration, revision int64) {
	if r.revision == 0 || platform.EraOf(revision) <= platform.EraOf(r.revision) {
		return
	}
	r.storeReturnedAt = now
	if r.config.OnRestore != nil {
		r.config.OnRestore(r.revision, revision)
	}
}

// dropSuperseded removes the changes that a later change of the same key replaces, except the configuration in force.
// This limits the traffic between hosts: a configuration may change many times before the store answers a watch
// request, and every remaining change is sent to each host that replicates from this one.
func (r *Roster) dropSuperseded(changes []platform.Change) []platform.Change {
	last := map[string]int64{}
	for _, c := range changes {
		last[c.Key] = c.Revision
	}
	return slices.DeleteFunc(changes, func(c platform.Change) bool {
		return c.Revision != last[c.Key] && c.Revision != r.configurationChange.Revision
	})
}

// ApplySnapshot applies a complete list of the store's entries at a revision, as Apply does. Keys that are not in it are
// deleted, unless a later revision has written them.
func (r *Roster) ApplySnapshot(now time.Duration, entries []platform.Entry, revision int64) {
	listed := map[string]bool{}
	changes := make([]platform.Change, 0, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
		changes = append(changes, platform.Change{Entry: e})
	}
	r.change(func() bool {
		for key, state := range r.entries {
			if !listed[key] && !state.change.Deleted && state.change.Revision <= revision {
				changes = append(changes, platform.Change{Entry: platform.Entry{Key: key, Revision: revision}, Deleted: true})
			}
		}
		return r.applyAll(now, changes, revision)
	})
}

// applyOne applies one change and reports whether replicas on other hosts need it. An entry that cannot be decoded
// replaces the old one of its key all the same, except that the configuration in force stays.
func (r *Roster) applyOne(now time.Duration, c platform.Change) bool {
	old := r.entries[c.Key]
	if old != nil && old.change.Revision >= c.Revision {
		return r.isNewerConfiguration(c)
	}
	if c.Deleted {
		return r.remove(now, old, c)
	}
	decoded, err := r.config.Decode(c.Key, c.Value)
	if err != nil {
		r.config.OnRejectedEntry(c.Key, err)
	}
	if entry, is := decoded.(ConfigurationEntry); is {
		r.setConfiguration(c, entry.Configuration)
	}
	state := &entryState{change: c, decoded: decoded}
	if old != nil {
		state.newest = old.newest
	}
	if entry, is := decoded.(TargetEntry); is {
		r.keepNewest(state, old, entry.Target)
	}
	r.entries[c.Key] = state
	return true
}

// keepNewest keeps the content of an older state if the store's copy holds a registration that its target had already replaced.
func (r *Roster) keepNewest(state, old *entryState, t Target) {
	if old != nil && platform.EraOf(state.change.Revision) > platform.EraOf(old.change.Revision) {
		gone := old.change.Deleted && old.decoded == nil && old.newest.Name != "" && !t.isNewerThan(old.newest)
		if gone || old.newest.isNewerThan(t) {
			state.decoded, state.usableUntil = old.decoded, old.usableUntil
			return
		}
	}
	state.newest = t
}

// isNewerConfiguration puts a configuration in force that the store has lost, and reports whether it was newer than the one in
// force. Such a change has a lower revision than the older configuration in the store's copy.
func (r *Roster) isNewerConfiguration(c platform.Change) bool {
	if c.Deleted || c.Key != r.configurationChange.Key || c.Revision == r.configurationChange.Revision {
		return false
	}
	decoded, err := r.config.Decode(c.Key, c.Value)
	entry, is := decoded.(ConfigurationEntry)
	if err != nil || !is || entry.Configuration.Number <= r.configuration.Number {
		return false
	}
	r.setConfiguration(c, entry.Configuration)
	return true
}

// Stored reports whether the store holds a key, as far as the roster knows.
func (r *Roster) Stored(key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.entries[key]
	return state != nil && !state.change.Deleted
}

// setConfiguration puts a configuration in force, unless it is older than the one in force.
func (r *Roster) setConfiguration(change platform.Change, c note.Configuration) {
	if c.Number < r.configuration.Number {
		r.config.OnRejectedEntry(change.Key, note.ErrChain.New("note %d is older than note %d, which stays in force", c.Number, r.configuration.Number))
		return
	}
	r.configuration, r.configurationChange = c, change
}

// remove marks a key as deleted and reports whether the key was known. Just after a store outage, an entry may have
// expired only because its target or host could not renew it; its content stays in use until StoreReturnGrace has
// passed.
func (r *Roster) remove(now time.Duration, old *entryState, c platform.Change) bool {
	state := &entryState{change: c}
	if old != nil {
		state.newest = old.newest
	}
	switch {
	case old == nil:
	case old.change.Deleted:
		// The removal is known already, of an earlier revision.
		state.decoded, state.usableUntil = old.decoded, old.usableUntil
	case now-r.storeReturnedAt < StoreReturnGrace:
		state.decoded, state.usableUntil = old.decoded, r.storeReturnedAt+StoreReturnGrace
	}
	r.entries[c.Key] = state
	r.tombstones++
	if r.tombstones > maxTombstones {
		r.dropTombstones()
	}
	return old != nil
}

func (r *Roster) dropTombstones() {
	for key, state := range r.entries {
		if state.change.Deleted && state.decoded == nil {
			r.droppedRevision = max(r.droppedRevision, state.change.Revision)
			delete(r.entries, key)
		}
	}
	r.tombstones = 0
}

// Tick ends the use of targets whose entries were deleted just after a store outage and were not written again within
// StoreReturnGrace.
func (r *Roster) Tick(now time.Duration) {
	r.change(func() bool {
		changed := false
		for _, state := range r.entries {
			if state.change.Deleted && state.decoded != nil && now >= state.usableUntil {
				state.decoded, changed = nil, true
			}
		}
		return changed
	})
}

// change calls a function that holds r.mu and reports whether it has changed anything, which replaces the view. OnChange is called
// without r.mu.
func (r *Roster) change(apply func() bool) {
	if r.changeView(apply) {
		r.config.OnChange()
	}
}

// changeView is the part of change that holds r.mu, which it releases also after a panic.
func (r *Roster) changeView(apply func() bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := apply()
	if changed {
		r.view.Store(r.buildView())
	}
	return changed
}

func (r *Roster) buildView() *View {
	v := &View{Configuration: r.configuration, Targets: map[string][]Target{}, PeerAddresses: map[string]string{}, Evacuated: r.evacuated()}
	for key, state := range r.entries {
		switch decoded := state.decoded.(type) {
		case TargetEntry:
			if _, configured := r.configuration.Service(decoded.Target.Service); configured {
				t := decoded.Target
				t.Evacuated = v.Evacuated[t.Domain]
				v.Targets[t.Service] = append(v.Targets[t.Service], t)
			}
		case PeerEntry:
			v.PeerAddresses[key] = decoded.Inner
		}
	}
	for _, targets := range v.Targets {
		slices.SortFunc(targets, func(a, b Target) int { return cmp.Compare(a.Name, b.Name) })
	}
	return v
}

// evacuated returns the failure domains that are evacuated.
func (r *Roster) evacuated() map[string]bool {
	domains := map[string]bool{}
	for _, state := range r.entries {
		if entry, is := state.decoded.(EvacuationEntry); is {
			domains[entry.Domain] = true
		}
	}
	return domains
}

// Difference is what a replica that is complete up to one revision needs to be complete up to a later one.
type Difference struct {
	// Changes are in the order of their revisions.
	Changes  []platform.Change
	Revision int64
	// Complete is set if Changes lists all entries, and any other was deleted.
	Complete bool
}

// Since returns what a replica needs that is complete up to a revision; 0 stands for an empty one.
func (r *Roster) Since(revision int64) Difference {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := Difference{Revision: r.revision, Complete: revision < r.droppedRevision}
	for _, state := range r.entries {
		if state.change.Revision > revision || d.Complete && !state.change.Deleted {
			d.Changes = append(d.Changes, state.change)
		}
	}
	inForce := r.configurationChange
	if state := r.entries[inForce.Key]; state != nil && state.change.Revision != inForce.Revision {
		d.Changes = append(d.Changes, inForce)
	}
	slices.SortFunc(d.Changes, func(a, b platform.Change) int { return cmp.Compare(a.Revision, b.Revision) })
	return d
}

// ApplyDifference applies what Since returned on another host.
func (r *Roster) ApplyDifference(now time.Duration, d Difference) {
	if !d.Complete {
		r.Apply(now, d.Changes, d.Revision)
		return
	}
	entries := make([]platform.Entry, 0, len(d.Changes))
	for _, c := range d.Changes {
		if !c.Deleted {
			entries = append(entries, c.Entry)
		}
	}
	r.ApplySnapshot(now, entries, d.Revision)
}
