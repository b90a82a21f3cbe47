// Package route decides which target runs a request. It knows no sockets and no wall clock: callers pass the time in.
package route

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Index names a target of a Router until its targets are next set.
type Index int

// NoTarget is the Index of no target.
const NoTarget Index = -1

// Config sets up a Router.
type Config struct {
	Random *rand.Rand
	// Overcommit is the number of requests beyond its slots that a target may hold; negative means by round trip.
	Overcommit int
}

// Router holds one entry host's knowledge of one service's targets. It is not safe for concurrent use.
type Router struct {
	config  Config
	targets []*target
	byName  map[string]Index
	// meanLatency is the service's moving mean latency in seconds, with outliers clipped.
	meanLatency float64
	changes     []StateChange
}

// New returns a Router without targets.
func New(c Config) *Router {
	return &Router{config: c, byName: map[string]Index{}}
}

// Lookup returns the index of a target by name, or None.
func (r *Router) Lookup(name string) Index {
	if i, known := r.byName[name]; known {
		return i
	}
	return NoTarget
}

// Name returns the name of a target.
func (r *Router) Name(i Index) string { return r.targets[i].spec.Name }

// Size returns the number of targets known, whatever their state.
func (r *Router) Size() int { return len(r.targets) }

// MeanLatency returns the service's usual latency.
func (r *Router) MeanLatency() time.Duration { return seconds(r.meanLatency) }

// ExpectedLatency returns the latency to expect of a target now.
func (r *Router) ExpectedLatency(now time.Duration, i Index) time.Duration {
	return seconds(r.targets[i].estimateLatency(now, r.meanLatency))
}

// InFlight returns the number of own requests on a target.
func (r *Router) InFlight(i Index) int { return len(r.targets[i].starts) }

// Capacity returns how many requests all eligible targets may hold, at least 1.
func (r *Router) Capacity(now time.Duration) int {
	sum := 0
	for _, t := range r.targets {
		sum += t.inFlightLimit(now, r.meanLatency, r.config.Overcommit)
	}
	return max(1, sum)
}

// Start notes that a request was handed to a target.
func (r *Router) Start(now time.Duration, i Index) {
	t := r.targets[i]
	t.starts = append(t.starts, now)
}

// Finish notes the end of a request that started at the given time.
// Took is the time to the answer; it may be less than the time since the start when the caller read slowly.
func (r *Router) Finish(now time.Duration, i Index, start, elapsed time.Duration, outcome Outcome) {
	t := r.targets[i]
	t.removeStart(start)
	t.lastFinishAt = now
	latency := elapsed.Seconds()
	switch outcome {
	case Succeeded:
		t.consecutiveFailures = 0
		r.recordLatency(now, t, latency)
	case Failed:
		t.consecutiveFailures++
		if t.consecutiveFailures >= failuresToEject {
			r.eject(now, t, CauseFailures)
		}
	case Abandoned:
		if latency > t.estimateLatency(now, r.meanLatency) {
			t.recordLatency(now, latency)
		}
	case Refused:
	}
}

// recordLatency takes the latency of a success into the target's and the service's means.
func (r *Router) recordLatency(now time.Duration, t *target, latency float64) {
	t.recordLatency(now, latency)
	if r.meanLatency == 0 {
		r.meanLatency = latency
		return
	}
	r.meanLatency += (min(latency, outlierClipRatio*r.meanLatency) - r.meanLatency) * meanLatencyGain
}

// ApplyReport takes in a target's own word and reports whether it was believed.
func (r *Router) ApplyReport(now time.Duration, i Index, report LoadReport) bool {
	t := r.targets[i]
	if report.Draining {
		r.Drain(now, i, CauseReportedDraining)
		return true
	}
	inFlight := len(t.starts)
	if report.Age < 5*time.Millisecond && report.InFlight+1 < inFlight {
		t.distrustReportsUntil = now + reportDistrustTime
	}
	if now < t.distrustReportsUntil {
		return false
	}
	t.reportedLoad = min(float64(max(0, report.InFlight-inFlight)), 2*float64(t.spec.Slots))
	t.reportedAt = now - report.Age
	return true
}

// SetPeerInFlight sets the sum of other entry hosts' requests in flight on a target.
func (r *Router) SetPeerInFlight(now time.Duration, i Index, inFlight int) {
	t := r.targets[i]
	t.peerInFlight, t.peerInFlightAt = float64(inFlight), now
}

// SetRoundTrip sets the network's share of a request's time on a target.
func (r *Router) SetRoundTrip(i Index, roundTrip time.Duration) {
	r.targets[i].spec.RoundTrip = roundTrip
}

// Eligible appends the names of the targets that may get new requests.
func (r *Router) Eligible(names []string) []string {
	for _, t := range r.targets {
		if t.state == Live || t.state == Ramping {
			names = append(names, t.spec.Name)
		}
	}
	return names
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// State returns the state of a target.
func (r *Router) State(i Index) State { return r.targets[i].state }

// LastObserved returns when something was last learned of a target, or asked.
func (r *Router) LastObserved(i Index) time.Duration {
	t := r.targets[i]
	return max(t.latencyAt, t.probedAt)
}

// MarkProbed notes that a target is being probed.
func (r *Router) MarkProbed(now time.Duration, i Index) { r.targets[i].probedAt = now }

// Busy reports whether any request is in flight.
func (r *Router) Busy() bool {
	return slices.ContainsFunc(r.targets, func(t *target) bool { return len(t.starts) > 0 })
}
