package placement

import "math"

// This file owns probes of single workers and what their reports say. It must never decide which worker
// gets a task, only that a task waits for a report.

const (
	// reportValidity is how long a report spares another probe, maxProbesPerTask how many
	// probes a task may cost.
	reportValidity   = second
	maxProbesPerTask = 2
	// maxReportedOvercommit is over how many times a worker's size a report is absurd.
	maxReportedOvercommit = 8.0
)

// probes sends probes and takes their reports.
type probes struct {
	*environment
	fleet       *fleet
	loads       *loadTracker
	capacity    *capacityModel
	calibration *calibration
}

// wanted probes the worker that a task would go to, where its load is only known that way
// and was not reported lately, and reports whether the task waits for the report.
func (p *probes) wanted(task *taskInfo, worker *workerInfo) bool {
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

// ended takes the answer to a probe: what is requested of the worker, how busy it is, how
// many offers and starts wait there. Values that are missing or absurd are left out. A timeout
// counts as with any attempt; an answer heals nothing, as a worker may answer probes and lose
// tasks.
func (p *probes) ended(event ProbeResult) {
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
