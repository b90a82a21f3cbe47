package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"briarcroft/internal/host"
	"briarcroft/internal/inner"
	"briarcroft/platform/standin"
)

// home returns the name of the service's primary home.
func (f *fleet) home() string {
	var members []host.Member
	for name := range f.hosts {
		members = append(members, host.Member{Name: name})
	}
	return host.Rank("stock", members)[0].Name
}

// notHome returns the name of a host that is not the service's primary home.
func (f *fleet) notHome() string {
	for name := range f.hosts {
		if name != f.home() {
			return name
		}
	}
	return ""
}

// TestEveryHostServes sends requests to every host: each request runs once and gets the whole response of its target,
// whichever host is the home.
func TestEveryHostServes(t *testing.T) {
	withFleet(t, 4, 4, func(f *fleet) {
		for name := range f.hosts {
			for i := range 5 {
				id := fmt.Sprintf("%s-%d", name, i)
				r := f.call(name, http.MethodGet, "/lookup/1", id)
				f.is.NoErr(r.err)
				f.is.Equal(r.status, 200)
				f.is.Equal(r.body, "answer to "+id)
				f.is.Equal(r.header.Get("X-Response-Seal"), "seal."+id)
				f.is.Equal(f.runsOf(id), 1)
			}
		}
	})
}

// TestRoutes checks that a request gets status 404 if no rule matches it, and is served otherwise.
func TestRoutes(t *testing.T) {
	withFleet(t, 1, 1, func(f *fleet) {
		f.is.Equal(f.call("h0", http.MethodGet, "/nowhere/1", "a").status, 404)
		f.is.Equal(f.call("h0", http.MethodGet, "/lookup/1", "b").status, 200)
	})
}

// resolve requests addresses from a host's directory for a caller in a failure domain.
func (f *fleet) resolve(host, domain string) (addresses []string, maxAge float64) {
	transport := &http.Transport{DialContext: f.net.Dialer("caller")}
	defer transport.CloseIdleConnections()
	r, err := http.NewRequest(http.MethodGet, "http://"+f.hosts[host].directory+"/api/resolve?name=www.example&region=home&zone="+domain, nil)
	f.is.NoErr(err)
	response, err := transport.RoundTrip(r)
	f.is.NoErr(err)
	defer response.Body.Close()
	var directoryResponse struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttl-s"`
	}
	f.is.NoErr(json.NewDecoder(response.Body).Decode(&directoryResponse))
	return directoryResponse.Addresses, directoryResponse.TTL
}

// TestAddresses requests addresses from the directory: it returns only hosts of the caller's failure domain when these
// are enough.
func TestAddresses(t *testing.T) {
	withFleet(t, 9, 1, func(f *fleet) {
		addresses, maxAge := f.resolve("h1", "b")
		f.is.Equal(len(addresses), 3)
		f.is.Equal(maxAge, 1.0)
	})
}

// TestDirectoryNamesAllHosts requests addresses of a failure domain with more hosts than one response names, and for callers
// of an unknown one: over some responses of a few hosts, every ready host must be named about equally often.
func TestDirectoryNamesAllHosts(t *testing.T) {
	withFleet(t, 3, 1, func(f *fleet) {
		for i := range 90 {
			f.start(fmt.Sprintf("h%d", i+3), []string{"a", "a", "a", "b"}[i%4])
		}
		time.Sleep(4 * time.Second)
		for domain, hosts := range map[string]int{"a": 69, "unknown": 93} {
			named := map[string]int{}
			responses := 0
			for _, host := range []string{"h0", "h1", "h9"} {
				for range 20 {
					addresses, _ := f.resolve(host, domain)
					f.is.Equal(len(addresses), 64)
					for _, a := range addresses {
						named[a]++
					}
					responses++
				}
			}
			f.is.Equal(len(named), hosts)
			mean := float64(64*responses) / float64(hosts)
			for _, count := range named {
				f.is.True(float64(count) >= 0.9*mean && float64(count) <= 1.1*mean)
			}
		}
	})
}

// TestPipelinedRequestsAnsweredInOrder sends pipelined requests: they run concurrently and are answered in order.
func TestPipelinedRequestsAnsweredInOrder(t *testing.T) {
	withFleet(t, 2, 4, func(f *fleet) {
		f.call("h0", http.MethodGet, "/lookup/0", "warm")
		started := time.Now()
		ids := []string{"p0", "p1", "p2", "p3"}
		f.is.Equal(f.pipeline("h0", ids...), ids)
		f.is.True(time.Since(started) < 3*50*time.Millisecond)
	})
}

// TestUnsafeRunsAtMostOnce lets most targets break connections, refuse requests or respond too late: an unsafe request
// runs at most once, and one that is refused with status 503 never.
func TestUnsafeRunsAtMostOnce(t *testing.T) {
	cases := []struct {
		name   string
		change func(*standin.Target)
	}{
		{"response lost", func(t *standin.Target) { t.DropResponses = true }},
		{"target refuses", func(t *standin.Target) { t.RefuseRuns = true }},
		{"response truncated", func(t *standin.Target) { t.TruncateResponses = true }},
		{"too slow", func(t *standin.Target) { t.RunDuration = 2 * time.Second }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, 3, 4, func(f *fleet) {
				for _, name := range []string{"t0", "t1", "t2"} {
					f.targets[name].Update(c.change)
				}
				for i := range 30 {
					id := fmt.Sprintf("o%d", i)
					r := f.call(fmt.Sprintf("h%d", i%3), http.MethodPost, "/order/1", id)
					f.is.NoErr(r.err)
					f.is.True(f.runsOf(id) <= 1)
					if r.status == 503 {
						f.is.Equal(f.runsOf(id), 0)
						f.is.True(r.header.Get("Retry-After") != "")
					}
				}
			})
		})
	}
}

// TestSafeRequestIsRetried lets one target break connections or refuse requests: every safe request still succeeds. Only
// one target does so because the rule allows two attempts.
func TestSafeRequestIsRetried(t *testing.T) {
	cases := []struct {
		name   string
		change func(*standin.Target)
	}{
		{"response lost", func(t *standin.Target) { t.DropResponses = true }},
		{"response truncated", func(t *standin.Target) { t.TruncateResponses = true }},
		{"target refuses", func(t *standin.Target) { t.RefuseRuns = true }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, 2, 4, func(f *fleet) {
				f.targets["t0"].Update(c.change)
				for i := range 20 {
					id := fmt.Sprintf("s%d", i)
					r := f.call("h0", http.MethodGet, "/lookup/1", id)
					f.is.NoErr(r.err)
					f.is.Equal(r.status, 200)
					f.is.Equal(r.body, "answer to "+id)
				}
			})
		})
	}
}

// TestRetriesStayWithinBudget lets every target refuse requests without running them: no request is sent to more
// targets than its rule allows, and the retries of all hosts together stay within the service's retry budget.
func TestRetriesStayWithinBudget(t *testing.T) {
	withFleet(t, 4, 6, func(f *fleet) {
		for _, x := range f.targets {
			x.Update(func(t *standin.Target) { t.RefuseRuns = true })
		}
		const requests = 200
		retries := 0
		for i := range requests {
			id := fmt.Sprintf("r%d", i)
			f.is.Equal(f.call(fmt.Sprintf("h%d", i%4), http.MethodGet, "/lookup/1", id).status, 503)
			arrivals := f.arrivalsOf(id)
			f.is.True(arrivals <= 2)
			retries += max(0, arrivals-1)
			time.Sleep(20 * time.Millisecond)
		}
		t.Logf("%d retries for %d requests", retries, requests)
		f.is.True(float64(retries) <= 0.2*requests+20)
		f.is.True(retries > 0)
	})
}

// TestConfigurationInForce writes configurations while the store refuses one host after the other: every host applies
// each configuration within 2 s, and none applies an older one that is written later.
func TestConfigurationInForce(t *testing.T) {
	withFleet(t, 5, 2, func(f *fleet) {
		for version := 2; version <= 6; version++ {
			rejected := fmt.Sprintf("h%d", version%5)
			f.store.SetFaults(rejected, storeUnavailable)
			path := fmt.Sprintf("/v%d/", version)
			f.configure(version, safeRule("lookup", "/lookup/"), safeRule("new", path))
			time.Sleep(2 * time.Second)
			for name := range f.hosts {
				f.is.Equal(f.call(name, http.MethodGet, path+"1", fmt.Sprintf("c%d-%s", version, name)).status, 200)
			}
			f.store.SetFaults(rejected, storeHealthy)
		}
		f.configure(3, safeRule("lookup", "/lookup/"))
		time.Sleep(2 * time.Second)
		f.is.Equal(f.call("h0", http.MethodGet, "/v6/1", "late").status, 200)
	})
}

// TestCutOffFromWatchers isolates one host from the store and from all hosts but one, which is not a watcher itself: the
// isolated host must apply a new configuration too.
func TestCutOffFromWatchers(t *testing.T) {
	withFleet(t, 6, 2, func(f *fleet) {
		watcher := map[string]bool{}
		var members []host.Member
		for i := range 6 {
			members = append(members, host.Member{Name: fmt.Sprintf("h%d", i), Domain: domainOf(i)})
		}
		for _, m := range host.Watchers(members, 1) {
			watcher[m.Name] = true
		}
		var nonWatchers []string
		for _, m := range members {
			if !watcher[m.Name] {
				nonWatchers = append(nonWatchers, m.Name)
			}
		}
		isolated, reachablePeer := nonWatchers[0], nonWatchers[1]
		f.net.Partition(isolated, "store")
		for _, m := range members {
			if m.Name != isolated && m.Name != reachablePeer {
				f.net.Partition(isolated, m.Name)
			}
		}
		time.Sleep(time.Second)
		f.configure(2, safeRule("lookup", "/lookup/"), safeRule("new", "/new/"))
		time.Sleep(inForceTimeLimit)
		f.is.Equal(f.call(isolated, http.MethodGet, "/new/1", "cut-off").status, 200)
	})
}

// TestStoreHistoryCompacted compacts the store's history right after a configuration was written: every host still
// applies it.
func TestStoreHistoryCompacted(t *testing.T) {
	withFleet(t, 3, 2, func(f *fleet) {
		f.configure(2, safeRule("lookup", "/lookup/"), safeRule("new", "/new/"))
		f.store.Compact()
		time.Sleep(2 * time.Second)
		for name := range f.hosts {
			f.is.Equal(f.call(name, http.MethodGet, "/new/1", "c-"+name).status, 200)
		}
	})
}

// TestDrainingTargetGetsNoRequests registers one target as draining and removes the entry of another: neither gets a request
// later than a second after that, and all requests succeed.
func TestDrainingTargetGetsNoRequests(t *testing.T) {
	withFleet(t, 3, 4, func(f *fleet) {
		f.register(f.targets["t0"], "draining")
		f.store.Delete("servers/t1")
		drainStart := time.Now()
		for i := range 60 {
			f.is.Equal(f.call(fmt.Sprintf("h%d", i%3), http.MethodGet, "/lookup/1", fmt.Sprintf("d%d", i)).status, 200)
			time.Sleep(50 * time.Millisecond)
		}
		for _, name := range []string{"t0", "t1"} {
			f.targets[name].Update(func(t *standin.Target) { f.is.True(t.LastRunStart.Before(drainStart.Add(time.Second))) })
		}
	})
}

// TestLapsedEntriesStay removes the entries of targets while the store is unreachable: the targets stay in use, and after
// the store's return those that do not register again within 2 s get no requests.
func TestLapsedEntriesStay(t *testing.T) {
	withFleet(t, 3, 2, func(f *fleet) {
		f.store.SetFaults("", storeUnavailable)
		time.Sleep(3 * time.Second)
		f.store.Delete("servers/t0")
		f.store.Delete("servers/t1")
		f.is.Equal(f.call("h0", http.MethodGet, "/lookup/1", "down").status, 200)
		f.store.SetFaults("", storeHealthy)
		time.Sleep(1200 * time.Millisecond)
		f.is.Equal(f.call("h1", http.MethodGet, "/lookup/1", "back").status, 200)
		f.register(f.targets["t1"], "ready")
		time.Sleep(4 * time.Second)
		for i := range 10 {
			f.is.Equal(f.call("h2", http.MethodGet, "/lookup/1", fmt.Sprintf("g%d", i)).status, 200)
		}
		f.targets["t0"].Update(func(t *standin.Target) { f.is.True(time.Since(t.LastRunStart) > 2*time.Second) })
	})
}

// TestFollowerLearnsOfStoreReturn guards against dropping entries that expired during an outage of the store too early: a host
// that begins to follow another one after the outage learns with the deletions that the store has just returned.
func TestFollowerLearnsOfStoreReturn(t *testing.T) {
	withFleet(t, 3, 2, func(f *fleet) {
		follow := f.follow
		before := follow("h0", 0).Revision
		f.store.SetFaults("", storeUnavailable)
		time.Sleep(3 * time.Second)
		f.store.Delete("servers/t0")
		f.store.SetFaults("", storeHealthy)
		time.Sleep(1500 * time.Millisecond)
		reply := follow("h1", before)
		f.is.True(slices.ContainsFunc(reply.Changes, func(c *inner.StoreChange) bool { return c.Key == "servers/t0" && c.Deleted }))
		f.is.True(reply.Returned)
		time.Sleep(3 * time.Second)
		f.is.True(!follow("h1", before).Returned)
	})
}

// follow returns the first update that a host sends to a follower with a revision.
func (f *fleet) follow(name string, revision int64) *inner.FollowStoreReply {
	client, closeClient := inner.NewClient(inner.ClientConfig{Dial: f.net.Dialer("follower")})
	defer closeClient()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	stream, err := client.Peer(ctx, f.hosts[name].inner).FollowStore(ctx, &inner.FollowStoreRequest{Revision: revision})
	f.is.NoErr(err)
	reply, err := stream.Recv()
	f.is.NoErr(err)
	return reply
}

// TestHostThatFindsStoreAgainReportsNoOutage guards against keeping targets in use whose entries are gone because one host alone
// had lost the store.
func TestHostThatFindsStoreAgainReportsNoOutage(t *testing.T) {
	withFleet(t, 3, 2, func(f *fleet) {
		for _, name := range []string{"h0", "h1"} {
			f.store.SetFaults(name, storeUnavailable)
			time.Sleep(4 * time.Second)
			f.store.SetFaults(name, storeHealthy)
			for range 20 {
				time.Sleep(500 * time.Millisecond)
				for host := range f.hosts {
					f.is.True(!f.follow(host, 0).Returned)
				}
			}
			f.is.True(!f.hosts[name].gateway.StoreLost())
		}
	})
}

// TestUnreadableEntriesIgnored writes invalid entries of targets and an invalid configuration: the valid ones stay in
// use.
func TestUnreadableEntriesIgnored(t *testing.T) {
	withFleet(t, 2, 2, func(f *fleet) {
		for i, value := range []string{"\xff\x00", "{}", `{"service":7}`, `{"service":"stock","address":"10.9.9.9:1","slots":3,"state":"odd"}`} {
			f.store.Put(fmt.Sprintf("servers/bad%d", i), []byte(value))
		}
		f.store.Put("op/config", []byte(`{"version":"zz"}`))
		time.Sleep(time.Second)
		for i := range 10 {
			f.is.Equal(f.call("h1", http.MethodGet, "/lookup/1", fmt.Sprintf("u%d", i)).status, 200)
		}
	})
}

// TestHomeLost kills the service's primary home, or partitions the network around it, while requests are sent through
// another host: all succeed within the latency goal.
func TestHomeLost(t *testing.T) {
	cases := []struct {
		name    string
		isolate func(f *fleet, home string)
	}{
		{"killed", func(f *fleet, home string) { f.crash(home) }},
		{"partitioned", func(f *fleet, home string) {
			for name := range f.hosts {
				f.net.Partition(name, home)
			}
		}},
		{"partitioned for connections to it", func(f *fleet, home string) {
			for name := range f.hosts {
				f.net.BlackholeOneWay(name, home)
			}
		}},
		{"partitioned for connections from it", func(f *fleet, home string) {
			for name := range f.hosts {
				f.net.BlackholeOneWay(home, name)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, 4, 4, func(f *fleet) {
				home, entryHost := f.home(), f.notHome()
				f.call(entryHost, http.MethodGet, "/lookup/1", "before")
				var slowest time.Duration
				var mu sync.Mutex
				var group sync.WaitGroup
				for i := range 40 {
					if i == 10 {
						c.isolate(f, home)
					}
					group.Go(func() {
						r := f.call(entryHost, http.MethodGet, "/lookup/1", fmt.Sprintf("k%d", i))
						f.is.NoErr(r.err)
						f.is.Equal(r.status, 200)
						mu.Lock()
						defer mu.Unlock()
						slowest = max(slowest, r.duration)
					})
					time.Sleep(25 * time.Millisecond)
				}
				group.Wait()
				t.Logf("slowest response %v", slowest)
				f.is.True(slowest < 400*time.Millisecond) // the latency goal of the rule
			})
		})
	}
}

// TestGracefulStopInterruptsNoRequest stops each host in turn while requests are sent to it: all of them succeed.
func TestGracefulStopInterruptsNoRequest(t *testing.T) {
	withFleet(t, 3, 3, func(f *fleet) {
		f.targets["t0"].Update(func(t *standin.Target) { t.RunDuration = 300 * time.Millisecond })
		for name := range f.hosts {
			var group sync.WaitGroup
			for i := range 10 {
				group.Go(func() {
					time.Sleep(time.Duration(i) * 20 * time.Millisecond)
					r := f.call(name, http.MethodPost, "/order/1", fmt.Sprintf("%s-%d", name, i))
					f.is.NoErr(r.err)
					f.is.Equal(r.status, 200)
				})
			}
			time.Sleep(100 * time.Millisecond)
			f.hosts[name].stop()
			group.Wait()
			f.is.NoErr(<-f.hosts[name].done)
			f.start(name, "a")
			time.Sleep(3 * time.Second)
		}
	})
}

// TestCallerDisconnects closes a caller's connection: the run of a safe request is canceled within half a second, that
// of an unsafe one continues.
func TestCallerDisconnects(t *testing.T) {
	withFleet(t, 2, 2, func(f *fleet) {
		for _, x := range f.targets {
			x.Update(func(t *standin.Target) { t.RunDuration = 900 * time.Millisecond })
		}
		for _, path := range []string{"GET /lookup/1", "POST /order/1"} {
			conn, err := f.net.Dialer("caller")(context.Background(), "tcp", f.hosts["h0"].listen)
			f.is.NoErr(err)
			_, err = fmt.Fprintf(conn, "%s HTTP/1.1\r\nHost: www.example\r\nX-Attempt-Id: x\r\nX-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n", path)
			f.is.NoErr(err)
			time.Sleep(100 * time.Millisecond)
			f.is.NoErr(conn.Close())
		}
		time.Sleep(500 * time.Millisecond)
		cancelled, running := 0, 0
		for _, x := range f.targets {
			x.Update(func(t *standin.Target) { cancelled += t.CanceledRuns; running += t.InFlight })
		}
		f.is.Equal(cancelled, 1)
		f.is.Equal(running, 1)
		time.Sleep(time.Second)
	})
}

// TestWaitingRequestOfCallerThatLeftIsNotSent guards against sending a request that must not be repeated to a target after its
// caller has left: as long as it waits for a slot, nothing has been done for it.
func TestWaitingRequestOfCallerThatLeftIsNotSent(t *testing.T) {
	withFleet(t, 2, 1, func(f *fleet) {
		f.targets["t0"].Update(func(t *standin.Target) { t.RunDuration = 400 * time.Millisecond })
		var group sync.WaitGroup
		for i := range 3 {
			group.Go(func() { f.call("h0", http.MethodPost, "/order/1", fmt.Sprintf("busy-%d", i)) })
		}
		time.Sleep(50 * time.Millisecond)
		conn, err := f.net.Dialer("caller")(context.Background(), "tcp", f.hosts["h1"].listen)
		f.is.NoErr(err)
		_, err = fmt.Fprint(conn, "POST /order/1 HTTP/1.1\r\nHost: www.example\r\nX-Attempt-Id: left\r\nX-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n")
		f.is.NoErr(err)
		time.Sleep(50 * time.Millisecond)
		f.is.NoErr(conn.Close())
		group.Wait()
		time.Sleep(time.Second)
		f.is.Equal(f.arrivalsOf("left"), 0)
		f.is.Equal(f.call("h1", http.MethodPost, "/order/1", "next").status, http.StatusOK)
	})
}

// TestStartWithoutStore starts hosts while the store is unreachable: a host that knows peers gets the configuration from
// them, and one without peers refuses requests with a Retry-After until the store returns.
func TestStartWithoutStore(t *testing.T) {
	withFleet(t, 3, 2, func(f *fleet) {
		f.store.SetFaults("", storeUnavailable)
		time.Sleep(2 * time.Second)
		f.crash("h2")
		f.start("h2", "c")
		time.Sleep(4 * time.Second)
		f.is.Equal(f.call("h2", http.MethodGet, "/lookup/1", "peer").status, 200)
		for _, name := range []string{"h0", "h1", "h2"} {
			f.crash(name)
		}
		f.start("h0", "a")
		time.Sleep(2 * time.Second)
		r := f.call("h0", http.MethodGet, "/lookup/1", "alone")
		f.is.Equal(r.status, 503)
		f.is.True(r.header.Get("Retry-After") != "")
		f.store.SetFaults("", storeHealthy)
		time.Sleep(2 * time.Second)
		f.is.Equal(f.call("h0", http.MethodGet, "/lookup/1", "again").status, 200)
	})
}

// TestRejections checks the status of responses to malformed and oversized requests.
func TestRejections(t *testing.T) {
	withFleet(t, 1, 1, func(f *fleet) {
		cases := []struct {
			name, request string
			status        int
		}{
			{"no HTTP", "HELLO\r\n\r\n", 400},
			{"two lengths", "POST /order/1 HTTP/1.1\r\nHost: www.example\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
			{"long header", "GET /lookup/1 HTTP/1.1\r\nHost: www.example\r\nX-Long: " + strings.Repeat("a", 10000) + "\r\n\r\n", 431},
			{"long body", "POST /order/1 HTTP/1.1\r\nHost: www.example\r\nContent-Length: 99999999\r\n\r\n", 413},
		}
		for _, c := range cases {
			conn, err := f.net.Dialer("caller")(context.Background(), "tcp", f.hosts["h0"].listen)
			f.is.NoErr(err)
			go func() { _, _ = io.WriteString(conn, c.request) }()
			statusLine := make([]byte, 12)
			_, err = io.ReadFull(conn, statusLine)
			f.is.NoErr(err)
			f.is.Equal(string(statusLine), fmt.Sprintf("HTTP/1.1 %d", c.status))
			f.is.NoErr(conn.Close())
		}
	})
}

// TestStoreCalls bounds the calls to the store while nothing changes: only one host of each failure domain follows it.
func TestStoreCalls(t *testing.T) {
	withFleet(t, 9, 4, func(f *fleet) {
		time.Sleep(4 * time.Second) // until the watchers have registered their addresses
		before := f.store.CallCount()
		time.Sleep(30 * time.Second)
		t.Logf("%d calls in 30 s", f.store.CallCount()-before)
		f.is.True(f.store.CallCount()-before <= 3*(30*2/3+2)) // one call in 1.5 s for each failure domain
	})
}

// TestFleetRestartConverges kills a hundred hosts at once and starts them again: within 0.5 s they agree on the primary
// home of the service, which is before callers notice, and within 2 s every host knows all others.
func TestFleetRestartConverges(t *testing.T) {
	const hosts = 100
	withFleet(t, hosts, 4, func(f *fleet) {
		for name := range f.hosts {
			f.crash(name)
		}
		time.Sleep(time.Second)
		for i := range hosts {
			f.start(fmt.Sprintf("h%d", i), domainOf(i))
		}
		collectViews := func() (fewest int, homes map[string]bool) {
			fewest, homes = hosts, map[string]bool{}
			for _, n := range f.hosts {
				live, home := n.gateway.ReadyHosts("stock")
				fewest = min(fewest, live)
				homes[home] = true
			}
			return fewest, homes
		}
		time.Sleep(500 * time.Millisecond)
		_, homes := collectViews()
		f.is.Equal(len(homes), 1)
		time.Sleep(1500 * time.Millisecond)
		fewest, _ := collectViews()
		f.is.Equal(fewest, hosts)
	})
}
