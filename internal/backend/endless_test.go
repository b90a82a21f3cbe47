package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

// endlessServer accepts connections over pipes, reads a request on each and sends a prefix and then a pattern without end.
type endlessServer struct {
	prefix, pattern string
	sent            atomic.Int64
}

func (s *endlessServer) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go func() {
		defer server.Close()
		_, _ = server.Read(make([]byte, 4<<10))
		if _, err := io.WriteString(server, s.prefix); err != nil {
			return
		}
		for {
			n, err := io.WriteString(server, s.pattern)
			s.sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	}()
	return client, nil
}

// TestEndlessResponsesEnd lets a backend server send bytes without end that are no response to the request: the connection
// must be closed after a bounded number of bytes and the request fail at once, not when its time is over.
func TestEndlessResponsesEnd(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	cases := []struct {
		name, prefix, pattern string
		bound                 int64
		// tooLarge is set unless the bytes end the response in another way before the bound.
		tooLarge bool
	}{
		{"no response", "", strings.Repeat("x", 1000), maxHeadBytes, true},
		{"status line", "HTTP/1.1 200 ", strings.Repeat("x", 1000), maxHeadBytes, true},
		{"header field", ok + "A: ", strings.Repeat("x", 1000), maxHeadBytes, true},
		{"header fields", ok, strings.Repeat("A: b\r\n", 200), maxHeadBytes, true},
		{"interim responses", "", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", 10), maxHeadBytes, false},
		{"interim response with an endless header", "HTTP/1.1 103 Early Hints\r\nA: ", strings.Repeat("x", 1000), maxHeadBytes, true},
		{"body of a response to another request", ok + "Id: other\r\n\r\n", strings.Repeat("x", 1000), maxSkippedBytes, true},
		{"chunked body of a response to another request", ok + "Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + strings.Repeat("x", 1000) + "\r\n", maxSkippedBytes, true},
		{"chunk header", ok + "Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 1000), maxSkippedBytes, false},
		{"trailer", ok + "Id: other\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("A: b\r\n", 200), maxSkippedBytes, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			server := endlessServer{prefix: c.prefix, pattern: c.pattern}
			pool, closePool := New(Config{
				Address: "endless", MaxConnections: 1, DialTimeout: time.Second, Dial: server.dial,
				ID: func(h http.Header) string { return h.Get("Id") },
			})
			defer closePool()
			// The context has no deadline: only the bound can end the request.
			r, err := http.NewRequest(http.MethodGet, "http://endless/", nil)
			is.NoErr(err)
			r.Header.Set("Id", "own")
			_, err = pool.Do(r, Options{})
			is.True(errorx.IsOfType(err, ErrConnectionBroke))
			is.Equal(errorx.IsOfType(err, ErrResponseTooLarge), c.tooLarge)
			is.True(server.sent.Load() <= c.bound+2*readBufferBytes)
			is.Equal(pool.Usage(), Usage{})
		})
	}
}

// TestLongHeadersPass checks that the bound on headers applies to each response and not to bodies.
func TestLongHeadersPass(t *testing.T) {
	is := is.New(t)
	field := "A: " + strings.Repeat("x", maxHeadBytes-1000) + "\r\n"
	body := strings.Repeat("y", 4*maxHeadBytes)
	server := endlessServer{prefix: "HTTP/1.1 103 Early Hints\r\n" + field + "\r\nHTTP/1.1 200 OK\r\n" + field + "Content-Length: 262144\r\n\r\n" + body}
	pool, closePool := New(Config{Address: "long", MaxConnections: 1, DialTimeout: time.Second, Dial: server.dial})
	defer closePool()
	r, err := http.NewRequest(http.MethodGet, "http://long/", nil)
	is.NoErr(err)
	response, err := pool.Do(r, Options{})
	is.NoErr(err)
	received, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(received), body)
	is.NoErr(response.Body.Close())
}
