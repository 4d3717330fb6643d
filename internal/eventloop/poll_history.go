package eventloop

// This file owns what is known of past polls: up to when all that had come in was found. It must never claim
// that a moment is covered that may not be.

// pollHistory counts the complete polls: those that reported all descriptors that were ready. A poll that filled
// its buffer of events may have left some out.
type pollHistory struct {
	count          int64
	lastAt         int64 // when the last one returned
	previousAt     int64 // when the one before it returned: what is ready now came in since
	processedAt    int64 // when the last one returned of which all that it reported was read
	processedCount int64 // its number
}

// begin notes a complete poll.
func (h *pollHistory) begin(now int64) {
	h.previousAt, h.lastAt = h.lastAt, now
	h.count++
}

// processed notes that all that the last complete poll reported was read.
func (h *pollHistory) processed() {
	h.processedAt, h.processedCount = h.lastAt, h.count
}

// EarliestArrival is the earliest moment at which what the connection hands over in this turn can have come in: when
// it was last found empty, or when the previous poll reported all connections with something to read and this
// was not among them.
func (c *Conn) EarliestArrival() int64 {
	polls := &c.loop.polls
	if polls.count <= c.unreadPoll+1 {
		return min(c.loop.now, c.emptyAt)
	}
	return min(c.loop.now, max(c.emptyAt, polls.previousAt))
}

// LastSeenAt is a moment up to which nothing that the other side had sent, an end of the connection included, was
// left unread. It lies back by as long as the turn takes so far, and by more where a turn did not read all that
// there was.
func (c *Conn) LastSeenAt() int64 {
	if polls := &c.loop.polls; c.unreadPoll < polls.processedCount {
		return polls.processedAt
	}
	return c.emptyAt
}
