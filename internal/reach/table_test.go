package reach

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

func names(list ...string) map[string]bool {
	set := map[string]bool{}
	for _, name := range list {
		set[name] = true
	}
	return set
}

// TestLost lists failures (in capitals) and responses of targets, and checks whether the host has lost all targets after them.
func TestLost(t *testing.T) {
	for _, c := range []struct {
		name, targets, events string
		lost                  bool
	}{
		{"eight of ten targets fail", "abcdefghij", "ABCDEFGH", true},
		{"seven of ten targets fail", "abcdefghij", "ABCDEFGAB", false},
		{"all of four targets fail", "abcd", "ABCD", true},
		{"three of four targets fail", "abcd", "ABCABC", false},
		{"all of two targets fail", "ab", "AB", true},
		{"one of them responds meanwhile", "abcd", "ABcCD", false},
		{"the others fail after a response", "abcd", "AaBCDA", true},
		{"one responds again", "abcd", "ABCDa", true},
		{"two respond again", "abcd", "ABCDab", false},
		{"one responds twice", "abcd", "ABCDaa", true},
		{"they come and go", "abcd", "ABCDaAb", true},
		{"the only one responds again", "a", "Aa", false},
		{"unknown targets fail", "ab", "XYZ", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := New()
			var registered []string
			for _, r := range c.targets {
				registered = append(registered, string(r))
			}
			table.SetTargets(names(registered...))
			lost := false
			for _, r := range c.events {
				switch {
				case r >= 'a':
					if table.RecordResponse(string(r)) {
						lost = false
					}
				default:
					if becomes, _ := table.RecordFailure(0, string(r-'A'+'a')); becomes {
						lost = true
					}
				}
				is.Equal(table.Lost(), lost) // each change is reported
			}
			is.Equal(table.Lost(), c.lost)
		})
	}
}

// TestDirect checks which targets are reached directly after failures.
func TestDirect(t *testing.T) {
	is := is.New(t)
	table := New()
	table.SetTargets(names("a", "b", "c", "d"))
	table.RecordFailure(0, "a")
	is.True(!table.Direct("a") && table.Direct("b"))
	table.RecordResponse("a")
	is.True(table.Direct("a"))
	for _, name := range []string{"a", "b", "c", "d"} {
		table.RecordFailure(0, name)
	}
	table.SetTargets(names("a", "b", "c", "d", "e"))
	is.True(!table.Direct("e")) // no target responds
	table.RecordResponse("d")
	table.RecordResponse("c")
	is.True(table.Direct("d") && table.Direct("c") && table.Direct("e") && !table.Direct("b"))
	table.SetTargets(names("b", "e"))
	is.True(!table.Direct("b") && table.Direct("e"))
}

// TestChecksAreBounded takes checks at random times: no target is checked twice within checkInterval.
func TestChecksAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New()
		registered := map[string]bool{}
		for i := range rapid.IntRange(1, 6).Draw(t, "targets") {
			registered[fmt.Sprint(i)] = true
		}
		table.SetTargets(registered)
		last := map[string]time.Duration{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "wait")) * time.Millisecond
			name := fmt.Sprint(rapid.IntRange(0, 6).Draw(t, "target"))
			var taken []string
			if rapid.Bool().Draw(t, "fails") {
				_, taken = table.RecordFailure(now, name)
			}
			if other, due := table.TakeLostCheck(now); due {
				taken = append(taken, other)
			}
			if table.TakeCheck(now, name) {
				taken = append(taken, name)
			}
			for _, taken := range taken {
				if at, found := last[taken]; found && now-at < checkInterval {
					t.Fatalf("target %s is checked after %v", taken, now-at)
				}
				last[taken] = now
			}
		}
	})
}
