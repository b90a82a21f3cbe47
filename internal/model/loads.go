package model

import "time"

// StockWorkload is a lookup service whose servers have few slots and whose callers are in a hurry.
func StockWorkload() Workload {
	return Workload{
		Name: "stock", Targets: 14, Slots: 3, ServiceTime: 90 * time.Millisecond, ServiceTimeSigma: 0.3, LatencyGoal: 250 * time.Millisecond, CallerTimeout: time.Second,
		OfferedLoad: 0.6, Duration: 30 * time.Second, NetworkDelay: 1500 * time.Microsecond, NoisyShare: 0.35, NoisyPace: 4, NoiseInterval: 300 * time.Millisecond,
		NearlyFullShare: 0.8, NearlyFullSlowdown: 1.7, Repeatable: true, Seed: 1,
	}
}

// LookupWorkload is a lookup service with more slots and calmer neighbours.
func LookupWorkload() Workload {
	w := StockWorkload()
	w.Name, w.Targets, w.Slots, w.ServiceTime = "lookup", 13, 4, 160*time.Millisecond
	w.LatencyGoal, w.CallerTimeout, w.NetworkDelay, w.NoisyShare = 400*time.Millisecond, 1200*time.Millisecond, time.Millisecond, 0.25
	return w
}

// Workloads returns the loads that experiments play: calm, busy, overloaded, a burst and servers in trouble.
func Workloads() []Workload {
	var list []Workload
	add := func(w Workload, suffix string, change func(*Workload)) {
		w.Name += "-" + suffix
		change(&w)
		list = append(list, w)
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
	return list
}

// Policies returns the policies that experiments compare, the ideal first.
func Policies() []Policy {
	return []Policy{Ideal{}, Home{Hedges: true}, Home{}, LeastInFlight{Hosts: 1}, LeastInFlight{Hosts: 13}, AtRandom{}}
}
