package gateway

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"briarcroft/internal/duty"
	"briarcroft/internal/host"
	"briarcroft/internal/platform"
	"briarcroft/internal/record"
	"briarcroft/internal/roster"

	"github.com/joomcode/errorx"
)

// Times and counts of replicating the store. A few hosts, the watchers, follow the store itself; the others follow them in
// trees (see host.FindSources), so that neither the number of calls to the store nor what a host sends grows with the
// number of hosts.
const (
	// watchersPerDomain is the number of hosts in each failure domain that follow the store itself.
	watchersPerDomain = 1
	// confirmInterval is how often the watchers together learn from the store that nothing has changed.
	confirmInterval = 600 * time.Millisecond
	// minWatchTimeout and maxWatchTimeout limit how long a call waits for changes of the store.
	minWatchTimeout = time.Second
	maxWatchTimeout = 2 * time.Second
	// minAlignedWait is the shortest wait by which a watcher takes its place behind the first one.
	minAlignedWait = 300 * time.Millisecond
	// firstWatchDelay is how long after its start a host that has read the store first follows it. By then it knows its
	// peers, and only watchers go on to call the store; changes meanwhile are read late rather than missed.
	firstWatchDelay = 800 * time.Millisecond
	// changeBatchDelay is how long to wait after a call that returned changes, so that the next one returns several.
	changeBatchDelay = 100 * time.Millisecond
	// registerDelay is how long after its start a host first writes addresses of hosts to the store. By then it knows its
	// peers, and only watchers write.
	registerDelay = 4 * time.Second
	// firstRetryPause is the pause after the first failed call in a row.
	firstRetryPause = 20 * time.Millisecond
	// watchRetryPause is the pause after each further failed call. It is also how often the choice of watchers and of
	// followed hosts is checked.
	watchRetryPause = 300 * time.Millisecond
	// lostStoreRetryPause is the pause after a failed call while other hosts can reach the store.
	lostStoreRetryPause = time.Second
	// failuresUntilUnreachable is how many calls in a row must fail for the store to count as unreachable.
	failuresUntilUnreachable = 2
	// lapseCheckInterval is how often to look for targets whose entries expired during an outage of the store and were
	// not written again.
	lapseCheckInterval = 200 * time.Millisecond
)

// watchState is the state that the background tasks for the store share.
type watchState struct {
	// unreachable is set while this host cannot reach the store.
	unreachable atomic.Bool
	// failedAt is when a call last failed while the store counted as unreachable.
	failedAt atomic.Int64
	// freshSince is since when this host's knowledge of the store has not been old, if it is not now.
	freshSince atomic.Int64
	// watching is set while this host follows the store itself.
	watching atomic.Bool
	// loaded is set once this host has read the store successfully.
	loaded atomic.Bool
	// longWaitsFrom is the time from which calls may wait for longer than maxWatchTimeout. Only runStoreWatch uses it.
	longWaitsFrom time.Duration
	// watchers are those selected from live, a result of MemberTable.Live. Only runStoreWatch uses them.
	live, watchers []host.Member
	// firstWatcher is the name of the first of them, and firstConfirmedAt when that has last confirmed the store, on the clock of
	// Gateway.now; 0 if it has not.
	firstWatcher     atomic.Pointer[string]
	firstConfirmedAt atomic.Int64
}

// setWatchers sets the watchers. It forgets the confirmations of the first one if that is another host now.
func (w *watchState) setWatchers(watchers []host.Member) {
	w.watchers = watchers
	first := ""
	if len(watchers) > 0 {
		first = watchers[0].Name
	}
	if previous := w.firstWatcher.Swap(&first); previous == nil || *previous != first {
		w.firstConfirmedAt.Store(0)
	}
}

// noteConfirmation records knowledge of the store if the first watcher has learned it.
func (w *watchState) noteConfirmation(k roster.Knowledge) {
	if first := w.firstWatcher.Load(); first != nil && *first == k.Source.Host && int64(k.AsOf) > w.firstConfirmedAt.Load() {
		w.firstConfirmedAt.Store(int64(k.AsOf))
	}
}

// watchers returns the hosts that follow the store itself. Only runStoreWatch may call it.
func (g *Gateway) watchers() []host.Member {
	live := g.members.Live(g.now())
	if w := &g.storeWatch; !sameSlice(w.live, live) {
		connected := slices.DeleteFunc(slices.Clone(live), func(m host.Member) bool { return m.StoreLost })
		w.live = live
		w.setWatchers(host.Watchers(connected, watchersPerDomain))
	}
	return g.storeWatch.watchers
}

// isWatcher reports whether this host should follow the store itself: because it is one of the watchers, or because no
// ready host is known to reach the store.
func (g *Gateway) isWatcher() bool {
	watchers := g.watchers()
	return len(watchers) == 0 || slices.ContainsFunc(watchers, func(m host.Member) bool { return m.Name == g.settings.Host.Name })
}

// runStoreWatch is the background task that reads the store at the start and follows it while this host is a watcher.
func (g *Gateway) runStoreWatch(ctx context.Context) {
	w := watcher{gateway: g}
	for ctx.Err() == nil {
		watching := !g.storeWatch.loaded.Load() || g.now() >= firstWatchDelay && g.isWatcher()
		g.storeWatch.watching.Store(watching)
		if !watching {
			pause := firstWatchDelay - g.now()
			if pause <= 0 {
				w.revision, w.undisturbed, w.failures, pause = 0, false, 0, watchRetryPause
			}
			duty.Sleep(ctx, min(pause, watchRetryPause))
			continue
		}
		if err := w.call(ctx); err != nil && ctx.Err() == nil {
			duty.Sleep(ctx, w.handleFailure(err))
		}
	}
}

// watcher follows the store from a revision on.
type watcher struct {
	gateway *Gateway
	// revision is the store revision up to which changes were read; 0 means that a snapshot must be read.
	revision int64
	// addresses are those of hosts in the store.
	addresses addressKeeper
	// undisturbed is set if nothing had changed when the last call ended.
	undisturbed bool
	// failures counts failed calls in a row.
	failures int
}

// call makes the next call to the store: a snapshot, a write of addresses of hosts or a wait for changes.
func (w *watcher) call(ctx context.Context) error {
	g := w.gateway
	var err error
	undisturbed := false
	switch {
	case w.revision == 0:
		w.revision, err = g.readSnapshot(ctx)
	case w.addresses.due(g):
		err = w.addresses.write(ctx, g)
	default:
		var changes int
		wait, proofDelay := w.waitTime()
		endProof := g.proveDuring(ctx, w.revision, proofDelay)
		started := g.now()
		w.revision, changes, err = g.readChanges(ctx, w.revision, wait)
		endProof()
		if proofDelay > 0 && err != nil && g.now()-started < wait {
			g.storeWatch.longWaitsFrom = g.now() + shortWaitTime
		}
		if undisturbed = err == nil && changes == 0; changes > 0 {
			// Changes come in bursts, and the platform charges for each call that the store answers.
			duty.Sleep(ctx, changeBatchDelay)
		}
	}
	w.undisturbed = undisturbed
	if err == nil {
		w.failures = 0
		g.storeWatch.loaded.Store(true)
		g.setStoreLost(nil)
	}
	return err
}

// waitTime returns how long the next call waits for changes. Each watcher waits for as many times confirmInterval as there are
// watchers, and the waits end in turn, so that together they learn each confirmInterval that nothing has changed. A change ends the
// calls of all of them at the same time, and the waits after it differ. While proofs of the age matter, waits are longer and not aligned,
// and proofDelay is how long after the beginning of the call to make one without a wait.
func (w *watcher) waitTime() (wait, proofDelay time.Duration) {
	watchers := w.gateway.watchers()
	wait = min(max(minWatchTimeout, confirmInterval*time.Duration(len(watchers))), maxWatchTimeout)
	between := time.Duration(0)
	if g := w.gateway; g.withdrawalLimit() > 0 && g.now() >= g.storeWatch.longWaitsFrom {
		wait *= provingWaitFactor
		between = wait / time.Duration(2*max(1, len(watchers)))
	}
	position := slices.IndexFunc(watchers, func(m host.Member) bool { return m.Name == w.gateway.settings.Host.Name })
	confirmedAt := time.Duration(w.gateway.storeWatch.firstConfirmedAt.Load())
	switch sinceFirst := w.gateway.now() - confirmedAt; {
	case position < 0:
	case !w.undisturbed:
		wait = wait * time.Duration(2*position+1) / time.Duration(2*len(watchers))
	case position > 0 && between == 0 && confirmedAt > 0:
		wait = alignedWait(wait, wait*time.Duration(position)/time.Duration(len(watchers)), sinceFirst)
	}
	if between > 0 {
		proofDelay = wait - between
	}
	return wait, proofDelay
}

// alignedWait returns a wait that ends at an offset behind a wait of the first watcher, which repeats its waits of the usual time and has
// ended one a time ago.
func alignedWait(usual, offset, sinceFirst time.Duration) time.Duration {
	wait := (offset - sinceFirst%usual + usual) % usual
	if wait < minAlignedWait {
		wait += usual
	}
	return min(wait, maxWatchTimeout)
}

// handleFailure handles a failed call and returns the pause before the next one. That one reads a snapshot, because
// changes that were missed in the meantime may have been compacted away.
func (w *watcher) handleFailure(err error) time.Duration {
	g := w.gateway
	w.revision = 0
	if errorx.IsOfType(err, platform.ErrCompacted) {
		return 0
	}
	w.failures++
	if w.failures < failuresUntilUnreachable {
		return firstRetryPause
	}
	g.setStoreLost(err)
	switch {
	case g.chain.Number() == 0:
		return watchRetryPause
	case len(g.watchers()) > 0:
		return lostStoreRetryPause
	default:
		return lostStorePause(g.watcherRank())
	}
}

// readSnapshot reads all entries of the store and returns its revision.
func (g *Gateway) readSnapshot(ctx context.Context) (int64, error) {
	started, sent := g.now(), g.sendTime()
	g.stats.storeCalls.Add(1)
	entries, revision, err := g.config.Store.Snapshot(ctx, "")
	if err != nil {
		return 0, err
	}
	g.markStoreReturned()
	g.roster.ApplySnapshot(g.now(), entries, revision)
	g.confirmOwn(revision, started)
	g.proveByCall(sent, revision)
	return revision, nil
}

// readChanges waits for changes after a revision and returns the new revision and the number of changes.
func (g *Gateway) readChanges(ctx context.Context, revision int64, wait time.Duration) (int64, int, error) {
	started, sent := g.now(), g.sendTime()
	g.stats.storeCalls.Add(1)
	changes, next, err := g.config.Store.WaitForChanges(ctx, "", revision, wait)
	if err != nil {
		return revision, 0, err
	}
	g.markStoreReturned()
	g.roster.Apply(g.now(), changes, next)
	// The response may have been long on its way. It is not older than the call, nor than the wait that ended without changes.
	asOf := started
	if len(changes) == 0 && g.now() >= started+wait {
		asOf += wait
	}
	g.confirmOwn(next, asOf)
	g.proveByCall(sent, next)
	return next, len(changes), nil
}

// markStoreReturned handles the end of an outage of the store and reports it to the followers. A host that alone had lost the
// store has not seen an outage: others knew the store's content all the while.
func (g *Gateway) markStoreReturned() {
	if !g.storeWatch.unreachable.Load() || g.knowledgeFreshFor() >= roster.StoreReturnGrace {
		return
	}
	if g.roster.StoreReturned(g.now()) {
		g.followers.broadcast(storeUpdate{returned: true})
	}
}

// setStoreLost sets whether the store is unreachable, which a non-nil error means. It records each transition and
// sends it to the peers.
func (g *Gateway) setStoreLost(err error) {
	unreachable := err != nil
	if unreachable {
		g.storeWatch.failedAt.Store(int64(g.now()))
	}
	if g.storeWatch.unreachable.Swap(unreachable) == unreachable {
		return
	}
	r := record.Record{Kind: record.StoreReturned, Cause: "Call", Note: g.chain.Number()}
	if unreachable {
		r.Kind, r.Evidence.Detail = record.StoreLost, err.Error()
	}
	g.records.Add(r)
	g.members.SetStoreLost(unreachable)
	g.heartbeatTrigger.Push(struct{}{})
}

// runLapseCheck is the background task that stops using targets whose entries expired during an outage of the store
// and were not written again.
func (g *Gateway) runLapseCheck(ctx context.Context) {
	for duty.Sleep(ctx, lapseCheckInterval) {
		g.roster.Tick(g.now())
	}
}
