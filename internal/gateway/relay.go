package gateway

import (
	"bytes"
	"context"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"briarcroft/internal/backend"
	"briarcroft/internal/host"
	"briarcroft/internal/inner"
	"briarcroft/internal/message"
	"briarcroft/internal/notice"
	"briarcroft/internal/placement"
	"briarcroft/internal/uri"

	"github.com/joomcode/errorx"
)

// Limits of relayed requests.
const (
	// maxRelayTries is the number of peers that are asked to relay a run, one after the other, until one reaches the target.
	maxRelayTries = 3
	// maxRelaysForPeers bounds the requests that this host relays at once. Each takes a goroutine, a connection and a buffer of
	// relayPartBytes.
	maxRelaysForPeers = 512
	// relayPartBytes is the size of the largest part of a relayed body, and maxRelayedBody that of the largest body of a request
	// that is relayed, because it is sent as one message.
	relayPartBytes = 32 << 10
	maxRelayedBody = 1 << 20
	// freshKnowledge is the age of what the home knows about a target up to which a host that cannot connect to it takes its own
	// link for the cause.
	freshKnowledge = 400 * time.Millisecond
	// minHangTime is the least age of a run without a response from which its target is checked, and hangRatio the least one
	// relative to the expected duration.
	minHangTime = 400 * time.Millisecond
	hangRatio   = 4
)

// send sends the request to a target and returns its response, of which the body was not read. It goes over this host's own
// link, or through a peer if this host does not reach the target. Errors are those of backend.Pool.Do, maySend and checkKey.
func (x *exchange) send(ctx context.Context, from placer, p placement.Placed) (*http.Response, error) {
	g := x.gateway
	if err := x.checkKey(); err != nil {
		return nil, err
	}
	if err := g.maySend(p.Target); err != nil {
		return nil, err
	}
	if !g.reach.Direct(p.Target) {
		if !g.reach.Lost() {
			g.startReachCheck(p.Target)
		}
		if response, err := x.relay(ctx, from, p); !errorx.IsOfType(err, backend.ErrNotSent) {
			return response, err
		}
		if g.reach.Lost() {
			return nil, errNoRelay(p)
		}
	}
	started := g.now()
	response, hangs, err := x.sendDirectly(ctx, p)
	switch {
	case err == nil:
		g.recordInReach(p.Target)
		return response, nil
	case ctx.Err() != nil:
		return nil, err
	case hangs:
		return x.relayOr(ctx, from, p, err)
	case errorx.IsOfType(err, backend.ErrNotSent):
		g.recordOutOfReach(p.Target)
		if p.KnowledgeAge+g.now()-started <= freshKnowledge || g.reach.Lost() {
			return x.relayOr(ctx, from, p, err)
		}
	}
	return nil, err
}

// relayOr has a peer relay the request, and returns the given error if no peer can.
func (x *exchange) relayOr(ctx context.Context, from placer, p placement.Placed, err error) (*http.Response, error) {
	response, relayErr := x.relay(ctx, from, p)
	if errorx.IsOfType(relayErr, backend.ErrNotSent) || withheldReason(relayErr) != "" {
		return nil, err
	}
	return response, relayErr
}

// errNoRelay reports that neither this host nor a peer reaches a target. It is no ErrNotSent, because the target itself may well
// be up.
func errNoRelay(p placement.Placed) error {
	return backend.ErrPoolExhausted.New("this host reaches no target and no peer relays to %s; wait for the network", p.Target)
}

// States of a run that is sent directly.
const (
	runWaits int32 = iota
	runEnded
	runHangs
)

// sendDirectly sends the request over this host's own link. If a repeatable request gets no response for long and its target
// does not respond to a check either, it gives up and reports that the link hangs.
func (x *exchange) sendDirectly(ctx context.Context, p placement.Placed) (response *http.Response, hangs bool, err error) {
	g := x.gateway
	if g.evacuated(p.Target) {
		// The evacuation may have begun while peers were asked to relay.
		return nil, false, errEvacuated.New("the failure domain of target %s is evacuated", p.Target)
	}
	directCtx, cancel := context.WithCancel(ctx)
	var state atomic.Int32
	var watch *time.Timer
	watch = time.AfterFunc(math.MaxInt64, func() {
		defer g.guard("ReachCheck")
		switch {
		case !g.checkReach(directCtx, p.Target) && x.repeatable():
			if state.CompareAndSwap(runWaits, runHangs) {
				cancel()
			}
		case state.Load() == runWaits:
			watch.Reset(reachCheckTimeout)
		}
	})
	watch.Reset(max(minHangTime, hangRatio*p.Expected))
	defer watch.Stop()
	response, err = g.pools.get(p.Target, p.Address).Do(x.targetRequest(directCtx, p), backend.Options{Once: !x.repeatable()})
	hangs = !state.CompareAndSwap(runWaits, runEnded)
	switch {
	case err == nil && !hangs:
		// The context must last until the body was read, and ends with that of the request.
		return response, false, nil
	case err == nil:
		_ = response.Body.Close()
		err = backend.ErrConnectionBroke.New("target %s responded when the run had been given up", p.Target)
	}
	cancel()
	return nil, hangs && ctx.Err() == nil, err
}

// relay has peers send the request to a target, one after the other, until one of them reaches it. The error is ErrNotSent if
// none does.
func (x *exchange) relay(ctx context.Context, from placer, p placement.Placed) (*http.Response, error) {
	g := x.gateway
	if x.request.body.Length() > maxRelayedBody {
		return nil, backend.ErrNotSent.New("the request is too large to be relayed to target %s", p.Target)
	}
	if !x.request.isUTF8() {
		return nil, backend.ErrNotSent.New("the request is not UTF-8, as messages to peers must be, and cannot be relayed to target %s", p.Target)
	}
	// The message holds the body once more, and its encoding does until it was sent.
	size := 2 * x.request.body.Length()
	if !g.bodies.Acquire(size, size) {
		return nil, backend.ErrNotSent.New("no memory is left to relay the request to target %s", p.Target)
	}
	defer g.bodies.Release(size)
	err := error(backend.ErrNotSent.New("no peer relays to target %s", p.Target))
	for _, peer := range g.relayPeers(from, p) {
		if g.evacuated(p.Target) {
			break
		}
		if err := x.checkKey(); err != nil {
			return nil, err
		}
		var response *http.Response
		if response, err = g.relayThrough(ctx, peer, x.relayRequest(ctx, p)); !errorx.IsOfType(err, backend.ErrNotSent) || ctx.Err() != nil {
			g.stats.relayed.Add(1)
			x.relayedBy.Store(&peer.Name)
			return response, err
		}
	}
	return nil, err
}

// relayPeers returns the peers to ask to relay a request to a target, best first. If only that target is out of reach, it is the
// home that has placed the request, which knows best whether the target is up. If this host reaches none, the load is spread:
// first come peers of the target's failure domain, then those of this host's one, and the home is the last.
func (g *Gateway) relayPeers(home placer, p placement.Placed) []host.Member {
	target, _ := g.findTarget(p.Target)
	self := g.settings.Host
	var near, own, others []host.Member
	var last *host.Member
	for _, m := range g.members.Live(g.now()) {
		switch {
		case m.Name == self.Name || m.TargetsLost:
		case m.Name == home.name() && !g.reach.Lost():
			return []host.Member{m}
		case m.Name == home.name():
			last = &m
		case m.Domain == target.Domain:
			near = append(near, m)
		case m.Domain == self.Domain:
			own = append(own, m)
		default:
			others = append(others, m)
		}
	}
	var peers []host.Member
	for _, group := range [][]host.Member{near, own, others} {
		rand.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
		peers = append(peers, group...)
	}
	if last == nil {
		return peers[:min(len(peers), maxRelayTries)]
	}
	return append(peers[:min(len(peers), maxRelayTries-1)], *last)
}

// relayRequest returns the message that asks a peer to send the request to a target.
func (x *exchange) relayRequest(ctx context.Context, p placement.Placed) *inner.RelayRequest {
	r := x.targetRequest(ctx, p)
	return &inner.RelayRequest{
		Target: p.Target, Address: p.Address, Method: r.Method, Host: r.Host, Uri: x.request.uri, Headers: encodeHeader(r.Header), Body: x.request.body.Bytes(),
		TimeoutMilliseconds: max(1, (x.deadline - x.gateway.now()).Milliseconds()), RecentlyUsed: !x.repeatable(),
	}
}

// relayThrough has one peer send a request to a target and returns the response, of which the body was not read. Errors are
// those of backend.Pool.Do.
func (g *Gateway) relayThrough(ctx context.Context, peer host.Member, r *inner.RelayRequest) (*http.Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	body := &relayedBody{cancel: cancel, silence: time.AfterFunc(inner.StreamTimeout, cancel)}
	stream, err := g.client.Peer(ctx, peer.Inner).Relay(ctx, r)
	if err != nil {
		body.end()
		if errorx.IsOfType(err, inner.ErrPeerFailed) || inner.IsUnknownCall(err) {
			return nil, backend.ErrNotSent.New("%v", err)
		}
		return nil, backend.ErrConnectionBroke.New("peer %s broke the connection (%v); the request may have run", peer.Name, err)
	}
	body.stream = stream
	reply, err := body.receive()
	switch {
	case inner.IsUnknownCall(err):
		err = backend.ErrNotSent.New("peer %s cannot relay (%v)", peer.Name, err)
	case err != nil:
		err = backend.ErrConnectionBroke.New("peer %s broke the stream (%v); the request may have run", peer.Name, err)
	case reply.Kind == inner.RelayKind_RelayHead && g.attemptID(decodeHeader(reply.Headers)) != g.attemptID(decodeHeader(r.Headers)):
		err = backend.ErrUnidentifiedResponse.New("peer %s passed on a response that does not have the ID of the request, which may have run", peer.Name)
	case reply.Kind == inner.RelayKind_RelayHead && (reply.Status < http.StatusOK || !message.ValidStatus(int(reply.Status)) || reply.Length < -1):
		err = backend.ErrConnectionBroke.New("peer %s passed on a response with status %d and length %d; the request may have run", peer.Name, reply.Status, reply.Length)
	case reply.Kind == inner.RelayKind_RelayHead && !message.ValidHeader(decodeHeader(reply.Headers)):
		err = backend.ErrConnectionBroke.New("peer %s passed on a response with a field that no response may have; the request may have run", peer.Name)
	case reply.Kind == inner.RelayKind_RelayHead:
		return body.response(r.Method, reply), nil
	case reply.Kind == inner.RelayKind_RelayNotSent:
		err = backend.ErrNotSent.New("peer %s does not reach target %s", peer.Name, r.Target)
	case reply.Kind == inner.RelayKind_RelayExhausted:
		err = backend.ErrNotSent.New("peer %s has no connection to spare", peer.Name)
	default:
		err = backend.ErrConnectionBroke.New("the connection of peer %s to target %s broke; the request may have run", peer.Name, r.Target)
	}
	body.end()
	return nil, err
}

// relayedBody reads the body of a relayed response from the stream of a peer.
type relayedBody struct {
	stream inner.DRPCPeer_RelayClient
	cancel context.CancelFunc
	// silence ends the stream when the peer has sent nothing for inner.StreamTimeout while it is waited for.
	silence *time.Timer
	// unread is what was received and not read yet; err is returned after it.
	unread []byte
	err    error
	// left is the number of bytes of the body that have not been received; it is below zero when unknown.
	left int64
}

// receive returns the next message other than a keep-alive. Only while it waits does the peer's silence count.
func (b *relayedBody) receive() (*inner.RelayReply, error) {
	defer b.silence.Stop()
	for {
		b.silence.Reset(inner.StreamTimeout)
		reply, err := b.stream.Recv()
		if err == io.EOF {
			// The peer has ended the stream without RelayEnd or RelayBroke.
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if reply.Kind != inner.RelayKind_RelayAlive {
			return reply, nil
		}
	}
}

// response returns the response to a request with the given method that has the given head and this body.
func (b *relayedBody) response(method string, head *inner.RelayReply) *http.Response {
	b.left = head.Length
	if method == http.MethodHead {
		b.left = 0
	}
	return &http.Response{
		StatusCode: int(head.Status), Header: decodeHeader(head.Headers), ContentLength: head.Length, Body: b,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
}

// Read implements io.Reader.
func (b *relayedBody) Read(p []byte) (int, error) {
	for len(b.unread) == 0 && b.err == nil {
		reply, err := b.receive()
		switch {
		case err != nil:
			b.err = err
		case reply.Kind == inner.RelayKind_RelayPart && (b.left < 0 || int64(len(reply.Body)) <= b.left):
			b.unread = reply.Body
			if b.left > 0 {
				b.left -= int64(len(reply.Body))
			}
		case reply.Kind == inner.RelayKind_RelayEnd && b.left <= 0:
			b.err = io.EOF
		default:
			b.err = io.ErrUnexpectedEOF
		}
	}
	if len(b.unread) == 0 {
		return 0, b.err
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

// Close implements io.Closer.
func (b *relayedBody) Close() error {
	b.end()
	return nil
}

// end closes the stream. Unless it has ended, this ends the run at the target too.
func (b *relayedBody) end() {
	b.silence.Stop()
	if b.stream != nil && b.err == io.EOF {
		// Closing a stream that has ended keeps its connection for others; an error makes no difference.
		_ = b.stream.Close()
	}
	b.cancel()
}

// Relay implements inner.DRPCPeerServer: it sends a request to a target over this host's own link and sends back the response.
func (p *peerServer) Relay(r *inner.RelayRequest, stream inner.DRPCPeer_RelayStream) error {
	ctx, cancel := context.WithTimeout(stream.Context(), time.Duration(r.TimeoutMilliseconds)*time.Millisecond)
	defer cancel()
	p.gateway.relaysForPeers.Add(1)
	defer p.gateway.relaysForPeers.Add(-1)
	replies := make(chan *inner.RelayReply)
	go func() {
		defer close(replies)
		defer p.gateway.guard("Relay")
		p.gateway.relayForPeer(ctx, r, func(reply *inner.RelayReply) bool {
			select {
			case replies <- reply:
				return true
			case <-ctx.Done():
				return false
			}
		})
	}()
	err := sendReplies(replies, stream)
	cancel()
	for range replies {
		// The goroutine above ends as soon as the context has.
	}
	return err
}

// sendReplies sends replies until there is none left, with keep-alive messages between them.
func sendReplies(replies <-chan *inner.RelayReply, stream inner.DRPCPeer_RelayStream) error {
	keepAlive := time.NewTicker(inner.KeepAliveInterval)
	defer keepAlive.Stop()
	for {
		reply := &inner.RelayReply{Kind: inner.RelayKind_RelayAlive}
		select {
		case next, ok := <-replies:
			if !ok {
				return nil
			}
			reply = next
		case <-keepAlive.C:
		}
		if err := stream.Send(reply); err != nil {
			return err
		}
	}
}

// relayForPeer sends a request of a peer to a target and passes the response to send, which returns false once the peer has
// left.
func (g *Gateway) relayForPeer(ctx context.Context, r *inner.RelayRequest, send func(*inner.RelayReply) bool) {
	endsInTime := g.stop.EndsInTime(g.now() + time.Duration(r.TimeoutMilliseconds)*time.Millisecond)
	if g.relaysForPeers.Load() > maxRelaysForPeers || !endsInTime {
		send(&inner.RelayReply{Kind: inner.RelayKind_RelayExhausted})
		return
	}
	size := int64(len(r.Body))
	if !g.bodies.Acquire(size, size) {
		send(&inner.RelayReply{Kind: inner.RelayKind_RelayExhausted})
		return
	}
	defer g.bodies.Release(size)
	target, found := g.findTarget(r.Target)
	if !found || target.Draining || target.Address != r.Address || !g.reach.Direct(r.Target) || g.maySend(r.Target) != nil {
		if found {
			g.startReachCheck(r.Target)
		}
		send(&inner.RelayReply{Kind: inner.RelayKind_RelayNotSent})
		return
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+r.Address, bytes.NewReader(r.Body))
	if err != nil {
		send(&inner.RelayReply{Kind: inner.RelayKind_RelayNotSent})
		return
	}
	request.URL, request.Host, request.Header = uri.URL(r.Address, r.Uri), r.Host, decodeHeader(r.Headers)
	g.stats.relayedForPeers.Add(1)
	response, err := g.pools.get(r.Target, r.Address).Do(request, backend.Options{Once: r.RecentlyUsed})
	if err != nil {
		if errorx.IsOfType(err, backend.ErrNotSent) && ctx.Err() == nil {
			g.recordOutOfReach(r.Target)
		}
		g.recordUnusable(placement.Placed{Target: r.Target, Address: r.Address}, err)
		send(&inner.RelayReply{Kind: relayKindOf(err)})
		return
	}
	g.recordInReach(r.Target)
	g.readNotice(notice.Key{Target: r.Target, Incarnation: target.Incarnation}, response.StatusCode, response.Header)
	defer response.Body.Close()
	if send(&inner.RelayReply{Kind: inner.RelayKind_RelayHead, Status: int32(response.StatusCode), Headers: encodeHeader(response.Header), Length: response.ContentLength}) {
		relayBody(response.Body, send)
	}
}

// relayKindOf returns the kind of the reply for an error of backend.Pool.Do.
func relayKindOf(err error) inner.RelayKind {
	switch {
	case errorx.IsOfType(err, backend.ErrNotSent):
		return inner.RelayKind_RelayNotSent
	case errorx.IsOfType(err, backend.ErrPoolExhausted):
		return inner.RelayKind_RelayExhausted
	}
	return inner.RelayKind_RelayBroke
}

// relayBody passes a body to send in parts.
func relayBody(body io.Reader, send func(*inner.RelayReply) bool) {
	for {
		buffer := make([]byte, relayPartBytes)
		n, err := body.Read(buffer)
		if n > 0 && !send(&inner.RelayReply{Kind: inner.RelayKind_RelayPart, Body: buffer[:n]}) {
			return
		}
		switch err {
		case nil:
		case io.EOF:
			send(&inner.RelayReply{Kind: inner.RelayKind_RelayEnd})
			return
		default:
			send(&inner.RelayReply{Kind: inner.RelayKind_RelayBroke})
			return
		}
	}
}

// encodeHeader converts a header to its wire form, without fields that are not UTF-8: a message with them could not be sent.
func encodeHeader(h http.Header) []*inner.Header {
	var encoded []*inner.Header
	for name, values := range h {
		for _, value := range values {
			if utf8.ValidString(value) {
				encoded = append(encoded, &inner.Header{Name: name, Value: value})
			}
		}
	}
	return encoded
}

// isUTF8 reports whether all parts of the request that a message to a peer holds as text are UTF-8.
func (q *request) isUTF8() bool {
	if !utf8.ValidString(q.uri) || !utf8.ValidString(q.host) {
		return false
	}
	for _, values := range q.header {
		for _, value := range values {
			if !utf8.ValidString(value) {
				return false
			}
		}
	}
	return true
}

func decodeHeader(fields []*inner.Header) http.Header {
	h := make(http.Header, len(fields))
	for _, f := range fields {
		h[f.Name] = append(h[f.Name], f.Value)
	}
	return h
}
