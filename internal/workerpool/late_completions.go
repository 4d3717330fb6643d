package workerpool

// This file owns the connections that are dialled only to receive late completions. They must never carry an offer.
//
// A worker reports the completion of a task on the connection on which the task was offered if it considers that
// connection open, and otherwise on any open connection. It repeats the report on the next connection that is opened.
// In three cases the worker sends a completion on a connection that has already ended on this side, and the completion
// arrives only on a connection opened later:
//   - The connection ended and the worker has not noticed. Each completion may be late until it has. Its operating system
//     answers what the worker sends on that connection with an error, so that the first message is lost.
//   - This side ended the connection without reading it to its end, and the worker noticed shortly afterwards. The
//     completions that the worker sent in between are late. One more connection suffices to receive them, if it is
//     opened after crossingTime.
//   - The connection belonged to an earlier process, which ended while the path to the worker was cut. This process does
//     not know, so it opens connections for late completions for inheritedTime after a worker was listed first, if it
//     has adopted tasks there.

import (
	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/eventloop"
)

const (
	// lateCompletionInterval is the minimum time from the opening of a connection to the next dial for late
	// completions, if a worker may still consider a connection of an earlier process open. It is short because a
	// completion must be reported to the client within 8 s of the end of the task.
	lateCompletionInterval = maxReadGap
	// unnoticedInterval replaces lateCompletionInterval if a worker may still consider a connection of this process open.
	// The client must be notified within 1 s of the worker's report.
	unnoticedInterval = 700 * millisecond
	// crossingTime is the time within which a worker is assumed to notice that a connection has ended: the end is in
	// transit, and the worker's process reads it. It is short because a completion must be reported to the client
	// within 1 s of the worker's report.
	crossingTime = maxCloseTransit + maxReadDelay
	// inheritedTime is the time after the first listing of a worker during which it may still report completions of
	// adopted tasks on a connection of an earlier process.
	inheritedTime = 12 * second
	// lateCompletionConnLifetime is how long a connection for late completions stays open for the worker's reports.
	lateCompletionConnLifetime = 500 * millisecond
	// lateCompletionMinDescriptors is the number of descriptors that must be free before a connection for late
	// completions is dialled, because offers and clients have priority.
	lateCompletionMinDescriptors = 32
)

// lateCompletionConn is a connection for late completions. It is not part of link.conns.
type lateCompletionConn struct{ workerConn }

// crossed records that this side ends a connection now without reading it to its end, and schedules a connection that
// receives the completions that cross this end.
func (l *link) crossed() {
	loop := l.pool.loop
	l.crossedAt = loop.Now()
	loop.After(crossingTime, l.checkLateCompletions)
}

// opened records that a connection that was dialled at the time dialledAt is established now. If the worker may still
// consider an ended connection open, opened schedules the next connection for late completions.
func (l *link) opened(dialledAt int64) {
	l.openedAt = l.pool.loop.Now()
	if dialledAt >= l.crossedAt+crossingTime {
		l.crossedAt = 0
	}
	if l.lostUnnoticedAt > 0 {
		l.pool.loop.After(unnoticedInterval, l.checkLateCompletions)
	}
}

// checkLateCompletions dials a connection for late completions if one is due.
func (l *link) checkLateCompletions() {
	if l.pool.links[l.workerID] == l {
		l.dialForLateCompletions(l.pool.dispatcher.TasksOn(l.workerID), l.pool.loop.Now())
	}
}

// dialForLateCompletions dials a connection for late completions if the completion of one of the given tasks may be
// late. It does nothing if too few descriptors are free or if the newest connection of the link is not up.
func (l *link) dialForLateCompletions(tasks dispatch.TaskSummary, now int64) {
	if l.pool.retired || !l.expectsLateCompletions(tasks, now) || l.pool.loop.FreeDescriptors() < lateCompletionMinDescriptors {
		return
	}
	if count := len(l.conns); count == 0 || !l.conns[count-1].conn.IsUp() {
		return // the next connection to be established also receives late completions
	}
	l.openedAt = now // set even if the dial fails; otherwise, every sweep would dial again
	c := &lateCompletionConn{workerConn{
		link:               l,
		number:             l.pool.nextConnNumber(),
		probes:             map[string]int64{},
		dialledAt:          now,
		forLateCompletions: true,
	}}
	conn, err := l.pool.loop.Dial(l.addr, l.pool.dialTimeoutUs, c)
	if err != nil {
		l.pool.log.Warn("worker dial failed", "worker", l.workerID, "purpose", "late completions", "err", err)
		return
	}
	c.conn = conn
	l.pool.receivers[&c.workerConn] = true
}

// expectsLateCompletions reports whether a connection for the late completions of the given tasks is due. This is the
// case if, since the first of them was offered, this side ended a connection at least crossingTime ago, and none was
// opened for what crossed that end. It is also the case if a connection ended without the worker noticing and none was
// opened within unnoticedInterval, or if an earlier process may have had one and none was opened within
// lateCompletionInterval.
func (l *link) expectsLateCompletions(tasks dispatch.TaskSummary, now int64) bool {
	if tasks.Count == 0 {
		return false
	}
	if tasks.OldestSentAt < l.crossedAt && now-l.crossedAt >= crossingTime {
		return true
	}
	inherited := tasks.OldestSentAt == 0 && now-l.listedAt < inheritedTime
	lostUnnoticed := tasks.OldestSentAt < l.lostUnnoticedAt
	age := now - l.openedAt
	return inherited && age >= lateCompletionInterval || lostUnnoticed && age >= unnoticedInterval
}

// Opened implements eventloop.Handler.
func (c *lateCompletionConn) Opened(*eventloop.Conn) {
	c.established, c.lastReadAt = true, c.link.pool.loop.Now()
	c.link.heard(c.lastReadAt)
	c.link.opened(c.dialledAt)
	c.link.pool.counts.LateCompletions++
	c.link.pool.log.Debug("connection for late completions opened", "worker", c.link.workerID,
		"connection", c.number)
	c.link.pool.loop.After(lateCompletionConnLifetime, c.endLife)
}

// endLife ends the connection once it has been open for lateCompletionConnLifetime, unless it ended before.
func (c *lateCompletionConn) endLife() {
	if c.lingering {
		return
	}
	delete(c.link.pool.receivers, &c.workerConn)
	c.linger()
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
func (c *lateCompletionConn) Closed(*eventloop.Conn, error) {
	c.lingerTimer.Stop()
	delete(c.link.pool.receivers, &c.workerConn)
}
