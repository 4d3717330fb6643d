package dispatch

// This file owns the turns: times that have come, the call of the module, and the guards
// between what it answers and the nodes. No offer leaves but by place.

import (
	"container/heap"

	"ravenhitch/placement"
)

// Next is when Turn has to be called next, or 0.
func (c *Core) Next() int64 {
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
func (c *Core) Turn(now int64) {
	c.now = now
	for len(c.due) > 0 && c.due[0].due <= now {
		c.expire(c.due[0])
	}
	for len(c.bells) > 0 && c.bells[0].at <= now {
		b := heap.Pop(&c.bells).(bell)
		c.event(placement.Bell{Ref: b.ref})
	}
	if now >= c.sweepAt {
		c.sweepAt = now + sweepEvery
		c.sweep()
	}
	if c.observe && c.channel {
		// The channel is followed without being asked; the module is told that it is.
		c.observe = false
		c.event(placement.List{Kind: placement.ListDelta})
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
func (c *Core) expire(r *request) {
	c.disarm(r)
	switch r.state {
	case out, ending:
		if r.state == out {
			c.trace("attempt timed out", r, "abandon", r.abandon)
			c.giveUp(r, placement.TimedOut)
		} else {
			c.ended(r, r.endAs, placement.WhyUntold)
		}
		if c.now >= r.deadline {
			// The module answers within this turn; else the next turn does.
			c.arm(r, c.now+1)
		}
	case waiting:
		c.log.Warn("the module left a request to its deadline", "tag", r.Tag, "class", r.Class)
		c.event(placement.ClientGone{Ticket: r.Tag})
		c.finish(r)
	case standing:
		c.over(r, r.endAs, r.endWhy)
	case leaving:
		c.nodes.Release(r.node, r.Tag)
		c.silence(r)
	}
}

// sweep ends tasks on nodes that no list names any more. It guards against
// tasks left standing for ever where a node vanished without a word.
func (c *Core) sweep() {
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
		c.log.Info("a task stood on a node that left the list", "tag", r.Tag, "node", r.node)
		c.nodes.Release(r.node, r.Tag)
		c.over(r, placement.Reset, placement.WhyUntold)
	}
}

// act carries out one action of the module.
func (c *Core) act(a placement.Action) {
	switch a := a.(type) {
	case placement.Place:
		if r := c.reqs[a.Ticket]; r != nil {
			c.place(r, a)
		}
	case placement.Deny:
		if r := c.reqs[a.Ticket]; r != nil && r.open() {
			c.finish(r)
		}
	case placement.Error:
		if r := c.reqs[a.Ticket]; r != nil && r.open() {
			r.mayRun = true
			c.fail(r)
		}
	case placement.Move:
		if r := c.reqs[a.Ticket]; r != nil && r.state == standing {
			c.counts.Moved++
			c.answer(r, Answer{Kind: Moved})
			c.nodes.Release(r.node, r.Tag)
			c.to(r, leaving)
			c.arm(r, c.now+cutWait)
		}
	case placement.Cancel:
		if r := c.reqs[a.Ticket]; r != nil && r.state == out && a.Attempt == r.copy {
			c.giveUp(r, placement.Cancelled)
		}
	case placement.AskLoad:
		c.nodes.Probe(a.Machine)
	case placement.Observe:
		c.observe = a.Active
	case placement.Refresh:
		c.observe = true
	case placement.SetAlarm:
		heap.Push(&c.bells, bell{c.now + a.OffsetUs, a.Ref})
	case placement.SayLog:
		c.log.Info("module", "text", a.Text)
	}
}

// place sends an offer, if no invariant stands against it.
func (c *Core) place(r *request, a placement.Place) {
	guard := c.mayFollow(r)
	if r.state != waiting {
		guard = "an attempt is out or the request is over"
	}
	if guard == "" {
		guard = c.mayLeave(r, a.Machine)
	}
	if guard != "" {
		c.trace("offer held back", r, "to", a.Machine, "why", guard)
		c.counts.Guarded++
		c.log.Error("the module's offer was held back", "tag", r.Tag, "node", a.Machine, "why", guard)
		c.event(placement.Done{Ticket: r.Tag, Attempt: r.attempts, Machine: a.Machine, Status: placement.Moot})
		r.attempts++
		return
	}
	c.counts.Offers++
	c.to(r, out)
	r.node, r.sentAt, r.copy = a.Machine, c.now, r.attempts
	r.attempts++
	r.abandon = r.deadline
	if a.AbandonAtUs > 0 {
		r.abandon = min(r.deadline, max(a.AbandonAtUs, c.now+1))
	}
	c.arm(r, r.abandon)
	c.trace("offer", r, "abandon", r.abandon, "deadline", r.deadline)
	c.nodes.Offer(a.Machine, Offer{Tag: r.Tag, Class: r.Class, Key: r.Key, Idem: r.Idem,
		WaitUs: r.abandon - c.now, Description: r.Description})
}

// mayFollow names what stands against a further attempt of r at any node, "" for nothing.
func (c *Core) mayFollow(r *request) string {
	switch {
	case c.set.AttemptsCap > 0 && r.attempts >= c.set.AttemptsCap:
		return "no attempts are left"
	case r.effect == placement.Unsafe && r.mayRun:
		return "it may have started and must not start twice"
	}
	return ""
}

// mayLeave names what stands against an offer of r that leaves for a node now, "" for nothing.
func (c *Core) mayLeave(r *request, node string) string {
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
func (c *Core) drainFor() int64 {
	return c.set.DrainGraceUs - min(drainMargin, c.set.DrainGraceUs/2)
}

// MayLeave names what stands against an offer that was placed before and leaves only now, as
// its connection was not up, "" for nothing.
func (c *Core) MayLeave(now int64, node, tag string) string {
	c.now = now
	r := c.reqs[tag]
	if r == nil {
		return "its request is over"
	}
	return c.mayLeave(r, node)
}

// repeatable reports whether a further start of r does no harm, wherever its owner goes.
func (c *Core) repeatable(r *request) bool {
	return !r.mayRun || r.effect == placement.Safe ||
		r.effect == placement.Keyed && c.set.Classes[r.class].Group == placement.ScopeAll
}

// finish answers a request that was given up: refused where a retry is
// harmless, else failed.
func (c *Core) finish(r *request) {
	if !c.repeatable(r) {
		c.fail(r)
		return
	}
	c.withdraw(r)
	c.counts.Refused++
	wait := c.advisor.Refused(c.now, r.caller())
	if !c.set.Advice {
		wait = 0
	}
	c.answer(r, Answer{Kind: Refused, WaitUs: wait, SinceUs: r.SinceUs, Tries: r.Tries + 1})
	c.forget(r)
}

func (c *Core) fail(r *request) {
	c.withdraw(r)
	c.counts.Failed++
	c.answer(r, Answer{Kind: Failed})
	c.forget(r)
}

// withdraw gives up an attempt that is still out at the end of its request.
func (c *Core) withdraw(r *request) {
	switch r.state {
	case out:
		c.trace("given up", r)
		c.nodes.GiveUp(r.node, r.Tag, false)
		c.done(r, placement.Cancelled, placement.WhyUntold, true)
	case ending:
		c.done(r, r.endAs, placement.WhyUntold, true)
	}
}

// Quit answers whatever is still open; used when the program has to end.
func (c *Core) Quit(now int64) {
	c.now = now
	for _, r := range c.sorted() {
		c.Refuse(now, r.owner, r.Tag)
	}
	c.events = nil
}
