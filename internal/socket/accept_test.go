package socket

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestWaitingConnectionsAreAccepted guards against closing a listener while connections of callers wait to be accepted, which
// resets them.
func TestWaitingConnectionsAreAccepted(t *testing.T) {
	is := is.New(t)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := NewListener(ListenerConfig{Listener: socket})
	defer l.Close()
	const connections = 20
	for range connections {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		defer c.Close()
	}
	for deadline := time.Now().Add(10 * time.Second); waitingConnections(l) < connections; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(deadline))
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		AwaitAccepted(context.Background(), l, time.Minute)
	}()
	for range connections {
		select {
		case <-ended:
			t.Fatal("connections still wait to be accepted")
		default:
		}
		c, err := l.Accept()
		is.NoErr(err)
		defer c.Close()
	}
	<-ended
	AwaitAccepted(context.Background(), l, time.Minute) // none waits
}
