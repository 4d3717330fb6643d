package workerpool

// This file owns how long the close of a connection may be in transit to the worker. What the close ends must never be
// reported as ended before that.

import "ravenhitch/placement"

// A close is in transit to the worker for as long as a message is, and nothing reports its arrival. So what a
// close cancels is over once a message there and back could have been in transit: the shortest time that a
// connection to that worker took to come up, within these bounds. The upper one is the protocol's slack.
const (
	minCloseTransit = 2 * millisecond
	maxCloseTransit = 50 * millisecond
)

// afterCloseTransit calls f once a close that is sent now has reached the worker.
func (l *link) afterCloseTransit(f func()) {
	l.pool.loop.After(min(max(l.minConnectUs, minCloseTransit), maxCloseTransit), f)
}

// reportReset reports that an offer was reset with its connection, once the worker knows of that too. Until then
// the attempt may be running.
func (l *link) reportReset(requestID string) {
	if l.pendingResets == nil {
		l.pendingResets = map[string]bool{}
	}
	l.pendingResets[requestID] = true
	l.afterCloseTransit(func() {
		delete(l.pendingResets, requestID)
		l.pool.dispatcher.TaskEnded(l.pool.loop.Now(), l.workerID, requestID, placement.Reset, placement.CauseUnknown)
	})
}
