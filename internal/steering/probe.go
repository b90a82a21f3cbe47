package steering

import (
	"net/http"
	"time"

	"briarcroft/internal/route"
)

// Limits of probing. Targets without an observation for probeIdleTime are probed. Each request adds probePerRequest to
// the service's probe credit, up to maxProbeCredit, and each probe takes 1 from it.
const (
	probeIdleTime   = time.Second
	probePerRequest = 0.05
	maxProbeCredit  = 4.0
)

// Probe is a request for a target's load report that is due.
type Probe struct {
	Address string
	Path    string
	Domain  string
	service *Service
	target  string
}

// Probes returns the probes that are due: of targets whose latency has not been measured and that have not been probed
// for probeIdleTime, such as idle, ejected and draining ones, as far as the probe credit of their service allows.
func (d *Dispatcher) Probes() []Probe {
	var probes []Probe
	for _, service := range d.Services() {
		probes = append(probes, service.probes()...)
	}
	return probes
}

func (s *Service) probes() []Probe {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.spec.ReportPath == "" || s.probeCredit < 1 {
		return nil
	}
	now := s.dispatcher.config.Clock()
	var probes []Probe
	for name, pool := range s.pools {
		i := s.admission.Router().Lookup(name)
		if i == route.NoTarget || now-s.admission.Router().LastObserved(i) < probeIdleTime || s.probeCredit < 1 {
			continue
		}
		s.probeCredit--
		s.admission.Router().MarkProbed(now, i)
		probes = append(probes, Probe{pool.target.Address, s.spec.ReportPath, pool.target.Domain, s, name})
	}
	return probes
}

// Apply applies the load report that the target returned to the probe. Only a response with HTTP status 200 can confirm
// or end the target's draining, as described at route.Router.ApplyProbe.
func (p Probe) Apply(report route.LoadReport, status int) {
	p.service.applyReport(p.target, report)
	if status == http.StatusOK {
		p.service.applyProbe(p.target, report.Draining)
	}
}

// applyProbe applies the draining flag that a target's report path returned.
func (s *Service) applyProbe(target string, draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := s.admission.Router().Lookup(target); i != route.NoTarget {
		s.admission.Router().ApplyProbe(s.dispatcher.config.Clock(), i, draining)
	}
	s.recordStateChanges(s.dispatcher.noteNumber())
}

// ForEachInFlight calls each with the number of this host's requests in flight on every target that has any.
func (s *Service) ForEachInFlight(each func(target string, inFlight int)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	router := s.admission.Router()
	for i := range router.Size() {
		if n := router.InFlight(route.Index(i)); n > 0 {
			each(router.Name(route.Index(i)), n)
		}
	}
}

// Name returns the service's name.
func (s *Service) Name() string { return s.name }

// RequestCount returns how many requests the service has had on this host.
func (s *Service) RequestCount() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requestCount
}
