package duty

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

// TestPanicOfTaskIsReported guards against a panic of one background task that ends the process.
func TestPanicOfTaskIsReported(t *testing.T) {
	is := is.New(t)
	panics := make(chan any, 1)
	g := NewGroup(Config{OnPanic: func(value any) { panics <- value }})
	g.Go(func(context.Context) { panic("task") })
	g.Go(func(ctx context.Context) { <-ctx.Done() })
	is.Equal(<-panics, "task")
	g.Stop()
}
