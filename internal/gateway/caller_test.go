package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"briarcroft/internal/drain"
	"briarcroft/internal/settings"
	"briarcroft/internal/socket"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// TestArrivedRequestIsAnsweredOnStop guards against a stop that closes a connection on which a request has arrived that a
// busy host has not read yet.
func TestArrivedRequestIsAnsweredOnStop(t *testing.T) {
	is := is.New(t)
	g, closeGateway := New(Config{Settings: settings.Default(), Logger: zerolog.Nop()})
	defer closeGateway()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer caller.Close()
	accepted, err := l.Accept()
	is.NoErr(err)
	_, err = fmt.Fprint(caller, "GET /unknown/1 HTTP/1.1\r\nHost: www.example\r\n\r\n")
	is.NoErr(err)
	for !socket.HasUnread(accepted) {
		time.Sleep(time.Millisecond)
	}

	c := newCallerConn(g, accepted)
	g.stop.Begin(drain.NewSchedule(drain.Config{Now: g.now(), DrainTime: time.Second, Limit: time.Minute}))
	c.closeIfIdle()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.serve()
	}()

	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable) // the host has no configuration
	is.True(response.Close)
	_, err = io.Copy(io.Discard, response.Body)
	is.NoErr(err)
	_ = caller.Close()
	<-ended
}
