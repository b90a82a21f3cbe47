package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// network is an in-memory network for virtual time; its connections can go silent and its nodes can be parted.
type network struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	parted    map[[2]string]bool
	conns     map[*pipeConn]bool
	next      int
}

var errRefused = errors.New("connection refused")

func newNetwork() *network {
	return &network{listeners: map[string]*pipeListener{}, parted: map[[2]string]bool{}, conns: map[*pipeConn]bool{}}
}

type pipeListener struct {
	network *network
	node    string
	address pipeAddress
	accept  chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

type pipeAddress string

func (a pipeAddress) Network() string { return "tcp" }
func (a pipeAddress) String() string  { return string(a) }

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	if l.network.listeners[string(l.address)] == l {
		delete(l.network.listeners, string(l.address))
	}
	return nil
}

func (l *pipeListener) Addr() net.Addr { return l.address }

// listen opens a listener of a node at an address; an empty address means a new one.
func (n *network) listen(node, address string) *pipeListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if address == "" {
		n.next++
		address = fmt.Sprintf("10.0.%d.%d:80", n.next/250, n.next%250+1)
	}
	l := &pipeListener{network: n, node: node, address: pipeAddress(address), accept: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// pipeConn is one end of a connection; what a silent end writes is lost.
type pipeConn struct {
	net.Conn
	network  *network
	from, to string
	silent   bool
}

func (c *pipeConn) Write(p []byte) (int, error) {
	c.network.mu.Lock()
	lost := c.silent || c.network.parted[[2]string{c.from, c.to}]
	c.silent = lost
	c.network.mu.Unlock()
	if lost {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *pipeConn) Close() error {
	c.network.mu.Lock()
	silent := c.silent
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	if silent {
		// The other end never learns of it; it is closed when the test ends.
		return c.Conn.SetDeadline(time.Now())
	}
	return c.Conn.Close()
}

func (c *pipeConn) RemoteAddr() net.Addr { return pipeAddress("10.9.9.9:9") }

// dialer returns the dial function of a node.
func (n *network) dialer(node string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		n.mu.Lock()
		l := n.listeners[address]
		parted := l != nil && (n.parted[[2]string{node, l.node}] || n.parted[[2]string{l.node, node}])
		n.mu.Unlock()
		if l == nil {
			return nil, errRefused
		}
		if parted {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		near, far := net.Pipe()
		client := &pipeConn{Conn: near, network: n, from: node, to: l.node}
		server := &pipeConn{Conn: far, network: n, from: l.node, to: node}
		n.mu.Lock()
		n.conns[client], n.conns[server] = true, true
		n.mu.Unlock()
		select {
		case l.accept <- server:
			return client, nil
		case <-l.closed:
			return nil, errRefused
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// part cuts two nodes off from each other; heal joins them again.
func (n *network) part(a, b string) { n.setParted(a, b, true) }
func (n *network) heal(a, b string) { n.setParted(a, b, false) }
func (n *network) setParted(a, b string, parted bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.parted[[2]string{a, b}], n.parted[[2]string{b, a}] = parted, parted
}

// silence makes every open connection between two nodes silent for good; new ones work.
func (n *network) silence(a, b string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for c := range n.conns {
		if c.from == a && c.to == b || c.from == b && c.to == a {
			c.silent = true
			count++
		}
	}
	return count
}

// silenceOneWay makes what one node sends another on open connections get lost for good; new ones work.
func (n *network) silenceOneWay(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.from == from && c.to == to {
			c.silent = true
		}
	}
}

// crash closes every connection and listener of a node at once.
func (n *network) crash(node string) {
	n.mu.Lock()
	var conns []*pipeConn
	for c := range n.conns {
		if c.from == node {
			conns = append(conns, c)
		}
	}
	var listeners []*pipeListener
	for _, l := range n.listeners {
		if l.node == node {
			listeners = append(listeners, l)
		}
	}
	n.mu.Unlock()
	for _, c := range conns {
		_ = c.Conn.Close()
	}
	for _, l := range listeners {
		_ = l.Close()
	}
}

// closeAll ends what is left, so that no goroutine waits for ever.
func (n *network) closeAll() {
	n.mu.Lock()
	conns := make([]*pipeConn, 0, len(n.conns))
	for c := range n.conns {
		conns = append(conns, c)
	}
	n.mu.Unlock()
	for _, c := range conns {
		_ = c.Conn.Close()
	}
}
