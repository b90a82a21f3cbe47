package gateway

import (
	"context"
	"time"

	"briarcroft/internal/drain"
	"briarcroft/internal/duty"
	"briarcroft/internal/placement"
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
	// stopCheckInterval is how often to check whether all connections of callers have ended.
	stopCheckInterval = 50 * time.Millisecond
	// answerCheckInterval is how often to check whether the requests of canceled runs have been answered.
	answerCheckInterval = 10 * time.Millisecond
)

// hostStopping is the refusal of a request that this host cannot finish before its stop. Its caller can go to another host at once,
// which the shortest Retry-After time says.
var hostStopping = placement.Refused{Reason: "HostStopping", RetryAfter: time.Millisecond}

// mayStartRun reports whether a run of the request may be started, as far as a graceful stop of this host is concerned.
func (x *exchange) mayStartRun() bool {
	return x.gateway.stop.MayStartRun(x.gateway.now(), x.request.arrived, x.deadline)
}

// stopGracefully marks this host as leaving and goes on serving callers that still use its address from an earlier
// directory response, for up to addressAgeFactor times AddressMaxAge but at most half of the time limit, which is
// StopTimeout minus stopMargin. Then it accepts no connections and waits for the open ones and the runs for peers to end,
// until the time limit or the end of force. Requests that wait for a target, or are still arriving, are refused early enough for
// their callers to get the response.
func (g *Gateway) stopGracefully(force context.Context, closeListener func()) {
	limits := g.reloadable.Load().Limits
	limit := limits.StopTimeout - stopMargin
	s := drain.NewSchedule(drain.Config{Now: g.now(), DrainTime: min(limit/2, addressAgeFactor*limits.AddressMaxAge), Limit: limit})
	g.stop.Begin(s)
	g.members.SetReady(false)
	g.members.Leave()
	g.heartbeatTrigger.Push(struct{}{})
	g.records.Add(record.Record{Kind: record.HostLeft, Cause: "GracefulStop", Note: g.chain.Number()})
	g.logStop("graceful stop began", s)
	defer g.logStop("graceful stop ended", s)
	duty.Sleep(force, s.Drained-g.now())
	closeListener()
	g.logStop("graceful stop: no new connections are accepted", s)
	g.closeIdle()
	if g.awaitUnused(force, s.LastRun) {
		return
	}
	g.stop.EndRuns()
	g.logStop("graceful stop: requests that wait and may not end in time are refused", s)
	if g.awaitUnused(force, s.Answered) {
		return
	}
	g.callerConns.Range(func(key, _ any) bool {
		key.(*callerConn).stopReading()
		return true
	})
	g.logStop("graceful stop: no further requests are read", s)
	if g.awaitUnused(force, s.Cut) {
		return
	}
	g.logStop("graceful stop: runs are canceled", s)
	g.cancelRuns()
	g.awaitAnswered(force, s.Ended)
}

// logStop logs a step of a graceful stop, with what is in progress.
func (g *Gateway) logStop(step string, s drain.Schedule) {
	g.logger.Info().Dur("AfterMilliseconds", g.now()-s.Began).Interface("Connections", g.connectionCounts()).
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

// awaitAnswered waits until no request of a caller is in progress, until the given time of Gateway.now or the end of the context.
func (g *Gateway) awaitAnswered(ctx context.Context, until time.Duration) {
	for counts := g.connectionCounts(); counts.Busy+counts.CallerLeft > 0; counts = g.connectionCounts() {
		if g.now() >= until || !duty.Sleep(ctx, answerCheckInterval) {
			return
		}
	}
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
