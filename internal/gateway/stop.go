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
	// stopCheckInterval is how often to check whether all connections of callers have ended.
	stopCheckInterval = 50 * time.Millisecond
)

// stopGracefully marks this host as leaving and goes on serving callers that still use its address from an earlier
// directory response, for up to addressAgeFactor times AddressMaxAge but at most half of the time limit, which is
// StopTimeout minus stopMargin. Then it accepts no connections and waits for the open ones to end, until the time limit
// or the end of force.
func (g *Gateway) stopGracefully(force context.Context, closeListener func()) {
	started := g.now()
	g.stopping.Store(true)
	g.members.SetReady(false)
	g.members.Leave()
	g.heartbeatTrigger.Push(struct{}{})
	g.records.Add(record.Record{Kind: record.HostLeft, Cause: "GracefulStop", Note: g.chain.Number()})
	limit := g.reloadable.Load().Limits.StopTimeout - stopMargin
	drainTime := min(limit/2, addressAgeFactor*g.reloadable.Load().Limits.AddressMaxAge)
	duty.Sleep(force, drainTime)
	closeListener()
	g.closeIdle()
	for force.Err() == nil && g.now()-started < limit && g.openConns.Load() > 0 {
		duty.Sleep(force, stopCheckInterval)
	}
}

// closeIdle closes the idle connections of callers. The others close by themselves after a response, as the host is
// stopping.
func (g *Gateway) closeIdle() {
	g.callerConns.Range(func(key, _ any) bool {
		key.(*callerConn).closeIfIdle()
		return true
	})
}
