package soak

import (
	"io"
	"net"
	"testing"
	"time"

	"briarcroft/platform/standin"
)

// TestRunEndsWithResetCaller guards against a repeatable run that goes on after its caller has reset the connection, which a read reports as
// an error and not as an end.
func TestRunEndsWithResetCaller(t *testing.T) {
	binary := buildBinary(t, "..")
	f := newFleet(t, func(int, int) string { return binary }, 1, 1)
	f.targets[0].Update(func(t *standin.Target) { t.RunDuration = 2 * time.Second })
	for _, c := range []struct {
		name, fields string
		// linger is that of net.TCPConn.SetLinger; 0 resets the connection when it is closed.
		linger int
	}{
		{"closed", "", -1},
		{"closed-last", "Connection: close\r\n", -1},
		{"reset", "", 0},
		{"reset-last", "Connection: close\r\n", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			canceled := func() (n int) {
				f.targets[0].Update(func(t *standin.Target) { n = t.CanceledRuns })
				return n
			}
			before := canceled()
			conn, err := net.Dial("tcp", f.hosts[0].listen)
			f.is.NoErr(err)
			_, err = io.WriteString(conn, "GET /lookup/1 HTTP/1.1\r\nHost: www.example\r\nX-Attempt-Id: "+c.name+"\r\nX-Deadline-Ms: 5000\r\n"+c.fields+"\r\n")
			f.is.NoErr(err)
			for deadline := time.Now().Add(waitTimeout); f.runCount(c.name) == 0; time.Sleep(time.Millisecond) {
				f.is.True(time.Now().Before(deadline))
			}
			f.is.NoErr(conn.(*net.TCPConn).SetLinger(c.linger))
			f.is.NoErr(conn.Close())
			for deadline := time.Now().Add(time.Second); canceled() == before; time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("the run goes on")
				}
			}
		})
	}
}
