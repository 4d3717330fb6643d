package dispatch

// This file owns unresponsive tasks: released ones whose end their worker has not reported. Their
// clients are done with them, but a worker that is cut off runs them on: for the scheduler they occupy
// capacity, and count for the spread, until the end is known. It must never respond to a client.

import (
	"maps"
	"slices"

	"ravenhitch/placement"
)

// unresponsiveRetention is how long the end of a released task may stay unknown: as long as releases
// are sent again.
const unresponsiveRetention = 60 * second

// setUnresponsive takes a released task out of the table, as its worker does not report. Its client
// may use its names again.
func (d *Dispatcher) setUnresponsive(r *request) {
	d.remove(r)
	r.unaccountedSince = d.now
	d.unresponsive[r.RequestID] = r
	d.tasksByWorker.add(r)
}

// unresponsiveEnded takes the end of an unresponsive task.
func (d *Dispatcher) unresponsiveEnded(r *request, outcome placement.Outcome, cause placement.Cause) {
	delete(d.unresponsive, r.RequestID)
	d.tasksByWorker.remove(r)
	d.trace("released task ended", r, "outcome", outcome)
	d.advisor.Ended(d.now, r.backpressureRequest())
	d.reportAttemptEnded(r, outcome, cause, true)
}

// sweepUnresponsive ends the tasks whose end nobody will report: their worker has left the list, or
// did not report for long.
func (d *Dispatcher) sweepUnresponsive() {
	for _, r := range sortByRequestID(slices.Collect(maps.Values(d.unresponsive))) {
		if !d.listed[r.worker] || d.now-r.unaccountedSince >= unresponsiveRetention {
			d.unresponsiveEnded(r, placement.Cancelled, placement.CauseUnknown)
		}
	}
}
