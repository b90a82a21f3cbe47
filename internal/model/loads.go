package model

import "time"

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
	return []Policy{Ideal{}, Home{Hedges: true}, Home{}, LeastInFlight{Hosts: 1}, LeastInFlight{Hosts: 13}, AtRandom{}}
}
