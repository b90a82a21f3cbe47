package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

// limitDescriptors returns a program that runs the binary with a limit of open descriptors.
func limitDescriptors(t *testing.T, binary string, limit int) string {
	script := filepath.Join(t.TempDir(), "limited")
	if err := os.WriteFile(script, fmt.Appendf(nil, "#!/bin/sh\nulimit -n %d\nexec %s \"$@\"\n", limit, binary), 0o700); err != nil {
		t.Fatal(err)
	}
	return script
}

// tally counts responses by status; 0 stands for none.
type tally struct {
	mu       sync.Mutex
	statuses map[int]int
}

// check counts a response and reports a request that must have got another one: one that was answered without a run, or ran without an
// answer. A request may get no response if its connection was closed before it arrived.
func (c *tally) check(f *fleet, id string, status int) {
	runs := f.runCount(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statuses[status]++
	if (status == http.StatusOK) != (runs > 0) && (status == http.StatusOK || status == http.StatusServiceUnavailable || status == 0) {
		f.t.Errorf("request %s got %d and ran %d times", id, status, runs)
	}
}

// TestHostAtLimitOfDescriptors guards against a host process that ends, loses requests or lets callers wait when more callers connect
// than it has descriptors. Callers keep their connections open, and come back on new ones when they were refused.
func TestHostAtLimitOfDescriptors(t *testing.T) {
	const descriptors, connections, callers, length = 120, 600, 8, 4 * time.Second
	program := limitDescriptors(t, buildBinary(t, ".."), descriptors)
	f := newFleet(t, func(int, int) string { return program }, 1, 3)
	h, end := f.hosts[0], time.Now().Add(length)
	steady, burst := tally{statuses: map[int]int{}}, tally{statuses: map[int]int{}}
	var running sync.WaitGroup
	for i := range callers {
		running.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("s%d-%d", i, n)
				steady.check(f, id, f.call(h, "POST", "/order/x", id).status)
			}
		})
	}
	for i := range connections {
		id := fmt.Sprintf("b%d", i)
		conn, err := net.Dial("tcp", h.listen)
		if err != nil {
			t.Errorf("connection %d: %v", i, err)
			break
		}
		defer conn.Close()
		// An error shows in the response, which is missing then.
		_, _ = fmt.Fprintf(conn, "POST /order/x HTTP/1.1\r\nHost: www.example\r\nContent-Length: 0\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 2000\r\n\r\n", id)
		running.Go(func() { burst.check(f, id, readStatus(t, conn)) })
		time.Sleep(length / (2 * connections))
	}
	running.Wait()
	select {
	case <-h.current().exited:
		t.Error("the host has ended")
	default:
		f.waitReady(h)
	}
	t.Logf("steady callers: %v, burst: %v", steady.statuses, burst.statuses)
	for _, c := range []*tally{&steady, &burst} {
		if c.statuses[http.StatusOK] == 0 {
			t.Error("no request was served")
		}
	}
	if r := f.call(h, "GET", "/lookup/x", "last"); r.status != http.StatusOK {
		t.Errorf("after the burst a caller got %+v", r)
	}
}

// answerTimeout is how long a caller waits for a response, which must come within its time limit of two seconds.
const answerTimeout = 10 * time.Second

// readStatus returns the status of the response on a connection, which stays open, or 0 if the connection is closed instead.
func readStatus(t *testing.T, conn net.Conn) int {
	_ = conn.SetReadDeadline(time.Now().Add(answerTimeout))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("no response after %v", answerTimeout)
	}
	if err != nil {
		return 0
	}
	return response.StatusCode
}
