package gateway

import (
	"context"
	"time"

	"briarcroft/internal/duty"
	"briarcroft/internal/record"
)

// Time limits of a graceful stop.
const (
	// stopMargin is how long before the configured StopTimeout the process ends, since the platform kills it then.
	stopMargin = 400 * time.Millisecond
	// addressAgeFactor is how many times AddressMaxAge callers may keep using the addresses of a directory response.
	addressAgeFactor = 3
	// acceptTime is how long connections that callers have opened may wait to be accepted before the listener is closed.
	acceptTime = 500 * time.Millisecond
	// refusalTime is how long before the time limit requests that are still arriving are refused. Their connections linger after
	// that, because the end of the process would reset them.
	refusalTime = lingerTime + 100*time.Millisecond
	// stopCheckInterval is how often to check whether all connections of callers have ended.
	stopCheckInterval = 50 * time.Millisecond
)

// stopGracefully marks this host as leaving and goes on serving callers that still use its address from an earlier
// directory response, for up to addressAgeFactor times AddressMaxAge but at most half of the time limit, which is
// StopTimeout minus stopMargin. Then it accepts no connections and waits for the open ones and the runs for peers to end,
// until the time limit or the end of force. Requests that are still arriving then are refused.
func (g *Gateway) stopGracefully(force context.Context, closeListener func()) {
	started := g.now()
	g.stopping.Store(true)
	g.members.SetReady(false)
	g.members.Leave()
	g.heartbeatTrigger.Push(struct{}{})
	g.records.Add(record.Record{Kind: record.HostLeft, Cause: "GracefulStop", Note: g.chain.Number()})
	limit := g.reloadable.Load().Limits.StopTimeout - stopMargin
	drainTime := min(limit/2, addressAgeFactor*g.reloadable.Load().Limits.AddressMaxAge)
	g.logStop("graceful stop began", started)
	defer g.logStop("graceful stop ended", started)
	duty.Sleep(force, drainTime)
	closeListener()
	g.logStop("graceful stop: no new connections are accepted", started)
	g.closeIdle()
	if g.awaitUnused(force, started+limit-refusalTime) {
		return
	}
	g.callerConns.Range(func(key, _ any) bool {
		key.(*callerConn).stopReading()
		return true
	})
	g.logStop("graceful stop: no further requests are read", started)
	g.awaitUnused(force, started+limit)
}

// logStop logs a step of a graceful stop that began at the given time of Gateway.now, with what is in progress.
func (g *Gateway) logStop(step string, began time.Duration) {
	g.logger.Info().Dur("AfterMilliseconds", g.now()-began).Interface("Connections", g.connectionCounts()).
		Int64("WaitingRequests", g.stats.waiting.Load()).Int64("RunningRequests", g.stats.running.Load()).
		Int64("RequestsForPeers", g.relaysForPeers.Load()).Int64("UnwrittenLines", g.unwrittenLines()).Msg(step)
}

// awaitUnused waits until no connection of a caller is open and no run is relayed for a peer, and reports whether that is so before
// the given time of Gateway.now and the end of the context.
func (g *Gateway) awaitUnused(ctx context.Context, until time.Duration) bool {
	for g.openConns.Load() > 0 || g.relaysForPeers.Load() > 0 {
		if g.now() >= until || !duty.Sleep(ctx, stopCheckInterval) {
			return false
		}
	}
	return true
}

// closeIdle closes the idle connections of callers. The others close by themselves after a response, as the host is
// stopping.
func (g *Gateway) closeIdle() {
	// A connection that is added meanwhile reads this.
	g.closingIdle.Store(true)
	g.callerConns.Range(func(key, _ any) bool {
		key.(*callerConn).closeIfIdle()
		return true
	})
}
