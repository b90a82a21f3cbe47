package gateway_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"briarcroft/platform/standin"
)

// Limits for cold targets, from the requirements of the platform.
const (
	coldTime  = 3 * time.Second
	coldRate  = 2.7
	coldBound = 1.5*coldRate + 8
)

// configureWarmUp writes a configuration that limits what cold targets take.
func (f *fleet) configureWarmUp(version int) {
	value, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", version), "routes": []rule{safeRule("lookup", "/lookup/"), unsafeRule("order", "/order/")},
		"services": []any{map[string]any{"name": "stock", "health-path": "/health", "max-connections": 100, "warmup-s": coldTime.Seconds(), "warmup-per-s": coldRate}},
		"limits":   map[string]any{"max-header-bytes": 4096, "max-body-bytes": 1 << 20, "header-timeout-ms": 2000, "idle-timeout-ms": 15000},
	})
	f.is.NoErr(err)
	f.store.Put("op/config", value)
}

// restartCold starts the targets of a failure domain again, cold, at new addresses.
func (f *fleet) restartCold(domain string) {
	for name, old := range f.targets {
		if old.Zone != domain {
			continue
		}
		t := standin.NewTarget(name)
		t.Zone, t.Born, t.ColdUntil = domain, time.Now().UnixMilli(), time.Now().Add(coldTime)
		t.Address = f.serve(name+"-again", "", t)
		f.targets[name] = t
		f.register(t, "ready")
	}
}

// mostWhileCold returns the largest number of requests that a target received in any second until a time, and the number of those that it
// received after that.
func mostWhileCold(x *standin.Target, from, until time.Time) (most, after int) {
	var times []time.Time
	for _, a := range arrivalsOfTarget(x) {
		if !a.At.Before(from) && a.At.Before(until) {
			times = append(times, a.At)
		} else if a.At.After(until) {
			after++
		}
	}
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most, after
}

// TestColdDomainReturnsUnderBurst replays a failure domain whose targets come back cold together under a burst. It guards against targets
// that get more than they take while they are cold, from whichever hosts, and against targets that are not used when they are warm.
func TestColdDomainReturnsUnderBurst(t *testing.T) {
	const usual, burst = 60, 300
	for _, c := range []struct {
		name string
		// begin makes the targets of domain b cold. The function disrupt, which may be nil, does what is done to hosts meanwhile.
		begin, disrupt func(*fleet)
		// served is the least share of the burst that is served.
		served float64
	}{
		{"targets start again", func(f *fleet) { f.restartCold("b") }, nil, 0.99},
		{"homes end", func(f *fleet) { f.restartCold("b") }, func(f *fleet) { f.killHomes(3, time.Second) }, 0},
		{"every host alone", func(f *fleet) { f.restartCold("b") }, func(f *fleet) { f.cutInto(13) }, 0},
		{"three groups", func(f *fleet) { f.restartCold("b") }, func(f *fleet) { f.cutInto(3) }, 0},
		{"targets become cold without notice", func(f *fleet) {
			for _, x := range f.targets {
				x.Update(func(t *standin.Target) {
					if t.Zone == "b" {
						t.ColdUntil = time.Now().Add(coldTime)
					}
				})
			}
		}, nil, 0.99},
		{"an evacuation ends", func(f *fleet) {
			f.evacuate("b")
			time.Sleep(evacuationGoal)
			f.restartCold("b")
			f.takeBack("b")
		}, nil, 0.99},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, 13, 0, func(f *fleet) {
				f.configureWarmUp(2)
				f.spreadTargets(3)
				time.Sleep(time.Second)
				f.sendSteadily("usual", usual, 3*time.Second)
				began := time.Now()
				c.begin(f)
				var disruption sync.WaitGroup
				if c.disrupt != nil {
					disruption.Go(func() { c.disrupt(f) })
				}
				warm := time.Now().Add(coldTime)
				replies := f.sendSteadily("burst", burst, 5*time.Second)
				disruption.Wait()
				served := float64(count(replies, http.StatusOK)) / float64(len(replies))
				for _, x := range f.targets {
					if x.Zone == "b" {
						most, after := mostWhileCold(x, began, warm)
						t.Logf("%s got %d requests in one second while cold, %.1f allowed, and %d in the 2 s after that; %.3f served", x.Name, most, coldBound, after, served)
						f.is.True(float64(most) <= coldBound)
						f.is.True(after > 20)
					}
				}
				f.is.True(served >= c.served)
			})
		})
	}
}
