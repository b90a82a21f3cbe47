// Package logqueue writes the lines of a log in the background, so that a reader of the log that is slow, stands still or is
// gone delays nothing else. Lines that cannot be written are dropped and counted.
package logqueue

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Config configures a Queue.
type Config struct {
	Out io.Writer
	// Bytes is the size of the lines that may wait.
	Bytes int
	// CloseTimeout is how long closing waits until the waiting lines are written.
	CloseTimeout time.Duration
}

// Queue is a bounded queue of lines. It is safe for concurrent use.
type Queue struct {
	config Config
	mu     sync.Mutex
	// lines holds the waiting lines one after the other, and count is their number.
	lines []byte
	count int64
	// arrived holds an item while lines may wait.
	arrived chan struct{}
	lost    atomic.Int64
}

// New returns an empty queue and a function that stops its writer. A write that blocks then goes on until the process
// ends.
func New(c Config) (*Queue, func()) {
	q := &Queue{config: c, arrived: make(chan struct{}, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go q.run(ctx, done)
	return q, func() {
		cancel()
		timer := time.NewTimer(c.CloseTimeout)
		defer timer.Stop()
		select {
		case <-done:
		case <-timer.C:
		}
	}
}

// Write implements io.Writer: it queues one line. It never blocks or fails.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.lines)+len(line) > q.config.Bytes {
		q.lost.Add(1)
		return len(line), nil
	}
	q.lines = append(q.lines, line...)
	q.count++
	select {
	case q.arrived <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Lost returns the number of lines that were dropped or that could not be written.
func (q *Queue) Lost() int64 { return q.lost.Load() }

// run writes the waiting lines until the context ends, and those that wait then.
func (q *Queue) run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	var buffer []byte
	for ctx.Err() == nil {
		select {
		case <-q.arrived:
		case <-ctx.Done():
		}
		buffer = q.writeAll(buffer)
	}
	q.writeAll(buffer)
}

// writeAll writes the waiting lines and returns a buffer for the next ones.
func (q *Queue) writeAll(buffer []byte) []byte {
	q.mu.Lock()
	lines, count := q.lines, q.count
	q.lines, q.count = buffer[:0], 0
	q.mu.Unlock()
	if count == 0 {
		return lines
	}
	if _, err := q.config.Out.Write(lines); err != nil {
		q.lost.Add(count)
	}
	return lines
}
