package roster

import (
	"errors"
	"os"
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

// decode reads the entries of these tests: "config" holds a number, "t/NAME" an address.
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

// testRoster counts what a roster tells.
type testRoster struct {
	*Roster
	rejected, changes int
}

func newTestRoster() *testRoster {
	b := &testRoster{}
	b.Roster = New(Config{Decode: decode, OnRejectedEntry: func(string, error) { b.rejected++ }, OnChange: func() { b.changes++ }})
	return b
}

func put(key, value string, revision int64) platform.Change {
	return platform.Change{Entry: platform.Entry{Key: key, Value: []byte(value), Revision: revision}}
}

func deletion(key string, revision int64) platform.Change {
	return platform.Change{Entry: platform.Entry{Key: key, Revision: revision}, Deleted: true}
}

func (b *testRoster) targets() int { return len(b.View().Targets["s"]) }

// TestIgnoresOlderChanges applies changes late and twice, and a configuration with a lower number.
func TestIgnoresOlderChanges(t *testing.T) {
	is := is.New(t)
	b := newTestRoster()
	b.Apply(time.Minute, []platform.Change{put("config", "7", 5)}, 5)
	is.Equal(len(b.Apply(time.Minute, []platform.Change{put("config", "6", 4), put("config", "7", 5)}, 5)), 0)
	b.Apply(time.Minute, []platform.Change{put("config", "3", 9)}, 9)
	is.Equal(b.View().Configuration.Number, 7)
	is.Equal(b.rejected, 1)
	b.Apply(time.Minute, []platform.Change{put("config", "odd", 10)}, 10)
	is.Equal(b.View().Configuration.Number, 7)
	is.Equal(b.rejected, 2)
}

// TestApplyDropsSupersededChanges applies a burst of configurations as one answer of the store: followers need the last value alone, or the
// one in force beside it when the last can't be used.
func TestApplyDropsSupersededChanges(t *testing.T) {
	cases := []struct {
		name string
		last []platform.Change
		news int
	}{
		{"all good", nil, 2},
		{"the last is older", []platform.Change{put("config", "3", 40)}, 3},
		{"the last is unreadable", []platform.Change{put("config", "odd", 40)}, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var burst []platform.Change
			for i := range 30 {
				burst = append(burst, put("config", strconv.Itoa(10+i), int64(2+i)))
			}
			burst = append(burst, put("t/a", "x", 35))
			b, follower, late := newTestRoster(), newTestRoster(), newTestRoster()
			news := b.Apply(0, append(burst, c.last...), 50)
			is.Equal(len(news), c.news)
			follower.Apply(0, news, 50)
			everything, revision := b.AllChanges()
			late.Apply(0, everything, revision)
			for _, x := range []*testRoster{b, follower, late} {
				is.Equal(x.View().Configuration.Number, 39)
				is.Equal(x.targets(), 1)
			}
		})
	}
}

// TestRemovedTargets removes targets in calm, in a snapshot, and after an outage of the store.
func TestRemovedTargets(t *testing.T) {
	is := is.New(t)
	b := newTestRoster()
	now := time.Minute
	b.Apply(now, []platform.Change{put("config", "1", 1), put("t/a", "x", 2), put("t/b", "y", 3), put("t/c", "z", 4)}, 4)
	is.Equal(b.targets(), 3)
	b.Apply(now, []platform.Change{deletion("t/a", 5)}, 5)
	is.Equal(b.targets(), 2)
	b.ApplySnapshot(now, []platform.Entry{{Key: "config", Value: []byte("1"), Revision: 1}, {Key: "t/b", Value: []byte("y"), Revision: 3}}, 9)
	is.Equal(b.targets(), 1)
	is.True(b.StoreReturned(now))
	is.True(!b.StoreReturned(now + time.Second)) // the same return, noticed by another host
	b.Apply(now+time.Second, []platform.Change{deletion("t/b", 11)}, 11)
	b.Tick(now + time.Second)
	is.Equal(b.targets(), 1)
	b.Tick(now + returnGrace)
	is.Equal(b.targets(), 0)
	b.Apply(now+3*time.Second, []platform.Change{put("t/b", "y", 12)}, 12)
	is.Equal(b.targets(), 1)
}

// TestUndecodableEntry writes an entry that can't be used in place of a good one.
func TestUndecodableEntry(t *testing.T) {
	is := is.New(t)
	b := newTestRoster()
	b.Apply(0, []platform.Change{put("config", "1", 1), put("t/a", "x", 2), put("t/b", "y", 3)}, 3)
	b.Apply(0, []platform.Change{put("t/a", "", 4)}, 4)
	is.Equal(b.targets(), 1)
	is.Equal(b.rejected, 1)
}

// TestApplyInAnyOrder applies the same changes in any order, some of them twice: the view is the same.
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
		b := newTestRoster()
		b.Apply(time.Minute, []platform.Change{put("config", "1", 1)}, 1)
		for _, i := range rapid.Permutation(append(indexes(len(all)), indexes(len(all))...)).Draw(t, "order") {
			b.Apply(time.Minute, []platform.Change{all[i]}, all[i].Revision)
		}
		if b.targets() != len(last) {
			t.Fatalf("%d targets, want %d", b.targets(), len(last))
		}
		for _, x := range b.View().Targets["s"] {
			if last["t/"+x.Name] != x.Address {
				t.Fatalf("target %s has address %s, want %s", x.Name, x.Address, last["t/"+x.Name])
			}
		}
	})
}

func indexes(n int) []int {
	var list []int
	for i := range n {
		list = append(list, i)
	}
	return list
}
