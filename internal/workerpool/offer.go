package workerpool

// This file owns offers: it chooses the connection and the time at which an offer is sent, and settles the offers of
// a connection that ended. It must never send an offer that the dispatcher did not request, nor an offer whose client
// may have disconnected more than maxClientLastSeenAge ago.

import (
	"strconv"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/jsonlines"
	"ravenhitch/placement"
)

const (
	// maxClientLastSeenAge is the maximum time between the last read of a client's connection and the sending of an
	// offer for the client's request. It is limited because no attempt may start for a client that disconnected more
	// than 0.1 s ago.
	maxClientLastSeenAge = 50 * millisecond
	// maxOfferTries is the maximum number of connections on which an offer is tried if each connection breaks
	// before the offer is sent. After that the outcome of the attempt is ConnectFailed.
	maxOfferTries = 3
)

// openOffer is an offer that the worker has not answered.
type openOffer struct {
	dispatch.Offer
	sequence  uint64 // position in the order of all offers of this process
	offeredAt int64  // time at which the dispatcher made the offer
	deadline  int64  // time at which the dispatcher abandons the attempt
	endOffset int64  // offset of the end of the offer in the bytes written on its connection, 0 until it is written
	writtenAt int64  // time at which the offer was last written on a connection
	tries     int    // number of connections on which the offer was tried
}

// isSent reports whether the offer was sent completely and may therefore have reached the worker.
func (o *openOffer) isSent(conn *eventloop.Conn) bool {
	return o.endOffset > 0 && o.endOffset <= conn.BytesSent()
}

// delayedOffer is an offer that sendOffer has delayed. It is sent on workerConn after the connection of its client has
// been read.
type delayedOffer struct {
	workerConn *workerConn
	offer      *openOffer
}

// Offer implements dispatch.WorkerPool.
func (p *Pool) Offer(worker string, offer dispatch.Offer) {
	now := p.loop.Now()
	p.offersMade++
	p.putOffer(worker, &openOffer{Offer: offer, sequence: p.offersMade, offeredAt: now, deadline: now + offer.TimeoutUs})
}

// putOffer adds an offer to a connection to the worker, and sends it as soon as the connection is up. If there is no
// connection and none can be dialled, the attempt ends with ConnectFailed. If the offer needs a new connection, and the
// oldest one would have to be closed for it but has an open offer, the attempt ends with NeverSent.
func (p *Pool) putOffer(worker string, offer *openOffer) {
	l := p.links[worker]
	if l == nil {
		p.reportUndelivered(worker, offer.RequestID, placement.ConnectFailed)
		return
	}
	if !l.hasConnAfter(offer.AfterConnection) && !l.mayReplaceOldest() {
		p.reportUndelivered(worker, offer.RequestID, placement.NeverSent)
		return
	}
	c := l.connForSending(offer.AfterConnection)
	if c == nil {
		p.reportUndelivered(worker, offer.RequestID, placement.ConnectFailed)
		return
	}
	offer.tries++
	c.openOffers[offer.RequestID] = offer
	if c.conn.IsUp() {
		c.sendOffer(offer)
	}
}

// reportUndelivered reports that an offer did not reach its worker. The outcome is ConnectFailed if no connection to the
// worker could be dialled or established, or if the connection ended before the offer was sent completely and the offer is
// not resent. Otherwise it is NeverSent.
func (p *Pool) reportUndelivered(worker, requestID string, outcome placement.Outcome) {
	p.reportLater(func() { p.dispatcher.OfferUndelivered(p.loop.Now(), worker, requestID, outcome) })
}

// sendDelayedOffers sends the offers that waited until the connections of their clients were read, and flushes them
// immediately.
func (p *Pool) sendDelayedOffers() {
	delayed := p.delayedOffers
	p.delayedOffers = nil
	for _, d := range delayed {
		if d.workerConn.openOffers[d.offer.RequestID] == d.offer { // neither cancelled nor settled since
			d.workerConn.sendOffer(d.offer)
			d.workerConn.conn.Flush()
		}
	}
}

// OffersSent returns the number of offers that were sent completely.
func (p *Pool) OffersSent() int64 {
	count := p.offersSent
	for _, l := range p.links {
		for _, c := range l.conns {
			for _, offer := range c.openOffers {
				if offer.isSent(c.conn) {
					count++
				}
			}
		}
	}
	return count
}

// sendOffer writes an offer to its connection. If the connection of the client was last read more than
// maxClientLastSeenAge ago, sendOffer delays the offer. If the dispatcher no longer allows the offer, sendOffer
// reports that it was never sent. Both cases occur because time may have passed since the dispatcher made the offer.
// The turn may be long, the offer may have waited for its connection or for the read of its client's connection, or
// the offer may be resent after another connection ended.
func (c *workerConn) sendOffer(offer *openOffer) {
	pool, worker, requestID := c.link.pool, c.link.workerID, offer.RequestID
	lastSeenAt := pool.dispatcher.ClientLastSeenAt(requestID, pool.loop.PostsTakenAt())
	if age := pool.loop.Clock() - lastSeenAt; age > maxClientLastSeenAge {
		c.trace("offer delayed until client is read", requestID, "age_us", age)
		pool.delayedOffers = append(pool.delayedOffers, delayedOffer{c, offer})
		pool.loop.RunAgain()
		return
	}
	if err := pool.dispatcher.CheckOffer(pool.loop.Now(), worker, requestID); err != nil {
		c.trace("offer no longer allowed", requestID, "cause", err)
		c.removeOffer(offer)
		pool.reportUndelivered(worker, requestID, placement.NeverSent)
		return
	}
	m := offerMessage(offer, pool.loop.Clock())
	c.conn.Write(jsonlines.Append(nil, &m))
	offer.endOffset = c.conn.BytesWritten()
	offer.writtenAt = pool.loop.Clock()
	c.trace("offer written", requestID, "try", offer.tries)
}

// offerMessage returns the wire message for an offer that is sent now. The remaining time that the message states
// is at least 1 ms.
func offerMessage(offer *openOffer, now int64) jsonlines.Message {
	leftMs := max(1, (offer.deadline-now)/millisecond)
	m := jsonlines.Message{
		Verb: jsonlines.VerbStart,
		Tag:  offer.RequestID,
		Opts: []jsonlines.Field{
			{Name: "class", Value: offer.Class},
			{Name: "key", Value: offer.Key},
			{Name: "left", Value: strconv.FormatInt(leftMs, 10)},
		},
		Blob:    offer.Description,
		HasBlob: true,
	}
	if offer.IdempotencyKey != "" {
		m.Opts = append(m.Opts, jsonlines.Field{Name: "idem", Value: offer.IdempotencyKey})
	}
	return m
}

// removeOffer removes an offer from its connection, and counts the offer if it was sent. All removals go through
// removeOffer.
func (c *workerConn) removeOffer(offer *openOffer) {
	delete(c.openOffers, offer.RequestID)
	if offer.isSent(c.conn) {
		c.link.pool.offersSent++
	}
}

// writtenOffer returns the open offer of a request if it was written on this connection, and nil otherwise. Only a
// written offer can have been answered.
func (c *workerConn) writtenOffer(requestID string) *openOffer {
	if offer := c.openOffers[requestID]; offer != nil && offer.endOffset > 0 {
		return offer
	}
	return nil
}

// settleOffers removes all offers from a connection that ended with err, and returns the offers to resend on
// another connection. The task of an offer that was sent completely may have run, so the offer is reported as reset.
// The task of any other offer never ran. Such an offer is returned if the worker is listed, fewer than maxOfferTries
// connections were tried, and err is a disconnect (see isDisconnect). Otherwise, for example if the connection could
// not be established, the attempt ends with ConnectFailed.
func (c *workerConn) settleOffers(err error) (resend []*openOffer) {
	l, pool := c.link, c.link.pool
	for _, offer := range c.offersInOrder() {
		requestID := offer.RequestID
		switch {
		case offer.isSent(c.conn):
			c.trace("connection lost with offer open", requestID, "err", err,
				"offer_age_us", pool.loop.Clock()-offer.writtenAt, "quiet_us", pool.loop.Now()-c.lastReadAt)
			l.reportReset(offer)
		case l.listed && offer.tries < maxOfferTries && isDisconnect(err):
			c.trace("offer moved to another connection", requestID, "err", err)
			resend = append(resend, offer)
		default:
			c.trace("offer never sent", requestID, "err", err)
			pool.reportUndelivered(l.workerID, requestID, placement.ConnectFailed)
		}
	}
	for _, offer := range c.openOffers {
		c.removeOffer(offer)
	}
	return resend
}
