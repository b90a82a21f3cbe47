package gateway

import (
	"bytes"
	"context"
	"io"
	"net"
	"strconv"
	"testing"
	"time"

	"briarcroft/internal/note"
	"briarcroft/internal/settings"

	"github.com/rs/zerolog"
)

// callerBytes is the connection of a caller that has sent bytes and then closed its side.
type callerBytes struct {
	net.Conn
	sent io.Reader
}

func (c callerBytes) Read(p []byte) (int, error)       { return c.sent.Read(p) }
func (c callerBytes) Write(p []byte) (int, error)      { return len(p), nil }
func (c callerBytes) LocalAddr() net.Addr              { return &net.TCPAddr{IP: net.IPv4(10, 0, 0, 2), Port: 80} }
func (c callerBytes) SetDeadline(time.Time) error      { return nil }
func (c callerBytes) SetReadDeadline(time.Time) error  { return nil }
func (c callerBytes) SetWriteDeadline(time.Time) error { return nil }
func (c callerBytes) RemoteAddr() net.Addr             { return &net.TCPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 1} }
func (c callerBytes) Close() error                     { return nil }

// newReadingGateway returns a gateway that only reads requests.
func newReadingGateway(t testing.TB) *Gateway {
	g, closeGateway := New(Config{Settings: settings.Default(), Logger: zerolog.Nop(), Dialect: Dialect{AttemptIDHeader: "X-Attempt-Id", DeadlineHeader: "X-Deadline-Ms"}})
	t.Cleanup(closeGateway)
	g.applyConfiguration(note.Configuration{Number: 1, Limits: &note.Limits{HeaderBytes: 4 << 10, BodyBytes: 8 << 10, HeaderTimeout: time.Second, IdleTimeout: time.Second}})
	return g
}

// readAll reads requests until the connection ends, and returns them.
func readAll(g *Gateway, sent []byte) []*request {
	c := newCallerConn(g, callerBytes{sent: bytes.NewReader(sent)})
	defer c.cancel()
	var requests []*request
	for {
		q, _ := c.readRequest()
		if q == nil {
			return requests
		}
		q.body.Release()
		requests = append(requests, q)
		if q.closeAfter {
			return requests
		}
	}
}

// FuzzRequest reads arbitrary bytes as requests of a caller.
func FuzzRequest(f *testing.F) {
	for _, sent := range []string{
		"GET /a HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\nX-Deadline-Ms: 100\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nabcdGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nX-Deadline-Ms: Inf\r\n\r\n4\r\nabcd\r\n0\r\nA: b\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 99999999999\r\n\r\n",
		"GET /a?b=%zz HTTP/1.0\r\nX-Deadline-Ms: 1e300\r\n\r\n", "\r\n\r\n", "GET", "\x16\x03\x01",
	} {
		f.Add([]byte(sent))
	}
	g := newReadingGateway(f)
	f.Fuzz(func(t *testing.T, sent []byte) {
		requests := readAll(g, sent)
		for _, q := range requests {
			if q.method == "" || q.body.Length() > 8<<10 || q.timeout < 0 || q.timeout > maxTimeout {
				t.Errorf("%q is read as %+v", sent, q)
			}
			q.fingerprint()
			q.sharedFingerprints()
			if x := newExchange(&callerConn{gateway: g, ctx: context.Background()}, q); x.run() == nil {
				t.Errorf("%q gets no response", sent)
			}
		}
		if g.bodies.Used() != 0 {
			t.Errorf("%q leaves %d bytes of the budget in use", sent, g.bodies.Used())
		}
	})
}

// TestOddTimeLimits guards against time limits whose conversion differs between processors, or overflows.
func TestOddTimeLimits(t *testing.T) {
	g := newReadingGateway(t)
	for _, c := range []struct {
		value string
		want  time.Duration
	}{
		{"1500", 1500 * time.Millisecond}, {"0.5", 500 * time.Microsecond}, {"0", 0}, {"-1", 0}, {"NaN", 0}, {"", 0}, {"1e400", 0},
		{"Inf", maxTimeout}, {"1e300", maxTimeout}, {strconv.Itoa(1 << 62), maxTimeout}, {"9223372036855", maxTimeout},
	} {
		t.Run(c.value, func(t *testing.T) {
			requests := readAll(g, []byte("GET /a HTTP/1.1\r\nHost: h\r\nX-Deadline-Ms: "+c.value+"\r\n\r\n"))
			if len(requests) != 1 || requests[0].timeout != c.want {
				t.Errorf("read as %v", requests[0].timeout)
			}
		})
	}
}
