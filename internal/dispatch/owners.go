package dispatch

// This file owns the owners' side of the table: set-ups, repeated set-ups, withdrawals and
// answers. It must never tell an owner a second final answer, nor speak to a node but to
// release what its owner no longer wants.

import (
	"errors"

	"ravenhitch/placement"
)

// The errors of Submit. Nothing was taken then, and no answer is owed.
var (
	ErrRequestIDInUse = errors.New("core: the tag is in use")
	ErrKeyInUse       = errors.New("core: the task was handed in elsewhere")
	ErrTerminating    = errors.New("core: the task is just being ended")
)

// ResponseKind is what an owner is told.
type ResponseKind int

// The answers. Started, Refused and Failed are final answers to a set-up, Over
// and Moved end a task that stands.
const (
	Started ResponseKind = iota
	Rejected
	Failed
	Completed
	Migrated
	Cancelled // only to a repeated set-up: its owner withdrew it
)

// Respond is what an owner is told of its task.
type Response struct {
	Kind          ResponseKind
	RequestID     string
	Description   string            // Started: what the node gave
	RetryAfterUs  int64             // Refused: how long to stay away
	QueuedSinceUs int64             // Refused: since when its owner stands in line
	Rejections    int               // Refused: how often it was, as far as was proved
	Outcome       placement.Outcome // Over: how the task ended
	Cause         placement.Cause   // Refused, Over: the reason, where one was told
	Worker        string            // Started: where it stands
}

// Client is told the answers to the requests that it handed in.
type Client interface {
	Respond(a Response)
}

// ConnectedClient is an Owner that knows up to when its client was heard: a withdrawal or an end
// of its connection that came later may not have been read yet.
type ConnectedClient interface {
	Client
	LastSeenAt() int64
}

// ClientLastSeenAt is up to when the client of a request was heard, otherwise where its owner
// doesn't know or the request is over.
func (c *Dispatcher) ClientLastSeenAt(tag string, otherwise int64) int64 {
	if r := c.requests[tag]; r != nil {
		if o, ok := r.client.(ConnectedClient); ok {
			return o.LastSeenAt()
		}
	}
	return otherwise
}

// Class is what a front may know of a class.
type Class struct{ TimeoutUs int64 }

// Class returns what is known of a class.
func (c *Dispatcher) Class(name string) (Class, bool) {
	for _, k := range c.settings.Classes {
		if k.Name == name {
			return Class{TimeoutUs: k.DeadlineUs}, true
		}
	}
	return Class{}, false
}

// Submit takes in a set-up.
func (c *Dispatcher) Submit(now int64, o Client, s Submission) error {
	c.now = now
	if s.RunningOn != "" && c.unresponsive[s.RequestID] != nil {
		return nil
	}
	if s.RunningOn != "" && c.requests[s.RequestID] != nil {
		c.reopen(c.requests[s.RequestID], s)
		return nil
	}
	if s.Resumable {
		if ok, err := c.resume(o, s); ok || err != nil {
			return err
		}
	}
	if c.find(s.RequestID) != nil || c.unresponsive[s.RequestID] != nil {
		// It can't be answered without a second answer to the first, or the module knows it.
		return ErrRequestIDInUse
	}
	if r := c.latestByKey[s.Key]; r != nil && r.Resumable != s.Resumable && s.RunningOn == "" {
		return ErrKeyInUse
	}
	effect, ok := c.effects[s.Class]
	if !ok {
		effect = placement.Unsafe
	}
	came := now
	if s.ReceivedAtUs > 0 {
		came = min(now, s.ReceivedAtUs)
	}
	r := &request{Submission: s, client: o, effect: effect, deadline: c.pacer.reserve(now, came+s.TimeoutUs), heapIndex: -1, responseID: s.RequestID,
		keyHash: number(s.Key), units: c.settings.Units(s.Cores, s.Memory), classIndex: len(c.settings.Classes) - 1}
	if i, ok := c.classIndex[s.Class]; ok {
		r.classIndex = i
	}
	c.requests[s.RequestID] = r
	if s.Key != "" {
		c.latestByKey[s.Key] = r
	}
	task := placement.Task{RequestID: s.RequestID, KeyHash: r.keyHash, DeadlineUs: r.deadline, Cores: s.Cores, Memory: s.Memory,
		Class: s.Class, Program: s.Program, Tenant: s.Tenant, ExpectedRunUs: s.ExpectedRunUs, HasRunHint: s.ExpectedRunUs > 0, Retry: s.Retry}
	if s.RunningOn != "" {
		c.counts.Adopted++
		r.worker, r.mayHaveRun, r.adoptedAt = s.RunningOn, true, now
		c.to(r, stateRunning)
		c.advisor.Adopted(now, r.caller())
		if !c.listed[s.RunningOn] {
			r.missingSince = now - (unlistedTimeout - adoptedUnlistedTimeout)
		}
		c.event(placement.Adopted{Task: task, Worker: s.RunningOn})
		c.claim(r)
		return nil
	}
	c.counts.Requests++
	c.to(r, statePending)
	c.trace("request", r, "timeout_us", s.TimeoutUs, "deadline_us", r.deadline)
	r.QueuedSinceUs = c.advisor.Requested(now, r.caller())
	task.QueuedSinceUs = r.QueuedSinceUs
	c.event(placement.Request{Task: task})
	c.arm(r, r.deadline)
	return nil
}

// resume answers a repeated set-up with what is known of the first. It guards
// against a second start where an answer was sent and never read.
func (c *Dispatcher) resume(o Client, s Submission) (bool, error) {
	r := c.find(s.RequestID)
	if r == nil {
		if a, ok := c.finalResponses[s.RequestID]; ok {
			o.Respond(a)
			return true, nil
		}
		r = c.latestByKey[s.Key]
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
		c.aliases[s.RequestID] = r
	}
	r.client, r.responseID = o, s.RequestID
	c.counts.Resumed++
	if r.state == stateRunning {
		o.Respond(Response{Kind: Started, RequestID: s.RequestID, Description: r.startDescription, Worker: r.worker})
	}
	return true, nil
}

// answer tells the owner, and keeps the last word on what may be asked again.
func (c *Dispatcher) answer(r *request, a Response) {
	a.RequestID = r.responseID
	c.trace("response", r, "kind", a.Kind, "response_id", a.RequestID)
	c.pacer.responded++
	c.tally(r.Class, a.Kind)
	if a.Kind != Started {
		c.remember(r, a)
	}
	r.client.Respond(a)
}

// remember keeps the last word on a set-up that may be repeated.
func (c *Dispatcher) remember(r *request, a Response) {
	if !r.Resumable {
		return
	}
	for _, tag := range []string{r.RequestID, r.responseID} {
		if _, ok := c.finalResponses[tag]; !ok {
			if len(c.finalOrder) >= maxCachedResponses {
				delete(c.finalResponses, c.finalOrder[0])
				c.finalOrder = c.finalOrder[1:]
			}
			c.finalOrder = append(c.finalOrder, tag)
		}
		a.RequestID = tag
		c.finalResponses[tag] = a
	}
}

// reopen takes a task found running whose tag is known here. What the table holds of it
// goes on, its owner too: whoever repeats a tag that it may have heard of would else get the
// end that another is owed. Where that one is gone, its front finds another.
func (c *Dispatcher) reopen(r *request, s Submission) {
	if r.state == stateRunning || r.state == stateTerminating {
		return
	}
	c.log.Warn("adopted task already known", "request_id", s.RequestID, "worker", s.RunningOn)
}

// Cancelled is what Withdraw found.
type CancelResult int

// What a withdrawal may find.
const (
	NotFound CancelResult = iota
	WasOpen
	WasRunning
)

// IsResumable reports whether a tag names a live request of a front whose owners
// repeat set-ups. A front must not end what came by another.
func (c *Dispatcher) IsResumable(tag string) bool {
	r := c.find(tag)
	return r != nil && r.Resumable
}

// IsRunning reports whether a tag names a task that stands.
func (c *Dispatcher) IsRunning(tag string) bool {
	r := c.find(tag)
	return r != nil && r.state == stateRunning
}

// IsTerminating reports whether a tag names a task that was released or moved and of whose
// end the node has not told.
func (c *Dispatcher) IsTerminating(tag string) bool {
	r := c.requests[tag]
	return r != nil && r.state == stateTerminating || c.unresponsive[tag] != nil
}

// Contains reports whether a tag names a request, or a task whose end is still to be told.
func (c *Dispatcher) Contains(tag string) bool {
	return c.find(tag) != nil || c.unresponsive[tag] != nil
}

// IsListed reports whether a node is on the list.
func (c *Dispatcher) IsListed(node string) bool { return c.listed[node] }

// Reject answers a request of o's that is still open, because nothing more can be
// heard of o on its connection.
func (c *Dispatcher) Reject(now int64, o Client, tag string) {
	c.now = now
	r := c.find(tag)
	if r == nil || r.client != o || !r.open() {
		return
	}
	c.event(placement.ClientCancelled{RequestID: r.RequestID})
	r.mayHaveRun = r.mayHaveRun || r.state != statePending
	c.rejectOrFail(r)
}

// Cancel takes an owner's word that it no longer wants a task, whether that
// still waits for its answer or stands. No answer is owed then. Where o is not
// nil, only a request that is still o's is withdrawn.
func (c *Dispatcher) Cancel(now int64, o Client, tag string) CancelResult {
	c.now = now
	r := c.find(tag)
	if r == nil || o != nil && r.client != o {
		return NotFound
	}
	switch r.state {
	case statePending, stateOffered, stateCancelling:
		c.counts.Cancelled++
		c.event(placement.ClientCancelled{RequestID: r.RequestID})
		c.advisor.Cancelled(now, r.caller())
		c.remember(r, Response{Kind: Cancelled})
		c.endOpenAttempt(r)
		c.forget(r)
		return WasOpen
	case stateRunning:
		c.counts.Cancelled++
		c.remember(r, Response{Kind: Cancelled})
		c.workers.Release(r.worker, r.RequestID)
		c.to(r, stateTerminating)
		c.arm(r, now+terminationTimeout)
		return WasRunning
	}
	return NotFound
}
