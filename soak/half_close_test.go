package soak

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"briarcroft/platform/standin"
)

// TestHalfClosedCallerGetsAnswer guards against an unsafe request in progress that gets no answer because its caller has closed its
// side of the connection after the request.
func TestHalfClosedCallerGetsAnswer(t *testing.T) {
	binary := buildBinary(t, "..")
	f := newFleet(t, func(int, int) string { return binary }, 1, 1)
	f.targets[0].Update(func(t *standin.Target) { t.RunDuration = 300 * time.Millisecond })
	conn, err := net.Dial("tcp", f.hosts[0].listen)
	f.is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /order/1 HTTP/1.1\r\nHost: www.example\r\nX-Attempt-Id: half\r\nContent-Length: 0\r\n\r\n")
	f.is.NoErr(err)
	for deadline := time.Now().Add(waitTimeout); f.runCount("half") == 0; time.Sleep(time.Millisecond) {
		f.is.True(time.Now().Before(deadline))
	}
	f.is.NoErr(conn.(*net.TCPConn).CloseWrite())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	f.is.NoErr(err)
	f.is.Equal(response.StatusCode, http.StatusOK)
}
