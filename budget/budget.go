// Package budget bounds repeats to a share of the traffic, so that a burst of failures cannot multiply.
package budget

import "sync"

// Budget earns a share of a token with every first attempt and pays one token
// for every repeat. It is safe for concurrent use.
type Budget struct {
	mu           sync.Mutex
	depositRatio float64
	maxTokens    float64
	tokens       float64
}

// New makes a budget; most bounds what can be saved up, and half of it is there
// at the start, so that a quiet service can repeat its first failures.
func New(depositRatio, maxTokens float64) *Budget {
	return &Budget{depositRatio: depositRatio, maxTokens: maxTokens, tokens: maxTokens / 2}
}

// Deposit counts one first attempt.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.maxTokens, b.tokens+b.depositRatio)
}

// TryWithdraw takes one token for a repeat and tells whether there was one.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
