package steering

import (
	"io"
	"net/http"
	"time"

	"briarcroft/internal/claim"
	"briarcroft/internal/note"
)

// Header fields that briarcroft reads and writes.
const (
	HeaderOutcome   = "Briarcroft-Outcome"
	HeaderReason    = "Briarcroft-Reason"
	HeaderDeadline  = "Briarcroft-Deadline-Milliseconds"
	HeaderAllowance = "Briarcroft-Retry-Allowance"
	HeaderRetry     = "Briarcroft-Retry"
	HeaderDomain    = "Briarcroft-Domain"
	HeaderTarget    = "Briarcroft-Target"
	HeaderLoad      = "Load-In-Flight"
	HeaderDraining  = "Load-Draining"
	// RetryDone is the value of HeaderRetry that ends the retries of all layers above.
	RetryDone = "Done"
)

// Request is one request on its way to a target.
type Request struct {
	Method string
	Host   string
	URI    string
	Header http.Header
	// Body is the whole body, or nil when Stream holds it.
	Body []byte
	// Stream is a body that can be sent once only; Length is its size or -1.
	Stream io.Reader
	Length int64
	Rule   note.Rule
	// Idempotent requests may be handed over again.
	Idempotent bool
	// Fingerprint is zero when the body was not read.
	Fingerprint uint64
	Domain      string
	Deadline    time.Time
	// Allowance is how many more tries this request and all that it causes may make.
	Allowance int
	// Detached requests go on after their caller went away, to keep their answer for a resend.
	Detached bool
}

// replayable reports whether the request can be handed over again.
func (r *Request) replayable() bool { return r.Stream == nil }

// Result is how a request ended: *Answer or *Refusal.
type Result interface{ result() }

// Answer is a backend server's answer; Body must be closed.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the body's size, or -1 when it is not known.
	Length int64
	// Whole is set when the body has been read and checked already; Text then holds it beside Body.
	Whole  bool
	Text   []byte
	Target string
	// Outcome is set when the answer is the backend's refusal.
	Outcome claim.Outcome
}

// Refusal is an answer of the entry host itself.
type Refusal struct {
	Status     int
	Outcome    claim.Outcome
	Reason     string
	RetryAfter time.Duration
	// RetryDone is set when no layer above should try again.
	RetryDone bool
}

func (*Answer) result()  {}
func (*Refusal) result() {}
