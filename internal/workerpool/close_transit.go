package workerpool

// This file owns the time for which the close of a connection may be in transit to the worker. An attempt that the
// close ends must never be reported as ended before that time has passed.

import "ravenhitch/placement"

// A close takes as long to reach the worker as a message does, and nothing reports its arrival. Therefore an attempt
// that a close cancels is considered over after one round trip to the worker. The estimate of the round trip is the
// shortest time in which a connection to that worker was established. It is at least minCloseTransit and at most
// maxCloseTransit, which is the longest delay of a close that the protocol tolerates.
const (
	minCloseTransit = 2 * millisecond
	maxCloseTransit = 50 * millisecond
)

// afterCloseTransit calls f once a close that is sent now is assumed to have reached the worker.
func (l *link) afterCloseTransit(f func()) {
	l.pool.loop.After(min(max(l.minConnectUs, minCloseTransit), maxCloseTransit), f)
}

// reportReset reports that an offer was reset with its connection. The report is delayed by the time for which the
// close may be in transit to the worker, because the attempt may be running until the worker has noticed the
// close.
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
