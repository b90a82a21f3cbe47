package ratelimit

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestNewestStatementHolds checks which of several statements of how long a target stays cold counts. It guards against an entry of the
// store that arrives late and ends a newer warm-up, against one that prolongs a warm-up that a response has named exactly, and against a
// peer's older report.
func TestNewestStatementHolds(t *testing.T) {
	const now, left = time.Minute, 3 * time.Second
	cold := func(at time.Duration) func(*Table) {
		return func(t *Table) { t.RecordWarmUp(at, at, key, at+left) }
	}
	warm := func(at time.Duration) func(*Table) { return func(t *Table) { t.RecordWarmUp(at, at, key, 0) } }
	entry := func(earliest, left time.Duration) func(*Table) {
		return func(t *Table) { t.RecordEntry(now, earliest, key, left) }
	}
	peer := func(age, left time.Duration) func(*Table) {
		return func(t *Table) { t.MergeWarmUps(now, []WarmUpReport{{key, left, max(0, left), age}}) }
	}
	for _, c := range []struct {
		name       string
		statements []func(*Table)
		want       time.Duration
	}{
		{"none", nil, 0},
		{"entry", []func(*Table){entry(now-time.Second, left)}, now + left},
		{"entry that is warm, of before or after a response", []func(*Table){cold(now - 500*time.Millisecond), entry(now-time.Second, 0)}, now - 500*time.Millisecond + left},
		{"entry that is warm, of after a response", []func(*Table){cold(now - 2*time.Second), entry(now-time.Second, 0)}, 0},
		{"entry that agrees with a response", []func(*Table){cold(now - 500*time.Millisecond), entry(now-time.Second, left)}, now - 500*time.Millisecond + left},
		{"entry that contradicts a response", []func(*Table){warm(now - 500*time.Millisecond), entry(now-time.Second, left)}, now + left},
		{"warm before its time", []func(*Table){entry(now-time.Second, left), warm(now + time.Millisecond)}, 0},
		{"cold again", []func(*Table){warm(now - time.Second), cold(now)}, now + left},
		{"peer's newer report", []func(*Table){warm(now - time.Second), peer(100*time.Millisecond, left)}, now + left},
		{"peer's older report", []func(*Table){warm(now - time.Second), peer(time.Second, left)}, 0},
		{"peer's report that it is warm", []func(*Table){cold(now - time.Second), peer(100*time.Millisecond, 0)}, 0},
		{"peer's report from the future", []func(*Table){peer(-time.Second, left)}, 0},
		{"peer's negative report", []func(*Table){peer(0, -time.Second)}, 0},
		{"without end", []func(*Table){entry(now, 1000*time.Hour)}, now + MaxWarmUp},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := New()
			for _, record := range c.statements {
				record(table)
			}
			is.Equal(table.ColdUntil(key), c.want)
			is.Equal(table.PerSecond(key), none)
			table.Expire(now + MaxWarmUp + lifetime + time.Second)
			is.Equal(len(table.warmUps), 0)
		})
	}
}

// TestUnknownWarmUpIsNotShared guards against heartbeats that carry all targets of a failure domain for an hour after its evacuation.
func TestUnknownWarmUpIsNotShared(t *testing.T) {
	is := is.New(t)
	table := New()
	table.RecordUnknown(time.Minute, time.Minute, key)
	is.Equal(table.ColdUntil(key), time.Minute+MaxWarmUp)
	is.Equal(len(table.ShareWarmUps(time.Minute)), 0)
	table.RecordWarmUp(2*time.Minute, 2*time.Minute, key, 0)
	is.Equal(table.ColdUntil(key), time.Duration(0))
	is.Equal(len(table.ShareWarmUps(2*time.Minute)), 0)
}

// TestHostsAgreeOnWarmUps records health responses on random hosts, which exchange their tables at random times: when all have exchanged
// them, none takes the target for cold that was warm at last, and none for warm that is cold.
func TestHostsAgreeOnWarmUps(t *testing.T) {
	// Each exchange takes a millisecond, which the time that is left does not count.
	const tolerance = 20 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		tables := make([]*Table, rapid.IntRange(2, 5).Draw(t, "hosts"))
		for i := range tables {
			tables[i] = New()
		}
		draw := func(label string) *Table { return tables[rapid.IntRange(0, len(tables)-1).Draw(t, label)] }
		now, until := time.Minute, time.Duration(0)
		exchange := func(to, from *Table) { to.MergeWarmUps(now, from.ShareWarmUps(now-time.Millisecond)) }
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += relayMargin*time.Duration(len(tables)) + time.Duration(rapid.IntRange(0, 400).Draw(t, "wait"))*time.Millisecond
			if rapid.Bool().Draw(t, "exchange") {
				exchange(draw("to"), draw("from"))
				continue
			}
			until = 0
			if rapid.Bool().Draw(t, "cold") {
				until = now + time.Duration(rapid.IntRange(1, 4000).Draw(t, "left"))*time.Millisecond
			}
			draw("host").RecordWarmUp(now, now, key, until)
		}
		for range 2 * len(tables) {
			now += relayMargin
			for i, table := range tables {
				exchange(table, tables[(i+1)%len(tables)])
			}
		}
		for i, table := range tables {
			if got := table.ColdUntil(key); (max(now, got) - max(now, until)).Abs() > tolerance {
				t.Fatalf("at %v host %d takes the target for cold until %v, it is until %v", now, i, got, until)
			}
		}
	})
}
