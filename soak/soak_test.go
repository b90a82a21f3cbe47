package soak

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"briarcroft/platform/standin"
)

// Defaults of the environment variables that TestSoak reads, and the number of concurrent callers.
const (
	defaultHosts   = 3
	defaultTargets = 4
	defaultLength  = 8 * time.Second
	defaultCallers = 8
)

// regressionSeeds are seeds that have found a fault before, each with its cause.
var regressionSeeds = []uint64{
	1, // a second SIGTERM aborted the requests in flight
}

// soakRun is the run of one seed.
type soakRun struct {
	*fleet
	random *rand.Rand
	// mu guards random and the fields below.
	mu sync.Mutex
	// requests lists all requests that were sent, whose run counts are checked at the end.
	requests []request
	// lastRequest is the number in the ID of the newest request.
	lastRequest int
	// version is the newest version of the configuration.
	version int
	// newestServed is the newest version of the configuration that each incarnation of a host has served.
	newestServed map[string]int
	// violations lists the violated guarantees.
	violations []string
	// faultCounts counts the injected faults by name.
	faultCounts map[string]int
}

// request is one request that was sent.
type request struct {
	id string
	// unsafe is set for a request that must not run more than once.
	unsafe bool
	// refused is set if the response stated that the request was not run.
	refused bool
}

// TestSoak checks the guarantees of the load balancer under random faults: no request that must run at most once runs
// twice, refused requests do not run, every request gets a complete response, which may report an error, no host returns
// to an older configuration while it runs, every host serves the newest one after the faults, and a request that crashes
// targets is stopped. A request may get no response if its host was killed or paused meanwhile, or if its host was stopping
// and the request did not run.
//
// It runs the seeds that have found faults before, or those that the environment selects: SOAK_SEED is the first
// seed, SOAK_SEEDS the number of seeds, SOAK_SECONDS the length of each run, and SOAK_HOSTS and SOAK_TARGETS the size
// of the fleet. SOAK_OLD is a commit whose program some hosts run, and SOAK_PLAN which ones (releasePlans).
func TestSoak(t *testing.T) {
	seeds := regressionSeeds
	if first := intFromEnv(t, "SOAK_SEED", 0); first > 0 {
		seeds = nil
		for i := range intFromEnv(t, "SOAK_SEEDS", 1) {
			seeds = append(seeds, uint64(first+i))
		}
	}
	length := time.Duration(intFromEnv(t, "SOAK_SECONDS", int(defaultLength/time.Second))) * time.Second
	newest := buildBinary(t, "..")
	binary := func(int, int) string { return newest }
	if commit := os.Getenv("SOAK_OLD"); commit != "" {
		plan := releasePlans[cmp.Or(os.Getenv("SOAK_PLAN"), "upgrade")]
		if plan == nil {
			t.Fatalf("SOAK_PLAN=%q is not valid; set it to one of %v", os.Getenv("SOAK_PLAN"), slices.Sorted(maps.Keys(releasePlans)))
		}
		binary = mixReleases(buildBinary(t, checkOut(t, commit)), newest, plan)
	}
	soak(t, binary, seeds, length)
}

// TestSoakOfTwoReleases runs hosts of the former landing and of this code as one fleet, under the faults of TestSoak, for a short time with
// each plan. Longer ones are run with SOAK_OLD and SOAK_PLAN.
func TestSoakOfTwoReleases(t *testing.T) {
	const formerLanding, seed = "97f216c", 3100
	older, newest := buildBinary(t, checkOut(t, formerLanding)), buildBinary(t, "..")
	for _, name := range slices.Sorted(maps.Keys(releasePlans)) {
		t.Run(name, func(t *testing.T) {
			soak(t, mixReleases(older, newest, releasePlans[name]), []uint64{seed}, defaultLength)
		})
	}
}

// mixReleases returns the function fleet.binary for a plan.
func mixReleases(older, newest string, plan func(host, start int) bool) func(host, start int) string {
	return func(host, start int) string {
		if plan(host, start) {
			return older
		}
		return newest
	}
}

// soak runs the fleet under faults with each seed and reports the guarantees that were violated.
func soak(t *testing.T, binary func(host, start int) string, seeds []uint64, length time.Duration) {
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			r := &soakRun{
				fleet:  newFleet(t, binary, intFromEnv(t, "SOAK_HOSTS", defaultHosts), intFromEnv(t, "SOAK_TARGETS", defaultTargets)),
				random: rand.New(rand.NewPCG(seed, 3)), version: 1, newestServed: map[string]int{}, faultCounts: map[string]int{},
			}
			r.execute(length)
			t.Logf("%d requests, faults %v", len(r.requests), r.faultCounts)
			if len(r.violations) > 0 {
				t.Errorf("%d guarantees violated: %s; the logs of the hosts are in %s", len(r.violations), strings.Join(r.violations, "; "), r.keepLogs(seed))
			}
		})
	}
}

// intFromEnv returns the whole number in an environment variable, or defaultValue if it is not set.
func intFromEnv(t *testing.T, name string, defaultValue int) int {
	value := os.Getenv(name)
	if value == "" {
		return defaultValue
	}
	n, err := strconv.Atoi(value)
	if err != nil {
		t.Fatalf("%s=%q is not valid; set it to a whole number", name, value)
	}
	return n
}

// keepLogs copies the hosts' logs and settings to a directory that is not removed after the test, and returns its path.
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

// execute sends requests from several callers while several goroutines inject faults, which overlap. Then it waits
// until all hosts have recovered and checks the run counts.
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
	r.waitForRecovery()
	close(stop)
	callers.Wait()
	time.Sleep(2 * time.Second) // longer than any run that is still in flight
	r.checkRunCounts()
	r.checkCrashes(time.Since(end) + length)
}

// waitForRecovery waits until every host serves a route of the newest configuration.
func (r *soakRun) waitForRecovery() {
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
			r.reportViolation("%s does not serve %s of the newest configuration after the faults have ended", p.name, path)
		}
	}
}

// state returns the number of starts of the process and whether it is disrupted or stopping.
func (p *process) state() (starts int, disrupted, stopping bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts, p.disrupted, p.stopping
}

// sendRequest sends one random request to a random host that is not disrupted, checks the response and records the
// request.
func (r *soakRun) sendRequest() {
	p, unsafe := r.hosts[r.intN(len(r.hosts))], r.intN(2) == 0
	starts, disrupted, stopping := p.state()
	if disrupted {
		time.Sleep(5 * time.Millisecond)
		return
	}
	r.mu.Lock()
	r.lastRequest++
	id, version := fmt.Sprintf("q%d", r.lastRequest), r.version
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
		// The host closed the connection while the request was on its way, or had ended already.
	case got.err != nil:
		r.reportViolation("%s did not answer %s completely, which ran %d times: %v", p.name, id, r.runCount(id), got.err)
	case got.status == http.StatusNotFound:
		r.reportViolation("%s answered %s with status 404 although every configuration has its route", p.name, id)
	case got.status == http.StatusOK && (got.body != "answer to "+id || got.seal != "seal."+id):
		r.reportViolation("%s answered %s with the wrong body %q or seal", p.name, id, got.body)
	}
	if r.intN(10) == 0 && version > 1 {
		r.checkNoRollback(p, starts, version)
	}
}

// checkNoRollback checks that a host does not return to an older configuration while its process is running.
func (r *soakRun) checkNoRollback(p *process, starts, version int) {
	r.mu.Lock()
	r.lastRequest++
	id, incarnation := fmt.Sprintf("back%d", r.lastRequest), fmt.Sprintf("%s/%d", p.name, starts)
	served := r.newestServed[incarnation]
	r.mu.Unlock()
	got := r.call(p, http.MethodGet, fmt.Sprintf("/v%d/1", version), id)
	if after, _, _ := p.state(); after != starts {
		return
	}
	if got.status == http.StatusNotFound && served >= version {
		r.reportViolation("%s no longer serves configuration %d, which it has served before", p.name, version)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if got.status == http.StatusOK {
		r.newestServed[incarnation] = max(r.newestServed[incarnation], version)
	}
}

// checkRunCounts checks how many times each request ran, which is only certain once all runs have ended.
func (r *soakRun) checkRunCounts() {
	for _, sent := range r.requests {
		runs := r.runCount(sent.id)
		if sent.unsafe && runs > 1 {
			r.reportViolation("unsafe request %s ran %d times", sent.id, runs)
		}
		if sent.refused && runs > 0 {
			r.reportViolation("request %s was refused as not run but ran %d times", sent.id, runs)
		}
	}
}

// randomHostFault chooses a fault of a host's process. It returns the fault's name in the test log and a function
// that injects the fault and ends it.
func (r *soakRun) randomHostFault() (string, func()) {
	p := r.hosts[r.intN(len(r.hosts))]
	duration := r.randomDuration(10*time.Millisecond, 2*time.Second)
	switch r.intN(4) {
	case 0:
		return "HostKilled", func() { r.restart(p, duration, syscall.SIGKILL) }
	case 1:
		return "HostStopped", func() { r.restart(p, duration, syscall.SIGTERM) }
	case 2:
		return "HostPaused", func() { r.pauseProcess(p, duration) }
	}
	return "HostReloaded", func() { r.sendSignal(p, syscall.SIGHUP) }
}

// sendSignal sends a signal to a host's current process.
func (r *soakRun) sendSignal(p *process, s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.signal(p, s)
}

// beginFault marks a process as disrupted or else as stopping. It returns false if the process is one of the two
// already.
func (p *process) beginFault(disrupted bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.disrupted || p.stopping {
		return false
	}
	p.disrupted, p.stopping = disrupted, !disrupted
	return true
}

// restart ends a host's process with a signal and starts it again after downtime. The signal is sent twice and
// followed by SIGHUP: neither may abort the requests in flight of a host that is stopping gracefully.
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
		r.reportViolation("%s did not end within %v after the signal %v", p.name, waitTimeout, s)
		return
	}
	time.Sleep(downtime)
	r.startProcess(p)
	r.waitReady(p)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disrupted, p.stopping = false, false
}

// pauseProcess suspends a host's process for a duration.
func (r *soakRun) pauseProcess(p *process, duration time.Duration) {
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

// randomRelayFault chooses a network fault of the relay before a host, a backend server or the store, as
// randomHostFault does.
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
		return "ConnectionsReset", proxy.resetConnections
	case 1:
		return "ConnectionsBlackholed", proxy.blackhole
	case 2:
		return "NetworkSlow", temporarily(relayMode{delay: r.randomDuration(5*time.Millisecond, 200*time.Millisecond)})
	case 3:
		return "NetworkBlocked", temporarily(relayMode{blockToServer: true, blockToClient: true})
	case 4:
		return "NetworkBlockedToServer", temporarily(relayMode{blockToServer: true})
	case 5:
		return "NetworkBlockedToClient", temporarily(relayMode{blockToClient: true})
	}
	return "ConnectionsRefused", temporarily(relayMode{refuseConnections: true})
}

// randomStoreFault chooses a fault of the store, for one host or for all, or writes a new configuration, as an
// operator would.
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
		return "StoreUnresponsive", temporarily(standin.Faults{Unresponsive: true})
	case 2:
		return "StoreSlow", temporarily(standin.Faults{Delay: r.randomDuration(50*time.Millisecond, 2*time.Second)})
	case 3:
		return "StoreDropsResponses", temporarily(standin.Faults{DropWriteResponses: true})
	case 4:
		return "StoreCompacted", r.store.Compact
	}
	return "NewConfiguration", func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.version++
		r.writeConfiguration(r.version)
	}
}

// sendCrashingRequest sends the request that crashes targets several times, each time with another query.
func (r *soakRun) sendCrashingRequest() {
	for i := range 6 {
		p := r.hosts[r.intN(len(r.hosts))]
		if _, disrupted, _ := p.state(); !disrupted {
			// Any response is allowed, and none.
			_ = r.call(p, http.MethodGet, fmt.Sprintf("%s?page=%d", crashPath, i), fmt.Sprintf("crash%d", i))
		}
		time.Sleep(r.randomDuration(time.Millisecond, 200*time.Millisecond))
	}
}

// checkCrashes checks that the request that crashes targets was stopped. Each host may let it crash three targets, while it
// reaches no other one, and one more after each quarantine, the first two of which last 10 s and two minutes.
func (r *soakRun) checkCrashes(length time.Duration) {
	const crashesToQuarantine, firstQuarantine = 3, 10 * time.Second
	allowed := crashesToQuarantine
	if length > firstQuarantine {
		allowed += 2
	}
	crashes := 0
	for _, s := range r.targets {
		s.Update(func(t *standin.Target) { crashes += len(t.Crashes) })
	}
	if crashes > allowed*len(r.hosts) {
		r.reportViolation("a request that crashes targets ran %d times on %d hosts", crashes, len(r.hosts))
	}
}

// randomTargetFault chooses a fault of a backend server, or makes it drain or lose its registration for a while.
func (r *soakRun) randomTargetFault() (string, func()) {
	s, duration := r.targets[r.intN(len(r.targets))], r.randomDuration(50*time.Millisecond, 3*time.Second)
	temporarily := func(change func(t *standin.Target, on bool)) func() {
		return func() {
			s.Update(func(t *standin.Target) { change(t, true) })
			time.Sleep(duration)
			s.Update(func(t *standin.Target) { change(t, false) })
		}
	}
	switch r.intN(8) {
	case 0:
		return "TargetDropsResponses", temporarily(func(t *standin.Target, on bool) { t.DropResponses = on })
	case 1:
		return "TargetTruncatesResponses", temporarily(func(t *standin.Target, on bool) { t.TruncateResponses = on })
	case 2:
		return "TargetRefusesRuns", temporarily(func(t *standin.Target, on bool) { t.RefuseRuns = on })
	case 3:
		return "TargetSlow", temporarily(func(t *standin.Target, on bool) {
			t.RunDuration = 50 * time.Millisecond
			if on {
				t.RunDuration = 700 * time.Millisecond
			}
		})
	case 4:
		return "TargetDraining", func() {
			r.register(s, "draining")
			time.Sleep(duration)
			r.register(s, "ready")
		}
	case 5:
		return "TargetNamesRateLimit", temporarily(func(t *standin.Target, on bool) {
			t.RateLimit = 0
			if on {
				t.RateLimit = 2
			}
		})
	case 6:
		return "CrashingRequest", r.sendCrashingRequest
	}
	return "TargetDeregistered", func() {
		r.store.Delete("servers/" + s.Name)
		time.Sleep(duration)
		r.register(s, "ready")
	}
}
