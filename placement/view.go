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
	initialLagSteps  = 4
	lagDecay = 0.98
	minLagObservations   = 20
	// deltaRetention is how long own binds are remembered: past the longest lag.
	deltaRetention = lagSteps*lagStep + 2*second
	// maxDeltas bounds what is remembered of a machine whose view never comes.
	maxDeltas = 4096

	// reportLag is how old a report is taken to be when it comes, reportValidity how long
	// it spares another probe, maxProbesPerTask how many a task may cost.
	reportLag   = second / 2
	reportValidity = second
	maxProbesPerTask  = 2
	maxReportedOvercommit    = 8.0 // a report of more than this many times a machine's size is absurd
)

// updateWorkers takes what discovery says. A machine absent from a full list is gone.
func (p *Scheduler) updateWorkers(e WorkerList) {
	if e.Kind == ListFailed {
		p.subscribed = false
		p.pollAttempts++
		p.pollAt = p.now + p.backoff()
		return
	}
	if e.Kind != ListCached {
		p.subscribed, p.pollAttempts, p.pollAt = true, 0, 0
	}
	if e.Kind == ListFull || e.Kind == ListCached {
		for _, m := range p.sorted {
			p.setListed(m, false)
		}
	}
	for _, x := range e.Entries {
		p.updateWorker(x, e.Kind != ListCached)
	}
	p.forgetUnlisted()
	// Of a large fleet some change is told in each turn: held tasks wait for the bell then.
	p.dirty = p.dirty || e.Kind != ListDelta || p.assignedCount() <= maxEnumerated
}

// learnLag compares a change of the view with own binds. The lag that explains
// the changes best is believed. It guards against counting own binds twice and
// against dropping them early; it covers any delay, also one that grows. Where
// own binds are few beside those of others it learns slowly.
func (p *Scheduler) learnLag(m *workerInfo, x Entry) {
	k := p.kindOf(m)
	if k == nil {
		return
	}
	seen := (m.FreeCores - x.FreeCores) / k.Cores
	p.lagObservations = p.lagObservations*lagDecay + 1
	best := 0
	for i := range p.lagErrors {
		lag := int64(i+1) * lagStep
		own, _ := m.deltasSince(m.viewedAt - lag)
		late, _ := m.deltasSince(p.now - lag)
		d := seen - (own-late)/k.Cores
		p.lagErrors[i] = p.lagErrors[i]*lagDecay + d*d
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
func (p *Scheduler) requested(m *workerInfo) (cores, mem float64) {
	if !m.stale {
		return m.requestedCores, m.requestedMemory
	}
	k := p.kindOf(m)
	at, spareC, spareM := m.viewedAt-p.lag, m.FreeCores, m.FreeMemory
	if m.reportsFree && m.reportedAt-reportLag > at {
		at, spareC, spareM = m.reportedAt-reportLag, m.lastReport.FreeCores, m.lastReport.FreeMemory
	}
	c, b := m.deltasSince(at)
	return max(0, k.Cores-spareC+c), max(0, k.Memory-spareM+b)
}

// probeEnded takes the answer to a probe: what is asked of the machine, how busy it
// is, how many offers and starts wait there. Values that are missing or absurd
// are left out. Silence counts as with any attempt; an answer heals nothing, as a
// machine may answer probes and lose tasks.
func (p *Scheduler) probeEnded(e ProbeResult) {
	m := p.workers[e.Worker]
	if m == nil {
		return
	}
	m.probeSentAt, p.dirty = 0, true
	k := p.kindOf(m)
	if e.Outcome != Completed {
		m.addSuspicion(p.now, timeoutSuspicion)
	}
	if e.Outcome != Completed || k == nil {
		return
	}
	m.lastReport, m.reportedAt, m.reportsFree = e.Load, p.now, false
	p.trackLag(m)
	p.markStale(m)
	util, press := e.Load.Utilization, math.NaN()
	if inRange(e.Load.FreeCores, k.Cores*(1-maxReportedOvercommit), k.Cores) && inRange(e.Load.FreeMemory, k.Memory*(1-maxReportedOvercommit), k.Memory) {
		if p.settings.ReportsUsage {
			util, press = 1-e.Load.FreeCores/k.Cores, 1-e.Load.FreeMemory/k.Memory
		} else {
			m.reportsFree = true
		}
	}
	if inRange(util, 0, maxReportedOvercommit) {
		p.calibrate(m, &m.coresCalibration, 0, util, p.saturationLoad(), util > p.saturationLoad(), 1)
	}
	if inRange(press, 0, maxReportedOvercommit) {
		p.calibrate(m, &m.memoryCalibration, 1, press, memorySaturation, press > memorySaturation, 1)
	}
}

// backlog is the share that starts and offers waiting on m stand for: own ones, or
// those that a recent report tells, if more.
func (p *Scheduler) backlog(m *workerInfo) float64 {
	n := float64(m.starting())
	if p.now-m.reportedAt < reportValidity && inRange(m.lastReport.Queued, n, 1e4) {
		n = m.lastReport.Queued
	}
	return startPenalty * n
}

// probeFirst probes the machine that t would go to, where its load is only told that way
// and was not told lately, and reports whether t waits for the answer.
func (p *Scheduler) probeFirst(t *taskInfo, m *workerInfo) bool {
	if !p.settings.Probes || t.probesSent >= maxProbesPerTask || m.reportedAt > 0 && p.now-m.reportedAt < reportValidity {
		return false
	}
	if m.probeSentAt == 0 {
		t.probesSent++
		m.probeSentAt = p.now
		p.emit(Probe{Worker: m.Worker})
	}
	return true
}

// recordRejection takes a refusal for lack of room as news of the machine: until the
// view can have followed, it has less room than the task asks.
func (p *Scheduler) recordRejection(m *workerInfo, t *taskInfo, why Cause) {
	k := p.kindOf(m)
	if k == nil {
		return
	}
	c, b := p.requested(m)
	if why == CauseCores {
		p.addDelta(m, max(0, k.Cores*p.settings.CoresOvercommit-c-t.Cores*0.99), 0)
	} else {
		p.addDelta(m, 0, max(0, k.Memory*p.settings.MemoryOvercommit-b-t.Memory*0.99))
	}
}
