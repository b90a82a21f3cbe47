package steering

import (
	"context"
	"sync"
	"time"

	"briarcroft/internal/admission"
	"briarcroft/internal/backend"
	"briarcroft/internal/note"
	"briarcroft/internal/record"
	"briarcroft/internal/route"
)

// dialTimeout is how long a target may take to accept a connection.
const dialTimeout = time.Second

// Service runs the requests of one service on one entry host.
type Service struct {
	name       string
	dispatcher *Dispatcher
	mu         sync.Mutex
	admission  *admission.Controller
	budget     *route.RetryBudget
	pools      map[string]*targetPool
	classes    map[string]admission.Class
	spec       note.Service
	// overloaded is the state of the admission controller that was last recorded.
	overloaded bool
	// requestCount counts requests; retries and hedges are not included.
	requestCount int64
	// probeCredit is the number of probes that may be sent now; each request adds probePerRequest to it.
	probeCredit float64
}

// targetPool is the connection pool of a target, with the function that closes it and the configuration that it was
// opened for.
type targetPool struct {
	*backend.Pool
	close  func()
	target note.Target
}

func newService(d *Dispatcher, spec note.Service) *Service {
	return &Service{
		name: spec.Name, dispatcher: d, pools: map[string]*targetPool{}, classes: map[string]admission.Class{},
		admission: admission.New(admission.Config{Router: newRouter(d.config.Seed), QueueLimit: spec.QueueLimit}),
		budget:    route.NewRetryBudget(route.RetryBudgetConfig{Ratio: spec.RetryRatio}),
	}
}

// apply applies the service's part of a configuration.
func (s *Service) apply(spec note.Service, c note.Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spec = spec
	s.admission.SetQueueLimit(spec.QueueLimit)
	s.budget.SetRatio(spec.RetryRatio)
	for _, r := range c.Rules {
		if _, found := s.classes[r.Class]; r.Service == s.name && !found {
			s.classes[r.Class] = admission.Class(len(s.classes))
		}
	}
	var specs []route.Spec
	for _, t := range c.ServiceTargets(s.name) {
		s.openPool(t)
		specs = append(specs, route.Spec{Name: t.Name, Slots: t.Slots})
	}
	now := s.dispatcher.config.Clock()
	s.admission.Router().SetTargets(now, specs)
	s.admission.Dispatch(now)
	s.recordStateChanges(c.Number)
	s.closeRemovedPools(s.admission.Router())
}

// openPool opens the connection pool of a target that is new or changed, and closes its previous pool.
func (s *Service) openPool(t note.Target) {
	old := s.pools[t.Name]
	if old != nil && old.target == t {
		return
	}
	if old != nil {
		old.close()
	}
	pool, closePool := backend.New(backend.Config{Address: t.Address, MaxConnections: t.Connections, DialTimeout: dialTimeout, Dial: s.dispatcher.config.Dial})
	s.pools[t.Name] = &targetPool{pool, closePool, t}
}

func (s *Service) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, pool := range s.pools {
		pool.close()
	}
}

// admit waits until the request is assigned or refused. It returns an *admission.Assignment or an *admission.Refusal,
// or nil if the context ended first, or no run may be started any more in a graceful stop.
func (s *Service) admit(ctx context.Context, r *Request, excluded string) admission.Decision {
	now := s.dispatcher.config.Clock()
	request := &admission.Request{
		Weight: r.Rule.Weight, Domain: s.dispatcher.domains.index(r.Domain),
		Deadline: now + time.Until(r.Deadline), ExcludedTarget: excluded,
	}
	if decision := s.submit(now, request, r.Rule.Class); decision != nil {
		return decision
	}
	s.awaitDecision(ctx, r, request)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admission.Cancel(request)
	if _, waiting := request.Decision().(admission.Waiting); waiting {
		return nil
	}
	return request.Decision()
}

// awaitDecision waits until the request is decided, its context has ended or no run may be started for it any more.
func (s *Service) awaitDecision(ctx context.Context, r *Request, request *admission.Request) {
	lastRun := s.dispatcher.config.Stop.LastRun()
	for {
		select {
		case <-request.Decided:
			return
		case <-ctx.Done():
			return
		case <-lastRun:
			if !s.mayStartRun(r) {
				return
			}
			lastRun = nil
		}
	}
}

// submit submits a request to admission. It returns nil if the request waits, and sends on its channel Decided once it does no more.
func (s *Service) submit(now time.Duration, request *admission.Request, class string) admission.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	request.Class = s.classes[class]
	s.admission.Submit(now, request)
	defer s.recordOverload()
	decision := request.Decision()
	if _, waiting := decision.(admission.Waiting); !waiting {
		return decision
	}
	request.Decided = make(chan struct{}, 1)
	return nil
}

// finish ends an assigned request.
func (s *Service) finish(a *admission.Assignment, latency time.Duration, outcome route.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admission.Finish(s.dispatcher.config.Clock(), a, latency, outcome)
	s.recordStateChanges(s.dispatcher.noteNumber())
}

// pool returns the connection pool of a target, or nil if the target has been removed since the
// request was assigned.
func (s *Service) pool(target string) *targetPool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pools[target]
}

// expectedLatency returns the latency to expect of a target, or 0 if the target does not exist.
func (s *Service) expectedLatency(target string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := s.admission.Router().Lookup(target); i != route.NoTarget {
		return s.admission.Router().ExpectedLatency(s.dispatcher.config.Clock(), i)
	}
	return 0
}

// applyReport applies the load that a target reported.
func (s *Service) applyReport(target string, report route.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	router := s.admission.Router()
	i := router.Lookup(target)
	if i == route.NoTarget {
		return
	}
	now := s.dispatcher.config.Clock()
	if report.Draining {
		router.Drain(now, i, route.CauseReportedDraining)
	} else {
		router.ApplyReport(now, i, report)
	}
	s.recordStateChanges(s.dispatcher.noteNumber())
}

// Drain stops new requests to a target.
func (s *Service) Drain(target string, cause route.Cause) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := s.admission.Router().Lookup(target); i != route.NoTarget {
		s.admission.Router().Drain(s.dispatcher.config.Clock(), i, cause)
	}
	s.recordStateChanges(s.dispatcher.noteNumber())
}

// Undrain lets a draining target ramp up again.
func (s *Service) Undrain(target string, cause route.Cause) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := s.admission.Router().Lookup(target); i != route.NoTarget {
		s.admission.Router().Undrain(s.dispatcher.config.Clock(), i, cause)
	}
	s.recordStateChanges(s.dispatcher.noteNumber())
}

// SetPeerInFlight sets the number of requests that other entry hosts have in flight on the named targets. It skips
// targets that are not of this service.
func (s *Service) SetPeerInFlight(targets []string, inFlight func(target string) int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, target := range targets {
		if i := s.admission.Router().Lookup(target); i != route.NoTarget {
			s.admission.Router().SetPeerInFlight(s.dispatcher.config.Clock(), i, inFlight(target))
		}
	}
}

// tick runs the timers and reports whether the service has requests queued or in flight.
func (s *Service) tick() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	router := s.admission.Router()
	busy := s.admission.Queued() > 0 || router.Busy()
	if !busy && router.Stable() {
		return false
	}
	for name, pool := range s.pools {
		if i := router.Lookup(name); i != route.NoTarget {
			router.SetRoundTrip(i, pool.MinConnectTime())
		}
	}
	s.admission.Tick(s.dispatcher.config.Clock())
	s.recordOverload()
	s.recordStateChanges(s.dispatcher.noteNumber())
	s.closeRemovedPools(router)
	return busy
}

// closeRemovedPools closes the connection pools of targets that the router has removed.
func (s *Service) closeRemovedPools(router *route.Router) {
	for name, pool := range s.pools {
		if router.Lookup(name) == route.NoTarget {
			pool.close()
			delete(s.pools, name)
			s.dispatcher.config.Records.Add(record.Record{Kind: record.TargetForgotten, Service: s.name, Target: name, Note: s.dispatcher.noteNumber()})
		}
	}
}

// recordOverload adds a record when an overload begins or ends.
func (s *Service) recordOverload() {
	overloaded := s.admission.Overloaded()
	if overloaded == s.overloaded {
		return
	}
	s.overloaded = overloaded
	kind := record.OverloadEnded
	if overloaded {
		kind = record.OverloadBegan
	}
	s.dispatcher.config.Records.Add(record.Record{
		Kind: kind, Service: s.name, Note: s.dispatcher.noteNumber(), Cause: "QueueRefused",
		Evidence: record.Evidence{Queued: s.admission.Queued(), Usual: s.admission.Router().MeanLatency()},
	})
}

// recordStateChanges adds a record for each state change of a target since the last call.
func (s *Service) recordStateChanges(noteNumber int) {
	for _, c := range s.admission.Router().PopChanges() {
		s.dispatcher.config.Records.Add(record.Record{
			Kind: record.TargetMoved, Service: s.name, Target: c.Target, From: c.From.String(), To: c.To.String(),
			Cause: string(c.Cause), Note: noteNumber,
			Evidence: record.Evidence{Failures: c.Failures, Latency: c.Latency, Usual: c.MeanLatency},
		})
	}
}
