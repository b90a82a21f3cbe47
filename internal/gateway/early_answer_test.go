package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"briarcroft/internal/fakenet"
	"briarcroft/platform/standin"
)

// earlyTarget answers uploads before it has read their bodies, with a response that has no length, and then resets the connection.
type earlyTarget struct {
	*standin.Target
	// part is the size in bytes of what is sent of the body.
	part int
}

// serveConn serves one connection. Errors mean that the host has closed it.
func (t *earlyTarget) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Attempt-Id")
		if r.Method == http.MethodGet {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal\r\nX-Server-Load: 0,0,3,100\r\nContent-Length: 0\r\n\r\n", t.Name, id)
			continue
		}
		t.Update(func(t *standin.Target) { t.Runs[id]++ })
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal\r\n\r\n", id)
		_, _ = io.WriteString(conn, strings.Repeat("x", t.part))
		fakenet.Reset(conn)
		return
	}
}

// TestEarlyAnswerOfBrokenUploadIsNotWhole guards against a success with a part of the body when a target answers an upload early, without
// a length, and resets the connection. The uploads go straight to the target or through a peer.
func TestEarlyAnswerOfBrokenUploadIsNotWhole(t *testing.T) {
	for _, c := range []struct {
		name string
		// part is that of earlyTarget.
		part    int
		relayed bool
	}{
		{"short part", 4, false},
		{"short part, relayed", 4, true},
		{"part that is passed on while it is read", 2 << 20, false},
		{"part that is passed on while it is read, relayed", 2 << 20, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, 2, 0, func(f *fleet) {
				x := &earlyTarget{standin.NewTarget("t0"), c.part}
				f.addRawTarget(x.Target, x.serveConn)
				time.Sleep(time.Second)
				if c.relayed {
					f.cutOff("h0")
				}
				for i := range 5 {
					id := fmt.Sprintf("early-%d", i)
					r := f.callBody("h0", id, make([]byte, 600_000))
					if r.err == nil && r.status < http.StatusMultipleChoices {
						t.Errorf("answered %d with %d bytes of the body", r.status, len(r.body))
					}
					f.is.Equal(f.runsOf(id), 1) // what may have run is not sent again
					time.Sleep(2 * time.Second)
				}
				f.is.Equal(f.hosts["h0"].gateway.RelayedRequests() > 0, c.relayed)
			})
		})
	}
}
