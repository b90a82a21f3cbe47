package admission

import "time"

// fifo is a queue of waiters of one class, linked through the waiters so that it allocates nothing.
type fifo struct {
	head, tail *Request
	size       int
	// pass is the class's virtual time in stride scheduling; the least goes next.
	pass   float64
	weight float64
}

func (f *fifo) push(w *Request) {
	w.previous, w.next = f.tail, nil
	if f.tail == nil {
		f.head = w
	} else {
		f.tail.next = w
	}
	f.tail = w
	f.size++
	w.queue, w.queued = f, true
}

func (f *fifo) remove(w *Request) {
	if w.previous == nil {
		f.head = w.next
	} else {
		w.previous.next = w.next
	}
	if w.next == nil {
		f.tail = w.previous
	} else {
		w.next.previous = w.previous
	}
	w.previous, w.next, w.queue = nil, nil, nil
	f.size--
}

// queue holds the waiters of one service, shared among classes by weight. It is not safe for concurrent use.
type queue struct {
	classes []*fifo
	size    int
	// clock is the pass of the class served last; a class that wakes up starts there.
	clock float64
}

func (q *queue) class(i Class) *fifo {
	for len(q.classes) <= int(i) {
		q.classes = append(q.classes, &fifo{weight: 1})
	}
	return q.classes[i]
}

func (q *queue) push(w *Request) {
	f := q.class(w.Class)
	f.weight = max(1, float64(w.Weight))
	if f.size == 0 {
		f.pass = max(f.pass, q.clock)
	}
	f.push(w)
	q.size++
}

func (q *queue) remove(w *Request) {
	w.queue.remove(w)
	q.size--
}

// next returns the class to serve next, or nil when nothing waits.
func (q *queue) next() *fifo {
	var best *fifo
	for _, f := range q.classes {
		if f.size > 0 && (best == nil || f.pass < best.pass) {
			best = f
		}
	}
	return best
}

// served moves a class on after one of its waiters was served.
func (q *queue) served(f *fifo) {
	q.clock = f.pass
	f.pass += 1 / f.weight
}

// mostOverShare returns the class that holds the most waiters for its weight.
func (q *queue) mostOverShare() *fifo {
	var worst *fifo
	for _, f := range q.classes {
		if f.size > 0 && (worst == nil || float64(f.size)/f.weight > float64(worst.size)/worst.weight) {
			worst = f
		}
	}
	return worst
}

// ahead returns how many waiters would be served before a new one of the class.
func (q *queue) ahead(class Class, weight int) int {
	own := q.class(class)
	share := float64(own.size+1) / max(1, float64(weight))
	sum := 0.0
	for _, f := range q.classes {
		if f == own {
			sum += float64(f.size)
			continue
		}
		sum += min(float64(f.size), share*f.weight)
	}
	return int(sum)
}

// expired returns a waiter whose deadline cannot be met any more, or nil.
func (f *fifo) expired(now, need time.Duration) *Request {
	if f.head != nil && f.head.Deadline < now+need {
		return f.head
	}
	return nil
}
