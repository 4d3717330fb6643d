package backpressure

import (
	"sync"
	"time"

	"ravenhitch/internal/testbed"
)

// This file owns the records of events at the emulated workers: the history of offers, and the worker that runs
// each task.

// placement names the worker that runs a task and the request by which the worker got the task.
type placement struct{ worker, requestID string }

// recorder implements testbed.Observer.
type recorder struct {
	history history

	mu              sync.Mutex
	acceptances     map[string]int       // number of acceptances, by key
	running         map[string]placement // last acceptance of each running task, by key
	firstStartedAt  map[string]time.Time // time when the task first completed its start, by key
	duplicateStarts int                  // number of acceptances of archive-cut tasks after the first acceptance of each key
}

func newRecorder() *recorder {
	r := &recorder{acceptances: map[string]int{}, running: map[string]placement{}, firstStartedAt: map[string]time.Time{}}
	r.history.elapsed()
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

// placementOf returns the placement of a task, and false if the task is not running.
func (r *recorder) placementOf(key string) (placement, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.running[key]
	return p, ok
}

// wasAccepted reports whether any worker has accepted the task with the given key so far.
func (r *recorder) wasAccepted(key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.acceptances[key] > 0
}

// startedWithin reports whether a task first completed its start no later than since+limit.
func (r *recorder) startedWithin(key string, since time.Time, limit time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.firstStartedAt[key]
	return !at.IsZero() && at.Sub(since) <= limit
}

// acceptanceCounts returns the number of all acceptances so far, and the number of acceptances of tasks that had
// been accepted before.
func (r *recorder) acceptanceCounts() (all, duplicates int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.acceptances {
		all += n
		duplicates += n - 1
	}
	return all, duplicates
}

func (r *recorder) duplicateStartCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.duplicateStarts
}
