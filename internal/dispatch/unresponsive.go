package dispatch

// This file owns unresponsive tasks: released tasks whose end the worker has not reported in time. Their
// clients no longer need them, but a worker that cannot be reached keeps running them. For the scheduler, they
// occupy capacity and count for the spread until their end is known or assumed. This file must never respond
// to a client.

import (
	"maps"
	"slices"

	"ravenhitch/placement"
)

// unresponsiveRetention is the time without a report after which an unresponsive task counts as ended. It equals
// the time for which releases are resent.
const unresponsiveRetention = 60 * second

// setUnresponsive removes a released task from the table because its worker has not reported the end. The
// client may then submit the key again. The request ID stays in use until the end is known or assumed.
func (d *Dispatcher) setUnresponsive(r *request) {
	d.remove(r)
	r.unaccountedSince = d.now
	d.unresponsive[r.RequestID] = r
	d.tasksByWorker.add(r)
}

// unresponsiveEnded records the end of an unresponsive task.
func (d *Dispatcher) unresponsiveEnded(r *request, outcome placement.Outcome, cause placement.Cause) {
	delete(d.unresponsive, r.RequestID)
	d.tasksByWorker.remove(r)
	d.trace("released task ended", r, "outcome", outcome)
	d.advisor.Ended(d.now, r.backpressureRequest())
	d.reportAttemptEnded(r, outcome, cause, true)
}

// sweepUnresponsive counts an unresponsive task as ended if nobody will report its end: the worker has left
// the list, or has not reported the end for unresponsiveRetention.
func (d *Dispatcher) sweepUnresponsive() {
	for _, r := range sortByRequestID(slices.Collect(maps.Values(d.unresponsive))) {
		if !d.listed[r.worker] || d.now-r.unaccountedSince >= unresponsiveRetention {
			d.unresponsiveEnded(r, placement.Cancelled, placement.CauseUnknown)
		}
	}
}
