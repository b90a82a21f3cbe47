package socket

import (
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"briarcroft/internal/fakenet"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// acceptError returns an error as net.Listener.Accept returns it.
func acceptError(errno error) error {
	return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
}

// TestListenerOutlastsErrors guards against a server that ends because one call of Accept has failed.
func TestListenerOutlastsErrors(t *testing.T) {
	cases := []struct {
		err       error
		temporary bool
	}{
		{unix.EMFILE, true}, {unix.ENFILE, true}, {unix.ENOBUFS, true}, {unix.ENOMEM, true}, {unix.ECONNABORTED, true}, {unix.EPROTO, true},
		{unix.EBADF, false}, {unix.EINVAL, false},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			is, network := is.New(t), fakenet.New()
			defer network.CloseAll()
			retries, failed, failures := 0, make(chan error, 1), new(atomic.Int64)
			l := NewListener(ListenerConfig{
				Listener: network.Listen("server", "10.0.0.1:80"), Failures: failures, OnRetry: func(error, int64) { retries++ }, OnFailure: func(err error) { failed <- err },
			})
			accepted := make(chan error)
			go func() {
				for {
					_, err := l.Accept()
					accepted <- err
					if err != nil {
						return
					}
				}
			}()
			for range 5 {
				network.FailAccept("10.0.0.1:80", acceptError(c.err))
			}
			time.Sleep(10 * maxAcceptPause)
			conn, err := network.Dialer("client")(context.Background(), "tcp", "10.0.0.1:80")
			if c.temporary {
				is.NoErr(err)
				is.NoErr(<-accepted)
				is.NoErr(conn.Close())
				is.Equal(failures.Load(), int64(5))
				is.Equal(retries, 1) // within one second
				network.FailAccept("10.0.0.1:80", acceptError(c.err))
				synctest.Wait() // Accept pauses when the listener is closed
			} else {
				is.True(err != nil)
				is.True(errors.Is(<-failed, c.err))
			}
			closed := time.Now()
			is.NoErr(l.Close())
			is.Equal(<-accepted, net.ErrClosed)
			is.Equal(time.Since(closed), time.Duration(0))
		})
	}
}

// TestListenerWaitsForRoom guards against a connection that is accepted without a descriptor for its request, and against a listener
// that cannot be closed meanwhile.
func TestListenerWaitsForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, network := is.New(t), fakenet.New()
		defer network.CloseAll()
		var room atomic.Bool
		l := NewListener(ListenerConfig{Listener: network.Listen("server", "10.0.0.1:80"), HasRoom: room.Load})
		accepted := make(chan error)
		go func() {
			for range 2 {
				_, err := l.Accept()
				accepted <- err
				room.Store(false)
			}
		}()
		connected := make(chan error, 1)
		go func() {
			_, err := network.Dialer("client")(context.Background(), "tcp", "10.0.0.1:80")
			connected <- err
		}()
		time.Sleep(time.Second)
		is.Equal(len(connected), 0)
		room.Store(true)
		is.NoErr(<-connected)
		is.NoErr(<-accepted)
		time.Sleep(time.Second)
		closed := time.Now()
		is.NoErr(l.Close())
		is.Equal(<-accepted, net.ErrClosed)
		is.Equal(time.Since(closed), time.Duration(0))
	})
}

// TestListenerHasDescriptor guards against a wrapped listener of which nobody can ask the kernel for the waiting connections.
func TestListenerHasDescriptor(t *testing.T) {
	is := is.New(t)
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var l net.Listener = NewListener(ListenerConfig{Listener: tcp})
	defer l.Close()
	raw, err := l.(syscall.Conn).SyscallConn()
	is.NoErr(err)
	is.NoErr(raw.Control(func(uintptr) {}))
}
