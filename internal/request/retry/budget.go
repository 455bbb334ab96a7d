// Package retry bounds further attempts.
package retry

import "sync"

// Budget allows further attempts as a share of recent successes, so that
// retries cannot multiply load when everything fails. It is safe for
// concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
	ratio  float64
	limit  float64
}

// NewBudget returns a budget of initial retries: each success earns ratio of a
// retry, and at most limit retries are saved up.
func NewBudget(ratio, initial, limit float64) *Budget {
	return &Budget{tokens: initial, ratio: ratio, limit: limit}
}

// Success earns a share of a retry.
func (b *Budget) Success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.limit, b.tokens+b.ratio)
}

// Take spends one retry. It reports false when the budget is used up.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
