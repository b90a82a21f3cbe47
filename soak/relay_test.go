package soak

import (
	"net"
	"sync"
	"time"
)

// relayMode says how a relay treats connections and the data on them; the zero value forwards everything.
type relayMode struct {
	// delay is how long each chunk of data is held back.
	delay time.Duration
	// blockToServer and blockToClient hold back all data in one direction until the mode changes, as a network
	// partition does.
	blockToServer, blockToClient bool
	// refuseConnections closes new connections at once.
	refuseConnections bool
}

// relay is a TCP proxy on the loopback interface that forwards connections to one server and simulates network faults.
type relay struct {
	listener net.Listener
	upstream string
	mu       sync.Mutex
	mode     relayMode
	// changed is closed, and replaced, when mode changes.
	changed     chan struct{}
	connections map[*connection]bool
	goroutines  sync.WaitGroup
}

// connection is one forwarded connection: the client's to the relay and the relay's to the server.
type connection struct {
	client, server net.Conn
	// blackholed drops all data from now on without closing the connection, as a NAT device does that has lost its
	// state.
	blackholed bool
}

// newRelay starts a relay that forwards connections to the address upstream.
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

// close closes the listener and all connections and waits for the relay's goroutines.
func (r *relay) close() {
	_ = r.listener.Close()
	r.setMode(relayMode{})
	r.resetConnections()
	r.goroutines.Wait()
}

// setMode changes the mode, which also applies to the open connections.
func (r *relay) setMode(m relayMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
	close(r.changed)
	r.changed = make(chan struct{})
}

// resetConnections closes all open connections with a TCP reset.
func (r *relay) resetConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.connections {
		for _, c := range []net.Conn{conn.client, conn.server} {
			if tcp, ok := c.(*net.TCPConn); ok {
				// With a linger time of 0, Close sends a reset.
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	}
}

// blackhole makes all open connections drop their data from now on. New connections are not affected.
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

// forward forwards one connection to the server until either end closes it.
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

// copyOneWay copies the data of one direction. At the end of the data it closes both connections.
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

// waitToForward waits while the direction is blocked, then for the delay, and reports whether to drop the chunk of
// data.
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
