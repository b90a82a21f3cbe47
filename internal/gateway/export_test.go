package gateway

import (
	"slices"
	"time"

	"briarcroft/internal/inner"
	"briarcroft/internal/quota"
	"briarcroft/internal/record"
)

// ReadyHosts returns how many ready hosts the gateway knows, and which of them is the primary home of a service.
func (g *Gateway) ReadyHosts(service string) (hosts int, home string) {
	ranked := g.homeClient.rankedHomes(service)
	if len(ranked) == 0 {
		return 0, ""
	}
	return len(ranked), ranked[0].Name
}

// NoteNumber returns the number of the note in force, and StoreLost whether the gateway cannot reach the store.
func (g *Gateway) NoteNumber() int { return g.chain.Number() }
func (g *Gateway) StoreLost() bool { return g.storeWatch.unreachable.Load() }

// Watches reports whether the gateway follows the store itself and reaches it, StoreChecks how often it has checked the store because its
// knowledge was old, and KnowledgeAge how old that is.
func (g *Gateway) Watches() bool               { return g.storeWatch.watching.Load() && !g.StoreLost() }
func (g *Gateway) StoreChecks() int64          { return g.stats.storeChecks.Load() }
func (g *Gateway) KnowledgeAge() time.Duration { return g.knowledgeAge() }

// RelayedRequests returns how many runs peers have relayed for the gateway.
func (g *Gateway) RelayedRequests() int64 { return g.stats.relayed.Load() }

// Panics returns how many panics have not ended the process.
func (g *Gateway) Panics() int64 { return g.stats.panics.Load() }

// HeldBytes returns the memory that the bodies of requests and those of responses take.
func (g *Gateway) HeldBytes() (requests, responses int64) {
	return g.bodies.Used(), g.responses.Used()
}

// Allowances returns the state of the holder on this host, and whether the host is waiting for another one.
func (g *Gateway) Allowances() (holder quota.HolderStats, lost bool) {
	now := g.allowances.bootTime()
	return g.allowances.holder.Stats(now), g.allowances.wallet.Lost(now)
}

// Evacuations returns the evacuated failure domains with the number of requests that the gateway has running there.
func (g *Gateway) Evacuations() map[string]int {
	running := map[string]int{}
	for _, s := range g.evacuationStatuses() {
		running[s.Domain] = s.Running
	}
	return running
}

// Recorded returns the details of the change records of a kind.
func (g *Gateway) Recorded(kind record.Kind) []string {
	var details []string
	for _, r := range g.records.Since("", time.Time{}) {
		if r.Kind == kind {
			details = append(details, r.Evidence.Detail)
		}
	}
	return details
}

// RecordedCauses returns the causes of the change records of a kind, each once.
func (g *Gateway) RecordedCauses(kind record.Kind) []string {
	var causes []string
	for _, r := range g.records.Since("", time.Time{}) {
		if r.Kind == kind && !slices.Contains(causes, r.Cause) {
			causes = append(causes, r.Cause)
		}
	}
	return causes
}

// Traffic returns the traffic with peers on the connections that the gateway has opened.
func (g *Gateway) Traffic() []inner.TrafficCount { return g.client.Traffic() }

// OtherDomainBytes returns the bytes of responses of targets in other failure domains.
func (g *Gateway) OtherDomainBytes() int64 { return g.stats.otherDomainBytes.Load() }

// ProvenAge returns the proven age of the gateway's knowledge of the store; it is below zero if nothing is proven.
func (g *Gateway) ProvenAge() time.Duration { return g.provenAge() }

// SecondRuns returns how many second runs the gateway has started under a limit as a home, and whether it has one.
func (g *Gateway) SecondRuns() (started int64, limited bool) {
	if s := g.stats.secondRuns.status(); s != nil {
		return s.Started, true
	}
	return 0, false
}

// ConnectionCounts returns the number of open connections as the metrics show it.
func (g *Gateway) ConnectionCounts() ConnectionCounts { return g.connectionCounts() }

// ConnectionCounts are the counts of the metrics.
type ConnectionCounts = connectionCounts
