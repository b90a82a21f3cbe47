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
	// mostAhead is how many requests a caller may send before the first is answered.
	mostAhead = 16
	// lingerTime is how long a closing connection is read from, so that its last answer isn't lost to a reset.
	lingerTime = 500 * time.Millisecond
	// stallTimeout is how long a caller may take no byte of an answer.
	stallTimeout = 10 * time.Second
	// neverIdle is the deadline of a connection with a request under way.
	neverIdle = 10 * time.Minute
)

var callerWriters = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, callerWriteBytes) }}

// callerConn is one caller's connection. Requests sent ahead are worked on at once and answered in order.
type callerConn struct {
	gateway *Gateway
	metered *meteredReader
	reader  *bufio.Reader
	address string
	// ctx ends when the caller has gone.
	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex
	// taken and answered count requests; closing is set once no further one is taken.
	taken, answered int
	closing         bool
	// turn is closed when the request before the next one has been answered.
	turn  chan struct{}
	ahead chan struct{}
}

// serveCallers takes connections of callers.
func (g *Gateway) serveCallers(_ context.Context, l net.Listener) error {
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		g.open.Add(1)
		go func() {
			defer g.open.Add(-1)
			c := newCallerConn(g, conn)
			g.conns.Store(c, nil)
			defer g.conns.Delete(c)
			c.serve()
		}()
	}
}

func newCallerConn(g *Gateway, conn net.Conn) *callerConn {
	c := &callerConn{gateway: g, metered: &meteredReader{Conn: conn}, turn: make(chan struct{}), ahead: make(chan struct{}, mostAhead)}
	c.reader = newReader(c.metered)
	c.ctx, c.cancel = context.WithCancel(g.background)
	if host, _, err := net.SplitHostPort(conn.RemoteAddr().String()); err == nil {
		c.address = host
	}
	close(c.turn)
	return c
}

// serve reads requests until the caller goes or the connection is to close.
func (c *callerConn) serve() {
	var working sync.WaitGroup
	for {
		q, bad := c.readRequest()
		if q == nil {
			c.reject(bad)
			break
		}
		mine, previous, taken := c.take(q.last)
		if !taken {
			q.release()
			break
		}
		c.ahead <- struct{}{}
		working.Go(func() { c.work(q, mine, previous) })
		if q.last {
			break
		}
	}
	c.awaitEnd(&working)
}

// awaitEnd lets requests under way finish; a caller that leaves meanwhile ends those that may be given up.
func (c *callerConn) awaitEnd(working *sync.WaitGroup) {
	left := make(chan struct{})
	go func() {
		defer close(left)
		if _, err := io.Copy(io.Discard, c.metered.Conn); err == nil {
			c.cancel()
		}
	}()
	working.Wait()
	c.cancel()
	_ = c.metered.SetReadDeadline(time.Unix(1, 0))
	<-left
	c.linger()
}

// linger closes the connection once the caller had time to read its last answer: closing at once would reset it
// when the caller has sent more.
func (c *callerConn) linger() {
	if half, can := c.metered.Conn.(interface{ CloseWrite() error }); can {
		// The connection is closed for good below.
		_ = half.CloseWrite()
	}
	_ = c.metered.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, c.metered.Conn)
	_ = c.metered.Conn.Close()
}

// take accepts a request unless the connection is closing; mine is to be closed once it is answered, after previous.
func (c *callerConn) take(last bool) (mine chan struct{}, previous <-chan struct{}, taken bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return nil, nil, false
	}
	c.taken++
	c.closing = last
	mine, previous = make(chan struct{}), c.turn
	c.turn = mine
	return mine, previous, true
}

// work answers one request in its turn.
func (c *callerConn) work(q *request, mine chan struct{}, previous <-chan struct{}) {
	defer func() { <-c.ahead }()
	defer close(mine)
	defer q.release()
	x := newExchange(c, q)
	a := x.run()
	<-previous
	closing := c.answering()
	sent := c.write(q, a, closing)
	x.finish(a, sent)
	c.answeredOne(closing || !sent)
}

// answering reports whether the next answer is the connection's last: the host stops and nothing else is under way.
func (c *callerConn) answering() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gateway.stopping.Load() && c.taken == c.answered+1 {
		c.closing = true
	}
	return c.closing && c.taken == c.answered+1
}

func (c *callerConn) answeredOne(end bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered++
	if end {
		c.closing = true
		// The reader wakes up and finds the connection closing.
		_ = c.metered.SetReadDeadline(time.Unix(1, 0))
		return
	}
	if c.taken == c.answered {
		_ = c.metered.SetReadDeadline(time.Now().Add(c.gateway.limits().IdleTimeout))
	}
}

// closeIfIdle ends the connection when nothing is under way on it.
func (c *callerConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.taken == c.answered {
		c.closing = true
		_ = c.metered.SetReadDeadline(time.Unix(1, 0))
	}
}

// setIdleDeadline bounds the wait for the next request, unless one is under way.
func (c *callerConn) setIdleDeadline(idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closing:
		_ = c.metered.SetReadDeadline(time.Unix(1, 0))
	case c.taken == c.answered:
		_ = c.metered.SetReadDeadline(time.Now().Add(idle))
	default:
		_ = c.metered.SetReadDeadline(time.Now().Add(neverIdle))
	}
}

// reject answers what was no proper request, after those before it.
func (c *callerConn) reject(bad *rejection) {
	if bad == nil {
		// The caller has gone, or was idle for too long.
		if c.gone() {
			c.cancel()
		}
		return
	}
	mine, previous, taken := c.take(true)
	if !taken {
		return
	}
	defer close(mine)
	<-previous
	q := &request{method: http.MethodGet}
	c.write(q, own(bad.status, bad.reason, bad.retryAfter), true)
	c.gateway.stats.rejected.Add(1)
}

// gone reports whether the reader ended because the caller left, not because the connection is closing.
func (c *callerConn) gone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closing
}
