package dispatch

// This file owns the handling of the worker pool's reports on attempts and running tasks. It decides for each report whether
// it is about the latest attempt of a request (see offer_history.go for what proves that), and must never send an offer.

import "ravenhitch/placement"

// AttemptAccepted handles a worker's acceptance of an offer. The acceptance of a cancelled attempt is ignored: the
// client has cancelled the request, has got another response, or will get one.
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

// TaskEnded handles the end of a running, released or unresponsive task, or of an attempt whose acceptance was not
// received. Either the worker reported the end, or the offer was lost with its connection.
func (d *Dispatcher) TaskEnded(now int64, worker, requestID string, outcome placement.Outcome, cause placement.Cause) {
	d.now = now
	if r := d.unresponsive[requestID]; r != nil && r.worker == worker {
		d.unresponsiveEnded(r, placement.Cancelled, cause)
		return
	}
	r := d.requests[requestID]
	if r == nil || r.worker != worker {
		d.traceIgnored(r, worker, outcome)
		return
	}
	d.trace("attempt or task ended", r, "outcome", outcome)
	switch r.state {
	case stateOffered:
		switch {
		case hasRun(outcome, cause):
			d.unacceptedTaskEnded(r, cause)
			return
		case outcome == placement.Cancelled:
			outcome = placement.Reset // Cancelled is only for attempts that the dispatcher cancelled
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

// OfferUndelivered handles the report that an offer did not reach its worker. The outcome states why: NeverSent or
// ConnectFailed.
func (d *Dispatcher) OfferUndelivered(now int64, worker, requestID string, outcome placement.Outcome) {
	if r := d.requests[requestID]; r != nil && r.worker == worker && r.state == stateOffered {
		r.withdrawOffer()
	}
	d.TaskEnded(now, worker, requestID, outcome, placement.CauseUnknown)
}

// OfferRejected handles a worker's rejection of an offer. connection is the number of the connection on which the offer was
// sent and rejected.
func (d *Dispatcher) OfferRejected(now int64, worker, requestID string, cause placement.Cause, connection uint64) {
	if r := d.requests[requestID]; r != nil && r.worker == worker && r.state == stateOffered {
		r.setRejectedOn(connection)
	}
	d.TaskEnded(now, worker, requestID, placement.Rejected, cause)
}

// EndReported handles a worker's report on the end of a task or an attempt that arrived on a connection on which no offer
// of the request is open. The worker and the request ID name one attempt (see offer_history.go). The report may be the end
// of a running, released or unresponsive task. If the task is not in the table, the report is kept for its adoption. If the
// report shows that the task of an attempt without an acceptance ran, the request fails, because another attempt would run
// the task again; this includes an attempt that was abandoned or lost with its connection, unless another one is open. All
// other reports change nothing.
func (d *Dispatcher) EndReported(now int64, worker, requestID string, outcome placement.Outcome, cause placement.Cause) {
	d.now = now
	if !d.Contains(requestID) {
		d.unknownTaskEnded(worker, requestID, outcome, cause)
		return
	}
	if outcome != placement.Rejected && d.occupies(worker, requestID) {
		d.TaskEnded(now, worker, requestID, outcome, cause)
		return
	}
	r := d.requests[requestID]
	if r == nil || !r.mayHaveRunOn(worker) || !hasRun(outcome, cause) {
		d.traceIgnored(r, worker, outcome)
		return
	}
	d.unacceptedEndReported(r, worker, cause)
}

// unacceptedEndReported handles a report which shows that the task of a request without an acceptance ran on a worker.
func (d *Dispatcher) unacceptedEndReported(r *request, worker string, cause placement.Cause) {
	switch {
	case r.state == statePending:
		d.log.Info("task ended before its acceptance was received", "request_id", r.RequestID, "worker", worker)
		d.queueEvent(placement.ClientCancelled{RequestID: r.RequestID})
		d.fail(r)
	case r.worker == worker && r.state == stateCancelling:
		d.unacceptedTaskEnded(r, cause)
	case r.worker == worker && r.state == stateOffered:
		d.workers.CancelAttempt(worker, r.RequestID, false) // the acceptance was lost on the connection of the offer
		d.unacceptedTaskEnded(r, cause)
	default:
		d.traceIgnored(r, worker, placement.Completed)
	}
}

// occupies reports whether a task is running, terminating or unresponsive on a worker.
func (d *Dispatcher) occupies(worker, requestID string) bool {
	if r := d.unresponsive[requestID]; r != nil {
		return r.worker == worker
	}
	r := d.requests[requestID]
	return r != nil && r.worker == worker && r.state.occupiesWorker()
}

// hasRun reports whether the end of an attempt shows that the task ran although its acceptance was not
// received: the task completed, or it ended for a cause that only an accepted task can have.
func hasRun(outcome placement.Outcome, cause placement.Cause) bool {
	return outcome == placement.Completed || outcome == placement.Reset && cause.EndsTask()
}

// isTaskOutcome reports whether a running task can end with the given outcome.
func isTaskOutcome(outcome placement.Outcome) bool {
	return outcome == placement.Completed || outcome == placement.Cancelled || outcome == placement.Reset
}

// CancelConfirmed handles the confirmation that a cancelled attempt is over: the worker has read the cancel, or the
// connection of the offer has ended and the worker has had time to notice.
func (d *Dispatcher) CancelConfirmed(now int64, worker, requestID string) {
	d.now = now
	if r := d.requests[requestID]; r != nil && r.worker == worker && r.state == stateCancelling {
		d.trace("abandoned attempt ended", r)
		d.attemptEnded(r, r.cancelOutcome, placement.CauseUnknown)
	}
}

// TaskReported handles a worker's report on a running task.
func (d *Dispatcher) TaskReported(now int64, worker, requestID string, kind placement.ReportKind, value float64) {
	d.now = now
	r := d.requests[requestID]
	if r == nil && d.unresponsive[requestID] == nil {
		d.inherited.observe(requestID)
	}
	if r != nil && r.worker == worker && r.state == stateRunning {
		d.queueEvent(placement.TaskReport{RequestID: requestID, Attempt: r.attemptNumber, Worker: worker, Kind: kind, Value: value})
	}
}
