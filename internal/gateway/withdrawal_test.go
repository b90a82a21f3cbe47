package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"briarcroft/platform/standin"
)

// withdrawalLimit is the time after which a withdrawn key must not be accepted by any host, from the requirements of the platform.
const withdrawalLimit = 5 * time.Second

// withStrictAccounts runs a test with a fleet that must keep withdrawalLimit. Its accounts are those of withAccounts.
func withStrictAccounts(t *testing.T, hosts int, run func(f *fleet)) {
	withPreparedFleet(t, hosts, 2, func(f *fleet) {
		f.accounts.WithdrawalLimit, f.accounts.StrictWithdrawal = withdrawalLimit, true
		f.tenants = []tenant{{"name": "north", "api-keys": []string{"n1", "n2"}}, {"name": "south", "api-keys": []string{"s1"}}}
	}, func(f *fleet) {
		f.configureAccounts(2)
		time.Sleep(configurationBound)
		run(f)
	})
}

// withdraw removes the key n2 from the configuration.
func (f *fleet) withdraw(version int) {
	f.tenants[0]["api-keys"] = []string{"n1"}
	f.configureAccounts(version)
}

// callConcurrently sends a request with a key to a host each 5 ms, without waiting for responses, and returns how many reached a
// target.
func (f *fleet) callConcurrently(host string, duration time.Duration, key string) int {
	var group sync.WaitGroup
	var ids []string
	for began := time.Now(); time.Since(began) < duration; time.Sleep(5 * time.Millisecond) {
		id := fmt.Sprintf("%s-%s-%d", host, key, time.Now().UnixNano())
		ids = append(ids, id)
		group.Go(func() { f.callWithKeys(host, "/lookup/1", id, key) })
	}
	group.Wait()
	arrived := 0
	for _, id := range ids {
		arrived += f.arrivalsOf(id)
	}
	return arrived
}

// callRepeatedly sends a request with each of the given keys to a host each 20 ms, and returns how many of each key were answered
// with status 200.
func (f *fleet) callRepeatedly(host string, duration time.Duration, keys ...string) map[string]int {
	served := map[string]int{}
	for began := time.Now(); time.Since(began) < duration; time.Sleep(20 * time.Millisecond) {
		for _, key := range keys {
			id := fmt.Sprintf("%s-%s-%d", host, key, time.Now().UnixNano())
			switch r := f.callWithKeys(host, "/lookup/1", id, key); r.status {
			case http.StatusOK:
				served[key]++
			default:
				f.is.Equal(f.arrivalsOf(id), 0)
			}
		}
	}
	return served
}

// expectServed checks that a host serves requests with a key that was not withdrawn.
func (f *fleet) expectServed(host string) {
	for range 3 {
		f.is.Equal(f.callWithKeys(host, "/lookup/1", fmt.Sprintf("served-%s-%d", host, time.Now().UnixNano()), "n1").status, http.StatusOK)
	}
}

// expectRefusal checks that a host refuses a request with a key, because it cannot judge the key, and has not sent it.
func (f *fleet) expectRefusal(host, key string) {
	id := fmt.Sprintf("refused-%s-%s-%d", host, key, time.Now().UnixNano())
	r := f.callWithKeys(host, "/lookup/1", id, key)
	f.is.Equal(r.status, http.StatusServiceUnavailable)
	f.is.Equal(r.header.Get("Briarcroft-Reason"), "ConfigurationTooOld")
	f.is.True(r.header.Get("Retry-After") != "")
	f.is.Equal(f.arrivalsOf(id), 0)
}

// othersOf returns the store and all hosts but one.
func (f *fleet) othersOf(host string) []string {
	others := []string{"store"}
	for name := range f.hosts {
		if name != host {
			others = append(others, name)
		}
	}
	return others
}

// TestSuspendedHostAcceptsNoWithdrawnKey suspends a host for a minute in which a key is withdrawn; its monotonic clock stands still
// then. Messages that reached it before lie in buffers, and seem to be new when it wakes: heartbeats, replies and the store's
// responses. It must not accept the key whether it then hears of others or not, and must accept others soon after it does.
func TestSuspendedHostAcceptsNoWithdrawnKey(t *testing.T) {
	const hosts = 5
	for victim := range hosts {
		for _, before := range []time.Duration{0, 100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond, 400 * time.Millisecond} {
			name := fmt.Sprint("h", victim)
			t.Run(fmt.Sprint(name, " after ", before), func(t *testing.T) {
				withStrictAccounts(t, hosts, func(f *fleet) {
					time.Sleep(before)
					for _, other := range f.othersOf(name) {
						f.net.Hold(other, name)
					}
					time.Sleep(150 * time.Millisecond)
					for _, other := range f.othersOf(name) {
						f.net.Partition(name, other)
					}
					f.withdraw(3)
					time.Sleep(time.Millisecond)
					f.suspend(name, time.Minute)
					f.is.Equal(f.callConcurrently(name, 20*time.Millisecond, "n2"), 0)
					for _, other := range f.othersOf(name) {
						f.net.Release(other, name)
					}
					f.is.Equal(f.callConcurrently(name, 200*time.Millisecond, "n2"), 0)
					// What peers prove from now on is from after the withdrawal, as it would be after a minute.
					time.Sleep(withdrawalLimit)
					for _, other := range f.othersOf(name) {
						f.net.Heal(other, name)
					}
					f.is.Equal(f.callConcurrently(name, 3*time.Second, "n2"), 0)
					for other := range f.hosts {
						f.expectServed(other)
					}
				})
			})
		}
	}
}

// TestHostWithoutRepliesProvesByItself holds back what a host sends to all peers, while it hears from them and reaches the store: its
// knowledge of the store seems to be new, but only calls of its own prove it.
func TestHostWithoutRepliesProvesByItself(t *testing.T) {
	withStrictAccounts(t, 5, func(f *fleet) {
		for _, other := range f.othersOf("h1") {
			if other != "store" {
				f.net.Hold("h1", other)
			}
		}
		for began := time.Now(); time.Since(began) < 3*withdrawalLimit; time.Sleep(100 * time.Millisecond) {
			f.expectServed("h1")
		}
	})
}

// TestHostOutOfTouchRefusesKeysAfterLimit cuts a host off from the store and from all peers, or the store off from all hosts: keys are
// refused before the limit has passed, and public rules are served. When the cut ends, keys are accepted again soon.
func TestHostOutOfTouchRefusesKeysAfterLimit(t *testing.T) {
	for _, c := range []struct {
		name      string
		cut, heal func(f *fleet)
	}{
		{"one host", func(f *fleet) {
			for _, other := range []string{"store", "h0", "h2", "h3", "h4"} {
				f.net.Partition("h1", other)
			}
		}, func(f *fleet) {
			for _, other := range []string{"store", "h0", "h2", "h3", "h4"} {
				f.net.Heal("h1", other)
			}
		}},
		{"store is down", func(f *fleet) { f.store.SetFaults("", storeUnavailable) }, func(f *fleet) { f.store.SetFaults("", storeHealthy) }},
		{"store is silent", func(f *fleet) { f.store.SetFaults("", standin.Faults{Unresponsive: true}) }, func(f *fleet) { f.store.SetFaults("", storeHealthy) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			withStrictAccounts(t, 5, func(f *fleet) {
				c.cut(f)
				time.Sleep(time.Second)
				f.is.True(f.callRepeatedly("h1", 200*time.Millisecond, "n2")["n2"] > 0)
				f.withdraw(3)
				time.Sleep(withdrawalLimit)
				f.expectRefusal("h1", "n1")
				f.expectRefusal("h1", "n2")
				f.expectRefusal("h1", "unknown")
				f.is.Equal(f.callWithKeys("h1", "/open/1", "public").status, http.StatusOK)
				c.heal(f)
				time.Sleep(4 * time.Second)
				f.is.Equal(f.callWithKeys("h1", "/lookup/1", "again", "n1").status, http.StatusOK)
				f.is.Equal(f.callWithKeys("h1", "/lookup/1", "gone", "n2").status, http.StatusUnauthorized)
			})
		})
	}
}

// TestStartedHostsProveNothing starts a host beside one that is cut off with it: what it hears there is as old as what the other one
// knows. A host that hears of it from peers in touch serves at once, also without the store.
func TestStartedHostsProveNothing(t *testing.T) {
	withStrictAccounts(t, 5, func(f *fleet) {
		for _, cut := range []string{"h1", "h4"} {
			for _, other := range []string{"store", "h0", "h2", "h3"} {
				f.net.Partition(cut, other)
			}
		}
		f.withdraw(3)
		time.Sleep(withdrawalLimit)
		f.crash("h4")
		f.start("h4", "b")
		f.is.Equal(f.callRepeatedly("h4", 2*time.Second, "n2")["n2"], 0)
		f.net.Partition("h3", "store")
		f.crash("h3")
		f.start("h3", "a")
		f.is.Equal(f.callRepeatedly("h3", 2*time.Second, "n2")["n2"], 0)
		f.expectServed("h3")
	})
}

// TestRestoredStoreBringsNoKeyBack takes the store back to a copy that still has a withdrawn key, and starts a host before the operator
// has written the newest configuration again.
func TestRestoredStoreBringsNoKeyBack(t *testing.T) {
	withStrictAccounts(t, 5, func(f *fleet) {
		older := f.store.Copy()
		f.withdraw(3)
		time.Sleep(configurationBound)
		f.store.Restore(older)
		f.crash("h4")
		// The started host reads the copy before it hears of a peer.
		for _, peer := range []string{"h0", "h1", "h2", "h3"} {
			f.net.Hold(peer, "h4")
		}
		f.start("h4", "b")
		f.is.Equal(f.callConcurrently("h4", 400*time.Millisecond, "n2"), 0)
		for _, peer := range []string{"h0", "h1", "h2", "h3"} {
			f.net.Release(peer, "h4")
		}
		f.is.Equal(f.callConcurrently("h4", 3*time.Second, "n2"), 0)
		for name := range f.hosts {
			f.is.Equal(f.callConcurrently(name, 500*time.Millisecond, "n2"), 0)
		}
		for name := range f.hosts {
			f.expectServed(name)
		}
		f.configureAccounts(3)
		time.Sleep(withdrawalLimit)
		for name := range f.hosts {
			f.expectServed(name)
		}
	})
}

// TestWaitingRequestWithWithdrawnKeyIsNotSent withdraws the key of a request that waits for a slot.
func TestWaitingRequestWithWithdrawnKeyIsNotSent(t *testing.T) {
	withStrictAccounts(t, 2, func(f *fleet) {
		for _, target := range f.targets {
			target.Update(func(t *standin.Target) { t.RunDuration = 300 * time.Millisecond })
		}
		replies := make(chan reply, 1)
		for i := range 6 {
			go func() { f.callWithKeys("h0", "/lookup/1", fmt.Sprint("busy-", i), "s1") }()
		}
		time.Sleep(50 * time.Millisecond)
		go func() { replies <- f.callWithKeys("h0", "/lookup/1", "waiting", "n2") }()
		time.Sleep(50 * time.Millisecond)
		f.withdraw(3)
		r := <-replies
		f.is.Equal(r.status, http.StatusUnauthorized)
		f.is.Equal(f.arrivalsOf("waiting"), 0)
		time.Sleep(time.Second)
	})
}

// TestStoreThatAllowsShortWaitsIsFollowed makes the store refuse longer waits than those of hosts that prove nothing: it must be
// followed with as few calls, and keys must be accepted.
func TestStoreThatAllowsShortWaitsIsFollowed(t *testing.T) {
	withStrictAccounts(t, 6, func(f *fleet) {
		f.store.SetMaxWait(2 * time.Second)
		time.Sleep(6 * time.Second)          // until longer waits have failed
		f.register(f.targets["t0"], "ready") // after a change, the waits of the watchers end in turn
		time.Sleep(time.Second)
		before := f.store.CallCount()
		for range 30 {
			time.Sleep(time.Second)
			f.expectServed("h1")
		}
		f.is.True(f.store.CallCount()-before <= 3*(30*2/3+2)) // as in TestStoreCalls
	})
}

// TestProofsOnCalmDay guards against refusals and further calls to the store while nothing fails, with a hundred hosts.
func TestProofsOnCalmDay(t *testing.T) {
	const hosts, duration = 106, 30 * time.Second
	var calls [2]int
	for i, strict := range []bool{false, true} {
		withPreparedFleet(t, hosts, 4, func(f *fleet) {
			f.accounts.WithdrawalLimit, f.accounts.StrictWithdrawal = withdrawalLimit, strict
			f.tenants = []tenant{{"name": "north", "api-keys": []string{"n1"}}}
		}, func(f *fleet) {
			time.Sleep(5 * time.Second) // until the watchers have registered
			before := f.store.CallCount()
			var oldest time.Duration
			refused := 0
			for began, k := time.Now(), 0; time.Since(began) < duration; k++ {
				if r := f.callWithKeys(fmt.Sprint("h", k%hosts), "/lookup/1", fmt.Sprint("calm-", k), "n1"); r.status != http.StatusOK {
					refused++
				}
				for _, n := range f.hosts {
					oldest = max(oldest, n.gateway.ProvenAge())
				}
			}
			calls[i] = f.store.CallCount() - before
			t.Logf("strict %v: %d calls to the store in %v, oldest proof %v, %d requests refused", strict, calls[i], duration, oldest, refused)
			f.is.Equal(refused, 0)
			f.is.True(oldest < 3*time.Second)
		})
	}
	if calls[1] > calls[0]+1 {
		t.Fatalf("%d calls to the store instead of %d", calls[1], calls[0])
	}
}
