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
	// linkSilence is how long a home may send nothing: three times what passes between two of its signs of life.
	linkSilence = 3 * aliveEvery
	// suspectFor is how long a home that did not answer is passed over.
	suspectFor = 500 * time.Millisecond
	// linkRing is how many calls may wait for a home that reads slowly.
	linkRing = 1024
	// askedHomes is how many homes are asked before a host decides alone.
	askedHomes = 2
	// rankTime is how long the order of a service's homes is kept.
	rankTime = 50 * time.Millisecond
)

// event is what a seat tells an errand: a verdict, or that the conversation has ended.
type event struct {
	from    seat
	verdict placement.Verdict
	lost    bool
}

// errand is one request's part in the conversations with homes.
type errand struct {
	number  uint64
	service string
	events  chan event
}

// seat is where a home decides: at another host or here.
type seat interface {
	// name is the host that decides.
	name() string
	ask(e *errand, r *placement.Request)
	end(e *errand, d placement.Done)
	withdraw(e *errand)
}

// links holds the conversations with homes.
type links struct {
	gateway  *Gateway
	last     atomic.Uint64
	mu       sync.Mutex
	errands  map[uint64]*errand
	byName   map[string]*link
	suspects map[string]time.Duration
	ranks    map[string]rank
	own      *ownSeat
	ctx      context.Context
	cancel   context.CancelFunc
	ends     sync.WaitGroup
}

// rank is the order of a service's homes, as of a time.
type rank struct {
	at      time.Duration
	members []host.Member
}

func newLinks(g *Gateway) *links {
	l := &links{
		gateway: g, errands: map[uint64]*errand{}, byName: map[string]*link{}, suspects: map[string]time.Duration{}, ranks: map[string]rank{},
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.own = &ownSeat{links: l}
	l.own.desk = g.homes.openDesk(l.own.take)
	return l
}

func (l *links) close() {
	l.cancel()
	l.ends.Wait()
}

// open begins an errand; close it with done.
func (l *links) open(service string) *errand {
	e := &errand{number: l.last.Add(1), service: service, events: make(chan event, 8)}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.errands[e.number] = e
	return e
}

func (l *links) done(e *errand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.errands, e.number)
}

// deliver hands a verdict to its errand and reports whether somebody takes it.
func (l *links) deliver(number uint64, from seat, v placement.Verdict) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.errands[number]
	if e == nil {
		return false
	}
	select {
	case e.events <- event{from: from, verdict: v}:
		return true
	default:
		return false
	}
}

// lose tells every errand that a conversation has ended.
func (l *links) lose(from seat) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.errands {
		select {
		case e.events <- event{from: from, lost: true}:
		default:
			// The errand has more verdicts than it can use.
		}
	}
}

// rank returns the ready hosts in the order in which they are home to a service.
func (l *links) rank(service string) []host.Member {
	now := l.gateway.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	r, known := l.ranks[service]
	if !known || now-r.at > rankTime {
		r = rank{now, host.Rank(service, l.gateway.table.Live(now))}
		l.ranks[service] = r
	}
	return r.members
}

// seats returns where to ask for a place, best first; the last is always this host.
func (l *links) seats(service string) []seat {
	now := l.gateway.now()
	self := l.gateway.settings.Host.Name
	var list []seat
	for _, m := range l.rank(service) {
		if m.Name == self {
			break
		}
		if len(list) == askedHomes {
			break
		}
		if link := l.link(now, m); link != nil {
			list = append(list, link)
		}
	}
	return append(list, l.own)
}

// suspect passes a home over for a while.
func (l *links) suspect(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suspects[name] = l.gateway.now() + suspectFor
}

// link returns the conversation with a home, beginning it when there is none, or nil while the home is passed over.
func (l *links) link(now time.Duration, m host.Member) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until, suspected := l.suspects[m.Name]; suspected {
		if now < until {
			return nil
		}
		delete(l.suspects, m.Name)
	}
	k := l.byName[m.Name]
	if k != nil && k.incarnation == m.Incarnation {
		return k
	}
	if k != nil {
		k.cancel()
	}
	k = &link{links: l, member: m.Name, address: m.Inner, incarnation: m.Incarnation, calls: ring.New[*inner.PlaceCall](ring.Config{Capacity: linkRing})}
	k.ctx, k.cancel = context.WithCancel(l.ctx)
	k.heard.Store(int64(now))
	l.byName[m.Name] = k
	l.ends.Go(k.run)
	return k
}

// link is the conversation with one other host.
type link struct {
	links           *links
	member, address string
	incarnation     uint64
	calls           *ring.Ring[*inner.PlaceCall]
	ctx             context.Context
	cancel          context.CancelFunc
	// heard is when the home last sent anything, on the host's clock.
	heard atomic.Int64
}

func (k *link) name() string { return k.member }

func (k *link) push(c *inner.PlaceCall) {
	if !k.calls.Push(c) {
		// A home that does not read is as good as gone.
		k.cancel()
	}
}

func (k *link) ask(e *errand, r *placement.Request) {
	k.push(&inner.PlaceCall{Number: e.number, Service: e.service, Ask: inner.ToAsk(k.links.gateway.now(), r)})
}

func (k *link) end(e *errand, d placement.Done) {
	k.push(&inner.PlaceCall{Number: e.number, Service: e.service, End: inner.ToEnd(d)})
}

func (k *link) withdraw(e *errand) {
	k.push(&inner.PlaceCall{Number: e.number, Service: e.service, Withdraw: true})
}

// run carries the conversation until it ends.
func (k *link) run() {
	defer k.ended()
	defer k.cancel()
	stream, err := k.links.gateway.client.Peer(k.ctx, k.address).Place(k.ctx)
	if err != nil {
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer k.cancel()
		k.receive(stream)
	}()
	k.send(stream)
	k.cancel()
	<-done
}

// ended forgets the conversation and tells the errands.
func (k *link) ended() {
	k.links.mu.Lock()
	if k.links.byName[k.member] == k {
		delete(k.links.byName, k.member)
	}
	k.links.mu.Unlock()
	k.links.suspect(k.member)
	k.links.lose(k)
}

// send hands calls to the home and ends the conversation once the home has been silent for too long.
func (k *link) send(stream inner.DRPCPeer_PlaceClient) {
	for k.ctx.Err() == nil {
		wait, cancel := context.WithTimeout(k.ctx, aliveEvery)
		call, ok := k.calls.Pop(wait)
		cancel()
		if ok && stream.Send(call) != nil {
			return
		}
		if k.links.gateway.now()-time.Duration(k.heard.Load()) > linkSilence {
			return
		}
	}
}

func (k *link) receive(stream inner.DRPCPeer_PlaceClient) {
	for {
		wire, err := stream.Recv()
		if err != nil {
			return
		}
		k.heard.Store(int64(k.links.gateway.now()))
		v := inner.FromVerdict(wire)
		if v == nil || k.links.deliver(wire.Number, k, v) {
			continue
		}
		if target, held := placeOf(v); held {
			k.push(&inner.PlaceCall{Number: wire.Number, End: inner.ToEnd(placement.Done{Target: target, Outcome: placement.Abandoned})})
		}
	}
}

// placeOf returns the target that a verdict holds a place on.
func placeOf(v placement.Verdict) (string, bool) {
	switch v := v.(type) {
	case placement.Placed:
		return v.Target, true
	case placement.Hedge:
		return v.Target, true
	}
	return "", false
}

// ownSeat is the decision on this host.
type ownSeat struct {
	links *links
	desk  *desk
}

func (o *ownSeat) name() string { return o.links.gateway.settings.Host.Name }

func (o *ownSeat) id(number uint64) placement.ID {
	return placement.ID{Host: o.desk.number, Number: number}
}

func (o *ownSeat) ask(e *errand, r *placement.Request) {
	r.ID = o.id(e.number)
	o.links.gateway.homes.ask(e.service, r)
}

func (o *ownSeat) end(e *errand, d placement.Done) {
	d.ID = o.id(e.number)
	o.links.gateway.homes.done(e.service, d)
}

func (o *ownSeat) withdraw(e *errand) {
	o.links.gateway.homes.withdraw(e.service, o.id(e.number))
}

// take gets a verdict under the lock of the decision.
func (o *ownSeat) take(number uint64, v placement.Verdict) {
	if o.links.deliver(number, o, v) {
		return
	}
	target, held := placeOf(v)
	if !held {
		return
	}
	o.links.ends.Go(func() {
		// The service is not known here any more; the home finds the run by its number.
		o.links.gateway.homes.abandon(placement.Done{ID: o.id(number), Target: target, Outcome: placement.Abandoned})
	})
}
