// Package budget limits repeated attempts, such as retries and hedged requests, to a share of the first attempts, so that a burst of failures cannot multiply the load.
package budget

import "sync"

// Budget is a token bucket. Each first attempt deposits a fraction of a token and
// each repeated attempt withdraws one token. It is safe for concurrent use.
type Budget struct {
	mu           sync.Mutex
	depositRatio float64
	maxTokens    float64
	tokens       float64
}

// New returns a budget that holds at most maxTokens. It starts with half of them,
// so that a service with little traffic can retry its first failures.
func New(depositRatio, maxTokens float64) *Budget {
	return &Budget{depositRatio: depositRatio, maxTokens: maxTokens, tokens: maxTokens / 2}
}

// Deposit records a first attempt and adds depositRatio of a token.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.maxTokens, b.tokens+b.depositRatio)
}

// TryWithdraw takes one token for a repeated attempt. It returns false if the budget
// has less than one token.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
