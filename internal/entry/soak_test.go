package entry

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"briarcroft/internal/address"
	"briarcroft/internal/claim"
	"briarcroft/internal/platform/standin"
	"briarcroft/internal/steering"
)

// soakCallers is the number of callers that send requests concurrently.
const soakCallers = 12

// TestAtMostOnceSoak sends keyed requests while pairs of random faults affect hosts, backend servers, the network and
// the store. It checks that no key runs twice, that no request with outcome NotRun has run, and that each response is
// complete and belongs to its request.
func TestAtMostOnceSoak(t *testing.T) {
	seeds, requests := []uint64{1, 2, 3}, 1500
	if value := os.Getenv("BRIARCROFT_SOAK"); value != "" {
		requests, _ = strconv.Atoi(value)
		seed, _ := strconv.ParseUint(os.Getenv("BRIARCROFT_SEED"), 10, 64)
		seeds = []uint64{seed}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			withFleet(t, func(f *fleet) { newSoak(t, f, seed).run(requests) })
		})
	}
}

// soak is one run of TestAtMostOnceSoak; mu guards the random source, the totals and the nodes of the fleet.
type soak struct {
	t        *testing.T
	f        *fleet
	mu       sync.Mutex
	random   *rand.Rand
	backends []*fakeBackend
	sends    int
	outcomes map[string]int
	faults   map[string]int
	// replacing holds the hosts that are being replaced.
	replacing map[string]bool
}

func newSoak(t *testing.T, f *fleet, seed uint64) *soak {
	return &soak{t: t, f: f, random: rand.New(rand.NewPCG(seed, 9)), outcomes: map[string]int{}, faults: map[string]int{}, replacing: map[string]bool{}}
}

func (s *soak) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

func (s *soak) run(requests int) {
	s.f.startAll(4)
	var content string
	s.backends, content = s.f.backends(5, s.faultyHandler)
	s.f.publish(content)
	s.f.awaitNote(1, 10*time.Second)
	s.f.awaitPeers(10 * time.Second)
	stop, faultsDone := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(faultsDone)
		s.injectFaults(stop)
	}()
	var callers sync.WaitGroup
	for c := range soakCallers {
		callers.Go(func() {
			for i := range requests / soakCallers {
				s.sendRepeatedly(fmt.Sprintf("/%d-%d", c, i))
			}
		})
	}
	callers.Wait()
	close(stop)
	<-faultsDone
	time.Sleep(10 * time.Second)
	s.t.Logf("%d requests, %d sends, outcomes %v, faults %v", requests, s.sends, s.outcomes, s.faults)
}

// faultyHandler is a backend handler that at random breaks the connection before or after the run, truncates its response,
// refuses, or responds after the deadline.
func (s *soak) faultyHandler(b *fakeBackend, w http.ResponseWriter, r *http.Request, body string) {
	content := r.Method + " " + r.URL.Path + " " + body
	switch n := s.intN(100); {
	case n < 3:
		panic(http.ErrAbortHandler)
	case n < 6:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case n < 9:
		b.recordRun(r)
		panic(http.ErrAbortHandler)
	case n < 12:
		b.recordRun(r)
		w.Header().Set("Content-Length", strconv.Itoa(len(content)))
		_, _ = w.Write([]byte(content[:len(content)/2]))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case n < 14:
		b.recordRun(r)
		time.Sleep(2500 * time.Millisecond)
	default:
		b.recordRun(r)
		time.Sleep(time.Duration(1+n%20) * time.Millisecond)
	}
	_, _ = w.Write([]byte(content))
}

// totalRuns returns how often requests with a key ran, over all backend servers.
func (s *soak) totalRuns(key string) int {
	sum := 0
	for _, b := range s.backends {
		sum += b.runsWithKey(key)
	}
	return sum
}

// sendRepeatedly sends the same request with the same key several times, some of them concurrently, and checks its outcomes
// against the number of runs.
func (s *soak) sendRepeatedly(path string) {
	plain := s.intN(5) == 0
	key := s.newKey(path, plain)
	if key == "" {
		time.Sleep(200 * time.Millisecond)
		return
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	completed, refusals, sends := 0, 0, 0
	var history []string
	send := func() {
		outcome, trace := s.send(key, path)
		mu.Lock()
		defer mu.Unlock()
		sends++
		history = append(history, trace)
		switch outcome {
		case "answered":
			completed++
		case string(claim.NotRun):
			refusals++
		}
	}
	for range 1 + s.intN(3) {
		if s.intN(4) == 0 {
			group.Go(send)
		}
		send()
		mu.Lock()
		answered := completed > 0
		mu.Unlock()
		if answered && s.intN(2) == 0 {
			break
		}
		time.Sleep(time.Duration(s.intN(400)) * time.Millisecond)
	}
	group.Wait()
	runs := s.totalRuns(key)
	if runs > 1 {
		s.t.Errorf("%s with key %s ran %d times, want at most 1", path, key, runs)
	}
	if completed > 0 && runs != 1 {
		s.t.Errorf("%s with key %s got a response but ran %d times", path, key, runs)
	}
	if refusals > 0 && runs > 0 && (!plain || sends == 1) {
		s.t.Errorf("%s with key %s got outcome NotRun but ran %d times: %v", path, key, runs, history)
	}
}

// newKey returns a new key, either plain or with a grant of a random host; it is empty if that host issued none.
func (s *soak) newKey(path string, plain bool) string {
	if plain {
		return "plain" + strings.ReplaceAll(path, "/", "-")
	}
	response, body, err := s.f.send(s.randomHost(), http.MethodGet, "/Addresses?Service=s", "", nil)
	var addresses address.Response
	if err != nil || response.StatusCode != http.StatusOK || json.Unmarshal([]byte(body), &addresses) != nil {
		return ""
	}
	return addresses.Grant + "." + strings.ReplaceAll(path, "/", "-")
}

func (s *soak) randomHost() *node {
	name := s.f.order[s.intN(len(s.f.order))]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.f.nodes[name]
}

// send sends a request with a key to a random host and returns "answered" for a response from a target, the outcome of a
// refusal, or "broken" for a failed connection.
func (s *soak) send(key, path string) (outcome, trace string) {
	host := s.randomHost()
	began := time.Now()
	response, body, err := s.f.send(host, http.MethodPost, path, "body of "+path, map[string]string{"Idempotency-Key": key})
	outcome, reason := "broken", ""
	switch {
	case err != nil:
	case response.StatusCode == http.StatusOK:
		outcome = "answered"
		if body != "POST "+path+" body of "+path {
			s.t.Errorf("%s got the response of another request or a truncated one: %q", path, body)
		}
	default:
		outcome, reason = response.Header.Get(steering.HeaderOutcome), response.Header.Get(steering.HeaderReason)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sends++
	s.outcomes[outcome]++
	trace = fmt.Sprintf("%s at %s after %v: %s %s; ", began.Format("05.000"), host.host.Name(), time.Since(began), outcome, reason)
	return outcome, trace
}

// injectFaults starts two random faults every one to four seconds until stop is closed.
func (s *soak) injectFaults(stop <-chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		for range 2 {
			group.Go(s.injectFault)
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(1000+s.intN(3000)) * time.Millisecond):
		}
	}
}

// injectFault causes one random fault and ends it after a random time.
func (s *soak) injectFault() {
	a, b := s.f.order[s.intN(len(s.f.order))], s.f.order[s.intN(len(s.f.order))]
	last := time.Duration(500+s.intN(4000)) * time.Millisecond
	kind := []string{"crash", "stop", "silent backend", "silent peer", "partition", "store down", "store slow", "lost confirmation", "late write"}[s.intN(9)]
	s.mu.Lock()
	s.faults[kind]++
	s.mu.Unlock()
	switch kind {
	case "crash", "stop":
		s.replace(a, kind, last)
	case "silent backend":
		s.f.net.Blackhole(a, s.backends[s.intN(len(s.backends))].name)
	case "silent peer":
		s.f.net.Blackhole(a, b)
	case "partition":
		if a != b {
			s.f.net.Partition(a, b)
			time.Sleep(last)
			s.f.net.Heal(a, b)
		}
	case "store down":
		s.breakStore(standin.Faults{Down: true}, last)
	case "store slow":
		s.breakStore(standin.Faults{Delay: 700 * time.Millisecond}, last)
	case "lost confirmation":
		s.breakStore(standin.Faults{DropWriteResponses: 5}, last)
	case "late write":
		s.breakStore(standin.Faults{DelayedWrites: 3, WriteDelay: last / 2}, last)
	}
}

func (s *soak) breakStore(faults standin.Faults, last time.Duration) {
	s.f.store.SetFaults(faults)
	time.Sleep(last)
	s.f.store.SetFaults(standin.Faults{})
}

// replace ends a host, by a crash or a graceful stop, and later starts another one with the same name and addresses.
// It does nothing while two hosts are being replaced.
func (s *soak) replace(name, kind string, after time.Duration) {
	s.mu.Lock()
	if s.replacing[name] || len(s.replacing) > 1 {
		s.mu.Unlock()
		return
	}
	s.replacing[name] = true
	s.mu.Unlock()
	if kind == "crash" {
		s.f.crash(name)
	} else if err := s.f.stop(name); err != nil {
		s.t.Logf("stop of %s: %v", name, err)
	}
	time.Sleep(after)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.f.start(name, "")
	delete(s.replacing, name)
}
