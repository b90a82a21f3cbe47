package notice

import (
	"fmt"
	"os"
	"testing"
	"time"

	"briarcroft/internal/fixedseed"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Main(m)) }

// TestRecord lists notices, one a second, and checks the state and the news after the last.
func TestRecord(t *testing.T) {
	for _, c := range []struct {
		name    string
		notices []Notice
		state   State
		isNews  bool
	}{
		{"nothing", []Notice{{}}, State{}, false},
		{"leaving", []Notice{{Leaving: true}}, State{Leaving: true}, true},
		{"leaving twice", []Notice{{Leaving: true}, {Leaving: true}}, State{Leaving: true}, false},
		{"leaving is not taken back", []Notice{{Leaving: true}, {}}, State{Leaving: true}, false},
		{"pause", []Notice{{Pause: 3 * time.Second}}, State{PausedUntil: 3 * time.Second}, true},
		{"a longer pause", []Notice{{Pause: 3 * time.Second}, {Pause: 5 * time.Second}}, State{PausedUntil: 6 * time.Second}, false},
		{"a shorter pause", []Notice{{Pause: 9 * time.Second}, {Pause: time.Second}}, State{PausedUntil: 9 * time.Second}, false},
		{"a pause after a pause", []Notice{{Pause: time.Second}, {}, {Pause: time.Second}}, State{PausedUntil: 3 * time.Second}, true},
		{"negative", []Notice{{Pause: -time.Second}}, State{}, false},
		{"without end", []Notice{{Pause: 1 << 62}}, State{PausedUntil: MaxPause}, true},
		{"leaving in a pause", []Notice{{Pause: 5 * time.Second}, {Leaving: true}}, State{true, 5 * time.Second}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := New()
			k := Key{"a", 1}
			isNews := false
			for i, n := range c.notices {
				isNews = table.Record(time.Duration(i)*time.Second, k, n)
			}
			is.Equal(table.State(k), c.state)
			is.Equal(isNews, c.isNews)
			is.Equal(table.State(Key{"a", 2}), State{}) // another incarnation
			is.Equal(table.State(Key{"b", 1}), State{})
		})
	}
}

// TestHostsAgree has targets say random things to hosts that exchange their tables at random: no host forgets what it knows, and
// after an exchange all know the longest pause, up to what is lost to the time that remains.
func TestHostsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*Table{New(), New(), New()}
		k := Key{"a", 1}
		now := time.Duration(0)
		var until time.Duration
		leaving := false
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 500).Draw(t, "wait")) * time.Millisecond
			table := tables[rapid.IntRange(0, 2).Draw(t, "host")]
			before := table.State(k)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				table.Record(now, k, Notice{Leaving: true})
				leaving = true
			case 1:
				pause := time.Duration(rapid.IntRange(1, 3000).Draw(t, "pause")) * time.Millisecond
				table.Record(now, k, Notice{Pause: pause})
				until = max(until, now+pause)
			default:
				table.Merge(now, tables[rapid.IntRange(0, 2).Draw(t, "peer")].Share(now))
			}
			after := table.State(k)
			if before.Leaving && !after.Leaving || before.Blocked(now) && after.PausedUntil < before.PausedUntil {
				t.Fatalf("%v became %v", before, after)
			}
		}
		for range tables {
			for i := range tables {
				tables[i].Merge(now, tables[(i+1)%3].Share(now))
			}
		}
		for _, table := range tables {
			s := table.State(k)
			if s.Leaving != leaving || now < until && s.PausedUntil != until {
				t.Fatalf("state is %v, want leaving %v and paused until %v", s, leaving, until)
			}
		}
	})
}

// TestShareTakesTurns checks that all reports are shared in a few calls, and that expired ones are not.
func TestShareTakesTurns(t *testing.T) {
	is := is.New(t)
	table := New()
	for i := range 2 * maxShared {
		table.Record(0, Key{fmt.Sprint(i), 1}, Notice{Pause: time.Second})
	}
	seen := map[Key]bool{}
	for range 2 {
		for _, r := range table.Share(0) {
			seen[r.Key] = true
		}
	}
	is.Equal(len(seen), 2*maxShared)
	is.Equal(len(table.Share(time.Second)), 0)
}
