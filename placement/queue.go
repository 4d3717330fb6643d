package placement

import (
	"cmp"
	"slices"
)

// This file owns the pending tasks and their order. It must never place or reject one.

// deadlineMarginTicks is how many ticks before its deadline a pending task gets its response.
const deadlineMarginTicks = 4

// queue holds the pending tasks.
type queue struct {
	*environment
	quotas  *quotas
	pending []*taskInfo
	ordered []*taskInfo // see byPriority
}

// add makes a task pending.
func (q *queue) add(task *taskInfo) {
	if !task.pending {
		task.pending, q.needsPass = true, true
		q.pending = append(q.pending, task)
	}
}

// remove takes a task out, if it is pending.
func (q *queue) remove(task *taskInfo) {
	if task.pending {
		task.pending = false
		q.pending = slices.DeleteFunc(q.pending, func(other *taskInfo) bool { return other == task })
	}
}

// byPriority returns the pending tasks, those of the highest priority first. The result stays
// as it is while tasks are added and removed, until the next call.
func (q *queue) byPriority() []*taskInfo {
	for _, task := range q.pending {
		task.priority = q.priority(task)
	}
	slices.SortStableFunc(q.pending, func(a, b *taskInfo) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.queuedSince, b.queuedSince))
	})
	q.ordered = append(q.ordered[:0], q.pending...)
	return q.ordered
}

// priority is a task's weight for the capacity and time that it takes, the bonus of a start
// included while it can still be in time: when capacity is short, tasks that are late already
// let those pass that are not. Tasks of a tenant beyond its quota weigh less.
func (q *queue) priority(task *taskInfo) float64 {
	class := q.classOf(task)
	kind := &q.settings.Kinds[0]
	size := task.Cores + task.Memory
	if q.settings.UnitCores > 0 && q.settings.UnitMemory > 0 {
		size = task.Cores/q.settings.UnitCores + task.Memory/q.settings.UnitMemory
	}
	priority := class.Weight * size / max(task.Cores/kind.Cores, task.Memory/kind.Memory, 1e-9)
	if !task.Retry && q.now < task.arrivedAt+class.ObjectiveUs && task.HasRunHint {
		priority *= 1 + class.StartBonusS*float64(second)/float64(max(task.ExpectedRunUs, second))
	}
	if q.quotas.exceeded(task.Tenant) {
		priority *= q.settings.OverQuotaWeight
	}
	return priority
}

// responseMargin is how long before its deadline a pending task gets its response.
func (q *queue) responseMargin() int64 {
	return deadlineMarginTicks * max(q.settings.TickUs, millisecond)
}

// nextCheckAt is when pending tasks are to be looked at next, or 0.
func (q *queue) nextCheckAt() int64 {
	if len(q.pending) == 0 {
		return 0
	}
	at := q.now + retryInterval
	for _, task := range q.pending {
		at = min(at, max(task.DeadlineUs-q.responseMargin(), q.now+1))
	}
	return at
}
