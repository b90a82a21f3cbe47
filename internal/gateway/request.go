package gateway

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"briarcroft/internal/message"
	"briarcroft/internal/note"
	"briarcroft/internal/payload"
	"briarcroft/internal/socket"
	"briarcroft/internal/uri"

	"github.com/cespare/xxhash/v2"
)

// defaultLimits apply until a configuration sets others.
var defaultLimits = note.Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// requestLineBytes is what the request line and the reader's buffer may take in addition to the header limit, in bytes.
const requestLineBytes = 4 << 10

// maxTimeout is the longest time for which a caller can ask; longer ones are cut to it.
const maxTimeout = 24 * time.Hour

// request is a request of a caller with its whole body.
type request struct {
	// attemptID is the caller's identifier of this attempt; it may be empty.
	attemptID string
	method    string
	// uri is the request target in origin form as it was sent, and path its canonical path.
	uri, path     string
	host          string
	header        http.Header
	body          *payload.Payload
	callerAddress string
	// arrived is the time of Gateway.now at which the first byte arrived.
	arrived time.Duration
	// timeout is how long the caller waits for the response; zero means that it sent no deadline header.
	timeout time.Duration
	// oldVersion is set for HTTP/1.0, which has no chunks.
	oldVersion bool
	// closeAfter is set when the caller sends no further request on its connection.
	closeAfter bool
}

// errHeaderTooLong reports that a request head exceeds the limit.
var errHeaderTooLong = errors.New("request head is too long")

// limitedConn fails to read with errHeaderTooLong once remaining bytes were read, which bounds request heads.
type limitedConn struct {
	net.Conn
	remaining int
	// err is the error of the last read; it is nil if there was none.
	err error
	// head records heads while they are read.
	head message.Recorder
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
	c.head.Record(p[:n])
	return n, err
}

// readHead reads the head of a request and checks it. The body was not read.
func (c *callerConn) readHead() (*http.Request, *rejection) {
	arrived := message.Arrived(c.reader)
	if problem, complete := message.CheckRequestHead(arrived); complete {
		// Most heads arrive completely.
		if problem != nil {
			return nil, newRejection(problem)
		}
		return c.parseHead()
	}
	c.conn.head.Begin(arrived)
	r, rejected := c.parseHead()
	head, release := c.conn.head.End()
	defer release()
	if r == nil {
		return nil, rejected
	}
	if problem, _ := message.CheckRequestHead(head); problem != nil {
		return nil, newRejection(problem)
	}
	return r, nil
}

// parseHead parses the head of a request.
func (c *callerConn) parseHead() (*http.Request, *rejection) {
	r, err := http.ReadRequest(c.reader)
	if err != nil {
		// A head that ends in the middle of a line is parsed as far as it goes, which hides the reason for its end.
		return nil, rejectionFor(cmp.Or(c.conn.err, err))
	}
	dialect := &c.gateway.dialect
	if problem := message.CheckRequest(r, r.Header[dialect.AttemptIDHeader], r.Header[dialect.DeadlineHeader]); problem != nil {
		return nil, newRejection(problem)
	}
	return r, nil
}

// newRejection returns the rejection of a request that must not be handled.
func newRejection(p *message.Problem) *rejection {
	return &rejection{status: p.Status, reason: p.Reason}
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
	c.awaitMemory()
	if !c.awaitPart(limits.HeaderTimeout) {
		return nil, nil
	}
	r, rejected := c.readHead()
	if r == nil {
		return nil, rejected
	}
	head := int64(limits.HeaderBytes + requestLineBytes - c.conn.remaining)
	// The body has its own limit, in readBody.
	c.conn.remaining = int(^uint(0) >> 1)
	if !c.awaitPart(limits.IdleTimeout) {
		return nil, nil
	}
	target, err := uri.Origin(r.RequestURI, r.URL)
	if err != nil || !uri.IsSentUnchanged(target) {
		return nil, &rejection{status: http.StatusBadRequest, reason: "InvalidTarget"}
	}
	q := &request{
		attemptID: firstValue(r.Header, c.gateway.dialect.AttemptIDHeader), method: r.Method, uri: target, path: uri.CanonicalPath(uri.PathOf(target)), host: r.Host,
		header: r.Header, callerAddress: c.address, arrived: arrived, oldVersion: !r.ProtoAtLeast(1, 1), closeAfter: r.Close || !r.ProtoAtLeast(1, 1),
		body: payload.NewBudgeted(c.gateway.bodies, head),
	}
	if ms, err := strconv.ParseFloat(firstValue(r.Header, c.gateway.dialect.DeadlineHeader), 64); err == nil && ms > 0 {
		q.timeout = time.Duration(min(ms, maxTimeout.Seconds()*1000) * float64(time.Millisecond))
	}
	if r.ContentLength == 0 {
		return q, nil
	}
	complete := false
	// The body may also end with a panic.
	defer func() {
		if !complete {
			q.body.Release()
		}
	}()
	if complete, rejected = c.readBody(q, r, limits); !complete {
		return nil, rejected
	}
	return q, nil
}

// firstValue returns the first value of a field whose name has the canonical form, or the empty string.
func firstValue(h http.Header, name string) string {
	if values := h[name]; len(values) > 0 {
		return values[0]
	}
	return ""
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
	var urlErr *url.Error
	switch {
	case errors.Is(err, errHeaderTooLong):
		return &rejection{status: http.StatusRequestHeaderFieldsTooLarge, reason: "HeaderTooLong"}
	case errors.As(err, &urlErr):
		// It is a net.Error too, but the connection is sound.
		return &rejection{status: http.StatusBadRequest, reason: "InvalidTarget"}
	case errors.As(err, &netErr) && netErr.Timeout():
		return &rejection{status: http.StatusRequestTimeout, reason: "HeaderTooSlow"}
	case errors.As(err, &netErr), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return nil
	}
	return &rejection{status: http.StatusBadRequest, reason: "NotARequest"}
}

// readBody reads the whole body of a request within the limits and the memory budget. A body without room is rejected before it
// was read, or as soon as there is no room for more of it: an announced length holds nothing until it arrives. The rejection is nil
// when the connection has ended.
func (c *callerConn) readBody(q *request, r *http.Request, limits note.Limits) (complete bool, rejected *rejection) {
	length, budget := r.ContentLength, c.gateway.bodies
	switch {
	case length > int64(limits.BodyBytes):
		return false, &rejection{status: http.StatusRequestEntityTooLarge, reason: "BodyTooLong"}
	case !budget.HasRoom(max(length, payload.MinPart)):
		return false, c.rejectForMemory()
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		defer c.sendContinue()()
	}
	ended, err := q.body.Fill(r.Body, length, int64(limits.BodyBytes))
	if err == nil && !ended {
		// The body has reached the limit and must end here.
		if _, err = io.ReadFull(r.Body, make([]byte, 1)); err == nil {
			return false, &rejection{status: http.StatusRequestEntityTooLarge, reason: "BodyTooLong"}
		}
		ended = err == io.EOF
	}
	switch {
	case ended:
		return true, nil
	case errors.Is(err, payload.ErrNoRoom):
		return false, c.rejectForMemory()
	}
	return false, rejectionFor(err)
}

// sendContinue asks the caller to send the body of its request, once the requests before it have been answered: an interim
// response within the response to another request would be taken for a part of that. The returned function must be called before
// anything else is sent; it waits until nothing is being sent.
func (c *callerConn) sendContinue() (stop func()) {
	ctx, cancel := context.WithCancel(c.ctx)
	c.mu.Lock()
	previous := c.lastDone
	c.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer c.gateway.guard("SendContinue")
		select {
		case <-previous:
		case <-ctx.Done():
			return
		}
		if c.truncated.Load() || !c.acceptsMore() {
			return
		}
		_ = c.conn.SetWriteDeadline(time.Now().Add(stallTimeout))
		// After an error the body does not arrive either.
		_, _ = io.WriteString(c.conn.Conn, "HTTP/1.1 100 Continue\r\n\r\n")
	}()
	return func() {
		cancel()
		<-done
	}
}

// rejectForMemory returns the rejection of a request for whose body there is no memory.
func (c *callerConn) rejectForMemory() *rejection {
	c.gateway.stats.bodiesRejected.Add(1)
	return &rejection{status: http.StatusServiceUnavailable, reason: "NoMemoryForBody", retryAfter: refusedRetryAfter}
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
func (q *request) fingerprint() uint64 { return hash(q.body, q.callerAddress, q.path) }

// sharedFingerprints returns hashes of what the request shares with requests of other callers: the path with the query and the
// body, and without the query.
func (q *request) sharedFingerprints() []uint64 {
	withoutQuery := hash(q.body, q.path)
	if !strings.Contains(q.uri, "?") {
		return []uint64{withoutQuery}
	}
	return []uint64{hash(q.body, q.uri), withoutQuery}
}

// hash returns a hash of the parts, their order and the body.
func hash(body *payload.Payload, parts ...string) uint64 {
	d := xxhash.New()
	for _, part := range parts {
		// A hash never fails to write.
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_ = body.CopyTo(d)
	_, _ = d.Write([]byte{0})
	return d.Sum64()
}

// newReader returns the buffered reader of a caller's connection.
func newReader(c *limitedConn) *bufio.Reader { return bufio.NewReaderSize(c, callerReadBytes) }

// requestContext returns the context for a request. It ends when the caller disconnects only if the request is
// repeatable; any other request is run to its end, since it may already have had an effect.
func (c *callerConn) requestContext(repeatable bool) context.Context {
	if repeatable {
		return c.ctx
	}
	return c.gateway.runs
}
