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
	// followSilenceTimeout is how long a followed host may send nothing, not even a part of an update, before its stream is closed.
	followSilenceTimeout = 3 * followKeepAliveInterval
	// catchUpDelay is how long to wait for a newer note (configuration revision) to arrive from the watchers before it is
	// fetched from the peer that has it.
	catchUpDelay = 300 * time.Millisecond
	// maxFollowed is how many watchers each host follows.
	maxFollowed = 2
)

// runPeerFollowing is the background task that receives changes of the store from other hosts while this host does not
// follow the store itself or cannot reach it.
func (g *Gateway) runPeerFollowing(ctx context.Context) {
	streams := map[string]context.CancelFunc{}
	ended := make(chan string, maxFollowed)
	for {
		g.updateFollowed(ctx, streams, ended)
		waitCtx, cancel := context.WithTimeout(ctx, watchRetryPause)
		select {
		case name := <-ended:
			delete(streams, name)
		case <-waitCtx.Done():
		}
		cancel()
		if ctx.Err() != nil {
			for range streams {
				<-ended
			}
			return
		}
	}
}

// updateFollowed opens and closes streams so that the first maxFollowed other hosts of updateSources are followed while
// this host does not follow the store itself, has not read it yet or cannot reach it, and none otherwise. Names of
// streams that have ended are sent to ended.
func (g *Gateway) updateFollowed(ctx context.Context, streams map[string]context.CancelFunc, ended chan<- string) {
	toFollow := map[string]bool{}
	if !g.storeWatch.watching.Load() || !g.storeWatch.loaded.Load() || g.storeWatch.unreachable.Load() {
		for _, m := range g.updateSources() {
			if m.Name == g.settings.Host.Name || len(toFollow) == maxFollowed {
				continue
			}
			toFollow[m.Name] = true
			if streams[m.Name] != nil {
				continue
			}
			followCtx, cancel := context.WithCancel(ctx)
			streams[m.Name] = cancel
			go func() {
				g.followPeer(followCtx, m)
				cancel()
				ended <- m.Name
			}()
		}
	}
	for name, cancel := range streams {
		if !toFollow[name] {
			cancel()
		}
	}
}

// updateSources returns the hosts that may be followed: the watchers, or all ready hosts while none of them reaches the
// store.
func (g *Gateway) updateSources() []host.Member {
	if watchers := g.watchers(); len(watchers) > 0 {
		return watchers
	}
	return g.members.Live(g.now())
}

// queueIfNewer queues the sender of a heartbeat or its reply for runCatchUp if it has a newer note than this host.
func (g *Gateway) queueIfNewer(sender string, members []*inner.Member) {
	if m, ahead := inner.SenderWithNewerNote(sender, members, g.chain.Number()); ahead {
		g.peersWithNewerNote.Push(m)
	}
}

// runCatchUp is the background task that fetches the changes of the store from a peer with a newer note when the
// watchers have not sent them in time. The watchers may be slow, or unreachable from this host only.
func (g *Gateway) runCatchUp(ctx context.Context) {
	for {
		m, ok := g.peersWithNewerNote.Pop(ctx)
		if !ok {
			return
		}
		// An update that is arriving is not fetched a second time.
		for duty.Sleep(ctx, catchUpDelay) && g.receiving.Load() > 0 {
		}
		if ctx.Err() == nil && m.Note > g.chain.Number() {
			g.catchUp(ctx, m)
		}
	}
}

// catchUp receives and applies the changes of the store that a peer has and this host lacks.
func (g *Gateway) catchUp(ctx context.Context, m host.Member) {
	err := g.receiveUpdates(ctx, m, func(reply *inner.FollowStoreReply) bool {
		g.applyUpdate(reply)
		return false
	})
	g.logger.Info().Str("Peer", m.Name).Int("Note", g.chain.Number()).Err(err).Msg("asked a peer that is ahead")
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

// followPeer receives updates from one host until the stream ends.
func (g *Gateway) followPeer(ctx context.Context, m host.Member) {
	err := g.receiveUpdates(ctx, m, func(reply *inner.FollowStoreReply) bool {
		g.applyUpdate(reply)
		return true
	})
	if ctx.Err() == nil {
		g.logger.Info().Str("Peer", m.Name).Err(err).Msg("stream of store changes ended")
	}
	duty.Sleep(ctx, watchRetryPause)
}

// receiveUpdates passes the updates that a peer sends, first those that this host lacks, to handle until it returns
// false, the stream ends or the peer sends nothing for followSilenceTimeout.
func (g *Gateway) receiveUpdates(ctx context.Context, m host.Member, handle func(*inner.FollowStoreReply) bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(followSilenceTimeout, cancel)
	defer silence.Stop()
	g.stats.followsStarted.Add(1)
	stream, err := g.client.Peer(ctx, m.Inner).FollowStore(ctx, &inner.FollowStoreRequest{Revision: g.roster.Revision(), JoinsParts: true})
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

// countReceiving updates the number of streams on which an update has arrived in part.
func (g *Gateway) countReceiving(partial *bool, now bool) {
	switch {
	case now && !*partial:
		g.receiving.Add(1)
	case !now && *partial:
		g.receiving.Add(-1)
	}
	*partial = now
}
