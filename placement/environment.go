package placement

import "math/rand/v2"

// This file owns what all parts of a scheduler share: the settings, the time, the random
// source and the actions of the call at hand. It must never decide anything.

// retryInterval is how often pending tasks are looked at when nothing happens.
const retryInterval = 50 * millisecond

// environment is what the parts of one scheduler share.
type environment struct {
	settings  Settings
	random    *rand.Rand
	startedAt int64 // when the first call came, or notStarted
	now       int64 // of the call at hand
	actions   []Action
	// needsPass says that something happened by which a pending task may find a worker, since the
	// last scheduling pass.
	needsPass bool
}

// notStarted is the starting time of a scheduler before its first call.
const notStarted = -1

// emit adds an action to those that the call at hand returns.
func (e *environment) emit(action Action) {
	e.actions = append(e.actions, action)
}

// jitter draws a time from 1 to limit, in microseconds.
func (e *environment) jitter(limit int64) int64 { return e.random.Int64N(max(1, limit)) + 1 }

// classOf returns the class of a task.
func (e *environment) classOf(task *taskInfo) *Class { return &e.settings.Classes[task.classIndex] }

// kindOf returns the kind of a worker, or nil where the settings do not have it.
func (e *environment) kindOf(worker *workerInfo) *Kind {
	if worker.kindIndex < 0 {
		return nil
	}
	return &e.settings.Kinds[worker.kindIndex]
}
