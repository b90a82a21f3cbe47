package host

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Limits of the demand for homes.
const (
	// maxRatePerHome is how many requests a second one home carries within the bound on added latency.
	maxRatePerHome = 1500.0
	// scaleDownShare is the share of homeRate below which fewer homes would do.
	scaleDownShare = 0.6
	// scaleUpDelay and lowerAfter are how long the rate must ask for more or fewer homes.
	scaleUpDelay   = 3 * time.Second
	scaleDownDelay = time.Minute
	// maxScaledHomes bounds the homes that load alone can ask for.
	maxScaledHomes = 8
)

// HomeDemand is a host's word that a service needs more homes than its note gives it.
type HomeDemand struct {
	Service string
	Homes   int
}

// serviceDemand is what one service's rate asks for, and since when.
type serviceDemand struct {
	homes   int
	pending int
	since   time.Duration
}

// HomeScaler turns the rates that one host sees into the homes that services need. It is not safe for concurrent use.
type HomeScaler struct {
	services map[string]*serviceDemand
}

// NewHomeScaler returns a Demand that asks for nothing.
func NewHomeScaler() *HomeScaler { return &HomeScaler{map[string]*serviceDemand{}} }

// Observe takes in the rate at which this host, one of so many homes, gets a service's requests.
func (d *HomeScaler) Observe(now time.Duration, service string, rate float64, homes int) {
	w := d.services[service]
	if w == nil {
		w = &serviceDemand{homes: 1, pending: 1, since: now}
		d.services[service] = w
	}
	next := neededHomes(rate*float64(max(1, homes)), w.homes)
	if next != w.pending {
		w.pending, w.since = next, now
	}
	wait := scaleUpDelay
	if w.pending < w.homes {
		wait = scaleDownDelay
	}
	if w.pending != w.homes && now-w.since >= wait {
		w.homes = w.pending
	}
}

// neededHomes returns the homes that a service's whole rate needs, given those that it has been asked for so far.
func neededHomes(total float64, now int) int {
	more := int(math.Ceil(total / maxRatePerHome))
	fewer := int(math.Ceil(total / (maxRatePerHome * scaleDownShare)))
	switch {
	case more > now:
		return min(more, maxScaledHomes)
	case fewer < now:
		return max(1, fewer)
	}
	return now
}

// Demands returns the services that need more than one home, sorted by name.
func (d *HomeScaler) Demands() []HomeDemand {
	var list []HomeDemand
	for service, w := range d.services {
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
				homes = max(homes, min(w.Homes, maxScaledHomes))
			}
		}
	}
	return homes
}
