package placement

import (
	"cmp"
	"slices"
)

// This file owns the pending tasks and their order. It never places or rejects a task.

// deadlineMarginTicks is the number of ticks (see Settings.TickUs) before its deadline at which a task that
// is still pending gets its final response.
const deadlineMarginTicks = 4

// queue holds the pending tasks.
type queue struct {
	*environment
	quotas  *quotas
	pending []*taskInfo
	ordered []*taskInfo // result of the last call of byPriority
}

// add makes a task pending.
func (q *queue) add(task *taskInfo) {
	if !task.pending {
		task.pending, q.needsPass = true, true
		q.pending = append(q.pending, task)
	}
}

// remove removes a task if it is pending.
func (q *queue) remove(task *taskInfo) {
	if task.pending {
		task.pending = false
		q.pending = slices.DeleteFunc(q.pending, func(other *taskInfo) bool { return other == task })
	}
}

// byPriority returns the pending tasks in descending order of priority. Tasks of equal priority are
// ordered by how long their clients have waited, longest first. Adding and removing tasks does not
// change the result, which is valid until the next call.
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

// priority returns the priority of a task. The base value is the weight of the task's class, times the size
// of the task (see Settings.UnitCores), divided by the fraction of a worker that the task takes. This is the
// fraction of the cores or of the memory of a worker of the first kind, whichever is larger. The bonus for a
// timely start raises the priority of a task that has a run hint and was not resubmitted, as long as the
// task can still start within its latency objective. When capacity is short, tasks that can still start in
// time therefore go before similar tasks that are late already. If the tenant of the task is over its
// quota, the priority is multiplied by Settings.OverQuotaWeight.
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

// responseMargin returns how long before its deadline a task that is still pending gets its final response,
// in microseconds. A tick shorter than one millisecond counts as one millisecond.
func (q *queue) responseMargin() int64 {
	return deadlineMarginTicks * max(q.settings.TickUs, millisecond)
}

// nextCheckAt returns the time of the next scheduling pass that pending tasks need, or 0 if no task
// is pending.
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
