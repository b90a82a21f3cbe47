package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestInvalidResponseIsNoResponse guards against answers of a backend server that are no responses and are passed on, or skipped as interim
// ones. A whole success follows each of them on the connection.
func TestInvalidResponseIsNoResponse(t *testing.T) {
	for _, c := range []struct{ name, sent, reason string }{
		{"status 000", "HTTP/1.1 000 OK\r\nId: own\r\nSeal: s\r\n\r\n", "InvalidStatus"},
		{"status 000 with a body", "HTTP/1.1 000 OK\r\nId: own\r\nSeal: s\r\nContent-Length: 4\r\n\r\nabcd", "InvalidStatus"},
		{"status 000 behind an interim response", interim + "HTTP/1.1 000 OK\r\nId: own\r\nSeal: s\r\n\r\n", "InvalidStatus"},
		{"status 099", "HTTP/1.1 099 OK\r\nId: own\r\nSeal: s\r\n\r\n", "InvalidStatus"},
		{"status 600", "HTTP/1.1 600 OK\r\nId: own\r\nSeal: s\r\nContent-Length: 0\r\n\r\n", "InvalidStatus"},
		{"status 999", "HTTP/1.1 999 OK\r\nId: own\r\nSeal: s\r\nContent-Length: 0\r\n\r\n", "InvalidStatus"},
		{"status with a sign", "HTTP/1.1 +20 OK\r\nId: own\r\nSeal: s\r\n\r\n", "InvalidStatusLine"},
		{"coding on HTTP/1.0", "HTTP/1.0 200 OK\r\nId: own\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n", "AmbiguousLength"},
		{"coding beside a length", "HTTP/1.1 200 OK\r\nId: own\r\nSeal: s\r\nContent-Length: 14\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n", "AmbiguousLength"},
		{"the same length twice", "HTTP/1.1 200 OK\r\nId: own\r\nSeal: s\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nabcd", "AmbiguousLength"},
		{"HTTP/2", "HTTP/2.0 200 OK\r\nId: own\r\nSeal: s\r\nContent-Length: 4\r\n\r\nabcd", "UnknownVersion"},
		{"folded coding", "HTTP/1.1 200 OK\r\nId: own\r\nSeal: s\r\nTransfer-Encoding:\r\n chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n", "AmbiguousLength"},
		{"space in a name", "HTTP/1.1 200 OK\r\nId: own\r\nSeal: s\r\nContent Length: 4\r\nContent-Length: 2\r\n\r\nabcd", "InvalidFieldName"},
		{"control byte in a value", "HTTP/1.1 200 OK\r\nId: own\r\nSeal: s\r\nA: b\x01\r\nContent-Length: 4\r\n\r\nabcd", "Malformed"},
		{"two lengths", "HTTP/1.1 200 OK\r\nId: own\r\nSeal: s\r\nContent-Length: 4, 5\r\n\r\nabcd", "Malformed"},
		{"head in two parts", "HTTP/1.0 200 OK\r\nId: own\r\nSeal: s\r\nA: " + strings.Repeat("x", 2*readBufferBytes) + "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "AmbiguousLength"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			body, err := fetch(http.MethodGet, c.sent+"HTTP/1.1 200 OK\r\nId: own\r\nSeal: s\r\nContent-Length: 4\r\n\r\ndone", io.EOF)
			is.Equal(body, "")
			is.Equal(InvalidReason(err), c.reason)
			is.Equal(InvalidReason(errors.New("another error")), "")
		})
	}
}

// TestBytesBehindResponseEndConnection guards against bytes behind a response without a body that are taken for the next response.
func TestBytesBehindResponseEndConnection(t *testing.T) {
	for _, c := range []struct{ name, method, head string }{
		{"no content", http.MethodGet, "HTTP/1.1 204 No Content\r\nId: first\r\n"},
		{"no content with a length", http.MethodGet, "HTTP/1.1 204 No Content\r\nId: first\r\nContent-Length: 99\r\n"},
		{"not modified", http.MethodGet, "HTTP/1.1 304 Not Modified\r\nId: first\r\nContent-Length: 99\r\n"},
		{"HEAD", http.MethodHead, "HTTP/1.1 200 OK\r\nId: first\r\nContent-Length: 99\r\n"},
		{"empty", http.MethodGet, "HTTP/1.1 200 OK\r\nId: first\r\nContent-Length: 0\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sent := []string{c.head + "\r\nHTTP/1.1 200 OK\r\nId: second\r\nContent-Length: 4\r\n\r\nodd!", "HTTP/1.1 200 OK\r\nId: second\r\nContent-Length: 4\r\n\r\ndone"}
			connections := 0
			pool, closePool := New(Config{
				Address: "behind", MaxConnections: 2, DialTimeout: time.Second, ID: func(h http.Header) string { return h.Get("Id") },
				Dial: func(context.Context, string, string) (net.Conn, error) {
					connections++
					return &cutConn{sent: strings.NewReader(sent[connections-1]), end: io.EOF}, nil
				},
			})
			defer closePool()
			for i, id := range []string{"first", "second"} {
				r, err := http.NewRequest([]string{c.method, http.MethodGet}[i], "http://behind/", nil)
				is.NoErr(err)
				r.Header.Set("Id", id)
				response, err := pool.Do(r, Options{})
				is.NoErr(err)
				body, err := io.ReadAll(response.Body)
				is.NoErr(err)
				is.NoErr(response.Body.Close())
				is.Equal(string(body), []string{"", "done"}[i])
			}
			is.Equal(connections, 2)
		})
	}
}
