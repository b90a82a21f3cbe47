package gateway

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"briarcroft/internal/duty"
	"briarcroft/internal/placement"
	"briarcroft/internal/socket"
)

// limitInterval is the time between two computations of the limit of callers' connections.
const limitInterval = 100 * time.Millisecond

// Times of connections at the limit.
const (
	// minReclaimIdle is how long a connection must have been without a request before it is closed to make room. A caller that
	// sends one request after the other keeps its connection.
	minReclaimIdle = 250 * time.Millisecond
	// minLinger is how long a closing connection is read at least.
	minLinger = 100 * time.Millisecond
	// refusalWait is how long a connection that is refused may take to send the header of its request.
	refusalWait = 250 * time.Millisecond
	// refusalSpread is added to the Retry-After time of refusals, at random, so that callers do not return together.
	refusalSpread = 500 * time.Millisecond
	// descriptorPause is the pause before a descriptor is asked for again.
	descriptorPause = 5 * time.Millisecond
)

// reasonNoDescriptor is the reason of a refusal because the host has no descriptor for a connection to the target.
const reasonNoDescriptor placement.Reason = "NoDescriptor"

// updateCallerLimit computes the limit of callers' connections again, unless that was done a short time ago. Only the goroutine
// that accepts them calls it.
func (g *Gateway) updateCallerLimit() {
	t, now := &g.connections, g.now()
	if t.limitedAt > 0 && now-t.limitedAt < limitInterval {
		return
	}
	counts := g.connectionCounts()
	others := counts.TargetsBusy + counts.TargetsIdle + counts.ToPeers + counts.FromPeers + counts.Pages
	t.limitedAt = now
	t.limit.Store(int64(socket.CallerLimit(g.descriptors, others)))
}

// hasSlot reports whether there is a descriptor for one more connection of a caller, be it only to refuse it. If there is none it
// closes a connection. Only the goroutine that accepts them calls it.
func (g *Gateway) hasSlot() bool {
	g.updateCallerLimit()
	if g.openConns.Load() < g.connections.limit.Load()+int64(socket.RefusalSlots(g.descriptors)) {
		return true
	}
	g.reclaim()
	return false
}

// hasRoom reports whether requests of one more connection may be accepted.
func (g *Gateway) hasRoom() bool {
	return g.openConns.Load()-g.connections.refusing.Load() < g.connections.limit.Load()
}

// makeRoom reports whether requests of a new connection are accepted. At the limit it closes another one for it.
func (g *Gateway) makeRoom() bool { return g.hasRoom() || g.reclaim() }

// reclaim closes the connection of a caller that has been without a request for longest, or else the one that has been closing
// for longest. It returns false if there is none.
func (g *Gateway) reclaim() bool {
	t, now := &g.connections, g.now()
	for c := t.pop(&t.idle, now-minReclaimIdle); c != nil; c = t.pop(&t.idle, now-minReclaimIdle) {
		if c.reclaim() {
			g.stats.reclaimed.Add(1)
			return true
		}
	}
	c := t.pop(&t.closing, now-minLinger)
	if c != nil {
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	}
	return c != nil
}

// reclaim closes the connection unless a request is in progress or has begun to arrive. One that arrives just now is handled, and
// its response is the last one.
func (c *callerConn) reclaim() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.accepted > c.responded || c.progress.reading {
		return false
	}
	c.closesWhenIdle, c.progress.reclaimed = true, true
	_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	return true
}

// isReclaimed reports whether the connection is closed to make room. It has no response that its caller may still read.
func (c *callerConn) isReclaimed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.progress.reclaimed && c.accepted == c.responded
}

// serveOrRefuse serves a connection for which there was no room if there is some when its first request arrives. Otherwise it
// answers the request with a refusal, by which the caller learns at once that another host may serve it.
func (c *callerConn) serveOrRefuse() {
	t := &c.gateway.connections
	t.refusing.Add(1)
	limits := c.gateway.limits()
	limits.IdleTimeout = refusalWait
	arrived := c.awaitFirstByte(limits)
	if arrived && c.gateway.hasRoom() {
		t.refusing.Add(-1)
		c.serve()
		return
	}
	defer t.refusing.Add(-1)
	c.gateway.stats.refusedConns.Add(1)
	if arrived && c.awaitPart(refusalWait) {
		rejected := &rejection{
			status: http.StatusServiceUnavailable, reason: "TooManyConnections", retryAfter: refusedRetryAfter + rand.N(refusalSpread),
		}
		if _, err := http.ReadRequest(c.reader); err != nil && !errors.Is(c.conn.err, os.ErrDeadlineExceeded) {
			rejected = rejectionFor(cmp.Or(c.conn.err, err))
		}
		c.reject(rejected)
	} else {
		c.update(func(p *connProgress) { p.reclaimed = true })
	}
	c.cancel()
	c.lingeringClose()
}

// freeingDial returns a function that opens connections as dial does. Without a descriptor it closes connections that carry no
// request and tries again until its context ends.
func (g *Gateway) freeingDial(dial socket.DialFunc) socket.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		for socket.IsOutOfDescriptors(err) {
			if !g.reclaim() {
				g.pools.closeIdle()
			}
			if !duty.Sleep(ctx, descriptorPause) {
				return nil, err
			}
			conn, err = dial(ctx, network, address)
		}
		return conn, err
	}
}
