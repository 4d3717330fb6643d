package dispatch

// This file owns the turns: each handles the deadlines that have passed, calls the scheduler and carries out
// its actions. It must never send an offer itself.

import (
	"container/heap"

	"ravenhitch/placement"
)

const (
	// sweepInterval is the minimum time between two calls of Dispatcher.sweep, which finds the tasks whose end
	// no worker will report, and counts them as ended.
	sweepInterval = 500 * millisecond
	// drainRetention is the time for which drainingSince keeps an unlisted worker, measured from the start of its
	// draining. CheckOffer needs the entry for offers that are not sent yet. They wait for a much shorter time.
	drainRetention = 60 * second
)

// NextDeadline returns the time at which Turn has to be called next, in microseconds, or 0 if there is none.
func (d *Dispatcher) NextDeadline() int64 {
	next := int64(0)
	consider := func(at int64) {
		if at > 0 && (next == 0 || at < next) {
			next = at
		}
	}
	if len(d.deadlines) > 0 {
		consider(d.deadlines[0].wakeAt)
	}
	if len(d.timers) > 0 {
		consider(d.timers[0].at)
	}
	consider(d.inherited.nextAt())
	if len(d.events) > 0 {
		consider(d.now)
	}
	return next
}

// Turn handles the deadlines and timers that have passed, passes all queued events to the scheduler in one
// call and carries out the scheduler's actions.
func (d *Dispatcher) Turn(now int64) {
	d.now = now
	for len(d.deadlines) > 0 && d.deadlines[0].wakeAt <= now {
		d.expire(d.deadlines[0])
	}
	for len(d.timers) > 0 && d.timers[0].at <= now {
		timer := heap.Pop(&d.timers).(schedulerTimer)
		d.queueEvent(placement.TimerFired{Ref: timer.ref})
	}
	d.passOn()
	if now >= d.nextSweepAt {
		d.nextSweepAt = now + sweepInterval
		d.sweep()
	}
	if d.confirmList && d.hasList {
		// The scheduler waits for the dispatcher to confirm that it will pass on changes of the list. The
		// dispatcher always does, so an empty list of changes suffices as the confirmation.
		d.confirmList = false
		d.queueEvent(placement.WorkerList{Kind: placement.ListDelta})
	}
	d.runScheduler()
	d.reportBackpressure()
}

// ObserveTurn records how long the last turn of the event loop took, in microseconds, from when its input was ready to
// when its output was written.
func (d *Dispatcher) ObserveTurn(us int64) { d.pacer.observeTurn(d.now, us) }

// runScheduler passes the queued events to the scheduler, if there are any, and carries out its actions.
func (d *Dispatcher) runScheduler() {
	if len(d.events) == 0 {
		return
	}
	events := d.events
	d.events = nil
	actions := d.scheduler.Handle(d.now, events)
	d.announcePending(actions)
	for _, action := range actions {
		d.execute(action)
	}
}

// expire acts on a request whose wakeAt has passed.
func (d *Dispatcher) expire(r *request) {
	d.disarm(r)
	switch r.state {
	case stateOffered:
		d.trace("attempt timed out", r, "abandon_at_us", r.abandonAt)
		d.cancelAttempt(r, placement.TimedOut)
		d.awaitFinalAction(r)
	case stateCancelling:
		d.attemptEnded(r, r.cancelOutcome, placement.CauseUnknown)
		d.awaitFinalAction(r)
	case statePending:
		d.log.Warn("request still pending at its deadline", "request_id", r.RequestID, "class", r.Class)
		d.queueEvent(placement.ClientCancelled{RequestID: r.RequestID})
		d.rejectOrFail(r)
	case stateRunning:
		d.taskCompleted(r, r.claimedOutcome, r.claimedCause) // an adopted task; claimCompletion has set the outcome
	case stateTerminating:
		d.workers.Release(r.worker, r.RequestID)
		d.setUnresponsive(r)
	}
}

// awaitFinalAction lets the scheduler end a request whose deadline has passed. If the scheduler does not do
// so within this turn, the dispatcher ends the request in the next turn.
func (d *Dispatcher) awaitFinalAction(r *request) {
	if d.now >= r.deadline {
		d.arm(r, d.now+1)
	}
}

// sweep counts a running or unresponsive task as ended if no worker will report its end (see lostTasks and
// sweepUnresponsive). Without it, a task would stay in the table forever if its worker vanished without a
// report. sweep also deletes old entries of drainingSince. It does nothing before the first list of workers is
// received.
func (d *Dispatcher) sweep() {
	if !d.hasList {
		return
	}
	for worker, since := range d.drainingSince {
		// Without this deletion, the map would grow without limit, because workers with new names keep appearing.
		if !d.listed[worker] && d.now-since > drainRetention {
			delete(d.drainingSince, worker)
		}
	}
	d.sweepUnresponsive()
	for _, r := range d.lostTasks() {
		d.log.Info("task lost with unlisted worker", "request_id", r.RequestID, "worker", r.worker)
		d.workers.Release(r.worker, r.RequestID)
		d.taskCompleted(r, placement.Reset, placement.CauseUnknown)
	}
}

// execute carries out one action of the scheduler.
func (d *Dispatcher) execute(action placement.Action) {
	switch action := action.(type) {
	case placement.Place:
		if r := d.requests[action.RequestID]; r != nil {
			d.place(r, action)
		}
	case placement.Reject:
		if r := d.requests[action.RequestID]; r != nil && r.state.isOpen() {
			d.rejectOrFail(r)
		}
	case placement.Fail:
		if r := d.requests[action.RequestID]; r != nil && r.state.isOpen() {
			r.mayHaveRun = true
			d.fail(r)
		}
	case placement.Migrate:
		if r := d.requests[action.RequestID]; r != nil && r.state == stateRunning {
			d.migrate(r)
		}
	case placement.Abandon:
		if r := d.requests[action.RequestID]; r != nil && r.state == stateRunning {
			d.abandonTask(r, action.Reason)
		}
	case placement.CancelAttempt:
		if r := d.requests[action.RequestID]; r != nil && r.state == stateOffered && action.Attempt == r.attemptNumber {
			d.cancelAttempt(r, placement.Cancelled)
		}
	case placement.Probe:
		d.workers.Probe(action.Worker)
	case placement.WatchWorkers:
		d.confirmList = action.Active
	case placement.RefreshWorkers:
		d.confirmList = true
	case placement.SetTimer:
		heap.Push(&d.timers, schedulerTimer{d.now + action.OffsetUs, action.Ref})
	case placement.Log:
		d.log.Info("scheduler", "text", action.Text)
	}
}

// migrate releases a running task and notifies its client, which submits the task again.
func (d *Dispatcher) migrate(r *request) {
	d.counts.Migrated++
	d.respond(r, Response{Kind: Migrated})
	d.release(r)
}
