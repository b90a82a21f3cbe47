package gateway

import (
	"context"
	"time"

	"briarcroft/internal/backend"
	"briarcroft/internal/duty"
	"briarcroft/internal/record"
	"briarcroft/internal/roster"

	"github.com/joomcode/errorx"
)

// Times and counts of the checks whether this host reaches targets.
const (
	// reachCheckTimeout is how long opening a connection may take in a check: many times the round trip of a few milliseconds, as
	// this host may be busy.
	reachCheckTimeout = 150 * time.Millisecond
	// lostCheckInterval is the time between two checks while this host reaches no target.
	lostCheckInterval = 250 * time.Millisecond
)

// applyRegistered replaces the registered targets by those of a view. Whether this host reaches evacuated ones makes no difference.
func (g *Gateway) applyRegistered(v *roster.View) {
	registered, names := map[string]roster.Target{}, map[string]bool{}
	for _, targets := range v.Targets {
		for _, t := range targets {
			registered[t.Name] = t
			if !t.Evacuated {
				names[t.Name] = true
			}
		}
	}
	g.registered.Store(&registered)
	g.reach.SetTargets(names)
}

// findTarget returns a registered target.
func (g *Gateway) findTarget(name string) (roster.Target, bool) {
	t, found := (*g.registered.Load())[name]
	return t, found
}

// recordInReach records that this host has reached a target.
func (g *Gateway) recordInReach(target string) {
	if g.reach.RecordResponse(target) {
		g.setTargetsLost(false, target)
	}
}

// recordOutOfReach records that this host could not connect to a target, or got nothing from it.
func (g *Gateway) recordOutOfReach(target string) {
	lost, check := g.reach.RecordFailure(g.now(), target)
	if lost {
		g.setTargetsLost(true, target)
	}
	for _, other := range check {
		go func() {
			defer g.guard("ReachCheck")
			g.reaches(g.background, other)
		}()
	}
}

// setTargetsLost records that this host has lost all targets or reaches some again, which the given one has shown, and tells
// peers.
func (g *Gateway) setTargetsLost(lost bool, target string) {
	r := record.Record{Kind: record.TargetsReturned, Target: target, Cause: "Reached", Note: g.chain.Number()}
	if lost {
		r.Kind, r.Cause = record.TargetsLost, "NoConnection"
	}
	g.records.Add(r)
	g.members.SetTargetsLost(lost)
	g.heartbeatTrigger.Push(struct{}{})
}

// startReachCheck calls checkReach in the background.
func (g *Gateway) startReachCheck(target string) {
	go func() {
		defer g.guard("ReachCheck")
		g.checkReach(g.background, target)
	}()
}

// checkReach checks whether this host reaches a target on a new connection, and reports false if it does not. If the target was
// checked a short time ago, the result of that check holds.
func (g *Gateway) checkReach(ctx context.Context, target string) bool {
	if !g.reach.TakeCheck(g.now(), target) {
		return g.reach.Direct(target)
	}
	return g.reaches(ctx, target)
}

// reaches reports whether a check reaches a target, and records the result. The check opens a connection and sends nothing: what
// a target answers, and when, depends on its load, and the handshake does not.
func (g *Gateway) reaches(ctx context.Context, target string) bool {
	t, found := g.findTarget(target)
	if !found || g.maySend(target) != nil {
		return true
	}
	checkCtx, cancel := context.WithTimeout(ctx, reachCheckTimeout)
	defer cancel()
	g.stats.reachChecks.Add(1)
	err := g.pools.get(t.Name, t.Address).Connect(checkCtx)
	reached := !errorx.IsOfType(err, backend.ErrNotSent)
	if ctx.Err() != nil {
		// The check was ended and shows nothing.
		return true
	}
	if reached {
		g.recordInReach(target)
	} else {
		g.recordOutOfReach(target)
	}
	return reached
}

// runReachChecks is the background task that checks one target after the other while this host reaches none.
func (g *Gateway) runReachChecks(ctx context.Context) {
	for duty.Sleep(ctx, lostCheckInterval) {
		if target, due := g.reach.TakeLostCheck(g.now()); due {
			g.reaches(ctx, target)
		}
	}
}
