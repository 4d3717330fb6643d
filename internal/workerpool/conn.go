package workerpool

// This file owns one connection to a worker: its buffers, whether it is stale or alive, and how it begins and ends.
// It must never wait longer than partialMessageTimeout for the rest of a message, and never report its end twice.

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/jsonlines"
)

const (
	// staleAfter is how long an offer may be open on a connection on which nothing comes in before new offers
	// are sent on a new one.
	staleAfter = 400 * millisecond
	// maxReadGap is how long nothing may come in on a connection to a worker where tasks run before another is
	// dialled: a completion not reported for 8 s is lost.
	maxReadGap = 3 * second
	// partialMessageTimeout is how long an incomplete message may wait for its rest: it holds up all behind it.
	partialMessageTimeout = 250 * millisecond
	// keepAliveSlack is how much longer than TCP keepalive's interval the answer to its probe may take.
	keepAliveSlack = second
)

// workerConn is one connection to a worker.
type workerConn struct {
	link         *link
	conn         *eventloop.Conn
	openOffers   map[string]*openOffer // by request ID
	queued       [][]byte              // messages that wait for the connection to come up
	partialTimer *eventloop.Timer      // for the rest of an incomplete message
	probes       map[string]int64      // when each open probe was written, by the tag of its ping
	cancels      cancelConfirmations

	established bool // it came up, though it may be closed by now
	dialledAt   int64
	lastReadAt  int64
	lastUsedAt  int64 // when it was last chosen for an offer, a release or a probe
	aliveUntil  int64 // until when the last known acknowledgement by the worker's system proves it alive
}

// isStale reports whether an offer is open on the connection while nothing comes in: where the network to a worker
// is cut its connections stay open, and dialling a new one proves quickly that it is unreachable.
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

// isIdle reports whether nothing is open on the connection, nor waits for an answer.
func (c *workerConn) isIdle() bool {
	return c.conn.IsUp() && len(c.openOffers) == 0 && len(c.probes) == 0 && !c.cancels.pending() &&
		len(c.link.releases) == 0 && len(c.link.pendingResets) == 0
}

// enableKeepAlive turns TCP keepalive on, where it proves that the connection is alive.
func (c *workerConn) enableKeepAlive() {
	after := c.link.pool.keepAlive
	if after == 0 {
		return
	}
	if err := c.conn.KeepAlive(int(after / time.Second)); err != nil {
		c.link.pool.log.Warn("keepalive not set", "worker", c.link.workerID, "err", err)
	}
}

// checkAlive reports whether the connection is known to be alive: something came in lately, or the worker's system
// acknowledged something in time. It asks this system for the last acknowledgement only where neither is known yet,
// as that takes a system call.
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

// send writes a message, once the connection is up.
func (c *workerConn) send(m *jsonlines.Message) {
	if c.conn.IsUp() {
		c.conn.Write(jsonlines.Append(nil, m))
		return
	}
	c.queued = append(c.queued, jsonlines.Append(nil, m))
}

// ping writes a ping; its answer carries the same tag.
func (c *workerConn) ping(pingTag string) {
	c.send(&jsonlines.Message{Verb: jsonlines.VerbEcho, Tag: pingTag, HasRC: true})
}

// close closes the connection from this side for the given reason and settles what was open on it. It aborts the
// connection where its buffers may still contain an offer or a cancel, or where the worker is unreachable.
func (c *workerConn) close(reason error) {
	unreachable := isUnreachable(reason)
	if unreachable {
		c.link.setUnreachable()
	}
	if len(c.openOffers) > 0 || c.cancels.pending() || unreachable {
		c.conn.Abort()
	} else {
		c.conn.Close()
	}
	c.detach(reason)
}

// detach takes the connection, which ended with err, off its link and settles what was open on it.
func (c *workerConn) detach(err error) {
	l, pool := c.link, c.link.pool
	c.partialTimer.Stop()
	c.confirmCancelsByClose()
	if c.established && c.endUnnoticed(err) {
		l.lostUnnoticedAt = pool.loop.Now()
	}
	before := len(l.conns)
	l.conns = slices.DeleteFunc(l.conns, func(other *workerConn) bool { return other == c })
	pool.budget.WorkersConnected(len(l.conns) - before)
	resend := c.settleOffers(err)
	c.failProbes()
	for _, offer := range resend {
		offer.endOffset = 0
		pool.putOffer(l.workerID, offer)
	}
}

// endUnnoticed reports whether the worker may not know that the connection ended with err.
func (c *workerConn) endUnnoticed(err error) bool {
	if isUnreachable(err) {
		return true
	}
	return !isDisconnect(err) && c.link.pool.loop.Now()-c.lastReadAt > staleAfter
}

// Opened implements eventloop.Handler.
func (c *workerConn) Opened(*eventloop.Conn) {
	l, now := c.link, c.link.pool.loop.Now()
	c.lastReadAt, c.established, l.openedAt = now, true, now
	c.enableKeepAlive()
	if connectUs := now - c.dialledAt; l.minConnectUs == 0 || connectUs < l.minConnectUs {
		l.minConnectUs = connectUs
	}
	l.redialBackoff, l.wasReset, l.refusedSince = 0, false, 0
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
	l.pruneConns()
}

// offersInOrder returns the open offers in the order in which the dispatcher made them: those of one turn have the same
// age, and the scheduler places tasks of high priority first.
func (c *workerConn) offersInOrder() []*openOffer {
	byNumber := func(a, b *openOffer) int { return cmp.Compare(a.number, b.number) }
	return slices.SortedFunc(maps.Values(c.openOffers), byNumber)
}

// Closed implements eventloop.Handler.
func (c *workerConn) Closed(_ *eventloop.Conn, err error) {
	if open := len(c.openOffers); open > 0 || !errors.Is(err, eventloop.ErrEOF) {
		c.link.pool.log.Warn("worker connection closed", "worker", c.link.workerID, "open", open, "err", err)
	}
	c.detach(err)
	c.link.connClosed(err)
}

// Data implements eventloop.Handler.
func (c *workerConn) Data(_ *eventloop.Conn, b []byte) (int, error) {
	loop := c.link.pool.loop
	c.lastReadAt, c.link.refusedSince = loop.Now(), 0
	used, err := jsonlines.Lines(b, c.handleLine)
	if used > 0 {
		c.partialTimer.Stop()
	}
	if used < len(b) && err == nil && !c.partialTimer.Pending() {
		c.partialTimer = loop.After(partialMessageTimeout, func() {
			c.conn.Close()
			c.Closed(c.conn, errPartialMessage)
		})
	}
	return used, err
}
