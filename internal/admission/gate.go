// Package admission implements admission control for the requests of one service. A request is assigned to a target
// only once package route picks one that can take another request; until then it waits in a bounded queue that classes
// share by weight. A target may get a few requests more than it has slots, so that no slot is idle while requests and
// responses are on the network. Requests that cannot meet their deadline are refused at once rather than left to time
// out in the queue.
package admission

import (
	"time"

	"briarcroft/internal/route"
)

// Reason says why a request was refused. A refused request has not been sent to any target.
type Reason string

// Reasons of refusals.
const (
	ReasonQueueFull           Reason = "QueueFull"
	ReasonDeadlineCannotBeMet Reason = "DeadlineCannotBeMet"
	ReasonNoTargets           Reason = "NoTargets"
	ReasonDisplaced           Reason = "DisplacedByHigherShare"
)

// Request is one request submitted to a Controller. Once its decision is an *Assignment, the submitter must end it with
// Controller.Finish.
type Request struct {
	Class Class
	// Weight is the weight of the class in the queue, relative to that of other classes. The queue counts less than 1 as 1.
	Weight int
	Domain Domain
	// Deadline is the latest time for the response, on the clock that is passed to the Controller's methods.
	Deadline time.Duration
	// ExcludedTarget is the name of a target that the request must not be assigned to, such as the one that just failed it.
	// It is empty if there is none.
	ExcludedTarget string
	// Decided receives one value when a queued request is assigned or refused. It needs a buffer of one.
	// It may be nil if the submitter polls Decision instead.
	Decided chan struct{}

	decision       Decision
	assignment     Assignment
	refusal        Refusal
	previous, next *Request
	classQueue     *classQueue
	// wasQueued is set once the request has been queued. Decided is signaled only then, because Submit itself
	// sets the decision of a request that is not queued.
	wasQueued bool
}

// Decision is the state of a submitted request: Waiting, *Assignment or *Refusal.
type Decision interface{ isDecision() }

// Waiting means that the request is in the queue.
type Waiting struct{}

// Assignment is the decision to send the request to a target now. The request counts as in flight there until
// Controller.Finish is called.
type Assignment struct {
	Target string
	Index  route.Index
	Start  time.Duration
}

// Refusal is the decision not to run the request. RetryAfter is how long the caller should wait before a retry.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

func (Waiting) isDecision()     {}
func (*Assignment) isDecision() {}
func (*Refusal) isDecision()    {}

// Decision returns the current decision on the request.
func (r *Request) Decision() Decision { return r.decision }

// Config configures a Controller.
type Config struct {
	Router     *route.Router
	QueueLimit int
}

// Controller admits the requests of one service: it queues them and assigns them to targets that its router picks.
// It is not safe for concurrent use.
type Controller struct {
	router     *route.Router
	queueLimit int
	queue      queue
	Counters   CounterTable
	overloaded bool
}

// New returns a Controller with an empty queue.
func New(c Config) *Controller {
	return &Controller{router: c.Router, queueLimit: c.QueueLimit}
}

// Router returns the router that picks the targets.
func (c *Controller) Router() *route.Router { return c.router }

// SetQueueLimit sets the maximum number of queued requests. Requests that are queued already stay.
func (c *Controller) SetQueueLimit(limit int) { c.queueLimit = limit }

// Queued returns the number of queued requests.
func (c *Controller) Queued() int { return c.queue.size }

// Overloaded reports whether a request has been refused, because its deadline could not be met or the queue was full,
// since Dispatch last found the queue empty or emptied it.
func (c *Controller) Overloaded() bool { return c.overloaded }

// Submit assigns, queues or refuses a request. The decision is set when Submit returns.
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
	wait := c.predictWait(now, c.queue.queuedAhead(r.Class, r.Weight))
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

// displace makes room in a full queue by refusing the newest request of the class that is furthest over its share.
// It refuses r instead if r belongs to that class or would put its own class at least as far over its share.
func (c *Controller) displace(now time.Duration, r *Request) {
	worst := c.queue.furthestOverShare()
	ownQueue := c.queue.classQueue(r.Class)
	weight := max(1, float64(r.Weight))
	if worst == nil || worst == ownQueue || float64(ownQueue.size+1)/weight >= float64(worst.size)/worst.weight {
		c.refuse(r, ReasonQueueFull, c.predictWait(now, c.queue.size))
		return
	}
	displaced := worst.tail
	c.queue.remove(displaced)
	c.refuse(displaced, ReasonDisplaced, c.predictWait(now, c.queue.size))
	c.queue.push(r)
}

// predictWait estimates the time until a request with the given number of requests ahead of it is assigned.
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

// assign assigns the request to a target and reports whether the router found one that can take it now.
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

// Finish ends an assigned request and calls Dispatch, since its target can now take another one.
// Latency is the time that the target took to respond.
func (c *Controller) Finish(now time.Duration, a *Assignment, latency time.Duration, outcome route.Outcome) {
	if i := c.router.Lookup(a.Target); i != route.NoTarget {
		c.router.Finish(now, i, a.Start, latency, outcome)
	}
	c.Dispatch(now)
}

// Cancel removes a request from the queue. It does nothing once the request is assigned or refused.
func (c *Controller) Cancel(r *Request) {
	if r.classQueue != nil {
		c.queue.remove(r)
	}
}

// Dispatch refuses the requests at the head of each class's queue whose deadline can no longer be met, and assigns the
// others as long as the router finds targets that can take them.
func (c *Controller) Dispatch(now time.Duration) {
	c.refuseExpired(now)
	for c.queue.size > 0 {
		class := c.queue.nextClass()
		r := class.head
		if !c.assign(now, r) {
			return
		}
		c.queue.remove(r)
		c.queue.advance(class)
	}
	c.overloaded = false
}

func (c *Controller) refuseExpired(now time.Duration) {
	meanLatency := c.router.MeanLatency()
	for _, class := range c.queue.classes {
		for r := class.expiredHead(now, meanLatency); r != nil; r = class.expiredHead(now, meanLatency) {
			c.queue.remove(r)
			c.overloaded = true
			c.refuse(r, ReasonDeadlineCannotBeMet, c.predictWait(now, c.queue.size))
		}
	}
}

// Tick runs the router's timers and dispatches queued requests. It must be called several times a second.
func (c *Controller) Tick(now time.Duration) {
	c.router.Tick(now)
	c.Dispatch(now)
}
