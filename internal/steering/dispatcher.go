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
	Records    *record.Book
	Quarantine *claim.Quarantine
	// Clock is the host's monotonic clock.
	Clock func() time.Duration
	Seed  uint64
	// OnQuarantine is told of each request that was put in quarantine.
	OnQuarantine func()
	// Dial opens connections to targets; nil means TCP.
	Dial backend.DialFunc
}

// Dispatcher holds the services of the note in force.
type Dispatcher struct {
	config  Config
	mu      sync.Mutex
	current atomic.Pointer[snapshot]
	domains domains
}

// snapshot is one configuration with its running services; it is replaced whole.
type snapshot struct {
	configuration note.Configuration
	services      map[string]*Service
}

// New returns Steering without services, and the function that closes its connections.
func New(c Config) (*Dispatcher, func()) {
	s := &Dispatcher{config: c}
	s.current.Store(&snapshot{services: map[string]*Service{}})
	return s, s.close
}

func (d *Dispatcher) close() {
	for _, service := range d.current.Load().services {
		service.close()
	}
}

// Configuration returns the configuration in force.
func (d *Dispatcher) Configuration() note.Configuration { return d.current.Load().configuration }

// Apply puts a configuration in force; one with a lower number is left out.
func (d *Dispatcher) Apply(c note.Configuration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.current.Load()
	if c.Number <= old.configuration.Number {
		return
	}
	next := &snapshot{c, map[string]*Service{}}
	for _, spec := range c.Services {
		service := old.services[spec.Name]
		if service == nil {
			service = newService(d, spec)
		}
		service.apply(spec, c)
		next.services[spec.Name] = service
	}
	d.current.Store(next)
	for name, service := range old.services {
		if next.services[name] == nil {
			service.apply(note.Service{Name: name, QueueLimit: 1}, c)
			service.close()
		}
	}
}

// Match returns the rule and the service for a request.
func (d *Dispatcher) Match(host, path, method string) (note.Rule, *Service, bool) {
	v := d.current.Load()
	rule, found := v.configuration.Match(host, path, method)
	if !found {
		return rule, nil, false
	}
	service := v.services[rule.Service]
	return rule, service, service != nil
}

// Services returns the running services.
func (d *Dispatcher) Services() map[string]*Service { return d.current.Load().services }

// Tick runs the timers of every service and reports whether any has requests.
func (d *Dispatcher) Tick() bool {
	busy := false
	for _, service := range d.Services() {
		busy = service.tick() || busy
	}
	return busy
}

func (d *Dispatcher) noteNumber() int { return d.current.Load().configuration.Number }

// domains numbers the callers' failure domains in the order in which they are first seen.
type domains struct {
	mu     sync.RWMutex
	byName map[string]admission.Domain
}

// number returns the number of a failure domain; those beyond the table share the last.
func (d *domains) number(name string) admission.Domain {
	d.mu.RLock()
	n, found := d.byName[name]
	d.mu.RUnlock()
	if found {
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
	if n, found = d.byName[name]; !found {
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
