package gateway

import (
	"bytes"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// readByServer returns the requests that net/http's server finds in the bytes of a connection, those with a whole body.
func readByServer(sent []byte) []foundRequest {
	var mu sync.Mutex
	var found []foundRequest
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		found = append(found, foundRequest{r.Method, r.RequestURI, string(body)})
	})
	closed := make(chan struct{})
	server := &http.Server{Handler: handler, ErrorLog: silentLog, DisableGeneralOptionsHandler: true, ConnState: func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed || state == http.StateHijacked {
			close(closed)
		}
	}}
	l := &singleListener{conn: make(chan net.Conn, 1), closed: make(chan struct{})}
	l.conn <- callerBytes{sent: bytes.NewReader(sent)}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	<-closed
	_ = server.Close()
	<-served
	return found
}

// foundRequest is what a reader finds in the bytes of a connection.
type foundRequest struct{ method, target, body string }

// singleListener accepts one connection.
type singleListener struct {
	conn   chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *singleListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conn:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *singleListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *singleListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(10, 0, 0, 2), Port: 80} }

// silentLog drops what net/http's server reports.
var silentLog = log.New(io.Discard, "", 0)

// readByHost returns the requests that a host finds in the bytes of a connection.
func readByHost(g *Gateway, sent []byte) []foundRequest {
	c := newCallerConn(g, callerBytes{sent: bytes.NewReader(sent)})
	defer c.cancel()
	var found []foundRequest
	for {
		q, _ := c.readRequest()
		if q == nil {
			return found
		}
		found = append(found, foundRequest{q.method, q.uri, string(q.body.Bytes())})
		q.body.Release()
		if q.closeAfter {
			return found
		}
	}
}

// FuzzSameRequests guards against bytes in which a host finds other requests than net/http's server does. It may find fewer, as it
// refuses the rest.
func FuzzSameRequests(f *testing.F) {
	const next = "GET /b HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, sent := range []string{
		"GET /a HTTP/1.1\r\nHost: h\r\n\r\n" + next,
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nabcd" + next,
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\nabcd\r\n0\r\nA: b\r\n\r\n" + next,
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + next,
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length : 28\r\n\r\n" + next,
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + next,
		"POST /a HTTP/1.0\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + next,
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n" + next,
		"POST /a HTTP/1.1\nHost: h\nContent-Length: +4\n\nabcd" + next,
		"POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\nabcd" + next,
		"CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n" + next,
		"OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n" + next,
		"GET //x/y HTTP/1.1\r\nHost: h\r\n\r\n" + next,
		"GET http://h/a?b HTTP/1.1\r\nHost: i\r\n\r\n" + next,
		"GET /a HTTP/2.0\r\nHost: h\r\n\r\n" + next,
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nabcd\r\n\r\n" + next,
		"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + next,
		"GET /a HTTP/1.1\r\n\r\n", "GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", "\r\n" + next,
	} {
		f.Add([]byte(sent))
	}
	g := newReadingGateway(f)
	f.Fuzz(func(t *testing.T, sent []byte) {
		own, other := readByHost(g, sent), readByServer(sent)
		if len(own) > len(other) {
			t.Fatalf("%q holds %d requests for the host and %d for net/http: %q and %q", sent, len(own), len(other), own, other)
		}
		for i := range own {
			if own[i].method != other[i].method || own[i].body != other[i].body || !sameTarget(own[i].target, other[i].target) {
				t.Fatalf("%q: request %d is %q for the host and %q for net/http", sent, i, own[i], other[i])
			}
		}
	})
}

// sameTarget reports whether a request target in origin form is the one that was sent.
func sameTarget(origin, sent string) bool {
	if strings.HasPrefix(sent, "/") || sent == "*" {
		return origin == sent
	}
	return strings.HasSuffix(sent, origin) || origin == "/" || strings.HasSuffix(sent, strings.TrimPrefix(origin, "/"))
}
