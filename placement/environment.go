package placement

import "math/rand/v2"

// This file holds the state that all components of a scheduler share: the settings, the time, the random
// source and the actions of the current call of Scheduler.Handle. It must not make decisions.

// retryInterval is the time, in microseconds, after which a scheduling pass considers pending tasks
// again if no event triggers a pass earlier.
const retryInterval = 50 * millisecond

// environment holds the state that the components of one scheduler share.
type environment struct {
	settings  Settings
	random    *rand.Rand
	startedAt int64 // time of the first call of Scheduler.Handle, in microseconds, or notStarted
	now       int64 // time of the current call of Scheduler.Handle, in microseconds
	actions   []Action
	// needsPass is true if an event since the last scheduling pass may allow a pending task to be
	// placed.
	needsPass bool
}

// notStarted is the value of startedAt before the first call of Scheduler.Handle.
const notStarted = -1

// emit appends an action to the actions that the current call of Scheduler.Handle returns.
func (e *environment) emit(action Action) {
	e.actions = append(e.actions, action)
}

// jitter returns a random duration from 1 to limit, in microseconds. A limit below 1 counts as 1.
func (e *environment) jitter(limit int64) int64 { return e.random.Int64N(max(1, limit)) + 1 }

// classOf returns the class of a task.
func (e *environment) classOf(task *taskInfo) *Class { return &e.settings.Classes[task.classIndex] }

// kindOf returns the kind of a worker, or nil if the settings do not contain it.
func (e *environment) kindOf(worker *workerInfo) *Kind {
	if worker.kindIndex < 0 {
		return nil
	}
	return &e.settings.Kinds[worker.kindIndex]
}
