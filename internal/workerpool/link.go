package workerpool

// This file owns the link to one worker: at most one connection for new messages, and older connections until no offer
// is open on them. It decides when connections are dialled, closed and redialled. A link must never have more than
// maxConns connections.

import (
	"errors"
	"slices"

	"golang.org/x/sys/unix"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/eventloop"
)

const (
	minRedialBackoff = 100 * millisecond
	maxRedialBackoff = 2 * second
	// maxRedialBackoffWithTasks replaces maxRedialBackoff while tasks run at the worker. Their completions can only arrive on a
	// new connection, and must be reported to the client within 1 s of the worker's report.
	maxRedialBackoffWithTasks = 500 * millisecond
	// maxConns is the maximum number of connections to one worker, without those for late completions.
	maxConns = 4
)

// link holds the connections to one worker and what the pool knows about the worker.
type link struct {
	pool     *Pool
	workerID string
	addr     string
	listed   bool  // discovery lists the worker
	listedAt int64 // time at which discovery first listed the worker
	assigned bool  // this orchestrator places tasks at the worker

	// processStartedAt is the Unix time in microseconds at which the worker's process started according to
	// discovery, or 0 if discovery has not reported it. restartPending is true until that start has been applied to
	// the tasks that ran at the worker.
	processStartedAt int64
	restartPending   bool
	// startIsLatest is true if the process may have started earlier than processStartedAt, because this host's clock is wrong.
	startIsLatest bool

	conns         []*workerConn // oldest first; new messages are sent on the last one
	redialBackoff int64         // delay of the last redial, 0 if a connection was established since
	redialTimer   *eventloop.Timer
	wasReset      bool  // a connection was reset, so that a refused connection now proves that the worker is dead
	unreachable   bool  // a connection failed or was closed as unresponsive, and none has been established since
	refusedSince  int64 // time of the first refusal since a connection was established or data received, 0 for none
	minConnectUs  int64 // shortest time in which a connection was established, 0 if none has been

	pendingResets map[string]bool     // requests whose offers were reset and whose ends are not reported yet
	releases      unconfirmedReleases // unconfirmed releases of running tasks

	failedDials int // connections in a row that were not established because nothing answered

	interruption interruption // time since which no connection is up, if the process may have been replaced

	heardAt  int64 // time at which data was last received or a connection was last established
	isSilent bool  // nothing was heard for silentAfter while tasks run at the worker

	collected bool // the worker has sent the completions that it kept for an earlier process (see collect.go)

	lostUnnoticedAt int64 // latest time at which a connection ended that the worker may still consider open
	openedAt        int64 // time at which a connection was last established, or last dialled for late completions
	// crossedAt is the latest time at which this side ended a connection without reading it to its end, or 0 if a
	// connection was opened since that receives what crossed that end.
	crossedAt int64
}

// anyConnection is the argument of connForSending for a message that may be sent on each connection.
const anyConnection = 0

// hasConnAfter reports whether the connection for new messages has a number above the given one.
func (l *link) hasConnAfter(number uint64) bool {
	count := len(l.conns)
	return number == anyConnection || count > 0 && l.conns[count-1].number > number
}

// mayReplaceOldest reports whether a connection may be dialled without closing one on which an offer is open.
func (l *link) mayReplaceOldest() bool {
	return len(l.conns) < maxConns || len(l.conns[0].openOffers) == 0
}

// connOfOffer returns the connection on which an offer of a request is written and open, or nil.
func (l *link) connOfOffer(requestID string) *workerConn {
	for _, c := range l.conns {
		if c.writtenOffer(requestID) != nil {
			return c
		}
	}
	return nil
}

// newestUp returns the newest connection that is up, or nil.
func (l *link) newestUp() *workerConn {
	for _, c := range slices.Backward(l.conns) {
		if c.conn.IsUp() {
			return c
		}
	}
	return nil
}

// connForSending returns the connection for new messages, dialling one if needed or if the number of the present one is
// not above the given one. The connection may not be established yet. connForSending returns nil if no connection could be
// dialled.
func (l *link) connForSending(after uint64) *workerConn {
	if count := len(l.conns); count > 0 {
		c := l.conns[count-1]
		if !c.conn.IsClosed() && !c.isStale() && c.number > after {
			c.lastUsedAt = l.pool.loop.Now()
			return c
		}
	}
	if !l.pool.ensureDescriptor() {
		l.pool.log.Warn("no descriptor for worker connection", "worker", l.workerID)
		return nil
	}
	return l.dial()
}

// dial starts a connection and returns it, or nil if the dial fails immediately.
func (l *link) dial() *workerConn {
	if len(l.conns) >= maxConns {
		l.conns[0].close(errTooManyConns)
	}
	loop := l.pool.loop
	c := &workerConn{
		link:       l,
		number:     l.pool.nextConnNumber(),
		openOffers: map[string]*openOffer{},
		probes:     map[string]int64{},
		dialledAt:  loop.Now(),
		lastUsedAt: loop.Now(),
	}
	conn, err := loop.Dial(l.addr, l.pool.dialTimeoutUs, c)
	if err != nil {
		l.pool.log.Warn("worker dial failed", "worker", l.workerID, "err", err)
		if errors.Is(err, unix.ECONNREFUSED) {
			l.setUnreachable()
			l.connRefused()
		}
		l.scheduleRedial()
		return nil
	}
	c.conn = conn
	l.conns = append(l.conns, c)
	l.pool.budget.AddWorkerConns(1)
	return c
}

// ensureConnected dials a listed worker that is assigned to this orchestrator and has neither a connection nor a
// scheduled redial, if the descriptor budget allows it. The connection is needed even without offers: running tasks
// are not bound to a connection, and a worker may report their completion on any connection.
func (l *link) ensureConnected() {
	if l.assigned && l.needsDial() && l.pool.budget.AdmitsWorker() {
		l.dial()
	}
}

// requireConnected dials a listed worker that has neither a connection nor a scheduled redial. The caller ensures that
// tasks run at the worker. If no descriptor is free, an idle connection to another worker may be closed, or a
// descriptor of the clients' share may be used (see ensureDescriptor).
func (l *link) requireConnected() {
	if l.needsDial() && l.pool.ensureDescriptor() {
		l.dial()
	}
}

// needsDial reports whether the worker is listed and may be dialled, has no connection and no redial is scheduled.
func (l *link) needsDial() bool {
	return l.listed && l.mayDial() && len(l.conns) == 0 && !l.redialTimer.Pending()
}

// scheduleRedial schedules a dial after a backoff that doubles with each redial, up to a maximum. It does
// nothing if the worker is not listed or a redial is already scheduled. When the backoff is over, the dial is skipped
// if the worker is no longer listed, is not assigned to this orchestrator or has a connection, if the pool is retired, or if
// the descriptor budget allows no dial.
func (l *link) scheduleRedial() {
	if !l.listed || l.redialTimer.Pending() {
		return
	}
	longest := maxRedialBackoff
	if l.pool.dispatcher.HasTasksOn(l.workerID) {
		longest = maxRedialBackoffWithTasks
	}
	l.redialBackoff = min(longest, max(minRedialBackoff, l.redialBackoff*2))
	l.redialTimer = l.pool.loop.After(l.redialBackoff, func() {
		if l.assigned && l.listed && l.mayDial() && len(l.conns) == 0 && l.pool.budget.AdmitsWorker() {
			l.dial()
		}
	})
}

// sweep maintains the connections to a worker, given a summary of the tasks that run there. If tasks run and the newest
// connection is up but not known to be alive, sweep dials another connection if the descriptor budget and maxConns
// allow it. Without this dial, a dead connection would go unnoticed for too long while no offer is sent, and the
// completions of the tasks would be late. While offers are sent, cancelOffer also finds a dead connection: it aborts
// the connection if an offer is cancelled and no data has been received since the offer was made.
func (l *link) sweep(tasks dispatch.TaskSummary, now int64) {
	l.releases.expire(now)
	l.applyRestart()
	l.logSilence(tasks, now)
	if tasks.Count == 0 {
		l.ensureConnected() // the descriptor budget may have prevented an earlier dial
		l.closeUnassigned()
		return
	}
	l.reportVanished(now)
	l.requireConnected()
	if len(l.conns) == 0 || len(l.conns) >= maxConns || !l.mayDial() {
		return
	}
	newest := l.conns[len(l.conns)-1]
	if newest.conn.IsUp() && !newest.checkAlive(now) && l.pool.budget.AdmitsWorker() {
		l.dial()
	}
	l.dialForLateCompletions(tasks, now)
}

// connClosed handles the end of a connection that did not end through workerConn.close. The connection is already
// removed from the link.
func (l *link) connClosed(err error) {
	if !errors.Is(err, eventloop.ErrEOF) {
		l.setUnreachable()
	}
	switch {
	case errors.Is(err, unix.ECONNREFUSED):
		l.connRefused()
		l.scheduleRedial()
	case errors.Is(err, eventloop.ErrTimeout):
		l.scheduleRedial()
	default:
		l.wasReset = l.wasReset || isReset(err)
		if len(l.conns) == 0 {
			l.scheduleRedial()
		}
	}
	if !l.listed && len(l.conns) == 0 {
		l.pool.remove(l)
	}
}

// setUnreachable records that a connection could not be established, broke or was closed as unresponsive. The next call
// of DeliverPending notifies the dispatcher unless a connection is up by then. Without the notification, the scheduler
// would spend attempts on a worker that the pool knows to be unreachable.
func (l *link) setUnreachable() {
	l.unreachable = true
	l.pool.reportLater(func() {
		if l.unreachable && !slices.ContainsFunc(l.conns, func(c *workerConn) bool { return c.conn.IsUp() }) {
			l.pool.dispatcher.WorkerUnreachable(l.pool.loop.Now(), l.workerID)
		}
	})
}

// pruneConns closes the older connections without an open offer if the newest connection is up.
func (l *link) pruneConns() {
	for i := 0; i < len(l.conns)-1; {
		c, newest := l.conns[i], l.conns[len(l.conns)-1]
		if len(c.openOffers) > 0 || !newest.conn.IsUp() {
			i++
			continue
		}
		c.close(errSuperseded)
	}
}

// closeUnassigned closes the only connection to a worker that is not assigned to this orchestrator, if the connection
// is idle. The caller ensures that no task of this orchestrator runs at the worker.
func (l *link) closeUnassigned() {
	if !l.assigned && !l.awaitsCollection() && len(l.conns) == 1 && l.conns[0].isIdle() {
		l.conns[0].close(errIdle)
	}
}

// closeAll closes all connections for the given reason.
func (l *link) closeAll(reason error) {
	for len(l.conns) > 0 {
		l.conns[0].close(reason)
	}
}
