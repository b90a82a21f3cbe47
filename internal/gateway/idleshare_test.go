package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestIdleShare guards against shares that together exceed the cap of a target, or that leave a host without any connection.
func TestIdleShare(t *testing.T) {
	for _, c := range []struct {
		limit, hosts int
		longQueue    bool
		share        int
		idleTime     time.Duration
	}{
		{840, 313, false, 2, targetIdleTime},
		{840, 313, true, 1, targetIdleTime},
		{920, 97, false, 7, targetIdleTime},
		{920, 97, true, 3, targetIdleTime},
		{100, 106, false, 1, shortIdleTime},
		{10, 1, false, 8, targetIdleTime},
		{0, 13, false, -1, 0},
	} {
		is := is.New(t)
		share, idleTime := idleShare(c.limit, c.hosts, c.longQueue)
		is.Equal(share, c.share)
		is.Equal(idleTime, c.idleTime)
	}
}
