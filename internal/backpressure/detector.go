package backpressure

// This file implements the detection of retry storms. The detector determines whether
// requests arrive faster than the baseline rate, whether there is capacity for them, and
// the kind of surge. It only observes and must never change a Retry-After.

import "fmt"

// State is the state of overload of an orchestrator.
type State int

// The states of overload.
const (
	Calm       State = iota
	Rising           // requests arrive much faster than the baseline rate
	Overloaded       // more requests arrive than there is free capacity for
	Settling         // the overload has ended, but the state is not Calm yet (see calmAfterUs)
)

// String returns the name of the state in logs and in the documentation for operators.
func (s State) String() string { return [...]string{"calm", "rising", "storm", "settling"}[s] }

// Kind classifies a surge of requests by what causes it.
type Kind int

// The kinds of surge.
const (
	NoSurge   Kind = iota
	Burst          // new requests
	Retries        // requests of rejected clients that return
	Reconnect      // clients that reconnect together: many adopted tasks, or most arrivals from a few programs
	Restart        // many adopted tasks shortly after the orchestrator started
)

// String returns the name of the kind in logs and in the documentation for operators.
func (k Kind) String() string {
	return [...]string{"none", "burst", "retries", "reconnect", "restart"}[k]
}

// Change describes a change of the state of overload.
type Change struct {
	From, To State
	Kind     Kind
	Cause    string // observed values that led to the change, for the log
}

const (
	// evaluationIntervalUs is the minimum time between two evaluations of the detector, in
	// microseconds.
	evaluationIntervalUs = second / 10
	// baselineTimeConstantUs is the maximum time constant with which the baseline rate
	// follows the rate of new requests. During the first baselineTimeConstantUs after the
	// first tick, the time constant is shorter: the time since the first tick, but at least
	// one second.
	baselineTimeConstantUs = 30 * second
	// surgeFactor is the multiple of the baseline rate that arrivals must exceed to be a
	// surge.
	surgeFactor = 2.0
	// minSurgeExcess is the number of requests per second by which arrivals must also
	// exceed the baseline rate to be a surge.
	minSurgeExcess = 8.0
	// settledFactor is a multiple of the baseline rate. A surge can have ended once arrivals are at most this
	// multiple, or exceed the baseline rate by at most half of minSurgeExcess.
	settledFactor = 1.3
	// calmAfterUs is the time for which observation.elevated must have stayed unset before
	// the state changes from Rising or Settling to Calm. Overloaded never changes directly
	// to Calm.
	calmAfterUs = 2 * second
	// maxProgramDecay is the maximum fraction by which one evaluation reduces the program
	// counts.
	maxProgramDecay = 0.9

	// Thresholds for the kinds of surge, as fractions of all arrivals. The comment at each
	// threshold names the kinds and then the arrivals that must exceed the threshold.
	retriesShare     = 0.3 // Retries: requests of returned clients
	topProgramsShare = 0.6 // Reconnect: requests and adopted tasks of the topPrograms most frequent programs
	adoptedShare     = 0.4 // Restart and Reconnect: adopted tasks
	// restartWithinUs is the time after the detector's first tick during which a surge of
	// adopted tasks is classified as Restart.
	restartWithinUs = 10 * second
)

// detector detects surges of requests. The zero value is ready for use.
type detector struct {
	requests, returns, rejections, adoptions, starts eventWindow

	programs       frequentPrograms
	baseline       float64 // usual rate of new requests per second
	firstTickAt    int64   // time of the first tick
	lastTickAt     int64   // time of the last evaluation; firstTickAt before the first one, 0 before the first tick
	lastElevatedAt int64   // time of the last evaluation that set observation.elevated
	state          State
	kind           Kind
}

// observation holds the input of one evaluation by the detector.
type observation struct {
	requests, returned, adopted, rejected, started float64 // number of events in the last second

	arrivals    float64 // number of requests and adopted tasks in the last second
	pending     float64 // pending units
	releaseRate float64 // units per second
	congested   bool    // more units are pending than are released in a second; false if releaseRate is 0
	surge       bool    // arrivals are above the surge threshold
	elevated    bool    // arrivals are too high for a surge to have ended, or congested is set
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

// surgeThreshold returns the number of arrivals per second above which there is a surge.
func (d *detector) surgeThreshold() float64 {
	return max(d.baseline*surgeFactor, d.baseline+minSurgeExcess)
}

// tick evaluates the events of the last second, at most once per evaluationIntervalUs. It
// returns the change of state and reports whether there was one.
func (d *detector) tick(now int64, pending, releaseRate float64) (Change, bool) {
	if d.lastTickAt == 0 {
		d.firstTickAt, d.lastTickAt = now, now
		return Change{}, false
	}
	elapsed := now - d.lastTickAt
	if elapsed < evaluationIntervalUs {
		return Change{}, false
	}
	d.lastTickAt = now
	obs := d.observe(now, elapsed, pending, releaseRate)
	if obs.elevated {
		d.lastElevatedAt = now
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

// observe returns an observation of the last second. It also updates the baseline rate and
// reduces the program counts.
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
	d.updateBaseline(now, elapsed, obs.requests-obs.returned)
	d.programs.decay(1 - min(maxProgramDecay, float64(elapsed)/float64(second)))
	obs.congested = pending > 0 && releaseRate > 0 && pending/releaseRate > 1
	obs.surge = obs.arrivals > d.surgeThreshold()
	obs.elevated = obs.arrivals > max(d.baseline*settledFactor, d.baseline+minSurgeExcess/2) || obs.congested
	return obs
}

// updateBaseline moves the baseline rate towards newRequests, the number of new requests in
// the last second.
func (d *detector) updateBaseline(now, elapsed int64, newRequests float64) {
	if d.state != Calm {
		// Requests above the surge threshold do not count, so that a surge raises the
		// baseline only slowly. A rate that persists still becomes the baseline: otherwise
		// an orchestrator that starts during a surge would have no baseline to return to.
		newRequests = min(newRequests, d.surgeThreshold())
	}
	period := min(baselineTimeConstantUs, max(second, now-d.firstTickAt))
	d.baseline += (newRequests - d.baseline) * min(1, float64(elapsed)/float64(period))
}

// nextState returns the state of overload after an observation.
func (d *detector) nextState(now int64, obs *observation) State {
	settled := now-d.lastElevatedAt >= calmAfterUs
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
		case obs.congested || obs.rejected > d.baseline:
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

// classify returns the kind of the current surge.
func (d *detector) classify(obs *observation) Kind {
	manyAdopted := obs.arrivals > 0 && obs.adopted/obs.arrivals > adoptedShare
	switch {
	case manyAdopted && d.lastTickAt-d.firstTickAt < restartWithinUs:
		return Restart
	case obs.arrivals > 0 && obs.returned/obs.arrivals > retriesShare:
		return Retries
	case d.programs.topShare() > topProgramsShare, manyAdopted:
		return Reconnect
	}
	return Burst
}

// explain returns the text of Change.Cause.
func (d *detector) explain(obs *observation) string {
	return fmt.Sprintf(
		"%.0f requests in the last second, baseline rate %.1f per second; "+
			"%.0f clients returned, %.0f tasks adopted, %.0f requests rejected, %.0f tasks started; "+
			"%.1f units pending, release rate %.1f per second; the top %d programs have %.0f%% of arrivals",
		obs.requests, d.baseline, obs.returned, obs.adopted, obs.rejected, obs.started,
		obs.pending, obs.releaseRate, topPrograms, 100*d.programs.topShare())
}
