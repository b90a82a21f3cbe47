package steering

import (
	"net/http"
	"time"

	"briarcroft/internal/route"
)

// Limits of probing: targets without news for probeIdle are probed, and each request earns a part of a probe.
const (
	probeIdleTime   = time.Second
	probePerRequest = 0.05
	maxProbeCredit  = 4.0
)

// Probe is one measurement that would help: the report of a target of which little is known.
type Probe struct {
	Address string
	Path    string
	Domain  string
	service *Service
	target  string
}

// Probes returns the targets whose report would help now: those out of service and those that have been idle.
func (d *Dispatcher) Probes() []Probe {
	var list []Probe
	for _, service := range d.Services() {
		list = append(list, service.probes()...)
	}
	return list
}

func (s *Service) probes() []Probe {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.spec.ReportPath == "" || s.probeCredit < 1 {
		return nil
	}
	now := s.dispatcher.config.Clock()
	var list []Probe
	for name, pool := range s.pools {
		i := s.admission.Router().Lookup(name)
		if i == route.NoTarget || now-s.admission.Router().LastObserved(i) < probeIdleTime || s.probeCredit < 1 {
			continue
		}
		s.probeCredit--
		s.admission.Router().MarkProbed(now, i)
		list = append(list, Probe{pool.target.Address, s.spec.ReportPath, pool.target.Domain, s, name})
	}
	return list
}

// Apply takes in the answer to a probe.
func (p Probe) Apply(report route.LoadReport, status int) {
	p.service.applyReport(p.target, report)
	if status == http.StatusOK {
		p.service.applyProbe(p.target, report.Draining)
	}
}

// applyProbe takes in what a target's report address says of its leaving.
func (s *Service) applyProbe(target string, draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := s.admission.Router().Lookup(target); i != route.NoTarget {
		s.admission.Router().ApplyProbe(s.dispatcher.config.Clock(), i, draining)
	}
	s.recordStateChanges(s.dispatcher.noteNumber())
}

// ForEachInFlight calls each with own requests in flight on the targets that have any.
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

// RequestCount returns how many requests the service has had here.
func (s *Service) RequestCount() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requestCount
}
