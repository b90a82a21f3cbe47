package steering

import (
	"io"
	"net/http"
	"time"

	"briarcroft/internal/claim"
	"briarcroft/internal/note"
)

// Names of the header fields that briarcroft reads and writes.
const (
	HeaderOutcome        = "Briarcroft-Outcome"
	HeaderReason         = "Briarcroft-Reason"
	HeaderDeadline       = "Briarcroft-Deadline-Milliseconds"
	HeaderRetryAllowance = "Briarcroft-Retry-Allowance"
	HeaderRetry          = "Briarcroft-Retry"
	HeaderDomain         = "Briarcroft-Domain"
	HeaderTarget         = "Briarcroft-Target"
	HeaderLoad           = "Load-In-Flight"
	HeaderDraining       = "Load-Draining"
	// RetryDone is the value of HeaderRetry in a response that tells the layers above, up to the caller, not to retry.
	RetryDone = "Done"
)

// Request is a request to run on a target.
type Request struct {
	Method string
	Host   string
	URI    string
	Header http.Header
	// Body is the complete body, or nil if the body is in Stream.
	Body []byte
	// Stream is a body that can be sent only once. Length is its size, or -1 if unknown.
	Stream io.Reader
	Length int64
	Rule   note.Rule
	// Idempotent requests may be sent again although an earlier attempt may have run.
	Idempotent bool
	// Fingerprint identifies the content of the request for the quarantine. It is 0 if the body was not read.
	Fingerprint uint64
	Domain      string
	// Arrived is when the host received the request, and Deadline when its caller stops waiting.
	Arrived, Deadline time.Time
	// RetryAllowance is how many further attempts this request and the requests it causes may make.
	RetryAllowance int
	// Detached requests continue after their caller has disconnected, so that the response can be stored for a resend.
	Detached bool
}

// replayable reports whether the body can be sent again.
func (r *Request) replayable() bool { return r.Stream == nil }

// Result is the result of a request: *Response or *Refusal.
type Result interface{ isResult() }

// Response is a target's response. Body must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the body's size, or -1 if unknown.
	Length int64
	// Buffered is set if the complete body has been read and its length checked; it is then also in Content.
	Buffered bool
	Content  []byte
	Target   string
	// Outcome is set if the response is the target's refusal to run the request.
	Outcome claim.Outcome
}

// Refusal is an error response of the entry host itself.
type Refusal struct {
	Status     int
	Outcome    claim.Outcome
	Reason     string
	RetryAfter time.Duration
	// RetryDone is set if no layer above should retry.
	RetryDone bool
}

func (*Response) isResult() {}
func (*Refusal) isResult()  {}
