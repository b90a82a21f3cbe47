package admission

import "time"

// classQueue is a queue of waiters of one class, linked through the waiters so that it allocates nothing.
type classQueue struct {
	head, tail *Request
	size       int
	// virtualTime is the class's virtual time in stride scheduling; the least goes next.
	virtualTime float64
	weight      float64
}

func (f *classQueue) push(r *Request) {
	r.previous, r.next = f.tail, nil
	if f.tail == nil {
		f.head = r
	} else {
		f.tail.next = r
	}
	f.tail = r
	f.size++
	r.classQueue, r.wasQueued = f, true
}

func (f *classQueue) remove(r *Request) {
	if r.previous == nil {
		f.head = r.next
	} else {
		r.previous.next = r.next
	}
	if r.next == nil {
		f.tail = r.previous
	} else {
		r.next.previous = r.previous
	}
	r.previous, r.next, r.classQueue = nil, nil, nil
	f.size--
}

// queue holds the waiters of one service, shared among classes by weight. It is not safe for concurrent use.
type queue struct {
	classes []*classQueue
	size    int
	// virtualTime is the pass of the class served last; a class that wakes up starts there.
	virtualTime float64
}

func (q *queue) classQueue(i Class) *classQueue {
	for len(q.classes) <= int(i) {
		q.classes = append(q.classes, &classQueue{weight: 1})
	}
	return q.classes[i]
}

func (q *queue) push(r *Request) {
	f := q.classQueue(r.Class)
	f.weight = max(1, float64(r.Weight))
	if f.size == 0 {
		f.virtualTime = max(f.virtualTime, q.virtualTime)
	}
	f.push(r)
	q.size++
}

func (q *queue) remove(r *Request) {
	r.classQueue.remove(r)
	q.size--
}

// next returns the class to serve next, or nil when nothing waits.
func (q *queue) next() *classQueue {
	var best *classQueue
	for _, f := range q.classes {
		if f.size > 0 && (best == nil || f.virtualTime < best.virtualTime) {
			best = f
		}
	}
	return best
}

// advance moves a class on after one of its waiters was served.
func (q *queue) advance(f *classQueue) {
	q.virtualTime = f.virtualTime
	f.virtualTime += 1 / f.weight
}

// furthestOverShare returns the class that holds the most waiters for its weight.
func (q *queue) furthestOverShare() *classQueue {
	var worst *classQueue
	for _, f := range q.classes {
		if f.size > 0 && (worst == nil || float64(f.size)/f.weight > float64(worst.size)/worst.weight) {
			worst = f
		}
	}
	return worst
}

// aheadOf returns how many waiters would be served before a new one of the class.
func (q *queue) aheadOf(class Class, weight int) int {
	ownQueue := q.classQueue(class)
	share := float64(ownQueue.size+1) / max(1, float64(weight))
	sum := 0.0
	for _, f := range q.classes {
		if f == ownQueue {
			sum += float64(f.size)
			continue
		}
		sum += min(float64(f.size), share*f.weight)
	}
	return int(sum)
}

// firstExpired returns a waiter whose deadline cannot be met any more, or nil.
func (f *classQueue) firstExpired(now, minRemaining time.Duration) *Request {
	if f.head != nil && f.head.Deadline < now+minRemaining {
		return f.head
	}
	return nil
}
