// Package steering runs requests on the targets of a service. Package admission queues them, package route picks their
// targets and package backend holds the connections; this package sends the requests, reads the responses, and retries
// or hedges attempts as far as the request and the service's retry budget allow.
package steering

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"briarcroft/internal/admission"
	"briarcroft/internal/backend"
	"briarcroft/internal/drain"
	"briarcroft/internal/note"
	"briarcroft/internal/quarantine"
	"briarcroft/internal/record"
	"briarcroft/internal/route"
)

// Config configures a Dispatcher.
type Config struct {
	Records    *record.Log
	Quarantine *quarantine.List
	// Clock is the host's monotonic clock.
	Clock func() time.Duration
	// Seed is the seed of the random numbers that break ties between targets.
	Seed uint64
	// OnQuarantine is called after each request that was put in quarantine.
	OnQuarantine func()
	// Dial opens connections to targets. If it is nil, TCP is used.
	Dial backend.DialFunc
	// OnPanic is called with the value of a panic of a second attempt, which fails. If it is nil, a panic ends the process.
	OnPanic func(value any)
	// Stop decides which runs are started in a graceful stop of the host, on Clock. If it is nil, there is none.
	Stop *drain.Gate
}

// Dispatcher holds the services of the configuration in force and matches requests with them.
type Dispatcher struct {
	config  Config
	mu      sync.Mutex
	current atomic.Pointer[snapshot]
	domains domains
}

// snapshot is a configuration with its running services. It is never modified, only replaced.
type snapshot struct {
	configuration note.Configuration
	services      map[string]*Service
}

// New returns a Dispatcher without services and a function that closes its connections.
func New(c Config) (*Dispatcher, func()) {
	if c.Stop == nil {
		c.Stop = drain.New()
	}
	d := &Dispatcher{config: c}
	d.current.Store(&snapshot{services: map[string]*Service{}})
	return d, d.close
}

func (d *Dispatcher) close() {
	for _, service := range d.current.Load().services {
		service.close()
	}
}

// Configuration returns the configuration in force.
func (d *Dispatcher) Configuration() note.Configuration { return d.current.Load().configuration }

// Apply puts a configuration in force. It ignores one whose number is not above the current one.
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

// Match returns the rule and the service for a request, and whether both exist.
func (d *Dispatcher) Match(host, path, method string) (note.Rule, *Service, bool) {
	current := d.current.Load()
	rule, found := current.configuration.Match(host, path, method)
	if !found {
		return rule, nil, false
	}
	service := current.services[rule.Service]
	return rule, service, service != nil
}

// Services returns the running services by name. The map must not be modified.
func (d *Dispatcher) Services() map[string]*Service { return d.current.Load().services }

// Tick runs the timers of every service and reports whether any has requests queued or in flight.
func (d *Dispatcher) Tick() bool {
	busy := false
	for _, service := range d.Services() {
		busy = service.tick() || busy
	}
	return busy
}

// noteNumber returns the number of the configuration in force, which is that of its release note.
func (d *Dispatcher) noteNumber() int { return d.current.Load().configuration.Number }

// domains assigns indices to the callers' failure domains in the order in which they are first seen.
type domains struct {
	mu     sync.RWMutex
	byName map[string]admission.Domain
}

// index returns the index of a failure domain. Domains beyond the size of admission.CounterTable share the last index.
func (d *domains) index(name string) admission.Domain {
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

// names returns the names of the failure domains by index. Domains that share the last index are not included.
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
