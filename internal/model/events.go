package model

import (
	"container/heap"
	"time"
)

// event is a function to run at a virtual time. Events with the same time run in the order of their sequence numbers, so
// that a simulation gives the same result each time.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// eventQueue is a heap of pending events, the earliest first.
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

// clock is the virtual clock of a simulation. It runs events and advances to the time of each.
type clock struct {
	now          time.Duration
	queue        eventQueue
	lastSequence int
}

// schedule schedules a function to run after the duration d of virtual time.
func (c *clock) schedule(d time.Duration, run func()) {
	c.lastSequence++
	heap.Push(&c.queue, event{c.now + d, c.lastSequence, run})
}

// runUntil runs events, and those that they schedule, until none is due at or before the given time.
func (c *clock) runUntil(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
	}
}
