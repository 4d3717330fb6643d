package placement

// This file decides what a machine is taken to be asked for: what the list and reports
// say, how late that is, and own binds since.

import "math"

const (
	// lagStep and lagSteps span the lags that the view may have: 0.25 to 16 s.
	lagStep  = second / 4
	lagSteps = 64
	// initialLagSteps is the lag believed until minLagObservations changes were seen; old evidence fades
	// by lagDecay a change.
	initialLagSteps    = 4
	lagDecay           = 0.98
	minLagObservations = 20
	// deltaRetention is how long own binds are remembered: past the longest lag.
	deltaRetention = lagSteps*lagStep + 2*second
	// maxDeltas bounds what is remembered of a machine whose view never comes.
	maxDeltas = 4096

	// reportLag is how old a report is taken to be when it comes, reportValidity how long
	// it spares another probe, maxProbesPerTask how many a task may cost.
	reportLag             = second / 2
	reportValidity        = second
	maxProbesPerTask      = 2
	maxReportedOvercommit = 8.0 // a report of more than this many times a machine's size is absurd
)

// updateWorkers takes what discovery says. A machine absent from a full list is gone.
func (p *Scheduler) updateWorkers(event WorkerList) {
	if event.Kind == ListFailed {
		p.subscribed = false
		p.pollAttempts++
		p.pollAt = p.now + p.backoff()
		return
	}
	if event.Kind != ListCached {
		p.subscribed, p.pollAttempts, p.pollAt = true, 0, 0
	}
	if event.Kind == ListFull || event.Kind == ListCached {
		for _, worker := range p.sorted {
			p.setListed(worker, false)
		}
	}
	for _, entry := range event.Entries {
		p.updateWorker(entry, event.Kind != ListCached)
	}
	p.forgetUnlisted()
	// Of a large fleet some change is told in each turn: held tasks wait for the bell then.
	p.dirty = p.dirty || event.Kind != ListDelta || p.assignedCount() <= maxEnumerated
}

// learnLag compares a change of the view with own binds. The lag that explains
// the changes best is believed. It guards against counting own binds twice and
// against dropping them early; it covers any delay, also one that grows. Where
// own binds are few beside those of others it learns slowly.
func (p *Scheduler) learnLag(worker *workerInfo, entry Entry) {
	kind := p.kindOf(worker)
	if kind == nil {
		return
	}
	seen := (worker.FreeCores - entry.FreeCores) / kind.Cores
	p.lagObservations = p.lagObservations*lagDecay + 1
	best := 0
	for i := range p.lagErrors {
		lag := int64(i+1) * lagStep
		changed, _ := worker.deltasSince(worker.viewedAt - lag)
		recent, _ := worker.deltasSince(p.now - lag)
		difference := seen - (changed-recent)/kind.Cores
		p.lagErrors[i] = p.lagErrors[i]*lagDecay + difference*difference
		if p.lagErrors[i] < p.lagErrors[best] {
			best = i
		}
	}
	if p.lagObservations > minLagObservations {
		p.setLag(int64(best+1) * lagStep)
	}
}

// requested is what m is asked for: the view, or its report where that is newer, plus
// own changes since.
func (p *Scheduler) requested(worker *workerInfo) (cores, memory float64) {
	if !worker.stale {
		return worker.requestedCores, worker.requestedMemory
	}
	kind := p.kindOf(worker)
	since, freeCores, freeMemory := worker.viewedAt-p.lag, worker.FreeCores, worker.FreeMemory
	if worker.reportsFree && worker.reportedAt-reportLag > since {
		since, freeCores, freeMemory = worker.reportedAt-reportLag, worker.lastReport.FreeCores, worker.lastReport.FreeMemory
	}
	addedCores, addedMemory := worker.deltasSince(since)
	return max(0, kind.Cores-freeCores+addedCores), max(0, kind.Memory-freeMemory+addedMemory)
}

// probeEnded takes the answer to a probe: what is asked of the machine, how busy it
// is, how many offers and starts wait there. Values that are missing or absurd
// are left out. Silence counts as with any attempt; an answer heals nothing, as a
// machine may answer probes and lose tasks.
func (p *Scheduler) probeEnded(event ProbeResult) {
	worker := p.workers[event.Worker]
	if worker == nil {
		return
	}
	worker.probeSentAt, p.dirty = 0, true
	kind := p.kindOf(worker)
	if event.Outcome != Completed {
		worker.addSuspicion(p.now, timeoutSuspicion)
	}
	if event.Outcome != Completed || kind == nil {
		return
	}
	worker.lastReport, worker.reportedAt, worker.reportsFree = event.Load, p.now, false
	p.trackLag(worker)
	p.markStale(worker)
	utilization, memoryUse := event.Load.Utilization, math.NaN()
	if inRange(event.Load.FreeCores, kind.Cores*(1-maxReportedOvercommit), kind.Cores) && inRange(event.Load.FreeMemory, kind.Memory*(1-maxReportedOvercommit), kind.Memory) {
		if p.settings.ReportsUsage {
			utilization, memoryUse = 1-event.Load.FreeCores/kind.Cores, 1-event.Load.FreeMemory/kind.Memory
		} else {
			worker.reportsFree = true
		}
	}
	if inRange(utilization, 0, maxReportedOvercommit) {
		p.calibrate(worker, &worker.coresCalibration, 0, utilization, p.saturationLoad(), utilization > p.saturationLoad(), 1)
	}
	if inRange(memoryUse, 0, maxReportedOvercommit) {
		p.calibrate(worker, &worker.memoryCalibration, 1, memoryUse, memorySaturation, memoryUse > memorySaturation, 1)
	}
}

// backlog is the share that starts and offers waiting on m stand for: own ones, or
// those that a recent report tells, if more.
func (p *Scheduler) backlog(worker *workerInfo) float64 {
	starts := float64(worker.starting())
	if p.now-worker.reportedAt < reportValidity && inRange(worker.lastReport.Queued, starts, 1e4) {
		starts = worker.lastReport.Queued
	}
	return startPenalty * starts
}

// probeFirst probes the machine that t would go to, where its load is only told that way
// and was not told lately, and reports whether t waits for the answer.
func (p *Scheduler) probeFirst(task *taskInfo, worker *workerInfo) bool {
	if !p.settings.Probes || task.probesSent >= maxProbesPerTask || worker.reportedAt > 0 && p.now-worker.reportedAt < reportValidity {
		return false
	}
	if worker.probeSentAt == 0 {
		task.probesSent++
		worker.probeSentAt = p.now
		p.emit(Probe{Worker: worker.Worker})
	}
	return true
}

// recordRejection takes a refusal for lack of room as news of the machine: until the
// view can have followed, it has less room than the task asks.
func (p *Scheduler) recordRejection(worker *workerInfo, task *taskInfo, cause Cause) {
	kind := p.kindOf(worker)
	if kind == nil {
		return
	}
	cores, memory := p.requested(worker)
	if cause == CauseCores {
		p.addDelta(worker, max(0, kind.Cores*p.settings.CoresOvercommit-cores-task.Cores*0.99), 0)
	} else {
		p.addDelta(worker, 0, max(0, kind.Memory*p.settings.MemoryOvercommit-memory-task.Memory*0.99))
	}
}
