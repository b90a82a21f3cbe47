package entry

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"briarcroft/internal/claim"
	"briarcroft/internal/socket"
	"briarcroft/internal/steering"
)

// Times of connections at the limit.
const (
	// minReclaimIdle is how long a connection must have been without a request before it is closed to make room.
	minReclaimIdle = 250 * time.Millisecond
	// refusedRetryAfter is the Retry-After time of a request that is refused because of its connection.
	refusedRetryAfter = time.Second
)

// callerConns limits the connections of callers, so that descriptors are left for targets and peers. At the limit it closes the
// connection that has had no request for longest, or else has requests of the new one refused. It is safe for concurrent use.
type callerConns struct {
	limit, refusalSlots int
	mu                  sync.Mutex
	open                map[net.Conn]*callerConn
	// idle holds the connections without a request, those first that have had none for longest.
	idle list.List
	// refused is the number of open connections whose requests are refused.
	refused int
	// closedIdle and refusedTotal count connections since the start.
	closedIdle, refusedTotal int64
}

// callerConn is one connection of a caller.
type callerConn struct {
	net.Conn
	refused bool
	// position is that in callerConns.idle; nil means none. since is when the connection was added there.
	position *list.Element
	since    time.Time
}

// refusedConn is the key of a context of requests on a connection that are refused.
type refusedConn struct{}

func newCallerConns(descriptors int) *callerConns {
	return &callerConns{limit: socket.CallerLimit(descriptors, 0), refusalSlots: socket.RefusalSlots(descriptors), open: map[net.Conn]*callerConn{}}
}

// add counts a new connection; it is http.Server.ConnContext.
func (c *callerConns) add(ctx context.Context, conn net.Conn) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := &callerConn{Conn: conn, refused: len(c.open)-c.refused >= c.limit && !c.closeIdle()}
	c.open[conn] = entry
	if !entry.refused {
		return ctx
	}
	c.refused++
	c.refusedTotal++
	return context.WithValue(ctx, refusedConn{}, true)
}

// setState records the state of a connection; it is http.Server.ConnState.
func (c *callerConns) setState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := c.open[conn]
	if entry == nil {
		return
	}
	if entry.position != nil {
		c.idle.Remove(entry.position)
		entry.position = nil
	}
	switch state {
	case http.StateNew, http.StateIdle:
		entry.position, entry.since = c.idle.PushBack(entry), time.Now()
	case http.StateClosed, http.StateHijacked:
		c.remove(entry)
	}
}

// remove removes a connection; the caller holds c.mu.
func (c *callerConns) remove(entry *callerConn) {
	delete(c.open, entry.Conn)
	if entry.refused {
		c.refused--
	}
}

// closeIdle closes the connection that has had no request for longest, and none has arrived on. It returns false if there is none.
// The caller holds c.mu.
func (c *callerConns) closeIdle() bool {
	for c.idle.Len() > 0 {
		entry := c.idle.Front().Value.(*callerConn)
		if time.Since(entry.since) < minReclaimIdle {
			return false
		}
		c.idle.Remove(entry.position)
		entry.position = nil
		if socket.HasArrived(entry.Conn) {
			continue
		}
		c.remove(entry)
		c.closedIdle++
		// Nothing is lost on a connection without a request, so an error makes no difference.
		_ = entry.Conn.Close()
		return true
	}
	return false
}

// hasSlot reports whether one more connection may be accepted, be it only to refuse its requests.
func (c *callerConns) hasSlot() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open) < c.limit+c.refusalSlots || c.closeIdle()
}

// ConnectionStatus shows the connections of callers: how many are open and may be, and how many have been closed or refused at the
// limit since the start of the host.
type ConnectionStatus struct {
	Open, Limit         int
	ClosedIdle, Refused int64
}

func (c *callerConns) status() ConnectionStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ConnectionStatus{len(c.open), c.limit, c.closedIdle, c.refusedTotal}
}

// tooManyConnections is the refusal of requests on a connection for which there was no room.
func tooManyConnections() *steering.Refusal {
	return &steering.Refusal{Status: http.StatusServiceUnavailable, Outcome: claim.NotRun, Reason: "TooManyConnections", RetryAfter: refusedRetryAfter}
}
