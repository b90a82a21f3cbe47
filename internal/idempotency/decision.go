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
	ReasonGrantExpired     Reason = "GrantExpired"
	ReasonGrantNotIssued   Reason = "GrantNotIssued"
	ReasonOtherIncarnation Reason = "GrantOfAnotherIncarnation"
	ReasonTableFull        Reason = "TableFull"
	ReasonHostLeaving      Reason = "HostIsLeaving"
	ReasonKeyReused        Reason = "KeyUsedForAnotherRequest"
	ReasonResponseLost     Reason = "AnswerWasLost"
	ReasonResponseTooLarge Reason = "AnswerTooLargeToKeep"
	ReasonKeyTooOld        Reason = "KeyTooOld"
	ReasonKeyRefused       Reason = "KeyWasRefused"
)

// HeaderField is one header field of an answer.
type HeaderField struct {
	Name  string
	Value string
}

// Response is a whole answer of a backend server.
type Response struct {
	Status int
	Header []HeaderField
	Body   []byte
}

func (a Response) size() int {
	n := len(a.Body) + 64
	for _, f := range a.Header {
		n += len(f.Name) + len(f.Value)
	}
	return n
}

// Decision says what to do with a keyed request: Run, Join, Kept or Refusal.
type Decision interface{ decision() }

// Run means that the caller of Begin must hand the request to a backend server once, and call Finish.
type Run struct{}

// Join means that the request is in flight; ask again when Done is closed.
type Join struct{ Done <-chan struct{} }

// StoredResponse holds the answer of the earlier run.
type StoredResponse struct{ Response Response }

// Refusal means that the request does not run now; Outcome says what is known of an earlier run.
type Refusal struct {
	Outcome    Outcome
	Reason     Reason
	RetryAfter time.Duration
}

func (Run) decision()            {}
func (Join) decision()           {}
func (StoredResponse) decision() {}
func (Refusal) decision()        {}

// RunEnd is how a run ended: Answered, NeverHanded or Lost.
type RunEnd interface{ runEnd() }

// Completed means that the whole answer came; Keep is false when it was too large to hold.
type Completed struct {
	Response Response
	Store    bool
}

// NotSent means that no byte reached a backend server, or that it refused under the rule.
type NotSent struct{}

// ResponseLost means that the request was handed over and its answer did not come whole.
type ResponseLost struct{}

func (Completed) runEnd()    {}
func (NotSent) runEnd()      {}
func (ResponseLost) runEnd() {}
