package entry

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"briarcroft/internal/claim"
	"briarcroft/internal/page"
	"briarcroft/internal/ring"
	"briarcroft/internal/steering"
)

// writeResult sends a result to the caller. If a response breaks off before its end, it aborts the caller's connection,
// so that the caller does not take a truncated response for a complete one.
func (f *frontend) writeResult(w http.ResponseWriter, result steering.Result) {
	switch result := result.(type) {
	case *steering.Refusal:
		f.writeRefusal(w, result)
	case *steering.Response:
		f.writeResponse(w, result)
	}
}

func (f *frontend) writeResponse(w http.ResponseWriter, a *steering.Response) {
	defer a.Body.Close()
	removeHopByHopHeaders(a.Header)
	for name, values := range a.Header {
		if name != "Content-Length" {
			w.Header()[name] = values
		}
	}
	w.Header().Set(steering.HeaderTarget, a.Target)
	if a.Outcome != "" {
		w.Header().Set(steering.HeaderOutcome, string(a.Outcome))
	}
	if a.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	w.WriteHeader(a.Status)
	if a.Buffered {
		// An error means that the caller has disconnected.
		_, _ = w.Write(a.Content)
		return
	}
	if err := copyBody(w, a.Body, a.Length < 0); err != nil {
		f.host.stats.truncated.Add(1)
		panic(http.ErrAbortHandler)
	}
}

// copyBuffers is a pool of the buffers that copyBody uses.
var copyBuffers = ring.NewBufferPool(copyBufferBytes)

// copyBody copies a response body to the caller, reading only as fast as the caller takes it. Each write has the deadline
// stallTimeout, so that a caller that stops reading does not tie up the connection to the target.
func copyBody(w http.ResponseWriter, body io.Reader, flush bool) error {
	control := http.NewResponseController(w)
	pooled := copyBuffers.Get()
	defer copyBuffers.Put(pooled)
	buffer := *pooled
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			// The error is ignored: a writer without support for deadlines keeps the response in memory and never blocks.
			_ = control.SetWriteDeadline(time.Now().Add(stallTimeout))
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return writeErr
			}
			if flush {
				_ = control.Flush()
			}
		}
		if err == io.EOF {
			_ = control.SetWriteDeadline(time.Time{})
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// writeRefusal counts a refusal and sends it to the caller.
func (f *frontend) writeRefusal(w http.ResponseWriter, r *steering.Refusal) {
	f.host.stats.refused.Add(1)
	writeRefusal(w, r)
}

// writeRefusal writes a refusal as a JSON response with its outcome, reason and retry delay in the header.
func writeRefusal(w http.ResponseWriter, r *steering.Refusal) {
	w.Header().Set(steering.HeaderOutcome, string(r.Outcome))
	if r.Reason != "" && w.Header().Get(steering.HeaderReason) == "" {
		w.Header().Set(steering.HeaderReason, r.Reason)
	}
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(int64((r.RetryAfter+time.Second-1)/time.Second), 10))
	}
	if r.RetryDone {
		w.Header().Set(steering.HeaderRetry, steering.RetryDone)
	}
	page.WriteJSON(w, r.Status, struct {
		Outcome           claim.Outcome
		Reason            string
		RetryAfterSeconds float64
	}{r.Outcome, r.Reason, r.RetryAfter.Seconds()})
}
