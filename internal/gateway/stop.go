package gateway

import (
	"context"
	"time"

	"briarcroft/internal/duty"
	"briarcroft/internal/record"
)

// Times of a graceful stop.
const (
	// stopMargin is how long before the platform's own limit the process ends.
	stopMargin = 400 * time.Millisecond
	// addressAgeFactor is how many times longer than they are told callers may keep addresses.
	addressAgeFactor = 3
	// stopCheckInterval is how often to look whether everything has ended.
	stopCheckInterval = 50 * time.Millisecond
)

// stopGracefully leaves the membership and goes on serving until callers have heard of it: they keep addresses for up
// to three times as long as they are told. Then it takes nothing new and lets what is under way end.
func (g *Gateway) stopGracefully(force context.Context, closeListener func()) {
	started := g.now()
	g.stopping.Store(true)
	g.members.SetReady(false)
	g.members.Leave()
	g.heartbeatNow.Push(struct{}{})
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

// closeIdle ends the connections of callers that have nothing under way, and all others after their next answer.
func (g *Gateway) closeIdle() {
	g.callerConns.Range(func(key, _ any) bool {
		key.(*callerConn).closeIfIdle()
		return true
	})
}
