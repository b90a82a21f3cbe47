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
	// linkIdle is the pause between two looks at a conversation in which no request waits.
	linkIdle = time.Minute
	// suspectFor is how long a home that did not answer is passed over.
	suspectFor = 500 * time.Millisecond
	// linkRing is how many calls may wait for a home that reads slowly.
	linkRing = 1024
	// askedHomes is how many homes are asked before a host decides alone.
	askedHomes = 2
	// rankTime is how long the order of a service's homes is kept.
	rankTime = 50 * time.Millisecond
)

// event is what a decider tells an inquiry: a verdict, or that the conversation has ended.
type event struct {
	from    decider
	verdict placement.Verdict
	lost    bool
}

// inquiry is one request's questions to homes, and what they answer.
type inquiry struct {
	number  uint64
	service string
	events  chan event
}

// decider is whoever decides on a place: a remoteHome or the localHome.
type decider interface {
	// name is the host that decides.
	name() string
	ask(e *inquiry, r *placement.Request)
	end(e *inquiry, d placement.Done)
	withdraw(e *inquiry)
	// decided notes that an ask has its verdict; withdraw does so for one without.
	decided()
}

// links holds the conversations with homes.
type links struct {
	gateway   *Gateway
	last      atomic.Uint64
	mu        sync.Mutex
	inquiries map[uint64]*inquiry
	byName    map[string]*remoteHome
	suspects  map[string]time.Duration
	ranks     map[string]rank
	own       *localHome
	ctx       context.Context
	cancel    context.CancelFunc
	ends      sync.WaitGroup
}

// rank is the order of a service's homes, as of a time.
type rank struct {
	at      time.Duration
	members []host.Member
}

func newLinks(g *Gateway) *links {
	l := &links{
		gateway: g, inquiries: map[uint64]*inquiry{}, byName: map[string]*remoteHome{}, suspects: map[string]time.Duration{}, ranks: map[string]rank{},
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.own = &localHome{links: l}
	l.own.session = g.homes.openSession(l.own.take, nil)
	return l
}

func (l *links) close() {
	l.cancel()
	l.ends.Wait()
}

// open begins an inquiry; close it with done.
func (l *links) open(service string) *inquiry {
	e := &inquiry{number: l.last.Add(1), service: service, events: make(chan event, 8)}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inquiries[e.number] = e
	return e
}

func (l *links) done(e *inquiry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.inquiries, e.number)
}

// deliver hands a verdict to its inquiry and reports whether somebody takes it.
func (l *links) deliver(number uint64, from decider, v placement.Verdict) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.inquiries[number]
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

// lose tells every inquiry that a conversation has ended.
func (l *links) lose(from decider) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.inquiries {
		select {
		case e.events <- event{from: from, lost: true}:
		default:
			// The inquiry has more verdicts than it can use.
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

// deciders returns where to ask for a place, best first; the last is always this host.
func (l *links) deciders(service string) []decider {
	now := l.gateway.now()
	self := l.gateway.settings.Host.Name
	var list []decider
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
func (l *links) link(now time.Duration, m host.Member) *remoteHome {
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
	k = &remoteHome{links: l, member: m.Name, address: m.Inner, incarnation: m.Incarnation, calls: ring.New[*inner.PlaceCall](ring.Config{Capacity: linkRing})}
	k.ctx, k.cancel = context.WithCancel(l.ctx)
	k.heard.Store(int64(now))
	l.byName[m.Name] = k
	l.ends.Go(k.run)
	return k
}

// remoteHome is the conversation with another host that decides.
type remoteHome struct {
	links           *links
	member, address string
	incarnation     uint64
	calls           *ring.Ring[*inner.PlaceCall]
	ctx             context.Context
	cancel          context.CancelFunc
	// heard is when the home last sent anything, on the host's clock, and waiting counts the requests that have no place yet.
	heard   atomic.Int64
	waiting atomic.Int64
}

func (k *remoteHome) name() string { return k.member }

func (k *remoteHome) push(c *inner.PlaceCall) {
	if !k.calls.Push(c) {
		// A home that does not read is as good as gone.
		k.cancel()
	}
}

func (k *remoteHome) ask(e *inquiry, r *placement.Request) {
	if k.waiting.Add(1) == 1 {
		// Silence counts from now on.
		k.heard.Store(int64(k.links.gateway.now()))
	}
	k.push(&inner.PlaceCall{Number: e.number, Service: e.service, Ask: inner.EncodePlaceAsk(k.links.gateway.now(), r)})
}

func (k *remoteHome) end(e *inquiry, d placement.Done) {
	k.push(&inner.PlaceCall{Number: e.number, Service: e.service, End: inner.EncodeRunEnd(d)})
}

func (k *remoteHome) decided() { k.waiting.Add(-1) }

func (k *remoteHome) withdraw(e *inquiry) {
	k.decided()
	k.push(&inner.PlaceCall{Number: e.number, Service: e.service, Withdraw: true})
}

// run carries the conversation until it ends.
func (k *remoteHome) run() {
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

// ended forgets the conversation and tells the inquiries.
func (k *remoteHome) ended() {
	k.links.mu.Lock()
	if k.links.byName[k.member] == k {
		delete(k.links.byName, k.member)
	}
	k.links.mu.Unlock()
	k.links.suspect(k.member)
	k.links.lose(k)
}

// send hands calls to the home and ends the conversation once the home has been silent for too long while requests wait.
func (k *remoteHome) send(stream inner.DRPCPeer_PlaceClient) {
	for k.ctx.Err() == nil {
		pause := linkIdle
		if k.waiting.Load() > 0 {
			pause = aliveEvery
		}
		wait, cancel := context.WithTimeout(k.ctx, pause)
		call, ok := k.calls.Pop(wait)
		cancel()
		if ok && stream.Send(call) != nil {
			return
		}
		if k.waiting.Load() > 0 && k.links.gateway.now()-time.Duration(k.heard.Load()) > linkSilence {
			return
		}
	}
}

func (k *remoteHome) receive(stream inner.DRPCPeer_PlaceClient) {
	for {
		wire, err := stream.Recv()
		if err != nil {
			return
		}
		k.heard.Store(int64(k.links.gateway.now()))
		v := inner.DecodeVerdict(wire)
		if v == nil || k.links.deliver(wire.Number, k, v) {
			continue
		}
		if target, held := placeOf(v); held {
			k.push(&inner.PlaceCall{Number: wire.Number, End: inner.EncodeRunEnd(placement.Done{Target: target, Outcome: placement.Abandoned})})
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

// localHome is the decision on this host itself.
type localHome struct {
	links   *links
	session *session
}

func (o *localHome) name() string { return o.links.gateway.settings.Host.Name }

func (o *localHome) id(number uint64) placement.ID {
	return placement.ID{Host: o.session.number, Number: number}
}

func (o *localHome) ask(e *inquiry, r *placement.Request) {
	r.ID = o.id(e.number)
	o.links.gateway.homes.ask(e.service, r)
}

func (o *localHome) end(e *inquiry, d placement.Done) {
	d.ID = o.id(e.number)
	o.links.gateway.homes.done(e.service, d)
}

// decided implements decider: the own host's decisions can't fall silent.
func (o *localHome) decided() {}

func (o *localHome) withdraw(e *inquiry) {
	o.links.gateway.homes.withdraw(e.service, o.id(e.number))
}

// take gets a verdict under the lock of the decision.
func (o *localHome) take(number uint64, v placement.Verdict) {
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
