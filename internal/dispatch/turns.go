package dispatch

// This file owns the turns: times that have come, the call of the module, and the guards
// between what it answers and the nodes. No offer leaves but by place.

import (
	"container/heap"

	"ravenhitch/placement"
)

// NextDeadline is when Turn has to be called next, or 0.
func (c *Dispatcher) NextDeadline() int64 {
	at := int64(0)
	sooner := func(t int64) {
		if t > 0 && (at == 0 || t < at) {
			at = t
		}
	}
	if len(c.due) > 0 {
		sooner(c.due[0].due)
	}
	if len(c.bells) > 0 {
		sooner(c.bells[0].at)
	}
	if len(c.events) > 0 {
		sooner(c.now)
	}
	return at
}

// Turn hands what happened to the module in one go and carries out what it
// answers.
func (c *Dispatcher) Turn(now int64) {
	c.now = now
	for len(c.due) > 0 && c.due[0].due <= now {
		c.expire(c.due[0])
	}
	for len(c.bells) > 0 && c.bells[0].at <= now {
		b := heap.Pop(&c.bells).(bell)
		c.event(placement.TimerFired{Ref: b.ref})
	}
	if now >= c.sweepAt {
		c.sweepAt = now + sweepEvery
		c.sweep()
	}
	if c.observe && c.channel {
		// The channel is followed without being asked; the module is told that it is.
		c.observe = false
		c.event(placement.WorkerList{Kind: placement.ListDelta})
	}
	if len(c.events) > 0 {
		events := c.events
		c.events = nil
		actions := c.placer.Handle(now, events)
		c.announce(actions)
		for _, a := range actions {
			c.act(a)
		}
	}
	c.press()
}

// expire acts on a time that has come.
func (c *Dispatcher) expire(r *request) {
	c.disarm(r)
	switch r.state {
	case out, ending:
		if r.state == out {
			c.trace("attempt timed out", r, "abandon_at_us", r.abandon)
			c.giveUp(r, placement.TimedOut)
		} else {
			c.ended(r, r.endAs, placement.CauseUnknown)
		}
		if c.now >= r.deadline {
			// The module answers within this turn; else the next turn does.
			c.arm(r, c.now+1)
		}
	case waiting:
		c.log.Warn("request left to its deadline", "request_id", r.RequestID, "class", r.Class)
		c.event(placement.ClientCancelled{RequestID: r.RequestID})
		c.finish(r)
	case standing:
		c.over(r, r.endAs, r.endWhy)
	case leaving:
		c.nodes.Release(r.node, r.RequestID)
		c.silence(r)
	}
}

// sweep ends tasks on nodes that no list names any more. It guards against
// tasks left standing for ever where a node vanished without a word.
func (c *Dispatcher) sweep() {
	if !c.channel {
		return
	}
	for node, at := range c.told {
		// Nodes come and go with new names for ever.
		if !c.listed[node] && c.now-at > toldMost {
			delete(c.told, node)
		}
	}
	c.sweepSilent()
	for _, r := range c.orphans() {
		c.log.Info("task lost with unlisted worker", "request_id", r.RequestID, "worker", r.node)
		c.nodes.Release(r.node, r.RequestID)
		c.over(r, placement.Reset, placement.CauseUnknown)
	}
}

// act carries out one action of the module.
func (c *Dispatcher) act(a placement.Action) {
	switch a := a.(type) {
	case placement.Place:
		if r := c.reqs[a.RequestID]; r != nil {
			c.place(r, a)
		}
	case placement.Reject:
		if r := c.reqs[a.RequestID]; r != nil && r.open() {
			c.finish(r)
		}
	case placement.Fail:
		if r := c.reqs[a.RequestID]; r != nil && r.open() {
			r.mayRun = true
			c.fail(r)
		}
	case placement.Migrate:
		if r := c.reqs[a.RequestID]; r != nil && r.state == standing {
			c.counts.Migrated++
			c.answer(r, Response{Kind: Migrated})
			c.nodes.Release(r.node, r.RequestID)
			c.to(r, leaving)
			c.arm(r, c.now+cutWait)
		}
	case placement.CancelAttempt:
		if r := c.reqs[a.RequestID]; r != nil && r.state == out && a.Attempt == r.copy {
			c.giveUp(r, placement.Cancelled)
		}
	case placement.Probe:
		c.nodes.Probe(a.Worker)
	case placement.WatchWorkers:
		c.observe = a.Active
	case placement.RefreshWorkers:
		c.observe = true
	case placement.SetTimer:
		heap.Push(&c.bells, bell{c.now + a.OffsetUs, a.Ref})
	case placement.Log:
		c.log.Info("scheduler", "text", a.Text)
	}
}

// place sends an offer, if no invariant stands against it.
func (c *Dispatcher) place(r *request, a placement.Place) {
	guard := c.mayFollow(r)
	if r.state != waiting {
		guard = "an attempt is out or the request is over"
	}
	if guard == "" {
		guard = c.mayLeave(r, a.Worker)
	}
	if guard != "" {
		c.trace("offer blocked", r, "to", a.Worker, "cause", guard)
		c.counts.Blocked++
		c.log.Error("offer blocked by invariant", "request_id", r.RequestID, "worker", a.Worker, "cause", guard)
		c.event(placement.AttemptEnded{RequestID: r.RequestID, Attempt: r.attempts, Worker: a.Worker, Outcome: placement.NeverSent})
		r.attempts++
		return
	}
	c.counts.Offers++
	c.to(r, out)
	r.node, r.sentAt, r.copy = a.Worker, c.now, r.attempts
	r.attempts++
	r.abandon = r.deadline
	if a.AbandonAtUs > 0 {
		r.abandon = min(r.deadline, max(a.AbandonAtUs, c.now+1))
	}
	c.arm(r, r.abandon)
	c.trace("offer", r, "abandon_at_us", r.abandon, "deadline_us", r.deadline)
	c.nodes.Offer(a.Worker, Offer{RequestID: r.RequestID, Class: r.Class, Key: r.Key, Idem: r.Idem,
		TimeoutUs: r.abandon - c.now, Description: r.Description})
}

// mayFollow names what stands against a further attempt of r at any node, "" for nothing.
func (c *Dispatcher) mayFollow(r *request) string {
	switch {
	case c.set.MaxAttempts > 0 && r.attempts >= c.set.MaxAttempts:
		return "no attempts are left"
	case r.effect == placement.Unsafe && r.mayRun:
		return "it may have started and must not start twice"
	}
	return ""
}

// mayLeave names what stands against an offer of r that leaves for a node now, "" for nothing.
func (c *Dispatcher) mayLeave(r *request, node string) string {
	told, draining := c.told[node]
	switch {
	case c.now >= r.deadline:
		return "its time is up"
	case draining && c.now >= told+c.drainFor():
		return "the node drains"
	case r.effect == placement.Keyed && r.mayRun:
		class, e := &c.set.Classes[r.class], c.roster.last[node]
		switch {
		case c.now+int64(c.spread.turn) >= r.ran.at+class.WindowUs: // it leaves at the end of the turn
			return "it may have started, and nodes no longer know its repeats"
		case class.Group == placement.ScopeZone && e.Zone != r.ran.zone,
			class.Group == placement.ScopeCell && e.Cell != r.ran.cell:
			return "it may have started at a node of another group"
		}
	}
	return ""
}

// drainFor is for how long a node gets offers that was told to drain. The margin covers what
// an offer may lie in this machine once it has left here.
func (c *Dispatcher) drainFor() int64 {
	return c.set.DrainGraceUs - min(drainMargin, c.set.DrainGraceUs/2)
}

// CheckOffer names what stands against an offer that was placed before and leaves only now, as
// its connection was not up, "" for nothing.
func (c *Dispatcher) CheckOffer(now int64, node, tag string) string {
	c.now = now
	r := c.reqs[tag]
	if r == nil {
		return "its request is over"
	}
	return c.mayLeave(r, node)
}

// repeatable reports whether a further start of r does no harm, wherever its owner goes.
func (c *Dispatcher) repeatable(r *request) bool {
	return !r.mayRun || r.effect == placement.Safe ||
		r.effect == placement.Keyed && c.set.Classes[r.class].Group == placement.ScopeAll
}

// finish answers a request that was given up: refused where a retry is
// harmless, else failed.
func (c *Dispatcher) finish(r *request) {
	if !c.repeatable(r) {
		c.fail(r)
		return
	}
	c.withdraw(r)
	c.counts.Rejected++
	wait := c.advisor.Rejected(c.now, r.caller())
	if !c.set.RetryAfter {
		wait = 0
	}
	c.answer(r, Response{Kind: Rejected, RetryAfterUs: wait, QueuedSinceUs: r.QueuedSinceUs, Rejections: r.Rejections + 1})
	c.forget(r)
}

func (c *Dispatcher) fail(r *request) {
	c.withdraw(r)
	c.counts.Failed++
	c.answer(r, Response{Kind: Failed})
	c.forget(r)
}

// withdraw gives up an attempt that is still out at the end of its request.
func (c *Dispatcher) withdraw(r *request) {
	switch r.state {
	case out:
		c.trace("attempt abandoned", r)
		c.nodes.CancelAttempt(r.node, r.RequestID, false)
		c.done(r, placement.Cancelled, placement.CauseUnknown, true)
	case ending:
		c.done(r, r.endAs, placement.CauseUnknown, true)
	}
}

// RejectAll answers whatever is still open; used when the program has to end.
func (c *Dispatcher) RejectAll(now int64) {
	c.now = now
	for _, r := range c.sorted() {
		c.Reject(now, r.owner, r.RequestID)
	}
	c.events = nil
}
