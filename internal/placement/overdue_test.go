package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLateWaitEstimator first queues late requests of which none is placed, and then places them at a steady rate.
func TestLateWaitEstimator(t *testing.T) {
	is := is.New(t)
	var e lateWaitEstimator
	is.Equal(e.estimate(time.Second, 0), time.Duration(0)) // no late request is queued
	e.setQueued(time.Second, 2)
	is.Equal(e.estimate(time.Second, 3), time.Duration(0)) // no time has passed since requests began to queue
	is.Equal(e.estimate(1200*time.Millisecond, 0), 200*time.Millisecond)
	is.Equal(e.estimate(1200*time.Millisecond, 2), 600*time.Millisecond)
	for now := 1210 * time.Millisecond; now < 1400*time.Millisecond; now += 10 * time.Millisecond {
		e.recordPlaced(now)
	}
	is.True(e.estimate(1400*time.Millisecond, 0) <= 20*time.Millisecond)
	e.setQueued(1400*time.Millisecond, 0)
	is.Equal(e.estimate(2*time.Second, 0), time.Duration(0))
}
