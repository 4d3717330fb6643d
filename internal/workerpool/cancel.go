package workerpool

// This file owns how an attempt ends that a worker has not answered: a cancel is written, or the connection is
// aborted for it. It must never leave an offer in transit that could reach the worker after its attempt is over.

import (
	"slices"
)

// CancelAttempt implements dispatch.WorkerPool.
func (p *Pool) CancelAttempt(worker, requestID string, mayRetry bool) (confirmed bool) {
	l := p.links[worker]
	if l == nil {
		return true
	}
	confirmed = !l.pendingResets[requestID]
	for _, c := range slices.Clone(l.conns) {
		if offer := c.openOffers[requestID]; offer != nil && !c.cancelOffer(offer, mayRetry) {
			confirmed = false
		}
	}
	l.pruneConns()
	l.ensureConnected() // on which the worker reports the ends of tasks that run there
	return confirmed
}

// cancelOffer cancels an open offer and reports whether that is confirmed already. mayRetry says that another
// attempt may follow.
func (c *workerConn) cancelOffer(offer *openOffer, mayRetry bool) (confirmed bool) {
	pool, worker, requestID := c.link.pool, c.link.workerID, offer.RequestID
	c.removeOffer(offer)
	pool.trace("cancelling attempt", requestID, "worker", worker, "sent", offer.isSent(c.conn),
		"written", offer.endOffset > 0, "quiet_us", pool.loop.Now()-c.lastReadAt)
	if offer.endOffset == 0 { // it was not written
		return true
	}
	responsive := c.lastReadAt >= offer.offeredAt
	confirmable := pool.pingsAllowed || !mayRetry
	if offer.isSent(c.conn) && responsive && confirmable { // an offer that is not sent completely still would be
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
