package claim

import "time"

// Outcome is what is known about whether a request ran.
type Outcome string

// The outcomes.
const (
	// NotRun guarantees that no backend server has run the request.
	NotRun Outcome = "NotRun"
	// Ran means that a backend server ran the request.
	Ran Outcome = "Ran"
	// Unknown means that the request may have run.
	Unknown Outcome = "Unknown"
)

// Reason says why a keyed request, that is, one with an Idempotency-Key, is refused.
type Reason string

// The reasons. Their values are part of the protocol with callers.
const (
	// ReasonGrantExpired means that the grant's window (Config.GrantWindow) has passed, and the request did not run in it.
	ReasonGrantExpired Reason = "GrantExpired"
	// ReasonGrantNotIssued means that the grant has an issue time in the future.
	ReasonGrantNotIssued Reason = "GrantNotIssued"
	// ReasonOtherIncarnation means that another host, or an earlier start of this one, issued the grant.
	ReasonOtherIncarnation Reason = "GrantOfAnotherIncarnation"
	// ReasonTableFull means that the table has reached its maximum number of keys.
	ReasonTableFull Reason = "TableFull"
	// ReasonHostLeaving means that the host that issued the grant is stopping or has stopped, and never ran the request.
	ReasonHostLeaving Reason = "HostIsLeaving"
	// ReasonKeyReused means that the key was used before for a request with a different fingerprint.
	ReasonKeyReused Reason = "KeyUsedForAnotherRequest"
	// ReasonResponseLost means that an earlier run ended without a complete response, or that its host stopped during it.
	ReasonResponseLost Reason = "AnswerWasLost"
	// ReasonResponseTooLarge means that the response of an earlier run was too large to be stored.
	ReasonResponseTooLarge Reason = "AnswerTooLargeToKeep"
	// ReasonKeyTooOld means that the key is so old that the record of its run may have been dropped.
	ReasonKeyTooOld Reason = "KeyTooOld"
	// ReasonKeyRefused means that an earlier request with the key was refused without running.
	ReasonKeyRefused Reason = "KeyWasRefused"
)

// HeaderField is one header field of a response.
type HeaderField struct {
	Name  string
	Value string
}

// Response is a complete response of a backend server.
type Response struct {
	Status int
	Header []HeaderField
	Body   []byte
}

// size returns the approximate memory in bytes that the response occupies.
func (r Response) size() int {
	n := len(r.Body) + 64
	for _, f := range r.Header {
		n += len(f.Name) + len(f.Value)
	}
	return n
}

// Decision says what to do with a request that has an Idempotency-Key: Run, Join, StoredResponse or Refusal.
type Decision interface{ decision() }

// Run means that the caller of Begin must send the request to a backend server once, and then call Finish.
type Run struct{}

// Join means that the request is in flight; call Begin again when Done is closed.
type Join struct{ Done <-chan struct{} }

// StoredResponse holds the response of the earlier run, which answers this request too.
type StoredResponse struct{ Response Response }

// Refusal means that the request must not run now; Outcome says what is known about an earlier run.
type Refusal struct {
	Outcome    Outcome
	Reason     Reason
	RetryAfter time.Duration
}

func (Run) decision()            {}
func (Join) decision()           {}
func (StoredResponse) decision() {}
func (Refusal) decision()        {}

// RunEnd is how a run ended: Completed, NotSent or ResponseLost.
type RunEnd interface{ runEnd() }

// Completed means that the complete response was received; Store is false if it is too large to be stored.
type Completed struct {
	Response Response
	Store    bool
}

// NotSent means that no byte of the request reached a backend server, or that the backend server refused it with one of
// the rule's NotRunStatuses, that is, statuses with which it says that it has not run a request.
type NotSent struct{}

// ResponseLost means that the request was sent, but the response was not received completely.
type ResponseLost struct{}

func (Completed) runEnd()    {}
func (NotSent) runEnd()      {}
func (ResponseLost) runEnd() {}
