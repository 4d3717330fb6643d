package dispatch

// This file owns the responses to clients, and remembers the final ones for clients that repeat a
// submission. It must never give a request a second final response.

import "ravenhitch/placement"

// maxCachedResponses bounds the final responses cached for submissions that may be repeated.
const maxCachedResponses = 4096

// ResponseKind is the kind of a response.
type ResponseKind int

// The responses. Started, Rejected and Failed are final responses to a submission, Completed and
// Migrated end a running task.
const (
	Started ResponseKind = iota
	Rejected
	Failed
	Completed
	Migrated
	Cancelled // only to a repeated submission: its client cancelled the first
)

// Response is what a client learns of its request.
type Response struct {
	Kind          ResponseKind
	RequestID     string
	Description   string            // Started: what the worker said of it
	RetryAfterUs  int64             // Rejected: how long to stay away
	QueuedSinceUs int64             // Rejected: since when its client is on the waitlist
	Rejections    int               // Rejected: how often, as far as was proved
	Outcome       placement.Outcome // Completed: how the task ended
	Cause         placement.Cause   // Rejected, Completed: the reason, where one is known
	Worker        string            // Started: where it runs
}

// respond sends a response to the client of a request, and caches the final response to what may be repeated.
func (d *Dispatcher) respond(r *request, response Response) {
	response.RequestID = r.responseID
	d.trace("response", r, "kind", response.Kind, "response_id", response.RequestID)
	d.pacer.responded++
	d.countResponse(r.Class, response.Kind)
	if response.Kind != Started {
		d.cacheResponse(r, response)
	}
	r.client.Respond(response)
}

// isRepeatable reports whether a further start of a request does no harm, wherever its client goes.
func (d *Dispatcher) isRepeatable(r *request) bool {
	return !r.mayHaveRun || r.effect == placement.Safe ||
		r.effect == placement.Keyed && d.settings.Classes[r.classIndex].Group == placement.ScopeAll
}

// rejectOrFail ends an open request without a start: rejected where a retry is harmless, else failed.
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

// cacheResponse keeps the final response to a request that may be repeated.
func (d *Dispatcher) cacheResponse(r *request, response Response) {
	if !r.Resumable {
		return
	}
	for _, requestID := range [...]string{r.RequestID, r.responseID} {
		response.RequestID = requestID
		d.responses.put(response)
	}
}

// responseCache holds the latest final response under each request ID; the oldest request IDs are evicted.
type responseCache struct {
	byRequestID map[string]Response
	order       []string // request IDs, oldest first
}

func newResponseCache() responseCache {
	return responseCache{byRequestID: map[string]Response{}}
}

// put caches a response under its request ID, in place of an earlier one.
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
