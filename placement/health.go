package placement

import (
	"math"
	"slices"
)

// This file owns outlier detection: what becomes of attempts says how far a worker is to be
// trusted. It must never reject a task.

const (
	// What adds to the suspicion of a worker: no answer, an error or a loss, and no answer
	// while others of the class came.
	timeoutSuspicion = 1.5
	errorSuspicion   = 0.7
	lossSuspicion    = 0.4
	// A worker gets nothing from ejectionThreshold on, and one attempt at a time from
	// suspectThreshold on.
	ejectionThreshold = 1.0
	suspectThreshold  = 0.25
	// reconnectedSuspicion is what is left of a suspicion where a connection came up again.
	reconnectedSuspicion = 0.5

	// maxAttemptWindow bounds how many unanswered attempts a worker may have: accepted ones raise the
	// window, 'too many offers wait' halves it.
	maxAttemptWindow = 12.0
	// assumedDrain is how long a worker that rejected a task as not to be there, or sent one
	// away, is taken to drain though the list does not say so yet.
	assumedDrain = 5 * second

	// rttWeight is the weight of one answer in the mean time that answers take.
	rttWeight = 1.0 / 16
	// rttDeviations is how many mean deviations over the mean an answer takes at the longest;
	// startDeviations where an answer means that the task runs.
	rttDeviations       = 4
	startDeviations     = 8
	minResponseTimeout  = 125 * millisecond
	minStartedTimeout   = second
	initialRTTDeviation = 2 // part of the first answer's time
)

// health detects outliers among workers.
type health struct {
	*environment
	meanRTT, rttDeviation float64 // of answers, in microseconds, as TCP keeps them
}

// recordRTT takes the time that the answer to an attempt took.
func (h *health) recordRTT(attempt *attemptInfo, rtt int64) {
	attempt.stopWaiting()
	deviation := float64(rtt) - h.meanRTT
	if h.meanRTT == 0 {
		h.meanRTT, h.rttDeviation = float64(rtt), float64(rtt)/initialRTTDeviation
		return
	}
	h.meanRTT += deviation * rttWeight
	h.rttDeviation += (math.Abs(deviation) - h.rttDeviation) * rttWeight
}

// rttKnown reports whether any answer came yet.
func (h *health) rttKnown() bool { return h.meanRTT != 0 }

// responseTimeout is how long an answer takes at the longest, by those seen. Where an answer
// means that the task runs, starts that queue are no sign of an unresponsive worker.
func (h *health) responseTimeout() int64 {
	if h.settings.AcceptMeansRunning {
		return max(int64(h.meanRTT+startDeviations*h.rttDeviation), minStartedTimeout)
	}
	return max(int64(h.meanRTT+rttDeviations*h.rttDeviation), minResponseTimeout)
}

// healthy reports whether a worker may get a task of a class. A worker that owes an answer for
// longer than answers take gets nothing, a suspect one is tried with one attempt at a time, and
// not with one that must not run twice.
func (h *health) healthy(worker *workerInfo, classIndex int) bool {
	if len(worker.unanswered) > 0 && h.overdue(worker.unanswered[0].sentAt) {
		return false
	}
	if worker.probeSentAt > 0 && h.overdue(worker.probeSentAt) {
		return false
	}
	suspicion := worker.suspicion(h.now, classIndex)
	if suspicion < suspectThreshold {
		return true
	}
	return suspicion < ejectionThreshold && len(worker.unanswered) == 0 &&
		h.settings.Classes[classIndex].Effect != Unsafe
}

// overdue reports whether an answer takes longer than answers take.
func (h *health) overdue(sentAt int64) bool {
	return h.meanRTT > 0 && h.now-sentAt > h.responseTimeout()
}

// ejected reports whether a worker gets no task of any class.
func (h *health) ejected(worker *workerInfo) bool {
	for classIndex := range h.settings.Classes {
		if worker.suspicion(h.now, classIndex) < ejectionThreshold {
			return false
		}
	}
	return true
}

// recordAccepted takes an accepted attempt of a class.
func (h *health) recordAccepted(worker *workerInfo, classIndex int) {
	worker.unreachable = false
	worker.recordSuccess(h.now, classIndex)
	worker.attemptWindow = min(maxAttemptWindow, worker.attemptWindow+1/worker.attemptWindow)
}

// recordOutcome takes the end of an attempt, or of a task that was running.
func (h *health) recordOutcome(task *taskInfo, attempt *attemptInfo, event AttemptEnded, wasRunning bool) {
	worker := attempt.worker
	if attempt.awaitingResponse {
		if event.Outcome == TimedOut {
			attempt.stopWaiting()
		} else {
			h.recordRTT(attempt, event.RTTUs)
		}
	}
	switch {
	case event.Outcome == TimedOut:
		h.recordTimeout(task.classIndex, attempt)
	case event.Outcome == ConnectFailed:
		worker.addSuspicion(h.now, timeoutSuspicion)
	case event.Outcome == Failed:
		h.recordError(task, attempt)
	case event.Outcome == Reset && (event.Cause == CauseUnknown || !wasRunning && !event.Cause.EndsTask()):
		worker.addSuspicion(h.now, errorSuspicion)
	case event.Outcome == Rejected && event.Cause == CauseQueue:
		worker.attemptWindow = max(1, worker.attemptWindow/2)
		// A jammed worker rejects at once: it would use up all attempts.
		worker.addSuspicion(h.now, timeoutSuspicion)
	case event.Outcome == Rejected && event.Cause == CauseWrongWorker && task.mayHaveRun == nil,
		event.Cause == CauseDrained:
		worker.drainingUntil = h.now + assumedDrain
	}
}

// recordTimeout takes an attempt that got no answer. It counts against the worker, but where
// that accepted another since the attempt was sent, it is there: against the class alone if it
// accepted other classes only, and little if it accepted the same, as then a part of the
// answers is lost. It could harm by trusting a worker that is about to fall silent: the next
// attempt shows.
func (h *health) recordTimeout(classIndex int, attempt *attemptInfo) {
	worker := attempt.worker
	switch {
	case worker.lastAcceptedAt[classIndex] > attempt.sentAt:
		worker.addClassSuspicion(h.now, classIndex, lossSuspicion)
	case slices.Max(worker.lastAcceptedAt) > attempt.sentAt:
		worker.addClassSuspicion(h.now, classIndex, timeoutSuspicion)
	default:
		worker.addSuspicion(h.now, timeoutSuspicion)
	}
}

// recordError takes an error. It counts against the worker, unless another worker failed the
// same task: then the task is unusable, no further worker gets it, and those that did are
// cleared. It guards against tasks that no worker can run, each of which would eject several
// healthy workers. It would harm where workers fail so often that two errors in a row are
// chance.
func (h *health) recordError(task *taskInfo, attempt *attemptInfo) {
	attempt.failed = true
	attempt.worker.addSuspicion(h.now, errorSuspicion)
	failedElsewhere := func(other *attemptInfo) bool { return other.failed && other.worker != attempt.worker }
	if !slices.ContainsFunc(task.attempts, failedElsewhere) {
		return // the next attempt goes to another worker, if there is one
	}
	task.unusable = true
	for _, other := range task.attempts {
		if other.failed {
			other.failed = false
			other.worker.addSuspicion(h.now, -errorSuspicion)
		}
	}
}

// recordReachable takes it that a worker is there after all: what failed was a connection, with
// all that lay on it, so the worker is tried again, one attempt at a time. It would harm where
// a worker takes connections and answers nothing: so it has to accept something before that
// counts again.
func (h *health) recordReachable(worker *workerInfo) {
	if worker == nil {
		return
	}
	if worker.unreachable {
		worker.unreachable, h.needsPass = false, true
	}
	if worker.reachableAt > 0 && slices.Max(worker.lastAcceptedAt) <= worker.reachableAt {
		return
	}
	worker.reachableAt, h.needsPass = h.now, true
	for classIndex := range worker.suspicions {
		score := min(reconnectedSuspicion, worker.suspicion(h.now, classIndex))
		worker.suspicions[classIndex] = suspicionScore{score, h.now}
	}
}

// recordUnreachable takes it that no connection to a worker is up and that the last one failed.
func (h *health) recordUnreachable(worker *workerInfo) {
	if worker != nil {
		worker.unreachable = true
	}
}
