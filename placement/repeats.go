package placement

// This file owns the rule on repeats: a task that may have run goes only to workers that discard its
// repeats, unless repeats are safe. It must not permit a harmful repeat.

// repeatWindowOpen reports whether workers still discard repeats of a keyed task that may have run.
func repeatWindowOpen(now int64, class *Class, task *taskInfo) bool {
	return now < task.mayHaveRun.sentAt+class.WindowUs
}

// permitsRepeat reports whether the rule on repeats permits a worker to get a task.
func permitsRepeat(now int64, worker *workerInfo, class *Class, task *taskInfo) bool {
	if task.mayHaveRun == nil || class.Effect == Safe {
		return true
	}
	if class.Effect == Unsafe || !repeatWindowOpen(now, class, task) {
		return false
	}
	return class.Group == ScopeAll || sameDomain(worker, task.mayHaveRun.worker, class.Group)
}

// retryIsHarmless reports whether a client may safely submit a task again. This is the case if the task
// cannot have run yet, if its repeats are safe, or if all workers of the fleet discard its repeats. It does
// not check whether the workers still discard them (see repeatWindowOpen).
func retryIsHarmless(class *Class, task *taskInfo) bool {
	return task.mayHaveRun == nil || class.Effect == Safe || class.Effect == Keyed && class.Group == ScopeAll
}
