package socket

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"golang.org/x/time/rate"
)

// Pauses after an error of Accept and while there is no room for a connection, and the shortest time between two calls of ListenerConfig.OnRetry.
const (
	minAcceptPause   = 5 * time.Millisecond
	maxAcceptPause   = 100 * time.Millisecond
	roomPause        = 5 * time.Millisecond
	retryLogInterval = time.Second
)

// temporaryErrors are the errors of accept(2) that do not concern the listening socket: a lack of descriptors or memory, and
// errors of the accepted connection or of the network. ENOSPC is the kernel's error when epoll has no room for a descriptor.
var temporaryErrors = []error{
	unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ENOSPC, unix.EINTR, unix.EAGAIN, unix.EPERM,
	unix.ECONNABORTED, unix.ECONNRESET, unix.ETIMEDOUT, unix.EPROTO, unix.ENOPROTOOPT, unix.EOPNOTSUPP,
	unix.ENETDOWN, unix.ENETUNREACH, unix.EHOSTDOWN, unix.EHOSTUNREACH, unix.ENONET,
}

// ListenerConfig configures a Listener.
type ListenerConfig struct {
	Listener net.Listener
	// Failures counts the errors of Accept, of several listeners if they share it; nil means a counter of its own.
	Failures *atomic.Int64
	// HasRoom reports whether one more connection may be accepted; others wait in the kernel meanwhile. Nil means always.
	HasRoom func() bool
	// OnRetry is called after a temporary error, at most once a second, with the number of errors so far; it may be nil.
	OnRetry func(err error, failures int64)
	// OnFailure is called once if the listener cannot accept connections any more, and must not block; it may be nil.
	OnFailure func(error)
}

// Listener is a net.Listener that outlasts errors. After a temporary error of Accept it tries again. After a permanent one it
// closes the listening socket, and Accept blocks until Close, so that a server goes on serving the connections it has.
type Listener struct {
	net.Listener
	config   ListenerConfig
	log      rate.Sometimes
	once     sync.Once
	closed   chan struct{}
	closeErr error
}

// NewListener returns a listener that accepts the connections of another one.
func NewListener(c ListenerConfig) *Listener {
	if c.Failures == nil {
		c.Failures = new(atomic.Int64)
	}
	return &Listener{Listener: c.Listener, config: c, log: rate.Sometimes{Interval: retryLogInterval}, closed: make(chan struct{})}
}

// Accept implements net.Listener; its only error is net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	for pause := minAcceptPause; ; pause = min(2*pause, maxAcceptPause) {
		if !l.awaitRoom() {
			return nil, net.ErrClosed
		}
		conn, err := l.Listener.Accept()
		switch {
		case err == nil:
			return conn, nil
		case errors.Is(err, net.ErrClosed):
			return nil, net.ErrClosed
		}
		failures := l.config.Failures.Add(1)
		if !isTemporary(err) {
			l.fail(err)
			return nil, net.ErrClosed
		}
		if l.config.OnRetry != nil {
			l.log.Do(func() { l.config.OnRetry(err, failures) })
		}
		if !l.sleep(pause) {
			return nil, net.ErrClosed
		}
	}
}

// awaitRoom waits until there is room for a connection, and returns false if the listener is closed before.
func (l *Listener) awaitRoom() bool {
	for l.config.HasRoom != nil && !l.config.HasRoom() {
		if !l.sleep(roomPause) {
			return false
		}
	}
	return true
}

// fail reports a permanent error and waits for Close.
func (l *Listener) fail(err error) {
	if l.config.OnFailure != nil {
		l.config.OnFailure(err)
	}
	// Callers that connect are refused from now on; an error of Close makes no difference to them.
	_ = l.Listener.Close()
	<-l.closed
}

// sleep waits for a time and reports false if the listener is closed before.
func (l *Listener) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.closed:
		return false
	}
}

// Close implements net.Listener. It may be called several times.
func (l *Listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.closeErr = l.Listener.Close()
	})
	return l.closeErr
}

// SyscallConn implements syscall.Conn for a listener of a network socket.
func (l *Listener) SyscallConn() (syscall.RawConn, error) {
	if conn, ok := l.Listener.(syscall.Conn); ok {
		return conn.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// isTemporary reports whether a later call of Accept can succeed.
func isTemporary(err error) bool {
	for _, temporary := range temporaryErrors {
		if errors.Is(err, temporary) {
			return true
		}
	}
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
