package backpressure

import (
	"sync"
	"time"

	"ravenhitch/internal/testbed"
)

// This file owns what the emulated workers report: the history of offers, and what runs where.

// placement is where a task runs, by which request.
type placement struct{ worker, requestID string }

// recorder implements testbed.Observer.
type recorder struct {
	history history

	mu              sync.Mutex
	acceptances     map[string]int       // by key
	running         map[string]placement // by key
	firstStartedAt  map[string]time.Time // by key
	duplicateStarts int                  // archive-cuts accepted again
}

func newRecorder() *recorder {
	r := &recorder{acceptances: map[string]int{}, running: map[string]placement{}, firstStartedAt: map[string]time.Time{}}
	r.history.now()
	return r
}

// Offered implements testbed.Observer.
func (r *recorder) Offered(worker, requestID string) {
	r.history.add(operation{requestID: requestID, kind: offered, worker: worker})
}

// Rejected implements testbed.Observer.
func (r *recorder) Rejected(worker, requestID string) {
	r.history.add(operation{requestID: requestID, kind: rejected, worker: worker})
}

// Cancelled implements testbed.Observer.
func (r *recorder) Cancelled(worker, requestID string) {
	r.history.add(operation{requestID: requestID, kind: cancelled, worker: worker})
}

// Accepted implements testbed.Observer.
func (r *recorder) Accepted(worker, key, requestID string, t testbed.Task) {
	r.history.add(operation{requestID: requestID, kind: accepted, worker: worker})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acceptances[key]++
	if t.Class == classArchiveCut && r.acceptances[key] > 1 {
		r.duplicateStarts++
	}
	r.running[key] = placement{worker, requestID}
}

// Started implements testbed.Observer.
func (r *recorder) Started(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.firstStartedAt[key].IsZero() {
		r.firstStartedAt[key] = time.Now()
	}
}

// Completed implements testbed.Observer.
func (r *recorder) Completed(key, requestID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running[key].requestID == requestID {
		delete(r.running, key)
	}
}

// placementOf is where a task runs; false where it does not.
func (r *recorder) placementOf(key string) (placement, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.running[key]
	return p, ok
}

// wasAccepted reports whether any worker accepted a task so far.
func (r *recorder) wasAccepted(key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.acceptances[key] > 0
}

// startedWithin reports whether a task started, and so long after a time at most.
func (r *recorder) startedWithin(key string, since time.Time, limit time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.firstStartedAt[key]
	return !at.IsZero() && at.Sub(since) <= limit
}

// acceptanceCounts are the acceptances so far, and those of tasks that had one before.
func (r *recorder) acceptanceCounts() (all, copies int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.acceptances {
		all += n
		copies += n - 1
	}
	return all, copies
}

func (r *recorder) duplicateStartCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.duplicateStarts
}
