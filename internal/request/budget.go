package request

import "sync"

const (
	// earned is the number of retries that each new request adds to the budget.
	earned = 0.1
	// reserve is the number of retries in a new budget and the maximum that it can hold.
	reserve = 20
)

// Budget limits retries to a fraction of the requests, so that retries cannot double a load
// that already makes engines fail. Use NewBudget to make one. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: reserve} }

// Earn adds the share of one new request to the budget.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+earned, reserve)
}

// Spend takes one retry from the budget. It returns false if none is left.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
