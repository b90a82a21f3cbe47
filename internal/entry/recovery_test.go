package entry

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"briarcroft/internal/caller"
	"briarcroft/internal/platform"
	"briarcroft/internal/platform/standin"
	"briarcroft/internal/settings"
)

// Bounds of recovery, from the stated targets.
const (
	inForceBound = 2 * time.Second
	plannedBound = 12 * time.Second
	// liveBound is how long a host that is gone may stay in answers, and one that is back may be missing.
	liveBound = 5 * time.Second
)

// serves checks that a caller gets an answer.
func (f *fleet) serves(seed uint64) {
	answer, err := f.newCaller(seed).Do(context.Background(), caller.Request{Service: "s", Method: http.MethodGet, Path: "/serves"})
	f.is.NoErr(err)
	f.is.Equal(answer.Status, http.StatusOK)
}

// awaitLive waits until every running host lists exactly the given number of live hosts.
func (f *fleet) awaitLive(count int, limit time.Duration) time.Duration {
	start := time.Now()
	for time.Since(start) < limit {
		agree := true
		for _, n := range f.nodes {
			agree = agree && len(n.host.table.Live(n.host.now())) == count
		}
		if agree {
			return time.Since(start)
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.is.Fail() // the hosts do not agree on who is live in time
	return limit
}

func TestRecoveryFromFailures(t *testing.T) {
	cases := []struct {
		name string
		fail func(f *fleet) time.Duration
	}{
		{"host killed", func(f *fleet) time.Duration {
			f.crash("entry-2")
			f.forget("entry-2")
			return f.awaitLive(5, liveBound)
		}},
		{"host replaced with the same address", func(f *fleet) time.Duration {
			f.crash("entry-2")
			f.start("entry-2", "")
			return f.await(1, liveBound) + f.awaitLive(6, liveBound)
		}},
		{"half the hosts replaced at once", func(f *fleet) time.Duration {
			for _, name := range []string{"entry-1", "entry-3", "entry-5"} {
				f.crash(name)
			}
			for _, name := range []string{"entry-1", "entry-3", "entry-5"} {
				f.start(name, "")
			}
			return f.await(1, liveBound) + f.awaitLive(6, liveBound)
		}},
		{"failure domain cut off and healed", func(f *fleet) time.Duration {
			parting := func(change func(a, b string)) {
				for _, a := range []string{"entry-1", "entry-4"} {
					for _, b := range []string{"entry-2", "entry-3", "entry-5", "entry-6", "store"} {
						change(a, b)
					}
				}
			}
			parting(f.net.Partition)
			time.Sleep(20 * time.Second)
			number := f.publish(next(1))
			time.Sleep(inForceBound)
			f.is.Equal(len(f.nodes["entry-2"].host.table.Live(f.nodes["entry-2"].host.now())), 4)
			f.is.Equal(f.nodes["entry-1"].host.Number(), 1)
			f.is.Equal(f.nodes["entry-2"].host.Number(), number)
			parting(f.net.Heal)
			return f.await(number, liveBound) + f.awaitLive(6, liveBound)
		}},
		{"store slow, two seconds a call", func(f *fleet) time.Duration {
			f.store.SetFaults(standin.Faults{Delay: 2 * time.Second})
			f.crash("entry-2")
			f.start("entry-2", "")
			return f.await(1, liveBound) + f.awaitLive(6, liveBound)
		}},
		{"store down and a host replaced", func(f *fleet) time.Duration {
			f.store.SetFaults(standin.Faults{Down: true})
			f.crash("entry-6")
			f.start("entry-6", "")
			return f.await(1, liveBound) + f.awaitLive(6, liveBound)
		}},
		{"store down while a domain is cut off", func(f *fleet) time.Duration {
			f.store.SetFaults(standin.Faults{Down: true})
			for _, b := range []string{"entry-2", "entry-3", "entry-5", "entry-6"} {
				f.net.Partition("entry-1", b)
				f.net.Partition("entry-4", b)
			}
			time.Sleep(10 * time.Second)
			f.serves(3)
			for _, b := range []string{"entry-2", "entry-3", "entry-5", "entry-6"} {
				f.net.Heal("entry-1", b)
				f.net.Heal("entry-4", b)
			}
			return f.awaitLive(6, liveBound)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { recovers(t, c.fail) })
	}
}

// TestRecoveryFromOneWaySilence makes every connection between hosts silent in one direction, just before a note.
func TestRecoveryFromOneWaySilence(t *testing.T) {
	recovers(t, func(f *fleet) time.Duration {
		for i, a := range f.order {
			for _, b := range f.order[i:] {
				f.net.BlackholeOneWay(a, b)
			}
		}
		number := f.publish(next(1))
		return f.await(number, inForceBound) + f.awaitLive(6, liveBound)
	})
}

// recovers brings about a failure in a fleet and checks that it serves again in time.
func recovers(t *testing.T, fail func(f *fleet) time.Duration) {
	inService(t, 6, 3, work, func(f *fleet, _ []*fakeBackend) {
		took := fail(f)
		t.Logf("recovered after %v", took)
		f.is.True(took <= liveBound)
		f.serves(1)
	})
}

// TestStoreDownForAnHour replaces every host, one after another, while the store is down, and publishes after it.
func TestStoreDownForAnHour(t *testing.T) {
	inService(t, 4, 3, work, func(f *fleet, _ []*fakeBackend) {
		f.publish(next(1))
		f.await(2, inForceBound)
		f.store.SetFaults(standin.Faults{Down: true})
		for _, name := range f.order {
			time.Sleep(15 * time.Minute)
			f.crash(name)
			f.start(name, "")
			took := f.await(2, liveBound)
			t.Logf("%s replaced while the store was down: ready after %v", name, took)
			f.serves(uint64(len(name)))
		}
		f.store.SetFaults(standin.Faults{})
		f.publish(next(2))
		t.Logf("note 3 in force %v after the store returned", f.await(3, inForceBound))
	})
}

// TestAllSeedsReplaced replaces hosts one after another, each time at a new address, until no seed of the settings lives:
// newcomers must find the others by the platform's host list.
func TestAllSeedsReplaced(t *testing.T) {
	inService(t, 3, 2, work, func(f *fleet, _ []*fakeBackend) {
		f.publish(next(1))
		f.await(2, inForceBound)
		for i := range 3 {
			gone := fmt.Sprintf("entry-%d", i+1)
			var list []platform.ListedHost
			for name, n := range f.nodes {
				list = append(list, platform.ListedHost{Name: name, Address: n.inner, State: platform.HostLive, Role: platform.RoleEntry})
			}
			f.store.SetHosts(list) // it lags: it still holds the host that goes
			f.crash(gone)
			f.forget(gone)
			f.limits = func(s *settings.Settings) { s.Peers.Seeds = []string{"10.9.9.9:1"} }
			f.start(fmt.Sprintf("new-%d", i+1), "a")
			f.await(2, liveBound)
			t.Logf("new-%d and the others know each other after %v", i+1, f.awaitLive(3, 2*liveBound))
		}
		f.serves(1)
	})
}

// TestStartWithNothing checks that a host that reaches neither store nor peers is not ready and serves nothing as if it were.
func TestStartWithNothing(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.store.SetFaults(standin.Faults{Down: true})
		n := f.start("entry-1", "a")
		time.Sleep(10 * time.Second)
		f.is.True(!n.host.Ready())
		response, _, err := f.send(n, http.MethodGet, "/x", "", nil)
		f.is.NoErr(err)
		f.is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	})
}
