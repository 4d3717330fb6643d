package dispatch

// This file owns unclaimed completions: completions that workers report for tasks that are not in the table.
// After an orchestrator has ended, its clients submit their running tasks to another orchestrator. A worker
// reports the completion of a task only once, on any of its connections, and may do so before the client's submission.
// If that completion were dropped, the adopted task would count as running although it has ended. This file must
// never end a task unless its worker has reported the end with the task's request ID.

import "ravenhitch/placement"

const (
	// unclaimedRetention is the time for which an unclaimed completion is kept. It is longer than clients take
	// to detect that an orchestrator has ended.
	unclaimedRetention = 60 * second
	// maxUnclaimed is the maximum number of unclaimed completions. The oldest are evicted.
	maxUnclaimed = 4096
)

// unclaimedCompletion is the completion of a task that was not in the table when its worker reported it.
type unclaimedCompletion struct {
	worker  string
	outcome placement.Outcome
	cause   placement.Cause
	at      int64 // time of the report, in microseconds
}

// unclaimedCompletions holds the unclaimed completions by request ID.
type unclaimedCompletions struct {
	byRequestID map[string]unclaimedCompletion
	order       []string // request IDs, oldest first
}

func newUnclaimedCompletions() unclaimedCompletions {
	return unclaimedCompletions{byRequestID: map[string]unclaimedCompletion{}}
}

// UnknownTaskEnded records a worker's report on the end of a task that is not in the table. It ignores the report if a
// running task cannot end with the outcome.
func (d *Dispatcher) UnknownTaskEnded(now int64, worker, requestID string, outcome placement.Outcome, cause placement.Cause) {
	if isTaskOutcome(outcome) {
		d.unclaimed.add(requestID, unclaimedCompletion{worker, outcome, cause, now})
	}
}

// add stores a completion unless there is one with the same request ID.
func (u *unclaimedCompletions) add(requestID string, completion unclaimedCompletion) {
	if _, known := u.byRequestID[requestID]; known {
		return
	}
	u.evict(completion.at)
	u.byRequestID[requestID] = completion
	u.order = append(u.order, requestID)
}

// evict removes the completions that are too old. If maxUnclaimed or more are stored, it also removes the oldest
// ones, so that there is room for another one.
func (u *unclaimedCompletions) evict(now int64) {
	evicted := 0
	for evicted < len(u.order) {
		oldest := u.order[evicted]
		isFull := len(u.order)-evicted >= maxUnclaimed
		if !isFull && now-u.byRequestID[oldest].at <= unclaimedRetention {
			break
		}
		delete(u.byRequestID, oldest)
		evicted++
	}
	u.order = u.order[evicted:]
}

// claimCompletion ends an adopted task in the next turn if its worker reported the completion before the adoption,
// at most unclaimedRetention ago.
func (d *Dispatcher) claimCompletion(r *request) {
	completion, ok := d.unclaimed.byRequestID[r.RequestID]
	if !ok || completion.worker != r.worker || d.now-completion.at > unclaimedRetention {
		return
	}
	d.log.Info("adopted task already completed", "request_id", r.RequestID, "worker", r.worker)
	r.claimedOutcome, r.claimedCause = completion.outcome, completion.cause
	d.arm(r, d.now+1)
}
