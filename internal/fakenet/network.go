// Package fakenet is an in-memory network for tests in virtual time. Its nodes, which tests identify by name, can crash
// or be partitioned from each other, and its connections can drop bytes without an error, as a black hole in a real
// network does.
package fakenet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Network holds the listeners and connections of all nodes. It is safe for concurrent use.
type Network struct {
	mu           sync.Mutex
	listeners    map[string]*pipeListener
	partitioned  map[[2]string]bool // by sending and receiving node
	refused      map[[2]string]bool // by dialing and listening node
	conns        map[*pipeConn]bool // ends of connections on which Close was not called yet
	addressCount int                // number of addresses that were assigned
	// dialerAddresses are the IP addresses of the nodes that open connections, and dialCount numbers their ports.
	dialerAddresses map[string]string
	dialCount       int
	links           map[string]*link
	held            map[[2]string]bool // by sending and receiving node
}

var errRefused = errors.New("connection refused")

// New returns a network without nodes.
func New() *Network {
	return &Network{listeners: map[string]*pipeListener{}, partitioned: map[[2]string]bool{}, refused: map[[2]string]bool{}, conns: map[*pipeConn]bool{}, links: map[string]*link{}, held: map[[2]string]bool{}, dialerAddresses: map[string]string{}}
}

// pipeListener is a listener of a node; its connections are pairs of pipeConn.
type pipeListener struct {
	network *Network
	node    string
	address pipeAddress
	accept  chan net.Conn
	once    sync.Once
	closed  chan struct{}
	// faults holds the errors of the next calls of Accept.
	faults chan error
}

// maxFaults is the number of errors of Accept that a listener holds.
const maxFaults = 64

// pipeAddress is the network address of a listener or of one end of a connection.
type pipeAddress string

// Network implements net.Addr.
func (a pipeAddress) Network() string { return "tcp" }

// String implements net.Addr.
func (a pipeAddress) String() string { return string(a) }

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case err := <-l.faults:
		return nil, err
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	if l.network.listeners[string(l.address)] == l {
		delete(l.network.listeners, string(l.address))
	}
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return l.address }

// Listen opens a listener of a node at an address; if the address is empty, it assigns an unused one.
func (n *Network) Listen(node, address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if address == "" {
		n.addressCount++
		address = fmt.Sprintf("10.0.%d.%d:80", n.addressCount/250, n.addressCount%250+1)
	}
	l := &pipeListener{network: n, node: node, address: pipeAddress(address), accept: make(chan net.Conn), closed: make(chan struct{}), faults: make(chan error, maxFaults)}
	n.listeners[address] = l
	return l
}

// FailAccept makes the pending and the next calls of Accept fail at the listener of an address, one with each error. There may be
// up to maxFaults.
func (n *Network) FailAccept(address string, errs ...error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, err := range errs {
		n.listeners[address].faults <- err
	}
}

// pipeConn is one end of a connection, held by the node from; the other end is held by the node to. Once it is
// blackholed, its writes succeed but the bytes are dropped.
type pipeConn struct {
	net.Conn
	network    *Network
	from, to   string
	remote     pipeAddress
	blackholed bool
	// buffered is what was written while it was held back. Until it has been passed on, further writes follow it.
	buffered [][]byte
	// passing is set while a goroutine passes it on.
	passing bool
	// other is the other end. Once that has reset the connection, resetPending is set until a read or a write got the error.
	other        *pipeConn
	resetPending atomic.Bool
}

// Read implements net.Conn.
func (c *pipeConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	return n, c.endError(err)
}

// endError returns the error of a read or a write. As on Linux, the error of a connection that the other end has reset is reported once.
func (c *pipeConn) endError(err error) error {
	if (err == io.EOF || err == io.ErrClosedPipe) && c.resetPending.CompareAndSwap(true, false) {
		return syscall.ECONNRESET
	}
	return err
}

// Reset resets the connection of an end that a listener of a Network has accepted.
func Reset(conn net.Conn) {
	c := conn.(*pipeConn)
	c.other.resetPending.Store(true)
	_ = c.Close()
}

// segmentBytes is the number of bytes that a connection writes at once, so that connections share a link.
const segmentBytes = 4 << 10

// Write implements net.Conn. A write during a partition blackholes this end for good.
func (c *pipeConn) Write(p []byte) (int, error) {
	written := 0
	for {
		segment := p[written:min(len(p), written+segmentBytes)]
		n, err := c.writeSegment(segment)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

func (c *pipeConn) writeSegment(p []byte) (int, error) {
	c.network.mu.Lock()
	dropped := c.blackholed || c.network.partitioned[[2]string{c.from, c.to}]
	c.blackholed = dropped
	wait := c.network.sendOverLinks(c.from, c.to, len(p))
	held := !dropped && (len(c.buffered) > 0 || c.network.held[[2]string{c.from, c.to}])
	if held {
		c.buffered = append(c.buffered, slices.Clone(p))
	}
	c.network.mu.Unlock()
	if dropped || held {
		return len(p), nil
	}
	if wait > 0 {
		time.Sleep(wait)
	}
	n, err := c.Conn.Write(p)
	return n, c.endError(err)
}

// Hold keeps back all bytes that one node writes to another from now on, until Release. The sender does not notice it.
func (n *Network) Hold(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.held[[2]string{from, to}] = true
}

// Release passes on the bytes that Hold has kept back, in their order and even if the nodes are partitioned by now, and ends the
// hold.
func (n *Network) Release(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.held[[2]string{from, to}] = false
	for c := range n.conns {
		if len(c.buffered) > 0 && !c.passing && c.from == from && c.to == to {
			c.passing = true
			go c.passOn()
		}
	}
}

// passOn writes what was buffered. An error means that the connection is closed, which its users notice by themselves.
func (c *pipeConn) passOn() {
	for {
		c.network.mu.Lock()
		if len(c.buffered) == 0 || c.network.held[[2]string{c.from, c.to}] {
			c.passing = false
			c.network.mu.Unlock()
			return
		}
		p := c.buffered[0]
		c.network.mu.Unlock()
		_, err := c.Conn.Write(p)
		c.network.mu.Lock()
		if c.buffered = c.buffered[1:]; err != nil {
			c.buffered = nil
		}
		c.network.mu.Unlock()
	}
}

// link is a node's connection to the network. Both directions have the same bandwidth.
type link struct {
	// bytesPerSecond is 0 for an unlimited bandwidth.
	bytesPerSecond float64
	// sentUntil and receivedUntil are when the last byte of either direction passes.
	sentUntil, receivedUntil time.Time
	bytesSent                int64
}

// link returns the link of a node; the caller holds n.mu.
func (n *Network) link(node string) *link {
	l := n.links[node]
	if l == nil {
		l = &link{}
		n.links[node] = l
	}
	return l
}

// SetBandwidth limits what a node can send, and what it can receive, in a second. Bytes that exceed it wait.
func (n *Network) SetBandwidth(node string, bytesPerSecond float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.link(node).bytesPerSecond = bytesPerSecond
}

// BytesSent returns the number of bytes that a node has written to its connections.
func (n *Network) BytesSent(node string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.link(node).bytesSent
}

// sendOverLinks queues bytes at the links of two nodes and returns how long they take to arrive; the caller holds n.mu.
func (n *Network) sendOverLinks(from, to string, size int) time.Duration {
	now := time.Now()
	sender, receiver := n.link(from), n.link(to)
	sender.bytesSent += int64(size)
	arrival := sender.queue(&sender.sentUntil, now, size)
	return receiver.queue(&receiver.receivedUntil, arrival, size).Sub(now)
}

// queue adds bytes that reach one direction of the link at a time, and returns when the last of them has passed.
func (l *link) queue(until *time.Time, at time.Time, size int) time.Time {
	if l.bytesPerSecond == 0 {
		return at
	}
	if until.Before(at) {
		*until = at
	}
	*until = until.Add(time.Duration(float64(size) / l.bytesPerSecond * float64(time.Second)))
	return *until
}

// Close implements net.Conn.
func (c *pipeConn) Close() error {
	c.network.mu.Lock()
	blackholed := c.blackholed
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	if blackholed {
		// The other end must not notice the close, since that would be dropped too; CloseAll closes it. The deadline
		// ends pending reads and writes of this end.
		return c.Conn.SetDeadline(time.Now())
	}
	return c.Conn.Close()
}

// RemoteAddr implements net.Conn. All connections that a node has opened come from the same IP address.
func (c *pipeConn) RemoteAddr() net.Addr { return c.remote }

// dialerAddress returns the address from which a node opens its next connection; the caller holds n.mu.
func (n *Network) dialerAddress(node string) pipeAddress {
	ip := n.dialerAddresses[node]
	if ip == "" {
		count := len(n.dialerAddresses) + 1
		ip = fmt.Sprintf("10.9.%d.%d", count/250, count%250+1)
		n.dialerAddresses[node] = ip
	}
	n.dialCount++
	return pipeAddress(fmt.Sprintf("%s:%d", ip, 1024+n.dialCount%60000))
}

// Dialer returns the dial function of a node. Dialing an address without a listener fails at once; dialing a node that
// is partitioned from this one fails when the context ends.
func (n *Network) Dialer(node string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		n.mu.Lock()
		l := n.listeners[address]
		refused := n.refused[[2]string{node, nodeOf(l)}]
		partitioned := l != nil && (n.partitioned[[2]string{node, l.node}] || n.partitioned[[2]string{l.node, node}])
		n.mu.Unlock()
		if l == nil || refused {
			return nil, errRefused
		}
		if partitioned {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		clientEnd, serverEnd := net.Pipe()
		client := &pipeConn{Conn: clientEnd, network: n, from: node, to: l.node, remote: l.address}
		n.mu.Lock()
		server := &pipeConn{Conn: serverEnd, network: n, from: l.node, to: node, remote: n.dialerAddress(node)}
		client.other, server.other = server, client
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

// nodeOf returns the node of a listener, or an empty name if there is no listener.
func nodeOf(l *pipeListener) string {
	if l == nil {
		return ""
	}
	return l.node
}

// Refuse sets whether connections that one node opens to another are refused. Open connections go on.
func (n *Network) Refuse(from, to string, refused bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refused[[2]string{from, to}] = refused
}

// Reset closes the open connections between two nodes; both ends notice it, and new connections work.
func (n *Network) Reset(a, b string) {
	n.mu.Lock()
	var conns []*pipeConn
	for c := range n.conns {
		if c.from == a && c.to == b || c.from == b && c.to == a {
			conns = append(conns, c)
		}
	}
	n.mu.Unlock()
	for _, c := range conns {
		_ = c.Conn.Close()
	}
}

// Partition drops all traffic between two nodes, in both directions, until Heal.
func (n *Network) Partition(a, b string) { n.setPartitioned(a, b, true) }

// Heal ends the partition of two nodes. Connections that were written to during the partition stay blackholed.
func (n *Network) Heal(a, b string) { n.setPartitioned(a, b, false) }

func (n *Network) setPartitioned(a, b string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[[2]string{a, b}], n.partitioned[[2]string{b, a}] = partitioned, partitioned
}

// Blackhole drops from now on all bytes that are written to the open connections between two nodes, in both directions,
// and returns the number of connection ends that now drop them. New connections work.
func (n *Network) Blackhole(a, b string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for c := range n.conns {
		if c.from == a && c.to == b || c.from == b && c.to == a {
			c.blackholed = true
			count++
		}
	}
	return count
}

// BlackholeOneWay drops from now on all bytes that one node writes to its open connections with another. The opposite
// direction and new connections work.
func (n *Network) BlackholeOneWay(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.from == from && c.to == to {
			c.blackholed = true
		}
	}
}

// Crash closes every connection and listener of a node at once; the other ends of the connections notice it.
func (n *Network) Crash(node string) {
	n.ResetConnections(node)
	n.mu.Lock()
	var listeners []*pipeListener
	for _, l := range n.listeners {
		if l.node == node {
			listeners = append(listeners, l)
		}
	}
	n.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
}

// ResetConnections closes every connection of a node at once; the other ends notice it, and new connections work.
func (n *Network) ResetConnections(node string) {
	n.mu.Lock()
	var conns []*pipeConn
	for c := range n.conns {
		if c.from == node {
			conns = append(conns, c)
		}
	}
	n.mu.Unlock()
	for _, c := range conns {
		_ = c.Conn.Close()
	}
}

// CloseAll closes all connections, so that no goroutine of a test blocks for ever on one.
func (n *Network) CloseAll() {
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
