package dispatch

// This file owns the interfaces that clients implement, and the calls about a request after its submission:
// queries, cancels and rejections. It must never give a client a second final response. The only messages
// that it may send to workers are cancels and releases for the requests that these calls end.

import "ravenhitch/placement"

// Client receives the responses to the requests that it submitted.
type Client interface {
	Respond(response Response)
}

// ConnectedClient is a Client that reports the time up to which its connection was read. A cancel or a
// disconnect that arrived later may not have been read yet.
type ConnectedClient interface {
	Client
	// LastSeenAt returns the time up to which the connection was read, in microseconds.
	LastSeenAt() int64
}

// ClientLastSeenAt returns the time up to which the connection of a request's client was read. It returns
// fallback if the client does not report this time or the request is not in the table.
func (d *Dispatcher) ClientLastSeenAt(requestID string, fallback int64) int64 {
	if r := d.requests[requestID]; r != nil {
		if client, ok := r.latestClient().(ConnectedClient); ok {
			return client.LastSeenAt()
		}
	}
	return fallback
}

// Class holds the properties of a class that fronts need. TimeoutUs is the timeout, in microseconds, of requests
// that state no timeout.
type Class struct {
	TimeoutUs int64 // timeout of a request whose client states none
	Keyed     bool  // workers recognise repeats of a task by its idempotency key
}

// Class returns the properties of a class and reports whether the class is in the settings.
func (d *Dispatcher) Class(name string) (Class, bool) {
	for _, class := range d.settings.Classes {
		if class.Name == name {
			return Class{TimeoutUs: class.DeadlineUs, Keyed: class.Effect == placement.Keyed}, true
		}
	}
	return Class{}, false
}

// CancelResult states whether Cancel found the request, and whether the request was open or its task was running.
type CancelResult int

// The results of Cancel.
const (
	NotFound   CancelResult = iota // no open request or running task has this ID, or it belongs to another client
	WasOpen                        // the request was open and is removed without a response
	WasRunning                     // the task was running and is now terminating
)

// IsResumable reports whether a request ID belongs to a request in the table that was submitted as resumable, that
// is, through a front whose clients repeat submissions. Fronts use it because a front must not end a request that
// was submitted through another front.
func (d *Dispatcher) IsResumable(requestID string) bool {
	r := d.find(requestID)
	return r != nil && r.Resumable
}

// IsRunning reports whether a request ID belongs to a running task.
func (d *Dispatcher) IsRunning(requestID string) bool {
	r := d.find(requestID)
	return r != nil && r.state == stateRunning
}

// IsTerminating reports whether a request ID belongs to a task that was released or migrated and whose
// completion the worker has not reported.
func (d *Dispatcher) IsTerminating(requestID string) bool {
	r := d.requests[requestID]
	return r != nil && r.state == stateTerminating || d.unresponsive[requestID] != nil
}

// Contains reports whether a request ID belongs to a request in the table or to an unresponsive task.
func (d *Dispatcher) Contains(requestID string) bool {
	return d.find(requestID) != nil || d.unresponsive[requestID] != nil
}

// Reject ends an open request of the given client at once. Package clientfront calls it when it closes a connection or
// receives a duplicate request ID. The response is a rejection or, if a retry could do harm, a failure.
func (d *Dispatcher) Reject(now int64, client Client, requestID string) {
	d.now = now
	if r := d.find(requestID); r != nil && r.includes(client) && r.state.isOpen() {
		d.rejectOpen(r)
	}
}

// rejectOpen ends an open request at once, with a rejection or, if a retry could do harm, a failure.
func (d *Dispatcher) rejectOpen(r *request) {
	d.queueEvent(placement.ClientCancelled{RequestID: r.RequestID})
	r.mayHaveRun = r.mayHaveRun || r.state != statePending
	d.rejectOrFail(r)
}

// RejectAll rejects all open requests, or fails those whose retry could do harm, and discards the events that are
// queued for the scheduler. Requests that are submitted later are rejected at once. RejectAll is called when the program
// shuts down.
func (d *Dispatcher) RejectAll(now int64) {
	d.now, d.rejectsAll = now, true
	for _, r := range d.sorted() {
		if r.state.isOpen() {
			d.rejectOpen(r)
		}
	}
	d.events = nil
}

// Cancel cancels an open request or releases a running task. If client is not nil, Cancel does so only for a submission of
// this client, which gets no response; the request stays open for other submissions that await its response. If client is
// nil, all submissions that await the response are told that the request was cancelled.
func (d *Dispatcher) Cancel(now int64, client Client, requestID string) CancelResult {
	d.now = now
	r := d.find(requestID)
	if r == nil || client != nil && !r.includes(client) {
		return NotFound
	}
	switch {
	case r.state.isOpen():
		if client == nil {
			d.respond(r, Response{Kind: Cancelled})
		} else if !r.withdraw(submitter{client, requestID}) {
			return NotFound
		}
		if len(r.waiting) == 0 {
			d.cancelOpen(r)
		}
		return WasOpen
	case r.state == stateRunning:
		d.counts.Cancelled++
		d.cacheResponse(r, Response{Kind: Cancelled})
		d.release(r)
		return WasRunning
	}
	return NotFound
}

// Abandon handles a submission whose client no longer waits for the response. If no other submission awaits it, the open
// request is cancelled. Unlike after Cancel, a repeat of the submission is a new request, unless a retry could do harm. Then
// the repeat gets a failure.
func (d *Dispatcher) Abandon(now int64, client Client, requestID string) {
	d.now = now
	r := d.find(requestID)
	if r == nil || !r.state.isOpen() || !r.withdraw(submitter{client, requestID}) || len(r.waiting) > 0 {
		return
	}
	r.mayHaveRun = r.mayHaveRun || r.state != statePending
	if !d.isRepeatable(r) {
		d.cacheResponse(r, Response{Kind: Failed})
	}
	d.removeCancelled(r)
}

// cancelOpen removes an open request that its client cancelled, without a response.
func (d *Dispatcher) cancelOpen(r *request) {
	d.cacheResponse(r, Response{Kind: Cancelled})
	d.removeCancelled(r)
}

// removeCancelled removes an open request without a response.
func (d *Dispatcher) removeCancelled(r *request) {
	d.counts.Cancelled++
	d.queueEvent(placement.ClientCancelled{RequestID: r.RequestID})
	d.advisor.Cancelled(d.now, r.backpressureRequest())
	d.endOpenAttempt(r)
	d.remove(r)
}
