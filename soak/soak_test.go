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

// regressionSeeds are seeds that once broke a promise, each with its cause.
var regressionSeeds = []uint64{
	1, // a second SIGTERM cut what was under way
}

// soakRun is one seed under way.
type soakRun struct {
	*fleet
	random *rand.Rand
	mu     sync.Mutex
	// requests holds all requests, to be judged once everything has ended.
	requests     []request
	requestCount int
	version      int
	// newestServed is the newest configuration that each incarnation of a host served.
	newestServed map[string]int
	violations   []string
	faultCounts  map[string]int
}

// request is one request and what its caller was told.
type request struct {
	id      string
	unsafe  bool
	refused bool
}

// TestSoak plays the seeds that once failed, or those that the environment asks for: SOAK_SEED is the first, SOAK_SEEDS how
// many, SOAK_SECONDS the length of each, and SOAK_HOSTS and SOAK_TARGETS the size of the fleet.
func TestSoak(t *testing.T) {
	seeds := regressionSeeds
	if first := intFromEnv(t, "SOAK_SEED", 0); first > 0 {
		seeds = nil
		for i := range intFromEnv(t, "SOAK_SEEDS", 1) {
			seeds = append(seeds, uint64(first+i))
		}
	}
	length := time.Duration(intFromEnv(t, "SOAK_SECONDS", int(defaultLength/time.Second))) * time.Second
	binary := buildBinary(t)
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			r := &soakRun{
				fleet:  newFleet(t, binary, intFromEnv(t, "SOAK_HOSTS", defaultHosts), intFromEnv(t, "SOAK_TARGETS", defaultTargets)),
				random: rand.New(rand.NewPCG(seed, 3)), version: 1, newestServed: map[string]int{}, faultCounts: map[string]int{},
			}
			r.execute(length)
			t.Logf("%d requests, faults %v", len(r.requests), r.faultCounts)
			if len(r.violations) > 0 {
				t.Errorf("%d promises broken: %s; logs of the hosts are in %s", len(r.violations), strings.Join(r.violations, "; "), r.keepLogs(seed))
			}
		})
	}
}

// intFromEnv reads a number from the environment.
func intFromEnv(t *testing.T, name string, defaultValue int) int {
	value := os.Getenv(name)
	if value == "" {
		return defaultValue
	}
	n, err := strconv.Atoi(value)
	if err != nil {
		t.Fatalf("%s=%q: write a number", name, value)
	}
	return n
}

// keepLogs copies the hosts' logs and settings to where they outlive the test.
func (r *soakRun) keepLogs(seed uint64) string {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	r.is.NoErr(err)
	r.is.NoErr(os.CopyFS(dir, os.DirFS(r.dir)))
	return dir
}

func (r *soakRun) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

func (r *soakRun) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(r.intN(int(high-low)))
}

func (r *soakRun) reportViolation(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, arguments...))
}

// execute sends requests while several series of faults overlap, waits for order and judges.
func (r *soakRun) execute(length time.Duration) {
	end := time.Now().Add(length)
	var faults, callers sync.WaitGroup
	for _, randomFault := range []func() (string, func()){r.randomHostFault, r.randomHostFault, r.randomRelayFault, r.randomRelayFault, r.randomStoreFault, r.randomTargetFault} {
		faults.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(r.randomDuration(50*time.Millisecond, time.Second))
				name, inject := randomFault()
				r.mu.Lock()
				r.faultCounts[name]++
				r.mu.Unlock()
				inject()
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
					r.sendRequest()
				}
			}
		})
	}
	faults.Wait()
	r.awaitRecovery()
	close(stop)
	callers.Wait()
	time.Sleep(2 * time.Second) // longer than any run that is still under way
	r.checkRunCounts()
}

// awaitRecovery waits until every host serves again, under the newest configuration.
func (r *soakRun) awaitRecovery() {
	path := fmt.Sprintf("/v%d/1", r.version)
	if r.version == 1 {
		path = "/lookup/1"
	}
	for _, p := range r.hosts {
		start, served := time.Now(), false
		for n := 0; !served && time.Since(start) < waitTimeout; n++ {
			served = r.call(p, http.MethodGet, path, fmt.Sprintf("order-%s-%d", p.name, n)).status == http.StatusOK
			time.Sleep(50 * time.Millisecond)
		}
		if !served {
			r.reportViolation("%s does not serve %s, of the newest configuration, after the faults", p.name, path)
		}
	}
}

// state returns a host's incarnation and whether something ails its process.
func (p *process) state() (starts int, disrupted, stopping bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts, p.disrupted, p.stopping
}

// sendRequest sends one request and checks at once what can be told at once.
func (r *soakRun) sendRequest() {
	p, unsafe := r.hosts[r.intN(len(r.hosts))], r.intN(2) == 0
	starts, disrupted, stopping := p.state()
	if disrupted {
		time.Sleep(5 * time.Millisecond)
		return
	}
	r.mu.Lock()
	r.requestCount++
	id, version := fmt.Sprintf("q%d", r.requestCount), r.version
	r.mu.Unlock()
	method, path := http.MethodGet, "/lookup/1"
	if unsafe {
		method, path = http.MethodPost, "/order/1"
	}
	got := r.call(p, method, path, id)
	startsAfter, disruptedAfter, stoppingAfter := p.state()
	refused := got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests
	r.mu.Lock()
	r.requests = append(r.requests, request{id, unsafe, refused})
	r.mu.Unlock()
	switch {
	case got.err != nil && (disruptedAfter || startsAfter != starts):
	case got.err != nil && (stopping || stoppingAfter) && r.runCount(id) == 0:
		// The request crossed the close, or came after the end.
	case got.err != nil:
		r.reportViolation("%s cut %s, which ran %d times: %v", p.name, id, r.runCount(id), got.err)
	case got.status == http.StatusNotFound:
		r.reportViolation("%s denied %s, which every configuration allows", p.name, id)
	case got.status == http.StatusOK && (got.body != "answer to "+id || got.seal != "seal."+id):
		r.reportViolation("%s answered %s with %q", p.name, id, got.body)
	}
	if r.intN(10) == 0 && version > 1 {
		r.checkNoRollback(p, starts, version)
	}
}

// checkNoRollback checks that an incarnation of a host serves no older configuration than before.
func (r *soakRun) checkNoRollback(p *process, starts, version int) {
	r.mu.Lock()
	r.requestCount++
	id, incarnation := fmt.Sprintf("back%d", r.requestCount), fmt.Sprintf("%s/%d", p.name, starts)
	served := r.newestServed[incarnation]
	r.mu.Unlock()
	got := r.call(p, http.MethodGet, fmt.Sprintf("/v%d/1", version), id)
	if after, _, _ := p.state(); after != starts {
		return
	}
	if got.status == http.StatusNotFound && served >= version {
		r.reportViolation("%s went back from configuration %d", p.name, version)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if got.status == http.StatusOK {
		r.newestServed[incarnation] = max(r.newestServed[incarnation], version)
	}
}

// checkRunCounts checks what only shows at the end: how often each request ran.
func (r *soakRun) checkRunCounts() {
	for _, sent := range r.requests {
		runs := r.runCount(sent.id)
		if sent.unsafe && runs > 1 {
			r.reportViolation("unsafe request %s ran %d times", sent.id, runs)
		}
		if sent.refused && runs > 0 {
			r.reportViolation("request %s was refused as not run and ran %d times", sent.id, runs)
		}
	}
}

// randomHostFault draws a fault of a host's process.
func (r *soakRun) randomHostFault() (string, func()) {
	p := r.hosts[r.intN(len(r.hosts))]
	duration := r.randomDuration(10*time.Millisecond, 2*time.Second)
	switch r.intN(4) {
	case 0:
		return "HostKilled", func() { r.restart(p, duration, syscall.SIGKILL) }
	case 1:
		return "HostStopped", func() { r.restart(p, duration, syscall.SIGTERM) }
	case 2:
		return "HostPaused", func() { r.duration(p, duration) }
	}
	return "HostTold", func() { r.sendSignal(p, syscall.SIGHUP) }
}

// sendSignal sends a signal to a host's present process.
func (r *soakRun) sendSignal(p *process, s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.signal(p, s)
}

// beginFault marks a host as troubled or stopping and reports whether it was neither.
func (p *process) beginFault(disrupted bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.disrupted || p.stopping {
		return false
	}
	p.disrupted, p.stopping = disrupted, !disrupted
	return true
}

// restart ends a host by a signal, which comes twice, and starts it again after a while.
func (r *soakRun) restart(p *process, downtime time.Duration, s syscall.Signal) {
	if !p.beginFault(s == syscall.SIGKILL) {
		return
	}
	r.sendSignal(p, s)
	time.Sleep(r.randomDuration(time.Millisecond, 300*time.Millisecond))
	r.sendSignal(p, s)
	r.sendSignal(p, syscall.SIGHUP)
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		r.reportViolation("%s did not end within %v of %v", p.name, waitTimeout, s)
		return
	}
	time.Sleep(downtime)
	r.start(p)
	r.awaitReady(p)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disrupted, p.stopping = false, false
}

// duration stops a host's process for a while.
func (r *soakRun) duration(p *process, duration time.Duration) {
	if !p.beginFault(true) {
		return
	}
	r.sendSignal(p, syscall.SIGSTOP)
	time.Sleep(duration)
	r.sendSignal(p, syscall.SIGCONT)
	time.Sleep(time.Second)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disrupted = false
}

// randomRelayFault draws a fault of the lines to a host, a server or the store.
func (r *soakRun) randomRelayFault() (string, func()) {
	var relays []*relay
	for _, p := range r.hosts {
		relays = append(relays, p.peerRelay, p.storeRelay)
	}
	for _, s := range r.targets {
		relays = append(relays, s.relay)
	}
	proxy, duration := relays[r.intN(len(relays))], r.randomDuration(50*time.Millisecond, 3*time.Second)
	temporarily := func(m relayMode) func() {
		return func() {
			proxy.setMode(m)
			time.Sleep(duration)
			proxy.setMode(relayMode{})
		}
	}
	switch r.intN(7) {
	case 0:
		return "LineReset", proxy.resetConnections
	case 1:
		return "LineSilenced", proxy.blackhole
	case 2:
		return "LineSlow", temporarily(relayMode{delay: r.randomDuration(5*time.Millisecond, 200*time.Millisecond)})
	case 3:
		return "LineCut", temporarily(relayMode{blockToServer: true, blockToClient: true})
	case 4:
		return "LineCutForward", temporarily(relayMode{blockToServer: true})
	case 5:
		return "LineCutBack", temporarily(relayMode{blockToClient: true})
	}
	return "LineRefuses", temporarily(relayMode{refuseConnections: true})
}

// randomStoreFault draws a fault of the store, or a change that the operator makes there.
func (r *soakRun) randomStoreFault() (string, func()) {
	host, duration := "", r.randomDuration(50*time.Millisecond, 3*time.Second)
	if r.intN(2) == 0 {
		host = r.hosts[r.intN(len(r.hosts))].name
	}
	temporarily := func(f standin.Faults) func() {
		return func() {
			r.store.SetFaults(host, f)
			time.Sleep(duration)
			r.store.SetFaults(host, standin.Faults{})
		}
	}
	switch r.intN(6) {
	case 0:
		return "StoreRefuses", temporarily(standin.Faults{Status: http.StatusServiceUnavailable})
	case 1:
		return "StoreSilent", temporarily(standin.Faults{Unresponsive: true})
	case 2:
		return "StoreSlow", temporarily(standin.Faults{Delay: r.randomDuration(50*time.Millisecond, 2*time.Second)})
	case 3:
		return "StoreLosesAnswers", temporarily(standin.Faults{DropWriteResponses: true})
	case 4:
		return "StoreForgetsHistory", r.store.Compact
	}
	return "NewConfiguration", func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.version++
		r.writeConfiguration(r.version)
	}
}

// randomTargetFault draws a fault of a backend server.
func (r *soakRun) randomTargetFault() (string, func()) {
	s, duration := r.targets[r.intN(len(r.targets))], r.randomDuration(50*time.Millisecond, 3*time.Second)
	temporarily := func(change func(t *standin.Target, on bool)) func() {
		return func() {
			s.Update(func(t *standin.Target) { change(t, true) })
			time.Sleep(duration)
			s.Update(func(t *standin.Target) { change(t, false) })
		}
	}
	switch r.intN(6) {
	case 0:
		return "TargetLosesAnswers", temporarily(func(t *standin.Target, on bool) { t.DropResponses = on })
	case 1:
		return "TargetCutsAnswers", temporarily(func(t *standin.Target, on bool) { t.TruncateResponses = on })
	case 2:
		return "TargetSheds", temporarily(func(t *standin.Target, on bool) { t.RefuseRuns = on })
	case 3:
		return "TargetSlow", temporarily(func(t *standin.Target, on bool) {
			t.RunDuration = 50 * time.Millisecond
			if on {
				t.RunDuration = 700 * time.Millisecond
			}
		})
	case 4:
		return "TargetLeaves", func() {
			r.register(s, "draining")
			time.Sleep(duration)
			r.register(s, "ready")
		}
	}
	return "TargetVanishes", func() {
		r.store.Delete("servers/" + s.Name)
		time.Sleep(duration)
		r.register(s, "ready")
	}
}
