package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"briarcroft/internal/inner"
	"briarcroft/internal/settings"
)

// traffic sums up the traffic between hosts in other failure domains, by kind, over all hosts.
func (f *fleet) traffic() map[string]inner.TrafficCount {
	sums := map[string]inner.TrafficCount{}
	for _, n := range f.hosts {
		for _, c := range n.gateway.Traffic() {
			if c.OtherDomain {
				sum := sums[c.Kind]
				sum.Messages += c.Messages
				sum.Sent += c.Sent
				sum.Received += c.Received
				sums[c.Kind] = sum
			}
		}
	}
	return sums
}

// TestTrafficBetweenDomains guards against messages between hosts that grow faster than the fleet: it measures the bytes that hosts
// of different failure domains send each other for each kind of traffic, while callers send 100 requests a second and targets write
// 20 entries a second. With the plan of flows, changes are announced together to hosts that only want to know of them.
func TestTrafficBetweenDomains(t *testing.T) {
	for _, test := range []struct {
		hosts int
		plan  bool
		// The bounds are in bytes a second over all hosts, the first two for each host and the third for each request.
		heartbeats, storeChanges, placement int64
	}{
		{13, false, 800, 500, 120}, {13, true, 800, 200, 120},
		{106, false, 1200, 700, 120}, {106, true, 1200, 200, 120},
	} {
		t.Run(fmt.Sprintf("%d hosts, plan %t", test.hosts, test.plan), func(t *testing.T) {
			plan := func(s *settings.Settings) { s.Placement.DomainPlan = test.plan }
			withSettings(t, plan, test.hosts, 12, func(f *fleet) {
				const seconds, requests, entries = 10, 100, 20
				before := f.traffic()
				for i := range requests * seconds {
					if i%(requests/entries) == 0 {
						f.register(f.targets[fmt.Sprintf("t%d", i%12)], "ready")
					}
					f.running.Go(func() { f.call(fmt.Sprintf("h%d", i%test.hosts), "GET", "/lookup/x", fmt.Sprintf("r%d", i)) })
					time.Sleep(time.Second / requests)
				}
				perSecond := map[string]int64{}
				for kind, c := range f.traffic() {
					perSecond[kind] = (c.Sent + c.Received - before[kind].Sent - before[kind].Received) / seconds
					t.Logf("%-12s %6d bytes in %4d messages a second", kind, perSecond[kind], (c.Messages-before[kind].Messages)/seconds)
				}
				f.is.True(perSecond["Heartbeats"] <= test.heartbeats*int64(test.hosts))
				f.is.True(perSecond["StoreChanges"] <= test.storeChanges*int64(test.hosts))
				f.is.True(perSecond["Placement"] <= test.placement*requests)
			})
		})
	}
}
