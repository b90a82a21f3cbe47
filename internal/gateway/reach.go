package gateway

import (
	"context"
	"time"

	"briarcroft/internal/backend"
	"briarcroft/internal/duty"
	"briarcroft/internal/placement"
	"briarcroft/internal/record"
	"briarcroft/internal/roster"
)

// Times and counts of the checks whether this host reaches targets.
const (
	// reachCheckTimeout is how long a target may take to respond to a check on a new connection: many times the round trip of
	// a few milliseconds, as the target or this host may be busy.
	reachCheckTimeout = 150 * time.Millisecond
	// lostCheckInterval is the time between two checks while this host reaches no target.
	lostCheckInterval = 250 * time.Millisecond
)

// registeredTarget is a target in the store, with the health path of its service.
type registeredTarget struct {
	roster.Target
	healthPath string
}

// applyRegistered replaces the registered targets by those of a view.
func (g *Gateway) applyRegistered(v *roster.View) {
	registered, names := map[string]registeredTarget{}, map[string]bool{}
	for service, targets := range v.Targets {
		s, _ := v.Configuration.Service(service)
		for _, t := range targets {
			registered[t.Name], names[t.Name] = registeredTarget{t, s.ReportPath}, true
		}
	}
	g.registered.Store(&registered)
	g.reach.SetTargets(names)
}

// findTarget returns a registered target.
func (g *Gateway) findTarget(name string) (registeredTarget, bool) {
	t, found := (*g.registered.Load())[name]
	return t, found
}

// recordReach records whether a probe of this host has reached a target.
func (g *Gateway) recordReach(target string, reached bool) {
	if reached {
		g.recordInReach(target)
		return
	}
	g.recordOutOfReach(target)
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
		go g.reaches(g.background, other)
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

// checkReach checks whether this host reaches a target on a new connection, and reports false if it does not. If the target was
// checked a short time ago, the result of that check holds.
func (g *Gateway) checkReach(ctx context.Context, target string) bool {
	if !g.reach.TakeCheck(g.now(), target) {
		return g.reach.Direct(target)
	}
	return g.reaches(ctx, target)
}

// reaches reports whether a check reaches a target, and records the result.
func (g *Gateway) reaches(ctx context.Context, target string) bool {
	t, found := g.findTarget(target)
	if !found || g.said(target).Blocked(g.now()) {
		return true
	}
	checkCtx, cancel := context.WithTimeout(ctx, reachCheckTimeout)
	defer cancel()
	g.stats.reachChecks.Add(1)
	_, _, reached := g.checkHealth(checkCtx, placement.Placed{Target: t.Name, Address: t.Address}, t.healthPath, backend.Options{NewConnection: true})
	if ctx.Err() != nil {
		// The check was ended and shows nothing.
		return true
	}
	g.recordReach(target, reached)
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
