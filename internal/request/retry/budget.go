// Package retry limits retries with a budget and spaces them with a backoff.
package retry

import "sync"

// Budget limits retries to a share of recent successes, so that they cannot multiply
// the load when everything fails. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
	ratio  float64
	limit  float64
}

// NewBudget returns a budget with initial retries available. Each success adds ratio of
// a retry, up to limit.
func NewBudget(ratio, initial, limit float64) *Budget {
	return &Budget{tokens: initial, ratio: ratio, limit: limit}
}

// Success adds the share of a retry earned by one success.
func (b *Budget) Success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.limit, b.tokens+b.ratio)
}

// Take uses one retry, and reports false if none is available.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
