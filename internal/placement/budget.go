package placement

import "time"

// RetryBudget bounds the arrivals of a service beyond the first of each request in any sliding window.
// It answers retry storms: a service that fails or sheds must not get more requests for it.
type RetryBudget struct {
	// Ratio is the most repeats per request, and Slack how many more are allowed in a window.
	Ratio  float64
	Slack  float64
	Window time.Duration

	slots [budgetSlots + 1]budgetSlot
}

// budgetSlots is how many parts a window is counted in; one more part covers the slide.
const budgetSlots = 20

type budgetSlot struct {
	number  int64
	first   int
	repeats int
}

func (b *RetryBudget) slot(now time.Duration) *budgetSlot {
	number := int64(now / (b.Window / budgetSlots))
	s := &b.slots[number%int64(len(b.slots))]
	if s.number != number {
		*s = budgetSlot{number: number}
	}
	return s
}

// AddRequest counts a new request of a caller.
func (b *RetryBudget) AddRequest(now time.Duration) { b.slot(now).first++ }

// sums returns the repeats of the window that ends now, and the requests of its second half. A window that ends later
// holds the same repeats and fewer of the requests before them; those of the last half are in it, or in the one half a
// window before, as long as the repeats count.
func (b *RetryBudget) sums(now time.Duration) (first, repeats int) {
	current := b.slot(now).number
	for _, s := range b.slots {
		if s.number > current-budgetSlots/2 {
			first += s.first
		}
		if s.number > current-int64(len(b.slots)) {
			repeats += s.repeats
		}
	}
	return first, repeats
}

// Remaining returns how many repeats the budget still allows.
func (b *RetryBudget) Remaining(now time.Duration) float64 {
	first, repeats := b.sums(now)
	return b.Ratio*float64(first) + b.Slack - float64(repeats)
}

// Spend spends one repeat and reports whether there was one to spend, beyond a reserve.
func (b *RetryBudget) Spend(now time.Duration, reserve float64) bool {
	if b.Remaining(now) < 1+reserve {
		return false
	}
	b.slot(now).repeats++
	return true
}
