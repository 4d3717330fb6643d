package placement

import "slices"

// This file holds the state of one request, its attempts and its running task. It must not read other
// tasks or the settings.

// attemptInfo is the state of one offer to a worker, or of an adopted task.
type attemptInfo struct {
	worker           *workerInfo
	sentAt           int64
	awaitingResponse bool // neither accepted nor ended yet
	ended            bool
	starting         bool // accepted, but not running yet
	failed           bool // ended with an error; false again once the task is unusable
	neverRan         bool // ended with an outcome that implies that the task never ran
}

// stopWaiting records that the attempt no longer awaits a response.
func (a *attemptInfo) stopWaiting() {
	a.awaitingResponse = false
	isThis := func(other *attemptInfo) bool { return a == other }
	a.worker.unanswered = slices.DeleteFunc(a.worker.unanswered, isThis)
}

// taskInfo is the state of a request without a final response, or of a running task.
type taskInfo struct {
	Task
	classIndex  int
	arrivedAt   int64
	queuedSince int64 // time at which its client started to wait
	pending     bool  // is in the queue
	priority    float64
	attempts    []*attemptInfo
	accepted    bool
	acceptedAt  int64        // time of the acceptance or adoption
	uncertain   bool         // adopted, and nothing shows yet that it runs (see AdoptionUncertain)
	cancelled   bool         // cancelled by its client before all attempts had ended
	mayHaveRun  *attemptInfo // the first attempt that may have run, or nil
	copyRunning bool         // a worker rejected a repeat with CauseWrongWorker, because a copy is running
	unusable    bool         // attempts on two workers ended with an error
	probesSent  int
	usage       [resourceCount]float64 // used fraction of each requested resource; 0 if not reported
}

// effect returns whether the task may run more than once. class is the class of the task.
func (t *taskInfo) effect(class *Class) Effect {
	if class.Effect == Keyed && t.Unkeyed {
		return Unsafe
	}
	return class.Effect
}

// lastAttempt returns the last attempt. It panics if there is none.
func (t *taskInfo) lastAttempt() *attemptInfo { return t.attempts[len(t.attempts)-1] }

// attempt returns the attempt with the given number, counted from 0, or nil if there is none.
func (t *taskInfo) attempt(number int) *attemptInfo {
	if number < 0 || number >= len(t.attempts) {
		return nil
	}
	return t.attempts[number]
}

// mayHaveRunOn reports whether an attempt on a worker may have run the task.
func (t *taskInfo) mayHaveRunOn(worker *workerInfo) bool {
	mayHaveRun := func(a *attemptInfo) bool { return !a.neverRan && a.worker.Worker == worker.Worker }
	return slices.ContainsFunc(t.attempts, mayHaveRun) || slices.Contains(t.MayHaveRunOn, worker.Worker)
}

// excludesWorkers reports whether the task may have run on a worker, which therefore gets it no more.
func (t *taskInfo) excludesWorkers() bool { return t.mayHaveRun != nil || len(t.MayHaveRunOn) > 0 }

// requested returns the amount of a resource that the task requests.
func (t *taskInfo) requested(r resource) float64 {
	if r == resourceCores {
		return t.Cores
	}
	return t.Memory
}

// taskShape holds the properties by which a scheduling pass recognizes similar tasks. If the pass finds no
// worker for a task, it skips the search for later tasks of the same shape. This rule does not apply to
// tasks that exclude workers.
type taskShape struct {
	classIndex    int
	cores, memory float64
	program       uint64 // 0 unless the class limits the spread
}
