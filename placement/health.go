package placement

import (
	"math"
	"slices"
)

// This file owns outlier detection: the outcomes of attempts determine the suspicion of a worker. It must
// not reject tasks.

const (
	// timeoutSuspicion is added to the suspicion of a worker for an attempt that gets no answer or no
	// connection, a rejection because the worker's queue is full, or a probe that does not complete. For
	// some missing answers, lossSuspicion is added instead.
	timeoutSuspicion = 1.5
	// errorSuspicion is added to the suspicion of a worker for an attempt that ended with an error, and for
	// an attempt or task that was lost.
	errorSuspicion = 0.7
	// lossSuspicion is added to the suspicion of a worker for a missing answer if the worker accepted another
	// attempt of the same class in the meantime.
	lossSuspicion = 0.4
	// ejectionThreshold is the lowest suspicion at which a worker gets no attempts, unless no healthy worker
	// fits the task (see search.fallback).
	ejectionThreshold = 1.0
	// suspectThreshold is the lowest suspicion at which a worker gets only one attempt at a time, and no
	// tasks that must not run twice. Attempts that search.fallback selects are exempt.
	suspectThreshold = 0.25
	// reconnectedSuspicion is the value to which a higher suspicion is lowered when the worker accepts a
	// connection again.
	reconnectedSuspicion = 0.5

	// maxAttemptWindow is the upper limit of the attempt window, which is the number of unanswered attempts
	// that a worker may have. An accepted attempt raises the window, and a rejection because the worker's
	// queue is full halves it.
	maxAttemptWindow = 12.0
	// assumedDrain is the time for which a worker is assumed to be draining after it rejected an attempt
	// with CauseWrongWorker, or ended an attempt or a task with CauseDrained. The list may not show the
	// draining yet. A rejection does not count if an earlier attempt of the task may have run.
	assumedDrain = 5 * second

	// rttWeight is the weight of one answer in the moving averages of the response time.
	rttWeight = 1.0 / 16
	// rttDeviations is the number of mean deviations by which the response timeout exceeds the mean
	// response time. An answer is overdue after the response timeout.
	rttDeviations = 4
	// startDeviations replaces rttDeviations if acceptance means that the task runs.
	startDeviations = 8
	// minResponseTimeout is the lower limit of the response timeout.
	minResponseTimeout = 125 * millisecond
	// minStartedTimeout replaces minResponseTimeout if acceptance means that the task runs.
	minStartedTimeout = second
	// initialRTTDeviation is the ratio of the first response time to the initial mean deviation.
	initialRTTDeviation = 2
)

// health detects outliers among workers.
type health struct {
	*environment
	// meanRTT and rttDeviation are moving averages of the response time and of its absolute deviation, in
	// microseconds. They are computed like the round-trip time estimate of TCP (RFC 6298), with another
	// weight. Both are 0 before a response time is recorded.
	meanRTT, rttDeviation float64
}

// recordRTT records that an attempt no longer awaits a response, and adds its response time to the
// statistics. rtt is the response time in microseconds.
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

// rttKnown reports whether any response time has been recorded yet.
func (h *health) rttKnown() bool { return h.meanRTT != 0 }

// responseTimeout returns the time in microseconds after which an answer is overdue, derived from the
// answers so far. If an answer means that the task runs, the timeout is longer, because a start may be
// delayed by the worker's queue although the worker is responsive.
func (h *health) responseTimeout() int64 {
	if h.settings.AcceptMeansRunning {
		return max(int64(h.meanRTT+startDeviations*h.rttDeviation), minStartedTimeout)
	}
	return max(int64(h.meanRTT+rttDeviations*h.rttDeviation), minResponseTimeout)
}

// healthy reports whether a worker is healthy for the tasks of a class. A worker with an overdue answer, or
// with a suspicion of at least ejectionThreshold, is not healthy. A worker with a lower suspicion of at least
// suspectThreshold is healthy only while it has no unanswered attempt, and only for classes whose Effect is
// not Unsafe.
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

// overdue reports whether the response timeout of a message sent at sentAt has passed. It returns false
// before any response time has been recorded.
func (h *health) overdue(sentAt int64) bool {
	return h.meanRTT > 0 && h.now-sentAt > h.responseTimeout()
}

// ejected reports whether a worker's suspicion excludes it from tasks of every class.
func (h *health) ejected(worker *workerInfo) bool {
	for classIndex := range h.settings.Classes {
		if worker.suspicion(h.now, classIndex) < ejectionThreshold {
			return false
		}
	}
	return true
}

// recordAccepted records that a worker accepted an attempt of a class. The worker is reachable, its
// suspicion for the class falls and its attempt window grows.
func (h *health) recordAccepted(worker *workerInfo, classIndex int) {
	worker.unreachable = false
	worker.recordSuccess(h.now, classIndex)
	worker.attemptWindow = min(maxAttemptWindow, worker.attemptWindow+1/worker.attemptWindow)
}

// recordOutcome records the end of an attempt or, if wasRunning is true, of a running task.
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
		// A worker with a full queue rejects offers at once. Without suspicion, it could use up all
		// attempts of a task.
		worker.addSuspicion(h.now, timeoutSuspicion)
	case event.Outcome == Rejected && event.Cause == CauseWrongWorker && task.mayHaveRun == nil,
		event.Cause == CauseDrained:
		worker.drainingUntil = h.now + assumedDrain
	}
}

// recordTimeout records an attempt that got no answer. The suspicion depends on the attempts that the worker
// has accepted since the unanswered one was sent. If it accepted none, the suspicion rises for every class.
// If it accepted only attempts of other classes, the worker is reachable, and the suspicion rises for the
// class of the unanswered attempt alone. If it accepted an attempt of the same class, some answers are being
// lost, and the suspicion for the class rises only a little. A worker that accepted attempts and then became
// unresponsive therefore stays in use, but only until a later attempt gets no answer.
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

// recordError records an attempt that ended with an error. The error raises the suspicion of the
// worker, unless another worker failed the same task. In that case the task is unusable and goes to no
// further worker, and the suspicion that its errors caused is subtracted again. This protects healthy
// workers from being ejected because of tasks that no worker can run. The rule does harm if errors are
// frequent, because two errors of one task may then be a coincidence.
func (h *health) recordError(task *taskInfo, attempt *attemptInfo) {
	attempt.failed = true
	attempt.worker.addSuspicion(h.now, errorSuspicion)
	failedElsewhere := func(other *attemptInfo) bool { return other.failed && other.worker != attempt.worker }
	if !slices.ContainsFunc(task.attempts, failedElsewhere) {
		return // no other worker has failed the task; the next attempt goes to another worker if there is one
	}
	task.unusable = true
	for _, other := range task.attempts {
		if other.failed {
			other.failed = false
			other.worker.addSuspicion(h.now, -errorSuspicion)
		}
	}
}

// recordReachable records that a worker accepted a connection after an earlier one failed. The failure
// of a connection affects everything that was sent on it, even if the worker itself works. The
// suspicion is therefore lowered to reconnectedSuspicion, at which the worker gets one attempt at a
// time. Lowering the suspicion does harm if a worker accepts connections but answers nothing. A further
// connection therefore lowers the suspicion only if the worker has accepted an attempt since a
// connection last lowered it. A nil worker, which is one that the scheduler does not know, is ignored.
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

// recordUnreachable records that no connection to a worker is open and that the last one failed.
func (h *health) recordUnreachable(worker *workerInfo) {
	if worker != nil {
		worker.unreachable = true
	}
}
