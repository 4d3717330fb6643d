package workerpool

// This file owns the confirmation that a worker has read a cancel. A written cancel may never arrive, because the
// network may have been cut since the worker's last message. Therefore, if the deployment allows pings, a ping is
// written behind the cancel, and its answer proves that the worker has read the cancel. If no answer arrives in time,
// the connection is aborted, which cancels all attempts that are open on it and discards its buffers. A cancel must
// never be considered read only because it was written.

import (
	"slices"

	"ravenhitch/internal/eventloop"
)

// confirmationTimeout is the time, counted from the ping behind a cancel, within which data must be received on the
// connection. Any data counts, not only the answer to the ping: the answer may come later, because the worker may
// decide on earlier offers first. Once other data was received, the answer may take up to the dial timeout, rounded
// up to a multiple of confirmationTimeout.
const confirmationTimeout = 100 * millisecond

// cancelConfirmations holds the cancels that were written on one connection and that the worker is not known to have
// read. At most one ping behind cancels is in flight at a time, because each ping costs the worker work.
type cancelConfirmations struct {
	pingTag    string           // tag of the ping in flight, "" for none
	pingSentAt int64            // time at which the ping was written
	beforePing []string         // requests whose cancels were written before the ping; its answer confirms them
	afterPing  []string         // requests whose cancels were written after the ping; the next ping confirms them
	timer      *eventloop.Timer // calls confirmationTimedOut, which may start a new timer
}

// pending reports whether a cancel awaits confirmation.
func (cc *cancelConfirmations) pending() bool { return cc.pingTag != "" }

// isAnswer reports whether pingTag is the tag of the ping in flight.
func (cc *cancelConfirmations) isAnswer(pingTag string) bool {
	return cc.pending() && pingTag == cc.pingTag
}

// await records that a ping with a tag is written now behind the cancels of the given requests.
func (cc *cancelConfirmations) await(pingTag string, requestIDs []string, now int64) {
	cc.pingTag = pingTag
	cc.pingSentAt = now
	cc.beforePing, cc.afterPing = requestIDs, nil
}

// reset stops the timer, removes all cancels and the ping in flight, and returns the previous state.
func (cc *cancelConfirmations) reset() cancelConfirmations {
	cc.timer.Stop()
	cancels := *cc
	*cc = cancelConfirmations{}
	return cancels
}

// pingBehindCancels writes a ping behind the cancels of the given requests and starts the confirmation timer.
func (c *workerConn) pingBehindCancels(requestIDs []string) {
	loop := c.link.pool.loop
	c.cancels.await(c.link.pool.nextPingTag(), requestIDs, loop.Now())
	c.ping(c.cancels.pingTag)
	c.cancels.timer = loop.After(confirmationTimeout, c.confirmationTimedOut)
}

// confirmationTimedOut aborts the connection. If data was received after the ping was written, and the dial
// timeout has not passed since the ping was written, it waits for another confirmationTimeout instead.
func (c *workerConn) confirmationTimedOut() {
	l, pool := c.link, c.link.pool
	now := pool.loop.Now()
	if c.lastReadAt > c.cancels.pingSentAt && now < c.cancels.pingSentAt+pool.dialTimeoutUs {
		c.cancels.timer = pool.loop.After(confirmationTimeout, c.confirmationTimedOut)
		return
	}
	pool.log.Warn("cancel unconfirmed", "worker", l.workerID, "connection", c.number, "quiet_us", now-c.lastReadAt)
	c.close(errUnresponsive)
	l.pruneConns()
	l.ensureConnected()
}

// pingAnswered confirms the cancels that were written before the ping, and writes another ping behind the cancels
// that were written after it.
func (c *workerConn) pingAnswered() {
	pool := c.link.pool
	cancels := c.cancels.reset()
	if len(cancels.afterPing) > 0 {
		c.pingBehindCancels(cancels.afterPing)
		c.conn.Flush()
	}
	for _, requestID := range cancels.beforePing {
		now := pool.loop.Now()
		c.trace("cancel confirmed", requestID, "ping_us", now-cancels.pingSentAt)
		pool.dispatcher.CancelConfirmed(now, c.link.workerID, requestID)
	}
	c.link.pruneConns()
}

// confirmCancelsByClose reports that the cancels on a connection that ended are confirmed: the end of the connection
// cancels the attempts. The report is delayed by the time for which the close may be in transit to the worker.
func (c *workerConn) confirmCancelsByClose() {
	l, pool := c.link, c.link.pool
	cancels := c.cancels.reset()
	for _, requestID := range slices.Concat(cancels.beforePing, cancels.afterPing) {
		l.afterCloseTransit(func() { pool.dispatcher.CancelConfirmed(pool.loop.Now(), l.workerID, requestID) })
	}
}
