package clientfront

// This file owns which clients are admitted, and which idle connection is evicted for another one where the limit
// of connections is reached, or no descriptor is free for clients. It must never evict a connection with an open
// request.

const (
	// minIdleWithTask is how long a connection must have been idle to be evicted: a submission may be in flight on
	// one that was just used. minIdleWithoutTask is the same for one that never had a task: a client that
	// connects to submit a task does so at once, and sends again what crosses the close within 50 ms.
	minIdleWithTask    = 1 * second
	minIdleWithoutTask = 100 * millisecond
	// protectedWithTask is up to how many connections that had tasks are not evicted while one that had none will
	// be idle long enough soon: completions are reported on them, also those whose own connection is closed. A
	// flood of connections without a task would else evict all of them within minIdleWithoutTask.
	protectedWithTask = 8
)

// minIdle is how long the connection must have been idle to be evicted. A client that has not read all its
// responses has as long for that as for writing a message.
func (c *clientConn) minIdle() int64 {
	switch {
	case c.conn.BytesBuffered() > 0:
		return messageTimeout
	case c.hasTask:
		return minIdleWithTask
	}
	return minIdleWithoutTask
}

// admission admits clients to a front. Those that are not admitted wait in the system's queue, where no response reaches
// them.
type admission struct{ front *Front }

// HasCapacity implements eventloop.Admission.
func (a admission) HasCapacity() bool {
	f := a.front
	return len(f.clients) < f.maxConns && f.budget.AdmitsClient()
}

// MakeCapacity implements eventloop.Admission: it closes an idle connection. Connections without a task may come by the
// hundred, so they are evicted first.
func (a admission) MakeCapacity() bool {
	f := a.front
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

// evictable is what a search for a connection to evict has found.
type evictable struct {
	client      *clientConn // the one to evict first, nil where none may be evicted
	withTask    int         // connections that had tasks
	anotherSoon bool        // a connection that had no task may be evicted soon
}

// findEvictable looks for the connection to evict first. Of those without an open request that
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

// evictsBefore reports whether the connection is to be evicted rather than another.
func (c *clientConn) evictsBefore(other *clientConn) bool {
	if usage, otherUsage := c.usage(), other.usage(); usage != otherUsage {
		return usage < otherUsage
	}
	return c.lastActiveAt < other.lastActiveAt || c.lastActiveAt == other.lastActiveAt && c.number < other.number
}
