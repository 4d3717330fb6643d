package dispatch

// This file owns the offers and the rules between the scheduler's choice and the workers. No offer
// leaves but by sendOffer, and none that breaks a rule.

import (
	"errors"

	"ravenhitch/placement"
)

// drainMargin is how long before the drain limit offers end here.
const drainMargin = 500 * millisecond

// The rules that an offer may break. Their texts carry no package prefix, as they are only the values of
// the field "cause" of log lines, which name the offer.
var (
	// ErrNotPending: an attempt is open, or the request is over.
	ErrNotPending = errors.New("an attempt is open or the request is over")
	// ErrRequestOver: the request has left the table.
	ErrRequestOver = errors.New("the request is over")
	// ErrNoAttemptsLeft: the request had as many attempts as the settings allow.
	ErrNoAttemptsLeft = errors.New("no attempts are left")
	// ErrSecondStart: the task may have started and must not start twice.
	ErrSecondStart = errors.New("the task may have started and must not start twice")
	// ErrDeadlinePassed: the deadline of the request has passed.
	ErrDeadlinePassed = errors.New("the deadline has passed")
	// ErrWorkerDraining: the worker has been draining for longer than the drain limit.
	ErrWorkerDraining = errors.New("the worker is draining")
	// ErrRepeatUnknown: the task may have started, and workers no longer recognise a repeat.
	ErrRepeatUnknown = errors.New("the task may have started, and workers no longer recognise a repeat")
	// ErrOutsideGroup: the task may have started, and the worker does not share idempotency keys
	// with the one where it may have.
	ErrOutsideGroup = errors.New("the task may have started at a worker of another group")
)

// offerRule returns the error of a rule that an offer of r to a worker would break now, or nil.
type offerRule func(d *Dispatcher, r *request, worker string) error

var (
	// attemptRules hold for a further attempt at any worker.
	attemptRules = [...]offerRule{(*Dispatcher).checkAttemptsLeft, (*Dispatcher).checkSingleStart}
	// sendRules hold whenever an offer leaves for a worker, however long ago it was placed.
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

// checkAttempt returns what is against a further attempt of r at any worker, or nil.
func (d *Dispatcher) checkAttempt(r *request) error { return d.checkRules(attemptRules[:], r, "") }

// checkPlacement returns what is against the scheduler's choice of a worker for r, or nil.
func (d *Dispatcher) checkPlacement(r *request, worker string) error {
	if r.state != statePending {
		return ErrNotPending
	}
	if err := d.checkAttempt(r); err != nil {
		return err
	}
	return d.checkRules(sendRules[:], r, worker)
}

// checkAttemptsLeft holds the limit of the settings on attempts for each request.
func (d *Dispatcher) checkAttemptsLeft(r *request, _ string) error {
	if limit := d.settings.MaxAttempts; limit > 0 && r.attemptCount >= limit {
		return ErrNoAttemptsLeft
	}
	return nil
}

// checkSingleStart keeps a task that must not run twice from a second attempt once the first may have run.
func (d *Dispatcher) checkSingleStart(r *request, _ string) error {
	if r.effect == placement.Unsafe && r.mayHaveRun {
		return ErrSecondStart
	}
	return nil
}

// checkDeadline keeps an offer from leaving once its client is to have a response.
func (d *Dispatcher) checkDeadline(r *request, _ string) error {
	if d.now >= r.deadline {
		return ErrDeadlinePassed
	}
	return nil
}

// checkDraining holds the drain limit. A worker that was removed from the list counts as draining.
func (d *Dispatcher) checkDraining(_ *request, worker string) error {
	since, draining := d.drainingSince[worker]
	if draining && d.now >= since+d.drainLimit() {
		return ErrWorkerDraining
	}
	return nil
}

// checkKeyedRepeat lets a keyed task that may have started go only to workers that know its
// idempotency key from the first attempt.
func (d *Dispatcher) checkKeyedRepeat(r *request, worker string) error {
	if r.effect != placement.Keyed || !r.mayHaveRun {
		return nil
	}
	class, entry := &d.settings.Classes[r.classIndex], d.listFilter.entries[worker]
	leavesAt := d.now + int64(d.pacer.longestTurn) // offers leave at the end of the turn
	if leavesAt >= r.firstRun.at+class.WindowUs {
		return ErrRepeatUnknown
	}
	if class.Group == placement.ScopeZone && entry.Zone != r.firstRun.zone ||
		class.Group == placement.ScopeCell && entry.Cell != r.firstRun.cell {
		return ErrOutsideGroup
	}
	return nil
}

// drainLimit is for how long a draining worker gets offers. The margin covers what an offer may
// wait in this process once it has left here.
func (d *Dispatcher) drainLimit() int64 {
	return d.settings.DrainGraceUs - min(drainMargin, d.settings.DrainGraceUs/2)
}

// place sends an offer to the worker that the scheduler chose, unless that breaks a rule.
func (d *Dispatcher) place(r *request, action placement.Place) {
	if err := d.checkPlacement(r, action.Worker); err != nil {
		d.blockOffer(r, action.Worker, err)
		return
	}
	d.sendOffer(r, action)
}

// blockOffer reports to the scheduler that its choice was not sent. Its choice breaks an invariant: the
// scheduler is at fault.
func (d *Dispatcher) blockOffer(r *request, worker string, cause error) {
	d.trace("offer blocked", r, "to", worker, "cause", cause)
	d.counts.Blocked++
	d.log.Error("offer blocked by invariant", "request_id", r.RequestID, "worker", worker, "cause", cause)
	d.queueEvent(placement.AttemptEnded{
		RequestID: r.RequestID, Attempt: r.attemptCount, Worker: worker, Outcome: placement.NeverSent,
	})
	r.attemptCount++
}

// sendOffer starts an attempt.
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
	d.workers.Offer(action.Worker, Offer{
		RequestID:      r.RequestID,
		Class:          r.Class,
		Key:            r.Key,
		IdempotencyKey: r.IdempotencyKey,
		TimeoutUs:      r.abandonAt - d.now,
		Description:    r.Description,
	})
}

// CheckOffer returns the error of the rule against an offer that was placed before and leaves only
// now, as its connection was not up; nil where there is none.
func (d *Dispatcher) CheckOffer(now int64, worker, requestID string) error {
	d.now = now
	r := d.requests[requestID]
	if r == nil {
		return ErrRequestOver
	}
	return d.checkRules(sendRules[:], r, worker)
}
