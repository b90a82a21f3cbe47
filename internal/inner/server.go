package inner

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/joomcode/errorx"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// ServerConfig configures Serve; TLS is nil for plain TCP.
type ServerConfig struct {
	Listener net.Listener
	Handler  DRPCPeerServer
	TLS      *tls.Config
	// OnPanic is called with the name of a call and the value of its panic, on the goroutine of the call, which fails. If it is
	// nil, a panic ends the process.
	OnPanic func(call string, value any)
}

// recoverer is a handler of calls that ends only the call when that panics.
type recoverer struct {
	drpc.Handler
	onPanic func(call string, value any)
}

// HandleRPC implements drpc.Handler.
func (r recoverer) HandleRPC(stream drpc.Stream, call string) (err error) {
	defer func() {
		if value := recover(); value != nil {
			r.onPanic(call, value)
			err = ErrPeerFailed.New("internal error")
		}
	}()
	return r.Handler.HandleRPC(stream, call)
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
	handler := drpc.Handler(mux)
	if c.OnPanic != nil {
		handler = recoverer{mux, c.OnPanic}
	}
	done := make(chan error, 1)
	go func() { done <- drpcserver.New(handler).Serve(ctx, listener) }()
	return done, nil
}
