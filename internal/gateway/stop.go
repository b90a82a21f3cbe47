package gateway

import (
	"context"
	"time"

	"briarcroft/internal/record"
)

// Times of a graceful stop.
const (
	// stopMargin is how long before the platform's own limit the process ends.
	stopMargin = 400 * time.Millisecond
	// stopCheck is how often to look whether everything has ended.
	stopCheck = 50 * time.Millisecond
)

// stopGracefully leaves the membership and goes on serving until callers have gone to other hosts or the time is over.
// Callers keep addresses for a while, so new connections are still taken.
func (g *Gateway) stopGracefully(force context.Context) {
	started := g.now()
	g.stopping.Store(true)
	g.table.SetReady(false)
	g.table.Leave()
	g.kick.Push(struct{}{})
	g.book.Add(record.Record{Kind: record.HostLeft, Cause: "GracefulStop", Note: g.chain.Number()})
	limit := g.settings.Limits.StopTimeout - stopMargin
	stay := min(limit, 2*g.settings.Limits.AddressMaxAge)
	for g.now()-started < limit {
		if g.open.Load() == 0 && g.now()-started > stay {
			return
		}
		if !sleep(force, stopCheck) {
			return
		}
	}
}
