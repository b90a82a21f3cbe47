package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"briarcroft/platform/standin"
)

// TestConnectionsStayBelowCap guards against connections that add up over the hosts until a target resets them. Each host sends a
// request every 6 s, half of them unsafe ones. Those take no connection that has been idle for 5 s, so that each left one more idle
// connection behind, and idle connections were closed only when the next request came.
func TestConnectionsStayBelowCap(t *testing.T) {
	const hosts, targets, connectionCap, seconds = 24, 2, 40, 180
	withFleet(t, hosts, targets, func(f *fleet) {
		f.maxConnections = connectionCap
		f.configure(2, safeRule("lookup", "/lookup/"), unsafeRule("order", "/order/"))
		for _, x := range f.targets {
			x.Update(func(t *standin.Target) { t.ConnectionCap = connectionCap })
		}
		requests := 0
		random := rand.New(rand.NewPCG(1, 1))
		for range seconds / 6 {
			for host := range hosts {
				requests++
				path, method := "/lookup/x", "GET"
				if random.IntN(2) == 0 {
					path, method = "/order/x", "POST"
				}
				f.running.Go(func() { f.call(fmt.Sprintf("h%d", host), method, path, fmt.Sprintf("r%d", requests)) })
				time.Sleep(6 * time.Second / hosts)
			}
		}
		for name, x := range f.targets {
			x.Update(func(x *standin.Target) {
				t.Logf("%s: %d connections opened for about %d requests, at most %d at a time, %d reset", name, x.Connections, requests/targets, x.MostConnections, x.Resets)
				f.is.Equal(x.Resets, 0)
			})
		}
	})
}
