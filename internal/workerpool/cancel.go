package workerpool

// This file owns how an attempt ends that a worker has not answered: the cancel that is written, or the
// connection that is aborted for it, and the confirmation that the worker no longer has the attempt. It must
// never take a cancel that was only written for one that was read, and never leave in transit what could reach
// a worker after the attempt is over.
//
// A cancel that is written may never arrive: the connection can be cut since the worker's last message. So a
// ping is written behind it. The answer to that proves that the worker has read the cancel; where it does
// not come, the connection is aborted, which cancels all that is open on it and discards what is still
// in its buffers.

import (
	"fmt"
	"slices"

	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/jsonlines"
	"ravenhitch/placement"
)

// confirmationTimeout is how long nothing at all may come in on a connection after a cancel was written there,
// the ping's answer included: a ping waits behind what the worker is doing, and it may take three of its slowest
// decisions on an offer, of 34 ms each. Where other messages come, a ping may take as long as a connection
// may take to come up.
const confirmationTimeout = 100 * millisecond

// A close is in transit to the worker for as long as a message is, and nothing reports its arrival. So what a
// close cancels is over once a message there and back could have been in transit: the shortest time that a
// connection to that worker took to come up, at least minCloseTransit (twice the one-way delay between
// zones is 0.78 ms), and at most the slack that the protocol puts on every limit.
const (
	minCloseTransit = 2 * millisecond
	maxCloseTransit = 50 * millisecond
)

// cancelConfirmations are the cancels written on one connection that the worker is not known to have read. One
// ping is out at a time, as pings cost the worker work.
type cancelConfirmations struct {
	pingTag    string   // of the ping that is out, "" for none
	pingSentAt int64    // when it was written
	beforePing []string // requests cancelled before it was written: its answer confirms them
	afterPing  []string // requests cancelled since: for the next ping
	timer      *eventloop.Timer
}

// pending reports whether a cancel waits for its confirmation.
func (cc *cancelConfirmations) pending() bool { return cc.pingTag != "" }

// isAnswer reports whether pingTag answers the ping that is out.
func (cc *cancelConfirmations) isAnswer(pingTag string) bool {
	return cc.pending() && pingTag == cc.pingTag
}

// await notes a ping that is written now behind the cancels of some requests.
func (cc *cancelConfirmations) await(requestIDs []string, now int64) {
	cc.pingTag = fmt.Sprintf("%016x", now)
	cc.pingSentAt = now
	cc.beforePing, cc.afterPing = requestIDs, nil
}

// reset forgets all cancels and returns what was noted of them.
func (cc *cancelConfirmations) reset() cancelConfirmations {
	cc.timer.Stop()
	cancels := *cc
	*cc = cancelConfirmations{}
	return cancels
}

// CancelAttempt implements dispatch.WorkerPool.
func (p *Pool) CancelAttempt(worker, requestID string, again bool) (confirmed bool) {
	l := p.links[worker]
	if l == nil {
		return true
	}
	confirmed = !l.pendingResets[requestID]
	for _, c := range slices.Clone(l.conns) {
		if offer := c.openOffers[requestID]; offer != nil && !c.cancelOffer(offer, again) {
			confirmed = false
		}
	}
	l.pruneConns()
	l.ensureConnected() // the ends of tasks that run there come on the next connection
	return confirmed
}

// cancelOffer cancels an open offer and reports whether that is confirmed already. again says that another
// attempt may follow.
func (c *workerConn) cancelOffer(offer *openOffer, again bool) (confirmed bool) {
	pool, worker, requestID := c.link.pool, c.link.workerID, offer.RequestID
	c.removeOffer(offer)
	pool.trace("cancelling attempt", requestID, "worker", worker, "sent", offer.isSent(c.conn),
		"written", offer.endOffset > 0, "quiet_us", pool.loop.Now()-c.lastReadAt)
	if offer.endOffset == 0 { // it was not written
		return true
	}
	answers := c.lastReadAt >= offer.offeredAt
	provable := pool.pingsAllowed || !again
	if offer.isSent(c.conn) && answers && provable { // one that is not sent would be sent yet
		c.sendCancel(requestID)
		return !pool.pingsAllowed
	}
	c.close(errUnresponsive)
	c.link.afterCloseTransit(func() { pool.dispatcher.CancelConfirmed(pool.loop.Now(), worker, requestID) })
	return false
}

// sendCancel writes a cancel, ahead of all that is written after it on any connection. Where the system does
// not take it completely, the ping behind it is not answered either. Where the deployment allows no pings
// nothing confirms it, and no attempt may follow it.
func (c *workerConn) sendCancel(requestID string) {
	c.sendFinish(requestID)
	switch {
	case !c.link.pool.pingsAllowed:
	case c.cancels.pending():
		c.cancels.afterPing = append(c.cancels.afterPing, requestID)
	default:
		c.pingBehindCancels([]string{requestID})
	}
	c.conn.Flush()
}

// pingBehindCancels writes a ping behind the cancels of some requests.
func (c *workerConn) pingBehindCancels(requestIDs []string) {
	loop := c.link.pool.loop
	c.cancels.await(requestIDs, loop.Now())
	c.ping(c.cancels.pingTag)
	c.cancels.timer = loop.After(confirmationTimeout, c.confirmationTimedOut)
}

// ping writes a ping; its answer carries the same tag.
func (c *workerConn) ping(pingTag string) {
	c.send(&jsonlines.Message{Verb: jsonlines.VerbEcho, Tag: pingTag, HasRC: true})
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

// afterCloseTransit calls f once a close that is sent now has reached the worker.
func (l *link) afterCloseTransit(f func()) {
	l.pool.loop.After(min(max(l.minConnectUs, minCloseTransit), maxCloseTransit), f)
}

// reportReset reports that an offer was reset with its connection, once the worker knows of that too. Until then
// the attempt may be running.
func (l *link) reportReset(requestID string) {
	if l.pendingResets == nil {
		l.pendingResets = map[string]bool{}
	}
	l.pendingResets[requestID] = true
	l.afterCloseTransit(func() {
		delete(l.pendingResets, requestID)
		l.pool.dispatcher.TaskEnded(l.pool.loop.Now(), l.workerID, requestID, placement.Reset, placement.CauseUnknown)
	})
}

// UnconfirmedCancels is how many connections carry a cancel that is not confirmed. It is exported for the tests of the
// orchestrator, which wait until none is left.
func (p *Pool) UnconfirmedCancels() (count int) {
	for _, l := range p.links {
		for _, c := range l.conns {
			if c.cancels.pending() {
				count++
			}
		}
	}
	return count
}
