package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"briarcroft/platform/standin"
)

// configurationBound is the time in which a configuration must be in force after the store has acknowledged it, on all hosts
// that reach the store.
const configurationBound = 2 * time.Second

// TestHostsThatLoseTheStoreDoNotDelayOthers cuts each host off from the store with probability one half and writes a
// configuration up to 1.5 s later. It guards against hosts that rely on watchers which no longer reach the store.
func TestHostsThatLoseTheStoreDoNotDelayOthers(t *testing.T) {
	const hosts, seeds = 13, 20
	for _, c := range []struct {
		name string
		cut  func(f *fleet, random *rand.Rand, host string)
	}{
		{"silent", func(f *fleet, _ *rand.Rand, h string) { f.net.Partition(h, "store") }},
		{"to the store only", func(f *fleet, _ *rand.Rand, h string) { f.net.BlackholeOneWay(h, "store") }},
		{"from the store only", func(f *fleet, _ *rand.Rand, h string) { f.net.BlackholeOneWay("store", h) }},
		{"silent, half also from other hosts", func(f *fleet, random *rand.Rand, h string) {
			f.net.Partition(h, "store")
			if random.IntN(2) == 0 {
				for other := range f.hosts {
					f.net.Partition(h, other)
				}
			}
		}},
	} {
		for seed := range uint64(seeds) {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) {
				withFleet(t, hosts, 2, func(f *fleet) {
					random := rand.New(rand.NewPCG(seed, 1))
					cut := map[string]bool{}
					for i := range hosts {
						if name := fmt.Sprint("h", i); random.IntN(2) == 0 {
							cut[name] = true
							c.cut(f, random, name)
						}
					}
					time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
					f.configure(2, safeRule("lookup", "/lookup/"))
					f.checkConfigured(2, cut)
				})
			})
		}
	}
}

// TestHostsThatLoseTheStoreDoNotDelayDrains is like TestHostsThatLoseTheStoreDoNotDelayOthers for a target that drains.
func TestHostsThatLoseTheStoreDoNotDelayDrains(t *testing.T) {
	const hosts, seeds = 13, 20
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			withFleet(t, hosts, 3, func(f *fleet) {
				random := rand.New(rand.NewPCG(seed, 1))
				var connected []string
				for i := range hosts {
					name := fmt.Sprint("h", i)
					if random.IntN(2) == 0 {
						f.net.Partition(name, "store")
					} else {
						connected = append(connected, name)
					}
				}
				time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
				f.register(f.targets["t0"], "draining")
				time.Sleep(configurationBound)
				drained := time.Now()
				for i, name := range connected {
					for k := range 5 {
						f.is.Equal(f.call(name, http.MethodGet, "/lookup/1", fmt.Sprintf("d%d-%d", i, k)).status, http.StatusOK)
					}
				}
				f.targets["t0"].Update(func(t *standin.Target) { f.is.True(t.LastRunStart.Before(drained)) })
			})
		})
	}
}

// checkConfigured checks that a configuration that was just written is in force on all hosts in time, except on the given ones.
func (f *fleet) checkConfigured(number int, except map[string]bool) {
	time.Sleep(configurationBound)
	for name, n := range f.hosts {
		if !except[name] && n.gateway.NoteNumber() < number {
			f.is.Equal(name, "late")
		}
	}
}

// TestStoreIsCalledSeldom bounds the calls to the store: while nothing changes, by one call each 1.5 s and failure domain; while
// half of the hosts are cut off from it, by twice that; and after an outage for all, by three calls of each host beside those that
// the watchers need to follow the store and register.
func TestStoreIsCalledSeldom(t *testing.T) {
	const calmIn30s, watchersAfterOutage = 60, 35
	for _, hosts := range []int{13, 60} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			withFleet(t, hosts, 2, func(f *fleet) {
				time.Sleep(5 * time.Second)
				calm := f.storeCallsIn(30 * time.Second)
				for i := 0; i < hosts; i += 2 {
					f.net.Partition(fmt.Sprint("h", i), "store")
				}
				half := f.storeCallsIn(30 * time.Second)
				for i := range hosts {
					f.net.Partition(fmt.Sprint("h", i), "store")
				}
				time.Sleep(20 * time.Second)
				for i := range hosts {
					f.net.Heal(fmt.Sprint("h", i), "store")
				}
				after := f.storeCallsIn(10 * time.Second)
				t.Logf("calls to the store: %d in 30 s, %d in 30 s without half of the links, %d in 10 s after an outage", calm, half, after)
				f.is.True(calm <= calmIn30s+3)
				f.is.True(half <= 2*calmIn30s)
				f.is.True(after <= watchersAfterOutage+3*hosts)
			})
		})
	}
}

// storeCallsIn returns the number of calls to the store in a time.
func (f *fleet) storeCallsIn(duration time.Duration) int {
	before := f.store.CallCount()
	time.Sleep(duration)
	return f.store.CallCount() - before
}
