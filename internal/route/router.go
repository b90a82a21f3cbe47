// Package route picks the target for each request of a service. A target is one backend server of the service. The
// package tracks the latency, load and health of the targets, ejects those that fail or are slow, and ramps new ones
// up. It does no input or output and reads no clock: callers pass the time as a duration on a monotonic clock.
package route

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Index identifies a target of a Router. It is valid until the next call of SetTargets or Tick, which may remove
// targets.
type Index int

// NoTarget is the Index that stands for no target.
const NoTarget Index = -1

// Config configures a Router.
type Config struct {
	// Random breaks ties between targets.
	Random *rand.Rand
	// Overcommit is the number of requests beyond its slots that a target may hold. If it is negative, the number is
	// computed from the target's round-trip time.
	Overcommit int
}

// Router holds the state of one service's targets as one entry host sees them. It is not safe for concurrent use.
type Router struct {
	config  Config
	targets []*target
	byName  map[string]Index
	// meanLatency is the service's moving mean latency in seconds, with outliers clipped; 0 means none was measured.
	meanLatency float64
	changes     []StateChange
}

// New returns a Router without targets.
func New(c Config) *Router {
	return &Router{config: c, byName: map[string]Index{}}
}

// Lookup returns the index of the target of that name, or NoTarget.
func (r *Router) Lookup(name string) Index {
	if i, found := r.byName[name]; found {
		return i
	}
	return NoTarget
}

// Name returns the name of a target.
func (r *Router) Name(i Index) string { return r.targets[i].spec.Name }

// Size returns the number of targets in any state.
func (r *Router) Size() int { return len(r.targets) }

// MeanLatency returns the service's moving mean latency, with outliers clipped, or 0 if none was measured.
func (r *Router) MeanLatency() time.Duration { return seconds(r.meanLatency) }

// ExpectedLatency returns the latency to expect of a target now.
func (r *Router) ExpectedLatency(now time.Duration, i Index) time.Duration {
	return seconds(r.targets[i].estimateLatency(now, r.meanLatency))
}

// InFlight returns the number of this host's requests in flight on a target.
func (r *Router) InFlight(i Index) int { return len(r.targets[i].starts) }

// Capacity returns how many requests all eligible targets together may hold, at least 1.
func (r *Router) Capacity(now time.Duration) int {
	sum := 0
	for _, t := range r.targets {
		sum += t.inFlightLimit(now, r.meanLatency, r.config.Overcommit)
	}
	return max(1, sum)
}

// Start records that a request is sent to a target.
func (r *Router) Start(now time.Duration, i Index) {
	t := r.targets[i]
	t.starts = append(t.starts, now)
}

// Finish records the end of a request that started at the given time.
// Elapsed is the time to the response; it may be less than the time since the start if the caller read the body slowly.
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

// recordLatency adds the latency of a successful request to the target's and the service's means.
func (r *Router) recordLatency(now time.Duration, t *target, latency float64) {
	t.recordLatency(now, latency)
	if r.meanLatency == 0 {
		r.meanLatency = latency
		return
	}
	r.meanLatency += (min(latency, outlierClipRatio*r.meanLatency) - r.meanLatency) * meanLatencyGain
}

// ApplyReport applies a target's load report and reports whether it was accepted. A report that the target is draining
// is always accepted. A load less than 5 ms old that is at least two requests below what this host alone has in flight
// is contradictory: load reports of the target are then ignored for reportDistrustTime.
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

// SetPeerInFlight sets the number of requests that all other entry hosts have in flight on a target.
func (r *Router) SetPeerInFlight(now time.Duration, i Index, inFlight int) {
	t := r.targets[i]
	t.peerInFlight, t.peerInFlightAt = float64(inFlight), now
}

// SetRoundTrip sets the network's share of the latency of a target's requests.
func (r *Router) SetRoundTrip(i Index, roundTrip time.Duration) {
	r.targets[i].spec.RoundTrip = roundTrip
}

// Eligible appends the names of the targets that may get new requests to names.
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

// LastObserved returns when a target's latency was last measured or the target last probed, whichever is later.
func (r *Router) LastObserved(i Index) time.Duration {
	t := r.targets[i]
	return max(t.latencyAt, t.probedAt)
}

// MarkProbed records that a target is being probed.
func (r *Router) MarkProbed(now time.Duration, i Index) { r.targets[i].probedAt = now }

// Busy reports whether any request is in flight.
func (r *Router) Busy() bool {
	return slices.ContainsFunc(r.targets, func(t *target) bool { return len(t.starts) > 0 })
}
