package ratelimit

import (
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"briarcroft/internal/fixedseed"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Main(m)) }

var (
	key  = Key{Target: "t0", Incarnation: 1}
	none = math.Inf(1)
)

// TestRecord checks that a limit holds from the response that names it until one that does not, for one start of a target.
func TestRecord(t *testing.T) {
	is := is.New(t)
	table := New()
	table.Record(0, key, none)
	is.Equal(table.Version(), uint64(0))
	is.Equal(table.PerSecond(key), none)
	table.Record(1, key, 3)
	is.Equal(table.PerSecond(key), 3.0)
	is.Equal(table.PerSecond(Key{key.Target, 2}), none)
	version := table.Version()
	table.Record(2, key, 3)
	is.Equal(table.Version(), version)
	table.Record(3, key, none)
	is.Equal(table.PerSecond(key), none)
	is.True(table.Version() != version)
}

// TestExpire checks that a limit is forgotten that no response has confirmed for long.
func TestExpire(t *testing.T) {
	is := is.New(t)
	table := New()
	table.Record(0, key, 3)
	table.Record(time.Second, key, 3)
	table.Expire(lifetime)
	is.Equal(table.PerSecond(key), 3.0)
	version := table.Version()
	table.Expire(time.Second + lifetime)
	is.Equal(table.PerSecond(key), none)
	is.True(table.Version() != version)
	is.Equal(len(table.Share(time.Second+lifetime)), 0)
}

// TestMerge checks which reports of another host replace what a host knows.
func TestMerge(t *testing.T) {
	const now = time.Minute
	for _, c := range []struct {
		name   string
		report Report
		want   float64
	}{
		{"newer", Report{key, 5, 100 * time.Millisecond}, 5},
		{"newer, ended", Report{key, none, 100 * time.Millisecond}, none},
		{"older", Report{key, 5, 2 * time.Second}, 3},
		{"of the same age", Report{key, 5, time.Second}, 3},
		{"negative limit", Report{key, -1, 0}, 3},
		{"not a number", Report{key, math.NaN(), 0}, 3},
		{"from the future", Report{key, 5, -time.Second}, 3},
		{"another start of the target", Report{Key{key.Target, 2}, 5, 0}, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := New()
			table.Record(now-time.Second, key, 3)
			table.Merge(now, []Report{c.report})
			is.Equal(table.PerSecond(key), c.want)
		})
	}
}

// TestShareReturnsAllInTurn checks that every report is shared by a few calls of bounded size.
func TestShareReturnsAllInTurn(t *testing.T) {
	const entries = 3*maxShared + 1
	is := is.New(t)
	from, to := New(), New()
	for i := range entries {
		from.Record(0, Key{fmt.Sprint(i), 1}, 1)
	}
	for range 4 {
		reports := from.Share(0)
		is.Equal(len(reports), maxShared)
		to.Merge(0, reports)
	}
	is.Equal(len(to.entries), entries)
}

// TestHostsAgree records responses on random hosts, which exchange their tables at random times. When all have exchanged
// them, each knows what the target said last.
func TestHostsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := make([]*Table, rapid.IntRange(2, 5).Draw(t, "hosts"))
		for i := range tables {
			tables[i] = New()
		}
		draw := func(label string) *Table { return tables[rapid.IntRange(0, len(tables)-1).Draw(t, label)] }
		now, last, named := time.Duration(0), none, false
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			// A report ages by relayMargin each time that it is passed on.
			now += relayMargin*time.Duration(len(tables)) + time.Duration(rapid.IntRange(0, 400).Draw(t, "wait"))*time.Millisecond
			if rapid.Bool().Draw(t, "exchange") {
				draw("to").Merge(now, draw("from").Share(now-time.Millisecond))
				continue
			}
			limit := rapid.SampledFrom([]float64{none, 1, 2}).Draw(t, "limit")
			table := draw("host")
			if named || !math.IsInf(limit, 1) {
				// A host that knows of no limit keeps no record of its end, which the others get from their own responses.
				if math.IsInf(limit, 1) && len(table.entries) == 0 {
					continue
				}
				last, named = limit, true
			}
			table.Record(now, key, limit)
		}
		for range 2 * len(tables) {
			now += relayMargin
			for i, table := range tables {
				table.Merge(now, tables[(i+1)%len(tables)].Share(now))
			}
		}
		for i, table := range tables {
			if got := table.PerSecond(key); got != last {
				t.Fatalf("host %d knows a limit of %v, the target said %v last", i, got, last)
			}
		}
	})
}
