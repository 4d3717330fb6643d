package workerpool

// This file finds the times after which another process may answer at a worker's address than the one that ran the tasks. A
// connection belongs to one process, so that two connections whose times overlap belong to the same one. This file must not
// decide what becomes of the tasks.

import (
	"errors"

	"ravenhitch/internal/eventloop"
)

// longestQuiet is the time after which a connection without received data is replaced while tasks run, so that the end of its
// process is noticed. A connection may have been quiet for longer if TCP acknowledgements show that it is alive.
const longestQuiet = maxReadGap + sweepInterval

// interruption is a time in which no connection showed that the worker's process was the same. The zero value is none.
type interruption struct {
	since int64 // time at which the process was last heard
	lost  bool  // a connection ended or was refused, as at the end of a process
}

// interrupt records that the connection ended. lost states that it may have ended with the worker's process. It has no effect if
// another connection shows that the process lived on then, and will show whether it still does.
func (c *workerConn) interrupt(lost bool) {
	l := c.link
	if !c.established || c.forLateCompletions || l.pool.retired {
		return
	}
	next := interruption{since: max(c.lastReadAt, l.pool.loop.Now()-longestQuiet), lost: lost}
	for _, other := range l.conns {
		if other == c || !other.conn.IsUp() {
			continue
		}
		if other.establishedAt > c.lastReadAt {
			l.reportInterruption(next, other.establishedAt)
		}
		return
	}
	l.extendInterruption(next)
}

// endsProcess reports whether a connection that ended with err may have ended with the worker's process. A process that dies
// resets its connections. One that closes them may end too; without pings, nothing would show that it does not.
func (p *Pool) endsProcess(err error) bool {
	return isReset(err) || errors.Is(err, eventloop.ErrEOF) && p.pingsAllowed
}

// interruptRefused records that a connection was refused while no other is up: no process listened then.
func (l *link) interruptRefused() {
	if l.newestUp() == nil && l.heardAt > 0 {
		l.extendInterruption(interruption{since: max(l.heardAt, l.pool.loop.Now()-longestQuiet), lost: true})
	}
}

// extendInterruption records an interruption that lasts until the next connection is established.
func (l *link) extendInterruption(next interruption) {
	if l.interruption.since == 0 || next.since < l.interruption.since {
		l.interruption.since = next.since
	}
	l.interruption.lost = l.interruption.lost || next.lost
}

// endInterruption reports the interruption, if there is one, that ends with a connection that is established now.
func (l *link) endInterruption(now int64) {
	if l.interruption.since > 0 {
		l.reportInterruption(l.interruption, now)
		l.interruption = interruption{}
	}
}

// reportInterruption reports an interruption to the dispatcher. before is the time at which the connection was established that
// ended it.
func (l *link) reportInterruption(i interruption, before int64) {
	l.pool.reportLater(func() {
		l.pool.dispatcher.WorkerInterrupted(l.pool.loop.Now(), l.workerID, i.since, before, i.lost)
	})
}
