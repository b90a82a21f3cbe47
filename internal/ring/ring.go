// Package ring provides bounded in-memory containers that goroutines share: a queue that drops items when it is full, a
// buffer of the most recent items, and a pool of byte slices.
package ring

import (
	"context"
	"sync"
	"sync/atomic"
)

// Queue is a bounded FIFO queue. An item that is pushed to a full queue is dropped and counted.
// It is safe for concurrent use.
type Queue[T any] struct {
	items   chan T
	dropped atomic.Int64
}

// Config configures a Queue or a RecentBuffer.
type Config struct {
	// Capacity is the maximum number of items.
	Capacity int
}

// NewQueue returns an empty queue.
func NewQueue[T any](c Config) *Queue[T] {
	return &Queue[T]{items: make(chan T, c.Capacity)}
}

// Push appends an item, or drops it if the queue is full, and reports whether it was appended.
func (q *Queue[T]) Push(item T) bool {
	select {
	case q.items <- item:
		return true
	default:
		q.dropped.Add(1)
		return false
	}
}

// Pop waits for the first item and removes it; ok is false if the queue is empty and the context is done.
func (q *Queue[T]) Pop(ctx context.Context) (item T, ok bool) {
	select {
	case item = <-q.items:
		return item, true
	default:
	}
	select {
	case item = <-q.items:
		return item, true
	case <-ctx.Done():
		return item, false
	}
}

// Dropped returns the number of items dropped so far.
func (q *Queue[T]) Dropped() int64 { return q.dropped.Load() }

// BufferPool is a pool of byte slices of one size. It is safe for concurrent use.
type BufferPool struct {
	pool sync.Pool
	size int
}

// NewBufferPool returns a pool of slices of the given size in bytes.
func NewBufferPool(size int) *BufferPool { return &BufferPool{size: size} }

// Get returns a slice with arbitrary content. The caller returns it to the pool with Put.
func (b *BufferPool) Get() *[]byte {
	if buffer, ok := b.pool.Get().(*[]byte); ok {
		return buffer
	}
	buffer := make([]byte, b.size)
	return &buffer
}

// Put returns a slice to the pool; the caller must not use it afterwards.
func (b *BufferPool) Put(buffer *[]byte) { b.pool.Put(buffer) }

// RecentBuffer holds the most recently added items, up to its capacity. It is safe for concurrent use.
type RecentBuffer[T any] struct {
	mu    sync.Mutex
	items []T
	// next is the index at which the next item is stored.
	next int
	// full is set once every element of items has been stored.
	full bool
}

// NewRecentBuffer returns an empty RecentBuffer; a capacity below 1 counts as 1.
func NewRecentBuffer[T any](c Config) *RecentBuffer[T] {
	return &RecentBuffer[T]{items: make([]T, max(1, c.Capacity))}
}

// Add stores an item, which replaces the oldest one if the capacity is reached.
func (r *RecentBuffer[T]) Add(item T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.items[r.next] = item
	r.next = (r.next + 1) % len(r.items)
	r.full = r.full || r.next == 0
}

// Items returns a copy of the items, oldest first.
func (r *RecentBuffer[T]) Items() []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.full {
		return append([]T(nil), r.items[:r.next]...)
	}
	return append(append([]T(nil), r.items[r.next:]...), r.items[:r.next]...)
}
