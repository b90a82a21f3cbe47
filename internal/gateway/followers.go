package gateway

import (
	"context"
	"sync"
	"time"

	"briarcroft/internal/inner"
	"briarcroft/internal/platform"
	"briarcroft/internal/ring"
	"briarcroft/internal/roster"

	"google.golang.org/protobuf/proto"
)

// followerQueueSize is the number of updates that may be queued for a follower that reads slowly.
const followerQueueSize = 64

// storeUpdate is what followers are sent about the store: what their replica lacks, and whether an outage of the store
// has ended. An empty one is a keep-alive message.
type storeUpdate struct {
	roster.Difference
	returned bool
}

// encodedUpdate is an update whose messages are encoded once for all followers.
type encodedUpdate struct {
	storeUpdate
	messages func() ([]*inner.FollowStoreReply, error)
}

func newEncodedUpdate(u storeUpdate) *encodedUpdate {
	return &encodedUpdate{u, sync.OnceValues(func() ([]*inner.FollowStoreReply, error) {
		return inner.SplitUpdate(toFollowReply(u))
	})}
}

// followers are the hosts that receive changes of the store from this one.
type followers struct {
	mu         sync.Mutex
	lastNumber uint64
	queues     map[uint64]*ring.Queue[*encodedUpdate]
}

// broadcast queues an update for all followers. A follower whose queue is full is removed, which ends its stream; it
// then follows again from the revision that it has reached.
func (f *followers) broadcast(u storeUpdate) {
	f.push(newEncodedUpdate(u))
}

// push queues an encoded update for all followers, as broadcast does.
func (f *followers) push(encoded *encodedUpdate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for number, queue := range f.queues {
		if !queue.Push(encoded) {
			delete(f.queues, number)
		}
	}
}

// broadcastChanges is the roster's OnUpdate callback.
func (f *followers) broadcastChanges(changes []platform.Change, revision int64) {
	f.broadcast(storeUpdate{Difference: roster.Difference{Changes: changes, Revision: revision}})
}

// add registers a follower and returns its number and its queue of updates.
func (f *followers) add() (uint64, *ring.Queue[*encodedUpdate]) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastNumber++
	queue := ring.NewQueue[*encodedUpdate](ring.Config{Capacity: followerQueueSize})
	f.queues[f.lastNumber] = queue
	return f.lastNumber, queue
}

func (f *followers) remove(number uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.queues, number)
}

// count returns the number of registered followers.
func (f *followers) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.queues)
}

// contains reports whether a follower is still registered; broadcast removes those that read too slowly.
func (f *followers) contains(number uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, found := f.queues[number]
	return found
}

// FollowStore implements inner.DRPCPeerServer: it sends what the follower's replica lacks, then changes and, when there
// are none, keep-alive messages, which tell how old this host's knowledge of the store is.
func (p *peerServer) FollowStore(r *inner.FollowStoreRequest, stream inner.DRPCPeer_FollowStoreStream) error {
	g := p.gateway
	number, updates := g.followers.add()
	defer g.followers.remove(number)
	// The follower must not take entries for gone that it finds deleted just after an outage.
	first := storeUpdate{Difference: g.roster.Since(r.Revision), returned: g.roster.ReturnedLately(g.now())}
	for _, u := range []*encodedUpdate{newEncodedUpdate(first), keepAliveUpdate} {
		if err := g.sendUpdate(r, stream, u); err != nil {
			return err
		}
	}
	for g.followers.contains(number) {
		waitCtx, cancel := context.WithTimeout(stream.Context(), followKeepAliveInterval)
		u, ok := updates.Pop(waitCtx)
		cancel()
		if stream.Context().Err() != nil {
			return stream.Context().Err()
		}
		switch {
		case !ok:
			u = keepAliveUpdate
		case r.AnnounceOnly && g.settings.Placement.DomainPlan:
			u = joinAnnouncements(stream.Context(), updates, u)
		}
		if err := g.sendUpdate(r, stream, u); err != nil {
			return err
		}
	}
	return inner.ErrPeerFailed.New("host %s could not keep up; following again from its last revision", g.settings.Host.Name)
}

// announceInterval is for how long changes are announced together to a follower that wants no changes. Each host has such a
// follower in another failure domain, and with hundreds of targets there are tens of changes a second.
const announceInterval = 250 * time.Millisecond

// joinAnnouncements returns one update in place of the given one and of all that follow within announceInterval. It has only what
// is announced.
func joinAnnouncements(ctx context.Context, updates *ring.Queue[*encodedUpdate], u *encodedUpdate) *encodedUpdate {
	ctx, cancel := context.WithTimeout(ctx, announceInterval)
	defer cancel()
	joined := &encodedUpdate{storeUpdate: storeUpdate{returned: u.returned}}
	for {
		next, ok := updates.Pop(ctx)
		if !ok {
			return joined
		}
		joined.returned = joined.returned || next.returned
	}
}

// keepAliveUpdate is sent while nothing changes, and as soon as there is newer knowledge of the store.
var keepAliveUpdate = &encodedUpdate{}

// sendUpdate sends an update to a follower, or only the revision that this host has reached if the follower wants no more.
// Hosts of older versions cannot join the parts of an update.
func (g *Gateway) sendUpdate(r *inner.FollowStoreRequest, stream inner.DRPCPeer_FollowStoreStream, u *encodedUpdate) error {
	switch {
	case r.AnnounceOnly:
		return stream.Send(&inner.FollowStoreReply{Revision: g.roster.Revision(), Returned: u.returned, Knowledge: g.knowledge()})
	case u == keepAliveUpdate:
		return stream.Send(&inner.FollowStoreReply{Knowledge: g.knowledge()})
	case !r.JoinsParts:
		return stream.Send(toFollowReply(u.storeUpdate))
	}
	messages, err := u.messages()
	if err != nil {
		return err
	}
	for _, m := range messages {
		g.stats.storeBytesSent.Add(int64(proto.Size(m)))
		if err := stream.Send(m); err != nil {
			return err
		}
	}
	return nil
}

func toFollowReply(u storeUpdate) *inner.FollowStoreReply {
	reply := &inner.FollowStoreReply{Revision: u.Revision, Returned: u.returned, Complete: u.Complete}
	for _, c := range u.Changes {
		reply.Changes = append(reply.Changes, &inner.StoreChange{Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted})
	}
	return reply
}

func fromFollowReply(reply *inner.FollowStoreReply) storeUpdate {
	u := storeUpdate{roster.Difference{Revision: reply.Revision, Complete: reply.Complete}, reply.Returned}
	for _, c := range reply.Changes {
		u.Changes = append(u.Changes, platform.Change{Entry: platform.Entry{Key: c.Key, Value: c.Value, Revision: c.Revision}, Deleted: c.Deleted})
	}
	return u
}
