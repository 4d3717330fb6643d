package clientfront

// This file owns the admission of clients. When the connection limit is reached, or no file descriptor is free for
// clients, it chooses the idle connection to evict for a new one. It must never evict a connection with an open
// request.

const (
	// minIdleWithTask is the minimum idle time, in microseconds, after which a connection that had a task may be
	// evicted: on a connection that was just used, a submission may be in flight.
	minIdleWithTask = 1 * second
	// minIdleWithoutTask is the minimum idle time, in microseconds, after which a connection that never had a task
	// may be evicted. It can be short because a client that connects to submit a task does so at once. If the
	// front closes the connection while the submission is in flight, the client resends the submission within
	// 50 ms.
	minIdleWithoutTask = 100 * millisecond
	// protectedWithTask limits the protection of connections that had a task. A front with at most this many such
	// connections does not evict any of them while a connection without a task will soon be evictable. A front with
	// more protects none of them. Connections with tasks carry the completions, including those of requests whose own
	// connection is closed. Without the protection, a flood of new connections without a task would evict all idle
	// connections with tasks within minIdleWithoutTask, because the new connections themselves are not evictable
	// during this time.
	protectedWithTask = 8
)

// minIdle returns the minimum idle time, in microseconds, after which the connection may be evicted. While responses
// are buffered for the client, the minimum is messageTimeout, so that the client has as much time to read them as it
// has to write a message.
func (c *clientConn) minIdle() int64 {
	switch {
	case c.conn.BytesBuffered() > 0:
		return messageTimeout
	case c.hasTask:
		return minIdleWithTask
	}
	return minIdleWithoutTask
}

// admission decides whether a front accepts another connection. Connections that are not accepted wait in the listen
// queue of the operating system, where they get no response.
type admission struct{ front *Front }

// HasCapacity implements eventloop.Admission. It reports whether the front is below its connection limit and the
// descriptor budget admits another client.
func (a admission) HasCapacity() bool {
	f := a.front
	return len(f.clients) < f.maxConns && f.budget.AdmitsClient()
}

// MakeCapacity implements eventloop.Admission. It evicts an idle connection, if it may, and reports whether it did.
// Connections without a task are evicted first because hundreds of them may be opened at once. Connections with tasks
// are not evicted while they are protected as described at protectedWithTask.
func (a admission) MakeCapacity() bool {
	f := a.front
	found := f.findEvictable()
	evicted := found.client
	if evicted != nil && evicted.hasTask && found.evictableSoon && found.withTask <= protectedWithTask {
		evicted = nil
	}
	if evicted == nil {
		f.log.Warn("no capacity for client connection", "connections", len(f.clients))
		return false
	}
	evicted.rejectAndClose(errEvicted)
	return true
}

// evictionSearchResult is the result of a search for a connection to evict.
type evictionSearchResult struct {
	client        *clientConn // the connection to evict first, or nil if none may be evicted
	withTask      int         // number of connections that had a task
	evictableSoon bool        // a connection with neither a task nor an open request will soon reach its minIdle
}

// findEvictable searches for the connection to evict first. Candidates are the connections without an open request
// that have been idle for at least minIdle. The candidate with the lowest usage is chosen, and among candidates of
// equal usage the one that has been idle longest.
func (f *Front) findEvictable() (found evictionSearchResult) {
	now := f.loop.Now()
	for client := range f.clients {
		if client.hasTask {
			found.withTask++
		}
		if len(client.openRequests) > 0 {
			continue
		}
		if now-client.lastActiveAt < client.minIdle() {
			found.evictableSoon = found.evictableSoon || !client.hasTask
			continue
		}
		if found.client == nil || client.evictsBefore(found.client) {
			found.client = client
		}
	}
	return found
}

// evictsBefore reports whether c is to be evicted rather than other. The connection with the lower usage is evicted
// first. If the usage is equal, the connection that has been idle for longer is evicted first, and if the idle time
// is equal too, the older connection.
func (c *clientConn) evictsBefore(other *clientConn) bool {
	if usage, otherUsage := c.usage(), other.usage(); usage != otherUsage {
		return usage < otherUsage
	}
	return c.lastActiveAt < other.lastActiveAt || c.lastActiveAt == other.lastActiveAt && c.number < other.number
}
