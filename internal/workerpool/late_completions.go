package workerpool

// This file owns the connections that are dialled only to receive late completions. They must never carry an offer.
//
// A worker reports the completion of a task on the connection on which the task was offered if it considers that
// connection open, and otherwise on any open connection. It repeats the report on the next connection that is opened.
// In two cases the worker sends a completion on a connection that has already ended on this side, and the completion
// arrives only on a connection opened later:
//   - The connection ended and the worker has not noticed. Any completion may be late.
//   - This side closed the connection and the worker noticed shortly afterwards. The completions that the worker sent
//     in between are late, and one more connection suffices to receive them.

import (
	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/eventloop"
)

const (
	// lateCompletionInterval is the minimum time from the opening of a connection, or the closing of an older one, to
	// the next dial for late completions. It is short because a completion must be reported to the client within 8 s
	// of the end of the task.
	lateCompletionInterval = maxReadGap
	// lateCompletionConnLifetime is how long a connection for late completions stays open for the worker's reports.
	lateCompletionConnLifetime = 500 * millisecond
	// lateCompletionMinDescriptors is the number of descriptors that must be free before a connection for late
	// completions is dialled, because offers and clients have priority.
	lateCompletionMinDescriptors = 32
)

// lateCompletionConn is a connection for late completions. It is not part of link.conns.
type lateCompletionConn struct{ workerConn }

// dialForLateCompletions dials a connection for late completions if the completion of one of the given tasks may be
// late. It does nothing if too few descriptors are free or if the newest connection of the link is not up. It also
// does nothing if another connection was opened, or an older one was closed, within the last lateCompletionInterval.
func (l *link) dialForLateCompletions(tasks dispatch.TaskSummary, now int64) {
	if !l.expectsLateCompletions(tasks) || now-max(l.openedAt, l.prunedAt) < lateCompletionInterval {
		return
	}
	if l.pool.loop.FreeDescriptors() < lateCompletionMinDescriptors {
		return
	}
	if count := len(l.conns); count == 0 || !l.conns[count-1].conn.IsUp() {
		return // the next connection to be established also receives late completions
	}
	l.openedAt = now // set even if the dial fails; otherwise, every sweep would dial again
	c := &lateCompletionConn{workerConn{link: l, probes: map[string]int64{}}}
	if conn, err := l.pool.loop.Dial(l.addr, l.pool.dialTimeoutUs, c); err == nil {
		c.conn = conn
	}
}

// expectsLateCompletions reports whether the completion of one of the given tasks may be late. This is the case if,
// since the first of them was offered, a connection ended without the worker noticing, or this side closed a
// connection and has opened none since then.
func (l *link) expectsLateCompletions(tasks dispatch.TaskSummary) bool {
	if tasks.Count == 0 {
		return false
	}
	lostUnnoticed := tasks.OldestSentAt < l.lostUnnoticedAt
	closedLast := tasks.OldestSentAt < l.prunedAt && l.openedAt <= l.prunedAt
	return lostUnnoticed || closedLast
}

// Opened implements eventloop.Handler.
func (c *lateCompletionConn) Opened(conn *eventloop.Conn) {
	c.link.pool.loop.After(lateCompletionConnLifetime, conn.Close)
}

// Data implements eventloop.Handler. There is no time limit for the rest of an incomplete message, because the
// connection is closed soon anyway and an incomplete message on it proves nothing about the worker.
func (c *lateCompletionConn) Data(conn *eventloop.Conn, b []byte) (int, error) {
	used, err := c.workerConn.Data(conn, b)
	c.partialTimer.Stop()
	return used, err
}

// Closed implements eventloop.Handler. It ignores the end of the connection: whether the worker is reachable is
// decided by the connections that carry offers.
func (c *lateCompletionConn) Closed(*eventloop.Conn, error) {}
