package roster

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"briarcroft/internal/note"
	"briarcroft/internal/placement"
	"briarcroft/internal/platform"

	"pgregory.net/rapid"
)

// registration is the value of a target's entry in these tests.
type registration struct {
	Born, Sequence int64
	Draining       bool
}

func decodeRegistration(key string, value []byte) (DecodedEntry, error) {
	if key == "config" {
		var number int
		err := json.Unmarshal(value, &number)
		return ConfigurationEntry{note.Configuration{Number: number, Services: []note.Service{{Name: "s"}}}}, err
	}
	var r registration
	err := json.Unmarshal(value, &r)
	return TargetEntry{Target{Service: "s", Sequence: r.Sequence, Target: placement.Target{Name: key, Address: "a", Slots: 1, Incarnation: r.Born, Draining: r.Draining}}}, err
}

// restoredStore is a store of a configuration and targets that can come back from an older copy.
type restoredStore struct {
	era, revision int64
	items         map[string]platform.Entry
	version       int
	// targets are what the targets have last said, by name; those that have ended are not in it.
	targets map[string]registration
}

func (s *restoredStore) put(key string, value any) {
	s.revision++
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.items[key] = platform.Entry{Key: key, Value: encoded, Revision: s.revision}
}

// entries returns the store's content and position.
func (s *restoredStore) entries() ([]platform.Entry, int64) {
	var entries []platform.Entry
	for _, e := range s.items {
		e.Revision = platform.Position(s.era, e.Revision)
		entries = append(entries, e)
	}
	return entries, platform.Position(s.era, s.revision)
}

// write makes one random change of the configuration or a target.
func (s *restoredStore) write(t *rapid.T) {
	name := fmt.Sprintf("t%d", rapid.IntRange(0, 2).Draw(t, "target"))
	r, running := s.targets[name]
	switch rapid.IntRange(0, 3).Draw(t, "write") {
	case 0:
		s.version++
		s.put("config", s.version)
	case 1:
		if running {
			delete(s.targets, name)
			delete(s.items, name)
			s.revision++
		}
	case 2:
		if running {
			r.Sequence++
			r.Draining = true
			s.targets[name] = r
			s.put(name, r)
		}
	default:
		s.revision++ // later than any former start
		s.targets[name] = registration{Born: int64(1000*s.era) + s.revision, Sequence: 1}
		s.put(name, s.targets[name])
	}
}

// rewrite writes the newest configuration and what targets have last said again.
func (s *restoredStore) rewrite() {
	s.put("config", s.version)
	for _, name := range slices.Sorted(maps.Keys(s.targets)) {
		r := s.targets[name]
		r.Sequence++
		s.targets[name] = r
		s.put(name, r)
	}
}

// TestNothingGoesBackAfterRestores writes at random to a store that comes back from older copies at random, while replicas read it or
// each other at random: no replica ever returns to an older configuration or to an older registration of a target, and all agree on
// the newest once everything was written again and read.
func TestNothingGoesBackAfterRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &restoredStore{items: map[string]platform.Entry{}, targets: map[string]registration{}}
		store.version = 1
		store.put("config", 1)
		replicas := make([]*Roster, 3)
		for i := range replicas {
			replicas[i] = New(Config{Decode: decodeRegistration, OnRejectedEntry: func(string, error) {}, OnChange: func() {}})
		}
		copies := []restoredStore{}
		now := time.Duration(0)
		check := func(step func(r *Roster), r *Roster) {
			before := r.View()
			step(r)
			after := r.View()
			if after.Configuration.Number < before.Configuration.Number {
				t.Fatalf("configuration %d became %d", before.Configuration.Number, after.Configuration.Number)
			}
			for _, old := range before.Targets["s"] {
				for _, current := range after.Targets["s"] {
					if old.Name == current.Name && old.isNewerThan(current) {
						t.Fatalf("target %v became %v", old, current)
					}
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "wait")) * time.Millisecond
			r := replicas[rapid.IntRange(0, 2).Draw(t, "replica")]
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				store.write(t)
			case 2:
				copies = append(copies, restoredStore{revision: store.revision, items: maps.Clone(store.items)})
			case 3:
				if len(copies) > 0 {
					c := copies[rapid.IntRange(0, len(copies)-1).Draw(t, "copy")]
					store.era, store.revision, store.items = store.era+1, c.revision, maps.Clone(c.items)
				}
			case 4:
				check(func(r *Roster) { entries, position := store.entries(); r.ApplySnapshot(now, entries, position) }, r)
			case 5:
				peer := replicas[rapid.IntRange(0, 2).Draw(t, "peer")]
				check(func(r *Roster) { r.ApplyDifference(now, peer.Since(r.Revision())) }, r)
			default:
				check(func(r *Roster) { r.Tick(now) }, r)
			}
		}
		store.rewrite()
		for _, r := range replicas {
			check(func(r *Roster) { entries, position := store.entries(); r.ApplySnapshot(now, entries, position) }, r)
			now += 2 * StoreReturnGrace
			check(func(r *Roster) { r.Tick(now) }, r)
			v := r.View()
			if v.Configuration.Number != store.version {
				t.Fatalf("configuration %d is in force, the newest is %d", v.Configuration.Number, store.version)
			}
			for _, target := range v.Targets["s"] {
				want, running := store.targets[target.Name]
				if !running {
					// Only an entry in the store's copy of a target that ended before the replica saw it may be left.
					if _, stored := store.items[target.Name]; !stored {
						t.Fatalf("target %v has ended", target)
					}
					continue
				}
				if target.Incarnation != want.Born || target.Sequence != want.Sequence || target.Draining != want.Draining {
					t.Fatalf("target %v is in use, the newest is %v", target, want)
				}
			}
		}
	})
}
