package dispatch

// This file owns which tasks occupy capacity at which worker: running, terminating and unresponsive
// ones. It must never decide what becomes of them.

import (
	"maps"
	"slices"
)

const (
	// unlistedTimeout is how long a task may run on a worker that left the list: its own report on
	// the end may still come.
	unlistedTimeout = 1 * second
	// adoptedUnlistedTimeout is the same for an adopted task on a worker that no list ever named:
	// nobody else will report its end.
	adoptedUnlistedTimeout = 1_500 * millisecond
)

// runningTasks are the tasks that occupy each worker, in no order.
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

// TaskSummary is the number of tasks that occupy a worker, and their age.
type TaskSummary struct {
	Count        int
	OldestSentAt int64 // when the oldest was offered, in microseconds; 0 for an adopted one
}

// TasksOn sums up the tasks that are running or terminating at a worker.
func (d *Dispatcher) TasksOn(worker string) (summary TaskSummary) {
	for i, r := range d.tasksByWorker[worker] {
		summary.Count++
		if i == 0 || r.sentAt < summary.OldestSentAt {
			summary.OldestSentAt = r.sentAt
		}
	}
	return summary
}

// HasTasksOn reports whether any task is running or terminating at a worker.
func (d *Dispatcher) HasTasksOn(worker string) bool { return len(d.tasksByWorker[worker]) > 0 }

// WorkersWithTasks are the workers at which any task is running or terminating, by name.
func (d *Dispatcher) WorkersWithTasks() []string {
	return slices.Sorted(maps.Keys(d.tasksByWorker))
}

// lostTasks are the tasks that have run for unlistedTimeout at a worker that no list names, by
// request ID, so that the same events give the same actions.
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
