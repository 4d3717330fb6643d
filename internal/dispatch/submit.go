package dispatch

// This file owns how a submission enters the table: as a new request, as a running task, or as the repeat of
// a known request. It must never give a request a second final response.

import (
	"errors"

	"ravenhitch/placement"
)

// The errors of Submit. A submission for which Submit returns an error is not added to the table, and the dispatcher
// sends no response to it. The errors leave this package, so their texts begin with its name.
var (
	ErrRequestIDInUse = errors.New("dispatch: the request ID is in use")
	ErrKeyInUse       = errors.New("dispatch: the request ID or the key belongs to another request")
	ErrTerminating    = errors.New("dispatch: the task is terminating")
	// ErrTooManyRequests is returned for a submission that exceeds MaxRequests. It was not made, and may be made again.
	ErrTooManyRequests = errors.New("dispatch: too many requests and running tasks")
)

// adoptedShareDivisor divides MaxRequests into the part up to which tasks are adopted. The rest is left to requests.
const adoptedShareDivisor = 2

// SetMaxRequests sets the maximum number of requests and running tasks, which bounds the memory that clients can take.
func (d *Dispatcher) SetMaxRequests(maxRequests int) { d.maxRequests = maxRequests }

// MaxRequests returns the maximum number of requests and running tasks.
func (d *Dispatcher) MaxRequests() int { return d.maxRequests }

// hasRoom reports whether a submission may be added to the table.
func (d *Dispatcher) hasRoom(s *Submission) bool {
	limit := d.maxRequests
	if s.RunningOn != "" {
		limit /= adoptedShareDivisor
	}
	return len(d.requests)+len(d.unresponsive) < limit
}

// recentStart is the age of a worker's process up to which a task that is handed over there may have ended with an earlier one,
// of which its client has not been told. The ends of earlier ones were to be reported by now.
const recentStart = 8 * second

// Submit adds a submission to the table, or handles it as a repeat of a known one (see isAlreadyAdopted and resume).
// The final response is sent to client, during this call if it is known already. A task that is submitted as already
// running gets no final response. Submit returns ErrRequestIDInUse, ErrKeyInUse, ErrTerminating or
// ErrTooManyRequests if it does not accept the submission.
func (d *Dispatcher) Submit(now int64, client Client, s Submission) error {
	d.now = now
	if s.RunningOn != "" {
		if d.isAlreadyAdopted(client, &s) {
			return nil
		}
		d.inherited.observe(s.RequestID)
	}
	if s.Resumable {
		if resumed, err := d.resume(client, &s); resumed || err != nil {
			return err
		}
	}
	if err := d.checkNames(&s); err != nil {
		return err
	}
	if !d.hasRoom(&s) {
		return ErrTooManyRequests
	}
	r := d.newRequest(&s)
	d.insert(r)
	if s.RunningOn != "" {
		r.follow(submitter{client, s.RequestID})
		d.adopt(r)
	} else {
		r.await(submitter{client, s.RequestID})
		d.enqueue(r)
		if d.rejectsAll {
			d.rejectOpen(r)
		}
	}
	return nil
}

// isAlreadyAdopted reports whether a task that is submitted as already running is in the table or unresponsive. If
// it is, the task keeps its data and its client. If the client could be replaced, anyone who has seen a request ID
// could submit it and receive the completion that is meant for another client. If the client's connection is closed
// when the task completes, package clientfront sends the completion on another connection or stores it (see
// reportCompletion there). If the task was released or migrated, its client does not know, and gets its completion.
func (d *Dispatcher) isAlreadyAdopted(client Client, s *Submission) bool {
	r := d.requests[s.RequestID]
	if d.unresponsive[s.RequestID] != nil || r != nil && r.state == stateTerminating {
		d.log.Info("released task was submitted as running", "request_id", s.RequestID, "worker", s.RunningOn)
		client.Respond(Response{Kind: Completed, RequestID: s.RequestID, Outcome: placement.Reset})
		return true
	}
	if r == nil {
		return false
	}
	if !r.state.occupiesWorker() {
		d.log.Warn("adoption ignored, request is open", "request_id", s.RequestID, "worker", s.RunningOn)
	}
	return true
}

// resume handles a repeated submission and reports whether s is a repeat. It is a repeat if its request ID or its key
// belongs to a request in the table, or if the response to its request ID is cached. The response is sent to client, at
// once if it is cached or the task runs, and otherwise when the open request gets its final response. Earlier submissions
// of the request keep their claims to it. Thus the task is not started twice if a response was sent and never read. resume
// returns ErrKeyInUse if the request in the table is not resumable, has another key or was repeated under too many request
// IDs, and ErrTerminating if its task is terminating.
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
	case !r.Resumable || r.Key != s.Key || !d.addAlias(r, s.RequestID):
		return false, ErrKeyInUse
	case r.state == stateTerminating:
		return false, ErrTerminating
	}
	d.counts.Resumed++
	if r.state == stateRunning {
		r.follow(submitter{client, s.RequestID})
		client.Respond(Response{Kind: Started, RequestID: s.RequestID, Description: r.startDescription, Worker: r.worker})
	} else {
		r.await(submitter{client, s.RequestID})
	}
	return true, nil
}

// addAlias makes a request known under the request ID of a repeat. It returns false if the request has too many already.
func (d *Dispatcher) addAlias(r *request, requestID string) bool {
	if requestID == r.RequestID || d.aliases[requestID] == r {
		return true
	}
	if len(r.aliases) >= maxAliases {
		return false
	}
	r.aliases = append(r.aliases, requestID)
	d.aliases[requestID] = r
	return true
}

// checkNames returns ErrRequestIDInUse if the request ID of a submission belongs to a request in the table or to an
// unresponsive task. It returns ErrKeyInUse if the key belongs to a request with a different value of Resumable, which
// means that the request came through another front. The check of the key is omitted for a task that is submitted as
// already running.
func (d *Dispatcher) checkNames(s *Submission) error {
	if d.Contains(s.RequestID) {
		// The response to this submission would be a second one under the same request ID. If the task is
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
	task.MayHaveRunOn = r.workersMayHaveRun()
	d.queueEvent(placement.Request{Task: task})
	d.arm(r, r.deadline)
}

// adopt makes a new request a running task on the worker that its client names.
func (d *Dispatcher) adopt(r *request) {
	d.counts.Adopted++
	r.worker, r.mayHaveRun, r.adoptedAt = r.RunningOn, true, d.now
	d.workers.CancelRelease(r.worker, r.RequestID)
	d.transition(r, eventAdopted)
	d.trace("adopted", r, "connection", r.Connection)
	d.advisor.Adopted(d.now, r.backpressureRequest())
	if !d.listed[r.worker] {
		r.unaccountedSince = d.now - (unlistedTimeout - adoptedUnlistedTimeout)
	}
	d.queueEvent(placement.Adopted{Task: r.task(), Worker: r.worker})
	if startedAt := d.listFilter.entries[r.worker].StartedAtUs; startedAt > 0 && d.now-startedAt < recentStart {
		d.doubtAdoption(r, startedAt)
	}
	d.claimCompletion(r)
}

// doubtAdoption lets the scheduler find out whether an adopted task runs, whose worker's process started at startedAt, not long
// before the adoption.
func (d *Dispatcher) doubtAdoption(r *request, startedAt int64) {
	d.log.Info("adopted task uncertain", "request_id", r.RequestID, "worker", r.worker, "worker_age_us", r.adoptedAt-startedAt)
	d.queueEvent(placement.AdoptionUncertain{RequestID: r.RequestID})
}
