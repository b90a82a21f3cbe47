package route

// RetryBudget limits retries and hedges of one service to a ratio of its first tries. It is not safe for concurrent use.
type RetryBudget struct {
	ratio  float64
	tokens float64
	// Spent and Denied count the tries beyond the first that were allowed and refused.
	Spent, Denied int64
}

// maxBudgetTokens is the most extra tries that can be saved up.
const maxBudgetTokens = 10.0

// RetryBudgetConfig sets the ratio of extra tries per first try.
type RetryBudgetConfig struct {
	Ratio float64
}

// NewRetryBudget returns a full budget, so that a target that is dead from the start costs no request.
func NewRetryBudget(c RetryBudgetConfig) *RetryBudget {
	return &RetryBudget{ratio: c.Ratio, tokens: maxBudgetTokens}
}

// SetRatio changes the ratio.
func (b *RetryBudget) SetRatio(ratio float64) { b.ratio = ratio }

// RecordRequest notes a first try.
func (b *RetryBudget) RecordRequest() { b.tokens = min(maxBudgetTokens, b.tokens+b.ratio) }

// TrySpend reports whether one more try is allowed, and spends it.
func (b *RetryBudget) TrySpend() bool {
	if b.tokens < 1 {
		b.Denied++
		return false
	}
	b.tokens--
	b.Spent++
	return true
}
