package eventloop

// This file contains the record of past polls. The functions here derive from it the time up to which all received data
// has been read. If this time is uncertain, they return an earlier time, never a later one.

// pollHistory counts the complete polls. A poll is complete if it reported all ready descriptors. A poll that filled
// its buffer of events is not complete, because it may have omitted ready descriptors. Times are Unix times in
// microseconds.
type pollHistory struct {
	count          int64 // complete polls so far; also the number of the last one
	lastAt         int64 // time at which the last complete poll returned
	previousAt     int64 // time at which the complete poll before the last one returned
	processedAt    int64 // time at which the last complete poll returned whose events are all dispatched
	processedCount int64 // number of the poll that returned at processedAt
}

// recordPoll records a complete poll that returned at now.
func (h *pollHistory) recordPoll(now int64) {
	h.previousAt, h.lastAt = h.lastAt, now
	h.count++
}

// markProcessed records that all events of the last complete poll are dispatched.
func (h *pollHistory) markProcessed() {
	h.processedAt, h.processedCount = h.lastAt, h.count
}

// EarliestArrival returns the earliest time at which the data that the connection delivers in this turn can have
// arrived. This is the time at which the connection was last found empty or, if later, the time at which the
// previous complete poll returned. The previous poll counts only if no data may have been left unread after it: a
// complete poll that does not report a connection shows that the connection was empty at that time.
func (c *Conn) EarliestArrival() int64 {
	polls := &c.loop.polls
	if polls.count <= c.unreadPoll+1 {
		return min(c.loop.now, c.emptyAt)
	}
	return min(c.loop.now, max(c.emptyAt, polls.previousAt))
}

// LastSeenAt returns a time up to which everything received from the other side, including a close, has been read.
// The returned time is earlier than the current time by at least the time that the current turn has taken so far, and
// by more if a turn did not read all available data.
func (c *Conn) LastSeenAt() int64 {
	if polls := &c.loop.polls; c.unreadPoll < polls.processedCount {
		return polls.processedAt
	}
	return c.emptyAt
}
