package route

import (
	"time"
)

// Cause says why a target's state changed.
type Cause string

// Causes of state changes.
const (
	CauseAdded            Cause = "AddedByNote"
	CauseWithdrawn        Cause = "WithdrawnByNote"
	CauseFailures         Cause = "FailuresInARow"
	CauseStraggler        Cause = "Straggler"
	CauseHostListLeaving  Cause = "HostListLeaving"
	CauseReportedDraining Cause = "ReportedDraining"
	CauseRefusedAndClosed Cause = "RefusedAndClosed"
	CauseEjectionEnded    Cause = "EjectionEnded"
	CauseRampEnded        Cause = "RampEnded"
	CauseHostListLive     Cause = "HostListLive"
)

// StateChange is a change of a target's state, with the evidence for it.
type StateChange struct {
	Target string
	From   State
	To     State
	Cause  Cause
	// Failures is the target's number of consecutive failures. Latency is the target's mean latency and MeanLatency that
	// of the whole service.
	Failures    int
	Latency     time.Duration
	MeanLatency time.Duration
}

// Outcome is how a request on a target ended, as far as it matters for the target's health.
type Outcome int

// Outcomes of requests.
const (
	// Succeeded means that a complete response arrived. Its status may report an error of the application.
	Succeeded Outcome = iota
	// Failed means that the connection could not be opened, broke or timed out, or that the target responded that it was
	// unavailable.
	Failed
	// Refused means that the target responded that it did not run the request, or that the request was not sent because
	// all connections to the target were in use.
	Refused
	// Abandoned means that this host or the caller canceled the request, or that its failure does not count against the
	// target. It is no evidence of the target's health, but its age counts as a latency if it is above the expected one.
	Abandoned
)

// LoadReport is the load that a target reports about itself. It may be stale or wrong.
type LoadReport struct {
	InFlight int
	Draining bool
	// Age is the age of the report when it was received.
	Age time.Duration
}
