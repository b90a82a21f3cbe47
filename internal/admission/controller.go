// Package admission lets requests of one service in: it binds them late to free slots, keeps a bounded weighted queue and refuses early.
package admission

import (
	"time"

	"briarcroft/internal/route"
)

// Reason says why a request was refused; every refusal means that it was not run.
type Reason string

// The reasons of a refusal.
const (
	ReasonQueueFull           Reason = "QueueFull"
	ReasonDeadlineCannotBeMet Reason = "DeadlineCannotBeMet"
	ReasonNoTargets           Reason = "NoTargets"
	ReasonDisplaced           Reason = "DisplacedByHigherShare"
)

// Request is one request at the gate. The owner reads Bound once and must call Leave after a target was bound.
type Request struct {
	Class  Class
	Weight int
	Domain Domain
	// Deadline is the latest time for the answer, on the gate's clock.
	Deadline time.Duration
	// ExcludedTarget names a target not to use, for a retry; empty for none.
	ExcludedTarget string
	// Decided is signalled once when a waiter that had to wait is bound or refused; it needs room for one signal.
	// It is nil when the owner looks at Verdict itself.
	Decided chan struct{}

	verdict        Decision
	bound          Assignment
	refused        Refusal
	previous, next *Request
	queue          *fifo
	// queued is set once the waiter has been in the queue; only then is Ready signalled.
	queued bool
}

// Decision is the gate's decision on a waiter: Waiting, Bound or Refused.
type Decision interface{ verdict() }

// Waiting means that the request is in the queue.
type Waiting struct{}

// Assignment means that the request may go to the target now.
type Assignment struct {
	Target string
	Index  route.Index
	Start  time.Duration
}

// Refusal means that the request will not be run.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

func (Waiting) verdict()     {}
func (*Assignment) verdict() {}
func (*Refusal) verdict()    {}

// Decision returns the decision so far.
func (w *Request) Decision() Decision { return w.verdict }

// Config sets up a Gate.
type Config struct {
	Router     *route.Router
	QueueLimit int
}

// Controller joins one service's queue with its router. It is not safe for concurrent use.
type Controller struct {
	router   *route.Router
	limit    int
	queue    queue
	Counters CounterTable
	overload bool
}

// New returns an open gate.
func New(c Config) *Controller {
	return &Controller{router: c.Router, limit: c.QueueLimit}
}

// Router returns the router behind the gate.
func (g *Controller) Router() *route.Router { return g.router }

// SetQueueLimit changes the most requests that may wait.
func (g *Controller) SetQueueLimit(limit int) { g.limit = limit }

// Queued returns the number of waiting requests.
func (g *Controller) Queued() int { return g.queue.size }

// Overloaded reports whether the queue has refused lately and has not emptied since.
func (g *Controller) Overloaded() bool { return g.overload }

// Submit offers a request; its verdict is set when Enter returns.
func (g *Controller) Submit(now time.Duration, w *Request) {
	count := g.Counters.At(w.Class, w.Domain)
	count.Offered.Add(1)
	w.verdict = Waiting{}
	if g.router.Capacity(now) == 1 && len(g.router.Eligible(nil)) == 0 {
		g.refuse(w, ReasonNoTargets, time.Second)
		return
	}
	if g.queue.size == 0 && g.bind(now, w) {
		return
	}
	g.enqueue(now, w)
}

func (g *Controller) enqueue(now time.Duration, w *Request) {
	wait := g.predictWait(now, g.queue.ahead(w.Class, w.Weight))
	if now+wait+g.router.MeanLatency() > w.Deadline {
		g.overload = true
		g.refuse(w, ReasonDeadlineCannotBeMet, wait)
		return
	}
	if g.queue.size < g.limit {
		g.queue.push(w)
		return
	}
	g.overload = true
	g.displace(now, w)
}

// displace makes room in a full queue by refusing the newest waiter of the class furthest over its share.
func (g *Controller) displace(now time.Duration, w *Request) {
	worst := g.queue.mostOverShare()
	own := g.queue.class(w.Class)
	weight := max(1, float64(w.Weight))
	if worst == nil || worst == own || float64(own.size+1)/weight >= float64(worst.size)/worst.weight {
		g.refuse(w, ReasonQueueFull, g.predictWait(now, g.queue.size))
		return
	}
	victim := worst.tail
	g.queue.remove(victim)
	g.refuse(victim, ReasonDisplaced, g.predictWait(now, g.queue.size))
	g.queue.push(w)
}

// predictWait returns how long the given number of waiters takes to be served.
func (g *Controller) predictWait(now time.Duration, ahead int) time.Duration {
	usual := g.router.MeanLatency()
	if usual == 0 {
		return 0
	}
	return usual * time.Duration(ahead+1) / time.Duration(g.router.Capacity(now))
}

func (g *Controller) refuse(w *Request, reason Reason, retryAfter time.Duration) {
	g.Counters.At(w.Class, w.Domain).Refused.Add(1)
	w.refused = Refusal{reason, retryAfter}
	w.verdict = &w.refused
	w.signal()
}

func (w *Request) signal() {
	if w.queued && w.Decided != nil {
		w.Decided <- struct{}{}
	}
}

// bind hands the waiter to a target and reports whether one was free.
func (g *Controller) bind(now time.Duration, w *Request) bool {
	avoid := route.NoTarget
	if w.ExcludedTarget != "" {
		avoid = g.router.Lookup(w.ExcludedTarget)
	}
	i := g.router.Pick(now, g.queue.size, avoid)
	if i == route.NoTarget {
		return false
	}
	g.router.Start(now, i)
	count := g.Counters.At(w.Class, w.Domain)
	count.Admitted.Add(1)
	count.Weighted.Add(int64(w.Weight))
	w.bound = Assignment{g.router.Name(i), i, now}
	w.verdict = &w.bound
	w.signal()
	return true
}

// Finish ends a bound request that took so long to its answer, and binds waiters to what became free.
func (g *Controller) Finish(now time.Duration, b *Assignment, took time.Duration, outcome route.Outcome) {
	if i := g.router.Lookup(b.Target); i != route.NoTarget {
		g.router.Finish(now, i, b.Start, took, outcome)
	}
	g.Dispatch(now)
}

// Cancel takes a waiter out of the queue; it does nothing once the waiter is bound or refused.
func (g *Controller) Cancel(w *Request) {
	if w.queue != nil {
		g.queue.remove(w)
	}
}

// Dispatch binds waiters while targets are free and refuses those whose deadline cannot be met.
func (g *Controller) Dispatch(now time.Duration) {
	g.dropExpired(now)
	for g.queue.size > 0 {
		f := g.queue.next()
		w := f.head
		if !g.bind(now, w) {
			return
		}
		g.queue.remove(w)
		g.queue.served(f)
	}
	g.overload = false
}

func (g *Controller) dropExpired(now time.Duration) {
	need := g.router.MeanLatency()
	for _, f := range g.queue.classes {
		for w := f.expired(now, need); w != nil; w = f.expired(now, need) {
			g.queue.remove(w)
			g.overload = true
			g.refuse(w, ReasonDeadlineCannotBeMet, g.predictWait(now, g.queue.size))
		}
	}
}

// Tick runs the router's timers and dispatches; call it several times a second.
func (g *Controller) Tick(now time.Duration) {
	g.router.Tick(now)
	g.Dispatch(now)
}
