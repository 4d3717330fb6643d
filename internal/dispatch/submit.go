package dispatch

// This file owns how a submission enters the table: as a new request, as a running task, or as the repeat of
// a known request. It must never give a second final response.

import (
	"errors"

	"ravenhitch/placement"
)

// The errors of Submit. A submission with an error is not added to the table and gets no response. The fronts
// handle these errors, so their texts name this package.
var (
	ErrRequestIDInUse = errors.New("dispatch: the request ID is in use")
	ErrKeyInUse       = errors.New("dispatch: the task was submitted elsewhere")
	ErrTerminating    = errors.New("dispatch: the task is terminating")
)

// Submit adds a submission to the table. The response is sent to client. If it is known already, it is sent during
// this call. Submit returns ErrRequestIDInUse, ErrKeyInUse or ErrTerminating if it does not accept the submission.
func (d *Dispatcher) Submit(now int64, client Client, s Submission) error {
	d.now = now
	if s.RunningOn != "" && d.isAlreadyAdopted(&s) {
		return nil
	}
	if s.Resumable {
		if resumed, err := d.resume(client, &s); resumed || err != nil {
			return err
		}
	}
	if err := d.checkNames(&s); err != nil {
		return err
	}
	r := d.newRequest(client, &s)
	d.insert(r)
	if s.RunningOn != "" {
		d.adopt(r)
	} else {
		d.enqueue(r)
	}
	return nil
}

// isAlreadyAdopted reports whether a task that is submitted as already running is in the table or unresponsive. If
// it is, the task keeps its data and its client. If the client could be replaced, anyone who has seen a request ID
// could submit it and receive the completion that is meant for another client. If the client of the task has
// disconnected, its front selects another client.
func (d *Dispatcher) isAlreadyAdopted(s *Submission) bool {
	if d.unresponsive[s.RequestID] != nil {
		return true
	}
	r := d.requests[s.RequestID]
	if r == nil {
		return false
	}
	if !r.state.occupiesWorker() {
		d.log.Warn("adopted task already known", "request_id", s.RequestID, "worker", s.RunningOn)
	}
	return true
}

// resume answers a repeated submission from the state of the first one, and reports whether it did. This
// prevents a second start if a response was sent and never read.
func (d *Dispatcher) resume(client Client, s *Submission) (bool, error) {
	r := d.find(s.RequestID)
	if r == nil {
		if response, ok := d.responses.byRequestID[s.RequestID]; ok {
			client.Respond(response)
			return true, nil
		}
		r = d.latestByKey[s.Key]
	}
	switch {
	case r == nil:
		return false, nil
	case !r.Resumable || r.Key != s.Key:
		return false, ErrKeyInUse
	case r.state == stateTerminating:
		return false, ErrTerminating
	}
	if s.RequestID != r.RequestID {
		d.aliases[s.RequestID] = r
	}
	r.client, r.responseID = client, s.RequestID
	d.counts.Resumed++
	if r.state == stateRunning {
		client.Respond(Response{Kind: Started, RequestID: s.RequestID, Description: r.startDescription, Worker: r.worker})
	}
	return true, nil
}

// checkNames returns an error if the request ID or the key of a submission belongs to another request.
func (d *Dispatcher) checkNames(s *Submission) error {
	if d.Contains(s.RequestID) {
		// A response to this submission would be a second one to the known request. If the task is
		// unresponsive, the scheduler still uses the request ID.
		return ErrRequestIDInUse
	}
	if r := d.latestByKey[s.Key]; r != nil && r.Resumable != s.Resumable && s.RunningOn == "" {
		return ErrKeyInUse
	}
	return nil
}

// enqueue makes a new request pending.
func (d *Dispatcher) enqueue(r *request) {
	d.counts.Requests++
	d.transition(r, eventSubmitted)
	d.trace("request", r, "connection", r.Connection, "timeout_us", r.TimeoutUs, "deadline_us", r.deadline)
	r.QueuedSinceUs = d.advisor.Requested(d.now, r.backpressureRequest())
	task := r.task()
	task.QueuedSinceUs = r.QueuedSinceUs
	d.queueEvent(placement.Request{Task: task})
	d.arm(r, r.deadline)
}

// adopt makes a new request a running task on the worker that its client names.
func (d *Dispatcher) adopt(r *request) {
	d.counts.Adopted++
	r.worker, r.mayHaveRun, r.adoptedAt = r.RunningOn, true, d.now
	d.transition(r, eventAdopted)
	d.advisor.Adopted(d.now, r.backpressureRequest())
	if !d.listed[r.worker] {
		r.unaccountedSince = d.now - (unlistedTimeout - adoptedUnlistedTimeout)
	}
	d.queueEvent(placement.Adopted{Task: r.task(), Worker: r.worker})
	d.claimCompletion(r)
}
