package idempotency

import "time"

// Outcome is what is known of a request's run.
type Outcome string

// The outcomes.
const (
	// NotRun is a promise: the request was not run anywhere.
	NotRun Outcome = "NotRun"
	// Ran means that a backend server ran the request.
	Ran Outcome = "Ran"
	// Unknown means that it may have run.
	Unknown Outcome = "Unknown"
)

// Reason says why a keyed request gets no run.
type Reason string

// The reasons.
const (
	ReasonGrantExpired Reason = "GrantExpired"
	ReasonGrantFuture  Reason = "GrantNotIssued"
	ReasonOtherHost    Reason = "GrantOfAnotherIncarnation"
	ReasonTableFull    Reason = "TableFull"
	ReasonSealed       Reason = "HostIsLeaving"
	ReasonDifferent    Reason = "KeyUsedForAnotherRequest"
	ReasonInterrupted  Reason = "AnswerWasLost"
	ReasonTooLarge     Reason = "AnswerTooLargeToKeep"
	ReasonForgotten    Reason = "KeyTooOld"
	ReasonRefused      Reason = "KeyWasRefused"
)

// Field is one header field of an answer.
type Field struct {
	Name  string
	Value string
}

// Answer is a whole answer of a backend server.
type Answer struct {
	Status int
	Fields []Field
	Body   []byte
}

func (a Answer) size() int {
	n := len(a.Body) + 64
	for _, f := range a.Fields {
		n += len(f.Name) + len(f.Value)
	}
	return n
}

// Verdict says what to do with a keyed request: Run, Join, Kept or Refusal.
type Verdict interface{ verdict() }

// Run means that the caller of Begin must hand the request to a backend server once, and call Finish.
type Run struct{}

// Join means that the request is in flight; ask again when Done is closed.
type Join struct{ Done <-chan struct{} }

// Kept holds the answer of the earlier run.
type Kept struct{ Answer Answer }

// Refusal means that the request does not run now; Outcome says what is known of an earlier run.
type Refusal struct {
	Outcome    Outcome
	Reason     Reason
	RetryAfter time.Duration
}

func (Run) verdict()     {}
func (Join) verdict()    {}
func (Kept) verdict()    {}
func (Refusal) verdict() {}

// End is how a run ended: Answered, NeverHanded or Lost.
type End interface{ end() }

// Answered means that the whole answer came; Keep is false when it was too large to hold.
type Answered struct {
	Answer Answer
	Keep   bool
}

// NeverHanded means that no byte reached a backend server, or that it refused under the rule.
type NeverHanded struct{}

// Lost means that the request was handed over and its answer did not come whole.
type Lost struct{}

func (Answered) end()    {}
func (NeverHanded) end() {}
func (Lost) end()        {}
