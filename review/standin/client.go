//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var lastID atomic.Uint64

// newID returns a new attempt ID.
func newID() string { return fmt.Sprintf("%08x%08x", rand.Uint32(), lastID.Add(1)) }

// ask is a request of a client.
type ask struct {
	id, method, host, path string
	body                   []byte
	deadline               time.Duration
}

// bytes returns the request as it is sent, with a body of known length.
func (a ask) bytes() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", a.method, a.path, a.host, a.id, a.deadline.Milliseconds())
	if a.body != nil {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(a.body))
	}
	b.WriteString("\r\n")
	b.Write(a.body)
	return b.Bytes()
}

// reply is what a client got: a whole answer or an error.
type reply struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// connection is a connection of a client to an entry host.
type connection struct {
	net.Conn
	reader *bufio.Reader
}

func connect(address string) (*connection, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{conn, bufio.NewReader(conn)}, nil
}

// read reads one answer.
func (c *connection) read(method string, until time.Time) reply {
	_ = c.SetReadDeadline(until)
	r, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return reply{err: err}
	}
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	return reply{r.StatusCode, r.Header, body, err}
}

// closes reports whether the connection ends after the answer.
func (r reply) closes() bool { return r.err != nil || r.header.Get("Connection") == "close" }

// checkMixed checks the rule MIXED for a whole success: it has the seal and the whole body of an answer that a target made to this
// request.
func (f *fleet) checkMixed(a ask, r reply) {
	if r.err != nil || r.status < 200 || r.status > 299 {
		return
	}
	seal := r.header.Get("X-Response-Seal")
	for _, made := range f.record.answersOf(a.id) {
		if made.status == r.status && made.seal == seal && made.hash == hashOf(r.body) {
			return
		}
	}
	foreign := ""
	if at := bytes.Index(r.body, []byte("HTTP/1.1 ")); at >= 0 {
		foreign = fmt.Sprintf("; at byte %d stands the head of another answer: %q", at, r.body[at:min(len(r.body), at+90)])
	}
	f.record.breaks("MIXED: the client got for %s a whole answer with status %d and seal %q, with a body of %d bytes that no target made for it%s", a.id, r.status, seal, len(r.body), foreign)
}
