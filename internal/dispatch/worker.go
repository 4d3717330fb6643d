package dispatch

// This file owns the workers' side of the table: what workers report of attempts and of running
// tasks. It must never send an offer.

import "ravenhitch/placement"

// restartSkew is by how much the clock that dates a worker's start may be ahead of this one, and of
// a task that was offered then.
const restartSkew = 1 * second

// Offer is an attempt as a worker gets it.
type Offer struct {
	RequestID, Class, Key, IdempotencyKey string
	TimeoutUs                             int64 // how long an answer is waited for
	Description                           string
}

// WorkerPool carries offers to workers. What comes of them is reported with AttemptAccepted,
// TaskEnded, TaskReported and ProbeAnswered, never from within these calls.
type WorkerPool interface {
	Offer(worker string, offer Offer)
	// CancelAttempt calls off an offer that was not answered, ahead of whatever is offered
	// after it; mayRetry says that another attempt may follow. It reports whether the attempt
	// is over for sure; where it is not, CancelConfirmed says when it is.
	CancelAttempt(worker, requestID string, mayRetry bool) (confirmed bool)
	// Release ends a running task.
	Release(worker, requestID string)
	// Probe asks a worker for a sign of life; ProbeAnswered takes the result.
	Probe(worker string)
}

// AttemptAccepted takes a worker's report that a task is running. A report on an attempt
// that was cancelled changes nothing: its client got another response, or will.
func (d *Dispatcher) AttemptAccepted(now int64, worker, requestID, description string) {
	d.now = now
	r := d.requests[requestID]
	if r == nil || r.state != stateOffered || r.worker != worker {
		return
	}
	r.mayHaveRun = true
	d.transition(r, eventAccepted)
	d.trace("started", r)
	d.counts.Started++
	d.advisor.Started(now, r.backpressureRequest())
	d.disarm(r)
	d.queueEvent(placement.Accepted{RequestID: requestID, Attempt: r.attemptNumber, Worker: worker, RTTUs: now - r.sentAt})
	if r.Resumable {
		r.startDescription = description
	}
	d.respond(r, Response{Kind: Started, Description: description, Worker: worker})
}

// TaskEnded takes the end of a task as its worker knows it: of a running task, of a released one, or of
// an attempt that was never accepted.
func (d *Dispatcher) TaskEnded(now int64, worker, requestID string, outcome placement.Outcome, cause placement.Cause) {
	d.now = now
	if r := d.unresponsive[requestID]; r != nil && r.worker == worker {
		d.unresponsiveEnded(r, placement.Cancelled, cause)
		return
	}
	r := d.requests[requestID]
	if r == nil || r.worker != worker {
		return
	}
	d.trace("worker reported end", r, "outcome", outcome)
	switch r.state {
	case stateOffered:
		switch {
		case hasRun(outcome, cause):
			d.unacceptedTaskEnded(r, cause)
			return
		case outcome == placement.Cancelled:
			outcome = placement.Reset // an end without a start
		}
		d.attemptEnded(r, outcome, cause)
	case stateCancelling:
		d.attemptEnded(r, r.cancelOutcome, placement.CauseUnknown)
	case stateRunning, stateTerminating:
		if !isTaskOutcome(outcome) {
			outcome = placement.Reset
		}
		d.taskCompleted(r, outcome, cause)
	}
}

// AbandonedTaskEnded takes the end of a task whose attempt was given up here without its worker's word, as it was cancelled
// or lost with its connection. Where nothing was offered since, the request is over: another attempt would begin the
// task anew.
func (d *Dispatcher) AbandonedTaskEnded(now int64, worker, requestID string, outcome placement.Outcome, cause placement.Cause) {
	d.now = now
	r := d.requests[requestID]
	if r == nil || r.worker != worker || !r.mayHaveRun || !hasRun(outcome, cause) {
		return
	}
	switch r.state {
	case stateCancelling:
		d.unacceptedTaskEnded(r, cause)
	case statePending:
		d.log.Info("task ended before its acceptance", "request_id", r.RequestID, "worker", r.worker)
		d.queueEvent(placement.ClientCancelled{RequestID: r.RequestID})
		d.fail(r)
	}
}

// hasRun reports whether the end of an attempt says that its task ran, though its acceptance was not read: the task ended
// as it should, or for a cause for which only an accepted task ends.
func hasRun(outcome placement.Outcome, cause placement.Cause) bool {
	return outcome == placement.Completed || outcome == placement.Reset && cause.EndsTask()
}

// isTaskOutcome reports whether a running task may end with an outcome.
func isTaskOutcome(outcome placement.Outcome) bool {
	return outcome == placement.Completed || outcome == placement.Cancelled || outcome == placement.Reset
}

// CancelConfirmed takes it that a cancelled attempt is over for sure: the worker has read the
// cancel, or its connection is closed.
func (d *Dispatcher) CancelConfirmed(now int64, worker, requestID string) {
	d.now = now
	if r := d.requests[requestID]; r != nil && r.worker == worker && r.state == stateCancelling {
		d.trace("abandoned attempt ended", r)
		d.attemptEnded(r, r.cancelOutcome, placement.CauseUnknown)
	}
}

// TaskReported takes a report on a running task.
func (d *Dispatcher) TaskReported(now int64, worker, requestID string, kind placement.ReportKind, value float64) {
	d.now = now
	if r := d.requests[requestID]; r != nil && r.worker == worker && r.state == stateRunning {
		d.queueEvent(placement.TaskReport{RequestID: requestID, Attempt: r.attemptNumber, Worker: worker, Kind: kind, Value: value})
	}
}

// ProbeAnswered takes the result of a probe.
func (d *Dispatcher) ProbeAnswered(now int64, result placement.ProbeResult) {
	d.now = now
	d.queueEvent(result)
}

// WorkerReachable takes it that a worker accepted a connection after one to it had failed or
// become unresponsive.
func (d *Dispatcher) WorkerReachable(now int64, worker string) {
	d.now = now
	d.queueEvent(placement.WorkerReachable{Worker: worker})
}

// WorkerUnreachable takes it that no connection to a worker is up and that the last one failed.
func (d *Dispatcher) WorkerUnreachable(now int64, worker string) {
	d.now = now
	d.queueEvent(placement.WorkerUnreachable{Worker: worker})
}

// WorkerDied takes a proof that the process of a worker has died: what ran there has ended, and
// nobody will report it.
func (d *Dispatcher) WorkerDied(now int64, worker string) {
	d.now = now
	d.endTasksOn(worker, func(*request) bool { return true })
}

// WorkerRestarted takes it that the process of a worker began at startUs and that nothing of the one
// before is left: what ran there earlier has ended, and nobody will report it.
func (d *Dispatcher) WorkerRestarted(now int64, worker string, startUs int64) {
	d.now = now
	d.endTasksOn(worker, func(r *request) bool { return r.runningSince() < startUs-restartSkew })
}

// endTasksOn ends the selected tasks of a worker: first those of the table, then the unresponsive
// ones, each by request ID.
func (d *Dispatcher) endTasksOn(worker string, selected func(*request) bool) {
	var inTable, unresponsive []*request
	for _, r := range d.tasksByWorker[worker] {
		switch {
		case !selected(r):
		case r.state.occupiesWorker():
			inTable = append(inTable, r)
		default:
			unresponsive = append(unresponsive, r)
		}
	}
	for _, r := range sortByRequestID(inTable) {
		d.taskCompleted(r, placement.Reset, placement.CauseUnknown)
	}
	for _, r := range sortByRequestID(unresponsive) {
		d.unresponsiveEnded(r, placement.Reset, placement.CauseUnknown)
	}
}
