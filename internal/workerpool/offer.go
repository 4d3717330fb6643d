package workerpool

// This file owns offers: on which connection one is sent, when, and what follows for it where its
// connection ends. It must never send an offer that the dispatcher did not ask for, nor one whose
// client may have disconnected.

import (
	"strconv"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/jsonlines"
	"ravenhitch/placement"
)

const (
	// maxClientLastSeenAge is how long ago the client may have been last seen when its offer is sent: for one
	// that disconnected 0.1 s ago no attempt may begin.
	maxClientLastSeenAge = 50 * millisecond
	// maxOfferTries is on how many connections an offer is tried where they break before it is sent; after that
	// it counts as never connected.
	maxOfferTries = 3
)

// openOffer is an offer without an answer.
type openOffer struct {
	dispatch.Offer
	number    uint64 // of all offers of this process, in order
	offeredAt int64
	deadline  int64 // when the dispatcher abandons it
	endOffset int64 // of its last byte in what was written on its connection, 0 until it is written
	tries     int   // connections that it was put on
}

// isSent reports whether all of the offer was sent, so that it may have reached the worker.
func (o *openOffer) isSent(conn *eventloop.Conn) bool {
	return o.endOffset > 0 && o.endOffset <= conn.BytesSent()
}

// delayedOffer is an offer that waits on its connection until its client is seen.
type delayedOffer struct {
	workerConn *workerConn
	offer      *openOffer
}

// Offer implements dispatch.WorkerPool.
func (p *Pool) Offer(worker string, offer dispatch.Offer) {
	now := p.loop.Now()
	p.offers++
	p.putOffer(worker, &openOffer{Offer: offer, number: p.offers, offeredAt: now, deadline: now + offer.TimeoutUs})
}

// putOffer puts an offer on a connection to the worker, on which it is sent once that is up.
func (p *Pool) putOffer(worker string, offer *openOffer) {
	var c *workerConn
	if l := p.links[worker]; l != nil {
		c = l.connForSending()
	}
	if c == nil {
		p.reportConnectFailed(worker, offer.RequestID)
		return
	}
	offer.tries++
	c.openOffers[offer.RequestID] = offer
	if c.conn.IsUp() {
		c.sendOffer(offer)
	}
}

// reportConnectFailed reports that an offer was never sent, as no connection to the worker came up.
func (p *Pool) reportConnectFailed(worker, requestID string) {
	p.reportLater(func() {
		p.dispatcher.TaskEnded(p.loop.Now(), worker, requestID, placement.ConnectFailed, placement.CauseUnknown)
	})
}

// sendDelayedOffers sends the offers whose clients were to be seen first, and hands them to the system at once.
func (p *Pool) sendDelayedOffers() {
	delayed := p.delayedOffers
	p.delayedOffers = nil
	for _, d := range delayed {
		if d.workerConn.openOffers[d.offer.RequestID] == d.offer { // else it was cancelled, or its connection closed
			d.workerConn.sendOffer(d.offer)
			d.workerConn.conn.Flush()
		}
	}
}

// OffersSent is how many offers were sent completely.
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

// sendOffer writes an offer, unless its client was not seen lately or the dispatcher forbids it by now: the offer
// may have waited for its connection to come up, or may be resent after another one ended.
func (c *workerConn) sendOffer(offer *openOffer) {
	pool, worker, requestID := c.link.pool, c.link.workerID, offer.RequestID
	lastSeenAt := pool.dispatcher.ClientLastSeenAt(requestID, pool.loop.LastPostAt())
	if age := pool.loop.Clock() - lastSeenAt; age > maxClientLastSeenAge {
		pool.trace("offer delayed for client", requestID, "worker", worker, "age_us", age)
		pool.delayedOffers = append(pool.delayedOffers, delayedOffer{c, offer})
		pool.loop.RunAgain()
		return
	}
	if err := pool.dispatcher.CheckOffer(pool.loop.Now(), worker, requestID); err != nil {
		pool.trace("offer not sent", requestID, "worker", worker, "cause", err)
		c.removeOffer(offer)
		pool.reportLater(func() {
			pool.dispatcher.TaskEnded(pool.loop.Now(), worker, requestID, placement.NeverSent, placement.CauseUnknown)
		})
		return
	}
	m := offerMessage(offer, pool.loop.Now())
	c.conn.Write(jsonlines.Append(nil, &m))
	offer.endOffset = c.conn.BytesWritten()
}

// offerMessage is the wire form of an offer that is sent now. It has at least a millisecond left.
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

// removeOffer removes an offer from its connection, and counts it if it was sent. Offers are removed nowhere else.
func (c *workerConn) removeOffer(offer *openOffer) {
	delete(c.openOffers, offer.RequestID)
	if offer.isSent(c.conn) {
		c.link.pool.offersSent++
	}
}

// writtenOffer returns the open offer of a request if it was written on this connection, else nil: only
// such a one can have been answered.
func (c *workerConn) writtenOffer(requestID string) *openOffer {
	if offer := c.openOffers[requestID]; offer != nil && offer.endOffset > 0 {
		return offer
	}
	return nil
}

// settleOffers removes all offers from a connection that ended with err, and returns those that are to be put on
// another one. An offer that was sent completely may have run, and is reset. Any other one never ran: where an
// established connection broke, which says nothing of the worker, it is put on another one at once; where no
// connection came up, its attempt ends.
func (c *workerConn) settleOffers(err error) (resend []*openOffer) {
	l, pool := c.link, c.link.pool
	for _, offer := range c.offersInOrder() {
		requestID := offer.RequestID
		switch {
		case offer.isSent(c.conn):
			pool.trace("connection lost with offer open", requestID, "worker", l.workerID, "err", err)
			l.reportReset(requestID)
		case l.listed && offer.tries < maxOfferTries && isDisconnect(err):
			pool.trace("offer resent", requestID, "worker", l.workerID, "err", err)
			resend = append(resend, offer)
		default:
			pool.trace("offer never sent", requestID, "worker", l.workerID, "err", err)
			pool.reportConnectFailed(l.workerID, requestID)
		}
	}
	for _, offer := range c.openOffers {
		c.removeOffer(offer)
	}
	return resend
}
