package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAccountPriorityPrecedesRulePriority guards against requests of an account with low priority that are placed before those of
// one with high priority because of their rule.
func TestAccountPriorityPrecedesRulePriority(t *testing.T) {
	is := is.New(t)
	f := newTestHome(1, ampleBudget)
	for range 3 {
		f.submit(nil)
	}
	var numbers []uint64
	for _, p := range []struct{ account, rule int }{{2, 0}, {1, 3}, {1, 2}} {
		numbers = append(numbers, f.submit(func(r *Request) { r.AccountPriority, r.Priority = p.account, p.rule }))
		f.now += time.Millisecond
	}
	for i, want := range []int{2, 1, 0} {
		is.Equal(f.placedOn(numbers[want]), "")
		f.endRun(uint64(i+1), OutcomeAnswered)
		is.True(f.placedOn(numbers[want]) != "")
	}
}
