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
	l := StockWorkload()
	l.Name, l.Targets, l.Slots, l.ServiceTime = "lookup", 13, 4, 160*time.Millisecond
	l.LatencyGoal, l.CallerTimeout, l.NetworkDelay, l.NoisyShare = 400*time.Millisecond, 1200*time.Millisecond, time.Millisecond, 0.25
	return l
}

// Workloads returns the loads that experiments play: calm, busy, overloaded, a burst and servers in trouble.
func Workloads() []Workload {
	var list []Workload
	add := func(l Workload, suffix string, change func(*Workload)) {
		l.Name += "-" + suffix
		change(&l)
		list = append(list, l)
	}
	for _, base := range []Workload{StockWorkload(), LookupWorkload()} {
		add(base, "calm", func(l *Workload) { l.OfferedLoad = 0.4 })
		add(base, "busy", func(l *Workload) { l.OfferedLoad = 0.85 })
		add(base, "twice", func(l *Workload) { l.OfferedLoad = 2 })
		add(base, "fivefold", func(l *Workload) { l.OfferedLoad = 5 })
		add(base, "burst", func(l *Workload) { l.BurstOfferedLoad, l.BurstFrom, l.BurstUntil = 1.5, 10*time.Second, 15*time.Second })
		add(base, "slow", func(l *Workload) {
			l.Fault, l.FaultShare, l.FaultFrom, l.FaultUntil = Slow, 0.25, 8*time.Second, 20*time.Second
		})
		add(base, "mute", func(l *Workload) {
			l.Fault, l.FaultShare, l.FaultFrom, l.FaultUntil = Mute, 0.25, 8*time.Second, 20*time.Second
		})
	}
	return list
}

// Policies returns the policies that experiments compare, the ideal first.
func Policies() []Policy {
	return []Policy{Ideal{}, Home{Hedges: true}, Home{}, LeastInFlight{Hosts: 1}, LeastInFlight{Hosts: 13}, AtRandom{}}
}
