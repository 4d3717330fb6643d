package workerpool

// This file owns the connections that are dialled only to receive late completions. A worker reports the completion
// of a task on the connection of its offer while it takes that for open, and else on the next one opened. Where
// such a connection was closed by this side, or died, and the worker does not know, the completion comes only on one
// that is opened after it. Where the worker learns of a close, that holds for the completions that crossed it, and
// one more connection is enough. Such a connection carries no offer, so that its own end loses nothing, and must
// never take one.

import (
	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/eventloop"
)

const (
	// lateCompletionInterval is how often such a connection is dialled: a completion not reported for 8 s is lost.
	lateCompletionInterval = maxReadGap
	// lateCompletionConnLifetime is how long one stays open for what the worker has to report.
	lateCompletionConnLifetime = 500 * millisecond
	// lateCompletionMinDescriptors is how many descriptors must be free: offers and clients come first.
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
// without the worker's knowledge, or that this side closed last while no other was opened.
func (l *link) expectsLateCompletions(tasks dispatch.TaskSummary) bool {
	if tasks.Count == 0 {
		return false
	}
	unnoticed := tasks.OldestSentAt < l.lostUnnoticedAt
	crossed := tasks.OldestSentAt < l.prunedAt && l.openedAt <= l.prunedAt
	return unnoticed || crossed
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
