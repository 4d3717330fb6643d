package eventloop

// This file contains the record of past polls. The functions here derive from it when data arrived and up to
// which time all received data has been read. If a time is uncertain, they return an earlier time, never a
// later one.

// pollHistory counts the complete polls. A poll is complete if it reported all ready descriptors. A poll that
// was interrupted or that filled its buffer of events does not count as complete, because it may have omitted
// ready descriptors. Times are Unix times in microseconds.
type pollHistory struct {
	count          int64 // complete polls so far; also the number of the last one
	lastAt         int64 // time at which the last complete poll returned
	previousAt     int64 // time at which the complete poll before the last one returned
	processedAt    int64 // time at which the last poll returned that was complete and whose events are all dispatched
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

// EarliestArrival returns a lower bound of the time at which the data that the handler receives in this turn
// arrived. The data arrived after the last read that left nothing unread began (emptyAt). If no data can have been
// left unread after the complete poll before the last one, the data also arrived after that poll returned: the
// connection was empty if the poll did not report it, and was read until it was empty otherwise. EarliestArrival
// returns the later of the times that apply, but never a time later than the beginning of this turn.
func (c *Conn) EarliestArrival() int64 {
	polls := &c.loop.polls
	if polls.count <= c.unreadPoll+1 {
		return min(c.loop.now, c.emptyAt)
	}
	return min(c.loop.now, max(c.emptyAt, polls.previousAt))
}

// LastSeenAt returns a time up to which everything received from the other side, including a close, has been
// read. This time is not later than the beginning of the current turn, except if a read has found the
// connection empty during the turn. It is earlier if a turn did not read all available data or if the poll of this
// turn was not complete.
func (c *Conn) LastSeenAt() int64 {
	if polls := &c.loop.polls; c.unreadPoll < polls.processedCount {
		return polls.processedAt
	}
	return c.emptyAt
}
