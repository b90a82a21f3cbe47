package soak

import (
	"net"
	"sync"
	"time"
)

// relayMode is what a relay does to what passes through it.
type relayMode struct {
	// delay holds back each piece.
	delay time.Duration
	// blockToServer and cutBack hold everything back in one direction until the mode ends, as a cut line does.
	blockToServer, blockToClient bool
	// refuseConnections closes new connections at once.
	refuseConnections bool
}

// relay is a loopback proxy with faults, before one server.
type relay struct {
	listener    net.Listener
	upstream    string
	mu          sync.Mutex
	mode        relayMode
	changed     chan struct{}
	connections map[*connection]bool
	goroutines  sync.WaitGroup
}

// connection is one connection through a relay.
type connection struct {
	client, server net.Conn
	// blackholed drops everything for good, as a forgetful translator of addresses does.
	blackholed bool
}

// newRelay begins to pass connections on to an address.
func newRelay(upstream string) (*relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: listener, upstream: upstream, changed: make(chan struct{}), connections: map[*connection]bool{}}
	r.goroutines.Go(r.accept)
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

// close ends all connections and waits for them.
func (r *relay) close() {
	_ = r.listener.Close()
	r.setMode(relayMode{})
	r.resetConnections()
	r.goroutines.Wait()
}

// setMode puts another mode in force.
func (r *relay) setMode(m relayMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
	close(r.changed)
	r.changed = make(chan struct{})
}

// resetConnections breaks all open connections.
func (r *relay) resetConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.connections {
		for _, c := range []net.Conn{conn.client, conn.server} {
			if tcp, is := c.(*net.TCPConn); is {
				// Closing without waiting sends a reset.
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	}
}

// blackhole makes all open connections lose everything from now on; new ones work.
func (r *relay) blackhole() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.connections {
		conn.blackholed = true
	}
}

func (r *relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		refuse := r.mode.refuseConnections
		r.mu.Unlock()
		if refuse {
			_ = client.Close()
			continue
		}
		r.goroutines.Go(func() { r.forward(client) })
	}
}

// forward passes one connection on until either end closes it.
func (r *relay) forward(client net.Conn) {
	server, err := net.Dial("tcp", r.upstream)
	if err != nil {
		_ = client.Close()
		return
	}
	conn := &connection{client: client, server: server}
	r.mu.Lock()
	r.connections[conn] = true
	r.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { r.copyOneWay(conn, client, server, func(m relayMode) bool { return m.blockToServer }) })
	directions.Go(func() { r.copyOneWay(conn, server, client, func(m relayMode) bool { return m.blockToClient }) })
	directions.Wait()
	r.mu.Lock()
	delete(r.connections, conn)
	r.mu.Unlock()
}

// copyOneWay copies one direction; its end closes both connections.
func (r *relay) copyOneWay(conn *connection, from, to net.Conn, blocked func(relayMode) bool) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !r.waitToForward(conn, blocked) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitToForward waits while the direction is cut, then for the delay, and reports whether the piece is lost.
func (r *relay) waitToForward(conn *connection, blocked func(relayMode) bool) bool {
	for {
		r.mu.Lock()
		m, changed, blackholed := r.mode, r.changed, conn.blackholed
		r.mu.Unlock()
		switch {
		case blackholed:
			return true
		case !blocked(m):
			time.Sleep(m.delay)
			return false
		}
		<-changed
	}
}
