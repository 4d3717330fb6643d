package dispatch

// This file owns the running, terminating and unresponsive tasks that occupy capacity of each worker. It must
// never decide how a task ends.

import (
	"maps"
	"slices"
)

const (
	// unlistedTimeout is the time for which a task still counts as running after lostTasks found its worker unlisted.
	// During this time, the worker may still report the end of the task. The time is short because discovery may remove
	// a dead worker from the list some seconds late, and the completion has to be reported within 8 s of the end of
	// the task.
	unlistedTimeout = 1 * second
	// adoptedUnlistedTimeout is used instead of unlistedTimeout if a task is adopted while its worker is unlisted.
	// The time is limited because there may be no connection on which the worker could report the end of the task.
	adoptedUnlistedTimeout = 1_500 * millisecond
)

// runningTasks holds the tasks that occupy each worker, in arbitrary order.
type runningTasks map[string][]*request

func (t runningTasks) add(r *request) { t[r.worker] = append(t[r.worker], r) }

func (t runningTasks) remove(r *request) {
	tasks := t[r.worker]
	i, last := slices.Index(tasks, r), len(tasks)-1
	tasks[i], tasks[last] = tasks[last], nil
	if last == 0 {
		delete(t, r.worker)
		return
	}
	t[r.worker] = tasks[:last]
}

// TaskSummary describes the tasks that occupy a worker.
type TaskSummary struct {
	Count        int
	OldestSentAt int64 // time of the oldest offer, in microseconds; 0 if there are no tasks or any of them was adopted
}

// TasksOn summarizes the running, terminating and unresponsive tasks on a worker.
func (d *Dispatcher) TasksOn(worker string) (summary TaskSummary) {
	for i, r := range d.tasksByWorker[worker] {
		summary.Count++
		if i == 0 || r.sentAt < summary.OldestSentAt {
			summary.OldestSentAt = r.sentAt
		}
	}
	return summary
}

// HasTasksOn reports whether any running, terminating or unresponsive task is on a worker.
func (d *Dispatcher) HasTasksOn(worker string) bool { return len(d.tasksByWorker[worker]) > 0 }

// WorkersWithTasks returns the workers with any running, terminating or unresponsive task, sorted by name.
func (d *Dispatcher) WorkersWithTasks() []string {
	return slices.Sorted(maps.Keys(d.tasksByWorker))
}

// lostTasks returns the tasks whose worker has been unlisted for unlistedTimeout while they ran. They are ordered
// by request ID, so that the same events lead to the same actions. lostTasks also updates the time since which the
// worker of each running task has been unlisted.
func (d *Dispatcher) lostTasks() (lost []*request) {
	for worker, tasks := range d.tasksByWorker {
		listed := d.listed[worker]
		for _, r := range tasks {
			switch {
			case r.state != stateRunning:
			case listed:
				r.unaccountedSince = 0
			case r.unaccountedSince == 0:
				r.unaccountedSince = d.now
			case d.now-r.unaccountedSince >= unlistedTimeout:
				lost = append(lost, r)
			}
		}
	}
	return sortByRequestID(lost)
}
