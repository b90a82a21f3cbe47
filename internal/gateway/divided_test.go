package gateway_test

import (
	"fmt"
	"testing"
	"time"
)

// cutDomain partitions the hosts of a failure domain from all others, and from the store if that is set; it returns the names of the hosts.
func (f *fleet) cutDomain(domain string, store bool) []string {
	var inside, outside []string
	for i := range len(f.hosts) {
		name := fmt.Sprint("h", i)
		if domainOf(i) == domain {
			inside = append(inside, name)
		} else {
			outside = append(outside, name)
		}
	}
	for _, a := range inside {
		if store {
			f.net.Partition(a, "store")
		}
		for _, b := range outside {
			f.net.Partition(a, b)
		}
	}
	return inside
}

// holders returns the names of the hosts that take themselves for the holder of the accounts' token buckets.
func (f *fleet) holders() []string {
	var names []string
	for i := range len(f.hosts) {
		n := f.hosts[fmt.Sprint("h", i)]
		if stats, _ := n.gateway.Allowances(); stats.Holding && !n.stopped.Load() {
			names = append(names, n.name)
		}
	}
	return names
}

// TestHostsRestartedBehindCutElectNoHolder guards against hosts that restart in a part of a divided fleet and take the hosts that they
// find there for most of it.
func TestHostsRestartedBehindCutElectNoHolder(t *testing.T) {
	for _, c := range []struct {
		name string
		// store is set if the part has lost the store too; ended is the number of its hosts that restart, after a time in the cut.
		store bool
		ended int
		after time.Duration
	}{
		{"without the store, three of four", true, 3, 5 * time.Second},
		{"without the store, three of four at once", true, 3, 0},
		{"with the store, all", false, 4, 0},
		{"with the store, all, later", false, 4, 5 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, 12, 4, func(f *fleet) {
				f.tenants = []tenant{{"name": "a", "api-keys": []string{"k"}, "rate-per-s": 50, "burst": 20}}
				f.configureAccounts(2)
				time.Sleep(10 * time.Second)
				f.is.Equal(len(f.holders()), 1)
				inside := f.cutDomain("c", c.store)
				time.Sleep(c.after)
				for _, name := range inside[len(inside)-c.ended:] {
					f.crash(name)
				}
				time.Sleep(500 * time.Millisecond)
				for _, name := range inside[len(inside)-c.ended:] {
					f.start(name, "c")
					f.hosts[name].stopped.Store(false)
				}
				for range 150 {
					time.Sleep(100 * time.Millisecond)
					if holders := f.holders(); len(holders) > 1 {
						t.Errorf("%v hold the token buckets at the same time", holders)
						return
					}
				}
				f.is.Equal(len(f.holders()), 1)
			})
		})
	}
}

// TestStoreHoldsAddressesOfFleet guards against a fleet whose size a starting host cannot learn from the store, and against addresses
// of hosts that are gone for good, which would make every part of the fleet look small.
func TestStoreHoldsAddressesOfFleet(t *testing.T) {
	withFleet(t, 7, 2, func(f *fleet) {
		stored := func() int { return len(f.store.Keys("briarcroft/hosts/")) }
		calls := f.store.CallCount()
		time.Sleep(8 * time.Second)
		f.is.Equal(stored(), 7)
		t.Logf("%d calls of the store in 8 s", f.store.CallCount()-calls)
		f.hosts["h6"].stop()
		f.is.NoErr(<-f.hosts["h6"].done)
		f.hosts["h6"].done <- nil // for close, which receives from it again
		f.crash("h5")
		time.Sleep(2 * time.Minute)
		f.is.Equal(stored(), 6) // h5 may be running out of reach
		for _, name := range []string{"h1", "h2", "h3", "h4"} {
			f.crash(name)
		}
		time.Sleep(time.Hour + 5*time.Minute)
		f.is.Equal(stored(), 1)
	})
}
