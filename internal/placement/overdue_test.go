package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestOverdueTurns replays a queue in which late requests wait without any being placed, and then a spell of free slots.
func TestOverdueTurns(t *testing.T) {
	is := is.New(t)
	var o overdue
	is.Equal(o.turn(time.Second, 0), time.Duration(0)) // nobody waits
	o.wait(time.Second, 2)
	is.Equal(o.turn(time.Second, 3), time.Duration(0)) // nothing is known yet
	is.Equal(o.turn(1200*time.Millisecond, 0), 200*time.Millisecond)
	is.Equal(o.turn(1200*time.Millisecond, 2), 600*time.Millisecond)
	for now := 1210 * time.Millisecond; now < 1400*time.Millisecond; now += 10 * time.Millisecond {
		o.served(now)
	}
	is.True(o.turn(1400*time.Millisecond, 0) <= 20*time.Millisecond)
	o.wait(1400*time.Millisecond, 0)
	is.Equal(o.turn(2*time.Second, 0), time.Duration(0))
}
