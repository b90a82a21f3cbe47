// Package steering runs requests on targets: it joins the decisions of route and admission with the connections of backend.
package steering

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"briarcroft/internal/admission"
	"briarcroft/internal/backend"
	"briarcroft/internal/claim"
	"briarcroft/internal/note"
	"briarcroft/internal/record"
	"briarcroft/internal/route"
)

// Config sets up Steering.
type Config struct {
	Book       *record.Log
	Quarantine *claim.Quarantine
	// Clock is the host's monotonic clock.
	Clock func() time.Duration
	Seed  uint64
	// OnQuarantine is told of each request that was put in quarantine.
	OnQuarantine func()
	// Dial opens connections to targets; nil means TCP.
	Dial backend.DialFunc
}

// Steering holds the services of the note in force.
type Steering struct {
	config  Config
	mu      sync.Mutex
	current atomic.Pointer[view]
	domains domains
}

// view is one configuration with its running services; it is replaced whole.
type view struct {
	configuration note.Configuration
	services      map[string]*Service
}

// New returns Steering without services, and the function that closes its connections.
func New(c Config) (*Steering, func()) {
	s := &Steering{config: c}
	s.current.Store(&view{services: map[string]*Service{}})
	return s, s.close
}

func (s *Steering) close() {
	for _, service := range s.current.Load().services {
		service.close()
	}
}

// Configuration returns the configuration in force.
func (s *Steering) Configuration() note.Configuration { return s.current.Load().configuration }

// Adopt puts a configuration in force; one with a lower number is left out.
func (s *Steering) Adopt(c note.Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.current.Load()
	if c.Number <= old.configuration.Number {
		return
	}
	next := &view{c, map[string]*Service{}}
	for _, spec := range c.Services {
		service := old.services[spec.Name]
		if service == nil {
			service = newService(s, spec)
		}
		service.adopt(spec, c)
		next.services[spec.Name] = service
	}
	s.current.Store(next)
	for name, service := range old.services {
		if next.services[name] == nil {
			service.adopt(note.Service{Name: name, QueueLimit: 1}, c)
			service.close()
		}
	}
}

// Match returns the rule and the service for a request.
func (s *Steering) Match(host, path, method string) (note.Rule, *Service, bool) {
	v := s.current.Load()
	rule, found := v.configuration.Match(host, path, method)
	if !found {
		return rule, nil, false
	}
	service := v.services[rule.Service]
	return rule, service, service != nil
}

// Services returns the running services.
func (s *Steering) Services() map[string]*Service { return s.current.Load().services }

// Tick runs the timers of every service and reports whether any has requests.
func (s *Steering) Tick() bool {
	busy := false
	for _, service := range s.Services() {
		busy = service.tick() || busy
	}
	return busy
}

func (s *Steering) note() int { return s.current.Load().configuration.Number }

// domains numbers the callers' failure domains in the order in which they are first seen.
type domains struct {
	mu     sync.RWMutex
	byName map[string]admission.Domain
}

// number returns the number of a failure domain; those beyond the table share the last.
func (d *domains) number(name string) admission.Domain {
	d.mu.RLock()
	n, known := d.byName[name]
	d.mu.RUnlock()
	if known {
		return n
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byName == nil {
		d.byName = map[string]admission.Domain{}
	}
	if len(d.byName) >= admission.MaxDomains-1 {
		return admission.MaxDomains - 1
	}
	if n, known = d.byName[name]; !known {
		n = admission.Domain(len(d.byName))
		d.byName[name] = n
	}
	return n
}

// names returns the failure domains by number.
func (d *domains) names() map[admission.Domain]string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	names := map[admission.Domain]string{}
	for name, n := range d.byName {
		names[n] = name
	}
	return names
}

func newRouter(seed uint64) *route.Router {
	return route.New(route.Config{Random: rand.New(rand.NewPCG(seed, 1)), Overcommit: -1})
}
