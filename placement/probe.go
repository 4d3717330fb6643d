package placement

import "math"

// This file owns probes of single workers and the evaluation of their reports. It must not decide which
// worker gets a task, only whether a task waits for a report.

const (
	// reportValidity is the time for which a report is current. During this time, the worker is not
	// probed again. Scores use the queue length from the report if that length is higher than the
	// number of offers and starts that the scheduler itself knows of (see scorer.startBacklog).
	reportValidity = second
	// maxProbesPerTask is the maximum number of probes sent for one task.
	maxProbesPerTask = 2
	// maxReportedOvercommit is the largest plausible load in a report, as a multiple of the worker's
	// size. Reported values that imply a higher load are ignored.
	maxReportedOvercommit = 8.0
)

// probes sends probes to workers and evaluates their reports.
type probes struct {
	*environment
	fleet       *fleet
	loads       *loadTracker
	capacity    *capacityModel
	calibration *calibration
}

// mustWaitForReport reports whether a task must wait for a report of the worker selected for it. The task
// waits if probes are permitted, the worker has not reported within reportValidity and the task has not
// used up its probes. In this case, mustWaitForReport also sends a probe, unless an earlier probe of the
// worker still awaits its result.
func (p *probes) mustWaitForReport(task *taskInfo, worker *workerInfo) bool {
	reported := worker.reportedAt > 0 && p.now-worker.reportedAt < reportValidity
	if !p.settings.Probes || task.probesSent >= maxProbesPerTask || reported {
		return false
	}
	if worker.probeSentAt == 0 {
		task.probesSent++
		worker.probeSentAt = p.now
		p.emit(Probe{Worker: worker.Worker})
	}
	return true
}

// recordResult evaluates the result of a probe. A report contains the worker's free capacity, its
// utilization and the number of offers and starts in its queue. Missing or implausible values are ignored.
// A probe that does not complete raises the worker's suspicion for every class by timeoutSuspicion. An
// answer does not lower the suspicion, because a worker may answer probes and still lose tasks.
func (p *probes) recordResult(event ProbeResult) {
	worker := p.fleet.workers[event.Worker]
	if worker == nil {
		return
	}
	worker.probeSentAt, p.needsPass = 0, true
	kind := p.kindOf(worker)
	if event.Outcome != Completed {
		worker.addSuspicion(p.now, timeoutSuspicion)
	}
	if event.Outcome != Completed || kind == nil {
		return
	}
	p.loads.recordReport(worker, event.Load)
	utilization, memoryUse := event.Load.Utilization, math.NaN()
	if inRange(event.Load.FreeCores, kind.Cores*(1-maxReportedOvercommit), kind.Cores) &&
		inRange(event.Load.FreeMemory, kind.Memory*(1-maxReportedOvercommit), kind.Memory) {
		if p.settings.ReportsUsage {
			utilization, memoryUse = 1-event.Load.FreeCores/kind.Cores, 1-event.Load.FreeMemory/kind.Memory
		} else {
			worker.reportsFree = true
		}
	}
	if inRange(utilization, 0, maxReportedOvercommit) {
		p.calibration.learn(worker, measurement{
			resource: resourceCores, used: utilization, target: p.capacity.saturationLoad,
			poor: utilization > p.capacity.saturationLoad, confidence: 1,
		})
	}
	if inRange(memoryUse, 0, maxReportedOvercommit) {
		p.calibration.learn(worker, measurement{
			resource: resourceMemory, used: memoryUse, target: memorySaturation,
			poor: memoryUse > memorySaturation, confidence: 1,
		})
	}
}
