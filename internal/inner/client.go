package inner

import (
	"context"
	"crypto/tls"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcpool"
)

var namespace = errorx.NewNamespace("inner").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// ErrStreamTimeout reports that a peer sent nothing on a stream for StreamTimeout; the call may be retried on a new
// connection.
var ErrStreamTimeout = namespace.NewType("silent", errorx.Timeout())

// ErrPeerFailed reports that a peer could not be reached, broke the connection or could not serve the call.
var ErrPeerFailed = namespace.NewType("peer")

// IsUnknownCall reports whether an error of a call means that the peer does not know it and has done nothing, as hosts of older
// versions.
func IsUnknownCall(err error) bool {
	return drpcerr.Code(err) == drpcerr.Unimplemented || err != nil && strings.Contains(err.Error(), "unknown rpc")
}

// Timeouts and intervals of connections and streams between peers.
const (
	dialTimeout = 500 * time.Millisecond
	idleTimeout = 2 * time.Minute
	// StreamTimeout is how long the stream of a forwarded request may be without a message before it counts as broken.
	StreamTimeout = 900 * time.Millisecond
	// KeepAliveInterval is the time between two keep-alive messages while a forwarded request has no response yet.
	KeepAliveInterval = 250 * time.Millisecond
)

// ClientConfig configures a Client; TLS is nil for plain TCP.
type ClientConfig struct {
	TLS *tls.Config
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OtherDomain reports whether the peer at an inner address is in another failure domain; nil means that none is.
	OtherDomain func(address string) bool
}

// Client calls peers over pooled connections.
type Client struct {
	config ClientConfig
	pool   *drpcpool.Pool[string, drpcpool.Conn]
	// sent and received count bytes over all connections.
	sent     atomic.Int64
	received atomic.Int64
	// open is the number of open connections.
	open    atomic.Int64
	traffic traffic
}

// NewClient returns a client and a function that closes its connections.
func NewClient(c ClientConfig) (*Client, func()) {
	if c.Dial == nil {
		dialer := net.Dialer{Timeout: dialTimeout}
		c.Dial = dialer.DialContext
	}
	client := &Client{config: c}
	client.pool = drpcpool.New[string, drpcpool.Conn](drpcpool.Options{Expiration: idleTimeout, KeyCapacity: 8})
	return client, func() { _ = client.pool.Close() }
}

// Peer returns the RPC client of the peer at an inner address; a connection is opened with the first call.
func (c *Client) Peer(ctx context.Context, address string) DRPCPeerClient {
	return NewDRPCPeerClient(meteredConn{c.pool.Get(ctx, address, c.dial), c.trafficWith(address)})
}

// callWithRetry makes a unary call. If the peer does not reply within firstTimeout, it closes the peer's idle
// connections and makes the call once more on a new one: an established connection may lose all packets in one
// direction without an error.
func callWithRetry[R any](ctx context.Context, c *Client, address string, firstTimeout time.Duration,
	call func(context.Context, DRPCPeerClient) (R, error)) (R, error) {
	firstCtx, cancel := context.WithTimeout(ctx, firstTimeout)
	reply, err := call(firstCtx, c.Peer(firstCtx, address))
	timedOut := firstCtx.Err() != nil
	cancel()
	if err == nil || !timedOut || ctx.Err() != nil {
		return reply, err
	}
	c.closeIdle(address)
	return call(ctx, c.Peer(ctx, address))
}

// closeIdle closes the pooled connections to a peer that are not in use.
func (c *Client) closeIdle(address string) {
	for conn, found := c.pool.Take(address); found; conn, found = c.pool.Take(address) {
		// The connection is discarded, so an error of Close does not matter.
		_ = conn.Close()
	}
}

// Timeouts of FetchNotes.
const (
	// fetchTimeout limits a fetch over both attempts; it is enough for a large snapshot over a slow link.
	fetchTimeout = 2 * time.Second
	// firstFetchTimeout limits the first attempt, before the retry on a new connection.
	firstFetchTimeout = fetchTimeout / 4
)

// FetchNotes fetches from a peer the notes (revisions of the configuration) with numbers above the given one, or a
// snapshot of the newest configuration if the peer no longer keeps all of them.
func (c *Client) FetchNotes(ctx context.Context, address string, above int) (*FetchNotesReply, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return callWithRetry(ctx, c, address, firstFetchTimeout,
		func(ctx context.Context, peer DRPCPeerClient) (*FetchNotesReply, error) {
			return peer.FetchNotes(ctx, &FetchNotesRequest{Above: int64(above)})
		})
}

// BytesSent returns the number of bytes sent to all peers, TLS records included.
func (c *Client) BytesSent() int64 { return c.sent.Load() }

// OpenConnections returns the number of open connections to all peers.
func (c *Client) OpenConnections() int { return int(c.open.Load()) }

// BytesReceived returns the number of bytes received from all peers, TLS records included.
func (c *Client) BytesReceived() int64 { return c.received.Load() }

func (c *Client) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	conn, err := c.config.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, ErrPeerFailed.New("cannot connect to peer %s (%v); the next heartbeat tries again", address, err)
	}
	c.open.Add(1)
	conn = &countedConn{Conn: conn, sent: &c.sent, received: &c.received, traffic: &c.trafficWith(address)[trafficConnections], open: &c.open}
	if c.config.TLS != nil {
		conn = tls.Client(conn, c.config.TLS)
	}
	return drpcconn.New(conn), nil
}

// countedConn adds the bytes that pass over a connection to the client's counters.
type countedConn struct {
	net.Conn
	sent, received *atomic.Int64
	traffic        *trafficCounter
	open           *atomic.Int64
	once           sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	c.traffic.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	c.traffic.sent.Add(int64(n))
	return n, err
}

// Forward sends a request with an Idempotency-Key to the host that issued the key's grant, which alone may run it, or
// to one that holds that host's idempotency records after it has stopped, and waits for the response. Keep-alive
// messages on the stream show meanwhile that the peer is alive; errors are ErrStreamTimeout or ErrPeerFailed.
func (c *Client) Forward(ctx context.Context, address string, request *PassRequest) (*PassReply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(StreamTimeout, cancel)
	defer timer.Stop()
	stream, err := c.Peer(ctx, address).Pass(ctx, request)
	if err != nil {
		return nil, forwardError(ctx, address, err)
	}
	defer stream.Close()
	for {
		reply, err := stream.Recv()
		if err != nil {
			return nil, forwardError(ctx, address, err)
		}
		if !reply.Alive {
			return reply, nil
		}
		timer.Reset(StreamTimeout)
	}
}

func forwardError(ctx context.Context, address string, err error) error {
	if ctx.Err() != nil {
		return ErrStreamTimeout.New("peer %s sent nothing for %v; retry on a new connection", address, StreamTimeout)
	}
	return ErrPeerFailed.New("peer %s broke the stream (%v); retry", address, err)
}
