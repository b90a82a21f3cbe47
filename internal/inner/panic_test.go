package inner

import (
	"context"
	"net"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

// panickingServer is a server of calls, of which one panics.
type panickingServer struct {
	DRPCPeerUnimplementedServer
}

// Heartbeat implements DRPCPeerServer.
func (*panickingServer) Heartbeat(context.Context, *HeartbeatRequest) (*HeartbeatReply, error) {
	panic("heartbeat")
}

// Counts implements DRPCPeerServer.
func (*panickingServer) Counts(context.Context, *CountsRequest) (*CountsReply, error) {
	return &CountsReply{}, nil
}

// TestPanicOfCallFailsOnlyThatCall guards against a call of a peer that ends the process of the host which serves it.
func TestPanicOfCallFailsOnlyThatCall(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	panics := make(chan any, 1)
	done, err := Serve(ctx, ServerConfig{Listener: listener, Handler: &panickingServer{}, OnPanic: func(_ string, value any) { panics <- value }})
	is.NoErr(err)
	client, closeClient := NewClient(ClientConfig{})
	defer closeClient()
	_, err = client.Peer(ctx, listener.Addr().String()).Heartbeat(ctx, &HeartbeatRequest{})
	is.True(err != nil)
	is.True(!IsUnknownCall(err)) // the call may have had an effect
	is.True(!errorx.IsOfType(err, ErrPeerFailed))
	is.Equal(<-panics, "heartbeat")
	_, err = client.Peer(ctx, listener.Addr().String()).Counts(ctx, &CountsRequest{})
	is.NoErr(err)
	cancel()
	<-done
}
