// Package socket opens TCP connections that fail when the other side stops acknowledging, and detects connections that
// the other side has closed while they were idle.
package socket

import (
	"context"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Config holds the time limits of connections.
type Config struct {
	// Timeout limits how long opening a connection may take.
	Timeout time.Duration
	// UnackedTimeout is how long sent bytes or keep-alive probes may stay unacknowledged before the connection is
	// closed.
	UnackedTimeout time.Duration
}

// keepAliveProbes is the number of unacknowledged keep-alive probes after which a connection is closed.
const keepAliveProbes = 3

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// NewDialFunc returns a function that opens connections with the given time limits. Keep-alive probes are at least
// a second apart, and otherwise timed so that an idle connection to a dead host is closed after UnackedTimeout.
func NewDialFunc(c Config) DialFunc {
	interval := max(time.Second, c.UnackedTimeout/(keepAliveProbes+1))
	dialer := net.Dialer{
		Timeout:         c.Timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: keepAliveProbes},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setUserTimeout(raw, c.UnackedTimeout)
		},
	}
	return dialer.DialContext
}

// setUserTimeout sets TCP_USER_TIMEOUT, which limits how long the kernel waits for an acknowledgement of sent bytes
// before it closes the connection.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// acceptCheckInterval is the time between two checks whether connections wait to be accepted.
const acceptCheckInterval = 5 * time.Millisecond

// AwaitAccepted waits until no connection waits to be accepted by a listener, since closing the listener would reset them. It
// returns early after a time limit, when the context ends, and for a listener that is not a TCP socket.
func AwaitAccepted(ctx context.Context, l net.Listener, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(acceptCheckInterval)
	defer ticker.Stop()
	for waitingConnections(l) > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// waitingConnections returns the number of connections that wait to be accepted, or 0 if that is unknown.
func waitingConnections(l net.Listener) int {
	sysConn, ok := l.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return 0
	}
	count := 0
	// An error means that the listener is closed.
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			// For a listening socket, Linux reports the length of its accept queue here.
			count = int(info.Unacked)
		}
	})
	return count
}

// Stale reports whether an idle connection cannot be reused, because the other side has closed it, or has sent bytes
// although no request is outstanding. It never blocks. For a connection without a file descriptor, such as one over TLS
// or in memory, it returns false.
func Stale(c net.Conn) bool {
	unread, err := peek(c)
	return unread || err != nil
}

// HasUnread reports whether bytes have arrived on a connection that were not read yet. It never blocks, and returns false
// once the connection's read deadline has passed and for a connection without a file descriptor.
func HasUnread(c net.Conn) bool {
	unread, _ := peek(c)
	return unread
}

// HasArrived is HasUnread for a connection that another goroutine may be reading. It does not depend on the read deadline.
func HasArrived(c net.Conn) bool {
	unread, _ := peekWith(c, func(raw syscall.RawConn, receive func(fd uintptr)) error { return raw.Control(receive) })
	return unread
}

// peek reports whether there are unread bytes, and the error that a read would return otherwise, if it would not block.
func peek(c net.Conn) (unread bool, err error) {
	return peekWith(c, func(raw syscall.RawConn, receive func(fd uintptr)) error {
		return raw.Read(func(fd uintptr) bool {
			receive(fd)
			return true
		})
	})
}

// peekWith is peek with a function that calls receive with the descriptor.
func peekWith(c net.Conn, access func(raw syscall.RawConn, receive func(fd uintptr)) error) (unread bool, err error) {
	sysConn, ok := c.(syscall.Conn)
	if !ok {
		return false, nil
	}
	rawConn, err := sysConn.SyscallConn()
	if err != nil {
		return false, err
	}
	var received int
	var receiveErr error
	err = access(rawConn, func(fd uintptr) {
		var buffer [1]byte
		received, _, receiveErr = unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return false, err
	case receiveErr == unix.EAGAIN || receiveErr == unix.EWOULDBLOCK:
		return false, nil
	case receiveErr != nil:
		return false, receiveErr
	case received == 0:
		return false, io.EOF
	}
	return true, nil
}
