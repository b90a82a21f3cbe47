package entry

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"briarcroft/internal/claim"
	"briarcroft/internal/steering"
)

// errPanic reports that a panic of a background task has left the host in a state in which it must not go on.
var errPanic = namespace.NewType("panic")

// recovered logs a panic with its stack, and reports whether there was one. It takes the result of recover.
func (h *Host) recovered(place string, value any) bool {
	if value == nil {
		return false
	}
	h.config.Logger.Error().Str("Place", place).Str("Panic", fmt.Sprint(value)).Str("Stack", string(debug.Stack())).Msg("panic")
	return true
}

// taskPanicked handles a panic of a background task: the host stops gracefully, because requests depend on these tasks.
func (h *Host) taskPanicked(value any) {
	h.recovered("BackgroundTask", value)
	select {
	case h.panicked <- errPanic.New("panic in a background task: %v", value):
	default:
	}
}

// panicRefusal returns the result of a request whose goroutine has panicked. It promises nothing, because a target may have run the
// request.
func panicRefusal() *steering.Refusal {
	return &steering.Refusal{Status: http.StatusInternalServerError, Outcome: claim.Unknown, Reason: "InternalError", RetryDone: true}
}

// responseState is a response writer that knows whether the response has begun.
type responseState struct {
	http.ResponseWriter
	begun bool
}

// WriteHeader implements http.ResponseWriter.
func (w *responseState) WriteHeader(status int) {
	w.begun = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer.
func (w *responseState) Write(p []byte) (int, error) {
	w.begun = true
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the response writer for http.ResponseController.
func (w *responseState) Unwrap() http.ResponseWriter { return w.ResponseWriter }
