package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"briarcroft/platform/standin"
)

// Sizes of a run that nobody asked to be longer.
const (
	defaultHosts   = 3
	defaultTargets = 4
	defaultLength  = 8 * time.Second
	defaultCallers = 8
)

// regressions are seeds that once broke a promise, each with its cause.
var regressions = []uint64{
	1, // a second SIGTERM cut what was under way
}

// run is one seed under way.
type run struct {
	*fleet
	random *rand.Rand
	mu     sync.Mutex
	// sent holds all requests, to be judged once everything has ended.
	sent    []request
	number  int
	version int
	// newest is the newest configuration that each incarnation of a host served.
	newest map[string]int
	broken []string
	faults map[string]int
}

// request is one request and what its caller was told.
type request struct {
	id      string
	once    bool
	refused bool
}

// TestSoak plays the seeds that once failed, or those that the environment asks for: SOAK_SEED is the first, SOAK_SEEDS how
// many, SOAK_SECONDS the length of each, and SOAK_HOSTS and SOAK_TARGETS the size of the fleet.
func TestSoak(t *testing.T) {
	seeds := regressions
	if first := number(t, "SOAK_SEED", 0); first > 0 {
		seeds = nil
		for i := range number(t, "SOAK_SEEDS", 1) {
			seeds = append(seeds, uint64(first+i))
		}
	}
	length := time.Duration(number(t, "SOAK_SECONDS", int(defaultLength/time.Second))) * time.Second
	binary := build(t)
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			r := &run{
				fleet:  newFleet(t, binary, number(t, "SOAK_HOSTS", defaultHosts), number(t, "SOAK_TARGETS", defaultTargets)),
				random: rand.New(rand.NewPCG(seed, 3)), version: 1, newest: map[string]int{}, faults: map[string]int{},
			}
			r.play(length)
			t.Logf("%d requests, faults %v", len(r.sent), r.faults)
			if len(r.broken) > 0 {
				t.Errorf("%d promises broken: %s; logs of the hosts are in %s", len(r.broken), strings.Join(r.broken, "; "), r.keepLogs(seed))
			}
		})
	}
}

// number reads a number from the environment.
func number(t *testing.T, name string, otherwise int) int {
	text := os.Getenv(name)
	if text == "" {
		return otherwise
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s=%q: write a number", name, text)
	}
	return n
}

// keepLogs copies the hosts' logs and settings to where they outlive the test.
func (r *run) keepLogs(seed uint64) string {
	kept, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	r.is.NoErr(err)
	r.is.NoErr(os.CopyFS(kept, os.DirFS(r.dir)))
	return kept
}

func (r *run) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

func (r *run) between(low, high time.Duration) time.Duration {
	return low + time.Duration(r.intN(int(high-low)))
}

func (r *run) breach(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, arguments...))
}

// play sends requests while several series of faults overlap, waits for order and judges.
func (r *run) play(length time.Duration) {
	end := time.Now().Add(length)
	var faults, callers sync.WaitGroup
	for _, series := range []func() (string, func()){r.hostFault, r.hostFault, r.lineFault, r.lineFault, r.storeFault, r.targetFault} {
		faults.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(r.between(50*time.Millisecond, time.Second))
				name, strike := series()
				r.mu.Lock()
				r.faults[name]++
				r.mu.Unlock()
				strike()
			}
		})
	}
	stop := make(chan struct{})
	for range defaultCallers {
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					r.request()
				}
			}
		})
	}
	faults.Wait()
	r.awaitOrder()
	close(stop)
	callers.Wait()
	time.Sleep(2 * time.Second) // longer than any run that is still under way
	r.judgeAll()
}

// awaitOrder waits until every host serves again, under the newest configuration.
func (r *run) awaitOrder() {
	path := fmt.Sprintf("/v%d/1", r.version)
	if r.version == 1 {
		path = "/lookup/1"
	}
	for _, p := range r.hosts {
		began, served := time.Now(), false
		for n := 0; !served && time.Since(began) < patience; n++ {
			served = r.call(p, http.MethodGet, path, fmt.Sprintf("order-%s-%d", p.name, n)).status == http.StatusOK
			time.Sleep(50 * time.Millisecond)
		}
		if !served {
			r.breach("%s does not serve %s, of the newest configuration, after the faults", p.name, path)
		}
	}
}

// look returns a host's incarnation and whether something ails its process.
func (p *process) look() (starts int, troubled, stopping bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts, p.troubled, p.stopping
}

// request sends one request and checks at once what can be told at once.
func (r *run) request() {
	p, once := r.hosts[r.intN(len(r.hosts))], r.intN(2) == 0
	starts, troubled, stopping := p.look()
	if troubled {
		time.Sleep(5 * time.Millisecond)
		return
	}
	r.mu.Lock()
	r.number++
	id, version := fmt.Sprintf("q%d", r.number), r.version
	r.mu.Unlock()
	method, path := http.MethodGet, "/lookup/1"
	if once {
		method, path = http.MethodPost, "/order/1"
	}
	answer := r.call(p, method, path, id)
	startsAfter, troubledAfter, stoppingAfter := p.look()
	refused := answer.status == http.StatusServiceUnavailable || answer.status == http.StatusTooManyRequests
	r.mu.Lock()
	r.sent = append(r.sent, request{id, once, refused})
	r.mu.Unlock()
	switch {
	case answer.err != nil && (troubledAfter || startsAfter != starts):
	case answer.err != nil && (stopping || stoppingAfter) && r.runsOf(id) == 0:
		// The request crossed the close, or came after the end.
	case answer.err != nil:
		r.breach("%s cut %s, which ran %d times: %v", p.name, id, r.runsOf(id), answer.err)
	case answer.status == http.StatusNotFound:
		r.breach("%s denied %s, which every configuration allows", p.name, id)
	case answer.status == http.StatusOK && (answer.body != "answer to "+id || answer.seal != "seal."+id):
		r.breach("%s answered %s with %q", p.name, id, answer.body)
	}
	if r.intN(10) == 0 && version > 1 {
		r.notBack(p, starts, version)
	}
}

// notBack checks that an incarnation of a host serves no older configuration than before.
func (r *run) notBack(p *process, starts, version int) {
	r.mu.Lock()
	r.number++
	id, incarnation := fmt.Sprintf("back%d", r.number), fmt.Sprintf("%s/%d", p.name, starts)
	served := r.newest[incarnation]
	r.mu.Unlock()
	answer := r.call(p, http.MethodGet, fmt.Sprintf("/v%d/1", version), id)
	if after, _, _ := p.look(); after != starts {
		return
	}
	if answer.status == http.StatusNotFound && served >= version {
		r.breach("%s went back from configuration %d", p.name, version)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if answer.status == http.StatusOK {
		r.newest[incarnation] = max(r.newest[incarnation], version)
	}
}

// judgeAll checks what only shows at the end: how often each request ran.
func (r *run) judgeAll() {
	for _, q := range r.sent {
		runs := r.runsOf(q.id)
		if q.once && runs > 1 {
			r.breach("unsafe request %s ran %d times", q.id, runs)
		}
		if q.refused && runs > 0 {
			r.breach("request %s was refused as not run and ran %d times", q.id, runs)
		}
	}
}

// hostFault draws a fault of a host's process.
func (r *run) hostFault() (string, func()) {
	p := r.hosts[r.intN(len(r.hosts))]
	pause := r.between(10*time.Millisecond, 2*time.Second)
	switch r.intN(4) {
	case 0:
		return "HostKilled", func() { r.replace(p, pause, syscall.SIGKILL) }
	case 1:
		return "HostStopped", func() { r.replace(p, pause, syscall.SIGTERM) }
	case 2:
		return "HostPaused", func() { r.pause(p, pause) }
	}
	return "HostTold", func() { r.tell(p, syscall.SIGHUP) }
}

// tell sends a signal to a host's present process.
func (r *run) tell(p *process, s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.signal(p, s)
}

// claim marks a host as troubled or stopping and reports whether it was neither.
func (p *process) claim(troubled bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.troubled || p.stopping {
		return false
	}
	p.troubled, p.stopping = troubled, !troubled
	return true
}

// replace ends a host by a signal, which comes twice, and starts it again after a while.
func (r *run) replace(p *process, pause time.Duration, s syscall.Signal) {
	if !p.claim(s == syscall.SIGKILL) {
		return
	}
	r.tell(p, s)
	time.Sleep(r.between(time.Millisecond, 300*time.Millisecond))
	r.tell(p, s)
	r.tell(p, syscall.SIGHUP)
	select {
	case <-p.ended:
	case <-time.After(patience):
		r.breach("%s did not end within %v of %v", p.name, patience, s)
		return
	}
	time.Sleep(pause)
	r.start(p)
	r.awaitReady(p)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.troubled, p.stopping = false, false
}

// pause stops a host's process for a while.
func (r *run) pause(p *process, pause time.Duration) {
	if !p.claim(true) {
		return
	}
	r.tell(p, syscall.SIGSTOP)
	time.Sleep(pause)
	r.tell(p, syscall.SIGCONT)
	time.Sleep(time.Second)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.troubled = false
}

// lineFault draws a fault of the lines to a host, a server or the store.
func (r *run) lineFault() (string, func()) {
	var lines []*relay
	for _, p := range r.hosts {
		lines = append(lines, p.peers, p.store)
	}
	for _, s := range r.targets {
		lines = append(lines, s.relay)
	}
	line, pause := lines[r.intN(len(lines))], r.between(50*time.Millisecond, 3*time.Second)
	during := func(m mode) func() {
		return func() {
			line.set(m)
			time.Sleep(pause)
			line.set(mode{})
		}
	}
	switch r.intN(7) {
	case 0:
		return "LineReset", line.reset
	case 1:
		return "LineSilenced", line.silence
	case 2:
		return "LineSlow", during(mode{delay: r.between(5*time.Millisecond, 200*time.Millisecond)})
	case 3:
		return "LineCut", during(mode{cutForward: true, cutBack: true})
	case 4:
		return "LineCutForward", during(mode{cutForward: true})
	case 5:
		return "LineCutBack", during(mode{cutBack: true})
	}
	return "LineRefuses", during(mode{refuse: true})
}

// storeFault draws a fault of the store, or a change that the operator makes there.
func (r *run) storeFault() (string, func()) {
	who, pause := "", r.between(50*time.Millisecond, 3*time.Second)
	if r.intN(2) == 0 {
		who = r.hosts[r.intN(len(r.hosts))].name
	}
	during := func(f standin.Faults) func() {
		return func() {
			r.store.SetFaults(who, f)
			time.Sleep(pause)
			r.store.SetFaults(who, standin.Faults{})
		}
	}
	switch r.intN(6) {
	case 0:
		return "StoreRefuses", during(standin.Faults{Status: http.StatusServiceUnavailable})
	case 1:
		return "StoreSilent", during(standin.Faults{Unresponsive: true})
	case 2:
		return "StoreSlow", during(standin.Faults{Delay: r.between(50*time.Millisecond, 2*time.Second)})
	case 3:
		return "StoreLosesAnswers", during(standin.Faults{DropWriteResponses: true})
	case 4:
		return "StoreForgetsHistory", r.store.Compact
	}
	return "NewConfiguration", func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.version++
		r.configure(r.version)
	}
}

// targetFault draws a fault of a backend server.
func (r *run) targetFault() (string, func()) {
	s, pause := r.targets[r.intN(len(r.targets))], r.between(50*time.Millisecond, 3*time.Second)
	during := func(change func(t *standin.Target, on bool)) func() {
		return func() {
			s.Update(func(t *standin.Target) { change(t, true) })
			time.Sleep(pause)
			s.Update(func(t *standin.Target) { change(t, false) })
		}
	}
	switch r.intN(6) {
	case 0:
		return "TargetLosesAnswers", during(func(t *standin.Target, on bool) { t.DropResponses = on })
	case 1:
		return "TargetCutsAnswers", during(func(t *standin.Target, on bool) { t.TruncateResponses = on })
	case 2:
		return "TargetSheds", during(func(t *standin.Target, on bool) { t.RefuseRuns = on })
	case 3:
		return "TargetSlow", during(func(t *standin.Target, on bool) {
			t.RunDuration = 50 * time.Millisecond
			if on {
				t.RunDuration = 700 * time.Millisecond
			}
		})
	case 4:
		return "TargetLeaves", func() {
			r.register(s, "draining")
			time.Sleep(pause)
			r.register(s, "ready")
		}
	}
	return "TargetVanishes", func() {
		r.store.Delete("servers/" + s.Name)
		time.Sleep(pause)
		r.register(s, "ready")
	}
}
