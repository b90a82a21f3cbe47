package route

// Budget limits retries and hedges of one service to a ratio of its first tries. It is not safe for concurrent use.
type Budget struct {
	ratio  float64
	tokens float64
	// Spent and Denied count the tries beyond the first that were allowed and refused.
	Spent, Denied int64
}

// budgetBurst is the most extra tries that can be saved up.
const budgetBurst = 10.0

// BudgetConfig sets the ratio of extra tries per first try.
type BudgetConfig struct {
	Ratio float64
}

// NewBudget returns a full budget, so that a target that is dead from the start costs no request.
func NewBudget(c BudgetConfig) *Budget { return &Budget{ratio: c.Ratio, tokens: budgetBurst} }

// SetRatio changes the ratio.
func (b *Budget) SetRatio(ratio float64) { b.ratio = ratio }

// First notes a first try.
func (b *Budget) First() { b.tokens = min(budgetBurst, b.tokens+b.ratio) }

// Take reports whether one more try is allowed, and spends it.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		b.Denied++
		return false
	}
	b.tokens--
	b.Spent++
	return true
}
