package gateway

import (
	"fmt"
	"testing"

	"briarcroft/internal/payload"
	"briarcroft/internal/settings"

	"github.com/matryer/is"
)

// TestBudgetsFitIntoMemory guards against budgets that the memory of a small host does not hold. Between two collections the heap
// grows by 40 %.
func TestBudgetsFitIntoMemory(t *testing.T) {
	for _, c := range []struct {
		memoryMB            float64
		heldBytes           int
		requests, responses int64
	}{
		{0, 0, 64 << 20, 64 << 20},
		{0, 1 << 20, 1 << 20, 1 << 20},
		{0, 128 << 20, 128 << 20, 128 << 20},
		{184, 0, 64_400_000, 27_600_000},
		{284, 0, 99_400_000, 42_600_000},
		{536, 0, 187_600_000, 80_400_000},
		{284, 50_000_000, 50_000_000, 42_600_000},
		{284, 128 << 20, 99_400_000, 42_600_000},
	} {
		t.Run(fmt.Sprintf("%.0f MB, HeldBytes %d", c.memoryMB, c.heldBytes), func(t *testing.T) {
			is := is.New(t)
			s := settings.Default()
			s.Host.MemoryMB, s.Limits.HeldBytes = c.memoryMB, c.heldBytes
			requests, responses := payload.NewBudget(s, payload.RequestShare), payload.NewBudget(s, payload.ResponseShare)
			is.Equal(requests.LimitFor(payload.ShortSize+1), c.requests)
			is.Equal(responses.LimitFor(payload.ShortSize+1), c.responses)
			if c.memoryMB > 0 {
				heap := 1.4 * float64(requests.LimitFor(payload.ShortSize)+responses.LimitFor(payload.ShortSize))
				is.True(heap <= 0.9*float64(s.Host.MemoryLimit()))
			}
			is.Equal(CollectionLimit(s), s.Host.MemoryLimit()/5*4)
		})
	}
}
