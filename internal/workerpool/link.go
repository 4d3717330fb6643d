package workerpool

// This file owns the link to one worker: at most one connection for new messages, and older ones until what is
// open on them has ended; when they are dialled, closed and dialled again. It must never have more than
// maxConns connections to the worker.

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
	// maxConns bounds the connections to one worker.
	maxConns = 4
)

// link is the connections to one worker and what is known of their state.
type link struct {
	pool     *Pool
	workerID string
	addr     string
	listed   bool
	assigned bool // this orchestrator places tasks there

	// processStartedAt is when the list says that the process of the worker started, 0 for long ago, and
	// restartPending that this was not yet applied to the tasks that ran there.
	processStartedAt int64
	restartPending   bool

	conns         []*workerConn // the last one takes new messages
	redialBackoff int64         // before the next dial
	redialTimer   *eventloop.Timer
	wasReset      bool  // a connection was reset: a refused one now proves the worker dead
	unreachable   bool  // a connection failed or was unresponsive, and none came up since
	refusedSince  int64 // since when connections were refused while nothing came in, 0 for never
	minConnectUs  int64 // the shortest time that a connection took to come up, 0 while none has

	pendingResets map[string]bool     // requests reset with their connection, of which the worker may not know yet
	releases      unconfirmedReleases // of running tasks

	lostUnnoticedAt int64 // when a connection last ended that the worker may still consider open
	openedAt        int64 // when a connection last came up, or one for late completions was dialled
	prunedAt        int64 // when this side last closed an older connection, of which the worker learns with a delay
}

// connForSending returns the connection for new messages, perhaps one that is not up yet, or nil where none
// could even be dialled.
func (l *link) connForSending() *workerConn {
	if count := len(l.conns); count > 0 {
		c := l.conns[count-1]
		if !c.conn.IsClosed() && !c.isStale() {
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

// dial starts a connection, or returns nil where that fails at once.
func (l *link) dial() *workerConn {
	if len(l.conns) >= maxConns {
		l.conns[0].close(errTooManyConns)
	}
	loop := l.pool.loop
	c := &workerConn{
		link:       l,
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
	l.pool.budget.WorkersConnected(1)
	return c
}

// ensureConnected keeps a connection to a listed worker that is assigned here, where the budget allows it:
// running tasks belong to no connection, and their completion comes on any.
func (l *link) ensureConnected() {
	if l.assigned && l.needsDial() && l.pool.budget.AdmitsWorker() {
		l.dial()
	}
}

// requireConnected keeps a connection to a listed worker where tasks run: idle ones are closed for it.
func (l *link) requireConnected() {
	if l.needsDial() && l.pool.ensureDescriptor() {
		l.dial()
	}
}

// needsDial reports whether a listed worker has no connection, and no redial is scheduled.
func (l *link) needsDial() bool {
	return l.listed && len(l.conns) == 0 && !l.redialTimer.Pending()
}

// scheduleRedial dials again after a backoff that grows with each failure.
func (l *link) scheduleRedial() {
	if !l.listed || l.redialTimer.Pending() {
		return
	}
	l.redialBackoff = min(maxRedialBackoff, max(minRedialBackoff, l.redialBackoff*2))
	l.redialTimer = l.pool.loop.After(l.redialBackoff, func() {
		if l.assigned && l.listed && len(l.conns) == 0 && l.pool.budget.AdmitsWorker() {
			l.dial()
		}
	})
}

// sweep maintains the connections to a worker that runs these tasks. It dials another connection where the newest one
// is not known to be alive: no offer would show that it is dead, and the completions of the tasks would wait for ever.
// (A connection on which an offer was cancelled while nothing came in is closed by the cancel.)
func (l *link) sweep(tasks dispatch.TaskSummary, now int64) {
	l.releases.expire(now)
	l.applyRestart()
	if tasks.Count == 0 {
		l.ensureConnected() // where the budget did not allow it before
		l.closeUnassigned()
		return
	}
	l.requireConnected()
	if len(l.conns) == 0 || len(l.conns) >= maxConns {
		return
	}
	newest := l.conns[len(l.conns)-1]
	if newest.conn.IsUp() && !newest.checkAlive(now) && l.pool.budget.AdmitsWorker() {
		l.dial()
	}
	l.dialForLateCompletions(tasks, now)
}

// connClosed takes the end of a connection that this side did not close, and that was taken off the link.
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

// setUnreachable notes that a connection did not come up, broke or carried nothing back. The scheduler is notified in
// the next turn unless a connection is up then: it would spend attempts on a worker that this pool knows not to reach.
func (l *link) setUnreachable() {
	l.unreachable = true
	l.pool.reportLater(func() {
		if l.unreachable && !slices.ContainsFunc(l.conns, func(c *workerConn) bool { return c.conn.IsUp() }) {
			l.pool.dispatcher.WorkerUnreachable(l.pool.loop.Now(), l.workerID)
		}
	})
}

// pruneConns closes the older connections with no open offer, once the newest is up.
func (l *link) pruneConns() {
	for i := 0; i < len(l.conns)-1; {
		c, newest := l.conns[i], l.conns[len(l.conns)-1]
		if len(c.openOffers) > 0 || !newest.conn.IsUp() {
			i++
			continue
		}
		l.prunedAt = l.pool.loop.Now()
		c.close(errSuperseded)
	}
}

// closeUnassigned closes the connection to a worker that is assigned to another orchestrator if it is idle. No task
// of this one runs there.
func (l *link) closeUnassigned() {
	if !l.assigned && len(l.conns) == 1 && l.conns[0].isIdle() {
		l.conns[0].close(errIdle)
	}
}

// closeAll closes all connections for the given reason.
func (l *link) closeAll(reason error) {
	for len(l.conns) > 0 {
		l.conns[0].close(reason)
	}
}
