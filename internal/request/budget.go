package request

import "sync"

const (
	// retriesPerRequest is the number of retries that each new request adds to the budget.
	retriesPerRequest = 0.1
	// maxSavedRetries is the number of retries in a new budget and the maximum that it can hold.
	maxSavedRetries = 20
)

// Budget limits retries to a fraction of the requests, so that retries cannot double a load
// that already makes engines fail. Use NewBudget to make one. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// tokens is the number of retries left.
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: maxSavedRetries} }

// Earn adds the share of one new request to the budget.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retriesPerRequest, maxSavedRetries)
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
