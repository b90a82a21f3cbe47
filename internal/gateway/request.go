package gateway

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"briarcroft/internal/note"
	"briarcroft/internal/socket"

	"github.com/cespare/xxhash/v2"
)

// defaultLimits apply until a configuration sets others.
var defaultLimits = note.Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// requestLineBytes is what the request line and the reader's buffer may take in addition to the header limit, in bytes.
const requestLineBytes = 4 << 10

// request is a request of a caller with its whole body.
type request struct {
	// attemptID is the caller's identifier of this attempt; it may be empty.
	attemptID     string
	method        string
	uri           string
	path          string
	host          string
	header        http.Header
	body          []byte
	callerAddress string
	// arrived is the time of Gateway.now at which the first byte arrived.
	arrived time.Duration
	// timeout is how long the caller waits for the response; zero means that it sent no deadline header.
	timeout time.Duration
	// closeAfter is set when the caller sends no further request on its connection.
	closeAfter bool
	// release returns the memory of the body to the budget.
	release func()
}

// errHeaderTooLong reports that a request head exceeds the limit.
var errHeaderTooLong = errors.New("request head is too long")

// limitedConn fails to read with errHeaderTooLong once remaining bytes were read, which bounds request heads.
type limitedConn struct {
	net.Conn
	remaining int
	// err is the error of the last read; it is nil if there was none.
	err error
}

// Read implements io.Reader.
func (c *limitedConn) Read(p []byte) (int, error) {
	if c.remaining <= 0 {
		c.err = errHeaderTooLong
		return 0, c.err
	}
	n, err := c.Conn.Read(p[:min(len(p), c.remaining)])
	c.remaining -= n
	c.err = err
	return n, err
}

// rejection is the error response to a request that cannot be read; its connection is closed.
type rejection struct {
	status int
	reason string
	// retryAfter is when the caller may try again; zero if trying again cannot help.
	retryAfter time.Duration
}

// readRequest reads one request with its body. Both results are nil when the connection has ended or been idle too long.
func (c *callerConn) readRequest() (*request, *rejection) {
	limits := c.gateway.limits()
	if !c.awaitFirstByte(limits) {
		return nil, nil
	}
	arrived := c.gateway.now()
	c.beginReading(limits.HeaderTimeout)
	r, err := http.ReadRequest(c.reader)
	if err != nil {
		// A head that ends in the middle of a line is parsed as far as it goes, which hides the reason for its end.
		return nil, rejectionFor(cmp.Or(c.conn.err, err))
	}
	// The body has its own limit, in readBody.
	c.conn.remaining = int(^uint(0) >> 1)
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	q := &request{
		attemptID: r.Header.Get(c.gateway.dialect.AttemptIDHeader), method: r.Method, uri: r.RequestURI, path: r.URL.Path, host: r.Host,
		header: r.Header, callerAddress: c.address, arrived: arrived, closeAfter: r.Close || !r.ProtoAtLeast(1, 1), release: func() {},
	}
	if ms, err := strconv.ParseFloat(r.Header.Get(c.gateway.dialect.DeadlineHeader), 64); err == nil && ms > 0 {
		q.timeout = time.Duration(ms * float64(time.Millisecond))
	}
	if r.ContentLength == 0 {
		return q, nil
	}
	return c.readBody(q, r, limits)
}

// awaitFirstByte waits for the first byte of a request and reports whether one came.
func (c *callerConn) awaitFirstByte(limits note.Limits) bool {
	c.conn.remaining = limits.HeaderBytes + requestLineBytes
	c.setIdleDeadline(limits.IdleTimeout)
	_, err := c.reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.acceptsMore() {
		// A busy host may get to read a request only after the deadline although the request arrived before it.
		_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
		if socket.HasUnread(c.conn.Conn) {
			_, err = c.reader.Peek(1)
		}
	}
	return err == nil
}

// rejectionFor returns the rejection for a read error, or nil when the connection has ended.
func rejectionFor(err error) *rejection {
	var netErr net.Error
	switch {
	case errors.Is(err, errHeaderTooLong):
		return &rejection{status: http.StatusRequestHeaderFieldsTooLarge, reason: "HeaderTooLong"}
	case errors.As(err, &netErr) && netErr.Timeout():
		return &rejection{status: http.StatusRequestTimeout, reason: "HeaderTooSlow"}
	case errors.As(err, &netErr), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return nil
	}
	return &rejection{status: http.StatusBadRequest, reason: "NotARequest"}
}

// readBody reads the whole body of a request within the limits and the memory budget. For a body of unknown length it
// reserves KeyedBodyBytes first, and the rest once the body was read.
func (c *callerConn) readBody(q *request, r *http.Request, limits note.Limits) (*request, *rejection) {
	if r.ContentLength > int64(limits.BodyBytes) {
		return nil, &rejection{status: http.StatusRequestEntityTooLarge, reason: "BodyTooLong"}
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		if _, err := io.WriteString(c.conn.Conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil
		}
	}
	reserved := r.ContentLength
	if reserved < 0 {
		reserved = int64(c.gateway.settings.Limits.KeyedBodyBytes)
	}
	if !c.gateway.bodies.acquire(reserved) {
		return nil, &rejection{status: http.StatusServiceUnavailable, reason: "NoMemoryForBody", retryAfter: refusedRetryAfter}
	}
	q.release = func() { c.gateway.bodies.release(reserved) }
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(limits.BodyBytes)+1))
	switch {
	case err != nil:
		q.release()
		return nil, rejectionFor(err)
	case len(body) > limits.BodyBytes:
		q.release()
		return nil, &rejection{status: http.StatusRequestEntityTooLarge, reason: "BodyTooLong"}
	}
	if extra := int64(len(body)) - reserved; extra > 0 {
		if !c.gateway.bodies.acquire(extra) {
			q.release()
			return nil, &rejection{status: http.StatusServiceUnavailable, reason: "NoMemoryForBody", retryAfter: refusedRetryAfter}
		}
		reserved += extra
	}
	q.body = body
	return q, nil
}

// limits returns the limits of requests that are in force.
func (g *Gateway) limits() note.Limits {
	if l := g.rules.Load().limits; l.HeaderBytes > 0 && l.IdleTimeout > 0 {
		return l
	}
	return defaultLimits
}

// fingerprint returns a hash of the caller's address, path and body, by which the platform defines repetitions of a request
// that makes targets crash. A repetition may have another query.
func (q *request) fingerprint() uint64 { return hash([]byte(q.callerAddress), []byte(q.path), q.body) }

// sharedFingerprints returns hashes of what the request shares with requests of other callers: the path with the query and the
// body, and without the query.
func (q *request) sharedFingerprints() []uint64 {
	withoutQuery := hash([]byte(q.path), q.body)
	if !strings.Contains(q.uri, "?") {
		return []uint64{withoutQuery}
	}
	return []uint64{hash([]byte(q.uri), q.body), withoutQuery}
}

// hash returns a hash of the parts and their order.
func hash(parts ...[]byte) uint64 {
	d := xxhash.New()
	for _, part := range parts {
		// A hash never fails to write.
		_, _ = d.Write(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// bodyBudget bounds the memory that request bodies take, in bytes.
type bodyBudget struct {
	limit int64
	used  atomic.Int64
}

// acquire reserves n bytes and reports whether they were available.
func (b *bodyBudget) acquire(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

func (b *bodyBudget) release(n int64) { b.used.Add(-n) }

// newReader returns the buffered reader of a caller's connection.
func newReader(c *limitedConn) *bufio.Reader { return bufio.NewReaderSize(c, callerReadBytes) }

// requestContext returns the context for a request. It ends when the caller disconnects only if the request is
// repeatable; any other request is run to its end, since it may already have had an effect.
func (c *callerConn) requestContext(repeatable bool) context.Context {
	if repeatable {
		return c.ctx
	}
	return c.gateway.background
}
