package backpressure

// This file owns the detection of retry storms: whether more requests arrive than usual,
// whether there is capacity for them, and what kind of surge that makes. It must never
// change a Retry-After: it only observes.

import "fmt"

// State is a state of overload.
type State int

// The states of overload.
const (
	Calm       State = iota
	Rising           // more requests arrive than usual
	Overloaded       // more than there is free capacity for
	Settling         // arrivals are as usual again, for a short time
)

// String returns the state as the log and the operators' pages name it.
func (s State) String() string { return [...]string{"calm", "rising", "storm", "settling"}[s] }

// Kind is what a surge of requests is made of.
type Kind int

// The kinds of surge.
const (
	NoSurge   Kind = iota
	Burst          // new demand
	Retries        // rejected clients that come back
	Reconnect      // tasks of a few programs come back together
	Restart        // tasks are registered as running after a start
)

// String returns the kind as the log and the operators' pages name it.
func (k Kind) String() string {
	return [...]string{"none", "burst", "retries", "reconnect", "restart"}[k]
}

// Change is a change of state, and its cause.
type Change struct {
	From, To State
	Kind     Kind
	Cause    string // the figures that led to it
}

const (
	// evaluationIntervalUs is the shortest time between two evaluations.
	evaluationIntervalUs = second / 10
	// usualTimeConstantUs is the time constant by which the usual rate follows arrivals.
	usualTimeConstantUs = 30 * second
	// surgeFactor is the multiple of the usual rate that is a surge, if it also is
	// minSurgeExcess (requests a second) above it.
	surgeFactor    = 2.0
	minSurgeExcess = 8.0
	// settledFactor is the multiple of the usual rate below which a surge is over.
	settledFactor = 1.3
	// calmAfterUs is for how long it must be over.
	calmAfterUs = 2 * second
	// maxProgramDecay bounds the share of program counts that is forgotten at once.
	maxProgramDecay = 0.9

	// The shares of all requests by which the kinds of surge differ.
	retriesShare     = 0.3 // returned clients
	topProgramsShare = 0.6 // requests of the topPrograms most frequent programs
	adoptedShare     = 0.4 // adopted tasks
	// restartWithinUs is for how long after a start adopted tasks make a restart.
	restartWithinUs = 10 * second
)

// detector detects surges of requests. The zero value is ready for use.
type detector struct {
	requests, returns, rejections, adoptions, starts eventWindow

	programs   frequentPrograms
	usual      float64 // requests a second
	startedAt  int64   // the first tick
	tickedAt   int64   // the last tick, 0 before the first
	elevatedAt int64   // the last tick at which arrivals were elevated
	state      State
	kind       Kind
}

// observation is what the detector evaluates at one tick.
type observation struct {
	requests, returned, adopted, rejected, started float64 // in the last second

	arrivals    float64 // requests and adopted tasks in the last second
	pending     float64 // units
	releaseRate float64 // units a second
	congested   bool    // more is pending than is released in a second
	surge       bool    // arrivals are above the rate of a surge
	elevated    bool    // arrivals are above the usual, or congested
}

func (d *detector) requested(now int64, r Request) {
	d.requests.add(now)
	d.programs.add(r.Program)
}

func (d *detector) returned(now int64) { d.returns.add(now) }
func (d *detector) rejected(now int64) { d.rejections.add(now) }
func (d *detector) started(now int64)  { d.starts.add(now) }

func (d *detector) adopted(now int64, r Request) {
	d.adoptions.add(now)
	d.programs.add(r.Program)
}

// surgeThreshold returns the rate of requests a second from which on it is a surge.
func (d *detector) surgeThreshold() float64 { return max(d.usual*surgeFactor, d.usual+minSurgeExcess) }

// tick evaluates the last second, at most ten times in it, and returns a change of state if there was one.
func (d *detector) tick(now int64, pending, releaseRate float64) (Change, bool) {
	if d.tickedAt == 0 {
		d.startedAt, d.tickedAt = now, now
		return Change{}, false
	}
	elapsed := now - d.tickedAt
	if elapsed < evaluationIntervalUs {
		return Change{}, false
	}
	d.tickedAt = now
	obs := d.observe(now, elapsed, pending, releaseRate)
	if obs.elevated {
		d.elevatedAt = now
	}
	from, to := d.state, d.nextState(now, &obs)
	if to == from {
		return Change{}, false
	}
	d.state = to
	switch {
	case to == Calm:
		d.kind = NoSurge
	case d.kind == NoSurge || to == Overloaded:
		d.kind = d.classify(&obs)
	}
	return Change{From: from, To: to, Kind: d.kind, Cause: d.explain(&obs)}, true
}

// observe reads the counters, and learns the usual rate from them.
func (d *detector) observe(now, elapsed int64, pending, releaseRate float64) observation {
	for _, w := range []*eventWindow{&d.requests, &d.returns, &d.rejections, &d.adoptions, &d.starts} {
		w.advance(now)
	}
	obs := observation{
		requests:    float64(d.requests.sum),
		returned:    float64(d.returns.sum),
		adopted:     float64(d.adoptions.sum),
		rejected:    float64(d.rejections.sum),
		started:     float64(d.starts.sum),
		pending:     pending,
		releaseRate: releaseRate,
	}
	obs.arrivals = obs.requests + obs.adopted
	d.learnUsual(now, elapsed, obs.requests-obs.returned)
	d.programs.decay(1 - min(maxProgramDecay, float64(elapsed)/float64(second)))
	obs.congested = pending > 0 && releaseRate > 0 && pending/releaseRate > 1
	obs.surge = obs.arrivals > d.surgeThreshold()
	obs.elevated = obs.arrivals > max(d.usual*settledFactor, d.usual+minSurgeExcess/2) || obs.congested
	return obs
}

// learnUsual moves the usual rate towards the rate of new requests a second.
func (d *detector) learnUsual(now, elapsed int64, newRequests float64) {
	if d.state != Calm {
		// A surge is not the usual, but what lasts becomes it: else a start amid a surge
		// would have no usual rate to settle to.
		newRequests = min(newRequests, d.surgeThreshold())
	}
	period := min(usualTimeConstantUs, max(second, now-d.startedAt))
	d.usual += (newRequests - d.usual) * min(1, float64(elapsed)/float64(period))
}

// nextState returns the state that follows from an observation.
func (d *detector) nextState(now int64, obs *observation) State {
	settled := now-d.elevatedAt >= calmAfterUs
	switch d.state {
	case Calm:
		switch {
		case obs.congested && (obs.surge || obs.rejected > 0):
			return Overloaded
		case obs.surge:
			return Rising
		}
	case Rising:
		switch {
		case obs.congested || obs.rejected > d.usual:
			return Overloaded
		case !obs.elevated && settled:
			return Calm
		}
	case Overloaded:
		if !obs.elevated {
			return Settling
		}
	case Settling:
		switch {
		case obs.congested || obs.surge:
			return Overloaded
		case settled:
			return Calm
		}
	}
	return d.state
}

// classify returns the kind of the present surge.
func (d *detector) classify(obs *observation) Kind {
	adoptedMuch := obs.arrivals > 0 && obs.adopted/obs.arrivals > adoptedShare
	switch {
	case adoptedMuch && d.tickedAt-d.startedAt < restartWithinUs:
		return Restart
	case obs.arrivals > 0 && obs.returned/obs.arrivals > retriesShare:
		return Retries
	case d.programs.topShare() > topProgramsShare, adoptedMuch:
		return Reconnect
	}
	return Burst
}

// explain returns the cause of a change as it is logged.
func (d *detector) explain(obs *observation) string {
	return fmt.Sprintf(
		"%.0f set-ups in the last second, %.1f usual; "+
			"%.0f came again, %.0f were handed in as running, %.0f refused, %.0f started; "+
			"%.1f units wait at %.1f a second; the first %d services have %.0f%%",
		obs.requests, d.usual, obs.returned, obs.adopted, obs.rejected, obs.started,
		obs.pending, obs.releaseRate, topPrograms, 100*d.programs.topShare())
}
