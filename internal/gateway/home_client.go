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

// Times and sizes of the conversations with homes.
const (
	// homeSilenceTimeout is how long a home may send nothing: three times what passes between two of its signs of life.
	homeSilenceTimeout = 3 * keepAliveInterval
	// idleSendWait is the pause between two looks at a conversation in which no request waits.
	idleSendWait = time.Minute
	// suspectTime is how long a home that did not answer is passed over.
	suspectTime = 500 * time.Millisecond
	// placeCallQueueSize is how many calls may wait for a home that reads slowly.
	placeCallQueueSize = 1024
	// maxRemoteHomes is how many homes are asked before a host decides alone.
	maxRemoteHomes = 2
	// rankCacheTime is how long the order of a service's homes is kept.
	rankCacheTime = 50 * time.Millisecond
)

// placementEvent is what a decider tells an inquiry: a verdict, or that the conversation has ended.
type placementEvent struct {
	placer       placer
	verdict      placement.Verdict
	disconnected bool
}

// pendingRequest is one request's questions to homes, and what they answer.
type pendingRequest struct {
	number  uint64
	service string
	events  chan placementEvent
}

// placer is whoever decides on a place: a remoteHome or the localHome.
type placer interface {
	// name is the host that decides.
	name() string
	place(p *pendingRequest, r *placement.Request)
	endRun(p *pendingRequest, d placement.Done)
	withdraw(p *pendingRequest)
	// verdictReceived notes that an ask has its verdict; withdraw does so for one without.
	verdictReceived()
}

// homeClient holds the conversations with homes.
type homeClient struct {
	gateway    *Gateway
	lastNumber atomic.Uint64
	mu         sync.Mutex
	pending    map[uint64]*pendingRequest
	remotes    map[string]*remoteHome
	suspects   map[string]time.Duration
	ranks      map[string]cachedRank
	local      *localHome
	ctx        context.Context
	cancel     context.CancelFunc
	tasks      sync.WaitGroup
}

// cachedRank is the order of a service's homes, as of a time.
type cachedRank struct {
	at      time.Duration
	members []host.Member
}

func newLinks(g *Gateway) *homeClient {
	c := &homeClient{
		gateway: g, pending: map[uint64]*pendingRequest{}, remotes: map[string]*remoteHome{}, suspects: map[string]time.Duration{}, ranks: map[string]cachedRank{},
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

// register begins an inquiry; close it with done.
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

// deliver hands a verdict to its inquiry and reports whether somebody takes it.
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

// notifyDisconnected tells every inquiry that a conversation has ended.
func (c *homeClient) notifyDisconnected(from placer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pending {
		select {
		case p.events <- placementEvent{placer: from, disconnected: true}:
		default:
			// The inquiry has more verdicts than it can use.
		}
	}
}

// rankedHomes returns the ready hosts in the order in which they are home to a service.
func (c *homeClient) rankedHomes(service string) []host.Member {
	now := c.gateway.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	r, known := c.ranks[service]
	if !known || now-r.at > rankCacheTime {
		r = cachedRank{now, host.Rank(service, c.gateway.members.Live(now))}
		c.ranks[service] = r
	}
	return r.members
}

// placers returns where to ask for a place, best first; the last is always this host.
func (c *homeClient) placers(service string) []placer {
	now := c.gateway.now()
	self := c.gateway.settings.Host.Name
	var list []placer
	for _, m := range c.rankedHomes(service) {
		if m.Name == self {
			break
		}
		if len(list) == maxRemoteHomes {
			break
		}
		if h := c.remote(now, m); h != nil {
			list = append(list, h)
		}
	}
	return append(list, c.local)
}

// suspect passes a home over for a while.
func (c *homeClient) suspect(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspects[name] = c.gateway.now() + suspectTime
}

// remote returns the conversation with a home, beginning it when there is none, or nil while the home is passed over.
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
	h = &remoteHome{client: c, host: m.Name, address: m.Inner, incarnation: m.Incarnation, calls: ring.New[*inner.PlaceCall](ring.Config{Capacity: placeCallQueueSize})}
	h.ctx, h.cancel = context.WithCancel(c.ctx)
	h.lastReceived.Store(int64(now))
	c.remotes[m.Name] = h
	c.tasks.Go(h.run)
	return h
}

// remoteHome is the conversation with another host that decides.
type remoteHome struct {
	client        *homeClient
	host, address string
	incarnation   uint64
	calls         *ring.Ring[*inner.PlaceCall]
	ctx           context.Context
	cancel        context.CancelFunc
	// lastReceived is when the home last sent anything, on the host's clock, and waiting counts the requests that have no place yet.
	lastReceived atomic.Int64
	waiting      atomic.Int64
}

func (h *remoteHome) name() string { return h.host }

func (h *remoteHome) queueCall(c *inner.PlaceCall) {
	if !h.calls.Push(c) {
		// A home that does not read is as good as gone.
		h.cancel()
	}
}

func (h *remoteHome) place(p *pendingRequest, r *placement.Request) {
	if h.waiting.Add(1) == 1 {
		// Silence counts from now on.
		h.lastReceived.Store(int64(h.client.gateway.now()))
	}
	h.queueCall(&inner.PlaceCall{Number: p.number, Service: p.service, Ask: inner.ToAsk(h.client.gateway.now(), r)})
}

func (h *remoteHome) endRun(p *pendingRequest, d placement.Done) {
	h.queueCall(&inner.PlaceCall{Number: p.number, Service: p.service, End: inner.ToEnd(d)})
}

func (h *remoteHome) verdictReceived() { h.waiting.Add(-1) }

func (h *remoteHome) withdraw(p *pendingRequest) {
	h.verdictReceived()
	h.queueCall(&inner.PlaceCall{Number: p.number, Service: p.service, Withdraw: true})
}

// run carries the conversation until it ends.
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
		h.receive(stream)
	}()
	h.send(stream)
	h.cancel()
	<-done
}

// handleEnd forgets the conversation and tells the inquiries.
func (h *remoteHome) handleEnd() {
	h.client.mu.Lock()
	if h.client.remotes[h.host] == h {
		delete(h.client.remotes, h.host)
	}
	h.client.mu.Unlock()
	h.client.suspect(h.host)
	h.client.notifyDisconnected(h)
}

// send hands calls to the home and ends the conversation once the home has been silent for too long while requests wait.
func (h *remoteHome) send(stream inner.DRPCPeer_PlaceClient) {
	for h.ctx.Err() == nil {
		pause := idleSendWait
		if h.waiting.Load() > 0 {
			pause = keepAliveInterval
		}
		wait, cancel := context.WithTimeout(h.ctx, pause)
		call, ok := h.calls.Pop(wait)
		cancel()
		if ok && stream.Send(call) != nil {
			return
		}
		if h.waiting.Load() > 0 && h.client.gateway.now()-time.Duration(h.lastReceived.Load()) > homeSilenceTimeout {
			return
		}
	}
}

func (h *remoteHome) receive(stream inner.DRPCPeer_PlaceClient) {
	for {
		wire, err := stream.Recv()
		if err != nil {
			return
		}
		h.lastReceived.Store(int64(h.client.gateway.now()))
		v := inner.FromVerdict(wire)
		if v == nil || h.client.deliver(wire.Number, h, v) {
			continue
		}
		if target, held := reservedTarget(v); held {
			h.queueCall(&inner.PlaceCall{Number: wire.Number, End: inner.ToEnd(placement.Done{Target: target, Outcome: placement.Abandoned})})
		}
	}
}

// reservedTarget returns the target that a verdict holds a place on.
func reservedTarget(v placement.Verdict) (string, bool) {
	switch v := v.(type) {
	case placement.Placed:
		return v.Target, true
	case placement.Hedge:
		return v.Target, true
	}
	return "", false
}

// localHome is the decision on this host itself.
type localHome struct {
	client  *homeClient
	session *session
}

func (h *localHome) name() string { return h.client.gateway.settings.Host.Name }

func (h *localHome) id(number uint64) placement.ID {
	return placement.ID{Host: h.session.id, Number: number}
}

func (h *localHome) place(p *pendingRequest, r *placement.Request) {
	r.ID = h.id(p.number)
	h.client.gateway.homeServer.place(p.service, r)
}

func (h *localHome) endRun(p *pendingRequest, d placement.Done) {
	d.ID = h.id(p.number)
	h.client.gateway.homeServer.runEnded(p.service, d)
}

// verdictReceived implements decider: the own host's decisions can't fall silent.
func (h *localHome) verdictReceived() {}

func (h *localHome) withdraw(p *pendingRequest) {
	h.client.gateway.homeServer.withdraw(p.service, h.id(p.number))
}

// handleVerdict gets a verdict under the lock of the decision.
func (h *localHome) handleVerdict(number uint64, v placement.Verdict) {
	if h.client.deliver(number, h, v) {
		return
	}
	target, held := reservedTarget(v)
	if !held {
		return
	}
	h.client.tasks.Go(func() {
		// The service is not known here any more; the home finds the run by its number.
		h.client.gateway.homeServer.runEndedAnyService(placement.Done{ID: h.id(number), Target: target, Outcome: placement.Abandoned})
	})
}
