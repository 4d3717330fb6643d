package dispatch

// This file owns the responses to clients, and caches them for clients that repeat a submission. It must never
// give a request a second final response.

import "ravenhitch/placement"

// maxCachedResponses is the maximum number of responses that are cached for repeated submissions.
const maxCachedResponses = 4096

// ResponseKind states what a response reports to the client.
type ResponseKind int

// The kinds of response. Started, Rejected and Failed are final responses to a submission. Completed reports the end
// of a running task. Migrated reports that a running task was released and has to be submitted again.
const (
	Started ResponseKind = iota
	Rejected
	Failed
	Completed
	Migrated
	Cancelled // response to a repeated submission: the client cancelled the request or released the task earlier
)

// Response is a message to a client about one of its requests.
type Response struct {
	Kind          ResponseKind
	RequestID     string
	Description   string            // Started: the worker's description of the task
	RetryAfterUs  int64             // Rejected: how long to wait before a retry, 0 for no advice
	QueuedSinceUs int64             // Rejected: time since which the client has been on the waitlist
	Rejections    int               // Rejected: number of earlier rejections (see Submission.Rejections) plus this one
	Outcome       placement.Outcome // Completed: outcome of the task
	Cause         placement.Cause   // Completed: cause of the end, if known
	Worker        string            // Started: the worker that runs the task
}

// respond sends a response to the submitters of a request that have a claim to it. If the request is resumable, it also
// caches the response for repeated submissions. A Started response is not cached, because resume answers the repeats while
// the task runs.
func (d *Dispatcher) respond(r *request, response Response) {
	d.countResponse(r.Class, response.Kind)
	if response.Kind != Started {
		d.cacheResponse(r, response)
	}
	for _, submission := range r.recipients(response.Kind) {
		response.RequestID = submission.requestID
		d.trace("response", r, "kind", response.Kind, "response_id", response.RequestID)
		d.pacer.responded++
		submission.client.Respond(response)
	}
}

// isRepeatable reports whether a retry by the client does no harm, whichever worker receives it: the task has not
// run, may run any number of times, or is of a class in which all workers discard repeats. It does not check for how
// long the workers discard repeats (placement.Class.WindowUs).
func (d *Dispatcher) isRepeatable(r *request) bool {
	return !r.mayHaveRun || r.effect == placement.Safe ||
		r.effect == placement.Keyed && d.settings.Classes[r.classIndex].Group == placement.ScopeAll
}

// rejectOrFail ends an open request whose task was not accepted. It rejects the request if a retry does no harm,
// and fails it otherwise.
func (d *Dispatcher) rejectOrFail(r *request) {
	if !d.isRepeatable(r) {
		d.fail(r)
		return
	}
	d.endOpenAttempt(r)
	d.counts.Rejected++
	retryAfter := d.advisor.Rejected(d.now, r.backpressureRequest())
	if !d.settings.RetryAfter {
		retryAfter = 0
	}
	d.respond(r, Response{
		Kind: Rejected, RetryAfterUs: retryAfter, QueuedSinceUs: r.QueuedSinceUs, Rejections: r.Rejections + 1,
	})
	d.remove(r)
}

// fail ends an open request whose task may have run.
func (d *Dispatcher) fail(r *request) {
	d.endOpenAttempt(r)
	d.counts.Failed++
	d.respond(r, Response{Kind: Failed})
	d.remove(r)
}

// cacheResponse caches the response to a resumable request, under the request IDs of all its submissions. It does nothing
// for other requests.
func (d *Dispatcher) cacheResponse(r *request, response Response) {
	if !r.Resumable {
		return
	}
	for _, requestID := range append([]string{r.RequestID}, r.aliases...) {
		response.RequestID = requestID
		d.responses.put(response)
	}
}

// responseCache holds the latest response for each of up to maxCachedResponses request IDs. If the cache is full, a new
// request ID evicts the oldest one.
type responseCache struct {
	byRequestID map[string]Response
	order       []string // request IDs, oldest first
}

func newResponseCache() responseCache {
	return responseCache{byRequestID: map[string]Response{}}
}

// put caches a response under its request ID and replaces an earlier one.
func (c *responseCache) put(response Response) {
	requestID := response.RequestID
	if _, known := c.byRequestID[requestID]; !known {
		if len(c.order) >= maxCachedResponses {
			delete(c.byRequestID, c.order[0])
			c.order = c.order[1:]
		}
		c.order = append(c.order, requestID)
	}
	c.byRequestID[requestID] = response
}
