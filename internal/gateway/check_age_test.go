package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestChecksReachWholeDomainInTime checks that all hosts of a failure domain check the store before changes must be in force,
// and that few do so at first.
func TestChecksReachWholeDomainInTime(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		rank int
		age  time.Duration
	}{{-1, 1300}, {0, 1300}, {1, 1300}, {2, 1400}, {3, 1400}, {4, 1500}, {34, 1800}, {62, 1800}, {63, 1800}} {
		is.Equal(checkAge(c.rank), c.age*time.Millisecond)
	}
	for _, c := range []struct {
		rank  int
		pause time.Duration
	}{{-1, 1}, {0, 1}, {3, 1}, {4, 2}, {12, 4}, {100, 10}} {
		is.Equal(lostStorePause(c.rank), c.pause*time.Second)
	}
}
