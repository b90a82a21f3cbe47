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

	decision       Decision
	assignment     Assignment
	refusal        Refusal
	previous, next *Request
	classQueue     *classQueue
	// wasQueued is set once the waiter has been in the queue; only then is Ready signalled.
	wasQueued bool
}

// Decision is the gate's decision on a waiter: Waiting, Bound or Refused.
type Decision interface{ isDecision() }

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

func (Waiting) isDecision()     {}
func (*Assignment) isDecision() {}
func (*Refusal) isDecision()    {}

// Decision returns the decision so far.
func (r *Request) Decision() Decision { return r.decision }

// Config sets up a Gate.
type Config struct {
	Router     *route.Router
	QueueLimit int
}

// Controller joins one service's queue with its router. It is not safe for concurrent use.
type Controller struct {
	router     *route.Router
	queueLimit int
	queue      queue
	Counters   CounterTable
	overloaded bool
}

// New returns an open gate.
func New(c Config) *Controller {
	return &Controller{router: c.Router, queueLimit: c.QueueLimit}
}

// Router returns the router behind the gate.
func (c *Controller) Router() *route.Router { return c.router }

// SetQueueLimit changes the most requests that may wait.
func (c *Controller) SetQueueLimit(limit int) { c.queueLimit = limit }

// Queued returns the number of waiting requests.
func (c *Controller) Queued() int { return c.queue.size }

// Overloaded reports whether the queue has refused lately and has not emptied since.
func (c *Controller) Overloaded() bool { return c.overloaded }

// Submit offers a request; its verdict is set when Enter returns.
func (c *Controller) Submit(now time.Duration, r *Request) {
	counters := c.Counters.At(r.Class, r.Domain)
	counters.Offered.Add(1)
	r.decision = Waiting{}
	if c.router.Capacity(now) == 1 && len(c.router.Eligible(nil)) == 0 {
		c.refuse(r, ReasonNoTargets, time.Second)
		return
	}
	if c.queue.size == 0 && c.assign(now, r) {
		return
	}
	c.enqueue(now, r)
}

func (c *Controller) enqueue(now time.Duration, r *Request) {
	wait := c.predictWait(now, c.queue.aheadOf(r.Class, r.Weight))
	if now+wait+c.router.MeanLatency() > r.Deadline {
		c.overloaded = true
		c.refuse(r, ReasonDeadlineCannotBeMet, wait)
		return
	}
	if c.queue.size < c.queueLimit {
		c.queue.push(r)
		return
	}
	c.overloaded = true
	c.displace(now, r)
}

// displace makes room in a full queue by refusing the newest waiter of the class furthest over its share.
func (c *Controller) displace(now time.Duration, r *Request) {
	overShare := c.queue.furthestOverShare()
	ownQueue := c.queue.classQueue(r.Class)
	weight := max(1, float64(r.Weight))
	if overShare == nil || overShare == ownQueue || float64(ownQueue.size+1)/weight >= float64(overShare.size)/overShare.weight {
		c.refuse(r, ReasonQueueFull, c.predictWait(now, c.queue.size))
		return
	}
	displaced := overShare.tail
	c.queue.remove(displaced)
	c.refuse(displaced, ReasonDisplaced, c.predictWait(now, c.queue.size))
	c.queue.push(r)
}

// predictWait returns how long the given number of waiters takes to be served.
func (c *Controller) predictWait(now time.Duration, ahead int) time.Duration {
	meanLatency := c.router.MeanLatency()
	if meanLatency == 0 {
		return 0
	}
	return meanLatency * time.Duration(ahead+1) / time.Duration(c.router.Capacity(now))
}

func (c *Controller) refuse(r *Request, reason Reason, retryAfter time.Duration) {
	c.Counters.At(r.Class, r.Domain).Refused.Add(1)
	r.refusal = Refusal{reason, retryAfter}
	r.decision = &r.refusal
	r.signal()
}

func (r *Request) signal() {
	if r.wasQueued && r.Decided != nil {
		r.Decided <- struct{}{}
	}
}

// assign hands the waiter to a target and reports whether one was free.
func (c *Controller) assign(now time.Duration, r *Request) bool {
	excluded := route.NoTarget
	if r.ExcludedTarget != "" {
		excluded = c.router.Lookup(r.ExcludedTarget)
	}
	i := c.router.Pick(now, c.queue.size, excluded)
	if i == route.NoTarget {
		return false
	}
	c.router.Start(now, i)
	counters := c.Counters.At(r.Class, r.Domain)
	counters.Admitted.Add(1)
	counters.Weighted.Add(int64(r.Weight))
	r.assignment = Assignment{c.router.Name(i), i, now}
	r.decision = &r.assignment
	r.signal()
	return true
}

// Finish ends a bound request that took so long to its answer, and binds waiters to what became free.
func (c *Controller) Finish(now time.Duration, a *Assignment, latency time.Duration, outcome route.Outcome) {
	if i := c.router.Lookup(a.Target); i != route.NoTarget {
		c.router.Finish(now, i, a.Start, latency, outcome)
	}
	c.Dispatch(now)
}

// Cancel takes a waiter out of the queue; it does nothing once the waiter is bound or refused.
func (c *Controller) Cancel(r *Request) {
	if r.classQueue != nil {
		c.queue.remove(r)
	}
}

// Dispatch binds waiters while targets are free and refuses those whose deadline cannot be met.
func (c *Controller) Dispatch(now time.Duration) {
	c.refuseExpired(now)
	for c.queue.size > 0 {
		f := c.queue.next()
		r := f.head
		if !c.assign(now, r) {
			return
		}
		c.queue.remove(r)
		c.queue.advance(f)
	}
	c.overloaded = false
}

func (c *Controller) refuseExpired(now time.Duration) {
	meanLatency := c.router.MeanLatency()
	for _, f := range c.queue.classes {
		for r := f.firstExpired(now, meanLatency); r != nil; r = f.firstExpired(now, meanLatency) {
			c.queue.remove(r)
			c.overloaded = true
			c.refuse(r, ReasonDeadlineCannotBeMet, c.predictWait(now, c.queue.size))
		}
	}
}

// Tick runs the router's timers and dispatches; call it several times a second.
func (c *Controller) Tick(now time.Duration) {
	c.router.Tick(now)
	c.Dispatch(now)
}
