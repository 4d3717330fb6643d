package dispatch

// This file owns the ends of attempts and of tasks: what the scheduler and the client learn of them, and
// what becomes of the request. It must never start an attempt.

import "ravenhitch/placement"

// terminationTimeout is how long a worker has to report the completion of a task that was released
// or migrated before its client may use its names again.
const terminationTimeout = 700 * millisecond

// cancelAttempt cancels the open attempt. The worker is notified before anything else may be sent for
// this request, and the scheduler learns of the end, and may offer elsewhere, only once the attempt
// is over for sure: a cancel that is still in transit, or in a connection that became unresponsive,
// ends nothing. The response does not wait for that.
func (d *Dispatcher) cancelAttempt(r *request, outcome placement.Outcome) {
	mayRetry := d.now < r.deadline && d.checkAttempt(r) == nil
	confirmed := d.workers.CancelAttempt(r.worker, r.RequestID, mayRetry)
	if confirmed || d.now >= r.deadline {
		d.attemptEnded(r, outcome, placement.CauseUnknown)
		return
	}
	d.transition(r, eventCancelUnconfirmed)
	r.cancelOutcome = outcome
	d.setMayHaveRun(r)
	d.arm(r, r.deadline)
}

// attemptEnded takes the end of an attempt that was not accepted. The request is pending again.
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

// unacceptedTaskEnded takes the end of a task that ran and whose acceptance was not read. What ran and is over is
// reported to its client within a second, whatever its class: another attempt would begin the task anew instead, and
// outlast that. Its client cannot be sent an acceptance, since the worker's description is not known.
func (d *Dispatcher) unacceptedTaskEnded(r *request, cause placement.Cause) {
	d.log.Info("task ended before its acceptance", "request_id", r.RequestID, "worker", r.worker)
	d.counts.Reset++
	d.setMayHaveRun(r)
	d.transition(r, eventAttemptEnded)
	d.reportAttemptEnded(r, placement.Reset, cause, true)
	d.fail(r)
}

// setMayHaveRun notes that the attempt of r which is open, or was last, may have started.
func (d *Dispatcher) setMayHaveRun(r *request) {
	if r.mayHaveRun {
		return
	}
	r.mayHaveRun = true
	entry := d.listFilter.entries[r.worker]
	r.firstRun = firstAttempt{worker: r.worker, zone: entry.Zone, cell: entry.Cell, at: r.sentAt}
}

// endOpenAttempt cancels an attempt that is still open at the end of its request.
func (d *Dispatcher) endOpenAttempt(r *request) {
	switch r.state {
	case stateOffered:
		d.trace("attempt abandoned", r)
		d.workers.CancelAttempt(r.worker, r.RequestID, false)
		d.reportAttemptEnded(r, placement.Cancelled, placement.CauseUnknown, true)
	case stateCancelling:
		d.reportAttemptEnded(r, r.cancelOutcome, placement.CauseUnknown, true)
	}
}

// release ends a running task that is no longer wanted here.
func (d *Dispatcher) release(r *request) {
	d.workers.Release(r.worker, r.RequestID)
	d.transition(r, eventReleased)
	d.arm(r, d.now+terminationTimeout)
}

// taskCompleted takes the end of a running or terminating task. Its client is notified, unless it asked
// for the end itself.
func (d *Dispatcher) taskCompleted(r *request, outcome placement.Outcome, cause placement.Cause) {
	d.advisor.Ended(d.now, r.backpressureRequest())
	d.reportAttemptEnded(r, outcome, cause, true)
	if r.state == stateRunning && outcome != placement.Cancelled {
		d.counts.Completed++
		d.respond(r, Response{Kind: Completed, Outcome: outcome, Cause: cause})
	}
	d.remove(r)
}

// reportAttemptEnded reports to the scheduler the end of an attempt; final where its request is over.
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
