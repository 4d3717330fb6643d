package placement

import "math"

// This file owns the view of the workers: lists, reports, and how late lists are. It must
// never decide which worker gets a task.

const (
	// lagDecay is what is left of the evidence for a lag after each change of the view, and
	// minLagObservations how much evidence a lag needs.
	lagDecay           = 0.98
	minLagObservations = 20
	// reportValidity is how long a report spares another probe, maxProbesPerTask how many
	// probes a task may cost.
	reportValidity   = second
	maxProbesPerTask = 2
	// maxReportedOvercommit is over how many times a worker's size a report is absurd, and
	// maxReportedQueue over how many offers.
	maxReportedOvercommit = 8.0
	maxReportedQueue      = 1e4
	// startPenalty is what a start under way adds to a worker's backlog, at mean size: workers
	// start few tasks at a time, and a late start loses its bonus.
	startPenalty = 0.03
)

// view takes lists and reports.
type view struct {
	*environment
	fleet       *fleet
	loads       *loadTracker
	capacity    *capacityModel
	calibration *calibration
	// lagErrors are the squared errors of each lag, lagObservations the changes seen; old ones
	// count less.
	lagErrors       [lagSteps]float64
	lagObservations float64
}

// apply takes a list. A worker absent from a complete list has left.
func (v *view) apply(list WorkerList) {
	if list.Kind == ListFull || list.Kind == ListCached {
		v.fleet.unlistAll()
	}
	for _, entry := range list.Entries {
		v.update(entry, list.Kind != ListCached)
	}
	v.fleet.forgetUnlisted()
	// Of a large fleet some change comes with each call: pending tasks wait for the timer then.
	v.dirty = v.dirty || list.Kind != ListDelta || v.fleet.assignedCount() <= maxEnumerated
}

// update takes an entry of a list, which may be current or cached.
func (v *view) update(entry Entry, current bool) {
	worker := v.fleet.ensure(entry.Worker)
	assigned := worker.State != Foreign && entry.State != Foreign // else its view is not current
	if current && assigned && worker.everListed && worker.viewedAt > 0 &&
		worker.StartedAtUs == entry.StartedAtUs && v.settings.HasView {
		v.learnLag(worker, entry)
	}
	v.fleet.update(worker, entry)
}

// learnLag compares a change of the view with own changes. The lag that explains the changes
// best is believed. It guards against counting own placements twice and against dropping them
// early; it covers any delay, also one that grows. Where own placements are few beside those of
// others it learns slowly.
func (v *view) learnLag(worker *workerInfo, entry Entry) {
	kind := v.kindOf(worker)
	if kind == nil {
		return
	}
	seen := (worker.FreeCores - entry.FreeCores) / kind.Cores
	v.lagObservations = v.lagObservations*lagDecay + 1
	best := 0
	for i := range v.lagErrors {
		lag := int64(i+1) * lagStep
		changed, _ := worker.deltasSince(worker.viewedAt - lag)
		recent, _ := worker.deltasSince(v.now - lag)
		difference := seen - (changed-recent)/kind.Cores
		v.lagErrors[i] = v.lagErrors[i]*lagDecay + difference*difference
		if v.lagErrors[i] < v.lagErrors[best] {
			best = i
		}
	}
	if v.lagObservations > minLagObservations {
		v.loads.setLag(int64(best+1) * lagStep)
	}
}

// probeWanted probes the worker that a task would go to, where its load is only known that way
// and was not reported lately, and reports whether the task waits for the report.
func (v *view) probeWanted(task *taskInfo, worker *workerInfo) bool {
	reported := worker.reportedAt > 0 && v.now-worker.reportedAt < reportValidity
	if !v.settings.Probes || task.probesSent >= maxProbesPerTask || reported {
		return false
	}
	if worker.probeSentAt == 0 {
		task.probesSent++
		worker.probeSentAt = v.now
		v.emit(Probe{Worker: worker.Worker})
	}
	return true
}

// probeEnded takes the answer to a probe: what is requested of the worker, how busy it is, how
// many offers and starts wait there. Values that are missing or absurd are left out. A timeout
// counts as with any attempt; an answer heals nothing, as a worker may answer probes and lose
// tasks.
func (v *view) probeEnded(event ProbeResult) {
	worker := v.fleet.workers[event.Worker]
	if worker == nil {
		return
	}
	worker.probeSentAt, v.dirty = 0, true
	kind := v.kindOf(worker)
	if event.Outcome != Completed {
		worker.addSuspicion(v.now, timeoutSuspicion)
	}
	if event.Outcome != Completed || kind == nil {
		return
	}
	v.loads.recordReport(worker, event.Load)
	utilization, memoryUse := event.Load.Utilization, math.NaN()
	if inRange(event.Load.FreeCores, kind.Cores*(1-maxReportedOvercommit), kind.Cores) &&
		inRange(event.Load.FreeMemory, kind.Memory*(1-maxReportedOvercommit), kind.Memory) {
		if v.settings.ReportsUsage {
			utilization, memoryUse = 1-event.Load.FreeCores/kind.Cores, 1-event.Load.FreeMemory/kind.Memory
		} else {
			worker.reportsFree = true
		}
	}
	if inRange(utilization, 0, maxReportedOvercommit) {
		v.calibration.learn(worker, measurement{
			resource: resourceCores, used: utilization, target: v.capacity.saturationLoad,
			poor: utilization > v.capacity.saturationLoad, confidence: 1,
		})
	}
	if inRange(memoryUse, 0, maxReportedOvercommit) {
		v.calibration.learn(worker, measurement{
			resource: resourceMemory, used: memoryUse, target: memorySaturation,
			poor: memoryUse > memorySaturation, confidence: 1,
		})
	}
}

// backlog is the utilization that starts and offers waiting at a worker stand for: own ones, or
// those that a recent report names, if more.
func (v *view) backlog(worker *workerInfo) float64 {
	starts := float64(worker.starting())
	if v.now-worker.reportedAt < reportValidity && inRange(worker.lastReport.Queued, starts, maxReportedQueue) {
		starts = worker.lastReport.Queued
	}
	return startPenalty * starts
}
