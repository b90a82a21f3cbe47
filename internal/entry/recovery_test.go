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

// Longest times that recovery may take, as required of the load balancer.
const (
	// noteBound is how long a published note may take to be in force on all hosts.
	noteBound = 2 * time.Second
	// plannedSizeNoteBound takes the place of noteBound in a fleet of the planned size, 40 hosts.
	plannedSizeNoteBound = 12 * time.Second
	// membershipBound is how long a host that has ended may stay in address responses, and one that is back may be missing.
	membershipBound = 5 * time.Second
)

// expectServing checks that a request of a new caller succeeds.
func (f *fleet) expectServing(seed uint64) {
	response, err := f.newCaller(seed).Do(context.Background(), caller.Request{Service: "s", Method: http.MethodGet, Path: "/serves"})
	f.is.NoErr(err)
	f.is.Equal(response.Status, http.StatusOK)
}

// awaitLive waits until every running host has exactly the given number of live hosts in its membership table.
func (f *fleet) awaitLive(count int, limit time.Duration) time.Duration {
	start := time.Now()
	for time.Since(start) < limit {
		allMatch := true
		for _, n := range f.nodes {
			allMatch = allMatch && len(n.host.membership.Live(n.host.now())) == count
		}
		if allMatch {
			return time.Since(start)
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.is.Fail() // a host does not have the expected number of live hosts in time
	return limit
}

// TestRecoveryFromFailures checks that a fleet serves again within membershipBound after failures of hosts, of the network
// and of the store.
func TestRecoveryFromFailures(t *testing.T) {
	cases := []struct {
		name string
		fail func(f *fleet) time.Duration
	}{
		{"host killed", func(f *fleet) time.Duration {
			f.crash("entry-2")
			f.remove("entry-2")
			return f.awaitLive(5, membershipBound)
		}},
		{"host replaced with the same address", func(f *fleet) time.Duration {
			f.crash("entry-2")
			f.start("entry-2", "")
			return f.awaitNote(1, membershipBound) + f.awaitLive(6, membershipBound)
		}},
		{"half the hosts replaced at once", func(f *fleet) time.Duration {
			for _, name := range []string{"entry-1", "entry-3", "entry-5"} {
				f.crash(name)
			}
			for _, name := range []string{"entry-1", "entry-3", "entry-5"} {
				f.start(name, "")
			}
			return f.awaitNote(1, membershipBound) + f.awaitLive(6, membershipBound)
		}},
		{"failure domain partitioned and healed", func(f *fleet) time.Duration {
			forEachLink := func(set func(a, b string)) {
				for _, a := range []string{"entry-1", "entry-4"} {
					for _, b := range []string{"entry-2", "entry-3", "entry-5", "entry-6", "store"} {
						set(a, b)
					}
				}
			}
			forEachLink(f.net.Partition)
			time.Sleep(20 * time.Second)
			number := f.publish(followingNote(1))
			time.Sleep(noteBound)
			f.is.Equal(len(f.nodes["entry-2"].host.membership.Live(f.nodes["entry-2"].host.now())), 4)
			f.is.Equal(f.nodes["entry-1"].host.NoteNumber(), 1)
			f.is.Equal(f.nodes["entry-2"].host.NoteNumber(), number)
			forEachLink(f.net.Heal)
			return f.awaitNote(number, membershipBound) + f.awaitLive(6, membershipBound)
		}},
		{"store takes two seconds per call", func(f *fleet) time.Duration {
			f.store.SetFaults(standin.Faults{Delay: 2 * time.Second})
			f.crash("entry-2")
			f.start("entry-2", "")
			return f.awaitNote(1, membershipBound) + f.awaitLive(6, membershipBound)
		}},
		{"store down and a host replaced", func(f *fleet) time.Duration {
			f.store.SetFaults(standin.Faults{Down: true})
			f.crash("entry-6")
			f.start("entry-6", "")
			return f.awaitNote(1, membershipBound) + f.awaitLive(6, membershipBound)
		}},
		{"store down while a failure domain is partitioned", func(f *fleet) time.Duration {
			f.store.SetFaults(standin.Faults{Down: true})
			for _, b := range []string{"entry-2", "entry-3", "entry-5", "entry-6"} {
				f.net.Partition("entry-1", b)
				f.net.Partition("entry-4", b)
			}
			time.Sleep(10 * time.Second)
			f.expectServing(3)
			for _, b := range []string{"entry-2", "entry-3", "entry-5", "entry-6"} {
				f.net.Heal("entry-1", b)
				f.net.Heal("entry-4", b)
			}
			return f.awaitLive(6, membershipBound)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { expectRecovery(t, c.fail) })
	}
}

// TestRecoveryFromOneWaySilence makes every open connection between hosts lose all data in one direction and then publishes
// a note: it must come into force on all hosts within noteBound, over new connections.
func TestRecoveryFromOneWaySilence(t *testing.T) {
	expectRecovery(t, func(f *fleet) time.Duration {
		for i, a := range f.order {
			for _, b := range f.order[i:] {
				f.net.BlackholeOneWay(a, b)
			}
		}
		number := f.publish(followingNote(1))
		return f.awaitNote(number, noteBound) + f.awaitLive(6, membershipBound)
	})
}

// expectRecovery calls fail, which causes a failure in a fleet and returns how long the recovery took, and checks that this
// is within membershipBound and that the fleet serves requests again.
func expectRecovery(t *testing.T, fail func(f *fleet) time.Duration) {
	withFleetServing(t, 6, 3, echo, func(f *fleet, _ []*fakeBackend) {
		elapsed := fail(f)
		t.Logf("recovered after %v", elapsed)
		f.is.True(elapsed <= membershipBound)
		f.expectServing(1)
	})
}

// TestStoreDownForAnHour replaces every host, one after another, while the store is down: each must get the note from its
// peers and become ready. A note published after that must come into force.
func TestStoreDownForAnHour(t *testing.T) {
	withFleetServing(t, 4, 3, echo, func(f *fleet, _ []*fakeBackend) {
		f.publish(followingNote(1))
		f.awaitNote(2, noteBound)
		f.store.SetFaults(standin.Faults{Down: true})
		for _, name := range f.order {
			time.Sleep(15 * time.Minute)
			f.crash(name)
			f.start(name, "")
			elapsed := f.awaitNote(2, membershipBound)
			t.Logf("%s replaced while the store was down: all hosts ready after %v", name, elapsed)
			f.expectServing(uint64(len(name)))
		}
		f.store.SetFaults(standin.Faults{})
		f.publish(followingNote(2))
		t.Logf("note 3 in force %v after the store returned", f.awaitNote(3, noteBound))
	})
}

// TestAllSeedsReplaced replaces hosts one after another by hosts with new addresses, until none of the seeds in the
// settings exists: new hosts must find the others through the platform's host list.
func TestAllSeedsReplaced(t *testing.T) {
	withFleetServing(t, 3, 2, echo, func(f *fleet, _ []*fakeBackend) {
		f.publish(followingNote(1))
		f.awaitNote(2, noteBound)
		for i := range 3 {
			replaced := fmt.Sprintf("entry-%d", i+1)
			var hosts []platform.ListedHost
			for name, n := range f.nodes {
				hosts = append(hosts, platform.ListedHost{Name: name, Address: n.inner, State: platform.HostLive, Role: platform.RoleEntry})
			}
			f.store.SetHosts(hosts) // the list lags: it still has the host that is about to end
			f.crash(replaced)
			f.remove(replaced)
			f.adjustSettings = func(s *settings.Settings) { s.Peers.Seeds = []string{"10.9.9.9:1"} }
			f.start(fmt.Sprintf("new-%d", i+1), "a")
			f.awaitNote(2, membershipBound)
			t.Logf("new-%d joined the membership of all hosts after %v", i+1, f.awaitLive(3, 2*membershipBound))
		}
		f.expectServing(1)
	})
}

// TestStartWithoutStoreAndPeers checks that a host that can reach neither the store nor a peer does not become ready and
// refuses requests.
func TestStartWithoutStoreAndPeers(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.store.SetFaults(standin.Faults{Down: true})
		n := f.start("entry-1", "a")
		time.Sleep(10 * time.Second)
		f.is.True(!n.host.Ready())
		response, _, err := f.send(n, http.MethodGet, "/x", "", nil)
		f.is.NoErr(err)
		f.is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	})
}
