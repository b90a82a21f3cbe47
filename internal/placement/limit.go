package placement

import (
	"math"
	"time"

	"briarcroft/internal/ratelimit"
)

const (
	// savedRate is how much of its part of a target's rate limit a home saves up that places most requests of the fleet.
	savedRate = 500 * time.Millisecond
	// permitLifetime is how long any other home may use a permit for one request.
	permitLifetime = time.Second
	// limitCheckInterval is how long a target that names a rate limit may get no request before it is preferred for one: only
	// its responses tell when the limit ends.
	limitCheckInterval = 5 * time.Second
	// limitCheckFactor applies to the expected duration of a run on a target that is preferred.
	limitCheckFactor = 0.5
)

// RateLimitChange reports that a target has begun to name a rate limit, or has stopped.
type RateLimitChange struct {
	Target string
	// PerSecond is the limit in requests per second, infinite if the target names none any more.
	PerSecond float64
}

// LimitShare is a home's share in the rate limits that targets name. What a target gets is bounded by the sum of the shares
// of all homes of its service, so that sum should be about 1.
type LimitShare struct {
	Share float64
	// Majority is set if the home places the requests of most of the fleet's hosts, so that there is no other such home. Only
	// then may it save up requests: many homes that do so could send them all at once.
	Majority bool
}

// rateLimiter is the state of a home's share in the rate limit of one target.
type rateLimiter struct {
	// perSecond is the number of requests per second that the target takes from all hosts together: the limit that it names, or that
	// of a cold target if that is lower. It is infinite if there is no limit.
	perSecond float64
	// named is set if the target names a limit, and cold if it is cold.
	named, cold bool
	// majority is set if the home had the majority when it last asked for leave to send a request.
	majority bool
	// credit is the number of requests that the home may send, as of updatedAt. permitAt is when a home without the majority
	// got its permit.
	credit    float64
	updatedAt time.Duration
	permitAt  time.Duration
	// usedAt is when the home last sent a request.
	usedAt time.Duration
}

var unlimited = rateLimiter{perSecond: math.Inf(1)}

// limited reports whether the target names a rate limit or is cold.
func (l *rateLimiter) limited() bool { return !math.IsInf(l.perSecond, 1) }

// rate returns the number of requests per second that a home with a share may send.
func (l *rateLimiter) rate(s LimitShare) float64 {
	return s.Share * max(l.perSecond, ratelimit.MinPerSecond)
}

// allows reports whether the home may send a request now. A home without the majority gets permits at random times and
// loses those that it does not use soon: however many such homes there are, the requests that they send at the same time are
// few.
func (l *rateLimiter) allows(now time.Duration, s LimitShare, random func() float64) bool {
	if !l.limited() {
		return true
	}
	rate, elapsed := l.rate(s), now-l.updatedAt
	if l.cold && s.Majority && !l.majority {
		// The home that had the majority before may have just sent what this one would have saved up.
		l.credit, elapsed = 0, 0
	}
	l.updatedAt, l.majority = now, s.Majority
	switch {
	case s.Majority:
		most := max(1, rate*savedRate.Seconds())
		if l.cold {
			most = 1
		}
		l.credit = min(most, l.credit+rate*elapsed.Seconds())
	case l.credit < 1 || now-l.permitAt > permitLifetime:
		l.credit = 0
		if random() < 1-math.Exp(-rate*min(elapsed, permitLifetime).Seconds()) {
			l.credit, l.permitAt = 1, now
		}
	}
	return l.credit >= 1
}

// wait returns the expected time until the home may send a request, after a call of allows.
func (l *rateLimiter) wait(s LimitShare) time.Duration {
	return time.Duration((1 - l.credit) / l.rate(s) * float64(time.Second))
}

// SetLimitShare sets the home's share in the rate limits that targets name.
func (h *Home) SetLimitShare(s LimitShare) { h.limitShare = s }

// TakeLimitedRuns returns the number of runs since its last call that were placed on targets that name a rate limit.
func (h *Home) TakeLimitedRuns() int64 {
	runs := h.limitedRuns
	h.limitedRuns = 0
	return runs
}

// recordRateLimit records the rate limit that a target has named.
func (h *Home) recordRateLimit(now time.Duration, t *targetState, perSecond float64) {
	wasNamed := t.limiter.named
	h.config.RateLimits.Record(now, t.limitKey(), perSecond)
	h.applyRateLimits(now)
	if t.limiter.named != wasNamed && h.config.OnRateLimit != nil {
		h.config.OnRateLimit(RateLimitChange{t.Name, perSecond})
	}
}

func (t *targetState) limitKey() ratelimit.Key {
	return ratelimit.Key{Target: t.Name, Incarnation: t.Incarnation}
}

// applyRateLimits takes over the limits that this host knows of if any has changed, or a cold target is warm.
func (h *Home) applyRateLimits(now time.Duration) {
	version := h.config.RateLimits.Version()
	if version == h.limitsVersion && now < h.nextWarm {
		return
	}
	h.limitsVersion, h.anyLimited, h.nextWarm = version, false, math.MaxInt64
	for _, t := range h.targets {
		perSecond, coldLimit := h.config.RateLimits.PerSecond(t.limitKey()), h.applyWarmUp(now, t)
		if !t.limiter.limited() {
			t.limiter.credit, t.limiter.updatedAt, t.limiter.usedAt = 0, now, now
		}
		t.limiter.named, t.limiter.cold = !math.IsInf(perSecond, 1), t.cold()
		t.limiter.perSecond = min(perSecond, coldLimit)
		h.anyLimited = h.anyLimited || t.limiter.limited()
	}
}

// mayRunOn reports whether the rate limit of a target allows a run now.
func (h *Home) mayRunOn(now time.Duration, t *targetState) bool {
	return !h.anyLimited || t.limiter.allows(now, h.limitShare, h.config.Random.Float64)
}

// limitWait returns the expected time until the rate limits of targets allow a request to be placed.
func (h *Home) limitWait(now time.Duration) time.Duration {
	if !h.anyLimited {
		return 0
	}
	var least time.Duration = math.MaxInt64
	for _, t := range h.targets {
		if !t.available(now) {
			continue
		}
		if h.mayRunOn(now, t) {
			return 0
		}
		least = min(least, t.limiter.wait(h.limitShare))
	}
	return least
}

// limitCheckFactor returns a factor that makes a target more attractive which has got no request for long because of its
// rate limit.
func (t *targetState) limitCheckFactor(now time.Duration) float64 {
	if t.limiter.limited() && now-t.limiter.usedAt >= limitCheckInterval {
		return limitCheckFactor
	}
	return 1
}

// lateReason returns why a request cannot meet its deadline.
func (h *Home) lateReason(now time.Duration) Reason {
	if h.allCold(now) {
		return ReasonTargetsCold
	}
	if h.limitWait(now) > 0 {
		return ReasonRateLimited
	}
	return ReasonDeadlineCannotBeMet
}

// limitedTargets returns the names of the targets that name a rate limit or are cold.
func (h *Home) limitedTargets() []string {
	var names []string
	if h.anyLimited {
		for _, t := range h.targets {
			if t.limiter.limited() {
				names = append(names, t.Name)
			}
		}
	}
	return names
}

// capacity returns the number of requests with the given service time that a target can run concurrently without exceeding
// its slots or its rate limit.
func (h *Home) capacity(t *targetState, serviceTime time.Duration) float64 {
	if !t.limiter.limited() {
		return float64(t.Slots)
	}
	return min(float64(t.Slots), t.limiter.rate(h.limitShare)*h.averagePace*serviceTime.Seconds())
}

// availableCapacity returns the capacity of all available targets.
func (h *Home) availableCapacity(now, serviceTime time.Duration) float64 {
	if !h.anyLimited {
		return float64(h.availableSlots(now))
	}
	sum := 0.0
	for _, t := range h.targets {
		if t.available(now) {
			sum += h.capacity(t, serviceTime)
		}
	}
	return sum
}
