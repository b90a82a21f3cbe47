package host

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Limits of the demand for homes.
const (
	// homeRate is how many requests a second one home carries within the bound on added latency.
	homeRate = 1500.0
	// calmShare is the share of homeRate below which fewer homes would do.
	calmShare = 0.6
	// raiseAfter and lowerAfter are how long the rate must ask for more or fewer homes.
	raiseAfter = 3 * time.Second
	lowerAfter = time.Minute
	// mostWanted bounds the homes that load alone can ask for.
	mostWanted = 8
)

// HomeDemand is a host's word that a service needs more homes than its note gives it.
type HomeDemand struct {
	Service string
	Homes   int
}

// wish is what one service's rate asks for, and since when.
type wish struct {
	homes int
	next  int
	since time.Duration
}

// HomeScaler turns the rates that one host sees into the homes that services need. It is not safe for concurrent use.
type HomeScaler struct {
	wishes map[string]*wish
}

// NewHomeScaler returns a Demand that asks for nothing.
func NewHomeScaler() *HomeScaler { return &HomeScaler{map[string]*wish{}} }

// Observe takes in the rate at which this host, one of so many homes, gets a service's requests.
func (d *HomeScaler) Observe(now time.Duration, service string, rate float64, homes int) {
	w := d.wishes[service]
	if w == nil {
		w = &wish{homes: 1, next: 1, since: now}
		d.wishes[service] = w
	}
	next := needed(rate*float64(max(1, homes)), w.homes)
	if next != w.next {
		w.next, w.since = next, now
	}
	wait := raiseAfter
	if w.next < w.homes {
		wait = lowerAfter
	}
	if w.next != w.homes && now-w.since >= wait {
		w.homes = w.next
	}
}

// needed returns the homes that a service's whole rate needs, given those that it has been asked for so far.
func needed(total float64, now int) int {
	more := int(math.Ceil(total / homeRate))
	fewer := int(math.Ceil(total / (homeRate * calmShare)))
	switch {
	case more > now:
		return min(more, mostWanted)
	case fewer < now:
		return max(1, fewer)
	}
	return now
}

// Demands returns the services that need more than one home, sorted by name.
func (d *HomeScaler) Demands() []HomeDemand {
	var list []HomeDemand
	for service, w := range d.wishes {
		if w.homes > 1 {
			list = append(list, HomeDemand{service, w.homes})
		}
	}
	slices.SortFunc(list, func(a, b HomeDemand) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// HomeCount returns the number of homes of a service: the note's, or more when any live host asks for them.
func HomeCount(service string, homes int, live []Member) int {
	for _, m := range live {
		for _, w := range m.Wants {
			if w.Service == service {
				homes = max(homes, min(w.Homes, mostWanted))
			}
		}
	}
	return homes
}
