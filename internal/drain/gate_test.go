package drain

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRunIsNotStartedLate guards against runs that the end of a stop may cut off, and against refusals of those that end in time.
func TestRunIsNotStartedLate(t *testing.T) {
	const began, second = time.Hour, time.Second
	s := NewSchedule(Config{Now: began, DrainTime: 2 * second, Limit: 6 * second})
	cases := []struct {
		name                   string
		now, arrived, deadline time.Duration
		may                    bool
	}{
		{"in the drain", began + second, began + second, began + 9*second, true},
		{"before the stop, started in the drain", began + second, began - second, began + 9*second, true},
		{"waited until after the drain", began + 3*second, began + second, began + 9*second, true},
		{"waited too long", began + 4*second, began + second, began + 9*second, false},
		{"arrived after the drain", began + 2*second + 1, began + 2*second + 1, began + 9*second, false},
		{"ends in time", began + 4*second, began + 4*second, s.Answered, true},
		{"ends hardly in time", began + 4*second, began + 4*second, s.Answered + 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			gate := New()
			is.True(gate.MayStartRun(c.now, c.arrived, c.deadline))
			is.True(gate.EndsInTime(c.deadline))
			gate.Begin(s)
			is.Equal(gate.MayStartRun(c.now, c.arrived, c.deadline), c.may)
			is.Equal(gate.EndsInTime(c.deadline), c.deadline <= s.Answered)
		})
	}
}

// TestScheduleIsInOrder guards against steps of a stop that come before earlier ones if the time limit is short.
func TestScheduleIsInOrder(t *testing.T) {
	is := is.New(t)
	for _, limit := range []time.Duration{time.Millisecond, 200 * time.Millisecond, time.Second, time.Minute} {
		s := NewSchedule(Config{Now: time.Hour, DrainTime: limit / 2, Limit: limit})
		is.True(s.Began <= s.Drained && s.Drained <= s.LastRun && s.LastRun <= s.Answered && s.Answered <= s.Cut && s.Cut <= s.Ended)
	}
}
