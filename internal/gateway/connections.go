package gateway

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"briarcroft/internal/socket"
)

// connState is the state of a caller's connection.
type connState int

const (
	// connUnused: no request has arrived yet.
	connUnused connState = iota
	// connReading: a request has arrived in part, and none is in progress.
	connReading
	// connBusy: a request is in progress, or waits for a target.
	connBusy
	// connLeft: the same, but the caller has closed its side.
	connLeft
	// connIdle: all requests have been answered.
	connIdle
	// connClosing: no request is accepted any more, and the caller is given time to read the last response.
	connClosing
	connStates
)

// connections counts the open connections of this host. It is safe for concurrent use.
type connections struct {
	mu sync.Mutex
	// callers is the number of callers' connections by state.
	callers [connStates]int
	// idle holds the callers' connections that are unused or idle, and closing those that are closing, those first that have been so
	// for longest.
	idle, closing list.List
	// refusing counts the callers' connections that wait for a refusal.
	refusing atomic.Int64
	// limit is the number of callers' connections that requests are accepted from; limitedAt is when it was computed, and belongs to
	// the goroutine that accepts connections.
	limit     atomic.Int64
	limitedAt time.Duration
	// fromPeers counts the connections that peers have opened, and pages those to the host's own pages.
	fromPeers, pages atomic.Int64
}

// connectionCounts is the number of open connections of a host as the metrics show it: those of callers by state, those that carry
// a request to targets and those that are idle, and those to and from peers and to the host's own pages.
type connectionCounts struct {
	Unused, Reading, Busy, CallerLeft, Idle, Closing int
	TargetsBusy, TargetsIdle                         int
	ToPeers, FromPeers, Pages                        int
}

// connectionCounts returns the present counts.
func (g *Gateway) connectionCounts() connectionCounts {
	t := &g.connections
	t.mu.Lock()
	callers := t.callers
	t.mu.Unlock()
	targets := g.pools.usage()
	return connectionCounts{
		Unused: callers[connUnused], Reading: callers[connReading], Busy: callers[connBusy], CallerLeft: callers[connLeft],
		Idle: callers[connIdle], Closing: callers[connClosing], TargetsBusy: targets.Open - targets.Idle, TargetsIdle: targets.Idle,
		ToPeers: g.client.OpenConnections(), FromPeers: int(t.fromPeers.Load()), Pages: int(t.pages.Load()),
	}
}

// descriptorCounts is the number of open descriptors of the process, their limit and that of callers' connections, which follows
// from it. Zero means not known.
type descriptorCounts struct{ Open, Limit, Callers int }

func (g *Gateway) descriptorCounts() descriptorCounts {
	return descriptorCounts{Open: socket.OpenDescriptors(), Limit: g.descriptors, Callers: int(g.connections.limit.Load())}
}

// connProgress is what determines the state of a caller's connection, besides the numbers of its requests. It is guarded by the
// connection's mutex.
type connProgress struct {
	state connState
	// open is set while the connection is counted.
	open bool
	// reading is set while a request has arrived in part, left once the caller has closed its side, lingering once no request is
	// accepted any more, and closed at the end.
	reading, left, lingering, closed bool
	// reclaimed is set if the connection is closed to make room and carries no request.
	reclaimed bool
	// queue is the list of connections that holds the connection, at position; nil means none. They are guarded by connections.mu.
	queue    *list.List
	position *list.Element
	// since is when it was added there.
	since time.Duration
}

// update changes what determines the connection's state and counts the connection accordingly.
func (c *callerConn) update(change func(*connProgress)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.progress)
	c.countState()
}

// countState counts the connection by its present state; the caller holds c.mu.
func (c *callerConn) countState() {
	p, t := &c.progress, &c.gateway.connections
	state := c.state()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(p)
	if p.open {
		t.callers[p.state]--
	}
	p.open = state < connStates
	p.state = state
	if !p.open {
		return
	}
	t.callers[state]++
	switch state {
	case connUnused, connIdle:
		p.queue = &t.idle
	case connClosing:
		p.queue = &t.closing
	default:
		return
	}
	p.position, p.since = p.queue.PushBack(c), c.gateway.now()
}

// remove removes a connection from its list; the caller holds t.mu.
func (t *connections) remove(p *connProgress) {
	if p.position != nil {
		p.queue.Remove(p.position)
		p.queue, p.position = nil, nil
	}
}

// pop removes the first connection from a list and returns it, or nil if there is none that has been there since a time.
func (t *connections) pop(queue *list.List, since time.Duration) *callerConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	if queue.Len() == 0 {
		return nil
	}
	c := queue.Front().Value.(*callerConn)
	if c.progress.since > since {
		return nil
	}
	t.remove(&c.progress)
	return c
}

// state returns the connection's state, or connStates once it is closed; the caller holds c.mu.
func (c *callerConn) state() connState {
	switch p := &c.progress; {
	case p.closed:
		return connStates
	case p.lingering:
		return connClosing
	case c.accepted > c.responded && p.left:
		return connLeft
	case c.accepted > c.responded:
		return connBusy
	case p.reading:
		return connReading
	case c.accepted == 0:
		return connUnused
	}
	return connIdle
}

// countedListener counts the open connections that it has accepted.
type countedListener struct {
	net.Listener
	open *atomic.Int64
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.open.Add(1)
	return &countedConn{Conn: conn, open: l.open}, nil
}

// countedConn is a connection of a countedListener.
type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
