// Package socket opens TCP connections that notice by themselves when the other side has gone silent.
package socket

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Config sets the times of a dialer.
type Config struct {
	// Timeout bounds the opening of a connection.
	Timeout time.Duration
	// UnackedTimeout is how long sent bytes or keep-alive probes may go unacknowledged before the connection is given up.
	UnackedTimeout time.Duration
}

// keepAliveProbes is how many unanswered keep-alive probes end a connection.
const keepAliveProbes = 3

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// NewDialFunc returns a function that opens connections with the given times.
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

// setUserTimeout bounds how long the kernel waits for an acknowledgement of sent bytes.
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

// Stale reports whether an idle connection has ended, or holds bytes that nobody asked for. It never blocks.
func Stale(c net.Conn) bool {
	sysConn, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	rawConn, err := sysConn.SyscallConn()
	if err != nil {
		return true
	}
	stale := false
	err = rawConn.Read(func(fd uintptr) bool {
		var buffer [1]byte
		n, _, recvErr := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		stale = n > 0 || recvErr != unix.EAGAIN && recvErr != unix.EWOULDBLOCK
		return true
	})
	return stale || err != nil
}
