package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"briarcroft/platform/standin"
)

// Limits after the store has come back from an older copy, from the requirements of the platform.
const (
	// changeBound is the time after a change was written until it is in force on all hosts.
	changeBound = 2 * time.Second
	// lostEntryGrace is the time after the store's return from which targets that have not written their entries again are gone.
	lostEntryGrace = 2 * time.Second
)

// restoreTest takes the store back to an older copy while hosts serve requests.
type restoreTest struct {
	*fleet
	version int
	// more is the number of further rules in each configuration.
	more int
}

// writeMuch changes the configuration and an entry many times, so that revisions after a restore are below those before it.
func (r *restoreTest) writeMuch() {
	for range 30 {
		r.configureNext("/lookup/", "/order/")
		r.store.Put("servers/other", []byte("not a target"))
		time.Sleep(20 * time.Millisecond)
	}
}

// configureNext writes the next configuration, with safe rules for the given paths.
func (r *restoreTest) configureNext(paths ...string) {
	r.version++
	var rules []rule
	for i, path := range paths {
		rules = append(rules, safeRule(fmt.Sprintf("rule-%d", i), path))
	}
	for i := range r.more {
		rules = append(rules, safeRule(fmt.Sprintf("more-%d", i), fmt.Sprintf("/more-%d/", i)))
	}
	r.configure(r.version, rules...)
}

// rewrite writes the newest configuration and the entries of all targets again, as the operator and the targets do after a
// restore, but for those that have ended.
func (r *restoreTest) rewrite(paths ...string) {
	r.version--
	r.configureNext(paths...)
	for _, t := range r.targets {
		r.register(t, "ready")
	}
}

// expect checks the status of a request at every host.
func (r *restoreTest) expect(path string, status int) {
	for name := range r.hosts {
		r.is.Equal(r.call(name, http.MethodGet, path, fmt.Sprintf("%s-%s-%d", name, path, time.Now().UnixNano())).status, status)
	}
}

// TestStoreRestoredFromOlderCopy takes the store back to an older copy and checks that everything written afterwards is in force
// on all hosts in time, and that what hosts had acted on does not go back.
func TestStoreRestoredFromOlderCopy(t *testing.T) {
	for _, c := range []struct {
		name  string
		hosts int
		// disrupt is called between the writes that are lost and the restore, and returns what to do after it.
		disrupt func(r *restoreTest) func()
	}{
		{"5 hosts", 5, nil},
		{"13 hosts", 13, nil},
		{"106 hosts", 106, nil},
		{"a large configuration is on its way", 13, func(r *restoreTest) func() {
			r.more = 1400
			r.configureNext("/lookup/", "/order/", "/late/")
			time.Sleep(20 * time.Millisecond)
			return func() {}
		}},
		{"the store is away for a moment", 5, func(r *restoreTest) func() {
			r.store.SetFaults("", standin.Faults{Status: http.StatusServiceUnavailable})
			time.Sleep(time.Second)
			return func() { r.store.SetFaults("", standin.Faults{}) }
		}},
		{"a host is cut off from the store", 5, func(r *restoreTest) func() {
			r.net.Partition("h1", "store")
			return func() {
				time.Sleep(time.Second)
				r.net.Heal("h1", "store")
			}
		}},
		{"a watcher ends", 5, func(r *restoreTest) func() {
			r.crash("h2")
			delete(r.hosts, "h2")
			return func() {}
		}},
		{"two restores", 5, func(r *restoreTest) func() {
			r.store.Restore(r.store.Copy())
			return func() {
				time.Sleep(100 * time.Millisecond)
				r.store.Restore(r.store.Copy())
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, c.hosts, 4, func(f *fleet) {
				r := &restoreTest{fleet: f, version: 1}
				r.configureNext("/lookup/", "/order/")
				time.Sleep(time.Second)
				older := f.store.Copy()
				r.writeMuch()
				// A target leaves and one comes after the copy.
				leaving := f.targets["t0"]
				f.register(leaving, "draining")
				added := f.addTarget("t-added")
				r.configureNext("/lookup/", "/order/", "/late/")
				time.Sleep(changeBound)
				r.expect("/late/x", http.StatusOK)
				f.store.Delete("servers/t0")
				delete(f.targets, "t0")
				time.Sleep(time.Second)
				before := len(arrivalsOfTarget(leaving))
				after := func() {}
				if c.disrupt != nil {
					after = c.disrupt(r)
				}
				calls := f.store.CallCount()
				f.store.Restore(older)
				after()
				time.Sleep(500 * time.Millisecond)
				r.expect("/late/x", http.StatusOK) // not back to the older configuration
				r.rewrite("/lookup/", "/order/", "/late/")
				time.Sleep(changeBound)
				r.expect("/late/x", http.StatusOK)
				t.Logf("%d calls to the store in the restore", f.store.CallCount()-calls)
				r.configureNext("/lookup/", "/new/")
				time.Sleep(changeBound)
				r.expect("/new/x", http.StatusOK)
				r.expect("/order/x", http.StatusNotFound)
				f.is.Equal(len(arrivalsOfTarget(leaving)), before) // its older entry says that it is ready
				seen := len(arrivalsOfTarget(added))
				var group sync.WaitGroup
				for i := range 12 { // as many as there are slots
					group.Go(func() { f.call(fmt.Sprintf("h%d", i%2), http.MethodGet, "/lookup/x", fmt.Sprintf("added-%d", i)) })
				}
				group.Wait()
				f.is.True(len(arrivalsOfTarget(added)) > seen)
				for i := range c.hosts {
					if n := f.hosts[fmt.Sprintf("h%d", i)]; n != nil {
						f.is.Equal(n.gateway.NoteNumber(), r.version)
					}
				}
				// A host that starts afterwards.
				started := f.start("h-late", "a")
				time.Sleep(changeBound)
				f.is.Equal(started.gateway.NoteNumber(), r.version)
			})
		})
	}
}

// arrivalsOfTarget returns the requests that a target received.
func arrivalsOfTarget(x *standin.Target) []standin.Arrival {
	var arrivals []standin.Arrival
	x.Update(func(t *standin.Target) { arrivals = append(arrivals, t.ArrivalLog...) })
	return arrivals
}

// TestTargetsAndHostsReturnAfterRestore checks that targets whose entries are lost with a restore stay in use until they have
// written them again, that those that have ended meanwhile are given up, and that the addresses of hosts are written again.
func TestTargetsAndHostsReturnAfterRestore(t *testing.T) {
	withFleet(t, 5, 0, func(f *fleet) {
		empty := f.store.Copy()
		for i := range 4 {
			f.addTarget(fmt.Sprintf("t%d", i))
		}
		time.Sleep(4 * time.Second)
		f.is.True(len(f.store.Keys("briarcroft/hosts/")) > 0)
		f.store.Restore(empty)
		restored := time.Now()
		for i := 0; time.Since(restored) < lostEntryGrace/2; i++ {
			f.is.Equal(f.call(fmt.Sprintf("h%d", i%5), http.MethodGet, "/lookup/x", fmt.Sprintf("in-use-%d", i)).status, http.StatusOK)
			time.Sleep(20 * time.Millisecond)
		}
		for i := range 3 {
			f.register(f.targets[fmt.Sprintf("t%d", i)], "ready")
		}
		time.Sleep(lostEntryGrace)
		gone := f.targets["t3"]
		before := len(arrivalsOfTarget(gone))
		for i := range 60 {
			f.is.Equal(f.call(fmt.Sprintf("h%d", i%5), http.MethodGet, "/lookup/x", fmt.Sprintf("after-%d", i)).status, http.StatusOK)
		}
		f.is.Equal(len(arrivalsOfTarget(gone)), before)
		f.is.True(len(f.store.Keys("briarcroft/hosts/")) > 0)
	})
}
