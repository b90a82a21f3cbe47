package route

// RetryBudget limits the retries and hedges of one service to a ratio of its requests. It is a token bucket and is not
// safe for concurrent use.
type RetryBudget struct {
	ratio  float64
	tokens float64
	// Spent and Denied count the retries and hedges that were allowed and denied.
	Spent, Denied int64
}

// maxBudgetTokens is the size of the bucket, that is, the maximum burst of retries and hedges.
const maxBudgetTokens = 10.0

// RetryBudgetConfig configures a RetryBudget. Ratio is the number of retries and hedges allowed per request.
type RetryBudgetConfig struct {
	Ratio float64
}

// NewRetryBudget returns a full budget, so that the first requests can be retried if a target is down from the start.
func NewRetryBudget(c RetryBudgetConfig) *RetryBudget {
	return &RetryBudget{ratio: c.Ratio, tokens: maxBudgetTokens}
}

// SetRatio sets the number of retries and hedges allowed per request.
func (b *RetryBudget) SetRatio(ratio float64) { b.ratio = ratio }

// RecordRequest credits the budget for the first attempt of a request.
func (b *RetryBudget) RecordRequest() { b.tokens = min(maxBudgetTokens, b.tokens+b.ratio) }

// TrySpend spends one retry or hedge and reports whether the budget allowed it.
func (b *RetryBudget) TrySpend() bool {
	if b.tokens < 1 {
		b.Denied++
		return false
	}
	b.tokens--
	b.Spent++
	return true
}
