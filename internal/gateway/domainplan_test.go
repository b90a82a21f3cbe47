package gateway_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"briarcroft/internal/duty"
	"briarcroft/internal/settings"
	"briarcroft/platform/standin"
)

// addZonedTargets starts targets in three failure domains, the given number in each, whose responses have 110 KB.
func (f *fleet) addZonedTargets(perDomain ...int) {
	for domain, count := range perDomain {
		for i := range count {
			x := f.addTarget(fmt.Sprintf("%s%d", domainOf(domain), i))
			x.Update(func(x *standin.Target) {
				x.Zone, x.RunDuration, x.Padding = domainOf(domain), 150*time.Millisecond, 110<<10
			})
			f.register(x, "ready")
		}
	}
}

// slowAtTimes makes a third of the targets four times as slow until the context ends, each time for 300 ms.
func (f *fleet) slowAtTimes(ctx context.Context, random *rand.Rand) {
	for {
		for _, name := range slices.Sorted(maps.Keys(f.targets)) {
			x := f.targets[name]
			pace := 1
			if random.IntN(3) == 0 {
				pace = 4
			}
			x.Update(func(x *standin.Target) { x.Pace, x.RunDuration = 100*pace, time.Duration(pace)*150*time.Millisecond })
		}
		if !duty.Sleep(ctx, 300*time.Millisecond) {
			return
		}
	}
}

// TestLargeResponsesStayInDomain replays the load of the plan of flows over whole hosts: 50 requests a second with responses of
// 110 KB, equal from three failure domains with 5, 6 and 3 targets. It guards against a plan that does not reach the homes, against
// responses that cross although their domain can serve them, and against answers that miss the goal for it. The home of
// the service ends halfway.
func TestLargeResponsesStayInDomain(t *testing.T) {
	for _, test := range []struct {
		plan     bool
		maxCross float64
	}{{false, 1}, {true, 0.05}} {
		t.Run(fmt.Sprintf("plan %t", test.plan), func(t *testing.T) {
			withSettings(t, func(s *settings.Settings) { s.Placement.DomainPlan = test.plan }, 9, 0, func(f *fleet) {
				f.timeLimit = 10 * time.Second
				large := safeRule("lookup", "/lookup/")
				large["timeout-ms"], large["latency-goal-ms"] = 10000, 1500
				f.configure(2, large)
				f.addZonedTargets(5, 6, 3)
				ctx, cancel := context.WithCancel(context.Background())
				f.running.Go(func() { f.slowAtTimes(ctx, rand.New(rand.NewPCG(1, 1))) })
				time.Sleep(3 * time.Second)
				const seconds, perSecond = 20, 50
				var mu sync.Mutex
				var group sync.WaitGroup
				late, ended := 0, ""
				for i := range seconds * perSecond {
					if i == seconds*perSecond/2 {
						_, ended = f.hosts["h0"].gateway.ReadyHosts("stock")
						f.hosts[ended].stop()
					}
					host := fmt.Sprintf("h%d", i%len(f.hosts))
					if host == ended {
						continue
					}
					group.Go(func() {
						r := f.call(host, http.MethodGet, "/lookup/x", fmt.Sprintf("%s %d", domainOf(i%len(f.hosts)), i))
						mu.Lock()
						defer mu.Unlock()
						if r.status != http.StatusOK || r.duration > 1500*time.Millisecond {
							late++
						}
					})
					time.Sleep(time.Second / perSecond)
				}
				group.Wait()
				cancel()
				cross, all := 0, 0
				for _, x := range f.targets {
					for id, runs := range x.Runs {
						all += runs
						if id[:1] != x.Zone {
							cross += runs
						}
					}
				}
				var counted int64
				for _, n := range f.hosts {
					counted += n.gateway.OtherDomainBytes()
				}
				f.is.True(counted > 0 && counted <= int64(cross)*(111<<10))
				t.Logf("%d of %d runs cross, %d of %d requests miss the goal", cross, all, late, seconds*perSecond)
				f.is.True(float64(cross) <= test.maxCross*float64(all))
				f.is.True(late <= seconds*perSecond/100)
			})
		})
	}
}
