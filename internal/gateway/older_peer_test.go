package gateway

import (
	"context"
	"net"
	"testing"

	"briarcroft/internal/backend"
	"briarcroft/internal/fakenet"
	"briarcroft/internal/host"
	"briarcroft/internal/inner"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// TestRelayThroughOlderPeerIsNotSent asks peers that do not know the call to relay a request: it was not sent, and another way may be
// tried.
func TestRelayThroughOlderPeerIsNotSent(t *testing.T) {
	for _, c := range []struct {
		name  string
		serve func(ctx context.Context, l net.Listener) error
	}{
		{"call is not registered", func(ctx context.Context, l net.Listener) error {
			return drpcserver.New(drpcmux.New()).Serve(ctx, l)
		}},
		{"call is not implemented", func(ctx context.Context, l net.Listener) error {
			done, err := inner.Serve(ctx, inner.ServerConfig{Listener: l, Handler: &inner.DRPCPeerUnimplementedServer{}})
			if err != nil {
				return err
			}
			return <-done
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			network := fakenet.New()
			ctx, cancel := context.WithCancel(context.Background())
			l := network.Listen("old", "")
			ended := make(chan error, 1)
			go func() { ended <- c.serve(ctx, l) }()
			client, closeClient := inner.NewClient(inner.ClientConfig{Dial: network.Dialer("new")})
			g := &Gateway{client: client}
			_, err := g.relayThrough(ctx, host.Member{Name: "old", Inner: l.Addr().String()}, &inner.RelayRequest{Target: "t0", Method: "POST"})
			is.True(errorx.IsOfType(err, backend.ErrNotSent))
			closeClient()
			cancel()
			is.NoErr(<-ended)
		})
	}
}
