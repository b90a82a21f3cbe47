package inner

import (
	"testing"
	"time"

	"briarcroft/internal/ratelimit"

	"github.com/matryer/is"
)

// TestWarmUpsAreNoRateLimits guards against hosts, also of the last release, that hold a target to a rate limit for minutes because it is cold
// for seconds: they ignore rates below 0.
func TestWarmUpsAreNoRateLimits(t *testing.T) {
	is := is.New(t)
	k := ratelimit.Key{Target: "t", Incarnation: 7}
	limits := []ratelimit.Report{{Key: k, PerSecond: 3, Age: time.Second}}
	warmUps := []ratelimit.WarmUpReport{
		{Key: k, Left: 2 * time.Second, OlderLeft: 2 * time.Second, Age: time.Second},
		{Key: k, OlderLeft: time.Second, Age: 10 * time.Millisecond},
	}
	encoded := append(EncodeRateLimits(limits), EncodeWarmUps(warmUps)...)
	for _, m := range encoded[1:] {
		is.True(m.PerSecond < 0)
	}
	is.Equal(DecodeRateLimits(encoded), limits)
	is.Equal(DecodeWarmUps(encoded), warmUps)
}
