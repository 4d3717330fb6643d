// Package backpressure detects retry storms and computes for each rejected client when
// to come again, so that there is free capacity for it when it does. It owns what is remembered
// of rejected clients, the estimate of the release rate, the calendar of reserved slots
// and the forecast of demand. It is pure: no I/O, no clock, no goroutine; the time is
// passed in, and random numbers come from a seed. It must never choose a worker, reject a
// request or delay a response: it only states the Retry-After of a rejection, since when
// a client is queued, and the release rate.
//
// Times are in microseconds. Capacity is counted in units: the size of a mean task.
package backpressure

// This file owns the Controller, which joins the parts: it takes the events of requests
// and hands them to the parts that learn from them. It must never estimate anything itself.

import "math/rand/v2"

const (
	second = int64(1_000_000)

	// rngStream keeps the random numbers of this package apart from others of one seed.
	rngStream = 0x5707

	defaultMaxClients      = 32 << 10
	defaultMaxRetryAfterUs = 3 * second
)

// Class describes a request class.
type Class struct {
	Name     string
	Priority float64 // higher goes first
}

// Settings configure a Controller.
type Settings struct {
	Classes         []Class
	MaxRetryAfterUs int64 // upper bound of Retry-After; 0 for a default
	MinRetryAfterUs int64 // lower bound of Retry-After
	MaxClients      int   // clients remembered at most; 0 for a default that fits a small host
}

// Request is a request as far as backpressure needs to know it.
type Request struct {
	Key, Program  uint64
	Class         int // index into Settings.Classes; any other counts as the last class
	Units         float64
	TimeoutUs     int64  // how long the client waits for the response
	Connection    uint64 // the connection or session that it came by, 0 if unknown
	QueuedSinceUs int64  // since when it is queued, proved by a retry token; 0 without one
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
	pending    []float64 // units, by class
	pendingSum float64   // units
	compliance []float64 // the share of Retry-After that clients stay away, by class
}

// New returns a Controller. Zero settings get their defaults.
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

// class returns the index of a request's class.
func (c *Controller) class(r Request) int {
	if r.Class < 0 || r.Class >= len(c.settings.Classes) {
		return len(c.settings.Classes) - 1
	}
	return r.Class
}

// Requested takes a request and returns since when its client is queued: from now on, or
// from its first request. A client loses no place by being rejected, and wins none by
// retrying more often.
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

// SetPending sets how many units of each class wait for free capacity. Requests that are
// rejected next must not be among them.
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

// Started takes a request whose task is running: its place on the waitlist is used.
func (c *Controller) Started(now int64, r Request) {
	c.advance(now)
	c.releases.started(now, r.Units)
	c.detector.started(now)
	c.waitlist.remove(r.Key)
}

// Ended takes the completion of a running task: its capacity is free again.
func (c *Controller) Ended(now int64, r Request) {
	c.advance(now)
	c.releases.completed(now, r.Units)
}

// Adopted takes a task that was registered as already running.
func (c *Controller) Adopted(now int64, r Request) {
	c.advance(now)
	c.detector.adopted(now, r)
}

// Cancelled takes a request that its client cancelled.
func (c *Controller) Cancelled(now int64, r Request) {
	c.advance(now)
	c.waitlist.remove(r.Key)
}

// ReleaseRate returns the units of capacity that become free in a second, or 0 while that
// is unknown: without pending requests, starts do not show how much more would fit.
func (c *Controller) ReleaseRate(now int64) float64 {
	if !c.releases.known(now) {
		return 0
	}
	return c.releases.rate(now)
}

// advance moves the parts on to now. A clock that went back moves nothing.
func (c *Controller) advance(now int64) {
	c.calendar.advance(now)
	c.fairness.advance(now)
}

// Tick evaluates what came since the last tick, and returns the change of state if there
// was one. Call it at least ten times a second while requests come.
func (c *Controller) Tick(now int64) (Change, bool) {
	c.advance(now)
	return c.detector.tick(now, c.pendingSum, c.releases.rate(now))
}

// Figures are the exported figures of a Controller.
type Figures struct {
	State       State
	Kind        Kind
	ReleaseRate float64 // release rate: units a second
	Pending     float64 // units that wait for free capacity
	InSlots     float64 // units that have reserved slots
}

// Figures returns the present figures.
func (c *Controller) Figures(now int64) Figures {
	f := Figures{State: c.detector.state, Kind: c.detector.kind, ReleaseRate: c.releases.rate(now), Pending: c.pendingSum}
	for class := range c.pending {
		f.InSlots += c.calendar.total(class)
	}
	return f
}
