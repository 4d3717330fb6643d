package workerpool

// This file owns the confirmation that a worker has read a cancel. A cancel that is written may never arrive: the
// connection can be cut since the worker's last message. So a ping is written behind it, and the answer to that
// proves that the worker has read the cancel. Where it does not come, the connection is aborted, which cancels all that
// is open on it and discards what is still in its buffers. A cancel that was only written must never count as read.

import (
	"fmt"
	"slices"

	"ravenhitch/internal/eventloop"
)

// confirmationTimeout is how long nothing at all may come in on a connection after a cancel was written there,
// the ping's answer included: a ping waits behind the worker's decisions on offers. Where other messages come, a ping
// may take as long as a connection may take to come up.
const confirmationTimeout = 100 * millisecond

// cancelConfirmations are the cancels written on one connection that the worker is not known to have read. One
// ping is in flight at a time, as pings cost the worker work.
type cancelConfirmations struct {
	pingTag    string   // of the ping in flight, "" for none
	pingSentAt int64    // when it was written
	beforePing []string // requests cancelled before it was written: its answer confirms them
	afterPing  []string // requests cancelled since: for the next ping
	timer      *eventloop.Timer
}

// pending reports whether a cancel waits for its confirmation.
func (cc *cancelConfirmations) pending() bool { return cc.pingTag != "" }

// isAnswer reports whether pingTag is that of the ping in flight.
func (cc *cancelConfirmations) isAnswer(pingTag string) bool {
	return cc.pending() && pingTag == cc.pingTag
}

// await records a ping that is written now behind the cancels of some requests.
func (cc *cancelConfirmations) await(requestIDs []string, now int64) {
	cc.pingTag = fmt.Sprintf("%016x", now)
	cc.pingSentAt = now
	cc.beforePing, cc.afterPing = requestIDs, nil
}

// reset removes all cancels and returns them.
func (cc *cancelConfirmations) reset() cancelConfirmations {
	cc.timer.Stop()
	cancels := *cc
	*cc = cancelConfirmations{}
	return cancels
}

// pingBehindCancels writes a ping behind the cancels of some requests.
func (c *workerConn) pingBehindCancels(requestIDs []string) {
	loop := c.link.pool.loop
	c.cancels.await(requestIDs, loop.Now())
	c.ping(c.cancels.pingTag)
	c.cancels.timer = loop.After(confirmationTimeout, c.confirmationTimedOut)
}

// confirmationTimedOut aborts the connection, unless other messages have come in since the ping was written and
// it may take longer.
func (c *workerConn) confirmationTimedOut() {
	l, pool := c.link, c.link.pool
	now := pool.loop.Now()
	if c.lastReadAt > c.cancels.pingSentAt && now < c.cancels.pingSentAt+pool.dialTimeoutUs {
		c.cancels.timer = pool.loop.After(confirmationTimeout, c.confirmationTimedOut)
		return
	}
	pool.log.Warn("cancel unconfirmed", "worker", l.workerID, "quiet_us", now-c.lastReadAt)
	c.close(errUnresponsive)
	l.pruneConns()
	l.ensureConnected()
}

// pingAnswered confirms the cancels that were written before the ping, and pings behind those written since.
func (c *workerConn) pingAnswered() {
	pool := c.link.pool
	cancels := c.cancels.reset()
	if len(cancels.afterPing) > 0 {
		c.pingBehindCancels(cancels.afterPing)
		c.conn.Flush()
	}
	for _, requestID := range cancels.beforePing {
		now := pool.loop.Now()
		pool.trace("cancel confirmed", requestID, "worker", c.link.workerID, "ping_us", now-cancels.pingSentAt)
		pool.dispatcher.CancelConfirmed(now, c.link.workerID, requestID)
	}
	c.link.pruneConns()
}

// confirmCancelsByClose reports the cancels that the end of the connection has carried out.
func (c *workerConn) confirmCancelsByClose() {
	l, pool := c.link, c.link.pool
	cancels := c.cancels.reset()
	for _, requestID := range slices.Concat(cancels.beforePing, cancels.afterPing) {
		l.afterCloseTransit(func() { pool.dispatcher.CancelConfirmed(pool.loop.Now(), l.workerID, requestID) })
	}
}
