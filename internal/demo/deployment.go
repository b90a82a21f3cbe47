package demo

import (
	"fmt"
	"strings"
	"time"
)

// Workload is a service of a deployment and the requests that callers send to it.
type Workload struct {
	Service string
	// Class is the class of the requests, by which the results are grouped.
	Class  string
	Method string
	// Path is the prefix of the paths; the number of the request follows.
	Path string
	// Targets is the number of backend servers.
	Targets int
	// AtMostOnce is set if a request must not run more than once.
	AtMostOnce bool
	// Weight is the weight of the class in the configuration.
	Weight int
	// ServiceTime is the mean service time of a request.
	ServiceTime   time.Duration
	ResponseBytes int
	// Rate is in requests per second.
	Rate float64
}

// Deployment describes a system to run. It has the size and the services of a production system.
type Deployment struct {
	Name string
	// Domains are the names of the failure domains. Entry hosts, targets and callers are spread over them evenly.
	Domains []string
	// Hosts is the number of entry hosts.
	Hosts int
	// Slots is the number of requests that each target runs concurrently.
	Slots     int
	Workloads []Workload
}

// Deployments lists the deployments that the demo can run.
var Deployments = []Deployment{
	{
		Name: "stalverk", Domains: []string{"oslo", "bergen", "trondheim"}, Hosts: 13, Slots: 4,
		Workloads: []Workload{
			{"certificate-lookup", "lookup", "GET", "/certificates/", 13, false, 2, 8 * time.Millisecond, 2 << 10, 220},
			{"sign-off", "sign-off", "POST", "/sign-offs/", 8, true, 4, 12 * time.Millisecond, 512, 60},
			{"scanned-documents", "download", "GET", "/scans/", 6, false, 1, 15 * time.Millisecond, 256 << 10, 25},
			{"batch-registration", "registration", "POST", "/batches/", 6, true, 4, 20 * time.Millisecond, 512, 30},
		},
	},
	{
		Name: "kiosques", Domains: []string{"ariana", "bizerte", "tunis"}, Hosts: 13, Slots: 3,
		Workloads: []Workload{
			{"stock-lookup", "lookup", "GET", "/stock/", 14, false, 2, 8 * time.Millisecond, 1 << 10, 220},
			{"order-booking", "order", "POST", "/orders/", 7, true, 4, 15 * time.Millisecond, 512, 50},
			{"planogram-distribution", "download", "GET", "/planograms/", 6, false, 1, 15 * time.Millisecond, 512 << 10, 20},
			{"delivery-confirmation", "confirmation", "POST", "/confirmations/", 6, true, 4, 12 * time.Millisecond, 512, 50},
		},
	},
}

// FirstNote returns the text of the note with the initial configuration of the deployment. The function addressOf returns
// the address of a target by its name.
func (d Deployment) FirstNote(addressOf func(target string) string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[Note]\nFollows = 0\nOperator = demo\nReason = first note of %s\n", d.Name)
	for _, w := range d.Workloads {
		fmt.Fprintf(&b, "\n[Service %s]\nReportPath = /Report\n", w.Service)
		fmt.Fprintf(&b, "\n[Rule %s]\nPath = %s\nService = %s\nClass = %s\nWeight = %d\nDeadline = 5s\nNotRunStatuses = 503\n",
			w.Class, w.Path, w.Service, w.Class, w.Weight)
		for i := range w.Targets {
			name := TargetName(w.Service, i)
			fmt.Fprintf(&b, "\n[Target %s]\nService = %s\nAddress = %s\nDomain = %s\nSlots = %d\n",
				name, w.Service, addressOf(name), d.Domains[i%len(d.Domains)], d.Slots)
		}
	}
	return b.String()
}

// TargetName returns the name of a target of a service. Targets are numbered from 0, and their names from 1.
func TargetName(service string, number int) string { return fmt.Sprintf("%s-%d", service, number+1) }
