package gateway

import (
	"context"
	"slices"
	"strconv"
	"time"

	"briarcroft/internal/account"
	"briarcroft/internal/duty"
	"briarcroft/internal/host"
	"briarcroft/internal/inner"
	"briarcroft/internal/platform"
	"briarcroft/internal/record"
)

// Ages of the proof, as shares of the withdrawal limit, and times of renewing it. With the usual limit of 5 s, hosts refuse keys
// from 4.5 s on.
const (
	// askShare is the age from which a host asks watchers, which know the store best. Heartbeats keep the proof younger.
	askShare = 0.5
	// proofCheckShare is the age from which the first hosts of each failure domain check the store themselves.
	proofCheckShare = 0.7
	// proofTick is how often the age is looked at, and askInterval the least time between two rounds of asking.
	proofTick   = 100 * time.Millisecond
	askInterval = 500 * time.Millisecond
	// proofOffTick is how often a host without a limit looks whether there is one.
	proofOffTick = 5 * time.Second
	// proofCheckInterval is the least time between two checks of the store for the proof.
	proofCheckInterval = 2 * time.Second
	// provingWaitFactor is how much longer calls of watchers wait for changes while the proof matters. A wait proves only what was
	// when it began, so each watcher makes half as many, and a call without a wait in each.
	provingWaitFactor = 2
	// shortWaitTime is for how long waits are as short as without proofs after a longer one has failed before its end, because the
	// store may not allow longer ones.
	shortWaitTime = time.Minute
)

// withdrawalLimit returns the limit that binds this host also while it knows nothing of the store; 0 means none.
func (g *Gateway) withdrawalLimit() time.Duration {
	a := &g.reloadable.Load().Accounts
	if !a.StrictWithdrawal {
		return 0
	}
	return a.WithdrawalLimit
}

// mayAcceptKeys reports whether a key may be accepted that is in the configuration in force. The configuration must be loaded after
// this call.
func (g *Gateway) mayAcceptKeys() bool {
	limit := g.withdrawalLimit()
	return limit == 0 || g.proof.MayAccept(g.config.BootTime(), limit)
}

// provenAge returns the age of this host's proof, for the metrics; it is -1 if there is none.
func (g *Gateway) provenAge() time.Duration {
	age, ok := g.proof.Age(g.config.BootTime())
	if !ok {
		return -1
	}
	return age
}

// sendTime returns the time to pass to proveByCall; it is 0 while no proof is needed.
func (g *Gateway) sendTime() time.Duration {
	if g.withdrawalLimit() == 0 {
		return 0
	}
	return g.config.BootTime()
}

// proveByCall records what a call to the store that was sent at a time has shown.
func (g *Gateway) proveByCall(sent time.Duration, revision int64) {
	if g.withdrawalLimit() == 0 || sent == 0 {
		return
	}
	alone := g.members.Alone() && len(g.reloadable.Load().Peers.Seeds) == 0 && len(g.roster.View().PeerAddresses) <= 1
	if g.restores.MayProve(g.config.BootTime(), platform.EraOf(revision), alone) {
		g.prove(account.FromCall(sent, revision))
	}
}

// proveByReply records what a reply to a heartbeat of this host proves. It counts only once this host knows the configurations of
// the members that the reply names.
func (g *Gateway) proveByReply(r inner.ReceivedReply) {
	if g.withdrawalLimit() == 0 || !r.MembersKnown {
		return
	}
	s, ok := account.FromReply(r.Sent, r.Knowledge.GetRevision(), r.Knowledge.GetProvenAgeMilliseconds())
	if !ok {
		return
	}
	if !g.peerHasNewerNote() {
		g.restores.PeerReplied(r.Sent)
	}
	g.prove(s)
}

// prove records a statement if this host's replica fulfills it and its configuration is in force. While a peer has a newer note,
// which the store may have lost, nothing counts.
func (g *Gateway) prove(s account.Statement) {
	if g.roster.Revision() < s.Revision {
		return
	}
	if g.applied.Load() != g.roster.View() {
		// Another goroutine has changed the roster and not put it in force yet.
		g.applyView()
	}
	if g.peerHasNewerNote() {
		return
	}
	g.proof.Record(s)
	if g.refusingKeys.Load() && g.mayAcceptKeys() && g.refusingKeys.Swap(false) {
		g.recordKeys(record.KeysAccepted, "ProofYoung")
	}
}

func (g *Gateway) peerHasNewerNote() bool {
	number := g.chain.Number()
	return slices.ContainsFunc(g.members.Live(g.now()), func(m host.Member) bool { return m.Note > number })
}

// addProof adds to what a reply tells of the store what this host has proven. The revision may rise by that: what held nothing
// newer than a revision held nothing newer than a later one.
func (g *Gateway) addProof(k *inner.StoreKnowledge) {
	if k == nil || g.withdrawalLimit() == 0 {
		return
	}
	revision, field := g.proof.Tell(g.config.BootTime())
	k.Revision, k.ProvenAgeMilliseconds = max(k.Revision, revision), field
}

// recordKeys writes a change record when this host begins or ceases to refuse all keys.
func (g *Gateway) recordKeys(kind record.Kind, cause string) {
	g.records.Add(record.Record{Kind: kind, Cause: cause, Note: g.chain.Number(), Evidence: record.Evidence{
		Detail: "proven age in milliseconds: " + strconv.FormatInt(g.provenAge().Milliseconds(), 10),
	}})
}

// runProofs is the background task that asks watchers while this host's proof is old.
func (g *Gateway) runProofs(ctx context.Context) {
	var askedAt time.Duration
	tick := proofTick
	for round := 0; duty.Sleep(ctx, tick); {
		limit := g.withdrawalLimit()
		if tick = proofTick; limit == 0 {
			tick = proofOffTick
		}
		if limit == 0 || g.now() < firstWatchDelay || g.now()-askedAt < askInterval {
			continue
		}
		if age, ok := g.proof.Age(g.config.BootTime()); ok && age < time.Duration(askShare*float64(limit)) {
			continue
		}
		askedAt = g.now()
		g.heartbeats.Round(ctx, g.proofSources(round))
		round++
	}
}

// proofSources returns the addresses of the hosts to ask in a round: the watcher of this host's failure domain and, in turn, that of
// another one.
func (g *Gateway) proofSources(round int) []string {
	var own, others []string
	live := g.members.Live(g.now())
	for _, m := range host.Watchers(slices.DeleteFunc(slices.Clone(live), func(m host.Member) bool { return m.StoreLost }), watchersPerDomain) {
		switch {
		case m.Name == g.settings.Host.Name:
		case m.Domain == g.settings.Host.Domain:
			own = append(own, m.Inner)
		default:
			others = append(others, m.Inner)
		}
	}
	if len(others) > 0 {
		own = append(own, others[round%len(others)])
	}
	return own
}

// untilProofDue returns how long not to check the store yet for the proof; 0 means to check it now. Hosts whose proofs have become
// old at the same time, for instance because all were suspended, check one after the other.
func (c *storeChecker) untilProofDue(now time.Duration) time.Duration {
	g := c.gateway
	limit := g.withdrawalLimit()
	if limit == 0 {
		return watchRetryPause
	}
	if age, ok := g.proof.Age(g.config.BootTime()); ok && age < time.Duration(proofCheckShare*float64(limit)) {
		c.proofOldSince = 0
		return proofTick
	}
	if c.proofOldSince == 0 {
		c.proofOldSince = now
	}
	return max(0, c.proofOldSince+checkAge(g.watcherRank())-staleAfter-now, c.checkedAt+proofCheckInterval-now)
}

// proveDuring makes a call without a wait while one with a wait is on its way, a time before that is to end, and returns a function
// that ends it. The waits of the watchers end in turn, and the other calls fall in the middle between these ends.
func (g *Gateway) proveDuring(ctx context.Context, revision int64, delay time.Duration) (end func()) {
	if delay <= 0 {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer g.guard("Proof")
		if duty.Sleep(ctx, delay) {
			// An error shows in the other call, or as an age that grows.
			_, _, _ = g.readChanges(ctx, revision, 0)
		}
	}()
	return func() {
		cancel()
		<-done
	}
}
