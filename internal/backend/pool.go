// Package backend carries requests to backend servers over pooled connections, one request on a connection at a time.
package backend

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"briarcroft/internal/socket"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("backend").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// ErrNotSent reports that no byte of the request reached the backend server; the request may go to another.
var ErrNotSent = namespace.NewType("not_sent")

// ErrPoolExhausted reports that all connections are in use; no byte was sent, and nothing is said of the backend server.
var ErrPoolExhausted = namespace.NewType("full")

// ErrConnectionBroke reports that the connection broke after the request was handed over; it may have run.
var ErrConnectionBroke = namespace.NewType("broken")

// Times of the pool.
const (
	maxIdleTime = 30 * time.Second
	// defaultRecentUseWindow is how long after its last answer a connection counts as proved alive.
	defaultRecentUseWindow = 100 * time.Millisecond
	// keepAliveMargin is how long before the backend server's own idle timeout a connection is given up.
	keepAliveMargin = time.Second
	// defaultUnackedTimeout is how long a connection may leave bytes unacknowledged.
	defaultUnackedTimeout = 15 * time.Second
	// maxSkippedResponses bounds the answers to other requests that are read past.
	maxSkippedResponses = 3
)

// Config locates one target.
type Config struct {
	Address        string
	MaxConnections int
	DialTimeout    time.Duration
	// RecentUseWindow is how long after its last answer a connection counts as proved alive; zero means the default.
	RecentUseWindow time.Duration
	// UnackedTimeout is how long a connection may leave bytes unacknowledged; zero means the default.
	UnackedTimeout time.Duration
	// MatchResponse reports whether a response belongs to the request; nil accepts all. Others are read and dropped.
	MatchResponse func(*http.Request, *http.Response) bool
	// Dial opens connections; nil means TCP.
	Dial DialFunc
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc = socket.DialFunc

// Pool holds the connections of one entry host to one target.
type Pool struct {
	config         Config
	mu             sync.Mutex
	idle           []*connection
	open           int
	closed         bool
	minConnectTime time.Duration
}

// New returns a pool and the function that closes its idle connections.
func New(c Config) (*Pool, func()) {
	if c.UnackedTimeout == 0 {
		c.UnackedTimeout = defaultUnackedTimeout
	}
	if c.RecentUseWindow == 0 {
		c.RecentUseWindow = defaultRecentUseWindow
	}
	if c.Dial == nil {
		c.Dial = socket.Dialer(socket.Config{Timeout: c.DialTimeout, Silence: c.UnackedTimeout})
	}
	p := &Pool{config: c}
	return p, p.close
}

func (p *Pool) close() {
	p.mu.Lock()
	p.closed = true
	idle := p.removeIdle()
	p.mu.Unlock()
	closeAll(idle)
}

func (p *Pool) removeIdle() []*connection {
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)
	return idle
}

func closeAll(list []*connection) {
	for _, c := range list {
		// Close tells nothing of use on an idle connection.
		_ = c.Conn.Close()
	}
}

// MinConnectTime returns the shortest time that a connection took to open; 0 before the first.
func (p *Pool) MinConnectTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.minConnectTime
}

// Usage is the number of open and of idle connections.
type Usage struct {
	Open int
	Idle int
}

// Usage returns how many connections there are.
func (p *Pool) Usage() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Usage{p.open, len(p.idle)}
}

// CloseIdle closes all idle connections, after one of them went silent.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.removeIdle()
	p.mu.Unlock()
	closeAll(idle)
}

// Options says how a request may use the pool.
type Options struct {
	// RecentlyUsed asks for a connection that answered just now, or a new one.
	RecentlyUsed bool
	// NewConnection asks for a new connection.
	NewConnection bool
}

// Do hands a request over once. Errors are ErrNotSent, ErrFull or ErrBroken.
// The response's body must be closed; the connection is used again when the body was read to its end.
func (p *Pool) Do(r *http.Request, t Options) (*http.Response, error) {
	c, err := p.acquire(r.Context(), t)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(r.Context(), c.interrupt)
	response, err := c.roundTrip(r, p.config.MatchResponse)
	if err != nil {
		stop()
		p.discard(c)
		return nil, ErrConnectionBroke.New("backend server %s broke the connection (%v); the request may have run", p.config.Address, err)
	}
	response.Body = &responseBody{ReadCloser: response.Body, pool: p, connection: c, response: response, stop: stop}
	return response, nil
}

// acquire returns a connection that no other request uses.
func (p *Pool) acquire(ctx context.Context, t Options) (*connection, error) {
	for !t.NewConnection {
		c := p.popIdle(t.RecentlyUsed)
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

// popIdle takes the idle connection that was used last, and closes those idle for too long.
func (p *Pool) popIdle(proven bool) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for len(p.idle) > 0 && now.After(p.idle[0].idleUntil) {
		old := p.idle[0]
		p.idle = p.idle[1:]
		p.open--
		// Close tells nothing of use on an idle connection.
		_ = old.Conn.Close()
	}
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	if now.After(c.idleUntil) || proven && now.Sub(c.lastUsed) > p.config.RecentUseWindow {
		return nil
	}
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

func (p *Pool) dial(ctx context.Context) (*connection, error) {
	p.mu.Lock()
	if p.open >= p.config.MaxConnections || p.closed {
		p.mu.Unlock()
		return nil, ErrPoolExhausted.New("all %d connections to backend server %s are in use; raise Connections in the note", p.config.MaxConnections, p.config.Address)
	}
	p.open++
	p.mu.Unlock()
	start := time.Now()
	dialing, cancel := context.WithTimeout(ctx, p.config.DialTimeout)
	defer cancel()
	raw, err := p.config.Dial(dialing, "tcp", p.config.Address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.open--
		return nil, ErrNotSent.New("backend server %s refused the connection (%v); trying the next target", p.config.Address, err)
	}
	if took := time.Since(start); p.minConnectTime == 0 || took < p.minConnectTime {
		p.minConnectTime = took
	}
	return &connection{Conn: raw}, nil
}

// discard closes a connection that was in use.
func (p *Pool) discard(c *connection) {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
	// The connection is of no more use, whatever Close says.
	_ = c.Conn.Close()
}

// putIdle takes a connection back after a whole answer; keepAlive is the backend server's own idle timeout.
func (p *Pool) putIdle(c *connection, keepAlive time.Duration) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	c.lastUsed = time.Now()
	c.idleUntil = c.lastUsed.Add(keepAlive)
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// responseBody gives the connection back when the answer was read whole.
type responseBody struct {
	io.ReadCloser
	pool       *Pool
	connection *connection
	response   *http.Response
	stop       func() bool
	complete   bool
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
	whole := b.complete || b.response.ContentLength == 0 || b.ReadCloser == http.NoBody
	if whole && !interrupted && !b.response.Close && c.release() {
		b.pool.putIdle(c, idleTimeout(b.response.Header))
		return nil
	}
	b.pool.discard(c)
	return nil
}

// idleTimeout returns how long a connection may be idle under the timeout that the backend server names.
func idleTimeout(header http.Header) time.Duration {
	_, text, found := strings.Cut(header.Get("Keep-Alive"), "timeout=")
	if !found {
		return maxIdleTime
	}
	text, _, _ = strings.Cut(text, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil {
		return maxIdleTime
	}
	return min(maxIdleTime, time.Duration(seconds)*time.Second-keepAliveMargin)
}
