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
	suspicionHalfLife    = 6 * second
	successFactor        = 0.7
	suspectThreshold     = 0.25
	reconnectedSuspicion = 0.5 // what is left where a connection came up again
	ejectionThreshold    = 1.0
	maxSuspicion         = 6.0

	// initialWindow is how many unanswered attempts a machine may owe this placer at first;
	// answers let it grow to maxWindow, 'too many offers wait' halves it.
	initialWindow = 3.0
	maxWindow     = 12.0

	// assumedDrain is how long a machine that turned a task away as not to be there, or
	// sent one away, is taken to drain though the list does not say so yet.
	assumedDrain = 5 * second

	// migrateBelow is the service below which a task may be moved, restartSeconds the
	// seconds lost by starting anew, migrationGainFactor how far gain must exceed price, as
	// hints are rough, and defaultRemainingSeconds the seconds left where there is no hint.
	migrateBelow            = 0.7
	migrateAlwaysBelow      = 0.25 // and below this also with no room elsewhere
	restartSeconds          = 1.5
	migrationGainFactor     = 2.0
	defaultRemainingSeconds = 4.0
	// migrationSeconds is over how many seconds the excess is moved: use swings, so less
	// than all of it is meant to go.
	migrationSeconds = 3.0
)

// recordOutcome feeds the health of a machine with the end of an attempt.
func (p *Scheduler) recordOutcome(task *taskInfo, attempt *attemptInfo, event AttemptEnded, wasRunning bool) {
	if attempt.awaitingResponse {
		if event.Outcome == TimedOut {
			attempt.awaitingResponse = false
			attempt.worker.unanswered = slices.DeleteFunc(attempt.worker.unanswered, func(other *attemptInfo) bool { return attempt == other })
		} else {
			p.recordResponse(attempt, event.RTTUs)
		}
	}
	switch {
	case event.Outcome == TimedOut:
		p.recordTimeout(task.classIndex, attempt)
	case event.Outcome == ConnectFailed:
		attempt.worker.addSuspicion(p.now, timeoutSuspicion)
	case event.Outcome == Failed:
		p.recordError(task, attempt)
	case event.Outcome == Reset && (!wasRunning || event.Cause == CauseUnknown):
		attempt.worker.addSuspicion(p.now, errorSuspicion)
	case event.Outcome == Rejected && event.Cause == CauseQueue:
		attempt.worker.attemptWindow = max(1, attempt.worker.attemptWindow/2)
		// A jammed machine refuses at once: it would use up all attempts.
		attempt.worker.addSuspicion(p.now, timeoutSuspicion)
	case event.Outcome == Rejected && event.Cause == CauseWrongWorker && task.mayHaveRun == nil, wasRunning && event.Cause == CauseDrained:
		attempt.worker.drainingUntil = p.now + assumedDrain
	}
}

// failed takes an error. It counts against the machine, unless another machine gave
// one for the same task: then the task can't be used, no further machine is asked,
// and those that were are cleared. It guards against tasks that no machine can use,
// each of which would keep several healthy machines out. It would harm where machines
// fail so often that two errors in a row are chance.
func (p *Scheduler) recordError(task *taskInfo, attempt *attemptInfo) {
	attempt.failed = true
	attempt.worker.addSuspicion(p.now, errorSuspicion)
	if !slices.ContainsFunc(task.attempts, func(other *attemptInfo) bool { return other.failed && other.worker != attempt.worker }) {
		return // the next attempt goes to another machine, if there is one
	}
	task.unusable = true
	for _, other := range task.attempts {
		if other.failed {
			other.failed = false
			other.worker.addSuspicion(p.now, -errorSuspicion)
		}
	}
}

// workerReachable takes it that a machine is there after all: what failed was a connection,
// with all that lay on it, so the machine is tried again, one attempt at a time. It
// would harm where a machine takes connections and answers nothing: so it has to
// accept something before that counts again.
func (p *Scheduler) workerReachable(event WorkerReachable) {
	worker := p.workers[event.Worker]
	if worker == nil || worker.reachableAt > 0 && slices.Max(worker.lastAcceptedAt) <= worker.reachableAt {
		return
	}
	worker.reachableAt, p.dirty = p.now, true
	for classIndex := range worker.suspicions {
		worker.suspicions[classIndex] = suspicionScore{min(reconnectedSuspicion, worker.suspicion(p.now, classIndex)), p.now}
	}
}

// recordTimeout takes an attempt that got no answer. It counts against the machine, but
// where that answered since the attempt went out, it is there: against the class
// alone if it answered others only, and little if it answered the same, as then a
// part of the answers is lost. It could harm by trusting a machine that is about
// to go silent: the next attempt tells.
func (p *Scheduler) recordTimeout(classIndex int, attempt *attemptInfo) {
	switch {
	case attempt.worker.lastAcceptedAt[classIndex] > attempt.sentAt:
		attempt.worker.addClassSuspicion(p.now, classIndex, lossSuspicion)
	case slices.Max(attempt.worker.lastAcceptedAt) > attempt.sentAt:
		attempt.worker.addClassSuspicion(p.now, classIndex, timeoutSuspicion)
	default:
		attempt.worker.addSuspicion(p.now, timeoutSuspicion)
	}
}

// addSuspicion adds to the suspicion of m for every class.
func (m *workerInfo) addSuspicion(now int64, by float64) {
	for classIndex := range m.suspicions {
		m.addClassSuspicion(now, classIndex, by)
	}
}

func (m *workerInfo) addClassSuspicion(now int64, classIndex int, by float64) {
	m.suspicions[classIndex] = suspicionScore{min(maxSuspicion, max(0, m.suspicion(now, classIndex)+by)), now}
}

func (m *workerInfo) recordSuccess(now int64, classIndex int) {
	m.lastAcceptedAt[classIndex] = now
	m.suspicions[classIndex] = suspicionScore{m.suspicion(now, classIndex) * successFactor, now}
}

func (m *workerInfo) suspicion(now int64, classIndex int) float64 {
	return decayed(m.suspicions[classIndex].score, now-m.suspicions[classIndex].updatedAt, suspicionHalfLife)
}

// healthy reports whether m may get a task of a class. A machine that owes an
// answer for longer than answers take gets nothing, a suspect one is tried with
// one attempt at a time, and not with one that must not run twice.
func (p *Scheduler) healthy(worker *workerInfo, classIndex int) bool {
	if len(worker.unanswered) > 0 && p.meanRTT > 0 && p.now-worker.unanswered[0].sentAt > p.responseTimeout() {
		return false
	}
	if worker.probeSentAt > 0 && p.meanRTT > 0 && p.now-worker.probeSentAt > p.responseTimeout() {
		return false
	}
	suspicion := worker.suspicion(p.now, classIndex)
	if suspicion < suspectThreshold {
		return true
	}
	return suspicion < ejectionThreshold && len(worker.unanswered) == 0 && p.settings.Classes[classIndex].Effect != Unsafe
}

// calibration learns from poor service and from memory running short what a machine
// really bears: its asked share now, at a use of seen, where calm is wanted. It
// guards against slow machines, neighbours, and tasks that use more than they
// should, and lets go by itself. It would harm where one task of ours is served
// badly for a reason of its own.
func (p *Scheduler) calibrate(worker *workerInfo, calibration *float64, resource int, measured, target float64, poor bool, confidence float64) {
	if !poor || worker.kindIndex < 0 || !p.settings.HasView {
		return
	}
	worker.decayCalibration(p.now, calibrationHalfLife)
	cores, memory := p.requested(worker)
	effectiveCores, effectiveMemory := p.effectiveCapacity(worker)
	utilization := [2]float64{cores / effectiveCores, memory / effectiveMemory}[resource] * *calibration
	wanted := min(1, max(calibrationFloor, utilization*target/max(measured, target)))
	*calibration += (wanted - *calibration) * confidence
	p.trackCalibrated(worker)
	p.dirty = true
}

// migrateOne moves one own task off a machine that serves poorly, if what it would
// gain elsewhere in the time it still runs is well over what a move costs. It
// guards against machines stuck far over their calm level and those that slow down,
// where filters come too late. It would harm where the whole fleet is as full: then
// nothing fits and it stays.
func (p *Scheduler) migrateOne(worker *workerInfo, service float64) {
	if service > migrateBelow || worker.kindIndex < 0 || p.now-worker.migratedAt < second*9/10 {
		return
	}
	var best *taskInfo
	var bestValue float64
	for _, task := range worker.running {
		class := &p.settings.Classes[task.classIndex]
		remaining := p.remainingSeconds(task)
		price := restartSeconds + p.settings.MigrationCost*(remaining+class.StartBonusS)
		gain := (1-service)*remaining - migrationGainFactor*price
		if value := gain * class.Weight * (task.Cores + task.Memory); gain > 0 && value > bestValue {
			best, bestValue = task, value
		}
	}
	// All placers here hear the same, so each moves its part of the excess: what cores
	// are used over the calm level or, where the machine slowed down, what is asked of
	// it over what it bears now.
	excess := p.saturationRange() * (1 - service) / (p.saturationLoad() + p.saturationRange()*(1-service))
	excess = max(excess, 1-1/max(1, p.utilization(worker)))
	probability := excess * float64(len(worker.running)) / migrationSeconds
	if best == nil || p.random.Float64() >= probability || service > migrateAlwaysBelow && !p.fitsElsewhere(best, worker) {
		return
	}
	worker.migratedAt = p.now
	p.emit(Migrate{RequestID: best.RequestID})
	worker.running = slices.DeleteFunc(worker.running, func(task *taskInfo) bool { return task == best })
}

// remainingSeconds is for how many seconds a task is still expected to run.
func (p *Scheduler) remainingSeconds(task *taskInfo) float64 {
	if !task.HasRunHint || task.ExpectedRunUs <= 0 {
		return defaultRemainingSeconds
	}
	return max(float64(task.ExpectedRunUs-(p.now-task.acceptedAt))/float64(second), defaultRemainingSeconds/2)
}
