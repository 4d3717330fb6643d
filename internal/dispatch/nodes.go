package dispatch

// This file owns the nodes' side of the table: what nodes say of attempts and of tasks that
// stand, and what the list says of nodes. It must never send an offer.

import "ravenhitch/placement"

// Offer is an attempt as a node gets it.
type Offer struct {
	RequestID, Class, Key, Idem string
	TimeoutUs                   int64
	Description                 string
}

// WorkerPool carries offers to nodes. What comes of them is told with AttemptAccepted,
// TaskEnded, TaskReported and ProbeAnswered, never from within these calls.
type WorkerPool interface {
	Offer(node string, o Offer)
	// CancelAttempt withdraws an offer that was not answered, ahead of whatever is offered
	// after it; again says that another attempt may follow. It reports whether the attempt
	// is over for sure; where it is not, CancelConfirmed tells when it is.
	CancelAttempt(node, tag string, again bool) (sure bool)
	// Release ends a task that stands.
	Release(node, tag string)
	Probe(node string)
}

// AttemptAccepted takes a node's word that a task stands. A word on an attempt
// that was given up changes nothing: its owner got another answer, or will.
func (c *Dispatcher) AttemptAccepted(now int64, node, tag, description string) {
	c.now = now
	r := c.requests[tag]
	if r == nil || r.state != stateOffered || r.worker != node {
		return
	}
	r.mayHaveRun = true
	c.to(r, stateRunning)
	c.trace("started", r)
	c.counts.Started++
	c.advisor.Started(now, r.caller())
	c.disarm(r)
	c.event(placement.Accepted{RequestID: tag, Attempt: r.attempt, Worker: node, RTTUs: now - r.sentAt})
	if r.Resumable {
		r.startDescription = description
	}
	c.answer(r, Response{Kind: Started, Description: description, Worker: node})
}

// TaskEnded takes the end of an attempt or of a task that stands.
func (c *Dispatcher) TaskEnded(now int64, node, tag string, st placement.Outcome, why placement.Cause) {
	c.now = now
	r := c.requests[tag]
	if r := c.unresponsive[tag]; r != nil && r.worker == node {
		c.unresponsiveEnded(r, placement.Cancelled, why)
		return
	}
	if r == nil || r.worker != node {
		return
	}
	c.trace("worker reported end", r, "outcome", st)
	switch r.state {
	case stateOffered:
		switch st {
		case placement.Completed, placement.Cancelled:
			st = placement.Reset
		}
		c.ended(r, st, why)
	case stateCancelling:
		c.ended(r, r.endOutcome, placement.CauseUnknown)
	case stateRunning, stateTerminating:
		switch st {
		case placement.Completed, placement.Cancelled, placement.Reset:
		default:
			st = placement.Reset
		}
		c.over(r, st, why)
	}
}

// CancelConfirmed takes it that an attempt that was given up is over for sure: the node has
// read the give-up, or its connection is closed.
func (c *Dispatcher) CancelConfirmed(now int64, node, tag string) {
	c.now = now
	if r := c.requests[tag]; r != nil && r.worker == node && r.state == stateCancelling {
		c.trace("abandoned attempt ended", r)
		c.ended(r, r.endOutcome, placement.CauseUnknown)
	}
}

// cancelAttempt ends the attempt that is out. The node is told before anything else may go
// out for this request, and the module hears of the end, and may offer elsewhere, only
// once the attempt is over for sure: a give-up that is still on its way, or lies in a
// connection that fell silent, ends nothing. The answer does not wait for that.
func (c *Dispatcher) cancelAttempt(r *request, st placement.Outcome) {
	again := c.now < r.deadline && c.mayFollow(r) == ""
	if sure := c.workers.CancelAttempt(r.worker, r.RequestID, again); sure || c.now >= r.deadline {
		c.ended(r, st, placement.CauseUnknown)
		return
	}
	c.to(r, stateCancelling)
	r.endOutcome = st
	c.mayHaveRun(r)
	c.arm(r, r.deadline)
}

// endAttempt is the end of an attempt that was not answered with yes.
func (c *Dispatcher) ended(r *request, st placement.Outcome, why placement.Cause) {
	switch st {
	case placement.Rejected:
		c.counts.RejectedByWorker++
	case placement.ConnectFailed:
		c.counts.ConnectFailed++
	case placement.NeverSent:
	case placement.TimedOut:
		c.counts.TimedOut++
		c.mayHaveRun(r)
	default:
		c.counts.Reset++
		c.mayHaveRun(r)
	}
	c.to(r, statePending)
	c.done(r, st, why, false)
	c.arm(r, r.deadline)
}

// mayHaveRun notes that the attempt of r which is out, or was last, may have started.
func (c *Dispatcher) mayHaveRun(r *request) {
	if r.mayHaveRun {
		return
	}
	e := c.listFilter.listed[r.worker]
	r.mayHaveRun, r.firstRun = true, firstAttempt{node: r.worker, zone: e.Zone, cell: e.Cell, at: r.sentAt}
}

// over is the end of a task that stood. Its owner is told, but where it asked
// for the end itself.
func (c *Dispatcher) over(r *request, st placement.Outcome, why placement.Cause) {
	c.advisor.Ended(c.now, r.caller())
	c.done(r, st, why, true)
	if r.state == stateRunning && st != placement.Cancelled {
		c.counts.Completed++
		c.answer(r, Response{Kind: Completed, Outcome: st, Cause: why})
	}
	c.forget(r)
}

func (c *Dispatcher) done(r *request, st placement.Outcome, why placement.Cause, closed bool) {
	c.event(placement.AttemptEnded{RequestID: r.RequestID, Attempt: r.attempt, Worker: r.worker, Outcome: st, Cause: why,
		Final: closed, RTTUs: c.now - r.sentAt})
}

// TaskReported takes news of a task that stands.
func (c *Dispatcher) TaskReported(now int64, node, tag string, kind placement.ReportKind, value float64) {
	c.now = now
	if r := c.requests[tag]; r != nil && r.worker == node && r.state == stateRunning {
		c.event(placement.TaskReport{RequestID: tag, Attempt: r.attempt, Worker: node, Kind: kind, Value: value})
	}
}

// ProbeAnswered takes the answer to a probe.
func (c *Dispatcher) ProbeAnswered(now int64, e placement.ProbeResult) {
	c.now = now
	c.event(e)
}

// WorkerReachable takes it that a node took a connection after one to it had failed or
// fallen silent.
func (c *Dispatcher) WorkerReachable(now int64, node string) {
	c.now = now
	c.event(placement.WorkerReachable{Worker: node})
}

// WorkerDied takes a proof that the process of a node has died: what stood there
// is cut, and nobody will tell.
func (c *Dispatcher) WorkerDied(now int64, node string) {
	c.now = now
	c.cut(node, func(*request) bool { return true })
}

// restartSkew is by how much the clock that tells of a node's start may be ahead of this one, and of
// a task that was offered then.
const restartSkew = 1_000_000

// WorkerRestarted takes it that the process of a node began at startUs and that nothing of the one
// before is left: what stood there earlier is cut, and nobody will tell.
func (c *Dispatcher) WorkerRestarted(now int64, node string, startUs int64) {
	c.now = now
	c.cut(node, func(r *request) bool { return r.stoodAt() < startUs-restartSkew })
}

// stoodAt is from when on a task may have stood: its offer, or when it was handed in as standing.
func (r *request) stoodAt() int64 { return max(r.sentAt, r.adoptedAt) }

// cut ends tasks at a node: first those that stand, then those that were set aside, by tag each.
func (c *Dispatcher) cut(node string, which func(*request) bool) {
	var standing, aside []*request
	for _, r := range c.tasksByWorker[node] {
		switch {
		case !which(r):
		case r.state.occupiesWorker():
			standing = append(standing, r)
		default:
			aside = append(aside, r)
		}
	}
	for _, r := range sortByRequestID(standing) {
		c.over(r, placement.Reset, placement.CauseUnknown)
	}
	for _, r := range sortByRequestID(aside) {
		c.unresponsiveEnded(r, placement.Reset, placement.CauseUnknown)
	}
}

// UpdateWorkers takes what the command channel told of the nodes.
func (c *Dispatcher) UpdateWorkers(now int64, l placement.WorkerList) {
	c.now = now
	c.hasList = true
	if l.Kind == placement.ListFull || l.Kind == placement.ListCached {
		for node := range c.listed { // what a whole list does not name is gone
			c.drainingSince[node] = now
		}
		clear(c.listed)
	}
	l.Entries = c.listFilter.list(l)
	for _, e := range l.Entries {
		if c.listed[e.Worker] = true; e.State == placement.Removed {
			delete(c.listed, e.Worker)
		}
		if e.State == placement.Ready || e.State == placement.Foreign {
			delete(c.drainingSince, e.Worker)
		} else if _, ok := c.drainingSince[e.Worker]; !ok {
			c.drainingSince[e.Worker] = now
		}
	}
	c.event(l)
}
