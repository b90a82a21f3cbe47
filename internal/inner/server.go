package inner

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/joomcode/errorx"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// ServerConfig configures Serve; TLS is nil for plain TCP.
type ServerConfig struct {
	Listener net.Listener
	Handler  DRPCPeerServer
	TLS      *tls.Config
}

// Serve handles calls of peers in the background until the context ends; the returned channel gets the server's final
// error.
func Serve(ctx context.Context, c ServerConfig) (<-chan error, error) {
	mux := drpcmux.New()
	if err := DRPCRegisterPeer(mux, c.Handler); err != nil {
		return nil, errorx.Decorate(err, "register the protocol between entry hosts")
	}
	listener := c.Listener
	if c.TLS != nil {
		listener = tls.NewListener(listener, c.TLS)
	}
	done := make(chan error, 1)
	go func() { done <- drpcserver.New(mux).Serve(ctx, listener) }()
	return done, nil
}
