package client

// This file owns the budget of retries that no orchestrator advised. It must never wait for one.

import "sync"

// retryBudget bounds retries to a part of the tasks that are offered, so that clients of orchestrators that
// are down don't multiply the load. It is safe for concurrent use.
type retryBudget struct {
	perTask float64
	reserve float64

	mu        sync.Mutex
	available float64
}

func newRetryBudget(perTask, reserve float64) *retryBudget {
	return &retryBudget{perTask: perTask, reserve: reserve, available: reserve}
}

// earn adds what a new task adds.
func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(b.reserve, b.available+b.perTask)
}

// spend takes a retry, and reports whether there was one.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
