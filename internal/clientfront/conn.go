package clientfront

// This file owns one connection of a client: the messages that come on it, and the requests that are open on it. It
// must never pass on what a client may not send, nor close the connection before it has responded to the requests
// that are open.

import (
	"fmt"
	"maps"
	"slices"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/jsonlines"
)

const (
	// A connection that had no task yet may have maxOpenWithoutTask requests open, and further ones are rejected
	// at once; its maxInvalidMessages-th invalid message ends it. That protects the connections on which
	// completions of tasks are reported from others.
	maxOpenWithoutTask = 32
	maxInvalidMessages = 64
	// openLimitRetryAfter is after how long a client is to retry a request that was rejected as too many were open.
	openLimitRetryAfter = 1 * second
)

// clientConn is one connection. It is the dispatch.Client of the requests that came on it.
type clientConn struct {
	front        *Front
	conn         *eventloop.Conn
	number       uint64          // of the connection, from 1
	openRequests map[string]bool // IDs of requests without a response
	lastActiveAt int64           // when its last complete message came, or when it connected
	partialSince int64           // since when a part of a message waits for the rest, 0 where none does
	hasMessage   bool            // a complete message came
	hasTask      bool            // a task was started or adopted for a request on it
	hasStarted   bool            // a task was started for a request on it
	invalidCount int             // invalid messages
}

// Opened implements eventloop.Handler.
func (c *clientConn) Opened(conn *eventloop.Conn) {
	c.conn, c.lastActiveAt = conn, c.front.loop.Now()
	c.front.add(c)
}

// LastSeenAt implements dispatch.ConnectedClient.
func (c *clientConn) LastSeenAt() int64 { return c.conn.LastSeenAt() }

// Closed implements eventloop.Handler. It cancels the requests that are open.
func (c *clientConn) Closed(_ *eventloop.Conn, _ error) {
	c.front.remove(c)
	for _, requestID := range slices.Sorted(maps.Keys(c.openRequests)) {
		c.front.dispatcher.Cancel(c.front.loop.Now(), c, requestID)
	}
	c.openRequests = nil
}

// end closes the connection from this side. Open requests are rejected before that, at once: nothing
// more that comes on the connection can be read.
func (c *clientConn) end() {
	for _, requestID := range slices.Sorted(maps.Keys(c.openRequests)) {
		c.front.dispatcher.Reject(c.front.loop.Now(), c, requestID)
	}
	c.front.remove(c)
	c.conn.Close()
}

// Data implements eventloop.Handler. A malformed message ends the connection.
func (c *clientConn) Data(_ *eventloop.Conn, b []byte) (int, error) {
	now := c.front.loop.Now()
	used, err := jsonlines.Lines(b, func(line []byte) error {
		message, err := jsonlines.Parse(line)
		if err != nil {
			return err
		}
		return c.receive(now, &message)
	})
	if err != nil {
		c.front.log.Warn("malformed client message", "err", err)
		c.end()
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

// receive handles one message. An error ends the connection. A ping shows that a client is there to read completions.
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
	case jsonlines.VerbPending, jsonlines.VerbFinished, jsonlines.VerbEchoed, jsonlines.VerbNotice:
		// The protocol allows them, and they need no reaction.
	default:
		err := &fieldError{Field: "verb", Value: message.Verb, Want: "a verb of the protocol"}
		return c.failMessage(message.Tag, err)
	}
	return nil
}

// submit hands a request to the dispatcher, or responds to it itself.
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
	case submission.RunningOn == "" && !c.hasTask && len(c.openRequests) >= maxOpenWithoutTask:
		c.rejectOverLimit(message.Tag)
		return nil
	}
	submission.ReceivedAtUs, submission.Connection = c.conn.EarliestArrival(), c.number
	dispatcher := c.front.dispatcher
	isKnown := dispatcher.IsRunning(submission.RequestID) || dispatcher.IsTerminating(submission.RequestID)
	if err := dispatcher.Submit(now, c, submission); err != nil {
		return c.failMessage(message.Tag, err)
	}
	switch {
	case submission.RunningOn == "":
		c.openRequests[submission.RequestID] = true
	case !isKnown && dispatcher.IsListed(submission.RunningOn): // registering a known task proves nothing of the client
		c.hasTask = true
		c.front.reportOn(c)
	}
	return nil
}

// checkClass returns an error where there is no such class.
func (f *Front) checkClass(name string) error {
	if _, known := f.dispatcher.Class(name); !known {
		return &fieldError{Field: "class", Value: name, Want: "a known class"}
	}
	return nil
}

// rejectDuplicate responds to two requests of one ID on this connection, once for both: a client could not
// distinguish for which of them a response is.
func (c *clientConn) rejectDuplicate(now int64, requestID string) error {
	c.front.dispatcher.Reject(now, c, requestID)
	c.front.log.Warn("duplicate request ID on connection", "request_id", requestID)
	return c.countInvalid()
}

// rejectOverLimit rejects a request of a connection that has too many open for one without a task.
func (c *clientConn) rejectOverLimit(requestID string) {
	retryAfterUs := int64(0)
	if c.front.dispatcher.AdvisesRetryAfter() {
		retryAfterUs = openLimitRetryAfter
	}
	c.Respond(dispatch.Response{Kind: dispatch.Rejected, RequestID: requestID, RetryAfterUs: retryAfterUs})
	c.front.log.Warn("too many open requests on new connection", "open", len(c.openRequests))
}

// finish cancels a request that is open on this connection, or releases a running task.
func (c *clientConn) finish(now int64, requestID string) {
	dispatcher := c.front.dispatcher
	switch {
	case c.openRequests[requestID]:
		delete(c.openRequests, requestID)
		dispatcher.Cancel(now, c, requestID)
	case dispatcher.IsRunning(requestID) && !dispatcher.IsResumable(requestID):
		// Otherwise it is open on another connection, or belongs to another front.
		dispatcher.Cancel(now, nil, requestID)
	}
	c.send(&jsonlines.Message{Verb: jsonlines.VerbFinished, Tag: requestID})
}

// failMessage responds to an invalid message. A request of the same ID elsewhere is not touched.
func (c *clientConn) failMessage(requestID string, err error) error {
	c.front.log.Warn("invalid client message", "request_id", requestID, "err", err)
	c.send(&jsonlines.Message{Verb: jsonlines.VerbFinish, Tag: requestID, RC: jsonlines.CodeFailed, HasRC: true})
	return c.countInvalid()
}

// countInvalid counts an invalid message. It returns an error where the connection had too many.
func (c *clientConn) countInvalid() error {
	if c.invalidCount++; c.invalidCount >= maxInvalidMessages && !c.hasTask {
		return fmt.Errorf("%w: %d invalid messages on one connection", jsonlines.ErrMessage, c.invalidCount)
	}
	return nil
}

// send writes a message, which goes out at the end of the loop's turn.
func (c *clientConn) send(message *jsonlines.Message) { c.conn.Write(jsonlines.Append(nil, message)) }
