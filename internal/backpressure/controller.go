// Package backpressure detects retry storms and computes a Retry-After for each rejected
// request. The aim is that free capacity is available for the client when it returns. The
// package holds the waitlist of rejected clients, the estimate of the release rate, the
// calendar of reserved slots and the demand forecast.
//
// The package is pure: it does no I/O, reads no clock and starts no goroutine. The caller
// passes in the time, and random numbers are drawn from a seeded generator. The package
// never selects a worker, rejects a request or delays a response. It only reports values
// such as the Retry-After of a rejection, the time since which a client is queued, the
// release rate, the expected demand of higher priorities and the state of overload.
//
// Times are in microseconds. Capacity is measured in units; one unit is the size of a mean
// task.
package backpressure

// This file implements the Controller, which passes the events of requests to the waitlist,
// the calendar, the detector, the estimator of the release rate, the demand forecast and the
// fair share. The estimates themselves are computed in other files.

import "math/rand/v2"

const (
	second = int64(1_000_000)

	// rngStream makes the random numbers of this package independent of those that other
	// packages draw from the same seed.
	rngStream = 0x5707

	defaultMaxClients      = 32 << 10
	defaultMaxRetryAfterUs = 3 * second
)

// Class describes a request class.
type Class struct {
	Name     string
	Priority float64 // requests of classes with a higher priority go first
}

// Settings configures a Controller.
type Settings struct {
	Classes         []Class
	MaxRetryAfterUs int64 // upper bound of Retry-After; 0 selects 3 s
	MinRetryAfterUs int64 // lower bound of Retry-After, unless MaxRetryAfterUs is lower or Retry-After is random
	MaxClients      int   // size of the waitlist in clients; 0 selects 32,768, which suits a small host
}

// Request holds the properties of a request that backpressure uses.
type Request struct {
	Key, Program  uint64 // number that identifies the key of the request, and ID of the program
	Class         int    // index into Settings.Classes; a value out of range selects the last class
	Units         float64
	TimeoutUs     int64  // time for which the client waits for the response
	Connection    uint64 // ID of the connection or session that the request arrived on, 0 if unknown
	QueuedSinceUs int64  // time since which the client is queued, from a retry token or from Requested; 0 if unknown
}

// Controller is the backpressure state of one orchestrator. It is not safe for concurrent use.
type Controller struct {
	settings   Settings
	rng        *rand.Rand
	waitlist   *waitlist
	calendar   *calendar
	releases   rateEstimator
	detector   detector
	demand     demandForecast
	fairness   fairShare
	pending    []float64 // pending units, by class
	pendingSum float64   // pending units of all classes
	compliance []float64 // mean fraction of Retry-After for which clients stay away, by class
}

// New returns a Controller. Settings that are zero get their default values.
func New(s Settings, seed uint64) *Controller {
	if len(s.Classes) == 0 {
		s.Classes = []Class{{}}
	}
	if s.MaxClients <= 0 {
		s.MaxClients = defaultMaxClients
	}
	if s.MaxRetryAfterUs <= 0 {
		s.MaxRetryAfterUs = defaultMaxRetryAfterUs
	}
	classes := len(s.Classes)
	c := &Controller{
		settings:   s,
		rng:        rand.New(rand.NewPCG(seed, rngStream)),
		waitlist:   newWaitlist(s.MaxClients),
		calendar:   newCalendar(classes),
		demand:     newDemandForecast(classes),
		pending:    make([]float64, classes),
		compliance: make([]float64, classes),
	}
	for class := range c.compliance {
		c.compliance[class] = 1
	}
	return c
}

// class returns the index of a request's class in Settings.Classes.
func (c *Controller) class(r Request) int {
	if r.Class < 0 || r.Class >= len(c.settings.Classes) {
		return len(c.settings.Classes) - 1
	}
	return r.Class
}

// Requested records a request and returns the time since which its client is queued: the time
// of its first request if the waitlist or a retry token proves it, otherwise now. A rejection
// does not move a client back on the waitlist, and retrying more often does not move it
// forward.
func (c *Controller) Requested(now int64, r Request) (queuedSinceUs int64) {
	c.advance(now)
	class := c.class(r)
	c.detector.requested(now, r)
	c.demand.add(now, class, r.Units, r.Connection)
	queuedSince := now
	if r.QueuedSinceUs > 0 {
		queuedSince = min(now, r.QueuedSinceUs)
	}
	e := c.waitlist.find(r.Key)
	if e == nil {
		if queuedSince < now {
			c.detector.returned(now)
		}
		return queuedSince
	}
	c.detector.returned(now)
	if e.hasSlot() {
		c.learnCompliance(now, class, e)
		c.freeSlot(now, r.Program, e)
		e.clearSlot()
	}
	return min(queuedSince, e.queuedSince(now))
}

// SetPending sets the number of units of each class that wait for free capacity. The numbers
// must not include requests that are about to be rejected, because their units would count
// twice: as pending units and as reserved units.
func (c *Controller) SetPending(now int64, units []float64) {
	c.advance(now)
	c.pendingSum = 0
	for class := range c.pending {
		c.pending[class] = 0
		if class < len(units) {
			c.pending[class] = max(0, units[class])
		}
		c.pendingSum += c.pending[class]
	}
	c.releases.setPending(now, c.pendingSum > 0)
}

// Started records that the task of a request is running, and removes its client from the
// waitlist.
func (c *Controller) Started(now int64, r Request) {
	c.advance(now)
	c.releases.started(now, r.Units)
	c.detector.started(now)
	c.waitlist.remove(r.Key)
}

// Ended records the end, known or assumed, of a running task. The end frees the task's capacity.
func (c *Controller) Ended(now int64, r Request) {
	c.advance(now)
	c.releases.completed(now, r.Units)
}

// Adopted records an adopted task: one that a client submitted as already running on a worker.
func (c *Controller) Adopted(now int64, r Request) {
	c.advance(now)
	c.detector.adopted(now, r)
}

// Cancelled records that a client cancelled its request, and removes the client from the
// waitlist.
func (c *Controller) Cancelled(now int64, r Request) {
	c.advance(now)
	c.waitlist.remove(r.Key)
}

// ReleaseRate returns the capacity that becomes free, in units per second. It returns 0 while
// the rate is unknown. The rate is known only if requests have been pending for some time (see
// rateEstimator.known): otherwise the started tasks do not show how many more would fit.
func (c *Controller) ReleaseRate(now int64) float64 {
	if !c.releases.known(now) {
		return 0
	}
	return c.releases.rate(now)
}

// advance moves the calendar and the counts of the fair share forward to now. If the clock
// went back, no slot expires and no count decays.
func (c *Controller) advance(now int64) {
	c.calendar.advance(now)
	c.fairness.advance(now)
}

// Tick updates the state of overload from the events of the last second. It returns the
// change of state and reports whether there was one. Tick must be called at least ten times
// per second while requests arrive.
func (c *Controller) Tick(now int64) (Change, bool) {
	c.advance(now)
	return c.detector.tick(now, c.pendingSum, c.releases.rate(now))
}

// Figures holds the metrics of a Controller.
type Figures struct {
	State         State
	Kind          Kind
	ReleaseRate   float64 // last known release rate in units per second, 0 if there is none
	PendingUnits  float64 // units that wait for free capacity
	ReservedUnits float64 // units that are reserved in the slot calendar
}

// Figures returns the current metrics.
func (c *Controller) Figures(now int64) Figures {
	f := Figures{State: c.detector.state, Kind: c.detector.kind, ReleaseRate: c.releases.rate(now), PendingUnits: c.pendingSum}
	for class := range c.pending {
		f.ReservedUnits += c.calendar.total(class)
	}
	return f
}
