package gateway

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"briarcroft/internal/duty"
)

// Limits of the connections of callers.
const (
	// callerReadBytes and callerWriteBytes are the sizes in bytes of the buffers of a connection.
	callerReadBytes  = 4 << 10
	callerWriteBytes = 8 << 10
	// maxPipelined is how many requests of one connection are in progress at once, those included whose response waits
	// until earlier requests have been answered.
	maxPipelined = 16
	// lingerTime is how long a closing connection is still read, so that a reset does not destroy its last response.
	lingerTime = 500 * time.Millisecond
	// lingerBytes is how many bytes are read and discarded then.
	lingerBytes = 256 << 10
	// stallTimeout is how long one write of a part of a response to a caller may block.
	stallTimeout = 10 * time.Second
	// firstRequestTime is how long a new connection is kept for its first request once the host is closing idle connections.
	firstRequestTime = time.Second
)

// callerWriters pools the write buffers of responses.
var callerWriters = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, callerWriteBytes) }}

// callerConn is the HTTP/1 connection of a caller. Pipelined requests are handled concurrently and answered in order.
type callerConn struct {
	gateway *Gateway
	conn    *limitedConn
	reader  *bufio.Reader
	address string
	// ctx ends when the caller has disconnected or the last request has been answered.
	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex
	// accepted counts the requests that were read, and responded those that were answered.
	accepted, responded int
	// acceptedInStop counts those that were read since a graceful stop began.
	acceptedInStop int
	// closing is set once no further request is accepted.
	closing bool
	// closesWhenIdle is set once the connection is to be closed unless a request is being handled or has arrived.
	closesWhenIdle bool
	// readStopped is set once a request that is still arriving is refused.
	readStopped bool
	// truncated is set once a response was not sent completely; nothing may follow it.
	truncated atomic.Bool
	// lastDone is closed when the last accepted request has been answered, and lastStreamed when the last one has been whose response
	// may be passed on while it is read; nil means none. The latter belongs to the goroutine that reads requests.
	lastDone, lastStreamed chan struct{}
	// progress is guarded by mu.
	progress connProgress
	// pipelineSlots holds one item for each request in progress, up to maxPipelined.
	pipelineSlots chan struct{}
}

// serveCallers accepts and serves connections of callers until the listener is closed.
func (g *Gateway) serveCallers(_ context.Context, l net.Listener) error {
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		serve := (*callerConn).serve
		if !g.makeRoom() {
			serve = (*callerConn).serveOrRefuse
		}
		g.openConns.Add(1)
		go func() {
			defer g.openConns.Add(-1)
			c := newCallerConn(g, conn)
			g.callerConns.Store(c, nil)
			defer g.callerConns.Delete(c)
			if g.closingIdle.Load() {
				c.closeIfIdle()
			}
			c.serveGuarded(serve)
		}()
	}
}

func newCallerConn(g *Gateway, conn net.Conn) *callerConn {
	c := &callerConn{gateway: g, conn: &limitedConn{Conn: conn}, lastDone: make(chan struct{}), pipelineSlots: make(chan struct{}, maxPipelined)}
	c.reader = newReader(c.conn)
	c.ctx, c.cancel = context.WithCancel(g.runs)
	if host, _, err := net.SplitHostPort(conn.RemoteAddr().String()); err == nil {
		c.address = host
	}
	close(c.lastDone)
	c.update(func(*connProgress) {})
	return c
}

// serve reads and handles requests until the caller disconnects or the connection is closing.
func (c *callerConn) serve() {
	var handlers sync.WaitGroup
	for {
		q, rejected := c.nextRequest()
		if q == nil {
			c.reject(rejected)
			break
		}
		done, previous, ok := c.accept(q.closeAfter)
		if !ok {
			q.body.Release()
			break
		}
		c.pipelineSlots <- struct{}{}
		streamed := c.lastStreamed
		if c.gateway.mayStream(q) {
			c.lastStreamed = done
		}
		handlers.Go(func() { c.handle(q, done, previous, streamed) })
		if !c.acceptsMore() {
			break
		}
	}
	c.awaitHandlers(&handlers)
}

// awaitMemory waits until the requests of the connection have been answered if no memory is left, so that no further ones wait
// behind them. It is called once a request has begun to arrive, so that a caller that leaves meanwhile is noticed.
func (c *callerConn) awaitMemory() {
	if !c.gateway.bodies.Full() && !c.gateway.responses.Full() {
		return
	}
	c.mu.Lock()
	lastDone := c.lastDone
	c.mu.Unlock()
	<-lastDone
}

// awaitHandlers waits for the requests that are being handled and closes the connection. If the caller disconnects
// meanwhile, its repeatable requests are canceled.
func (c *callerConn) awaitHandlers(handlers *sync.WaitGroup) {
	_ = c.conn.SetReadDeadline(time.Time{})
	readEnded := make(chan struct{})
	go func() {
		defer close(readEnded)
		defer c.gateway.guard("CallerConnection")
		// The read ends with io.EOF or, after a reset or a time without acknowledgement, with an error of the connection.
		if _, err := io.CopyN(io.Discard, c.conn.Conn, lingerBytes); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.update(func(p *connProgress) { p.left = true })
			c.cancel()
		}
	}()
	handlers.Wait()
	c.cancel()
	_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	<-readEnded
	c.lingeringClose()
}

// lingeringClose closes the connection after the caller had time to read the last response. Closing at once would
// reset the connection if the caller has sent more data.
func (c *callerConn) lingeringClose() {
	c.update(func(p *connProgress) { p.lingering = true })
	defer c.update(func(p *connProgress) { p.closed = true })
	if c.isReclaimed() {
		_ = c.conn.Conn.Close()
		return
	}
	if closer, ok := c.conn.Conn.(interface{ CloseWrite() error }); ok {
		// An error does not matter: the connection is closed completely below.
		_ = closer.CloseWrite()
	}
	end := time.Now().Add(lingerTime)
	_ = c.conn.SetReadDeadline(end)
	if _, err := io.CopyN(io.Discard, c.conn.Conn, lingerBytes); err == nil {
		// The caller goes on sending; it still has to read its last response.
		duty.Sleep(c.gateway.background, time.Until(end))
	}
	_ = c.conn.Conn.Close()
}

// awaitPart registers that a request has begun to arrive, and sets the read deadline for its head or body. From then on until it
// is accepted the connection is not idle. It returns false if the request would not be accepted.
func (c *callerConn) awaitPart(timeout time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.progress.reading = true
	c.countState()
	deadline := time.Now().Add(timeout)
	if c.readStopped {
		deadline = time.Unix(1, 0)
	}
	_ = c.conn.SetReadDeadline(deadline)
	return true
}

// accept registers a request that was read, unless the connection is closing. The request may be answered once
// previous is closed, and done must be closed after that; closeAfter is set if no further request is to be accepted.
func (c *callerConn) accept(closeAfter bool) (done chan struct{}, previous <-chan struct{}, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return nil, nil, false
	}
	if c.gateway.stop.Stopping() {
		c.acceptedInStop++
		// Otherwise the stop would never see the end of a connection on which requests always wait. The caller sends those
		// behind the last accepted one again, because the response to that one closes the connection.
		pipelined := c.accepted > c.responded
		closeAfter = closeAfter || c.closesWhenIdle && pipelined || c.acceptedInStop >= maxPipelined
	}
	c.accepted++
	c.progress.reading, c.progress.reclaimed = false, false
	c.countState()
	c.closing = closeAfter
	done, previous = make(chan struct{}), c.lastDone
	c.lastDone = done
	return done, previous, true
}

// handle handles one request and writes its response after those of the requests before it. Once a response may be broken off that is
// passed on while it is read, nothing behind it is certain to be answered, so the request is not passed on before streamed is closed; nil
// means that there is no such response.
func (c *callerConn) handle(q *request, done chan struct{}, previous, streamed <-chan struct{}) {
	defer func() { <-c.pipelineSlots }()
	defer close(done)
	defer q.body.Release()
	defer c.closeAfterPanic(q, previous)
	if streamed != nil {
		<-streamed
		if c.truncated.Load() {
			<-previous
			c.responseWritten(true)
			return
		}
	}
	x, response := c.respond(q)
	<-previous
	closing := c.isLastResponse()
	sent := c.writeGuarded(q, response, closing)
	if x != nil {
		x.finish(response, sent)
	}
	c.responseWritten(closing || !sent)
}

// isLastResponse reports whether the next response is the last one of the connection, because the connection is closing, or is to
// be closed when it is idle or the host is stopping, and no other request was accepted or has begun to arrive.
func (c *callerConn) isLastResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if (c.gateway.stop.Stopping() || c.closesWhenIdle) && c.accepted == c.responded+1 && !c.progress.reading {
		c.closing = true
	}
	return c.closing && c.accepted == c.responded+1
}

// responseWritten counts a response, and closes the connection to further requests if end is set.
func (c *callerConn) responseWritten(end bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responded++
	c.countState()
	if end {
		c.closing = true
		// A deadline in the past ends the pending read of the next request.
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
		return
	}
	if c.accepted == c.responded && !c.progress.reading {
		_ = c.conn.SetReadDeadline(c.idleDeadline(c.gateway.limits().IdleTimeout))
	}
}

// closeIfIdle closes the connection if no request is being handled on it and none has begun to arrive. A connection that had no
// request yet is kept for a short time, as its caller has opened it for one.
func (c *callerConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closesWhenIdle = true
	if c.accepted == c.responded && !c.progress.reading {
		_ = c.conn.SetReadDeadline(c.idleDeadline(0))
	}
}

// idleDeadline returns the read deadline while no request is being handled or arrives; idle is the usual time. The caller holds
// c.mu.
func (c *callerConn) idleDeadline(idle time.Duration) time.Time {
	switch {
	case c.closesWhenIdle && c.accepted == 0:
		return time.Now().Add(firstRequestTime)
	case c.closesWhenIdle:
		return time.Unix(1, 0)
	}
	return time.Now().Add(idle)
}

// stopReading ends the reading of a request that has not arrived completely, which is then refused, and of a connection without
// one.
func (c *callerConn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readStopped = true
	_ = c.conn.SetReadDeadline(time.Unix(1, 0))
}

// setIdleDeadline sets the read deadline for the next request: idle, or none while one is being handled, whose response sets it.
func (c *callerConn) setIdleDeadline(idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closing:
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	case c.accepted == c.responded:
		_ = c.conn.SetReadDeadline(c.idleDeadline(idle))
	default:
		_ = c.conn.SetReadDeadline(time.Time{})
	}
}

// reject answers a request that could not be read, after the requests before it. A nil rejection means that there is
// nothing to answer.
func (c *callerConn) reject(rejected *rejection) {
	if rejected == nil {
		// The caller has disconnected, or was idle for too long.
		if c.callerDisconnected() {
			c.update(func(p *connProgress) { p.left = true })
			c.cancel()
		}
		return
	}
	done, previous, ok := c.accept(true)
	if !ok {
		return
	}
	defer close(done)
	<-previous
	q := &request{method: http.MethodGet}
	c.writeResponse(q, localResponse(rejected.status, rejected.reason, rejected.retryAfter), true)
	c.gateway.stats.rejected.Add(1)
	c.gateway.requestLog.add(logEntry{at: time.Now().UTC(), outcome: "Rejected", reason: rejected.reason, status: rejected.status, caller: c.address})
}

// callerDisconnected reports whether reading ended because the caller disconnected or was idle for too long, not because
// this host is closing the connection.
func (c *callerConn) callerDisconnected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closing && !c.closesWhenIdle
}

// acceptsMore reports whether a further request is accepted.
func (c *callerConn) acceptsMore() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closing
}
