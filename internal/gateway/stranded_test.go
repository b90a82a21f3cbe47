package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"briarcroft/platform/standin"
)

// Limits for hosts that are cut off from all targets, from the requirements of the platform.
const (
	// strandedReaction is the time after the cut from which callers of these hosts must be served.
	strandedReaction = 2 * time.Second
	// strandedDivisor and strandedShare say how often they must be served at least, relative to callers of other hosts.
	strandedShare, strandedDivisor = 2, 3
)

// strandedTest cuts hosts off from all targets, or from some, while callers send requests to all hosts in turn.
type strandedTest struct {
	*fleet
	stranded map[string]bool
	targets  []string
	phases   int
	mu       sync.Mutex
	// sent and answered count the requests of callers of stranded hosts (true) and of others.
	sent, answered map[bool]int
	// unsafeRunTwice counts unsafe requests that ran more than once, and falselyRefused those refused as not run that ran.
	unsafeRunTwice, falselyRefused int
}

// newStrandedTest returns a test that cuts off count hosts, beginning with the given one, from the first targets.
func newStrandedTest(f *fleet, first, count, targets int) *strandedTest {
	s := &strandedTest{fleet: f, stranded: map[string]bool{}, sent: map[bool]int{}, answered: map[bool]int{}}
	for i := range count {
		s.stranded[fmt.Sprintf("h%d", (first+i)%len(f.hosts))] = true
	}
	for i := range targets {
		s.targets = append(s.targets, fmt.Sprintf("t%d", i))
	}
	return s
}

// each calls a function with each pair of a stranded host and a target from which it is cut off.
func (s *strandedTest) each(change func(host, target string)) {
	for h := range s.stranded {
		for _, t := range s.targets {
			change(h, t)
		}
	}
}

// send sends requests to all hosts in turn for a time, every third one unsafe, and counts those sent from the given time on.
func (s *strandedTest) send(duration, countFrom time.Duration) {
	const interval = 10 * time.Millisecond
	var group sync.WaitGroup
	s.phases++
	for i := range int(duration / interval) {
		group.Go(func() {
			s.sendOne(i, time.Duration(i)*interval >= countFrom)
		})
		time.Sleep(interval)
	}
	group.Wait()
}

func (s *strandedTest) sendOne(i int, counts bool) {
	name, id := fmt.Sprintf("h%d", i%len(s.hosts)), fmt.Sprintf("%d-%d", s.phases, i)
	method, path := http.MethodGet, "/lookup/"+id
	unsafe := i%3 == 0
	if unsafe {
		method, path = http.MethodPost, "/order/"+id
	}
	r := s.call(name, method, path, id)
	runs := s.runsOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if unsafe && runs > 1 {
		s.unsafeRunTwice++
	}
	if unsafe && runs > 0 && r.status == http.StatusServiceUnavailable {
		s.falselyRefused++
	}
	if !counts {
		return
	}
	s.sent[s.stranded[name]]++
	if r.status == http.StatusOK {
		s.answered[s.stranded[name]]++
	}
}

// check checks the limits.
func (s *strandedTest) check(t *testing.T) {
	t.Helper()
	t.Logf("answered: %d of %d at stranded hosts, %d of %d at others", s.answered[true], s.sent[true], s.answered[false], s.sent[false])
	s.is.Equal(s.unsafeRunTwice, 0)
	s.is.Equal(s.falselyRefused, 0)
	s.is.True(s.answered[true]*s.sent[false]*strandedDivisor >= s.answered[false]*s.sent[true]*strandedShare)
	// Others have as many targets as before.
	s.is.True(s.answered[false]*100 >= s.sent[false]*98)
	clear(s.sent)
	clear(s.answered)
}

// TestHostsCutOffFromTargetsServeCallers guards against failing the callers of hosts that reach no target, and those of all
// hosts when homes are among them.
func TestHostsCutOffFromTargetsServeCallers(t *testing.T) {
	const hosts, stranded, targets = 13, 8, 10
	for _, c := range []struct {
		name          string
		cut, heal     func(f *fleet, host, target string)
		cutOffTargets int
	}{
		{"links are silent", func(f *fleet, h, t string) { f.net.Partition(h, t) }, func(f *fleet, h, t string) { f.net.Heal(h, t) }, targets},
		{"connections are refused", func(f *fleet, h, t string) { f.net.Reset(h, t); f.net.Refuse(h, t, true) }, func(f *fleet, h, t string) { f.net.Refuse(h, t, false) }, targets},
		{"only new connections are refused", func(f *fleet, h, t string) { f.net.Refuse(h, t, true) }, func(f *fleet, h, t string) { f.net.Refuse(h, t, false) }, targets},
		{"links to some targets are silent", func(f *fleet, h, t string) { f.net.Partition(h, t) }, func(f *fleet, h, t string) { f.net.Heal(h, t) }, targets * 6 / 10},
	} {
		for first := 0; first < hosts; first += 3 {
			t.Run(fmt.Sprintf("%s, from h%d", c.name, first), func(t *testing.T) {
				withFleet(t, hosts, targets, func(f *fleet) {
					s := newStrandedTest(f, first, stranded, c.cutOffTargets)
					s.send(time.Second, time.Second) // warm up
					s.each(func(h, t string) { c.cut(f, h, t) })
					s.send(8*time.Second, strandedReaction)
					s.check(t)
					s.each(func(h, t string) { c.heal(f, h, t) })
					s.send(5*time.Second, strandedReaction)
					s.check(t)
				})
			})
		}
	}
}

// cutOff cuts off the given hosts from all targets, and returns after they have noticed it.
func (f *fleet) cutOff(hosts ...string) {
	for _, h := range hosts {
		for name := range f.targets {
			f.net.Reset(h, name)
			f.net.Refuse(h, name, true)
		}
	}
	for i := range 100 {
		f.call(hosts[i%len(hosts)], http.MethodGet, "/lookup/before", fmt.Sprintf("before-%d", i))
		time.Sleep(20 * time.Millisecond)
	}
}

// TestRelayedRunEndsWithItsCaller checks that a repeatable run that a peer relays ends at the target soon after its caller has
// left, and that an unsafe one goes on.
func TestRelayedRunEndsWithItsCaller(t *testing.T) {
	for _, c := range []struct {
		method, path string
		ends         bool
	}{{http.MethodGet, "/lookup/slow", true}, {http.MethodPost, "/order/slow", false}} {
		t.Run(c.method, func(t *testing.T) {
			withFleet(t, 5, 6, func(f *fleet) {
				f.cutOff("h0")
				f.slowTargets(800 * time.Millisecond)
				ctx, cancel := context.WithCancel(context.Background())
				go func() {
					time.Sleep(200 * time.Millisecond)
					cancel()
				}()
				f.callUntil(ctx, "h0", c.method, c.path, "left")
				time.Sleep(300 * time.Millisecond)
				canceled := 0
				for _, x := range f.targets {
					x.Update(func(t *standin.Target) { canceled += t.CanceledRuns })
				}
				runs := f.runsOf("left")
				f.is.True(runs >= 1) // a repeatable request may be hedged
				if c.ends {
					f.is.Equal(canceled, runs)
				} else {
					f.is.Equal(canceled, 0)
				}
			})
		})
	}
}

// slowTargets makes all targets take the given time for a run.
func (f *fleet) slowTargets(duration time.Duration) {
	for _, x := range f.targets {
		x.Update(func(t *standin.Target) { t.RunDuration = duration })
	}
}

// callUntil sends one request and gives up when the context ends.
func (f *fleet) callUntil(ctx context.Context, host, method, path, id string) {
	transport := &http.Transport{DialContext: f.net.Dialer("caller"), DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+f.hosts[host].listen+path, nil)
	f.is.NoErr(err)
	r.Host = "www.example"
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Deadline-Ms", "1000")
	if response, err := transport.RoundTrip(r); err == nil {
		_ = response.Body.Close()
	}
}

// TestLostRelayIsNoRefusal ends or silences all peers while they relay unsafe requests: the caller is not told that its request
// has not run, and it does not run again.
func TestLostRelayIsNoRefusal(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(f *fleet, peer string)
	}{
		{"peers end", func(f *fleet, peer string) { f.crash(peer) }},
		{"peers fall silent", func(f *fleet, peer string) { f.net.Partition("h0", peer) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, 5, 6, func(f *fleet) {
				f.cutOff("h0")
				f.slowTargets(400 * time.Millisecond)
				var group sync.WaitGroup
				replies := make([]reply, 5)
				for i := range replies {
					group.Go(func() { replies[i] = f.call("h0", http.MethodPost, "/order/x", fmt.Sprintf("lost-%d", i)) })
				}
				time.Sleep(200 * time.Millisecond)
				for _, peer := range []string{"h1", "h2", "h3", "h4"} {
					c.lose(f, peer)
				}
				group.Wait()
				ran := 0
				for i, r := range replies {
					runs := f.runsOf(fmt.Sprintf("lost-%d", i))
					ran += runs
					f.is.True(runs <= 1)
					f.is.True(r.status != http.StatusOK)
					f.is.True(runs == 0 || r.status != http.StatusServiceUnavailable)
				}
				f.is.True(ran > 0)
			})
		})
	}
}

// TestTruncatedRelayedResponseIsNotPassedOn checks that a response that breaks off at the target does not look complete.
func TestTruncatedRelayedResponseIsNotPassedOn(t *testing.T) {
	withFleet(t, 5, 6, func(f *fleet) {
		f.cutOff("h0")
		for _, x := range f.targets {
			x.Update(func(t *standin.Target) { t.TruncateResponses = true })
		}
		r := f.call("h0", http.MethodPost, "/order/cut", "cut")
		f.is.Equal(f.runsOf("cut"), 1)
		f.is.True(r.status != http.StatusOK)
	})
}

// TestAllHostsCutOffRefuseAtOnce checks that requests are refused at once when no host reaches a target, so that callers can come
// back, and served again soon after the links are back.
func TestAllHostsCutOffRefuseAtOnce(t *testing.T) {
	withFleet(t, 5, 6, func(f *fleet) {
		hosts := []string{"h0", "h1", "h2", "h3", "h4"}
		f.cutOff(hosts...)
		for i := range 20 {
			r := f.call(hosts[i%5], http.MethodPost, "/order/x", fmt.Sprintf("refused-%d", i))
			f.is.Equal(r.status, http.StatusServiceUnavailable)
			f.is.True(r.duration < 100*time.Millisecond)
			time.Sleep(20 * time.Millisecond)
		}
		for _, h := range hosts {
			for name := range f.targets {
				f.net.Refuse(h, name, false)
			}
		}
		time.Sleep(strandedReaction)
		for i := range 50 {
			f.is.Equal(f.call(hosts[i%5], http.MethodPost, "/order/x", fmt.Sprintf("again-%d", i)).status, http.StatusOK)
			time.Sleep(20 * time.Millisecond)
		}
	})
}
