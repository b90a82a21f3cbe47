package host

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Parameters of the scaling of homes.
const (
	// maxRatePerHome is the number of requests per second that one home can place within the limit on added latency.
	maxRatePerHome = 1500.0
	// scaleDownShare is the highest fraction of maxRatePerHome that the remaining homes may carry after scaling down.
	// The gap to maxRatePerHome is the hysteresis that prevents flapping.
	scaleDownShare = 0.6
	// scaleUpDelay and scaleDownDelay are how long the rate must call for the same higher or lower number of homes
	// before that number takes effect, so that short peaks and dips are ignored.
	scaleUpDelay   = 3 * time.Second
	scaleDownDelay = time.Minute
	// maxScaledHomes is the maximum number of homes due to load; a note may configure more.
	maxScaledHomes = 8
)

// HomeDemand is the number of homes that one host calculates for a service from the service's request rate. It is
// announced to all hosts when it is above 1; see HomeCount.
type HomeDemand struct {
	Service string
	Homes   int
}

// serviceDemand is the calculated demand of one service.
type serviceDemand struct {
	// homes is the number of homes that this host announces as needed.
	homes int
	// pending is the number of homes that the latest rate calls for; it replaces homes after a delay.
	pending int
	// since is when pending last changed.
	since time.Duration
}

// HomeScaler calculates from the request rates that this host observes how many homes each service needs.
// It is not safe for concurrent use.
type HomeScaler struct {
	services map[string]*serviceDemand
}

// NewHomeScaler returns a HomeScaler that has observed no requests.
func NewHomeScaler() *HomeScaler { return &HomeScaler{map[string]*serviceDemand{}} }

// Observe records the rate of a service's requests on this host, in requests per second. The service currently has the
// given number of homes; the total rate is estimated as though each of them received as many requests as this host.
func (s *HomeScaler) Observe(now time.Duration, service string, rate float64, homes int) {
	d := s.services[service]
	if d == nil {
		d = &serviceDemand{homes: 1, pending: 1, since: now}
		s.services[service] = d
	}
	needed := neededHomes(rate*float64(max(1, homes)), d.homes)
	if needed != d.pending {
		d.pending, d.since = needed, now
	}
	delay := scaleUpDelay
	if d.pending < d.homes {
		delay = scaleDownDelay
	}
	if d.pending != d.homes && now-d.since >= delay {
		d.homes = d.pending
	}
}

// neededHomes returns how many homes a service needs for a total rate in requests per second. It returns current, the
// number needed so far, unless more are needed or fewer suffice with a margin.
func neededHomes(total float64, current int) int {
	scaleUpTo := int(math.Ceil(total / maxRatePerHome))
	scaleDownTo := int(math.Ceil(total / (maxRatePerHome * scaleDownShare)))
	switch {
	case scaleUpTo > current:
		return min(scaleUpTo, maxScaledHomes)
	case scaleDownTo < current:
		return max(1, scaleDownTo)
	}
	return current
}

// Demands returns the demand of each service that needs more than one home, sorted by service.
func (s *HomeScaler) Demands() []HomeDemand {
	var demands []HomeDemand
	for service, d := range s.services {
		if d.homes > 1 {
			demands = append(demands, HomeDemand{service, d.homes})
		}
	}
	slices.SortFunc(demands, func(a, b HomeDemand) int { return cmp.Compare(a.Service, b.Service) })
	return demands
}

// HomeCount returns the number of homes of a service: the configured number given as homes, or the highest number that
// a live host announces as needed (counted up to maxScaledHomes) if that is higher.
func HomeCount(service string, homes int, live []Member) int {
	for _, m := range live {
		for _, d := range m.Wants {
			if d.Service == service {
				homes = max(homes, min(d.Homes, maxScaledHomes))
			}
		}
	}
	return homes
}
