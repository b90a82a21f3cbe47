package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

// Responses of scripted backend servers.
const (
	ownRefusal     = "HTTP/1.1 503 Service Unavailable\r\nId: own\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nbusy"
	unnamedRefusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nbusy"
	ownSuccess     = "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 4\r\n\r\ndone"
	otherSuccess   = "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 4\r\n\r\nothe"
	interim        = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
)

// TestResponseProvesItsRequest guards against responses that are taken for those of other requests: it sends one request after the
// other to a backend server that writes given bytes after the head of each.
func TestResponseProvesItsRequest(t *testing.T) {
	type sent struct {
		method, id string
		once       bool
		// written is what the server writes after the request.
		written string
		// got is the status and the body of the response; it is empty for ErrConnectionBroke.
		got          string
		unidentified bool
	}
	const done, busy = "200 done", "503 busy"
	cases := []struct {
		name        string
		requests    []sent
		connections int
	}{
		{"one connection", []sent{{"GET", "other", false, otherSuccess, "200 othe", false}, {"GET", "own", false, ownSuccess, done, false}}, 1},
		{"interim responses", []sent{{"GET", "own", true, interim + interim + ownSuccess, done, false}}, 1},
		{"interim responses before another's", []sent{{"GET", "other", false, otherSuccess, "200 othe", false}, {"GET", "own", true, interim + otherSuccess + ownSuccess, done, false}}, 1},
		{"no ID on a new connection", []sent{{"POST", "own", true, unnamedRefusal + ownSuccess, "", true}}, 1},
		{"success without an ID", []sent{{"POST", "own", true, strings.Replace(ownSuccess, "Id: own\r\n", "", 1), "", true}}, 1},
		{"no ID, request can be sent elsewhere", []sent{{"GET", "other", false, otherSuccess, "200 othe", false}, {"GET", "own", false, unnamedRefusal + ownSuccess, "", true}}, 1},
		{"no ID before the own response", []sent{{"POST", "other", true, otherSuccess, "200 othe", false}, {"POST", "own", true, unnamedRefusal + ownSuccess, done, false}}, 1},
		{"same ID again", []sent{{"POST", "own", true, ownRefusal, busy, false}, {"POST", "own", true, ownSuccess, done, false}}, 2},
		{"same ID later", []sent{{"POST", "own", true, ownRefusal, busy, false}, {"POST", "other", true, otherSuccess, "200 othe", false}, {"POST", "own", true, ownSuccess, done, false}}, 2},
		{"requests without an ID", []sent{{"GET", "", false, unnamedRefusal, busy, false}, {"GET", "", false, unnamedRefusal, busy, false}, {"GET", "own", false, ownSuccess, done, false}}, 3},
		{"ID for a request without one", []sent{{"GET", "", false, ownRefusal, "", true}}, 1},
		{"response to HEAD before that to GET", []sent{{"HEAD", "other", false, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 9\r\n\r\n", "200 ", false},
			{"GET", "own", false, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 9\r\n\r\n" + ownRefusal, "", false}}, 1},
		{"response to GET before that to HEAD", []sent{{"GET", "other", false, otherSuccess, "200 othe", false}, {"HEAD", "own", false, otherSuccess + "HTTP/1.1 200 OK\r\nId: own\r\n\r\n", "", false}}, 1},
		{"cut response to another request", []sent{{"GET", "other", false, otherSuccess, "200 othe", false}, {"GET", "own", false, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 900\r\n\r\n" + ownRefusal, "", false}}, 1},
		{"cut response to another request, connection stays open", []sent{{"GET", "other", false, otherSuccess, "200 othe", false}, {"GET", "own", true, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 901\r\n\r\n" + ownSuccess, "", false}}, 1},
		{"change of the protocol", []sent{{"GET", "own", false, "HTTP/1.1 101 Switching Protocols\r\nId: own\r\n\r\n", "", false}}, 1},
		{"bytes that are no response", []sent{{"GET", "own", false, "busy" + ownSuccess, "", false}}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			written, connections := make(chan string, 1), 0
			pool, closePool := New(Config{
				Address: "scripted", MaxConnections: 4, DialTimeout: time.Second, RecentUseWindow: time.Hour,
				ID: func(h http.Header) string { return h.Get("Id") },
				Dial: func(context.Context, string, string) (net.Conn, error) {
					connections++
					client, server := net.Pipe()
					go serveScript(server, written)
					return client, nil
				},
			})
			defer closePool()
			for _, s := range c.requests {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				r, err := http.NewRequestWithContext(ctx, s.method, "http://scripted/", nil)
				is.NoErr(err)
				if s.id != "" {
					r.Header.Set("Id", s.id)
				}
				written <- s.written
				response, err := pool.Do(r, Options{Once: s.once})
				if s.got == "" {
					is.True(errorx.IsOfType(err, ErrConnectionBroke))
					is.Equal(errorx.IsOfType(err, ErrUnidentifiedResponse), s.unidentified)
					is.NoErr(ctx.Err()) // the request ends before its time is over
				} else {
					is.NoErr(err)
					body, err := io.ReadAll(response.Body)
					is.NoErr(err)
					is.Equal(response.Status[:4]+string(body), s.got)
					is.NoErr(response.Body.Close())
				}
				cancel()
			}
			is.Equal(connections, c.connections)
		})
	}
}

// serveScript reads requests and writes the next bytes after each. It closes the connection after bytes that end within a body.
func serveScript(conn net.Conn, written <-chan string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		bytes := <-written
		if _, err := io.WriteString(conn, bytes); err != nil || strings.Contains(bytes, "Content-Length: 900") {
			return
		}
	}
}

// TestRefusalDuringUpload guards against a connection that is used again although the rest of a request's body is due on it: the
// backend server refuses the request before it has read the body, and its refusal counts.
func TestRefusalDuringUpload(t *testing.T) {
	is := is.New(t)
	connections := 0
	pool, closePool := New(Config{
		Address: "upload", MaxConnections: 4, DialTimeout: time.Second, ID: func(h http.Header) string { return h.Get("Id") },
		Dial: func(context.Context, string, string) (net.Conn, error) {
			connections++
			client, server := net.Pipe()
			go func() {
				// The connection is closed by the pool.
				_, _ = server.Read(make([]byte, 100))
				_, _ = io.WriteString(server, ownRefusal)
			}()
			return client, nil
		},
	})
	defer closePool()
	for range 2 {
		r, err := http.NewRequest(http.MethodPost, "http://upload/", strings.NewReader(strings.Repeat("x", 10*maxInlineBody)))
		is.NoErr(err)
		r.Header.Set("Id", "own")
		response, err := pool.Do(r, Options{Once: true})
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(string(body), "busy")
		is.NoErr(response.Body.Close())
		is.Equal(pool.Usage(), Usage{})
	}
	is.Equal(connections, 2)
}

// gatedConn is a connection to a backend server that writes the next bytes after each request, and closes the connection after the last.
type gatedConn struct {
	cutConn
	written []string
}

func (c *gatedConn) Write(p []byte) (int, error) {
	if strings.Contains(string(p), "HTTP/1.1\r\n") {
		c.sent, c.written = strings.NewReader(c.written[0]), c.written[1:]
	}
	return len(p), nil
}

// TestCutExtraResponse guards against an extra response that was cut, at each byte, and merges with the response behind it: the status
// of one and the ID of the other make neither.
func TestCutExtraResponse(t *testing.T) {
	const fields = "Retry-After: 1\r\nContent-Type: text/plain\r\nNot-Run: 1\r\nLoad: 1,2,3\r\n"
	for _, extra := range []string{
		"HTTP/1.1 503 Service Unavailable\r\n" + fields + "Content-Length: 4\r\n\r\nbusy",
		"HTTP/1.1 503 Service Unavailable\r\n" + fields + "Id: other\r\nContent-Length: 4\r\n\r\nbusy",
		"HTTP/1.1 503 Service Unavailable\r\nId: other\r\n" + fields + "Content-Length: 4\r\n\r\nbusy",
		"HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 9\r\n\r\nnot yours",
		"HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n9\r\nnot yours\r\n0\r\n\r\n",
	} {
		for _, own := range []string{ownSuccess, strings.Replace(ownSuccess, "200 OK", "200 OK: done", 1)} {
			for cut := range len(extra) + 1 {
				pool, closePool := New(Config{
					Address: "extra", MaxConnections: 1, DialTimeout: time.Second, RecentUseWindow: time.Hour, ID: func(h http.Header) string { return h.Get("Id") },
					Dial: func(context.Context, string, string) (net.Conn, error) {
						return &gatedConn{cutConn{end: io.EOF}, []string{otherSuccess, extra[:cut] + own}}, nil
					},
				})
				if got, err := exchange(pool, "other"); err != nil || got != "200 othe" {
					t.Fatalf("the first response is %q, %v", got, err)
				}
				if got, err := exchange(pool, "own"); err == nil && got != "200 done" {
					t.Errorf("%q behind %q is taken for %q", own, extra[:cut], got)
				}
				closePool()
			}
		}
	}
}

// exchange sends a request that must not be sent twice, and returns the status and the body of its response.
func exchange(pool *Pool, id string) (string, error) {
	r, err := http.NewRequest(http.MethodPost, "http://extra/", nil)
	if err != nil {
		return "", err
	}
	r.Header.Set("Id", id)
	response, err := pool.Do(r, Options{Once: true})
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.Status[:4] + string(body), err
}
