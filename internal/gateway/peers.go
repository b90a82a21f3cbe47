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

	"google.golang.org/protobuf/proto"
)

// peerServer implements the RPCs that other entry hosts call.
type peerServer struct {
	// The methods that are not implemented here are called only between hosts of package entry.
	inner.DRPCPeerUnimplementedServer
	gateway *Gateway
}

// servePeers serves the RPCs of other hosts until the context ends.
func (g *Gateway) servePeers(ctx context.Context, l net.Listener) error {
	done, err := inner.Serve(ctx, inner.ServerConfig{Listener: l, Handler: &peerServer{gateway: g}})
	if err != nil {
		return err
	}
	return <-done
}

// Heartbeat implements inner.DRPCPeerServer.
func (p *peerServer) Heartbeat(_ context.Context, r *inner.HeartbeatRequest) (*inner.HeartbeatReply, error) {
	p.gateway.queueIfNewer(r.Sender, r.Members)
	return inner.HandleHeartbeat(p.gateway.members, p.gateway.now(), r), nil
}

// Place implements inner.DRPCPeerServer: it places requests of the host at the other end of the stream.
func (p *peerServer) Place(stream inner.DRPCPeer_PlaceStream) error {
	homes := p.gateway.homeServer
	ctx, cancel := context.WithCancel(stream.Context())
	sess := homes.openSession(nil, cancel)
	defer homes.closeSession(sess)
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer cancel()
		for {
			verdict, ok := sess.verdicts.Pop(ctx)
			if !ok || stream.Send(verdict) != nil {
				return
			}
		}
	}()
	err := p.handleCalls(ctx, stream, sess)
	cancel()
	<-done
	return err
}

// handleCalls handles the messages of a placement stream until it ends. The requesting host reports the end of a run
// without a service if it cannot deliver the verdict, for instance because the request has ended there in the meantime.
func (p *peerServer) handleCalls(ctx context.Context, stream inner.DRPCPeer_PlaceStream, sess *session) error {
	homes := p.gateway.homeServer
	for ctx.Err() == nil {
		call, err := stream.Recv()
		if err != nil {
			return err
		}
		id := placement.RequestID{Stream: sess.id, Number: call.Number}
		switch {
		case call.Ask != nil:
			homes.place(call.Service, inner.DecodePlaceAsk(p.gateway.now(), id, call.Ask))
		case call.End != nil && call.Service == "":
			homes.runEndedAnyService(inner.DecodeRunEnd(id, call.End))
		case call.End != nil:
			homes.runEnded(call.Service, inner.DecodeRunEnd(id, call.End))
		case call.Withdraw:
			homes.withdraw(call.Service, id)
		}
	}
	return ctx.Err()
}

// followerQueueSize is the number of updates that may be queued for a follower that reads slowly.
const followerQueueSize = 64

// storeUpdate is what followers are sent about the store: changes of entries, which complete their replica up to the
// revision, and whether an outage of the store has ended. An empty one is a keep-alive message.
type storeUpdate struct {
	changes  []platform.Change
	revision int64
	returned bool
}

// followers are the hosts that receive changes of the store from this one.
type followers struct {
	mu         sync.Mutex
	lastNumber uint64
	queues     map[uint64]*ring.Queue[storeUpdate]
}

// broadcast queues an update for all followers. A follower whose queue is full is removed, which ends its stream; it
// then follows again and receives all entries.
func (f *followers) broadcast(u storeUpdate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for number, queue := range f.queues {
		if !queue.Push(u) {
			delete(f.queues, number)
		}
	}
}

// add registers a follower and returns its number and its queue of updates.
func (f *followers) add() (uint64, *ring.Queue[storeUpdate]) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastNumber++
	queue := ring.NewQueue[storeUpdate](ring.Config{Capacity: followerQueueSize})
	f.queues[f.lastNumber] = queue
	return f.lastNumber, queue
}

// count returns the number of registered followers.
func (f *followers) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.queues)
}

func (f *followers) remove(number uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.queues, number)
}

// contains reports whether a follower is still registered; broadcast removes those that read too slowly.
func (f *followers) contains(number uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, found := f.queues[number]
	return found
}

// FollowStore implements inner.DRPCPeerServer: it sends all known entries of the store, then changes and, while there
// are none, keep-alive messages.
func (p *peerServer) FollowStore(_ *inner.FollowStoreRequest, stream inner.DRPCPeer_FollowStoreStream) error {
	g := p.gateway
	number, updates := g.followers.add()
	defer g.followers.remove(number)
	send := func(u storeUpdate) error {
		reply := toFollowReply(u)
		g.stats.storeBytesSent.Add(int64(proto.Size(reply)))
		return stream.Send(reply)
	}
	all, revision := g.roster.AllChanges()
	if err := send(storeUpdate{changes: all, revision: revision}); err != nil {
		return err
	}
	for g.followers.contains(number) {
		waitCtx, cancel := context.WithTimeout(stream.Context(), followKeepAliveInterval)
		u, ok := updates.Pop(waitCtx)
		cancel()
		if stream.Context().Err() != nil {
			return stream.Context().Err()
		}
		if !ok {
			u = storeUpdate{}
		}
		if err := send(u); err != nil {
			return err
		}
	}
	return inner.ErrPeerFailed.New("host %s could not keep up; following again from the start", g.settings.Host.Name)
}

func toFollowReply(u storeUpdate) *inner.FollowStoreReply {
	reply := &inner.FollowStoreReply{Revision: u.revision, Returned: u.returned}
	for _, c := range u.changes {
		reply.Changes = append(reply.Changes, &inner.StoreChange{Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted})
	}
	return reply
}

func fromFollowReply(reply *inner.FollowStoreReply) storeUpdate {
	u := storeUpdate{revision: reply.Revision, returned: reply.Returned}
	for _, c := range reply.Changes {
		u.changes = append(u.changes, platform.Change{Entry: platform.Entry{Key: c.Key, Value: c.Value, Revision: c.Revision}, Deleted: c.Deleted})
	}
	return u
}

// runHeartbeats is the background task that sends heartbeats.
func (g *Gateway) runHeartbeats(ctx context.Context) {
	g.heartbeats.Run(ctx, g.heartbeatTrigger, g.sendHeartbeats)
}

// sendHeartbeats sends one round of heartbeats and records what has changed since the last one.
func (g *Gateway) sendHeartbeats(ctx context.Context) {
	recipients := g.members.BeginRound(g.now())
	if g.members.ResetPaused() {
		g.records.Add(record.Record{Kind: record.HostPaused, Cause: "HeartbeatLate", Note: g.chain.Number()})
		g.updateReady()
	}
	g.recordMembershipChanges()
	g.heartbeats.Round(ctx, g.addStoredPeers(recipients))
}

// addStoredPeers adds the addresses of hosts that are registered in the store while no peer is known.
func (g *Gateway) addStoredPeers(recipients []string) []string {
	if len(g.members.Peers()) > 0 {
		return recipients
	}
	for _, address := range g.roster.View().PeerAddresses {
		if address != g.settings.Host.PeerAddress() {
			recipients = append(recipients, address)
		}
	}
	return recipients
}

// recordMembershipChanges writes a change record for each change of the membership.
func (g *Gateway) recordMembershipChanges() {
	for _, e := range g.members.DrainEvents() {
		g.records.Add(record.FromMembershipEvent(e, g.chain.Number()))
	}
}
