package gateway

import (
	"math"
	"testing"
	"time"

	"briarcroft/internal/note"
	"briarcroft/internal/placement"
	"briarcroft/internal/settings"

	"github.com/matryer/is"
)

// TestSecondRunLimit guards against settings that go before the note, and against a limit of 0 that counts as none.
func TestSecondRunLimit(t *testing.T) {
	none, five := 0.0, 5.0
	unset := math.Inf(1)
	for _, c := range []struct {
		setting  settings.SecondRuns
		note     note.Service
		want     placement.SecondRunLimit
		limitSet bool
	}{
		{settings.Default().SecondRuns, note.Service{}, placement.SecondRunLimit{Runs: unset, Work: unset}, false},
		{settings.SecondRuns{Runs: 0, Work: settings.Unset}, note.Service{}, placement.SecondRunLimit{Runs: 0, Work: unset}, true},
		{settings.SecondRuns{Runs: 2, Work: 3}, note.Service{SecondRuns: &none}, placement.SecondRunLimit{Runs: 0, Work: 3}, true},
		{settings.SecondRuns{Runs: 0, Work: 0}, note.Service{SecondRuns: &five, SecondRunWork: &five}, placement.SecondRunLimit{Runs: 5, Work: 5}, true},
	} {
		is := is.New(t)
		s := settings.Default()
		s.SecondRuns, s.Retries.Window = c.setting, 10*time.Second
		c.want.Window = 10 * time.Second
		got := secondRunLimit(&s, c.note)
		is.Equal(got, c.want)
		is.Equal(got.IsSet(), c.limitSet)
	}
}

// TestSecondRunCounters guards against counters that are shown without a limit, or that lose the reasons of refusals.
func TestSecondRunCounters(t *testing.T) {
	is := is.New(t)
	var s secondRunStats
	is.True(s.status() == nil)
	c := placement.SecondRunCounts{Started: 3, Won: 2, Lost: 1}
	c.Refused[placement.RefusedQueue] = 4
	s.add(c)
	s.add(c)
	is.Equal(*s.status(), secondRunStatus{Started: 6, Won: 4, Lost: 2, Refused: map[string]int64{"Queue": 8}})
}
