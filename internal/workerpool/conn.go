package workerpool

// This file owns one connection to a worker: its queued messages, whether it is stale or alive, and its opening and
// closing. It must never wait longer than partialMessageTimeout for the rest of a message, and never report the end
// of a connection twice.

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/jsonlines"
)

const (
	// staleAfter is how long an offer may be open while nothing is received on its connection. After that time,
	// new messages are sent on a new connection. If nothing was received for longer than staleAfter before a
	// connection ended, the worker may not have noticed the end.
	staleAfter = 400 * millisecond
	// maxReadGap is the maximum time without received data on a connection to a worker with running tasks. After
	// that time, another connection is dialled unless TCP acknowledgements prove that the connection is alive. The
	// time is limited because a completion must be reported to the client within 8 s of the end of the task.
	maxReadGap = 3 * second
	// partialMessageTimeout is the maximum time to wait for the rest of an incomplete message. The time is limited
	// because an incomplete message delays every message behind it.
	partialMessageTimeout = 250 * millisecond
	// keepAliveSlack is added to the idle time of TCP keepalive to allow for the answer to its probe.
	keepAliveSlack = second
)

// workerConn is one connection to a worker.
type workerConn struct {
	link         *link
	number       uint64 // number among the connections to workers that were dialled, from 1
	conn         *eventloop.Conn
	openOffers   map[string]*openOffer // offers without an answer from the worker, by request ID
	queued       [][]byte              // messages to write once the connection is established
	partialTimer *eventloop.Timer      // limits the wait for the rest of an incomplete message
	probes       map[string]int64      // time at which each open probe was requested, by the tag of its ping
	cancels      cancelConfirmations
	collector    collectorState

	established   bool  // true from when the connection is established, even after it is closed
	dialledAt     int64 // time of the dial
	establishedAt int64 // time at which the connection was established
	lastReadAt    int64 // time at which data was last received, or at which the connection was established
	hasRead       bool  // data was received
	lastUsedAt    int64 // time of the dial, or at which the connection was last chosen for an offer, release or probe
	aliveUntil    int64 // time until which the last known TCP acknowledgement proves that the connection is alive

	forLateCompletions bool // see lateCompletionConn

	lingering     bool             // this side has closed its direction and still receives
	lingerTimer   *eventloop.Timer // ends the lingering
	lostUnnoticed bool             // the connection ended, and the worker may not notice
}

// trace logs one step of a request that happened on this connection.
func (c *workerConn) trace(step, requestID string, args ...any) {
	fields := append([]any{"worker", c.link.workerID, "connection", c.number}, args...)
	c.link.pool.trace(step, requestID, fields...)
}

// age returns the time since the connection was dialled, in microseconds.
func (c *workerConn) age() int64 { return c.link.pool.loop.Now() - c.dialledAt }

// isStale reports whether the connection is up and an offer has been open on it for longer than staleAfter without
// received data. New messages are then sent on a new connection. If the network to the worker is cut, the existing
// connections stay open, but the dial of a new one quickly shows that the worker is unreachable.
func (c *workerConn) isStale() bool {
	if !c.conn.IsUp() {
		return false
	}
	now := c.link.pool.loop.Now()
	for _, offer := range c.openOffers {
		if now-max(offer.offeredAt, c.lastReadAt) > staleAfter {
			return true
		}
	}
	return false
}

// isIdle reports whether the connection is up and nothing awaits an answer: the connection has no open offer, open
// probe or unconfirmed cancel, and its link has no unconfirmed release or pending reset.
func (c *workerConn) isIdle() bool {
	return c.conn.IsUp() && len(c.openOffers) == 0 && len(c.probes) == 0 && !c.cancels.pending() &&
		len(c.link.releases) == 0 && len(c.link.pendingResets) == 0
}

// enableKeepAlive sets the idle time of TCP keepalive if the pool accepts TCP acknowledgements as proof that the
// connection is alive. Otherwise the default keepalive of package eventloop stays in effect.
func (c *workerConn) enableKeepAlive() {
	idleTime := c.link.pool.keepAlive
	if idleTime == 0 {
		return
	}
	if err := c.conn.KeepAlive(int(idleTime / time.Second)); err != nil {
		c.link.pool.log.Warn("keepalive not set", "worker", c.link.workerID, "err", err)
	}
}

// checkAlive reports whether the connection is known to be alive: either data was received within maxReadGap or, if the
// pool accepts TCP acknowledgements as proof, the worker's operating system acknowledged a packet within the idle time
// of TCP keepalive plus keepAliveSlack. checkAlive asks the local operating system for the last acknowledgement only if
// neither is known already, because the query takes a system call.
func (c *workerConn) checkAlive(now int64) bool {
	if now-c.lastReadAt <= maxReadGap || now < c.aliveUntil {
		return true
	}
	keepAlive := c.link.pool.keepAlive
	if keepAlive == 0 {
		return false
	}
	if age, ok := c.conn.LastAckAge(); ok {
		c.aliveUntil = now - age + keepAlive.Microseconds() + keepAliveSlack
	}
	return now < c.aliveUntil
}

// send writes a message, or queues it until the connection is established. On a connection that lingers, it does
// nothing.
func (c *workerConn) send(m *jsonlines.Message) {
	if c.lingering {
		return
	}
	if c.conn.IsUp() {
		c.conn.Write(jsonlines.Append(nil, m))
		return
	}
	c.queued = append(c.queued, jsonlines.Append(nil, m))
}

// ping sends a ping. The answer of the worker carries the same tag.
func (c *workerConn) ping(pingTag string) {
	c.send(&jsonlines.Message{Verb: jsonlines.VerbEcho, Tag: pingTag, HasRC: true})
}

// close closes the connection from this side for the given reason and settles the offers, probes and cancels that are
// open on it. It aborts the connection if an offer is open or a cancel awaits confirmation, because the offer or cancel
// may still be buffered. It also aborts the connection if the reason means that the worker is unreachable (see
// isUnreachable). Otherwise the connection lingers, so that what the worker sends before it notices the close arrives.
func (c *workerConn) close(reason error) {
	unreachable := isUnreachable(reason)
	if unreachable {
		c.link.setUnreachable()
	}
	c.logClose(reason)
	if len(c.openOffers) > 0 || c.cancels.pending() || unreachable {
		c.abort()
	} else {
		c.linger()
	}
	c.detach(reason)
	if errors.Is(reason, errUnresponsive) {
		c.interrupt(false)
	}
}

// detach removes the connection, which ended with err, from its link and settles the offers, probes and cancels that
// are open on it.
func (c *workerConn) detach(err error) {
	l, pool := c.link, c.link.pool
	c.partialTimer.Stop()
	c.stopAwaiting()
	c.confirmCancelsByClose()
	if c.lostUnnoticed = c.established && c.endUnnoticed(err); c.lostUnnoticed && !c.lingering {
		l.lostUnnoticedAt = pool.loop.Now()
	}
	before := len(l.conns)
	l.conns = slices.DeleteFunc(l.conns, func(other *workerConn) bool { return other == c })
	pool.budget.AddWorkerConns(len(l.conns) - before)
	resend := c.settleOffers(err)
	c.failProbes()
	for _, offer := range resend {
		offer.endOffset = 0
		pool.putOffer(l.workerID, offer)
	}
}

// endUnnoticed reports whether the worker may not have noticed that the connection ended with err.
func (c *workerConn) endUnnoticed(err error) bool {
	if isUnreachable(err) {
		return true
	}
	return !isDisconnect(err) && c.link.pool.loop.Now()-c.lastReadAt > staleAfter
}

// Opened implements eventloop.Handler.
func (c *workerConn) Opened(*eventloop.Conn) {
	l, now := c.link, c.link.pool.loop.Now()
	c.lastReadAt, c.establishedAt, c.established = now, now, true
	l.heard(now)
	l.endInterruption(now)
	c.enableKeepAlive()
	if connectUs := now - c.dialledAt; l.minConnectUs == 0 || connectUs < l.minConnectUs {
		l.minConnectUs = connectUs
	}
	c.logOpened(now)
	l.redialBackoff, l.wasReset, l.refusedSince = 0, false, 0
	l.opened(c.dialledAt)
	l.pool.counts.Opened++
	if l.unreachable {
		l.unreachable = false
		l.pool.dispatcher.WorkerReachable(now, l.workerID)
	}
	for _, message := range c.queued {
		c.conn.Write(message)
	}
	c.queued = nil
	c.resendReleases()
	for _, offer := range c.offersInOrder() {
		c.sendOffer(offer)
	}
	if c.collector.awaiting {
		c.requestAnswer()
	}
	l.pruneConns()
}

// logOpened logs that the connection is established. It is logged for operators if an earlier one was reset or refused while
// tasks run at the worker: another process may have taken the place of the one that ran them.
func (c *workerConn) logOpened(now int64) {
	l := c.link
	fields := []any{"worker", l.workerID, "connection", c.number, "connect_us", now - c.dialledAt}
	if tasks := l.pool.dispatcher.TasksOn(l.workerID).Count; tasks > 0 && (l.wasReset || l.refusedSince > 0) {
		l.pool.log.Info("worker connection opened after a reset", append(fields, "tasks", tasks, "refused", l.refusedSince > 0)...)
		return
	}
	l.pool.log.Debug("worker connection opened", fields...)
}

// offersInOrder returns the open offers in the order in which the dispatcher made them. The time of an offer cannot
// determine this order, because all offers of one turn have the same time. The order matters because the scheduler
// places tasks of high priority first.
func (c *workerConn) offersInOrder() []*openOffer {
	byNumber := func(a, b *openOffer) int { return cmp.Compare(a.sequence, b.sequence) }
	return slices.SortedFunc(maps.Values(c.openOffers), byNumber)
}

// Closed implements eventloop.Handler.
func (c *workerConn) Closed(_ *eventloop.Conn, err error) {
	if c.lingering {
		c.lingerTimer.Stop()
		delete(c.link.pool.receivers, c)
		if isReset(err) {
			c.interrupt(true)
		}
		return
	}
	if c.established {
		c.link.pool.counts.Broken++
	}
	if open := len(c.openOffers); open > 0 || !errors.Is(err, eventloop.ErrEOF) {
		pool := c.link.pool
		pool.log.Warn("worker connection closed", "worker", c.link.workerID, "connection", c.number, "open_offers", open,
			"tasks", pool.dispatcher.TasksOn(c.link.workerID).Count, "quiet_us", pool.loop.Now()-c.lastReadAt, "err", err)
	}
	if !c.established && isUnanswered(err) {
		c.link.failedDials++
	}
	c.detach(err)
	c.interrupt(c.link.pool.endsProcess(err))
	switch l := c.link; {
	case c.established && !errors.Is(err, eventloop.ErrEOF):
		l.crossed()
	case !c.established && len(l.conns) == 0 && !errors.Is(err, unix.ECONNREFUSED):
		// The path to the worker may be cut. If an earlier process ended during the cut, the worker has not noticed.
		l.lostUnnoticedAt = l.pool.loop.Now()
	}
	c.link.connClosed(err)
}

// Data implements eventloop.Handler.
func (c *workerConn) Data(_ *eventloop.Conn, b []byte) (int, error) {
	loop := c.link.pool.loop
	c.lastReadAt, c.hasRead, c.link.refusedSince = loop.Now(), true, 0
	c.link.heard(loop.Now())
	used, err := jsonlines.ForEachLine(b, c.handleLine)
	if used > 0 {
		c.partialTimer.Stop()
	}
	if used < len(b) && err == nil && !c.partialTimer.Pending() && !c.lingering {
		c.partialTimer = loop.After(partialMessageTimeout, func() {
			c.conn.Close()
			c.Closed(c.conn, errPartialMessage)
		})
	}
	return used, err
}
