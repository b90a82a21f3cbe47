package record

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestTimeline checks the timeline of a target whose records come from two hosts, out of order and mixed with those of
// another target, and what is derived from it.
func TestTimeline(t *testing.T) {
	is := is.New(t)
	start := time.Date(2026, 12, 3, 20, 0, 0, 0, time.UTC)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	stateChange := func(seconds int, host, target, to, cause string) Record {
		return Record{Time: at(seconds), Host: host, Kind: TargetMoved, Service: "s", Target: target, To: to, Cause: cause}
	}
	records := []Record{
		stateChange(30, "a", "t", "Ramping", "EjectionEnded"),
		stateChange(0, "a", "t", "Live", "AddedByNote"),
		stateChange(20, "a", "t", "Ejected", "FailuresInARow"),
		stateChange(5, "b", "t", "Live", "AddedByNote"),
		stateChange(6, "b", "other", "Ejected", "Straggler"),
		stateChange(40, "b", "t", "Draining", "WithdrawnByNote"),
		{Time: at(50), Host: "b", Kind: TargetForgotten, Service: "s", Target: "t"},
	}
	intervals := Timeline(records, "t", TimeRange{at(10), at(60)})
	type row struct {
		host, state string
		from, to    int
	}
	var rows []row
	for _, i := range intervals {
		rows = append(rows, row{i.Host, i.State, int(i.From.Sub(start).Seconds()), int(i.To.Sub(start).Seconds())})
	}
	is.Equal(rows, []row{
		{"a", "Live", 10, 20}, {"a", "Ejected", 20, 30}, {"a", "Ramping", 30, 60}, {"b", "Live", 10, 40}, {"b", "Draining", 40, 50},
	})
	is.Equal(EligibilityByHost(intervals), []Eligibility{{"a", 40 * time.Second, 50 * time.Second}, {"b", 30 * time.Second, 40 * time.Second}})
	// EligibleTargets expects the records of one host. In this mixed list, host b's record comes last and so decides.
	is.Equal(EligibleTargets(records[:4], "s", at(25)), []string{"t"})
	is.Equal(len(Timeline(records, "t", TimeRange{at(-20), at(-10)})), 0)
}
