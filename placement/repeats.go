package placement

// This file owns the rule on repeats: what may have run goes only to workers that discard
// repeats of it. It must never permit a harmful repeat.

// repeatWindowOpen reports whether workers still remember a keyed task that may have run.
func repeatWindowOpen(now int64, class *Class, task *taskInfo) bool {
	return now < task.mayHaveRun.sentAt+class.WindowUs
}

// permitsRepeat reports whether a worker may get a task that may have run before.
func permitsRepeat(now int64, worker *workerInfo, class *Class, task *taskInfo) bool {
	if task.mayHaveRun == nil || class.Effect == Safe {
		return true
	}
	if class.Effect == Unsafe || !repeatWindowOpen(now, class, task) {
		return false
	}
	return class.Group == ScopeAll || sameDomain(worker, task.mayHaveRun.worker, class.Group)
}

// retryIsHarmless reports whether a client may hand in a task again that may have run here.
func retryIsHarmless(class *Class, task *taskInfo) bool {
	return task.mayHaveRun == nil || class.Effect == Safe || class.Effect == Keyed && class.Group == ScopeAll
}
