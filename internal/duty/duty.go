// Package duty provides groups of background goroutines that are started with an entry host and stopped with it: Stop
// cancels the group's context and waits for all of them.
package duty

import (
	"context"
	"sync"
	"time"
)

// Group is a group of background tasks that are stopped together. Go must not be called concurrently or after Stop.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	// finished holds a channel for each task, which is closed when the task returns.
	finished []<-chan struct{}
	once     sync.Once
	config   Config
}

// Config configures a Group.
type Config struct {
	// OnPanic is called with the value of a panic on the goroutine of the task that it has ended. If it is nil, a panic ends the
	// process.
	OnPanic func(value any)
}

// NewGroup returns a group without tasks.
func NewGroup(c Config) *Group {
	ctx, cancel := context.WithCancel(context.Background())
	return &Group{ctx: ctx, cancel: cancel, config: c}
}

// Context returns the context of the tasks, which Stop cancels.
func (g *Group) Context() context.Context { return g.ctx }

// Go runs a task in a new goroutine. The task must return when its context is canceled.
func (g *Group) Go(run func(context.Context)) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if g.config.OnPanic != nil {
			defer func() {
				if value := recover(); value != nil {
					g.config.OnPanic(value)
				}
			}()
		}
		run(g.ctx)
	}()
	g.finished = append(g.finished, done)
}

// Stop cancels the context of the tasks and waits until all of them have returned. Further calls have no effect.
func (g *Group) Stop() {
	g.once.Do(func() {
		g.cancel()
		for _, done := range g.finished {
			<-done
		}
	})
}

// Sleep waits for a duration and reports whether it passed; it returns false early if the context is canceled.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
