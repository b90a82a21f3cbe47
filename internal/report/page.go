// Package report writes one HTML page for the monitor: the chain of notes, every host, when each target could get
// requests and why not, latencies by class, and what measuring cost.
package report

import (
	"cmp"
	"slices"
	"time"

	"briarcroft/internal/operator"
	"briarcroft/internal/record"
	"briarcroft/internal/steering"
)

// Source is everything that a page is made from.
type Source struct {
	Made         time.Time
	Stretch      record.Stretch
	Verification operator.Verification
	Hosts        []operator.HostStatus
	Explanation  operator.Explanation
}

// page is a Source arranged for the template.
type page struct {
	Source
	Notes     []record.Record
	Services  []service
	Latencies []latency
	Counts    []count
	Budgets   []budget
	Events    []record.Record
}

// service is the plot of one service's targets.
type service struct {
	Name string
	Plot plot
}

// latency is one class of one service on one host, with the plot's bars; times are in milliseconds.
type latency struct {
	Host, Service, Class string
	Count                int64
	P50, P99, P999, Max  float64
	Bar50, Bar99         float64
}

// count sums the weighted counts of one class and failure domain over all hosts.
type count struct {
	Service string
	steering.CountStatus
}

// budget is what measuring cost on one host in one failure domain.
type budget struct {
	Host, Domain          string
	Probes, Bytes, Denied int64
	AllowedProbes         float64
	AllowedBytes          float64
}

// newPage makes a page of a source.
func newPage(s Source) page {
	p := page{Source: s}
	for _, r := range s.Explanation.Records {
		switch r.Kind {
		case record.NoteAdopted, record.NoteRejected:
			p.Notes = append(p.Notes, r)
		case record.TargetMoved, record.TargetForgotten:
		default:
			p.Events = append(p.Events, r)
		}
	}
	p.Services = services(s)
	p.Latencies = latencies(s.Hosts)
	p.Counts = counts(s.Hosts)
	p.Budgets = budgets(s.Hosts)
	return p
}

// services plots the targets of every service that the records name.
func services(s Source) []service {
	serviceOf := map[string]string{}
	for _, r := range s.Explanation.Records {
		if r.Kind == record.TargetMoved {
			serviceOf[r.Target] = r.Service
		}
	}
	byService := map[string][]record.Interval{}
	for target, name := range serviceOf {
		byService[name] = append(byService[name], record.Timeline(s.Explanation.Records, target, s.Stretch)...)
	}
	var list []service
	for name, intervals := range byService {
		list = append(list, service{name, newPlot(intervals, s.Stretch)})
	}
	slices.SortFunc(list, func(a, b service) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

func latencies(hosts []operator.HostStatus) []latency {
	var list []latency
	var longest int64 = 1
	for _, h := range hosts {
		for _, l := range h.Status.Latency {
			longest = max(longest, l.P99)
		}
	}
	for _, h := range hosts {
		for _, l := range h.Status.Latency {
			list = append(list, latency{
				Host: h.Status.Host, Service: l.Service, Class: l.Class, Count: l.Count,
				P50: milliseconds(l.P50), P99: milliseconds(l.P99), P999: milliseconds(l.P999), Max: milliseconds(l.Max),
				Bar50: maxBarWidth * float64(l.P50) / float64(longest), Bar99: maxBarWidth * float64(l.P99) / float64(longest),
			})
		}
	}
	return list
}

// maxBarWidth is the width of the longest latency bar, in pixels.
const maxBarWidth = 240

func milliseconds(microseconds int64) float64 { return float64(microseconds) / 1000 }

func counts(hosts []operator.HostStatus) []count {
	type key struct{ service, class, domain string }
	sums := map[key]*count{}
	for _, h := range hosts {
		for _, s := range h.Status.Services {
			for _, c := range s.Counts {
				k := key{s.Service, c.Class, c.Domain}
				if sums[k] == nil {
					sums[k] = &count{Service: s.Service, CountStatus: steering.CountStatus{Class: c.Class, Domain: c.Domain}}
				}
				sums[k].Offered += c.Offered
				sums[k].Admitted += c.Admitted
				sums[k].Refused += c.Refused
				sums[k].Weighted += c.Weighted
			}
		}
	}
	var list []count
	for _, c := range sums {
		list = append(list, *c)
	}
	slices.SortFunc(list, func(a, b count) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Domain, b.Domain))
	})
	return list
}

func budgets(hosts []operator.HostStatus) []budget {
	var list []budget
	for _, h := range hosts {
		usage := h.Status.Budget
		for _, d := range usage.Domains {
			list = append(list, budget{h.Status.Host, d.Domain, d.Probes, d.Bytes, d.Denied, usage.ProbesPerSec, usage.BytesPerSec})
		}
	}
	slices.SortFunc(list, func(a, b budget) int { return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Domain, b.Domain)) })
	return list
}
