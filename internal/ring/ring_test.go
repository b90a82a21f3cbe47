package ring

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

// TestItemsOfEndedContextArePopped guards against records and lines of the log that are lost when a host ends, because its writers
// give up while items wait.
func TestItemsOfEndedContextArePopped(t *testing.T) {
	is := is.New(t)
	q := NewQueue[int](Config{Capacity: 64})
	for i := range 64 {
		is.True(q.Push(i))
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for i := range 64 {
		item, ok := q.Pop(ctx)
		is.True(ok)
		is.Equal(item, i)
	}
	_, ok := q.Pop(ctx)
	is.True(!ok)
}
