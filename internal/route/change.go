package route

import (
	"time"
)

// Cause says why a target's state changed.
type Cause string

// The causes of a change of state.
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

// StateChange is one change of a target's state, with the evidence for it.
type StateChange struct {
	Target string
	From   State
	To     State
	Cause  Cause
	// Failures is the number of failures in a row; Latency and Usual compare the target with its service.
	Failures    int
	Latency     time.Duration
	MeanLatency time.Duration
}

// Outcome is how a request on a target ended, as far as the target's health goes.
type Outcome int

// The outcomes of a request.
const (
	// Succeeded means that an answer came, whatever it said.
	Succeeded Outcome = iota
	// Failed means a broken or silent connection, or a server error.
	Failed
	// Refused means that the target said it did not run the request.
	Refused
	// Abandoned means that this host or the caller gave up; it says nothing of the target but its age.
	Abandoned
)

// LoadReport is a target's own word on its load; it may be stale or wrong.
type LoadReport struct {
	InFlight int
	Draining bool
	// Age is how old the report was when it arrived.
	Age time.Duration
}
