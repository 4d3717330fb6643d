package dispatch

// This file owns unclaimed completions: completions that workers report for tasks that are not in the table.
// After an orchestrator has ended, its clients submit their running tasks to another orchestrator. A worker
// reports the completion of a task only once or twice, on any of its connections, and may do so before the client's
// submission. If that completion were dropped, the adopted task would count as running although it has ended. If the task
// ended while no process of this orchestrator ran, no client submits it, so that its completion is passed on without a
// submission. Several workers may report ends for one request ID: the ended orchestrator had abandoned attempts at all but
// one of them. This file must never end a task unless its worker has reported the end with the task's request ID.

import "ravenhitch/placement"

const (
	// unclaimedRetention is the time for which an unclaimed completion is kept. It is longer than clients take
	// to detect that an orchestrator has ended.
	unclaimedRetention = 60 * second
	// maxUnclaimed is the maximum number of unclaimed completions. The oldest are evicted.
	maxUnclaimed = 4096
	// inheritedTime is the time after the first list of workers in which workers report the ends of tasks of an earlier
	// process. Later reports are taken for repeats.
	inheritedTime = 12 * second
	// claimTimeout is the time after which an unclaimed completion of a task of an earlier process is passed on. Clients
	// submit their running tasks as soon as the process answers, and are to be notified within 1 s.
	claimTimeout = 300 * millisecond
)

// workerTask identifies a task by its worker and its request ID.
type workerTask struct{ worker, requestID string }

// unclaimedCompletion is the completion of a task that was not in the table when its worker reported it.
type unclaimedCompletion struct {
	outcome placement.Outcome
	cause   placement.Cause
	at      int64 // time of the report, in microseconds
	claimed bool  // the task was adopted later
}

// unclaimedCompletions holds the unclaimed completions by task.
type unclaimedCompletions struct {
	byTask    map[workerTask]*unclaimedCompletion
	order     []workerTask // oldest first
	inherited []workerTask // those of an earlier process that are to be passed on, oldest first
}

func newUnclaimedCompletions() unclaimedCompletions {
	return unclaimedCompletions{byTask: map[workerTask]*unclaimedCompletion{}}
}

// unknownTaskEnded records a worker's report on the end of a task that is not in the table. It ignores the report if a
// running task cannot end with the outcome.
func (d *Dispatcher) unknownTaskEnded(worker, requestID string, outcome placement.Outcome, cause placement.Cause) {
	task := workerTask{worker, requestID}
	if !isTaskOutcome(outcome) || !d.unclaimed.add(task, unclaimedCompletion{outcome: outcome, cause: cause, at: d.now}) {
		return
	}
	if d.isInherited(requestID, outcome) {
		d.unclaimed.inherited = append(d.unclaimed.inherited, task)
	}
}

// isInherited reports whether a report on the end of an unknown task is about a task that a client of an earlier process
// believes to run. The end of a task that an orchestrator has cancelled or released is owed to nobody.
func (d *Dispatcher) isInherited(requestID string, outcome placement.Outcome) bool {
	return outcome != placement.Cancelled && d.earlierClients != nil && d.now-d.firstListAt <= inheritedTime &&
		len(d.history.offersOf(requestID)) == 0
}

// SetEarlierClients sets the client that gets the completions of tasks that clients of an earlier process believe to run.
func (d *Dispatcher) SetEarlierClients(clients Client) { d.earlierClients = clients }

// nextInheritedAt returns the time at which the next inherited completion is passed on, or 0 if there is none.
func (u *unclaimedCompletions) nextInheritedAt() int64 {
	if len(u.inherited) == 0 {
		return 0
	}
	if completion := u.byTask[u.inherited[0]]; completion != nil {
		return completion.at + claimTimeout
	}
	return 1 // it was evicted, so it is due
}

// passOnInherited passes on the completions of tasks of an earlier process that no client has claimed in time. They are
// still kept for claims.
func (d *Dispatcher) passOnInherited() {
	u := &d.unclaimed
	for len(u.inherited) > 0 && u.nextInheritedAt() <= d.now {
		task := u.inherited[0]
		u.inherited = u.inherited[1:]
		completion := u.byTask[task]
		if completion == nil || completion.claimed || d.Contains(task.requestID) {
			continue
		}
		d.log.Info("passing on completion of an earlier process", "request_id", task.requestID, "worker", task.worker)
		d.earlierClients.Respond(Response{Kind: Completed, RequestID: task.requestID, Outcome: completion.outcome,
			Cause: completion.cause, Worker: task.worker})
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
	completion.claimed = true
	d.log.Info("adopted task already completed", "request_id", r.RequestID, "worker", r.worker)
	r.claimedOutcome, r.claimedCause = completion.outcome, completion.cause
	d.arm(r, d.now+1)
}
