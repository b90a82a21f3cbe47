// Package report writes an HTML page for monitoring. The page shows the chain of notes (a note is one revision of the
// configuration), the state of every entry host, when each target was eligible for requests and why not, request counts
// and latencies by class, and the cost of health probes and other measurements.
package report

import (
	"cmp"
	"slices"
	"time"

	"briarcroft/internal/operator"
	"briarcroft/internal/record"
	"briarcroft/internal/steering"
)

// Source is the data that a page shows.
type Source struct {
	// Made is the time at which the data was collected.
	Made time.Time
	// Stretch is the period that the page covers.
	Stretch record.TimeRange
	// Verification is the result of the check of the chain of notes and of the hosts' agreement with it.
	Verification operator.Verification
	// Hosts holds the status of each entry host.
	Hosts []operator.HostStatus
	// Explanation holds the event records of all hosts.
	Explanation operator.Explanation
}

// page is the data of the template: a Source and what is derived from it for the tables and plots.
type page struct {
	Source
	// Notes holds the records of applied and rejected notes.
	Notes     []record.Record
	Services  []service
	Latencies []latency
	Counts    []count
	Budgets   []budget
	// Events holds all other records except those of targets, which the plots show.
	Events []record.Record
}

// service is the plot of the states of a service's targets over time.
type service struct {
	Name string
	Plot plot
}

// latency is the latency of one class of a service on one host, in milliseconds. Bar50 and Bar99 are the widths of the
// bars for P50 and P99, in pixels.
type latency struct {
	Host, Service, Class string
	Count                int64
	P50, P99, P999, Max  float64
	Bar50, Bar99         float64
}

// count holds the request counts of one class of a service and one failure domain, summed over all hosts.
type count struct {
	Service string
	steering.CountStatus
}

// budget holds the cost of measurements that a host made in one failure domain: the probes sent, the bytes transferred
// and the measurements that the measuring budget did not permit. AllowedProbes and AllowedBytes are the limits per second.
type budget struct {
	Host, Domain          string
	Probes, Bytes, Denied int64
	AllowedProbes         float64
	AllowedBytes          float64
}

// newPage returns the page for a source.
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

// services returns a plot for each service with records of targets, sorted by name.
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

// latencies returns the latencies of all hosts. The highest P99 gets the longest bar.
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

// maxBarWidth is the width of the bar of the highest P99 latency, in pixels.
const maxBarWidth = 240

func milliseconds(microseconds int64) float64 { return float64(microseconds) / 1000 }

// counts returns the request counts summed over all hosts, sorted by service, class and failure domain.
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

// budgets returns the cost of measurements of all hosts, sorted by host and failure domain.
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
