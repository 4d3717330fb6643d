package placement

import "slices"

// This file owns how much is requested of each worker: what the list and reports say, how
// late that is, and the changes that this scheduler made since. It must never decide anything.

const (
	// lagStep and lagSteps span the lags that the view may have: 0.25 to 16 s.
	lagStep  = 250 * millisecond
	lagSteps = 64
	// initialLagSteps is the lag, in steps, before one was learned.
	initialLagSteps = 4
	// deltaRetention is how long own changes are remembered: past the longest lag.
	deltaRetention = lagSteps*lagStep + 2*second
	// maxDeltas bounds what is remembered of a worker whose view never comes.
	maxDeltas = 4096
	// reportLag is how old a report is taken to be when it comes.
	reportLag = 500 * millisecond
	// rejectedShare is the part of a rejected task that certainly did not fit.
	rejectedShare = 0.99
)

// loadTracker tracks how much is requested of each worker, and keeps the index in step.
type loadTracker struct {
	*environment
	capacity     *capacityModel
	index        *workerIndex
	reservations *reservations
	lag          int64         // how late the view is taken to be
	lagDependent []*workerInfo // see lagDependentWorkers; and others
	// listedRequestedCores and listedCapacity are sums over the listed workers that are not foreign.
	listedRequestedCores float64
	listedCapacity       fractions // in units, not as parts of a kind
}

// requested is what is requested of a worker of a known kind: what the view or, where newer,
// a report says, plus the changes that this scheduler made since.
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

// utilization is the part of its effective capacity that is requested of a worker of a known
// kind: the larger of cores and memory.
func (l *loadTracker) utilization(worker *workerInfo) float64 {
	cores, memory := l.requested(worker)
	effectiveCores, effectiveMemory := l.capacity.of(worker)
	return max(cores/effectiveCores, memory/effectiveMemory)
}

// addDelta notes a change that this scheduler makes now to what is requested of a worker.
func (l *loadTracker) addDelta(worker *workerInfo, cores, memory float64) {
	if len(worker.deltas) >= maxDeltas {
		worker.deltas = slices.Delete(worker.deltas, 0, len(worker.deltas)/2)
	}
	worker.deltas = append(worker.deltas, delta{l.now, cores, memory})
	l.trackLag(worker)
	l.index.invalidate(worker)
}

// removeDelta takes back the change of an attempt that never ran.
func (l *loadTracker) removeDelta(attempt *attemptInfo) {
	worker := attempt.worker
	i := slices.IndexFunc(worker.deltas, func(d delta) bool { return d.at == attempt.sentAt && d.cores >= 0 })
	if i >= 0 {
		worker.deltas = slices.Delete(worker.deltas, i, i+1)
		l.index.invalidate(worker)
	}
}

// redateDelta dates the change of an attempt by its acceptance, which is what the view follows.
func (l *loadTracker) redateDelta(attempt *attemptInfo) {
	for i := range attempt.worker.deltas {
		if d := &attempt.worker.deltas[i]; d.at == attempt.sentAt && d.cores >= 0 {
			d.at = l.now
			l.index.invalidate(attempt.worker)
			return
		}
	}
}

// recordRejection takes it that a worker rejected a task for lack of cores or memory: until
// the view can have followed, it has less free capacity than the task requests.
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

// recordReport takes what a worker reports of itself.
func (l *loadTracker) recordReport(worker *workerInfo, report Load) {
	worker.lastReport, worker.reportedAt, worker.reportsFree = report, l.now, false
	l.trackLag(worker)
	l.index.invalidate(worker)
}

// trackLag notes that what is requested of a worker depends on the view's lag from now on.
func (l *loadTracker) trackLag(worker *workerInfo) {
	if !worker.lagDependent {
		worker.lagDependent = true
		l.lagDependent = append(l.lagDependent, worker)
	}
}

// lagDependentWorkers are the workers for which the view's lag matters: those with own changes
// that the view may not have yet, or with a report of their own.
func (l *loadTracker) lagDependentWorkers() []*workerInfo {
	l.lagDependent = slices.DeleteFunc(l.lagDependent, func(worker *workerInfo) bool {
		worker.lagDependent = len(worker.deltas) > 0 || worker.reportsFree
		return !worker.lagDependent
	})
	return l.lagDependent
}

// setLag changes what the view's lag is taken to be.
func (l *loadTracker) setLag(lag int64) {
	if lag == l.lag {
		return
	}
	l.lag = lag
	for _, worker := range l.lagDependentWorkers() {
		l.index.invalidate(worker)
	}
}

// refreshStale computes anew what changed since the last search.
func (l *loadTracker) refreshStale() {
	for _, worker := range l.index.stale {
		l.refresh(worker)
	}
	l.index.stale = l.index.stale[:0]
}

// refresh computes anew what is requested of a worker, and its position in the index.
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
