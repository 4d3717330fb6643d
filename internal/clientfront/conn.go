package clientfront

// This file owns a single client connection: the messages received on it and the requests that are open on it. It
// must never forward a message that a client may not send, and it must respond to every open request before it
// closes the connection.

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/jsonlines"
	"ravenhitch/placement"
)

const (
	// maxOpenWithoutTask is the maximum number of open requests on a connection that has had no task yet. Further
	// requests are rejected at once. This limit and maxInvalidMessages apply only to connections that have had no
	// task. They protect the connections that have had one, which carry completions.
	maxOpenWithoutTask = 32
	// connectionShareDivisor divides the maximum number of requests and running tasks into the part of it that one connection
	// may have open.
	connectionShareDivisor = 4
	// maxInvalidMessages is the number of invalid messages at which a connection that has had no task yet is
	// closed.
	maxInvalidMessages = 64
	// openLimitRetryAfter is the Retry-After, in microseconds, of a request that is rejected because too many
	// requests are open.
	openLimitRetryAfter = 1 * second
)

// clientConn is a connection of a client. It is the dispatch.Client of the requests received on it. Its times are in
// microseconds on the clock of the event loop.
type clientConn struct {
	front        *Front
	conn         *eventloop.Conn
	number       uint64          // sequence number among the accepted connections, from 1
	openRequests map[string]bool // IDs of the requests that have no response yet
	lastActiveAt int64           // time of the last complete message, or of the opening if there was none
	partialSince int64           // time since which the rest of an incomplete message is awaited, 0 if there is none
	hasMessage   bool            // a complete message was received
	hasTask      bool            // a task was started or adopted for a request on this connection
	hasStarted   bool            // a task was started for a request on this connection
	confirms     bool            // the client has confirmed a completion
	taskCount    int             // number of running tasks that belong to the connection
	invalidCount int             // number of invalid messages received
}

// Opened implements eventloop.Handler. It registers the connection with the front.
func (c *clientConn) Opened(conn *eventloop.Conn) {
	c.conn, c.lastActiveAt = conn, c.front.loop.Now()
	c.front.add(c)
}

// LastSeenAt implements dispatch.ConnectedClient. It returns the time, in microseconds, up to which the connection has
// been read.
func (c *clientConn) LastSeenAt() int64 { return c.conn.LastSeenAt() }

// Closed implements eventloop.Handler. It cancels the open requests of the connection.
func (c *clientConn) Closed(_ *eventloop.Conn, err error) {
	c.front.remove(c)
	c.logEnd(err)
	c.front.repeatCompletions(c, err)
	for _, requestID := range slices.Sorted(maps.Keys(c.openRequests)) {
		c.front.dispatcher.Cancel(c.front.loop.Now(), c, requestID)
	}
	c.openRequests = nil
}

// rejectAndClose ends the open requests and closes the connection for a reason. The requests must not stay open: after the
// close, their responses could not be sent.
func (c *clientConn) rejectAndClose(reason error) {
	c.logEnd(reason)
	c.rejectOpen()
	c.front.remove(c)
	c.conn.Close()
	c.front.repeatCompletions(c, nil)
}

// rejectOpen ends the open requests. Each gets a rejection or, if a retry could do harm, a failure.
func (c *clientConn) rejectOpen() {
	for _, requestID := range slices.Sorted(maps.Keys(c.openRequests)) {
		c.front.dispatcher.Reject(c.front.loop.Now(), c, requestID)
	}
}

// Data implements eventloop.Handler. It handles the complete messages in b and returns the number of bytes used. It
// closes the connection after a malformed message, or if receive returns an error.
func (c *clientConn) Data(_ *eventloop.Conn, b []byte) (int, error) {
	now := c.front.loop.Now()
	used, err := jsonlines.ForEachLine(b, func(line []byte) error {
		message, err := jsonlines.Parse(line)
		if err != nil {
			return err
		}
		return c.receive(now, &message)
	})
	if err != nil {
		c.front.log.Warn("malformed client message", "err", err)
		c.rejectAndClose(errMalformed)
		return used, nil
	}
	switch {
	case used == len(b):
		c.partialSince = 0
	case used > 0 || c.partialSince == 0:
		c.partialSince = now
	}
	return used, nil
}

// receive handles one message. If receive returns an error, the connection is closed. A ping triggers the report of
// unreported completions because the ping shows that a client is present to read them.
func (c *clientConn) receive(now int64, message *jsonlines.Message) error {
	c.lastActiveAt, c.hasMessage = now, true
	if c.hasStarted {
		c.front.latestStarted = c
	}
	switch message.Verb {
	case jsonlines.VerbStart:
		return c.submit(now, message)
	case jsonlines.VerbFinish:
		c.finish(now, message.Tag)
	case jsonlines.VerbEcho:
		c.front.reportOn(c)
		c.send(&jsonlines.Message{Verb: jsonlines.VerbEchoed, Tag: message.Tag, RC: 1, HasRC: true})
	case jsonlines.VerbFinished:
		c.front.confirmCompletion(c, message.Tag)
	case jsonlines.VerbPending, jsonlines.VerbEchoed, jsonlines.VerbNotice:
		// The protocol allows these messages, and they need no response.
	default:
		err := &fieldError{Field: "verb", Value: message.Verb, Want: "a known verb"}
		return c.failMessage(message.Tag, err)
	}
	return nil
}

// submit submits a request to the dispatcher. A request that is invalid, a duplicate or over the limit of open requests
// is not submitted. It gets a response at once, as does a request that the dispatcher does not accept. If submit
// returns an error, the connection is closed.
func (c *clientConn) submit(now int64, message *jsonlines.Message) error {
	submission, err := parseSubmission(message)
	if err == nil {
		err = c.front.checkClass(submission.Class)
	}
	switch {
	case c.openRequests[message.Tag]:
		return c.rejectDuplicate(now, message.Tag)
	case err != nil:
		return c.failMessage(message.Tag, err)
	case submission.RunningOn == "" && len(c.openRequests) >= c.maxOpen():
		c.rejectOverLimit(message.Tag)
		return nil
	}
	submission.ReceivedAtUs, submission.Connection = c.conn.EarliestArrival(), c.number
	dispatcher := c.front.dispatcher
	isKnown := dispatcher.IsRunning(submission.RequestID) || dispatcher.IsTerminating(submission.RequestID)
	if submission.RunningOn == "" {
		c.openRequests[submission.RequestID] = true // before Submit, which may respond at once
	}
	if err := dispatcher.Submit(now, c, submission); err != nil {
		delete(c.openRequests, submission.RequestID)
		if errors.Is(err, dispatch.ErrTooManyRequests) {
			c.rejectOverTotal(&submission)
			return nil
		}
		return c.failMessage(message.Tag, err)
	}
	if submission.RunningOn != "" && !isKnown && dispatcher.IsRunning(submission.RequestID) {
		c.front.tasks.add(submission.RequestID, c)
	}
	if submission.RunningOn != "" && !isKnown && dispatcher.IsListed(submission.RunningOn) {
		// This submission adopted the task. If the task had been known before, hasTask is not set, because the
		// sender may not be the client of the task.
		c.hasTask = true
		c.front.reportOn(c)
	}
	return nil
}

// checkClass returns an error if the settings have no class with the given name.
func (f *Front) checkClass(name string) error {
	if _, known := f.dispatcher.Class(name); !known {
		return &fieldError{Field: "class", Value: name, Want: "a known class"}
	}
	return nil
}

// rejectDuplicate handles a request that has the ID of an open request on this connection. It ends both requests
// with a single response, because a client could not tell which of the two requests a response belongs to.
func (c *clientConn) rejectDuplicate(now int64, requestID string) error {
	c.front.dispatcher.Reject(now, c, requestID)
	c.front.log.Warn("duplicate request ID on connection", "request_id", requestID)
	return c.countInvalid()
}

// maxOpen returns the maximum number of open requests on the connection.
func (c *clientConn) maxOpen() int {
	if !c.hasTask {
		return maxOpenWithoutTask
	}
	return c.front.dispatcher.MaxRequests() / connectionShareDivisor
}

// rejectOverTotal rejects a request that the dispatcher has no room for. The client of a task
// that it hands over is told that the task is over, because nothing would report its end.
func (c *clientConn) rejectOverTotal(submission *dispatch.Submission) {
	c.front.log.Warn("request rejected, too many requests and running tasks", "request_id", submission.RequestID,
		"running_on", submission.RunningOn, "maximum", c.front.dispatcher.MaxRequests())
	if submission.RunningOn != "" {
		c.Respond(dispatch.Response{Kind: dispatch.Completed, RequestID: submission.RequestID, Outcome: placement.Reset})
		return
	}
	c.respondRejected(submission.RequestID)
}

// rejectOverLimit rejects a request on a connection that has too many open.
func (c *clientConn) rejectOverLimit(requestID string) {
	c.respondRejected(requestID)
	c.front.log.Warn("request rejected, too many open on one connection", "open", len(c.openRequests), "has_task", c.hasTask)
}

// respondRejected rejects a request that is not submitted to the dispatcher.
func (c *clientConn) respondRejected(requestID string) {
	retryAfterUs := int64(0)
	if c.front.dispatcher.AdvisesRetryAfter() {
		retryAfterUs = openLimitRetryAfter
	}
	c.Respond(dispatch.Response{Kind: dispatch.Rejected, RequestID: requestID, RetryAfterUs: retryAfterUs})
}

// finish handles a FINISH: it cancels a request that is open on this connection, or releases a running task of any
// connection. It acknowledges the FINISH in every case.
func (c *clientConn) finish(now int64, requestID string) {
	dispatcher := c.front.dispatcher
	switch {
	case c.openRequests[requestID]:
		delete(c.openRequests, requestID)
		dispatcher.Cancel(now, c, requestID)
	case dispatcher.IsRunning(requestID) && !dispatcher.IsResumable(requestID):
		// All other requests are left unchanged: those that are open on another connection, belong to another
		// front, or have a task that is already terminating.
		dispatcher.Cancel(now, nil, requestID)
		c.front.tasks.remove(requestID)
	}
	c.send(&jsonlines.Message{Verb: jsonlines.VerbFinished, Tag: requestID})
}

// failMessage responds to an invalid message with CodeFailed. A request with the same ID on another connection is not
// affected.
func (c *clientConn) failMessage(requestID string, err error) error {
	c.front.log.Warn("invalid client message", "request_id", requestID, "err", err)
	c.send(&jsonlines.Message{Verb: jsonlines.VerbFinish, Tag: requestID, RC: jsonlines.CodeFailed, HasRC: true})
	return c.countInvalid()
}

// countInvalid counts an invalid message. It returns an error if the connection has had no task and reaches
// maxInvalidMessages.
func (c *clientConn) countInvalid() error {
	if c.invalidCount++; c.invalidCount >= maxInvalidMessages && !c.hasTask {
		return fmt.Errorf("%w: %d invalid messages on one connection", jsonlines.ErrMessage, c.invalidCount)
	}
	return nil
}

// send queues a message, which is written to the socket at the end of the event loop's turn.
func (c *clientConn) send(message *jsonlines.Message) { c.conn.Write(jsonlines.Append(nil, message)) }
