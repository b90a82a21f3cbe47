package inner

import (
	"time"

	"briarcroft/internal/ratelimit"
)

// EncodeRateLimits converts reports of rate limits to wire messages.
func EncodeRateLimits(reports []ratelimit.Report) []*RateLimit {
	var encoded []*RateLimit
	for _, r := range reports {
		encoded = append(encoded, &RateLimit{Target: r.Target, Incarnation: r.Incarnation, PerSecond: r.PerSecond, AgeMilliseconds: r.Age.Milliseconds()})
	}
	return encoded
}

// DecodeRateLimits converts wire messages to reports of rate limits.
func DecodeRateLimits(limits []*RateLimit) []ratelimit.Report {
	var decoded []ratelimit.Report
	for _, l := range limits {
		decoded = append(decoded, ratelimit.Report{
			Key: ratelimit.Key{Target: l.Target, Incarnation: l.Incarnation}, PerSecond: l.PerSecond, Age: time.Duration(l.AgeMilliseconds) * time.Millisecond,
		})
	}
	return decoded
}
