package placement

// This file owns the rules on repeats. A task that may have run on a worker never goes to this worker
// again: the worker's messages name the request, so that a late message about the first attempt would be
// taken for one about the second. It goes only to workers that discard its repeats, unless repeats are
// safe. This file must not permit a harmful repeat.

// repeatWindowOpen reports whether workers still discard repeats of a keyed task that may have run.
func repeatWindowOpen(now int64, class *Class, task *taskInfo) bool {
	return now < task.mayHaveRun.sentAt+class.WindowUs
}

// permitsRepeat reports whether the rules on repeats permit a worker to get a task.
func permitsRepeat(now int64, worker *workerInfo, class *Class, task *taskInfo) bool {
	if task.mayHaveRunOn(worker) || !permitsGroup(worker, class, task) {
		return false
	}
	effect := task.effect(class)
	return task.mayHaveRun == nil || effect == Safe || effect == Keyed && repeatWindowOpen(now, class, task)
}

// permitsGroup reports whether a worker shares idempotency keys with the first worker on which a task may
// have run. It returns true if the task has not run or is not keyed.
func permitsGroup(worker *workerInfo, class *Class, task *taskInfo) bool {
	return task.mayHaveRun == nil || task.effect(class) != Keyed || class.Group == ScopeAll ||
		sameDomain(worker, task.mayHaveRun.worker, class.Group)
}

// retryIsHarmless reports whether a client may safely submit a task again. This is the case if the task
// cannot have run yet, if its repeats are safe, or if all workers of the fleet discard its repeats. It does
// not check whether the workers still discard them (see repeatWindowOpen).
func retryIsHarmless(class *Class, task *taskInfo) bool {
	effect := task.effect(class)
	return task.mayHaveRun == nil || effect == Safe || effect == Keyed && class.Group == ScopeAll
}
