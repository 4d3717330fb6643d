package dispatch

// This file keeps which requests take room at which node: those that stand, that are being ended,
// and that were set aside since the node is silent. It must never decide what becomes of them.

import (
	"maps"
	"slices"
)

// holdings are the requests at each node, in no order.
type holdings map[string][]*request

func (h holdings) add(r *request) { h[r.node] = append(h[r.node], r) }

func (h holdings) remove(r *request) {
	tasks := h[r.node]
	i, last := slices.Index(tasks, r), len(tasks)-1
	tasks[i], tasks[last] = tasks[last], nil
	if last == 0 {
		delete(h, r.node)
		return
	}
	h[r.node] = tasks[:last]
}

// holds reports whether a request in this state takes room at its node.
func (s state) holds() bool { return s == standing || s == leaving }

// TasksOn is what stands at a node, or is being ended there.
type TaskSummary struct {
	Count        int
	OldestSentAt int64 // when the oldest was offered, 0 for one that was handed in as standing
}

// TasksOn is what stands at a node, or is being ended there.
func (c *Dispatcher) TasksOn(node string) (h TaskSummary) {
	for i, r := range c.holdings[node] {
		if h.Count++; i == 0 || r.sentAt < h.OldestSentAt {
			h.OldestSentAt = r.sentAt
		}
	}
	return h
}

// HasTasksOn reports whether anything stands at a node, or is being ended there.
func (c *Dispatcher) HasTasksOn(node string) bool { return len(c.holdings[node]) > 0 }

// WorkersWithTasks are the nodes at which anything stands, or is being ended, by name.
func (c *Dispatcher) WorkersWithTasks() []string { return slices.Sorted(maps.Keys(c.holdings)) }

// orphans are the tasks that have stood for orphanAfter at a node that no list names, by tag, so that
// the same happenings give the same actions.
func (c *Dispatcher) orphans() (found []*request) {
	for node, tasks := range c.holdings {
		listed := c.listed[node]
		for _, r := range tasks {
			switch {
			case r.state != standing:
			case listed:
				r.lostAt = 0
			case r.lostAt == 0:
				r.lostAt = c.now
			case c.now-r.lostAt >= orphanAfter:
				found = append(found, r)
			}
		}
	}
	return byTag(found)
}
