package placement

import "slices"

// This file owns what is remembered of one request, its attempts and its running task. It
// must never look at other tasks or at the settings.

// attemptInfo is one offer to a worker, or a task that was adopted.
type attemptInfo struct {
	worker           *workerInfo
	sentAt           int64
	awaitingResponse bool // it was neither accepted nor ended
	ended            bool
	starting         bool // it was accepted and does not run yet
	failed           bool // it ended with an error
}

// stopWaiting notes that the attempt awaits no response any more.
func (a *attemptInfo) stopWaiting() {
	a.awaitingResponse = false
	isThis := func(other *attemptInfo) bool { return a == other }
	a.worker.unanswered = slices.DeleteFunc(a.worker.unanswered, isThis)
}

// taskInfo is a request that awaits its response, or a task that runs.
type taskInfo struct {
	Task
	classIndex  int
	arrivedAt   int64
	queuedSince int64 // since when its client waits
	pending     bool  // it is in the queue
	priority    float64
	attempts    []*attemptInfo
	accepted    bool
	acceptedAt  int64
	cancelled   bool         // its client cancelled it, and an attempt has not ended
	mayHaveRun  *attemptInfo // the first attempt that may have run
	copyRunning bool         // a worker said that a copy runs
	unusable    bool         // two workers failed it
	probesSent  int
	usage       [resourceCount]float64 // what it uses, over what it requested; 0: not reported
}

// lastAttempt returns the last attempt. There must be one.
func (t *taskInfo) lastAttempt() *attemptInfo { return t.attempts[len(t.attempts)-1] }

// attempt returns an attempt by its number, or nil.
func (t *taskInfo) attempt(number int) *attemptInfo {
	if number < 0 || number >= len(t.attempts) {
		return nil
	}
	return t.attempts[number]
}

// failedOn reports whether a worker ended an attempt with an error.
func (t *taskInfo) failedOn(worker *workerInfo) bool {
	return slices.ContainsFunc(t.attempts, func(a *attemptInfo) bool { return a.failed && a.worker == worker })
}

// requested is what the task requests of a resource.
func (t *taskInfo) requested(r resource) float64 {
	if r == resourceCores {
		return t.Cores
	}
	return t.Memory
}

// taskShape is what decides whether a task finds a worker: tasks of one shape that come
// later in a scheduling pass find none where the first found none.
type taskShape struct {
	classIndex    int
	cores, memory float64
	program       uint64 // where the class limits the spread
}
