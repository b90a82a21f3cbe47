package admission

import "time"

// classQueue is the first-in, first-out queue of one class. It is an intrusive list of the requests, so that queuing
// allocates nothing.
type classQueue struct {
	head, tail *Request
	size       int
	// virtualTime is the class's pass value in stride scheduling; the class with the least is served next.
	virtualTime float64
	weight      float64
}

func (c *classQueue) push(r *Request) {
	r.previous, r.next = c.tail, nil
	if c.tail == nil {
		c.head = r
	} else {
		c.tail.next = r
	}
	c.tail = r
	c.size++
	r.classQueue, r.wasQueued = c, true
}

func (c *classQueue) remove(r *Request) {
	if r.previous == nil {
		c.head = r.next
	} else {
		r.previous.next = r.next
	}
	if r.next == nil {
		c.tail = r.previous
	} else {
		r.next.previous = r.previous
	}
	r.previous, r.next, r.classQueue = nil, nil, nil
	c.size--
}

// queue holds the queued requests of one service and serves its classes in proportion to their weights by stride
// scheduling. It is not safe for concurrent use.
type queue struct {
	classes []*classQueue
	size    int
	// virtualTime is that of the class served last. A class that was empty starts from it, so that it gets no credit
	// for the time when it had no requests.
	virtualTime float64
}

func (q *queue) classQueue(i Class) *classQueue {
	for len(q.classes) <= int(i) {
		q.classes = append(q.classes, &classQueue{weight: 1})
	}
	return q.classes[i]
}

func (q *queue) push(r *Request) {
	c := q.classQueue(r.Class)
	c.weight = max(1, float64(r.Weight))
	if c.size == 0 {
		c.virtualTime = max(c.virtualTime, q.virtualTime)
	}
	c.push(r)
	q.size++
}

func (q *queue) remove(r *Request) {
	r.classQueue.remove(r)
	q.size--
}

// nextClass returns the class to serve next, or nil if the queue is empty.
func (q *queue) nextClass() *classQueue {
	var best *classQueue
	for _, c := range q.classes {
		if c.size > 0 && (best == nil || c.virtualTime < best.virtualTime) {
			best = c
		}
	}
	return best
}

// advance advances the virtual time of a class after one of its requests was assigned.
func (q *queue) advance(c *classQueue) {
	q.virtualTime = c.virtualTime
	c.virtualTime += 1 / c.weight
}

// furthestOverShare returns the class with the most queued requests per weight, or nil if the queue is empty.
func (q *queue) furthestOverShare() *classQueue {
	var worst *classQueue
	for _, c := range q.classes {
		if c.size > 0 && (worst == nil || float64(c.size)/c.weight > float64(worst.size)/worst.weight) {
			worst = c
		}
	}
	return worst
}

// queuedAhead estimates how many queued requests would be served before a new request of the class.
func (q *queue) queuedAhead(class Class, weight int) int {
	ownQueue := q.classQueue(class)
	share := float64(ownQueue.size+1) / max(1, float64(weight))
	sum := 0.0
	for _, c := range q.classes {
		if c == ownQueue {
			sum += float64(c.size)
			continue
		}
		sum += min(float64(c.size), share*c.weight)
	}
	return int(sum)
}

// expiredHead returns the request at the head of the queue if less than minRemaining is left until its deadline, or nil.
func (c *classQueue) expiredHead(now, minRemaining time.Duration) *Request {
	if c.head != nil && c.head.Deadline < now+minRemaining {
		return c.head
	}
	return nil
}
