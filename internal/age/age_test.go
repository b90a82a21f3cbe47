package age

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// request is one request of a caller that still waits for the given time in milliseconds.
type request struct {
	caller string
	left   float64
}

func (r request) observe(t *Table, now time.Duration) float64 {
	return float64(t.Observe(now, "r", r.caller, time.Duration(r.left*float64(time.Millisecond)))) / float64(time.Millisecond)
}

// replay records requests of 20 callers, 10 a second, whose times the function draws, and returns the time after the last.
func replay(t *Table, from time.Duration, count int, draw func(*rand.Rand) float64) time.Duration {
	random := rand.New(rand.NewPCG(1, 1))
	for range count {
		from += 100 * time.Millisecond
		request{fmt.Sprint("c", random.IntN(20)), draw(random)}.observe(t, from)
	}
	return from
}

// TestAge guards against requests that come back and are taken for new ones, and against new ones that are taken for old ones
// because other callers of the rule have longer, odd or changed time limits.
func TestAge(t *testing.T) {
	// mixed draws each time of a list equally often.
	mixed := func(times ...float64) func(*rand.Rand) float64 {
		return func(r *rand.Rand) float64 { return times[r.IntN(len(times))] }
	}
	// storm draws a third of new requests, the others being at the first or second retry.
	storm := func(r *rand.Rand) float64 {
		left := 1000.0
		for range r.IntN(3) {
			left -= 20 + r.Float64()*left/3
		}
		return left
	}
	// patient draws a third of new requests, the others after one or two waits of a third of what is left.
	patient := func(r *rand.Rand) float64 {
		left := 1000.0
		for range r.IntN(3) {
			left = (left - 20) * 2 / 3
		}
		return left
	}
	jittered := func(r *rand.Rand) float64 { return 1000 - 15*r.Float64() }
	cases := []struct {
		name     string
		history  func(*Table) time.Duration
		left     float64
		min, max float64
	}{
		{"nothing known", func(*Table) time.Duration { return 0 }, 500, 0, 0},
		{"one caller alone", func(t *Table) time.Duration {
			for range 100 {
				request{"c", 1000}.observe(t, time.Second)
			}
			return time.Second
		}, 500, 0, 0},
		{"new", func(t *Table) time.Duration { return replay(t, 0, 100, mixed(1000)) }, 1000, 0, 0},
		{"came back", func(t *Table) time.Duration { return replay(t, 0, 4, mixed(1000)) }, 640, 360, 360},
		{"came back, first attempts are up to 15 ms under way", func(t *Table) time.Duration { return replay(t, 0, 100, jittered) }, 640, 340, 360},
		{"came back in a storm of retries", func(t *Table) time.Duration { return replay(t, 0, 400, storm) }, 640, 360, 360},
		{"came back after the longest wait, like all others", func(t *Table) time.Duration { return replay(t, 0, 400, patient) }, 650, 350, 350},
		{"came back twice after the longest wait, like all others", func(t *Table) time.Duration { return replay(t, 0, 400, patient) }, 420, 580, 580},
		{"new in a storm of retries", func(t *Table) time.Duration { return replay(t, 0, 400, storm) }, 1000, 0, 0},
		{"a longer time than ever", func(t *Table) time.Duration { return replay(t, 0, 100, mixed(1000)) }, 4000, 0, 0},
		{"one caller names odd times", func(t *Table) time.Duration {
			now := replay(t, 0, 200, mixed(1000))
			for i := range 20 {
				request{"odd", 100_000 + 9000*float64(i)}.observe(t, now)
			}
			return now
		}, 640, 360, 360},
		{"two time limits, new with the shorter one", func(t *Table) time.Duration { return replay(t, 0, 200, mixed(10_000, 1000)) }, 1000, 0, 0},
		{"two time limits, came back with the longer one", func(t *Table) time.Duration { return replay(t, 0, 200, mixed(10_000, 1000)) }, 9000, 1000, 1000},
		{"times without any pattern", func(t *Table) time.Duration {
			return replay(t, 0, 400, func(r *rand.Rand) float64 { return 100 + 9900*r.Float64() })
		}, 1000, 0, 0},
		{"shorter time limit, after 15 s", func(t *Table) time.Duration { return replay(t, replay(t, 0, 400, mixed(2000)), 150, mixed(500)) }, 500, 0, 0},
		{"shorter time limit, came back", func(t *Table) time.Duration { return replay(t, replay(t, 0, 400, mixed(2000)), 150, mixed(500)) }, 400, 100, 100},
		{"forgotten", func(t *Table) time.Duration { return replay(t, 0, 100, mixed(1000)) + lifetime + time.Second }, 640, 0, 0},
		{"no time", func(t *Table) time.Duration { return replay(t, 0, 100, mixed(1000)) }, 0, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := New()
			now := c.history(table)
			age := request{"new", c.left}.observe(table, now)
			t.Logf("age %.1f ms", age)
			is.True(age >= c.min && age <= c.max)
		})
	}
}

// TestTableIsBounded guards against memory that grows with the number of rules or of different times.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	table := New()
	random := rand.New(rand.NewPCG(1, 1))
	for i := range 3 * maxRules {
		table.Observe(0, fmt.Sprint("r", i), "c", time.Second)
	}
	is.True(len(table.rules) <= maxRules)
	for range 10_000 {
		table.Observe(0, "r", "c", time.Duration(1+random.IntN(1_000_000))*time.Millisecond)
	}
	is.True(len(table.rules["r"].bins) <= 400)
}
