package clientfront

// This file owns the reasons for which client connections end, and counts the ends by reason.

import (
	"errors"

	"ravenhitch/internal/eventloop"
)

// Reasons for which this side closes a connection.
var (
	errEvicted   = errors.New("evicted for another client")
	errStalled   = errors.New("a message did not arrive in time")
	errIdle      = errors.New("the connection is idle")
	errMalformed = errors.New("malformed message")
)

// ConnectionCounts counts the ends of client connections by reason: this side closed the connection because it was evicted,
// stalled or idle or had sent a malformed message, the client closed it, or it broke.
type ConnectionCounts struct{ Evicted, Stalled, Idle, Malformed, ClosedByClient, Broken int64 }

// ConnectionCounts returns the counts of connections.
func (f *Front) ConnectionCounts() ConnectionCounts { return f.connectionCounts }

// countEnd counts the end of a connection for a reason. The reason is one of this file, or the error of the connection.
func (f *Front) countEnd(reason error) {
	counts := &f.connectionCounts
	switch {
	case errors.Is(reason, errEvicted):
		counts.Evicted++
	case errors.Is(reason, errStalled):
		counts.Stalled++
	case errors.Is(reason, errIdle):
		counts.Idle++
	case errors.Is(reason, errMalformed):
		counts.Malformed++
	case errors.Is(reason, eventloop.ErrEOF):
		counts.ClosedByClient++
	default:
		counts.Broken++
	}
}

// logEnd counts and traces the end of a connection, with what was open on it.
func (c *clientConn) logEnd(reason error) {
	c.front.countEnd(reason)
	c.front.log.Debug("client connection ended", "connection", c.number, "open", len(c.openRequests), "tasks", c.taskCount,
		"quiet_us", c.front.loop.Now()-c.lastActiveAt, "unsent_bytes", c.conn.BytesBuffered(), "err", reason)
}
