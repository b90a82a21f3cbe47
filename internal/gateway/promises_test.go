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

// Bounds of the promises, from the users' targets.
const (
	// callTimeLimit is the rule's time limit; an answer may take the caller's and the host's travel longer.
	callTimeLimit = time.Second
	callSlack     = 100 * time.Millisecond
	drainBound    = 2500 * time.Millisecond
	inForceBound  = 2500 * time.Millisecond
	// settleTime is how long after the last fault everything must be in order again.
	settleTime = 6 * time.Second
	planLength = 8 * time.Second
)

// fault is one trouble of a plan.
type fault struct {
	Kind      string
	Who       int
	From, For time.Duration
}

// plan is a fleet and what befalls it.
type plan struct {
	Hosts, Targets int
	Seed           uint64
	Faults         []fault
}

// Kinds of fault, by what they strike.
var (
	hostFaults   = []string{"HostKilled", "HostStopped", "HostsParted", "HostsSilentOneWay"}
	targetFaults = []string{"TargetLosesAnswers", "TargetCutsAnswers", "TargetSheds", "TargetSlow", "TargetLeaves"}
	storeFaults  = []string{"StoreRefuses", "StoreSilent", "StoreSlow", "StoreForgetsHistory", "StoreRefusesOne"}
)

// plans draws fleets of a few hosts and targets with up to six faults that overlap.
func plans() *rapid.Generator[plan] {
	return rapid.Custom(func(t *rapid.T) plan {
		kinds := append(append(append([]string{}, hostFaults...), targetFaults...), storeFaults...)
		p := plan{Hosts: rapid.IntRange(2, 5).Draw(t, "hosts"), Targets: rapid.IntRange(3, 5).Draw(t, "targets"), Seed: rapid.Uint64().Draw(t, "seed")}
		for range rapid.IntRange(0, 6).Draw(t, "faults") {
			p.Faults = append(p.Faults, fault{
				Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), Who: rapid.IntRange(0, 4).Draw(t, "who"),
				From: time.Duration(rapid.IntRange(0, 5000).Draw(t, "from")) * time.Millisecond,
				For:  time.Duration(rapid.IntRange(200, 3000).Draw(t, "for")) * time.Millisecond,
			})
		}
		return p
	})
}

// has reports whether the plan holds a fault of one of the kinds.
func (p plan) has(kinds ...string) bool {
	for _, f := range p.Faults {
		for _, kind := range kinds {
			if f.Kind == kind {
				return true
			}
		}
	}
	return false
}

// trial plays a plan against a fleet and notes each broken promise.
type trial struct {
	*fleet
	plan plan
	mu   sync.Mutex
	// down holds the hosts that are stopped or gone, and deaths counts how often each was killed.
	down   map[string]bool
	deaths map[string]int
	// seen is the newest configuration that each incarnation of a host has served.
	seen     map[string]int
	version  int
	number   int
	violated []string
}

// TestPromisesUnderFaults plays drawn plans: at most one run of unsafe requests, none of refused ones, whole answers to their
// own request, answers by the time limit, graceful stops that cut nothing, nothing new for leaving targets, configurations that
// never go back and come in force, and service again soon after the last fault.
func TestPromisesUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := plans().Draw(rt, "plan")
		var violated []string
		inFleet(t, p.Hosts, p.Targets, func(f *fleet) {
			x := &trial{fleet: f, plan: p, down: map[string]bool{}, deaths: map[string]int{}, seen: map[string]int{}, version: 1}
			x.play()
			violated = x.violated
		})
		if len(violated) > 0 {
			rt.Fatalf("%d promises broken: %v", len(violated), violated)
		}
	})
}

func (x *trial) violate(format string, arguments ...any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.violated = append(x.violated, fmt.Sprintf(format, arguments...))
}

func (x *trial) play() {
	var group sync.WaitGroup
	for _, f := range x.plan.Faults {
		group.Go(func() {
			time.Sleep(f.From)
			x.strike(f)
		})
	}
	group.Go(x.publish)
	random := rand.New(rand.NewPCG(x.plan.Seed, 1))
	for began := time.Now(); time.Since(began) < planLength; {
		host, once := fmt.Sprintf("h%d", random.IntN(x.plan.Hosts)), random.IntN(2) == 0
		group.Go(func() { x.request(host, once) })
		time.Sleep(time.Duration(20+random.IntN(60)) * time.Millisecond)
	}
	group.Wait()
	time.Sleep(settleTime)
	for i := range x.plan.Hosts {
		host := fmt.Sprintf("h%d", i)
		if r := x.call(host, http.MethodGet, "/lookup/1", "after-"+host); r.err != nil || r.status != 200 {
			x.violate("%s does not serve after the faults: status %d, error %v", host, r.status, r.err)
		}
		if r := x.call(host, http.MethodGet, fmt.Sprintf("/v%d/1", x.version), "newest-"+host); r.status != 200 {
			x.violate("%s does not serve the newest configuration after the faults: status %d", host, r.status)
		}
	}
}

// publish writes configurations, each with one more rule, while the plan is played.
func (x *trial) publish() {
	rules := []rule{safeRule("lookup", "/lookup/"), unsafeRule("order", "/order/")}
	for version := 2; version <= 5; version++ {
		time.Sleep(planLength / 6)
		rules = append(rules, safeRule(fmt.Sprintf("v%d", version), fmt.Sprintf("/v%d/", version)))
		x.configure(version, rules...)
		x.mu.Lock()
		x.version = version
		x.mu.Unlock()
		if x.plan.has(storeFaults...) || x.plan.has(hostFaults...) {
			continue
		}
		time.Sleep(inForceBound)
		for i := range x.plan.Hosts {
			x.look(fmt.Sprintf("h%d", i), version)
		}
	}
}

// look checks that a host serves a configuration.
func (x *trial) look(host string, version int) {
	if r := x.call(host, http.MethodGet, fmt.Sprintf("/v%d/1", version), fmt.Sprintf("look-%d-%s", version, host)); r.status == 404 {
		x.violate("%s does not serve configuration %d in time", host, version)
	}
}

// request sends one request through a host and checks what came of it.
func (x *trial) request(host string, once bool) {
	x.mu.Lock()
	x.number++
	id, version, deaths, down := fmt.Sprintf("q%d", x.number), x.version, x.deaths[host], x.down[host]
	x.mu.Unlock()
	if down {
		return
	}
	method, path := http.MethodGet, "/lookup/1"
	if once {
		method, path = http.MethodPost, "/order/1"
	}
	r := x.call(host, method, path, id)
	x.mu.Lock()
	killed := x.deaths[host] != deaths
	x.mu.Unlock()
	if killed {
		return
	}
	x.judge(host, id, once, r)
	x.notBack(host, version, deaths)
}

// judge holds one answer against the promises.
func (x *trial) judge(host, id string, once bool, r reply) {
	runs := x.runsOf(id)
	switch {
	case r.err != nil:
		x.violate("%s cut %s: %v", host, id, r.err)
	case r.took > callTimeLimit+callSlack:
		x.violate("%s answered %s after %v", host, id, r.took)
	case once && runs > 1:
		x.violate("unsafe request %s ran %d times", id, runs)
	case r.status == 503 && runs > 0:
		x.violate("request %s was refused as not run and ran %d times", id, runs)
	case r.status == 404:
		x.violate("%s denied %s, which every configuration allows", host, id)
	case r.status == 200 && (r.body != "answer to "+id || r.header.Get("X-Response-Seal") != "seal."+id):
		x.violate("%s answered %s with %q", host, id, r.body)
	}
}

// notBack checks that one incarnation of a host serves no older configuration than before.
func (x *trial) notBack(host string, version, deaths int) {
	if version < 2 {
		return
	}
	r := x.call(host, http.MethodGet, fmt.Sprintf("/v%d/1", version), fmt.Sprintf("back-%s-%d-%d", host, version, rand.Uint32()))
	x.mu.Lock()
	defer x.mu.Unlock()
	incarnation := fmt.Sprintf("%s/%d", host, deaths)
	switch {
	case x.deaths[host] != deaths || x.down[host] || r.err != nil:
	case r.status == 200:
		x.seen[incarnation] = max(x.seen[incarnation], version)
	case r.status == 404 && x.seen[incarnation] >= version:
		x.violated = append(x.violated, fmt.Sprintf("%s went back from configuration %d", host, version))
	}
}

// strike brings a fault about and ends it.
func (x *trial) strike(f fault) {
	host, peer := fmt.Sprintf("h%d", f.Who%x.plan.Hosts), fmt.Sprintf("h%d", (f.Who+1)%x.plan.Hosts)
	server := x.targets[fmt.Sprintf("t%d", f.Who%x.plan.Targets)]
	switch f.Kind {
	case "HostKilled", "HostStopped":
		x.replace(f, host)
	case "HostsParted":
		x.net.Partition(host, peer)
		time.Sleep(f.For)
		x.net.Heal(host, peer)
	case "HostsSilentOneWay":
		x.net.BlackholeOneWay(host, peer)
	case "TargetLeaves":
		x.leave(f, server)
	case "StoreForgetsHistory":
		x.store.Compact()
	default:
		x.disturb(f, host, server)
	}
}

// disturb makes a target or the store misbehave for a while.
func (x *trial) disturb(f fault, host string, server *standin.Target) {
	faults := map[string]standin.Faults{
		"StoreRefuses": {Status: 503}, "StoreRefusesOne": {Status: 503}, "StoreSilent": {Silent: true}, "StoreSlow": {Delay: 700 * time.Millisecond},
	}
	if trouble, found := faults[f.Kind]; found {
		if f.Kind != "StoreRefusesOne" {
			host = ""
		}
		x.store.SetFaults(host, trouble)
		time.Sleep(f.For)
		x.store.SetFaults(host, standin.Faults{})
		return
	}
	change := func(on bool) {
		server.Set(func(t *standin.Target) {
			switch f.Kind {
			case "TargetLosesAnswers":
				t.Lose = on
			case "TargetCutsAnswers":
				t.Cut = on
			case "TargetSheds":
				t.Shed = on
			case "TargetSlow":
				t.Work = 50 * time.Millisecond
				if on {
					t.Work = 600 * time.Millisecond
				}
			}
		})
	}
	change(true)
	time.Sleep(f.For)
	change(false)
}

// replace ends a host, by a crash or a graceful stop, and starts it again.
func (x *trial) replace(f fault, host string) {
	x.mu.Lock()
	if x.down[host] {
		x.mu.Unlock()
		return
	}
	x.down[host] = true
	if f.Kind == "HostKilled" {
		x.deaths[host]++
	}
	x.mu.Unlock()
	if f.Kind == "HostKilled" {
		x.kill(host)
	} else {
		x.hosts[host].stop()
		<-x.hosts[host].done
		x.mu.Lock()
		x.deaths[host]++ // an incarnation of its own follows; nothing of this one is under way any more
		x.mu.Unlock()
	}
	time.Sleep(f.For)
	x.start(host, "a")
	time.Sleep(time.Second)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.down[host] = false
}

// leave makes a target leave, and return when the others may have noticed.
func (x *trial) leave(f fault, server *standin.Target) {
	x.register(server, "draining")
	time.Sleep(drainBound)
	from := time.Now()
	time.Sleep(f.For)
	if !x.plan.has(storeFaults...) && !x.plan.has(hostFaults...) && !x.againLeft(f) {
		server.Set(func(t *standin.Target) {
			if t.Last.After(from) {
				x.violate("%s got new work %v after it began to leave", t.Name, drainBound+t.Last.Sub(from))
			}
		})
	}
	x.register(server, "ready")
}

// againLeft reports whether another fault of the plan makes the same target leave, and come back in between.
func (x *trial) againLeft(f fault) bool {
	same := 0
	for _, other := range x.plan.Faults {
		if other.Kind == f.Kind && other.Who%x.plan.Targets == f.Who%x.plan.Targets {
			same++
		}
	}
	return same > 1
}
