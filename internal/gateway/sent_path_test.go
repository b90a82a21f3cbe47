package gateway_test

import (
	"bufio"
	"fmt"
	"net/http"
	"testing"
	"time"

	"briarcroft/platform/standin"
)

// withPathTarget runs a test with a rule for unsafe requests to /batch/ and one for safe requests to a part of it.
func withPathTarget(t *testing.T, run func(f *fleet, target *recordingTarget)) {
	withFleet(t, 2, 0, func(f *fleet) {
		f.configure(2, unsafeRule("batch", "/batch/"), safeRule("year", "/batch/2026/"), unsafeRule("all", "/"))
		f.addRecordingTarget("p0")
		target := f.addRecordingTarget("p1")
		time.Sleep(2 * time.Second)
		run(f, target)
	})
}

// TestPathAsSentSelectsRule guards against a request that runs twice because the path that its target gets selects another rule than the
// one that was applied.
func TestPathAsSentSelectsRule(t *testing.T) {
	for _, c := range []struct {
		target, host string
		runs         int
	}{
		{"/batch/2026/0417", "www.example", 2},
		{"/batch/2026%2F0417", "www.example", 1},
		{"/batch%2F2026/0417", "www.example", 1},
		{"/batch/2026%2f0417", "WWW.Example:80", 1},
		{"/batch/%32026/0417", "www.example.", 2},
		{"/other/../batch/2026/1", "www.example", 1},
		{"http://www.example/batch/2026/0417", "www.example", 2},
	} {
		t.Run(c.target, func(t *testing.T) {
			withPathTarget(t, func(f *fleet, _ *recordingTarget) {
				for _, x := range f.targets {
					x.Update(func(t *standin.Target) { t.DropResponses = true })
				}
				conn := f.dial("h0")
				defer conn.Close()
				_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: sent\r\nContent-Length: 0\r\n\r\n", c.target, c.host)
				f.is.NoErr(err)
				status, _ := f.read(bufio.NewReader(conn))
				f.is.Equal(status, http.StatusBadGateway)
				f.is.Equal(f.runsOf("sent"), c.runs)
			})
		})
	}
}

// TestTargetGetsPathAsSent guards against request targets that reach a backend server with another path or host.
func TestTargetGetsPathAsSent(t *testing.T) {
	for _, c := range []struct{ target, want string }{
		{"/batch/2026%2F0417?a=%2F", "/batch/2026%2F0417?a=%2F"}, {"//x/y", "//x/y"}, {"//x/y?z", "//x/y?z"}, {"/a/../b", "/a/../b"}, {"/%2Fx%2e%2e/y", "/%2Fx%2e%2e/y"},
		{"http://www.example//x?z", "//x?z"},
	} {
		for _, relayed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, relayed %v", c.target, relayed), func(t *testing.T) {
				withPathTarget(t, func(f *fleet, target *recordingTarget) {
					f.store.Delete("servers/p0")
					time.Sleep(time.Second)
					if relayed {
						f.net.Refuse("h0", target.Name, true)
					}
					conn := f.dial("h0")
					defer conn.Close()
					_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: www.example\r\nX-Attempt-Id: sent\r\nContent-Length: 0\r\n\r\n", c.target)
					f.is.NoErr(err)
					status, _ := f.read(bufio.NewReader(conn))
					f.is.Equal(status, http.StatusOK)
					got, _ := target.received("sent")
					f.is.Equal(got.host+" "+got.target, "www.example "+c.want)
					f.is.Equal(f.hosts["h0"].gateway.RelayedRequests() > 0, relayed)
				})
			})
		}
	}
}
