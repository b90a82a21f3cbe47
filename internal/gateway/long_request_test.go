package gateway_test

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"

	"briarcroft/internal/settings"
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

// TestCallerOfLastRequestLeaves guards against a run that goes on after its caller has left because the connection is not read any more:
// that of a request which is the last one of its connection and takes longer than the time for which connections may be idle.
func TestCallerOfLastRequestLeaves(t *testing.T) {
	withFleet(t, 1, 1, func(f *fleet) {
		long := safeRule("long", "/long/")
		long["timeout-ms"] = time.Minute.Milliseconds()
		f.configure(2, long)
		time.Sleep(2 * time.Second)
		f.targets["t0"].Update(func(t *standin.Target) { t.RunDuration = 50 * time.Second })
		conn := f.dial("h0")
		_, err := io.WriteString(conn, "GET /long/1 HTTP/1.1\r\nHost: www.example\r\nX-Attempt-Id: long\r\nConnection: close\r\n\r\n")
		f.is.NoErr(err)
		time.Sleep(20 * time.Second)
		f.is.Equal(f.canceledRuns(), 0)
		f.is.NoErr(conn.Close())
		time.Sleep(500 * time.Millisecond)
		f.is.Equal(f.canceledRuns(), 1)
		time.Sleep(30 * time.Second)
	})
}

// TestCallerLeavesWhileMemoryIsFull guards against a run that goes on after its caller has left, because a host without memory for
// further requests does not read the connection. The run holds a slot of the target and delays the end of the shortage.
func TestCallerLeavesWhileMemoryIsFull(t *testing.T) {
	full := func(s *settings.Settings) { s.Limits.HeldBytes = 16 } // less than the head of one request
	withSettings(t, full, 1, 1, func(f *fleet) {
		long := safeRule("long", "/long/")
		long["timeout-ms"] = time.Minute.Milliseconds()
		f.configure(2, long)
		time.Sleep(2 * time.Second)
		f.targets["t0"].Update(func(t *standin.Target) { t.RunDuration = 5 * time.Second })
		conn := f.dial("h0")
		_, err := io.WriteString(conn, "GET /long/1 HTTP/1.1\r\nHost: www.example\r\nX-Attempt-Id: left\r\n\r\n")
		f.is.NoErr(err)
		time.Sleep(time.Second)
		f.is.Equal(f.arrivalsOf("left"), 1)
		f.is.Equal(f.canceledRuns(), 0)
		f.is.NoErr(conn.Close())
		time.Sleep(500 * time.Millisecond)
		f.is.Equal(f.canceledRuns(), 1)
		time.Sleep(5 * time.Second)
	})
}
