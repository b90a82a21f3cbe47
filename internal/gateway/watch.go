package gateway

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"briarcroft/internal/duty"
	"briarcroft/internal/host"
	"briarcroft/internal/inner"
	"briarcroft/internal/platform"
	"briarcroft/internal/record"

	"github.com/joomcode/errorx"
)

// Times and counts of following the store.
const (
	// watchersPerDomain is how many hosts of a failure domain follow the store itself.
	watchersPerDomain = 1
	// watchWait is how long the store may hold a watch without changes. A store that turned silent shows after it, and
	// changes that it made meanwhile must be in force within 2 s.
	watchWait = 1500 * time.Millisecond
	// gatherTime is how long changes may gather at the store after some were read.
	gatherTime = 100 * time.Millisecond
	// settleTime is how long after its start a host looks for peers before it leaves its address in the store.
	settleTime = 3 * time.Second
	// firstRetry is the pause after the first failed call in a row, and watchRetry after the next ones.
	firstRetry = 20 * time.Millisecond
	watchRetry = 300 * time.Millisecond
	// lostRetry is the pause of a host whose store is lost while others can reach it.
	lostRetry = time.Second
	// failuresToLose is how many calls in a row must fail for the store to count as lost.
	failuresToLose = 2
	// followAliveEvery is how often a host shows its followers that it still listens.
	followAliveEvery = 500 * time.Millisecond
	// followSilence is how long the followed host may send nothing.
	followSilence = 3 * followAliveEvery
	// catchUpAfter is how long a note that a peer has already may take to come from the watchers.
	catchUpAfter = 300 * time.Millisecond
	// catchUpTimeout is how long a peer may take to tell everything that it knows of the store.
	catchUpTimeout = time.Second
	// followed is how many watchers each host follows.
	followed = 2
	// lapseCheck is how often targets are checked whose entries lapsed during an outage.
	lapseCheck = 200 * time.Millisecond
)

// watchState is what the duties that follow the store share.
type watchState struct {
	// lost is set while the store can't be reached from here.
	lost atomic.Bool
	// watching is set while this host follows the store itself.
	watching atomic.Bool
	// whole is set once the store was read.
	whole atomic.Bool
}

// watchers returns the hosts that follow the store, those of the own failure domain first.
func (g *Gateway) watchers() []host.Member {
	live := g.table.Live(g.now())
	reaching := slices.DeleteFunc(slices.Clone(live), func(m host.Member) bool { return m.StoreLost })
	list := host.Watchers(reaching, watchersPerDomain)
	slices.SortStableFunc(list, func(a, b host.Member) int { return g.distance(a) - g.distance(b) })
	return list
}

func (g *Gateway) distance(m host.Member) int {
	if m.Domain == g.settings.Host.Domain {
		return 0
	}
	return 1
}

// isWatcher reports whether this host follows the store itself: as one of the few, or because nobody else does.
func (g *Gateway) isWatcher() bool {
	list := g.watchers()
	return len(list) == 0 || slices.ContainsFunc(list, func(m host.Member) bool { return m.Name == g.settings.Host.Name })
}

// watchDuty reads the store at the start, and follows it while this host is a watcher.
func (g *Gateway) watchDuty(ctx context.Context) {
	w := watcher{gateway: g}
	for ctx.Err() == nil {
		watching := !g.watch.whole.Load() || g.isWatcher()
		g.watch.watching.Store(watching)
		if !watching {
			w = watcher{gateway: g}
			duty.Sleep(ctx, watchRetry)
			continue
		}
		if err := w.step(ctx); err != nil && ctx.Err() == nil {
			duty.Sleep(ctx, w.failed(err))
		}
	}
}

// watcher follows the store from a revision on.
type watcher struct {
	gateway *Gateway
	// revision is where to go on; 0 asks for a snapshot.
	revision   int64
	registered bool
	// failures counts failed calls in a row.
	failures int
}

// step makes the next call to the store.
func (w *watcher) step(ctx context.Context) error {
	g := w.gateway
	var err error
	switch {
	case w.revision == 0:
		w.revision, err = g.snapshot(ctx)
	case !w.registered && g.now() > settleTime && g.isWatcher():
		err = g.register(ctx)
		w.registered = err == nil
	default:
		w.revision, err = g.follow(ctx, w.revision)
	}
	if err == nil {
		w.failures = 0
		g.watch.whole.Store(true)
		g.noteStore(nil)
	}
	return err
}

// failed takes in a failed call and returns the pause before the next. What was missed meanwhile may have left the
// store's history, so the next call asks for a snapshot.
func (w *watcher) failed(err error) time.Duration {
	g := w.gateway
	w.revision = 0
	if errorx.IsOfType(err, platform.ErrCompacted) {
		return 0
	}
	w.failures++
	if w.failures < failuresToLose {
		return firstRetry
	}
	g.noteStore(err)
	if len(g.watchers()) > 0 && g.chain.Number() > 0 {
		return lostRetry
	}
	return watchRetry
}

// snapshot reads the store whole.
func (g *Gateway) snapshot(ctx context.Context) (int64, error) {
	g.stats.storeCalls.Add(1)
	entries, revision, err := g.config.Feed.Snapshot(ctx, "")
	if err != nil {
		return 0, err
	}
	g.returned()
	g.tell(g.roster.Replace(g.now(), entries, revision), revision, false)
	return revision, nil
}

// follow waits for the next changes.
func (g *Gateway) follow(ctx context.Context, revision int64) (int64, error) {
	g.stats.storeCalls.Add(1)
	changes, next, err := g.config.Feed.WaitForChanges(ctx, "", revision, watchWait)
	if err != nil {
		return revision, err
	}
	g.returned()
	g.tell(g.roster.Apply(g.now(), changes, next), next, false)
	if len(changes) > 0 {
		// Changes come in bursts, and each answered call is paid for.
		duty.Sleep(ctx, gatherTime)
	}
	return next, nil
}

// register leaves the own address in the store, for hosts that know no peer.
func (g *Gateway) register(ctx context.Context) error {
	key := g.dialect.NeighbourKey(g.settings.Host.Name)
	if g.roster.View().Neighbours[key] == g.settings.Host.PeerAddress() {
		return nil
	}
	g.stats.storeCalls.Add(1)
	return g.config.Feed.Write(ctx, []platform.Entry{{Key: key, Value: []byte(g.settings.Host.PeerAddress())}}, nil)
}

// returned notes the end of an outage of the store, here and for the followers.
func (g *Gateway) returned() {
	if g.watch.lost.Load() && g.roster.StoreReturned(g.now()) {
		g.followers.tell(news{returned: true})
	}
}

func (g *Gateway) tell(changes []platform.Change, revision int64, returned bool) {
	if len(changes) > 0 || returned {
		g.followers.tell(news{changes, revision, returned})
	}
}

// noteStore keeps whether the store can be reached, and explains changes of that.
func (g *Gateway) noteStore(err error) {
	lost := err != nil
	if g.watch.lost.Swap(lost) == lost {
		return
	}
	r := record.Record{Kind: record.StoreReturned, Cause: "Call", Note: g.chain.Number()}
	if lost {
		r.Kind, r.Evidence.Detail = record.StoreLost, err.Error()
	}
	g.book.Add(r)
	g.table.SetStoreLost(lost)
	g.kick.Push(struct{}{})
}

// rosterDuty ends the use of targets whose entries lapsed and did not come back.
func (g *Gateway) rosterDuty(ctx context.Context) {
	for duty.Sleep(ctx, lapseCheck) {
		g.roster.Tick(g.now())
	}
}

// followDuty hears of the store's changes from the watchers while this host is none.
func (g *Gateway) followDuty(ctx context.Context) {
	streams := map[string]context.CancelFunc{}
	ended := make(chan string, followed)
	for {
		g.chooseFollowed(ctx, streams, ended)
		wait, cancel := context.WithTimeout(ctx, watchRetry)
		select {
		case name := <-ended:
			delete(streams, name)
		case <-wait.Done():
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

// chooseFollowed begins and ends streams so that the first few watchers are followed.
func (g *Gateway) chooseFollowed(ctx context.Context, streams map[string]context.CancelFunc, ended chan<- string) {
	wanted := map[string]bool{}
	if !g.watch.watching.Load() || !g.watch.whole.Load() || g.watch.lost.Load() {
		for _, m := range g.informed() {
			if m.Name == g.settings.Host.Name || len(wanted) == followed {
				continue
			}
			wanted[m.Name] = true
			if streams[m.Name] != nil {
				continue
			}
			following, cancel := context.WithCancel(ctx)
			streams[m.Name] = cancel
			go func() {
				g.followPeer(following, m)
				cancel()
				ended <- m.Name
			}()
		}
	}
	for name, cancel := range streams {
		if !wanted[name] {
			cancel()
		}
	}
}

// informed returns the hosts to hear of the store from: the watchers, or any ready host while none reaches the store.
func (g *Gateway) informed() []host.Member {
	if list := g.watchers(); len(list) > 0 {
		return list
	}
	return g.table.Live(g.now())
}

// heard notes that a peer is ahead of this host.
func (g *Gateway) heard(sender string, members []*inner.Member) {
	if m, ahead := inner.Ahead(sender, members, g.chain.Number()); ahead {
		g.ahead.Push(m)
	}
}

// catchUpDuty asks peers that are ahead when the watchers don't tell in time: they may be slow, or cut off from here alone.
func (g *Gateway) catchUpDuty(ctx context.Context) {
	for {
		m, ok := g.ahead.Pop(ctx)
		if !ok {
			return
		}
		if duty.Sleep(ctx, catchUpAfter) && m.Note > g.chain.Number() {
			g.catchUp(ctx, m)
		}
	}
}

// catchUp takes in once what a peer knows of the store.
func (g *Gateway) catchUp(ctx context.Context, m host.Member) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	stream, err := g.client.Peer(ctx, m.Inner).FollowStore(ctx, &inner.FollowStoreRequest{})
	if err == nil {
		var reply *inner.FollowStoreReply
		if reply, err = stream.Recv(); err == nil {
			g.takeNews(reply)
		}
	}
	g.logger.Info().Str("Peer", m.Name).Int("Note", g.chain.Number()).Err(err).Msg("asked a peer that is ahead")
}

// takeNews takes in what a peer tells of the store.
func (g *Gateway) takeNews(reply *inner.FollowStoreReply) {
	n := fromFollowReply(reply)
	// What is news here may be news to own followers: a watcher that has lost the store hears of changes this way.
	returned := n.returned && g.roster.StoreReturned(g.now())
	g.tell(g.roster.Apply(g.now(), n.changes, n.revision), n.revision, returned)
}

// followPeer takes in what one watcher tells until its stream ends.
func (g *Gateway) followPeer(ctx context.Context, m host.Member) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silent := time.AfterFunc(followSilence, cancel)
	defer silent.Stop()
	stream, err := g.client.Peer(ctx, m.Inner).FollowStore(ctx, &inner.FollowStoreRequest{})
	for err == nil {
		var reply *inner.FollowStoreReply
		if reply, err = stream.Recv(); err == nil {
			silent.Reset(followSilence)
			g.takeNews(reply)
		}
	}
	if ctx.Err() == nil {
		g.logger.Info().Str("Peer", m.Name).Err(err).Msg("stream of store changes ended")
	}
	duty.Sleep(ctx, watchRetry)
}
