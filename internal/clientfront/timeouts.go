package clientfront

import (
	"cmp"
	"slices"
)

// This file owns the timeouts of connections. A connection with an open request or a running task must never count as idle.

// messageTimeout is the maximum time, in microseconds, that a connection may take for its first message and for the
// rest of an incomplete message. A client may take 2 s to write a message, and a connection that sends no message
// must be closed within 3 s.
const messageTimeout = 2_400 * millisecond

// closeTimedOut closes the connections that are stalled or have been idle for too long, in the order in which they
// were accepted.
func (f *Front) closeTimedOut(now int64) {
	var timedOut []*clientConn
	for client := range f.clients {
		if client.isStalled(now) || client.isIdle(now) {
			timedOut = append(timedOut, client)
		}
	}
	slices.SortFunc(timedOut, func(a, b *clientConn) int { return cmp.Compare(a.number, b.number) })
	for _, client := range timedOut {
		reason := errIdle
		if client.isStalled(now) {
			reason = errStalled
			f.log.Warn("client message timed out", "has_message", client.hasMessage)
		}
		client.rejectAndClose(reason)
	}
}

// isStalled reports whether the first message, or the rest of an incomplete message, is overdue.
func (c *clientConn) isStalled(now int64) bool {
	return !c.hasMessage && now-c.lastActiveAt > messageTimeout ||
		c.partialSince > 0 && now-c.partialSince > messageTimeout
}

// isIdle reports whether the connection has neither an open request nor a running task and has been idle for longer than the
// idle timeout.
func (c *clientConn) isIdle(now int64) bool {
	timeout := c.front.idleTimeoutUs
	return len(c.openRequests) == 0 && c.taskCount == 0 && timeout > 0 && now-c.lastActiveAt > timeout
}
