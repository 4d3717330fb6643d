package dispatch

// This file remembers ends that nodes told of tasks which are not known here. A client hands a
// task in as standing after the orchestrator that held it has gone, and a node tells its end on any
// connection meanwhile, once: an end that comes first would leave the task standing for ever. It must
// never end what a node did not name by its tag.

import "ravenhitch/placement"

const (
	// unclaimedRetention is how long such an end is remembered: longer than clients take to notice that
	// an orchestrator is gone.
	unclaimedRetention = 60_000_000
	// maxUnclaimed bounds them: the oldest make room.
	maxUnclaimed = 4096
)

// unclaimedCompletion is the end of a task that nobody has handed in.
type unclaimedCompletion struct {
	worker  string
	outcome placement.Outcome
	cause   placement.Cause
	at      int64
}

// unclaimedCompletions are such ends by tag.
type unclaimedCompletions struct {
	byRequestID map[string]unclaimedCompletion
	order       []string // oldest first
}

// UnknownTaskEnded takes a node's word that a task has ended which is not known here.
func (c *Dispatcher) UnknownTaskEnded(now int64, node, tag string, st placement.Outcome, why placement.Cause) {
	switch st {
	case placement.Completed, placement.Cancelled, placement.Reset:
		c.unclaimed.add(tag, unclaimedCompletion{node, st, why, now})
	}
}

func (u *unclaimedCompletions) add(tag string, e unclaimedCompletion) {
	if _, there := u.byRequestID[tag]; there {
		return
	}
	u.forget(e.at)
	u.byRequestID[tag] = e
	u.order = append(u.order, tag)
}

// forget lets go of what is too old, and of the oldest where there are too many.
func (u *unclaimedCompletions) forget(now int64) {
	n := 0
	for n < len(u.order) && (len(u.order)-n >= maxUnclaimed || now-u.byRequestID[u.order[n]].at > unclaimedRetention) {
		delete(u.byRequestID, u.order[n])
		n++
	}
	u.order = u.order[n:]
}

// claim ends a task that was handed in as standing, at the next turn, where its node has told its end
// before.
func (c *Dispatcher) claim(r *request) {
	e, ok := c.unclaimed.byRequestID[r.RequestID]
	if !ok || e.worker != r.worker || c.now-e.at > unclaimedRetention {
		return
	}
	c.log.Info("adopted task already completed", "request_id", r.RequestID, "worker", r.worker)
	r.endOutcome, r.endCause = e.outcome, e.cause
	c.arm(r, c.now+1)
}
