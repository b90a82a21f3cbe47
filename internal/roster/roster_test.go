package roster

import (
	"errors"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"briarcroft/internal/fixedseed"
	"briarcroft/internal/note"
	"briarcroft/internal/placement"
	"briarcroft/internal/platform"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Main(m)) }

// decode decodes the entries of these tests: "config" holds the number of a configuration, "t/NAME" a target's address.
func decode(key string, value []byte) (DecodedEntry, error) {
	switch {
	case key == "config":
		n, err := strconv.Atoi(string(value))
		if err != nil {
			return nil, err
		}
		return ConfigurationEntry{note.Configuration{Number: n, Services: []note.Service{{Name: "s"}}}}, nil
	case strings.HasPrefix(key, "t/"):
		if len(value) == 0 {
			return nil, errors.New("no address")
		}
		return TargetEntry{Target{Service: "s", Target: placement.Target{Name: key[2:], Address: string(value), Slots: 1}}}, nil
	}
	return nil, nil
}

// testRoster is a roster that counts its callbacks.
type testRoster struct {
	*Roster
	rejected, changes int
	// updates are the changes that OnUpdate was last called with.
	updates []platform.Change
}

func newTestRoster() *testRoster {
	r := &testRoster{}
	r.Roster = New(Config{
		Decode: decode, OnRejectedEntry: func(string, error) { r.rejected++ }, OnChange: func() { r.changes++ },
		OnUpdate: func(changes []platform.Change, _ int64) { r.updates = changes },
	})
	return r
}

func put(key, value string, revision int64) platform.Change {
	return platform.Change{Entry: platform.Entry{Key: key, Value: []byte(value), Revision: revision}}
}

func deletion(key string, revision int64) platform.Change {
	return platform.Change{Entry: platform.Entry{Key: key, Revision: revision}, Deleted: true}
}

func (r *testRoster) targets() int { return len(r.View().Targets["s"]) }

// TestIgnoresOlderChanges applies changes late and twice, a configuration with a lower number and one that cannot be
// decoded: the configuration in force stays, and the last two are reported as rejected.
func TestIgnoresOlderChanges(t *testing.T) {
	is := is.New(t)
	r := newTestRoster()
	r.Apply(time.Minute, []platform.Change{put("config", "7", 5)}, 5)
	r.updates = nil
	r.Apply(time.Minute, []platform.Change{put("config", "6", 4), put("config", "7", 5)}, 5)
	is.Equal(len(r.updates), 0)
	r.Apply(time.Minute, []platform.Change{put("config", "3", 9)}, 9)
	is.Equal(r.View().Configuration.Number, 7)
	is.Equal(r.rejected, 1)
	r.Apply(time.Minute, []platform.Change{put("config", "odd", 10)}, 10)
	is.Equal(r.View().Configuration.Number, 7)
	is.Equal(r.rejected, 2)
}

// TestApplyDropsSupersededChanges applies many configurations at once: other replicas get only the last one, and
// the one in force if the last one is rejected.
func TestApplyDropsSupersededChanges(t *testing.T) {
	cases := []struct {
		name    string
		last    []platform.Change
		updates int
	}{
		{"all accepted", nil, 2},
		{"the last is older", []platform.Change{put("config", "3", 40)}, 3},
		{"the last cannot be decoded", []platform.Change{put("config", "odd", 40)}, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var changes []platform.Change
			for i := range 30 {
				changes = append(changes, put("config", strconv.Itoa(10+i), int64(2+i)))
			}
			changes = append(changes, put("t/a", "x", 35))
			r, follower, newReplica := newTestRoster(), newTestRoster(), newTestRoster()
			r.Apply(0, append(changes, c.last...), 50)
			is.Equal(len(r.updates), c.updates)
			follower.Apply(0, r.updates, 50)
			newReplica.ApplyDifference(0, r.Since(0))
			for _, x := range []*testRoster{r, follower, newReplica} {
				is.Equal(x.View().Configuration.Number, 39)
				is.Equal(x.targets(), 1)
			}
		})
	}
}

// TestRemovedTargets removes targets by a change, by a snapshot and after a store outage. Only after the outage does a
// removed target stay in use until StoreReturnGrace has passed.
func TestRemovedTargets(t *testing.T) {
	is := is.New(t)
	r := newTestRoster()
	now := time.Minute
	r.Apply(now, []platform.Change{put("config", "1", 1), put("t/a", "x", 2), put("t/b", "y", 3), put("t/c", "z", 4)}, 4)
	is.Equal(r.targets(), 3)
	r.Apply(now, []platform.Change{deletion("t/a", 5)}, 5)
	is.Equal(r.targets(), 2)
	r.ApplySnapshot(now, []platform.Entry{{Key: "config", Value: []byte("1"), Revision: 1}, {Key: "t/b", Value: []byte("y"), Revision: 3}}, 9)
	is.Equal(r.targets(), 1)
	is.True(r.StoreReturned(now))
	is.True(!r.StoreReturned(now + time.Second)) // the end of the same outage, detected by another host
	r.Apply(now+time.Second, []platform.Change{deletion("t/b", 11)}, 11)
	r.Tick(now + time.Second)
	is.Equal(r.targets(), 1)
	r.Tick(now + StoreReturnGrace)
	is.Equal(r.targets(), 0)
	r.Apply(now+3*time.Second, []platform.Change{put("t/b", "y", 12)}, 12)
	is.Equal(r.targets(), 1)
}

// TestTargetsRemovedTwiceStayInUse reports the same removal after an outage twice, at different revisions, as hosts do that
// read the store at different times: the target stays in use until StoreReturnGrace has passed, and no longer.
func TestTargetsRemovedTwiceStayInUse(t *testing.T) {
	is := is.New(t)
	r := newTestRoster()
	now := time.Minute
	r.Apply(now, []platform.Change{put("config", "1", 1), put("t/a", "x", 2)}, 2)
	is.True(r.StoreReturned(now))
	r.ApplySnapshot(now, []platform.Entry{{Key: "config", Value: []byte("1"), Revision: 1}}, 6)
	r.Apply(now+time.Millisecond, []platform.Change{deletion("t/a", 8)}, 8)
	is.Equal(r.targets(), 1)
	r.Tick(now + StoreReturnGrace - 1)
	is.Equal(r.targets(), 1)
	r.Apply(now+StoreReturnGrace-1, []platform.Change{deletion("t/a", 9)}, 9)
	r.Tick(now + StoreReturnGrace)
	is.Equal(r.targets(), 0)
	r.Apply(now+StoreReturnGrace, []platform.Change{deletion("t/a", 10)}, 10)
	is.Equal(r.targets(), 0)
}

// TestUndecodableEntry replaces the entry of a target by one that cannot be decoded: the target goes out of use.
func TestUndecodableEntry(t *testing.T) {
	is := is.New(t)
	r := newTestRoster()
	r.Apply(0, []platform.Change{put("config", "1", 1), put("t/a", "x", 2), put("t/b", "y", 3)}, 3)
	r.Apply(0, []platform.Change{put("t/a", "", 4)}, 4)
	is.Equal(r.targets(), 1)
	is.Equal(r.rejected, 1)
}

// TestApplyInAnyOrder applies each change twice, in random order: the view must depend on the highest revisions only.
func TestApplyInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []platform.Change
		last := map[string]string{}
		for i := range rapid.IntRange(1, 30).Draw(t, "changes") {
			key := rapid.SampledFrom([]string{"t/a", "t/b", "t/c"}).Draw(t, "key")
			if rapid.Bool().Draw(t, "delete") {
				all = append(all, deletion(key, int64(i+2)))
				delete(last, key)
				continue
			}
			all = append(all, put(key, strconv.Itoa(i), int64(i+2)))
			last[key] = strconv.Itoa(i)
		}
		r := newTestRoster()
		r.Apply(time.Minute, []platform.Change{put("config", "1", 1)}, 1)
		for _, i := range rapid.Permutation(append(indexes(len(all)), indexes(len(all))...)).Draw(t, "order") {
			r.Apply(time.Minute, []platform.Change{all[i]}, all[i].Revision)
		}
		if r.targets() != len(last) {
			t.Fatalf("%d targets, want %d", r.targets(), len(last))
		}
		for _, x := range r.View().Targets["s"] {
			if last["t/"+x.Name] != x.Address {
				t.Fatalf("target %s has address %s, want %s", x.Name, x.Address, last["t/"+x.Name])
			}
		}
	})
}

// TestSince lets a replica follow another one with interruptions: at any time, what Since returns for the replica's
// revision brings it to the same state, also when the other one no longer remembers all deletions.
func TestSince(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, replica := newTestRoster(), newTestRoster()
		source.Apply(time.Minute, []platform.Change{put("config", "1", 1)}, 1)
		for i := range rapid.IntRange(1, 40).Draw(t, "changes") {
			revision := int64(i + 2)
			c := put(rapid.SampledFrom([]string{"t/a", "t/b", "t/c", "t/d"}).Draw(t, "key"), strconv.Itoa(i), revision)
			c.Deleted = rapid.Bool().Draw(t, "delete")
			source.Apply(time.Minute, []platform.Change{c}, revision)
			if rapid.IntRange(0, 9).Draw(t, "forget deletions") == 0 {
				source.mu.Lock()
				source.dropTombstones()
				source.mu.Unlock()
			}
			if rapid.IntRange(0, 3).Draw(t, "reconnect") > 0 {
				continue
			}
			before := replica.Revision()
			d := source.Since(before)
			for _, change := range d.Changes {
				if change.Revision <= before && !d.Complete {
					t.Fatalf("revision %d is sent again to a replica at %d", change.Revision, before)
				}
			}
			replica.ApplyDifference(time.Minute, d)
			if got, want := replica.View().Targets["s"], source.View().Targets["s"]; !slices.Equal(got, want) {
				t.Fatalf("after revision %d the replica has %v, want %v", revision, got, want)
			}
		}
	})
}

func indexes(n int) []int {
	var numbers []int
	for i := range n {
		numbers = append(numbers, i)
	}
	return numbers
}

// TestConfirm checks that a roster counts as up to date only by statements about revisions that it has reached.
func TestConfirm(t *testing.T) {
	is := is.New(t)
	r := New(Config{Decode: decode, OnChange: func() {}})
	a := KnowledgeSource{"a", 1}
	is.True(!r.Confirm(Knowledge{5, time.Second, a, 1}))
	is.Equal(r.Confirmed(), Knowledge{})
	r.Apply(0, nil, 6)
	for _, c := range []struct {
		k         Knowledge
		fulfilled bool
		wantAsOf  time.Duration
	}{
		{Knowledge{5, time.Second, a, 1}, true, time.Second},
		{Knowledge{7, 3 * time.Second, a, 3}, false, time.Second},
		{Knowledge{6, 2 * time.Second, a, 2}, true, 2 * time.Second},
		{Knowledge{4, time.Second, KnowledgeSource{"b", 1}, 1}, true, 2 * time.Second},
		{Knowledge{6, 4 * time.Second, a, 2}, true, 2 * time.Second},
		{Knowledge{6, 4 * time.Second, KnowledgeSource{"a", 2}, 1}, true, 4 * time.Second},
		{Knowledge{platform.Position(1, 1), 5 * time.Second, KnowledgeSource{"b", 1}, 2}, false, 4 * time.Second},
	} {
		is.Equal(r.Confirm(c.k), c.fulfilled)
		is.Equal(r.Confirmed().AsOf, c.wantAsOf)
	}
}

// TestKnowledgeAgesInCirculation passes one statement on among hosts for 20 s. Its age leaves out the 5 ms that each message takes, which
// must not add up.
func TestKnowledgeAgesInCirculation(t *testing.T) {
	is := is.New(t)
	const hosts, way, rounds = 20, 5 * time.Millisecond, 4000
	var rosters []*Roster
	for range hosts {
		r := New(Config{Decode: decode, OnChange: func() {}})
		r.Apply(0, nil, 1)
		rosters = append(rosters, r)
	}
	rosters[0].Confirm(Knowledge{Revision: 1, AsOf: time.Second, Source: KnowledgeSource{"a", 1}, Number: 1})
	now := time.Second
	for i := range rounds {
		age := now - rosters[i%hosts].Confirmed().AsOf
		now += way
		if k := rosters[i%hosts].Confirmed(); k.Revision > 0 {
			k.AsOf = now - age
			rosters[(i+1)%hosts].Confirm(k)
		}
	}
	for _, r := range rosters {
		is.True(r.Confirmed().AsOf <= time.Second+hosts*way)
	}
}

// TestEvacuation guards against targets of an evacuated failure domain that count as usable, whichever of the entries comes first, and
// against an evacuation that is lost at once when the store comes back without it.
func TestEvacuation(t *testing.T) {
	is := is.New(t)
	r := New(Config{OnRejectedEntry: func(string, error) {}, OnChange: func() {}, Decode: func(key string, _ []byte) (DecodedEntry, error) {
		switch key {
		case "config":
			return ConfigurationEntry{note.Configuration{Number: 1, Services: []note.Service{{Name: "s"}}}}, nil
		case "evacuate":
			return EvacuationEntry{"b"}, nil
		}
		return TargetEntry{Target{Service: "s", Target: placement.Target{Name: key, Domain: key}}}, nil
	}})
	evacuated := func() map[string]bool {
		found := map[string]bool{}
		for _, t := range r.View().Targets["s"] {
			found[t.Name] = t.Evacuated
		}
		return found
	}
	r.Apply(0, []platform.Change{put("config", "", 1), put("a", "", 2), put("b", "", 3)}, 3)
	is.Equal(evacuated(), map[string]bool{"a": false, "b": false})
	r.Apply(0, []platform.Change{put("evacuate", "", 4)}, 4)
	is.Equal(evacuated(), map[string]bool{"a": false, "b": true})
	r.Apply(0, []platform.Change{deletion("b", 5), put("b", "", 6)}, 6)
	is.Equal(evacuated(), map[string]bool{"a": false, "b": true})
	is.Equal(r.View().Evacuated, map[string]bool{"b": true})
	now := time.Minute
	revision := platform.Position(1, 3)
	r.ApplySnapshot(now, []platform.Entry{{Key: "config", Revision: platform.Position(1, 1)}, {Key: "a", Revision: platform.Position(1, 2)}, {Key: "b", Revision: revision}}, revision)
	is.Equal(evacuated(), map[string]bool{"a": false, "b": true})
	r.Tick(now + StoreReturnGrace)
	is.Equal(evacuated(), map[string]bool{"a": false, "b": false})
}

// TestPanicReleasesRoster guards against a stop that waits forever for the roster's lock after a panic while a change is applied.
func TestPanicReleasesRoster(t *testing.T) {
	is := is.New(t)
	r := New(Config{
		Decode:          func(string, []byte) (DecodedEntry, error) { panic("entry") },
		OnRejectedEntry: func(string, error) {}, OnChange: func() {},
	})
	for range 2 {
		func() {
			defer func() { is.Equal(recover(), "entry") }()
			r.Apply(0, []platform.Change{{Entry: platform.Entry{Key: "servers/odd", Revision: 1}}}, 1)
		}()
	}
	is.Equal(len(r.View().Targets), 0)
}
