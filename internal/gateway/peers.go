package gateway

import (
	"context"
	"net"
	"sync"

	"briarcroft/internal/inner"
	"briarcroft/internal/placement"
	"briarcroft/internal/platform"
	"briarcroft/internal/record"
	"briarcroft/internal/ring"
)

// peerServer answers peers.
type peerServer struct {
	// Notes and claims travel between hosts of the other kind only.
	inner.DRPCPeerUnimplementedServer
	gateway *Gateway
}

func (g *Gateway) servePeers(ctx context.Context, l net.Listener) error {
	done, err := inner.Serve(ctx, inner.ServerConfig{Listener: l, Handler: &peerServer{gateway: g}})
	if err != nil {
		return err
	}
	return <-done
}

// Heartbeat implements inner.DRPCPeerServer.
func (p *peerServer) Heartbeat(_ context.Context, r *inner.HeartbeatRequest) (*inner.HeartbeatReply, error) {
	p.gateway.heard(r.Sender, r.Members)
	return inner.HandleHeartbeat(p.gateway.table, p.gateway.now(), r), nil
}

// Place implements inner.DRPCPeerServer: it decides for the host at the other end.
func (p *peerServer) Place(stream inner.DRPCPeer_PlaceStream) error {
	homes := p.gateway.homes
	ctx, cancel := context.WithCancel(stream.Context())
	d := homes.openSession(nil, cancel)
	defer homes.closeSession(d)
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer cancel()
		for {
			verdict, ok := d.verdicts.Pop(ctx)
			if !ok || stream.Send(verdict) != nil {
				return
			}
		}
	}()
	err := p.read(ctx, stream, d)
	cancel()
	<-done
	return err
}

func (p *peerServer) read(ctx context.Context, stream inner.DRPCPeer_PlaceStream, d *session) error {
	homes := p.gateway.homes
	for ctx.Err() == nil {
		call, err := stream.Recv()
		if err != nil {
			return err
		}
		id := placement.ID{Host: d.number, Number: call.Number}
		switch {
		case call.Ask != nil:
			homes.ask(call.Service, inner.DecodePlaceAsk(p.gateway.now(), id, call.Ask))
		case call.End != nil && call.Service == "":
			homes.abandon(inner.DecodeRunEnd(id, call.End))
		case call.End != nil:
			homes.done(call.Service, inner.DecodeRunEnd(id, call.End))
		case call.Withdraw:
			homes.withdraw(call.Service, id)
		}
	}
	return ctx.Err()
}

// followRing is how many changes may wait for a follower that reads slowly.
const followRing = 64

// news is what followers are told of the store.
type news struct {
	changes  []platform.Change
	revision int64
	returned bool
}

// followers are the hosts that hear of the store's changes from this one.
type followers struct {
	mu       sync.Mutex
	last     uint64
	byNumber map[uint64]*ring.Ring[news]
}

// tell passes news on; a follower that is too slow loses its stream and begins anew.
func (f *followers) tell(n news) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for number, r := range f.byNumber {
		if !r.Push(n) {
			delete(f.byNumber, number)
		}
	}
}

func (f *followers) add() (uint64, *ring.Ring[news]) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.last++
	r := ring.New[news](ring.Config{Capacity: followRing})
	f.byNumber[f.last] = r
	return f.last, r
}

func (f *followers) remove(number uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.byNumber, number)
}

func (f *followers) holds(number uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, held := f.byNumber[number]
	return held
}

// FollowStore implements inner.DRPCPeerServer: it tells everything known of the store, then what changes.
func (p *peerServer) FollowStore(_ *inner.FollowStoreRequest, stream inner.DRPCPeer_FollowStoreStream) error {
	g := p.gateway
	number, changes := g.followers.add()
	defer g.followers.remove(number)
	everything, revision := g.roster.Changes()
	if err := stream.Send(toFollowReply(news{changes: everything, revision: revision})); err != nil {
		return err
	}
	for g.followers.holds(number) {
		wait, cancel := context.WithTimeout(stream.Context(), followAliveEvery)
		n, ok := changes.Pop(wait)
		cancel()
		if stream.Context().Err() != nil {
			return stream.Context().Err()
		}
		if !ok {
			n = news{}
		}
		if err := stream.Send(toFollowReply(n)); err != nil {
			return err
		}
	}
	return inner.ErrPeerFailed.New("host %s could not keep up; following again from the start", g.settings.Host.Name)
}

func toFollowReply(n news) *inner.FollowStoreReply {
	reply := &inner.FollowStoreReply{Revision: n.revision, Returned: n.returned}
	for _, c := range n.changes {
		reply.Changes = append(reply.Changes, &inner.StoreChange{Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted})
	}
	return reply
}

func fromFollowReply(reply *inner.FollowStoreReply) news {
	n := news{revision: reply.Revision, returned: reply.Returned}
	for _, c := range reply.Changes {
		n.changes = append(n.changes, platform.Change{Entry: platform.Entry{Key: c.Key, Value: c.Value, Revision: c.Revision}, Deleted: c.Deleted})
	}
	return n
}

// beatDuty sends heartbeats.
func (g *Gateway) beatDuty(ctx context.Context) { g.beats.Run(ctx, g.kick, g.beat) }

func (g *Gateway) beat(ctx context.Context) {
	recipients := g.table.Beat(g.now())
	if g.table.TakePaused() {
		g.book.Add(record.Record{Kind: record.HostPaused, Cause: "HeartbeatLate", Note: g.chain.Number()})
		g.refreshReady()
	}
	g.explainMembership()
	g.beats.Round(ctx, g.withNeighbours(recipients))
}

// withNeighbours adds the hosts that the store names while no peer is known.
func (g *Gateway) withNeighbours(recipients []string) []string {
	if len(g.table.Peers()) > 0 {
		return recipients
	}
	for _, address := range g.roster.View().Neighbours {
		if address != g.settings.Host.PeerAddress() {
			recipients = append(recipients, address)
		}
	}
	return recipients
}

// explainMembership writes a record for each change of the membership.
func (g *Gateway) explainMembership() {
	for _, e := range g.table.TakeEvents() {
		g.book.Add(record.FromMembershipEvent(e, g.chain.Number()))
	}
}
