package dispatch

// This file keeps which requests take room at which node: those that stand, that are being ended,
// and that were set aside since the node is silent. It must never decide what becomes of them.

import (
	"maps"
	"slices"
)

// running are the requests at each node, in no order.
type runningTasks map[string][]*request

func (h runningTasks) add(r *request) { h[r.worker] = append(h[r.worker], r) }

func (h runningTasks) remove(r *request) {
	tasks := h[r.worker]
	i, last := slices.Index(tasks, r), len(tasks)-1
	tasks[i], tasks[last] = tasks[last], nil
	if last == 0 {
		delete(h, r.worker)
		return
	}
	h[r.worker] = tasks[:last]
}

// occupiesWorker reports whether a request in this state takes room at its node.
func (s state) occupiesWorker() bool { return s == stateRunning || s == stateTerminating }

// TasksOn is what stands at a node, or is being ended there.
type TaskSummary struct {
	Count        int
	OldestSentAt int64 // when the oldest was offered, 0 for one that was handed in as standing
}

// TasksOn is what stands at a node, or is being ended there.
func (c *Dispatcher) TasksOn(node string) (h TaskSummary) {
	for i, r := range c.tasksByWorker[node] {
		if h.Count++; i == 0 || r.sentAt < h.OldestSentAt {
			h.OldestSentAt = r.sentAt
		}
	}
	return h
}

// HasTasksOn reports whether anything stands at a node, or is being ended there.
func (c *Dispatcher) HasTasksOn(node string) bool { return len(c.tasksByWorker[node]) > 0 }

// WorkersWithTasks are the nodes at which anything stands, or is being ended, by name.
func (c *Dispatcher) WorkersWithTasks() []string { return slices.Sorted(maps.Keys(c.tasksByWorker)) }

// orphans are the tasks that have stood for unlistedTimeout at a node that no list names, by tag, so that
// the same happenings give the same actions.
func (c *Dispatcher) orphans() (found []*request) {
	for node, tasks := range c.tasksByWorker {
		listed := c.listed[node]
		for _, r := range tasks {
			switch {
			case r.state != stateRunning:
			case listed:
				r.missingSince = 0
			case r.missingSince == 0:
				r.missingSince = c.now
			case c.now-r.missingSince >= unlistedTimeout:
				found = append(found, r)
			}
		}
	}
	return sortByRequestID(found)
}
