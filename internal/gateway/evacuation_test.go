package gateway_test

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"briarcroft/internal/record"
	"briarcroft/platform/standin"
)

const (
	// evacuationGoal is the time after the write of an evacuation from which its targets must get nothing from hosts in touch.
	evacuationGoal = 2 * time.Second
	// evacuationLoad is the number of requests per second in these tests.
	evacuationLoad = 60
)

// evacuate writes the entries that evacuate failure domains, as the operator does, and takeBack removes them.
func (f *fleet) evacuate(domains ...string) {
	for _, domain := range domains {
		f.store.Put("op/evacuate/"+domain, []byte("{}"))
	}
}

func (f *fleet) takeBack(domains ...string) {
	for _, domain := range domains {
		f.store.Delete("op/evacuate/" + domain)
	}
}

// spreadTargets starts targets in three failure domains.
func (f *fleet) spreadTargets(perDomain int) {
	for i := range 3 * perDomain {
		t := standin.NewTarget(fmt.Sprintf("t%d", i))
		t.Zone, t.Address = domainOf(i), f.serve(t.Name, "", t)
		f.targets[t.Name] = t
		f.register(t, "ready")
	}
}

// received returns the number of requests and probes that the targets of failure domains have received since a time.
func (f *fleet) received(since time.Time, domains ...string) (requests, probes int) {
	for _, x := range f.targets {
		x.Update(func(t *standin.Target) {
			for _, domain := range domains {
				if t.Zone != domain {
					continue
				}
				probes += t.Probes
				for _, a := range t.ArrivalLog {
					if !a.At.Before(since) {
						requests++
					}
				}
			}
		})
	}
	return requests, probes
}

// lastArrival returns when a target of the failure domains last received a request.
func (f *fleet) lastArrival(domains []string) (last time.Time) {
	for _, x := range f.targets {
		if arrivals := arrivalsOfTarget(x); len(arrivals) > 0 && slices.Contains(domains, x.Zone) && arrivals[len(arrivals)-1].At.After(last) {
			last = arrivals[len(arrivals)-1].At
		}
	}
	return last
}

// TestEvacuation guards against requests, retries, second runs, relays and probes that reach targets of an evacuated failure domain,
// against requests that are lost as it begins, and against targets that are not used again after it.
func TestEvacuation(t *testing.T) {
	all := []string{"a", "b", "c"}
	for _, c := range []struct {
		name    string
		domains []string
		// before is done before the evacuation is written, and after as soon as it is. They may be nil.
		before, after func(*fleet)
		// lost is set if the primary home is lost.
		lost bool
	}{
		{name: "one domain", domains: []string{"b"}},
		{name: "two domains", domains: []string{"a", "c"}},
		{name: "all domains", domains: all},
		{name: "half of the hosts have lost the store", domains: []string{"b"}, before: func(f *fleet) {
			for i := range 7 {
				f.store.SetFaults(fmt.Sprintf("h%d", i), storeUnavailable)
			}
			time.Sleep(3 * time.Second)
		}},
		{name: "half of the hosts lose the store", domains: []string{"b"}, before: func(f *fleet) {
			for i := range 7 {
				f.store.SetFaults(fmt.Sprintf("h%d", i), standin.Faults{Unresponsive: true})
			}
		}},
		{name: "every host alone", domains: []string{"b"}, before: func(f *fleet) { f.cutInto(13) }},
		{name: "the store is slow", domains: []string{"b"}, before: func(f *fleet) { f.store.SetFaults("", standin.Faults{Delay: 500 * time.Millisecond}) }},
		{name: "hosts start", domains: []string{"b"}, before: func(f *fleet) {
			for i := range 3 {
				f.start(fmt.Sprintf("h%d", 13+i), domainOf(i))
			}
			time.Sleep(time.Second)
			f.crash("h14")
			f.crash("h15")
			f.start("h14", "b")
		}, after: func(f *fleet) { f.start("h15", "c") }},
		{name: "the store is lost for all afterwards", domains: []string{"b"}, after: func(f *fleet) {
			time.Sleep(time.Second)
			f.store.SetFaults("", storeUnavailable)
			time.Sleep(4 * time.Second)
			f.store.SetFaults("", storeHealthy)
		}},
		{name: "the home ends", domains: []string{"b"}, lost: true, after: func(f *fleet) {
			f.crash(f.home())
		}},
		{name: "a host does not reach the targets", domains: []string{"b"}, before: func(f *fleet) {
			for name := range f.targets {
				f.net.Partition("h1", name)
			}
			time.Sleep(time.Second)
		}},
		{name: "targets are slow and refuse", domains: []string{"b"}, before: func(f *fleet) {
			f.targets["t0"].Update(func(t *standin.Target) { t.RunDuration = 300 * time.Millisecond })
			f.targets["t2"].Update(func(t *standin.Target) { t.RefuseRuns = true })
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, 13, 0, func(f *fleet) {
				f.spreadTargets(3)
				time.Sleep(time.Second)
				home := f.home()
				send := func(hosts int, duration time.Duration) []reply {
					var names []string
					for i := range hosts {
						if name := fmt.Sprintf("h%d", i); !c.lost || name != home {
							names = append(names, name)
						}
					}
					return f.sendMixed(names, evacuationLoad, duration)
				}
				send(13, 2*time.Second)
				if c.before != nil {
					c.before(f)
				}
				var replies []reply
				var sending sync.WaitGroup
				sending.Go(func() { replies = send(13, 5*time.Second) })
				time.Sleep(time.Second)
				f.evacuate(c.domains...)
				written := time.Now()
				if c.after != nil {
					c.after(f)
				}
				time.Sleep(time.Until(written.Add(evacuationGoal)))
				for name, n := range f.hosts {
					if !c.lost || name != home {
						f.is.Equal(slices.Sorted(maps.Keys(n.gateway.Evacuations())), c.domains)
					}
				}
				_, probesBefore := f.received(written, c.domains...)
				sending.Wait()
				inForce := send(len(f.hosts), 3*time.Second)
				requests, probes := f.received(written.Add(evacuationGoal), c.domains...)
				t.Logf("the last request arrived there %v after the write", f.lastArrival(c.domains).Sub(written).Round(time.Millisecond))
				f.is.Equal(requests, 0)
				f.is.Equal(probes, probesBefore)
				if len(c.domains) == len(all) {
					for _, r := range inForce {
						f.is.Equal(r.status, http.StatusServiceUnavailable)
						f.is.Equal(r.header.Get("Briarcroft-Reason"), "TargetsEvacuated")
						f.is.True(r.header.Get("Retry-After") != "")
						f.is.True(r.duration < 100*time.Millisecond)
					}
				} else {
					t.Logf("%d of %d requests served as it began, %d of %d while in force", count(replies, http.StatusOK), len(replies), count(inForce, http.StatusOK), len(inForce))
					f.is.True(count(replies, http.StatusOK) >= len(replies)*99/100)
					f.is.True(count(inForce, http.StatusOK) >= len(inForce)*99/100)
				}
				f.takeBack(c.domains...)
				for _, x := range f.targets {
					// Refusals spend the retry budget, which is not what is tested here.
					x.Update(func(t *standin.Target) { t.RefuseRuns = false })
				}
				time.Sleep(evacuationGoal)
				back := time.Now()
				returned := send(len(f.hosts), 3*time.Second)
				for _, r := range returned {
					if r.status != http.StatusOK {
						t.Logf("%d %s after %v", r.status, r.header.Get("Briarcroft-Reason"), r.duration)
					}
				}
				f.is.True(count(returned, http.StatusOK) >= len(returned)*99/100)
				requests, _ = f.received(back, c.domains...)
				f.is.True(requests > evacuationLoad/4)
			})
		})
	}
}

// TestEvacuationLostWithRestore guards against targets that get requests between the return of the store from a copy without the
// evacuation and the operator's second write, and against an evacuation that stays for ever if there is none.
func TestEvacuationLostWithRestore(t *testing.T) {
	withFleet(t, 13, 0, func(f *fleet) {
		f.spreadTargets(3)
		time.Sleep(time.Second)
		hosts := make([]string, 0, len(f.hosts))
		for name := range f.hosts {
			hosts = append(hosts, name)
		}
		older := f.store.Copy()
		f.evacuate("b")
		time.Sleep(evacuationGoal)
		inForce := time.Now()
		var sending sync.WaitGroup
		sending.Go(func() {
			replies := f.sendMixed(hosts, evacuationLoad, 8*time.Second)
			f.is.Equal(count(replies, http.StatusOK), len(replies))
		})
		time.Sleep(time.Second)
		f.store.Restore(older)
		time.Sleep(1300 * time.Millisecond)
		f.evacuate("b")
		sending.Wait()
		requests, _ := f.received(inForce, "b")
		f.is.Equal(requests, 0)
		f.store.Restore(older)
		time.Sleep(lostEntryGrace + evacuationGoal)
		f.sendMixed(hosts, evacuationLoad, 3*time.Second)
		requests, _ = f.received(inForce, "b")
		f.is.True(requests > evacuationLoad/4)
	})
}

// TestEvacuationIsVisible checks what operators see of an evacuation: how many requests still run, and when it began and ended.
func TestEvacuationIsVisible(t *testing.T) {
	withFleet(t, 3, 0, func(f *fleet) {
		f.spreadTargets(1)
		f.targets["t1"].Update(func(t *standin.Target) { t.RunDuration = 700 * time.Millisecond })
		time.Sleep(time.Second)
		var group sync.WaitGroup
		for i := range 9 { // as many as there are slots
			group.Go(func() {
				f.is.Equal(f.call("h0", http.MethodPost, "/order/1", fmt.Sprintf("seen-%d", i)).status, http.StatusOK)
			})
		}
		time.Sleep(100 * time.Millisecond)
		f.evacuate("b")
		time.Sleep(400 * time.Millisecond)
		g := f.hosts["h0"].gateway
		f.is.Equal(g.Evacuations(), map[string]int{"b": 3})
		group.Wait() // they end normally
		f.is.Equal(g.Evacuations(), map[string]int{"b": 0})
		f.takeBack("b")
		time.Sleep(evacuationGoal)
		f.is.Equal(g.Evacuations(), map[string]int{})
		for _, kind := range []record.Kind{record.EvacuationBegan, record.EvacuationEnded} {
			details := g.Recorded(kind)
			f.is.Equal(len(details), 1)
			f.is.True(strings.HasPrefix(details[0], "domain b, knowledge of the store "))
		}
	})
}

// TestDirectoryDropsLostHosts guards against a directory that names hosts which were killed or ended more than 6 s before, also to callers
// in an evacuated failure domain, and against one that names none there.
func TestDirectoryDropsLostHosts(t *testing.T) {
	const bound = 6 * time.Second
	withFleet(t, 13, 3, func(f *fleet) {
		f.evacuate("a")
		lost := map[string]bool{f.hosts["h3"].listen: true, f.hosts["h6"].listen: true}
		f.crash("h3")
		f.hosts["h6"].stop()
		since := time.Now()
		for time.Since(since) < bound+3*time.Second {
			for _, host := range []string{"h0", "h1", "h9"} {
				addresses, _ := f.resolve(host, "a")
				f.is.True(len(addresses) >= 3)
				for _, address := range addresses {
					f.is.True(!lost[address] || time.Since(since) < bound)
				}
			}
			time.Sleep(200 * time.Millisecond)
		}
	})
}

// TestEvacuationAtScale guards against hosts of a large fleet that learn late of an evacuation or its end, also while half of them have lost
// the store.
func TestEvacuationAtScale(t *testing.T) {
	const hosts = 106
	withFleet(t, hosts, 0, func(f *fleet) {
		for i := range hosts / 2 {
			f.store.SetFaults(fmt.Sprintf("h%d", i), storeUnavailable)
		}
		for round := range 3 {
			f.evacuate("b")
			time.Sleep(evacuationGoal)
			for _, n := range f.hosts {
				f.is.Equal(len(n.gateway.Evacuations()), 1)
			}
			f.takeBack("b")
			time.Sleep(evacuationGoal)
			for _, n := range f.hosts {
				f.is.Equal(len(n.gateway.Evacuations()), 0)
			}
			time.Sleep(time.Duration(round) * time.Second)
		}
	})
}

// TestEvacuationKeepsProbeLimit guards against the probes that evacuated targets do not get being sent to the others, by hosts that each
// act as a home.
func TestEvacuationKeepsProbeLimit(t *testing.T) {
	const hosts, duration = 13, 8 * time.Second
	withFleet(t, hosts, 0, func(f *fleet) {
		f.spreadTargets(2)
		f.evacuate("a", "c")
		f.cutInto(hosts)
		time.Sleep(evacuationGoal)
		since := time.Now()
		_, before := f.received(since, "b")
		f.load(100, duration)
		_, probes := f.received(since, "b")
		perTarget := float64(probes-before) / 2 / duration.Seconds()
		t.Logf("%.1f probes per target and second", perTarget)
		f.is.True(perTarget <= probesPerSecond)
	})
}

// TestWarmTargetsReturnFromEvacuation guards against targets that are limited for long after an evacuation although they are warm.
func TestWarmTargetsReturnFromEvacuation(t *testing.T) {
	withFleet(t, 13, 0, func(f *fleet) {
		f.configureWarmUp(2)
		f.spreadTargets(3)
		f.evacuate("b")
		time.Sleep(evacuationGoal)
		f.sendSteadily("evacuated", 150, time.Second)
		f.takeBack("b")
		f.sendSteadily("returning", 150, 2*time.Second)
		since := time.Now()
		replies := f.sendSteadily("back", 150, time.Second)
		requests, _ := f.received(since, "b")
		f.is.Equal(count(replies, http.StatusOK), len(replies))
		t.Logf("%d of %d requests went to the domain in the third second", requests, len(replies))
		f.is.True(requests > len(replies)/5)
	})
}

// sendMixed sends safe and unsafe requests at a steady rate to the given hosts in turn, and returns the replies.
func (f *fleet) sendMixed(hosts []string, requestsPerSecond int, duration time.Duration) []reply {
	f.lastPhase++
	var group sync.WaitGroup
	replies := make([]reply, int(duration.Seconds()*float64(requestsPerSecond)))
	for i := range replies {
		id := fmt.Sprintf("mixed-%d-%d", f.lastPhase, i)
		group.Go(func() {
			method, path := http.MethodGet, "/lookup/"+id
			if i%3 == 0 {
				method, path = http.MethodPost, "/order/"+id
			}
			replies[i] = f.call(hosts[i%len(hosts)], method, path, id)
		})
		time.Sleep(time.Second / time.Duration(requestsPerSecond))
	}
	group.Wait()
	return replies
}
