package model

import (
	"container/heap"
	"time"
)

// event is something that happens at a time; order breaks ties, so that every run repeats.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// eventQueue is a heap of what is still to happen.
type eventQueue []event

// Len implements heap.Interface.
func (e eventQueue) Len() int { return len(e) }

// Less implements heap.Interface.
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}

// Swap implements heap.Interface.
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// clock runs events in virtual time.
type clock struct {
	now          time.Duration
	queue        eventQueue
	lastSequence int
}

// schedule runs a function once some time has passed.
func (c *clock) schedule(d time.Duration, run func()) {
	c.lastSequence++
	heap.Push(&c.queue, event{c.now + d, c.lastSequence, run})
}

// runUntil carries on until nothing is left to happen or the time is over.
func (c *clock) runUntil(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
	}
}
