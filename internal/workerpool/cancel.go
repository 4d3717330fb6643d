package workerpool

// This file owns the cancellation of attempts that a worker has not answered: it either writes a cancel or aborts the
// connection. It must never leave an offer in transit that could reach the worker after the attempt is over.

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
	l.ensureConnected() // the worker needs a connection to report the ends of its running tasks
	return confirmed
}

// cancelOffer cancels an open offer and reports whether the cancel is already confirmed. mayRetry is true if another
// attempt may follow.
func (c *workerConn) cancelOffer(offer *openOffer, mayRetry bool) (confirmed bool) {
	pool, worker, requestID := c.link.pool, c.link.workerID, offer.RequestID
	c.removeOffer(offer)
	pool.trace("cancelling attempt", requestID, "worker", worker, "sent", offer.isSent(c.conn),
		"written", offer.endOffset > 0, "quiet_us", pool.loop.Now()-c.lastReadAt)
	if offer.endOffset == 0 { // the offer was not written
		return true
	}
	responsive := c.lastReadAt >= offer.offeredAt
	confirmable := pool.pingsAllowed || !mayRetry
	// A cancel does not suffice for a partially sent offer, because the rest of the offer would still be sent.
	if offer.isSent(c.conn) && responsive && confirmable {
		c.sendCancel(requestID)
		return !pool.pingsAllowed
	}
	c.close(errUnresponsive)
	c.link.afterCloseTransit(func() { pool.dispatcher.CancelConfirmed(pool.loop.Now(), worker, requestID) })
	return false
}

// sendCancel writes and flushes a cancel, so that it is sent before anything written later on any connection. If
// the operating system does not accept the cancel completely, the ping behind it is not answered, so the cancel is
// not confirmed. If the deployment does not allow pings, nothing confirms the cancel, and no other attempt may
// follow.
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

// UnconfirmedCancels returns the number of connections with an unconfirmed cancel. It is exported for the tests of
// the orchestrator, which wait until the number is 0.
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
