package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	"briarcroft/internal/backend"
	"briarcroft/internal/fakenet"
	"briarcroft/internal/host"
	"briarcroft/internal/inner"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

// scriptedPeer answers each request to relay with the same messages.
type scriptedPeer struct {
	inner.DRPCPeerUnimplementedServer
	replies []*inner.RelayReply
}

func (p *scriptedPeer) Relay(_ *inner.RelayRequest, stream inner.DRPCPeer_RelayStream) error {
	for _, r := range p.replies {
		if err := stream.Send(r); err != nil {
			return err
		}
	}
	return nil
}

// cutAfter is a connection that ends after a number of bytes were read.
type cutAfter struct {
	net.Conn
	left *int
}

func (c cutAfter) Read(p []byte) (int, error) {
	if *c.left <= 0 {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p[:min(len(p), *c.left)])
	*c.left -= n
	return n, err
}

// relayFrom relays a request through a peer, whose connection ends after a number of bytes, and returns the status and the body.
func relayFrom(t *testing.T, peer inner.DRPCPeerServer, method string, left *int) (status int, body string, err error) {
	is := is.New(t)
	network := fakenet.New()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := network.Listen("peer", "")
	ended, err := inner.Serve(ctx, inner.ServerConfig{Listener: l, Handler: peer})
	is.NoErr(err)
	dial := network.Dialer("own")
	client, closeClient := inner.NewClient(inner.ClientConfig{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		return cutAfter{conn, left}, err
	}})
	g := &Gateway{client: client, dialect: Dialect{AttemptIDHeader: "Id"}}
	response, err := g.relayThrough(ctx, host.Member{Name: "peer", Inner: l.Addr().String()},
		&inner.RelayRequest{Target: "t0", Method: method, Headers: []*inner.Header{{Name: "Id", Value: "own"}}})
	if err == nil {
		var read []byte
		read, err = io.ReadAll(response.Body)
		status, body = response.StatusCode, string(read)
		is.NoErr(response.Body.Close())
	}
	closeClient()
	network.CloseAll()
	cancel()
	is.NoErr(<-ended)
	return status, body, err
}

func relayHead(status int32, length int64, id string) *inner.RelayReply {
	return &inner.RelayReply{Kind: inner.RelayKind_RelayHead, Status: status, Length: length, Headers: []*inner.Header{{Name: "Id", Value: id}}}
}

// relayField returns a head that has a further field.
func relayField(name, value string) *inner.RelayReply {
	head := relayHead(200, 4, "own")
	head.Headers = append(head.Headers, &inner.Header{Name: name, Value: value})
	return head
}

var (
	relayPart = &inner.RelayReply{Kind: inner.RelayKind_RelayPart, Body: []byte("abcd")}
	relayEnd  = &inner.RelayReply{Kind: inner.RelayKind_RelayEnd}
)

// TestUnfinishedRelayIsNotWhole guards against the beginning of a relayed response that counts as all of it: a peer ends its stream
// without saying that the response has ended, or sends what is no response to the request.
func TestUnfinishedRelayIsNotWhole(t *testing.T) {
	for _, c := range []struct {
		name, method string
		replies      []*inner.RelayReply
		whole        bool
	}{
		{"whole", "GET", []*inner.RelayReply{relayHead(200, 8, "own"), relayPart, relayPart, relayEnd}, true},
		{"whole, unknown length", "GET", []*inner.RelayReply{relayHead(200, -1, "own"), relayPart, relayEnd}, true},
		{"HEAD", "HEAD", []*inner.RelayReply{relayHead(200, 8, "own"), relayEnd}, true},
		{"no end", "GET", []*inner.RelayReply{relayHead(200, 8, "own"), relayPart}, false},
		{"no end, unknown length", "GET", []*inner.RelayReply{relayHead(200, -1, "own"), relayPart}, false},
		{"only a head", "GET", []*inner.RelayReply{relayHead(200, 0, "own")}, false},
		{"too short", "GET", []*inner.RelayReply{relayHead(200, 8, "own"), relayPart, relayEnd}, false},
		{"too long", "GET", []*inner.RelayReply{relayHead(200, 3, "own"), relayPart, relayEnd}, false},
		{"second head", "GET", []*inner.RelayReply{relayHead(200, -1, "own"), relayHead(200, -1, "own"), relayEnd}, false},
		{"response to another request", "GET", []*inner.RelayReply{relayHead(200, 4, "other"), relayPart, relayEnd}, false},
		{"response without an ID", "GET", []*inner.RelayReply{relayHead(503, 4, ""), relayPart, relayEnd}, false},
		{"no status", "GET", []*inner.RelayReply{relayHead(0, 4, "own"), relayPart, relayEnd}, false},
		{"status below 0", "GET", []*inner.RelayReply{relayHead(-200, 4, "own"), relayPart, relayEnd}, false},
		{"status of four digits", "GET", []*inner.RelayReply{relayHead(2000, 4, "own"), relayPart, relayEnd}, false},
		{"status above 599", "GET", []*inner.RelayReply{relayHead(600, 4, "own"), relayPart, relayEnd}, false},
		{"blank in a name", "GET", []*inner.RelayReply{relayField("A b", "c"), relayPart, relayEnd}, false},
		{"line feed in a value", "GET", []*inner.RelayReply{relayField("A", "b\nC: d"), relayPart, relayEnd}, false},
		{"length below -1", "GET", []*inner.RelayReply{relayHead(200, -1<<63, "own"), relayPart, relayEnd}, false},
		{"unknown kind", "GET", []*inner.RelayReply{{Kind: 77}}, false},
		{"nothing", "GET", nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			unlimited := 1 << 30
			_, _, err := relayFrom(t, &scriptedPeer{replies: c.replies}, c.method, &unlimited)
			is.Equal(err == nil, c.whole)
			is.True(!errorx.IsOfType(err, backend.ErrNotSent)) // the request may have run
		})
	}
}

// TestCutRelayIsNotWhole guards against the beginning of a relayed response that counts as all of it: the connection to the peer
// ends after each byte.
func TestCutRelayIsNotWhole(t *testing.T) {
	is := is.New(t)
	peer := &scriptedPeer{replies: []*inner.RelayReply{relayHead(200, -1, "own"), relayPart, relayPart, relayEnd}}
	for _, length := range []int64{-1, 8} {
		peer.replies[0] = relayHead(200, length, "own")
		whole := 0
		for limit := 0; whole == 0 && limit < 1000; limit++ {
			left := limit
			status, body, err := relayFrom(t, peer, "GET", &left)
			is.True(!errors.Is(err, io.EOF))
			if err == nil {
				is.Equal(status, 200)
				is.Equal(body, strings.Repeat("abcd", 2))
				whole = limit
			}
		}
		is.True(whole > 2*len("abcd"))
	}
}
