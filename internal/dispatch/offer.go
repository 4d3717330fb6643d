package dispatch

// This file owns the offers and the rules that the scheduler's choice of a worker must satisfy. Only sendOffer
// passes offers to the worker pool, and only place calls it, after checking the rules. This file must never send an
// offer that breaks a rule.

import (
	"errors"

	"ravenhitch/placement"
)

// drainMargin is the time between the last possible offer to a draining worker and the end of the drain grace
// period. If the period is shorter than twice drainMargin, the offers stop after half of the period (see
// drainLimit).
const drainMargin = 500 * millisecond

// The errors for offers that break a rule. Their texts have no package prefix, because they are only logged as the
// field "cause" of lines that name the offer.
var (
	// ErrNotPending is returned if an attempt is open or the request is over.
	ErrNotPending = errors.New("an attempt is open or the request is over")
	// ErrRequestOver is returned if the request has left the table.
	ErrRequestOver = errors.New("the request is over")
	// ErrNoAttemptsLeft is returned if the request has had as many attempts as the settings allow.
	ErrNoAttemptsLeft = errors.New("no attempts are left")
	// ErrSecondStart is returned if the task may have started and must not start twice.
	ErrSecondStart = errors.New("the task may have started and must not start twice")
	// ErrDeadlinePassed is returned if the deadline of the request has passed.
	ErrDeadlinePassed = errors.New("the deadline has passed")
	// ErrWorkerDraining is returned if the worker has been draining or unlisted for the drain limit or longer.
	ErrWorkerDraining = errors.New("the worker has been draining or unlisted for longer than the drain limit")
	// ErrRepeatUnknown is returned if an earlier attempt may have started the task, and that attempt was so long
	// ago that workers no longer recognise a repeat.
	ErrRepeatUnknown = errors.New("the task may have started, and workers no longer recognise a repeat")
	// ErrMayHaveRunOnWorker is returned if an earlier attempt at the worker may have started the task.
	ErrMayHaveRunOnWorker = errors.New("an earlier attempt at the worker may have started the task")
	// ErrOutsideGroup is returned if the task may have started and the worker does not share idempotency keys
	// with the worker that may have started it.
	ErrOutsideGroup = errors.New("the task may have started at a worker of another group")
)

// offerRule returns an error if an offer of r to a worker would break the rule now, and nil
// otherwise.
type offerRule func(d *Dispatcher, r *request, worker string) error

var (
	// attemptRules apply to every further attempt, whichever worker it goes to.
	attemptRules = [...]offerRule{(*Dispatcher).checkAttemptsLeft, (*Dispatcher).checkSingleStart}
	// sendRules apply whenever an offer is sent to a worker, however long ago the scheduler placed the task there.
	sendRules = [...]offerRule{(*Dispatcher).checkDeadline, (*Dispatcher).checkDraining, (*Dispatcher).checkKeyedRepeat}
)

// checkRules returns the error of the first rule that is broken, or nil.
func (d *Dispatcher) checkRules(rules []offerRule, r *request, worker string) error {
	for _, check := range rules {
		if err := check(d, r, worker); err != nil {
			return err
		}
	}
	return nil
}

// checkAttempt returns the error of the first rule that forbids further attempts of r, whichever worker they would go
// to, or nil.
func (d *Dispatcher) checkAttempt(r *request) error { return d.checkRules(attemptRules[:], r, "") }

// checkPlacement returns the error of the first rule that forbids the scheduler's choice of a worker for r,
// or nil.
func (d *Dispatcher) checkPlacement(r *request, worker string) error {
	if r.state != statePending {
		return ErrNotPending
	}
	if r.mayHaveRunOn(worker) {
		return ErrMayHaveRunOnWorker
	}
	if err := d.checkAttempt(r); err != nil {
		return err
	}
	return d.checkRules(sendRules[:], r, worker)
}

// checkAttemptsLeft enforces the maximum number of attempts per request.
func (d *Dispatcher) checkAttemptsLeft(r *request, _ string) error {
	if limit := d.settings.MaxAttempts; limit > 0 && r.attemptCount >= limit {
		return ErrNoAttemptsLeft
	}
	return nil
}

// checkSingleStart forbids a further attempt if the task must not run twice and an earlier attempt may have
// started it.
func (d *Dispatcher) checkSingleStart(r *request, _ string) error {
	if r.effect == placement.Unsafe && r.mayHaveRun {
		return ErrSecondStart
	}
	return nil
}

// checkDeadline forbids offers at or after the deadline of the request, because its client gets the final
// response by then.
func (d *Dispatcher) checkDeadline(r *request, _ string) error {
	if d.now >= r.deadline {
		return ErrDeadlinePassed
	}
	return nil
}

// checkDraining enforces the drain limit. A worker that was removed from the list counts as draining.
func (d *Dispatcher) checkDraining(_ *request, worker string) error {
	since, draining := d.drainingSince[worker]
	if draining && d.now >= since+d.drainLimit() {
		return ErrWorkerDraining
	}
	return nil
}

// checkKeyedRepeat restricts the offers of a keyed task that may have started. They may go only to workers that
// share idempotency keys with the first worker that may have started it, and only while these workers still recognise
// a repeat.
func (d *Dispatcher) checkKeyedRepeat(r *request, worker string) error {
	if r.effect != placement.Keyed || !r.mayHaveRun {
		return nil
	}
	class, entry := &d.settings.Classes[r.classIndex], d.listFilter.entries[worker]
	// An offer is sent at the end of the turn, which may take as long as the longest recent turn.
	leavesAt := d.now + int64(d.pacer.longestTurn)
	if leavesAt >= r.firstRun.at+class.WindowUs {
		return ErrRepeatUnknown
	}
	if class.Group == placement.ScopeZone && entry.Zone != r.firstRun.zone ||
		class.Group == placement.ScopeCell && entry.Cell != r.firstRun.cell {
		return ErrOutsideGroup
	}
	return nil
}

// drainLimit returns how long a draining worker gets offers, in microseconds. This is the drain grace period
// minus a margin, which is drainMargin or, if shorter, half of the period. The margin covers the time that an
// offer may wait in this process after it has left the dispatcher.
func (d *Dispatcher) drainLimit() int64 {
	return d.settings.DrainGraceUs - min(drainMargin, d.settings.DrainGraceUs/2)
}

// place sends an offer to the worker that the scheduler chose, unless the offer breaks a rule.
func (d *Dispatcher) place(r *request, action placement.Place) {
	if err := d.checkPlacement(r, action.Worker); err != nil {
		d.blockOffer(r, action.Worker, err)
		return
	}
	d.sendOffer(r, action)
}

// blockOffer reports to the scheduler that the offer to the chosen worker was not sent. It logs an error, because
// a choice that breaks a rule is a fault of the scheduler.
func (d *Dispatcher) blockOffer(r *request, worker string, cause error) {
	d.trace("offer blocked", r, "to", worker, "cause", cause)
	d.counts.Blocked++
	d.log.Error("offer blocked by invariant", "request_id", r.RequestID, "worker", worker, "cause", cause)
	d.queueEvent(placement.AttemptEnded{
		RequestID: r.RequestID, Attempt: r.attemptCount, Worker: worker, Outcome: placement.NeverSent,
	})
	r.attemptCount++
}

// sendOffer starts an attempt at the worker that the scheduler chose.
func (d *Dispatcher) sendOffer(r *request, action placement.Place) {
	d.counts.Offers++
	d.transition(r, eventOffered)
	r.worker, r.sentAt, r.attemptNumber = action.Worker, d.now, r.attemptCount
	r.attemptCount++
	r.abandonAt = r.deadline
	if action.AbandonAtUs > 0 {
		r.abandonAt = min(r.deadline, max(action.AbandonAtUs, d.now+1))
	}
	d.arm(r, r.abandonAt)
	d.trace("offer", r, "abandon_at_us", r.abandonAt, "deadline_us", r.deadline)
	offer := Offer{
		RequestID:       r.RequestID,
		Class:           r.Class,
		Key:             r.Key,
		IdempotencyKey:  r.IdempotencyKey,
		TimeoutUs:       r.abandonAt - d.now,
		Description:     r.Description,
		AfterConnection: r.rejectedOn(r.worker),
	}
	r.priorOffers = append(r.priorOffers, priorOffer{worker: r.worker})
	d.workers.Offer(r.worker, offer)
}

// CheckOffer checks an offer again immediately before the worker pool sends it, because the offer may have waited for
// a connection to the worker. It returns ErrRequestOver if the request has left the table, or the error of the first
// rule that now forbids the offer. It returns nil if the offer may be sent.
func (d *Dispatcher) CheckOffer(now int64, worker, requestID string) error {
	d.now = now
	r := d.requests[requestID]
	if r == nil {
		return ErrRequestOver
	}
	return d.checkRules(sendRules[:], r, worker)
}
