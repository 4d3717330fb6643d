package client

// This file implements the budget for the retries that a client makes without an orchestrator's advice. If no
// retry is available, the budget reports this at once instead of waiting for one.

import "sync"

// retryBudget limits the retries to an initial reserve plus a fraction of the number of new tasks, so that clients
// do not multiply the load while orchestrators are down. It is safe for concurrent use.
type retryBudget struct {
	perTask float64 // number of retries, usually a fraction, that each new task adds
	reserve float64 // maximum number of available retries

	mu        sync.Mutex
	available float64 // number of available retries
}

func newRetryBudget(perTask, reserve float64) *retryBudget {
	return &retryBudget{perTask: perTask, reserve: reserve, available: reserve}
}

// deposit adds perTask retries for a new task. The budget never exceeds the reserve.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(b.reserve, b.available+b.perTask)
}

// withdraw takes one retry from the budget and reports whether one was available.
func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
