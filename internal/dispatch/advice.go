package dispatch

import (
	"math"
	"slices"
	"time"

	"ravenhitch/internal/backpressure"
	"ravenhitch/placement"
)

// This file joins the table with the advice on refusals: it tells what was asked,
// started and refused, and takes what comes back to whom it concerns. It decides
// neither what to refuse nor when an owner is to come again.

// Advisor says when refused owners are to come again. Its word on a refusal never
// delays that.
type Advisor interface {
	// Requested takes a set-up and says since when its owner stands in line.
	Requested(now int64, c backpressure.Request) (since int64)
	// SetPending sets how many units of each class wait for room.
	SetPending(now int64, units []float64)
	Started(now int64, c backpressure.Request)
	Ended(now int64, c backpressure.Request)
	Adopted(now int64, c backpressure.Request)
	Cancelled(now int64, c backpressure.Request)
	// Rejected is how long the owner is to stay away.
	Rejected(now int64, c backpressure.Request) (waitUs int64)
	// ReleaseRate is at what pace room comes, in units a second, 0 where nothing tells.
	ReleaseRate(now int64) float64
	// Reserved is how many units each class is to leave to higher ranks on their way.
	Reserved(now int64) []float64
	Tick(now int64) (backpressure.Change, bool)
	Figures(now int64) backpressure.Figures
}

// BackpressureSettings are the settings of the advice that follow from those of the
// platform.
func BackpressureSettings(s placement.Settings) backpressure.Settings {
	out := backpressure.Settings{MaxRetryAfterUs: s.MaxRetryAfterUs}
	for _, c := range s.Classes {
		out.Classes = append(out.Classes, backpressure.Class{Name: c.Name, Priority: c.Weight})
	}
	return out
}

const (
	// backpressureInterval is how often the module is told of the pace of room, and backpressureStep by
	// what share that must have changed.
	backpressureInterval = 20_000
	backpressureStep     = 0.05
)

// backpressureReport is what the module was last told.
type backpressureReport struct {
	at   int64
	pace float64
	keep []float64
}

// SetAdvisor sets who advises; before the first set-up.
func (c *Dispatcher) SetAdvisor(a Advisor) { c.advisor = a }

// AdvisesRetryAfter reports whether refused owners may be told when to come again.
func (c *Dispatcher) AdvisesRetryAfter() bool { return c.settings.RetryAfter }

// BackpressureFigures is what is worth watching of crowds.
func (c *Dispatcher) BackpressureFigures() backpressure.Figures { return c.advisor.Figures(c.now) }

// caller is a request as the advisor sees it.
func (r *request) caller() backpressure.Request {
	return backpressure.Request{Key: r.keyHash, Program: r.Program, Class: r.classIndex, Units: r.units, TimeoutUs: r.TimeoutUs,
		QueuedSinceUs: r.QueuedSinceUs, Connection: r.Connection}
}

// to changes the state of a request, and keeps count of what waits for room and of what takes some.
func (c *Dispatcher) to(r *request, s state) {
	if r.state == s {
		return
	}
	if r.state == statePending {
		c.pendingUnits[r.classIndex] -= r.units
		c.pendingCount--
	}
	if s == statePending {
		c.pendingUnits[r.classIndex] += r.units
		c.pendingCount++
	}
	if c.pendingCount == 0 {
		clear(c.pendingUnits) // no rounding errors are left behind
	}
	switch held := r.state.occupiesWorker(); {
	case held && !s.occupiesWorker():
		c.tasksByWorker.remove(r)
	case !held && s.occupiesWorker():
		c.tasksByWorker.add(r)
	}
	r.state = s
}

// announce tells the advisor what will wait once the actions are carried out: what is
// refused together must not be booked behind itself.
func (c *Dispatcher) announce(actions []placement.Action) {
	c.remainingUnits = append(c.remainingUnits[:0], c.pendingUnits...)
	for _, a := range actions {
		var r *request
		switch a := a.(type) {
		case placement.Reject:
			r = c.requests[a.RequestID]
		case placement.Place:
			r = c.requests[a.RequestID]
		}
		if r != nil && r.state == statePending {
			c.remainingUnits[r.classIndex] -= r.units
		}
	}
	c.advisor.SetPending(c.now, c.remainingUnits)
}

// reportBackpressure tells the advisor what waits, and the module at what pace room comes.
func (c *Dispatcher) reportBackpressure() {
	c.advisor.SetPending(c.now, c.pendingUnits)
	if ch, ok := c.advisor.Tick(c.now); ok {
		c.log.Info("backpressure", "state", ch.To, "was", ch.From, "kind", ch.Kind, "cause", ch.Why)
	}
	if c.now-c.lastBackpressure.at < backpressureInterval {
		return
	}
	pace, keep := c.advisor.ReleaseRate(c.now), c.advisor.Reserved(c.now)
	c.lastBackpressure.at = c.now
	if isNear(pace, c.lastBackpressure.pace) && slices.EqualFunc(keep, c.lastBackpressure.keep, isNear) {
		return
	}
	c.lastBackpressure.pace, c.lastBackpressure.keep = pace, slices.Clone(keep)
	c.event(placement.Backpressure{ReleaseRate: pace, Reserved: c.lastBackpressure.keep})
}

// isNear reports whether a figure is much as it was.
func isNear(now, was float64) bool { return math.Abs(now-was) <= backpressureStep*was }

// FixedRetryAfter advises everybody alike: the advice of old, kept to measure against.
type FixedRetryAfter time.Duration

// The methods of Constant implement Advisor; it learns nothing.
func (a FixedRetryAfter) Requested(now int64, _ backpressure.Request) int64 { return now }
func (FixedRetryAfter) SetPending(int64, []float64)                         {}
func (FixedRetryAfter) Started(int64, backpressure.Request)                 {}
func (FixedRetryAfter) Adopted(int64, backpressure.Request)                 {}
func (FixedRetryAfter) Ended(int64, backpressure.Request)                   {}
func (FixedRetryAfter) Cancelled(int64, backpressure.Request)               {}
func (a FixedRetryAfter) Rejected(int64, backpressure.Request) int64 {
	return time.Duration(a).Microseconds()
}
func (FixedRetryAfter) ReleaseRate(int64) float64                    { return 0 }
func (FixedRetryAfter) Reserved(int64) []float64                     { return nil }
func (FixedRetryAfter) Tick(int64) (ch backpressure.Change, ok bool) { return ch, false }
func (FixedRetryAfter) Figures(int64) (f backpressure.Figures)       { return f }
