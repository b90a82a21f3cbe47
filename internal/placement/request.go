// Package placement decides for one service which target runs which request, which requests wait and which are refused.
// One entry host, the service's home, decides for all hosts. The package knows no sockets and no wall clock:
// callers pass the time in, and verdicts come back through a function of the caller's.
package placement

import (
	"slices"
	"time"
)

// RequestID names a request among all that a home knows.
type RequestID struct {
	// Stream numbers the conversation with the host that asked.
	Stream uint64
	// Number is the host's own number for the request.
	Number uint64
}

// Request asks for a place. Times are on the home's clock.
type Request struct {
	ID RequestID
	// Class names requests that take about the same work.
	Class    string
	Priority int
	// Goal is when an answer stops being worth most; Deadline is when it is worth nothing.
	Goal     time.Duration
	Deadline time.Duration
	// Repeatable is set for requests that may run more than once.
	Repeatable bool
	// Tried names the targets that the request was sent to already.
	Tried []string
	// Fingerprint is the same for requests with the same caller, path and body.
	Fingerprint uint64
	// Domain is the failure domain of the host that will send the request.
	Domain string

	runs        []*run
	submittedAt time.Duration
	hedged      bool
	queued      bool
}

// Verdict is what the home decided: Placed, Queued, Refused or Hedge.
type Verdict interface{ verdict() }

// Placed binds the request to a target.
type Placed struct {
	Target  string
	Address string
	// Expected is how long the run should take, and KnowledgeAge how old the target's last word on its pace is.
	Expected     time.Duration
	KnowledgeAge time.Duration
}

// Queued means that the request waits for a place.
type Queued struct{}

// Refused means that the request gets no place; RetryAfter is when there should be room again.
type Refused struct {
	Reason     Reason
	RetryAfter time.Duration
	// Waiting and Slots are how many requests waited and how many slots there were, and Expected what a run should take.
	Waiting  int
	Slots    int
	Expected time.Duration
}

// Hedge asks for a second run beside the first, which is late.
type Hedge Placed

func (Placed) verdict()  {}
func (Queued) verdict()  {}
func (Refused) verdict() {}
func (Hedge) verdict()   {}

// Reason says why a request was refused.
type Reason string

// The reasons of a refusal.
const (
	ReasonNoTargets           Reason = "NoTargets"
	ReasonDeadlineCannotBeMet Reason = "DeadlineCannotBeMet"
	ReasonRetryBudgetSpent    Reason = "RetryBudgetSpent"
	ReasonQuarantined         Reason = "Quarantined"
)

// Outcome is how a run on a target ended.
type Outcome int

// The outcomes of a run.
const (
	// OutcomeAnswered means that a whole answer came.
	OutcomeAnswered Outcome = iota
	// OutcomeFailed means that the target answered with a failure of its own.
	OutcomeFailed
	// OutcomeNotRun means that the target said it did not run the request.
	OutcomeNotRun
	// OutcomeUnreachable means that no byte of the request reached the target.
	OutcomeUnreachable
	// OutcomeConnectionBroke means that the connection ended, or nothing usable came, after the request was sent.
	OutcomeConnectionBroke
	// OutcomeTimedOut means that no answer came in time.
	OutcomeTimedOut
	// OutcomeCanceled means that the host ended the run; it says nothing of the target.
	OutcomeCanceled
	// OutcomeOtherServer means that another server has the target's address.
	OutcomeOtherServer
)

// LoadReport is what a target says of itself.
type LoadReport struct {
	Running int
	Waiting int
	Slots   int
	// Pace is how long work takes there now, relative to the usual; zero means that it does not say.
	Pace float64
}

// run is one run on a target.
type run struct {
	request   *Request
	target    *targetState
	startedAt time.Duration
	// expected is the time that the run was expected to take.
	expected time.Duration
	// slowdown is the factor over the class's base time that was expected.
	slowdown float64
	// nearlyFull is set when the run took one of the target's last slots.
	nearlyFull bool
}

func (r *Request) removeRun(h *run) {
	r.runs = slices.DeleteFunc(r.runs, func(other *run) bool { return other == h })
}
