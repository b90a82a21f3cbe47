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

// write sends a result to the caller; an answer that was cut breaks the caller's connection.
func (f *front) write(w http.ResponseWriter, result steering.Result) {
	switch result := result.(type) {
	case *steering.Refusal:
		f.refuse(w, result)
	case *steering.Answer:
		f.writeAnswer(w, result)
	}
}

func (f *front) writeAnswer(w http.ResponseWriter, a *steering.Answer) {
	defer a.Body.Close()
	dropHops(a.Header)
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
	if a.Whole {
		// The caller went away if this fails.
		_, _ = w.Write(a.Text)
		return
	}
	if err := relay(w, a.Body, a.Length < 0); err != nil {
		f.host.stats.cut.Add(1)
		panic(http.ErrAbortHandler)
	}
}

// copyBuffers holds the buffers of streams.
var copyBuffers = ring.NewBuffers(copyBytes)

// relay copies a body with back-pressure; each write has a deadline, so that a slow caller holds the host only so long.
func relay(w http.ResponseWriter, body io.Reader, flush bool) error {
	control := http.NewResponseController(w)
	held := copyBuffers.Take()
	defer copyBuffers.Put(held)
	buffer := *held
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			// A writer without deadlines is a peer's or a test's, which cannot stall.
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

// refuse answers a caller in the host's own name.
func (f *front) refuse(w http.ResponseWriter, r *steering.Refusal) {
	f.host.stats.refused.Add(1)
	refuse(w, r)
}

// refuse answers in the host's own name.
func refuse(w http.ResponseWriter, r *steering.Refusal) {
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
