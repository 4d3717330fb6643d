package workerpool

// This file owns the time that must pass after the end of a connection before the attempts on it are over. An attempt
// must never be reported as ended while its offer may still reach the worker.

import "ravenhitch/placement"

// A close takes as long to reach the worker as a message does, and nothing reports its arrival. Therefore an attempt
// that a close cancels is considered over after one round trip to the worker at the earliest. The estimate of the round
// trip is the shortest time in which a connection to that worker was established. It is at least minCloseTransit and at
// most maxCloseTransit, which is the longest delay of a close that the protocol tolerates.
const (
	minCloseTransit = 2 * millisecond
	maxCloseTransit = 50 * millisecond
)

// maxReadDelay is the time within which a worker's process is assumed to read an offer. The round trip does not include
// this time, because the worker's operating system establishes connections without the process. The end of a connection
// does not prevent the process from reading an offer that its operating system has received before. The assumption is
// the same as for the ping behind a cancel.
const maxReadDelay = confirmationTimeout

// closeTransit returns the time for which a close that is sent now may be in transit to the worker.
func (l *link) closeTransit() int64 {
	return min(max(l.minConnectUs, minCloseTransit), maxCloseTransit)
}

// afterCloseTransit calls f once a close that is sent now is assumed to have reached the worker. It suffices for an
// attempt that was cancelled: the scheduler abandons no attempt within maxReadDelay of its offer unless the request ends
// with the attempt.
func (l *link) afterCloseTransit(f func()) {
	l.pool.loop.After(l.closeTransit(), f)
}

// resetAt returns the time at which the attempt of an offer that was sent completely is over if its connection ended at
// the time endedAt: the worker is assumed to have read the offer and then the end of the connection.
func (l *link) resetAt(offer *openOffer, endedAt int64) int64 {
	return max(endedAt+l.closeTransit(), offer.writtenAt+maxReadDelay)
}

// reportReset reports that an offer was reset with its connection, which ends now. The report is delayed until the
// attempt is over (see resetAt), because another attempt may follow it at once.
func (l *link) reportReset(offer *openOffer) {
	requestID := offer.RequestID
	if l.pendingResets == nil {
		l.pendingResets = map[string]bool{}
	}
	l.pendingResets[requestID] = true
	loop := l.pool.loop
	loop.At(l.resetAt(offer, loop.Now()), func() {
		delete(l.pendingResets, requestID)
		l.pool.dispatcher.TaskEnded(loop.Now(), l.workerID, requestID, placement.Reset, placement.CauseUnknown)
	})
}
