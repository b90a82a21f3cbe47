package gateway

import (
	"context"
	"math/bits"
	"time"

	"briarcroft/internal/duty"
	"briarcroft/internal/host"
	"briarcroft/internal/inner"
	"briarcroft/internal/platform"
	"briarcroft/internal/roster"

	"github.com/joomcode/errorx"
)

// Times of checking the store. A live stream from a peer says nothing about the peer's link to the store, so hosts go by how
// old their knowledge of the store is: they check it themselves once that nears the 2 s within which changes must be in force.
const (
	// staleAfter is the age of the knowledge from which the first hosts of each failure domain check the store.
	staleAfter = 1300 * time.Millisecond
	// checkStep is the time after which twice as many hosts check, while the knowledge stays old.
	checkStep = 100 * time.Millisecond
	// firstCheckTimeout limits the first check, which may be sent on a connection that is dead. Further ones have the time that
	// the store's client allows.
	firstCheckTimeout = 400 * time.Millisecond
	// lostStoreCheckInterval is how long after its last failure a host that has lost the store checks it while others reach it, if
	// these are fewer than enoughCandidates in its failure domain.
	lostStoreCheckInterval = 5 * time.Second
	enoughCandidates       = 4
	// maxLostStorePause limits the result of lostStorePause.
	maxLostStorePause = 10 * time.Second
	// passOnInterval is by how much knowledge must be newer to be passed on to followers before the next keep-alive message.
	passOnInterval = 400 * time.Millisecond
)

// checkAge returns the age of its knowledge at which a host checks the store, by the number of hosts of its failure domain that
// come before it (host.WatcherRank).
func checkAge(rank int) time.Duration {
	return staleAfter + time.Duration(max(0, bits.Len(uint(max(rank, 0)))-1))*checkStep
}

// lostStorePause returns the pause between the calls of a host that has lost the store while no other host is known to reach it,
// by the host's rank as in checkAge. A large fleet does not call a store that has failed more often than it can bear.
func lostStorePause(rank int) time.Duration {
	return min(maxLostStorePause, lostStoreRetryPause*time.Duration(1+max(rank, 0)/4))
}

// watcherRank returns this host's rank as in checkAge.
func (g *Gateway) watcherRank() int {
	return host.WatcherRank(g.members.Self(), g.members.Live(g.now()))
}

// knowledge returns what this host tells peers of its knowledge of the store; nil if it has none.
func (g *Gateway) knowledge() *inner.StoreKnowledge {
	k := g.roster.Confirmed()
	if k.Revision == 0 {
		return nil
	}
	// Rounded up, as no peer may take it for newer than it is.
	age := (g.now() - k.AsOf + time.Millisecond - 1) / time.Millisecond
	return &inner.StoreKnowledge{
		Revision: k.Revision, AgeMilliseconds: uint32(max(0, age)), Host: k.Source.Host, Incarnation: k.Source.Incarnation, Number: k.Number,
	}
}

// learnKnowledge handles what a peer tells of its knowledge of the store. A host that lacks changes up to the peer's revision
// fetches them.
func (g *Gateway) learnKnowledge(m host.Member, k *inner.StoreKnowledge) {
	if k == nil {
		return
	}
	asOf := g.now() - time.Duration(k.AgeMilliseconds)*time.Millisecond
	source := roster.KnowledgeSource{Host: k.Host, Incarnation: k.Incarnation}
	if !g.confirm(roster.Knowledge{Revision: k.Revision, AsOf: asOf, Source: source, Number: k.Number}) {
		g.peersAhead.Push(peerAhead{m, k.Revision})
	}
}

// confirmOwn records what a call of this host to the store has shown.
func (g *Gateway) confirmOwn(revision int64, asOf time.Duration) {
	source := roster.KnowledgeSource{Host: g.settings.Host.Name, Incarnation: g.incarnation}
	g.confirm(roster.Knowledge{Revision: revision, AsOf: asOf, Source: source, Number: g.lastKnowledge.Add(1)})
}

// confirm records knowledge of the store, passes it on to the followers if it is newer, and reports whether this host's replica
// fulfills it.
func (g *Gateway) confirm(k roster.Knowledge) bool {
	wasFresh := g.knowledgeFreshFor() > 0
	if !g.roster.Confirm(k) {
		return false
	}
	g.noteKnown(k.AsOf)
	g.storeWatch.noteConfirmation(k)
	if !wasFresh {
		g.storeWatch.freshSince.Store(int64(g.now()))
	}
	passedOn := g.passedOn.Load()
	if k.AsOf-time.Duration(passedOn) >= passOnInterval && g.passedOn.CompareAndSwap(passedOn, int64(k.AsOf)) {
		g.followers.push(keepAliveUpdate)
	}
	return true
}

// knowledgeAge returns how old this host's knowledge of the store is; it grows from this host's start while there is none.
func (g *Gateway) knowledgeAge() time.Duration { return g.now() - g.roster.Confirmed().AsOf }

// knowledgeFreshFor returns for how long this host's knowledge of the store has not been old; 0 if it is old.
func (g *Gateway) knowledgeFreshFor() time.Duration {
	if g.knowledgeAge() > staleAfter {
		return 0
	}
	return max(1, g.now()-time.Duration(g.storeWatch.freshSince.Load()))
}

// storeChecker checks the store when this host's knowledge of it is old. Only runStoreChecks uses it.
type storeChecker struct {
	gateway *Gateway
	// failures counts failed checks in a row.
	failures int
	// nextAt is when the next check may be made.
	nextAt time.Duration
	// checkedAt is when the last check began, and proofOldSince since when the proof of the age has been old; 0 if it is not.
	checkedAt, proofOldSince time.Duration
}

// runStoreChecks is the background task that checks the store when this host's knowledge of it is old.
func (g *Gateway) runStoreChecks(ctx context.Context) {
	c := storeChecker{gateway: g, nextAt: firstWatchDelay}
	for {
		for wait := c.untilDue(); wait > 0; wait = c.untilDue() {
			if !duty.Sleep(ctx, min(wait, watchRetryPause)) {
				return
			}
		}
		c.check(ctx)
		if ctx.Err() != nil {
			return
		}
	}
}

// untilDue returns how long not to check the store yet; 0 means to check it now.
func (c *storeChecker) untilDue() time.Duration {
	g := c.gateway
	w := &g.storeWatch
	now := g.now()
	switch age := g.knowledgeAge(); {
	case !w.loaded.Load() || w.unreachable.Load() && w.watching.Load():
		// The watcher is reading the store, or trying to.
		return watchRetryPause
	case now < c.nextAt:
		return c.nextAt - now
	case age < staleAfter && w.unreachable.Load() && g.watcherRank() < enoughCandidates:
		return time.Duration(w.failedAt.Load()) + lostStoreCheckInterval - now
	case age < staleAfter:
		return min(staleAfter-age, c.untilProofDue(now))
	case g.receiving.Load() > 0 && age < staleAfter+catchUpDelay:
		return catchUpDelay
	default:
		return checkAge(g.watcherRank()) - age
	}
}

// check reads what has changed in the store, and tells peers at once that the store held nothing newer.
func (c *storeChecker) check(ctx context.Context) {
	g := c.gateway
	g.stats.storeChecks.Add(1)
	c.checkedAt = g.now()
	age := g.knowledgeAge()
	callCtx, cancel := ctx, context.CancelFunc(func() {})
	if c.failures == 0 {
		callCtx, cancel = context.WithTimeout(ctx, firstCheckTimeout)
	}
	defer cancel()
	_, _, err := g.readChanges(callCtx, g.roster.Revision(), 0)
	if errorx.IsOfType(err, platform.ErrCompacted) {
		_, err = g.readSnapshot(callCtx)
	}
	g.logger.Info().Dur("AgeMilliseconds", age).Int("Failures", c.failures).Int64("Revision", g.roster.Revision()).Err(err).
		Msg("checked the store, as this host's knowledge of it was old")
	if err == nil {
		c.failures = 0
		g.setStoreLost(nil)
		g.heartbeatTrigger.Push(struct{}{})
		return
	}
	if ctx.Err() == nil {
		c.handleFailure(err)
	}
}

// handleFailure records a failed check.
func (c *storeChecker) handleFailure(err error) {
	g := c.gateway
	c.failures++
	pause := firstRetryPause
	if c.failures >= failuresUntilUnreachable {
		g.setStoreLost(err)
		pause = lostStorePause(g.watcherRank())
	}
	c.nextAt = g.now() + pause
}
