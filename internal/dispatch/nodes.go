package dispatch

// This file owns the nodes' side of the table: what nodes say of attempts and of tasks that
// stand, and what the list says of nodes. It must never send an offer.

import "ravenhitch/placement"

// Offer is an attempt as a node gets it.
type Offer struct {
	Tag, Class, Key, Idem string
	WaitUs                int64
	Description           string
}

// Nodes carries offers to nodes. What comes of them is told with NodeStarted,
// NodeEnded, NodeNote and NodeSampled, never from within these calls.
type Nodes interface {
	Offer(node string, o Offer)
	// GiveUp withdraws an offer that was not answered, ahead of whatever is offered
	// after it; again says that another attempt may follow. It reports whether the attempt
	// is over for sure; where it is not, NodeGaveUp tells when it is.
	GiveUp(node, tag string, again bool) (sure bool)
	// Release ends a task that stands.
	Release(node, tag string)
	Probe(node string)
}

// NodeStarted takes a node's word that a task stands. A word on an attempt
// that was given up changes nothing: its owner got another answer, or will.
func (c *Core) NodeStarted(now int64, node, tag, description string) {
	c.now = now
	r := c.reqs[tag]
	if r == nil || r.state != out || r.node != node {
		return
	}
	r.mayRun = true
	c.to(r, standing)
	c.trace("started", r)
	c.counts.Started++
	c.advisor.Started(now, r.caller())
	c.disarm(r)
	c.event(placement.Accepted{Ticket: tag, Attempt: r.copy, Machine: node, RTTUs: now - r.sentAt})
	if r.Resumes {
		r.binding = description
	}
	c.answer(r, Answer{Kind: Started, Description: description, Node: node})
}

// NodeEnded takes the end of an attempt or of a task that stands.
func (c *Core) NodeEnded(now int64, node, tag string, st placement.Status, why placement.Why) {
	c.now = now
	r := c.reqs[tag]
	if r := c.silent[tag]; r != nil && r.node == node {
		c.heard(r, placement.Cancelled, why)
		return
	}
	if r == nil || r.node != node {
		return
	}
	c.trace("node ended", r, "status", st)
	switch r.state {
	case out:
		switch st {
		case placement.OK, placement.Cancelled:
			st = placement.Reset
		}
		c.ended(r, st, why)
	case ending:
		c.ended(r, r.endAs, placement.WhyUntold)
	case standing, leaving:
		switch st {
		case placement.OK, placement.Cancelled, placement.Reset:
		default:
			st = placement.Reset
		}
		c.over(r, st, why)
	}
}

// NodeGaveUp takes it that an attempt that was given up is over for sure: the node has
// read the give-up, or its connection is closed.
func (c *Core) NodeGaveUp(now int64, node, tag string) {
	c.now = now
	if r := c.reqs[tag]; r != nil && r.node == node && r.state == ending {
		c.trace("given up for sure", r)
		c.ended(r, r.endAs, placement.WhyUntold)
	}
}

// giveUp ends the attempt that is out. The node is told before anything else may go
// out for this request, and the module hears of the end, and may offer elsewhere, only
// once the attempt is over for sure: a give-up that is still on its way, or lies in a
// connection that fell silent, ends nothing. The answer does not wait for that.
func (c *Core) giveUp(r *request, st placement.Status) {
	again := c.now < r.deadline && c.mayFollow(r) == ""
	if sure := c.nodes.GiveUp(r.node, r.Tag, again); sure || c.now >= r.deadline {
		c.ended(r, st, placement.WhyUntold)
		return
	}
	c.to(r, ending)
	r.endAs = st
	c.mayHaveRun(r)
	c.arm(r, r.deadline)
}

// ended is the end of an attempt that was not answered with yes.
func (c *Core) ended(r *request, st placement.Status, why placement.Why) {
	switch st {
	case placement.Full:
		c.counts.Full++
	case placement.ConnectFailed:
		c.counts.ConnectFailed++
	case placement.Moot:
	case placement.TimedOut:
		c.counts.TimedOut++
		c.mayHaveRun(r)
	default:
		c.counts.Reset++
		c.mayHaveRun(r)
	}
	c.to(r, waiting)
	c.done(r, st, why, false)
	c.arm(r, r.deadline)
}

// mayHaveRun notes that the attempt of r which is out, or was last, may have started.
func (c *Core) mayHaveRun(r *request) {
	if r.mayRun {
		return
	}
	e := c.roster.last[r.node]
	r.mayRun, r.ran = true, ran{node: r.node, zone: e.Zone, cell: e.Cell, at: r.sentAt}
}

// over is the end of a task that stood. Its owner is told, but where it asked
// for the end itself.
func (c *Core) over(r *request, st placement.Status, why placement.Why) {
	c.advisor.Ended(c.now, r.caller())
	c.done(r, st, why, true)
	if r.state == standing && st != placement.Cancelled {
		c.counts.Over++
		c.answer(r, Answer{Kind: Over, Status: st, Why: why})
	}
	c.forget(r)
}

func (c *Core) done(r *request, st placement.Status, why placement.Why, closed bool) {
	c.event(placement.Done{Ticket: r.Tag, Attempt: r.copy, Machine: r.node, Status: st, Why: why,
		Closed: closed, RTTUs: c.now - r.sentAt})
}

// NodeNote takes news of a task that stands.
func (c *Core) NodeNote(now int64, node, tag string, kind placement.NoteKind, value float64) {
	c.now = now
	if r := c.reqs[tag]; r != nil && r.node == node && r.state == standing {
		c.event(placement.Note{Ticket: tag, Attempt: r.copy, Machine: node, Kind: kind, Value: value})
	}
}

// NodeSampled takes the answer to a probe.
func (c *Core) NodeSampled(now int64, e placement.Sampled) {
	c.now = now
	c.event(e)
}

// NodeReached takes it that a node took a connection after one to it had failed or
// fallen silent.
func (c *Core) NodeReached(now int64, node string) {
	c.now = now
	c.event(placement.Reached{Machine: node})
}

// NodeLost takes a proof that the process of a node has died: what stood there
// is cut, and nobody will tell.
func (c *Core) NodeLost(now int64, node string) {
	c.now = now
	c.cut(node, func(*request) bool { return true })
}

// restartSkew is by how much the clock that tells of a node's start may be ahead of this one, and of
// a task that was offered then.
const restartSkew = 1_000_000

// NodeRestarted takes it that the process of a node began at startUs and that nothing of the one
// before is left: what stood there earlier is cut, and nobody will tell.
func (c *Core) NodeRestarted(now int64, node string, startUs int64) {
	c.now = now
	c.cut(node, func(r *request) bool { return r.stoodAt() < startUs-restartSkew })
}

// stoodAt is from when on a task may have stood: its offer, or when it was handed in as standing.
func (r *request) stoodAt() int64 { return max(r.sentAt, r.foundAt) }

// cut ends tasks at a node: first those that stand, then those that were set aside, by tag each.
func (c *Core) cut(node string, which func(*request) bool) {
	var standing, aside []*request
	for _, r := range c.holdings[node] {
		switch {
		case !which(r):
		case r.state.holds():
			standing = append(standing, r)
		default:
			aside = append(aside, r)
		}
	}
	for _, r := range byTag(standing) {
		c.over(r, placement.Reset, placement.WhyUntold)
	}
	for _, r := range byTag(aside) {
		c.heard(r, placement.Reset, placement.WhyUntold)
	}
}

// List takes what the command channel told of the nodes.
func (c *Core) List(now int64, l placement.List) {
	c.now = now
	c.channel = true
	if l.Kind == placement.ListFull || l.Kind == placement.ListCached {
		for node := range c.listed { // what a whole list does not name is gone
			c.told[node] = now
		}
		clear(c.listed)
	}
	l.Entries = c.roster.list(l)
	for _, e := range l.Entries {
		if c.listed[e.Machine] = true; e.State == placement.Gone {
			delete(c.listed, e.Machine)
		}
		if e.State == placement.Ready || e.State == placement.Foreign {
			delete(c.told, e.Machine)
		} else if _, ok := c.told[e.Machine]; !ok {
			c.told[e.Machine] = now
		}
	}
	c.event(l)
}
