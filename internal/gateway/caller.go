package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Sizes and times of callers' connections.
const (
	callerReadBytes  = 4 << 10
	callerWriteBytes = 8 << 10
	// maxPipelined is how many requests a caller may send before the first is answered.
	maxPipelined = 16
	// lingerTime is how long a closing connection is read from, so that its last answer isn't lost to a reset.
	lingerTime = 500 * time.Millisecond
	// stallTimeout is how long a caller may take no byte of an answer.
	stallTimeout = 10 * time.Second
	// busyReadTimeout is the deadline of a connection with a request under way.
	busyReadTimeout = 10 * time.Minute
)

var callerWriters = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, callerWriteBytes) }}

// callerConn is one caller's connection. Requests sent ahead are worked on at once and answered in order.
type callerConn struct {
	gateway *Gateway
	conn    *limitedConn
	reader  *bufio.Reader
	address string
	// ctx ends when the caller has gone.
	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex
	// accepted and answered count requests; closing is set once no further one is taken.
	accepted, responded int
	closing             bool
	// lastTurn is closed when the request before the next one has been answered.
	lastTurn      chan struct{}
	pipelineSlots chan struct{}
}

// serveCallers takes connections of callers.
func (g *Gateway) serveCallers(_ context.Context, l net.Listener) error {
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		g.openConns.Add(1)
		go func() {
			defer g.openConns.Add(-1)
			c := newCallerConn(g, conn)
			g.callerConns.Store(c, nil)
			defer g.callerConns.Delete(c)
			c.serve()
		}()
	}
}

func newCallerConn(g *Gateway, conn net.Conn) *callerConn {
	c := &callerConn{gateway: g, conn: &limitedConn{Conn: conn}, lastTurn: make(chan struct{}), pipelineSlots: make(chan struct{}, maxPipelined)}
	c.reader = newReader(c.conn)
	c.ctx, c.cancel = context.WithCancel(g.background)
	if host, _, err := net.SplitHostPort(conn.RemoteAddr().String()); err == nil {
		c.address = host
	}
	close(c.lastTurn)
	return c
}

// serve reads requests until the caller goes or the connection is to close.
func (c *callerConn) serve() {
	var handlers sync.WaitGroup
	for {
		q, bad := c.readRequest()
		if q == nil {
			c.reject(bad)
			break
		}
		done, previous, ok := c.accept(q.closeAfter)
		if !ok {
			q.release()
			break
		}
		c.pipelineSlots <- struct{}{}
		handlers.Go(func() { c.handle(q, done, previous) })
		if q.closeAfter {
			break
		}
	}
	c.awaitHandlers(&handlers)
}

// awaitHandlers lets requests under way finish; a caller that leaves meanwhile ends those that may be given up.
func (c *callerConn) awaitHandlers(handlers *sync.WaitGroup) {
	callerLeft := make(chan struct{})
	go func() {
		defer close(callerLeft)
		if _, err := io.Copy(io.Discard, c.conn.Conn); err == nil {
			c.cancel()
		}
	}()
	handlers.Wait()
	c.cancel()
	_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	<-callerLeft
	c.lingeringClose()
}

// lingeringClose closes the connection once the caller had time to read its last answer: closing at once would reset it
// when the caller has sent more.
func (c *callerConn) lingeringClose() {
	if closer, ok := c.conn.Conn.(interface{ CloseWrite() error }); ok {
		// The connection is closed for good below.
		_ = closer.CloseWrite()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, c.conn.Conn)
	_ = c.conn.Conn.Close()
}

// accept accepts a request unless the connection is closing; mine is to be closed once it is answered, after previous.
func (c *callerConn) accept(last bool) (done chan struct{}, previous <-chan struct{}, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return nil, nil, false
	}
	c.accepted++
	c.closing = last
	done, previous = make(chan struct{}), c.lastTurn
	c.lastTurn = done
	return done, previous, true
}

// handle answers one request in its turn.
func (c *callerConn) handle(q *request, done chan struct{}, previous <-chan struct{}) {
	defer func() { <-c.pipelineSlots }()
	defer close(done)
	defer q.release()
	x := newExchange(c, q)
	response := x.run()
	<-previous
	closing := c.isLastResponse()
	sent := c.writeResponse(q, response, closing)
	x.finish(response, sent)
	c.responseWritten(closing || !sent)
}

// isLastResponse reports whether the next answer is the connection's last: the host stops and nothing else is under way.
func (c *callerConn) isLastResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gateway.stopping.Load() && c.accepted == c.responded+1 {
		c.closing = true
	}
	return c.closing && c.accepted == c.responded+1
}

func (c *callerConn) responseWritten(end bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responded++
	if end {
		c.closing = true
		// The reader wakes up and finds the connection closing.
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
		return
	}
	if c.accepted == c.responded {
		_ = c.conn.SetReadDeadline(time.Now().Add(c.gateway.limits().IdleTimeout))
	}
}

// closeIfIdle ends the connection when nothing is under way on it.
func (c *callerConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.accepted == c.responded {
		c.closing = true
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// setIdleDeadline bounds the wait for the next request, unless one is under way.
func (c *callerConn) setIdleDeadline(idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closing:
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	case c.accepted == c.responded:
		_ = c.conn.SetReadDeadline(time.Now().Add(idle))
	default:
		_ = c.conn.SetReadDeadline(time.Now().Add(busyReadTimeout))
	}
}

// reject answers what was no proper request, after those before it.
func (c *callerConn) reject(bad *rejection) {
	if bad == nil {
		// The caller has gone, or was idle for too long.
		if c.callerLeft() {
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
	c.writeResponse(q, localResponse(bad.status, bad.reason, bad.retryAfter), true)
	c.gateway.stats.rejected.Add(1)
}

// callerLeft reports whether the reader ended because the caller left, not because the connection is closing.
func (c *callerConn) callerLeft() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closing
}
