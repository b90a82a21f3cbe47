package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

func newTable() *Table {
	return New(Config{Host: "entry-1", Incarnation: 7, GrantWindow: 30 * time.Second, MaxRunTime: 5 * time.Minute, MaxEntries: 100, MaxKeptBytes: 4 << 10})
}

func key(t *Table, issued time.Duration, suffix string) Key {
	return Key{Grant: t.IssueGrant(issued), Suffix: suffix}
}

func TestDecisions(t *testing.T) {
	response := Response{Status: 200, Body: []byte("b")}
	cases := []struct {
		name  string
		setup func(t *Table, k Key)
		at    time.Duration
		want  Decision
	}{
		{"first", func(*Table, Key) {}, 0, Run{}},
		{"in flight", func(t *Table, k Key) { t.Begin(0, k, 1) }, 0, Join{}},
		{"completed", func(t *Table, k Key) { t.Begin(0, k, 1); t.Finish(k, Completed{response, true}) }, 0, StoredResponse{response}},
		{"completed, after the window", func(t *Table, k Key) { t.Begin(0, k, 1); t.Finish(k, Completed{response, true}) }, time.Minute, StoredResponse{response}},
		{"response too large", func(t *Table, k Key) { t.Begin(0, k, 1); t.Finish(k, Completed{response, false}) }, 0, Refusal{Ran, ReasonResponseTooLarge, 0}},
		{"no room to store the response", func(t *Table, k Key) {
			t.Begin(0, k, 1)
			t.Finish(k, Completed{Response{Body: make([]byte, 5<<10)}, true})
		}, 0, Refusal{Ran, ReasonResponseTooLarge, 0}},
		{"response lost", func(t *Table, k Key) { t.Begin(0, k, 1); t.Finish(k, ResponseLost{}) }, 0, Refusal{Unknown, ReasonResponseLost, 0}},
		{"not sent", func(t *Table, k Key) { t.Begin(0, k, 1); t.Finish(k, NotSent{}) }, 0, Refusal{NotRun, ReasonKeyRefused, 0}},
		{"another request", func(t *Table, k Key) { t.Begin(0, k, 2) }, 0, Refusal{NotRun, ReasonKeyReused, 0}},
		{"grant expired", func(*Table, Key) {}, 31 * time.Second, Refusal{NotRun, ReasonGrantExpired, 0}},
		{"too old", func(*Table, Key) {}, 6 * time.Minute, Refusal{Unknown, ReasonKeyTooOld, 0}},
		{"entry expired", func(t *Table, k Key) { t.Begin(0, k, 1); t.Finish(k, ResponseLost{}) }, 10 * time.Minute, Refusal{Unknown, ReasonKeyTooOld, 0}},
		{"sealed", func(t *Table, _ Key) { t.Seal() }, 0, Refusal{NotRun, ReasonHostLeaving, 0}},
		{"full", func(t *Table, _ Key) {
			for i := range 100 {
				t.Begin(0, key(t, 0, fmt.Sprint(i)), 1)
			}
		}, 0, Refusal{NotRun, ReasonTableFull, tableFullRetryAfter}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := newTable()
			k := key(table, 0, "k")
			c.setup(table, k)
			got := table.Begin(c.at, k, 1)
			if _, join := got.(Join); join {
				got = Join{}
			}
			is.Equal(got, c.want)
		})
	}
}

// TestSealedTableAnswers seals and exports a table, and checks the decisions of the peer that received it.
func TestSealedTableAnswers(t *testing.T) {
	is := is.New(t)
	table := newTable()
	now := 10 * time.Minute
	known, lost, refused := key(table, now, "known"), key(table, now, "lost"), key(table, now, "refused")
	table.Begin(now, known, 1)
	table.Begin(now, lost, 1)
	table.Begin(now, refused, 1)
	idle := table.Seal()
	select {
	case <-idle:
		t.Fatal("sealed table reports idle while requests are in flight")
	default:
	}
	table.Finish(known, Completed{Response{Status: 200}, true})
	table.Finish(lost, ResponseLost{})
	table.Finish(refused, NotSent{})
	<-idle
	sealed := NewSealedTables(SealedTablesConfig{MaxEntries: 10})
	is.True(sealed.Add(0, table.Export(now)))
	cases := []struct {
		key  Key
		want Decision
	}{
		{known, StoredResponse{Response{Status: 200}}},
		{lost, Refusal{Unknown, ReasonResponseLost, 0}},
		{refused, Refusal{NotRun, ReasonKeyRefused, 0}},
		{key(table, now, "unknown"), Refusal{NotRun, ReasonHostLeaving, 0}},
		{key(table, 0, "expired"), Refusal{Unknown, ReasonKeyTooOld, 0}},
	}
	for _, c := range cases {
		got, found := sealed.Lookup(time.Second, c.key, 1)
		is.True(found)
		is.Equal(got, c.want)
	}
	_, found := sealed.Lookup(time.Hour, known, 1)
	is.True(!found) // the sealed table has expired
}

func TestParseKey(t *testing.T) {
	is := is.New(t)
	g := Grant{"entry-1", 12345, 678}
	k, err := ParseKey(g.String() + ".order.7")
	is.NoErr(err)
	is.Equal(k, Key{Grant: g, Suffix: "order.7"})
	plain, err := ParseKey("plain key"[:5])
	is.NoErr(err)
	is.True(plain.Plain)
	for _, bad := range []string{"", "a b", "g1.entry-1", "g1.entry-1.zz.1.", "g1.e.!.1.x", "g1.e.1.-1.x", string(make([]byte, 300))} {
		_, err := ParseKey(bad)
		is.True(errorx.IsOfType(err, ErrInvalidKey))
	}
}

// TestTableSizeBound checks that the table holds only the keys of the grant window and the maximum run time, however
// long the host is up.
func TestTableSizeBound(t *testing.T) {
	const perSec = 100
	table := New(Config{Host: "h", Incarnation: 1, GrantWindow: 30 * time.Second, MaxRunTime: 5 * time.Minute, MaxEntries: 1 << 20, MaxKeptBytes: 64 << 20})
	maxEntries := 0
	for now := time.Duration(0); now < time.Hour; now += time.Second / perSec {
		k := key(table, now, fmt.Sprint(now))
		table.Begin(now, k, 1)
		table.Finish(k, Completed{Response{Status: 200, Body: []byte("kept")}, true})
		maxEntries = max(maxEntries, table.Size().Entries)
	}
	bound := perSec * (30 + 300 + 2)
	t.Logf("%d keys per second for an hour: at most %d entries for %d keys", perSec, maxEntries, perSec*3600)
	if maxEntries > bound {
		t.Fatalf("table holds %d entries, want at most %d for the grant window and the maximum run time", maxEntries, bound)
	}
}

func BenchmarkKeyed(b *testing.B) {
	table := New(Config{Host: "h", Incarnation: 1, GrantWindow: 30 * time.Second, MaxRunTime: 5 * time.Minute, MaxEntries: 1 << 30, MaxKeptBytes: 1 << 40})
	now := time.Duration(0)
	body := make([]byte, 512)
	b.ReportAllocs()
	for b.Loop() {
		now += 10 * time.Millisecond
		k := key(table, now, "suffix")
		table.Begin(now, k, 1)
		table.Finish(k, Completed{Response{Status: 200, Body: body}, true})
	}
}
