package clientfront

// This file owns which clients are admitted, and which connections are closed as they take a place
// without a use for it. It must never close a connection with an open request to admit another.

const (
	// minIdleWithTask is how long a connection must have been idle to be closed for another: a submission
	// may be in flight on one that was just used. minIdleWithoutTask is the same for one that
	// never had a task: who connects for one submits it at once, and what crosses the close within
	// 50 ms is sent again.
	minIdleWithTask    = 1 * second
	minIdleWithoutTask = 100 * millisecond
	// messageTimeout is how long a connection may take for its first message, and for the rest of a
	// message that has begun: clients may take 2 s to write one, and who never does is to be
	// disconnected within 3 s.
	messageTimeout = 2_400 * millisecond
	// protectedWithTask is up to how many connections that had tasks are not closed for another while one
	// that had none will be idle long enough soon: completions are reported on them, also those
	// whose own connection is closed. A flood takes every place within minIdleWithoutTask.
	protectedWithTask = 8
	// sweepInterval is the time between two looks for connections that timed out.
	sweepInterval = 250 * millisecond
)

// usage is what a connection was good for so far. A greater one is the better.
type usage int

const (
	usageNone    usage = iota
	usagePartial       // a part of its first message came
	usageMessage       // it sent a message
	usageTask          // it said where a task of its runs
	usageStarted       // a task of its was started
)

// usage is what the connection was good for so far.
func (c *clientConn) usage() usage {
	switch {
	case c.hasStarted:
		return usageStarted
	case c.hasTask:
		return usageTask
	case c.hasMessage:
		return usageMessage
	case c.partialSince > 0:
		return usagePartial
	}
	return usageNone
}

// minIdle is how long the connection must have been idle to be closed for another. A client that has not
// read all its responses has as long for that as for writing a message.
func (c *clientConn) minIdle() int64 {
	switch {
	case c.conn.BytesBuffered() > 0:
		return messageTimeout
	case c.hasTask:
		return minIdleWithTask
	}
	return minIdleWithoutTask
}

// admit reports whether another client may connect. The event loop calls it before each accept, also where no
// client waits. Where the limit is reached, or no descriptor is left for clients, it closes an idle
// connection. Clients that are not admitted wait in the system's queue, where no response reaches them, and
// connections without a task come by the hundred: so they go first.
func (f *Front) admit() bool {
	if len(f.clients) < f.maxConns && f.budget.AdmitsClient() {
		return true
	}
	found := f.findEvictable()
	evicted := found.client
	if evicted != nil && evicted.hasTask && found.anotherSoon && found.withTask <= protectedWithTask {
		evicted = nil
	}
	if evicted == nil {
		f.log.Warn("client connection limit reached", "connections", len(f.clients))
		return false
	}
	evicted.end()
	return true
}

// evictable is what a search for a connection to close has found.
type evictable struct {
	client      *clientConn // the one to close first, nil where none may be closed
	withTask    int         // connections that had tasks
	anotherSoon bool        // a connection that had no task may be closed soon
}

// findEvictable looks for the connection to close first for another. Of those without an open request that
// were idle long enough it is the one of the lowest usage, and among equals the one idle longest.
func (f *Front) findEvictable() (found evictable) {
	now := f.loop.Now()
	for client := range f.clients {
		if client.hasTask {
			found.withTask++
		}
		if len(client.openRequests) > 0 {
			continue
		}
		if now-client.lastActiveAt < client.minIdle() {
			found.anotherSoon = found.anotherSoon || !client.hasTask
			continue
		}
		if found.client == nil || client.evictsBefore(found.client) {
			found.client = client
		}
	}
	return found
}

// evictsBefore reports whether the connection is to be closed rather than another.
func (c *clientConn) evictsBefore(other *clientConn) bool {
	if usage, otherUsage := c.usage(), other.usage(); usage != otherUsage {
		return usage < otherUsage
	}
	return c.lastActiveAt < other.lastActiveAt
}

// sweep closes the connections that timed out, and reports completions that have waited long enough. It
// runs as long as the loop does.
func (f *Front) sweep() {
	now := f.loop.Now()
	for client := range f.clients {
		switch {
		case client.isStalled(now):
			f.log.Warn("client message timed out", "spoke", client.hasMessage)
			client.end()
		case client.isIdle(now):
			client.end()
		}
	}
	f.reportOverdue(now)
	f.loop.After(sweepInterval, f.sweep)
}

// isStalled reports whether a first message, or the rest of one, is overdue.
func (c *clientConn) isStalled(now int64) bool {
	return !c.hasMessage && now-c.lastActiveAt > messageTimeout ||
		c.partialSince > 0 && now-c.partialSince > messageTimeout
}

// isIdle reports whether the connection has no open request and was idle for the timeout.
func (c *clientConn) isIdle(now int64) bool {
	timeout := c.front.idleTimeoutUs
	return len(c.openRequests) == 0 && timeout > 0 && now-c.lastActiveAt > timeout
}
