package placement

// This file judges machines by what becomes of their attempts and tasks.

import "slices"

const (
	// memorySaturation is the share of memory in use over which machines slow down.
	memorySaturation = 0.92
	// calibrationFloor bounds how little a machine may be taken to bear.
	calibrationFloor = 0.05
	// calibrationHalfLife is in what time half of a learned bend is forgotten: troubles
	// last some ten seconds, and what holds on tells again each second.
	calibrationHalfLife = 8 * second

	// What adds to the suspicion of a machine: no answer, an error or a loss, and no
	// answer while others of the class came.
	timeoutSuspicion = 1.5
	errorSuspicion   = 0.7
	lossSuspicion    = 0.4
	// suspicionHalfLife halves suspicion; machines over ejectionThreshold get nothing, over
	// suspectThreshold one attempt at a time; maxSuspicion bounds how long one stays out.
	// successFactor is what a success leaves: a machine that loses most answers some.
	suspicionHalfLife = 6 * second
	successFactor = 0.7
	suspectThreshold  = 0.25
	reconnectedSuspicion  = 0.5 // what is left where a connection came up again
	ejectionThreshold  = 1.0
	maxSuspicion = 6.0

	// initialWindow is how many unanswered attempts a machine may owe this placer at first;
	// answers let it grow to maxWindow, 'too many offers wait' halves it.
	initialWindow = 3.0
	maxWindow  = 12.0

	// assumedDrain is how long a machine that turned a task away as not to be there, or
	// sent one away, is taken to drain though the list does not say so yet.
	assumedDrain = 5 * second

	// migrateBelow is the service below which a task may be moved, restartSeconds the
	// seconds lost by starting anew, migrationGainFactor how far gain must exceed price, as
	// hints are rough, and defaultRemainingSeconds the seconds left where there is no hint.
	migrateBelow   = 0.7
	migrateAlwaysBelow  = 0.25 // and below this also with no room elsewhere
	restartSeconds   = 1.5
	migrationGainFactor    = 2.0
	defaultRemainingSeconds = 4.0
	// migrationSeconds is over how many seconds the excess is moved: use swings, so less
	// than all of it is meant to go.
	migrationSeconds = 3.0
)

// recordOutcome feeds the health of a machine with the end of an attempt.
func (p *Scheduler) recordOutcome(t *taskInfo, a *attempt, e AttemptEnded, ran bool) {
	if a.awaitingResponse {
		if e.Outcome == TimedOut {
			a.awaitingResponse = false
			a.worker.unanswered = slices.DeleteFunc(a.worker.unanswered, func(b *attempt) bool { return a == b })
		} else {
			p.recordResponse(a, e.RTTUs)
		}
	}
	switch {
	case e.Outcome == TimedOut:
		p.recordTimeout(t.classIndex, a)
	case e.Outcome == ConnectFailed:
		a.worker.addSuspicion(p.now, timeoutSuspicion)
	case e.Outcome == Failed:
		p.recordError(t, a)
	case e.Outcome == Reset && (!ran || e.Cause == CauseUnknown):
		a.worker.addSuspicion(p.now, errorSuspicion)
	case e.Outcome == Rejected && e.Cause == CauseQueue:
		a.worker.attemptWindow = max(1, a.worker.attemptWindow/2)
		// A jammed machine refuses at once: it would use up all attempts.
		a.worker.addSuspicion(p.now, timeoutSuspicion)
	case e.Outcome == Rejected && e.Cause == CauseWrongWorker && t.mayHaveRun == nil, ran && e.Cause == CauseDrained:
		a.worker.drainingUntil = p.now + assumedDrain
	}
}

// failed takes an error. It counts against the machine, unless another machine gave
// one for the same task: then the task can't be used, no further machine is asked,
// and those that were are cleared. It guards against tasks that no machine can use,
// each of which would keep several healthy machines out. It would harm where machines
// fail so often that two errors in a row are chance.
func (p *Scheduler) recordError(t *taskInfo, a *attempt) {
	a.failed = true
	a.worker.addSuspicion(p.now, errorSuspicion)
	if !slices.ContainsFunc(t.attempts, func(b *attempt) bool { return b.failed && b.worker != a.worker }) {
		return // the next attempt goes to another machine, if there is one
	}
	t.unusable = true
	for _, b := range t.attempts {
		if b.failed {
			b.failed = false
			b.worker.addSuspicion(p.now, -errorSuspicion)
		}
	}
}

// workerReachable takes it that a machine is there after all: what failed was a connection,
// with all that lay on it, so the machine is tried again, one attempt at a time. It
// would harm where a machine takes connections and answers nothing: so it has to
// accept something before that counts again.
func (p *Scheduler) workerReachable(e WorkerReachable) {
	m := p.workers[e.Worker]
	if m == nil || m.reachableAt > 0 && slices.Max(m.lastAcceptedAt) <= m.reachableAt {
		return
	}
	m.reachableAt, p.dirty = p.now, true
	for class := range m.suspicions {
		m.suspicions[class] = suspicionScore{min(reconnectedSuspicion, m.suspicion(p.now, class)), p.now}
	}
}

// recordTimeout takes an attempt that got no answer. It counts against the machine, but
// where that answered since the attempt went out, it is there: against the class
// alone if it answered others only, and little if it answered the same, as then a
// part of the answers is lost. It could harm by trusting a machine that is about
// to go silent: the next attempt tells.
func (p *Scheduler) recordTimeout(class int, a *attempt) {
	switch {
	case a.worker.lastAcceptedAt[class] > a.sentAt:
		a.worker.addClassSuspicion(p.now, class, lossSuspicion)
	case slices.Max(a.worker.lastAcceptedAt) > a.sentAt:
		a.worker.addClassSuspicion(p.now, class, timeoutSuspicion)
	default:
		a.worker.addSuspicion(p.now, timeoutSuspicion)
	}
}

// addSuspicion adds to the suspicion of m for every class.
func (m *workerInfo) addSuspicion(now int64, by float64) {
	for class := range m.suspicions {
		m.addClassSuspicion(now, class, by)
	}
}

func (m *workerInfo) addClassSuspicion(now int64, class int, by float64) {
	m.suspicions[class] = suspicionScore{min(maxSuspicion, max(0, m.suspicion(now, class)+by)), now}
}

func (m *workerInfo) recordSuccess(now int64, class int) {
	m.lastAcceptedAt[class] = now
	m.suspicions[class] = suspicionScore{m.suspicion(now, class) * successFactor, now}
}

func (m *workerInfo) suspicion(now int64, class int) float64 {
	return decayed(m.suspicions[class].score, now-m.suspicions[class].updatedAt, suspicionHalfLife)
}

// healthy reports whether m may get a task of a class. A machine that owes an
// answer for longer than answers take gets nothing, a suspect one is tried with
// one attempt at a time, and not with one that must not run twice.
func (p *Scheduler) healthy(m *workerInfo, class int) bool {
	if len(m.unanswered) > 0 && p.meanRTT > 0 && p.now-m.unanswered[0].sentAt > p.responseTimeout() {
		return false
	}
	if m.probeSentAt > 0 && p.meanRTT > 0 && p.now-m.probeSentAt > p.responseTimeout() {
		return false
	}
	s := m.suspicion(p.now, class)
	if s < suspectThreshold {
		return true
	}
	return s < ejectionThreshold && len(m.unanswered) == 0 && p.settings.Classes[class].Effect != Unsafe
}

// calibration learns from poor service and from memory running short what a machine
// really bears: its asked share now, at a use of seen, where calm is wanted. It
// guards against slow machines, neighbours, and tasks that use more than they
// should, and lets go by itself. It would harm where one task of ours is served
// badly for a reason of its own.
func (p *Scheduler) calibrate(m *workerInfo, f *float64, r int, seen, calm float64, poor bool, sure float64) {
	if !poor || m.kindIndex < 0 || !p.settings.HasView {
		return
	}
	m.decayCalibration(p.now, calibrationHalfLife)
	c, b := p.requested(m)
	bc, bm := p.effectiveCapacity(m)
	share := [2]float64{c / bc, b / bm}[r] * *f
	want := min(1, max(calibrationFloor, share*calm/max(seen, calm)))
	*f += (want - *f) * sure
	p.trackCalibrated(m)
	p.dirty = true
}

// migrateOne moves one own task off a machine that serves poorly, if what it would
// gain elsewhere in the time it still runs is well over what a move costs. It
// guards against machines stuck far over their calm level and those that slow down,
// where filters come too late. It would harm where the whole fleet is as full: then
// nothing fits and it stays.
func (p *Scheduler) migrateOne(m *workerInfo, served float64) {
	if served > migrateBelow || m.kindIndex < 0 || p.now-m.migratedAt < second*9/10 {
		return
	}
	var best *taskInfo
	var most float64
	for _, t := range m.running {
		c := &p.settings.Classes[t.classIndex]
		rem := p.remainingSeconds(t)
		price := restartSeconds + p.settings.MigrationCost*(rem+c.StartBonusS)
		gain := (1-served)*rem - migrationGainFactor*price
		if v := gain * c.Weight * (t.Cores + t.Memory); gain > 0 && v > most {
			best, most = t, v
		}
	}
	// All placers here hear the same, so each moves its part of the excess: what cores
	// are used over the calm level or, where the machine slowed down, what is asked of
	// it over what it bears now.
	excess := p.saturationRange() * (1 - served) / (p.saturationLoad() + p.saturationRange()*(1-served))
	excess = max(excess, 1-1/max(1, p.utilization(m)))
	chance := excess * float64(len(m.running)) / migrationSeconds
	if best == nil || p.random.Float64() >= chance || served > migrateAlwaysBelow && !p.fitsElsewhere(best, m) {
		return
	}
	m.migratedAt = p.now
	p.emit(Migrate{RequestID: best.RequestID})
	m.running = slices.DeleteFunc(m.running, func(t *taskInfo) bool { return t == best })
}

// remainingSeconds is for how many seconds a task is still expected to run.
func (p *Scheduler) remainingSeconds(t *taskInfo) float64 {
	if !t.HasRunHint || t.ExpectedRunUs <= 0 {
		return defaultRemainingSeconds
	}
	return max(float64(t.ExpectedRunUs-(p.now-t.acceptedAt))/float64(second), defaultRemainingSeconds/2)
}
