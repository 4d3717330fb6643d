package dispatch

// This file connects the request table with backpressure: it defines the interface of the advisor, tells the
// advisor the total size of the pending requests, and passes the advisor's release rate and reserved units on
// to the scheduler. It decides neither which requests are rejected nor when a client retries.

import (
	"math"
	"slices"

	"ravenhitch/internal/backpressure"
	"ravenhitch/placement"
)

// Advisor computes the Retry-After of rejected clients. It never delays a rejection. Times are in
// microseconds.
type Advisor interface {
	// Requested records a request and returns the time since which its client has been waiting: the time of its
	// first request if the waitlist or a retry token proves it, otherwise now.
	Requested(now int64, request backpressure.Request) (since int64)
	// SetPending sets the total size of the pending requests of each class, in units (see placement.Settings.Units).
	SetPending(now int64, units []float64)
	Started(now int64, request backpressure.Request)
	Ended(now int64, request backpressure.Request)
	Adopted(now int64, request backpressure.Request)
	Cancelled(now int64, request backpressure.Request)
	// Rejected records a rejection and returns how long the client has to wait before it retries.
	Rejected(now int64, request backpressure.Request) (waitUs int64)
	// ReleaseRate returns the rate at which capacity becomes free, in units per second, or 0 if it is
	// unknown.
	ReleaseRate(now int64) float64
	// HigherPriorityDemand returns the units that each class must leave free for expected requests of higher
	// priority.
	HigherPriorityDemand(now int64) []float64
	Tick(now int64) (backpressure.Change, bool)
	Figures(now int64) backpressure.Figures
}

// BackpressureSettings derives the backpressure settings from those of the scheduler.
func BackpressureSettings(settings placement.Settings) backpressure.Settings {
	out := backpressure.Settings{MaxRetryAfterUs: settings.MaxRetryAfterUs}
	for _, class := range settings.Classes {
		out.Classes = append(out.Classes, backpressure.Class{Name: class.Name, Priority: class.Weight})
	}
	return out
}

const (
	// backpressureInterval is the minimum time between two checks of the release rate and the reserved units for
	// changes. A change is reported to the scheduler.
	backpressureInterval = 20 * millisecond
	// minBackpressureChange is the relative change up to which a value counts as unchanged. The release rate and
	// the reserved units are reported again when at least one of them has changed.
	minBackpressureChange = 0.05
)

// backpressureReport holds the values that were last reported to the scheduler, and the time of the last check for
// changes of these values.
type backpressureReport struct {
	at          int64
	releaseRate float64
	reserved    []float64
}

// SetAdvisor replaces the advisor that New created. It must not be called after the first submission.
func (d *Dispatcher) SetAdvisor(advisor Advisor) { d.advisor = advisor }

// AdvisesRetryAfter reports whether rejected clients get a Retry-After.
func (d *Dispatcher) AdvisesRetryAfter() bool { return d.settings.RetryAfter }

// BackpressureFigures returns the backpressure figures that operators monitor.
func (d *Dispatcher) BackpressureFigures() backpressure.Figures { return d.advisor.Figures(d.now) }

// countPending updates the number and the units of pending requests when a request moves to a state.
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
		clear(d.pendingUnits) // removes accumulated rounding errors
	}
}

// announcePending reports the pending units to the advisor before the actions are carried out. Requests that the
// actions place or reject do not count as pending. The advisor reserves capacity for each rejected request, so a
// request that is both rejected and pending would be counted twice. The double count would delay the retries of
// the requests that are rejected together with it.
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

// reportBackpressure reports the pending units to the advisor and logs a change of the advisor's state of overload.
// At most once per backpressureInterval, it also reports the release rate and the reserved units to the scheduler if
// they have changed.
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

// isNear reports whether the relative change of a value since the last report is at most
// minBackpressureChange.
func isNear(now, was float64) bool { return math.Abs(now-was) <= minBackpressureChange*was }
