package soak

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"briarcroft/platform/standin"
)

// Defaults of the environment variables that TestSoak reads, and limits of its runs.
const (
	defaultHosts   = 3
	defaultTargets = 4
	defaultLength  = 8 * time.Second
	minCallers     = 16
	// stableTime is the time after the last fault from which on time bounds hold, and drainTime how long a draining target may get
	// requests.
	stableTime = 3 * time.Second
	drainTime  = 2 * time.Second
	// maxShown is the largest number of violations that the message of a failed run shows. The trace has all.
	maxShown = 20
)

// regressionSeeds are seeds that have found a fault before, each with its cause.
var regressionSeeds = []uint64{
	1,    // a second SIGTERM aborted the requests in flight; a host ended when it ran out of descriptors
	2,    // a host ended when the reader of its log closed the pipe, and at a SIGHUP after its start and before its end
	41,   // a host whose log was not read did not end in time
	85,   // the response behind one that was broken off was written into its rest
	4005, // a stopping host passed on a request that it could not finish
}

// soakConfig configures soak.
type soakConfig struct {
	// binary returns the program for a start of a host, counted from 0.
	binary func(host, start int) string
	seeds  []uint64
	length time.Duration
	// callers lists the kinds of callers, by their share.
	callers []callerKind
	// leftOut lists the names of the faults that do not occur.
	leftOut []string
}

// soakRun is the run of one seed.
type soakRun struct {
	*fleet
	callers []callerKind
	random  *rand.Rand
	// end is when the faults end.
	end time.Time
	// mu guards random and the fields below.
	mu sync.Mutex
	// requests lists all requests that were sent, which are judged at the end.
	requests []*sentRequest
	// lastRequest is the number in the ID of the newest request.
	lastRequest int
	// version is the newest version of the configuration.
	version int
	// newestServed is the newest version of the configuration that each incarnation of a host has served.
	newestServed map[*incarnation]int
	// faultCounts counts the injected faults by name, and excuses the requests without an answer by the excuse for it.
	faultCounts, excuses map[string]int
	// disturbances lists when faults occurred that may break off responses.
	disturbances []timeSpan
	// only and leftOut select the faults by name: those in only, or all if it is empty, but those in leftOut.
	only, leftOut []string
}

// TestSoak checks the guarantees of the load balancer under random faults, with callers that keep their connections until the
// host closes them. Violations begin with the name of the guarantee:
//   - END: no process ends by itself or later than its time limit allows, all accept connections, and all serve the newest
//     configuration after the faults.
//   - LOST: a request gets a complete response, which may report an error. (*soakRun).excuse lists the exceptions.
//   - MIXED: a response is that of a backend server to this very request, and whole.
//   - TWICE, REFUSED, UNASKED: no unsafe request runs twice, no refused one runs, and none runs with another body.
//   - DENIED: no proper request is rejected as improper.
//   - DRAIN: a draining target gets no requests after its time, once the faults have ended.
//   - CONFIG: no host returns to an older configuration while it runs.
//   - BUDGET: a request that crashes targets is stopped.
//
// It runs the seeds that have found faults before, or those that the environment selects: SOAK_SEED is the first
// seed, SOAK_SEEDS the number of seeds, SOAK_SECONDS the length of each run, SOAK_HOSTS and SOAK_TARGETS the size
// of the fleet and SOAK_CALLERS the number of callers. SOAK_FAULTS lists the names of the faults that occur, separated by
// commas; names after a minus sign do not occur. SOAK_OLD is a commit whose program some hosts run, and SOAK_PLAN which ones
// (releasePlans).
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
	soak(t, soakConfig{binary: binary, seeds: seeds, length: length, callers: allCallers})
}

// faultsOfFormerLanding are the faults in which a host of the former landing loses requests. They are played for this code only.
var faultsOfFormerLanding = []string{
	hangupBurst, hangupAfterStart, hangupBeforeEnd, stopAfterStart, settingsWritten, settingsCut, logClosed, logUnread, fewDescriptors, uploadBurst,
}

// TestSoakOfTwoReleases runs hosts of the former landing and of this code as one fleet, under faults of TestSoak that the former
// landing can handle, for a short time with each plan. Longer ones are run with SOAK_OLD and SOAK_PLAN.
func TestSoakOfTwoReleases(t *testing.T) {
	const formerLanding, seed = "97f216c", 3100
	older, newest := buildBinary(t, checkOut(t, formerLanding)), buildBinary(t, "..")
	for _, name := range slices.Sorted(maps.Keys(releasePlans)) {
		t.Run(name, func(t *testing.T) {
			soak(t, soakConfig{
				binary: mixReleases(older, newest, releasePlans[name]), seeds: []uint64{seed}, length: defaultLength,
				callers: []callerKind{serialCaller}, leftOut: faultsOfFormerLanding,
			})
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
func soak(t *testing.T, c soakConfig) {
	only, leftOut := selectedFaults()
	for _, seed := range c.seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			hosts := intFromEnv(t, "SOAK_HOSTS", defaultHosts)
			r := &soakRun{
				fleet: newFleet(t, c.binary, hosts, intFromEnv(t, "SOAK_TARGETS", defaultTargets)), callers: c.callers,
				random: rand.New(rand.NewPCG(seed, 3)), version: 1, newestServed: map[*incarnation]int{}, faultCounts: map[string]int{},
				excuses: map[string]int{}, only: only, leftOut: append(leftOut, c.leftOut...),
			}
			r.execute(c.length, intFromEnv(t, "SOAK_CALLERS", max(minCallers, hosts)))
			t.Logf("%d requests, faults %v, without an answer %v", len(r.requests), r.faultCounts, r.excuses)
			if len(r.violations) > 0 {
				t.Errorf("%d guarantees violated: %s; the trace and the logs of the hosts are in %s",
					len(r.violations), strings.Join(r.violations[:min(len(r.violations), maxShown)], ";\n\t"), r.keepLogs(seed))
				r.violations = nil
			}
		})
	}
}

// selectedFaults returns the names of the only faults that shall occur, or nil for all, and of those that shall not.
func selectedFaults() (only, leftOut []string) {
	for name := range strings.SplitSeq(os.Getenv("SOAK_FAULTS"), ",") {
		if without, found := strings.CutPrefix(name, "-"); found {
			leftOut = append(leftOut, without)
		} else if name != "" {
			only = append(only, name)
		}
	}
	return only, leftOut
}

// isSelected reports whether a fault shall occur.
func (r *soakRun) isSelected(name string) bool {
	return (len(r.only) == 0 || slices.Contains(r.only, name)) && !slices.Contains(r.leftOut, name)
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

// keepLogs copies the hosts' logs and settings and the trace to a directory that is not removed after the test, and returns its path.
func (r *soakRun) keepLogs(seed uint64) string {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	r.is.NoErr(err)
	r.is.NoErr(os.CopyFS(dir, os.DirFS(r.dir)))
	r.is.NoErr(os.WriteFile(filepath.Join(dir, "trace.txt"), []byte(strings.Join(r.events, "\n")+"\n"), 0o600))
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

// nextID returns a new attempt ID.
func (r *soakRun) nextID(prefix string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastRequest++
	return fmt.Sprintf("%s%d", prefix, r.lastRequest)
}

// recordRequests adds requests to those that are judged at the end.
func (r *soakRun) recordRequests(batch []*sentRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, batch...)
}

// execute runs callers while several goroutines inject faults, which overlap. Then it waits until all hosts have recovered
// and judges the requests.
func (r *soakRun) execute(length time.Duration, callerCount int) {
	r.end = time.Now().Add(length)
	var faults, callers sync.WaitGroup
	for _, randomFault := range []func() (string, func()){
		r.randomHostFault, r.randomHostFault, r.randomProcessFault, r.randomProcessFault, r.randomRelayFault, r.randomRelayFault, r.randomStoreFault, r.randomTargetFault,
	} {
		faults.Go(func() {
			for time.Now().Before(r.end) {
				time.Sleep(r.randomDuration(50*time.Millisecond, time.Second))
				name, inject := randomFault()
				if !r.isSelected(name) {
					continue
				}
				r.countFault(name)
				inject()
			}
		})
	}
	ctx, stopCallers := context.WithCancel(context.Background())
	defer stopCallers()
	for range callerCount {
		callers.Go(func() { r.runCaller(ctx) })
	}
	faults.Wait()
	r.waitForRecovery()
	r.checkDraining()
	stopCallers()
	callers.Wait()
	time.Sleep(longDuration + time.Second) // longer than any run that is still in flight
	r.judgeRequests()
	for _, p := range r.hosts {
		r.checkMemory(p.current())
	}
	r.checkCrashes(time.Since(r.end) + length)
}

// checkDraining checks that a target that has registered as draining gets no request later than drainTime after that, while
// there are no faults.
func (r *soakRun) checkDraining() {
	time.Sleep(stableTime)
	s := r.targets[r.intN(len(r.targets))]
	r.register(s, "draining")
	limit := time.Now().Add(drainTime)
	time.Sleep(drainTime + time.Second)
	s.Update(func(t *standin.Target) {
		for _, arrival := range t.ArrivalLog {
			if arrival.At.After(limit) {
				r.reportViolation("DRAIN: request %s reached %s %v after it has registered as draining", arrival.AttemptID, s.Name, drainTime+arrival.At.Sub(limit))
			}
		}
	})
	r.register(s, "ready")
}

// countFault counts a fault and adds it to the trace.
func (r *soakRun) countFault(name string) {
	r.trace("%s", name)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faultCounts[name]++
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
			r.reportViolation("END: %s does not serve %s of the newest configuration after the faults have ended", p.name, path)
		}
	}
}

// checkNoRollback checks that a host does not return to an older configuration while its process is running.
func (r *soakRun) checkNoRollback(in *incarnation) {
	r.mu.Lock()
	version, served := r.version, r.newestServed[in]
	r.mu.Unlock()
	if version == 1 || in.host.isDisrupted() {
		return
	}
	got := r.call(in.host, http.MethodGet, fmt.Sprintf("/v%d/1", version), r.nextID("back"))
	if in.host.current() != in {
		return
	}
	if got.status == http.StatusNotFound && served >= version {
		r.reportViolation("CONFIG: %s no longer serves configuration %d, which it has served before", in.host.name, version)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if got.status == http.StatusOK {
		r.newestServed[in] = max(r.newestServed[in], version)
	}
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
			defer r.disturb()()
			proxy.setMode(m)
			time.Sleep(duration)
			proxy.setMode(relayMode{})
		}
	}
	switch r.intN(7) {
	case 0:
		return "ConnectionsReset", func() {
			defer r.disturb()()
			proxy.resetConnections()
		}
	case 1:
		return "ConnectionsBlackholed", func() {
			defer r.disturb()()
			proxy.blackhole()
			time.Sleep(duration)
		}
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
	return "NewConfiguration", r.publishConfiguration
}

// publishConfiguration writes the next version of the configuration.
func (r *soakRun) publishConfiguration() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	r.writeConfiguration(r.version)
}

// sendCrashingRequest sends the request that crashes targets several times, each time with another query.
func (r *soakRun) sendCrashingRequest() {
	for i := range 6 {
		p := r.hosts[r.intN(len(r.hosts))]
		if !p.isDisrupted() {
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
		r.reportViolation("BUDGET: a request that crashes targets ran %d times on %d hosts", crashes, len(r.hosts))
	}
}

// randomTargetFault chooses a fault of a backend server, or makes it drain or lose its registration for a while.
func (r *soakRun) randomTargetFault() (string, func()) {
	s, duration := r.targets[r.intN(len(r.targets))], r.randomDuration(50*time.Millisecond, 3*time.Second)
	temporarily := func(change func(t *standin.Target, on bool)) func() {
		return func() {
			defer r.disturb()()
			s.Update(func(t *standin.Target) { change(t, true) })
			time.Sleep(duration)
			s.Update(func(t *standin.Target) { change(t, false) })
		}
	}
	switch r.intN(11) {
	case 8:
		return "TargetRepeatsResponses", temporarily(func(t *standin.Target, on bool) { t.RepeatResponses = on })
	case 9:
		return "TargetCutsHeads", temporarily(func(t *standin.Target, on bool) { t.CutHeads = on })
	case 10:
		return "TargetHangs", func() {
			defer r.disturb()()
			s.Silence(duration)
			time.Sleep(duration)
		}
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
