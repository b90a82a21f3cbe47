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

// dialTimeout is how long a backend server may take to accept a connection.
const dialTimeout = time.Second

// Service runs the requests of one service on one entry host.
type Service struct {
	name     string
	steering *Steering
	mu       sync.Mutex
	gate     *admission.Gate
	budget   *route.Budget
	pools    map[string]*targetPool
	classes  map[string]admission.Class
	spec     note.Service
	overload bool
	// requests counts the first tries.
	requests int64
	// probeCredit is how many probes the requests so far have earned.
	probeCredit float64
}

type targetPool struct {
	*backend.Pool
	close  func()
	target note.Target
}

func newService(s *Steering, spec note.Service) *Service {
	return &Service{
		name: spec.Name, steering: s, pools: map[string]*targetPool{}, classes: map[string]admission.Class{},
		gate:   admission.New(admission.Config{Router: newRouter(s.config.Seed), QueueLimit: spec.QueueLimit}),
		budget: route.NewBudget(route.BudgetConfig{Ratio: spec.RetryRatio}),
	}
}

// adopt takes the service's part of a configuration.
func (s *Service) adopt(spec note.Service, c note.Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spec = spec
	s.gate.SetQueueLimit(spec.QueueLimit)
	s.budget.SetRatio(spec.RetryRatio)
	for _, r := range c.Rules {
		if _, known := s.classes[r.Class]; r.Service == s.name && !known {
			s.classes[r.Class] = admission.Class(len(s.classes))
		}
	}
	var specs []route.Spec
	for _, t := range c.ServiceTargets(s.name) {
		s.openPool(t)
		specs = append(specs, route.Spec{Name: t.Name, Slots: t.Slots})
	}
	now := s.steering.config.Clock()
	s.gate.Router().SetTargets(now, specs)
	s.gate.Dispatch(now)
	s.explain(c.Number)
	s.dropPools(s.gate.Router())
}

// openPool makes the pool of a target that is new or has moved to another address.
func (s *Service) openPool(t note.Target) {
	old := s.pools[t.Name]
	if old != nil && old.target == t {
		return
	}
	if old != nil {
		old.close()
	}
	pool, closePool := backend.New(backend.Config{Address: t.Address, MaxConnections: t.Connections, DialTimeout: dialTimeout, Dial: s.steering.config.Dial})
	s.pools[t.Name] = &targetPool{pool, closePool, t}
}

func (s *Service) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, pool := range s.pools {
		pool.close()
	}
}

// enter waits at the gate; the verdict is *admission.Bound or *admission.Refused, or nil when the context ended first.
func (s *Service) enter(ctx context.Context, r *Request, avoid string) admission.Verdict {
	now := s.steering.config.Clock()
	w := &admission.Waiter{
		Weight: r.Rule.Weight, Domain: s.steering.domains.number(r.Domain),
		Deadline: now + time.Until(r.Deadline), Avoid: avoid,
	}
	s.mu.Lock()
	w.Class = s.classes[r.Rule.Class]
	s.gate.Enter(now, w)
	verdict := w.Verdict()
	if _, waits := verdict.(admission.Waiting); !waits {
		s.noteOverload()
		s.mu.Unlock()
		return verdict
	}
	w.Ready = make(chan struct{}, 1)
	s.noteOverload()
	s.mu.Unlock()
	select {
	case <-w.Ready:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.Abandon(w)
	if _, waits := w.Verdict().(admission.Waiting); waits {
		return nil
	}
	return w.Verdict()
}

// leave ends a bound request.
func (s *Service) leave(b *admission.Bound, took time.Duration, outcome route.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.Leave(s.steering.config.Clock(), b, took, outcome)
	s.explain(s.steering.note())
}

// pool returns the connections to a target, or nil when the note has withdrawn it meanwhile.
func (s *Service) pool(target string) *targetPool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pools[target]
}

// expected returns the latency to expect of a target.
func (s *Service) expected(target string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := s.gate.Router().Lookup(target); i != route.None {
		return s.gate.Router().Expected(s.steering.config.Clock(), i)
	}
	return 0
}

// report takes in what a target says of itself.
func (s *Service) report(target string, report route.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	router := s.gate.Router()
	i := router.Lookup(target)
	if i == route.None {
		return
	}
	now := s.steering.config.Clock()
	if report.Draining {
		router.Drain(now, i, route.CauseReport)
	} else {
		router.TakeReport(now, i, report)
	}
	s.explain(s.steering.note())
}

// Drain stops new requests to a target.
func (s *Service) Drain(target string, cause route.Cause) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := s.gate.Router().Lookup(target); i != route.None {
		s.gate.Router().Drain(s.steering.config.Clock(), i, cause)
	}
	s.explain(s.steering.note())
}

// Undrain lets a drained target have requests again.
func (s *Service) Undrain(target string, cause route.Cause) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := s.gate.Router().Lookup(target); i != route.None {
		s.gate.Router().Undrain(s.steering.config.Clock(), i, cause)
	}
	s.explain(s.steering.note())
}

// TakePeerCounts takes in other entry hosts' requests in flight on those targets that are the service's own.
func (s *Service) TakePeerCounts(targets []string, inFlight func(target string) int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, target := range targets {
		if i := s.gate.Router().Lookup(target); i != route.None {
			s.gate.Router().TakePeerCounts(s.steering.config.Clock(), i, inFlight(target))
		}
	}
}

// tick runs the timers and reports whether the service has requests.
func (s *Service) tick() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	router := s.gate.Router()
	busy := s.gate.Queued() > 0 || router.Busy()
	if !busy && router.Settled() {
		return false
	}
	for name, pool := range s.pools {
		if i := router.Lookup(name); i != route.None {
			router.SetRoundTrip(i, pool.MinConnectTime())
		}
	}
	s.gate.Tick(s.steering.config.Clock())
	s.noteOverload()
	s.explain(s.steering.note())
	s.dropPools(router)
	return busy
}

// dropPools closes the pools of targets that the router has forgotten.
func (s *Service) dropPools(router *route.Router) {
	for name, pool := range s.pools {
		if router.Lookup(name) == route.None {
			pool.close()
			delete(s.pools, name)
			s.steering.config.Book.Add(record.Record{Kind: record.TargetForgotten, Service: s.name, Target: name, Note: s.steering.note()})
		}
	}
}

// noteOverload writes a record when an overload begins or ends.
func (s *Service) noteOverload() {
	overload := s.gate.Overloaded()
	if overload == s.overload {
		return
	}
	s.overload = overload
	kind := record.OverloadEnded
	if overload {
		kind = record.OverloadBegan
	}
	s.steering.config.Book.Add(record.Record{
		Kind: kind, Service: s.name, Note: s.steering.note(), Cause: "QueueRefused",
		Evidence: record.Evidence{Queued: s.gate.Queued(), Usual: s.gate.Router().Usual()},
	})
}

// explain writes a record for each change of a target's state.
func (s *Service) explain(number int) {
	for _, c := range s.gate.Router().TakeChanges() {
		s.steering.config.Book.Add(record.Record{
			Kind: record.TargetMoved, Service: s.name, Target: c.Target, From: c.From.String(), To: c.To.String(),
			Cause: string(c.Cause), Note: number,
			Evidence: record.Evidence{Failures: c.Failures, Latency: c.Latency, Usual: c.Usual},
		})
	}
}
