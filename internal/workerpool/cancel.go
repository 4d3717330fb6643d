package workerpool

// This file owns the cancellation of attempts that a worker has not answered. An offer that was not written yet is only
// removed; otherwise a cancel is written or the connection is aborted. An offer that could reach the worker after the
// attempt is over must never stay in transit without a cancel behind it.

import (
	"slices"

	"ravenhitch/internal/dispatch"
)

// CancelAttempt implements dispatch.WorkerPool.
func (p *Pool) CancelAttempt(worker, requestID string, mayRetry bool) dispatch.CancelState {
	l := p.links[worker]
	if l == nil {
		return dispatch.CancelConfirmed
	}
	state := dispatch.CancelConfirmed
	if l.pendingResets[requestID] {
		state = dispatch.CancelUnconfirmed
	}
	for _, c := range slices.Clone(l.conns) {
		if offer := c.openOffers[requestID]; offer != nil {
			state = c.cancelOffer(offer, mayRetry)
		}
	}
	l.pruneConns()
	l.ensureConnected() // the worker needs a connection to report the ends of its running tasks
	return state
}

// cancelOffer cancels an open offer. An offer that was not written yet is only removed. Otherwise, a cancel is written
// if all of the following hold, and the connection is aborted if not:
//   - The offer was sent completely.
//   - Since the offer was made, data was received or the connection was established, or the offer was written within
//     the last confirmationTimeout.
//   - The deployment allows pings, or mayRetry is false.
//
// cancelOffer returns CancelConfirmed if a cancel was written that nothing confirms because the deployment does not allow
// pings. If it returns CancelUnconfirmed, Dispatcher.CancelConfirmed is called when the ping behind the cancel is answered.
// If the connection ends without that answer, it is called once the close is assumed to have reached the worker.
//
// mayRetry is true if another attempt may follow, which must wait until this one is over. In this case, the connection
// is aborted if the deployment does not allow pings, because nothing would confirm a cancel.
func (c *workerConn) cancelOffer(offer *openOffer, mayRetry bool) dispatch.CancelState {
	pool, worker, requestID := c.link.pool, c.link.workerID, offer.RequestID
	c.removeOffer(offer)
	c.trace("cancelling attempt", requestID, "sent", offer.isSent(c.conn), "written", offer.endOffset > 0,
		"quiet_us", pool.loop.Now()-c.lastReadAt)
	if offer.endOffset == 0 { // the offer was not written
		return dispatch.OfferWithdrawn
	}
	// Within confirmationTimeout, silence proves no more than that the worker has not answered yet. An abort would lose
	// the completions that are in transit on a connection that is alive.
	responsive := c.lastReadAt >= offer.offeredAt || pool.loop.Clock()-offer.writtenAt < confirmationTimeout
	confirmable := pool.pingsAllowed || !mayRetry
	// A cancel does not suffice for an offer that was not sent completely: the rest of the offer would still be sent,
	// possibly after the attempt is over.
	if offer.isSent(c.conn) && responsive && confirmable {
		c.sendCancel(requestID)
		if pool.pingsAllowed {
			return dispatch.CancelUnconfirmed
		}
		return dispatch.CancelConfirmed
	}
	c.close(errUnresponsive)
	c.link.afterCloseTransit(func() { pool.dispatcher.CancelConfirmed(pool.loop.Now(), worker, requestID) })
	return dispatch.CancelUnconfirmed
}

// sendCancel writes and flushes a cancel, so that it is sent before anything written later on any connection. The
// answer to a ping behind the cancel confirms it. If an earlier such ping is in flight, the ping for this cancel is
// written after the answer to the earlier one. If the operating system accepts only a part of the output, the ping
// cannot be answered before the rest is sent, so the cancel is not confirmed too early. If the deployment does not
// allow pings, nothing confirms the cancel, and the caller ensures that no other attempt follows.
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

// UnconfirmedCancels returns the number of connections on which a cancel awaits the answer to a ping. It is exported
// for the tests of package main, which wait until there is such a cancel or none is left.
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
