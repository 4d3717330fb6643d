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
	if len(c.deadlines) > 0 {
		sooner(c.deadlines[0].wakeAt)
	}
	if len(c.timers) > 0 {
		sooner(c.timers[0].at)
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
	for len(c.deadlines) > 0 && c.deadlines[0].wakeAt <= now {
		c.expire(c.deadlines[0])
	}
	for len(c.timers) > 0 && c.timers[0].at <= now {
		b := heap.Pop(&c.timers).(schedulerTimer)
		c.event(placement.TimerFired{Ref: b.ref})
	}
	if now >= c.nextSweepAt {
		c.nextSweepAt = now + sweepInterval
		c.sweep()
	}
	if c.confirmList && c.hasList {
		// The channel is followed without being asked; the module is told that it is.
		c.confirmList = false
		c.event(placement.WorkerList{Kind: placement.ListDelta})
	}
	if len(c.events) > 0 {
		events := c.events
		c.events = nil
		actions := c.scheduler.Handle(now, events)
		c.announce(actions)
		for _, a := range actions {
			c.act(a)
		}
	}
	c.reportBackpressure()
}

// expire acts on a time that has come.
func (c *Dispatcher) expire(r *request) {
	c.disarm(r)
	switch r.state {
	case stateOffered, stateCancelling:
		if r.state == stateOffered {
			c.trace("attempt timed out", r, "abandon_at_us", r.abandonAt)
			c.cancelAttempt(r, placement.TimedOut)
		} else {
			c.ended(r, r.endOutcome, placement.CauseUnknown)
		}
		if c.now >= r.deadline {
			// The module answers within this turn; else the next turn does.
			c.arm(r, c.now+1)
		}
	case statePending:
		c.log.Warn("request left to its deadline", "request_id", r.RequestID, "class", r.Class)
		c.event(placement.ClientCancelled{RequestID: r.RequestID})
		c.rejectOrFail(r)
	case stateRunning:
		c.over(r, r.endOutcome, r.endCause)
	case stateTerminating:
		c.workers.Release(r.worker, r.RequestID)
		c.markUnresponsive(r)
	}
}

// sweep ends tasks on nodes that no list names any more. It guards against
// tasks left standing for ever where a node vanished without a word.
func (c *Dispatcher) sweep() {
	if !c.hasList {
		return
	}
	for node, at := range c.drainingSince {
		// Nodes come and go with new names for ever.
		if !c.listed[node] && c.now-at > drainRetention {
			delete(c.drainingSince, node)
		}
	}
	c.sweepSilent()
	for _, r := range c.orphans() {
		c.log.Info("task lost with unlisted worker", "request_id", r.RequestID, "worker", r.worker)
		c.workers.Release(r.worker, r.RequestID)
		c.over(r, placement.Reset, placement.CauseUnknown)
	}
}

// act carries out one action of the module.
func (c *Dispatcher) act(a placement.Action) {
	switch a := a.(type) {
	case placement.Place:
		if r := c.requests[a.RequestID]; r != nil {
			c.place(r, a)
		}
	case placement.Reject:
		if r := c.requests[a.RequestID]; r != nil && r.open() {
			c.rejectOrFail(r)
		}
	case placement.Fail:
		if r := c.requests[a.RequestID]; r != nil && r.open() {
			r.mayHaveRun = true
			c.fail(r)
		}
	case placement.Migrate:
		if r := c.requests[a.RequestID]; r != nil && r.state == stateRunning {
			c.counts.Migrated++
			c.answer(r, Response{Kind: Migrated})
			c.workers.Release(r.worker, r.RequestID)
			c.to(r, stateTerminating)
			c.arm(r, c.now+terminationTimeout)
		}
	case placement.CancelAttempt:
		if r := c.requests[a.RequestID]; r != nil && r.state == stateOffered && a.Attempt == r.attempt {
			c.cancelAttempt(r, placement.Cancelled)
		}
	case placement.Probe:
		c.workers.Probe(a.Worker)
	case placement.WatchWorkers:
		c.confirmList = a.Active
	case placement.RefreshWorkers:
		c.confirmList = true
	case placement.SetTimer:
		heap.Push(&c.timers, schedulerTimer{c.now + a.OffsetUs, a.Ref})
	case placement.Log:
		c.log.Info("scheduler", "text", a.Text)
	}
}

// place sends an offer, if no invariant stands against it.
func (c *Dispatcher) place(r *request, a placement.Place) {
	guard := c.mayFollow(r)
	if r.state != statePending {
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
	c.to(r, stateOffered)
	r.worker, r.sentAt, r.attempt = a.Worker, c.now, r.attempts
	r.attempts++
	r.abandonAt = r.deadline
	if a.AbandonAtUs > 0 {
		r.abandonAt = min(r.deadline, max(a.AbandonAtUs, c.now+1))
	}
	c.arm(r, r.abandonAt)
	c.trace("offer", r, "abandon_at_us", r.abandonAt, "deadline_us", r.deadline)
	c.workers.Offer(a.Worker, Offer{RequestID: r.RequestID, Class: r.Class, Key: r.Key, Idem: r.Idem,
		TimeoutUs: r.abandonAt - c.now, Description: r.Description})
}

// mayFollow names what stands against a further attempt of r at any node, "" for nothing.
func (c *Dispatcher) mayFollow(r *request) string {
	switch {
	case c.settings.MaxAttempts > 0 && r.attempts >= c.settings.MaxAttempts:
		return "no attempts are left"
	case r.effect == placement.Unsafe && r.mayHaveRun:
		return "it may have started and must not start twice"
	}
	return ""
}

// mayLeave names what stands against an offer of r that leaves for a node now, "" for nothing.
func (c *Dispatcher) mayLeave(r *request, node string) string {
	told, draining := c.drainingSince[node]
	switch {
	case c.now >= r.deadline:
		return "its time is up"
	case draining && c.now >= told+c.drainFor():
		return "the node drains"
	case r.effect == placement.Keyed && r.mayHaveRun:
		class, e := &c.settings.Classes[r.classIndex], c.listFilter.listed[node]
		switch {
		case c.now+int64(c.pacer.longestTurn) >= r.firstRun.at+class.WindowUs: // it leaves at the end of the turn
			return "it may have started, and nodes no longer know its repeats"
		case class.Group == placement.ScopeZone && e.Zone != r.firstRun.zone,
			class.Group == placement.ScopeCell && e.Cell != r.firstRun.cell:
			return "it may have started at a node of another group"
		}
	}
	return ""
}

// drainFor is for how long a node gets offers that was told to drain. The margin covers what
// an offer may lie in this machine once it has left here.
func (c *Dispatcher) drainFor() int64 {
	return c.settings.DrainGraceUs - min(drainMargin, c.settings.DrainGraceUs/2)
}

// CheckOffer names what stands against an offer that was placed before and leaves only now, as
// its connection was not up, "" for nothing.
func (c *Dispatcher) CheckOffer(now int64, node, tag string) string {
	c.now = now
	r := c.requests[tag]
	if r == nil {
		return "its request is over"
	}
	return c.mayLeave(r, node)
}

// repeatable reports whether a further start of r does no harm, wherever its owner goes.
func (c *Dispatcher) repeatable(r *request) bool {
	return !r.mayHaveRun || r.effect == placement.Safe ||
		r.effect == placement.Keyed && c.settings.Classes[r.classIndex].Group == placement.ScopeAll
}

// rejectOrFail answers a request that was given up: refused where a retry is
// harmless, else failed.
func (c *Dispatcher) rejectOrFail(r *request) {
	if !c.repeatable(r) {
		c.fail(r)
		return
	}
	c.endOpenAttempt(r)
	c.counts.Rejected++
	wait := c.advisor.Rejected(c.now, r.caller())
	if !c.settings.RetryAfter {
		wait = 0
	}
	c.answer(r, Response{Kind: Rejected, RetryAfterUs: wait, QueuedSinceUs: r.QueuedSinceUs, Rejections: r.Rejections + 1})
	c.forget(r)
}

func (c *Dispatcher) fail(r *request) {
	c.endOpenAttempt(r)
	c.counts.Failed++
	c.answer(r, Response{Kind: Failed})
	c.forget(r)
}

// endOpenAttempt gives up an attempt that is still out at the end of its request.
func (c *Dispatcher) endOpenAttempt(r *request) {
	switch r.state {
	case stateOffered:
		c.trace("attempt abandoned", r)
		c.workers.CancelAttempt(r.worker, r.RequestID, false)
		c.done(r, placement.Cancelled, placement.CauseUnknown, true)
	case stateCancelling:
		c.done(r, r.endOutcome, placement.CauseUnknown, true)
	}
}

// RejectAll answers whatever is still open; used when the program has to end.
func (c *Dispatcher) RejectAll(now int64) {
	c.now = now
	for _, r := range c.sorted() {
		c.Reject(now, r.client, r.RequestID)
	}
	c.events = nil
}
