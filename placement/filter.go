package placement

import "math"

// This file owns the filters of a placement, which determine whether a worker may get a task and has
// enough free capacity for the task. A filter looks at one worker at a time and never compares workers.

// largeTaskShare is the fraction of a worker's effective capacity above which a task counts as
// large.
const largeTaskShare = 0.15

// filter decides for single workers whether they can run a task.
type filter struct {
	*environment
	loads        *loadTracker
	index        *workerIndex
	capacity     *capacityModel
	reservations *reservations
	slowStart    *slowStart
	spread       *spread
	overload     *overload
}

// feasible reports whether all rules permit a worker to get a task. It does not check whether the
// worker is healthy or has free capacity.
func (f *filter) feasible(worker *workerInfo, class *Class, task *taskInfo) bool {
	return f.permits(worker, class, task) && f.reservations.permits(worker, task)
}

// permits reports whether all rules other than reservations permit a worker to get a task.
func (f *filter) permits(worker *workerInfo, class *Class, task *taskInfo) bool {
	return float64(len(worker.unanswered)) < worker.attemptWindow && f.permitsOnceAnswered(worker, class, task)
}

// permitsOnceAnswered reports whether all rules other than reservations and the attempt window permit a
// worker to get a task.
func (f *filter) permitsOnceAnswered(worker *workerInfo, class *Class, task *taskInfo) bool {
	return eligible(worker, class) && f.now >= worker.drainingUntil &&
		permitsRepeat(f.now, worker, class, task) && f.spread.permits(worker, class, task) &&
		f.slowStart.permits(worker)
}

// eligible reports whether a worker gets tasks of a class at all: it is listed as ready and of the right
// kind.
func eligible(worker *workerInfo, class *Class) bool {
	return worker.listed && worker.State == Ready &&
		worker.kindIndex >= 0 && (class.Kind < 0 || class.Kind == worker.kindIndex)
}

// fits reports whether a worker has free capacity for a task. The capacity requested of the worker, including
// the task, must exceed neither the capacity that the worker accepts nor its effective capacity. A large task
// that has waited long may exceed the effective capacity. Without a view, the requested capacity is unknown,
// and fits only checks whether an empty worker would accept the task.
func (f *filter) fits(worker *workerInfo, task *taskInfo) bool {
	kind := f.kindOf(worker)
	acceptedCores := kind.Cores * f.settings.CoresOvercommit
	acceptedMemory := kind.Memory * f.settings.MemoryOvercommit
	if !f.settings.HasView {
		return task.Cores <= acceptedCores && task.Memory <= acceptedMemory
	}
	cores, memory := f.loads.requested(worker)
	competingCores, competingMemory := f.overload.competing(worker, kind)
	cores += competingCores
	memory += competingMemory
	if cores+task.Cores > acceptedCores || memory+task.Memory > acceptedMemory {
		return false
	}
	effectiveCores, effectiveMemory := f.capacity.effective(worker)
	if max(task.Cores/effectiveCores, task.Memory/effectiveMemory) > largeTaskShare && f.waitedLong(task) {
		// In a busy and evenly loaded fleet, often no worker has enough free effective capacity for a large
		// task. A large task that has waited long may therefore exceed the effective capacity of its worker.
		return true
	}
	return cores+task.Cores <= effectiveCores && memory+task.Memory <= effectiveMemory
}

// waitedLong reports whether a task has waited for more than a quarter of its latency objective.
func (f *filter) waitedLong(task *taskInfo) bool {
	return f.now-task.arrivedAt > f.classOf(task).ObjectiveUs/4
}

// limit returns an upper limit of a worker's requested capacity. A worker of the kind whose requested
// capacity is above the limit has no free capacity for the task (see fits). The size of the task is given as
// fractions of the kind's size. The argument utilization is the utilization that the task adds to an
// uncalibrated worker. If the class of the task requires another kind, the limit admits no worker.
func (f *filter) limit(task *taskInfo, kindIndex int, size fractions, utilization float64) loadLimit {
	if class := f.classOf(task); class.Kind >= 0 && class.Kind != kindIndex {
		return loadLimit{max: fractions{math.Inf(-1), math.Inf(-1)}}
	}
	accepted := fractions{f.settings.CoresOvercommit, f.settings.MemoryOvercommit}
	if !f.settings.HasView {
		return loadLimit{max: accepted.minus(size)}
	}
	concurrent := f.overload.concurrentFractions()
	size = fractions{size.cores + concurrent.cores, size.memory + concurrent.memory}
	limit := loadLimit{max: f.index.baseline.minus(size), calibratedMax: accepted.minus(size)}
	if f.waitedLong(task) {
		// A large task that has waited long may exceed the effective capacity. Whether a task is large
		// depends on the effective capacity of the worker, so the limit depends on the worker's
		// calibration.
		if limit.calibrationBelow = utilization / largeTaskShare; limit.calibrationBelow > 1 {
			limit.max = limit.calibratedMax
		}
	}
	return limit
}
