package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"briarcroft/platform/standin"

	"pgregory.net/rapid"
)

// Time limits of the guarantees, from the requirements of the platform.
const (
	// callTimeLimit is the deadline of the rules; callTimeSlack is added for the network between caller and host.
	callTimeLimit = time.Second
	callTimeSlack = 100 * time.Millisecond
	// drainTimeLimit is how long a target may still get new requests after it has registered as draining.
	drainTimeLimit = 2500 * time.Millisecond
	// inForceTimeLimit is how long a configuration may take to be in force on every host after it was written.
	inForceTimeLimit = 2500 * time.Millisecond
	// recoveryTime is how long after the last fault every host must serve the newest configuration again.
	recoveryTime = 6 * time.Second
	scenarioTime = 8 * time.Second
)

// fault is one fault of a scenario. It affects the host or target at Index, modulo their number, for Duration from Start.
type fault struct {
	Kind            string
	Index           int
	Start, Duration time.Duration
}

// scenario is the size of a fleet, the seed of its requests, and the faults to inject.
type scenario struct {
	Hosts, Targets int
	Seed           uint64
	Faults         []fault
}

// Kinds of fault, by what they affect.
var (
	hostFaults   = []string{"HostKilled", "HostStopped", "HostsParted", "HostsSilentOneWay"}
	targetFaults = []string{"TargetLosesAnswers", "TargetCutsAnswers", "TargetSheds", "TargetSlow", "TargetLeaves"}
	storeFaults  = []string{"StoreRefuses", "StoreSilent", "StoreSlow", "StoreForgetsHistory", "StoreRefusesOne"}
)

// scenarios generates fleets of a few hosts and targets with up to six faults, which may overlap.
func scenarios() *rapid.Generator[scenario] {
	return rapid.Custom(func(t *rapid.T) scenario {
		kinds := append(append(append([]string{}, hostFaults...), targetFaults...), storeFaults...)
		s := scenario{Hosts: rapid.IntRange(2, 5).Draw(t, "hosts"), Targets: rapid.IntRange(3, 5).Draw(t, "targets"), Seed: rapid.Uint64().Draw(t, "seed")}
		for range rapid.IntRange(0, 6).Draw(t, "faults") {
			s.Faults = append(s.Faults, fault{
				Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), Index: rapid.IntRange(0, 4).Draw(t, "index"),
				Start:    time.Duration(rapid.IntRange(0, 5000).Draw(t, "start")) * time.Millisecond,
				Duration: time.Duration(rapid.IntRange(200, 3000).Draw(t, "duration")) * time.Millisecond,
			})
		}
		return s
	})
}

// has reports whether the scenario has a fault of one of the kinds.
func (s scenario) has(kinds ...string) bool {
	for _, f := range s.Faults {
		for _, kind := range kinds {
			if f.Kind == kind {
				return true
			}
		}
	}
	return false
}

// scenarioRun runs a scenario against a fleet and collects violations of the guarantees.
type scenarioRun struct {
	*fleet
	scenario scenario
	mu       sync.Mutex
	// down holds the hosts that are not running or have just been started.
	down map[string]bool
	// restarts counts how often each host was killed or stopped, to tell its incarnations apart.
	restarts map[string]int
	// newestServed is the newest configuration version that each incarnation of a host has served, by host and number of
	// restarts.
	newestServed map[string]int
	// version is the newest configuration that was written.
	version     int
	lastRequest int
	violations  []string
}

// TestGuaranteesUnderFaults checks the load balancer's guarantees under generated combinations of faults: an unsafe
// request runs at most once, a refused one never; responses are complete, belong to their request and arrive by the
// deadline; a graceful stop interrupts no request; a draining target gets no new requests; a configuration takes effect
// in time and is never replaced by an older one; and all hosts serve requests again soon after the last fault.
func TestGuaranteesUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := scenarios().Draw(rt, "scenario")
		var violations []string
		withFleet(t, s.Hosts, s.Targets, func(f *fleet) {
			r := &scenarioRun{fleet: f, scenario: s, down: map[string]bool{}, restarts: map[string]int{}, newestServed: map[string]int{}, version: 1}
			r.run()
			violations = r.violations
		})
		if len(violations) > 0 {
			rt.Fatalf("%d violations of the guarantees: %v", len(violations), violations)
		}
	})
}

func (x *scenarioRun) reportViolation(format string, arguments ...any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.violations = append(x.violations, fmt.Sprintf(format, arguments...))
}

// run sends requests while the faults are injected, and at the end checks that all hosts have recovered.
func (x *scenarioRun) run() {
	var group sync.WaitGroup
	for _, f := range x.scenario.Faults {
		group.Go(func() {
			time.Sleep(f.Start)
			x.inject(f)
		})
	}
	group.Go(x.publishConfigurations)
	random := rand.New(rand.NewPCG(x.scenario.Seed, 1))
	for began := time.Now(); time.Since(began) < scenarioTime; {
		host, unsafe := fmt.Sprintf("h%d", random.IntN(x.scenario.Hosts)), random.IntN(2) == 0
		group.Go(func() { x.sendRequest(host, unsafe) })
		time.Sleep(time.Duration(20+random.IntN(60)) * time.Millisecond)
	}
	group.Wait()
	time.Sleep(recoveryTime)
	for i := range x.scenario.Hosts {
		host := fmt.Sprintf("h%d", i)
		if r := x.call(host, http.MethodGet, "/lookup/1", "after-"+host); r.err != nil || r.status != 200 {
			x.reportViolation("%s does not serve after the faults: status %d, error %v", host, r.status, r.err)
		}
		if r := x.call(host, http.MethodGet, fmt.Sprintf("/v%d/1", x.version), "newest-"+host); r.status != 200 {
			x.reportViolation("%s does not serve the newest configuration after the faults: status %d", host, r.status)
		}
	}
}

// publishConfigurations writes configurations, each with one more rule, during the scenario. Without faults of the
// store or of hosts, each must take effect on all hosts within inForceTimeLimit.
func (x *scenarioRun) publishConfigurations() {
	rules := []rule{safeRule("lookup", "/lookup/"), unsafeRule("order", "/order/")}
	for version := 2; version <= 5; version++ {
		time.Sleep(scenarioTime / 6)
		rules = append(rules, safeRule(fmt.Sprintf("v%d", version), fmt.Sprintf("/v%d/", version)))
		x.configure(version, rules...)
		x.mu.Lock()
		x.version = version
		x.mu.Unlock()
		if x.scenario.has(storeFaults...) || x.scenario.has(hostFaults...) {
			continue
		}
		time.Sleep(inForceTimeLimit)
		for i := range x.scenario.Hosts {
			x.checkConfiguration(fmt.Sprintf("h%d", i), version)
		}
	}
}

// checkConfiguration checks that a host has put a configuration in force, by the rule that it adds.
func (x *scenarioRun) checkConfiguration(host string, version int) {
	if r := x.call(host, http.MethodGet, fmt.Sprintf("/v%d/1", version), fmt.Sprintf("look-%d-%s", version, host)); r.status == 404 {
		x.reportViolation("%s does not serve configuration %d in time", host, version)
	}
}

// sendRequest sends one request through a host and checks the reply, unless the host was killed or stopped meanwhile.
func (x *scenarioRun) sendRequest(host string, unsafe bool) {
	x.mu.Lock()
	x.lastRequest++
	id, version, restarts, down := fmt.Sprintf("q%d", x.lastRequest), x.version, x.restarts[host], x.down[host]
	x.mu.Unlock()
	if down {
		return
	}
	method, path := http.MethodGet, "/lookup/1"
	if unsafe {
		method, path = http.MethodPost, "/order/1"
	}
	r := x.call(host, method, path, id)
	x.mu.Lock()
	restarted := x.restarts[host] != restarts
	x.mu.Unlock()
	if restarted {
		return
	}
	x.checkReply(host, id, unsafe, r)
	x.checkNoRollback(host, version, restarts)
}

// checkReply checks the guarantees for a single request.
func (x *scenarioRun) checkReply(host, id string, unsafe bool, r reply) {
	runs := x.runsOf(id)
	switch {
	case r.err != nil:
		x.reportViolation("%s did not answer %s completely: %v", host, id, r.err)
	case r.duration > callTimeLimit+callTimeSlack:
		x.reportViolation("%s answered %s after its deadline, in %v", host, id, r.duration)
	case unsafe && runs > 1:
		x.reportViolation("unsafe request %s ran %d times", id, runs)
	case r.status == 503 && runs > 0:
		x.reportViolation("request %s was refused as not run but ran %d times", id, runs)
	case r.status == 404:
		x.reportViolation("%s answered %s with status 404 although every configuration has its rule", host, id)
	case r.status == 200 && (r.body != "answer to "+id || r.header.Get("X-Response-Seal") != "seal."+id):
		x.reportViolation("%s answered %s with the wrong body %q or seal", host, id, r.body)
	}
}

// checkNoRollback checks that a host does not return to an older configuration while it is running.
func (x *scenarioRun) checkNoRollback(host string, version, restarts int) {
	if version < 2 {
		return
	}
	r := x.call(host, http.MethodGet, fmt.Sprintf("/v%d/1", version), fmt.Sprintf("back-%s-%d-%d", host, version, rand.Uint32()))
	x.mu.Lock()
	defer x.mu.Unlock()
	incarnation := fmt.Sprintf("%s/%d", host, restarts)
	switch {
	case x.restarts[host] != restarts || x.down[host] || r.err != nil:
	case r.status == 200:
		x.newestServed[incarnation] = max(x.newestServed[incarnation], version)
	case r.status == 404 && x.newestServed[incarnation] >= version:
		x.violations = append(x.violations, fmt.Sprintf("%s no longer serves configuration %d, which it has served before", host, version))
	}
}

// inject injects a fault and, for most kinds, ends it after its duration.
func (x *scenarioRun) inject(f fault) {
	host, peer := fmt.Sprintf("h%d", f.Index%x.scenario.Hosts), fmt.Sprintf("h%d", (f.Index+1)%x.scenario.Hosts)
	server := x.targets[fmt.Sprintf("t%d", f.Index%x.scenario.Targets)]
	switch f.Kind {
	case "HostKilled", "HostStopped":
		x.restartHost(f, host)
	case "HostsParted":
		x.net.Partition(host, peer)
		time.Sleep(f.Duration)
		x.net.Heal(host, peer)
	case "HostsSilentOneWay":
		x.net.BlackholeOneWay(host, peer)
	case "TargetLeaves":
		x.drainTarget(f, server)
	case "StoreForgetsHistory":
		x.store.Compact()
	default:
		x.injectTemporary(f, host, server)
	}
}

// injectTemporary makes a target or the store misbehave for the duration of a fault.
func (x *scenarioRun) injectTemporary(f fault, host string, server *standin.Target) {
	faults := map[string]standin.Faults{
		"StoreRefuses": {Status: 503}, "StoreRefusesOne": {Status: 503}, "StoreSilent": {Unresponsive: true}, "StoreSlow": {Delay: 700 * time.Millisecond},
	}
	if temporary, found := faults[f.Kind]; found {
		if f.Kind != "StoreRefusesOne" {
			host = ""
		}
		x.store.SetFaults(host, temporary)
		time.Sleep(f.Duration)
		x.store.SetFaults(host, standin.Faults{})
		return
	}
	change := func(on bool) {
		server.Update(func(t *standin.Target) {
			switch f.Kind {
			case "TargetLosesAnswers":
				t.DropResponses = on
			case "TargetCutsAnswers":
				t.TruncateResponses = on
			case "TargetSheds":
				t.RefuseRuns = on
			case "TargetSlow":
				t.RunDuration = 50 * time.Millisecond
				if on {
					t.RunDuration = 600 * time.Millisecond
				}
			}
		})
	}
	change(true)
	time.Sleep(f.Duration)
	change(false)
}

// restartHost ends a host, by a crash or a graceful stop, and starts it again after the duration of the fault.
func (x *scenarioRun) restartHost(f fault, host string) {
	x.mu.Lock()
	if x.down[host] {
		x.mu.Unlock()
		return
	}
	x.down[host] = true
	if f.Kind == "HostKilled" {
		x.restarts[host]++
	}
	x.mu.Unlock()
	if f.Kind == "HostKilled" {
		x.crash(host)
	} else {
		x.hosts[host].stop()
		<-x.hosts[host].done
		x.mu.Lock()
		x.restarts[host]++ // only now, because a graceful stop must still complete the requests in flight
		x.mu.Unlock()
	}
	time.Sleep(f.Duration)
	x.start(host, "a")
	time.Sleep(time.Second)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.down[host] = false
}

// drainTarget registers a target as draining and checks that it gets no request later than drainTimeLimit after that.
// Then the target registers as ready again. The check is skipped if the scenario has faults of the store or of hosts,
// which may delay the change.
func (x *scenarioRun) drainTarget(f fault, server *standin.Target) {
	x.register(server, "draining")
	time.Sleep(drainTimeLimit)
	from := time.Now()
	time.Sleep(f.Duration)
	if !x.scenario.has(storeFaults...) && !x.scenario.has(hostFaults...) && !x.drainedAgain(f) {
		server.Update(func(t *standin.Target) {
			if t.LastRunStart.After(from) {
				x.reportViolation("%s received a request %v after it began to drain", t.Name, drainTimeLimit+t.LastRunStart.Sub(from))
			}
		})
	}
	x.register(server, "ready")
}

// drainedAgain reports whether another fault of the scenario drains the same target. The end of that fault may register
// the target as ready before this fault ends.
func (x *scenarioRun) drainedAgain(f fault) bool {
	same := 0
	for _, other := range x.scenario.Faults {
		if other.Kind == f.Kind && other.Index%x.scenario.Targets == f.Index%x.scenario.Targets {
			same++
		}
	}
	return same > 1
}
