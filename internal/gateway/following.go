package gateway

import (
	"context"
	"time"

	"briarcroft/internal/duty"
	"briarcroft/internal/host"
	"briarcroft/internal/inner"

	"google.golang.org/protobuf/proto"
)

// Times and counts of following other hosts.
const (
	// followKeepAliveInterval is how often a host sends its followers a keep-alive message while nothing changes.
	followKeepAliveInterval = 500 * time.Millisecond
	// followSilenceTimeout is how long a followed host may send nothing, not even a part of an update, before its stream is
	// closed.
	followSilenceTimeout = 3 * followKeepAliveInterval
	// catchUpDelay is how long to wait for changes that a peer is known to have to arrive from the followed host before they
	// are fetched from that peer.
	catchUpDelay = 300 * time.Millisecond
	// followersPerHost is the number of hosts of its failure domain to which a host sends changes.
	followersPerHost = 4
	// followAgainDelay is how long after a stream has failed other hosts are followed rather than its sender. A host that is
	// down has left the membership by then.
	followAgainDelay = 5 * time.Second
)

// followedStream identifies a stream from a followed host.
type followedStream struct {
	host string
	// announceOnly is set if the host tells only up to which revision it knows the store.
	announceOnly bool
}

// following holds the streams from followed hosts. Only runPeerFollowing uses it.
type following struct {
	gateway *Gateway
	// open holds the functions that close the streams.
	open map[followedStream]context.CancelFunc
	// ended receives the streams that have ended.
	ended chan endedStream
	// found are the sources of this host among live, a result of MemberTable.Live.
	live  []host.Member
	found host.Sources
	// failedAt is when a stream from a host last failed, by the host's name.
	failedAt map[string]time.Duration
}

// endedStream is a stream that has ended. It has failed if this host did not close it.
type endedStream struct {
	followedStream
	failed bool
}

// runPeerFollowing is the background task that receives changes of the store from other hosts while this host does not
// follow the store itself or cannot reach it.
func (g *Gateway) runPeerFollowing(ctx context.Context) {
	f := following{
		gateway: g, open: map[followedStream]context.CancelFunc{}, ended: make(chan endedStream), failedAt: map[string]time.Duration{},
	}
	for {
		f.update(ctx)
		waitCtx, cancel := context.WithTimeout(ctx, watchRetryPause)
		select {
		case s := <-f.ended:
			delete(f.open, s.followedStream)
			if s.failed {
				f.failedAt[s.host] = g.now()
			}
		case <-waitCtx.Done():
		}
		cancel()
		if ctx.Err() != nil {
			for range f.open {
				<-f.ended
			}
			return
		}
	}
}

// update opens and closes streams so that exactly those of sources are open.
func (f *following) update(ctx context.Context) {
	sources := f.sources()
	for s, m := range sources {
		if f.open[s] != nil {
			continue
		}
		followCtx, cancel := context.WithCancel(ctx)
		f.open[s] = cancel
		go func() {
			defer func() {
				failed := followCtx.Err() == nil
				cancel()
				f.ended <- endedStream{s, failed}
			}()
			defer f.gateway.guardTask()
			f.gateway.followPeer(followCtx, m, s.announceOnly)
		}()
	}
	for s, cancel := range f.open {
		if _, wanted := sources[s]; !wanted {
			cancel()
		}
	}
}

// sources returns the streams that should be open, with the hosts at their other ends: a parent and an announcer while
// this host does not follow the store itself, has not read it yet or cannot reach it, and none otherwise.
func (f *following) sources() map[followedStream]host.Member {
	g := f.gateway
	if g.storeWatch.watching.Load() && g.storeWatch.loaded.Load() && !g.storeWatch.unreachable.Load() {
		return nil
	}
	sources := map[followedStream]host.Member{}
	if live := g.members.Live(g.now()); !sameSlice(f.live, live) {
		f.live, f.found = live, host.FindSources(g.members.Self(), live, followersPerHost)
	}
	if m, ok := f.firstWorking(f.found.Parents); ok {
		sources[followedStream{m.Name, false}] = m
	}
	if m, ok := f.firstWorking(f.found.Announcers); ok {
		sources[followedStream{m.Name, true}] = m
	}
	return sources
}

// firstWorking returns the first host whose streams have not failed for followAgainDelay. If there is none, it returns the
// one that failed first, at watchRetryPause after that.
func (f *following) firstWorking(members []host.Member) (host.Member, bool) {
	now := f.gateway.now()
	var longest time.Duration
	var best host.Member
	for _, m := range members {
		failedAt, failed := f.failedAt[m.Name]
		if !failed || now-failedAt >= followAgainDelay {
			return m, true
		}
		if now-failedAt > longest {
			best, longest = m, now-failedAt
		}
	}
	return best, longest >= watchRetryPause
}

// peerAhead is a peer that knows more of the store than this host.
type peerAhead struct {
	member host.Member
	// revision is the revision of the store up to which the peer's replica is complete; it is 0 if only the peer's note
	// is known.
	revision int64
}

// isAhead reports whether the peer still knows more than this host.
func (g *Gateway) isAhead(p peerAhead) bool {
	return p.member.Note > g.chain.Number() || p.revision > g.roster.Revision()
}

// queueIfNewer queues the sender of a heartbeat or its reply for runCatchUp if it has a newer note than this host.
func (g *Gateway) queueIfNewer(sender string) {
	if m, ahead := g.members.FindWithNewerNote(sender, g.chain.Number()); ahead {
		g.peersAhead.Push(peerAhead{member: m})
	}
}

// runCatchUp is the background task that fetches the changes of the store from a peer that is ahead when they have not
// arrived in time. The followed hosts may be slow, or unreachable from this host only.
func (g *Gateway) runCatchUp(ctx context.Context) {
	for {
		p, ok := g.peersAhead.Pop(ctx)
		if !ok {
			return
		}
		// An update that is arriving is not fetched a second time.
		for duty.Sleep(ctx, catchUpDelay) && g.receiving.Load() > 0 {
		}
		if ctx.Err() == nil && g.isAhead(p) {
			g.catchUp(ctx, p.member)
		}
	}
}

// catchUp receives and applies the changes of the store that a peer has and this host lacks.
func (g *Gateway) catchUp(ctx context.Context, m host.Member) {
	err := g.receiveUpdates(ctx, m, false, func(reply *inner.FollowStoreReply) bool {
		g.applyUpdate(reply)
		return false
	})
	g.logger.Info().Str("Peer", m.Name).Int("Note", g.chain.Number()).Int64("Revision", g.roster.Revision()).Err(err).
		Msg("asked a peer that is ahead")
}

// applyUpdate applies an update of the store from a peer and passes it on to this host's followers.
func (g *Gateway) applyUpdate(reply *inner.FollowStoreReply) {
	u := fromFollowReply(reply)
	// A watcher that cannot reach the store receives changes this way, and its followers depend on it.
	if u.returned && g.roster.StoreReturned(g.now()) {
		g.followers.broadcast(storeUpdate{returned: true})
	}
	g.roster.ApplyDifference(g.now(), u.Difference)
}

// followPeer receives updates or announcements from one host until the stream ends.
func (g *Gateway) followPeer(ctx context.Context, m host.Member, announceOnly bool) {
	err := g.receiveUpdates(ctx, m, announceOnly, func(reply *inner.FollowStoreReply) bool {
		if !announceOnly {
			g.applyUpdate(reply)
		} else if p := (peerAhead{m, reply.Revision}); g.isAhead(p) {
			g.peersAhead.Push(p)
		}
		g.learnKnowledge(m, reply.Knowledge)
		return true
	})
	if ctx.Err() == nil {
		g.logger.Info().Str("Peer", m.Name).Bool("AnnounceOnly", announceOnly).Err(err).Msg("stream of store changes ended")
	}
}

// receiveUpdates passes the updates that a peer sends, first those that this host lacks, to handle until it returns
// false, the stream ends or the peer sends nothing for followSilenceTimeout.
func (g *Gateway) receiveUpdates(ctx context.Context, m host.Member, announceOnly bool, handle func(*inner.FollowStoreReply) bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(followSilenceTimeout, cancel)
	defer silence.Stop()
	g.stats.followsStarted.Add(1)
	stream, err := g.client.Peer(ctx, m.Inner).FollowStore(ctx, &inner.FollowStoreRequest{
		Revision: g.roster.Revision(), JoinsParts: true, AnnounceOnly: announceOnly,
	})
	if err != nil {
		return err
	}
	var joiner inner.UpdateJoiner
	var partial bool
	defer func() { g.countReceiving(&partial, false) }()
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		silence.Reset(followSilenceTimeout)
		g.stats.storeBytesReceived.Add(int64(proto.Size(message)))
		update, err := joiner.Add(message)
		if err != nil {
			return err
		}
		g.countReceiving(&partial, joiner.Partial())
		if update != nil && !handle(update) {
			return nil
		}
	}
}

// countReceiving keeps the number of streams on which an update has arrived in part when that changes for one stream, from
// *before to now.
func (g *Gateway) countReceiving(before *bool, now bool) {
	switch {
	case now && !*before:
		g.receiving.Add(1)
	case !now && *before:
		g.receiving.Add(-1)
	}
	*before = now
}
