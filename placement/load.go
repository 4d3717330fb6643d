package placement

import "slices"

// This file owns the cores and memory requested of each worker: the values from lists and reports, their
// lag, and the changes that this scheduler made since. It must not make placement decisions.

const (
	// lagStep and lagSteps define the possible lags of the view: 0.25 to 16 s, in steps of 0.25 s.
	lagStep  = 250 * millisecond
	lagSteps = 64
	// initialLagSteps is the assumed lag, in steps, until the lag has been learned.
	initialLagSteps = 4
	// deltaRetention is the time for which this scheduler's own changes to the requested capacity of a
	// worker are kept. It exceeds the longest lag.
	deltaRetention = lagSteps*lagStep + 2*second
	// maxDeltas is the maximum number of changes kept for one worker. A further change removes the older
	// half of them. This limits the memory used for a worker of which no further list entry arrives.
	maxDeltas = 4096
	// reportLag is the assumed age of a report on its arrival.
	reportLag = 500 * millisecond
	// rejectedShare limits the free capacity that a worker is assumed to have after it rejected a task
	// for lack of cores or memory. The limit is this fraction of the cores or memory that the task
	// requests. It is below 1, so that an equal task does not fit the worker.
	rejectedShare = 0.99
)

// loadTracker tracks the cores and memory requested of each worker, and keeps the index up to date.
type loadTracker struct {
	*environment
	capacity     *capacityModel
	index        *workerIndex
	reservations *reservations
	lag          int64         // assumed lag of the view, in microseconds
	lagDependent []*workerInfo // see lagDependentWorkers, which removes those that no longer depend on the lag
	// listedRequestedCores is the sum of the cores requested of all workers that are listed, of a known
	// kind and not foreign.
	listedRequestedCores float64
	// listedCapacity is the total size of the workers that listedRequestedCores counts. It is in cores and
	// memory, not in fractions. Both sums are 0 if Settings.HasView is false.
	listedCapacity fractions
}

// requested returns the cores and memory requested of a worker of a known kind. They are the values of the
// view, or of a newer report, plus the changes that this scheduler made since.
func (l *loadTracker) requested(worker *workerInfo) (cores, memory float64) {
	if !worker.requestedStale {
		return worker.requestedCores, worker.requestedMemory
	}
	kind := l.kindOf(worker)
	since, freeCores, freeMemory := worker.viewedAt-l.lag, worker.FreeCores, worker.FreeMemory
	if worker.reportsFree && worker.reportedAt-reportLag > since {
		since = worker.reportedAt - reportLag
		freeCores, freeMemory = worker.lastReport.FreeCores, worker.lastReport.FreeMemory
	}
	addedCores, addedMemory := worker.deltasSince(since)
	return max(0, kind.Cores-freeCores+addedCores), max(0, kind.Memory-freeMemory+addedMemory)
}

// utilization returns the fraction of the effective capacity that is requested of a worker of a known
// kind. It is the larger of the fractions of cores and memory.
func (l *loadTracker) utilization(worker *workerInfo) float64 {
	cores, memory := l.requested(worker)
	effectiveCores, effectiveMemory := l.capacity.effective(worker)
	return max(cores/effectiveCores, memory/effectiveMemory)
}

// addDelta records that the cores and memory requested of a worker change now (see delta).
func (l *loadTracker) addDelta(worker *workerInfo, cores, memory float64) {
	if len(worker.deltas) >= maxDeltas {
		worker.deltas = slices.Delete(worker.deltas, 0, len(worker.deltas)/2)
	}
	worker.deltas = append(worker.deltas, delta{l.now, cores, memory})
	l.addLagDependent(worker)
	l.index.invalidate(worker)
}

// removeDelta removes the change recorded for an attempt that never ran.
func (l *loadTracker) removeDelta(attempt *attemptInfo) {
	worker := attempt.worker
	i := slices.IndexFunc(worker.deltas, func(d delta) bool { return d.at == attempt.sentAt && d.cores >= 0 })
	if i >= 0 {
		worker.deltas = slices.Delete(worker.deltas, i, i+1)
		l.index.invalidate(worker)
	}
}

// redateDelta moves the change recorded for an attempt from the time of the offer to now, the time of
// the acceptance. The worker's load in the view rises at the acceptance, not at the offer.
func (l *loadTracker) redateDelta(attempt *attemptInfo) {
	for i := range attempt.worker.deltas {
		if d := &attempt.worker.deltas[i]; d.at == attempt.sentAt && d.cores >= 0 {
			d.at = l.now
			l.index.invalidate(attempt.worker)
			return
		}
	}
}

// recordRejection records that a worker rejected a task for lack of cores or memory. Until the view can
// show the current load, the worker counts as having less free capacity than the task requests.
func (l *loadTracker) recordRejection(worker *workerInfo, task *taskInfo, cause Cause) {
	kind := l.kindOf(worker)
	if kind == nil {
		return
	}
	cores, memory := l.requested(worker)
	if cause == CauseCores {
		l.addDelta(worker, max(0, kind.Cores*l.settings.CoresOvercommit-cores-task.Cores*rejectedShare), 0)
	} else {
		l.addDelta(worker, 0, max(0, kind.Memory*l.settings.MemoryOvercommit-memory-task.Memory*rejectedShare))
	}
}

// recordReport records a worker's report of its own load. The free capacity in the report is used only
// if the caller then sets workerInfo.reportsFree.
func (l *loadTracker) recordReport(worker *workerInfo, report Load) {
	worker.lastReport, worker.reportedAt, worker.reportsFree = report, l.now, false
	l.addLagDependent(worker)
	l.index.invalidate(worker)
}

// addLagDependent records that the requested cores and memory of a worker depend on the view's lag.
func (l *loadTracker) addLagDependent(worker *workerInfo) {
	if !worker.lagDependent {
		worker.lagDependent = true
		l.lagDependent = append(l.lagDependent, worker)
	}
}

// lagDependentWorkers returns the workers whose requested cores and memory depend on the view's lag. They
// are the workers with changes by this scheduler that the view may not show yet, and the workers that
// reported their free capacity.
func (l *loadTracker) lagDependentWorkers() []*workerInfo {
	l.lagDependent = slices.DeleteFunc(l.lagDependent, func(worker *workerInfo) bool {
		worker.lagDependent = len(worker.deltas) > 0 || worker.reportsFree
		return !worker.lagDependent
	})
	return l.lagDependent
}

// setLag sets the assumed lag of the view.
func (l *loadTracker) setLag(lag int64) {
	if lag == l.lag {
		return
	}
	l.lag = lag
	for _, worker := range l.lagDependentWorkers() {
		l.index.invalidate(worker)
	}
}

// refreshStale refreshes the workers that were invalidated since its last call.
func (l *loadTracker) refreshStale() {
	for _, worker := range l.index.stale {
		l.refresh(worker)
	}
	l.index.stale = l.index.stale[:0]
}

// refresh recomputes the cores and memory requested of a worker, the sums over the listed workers, and
// the worker's position in the index.
func (l *loadTracker) refresh(worker *workerInfo) {
	if worker.countedKind != nil {
		l.listedRequestedCores -= worker.requestedCores
		l.listedCapacity.cores -= worker.countedKind.Cores
		l.listedCapacity.memory -= worker.countedKind.Memory
		worker.countedKind = nil
	}
	kind := l.kindOf(worker)
	if kind != nil {
		worker.requestedCores, worker.requestedMemory = l.requested(worker)
	}
	worker.requestedStale = false
	if worker.listed && !worker.foreign && kind != nil && l.settings.HasView {
		worker.countedKind = kind
		l.listedRequestedCores += worker.requestedCores
		l.listedCapacity.cores += kind.Cores
		l.listedCapacity.memory += kind.Memory
	}
	if !worker.listed || worker.State != Ready || kind == nil {
		l.index.remove(worker)
		return
	}
	var requested fractions
	if l.settings.HasView {
		requested = fractions{worker.requestedCores / kind.Cores, worker.requestedMemory / kind.Memory}
	}
	l.index.put(worker, requested, l.reservations.contains(worker))
}
