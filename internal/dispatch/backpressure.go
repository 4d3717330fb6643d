package dispatch

// This file joins the table with the backpressure: it reports to the advisor what was requested, started
// and rejected, and passes on to the scheduler what follows. It decides neither what to reject nor
// when a client is to come again.

import (
	"math"
	"slices"

	"ravenhitch/internal/backpressure"
	"ravenhitch/placement"
)

// Advisor says when rejected clients are to come again. Its advice never delays a rejection.
// Times are in microseconds.
type Advisor interface {
	// Requested takes a request and says since when its client is on the waitlist.
	Requested(now int64, request backpressure.Request) (since int64)
	// SetPending sets how many units of each class are pending.
	SetPending(now int64, units []float64)
	Started(now int64, request backpressure.Request)
	Ended(now int64, request backpressure.Request)
	Adopted(now int64, request backpressure.Request)
	Cancelled(now int64, request backpressure.Request)
	// Rejected is how long the client is to stay away.
	Rejected(now int64, request backpressure.Request) (waitUs int64)
	// ReleaseRate is how much capacity becomes free, in units a second, 0 where unknown.
	ReleaseRate(now int64) float64
	// HigherPriorityDemand is how many units each class is to leave to expected requests of higher priority.
	HigherPriorityDemand(now int64) []float64
	Tick(now int64) (backpressure.Change, bool)
	Figures(now int64) backpressure.Figures
}

// BackpressureSettings are the settings of the backpressure that follow from those of the
// scheduler.
func BackpressureSettings(settings placement.Settings) backpressure.Settings {
	out := backpressure.Settings{MaxRetryAfterUs: settings.MaxRetryAfterUs}
	for _, class := range settings.Classes {
		out.Classes = append(out.Classes, backpressure.Class{Name: class.Name, Priority: class.Weight})
	}
	return out
}

const (
	// backpressureInterval is how often the scheduler is notified of the release rate, and
	// minBackpressureChange by what share that must have changed.
	backpressureInterval  = 20 * millisecond
	minBackpressureChange = 0.05
)

// backpressureReport is what was last reported to the scheduler.
type backpressureReport struct {
	at          int64
	releaseRate float64
	reserved    []float64
}

// SetAdvisor sets who advises; before the first submission.
func (d *Dispatcher) SetAdvisor(advisor Advisor) { d.advisor = advisor }

// AdvisesRetryAfter reports whether rejected clients get a Retry-After.
func (d *Dispatcher) AdvisesRetryAfter() bool { return d.settings.RetryAfter }

// BackpressureFigures are the figures of the backpressure that operators watch.
func (d *Dispatcher) BackpressureFigures() backpressure.Figures { return d.advisor.Figures(d.now) }

// countPending keeps count of what is pending as a request moves to a state.
func (d *Dispatcher) countPending(r *request, to state) {
	if r.state == statePending {
		d.pendingUnits[r.classIndex] -= r.units
		d.pendingCount--
	}
	if to == statePending {
		d.pendingUnits[r.classIndex] += r.units
		d.pendingCount++
	}
	if d.pendingCount == 0 {
		clear(d.pendingUnits) // no rounding errors are left behind
	}
}

// announcePending reports to the advisor what will be pending once the actions are carried out: requests
// that are rejected together must not get slots behind one another.
func (d *Dispatcher) announcePending(actions []placement.Action) {
	d.remainingUnits = append(d.remainingUnits[:0], d.pendingUnits...)
	for _, action := range actions {
		var r *request
		switch action := action.(type) {
		case placement.Reject:
			r = d.requests[action.RequestID]
		case placement.Place:
			r = d.requests[action.RequestID]
		}
		if r != nil && r.state == statePending {
			d.remainingUnits[r.classIndex] -= r.units
		}
	}
	d.advisor.SetPending(d.now, d.remainingUnits)
}

// reportBackpressure reports to the advisor what is pending, and to the scheduler how fast capacity becomes free.
func (d *Dispatcher) reportBackpressure() {
	d.advisor.SetPending(d.now, d.pendingUnits)
	if change, ok := d.advisor.Tick(d.now); ok {
		d.log.Info("backpressure", "state", change.To, "was", change.From, "kind", change.Kind, "cause", change.Cause)
	}
	last := &d.lastBackpressure
	if d.now-last.at < backpressureInterval {
		return
	}
	releaseRate, reserved := d.advisor.ReleaseRate(d.now), d.advisor.HigherPriorityDemand(d.now)
	last.at = d.now
	if isNear(releaseRate, last.releaseRate) && slices.EqualFunc(reserved, last.reserved, isNear) {
		return
	}
	last.releaseRate, last.reserved = releaseRate, slices.Clone(reserved)
	d.queueEvent(placement.Backpressure{ReleaseRate: releaseRate, Reserved: last.reserved})
}

// isNear reports whether a figure is much as it was.
func isNear(now, was float64) bool { return math.Abs(now-was) <= minBackpressureChange*was }
