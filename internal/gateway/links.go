package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"briarcroft/internal/host"
	"briarcroft/internal/inner"
	"briarcroft/internal/placement"
	"briarcroft/internal/ring"
)

// Times and sizes of the placement streams to homes.
const (
	// homeSilenceTimeout is how long a home may send nothing while requests wait for it: three keep-alive intervals.
	homeSilenceTimeout = 3 * keepAliveInterval
	// idleSendWait is how long send waits for the next call while no request waits for the home. After that it checks
	// again whether one does.
	idleSendWait = time.Minute
	// suspectTime is how long no requests are sent to a home that did not answer or whose stream ended.
	suspectTime = 500 * time.Millisecond
	// placeCallQueueSize is the number of calls that may be queued for a home that reads slowly.
	placeCallQueueSize = 1024
	// maxRemoteHomes is the number of other hosts to which a request is sent for placement before this host places it.
	maxRemoteHomes = 2
)

// placementEvent tells a pending request about a verdict, or that the stream to its placer has ended.
type placementEvent struct {
	placer       placer
	verdict      placement.Verdict
	disconnected bool
}

// pendingRequest receives the verdicts for one request of a caller, from every placer that it was sent to.
type pendingRequest struct {
	// number identifies the request on placement streams.
	number  uint64
	service string
	events  chan placementEvent
}

// placer decides which target runs a request: a remoteHome or the localHome.
type placer interface {
	// name returns the name of the host that decides.
	name() string
	// place requests a target; verdicts follow as events of the pending request.
	place(p *pendingRequest, r *placement.Request)
	// endRun reports the end of a run, which frees its slot on the target.
	endRun(p *pendingRequest, end placement.RunEnd)
	// withdraw takes back a call of place that has no final verdict (Placed or Refused) yet.
	withdraw(p *pendingRequest)
	// verdictReceived must be called once a call of place has its final verdict. It must not be called after withdraw.
	verdictReceived()
}

// homeClient sends the requests of this host's callers to the homes of their services, over one placement stream to
// each home, and passes the verdicts on.
type homeClient struct {
	gateway    *Gateway
	lastNumber atomic.Uint64
	mu         sync.Mutex
	pending    map[uint64]*pendingRequest
	// remotes holds the streams by the name of the host at the other end.
	remotes map[string]*remoteHome
	// suspects holds, by the name of a host, the time until which no requests are sent to it for placement.
	suspects map[string]time.Duration
	// ranks is keyed by service.
	ranks map[string]cachedRank
	// allowances holds this host's share of the health probes of each service.
	allowances map[string]*placement.ProbeAllowance
	local      *localHome
	ctx        context.Context
	cancel     context.CancelFunc
	tasks      sync.WaitGroup
}

// cachedRank is the order in which hosts are tried as homes of a service, computed from a result of MemberTable.Live.
type cachedRank struct {
	live, members []host.Member
}

func newHomeClient(g *Gateway) *homeClient {
	c := &homeClient{
		gateway: g, pending: map[uint64]*pendingRequest{}, remotes: map[string]*remoteHome{}, suspects: map[string]time.Duration{}, ranks: map[string]cachedRank{},
		allowances: map[string]*placement.ProbeAllowance{},
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.local = &localHome{client: c}
	c.local.session = g.homeServer.openSession(c.local.handleVerdict, nil)
	return c
}

func (c *homeClient) close() {
	c.cancel()
	c.tasks.Wait()
}

// register returns a new pending request of a service, which must be given to unregister in the end.
func (c *homeClient) register(service string) *pendingRequest {
	p := &pendingRequest{number: c.lastNumber.Add(1), service: service, events: make(chan placementEvent, 8)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[p.number] = p
	return p
}

func (c *homeClient) unregister(p *pendingRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, p.number)
}

// deliver passes a verdict to its pending request. It returns false when the request is no longer pending or its
// queue is full; a slot that the verdict reserves must then be released.
func (c *homeClient) deliver(number uint64, from placer, v placement.Verdict) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pending[number]
	if p == nil {
		return false
	}
	select {
	case p.events <- placementEvent{placer: from, verdict: v}:
		return true
	default:
		return false
	}
}

// notifyDisconnected tells every pending request that the stream to a placer has ended.
func (c *homeClient) notifyDisconnected(from placer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pending {
		select {
		case p.events <- placementEvent{placer: from, disconnected: true}:
		default:
			// A full queue holds more verdicts than the request can use.
		}
	}
}

// rankedHomes returns the ready hosts in the order in which they are tried as homes of a service. The first is the
// service's primary home.
func (c *homeClient) rankedHomes(service string) []host.Member {
	live := c.gateway.members.Live(c.gateway.now())
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.ranks[service]
	if !sameSlice(r.live, live) {
		r = cachedRank{live, host.RankPlacers(service, live)}
		c.ranks[service] = r
	}
	return r.members
}

// sameSlice reports whether two slices are the same one and not only equal.
func sameSlice[T any](a, b []T) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// placers returns the homes to try for a request of the service, best first. The last one is always this host, so that
// requests are placed even when no home can be reached.
func (c *homeClient) placers(service string) []placer {
	now := c.gateway.now()
	self := c.gateway.settings.Host.Name
	var placers []placer
	for _, m := range c.rankedHomes(service) {
		if m.Name == self {
			break
		}
		if len(placers) == maxRemoteHomes {
			break
		}
		if h := c.remote(now, m); h != nil {
			placers = append(placers, h)
		}
	}
	return append(placers, c.local)
}

// suspect excludes another host from placers for suspectTime.
func (c *homeClient) suspect(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspects[name] = c.gateway.now() + suspectTime
}

// remote returns the stream to a home, opening it if there is none to this incarnation of the host, or nil while the
// home is suspected.
func (c *homeClient) remote(now time.Duration, m host.Member) *remoteHome {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until, suspected := c.suspects[m.Name]; suspected {
		if now < until {
			return nil
		}
		delete(c.suspects, m.Name)
	}
	h := c.remotes[m.Name]
	if h != nil && h.incarnation == m.Incarnation {
		return h
	}
	if h != nil {
		h.cancel()
	}
	h = &remoteHome{client: c, host: m.Name, address: m.Inner, incarnation: m.Incarnation, calls: ring.NewQueue[*inner.PlaceCall](ring.Config{Capacity: placeCallQueueSize})}
	h.ctx, h.cancel = context.WithCancel(c.ctx)
	h.lastReceived.Store(int64(now))
	c.remotes[m.Name] = h
	c.tasks.Go(func() {
		defer c.gateway.guard("PlacementStream")
		h.run()
	})
	return h
}

// remoteHome is the placement stream to another host.
type remoteHome struct {
	client        *homeClient
	host, address string
	incarnation   uint64
	calls         *ring.Queue[*inner.PlaceCall]
	ctx           context.Context
	cancel        context.CancelFunc
	// lastReceived is the time of Gateway.now at which the home last sent anything, in nanoseconds.
	lastReceived atomic.Int64
	// waiting counts the requests that wait for a final verdict of this home.
	waiting atomic.Int64
}

func (h *remoteHome) name() string { return h.host }

// queueCall queues a message for the home; it closes the stream when the queue is full.
func (h *remoteHome) queueCall(c *inner.PlaceCall) {
	if !h.calls.Push(c) {
		// A home that does not read its stream is treated as unreachable.
		h.cancel()
	}
}

func (h *remoteHome) place(p *pendingRequest, r *placement.Request) {
	if h.waiting.Add(1) == 1 {
		// An idle home sends no keep-alive messages, so its silence is measured from the first waiting request.
		h.lastReceived.Store(int64(h.client.gateway.now()))
	}
	h.queueCall(&inner.PlaceCall{Number: p.number, Service: p.service, Ask: inner.EncodePlaceAsk(h.client.gateway.now(), r)})
}

func (h *remoteHome) endRun(p *pendingRequest, end placement.RunEnd) {
	h.queueCall(&inner.PlaceCall{Number: p.number, Service: p.service, End: inner.EncodeRunEnd(end)})
}

func (h *remoteHome) verdictReceived() { h.waiting.Add(-1) }

func (h *remoteHome) withdraw(p *pendingRequest) {
	h.verdictReceived()
	h.queueCall(&inner.PlaceCall{Number: p.number, Service: p.service, Withdraw: true})
}

// run opens the stream and serves it until either side ends it.
func (h *remoteHome) run() {
	defer h.handleEnd()
	defer h.cancel()
	stream, err := h.client.gateway.client.Peer(h.ctx, h.address).Place(h.ctx)
	if err != nil {
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer h.cancel()
		defer h.client.gateway.guard("PlacementStream")
		h.receive(stream)
	}()
	h.send(stream)
	h.cancel()
	<-done
}

// handleEnd removes the ended stream, suspects its host and notifies the pending requests.
func (h *remoteHome) handleEnd() {
	h.client.mu.Lock()
	if h.client.remotes[h.host] == h {
		delete(h.client.remotes, h.host)
	}
	h.client.mu.Unlock()
	h.client.suspect(h.host)
	h.client.notifyDisconnected(h)
}

// send writes queued calls to the stream. It returns when the stream ends, or when the home has sent nothing for
// homeSilenceTimeout while requests wait.
func (h *remoteHome) send(stream inner.DRPCPeer_PlaceClient) {
	for h.ctx.Err() == nil {
		wait := idleSendWait
		if h.waiting.Load() > 0 {
			wait = keepAliveInterval
		}
		waitCtx, cancel := context.WithTimeout(h.ctx, wait)
		call, ok := h.calls.Pop(waitCtx)
		cancel()
		if ok && stream.Send(call) != nil {
			return
		}
		if h.waiting.Load() > 0 && h.client.gateway.now()-time.Duration(h.lastReceived.Load()) > homeSilenceTimeout {
			return
		}
	}
}

// receive delivers verdicts until the stream ends. It releases the slots that verdicts reserve for requests that are no
// longer pending.
func (h *remoteHome) receive(stream inner.DRPCPeer_PlaceClient) {
	for {
		message, err := stream.Recv()
		if err != nil {
			return
		}
		h.lastReceived.Store(int64(h.client.gateway.now()))
		v := inner.DecodeVerdict(message)
		if v == nil || h.client.deliver(message.Number, h, v) {
			continue
		}
		if target, reserved := reservedTarget(v); reserved {
			h.queueCall(&inner.PlaceCall{Number: message.Number, End: inner.EncodeRunEnd(placement.RunEnd{Target: target, Outcome: placement.OutcomeCanceled})})
		}
	}
}

// reservedTarget returns the target on which a verdict reserves a slot, if it reserves one.
func reservedTarget(v placement.Verdict) (string, bool) {
	switch v := v.(type) {
	case placement.Placed:
		return v.Target, true
	case placement.Hedge:
		return v.Target, true
	}
	return "", false
}

// localHome places requests on this host itself, without a network connection.
type localHome struct {
	client  *homeClient
	session *session
}

func (h *localHome) name() string { return h.client.gateway.settings.Host.Name }

// id returns the identifier under which the home server knows a pending request of this host.
func (h *localHome) id(number uint64) placement.RequestID {
	return placement.RequestID{Stream: h.session.id, Number: number}
}

func (h *localHome) place(p *pendingRequest, r *placement.Request) {
	r.ID = h.id(p.number)
	h.client.gateway.homeServer.place(p.service, r)
}

func (h *localHome) endRun(p *pendingRequest, end placement.RunEnd) {
	end.ID = h.id(p.number)
	h.client.gateway.homeServer.runEnded(p.service, end)
}

// verdictReceived implements placer; it has nothing to count because a local home cannot become unreachable.
func (h *localHome) verdictReceived() {}

func (h *localHome) withdraw(p *pendingRequest) {
	h.client.gateway.homeServer.withdraw(p.service, h.id(p.number))
}

// handleVerdict delivers a verdict; its caller holds the lock of the service's placement state.
func (h *localHome) handleVerdict(number uint64, v placement.Verdict) {
	if h.client.deliver(number, h, v) {
		return
	}
	target, reserved := reservedTarget(v)
	if !reserved {
		return
	}
	h.client.tasks.Go(func() {
		defer h.client.gateway.guard("PlacementStream")
		// Verdicts do not name the service, so all services are tried. This takes the lock that the caller holds,
		// hence the goroutine.
		h.client.gateway.homeServer.runEndedAnyService(placement.RunEnd{ID: h.id(number), Target: target, Outcome: placement.OutcomeCanceled})
	})
}
