package soak

import (
	"net"
	"sync"
	"time"
)

// mode is what a relay does to what passes through it.
type mode struct {
	// delay holds back each piece.
	delay time.Duration
	// cutForward and cutBack hold everything back in one direction until the mode ends, as a cut line does.
	cutForward, cutBack bool
	// refuse closes new connections at once.
	refuse bool
}

// relay is a loopback proxy with faults, before one server.
type relay struct {
	listener net.Listener
	upstream string
	mu       sync.Mutex
	mode     mode
	changed  chan struct{}
	links    map[*link]bool
	running  sync.WaitGroup
}

// link is one connection through a relay.
type link struct {
	near, far net.Conn
	// silent drops everything for good, as a forgetful translator of addresses does.
	silent bool
}

// newRelay begins to pass connections on to an address.
func newRelay(upstream string) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, upstream: upstream, changed: make(chan struct{}), links: map[*link]bool{}}
	r.running.Go(r.accept)
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

// close ends all connections and waits for them.
func (r *relay) close() {
	_ = r.listener.Close()
	r.set(mode{})
	r.reset()
	r.running.Wait()
}

// set puts another mode in force.
func (r *relay) set(m mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
	close(r.changed)
	r.changed = make(chan struct{})
}

// reset breaks all open connections.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		for _, c := range []net.Conn{l.near, l.far} {
			if tcp, is := c.(*net.TCPConn); is {
				// Closing without waiting sends a reset.
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	}
}

// silence makes all open connections lose everything from now on; new ones work.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.silent = true
	}
}

func (r *relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		refuse := r.mode.refuse
		r.mu.Unlock()
		if refuse {
			_ = near.Close()
			continue
		}
		r.running.Go(func() { r.connect(near) })
	}
}

// connect passes one connection on until either end closes it.
func (r *relay) connect(near net.Conn) {
	far, err := net.Dial("tcp", r.upstream)
	if err != nil {
		_ = near.Close()
		return
	}
	l := &link{near: near, far: far}
	r.mu.Lock()
	r.links[l] = true
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { r.pass(l, near, far, func(m mode) bool { return m.cutForward }) })
	both.Go(func() { r.pass(l, far, near, func(m mode) bool { return m.cutBack }) })
	both.Wait()
	r.mu.Lock()
	delete(r.links, l)
	r.mu.Unlock()
}

// pass copies one direction; its end closes both connections.
func (r *relay) pass(l *link, from, to net.Conn, cut func(mode) bool) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !r.await(l, cut) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// await waits while the direction is cut, then for the delay, and reports whether the piece is lost.
func (r *relay) await(l *link, cut func(mode) bool) bool {
	for {
		r.mu.Lock()
		m, changed, silent := r.mode, r.changed, l.silent
		r.mu.Unlock()
		switch {
		case silent:
			return true
		case !cut(m):
			time.Sleep(m.delay)
			return false
		}
		<-changed
	}
}
