package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// cutConn is a connection to a backend server that has sent bytes and then closed or reset it.
type cutConn struct {
	net.Conn
	sent io.Reader
	// end is io.EOF for a connection that was closed.
	end error
}

func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.sent.Read(p)
	if err == io.EOF {
		err = c.end
	}
	return n, err
}

func (c *cutConn) Write(p []byte) (int, error)     { return len(p), nil }
func (c *cutConn) Close() error                    { return nil }
func (c *cutConn) SetDeadline(time.Time) error     { return nil }
func (c *cutConn) SetReadDeadline(time.Time) error { return nil }

// wholeResponses are responses to be cut.
var wholeResponses = []struct {
	name, method, response, body string
	// endsWithConnection is set if nothing but the end of the connection marks the end of the body.
	endsWithConnection bool
}{
	{"length", "GET", "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 54\r\nSeal: s\r\n\r\n" + strings.Repeat("x", 54), strings.Repeat("x", 54), false},
	{"length at the end of the head", "GET", "HTTP/1.1 200 OK\r\nId: own\r\nSeal: s\r\nContent-Length: 12\r\n\r\n" + strings.Repeat("x", 12), strings.Repeat("x", 12), false},
	{"empty", "GET", "HTTP/1.1 200 OK\r\nId: own\r\nSeal: s\r\nContent-Length: 0\r\n\r\n", "", false},
	{"chunks", "GET", "HTTP/1.1 200 OK\r\nId: own\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n", "abcd0123456789abcdef", false},
	{"chunks and a trailer", "GET", "HTTP/1.1 200 OK\r\nId: own\r\nSeal: s\r\nTrailer: A\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\nA: b\r\n\r\n", "abcd", false},
	{"end of the connection", "GET", "HTTP/1.1 200 OK\r\nId: own\r\nSeal: s\r\n\r\nabcdefgh", "abcdefgh", true},
	{"HTTP/1.0", "GET", "HTTP/1.0 200 OK\r\nId: own\r\nSeal: s\r\n\r\nabcdefgh", "abcdefgh", true},
	{"HEAD", "HEAD", "HTTP/1.1 200 OK\r\nId: own\r\nSeal: s\r\nContent-Length: 54\r\n\r\n", "", false},
	{"no content", "GET", "HTTP/1.1 204 No Content\r\nId: own\r\nSeal: s\r\n\r\n", "", false},
	{"after an interim response", "GET", "HTTP/1.1 103 Early Hints\r\nId: own\r\nSeal: s\r\n\r\nHTTP/1.1 200 OK\r\nId: own\r\nSeal: s\r\nContent-Length: 4\r\n\r\nabcd", "abcd", false},
	{"folded field", "GET", "HTTP/1.1 200 OK\r\nId: own\r\nSeal: s\r\n t\r\nContent-Length: 4\r\n\r\nabcd", "abcd", false},
	{"line feeds", "GET", "HTTP/1.1 200 OK\nId: own\nSeal: s\nContent-Length: 4\n\nabcd", "abcd", false},
}

// TestCutResponsesFail guards against responses that look whole although the backend server broke off: they are cut after each byte,
// by a close or a reset of the connection.
func TestCutResponsesFail(t *testing.T) {
	for _, c := range wholeResponses {
		t.Run(c.name, func(t *testing.T) {
			headEnd := strings.LastIndex(c.response, "\n\n") + 2
			if i := strings.Index(c.response, "\r\n\r\n"); headEnd == 1 {
				headEnd = i + 4
			}
			for cut := range len(c.response) + 1 {
				for _, end := range []error{io.EOF, syscall.ECONNRESET} {
					body, err := fetch(c.method, c.response[:cut], end)
					whole := cut == len(c.response)
					if c.endsWithConnection {
						whole = cut >= headEnd && end == io.EOF
					}
					if whole != (err == nil) || whole && body != c.body[:len(c.body)-(len(c.response)-cut)] {
						t.Errorf("cut after %q and ended by %v: body %q, error %v", c.response[:cut], end, body, err)
					}
				}
			}
		})
	}
}

// fetch returns the body of the response that a backend server sends before its connection ends.
func fetch(method, sent string, end error) (string, error) {
	return fetchFrom(&cutConn{sent: strings.NewReader(sent), end: end}, method, nil)
}

// fetchFrom sends a request on a connection and returns the body of the response.
func fetchFrom(conn net.Conn, method string, body io.Reader) (string, error) {
	pool, closePool := New(Config{
		Address: "cut", MaxConnections: 1, DialTimeout: time.Second, ID: func(h http.Header) string { return h.Get("Id") },
		Dial: func(context.Context, string, string) (net.Conn, error) { return conn, nil },
	})
	defer closePool()
	r, err := http.NewRequest(method, "http://cut/", body)
	if err != nil {
		return "", err
	}
	r.Header.Set("Id", "own")
	response, err := pool.Do(r, Options{})
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	if err == nil && response.Header.Get("Seal") == "" {
		err = errors.New("no seal")
	}
	return string(read), err
}

// TestUnreadableHeadsFail guards against responses that are taken although it is not certain where their parts begin and end.
func TestUnreadableHeadsFail(t *testing.T) {
	for _, c := range []struct{ name, head string }{
		{"two lengths", "Content-Length: 4\r\nContent-Length: 5\r\n"},
		{"a list of lengths", "Content-Length: 4, 5\r\n"},
		{"no number as length", "Content-Length: 4x\r\n"},
		{"a length below 0", "Content-Length: -4\r\n"},
		{"a length with a sign", "Content-Length: +4\r\n"},
		{"a length that is too large", "Content-Length: 99999999999999999999\r\n"},
		{"an empty length", "Content-Length:\r\n"},
		{"a line without a colon", "Content-Length: 4\r\nabc\r\n"},
		{"a name with a space", "Content-Length : 4\r\n"},
		{"an unknown encoding", "Transfer-Encoding: gzip\r\n"},
		{"two encodings", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"},
		{"a folded first line", " Content-Length: 4\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := fetch(http.MethodGet, "HTTP/1.1 200 OK\r\n"+c.head+"Id: own\r\nSeal: s\r\n\r\nabcd", io.EOF)
			is.True(err != nil)
		})
	}
}

// FuzzResponse reads arbitrary bytes as responses. What is taken for a response must have the ID of the request, and a connection that
// was reset must not end a body of unknown length.
func FuzzResponse(f *testing.F) {
	for _, c := range wholeResponses {
		f.Add([]byte(c.response), c.method == http.MethodHead)
		f.Add([]byte(interim+otherSuccess+c.response), c.method == http.MethodHead)
	}
	f.Fuzz(func(t *testing.T, sent []byte, head bool) {
		method := http.MethodGet
		if head {
			method = http.MethodHead
		}
		body, err := fetch(method, string(sent), syscall.ECONNRESET)
		if err != nil {
			return
		}
		if !strings.Contains(strings.ToLower(string(sent)), "id:") || !strings.Contains(string(sent), "own") {
			t.Errorf("%q is taken for a response", sent)
		}
		if whole, err := fetch(method, string(sent), io.EOF); err != nil || whole != body {
			t.Errorf("%q has the body %q after a reset and %q (%v) after a close", sent, body, whole, err)
		}
	})
}
