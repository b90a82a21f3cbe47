package gateway_test

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"

	"briarcroft/platform/standin"
)

// TestLongRequestIsNotCanceled guards against a limit on the wait for a caller's next request that cancels the one in progress.
func TestLongRequestIsNotCanceled(t *testing.T) {
	withFleet(t, 1, 1, func(f *fleet) {
		long := safeRule("long", "/long/")
		long["timeout-ms"] = (20 * time.Minute).Milliseconds()
		f.configure(2, long)
		time.Sleep(2 * time.Second)
		f.targets["t0"].Update(func(t *standin.Target) { t.RunDuration = 11 * time.Minute })
		conn := f.dial("h0")
		defer conn.Close()
		_, err := io.WriteString(conn, "GET /long/1 HTTP/1.1\r\nHost: www.example\r\nX-Attempt-Id: long\r\n\r\n")
		f.is.NoErr(err)
		status, closes := f.read(bufio.NewReader(conn))
		f.is.Equal(status, http.StatusOK)
		f.is.True(!closes)
		f.targets["t0"].Update(func(t *standin.Target) { t.RunDuration = 0 })
	})
}
