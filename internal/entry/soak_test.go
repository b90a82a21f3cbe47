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

// soakCallers is how many callers send at the same time.
const soakCallers = 12

// TestAtMostOnceSoak drives keyed requests through hosts, backend servers and a platform that fail in pairs,
// and checks that nothing runs twice, that NotRun is never false, and that every answer is whole and its own.
func TestAtMostOnceSoak(t *testing.T) {
	seeds, requests := []uint64{1, 2, 3}, 1500
	if text := os.Getenv("BRIARCROFT_SOAK"); text != "" {
		requests, _ = strconv.Atoi(text)
		seed, _ := strconv.ParseUint(os.Getenv("BRIARCROFT_SEED"), 10, 64)
		seeds = []uint64{seed}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			inFleet(t, func(f *fleet) { newSoak(t, f, seed).run(requests) })
		})
	}
}

type soak struct {
	t        *testing.T
	f        *fleet
	mu       sync.Mutex
	random   *rand.Rand
	backends []*fakeBackend
	sends    int
	outcomes map[string]int
	faults   map[string]int
	// down holds the hosts that are being replaced.
	down map[string]bool
}

func newSoak(t *testing.T, f *fleet, seed uint64) *soak {
	return &soak{t: t, f: f, random: rand.New(rand.NewPCG(seed, 9)), outcomes: map[string]int{}, faults: map[string]int{}, down: map[string]bool{}}
}

func (s *soak) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

func (s *soak) run(requests int) {
	s.f.startAll(4)
	var text string
	s.backends, text = s.f.backends(5, s.misbehave)
	s.f.publish(text)
	s.f.await(1, 10*time.Second)
	s.f.awaitPeers(10 * time.Second)
	stop, chaos := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(chaos)
		s.chaos(stop)
	}()
	var callers sync.WaitGroup
	for c := range soakCallers {
		callers.Go(func() {
			for i := range requests / soakCallers {
				s.one(fmt.Sprintf("/%d-%d", c, i))
			}
		})
	}
	callers.Wait()
	close(stop)
	<-chaos
	time.Sleep(10 * time.Second)
	s.t.Logf("%d requests, %d sends, outcomes %v, faults %v", requests, s.sends, s.outcomes, s.faults)
}

// misbehave is a backend server that breaks, cuts, delays and refuses now and then.
func (s *soak) misbehave(b *fakeBackend, w http.ResponseWriter, r *http.Request, body string) {
	answer := r.Method + " " + r.URL.Path + " " + body
	switch n := s.intN(100); {
	case n < 3:
		panic(http.ErrAbortHandler)
	case n < 6:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case n < 9:
		b.ran(r)
		panic(http.ErrAbortHandler)
	case n < 12:
		b.ran(r)
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = w.Write([]byte(answer[:len(answer)/2]))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case n < 14:
		b.ran(r)
		time.Sleep(2500 * time.Millisecond)
	default:
		b.ran(r)
		time.Sleep(time.Duration(1+n%20) * time.Millisecond)
	}
	_, _ = w.Write([]byte(answer))
}

// runs returns how often a key was run on all backend servers.
func (s *soak) runs(key string) int {
	sum := 0
	for _, b := range s.backends {
		sum += b.runsOf(key)
	}
	return sum
}

// one sends one request with one key, again and again and sometimes twice at a time, and checks what came of it.
func (s *soak) one(path string) {
	plain := s.intN(5) == 0
	key := s.key(path, plain)
	if key == "" {
		time.Sleep(200 * time.Millisecond)
		return
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	answers, refusals, sends := 0, 0, 0
	var history []string
	send := func() {
		outcome, trace := s.send(key, path)
		mu.Lock()
		defer mu.Unlock()
		sends++
		history = append(history, trace)
		switch outcome {
		case "answered":
			answers++
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
		answered := answers > 0
		mu.Unlock()
		if answered && s.intN(2) == 0 {
			break
		}
		time.Sleep(time.Duration(s.intN(400)) * time.Millisecond)
	}
	group.Wait()
	runs := s.runs(key)
	if runs > 1 {
		s.t.Errorf("%s with key %s ran %d times", path, key, runs)
	}
	if answers > 0 && runs != 1 {
		s.t.Errorf("%s with key %s was answered and ran %d times", path, key, runs)
	}
	if refusals > 0 && runs > 0 && (!plain || sends == 1) {
		s.t.Errorf("%s with key %s was refused as not run and ran %d times: %v", path, key, runs, history)
	}
}

// key returns a new key, plain or with a grant of a random host.
func (s *soak) key(path string, plain bool) string {
	if plain {
		return "plain" + strings.ReplaceAll(path, "/", "-")
	}
	response, body, err := s.f.send(s.host(), http.MethodGet, "/Addresses?Service=s", "", nil)
	var answer address.Response
	if err != nil || response.StatusCode != http.StatusOK || json.Unmarshal([]byte(body), &answer) != nil {
		return ""
	}
	return answer.Grant + "." + strings.ReplaceAll(path, "/", "-")
}

func (s *soak) host() *node {
	name := s.f.order[s.intN(len(s.f.order))]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.f.nodes[name]
}

// send sends a key to a random host and returns "answered", an outcome, or "broken".
func (s *soak) send(key, path string) (outcome, trace string) {
	host := s.host()
	began := time.Now()
	response, body, err := s.f.send(host, http.MethodPost, path, "body of "+path, map[string]string{"Idempotency-Key": key})
	outcome, reason := "broken", ""
	switch {
	case err != nil:
	case response.StatusCode == http.StatusOK:
		outcome = "answered"
		if body != "POST "+path+" body of "+path {
			s.t.Errorf("%s got another answer or a cut one: %q", path, body)
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

// chaos brings about two faults at a time until it is stopped.
func (s *soak) chaos(stop <-chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		for range 2 {
			group.Go(s.fault)
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(1000+s.intN(3000)) * time.Millisecond):
		}
	}
}

// fault brings about one fault and mends it again.
func (s *soak) fault() {
	a, b := s.f.order[s.intN(len(s.f.order))], s.f.order[s.intN(len(s.f.order))]
	last := time.Duration(500+s.intN(4000)) * time.Millisecond
	kind := []string{"crash", "stop", "silent backend", "silent peer", "parted", "store down", "store slow", "lost confirmation", "late write"}[s.intN(9)]
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
	case "parted":
		if a != b {
			s.f.net.Partition(a, b)
			time.Sleep(last)
			s.f.net.Heal(a, b)
		}
	case "store down":
		s.store(standin.Faults{Down: true}, last)
	case "store slow":
		s.store(standin.Faults{Delay: 700 * time.Millisecond}, last)
	case "lost confirmation":
		s.store(standin.Faults{LoseConfirmations: 5}, last)
	case "late write":
		s.store(standin.Faults{LateWrites: 3, LateBy: last / 2}, last)
	}
}

func (s *soak) store(faults standin.Faults, last time.Duration) {
	s.f.store.SetFaults(faults)
	time.Sleep(last)
	s.f.store.SetFaults(standin.Faults{})
}

// replace ends a host and starts another in its place, with the same name and addresses.
func (s *soak) replace(name, kind string, after time.Duration) {
	s.mu.Lock()
	if s.down[name] || len(s.down) > 1 {
		s.mu.Unlock()
		return
	}
	s.down[name] = true
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
	delete(s.down, name)
}
