package inner

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
)

var namespace = errorx.NewNamespace("inner").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// ErrStreamTimeout reports that a peer sent no byte for too long; the call may be made again on a new connection.
var ErrStreamTimeout = namespace.NewType("silent", errorx.Timeout())

// ErrPeerFailed reports that a peer could not be reached or broke the connection.
var ErrPeerFailed = namespace.NewType("peer")

// Times of the inner protocol.
const (
	dialTimeout = 500 * time.Millisecond
	idleTimeout = 2 * time.Minute
	// StreamTimeout is how long a stream may be without a byte.
	StreamTimeout = 900 * time.Millisecond
	// KeepAliveInterval is the time between two keep-alive messages on a stream.
	KeepAliveInterval = 250 * time.Millisecond
)

// ClientConfig sets up a Client; TLS is nil for plain connections.
type ClientConfig struct {
	TLS *tls.Config
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls peers over pooled connections.
type Client struct {
	config ClientConfig
	pool   *drpcpool.Pool[string, drpcpool.Conn]
	sent   atomic.Int64
	// received counts what peers answered.
	received atomic.Int64
}

// NewClient returns a client and the function that closes its connections.
func NewClient(c ClientConfig) (*Client, func()) {
	if c.Dial == nil {
		dialer := net.Dialer{Timeout: dialTimeout}
		c.Dial = dialer.DialContext
	}
	client := &Client{config: c}
	client.pool = drpcpool.New[string, drpcpool.Conn](drpcpool.Options{Expiration: idleTimeout, KeyCapacity: 8})
	return client, func() { _ = client.pool.Close() }
}

// Peer returns the calls of the peer at an inner address.
func (c *Client) Peer(ctx context.Context, address string) DRPCPeerClient {
	return NewDRPCPeerClient(c.pool.Get(ctx, address, c.dial))
}

// callWithRetry makes a short call. When the peer stays silent for a while, it is asked once more on a new connection: an open one may lose
// everything in one direction without an error.
func callWithRetry[R any](ctx context.Context, c *Client, address string, firstTimeout time.Duration, call func(context.Context, DRPCPeerClient) (R, error)) (R, error) {
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

// closeIdle closes the idle connections to a peer.
func (c *Client) closeIdle(address string) {
	for conn, found := c.pool.Take(address); found; conn, found = c.pool.Take(address) {
		// The connection is given up; what its end says changes nothing.
		_ = conn.Close()
	}
}

// Times of fetching notes.
const (
	// fetchTimeout is how long a fetch may take in all, enough for a large snapshot on a slow line.
	fetchTimeout = 2 * time.Second
	// firstFetchTimeout is how long one may go unanswered before it is tried again on a new connection.
	firstFetchTimeout = fetchTimeout / 4
)

// FetchNotes fetches what a peer knows above a note.
func (c *Client) FetchNotes(ctx context.Context, address string, above int) (*FetchNotesReply, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return callWithRetry(ctx, c, address, firstFetchTimeout, func(ctx context.Context, peer DRPCPeerClient) (*FetchNotesReply, error) {
		return peer.FetchNotes(ctx, &FetchNotesRequest{Above: int64(above)})
	})
}

// BytesSent returns the bytes sent to all peers so far.
func (c *Client) BytesSent() int64 { return c.sent.Load() }

// BytesReceived returns the bytes that peers answered so far.
func (c *Client) BytesReceived() int64 { return c.received.Load() }

func (c *Client) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	conn, err := c.config.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, ErrPeerFailed.New("peer %s refused the connection (%v); it is left to the next heartbeat", address, err)
	}
	conn = &countedConn{conn, &c.sent, &c.received}
	if c.config.TLS != nil {
		conn = tls.Client(conn, c.config.TLS)
	}
	return drpcconn.New(conn), nil
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	sent, received *atomic.Int64
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// Forward sends a keyed request to the host of its grant and waits for the answer.
// Every stream has its own liveness check; errors are ErrSilent or ErrPeer.
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
		return ErrStreamTimeout.New("peer %s sent nothing for %v; asking again on a new connection", address, StreamTimeout)
	}
	return ErrPeerFailed.New("peer %s broke the stream (%v); asking again", address, err)
}
