package eventloop

// This file contains the record of past polls. From this record, EarliestArrival and LastSeenAt compute when data
// arrived, and up to which time all received data has been read. If the exact time is unknown, they return an
// earlier one.

// pollHistory counts the complete polls. A poll is complete if it reported all ready descriptors. A poll that
// was interrupted or that filled its buffer of events does not count as complete, because it may have omitted
// ready descriptors. Times are Unix times in microseconds.
type pollHistory struct {
	count          int64 // complete polls so far; also the number of the last one
	lastAt         int64 // time at which the last complete poll returned
	previousAt     int64 // time at which the second to last complete poll returned
	processedAt    int64 // return time of the last complete poll whose events are all dispatched
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

// EarliestArrival returns a lower bound of the arrival time of the data that is read in this turn. It never returns a
// time later than the beginning of this turn.
//
// There are two bounds, and the later one counts. The first is emptyAt, because everything that arrived before it was
// read in earlier turns. The second is the time at which the second to last complete poll returned. It applies only
// if no turn since that poll can have left data unread. In that case, everything that arrived before that poll was
// read in earlier turns too: a connection that the poll did not report was empty, and one that it reported was then
// read until it was empty.
func (c *Conn) EarliestArrival() int64 {
	polls := &c.loop.polls
	if polls.count <= c.unreadPoll+1 {
		return min(c.loop.now, c.emptyAt)
	}
	return min(c.loop.now, max(c.emptyAt, polls.previousAt))
}

// LastSeenAt returns a time up to which everything received from the other side, including a close, has been read.
// After the events of a turn are dispatched, this is usually the time at which the turn began. It can be an earlier
// time if the poll of the turn was not complete or if data may have been left unread. It can be a later time only if
// a read during the turn left no data in the socket.
func (c *Conn) LastSeenAt() int64 {
	if polls := &c.loop.polls; c.unreadPoll < polls.processedCount {
		return polls.processedAt
	}
	return c.emptyAt
}
