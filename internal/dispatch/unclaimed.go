package dispatch

// This file owns unclaimed completions: completions that workers report for tasks that are not in the table.
// After an orchestrator has ended, its clients submit their running tasks to another orchestrator. A worker
// reports the completion of a task only once or twice, on any of its connections, and may do so before the client's
// submission. If that completion were dropped, the adopted task would count as running although it has ended. Several
// workers may report ends for one request ID: the ended orchestrator had abandoned attempts at all but one of them. This
// file must never end a task unless its worker has reported the end with the task's request ID.

import "ravenhitch/placement"

const (
	// unclaimedRetention is the time for which an unclaimed completion is kept. It is longer than clients take
	// to detect that an orchestrator has ended.
	unclaimedRetention = 60 * second
	// maxUnclaimed is the maximum number of unclaimed completions. The oldest are evicted.
	maxUnclaimed = 4096
)

// workerTask identifies a task by its worker and its request ID.
type workerTask struct{ worker, requestID string }

// unclaimedCompletion is the completion of a task that was not in the table when its worker reported it.
type unclaimedCompletion struct {
	outcome placement.Outcome
	cause   placement.Cause
	at      int64 // time of the report, in microseconds
}

// unclaimedCompletions holds the unclaimed completions by task.
type unclaimedCompletions struct {
	byTask map[workerTask]*unclaimedCompletion
	order  []workerTask // oldest first
}

func newUnclaimedCompletions() unclaimedCompletions {
	return unclaimedCompletions{byTask: map[workerTask]*unclaimedCompletion{}}
}

// unknownTaskEnded records a worker's report on the end of a task that is not in the table. It ignores the report if a
// running task cannot end with the outcome.
func (d *Dispatcher) unknownTaskEnded(worker, requestID string, outcome placement.Outcome, cause placement.Cause) {
	d.inherited.observe(requestID)
	task, completion := workerTask{worker, requestID}, unclaimedCompletion{outcome, cause, d.now}
	if isTaskOutcome(outcome) && d.unclaimed.add(task, completion) {
		d.inherited.add(task, completion)
	}
}

// add stores the completion of a task unless there is one already, and reports whether it did.
func (u *unclaimedCompletions) add(task workerTask, completion unclaimedCompletion) bool {
	if _, known := u.byTask[task]; known {
		return false
	}
	u.evict(completion.at)
	u.byTask[task] = &completion
	u.order = append(u.order, task)
	return true
}

// evict removes the completions that are too old. If maxUnclaimed or more are stored, it also removes the oldest
// ones, so that there is room for another one.
func (u *unclaimedCompletions) evict(now int64) {
	evicted := 0
	for evicted < len(u.order) {
		oldest := u.order[evicted]
		isFull := len(u.order)-evicted >= maxUnclaimed
		if !isFull && now-u.byTask[oldest].at <= unclaimedRetention {
			break
		}
		delete(u.byTask, oldest)
		evicted++
	}
	u.order = u.order[evicted:]
}

// claimCompletion ends an adopted task in the next turn if its worker reported the completion before the adoption,
// at most unclaimedRetention ago.
func (d *Dispatcher) claimCompletion(r *request) {
	completion := d.unclaimed.byTask[workerTask{r.worker, r.RequestID}]
	if completion == nil || d.now-completion.at > unclaimedRetention {
		return
	}
	d.log.Info("adopted task already completed", "request_id", r.RequestID, "worker", r.worker)
	r.claimedOutcome, r.claimedCause = completion.outcome, completion.cause
	d.arm(r, d.now+1)
}
