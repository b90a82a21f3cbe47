package model

import (
	"fmt"
	"time"
)

// StockWorkload returns the workload of a lookup service with few slots per server, a tight latency goal and short caller
// timeouts.
func StockWorkload() Workload {
	return Workload{
		Name: "stock", Targets: 14, Slots: 3, ServiceTime: 90 * time.Millisecond, ServiceTimeSigma: 0.3,
		LatencyGoal: 250 * time.Millisecond, CallerTimeout: time.Second,
		OfferedLoad: 0.6, Duration: 30 * time.Second, NetworkDelay: 1500 * time.Microsecond,
		NoisyShare: 0.35, NoisyPace: 4, NoiseInterval: 300 * time.Millisecond,
		NearlyFullShare: 0.8, NearlyFullSlowdown: 1.7, Repeatable: true, Seed: 1,
	}
}

// LookupWorkload returns the workload of a lookup service with more slots per server, longer requests and fewer servers
// slowed by noisy neighbors.
func LookupWorkload() Workload {
	w := StockWorkload()
	w.Name, w.Targets, w.Slots, w.ServiceTime = "lookup", 13, 4, 160*time.Millisecond
	w.LatencyGoal, w.CallerTimeout, w.NetworkDelay, w.NoisyShare = 400*time.Millisecond, 1200*time.Millisecond, time.Millisecond, 0.25
	return w
}

// Workloads returns the workloads of the experiments. For each service they are low and high load, overload by factors of
// 2 and 5, a burst of overload, slow servers and servers that drop responses.
func Workloads() []Workload {
	var workloads []Workload
	add := func(w Workload, suffix string, change func(*Workload)) {
		w.Name += "-" + suffix
		change(&w)
		workloads = append(workloads, w)
	}
	for _, base := range []Workload{StockWorkload(), LookupWorkload()} {
		add(base, "calm", func(w *Workload) { w.OfferedLoad = 0.4 })
		add(base, "busy", func(w *Workload) { w.OfferedLoad = 0.85 })
		add(base, "twice", func(w *Workload) { w.OfferedLoad = 2 })
		add(base, "fivefold", func(w *Workload) { w.OfferedLoad = 5 })
		add(base, "burst", func(w *Workload) { w.BurstOfferedLoad, w.BurstFrom, w.BurstUntil = 1.5, 10*time.Second, 15*time.Second })
		add(base, "slow", func(w *Workload) {
			w.Fault, w.FaultShare, w.FaultFrom, w.FaultUntil = Slow, 0.25, 8*time.Second, 20*time.Second
		})
		add(base, "mute", func(w *Workload) {
			w.Fault, w.FaultShare, w.FaultFrom, w.FaultUntil = Mute, 0.25, 8*time.Second, 20*time.Second
		})
	}
	return workloads
}

// Policies returns the policies that the experiments compare, the ideal one first.
func Policies() []Policy {
	return []Policy{Ideal{}, Home{Hedges: true}, Home{Hedges: true, AgeOrder: true}, Home{}, LeastInFlight{Hosts: 1}, LeastInFlight{Hosts: 13}, AtRandom{}}
}

// LadderSteps are the offered loads of Ladder, as multiples of the capacity.
var LadderSteps = []float64{0.5, 0.7, 0.85, 1, 1.2, 2, 3, 5}

// burstUsualLoad is the load before and after the bursts of Ladder.
const burstUsualLoad = 0.6

// Ladder returns workloads whose callers come back after refusals: for each service and each step a steady load and a burst of 4 s.
func Ladder() []Workload {
	var workloads []Workload
	for _, base := range ladderServices() {
		for _, step := range LadderSteps {
			steady, burst := base, base
			steady.Name = fmt.Sprintf("ladder-%s-steady-%03.0f", base.Name, 100*step)
			steady.OfferedLoad, steady.Duration = step, 8*time.Second
			burst.Name = fmt.Sprintf("ladder-%s-burst-%03.0f", base.Name, 100*step)
			burst.OfferedLoad, burst.BurstOfferedLoad, burst.BurstFrom, burst.BurstUntil, burst.Duration = burstUsualLoad, step, 3*time.Second, 7*time.Second, 11*time.Second
			workloads = append(workloads, steady, burst)
		}
	}
	return workloads
}

// ladderServices returns services of different sizes with callers that come back.
func ladderServices() []Workload {
	stock, lookup := StockWorkload(), LookupWorkload()
	stock.RouteTimeout, stock.Retries = 500*time.Millisecond, 1
	lookup.CallerTimeout, lookup.RouteTimeout, lookup.Retries = 2400*time.Millisecond, 1200*time.Millisecond, 2
	ranked := lookup
	ranked.Name, ranked.Targets, ranked.Slots, ranked.ServiceTime = "ranked", 40, 3, 120*time.Millisecond
	ranked.LatencyGoal, ranked.CallerTimeout, ranked.RouteTimeout, ranked.Retries = 300*time.Millisecond, 1200*time.Millisecond, 600*time.Millisecond, 1
	ranked.Classes = []Class{{Name: "urgent", Priority: 0, Share: 0.25, Worth: 4}, {Name: "normal", Priority: 1, Share: 0.75, Worth: 1}}
	wide := lookup
	wide.Name, wide.Targets, wide.Slots, wide.ServiceTime = "wide", 237, 4, 360*time.Millisecond
	wide.LatencyGoal, wide.CallerTimeout, wide.RouteTimeout, wide.Retries = 1500*time.Millisecond, 10*time.Second, 5*time.Second, 1
	services := []Workload{stock, lookup, ranked, wide}
	for i := range services {
		services[i].NoisyShare, services[i].ImpatientShare, services[i].CallerDelay = 1.0/3, 0.2, 8*time.Millisecond
	}
	return services
}
