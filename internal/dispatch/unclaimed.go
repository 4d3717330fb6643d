package dispatch

// This file remembers ends that nodes told of tasks which are not known here. A client hands a
// task in as standing after the orchestrator that held it has gone, and a node tells its end on any
// connection meanwhile, once: an end that comes first would leave the task standing for ever. It must
// never end what a node did not name by its tag.

import "ravenhitch/placement"

const (
	// unclaimedFor is how long such an end is remembered: longer than clients take to notice that
	// an orchestrator is gone.
	unclaimedFor = 60_000_000
	// unclaimedMost bounds them: the oldest make room.
	unclaimedMost = 4096
)

// unclaimedEnd is the end of a task that nobody has handed in.
type unclaimedEnd struct {
	node   string
	status placement.Outcome
	why    placement.Cause
	at     int64
}

// unclaimedEnds are such ends by tag.
type unclaimedEnds struct {
	byTag map[string]unclaimedEnd
	tags  []string // oldest first
}

// UnknownTaskEnded takes a node's word that a task has ended which is not known here.
func (c *Dispatcher) UnknownTaskEnded(now int64, node, tag string, st placement.Outcome, why placement.Cause) {
	switch st {
	case placement.Completed, placement.Cancelled, placement.Reset:
		c.unclaimed.add(tag, unclaimedEnd{node, st, why, now})
	}
}

func (u *unclaimedEnds) add(tag string, e unclaimedEnd) {
	if _, there := u.byTag[tag]; there {
		return
	}
	u.forget(e.at)
	u.byTag[tag] = e
	u.tags = append(u.tags, tag)
}

// forget lets go of what is too old, and of the oldest where there are too many.
func (u *unclaimedEnds) forget(now int64) {
	n := 0
	for n < len(u.tags) && (len(u.tags)-n >= unclaimedMost || now-u.byTag[u.tags[n]].at > unclaimedFor) {
		delete(u.byTag, u.tags[n])
		n++
	}
	u.tags = u.tags[n:]
}

// claim ends a task that was handed in as standing, at the next turn, where its node has told its end
// before.
func (c *Dispatcher) claim(r *request) {
	e, ok := c.unclaimed.byTag[r.RequestID]
	if !ok || e.node != r.node || c.now-e.at > unclaimedFor {
		return
	}
	c.log.Info("adopted task already completed", "request_id", r.RequestID, "worker", r.node)
	r.endAs, r.endWhy = e.status, e.why
	c.arm(r, c.now+1)
}
