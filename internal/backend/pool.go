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

// ErrFull reports that all connections are in use; no byte was sent, and nothing is said of the backend server.
var ErrFull = namespace.NewType("full")

// ErrBroken reports that the connection broke after the request was handed over; it may have run.
var ErrBroken = namespace.NewType("broken")

// Times of the pool.
const (
	idleTime = 30 * time.Second
	// proofTime is how long after its last answer a connection counts as proved alive.
	proofTime = 100 * time.Millisecond
	// keepAliveMargin is how long before the backend server's own idle timeout a connection is given up.
	keepAliveMargin = time.Second
	// silenceTime is how long a connection may leave bytes unacknowledged.
	silenceTime = 15 * time.Second
	// mostSkipped bounds the answers to other requests that are read past.
	mostSkipped = 3
)

// Config locates one target.
type Config struct {
	Address        string
	MaxConnections int
	DialTimeout    time.Duration
	// ProofTime is how long after its last answer a connection counts as proved alive; zero means the default.
	ProofTime time.Duration
	// Silence is how long a connection may leave bytes unacknowledged; zero means the default.
	Silence time.Duration
	// Answers reports whether a response belongs to the request; nil accepts all. Others are read and dropped.
	Answers func(*http.Request, *http.Response) bool
	// Dial opens connections; nil means TCP.
	Dial DialFunc
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc = socket.DialFunc

// Pool holds the connections of one entry host to one target.
type Pool struct {
	config Config
	mu     sync.Mutex
	idle   []*connection
	open   int
	closed bool
	trip   time.Duration
}

// New returns a pool and the function that closes its idle connections.
func New(c Config) (*Pool, func()) {
	if c.Silence == 0 {
		c.Silence = silenceTime
	}
	if c.ProofTime == 0 {
		c.ProofTime = proofTime
	}
	if c.Dial == nil {
		c.Dial = socket.NewDialFunc(socket.Config{Timeout: c.DialTimeout, UnackedTimeout: c.Silence})
	}
	p := &Pool{config: c}
	return p, p.close
}

func (p *Pool) close() {
	p.mu.Lock()
	p.closed = true
	idle := p.takeIdle()
	p.mu.Unlock()
	closeAll(idle)
}

func (p *Pool) takeIdle() []*connection {
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

// RoundTrip returns the shortest time that a connection took to open; 0 before the first.
func (p *Pool) RoundTrip() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.trip
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

// Suspect closes all idle connections, after one of them went silent.
func (p *Pool) Suspect() {
	p.mu.Lock()
	idle := p.takeIdle()
	p.mu.Unlock()
	closeAll(idle)
}

// Try says how a request may use the pool.
type Try struct {
	// Proven asks for a connection that answered just now, or a new one.
	Proven bool
	// Fresh asks for a new connection.
	Fresh bool
}

// Do hands a request over once. Errors are ErrNotSent, ErrFull or ErrBroken.
// The response's body must be closed; the connection is used again when the body was read to its end.
func (p *Pool) Do(r *http.Request, t Try) (*http.Response, error) {
	c, err := p.get(r.Context(), t)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(r.Context(), c.interrupt)
	response, err := c.exchange(r, p.config.Answers)
	if err != nil {
		stop()
		p.drop(c)
		return nil, ErrBroken.New("backend server %s broke the connection (%v); the request may have run", p.config.Address, err)
	}
	response.Body = &body{ReadCloser: response.Body, pool: p, connection: c, response: response, stop: stop}
	return response, nil
}

// get returns a connection that no other request uses.
func (p *Pool) get(ctx context.Context, t Try) (*connection, error) {
	for !t.Fresh {
		c := p.takeNewest(t.Proven)
		if c == nil {
			break
		}
		if !socket.Stale(c.Conn) {
			return c, nil
		}
		p.drop(c)
	}
	return p.dial(ctx)
}

// takeNewest takes the idle connection that was used last, and closes those idle for too long.
func (p *Pool) takeNewest(proven bool) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for len(p.idle) > 0 && now.After(p.idle[0].goodUntil) {
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
	if now.After(c.goodUntil) || proven && now.Sub(c.provenAt) > p.config.ProofTime {
		return nil
	}
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

func (p *Pool) dial(ctx context.Context) (*connection, error) {
	p.mu.Lock()
	if p.open >= p.config.MaxConnections || p.closed {
		p.mu.Unlock()
		return nil, ErrFull.New("all %d connections to backend server %s are in use; raise Connections in the note", p.config.MaxConnections, p.config.Address)
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
	if took := time.Since(start); p.trip == 0 || took < p.trip {
		p.trip = took
	}
	return &connection{Conn: raw}, nil
}

// drop closes a connection that was in use.
func (p *Pool) drop(c *connection) {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
	// The connection is of no more use, whatever Close says.
	_ = c.Conn.Close()
}

// put takes a connection back after a whole answer; keepAlive is the backend server's own idle timeout.
func (p *Pool) put(c *connection, keepAlive time.Duration) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		p.drop(c)
		return
	}
	c.provenAt = time.Now()
	c.goodUntil = c.provenAt.Add(keepAlive)
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// body gives the connection back when the answer was read whole.
type body struct {
	io.ReadCloser
	pool       *Pool
	connection *connection
	response   *http.Response
	stop       func() bool
	whole      bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.whole = b.whole || err == io.EOF
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	c := b.connection
	if c == nil {
		return nil
	}
	b.connection = nil
	interrupted := !b.stop()
	whole := b.whole || b.response.ContentLength == 0 || b.ReadCloser == http.NoBody
	if whole && !interrupted && !b.response.Close && c.release() {
		b.pool.put(c, keepAlive(b.response.Header))
		return nil
	}
	b.pool.drop(c)
	return nil
}

// keepAlive returns how long a connection may be idle under the timeout that the backend server names.
func keepAlive(header http.Header) time.Duration {
	_, text, found := strings.Cut(header.Get("Keep-Alive"), "timeout=")
	if !found {
		return idleTime
	}
	text, _, _ = strings.Cut(text, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil {
		return idleTime
	}
	return min(idleTime, time.Duration(seconds)*time.Second-keepAliveMargin)
}
