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
	// keptAtMost is how many times longer than they are told callers may keep addresses.
	keptAtMost = 3
	// stopCheck is how often to look whether everything has ended.
	stopCheck = 50 * time.Millisecond
)

// stopGracefully leaves the membership and goes on serving until callers have heard of it: they keep addresses for up
// to three times as long as they are told. Then it takes nothing new and lets what is under way end.
func (g *Gateway) stopGracefully(force context.Context, front func()) {
	started := g.now()
	g.stopping.Store(true)
	g.table.SetReady(false)
	g.table.Leave()
	g.kick.Push(struct{}{})
	g.book.Add(record.Record{Kind: record.HostLeft, Cause: "GracefulStop", Note: g.chain.Number()})
	limit := g.tunable.Load().Limits.StopTimeout - stopMargin
	hearing := min(limit/2, keptAtMost*g.tunable.Load().Limits.AddressMaxAge)
	duty.Sleep(force, hearing)
	front()
	g.closeIdle()
	for force.Err() == nil && g.now()-started < limit && g.open.Load() > 0 {
		duty.Sleep(force, stopCheck)
	}
}

// closeIdle ends the connections of callers that have nothing under way, and all others after their next answer.
func (g *Gateway) closeIdle() {
	g.conns.Range(func(key, _ any) bool {
		key.(*callerConn).closeIfIdle()
		return true
	})
}
