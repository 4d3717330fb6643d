package dispatch

// This file owns the clients' side of the table after a submission: what a client may ask of its
// request, and the end of its connection. It must never give a client a second final response, nor
// speak to a worker but to end what its client no longer wants.

import "ravenhitch/placement"

// Client gets the responses to the requests that it submitted.
type Client interface {
	Respond(response Response)
}

// ConnectedClient is a Client that knows up to when its connection was read: a cancel or an end of
// the connection that came later may not have been read yet.
type ConnectedClient interface {
	Client
	LastSeenAt() int64 // microseconds
}

// ClientLastSeenAt is up to when the connection of a request's client was read, and otherwise where
// the client doesn't know that or the request is over.
func (d *Dispatcher) ClientLastSeenAt(requestID string, otherwise int64) int64 {
	if r := d.requests[requestID]; r != nil {
		if client, ok := r.client.(ConnectedClient); ok {
			return client.LastSeenAt()
		}
	}
	return otherwise
}

// Class is what a front may know of a class: the timeout of requests that name none.
type Class struct{ TimeoutUs int64 }

// Class returns what is known of a class, and whether it is in the settings.
func (d *Dispatcher) Class(name string) (Class, bool) {
	for _, class := range d.settings.Classes {
		if class.Name == name {
			return Class{TimeoutUs: class.DeadlineUs}, true
		}
	}
	return Class{}, false
}

// CancelResult is what Cancel found.
type CancelResult int

// What Cancel may find.
const (
	NotFound   CancelResult = iota // no such request of this client
	WasOpen                        // the request was open, and is over without a response
	WasRunning                     // the task was running, and is terminating
)

// IsResumable reports whether a request ID names a live request of a front whose clients
// repeat submissions. A front must not end what came by another.
func (d *Dispatcher) IsResumable(requestID string) bool {
	r := d.find(requestID)
	return r != nil && r.Resumable
}

// IsRunning reports whether a request ID names a running task.
func (d *Dispatcher) IsRunning(requestID string) bool {
	r := d.find(requestID)
	return r != nil && r.state == stateRunning
}

// IsTerminating reports whether a request ID names a task that was released or migrated and whose
// completion the worker has not reported.
func (d *Dispatcher) IsTerminating(requestID string) bool {
	r := d.requests[requestID]
	return r != nil && r.state == stateTerminating || d.unresponsive[requestID] != nil
}

// Contains reports whether a request ID names a request, or a task whose end is still unknown.
func (d *Dispatcher) Contains(requestID string) bool {
	return d.find(requestID) != nil || d.unresponsive[requestID] != nil
}

// Reject ends a request of client that is still open, because its connection has ended.
func (d *Dispatcher) Reject(now int64, client Client, requestID string) {
	d.now = now
	r := d.find(requestID)
	if r == nil || r.client != client || !r.state.isOpen() {
		return
	}
	d.queueEvent(placement.ClientCancelled{RequestID: r.RequestID})
	r.mayHaveRun = r.mayHaveRun || r.state != statePending
	d.rejectOrFail(r)
}

// RejectAll ends whatever is still open; used when the program has to end.
func (d *Dispatcher) RejectAll(now int64) {
	d.now = now
	for _, r := range d.sorted() {
		d.Reject(now, r.client, r.RequestID)
	}
	d.events = nil
}

// Cancel ends a request that its client no longer wants, open or running. No response is owed then.
// Where client is not nil, only a request that is still client's is cancelled.
func (d *Dispatcher) Cancel(now int64, client Client, requestID string) CancelResult {
	d.now = now
	r := d.find(requestID)
	if r == nil || client != nil && r.client != client {
		return NotFound
	}
	switch {
	case r.state.isOpen():
		d.cancelOpen(r)
		return WasOpen
	case r.state == stateRunning:
		d.counts.Cancelled++
		d.cacheResponse(r, Response{Kind: Cancelled})
		d.release(r)
		return WasRunning
	}
	return NotFound
}

// cancelOpen ends an open request that its client no longer wants.
func (d *Dispatcher) cancelOpen(r *request) {
	d.counts.Cancelled++
	d.queueEvent(placement.ClientCancelled{RequestID: r.RequestID})
	d.advisor.Cancelled(d.now, r.backpressureRequest())
	d.cacheResponse(r, Response{Kind: Cancelled})
	d.endOpenAttempt(r)
	d.remove(r)
}
