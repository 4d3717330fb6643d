package dispatch

// This file owns released tasks of whose end their node has not told. Their owners are done
// with them, but a node that is cut off runs them on: for the module they take room, and
// count for the spread, until the end is known. It must never answer an owner.

import (
	"maps"
	"slices"

	"ravenhitch/placement"
)

// unresponsiveRetention is how long the end of a released task may stay unknown: as long as releases
// go out again.
const unresponsiveRetention = 60_000_000

// markUnresponsive sets a released task aside, as its node says nothing. Its owner may use the
// names of it again.
func (c *Dispatcher) markUnresponsive(r *request) {
	c.forget(r)
	r.missingSince = c.now
	c.unresponsive[r.RequestID] = r
	c.tasksByWorker.add(r)
}

// unresponsiveEnded ends a task that was set aside.
func (c *Dispatcher) unresponsiveEnded(r *request, st placement.Outcome, why placement.Cause) {
	delete(c.unresponsive, r.RequestID)
	c.tasksByWorker.remove(r)
	c.trace("released task ended", r, "outcome", st)
	c.advisor.Ended(c.now, r.caller())
	c.done(r, st, why, true)
}

// sweepSilent ends what nobody will tell of: the node has left the list, or was silent for long.
func (c *Dispatcher) sweepSilent() {
	for _, r := range c.aside() {
		if !c.listed[r.worker] || c.now-r.missingSince >= unresponsiveRetention {
			c.unresponsiveEnded(r, placement.Cancelled, placement.CauseUnknown)
		}
	}
}

// aside lists what was set aside by tag, so that the same happenings give the same actions.
func (c *Dispatcher) aside() []*request {
	return sortByRequestID(slices.Collect(maps.Values(c.unresponsive)))
}
