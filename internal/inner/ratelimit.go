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

// DecodeRateLimits returns the reports of rate limits among wire messages.
func DecodeRateLimits(limits []*RateLimit) []ratelimit.Report {
	var decoded []ratelimit.Report
	for _, l := range limits {
		if l.PerSecond < 0 {
			continue
		}
		decoded = append(decoded, ratelimit.Report{
			Key: ratelimit.Key{Target: l.Target, Incarnation: l.Incarnation}, PerSecond: l.PerSecond, Age: time.Duration(l.AgeMilliseconds) * time.Millisecond,
		})
	}
	return decoded
}

// noRateLimit is the rate of a RateLimit message that tells only how long a target stays cold. Hosts of the last release ignore
// negative rates; they would hold the target to any other one for minutes.
const noRateLimit = -1

// EncodeWarmUps converts reports of how long targets stay cold to wire messages. For a target that is warm, a message holds the negative
// of OlderLeft.
func EncodeWarmUps(reports []ratelimit.WarmUpReport) []*RateLimit {
	var encoded []*RateLimit
	for _, r := range reports {
		left := milliseconds(r.Left)
		if left == 0 {
			left = -milliseconds(r.OlderLeft)
		}
		encoded = append(encoded, &RateLimit{
			Target: r.Target, Incarnation: r.Incarnation, PerSecond: noRateLimit, AgeMilliseconds: r.Age.Milliseconds(), WarmUpLeftMilliseconds: left,
		})
	}
	return encoded
}

// DecodeWarmUps returns the reports of how long targets stay cold among wire messages.
func DecodeWarmUps(limits []*RateLimit) []ratelimit.WarmUpReport {
	var decoded []ratelimit.WarmUpReport
	for _, l := range limits {
		if l.PerSecond < 0 {
			left := time.Duration(l.WarmUpLeftMilliseconds) * time.Millisecond
			decoded = append(decoded, ratelimit.WarmUpReport{
				Key:  ratelimit.Key{Target: l.Target, Incarnation: l.Incarnation},
				Left: max(0, left), OlderLeft: left.Abs(), Age: time.Duration(l.AgeMilliseconds) * time.Millisecond,
			})
		}
	}
	return decoded
}
