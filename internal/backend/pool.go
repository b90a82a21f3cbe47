// Package backend implements an HTTP/1.1 connection pool to one backend server. Unlike http.Transport it never sends a
// request twice, and its errors say whether the backend server may have received the request.
package backend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"briarcroft/internal/message"
	"briarcroft/internal/socket"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("backend").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// ErrNotSent reports that no connection could be opened, so no byte of the request was sent and another target may run it.
var ErrNotSent = namespace.NewType("not_sent")

// ErrPoolExhausted reports that all connections are in use, or that the pool is closed. No byte was sent, and the
// backend server is not at fault.
var ErrPoolExhausted = namespace.NewType("full")

// ErrNoDescriptor reports that this host has no descriptor left for a connection. It says nothing of the backend server.
var ErrNoDescriptor = ErrPoolExhausted.NewSubtype("no_descriptor")

// ErrConnectionBroke reports that the connection broke after sending began; the backend server may have run the request.
var ErrConnectionBroke = namespace.NewType("broken")

// ErrUnidentifiedResponse is an ErrConnectionBroke: the response had no ID, so it does not show what became of the request.
var ErrUnidentifiedResponse = ErrConnectionBroke.NewSubtype("unidentified")

// ErrResponseTooLarge is an ErrConnectionBroke: the backend server sent more bytes than the header of a response, or the
// responses that are skipped before it, may have. It may go on without end, so the connection was closed.
var ErrResponseTooLarge = ErrConnectionBroke.NewSubtype("too_large")

// ErrInvalidResponse is an ErrConnectionBroke: the backend server sent a head that no response may have, so it is not certain what it has
// sent. InvalidReason returns the reason.
var ErrInvalidResponse = ErrConnectionBroke.NewSubtype("invalid_response")

// reasonProperty is the property of an ErrInvalidResponse with its reason.
var reasonProperty = errorx.RegisterProperty("reason")

// InvalidReason returns the name of the problem of an ErrInvalidResponse, or an empty string for any other error.
func InvalidReason(err error) string {
	if !errorx.IsOfType(err, ErrInvalidResponse) {
		return ""
	}
	reason, _ := errorx.Cast(err).Property(reasonProperty)
	return reason.(string)
}

const (
	// maxIdleTime is how long an idle connection may be reused.
	maxIdleTime = 30 * time.Second
	// defaultRecentUseWindow is the default of Config.RecentUseWindow.
	defaultRecentUseWindow = 100 * time.Millisecond
	// keepAliveMargin is how long before the backend server's own idle timeout a connection is no longer reused, so that
	// no request is sent while the backend server closes it.
	keepAliveMargin = time.Second
	// defaultUnackedTimeout is the default of Config.UnackedTimeout.
	defaultUnackedTimeout = 15 * time.Second
	// maxSkippedResponses is the number of skipped responses, informational ones included, after which a request fails and
	// its connection is closed.
	maxSkippedResponses = 3
)

// Config configures a Pool.
type Config struct {
	// Address is the host and port of the backend server.
	Address string
	// MaxConnections is the maximum number of open connections, idle ones included.
	MaxConnections int
	// DialTimeout is the time limit for opening a connection.
	DialTimeout time.Duration
	// RecentUseWindow is how long after its last response a connection counts as recently used, and so most probably still
	// open at the backend server; zero means 100 ms.
	RecentUseWindow time.Duration
	// UnackedTimeout is how long sent data may remain unacknowledged before a connection is closed; zero means 15 s.
	// It has no effect if Dial is set.
	UnackedTimeout time.Duration
	// ID returns the ID in the header of a request or a response, or an empty string if it has none. Only a response with the ID
	// of its request counts; a request without one gets a connection of its own. Nil means that requests have no IDs, and each
	// response counts as one to the last request.
	ID func(http.Header) string
	// Dial opens connections; nil means TCP.
	Dial DialFunc
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc = socket.DialFunc

// Pool holds the connections of one entry host to one target, that is, one backend server of a service.
// It is safe for concurrent use.
type Pool struct {
	config Config
	mu     sync.Mutex
	// idle holds the connections without a request, the most recently used one last.
	idle []*connection
	// open is the number of open connections, including idle ones and those being opened.
	open int
	// idleLimit is the number of idle connections that are kept, and idleTime for how long; below 0, there is no limit.
	idleLimit      int
	idleTime       time.Duration
	closed         bool
	minConnectTime time.Duration
}

// New returns a pool and a function that closes it: idle connections at once, others at the end of their request.
func New(c Config) (*Pool, func()) {
	if c.UnackedTimeout == 0 {
		c.UnackedTimeout = defaultUnackedTimeout
	}
	if c.RecentUseWindow == 0 {
		c.RecentUseWindow = defaultRecentUseWindow
	}
	if c.Dial == nil {
		c.Dial = socket.NewDialFunc(socket.Config{Timeout: c.DialTimeout, UnackedTimeout: c.UnackedTimeout})
	}
	p := &Pool{config: c, idleLimit: -1}
	return p, p.close
}

func (p *Pool) close() {
	p.mu.Lock()
	p.closed = true
	idle := p.removeIdle()
	p.mu.Unlock()
	closeAll(idle)
}

// removeIdle removes all idle connections from the pool; the caller must hold p.mu and close them.
func (p *Pool) removeIdle() []*connection {
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)
	return idle
}

func closeAll(connections []*connection) {
	for _, c := range connections {
		// No data is lost on an idle connection, so an error makes no difference.
		_ = c.Conn.Close()
	}
}

// MinConnectTime returns the shortest time that opening a connection took, which approximates the network round-trip
// time. It returns 0 before the first connection.
func (p *Pool) MinConnectTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.minConnectTime
}

// Usage is the number of connections of a Pool.
type Usage struct {
	// Open includes idle connections.
	Open int
	Idle int
}

// Usage returns the current number of connections.
func (p *Pool) Usage() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Usage{p.open, len(p.idle)}
}

// LimitIdle sets how many idle connections are kept and for how long, and closes the others, those first that have been idle for
// longest. A limit below 0 means that there is none; then idle connections are closed only when a request needs one.
func (p *Pool) LimitIdle(limit int, idleTime time.Duration) {
	p.mu.Lock()
	p.idleLimit, p.idleTime = limit, idleTime
	surplus := p.removeSurplus(time.Now())
	p.mu.Unlock()
	closeAll(surplus)
}

// removeSurplus removes the connections that LimitIdle does not allow to keep; the caller must hold p.mu and close them.
func (p *Pool) removeSurplus(now time.Time) []*connection {
	if p.idleLimit < 0 {
		return nil
	}
	count := 0
	for ; count < len(p.idle); count++ {
		c := p.idle[count]
		if !now.After(c.idleUntil) && now.Sub(c.lastUsed) <= p.idleTime && len(p.idle)-count <= p.idleLimit {
			break
		}
	}
	surplus := p.idle[:count:count]
	p.idle = p.idle[count:]
	p.open -= count
	return surplus
}

// CloseIdle closes all idle connections. It is called after a request on one connection got no response for unusually
// long, since the others may be broken too.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.removeIdle()
	p.mu.Unlock()
	closeAll(idle)
}

// Options restricts the connections that a request may use.
type Options struct {
	// Once is set for requests that must not be sent twice, since their outcome would be unknown if the connection broke. They
	// use only a new connection or one that carried a response within Config.RecentUseWindow, and skip responses without an ID.
	Once bool
	// NewConnection allows only a new connection.
	NewConnection bool
}

// Do sends a request once. Errors are of type ErrNotSent, ErrPoolExhausted, its subtype ErrNoDescriptor or ErrConnectionBroke.
// The caller must close the response's body; the connection is reused if the body was read to its end.
func (p *Pool) Do(r *http.Request, o Options) (*http.Response, error) {
	e := expected{idOf: p.config.ID, once: o.Once}
	if e.idOf != nil {
		e.id = e.idOf(r.Header)
		e.alone = e.id == ""
	}
	c, err := p.acquire(r.Context(), o, e)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(r.Context(), c.interrupt)
	response, err := c.roundTrip(r, e)
	if err != nil {
		stop()
		p.discard(c)
		switch {
		case c.exceeded:
			return nil, ErrResponseTooLarge.New("backend server %s sent more bytes than a response may have; its connection was closed and the request may have run", p.config.Address)
		case errors.Is(err, errUnidentified):
			return nil, ErrUnidentifiedResponse.New("backend server %s sent a response without the ID of the request, which may have run", p.config.Address)
		}
		if invalid := (*message.ResponseError)(nil); errors.As(err, &invalid) {
			return nil, ErrInvalidResponse.New("backend server %s sent no valid response (%s); its connection was closed and the request may have run", p.config.Address, invalid.Reason).
				WithProperty(reasonProperty, invalid.Reason)
		}
		return nil, ErrConnectionBroke.New("backend server %s broke the connection (%v); the request may have run", p.config.Address, err)
	}
	response.Body = &responseBody{ReadCloser: response.Body, pool: p, connection: c, response: response, stop: stop, alone: e.alone}
	return response, nil
}

// Connect checks whether the backend server's host is reached: it opens a connection, which the next request can use if no other
// is idle. Unlike a response, the handshake needs nothing of the server, which may be busy. Errors are ErrNotSent or
// ErrPoolExhausted.
func (p *Pool) Connect(ctx context.Context) error {
	c, err := p.dial(ctx)
	if err != nil {
		return err
	}
	if p.Usage().Idle > 0 {
		p.discard(c)
		return nil
	}
	p.putIdle(c, maxIdleTime)
	return nil
}

// acquire returns an idle connection that the request may use, or opens a new one.
func (p *Pool) acquire(ctx context.Context, o Options, e expected) (*connection, error) {
	for !o.NewConnection && !e.alone {
		c := p.popIdle(o.Once, e.id)
		if c == nil {
			break
		}
		if !socket.Stale(c.Conn) {
			return c, nil
		}
		p.discard(c)
	}
	return p.dial(ctx)
}

// popIdle removes and returns the most recently used idle connection that has not carried a request with the ID, or nil if
// there is none that may be used. It closes connections that have been idle for too long.
func (p *Pool) popIdle(once bool, id string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for len(p.idle) > 0 && now.After(p.idle[0].idleUntil) {
		old := p.idle[0]
		p.idle = p.idle[1:]
		p.open--
		// No data is lost on an idle connection, so an error makes no difference.
		_ = old.Conn.Close()
	}
	for i, c := range slices.Backward(p.idle) {
		if now.After(c.idleUntil) || once && now.Sub(c.lastUsed) > p.config.RecentUseWindow {
			return nil
		}
		if !c.carried(id) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

// dial opens a connection unless the pool is closed or the maximum of connections carry a request. An idle connection, which the
// request may not use, makes room for it.
func (p *Pool) dial(ctx context.Context) (*connection, error) {
	p.mu.Lock()
	if p.open >= p.config.MaxConnections && len(p.idle) > 0 {
		oldest := p.idle[0]
		p.idle = p.idle[1:]
		p.open--
		// No data is lost on an idle connection, so an error makes no difference.
		_ = oldest.Conn.Close()
	}
	if p.open >= p.config.MaxConnections || p.closed {
		p.mu.Unlock()
		return nil, ErrPoolExhausted.New("all %d connections to backend server %s are in use; raise Connections in the note", p.config.MaxConnections, p.config.Address)
	}
	p.open++
	p.mu.Unlock()
	start := time.Now()
	dialCtx, cancel := context.WithTimeout(ctx, p.config.DialTimeout)
	defer cancel()
	conn, err := p.config.Dial(dialCtx, "tcp", p.config.Address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.open--
		if socket.IsOutOfDescriptors(err) {
			return nil, ErrNoDescriptor.New("no descriptor for a connection to backend server %s (%v); raise the limit of open files", p.config.Address, err)
		}
		return nil, ErrNotSent.New("connecting to backend server %s failed (%v); trying the next target", p.config.Address, err)
	}
	if elapsed := time.Since(start); p.minConnectTime == 0 || elapsed < p.minConnectTime {
		p.minConnectTime = elapsed
	}
	return &connection{Conn: conn}, nil
}

// discard closes a connection that is not idle.
func (p *Pool) discard(c *connection) {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
	// The connection is not used any more, so an error makes no difference.
	_ = c.Conn.Close()
}

// putIdle returns a connection to the pool after a complete response; it may be idle for up to maxIdle.
func (p *Pool) putIdle(c *connection, maxIdle time.Duration) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	c.lastUsed = time.Now()
	c.idleUntil = c.lastUsed.Add(maxIdle)
	p.idle = append(p.idle, c)
	surplus := p.removeSurplus(c.lastUsed)
	p.mu.Unlock()
	closeAll(surplus)
}

// responseBody is the body of a response; closing it returns the connection to the pool if the body was read completely.
type responseBody struct {
	io.ReadCloser
	pool       *Pool
	connection *connection
	response   *http.Response
	// stop detaches the connection from the request's context; it returns false if the connection was interrupted.
	stop func() bool
	// complete is set when the end of the body was read.
	complete bool
	// alone is set if the connection carries no further request.
	alone bool
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.complete = b.complete || err == io.EOF
	return n, err
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	c := b.connection
	if c == nil {
		return nil
	}
	b.connection = nil
	interrupted := !b.stop()
	complete := b.complete || b.response.ContentLength == 0 || b.ReadCloser == http.NoBody
	if complete && !interrupted && !b.response.Close && !b.alone && c.release() {
		b.pool.putIdle(c, idleTimeout(b.response.Header))
		return nil
	}
	b.pool.discard(c)
	return nil
}

// idleTimeout returns how long a connection may be idle, which the Keep-Alive field of a response header can shorten.
func idleTimeout(header http.Header) time.Duration {
	_, value, found := strings.Cut(header.Get("Keep-Alive"), "timeout=")
	if !found {
		return maxIdleTime
	}
	value, _, _ = strings.Cut(value, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(value))
	if err != nil {
		return maxIdleTime
	}
	return time.Duration(max(0, min(seconds, int(maxIdleTime/time.Second)+1)))*time.Second - keepAliveMargin
}
