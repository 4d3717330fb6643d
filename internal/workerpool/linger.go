package workerpool

// This file owns the ends of connections from this side, with regard to what the worker sends before it notices the
// end. A completion that is in transit at that time must not be lost: the worker repeats it only once, on the next
// connection that is opened.
//
//   - A connection on which nothing is open lingers: this side sends the end of the stream, and receives until the
//     worker closes too.
//   - A connection that must be aborted is read first. What is still in transit is lost. The worker repeats a lost
//     completion on a connection that is dialled after crossingTime (see late_completions.go).

import "ravenhitch/internal/jsonlines"

const (
	// lingerTimeout is the maximum time for which a closed connection still receives. It is as long as a worker may
	// take to read and answer a message.
	lingerTimeout = 250 * millisecond
	// lingerMinDescriptors is the number of descriptors that must be free for a connection to linger.
	lingerMinDescriptors = 32
)

// linger closes this side's direction of the connection and receives until the worker closes its direction, or until
// lingerTimeout. If this is not possible, it closes the connection at once.
func (c *workerConn) linger() {
	loop := c.link.pool.loop
	if !c.conn.IsUp() {
		c.conn.Close()
		return
	}
	if loop.FreeDescriptors() < lingerMinDescriptors || c.conn.CloseWrite() != nil {
		c.closeAfterRead(c.conn.Close)
		return
	}
	c.lingering = true
	c.link.pool.receivers[c] = true
	c.lingerTimer = loop.After(lingerTimeout, func() {
		delete(c.link.pool.receivers, c)
		c.interrupt(false)
		if c.lostUnnoticed {
			c.link.lostUnnoticedAt = loop.Now() // a worker that notices the end closes its direction
		}
		c.closeAfterRead(c.conn.Close)
	})
}

// abort resets the connection after it has taken what was received on it.
func (c *workerConn) abort() { c.closeAfterRead(c.conn.Abort) }

// closeAfterRead takes the received messages, ends the connection by calling end, and handles the messages once the
// dispatcher does not call the pool any more. The worker may have sent more, so a connection for late completions is
// scheduled, unless this is one.
func (c *workerConn) closeAfterRead(end func()) {
	l, wasUp := c.link, c.conn.IsUp()
	unread := c.conn.TakeInput()
	end()
	if len(unread) > 0 {
		l.pool.reportLater(func() { c.handleUnread(unread) })
	}
	if wasUp && !c.forLateCompletions {
		l.crossed()
	}
}

// handleUnread handles the messages that were received on a connection before it was ended. It ignores an incomplete
// message, and what follows a malformed one.
func (c *workerConn) handleUnread(unread []byte) {
	c.link.pool.counts.ReadAtClose++
	_, _ = jsonlines.ForEachLine(unread, c.handleLine) // the connection has ended, so an error needs no handling
}

// logClose logs that this side closes the connection, with what is open on it and what runs at the worker. An abort is
// a warning, because it may reset offers that the worker has read.
func (c *workerConn) logClose(reason error) {
	pool, now := c.link.pool, c.link.pool.loop.Now()
	fields := []any{"worker", c.link.workerID, "connection", c.number, "reason", reason, "open_offers", len(c.openOffers),
		"tasks", pool.dispatcher.TasksOn(c.link.workerID).Count, "age_us", c.age(), "quiet_us", now - c.lastReadAt}
	if len(c.openOffers) > 0 || isUnreachable(reason) {
		pool.counts.Aborted++
		pool.log.Warn("worker connection aborted", fields...)
		return
	}
	pool.counts.Closed++
	pool.log.Debug("closing worker connection", fields...)
}
