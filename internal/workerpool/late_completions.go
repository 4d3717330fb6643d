package workerpool

// This file owns the connections that are dialled only to receive late completions. They must never carry an offer.
//
// A worker reports the completion of a task on the connection on which the task was offered, as long as it considers
// that connection open, and otherwise on the next connection that is opened. There are two cases in which a completion
// was sent on a connection that had ended here already, and arrives only on one opened later:
//   - The connection ended and the worker has not noticed. Any completion may be late.
//   - This side closed the connection and the worker noticed a moment later. The completions that it sent before that
//     are late, and one more connection is enough for them.

import (
	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/eventloop"
)

const (
	// lateCompletionInterval is how often such a connection is dialled: a completion not reported for 8 s is lost.
	lateCompletionInterval = maxReadGap
	// lateCompletionConnLifetime is how long one stays open for what the worker has to report.
	lateCompletionConnLifetime = 500 * millisecond
	// lateCompletionMinDescriptors is how many descriptors must be free: offers and clients have priority.
	lateCompletionMinDescriptors = 32
)

// lateCompletionConn is a connection for late completions. Its link does not list it.
type lateCompletionConn struct{ workerConn }

// dialForLateCompletions dials such a connection where the completion of one of these tasks may wait for it, unless
// another connection was opened in time.
func (l *link) dialForLateCompletions(tasks dispatch.TaskSummary, now int64) {
	if !l.expectsLateCompletions(tasks) || now-max(l.openedAt, l.prunedAt) < lateCompletionInterval {
		return
	}
	if l.pool.loop.FreeDescriptors() < lateCompletionMinDescriptors {
		return
	}
	if count := len(l.conns); count == 0 || !l.conns[count-1].conn.IsUp() {
		return // the next one that comes up is such a connection
	}
	l.openedAt = now // also where it fails: not in every sweep
	c := &lateCompletionConn{workerConn{link: l, probes: map[string]int64{}}}
	if conn, err := l.pool.loop.Dial(l.addr, l.pool.dialTimeoutUs, c); err == nil {
		c.conn = conn
	}
}

// expectsLateCompletions reports whether one of these tasks may have been offered on a connection that ended since
// unnoticed by the worker, or that this side closed with no other opened since.
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

// Data implements eventloop.Handler. The rest of an incomplete message is not waited for: the connection is closed
// soon, and that says nothing about the worker.
func (c *lateCompletionConn) Data(conn *eventloop.Conn, b []byte) (int, error) {
	used, err := c.workerConn.Data(conn, b)
	c.partialTimer.Stop()
	return used, err
}

// Closed implements eventloop.Handler. That it did not come up says nothing: offers show that.
func (c *lateCompletionConn) Closed(*eventloop.Conn, error) {}
