// Package placement implements the load-balancing decisions for one service: which target (backend server) runs which
// request, which requests are queued, hedged or refused, and when targets are probed and ejected.
//
// The decisions for a service are made in one place for the requests of all entry hosts, which are the hosts that
// callers connect to. This place, the home of the service, is one of the entry hosts. A request has a latency goal,
// after which its response is worth less, and a deadline, after which it is worth nothing. Each attempt of a request on
// a target is a run and occupies one of the target's slots. Targets report their load and their pace, that is, how long
// requests take there at present relative to normal: a pace of 2 is twice as slow.
//
// The package does no I/O and reads no clock. Callers pass the time as a monotonic offset, and receive decisions, called
// verdicts, through a callback.
package placement

import (
	"slices"
	"time"

	"briarcroft/internal/quota"
)

// RequestID identifies a request at its home.
type RequestID struct {
	// Stream is the number of the placement stream from the host that submitted the request.
	Stream uint64
	// Number is the number that this host has given the request.
	Number uint64
}

// Request is a request to be placed on a target. Times are on the home's clock.
type Request struct {
	ID RequestID
	// Class names a group of requests with a similar service time.
	Class string
	// Account is the client account that sent the request; it is empty without accounts.
	Account string
	// AccountPriority and then Priority order the queue: lower numbers are placed first.
	AccountPriority int
	Priority        int
	// Age is how long before its submission the caller first sent the request; 0 means that it is new or not known.
	Age time.Duration
	// Goal is the time after which a response is worth less; Deadline is the time after which it is worth nothing.
	Goal     time.Duration
	Deadline time.Duration
	// Repeatable is set if the request may run more than once, so that it may be hedged.
	Repeatable bool
	// Tried lists the names of the targets that the request has been sent to. It is empty for the first attempt.
	Tried []string
	// Fingerprint is a hash of the caller, path and body, by which a request that crashes targets is recognized when it is
	// sent again; 0 means that there is none.
	Fingerprint uint64
	// SharedFingerprints are hashes of what the request shares with others, from few others to many: see
	// quarantine.List.RecordBreak.
	SharedFingerprints []uint64
	// Domain is the failure domain of the host that will send the request.
	Domain string
	// Probes is the number of health probes that the home may send in exchange for the request; see ProbeAllowance.
	Probes int

	runs        []*run
	submittedAt time.Duration
	hedged      bool
	queued      bool
	// promised is set by admission: the request's turn is expected while it can meet its goal. It is used only with AgeOrder.
	promised bool
	// accepted is set if the request was late or without a promise when it was submitted, and has been queued because there will be
	// room.
	accepted bool
	// answered is set once a run has been answered.
	answered bool
	// allowance is the request's part of its account's allowance. fairStart and fairRank order it among the requests of other
	// accounts; see fairOrder.
	allowance tokenState
	fairStart float64
	fairRank  int
	// mayCross is set if the plan of flows sends the request to another failure domain, and awaitsDomain while the request is
	// queued for a slot in its own. Both are set only with Config.DomainPlan.
	mayCross, awaitsDomain bool
}

// Verdict is a decision of the home about a request: Placed, Queued, Refused or Hedge.
type Verdict interface{ verdict() }

// Placed assigns the request to a target, where it occupies a slot from now on.
type Placed struct {
	Target  string
	Address string
	// Expected is the expected duration of the run, and KnowledgeAge the age of the target's last reported pace.
	Expected     time.Duration
	KnowledgeAge time.Duration
}

// Queued means that the request waits in the queue. Placed or Refused follows, unless the request is canceled or its
// placement stream ends.
type Queued struct{}

// Refused means that the request is not placed. RetryAfter is the delay after which the caller should retry.
type Refused struct {
	Reason     Reason
	RetryAfter time.Duration
	// Waiting is the number of queued requests and Slots the number of slots of available targets at the time of the
	// decision. Expected is the service time of the request.
	Waiting  int
	Slots    int
	Expected time.Duration
	// Turn is the expected time until the request's turn, an hour if none is expected while the load lasts, and Free the number of
	// free slots, which may be kept for work in time. Both are 0 without Config.AgeOrder.
	Turn time.Duration
	Free int
}

// Hedge asks for a second run on another target, because the first one takes longer than expected.
type Hedge Placed

func (Placed) verdict()  {}
func (Queued) verdict()  {}
func (Refused) verdict() {}
func (Hedge) verdict()   {}

// Reason is the reason why a request was refused.
type Reason string

// Reasons for refusals.
const (
	ReasonNoTargets           Reason = "NoTargets"
	ReasonDeadlineCannotBeMet Reason = "DeadlineCannotBeMet"
	// ReasonRateLimited means that the rate limits that all targets name leave no room before the deadline.
	ReasonRateLimited      Reason = "RateLimited"
	ReasonRetryBudgetSpent Reason = "RetryBudgetSpent"
	ReasonQuarantined      Reason = "Quarantined"
	// ReasonTargetsPausing means that no target is available, and that some will be when the time has passed for which they
	// want no requests.
	ReasonTargetsPausing Reason = "TargetsPausing"
	// ReasonAllowanceSpent means that the account has no room in its allowance now.
	ReasonAllowanceSpent Reason = "AllowanceSpent"
	// ReasonTargetsCold means that all available targets are cold and have no room for the request now.
	ReasonTargetsCold Reason = "TargetsCold"
	// ReasonTargetsEvacuated means that the failure domains of all targets that accept requests are evacuated.
	ReasonTargetsEvacuated Reason = "TargetsEvacuated"
)

// Outcome is the way in which a run on a target ended.
type Outcome int

// Outcomes of a run. The values are sent between hosts.
const (
	// OutcomeAnswered means that a complete response was received.
	OutcomeAnswered Outcome = iota
	// OutcomeFailed means that the target responded with a server error.
	OutcomeFailed
	// OutcomeNotRun means that the request certainly did not run: the target responded so, or the host did not send it
	// because its connection pool was exhausted or the request was canceled or timed out first.
	OutcomeNotRun
	// OutcomeUnreachable means that the target could not be reached, and no byte of the request was sent to it.
	OutcomeUnreachable
	// OutcomeConnectionBroke means that, after the request was sent, the connection broke or an invalid response came.
	OutcomeConnectionBroke
	// OutcomeTimedOut means that no response came in time.
	OutcomeTimedOut
	// OutcomeCanceled means that the host canceled the run. It does not count as a failure of the target.
	OutcomeCanceled
	// OutcomeOtherServer means that another server responded at the target's address.
	OutcomeOtherServer
	// OutcomeBlocked means that the host did not send the request because it knows that the target is evacuated. Homes of the
	// last release free the slot and record nothing.
	OutcomeBlocked
)

// LoadReport is the load that a target reports in the headers of a response to a request or a probe.
type LoadReport struct {
	// Running and Waiting are the numbers of requests that the target runs and queues. Slots is the number that it can
	// run concurrently; zero means that it does not report it.
	Running int
	Waiting int
	Slots   int
	// Pace is the time that requests take there at present relative to normal, for example 2 if the target is twice as
	// slow. Zero means that the target does not report it.
	Pace float64
}

// run is one attempt of a request on a target.
type run struct {
	request   *Request
	target    *targetState
	startedAt time.Duration
	// fingerprints are those of the request when the run started, its own first.
	fingerprints []uint64
	// expected is the expected duration at the start.
	expected time.Duration
	// slowdown is the expected duration relative to the service time of the request's class.
	slowdown float64
	// nearlyFull is set if the run took one of the target's last slots.
	nearlyFull bool
	// token is that of the account's allowance with which the run was placed.
	token quota.Token
	// late is set if the request was late at the start.
	late bool
	// unreported is the part of slowdown that the target's load reports did not show.
	unreported float64
	// second is set if the run is a second one under a limit that operators have set, and longest is the time from its start to the
	// deadline. refusals holds the reasons for which a second run was refused, one bit each.
	second   bool
	longest  time.Duration
	refusals uint16
}

// goalLength returns the time from the caller's first attempt to the goal.
func (r *Request) goalLength() time.Duration { return r.Goal - r.submittedAt + r.Age }

// fingerprints returns the request's own fingerprint and the shared ones.
func (r *Request) fingerprints() []uint64 {
	return append([]uint64{r.Fingerprint}, r.SharedFingerprints...)
}

func (r *Request) removeRun(ended *run) {
	r.runs = slices.DeleteFunc(r.runs, func(other *run) bool { return other == ended })
}
