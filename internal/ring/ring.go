// Package ring provides the bounded rings that join the duties of a host.
package ring

import (
	"context"
	"sync"
	"sync/atomic"
)

// Queue is a bounded queue between goroutines; a push to a full ring is dropped and counted.
type Queue[T any] struct {
	items   chan T
	dropped atomic.Int64
}

// Config sets the size of a Ring, in items.
type Config struct {
	Capacity int
}

// NewQueue returns an empty ring.
func NewQueue[T any](c Config) *Queue[T] {
	return &Queue[T]{items: make(chan T, c.Capacity)}
}

// Push adds an item and reports whether there was room.
func (r *Queue[T]) Push(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Pop waits for the next item; ok is false when the context ended first.
func (r *Queue[T]) Pop(ctx context.Context) (item T, ok bool) {
	select {
	case item = <-r.items:
		return item, true
	case <-ctx.Done():
		return item, false
	}
}

// Dropped returns how many items found the ring full.
func (r *Queue[T]) Dropped() int64 { return r.dropped.Load() }

// BufferPool is a pool of byte slices of one size.
type BufferPool struct {
	pool sync.Pool
	size int
}

// NewBufferPool returns a pool of slices of so many bytes.
func NewBufferPool(size int) *BufferPool { return &BufferPool{size: size} }

// Get returns a slice; give it back with Put.
func (b *BufferPool) Get() *[]byte {
	if buffer, held := b.pool.Get().(*[]byte); held {
		return buffer
	}
	buffer := make([]byte, b.size)
	return &buffer
}

// Put gives a slice back.
func (b *BufferPool) Put(buffer *[]byte) { b.pool.Put(buffer) }

// Recent keeps the newest items, overwriting the oldest.
type Recent[T any] struct {
	mu    sync.Mutex
	items []T
	next  int
	full  bool
}

// NewRecent returns a Recent that holds up to capacity items.
func NewRecent[T any](c Config) *Recent[T] {
	return &Recent[T]{items: make([]T, max(1, c.Capacity))}
}

// Add stores an item over the oldest one.
func (r *Recent[T]) Add(item T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.items[r.next] = item
	r.next = (r.next + 1) % len(r.items)
	r.full = r.full || r.next == 0
}

// Items returns a copy of the held items, oldest first.
func (r *Recent[T]) Items() []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.full {
		return append([]T(nil), r.items[:r.next]...)
	}
	return append(append([]T(nil), r.items[r.next:]...), r.items[:r.next]...)
}
