package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"briarcroft/internal/note"
	"briarcroft/internal/placement"
	"briarcroft/internal/settings"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// TestPanicOfRequestIsAnswered guards against a panic on the goroutine of one request that ends the process with all others.
func TestPanicOfRequestIsAnswered(t *testing.T) {
	cases := []struct {
		name   string
		damage func(*Gateway)
		status int
		// stops is set if the host must stop.
		stops bool
	}{
		{"reading", func(g *Gateway) { g.rules.Store(nil) }, http.StatusInternalServerError, false},
		{"handling", func(g *Gateway) { g.quarantine = nil }, http.StatusInternalServerError, false},
		{"log", func(g *Gateway) { g.requestLog = nil; g.rules.Store(&ruleIndex{}) }, http.StatusServiceUnavailable, false},
		{"placement", func(g *Gateway) {
			g.homeServer.serviceHome("stock").use(func(*placement.Home) { g.homeServer.serviceHomes()[0].home = nil })
		}, http.StatusInternalServerError, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g, closeGateway := New(Config{Settings: settings.Default(), Logger: zerolog.Nop()})
			defer closeGateway()
			g.rules.Store(newRuleIndex(note.Configuration{Number: 1, Rules: []note.Rule{{Name: "r", Host: "www.example", Path: "/", Service: "stock"}}}, &ruleIndex{}))
			c.damage(g)
			local, remote := net.Pipe()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				newCallerConn(g, remote).serve()
			}()
			// A pipe has no buffer, so the request is written while the response is read.
			go func() {
				_, _ = fmt.Fprint(local, "GET /lookup/1 HTTP/1.1\r\nHost: www.example\r\nConnection: close\r\n\r\n")
			}()
			response, err := http.ReadResponse(bufio.NewReader(local), nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, c.status)
			_, err = io.Copy(io.Discard, response.Body)
			is.NoErr(err)
			is.NoErr(local.Close())
			<-ended
			is.Equal(g.stats.panics.Load(), int64(1))
			is.Equal(len(g.panics.stop) == 1, c.stops)
		})
	}
}

// TestPanicOfHandlerEndsOnlyItsConnection guards against a panic that ends the process although the request is answered already.
func TestPanicOfHandlerEndsOnlyItsConnection(t *testing.T) {
	is := is.New(t)
	g, closeGateway := New(Config{Settings: settings.Default(), Logger: zerolog.Nop()})
	defer closeGateway()
	local, remote := net.Pipe()
	conn := newCallerConn(g, &panickingDeadline{Conn: remote, fails: true})
	done, previous, ok := conn.accept(true)
	is.True(ok)
	conn.pipelineSlots <- struct{}{}
	statuses := make(chan int, 1)
	go func() {
		defer close(statuses)
		if response, err := http.ReadResponse(bufio.NewReader(local), nil); err == nil {
			statuses <- response.StatusCode
		}
	}()
	conn.handle(&request{method: http.MethodGet}, done, previous, nil)
	<-done
	is.Equal(<-statuses, http.StatusServiceUnavailable)
	is.Equal(g.stats.panics.Load(), int64(1))
	_, err := local.Write([]byte("GET"))
	is.True(err != nil) // the connection is closed
}

// TestPanicBeforeRequestIsAnswered guards against a panic that ends the process before the handling of a request has begun.
func TestPanicBeforeRequestIsAnswered(t *testing.T) {
	is := is.New(t)
	g, closeGateway := New(Config{Settings: settings.Default(), Logger: zerolog.Nop()})
	defer closeGateway()
	local, remote := net.Pipe()
	defer local.Close()
	x, response := newCallerConn(g, remote).respond(nil)
	is.True(x == nil)
	is.Equal(response.status, http.StatusInternalServerError)
}

// panickingDeadline is a connection whose read deadline panics once if fails is set.
type panickingDeadline struct {
	net.Conn
	fails bool
}

// SetReadDeadline implements net.Conn.
func (c *panickingDeadline) SetReadDeadline(t time.Time) error {
	if c.fails {
		c.fails = false
		panic("deadline")
	}
	return c.Conn.SetReadDeadline(t)
}

// panickingConn is a connection that panics when more than its first bytes are read.
type panickingConn struct {
	net.Conn
	first []byte
}

// Read implements net.Conn.
func (c *panickingConn) Read(p []byte) (int, error) {
	if len(c.first) == 0 {
		panic("read")
	}
	n := copy(p, c.first)
	c.first = c.first[n:]
	return n, nil
}

// TestPanicOfReadingHoldsNoMemory guards against panics that use up the budget for bodies until all bodies are refused.
func TestPanicOfReadingHoldsNoMemory(t *testing.T) {
	is := is.New(t)
	g, closeGateway := New(Config{Settings: settings.Default(), Logger: zerolog.Nop()})
	defer closeGateway()
	local, remote := net.Pipe()
	defer local.Close()
	defer remote.Close()
	head := "POST /order/1 HTTP/1.1\r\nHost: www.example\r\nContent-Length: 9\r\n\r\n"
	q, rejected := newCallerConn(g, &panickingConn{remote, []byte(head)}).nextRequest()
	is.True(q == nil)
	is.Equal(rejected.status, http.StatusInternalServerError)
	is.Equal(g.bodies.Used(), int64(0))
}
