package dispatch

// This file owns the ends of attempts and tasks: it reports each end to the scheduler, sends completions to the
// client, and updates or removes the request. It must never start an attempt.

import "ravenhitch/placement"

// terminationTimeout is the maximum time for which the dispatcher waits for the worker's report on the end of a
// released or migrated task. While it waits, a resumable submission of the task's key gets an error.
const terminationTimeout = 700 * millisecond

// cancelAttempt cancels the open attempt of a request. If a cancel has to be sent to the worker, it is sent before any
// later message for this request. Before the deadline of the request, the attempt counts as ended only when the worker
// pool reports that it is over. Once it has ended, the scheduler may offer the task to another worker. Therefore a
// cancel that is in transit, or was written on a connection that became unresponsive, does not end the attempt if
// another attempt may follow. At the deadline, the attempt counts as ended without a confirmation, because the
// response to the client must not wait any longer.
func (d *Dispatcher) cancelAttempt(r *request, outcome placement.Outcome) {
	mayRetry := d.now < r.deadline && d.checkAttempt(r) == nil
	state := d.workers.CancelAttempt(r.worker, r.RequestID, mayRetry)
	switch {
	case state == OfferWithdrawn:
		r.withdrawOffer()
		d.attemptEnded(r, placement.ConnectFailed, placement.CauseUnknown)
		return
	case state == CancelConfirmed || d.now >= r.deadline:
		d.attemptEnded(r, outcome, placement.CauseUnknown)
		return
	}
	d.transition(r, eventCancelUnconfirmed)
	r.cancelOutcome = outcome
	d.setMayHaveRun(r)
	d.arm(r, r.deadline)
}

// attemptEnded records the end of the attempt of a request in stateOffered or stateCancelling. The request becomes
// pending again.
func (d *Dispatcher) attemptEnded(r *request, outcome placement.Outcome, cause placement.Cause) {
	switch outcome {
	case placement.Rejected:
		d.counts.RejectedByWorker++
	case placement.ConnectFailed:
		d.counts.ConnectFailed++
	case placement.NeverSent:
	case placement.TimedOut:
		d.counts.TimedOut++
		d.setMayHaveRun(r)
	default:
		d.counts.Reset++
		d.setMayHaveRun(r)
	}
	d.transition(r, eventAttemptEnded)
	d.reportAttemptEnded(r, outcome, cause, false)
	d.arm(r, r.deadline)
}

// unacceptedTaskEnded records the end of a task that ran although no acceptance of it was recorded, and fails the
// request. The client must learn of the end within a second, whatever the class of the task. Another attempt would
// run the task again and may take longer than a second. No acceptance can be sent to the client, because the worker's
// description of the task is not known.
func (d *Dispatcher) unacceptedTaskEnded(r *request, cause placement.Cause) {
	d.log.Info("task ended before its acceptance was received", "request_id", r.RequestID, "worker", r.worker)
	d.counts.Reset++
	d.setMayHaveRun(r)
	d.transition(r, eventAttemptEnded)
	d.reportAttemptEnded(r, placement.Reset, cause, true)
	d.fail(r)
}

// setMayHaveRun records that the latest attempt of r, open or ended, may have started the task. For the first such
// attempt, it also records the worker and the time of the offer.
func (d *Dispatcher) setMayHaveRun(r *request) {
	if r.mayHaveRun {
		return
	}
	r.mayHaveRun = true
	entry := d.listFilter.entries[r.worker]
	r.firstRun = firstAttempt{worker: r.worker, zone: entry.Zone, cell: entry.Cell, at: r.sentAt}
}

// endOpenAttempt ends the attempt, if any, that is still open when its request ends. It reports the end to the
// scheduler, and cancels the attempt unless it was cancelled before.
func (d *Dispatcher) endOpenAttempt(r *request) {
	switch r.state {
	case stateOffered:
		d.trace("attempt abandoned", r)
		if d.workers.CancelAttempt(r.worker, r.RequestID, false) == OfferWithdrawn {
			r.withdrawOffer()
		}
		d.reportAttemptEnded(r, placement.Cancelled, placement.CauseUnknown, true)
	case stateCancelling:
		d.reportAttemptEnded(r, r.cancelOutcome, placement.CauseUnknown, true)
	}
}

// release requests the worker to end a running task. If the worker does not report the end within terminationTimeout,
// the task becomes unresponsive (unresponsive.go).
func (d *Dispatcher) release(r *request) {
	d.trace("releasing task", r)
	d.workers.Release(r.worker, r.RequestID)
	d.transition(r, eventReleased)
	d.arm(r, d.now+terminationTimeout)
}

// abandonTask ends a running task that may be over, for a reason, because nobody may ever report its end. Its worker is to end
// it too, as soon as it is reached. The client submits the task again. If the task must not run twice, it counts as lost
// instead: its client then makes sure that it does not run before it submits the task again.
func (d *Dispatcher) abandonTask(r *request, reason string) {
	d.log.Info("task abandoned", "request_id", r.RequestID, "worker", r.worker, "reason", reason)
	if d.isRepeatable(r) {
		d.migrate(r)
		return
	}
	d.workers.Release(r.worker, r.RequestID)
	d.taskCompleted(r, placement.Reset, placement.CauseUnknown)
}

// taskCompleted records the end of a running or terminating task and removes its request. The completion is
// sent to the client unless the task was released or migrated before. If the worker reports a running task as cancelled,
// another orchestrator or an earlier process released it, and its client may not know.
func (d *Dispatcher) taskCompleted(r *request, outcome placement.Outcome, cause placement.Cause) {
	d.advisor.Ended(d.now, r.backpressureRequest())
	d.reportAttemptEnded(r, outcome, cause, true)
	if r.state == stateRunning {
		d.counts.Completed++
		d.respond(r, Response{Kind: Completed, Outcome: outcome, Cause: cause})
	}
	d.remove(r)
}

// reportAttemptEnded reports the end of a request's latest attempt, or of its task, to the scheduler. final is true if
// no further attempt of the request follows.
func (d *Dispatcher) reportAttemptEnded(r *request, outcome placement.Outcome, cause placement.Cause, final bool) {
	d.queueEvent(placement.AttemptEnded{
		RequestID: r.RequestID,
		Attempt:   r.attemptNumber,
		Worker:    r.worker,
		Outcome:   outcome,
		Cause:     cause,
		Final:     final,
		RTTUs:     d.now - r.sentAt,
	})
}
