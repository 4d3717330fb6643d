package placement

// This file decides what a machine is taken to be asked for: what the list and reports
// say, how late that is, and own binds since.

import "math"

const (
	// lagStep and lagSteps span the lags that the view may have: 0.25 to 16 s.
	lagStep  = second / 4
	lagSteps = 64
	// lagFirst is the lag believed until lagSure changes were seen; old evidence fades
	// by lagMemory a change.
	lagFirst  = 4
	lagMemory = 0.98
	lagSure   = 20
	// bindsKept is how long own binds are remembered: past the longest lag.
	bindsKept = lagSteps*lagStep + 2*second
	// deltasMost bounds what is remembered of a machine whose view never comes.
	deltasMost = 4096

	// reportLag is how old a report is taken to be when it comes, reportFresh how long
	// it spares another probe, probesMost how many a task may cost.
	reportLag   = second / 2
	reportFresh = second
	probesMost  = 2
	overMost    = 8.0 // a report of more than this many times a machine's size is absurd
)

// list takes what discovery says. A machine absent from a full list is gone.
func (p *Scheduler) list(e WorkerList) {
	if e.Kind == ListFailed {
		p.subscribed = false
		p.askTries++
		p.askAt = p.now + p.backoff()
		return
	}
	if e.Kind != ListCached {
		p.subscribed, p.askTries, p.askAt = true, 0, 0
	}
	if e.Kind == ListFull || e.Kind == ListCached {
		for _, m := range p.order {
			p.setListed(m, false)
		}
	}
	for _, x := range e.Entries {
		p.entry(x, e.Kind != ListCached)
	}
	p.forget()
	// Of a large fleet some change is told in each turn: held tasks wait for the bell then.
	p.stirred = p.stirred || e.Kind != ListDelta || p.own() <= enumerated
}

// learnLag compares a change of the view with own binds. The lag that explains
// the changes best is believed. It guards against counting own binds twice and
// against dropping them early; it covers any delay, also one that grows. Where
// own binds are few beside those of others it learns slowly.
func (p *Scheduler) learnLag(m *machine, x Entry) {
	k := p.size(m)
	if k == nil {
		return
	}
	seen := (m.FreeCores - x.FreeCores) / k.Cores
	p.lagSeen = p.lagSeen*lagMemory + 1
	best := 0
	for i := range p.lagErr {
		lag := int64(i+1) * lagStep
		own, _ := m.since(m.viewAt - lag)
		late, _ := m.since(p.now - lag)
		d := seen - (own-late)/k.Cores
		p.lagErr[i] = p.lagErr[i]*lagMemory + d*d
		if p.lagErr[i] < p.lagErr[best] {
			best = i
		}
	}
	if p.lagSeen > lagSure {
		p.setLag(int64(best+1) * lagStep)
	}
}

// load is what m is asked for: the view, or its report where that is newer, plus
// own changes since.
func (p *Scheduler) load(m *machine) (cores, mem float64) {
	if !m.stale {
		return m.askedCores, m.askedMemory
	}
	k := p.size(m)
	at, spareC, spareM := m.viewAt-p.lag, m.FreeCores, m.FreeMemory
	if m.toldRoom && m.toldAt-reportLag > at {
		at, spareC, spareM = m.toldAt-reportLag, m.told.FreeCores, m.told.FreeMemory
	}
	c, b := m.since(at)
	return max(0, k.Cores-spareC+c), max(0, k.Memory-spareM+b)
}

// sampled takes the answer to a probe: what is asked of the machine, how busy it
// is, how many offers and starts wait there. Values that are missing or absurd
// are left out. Silence counts as with any attempt; an answer heals nothing, as a
// machine may answer probes and lose tasks.
func (p *Scheduler) sampled(e ProbeResult) {
	m := p.machines[e.Worker]
	if m == nil {
		return
	}
	m.probedAt, p.stirred = 0, true
	k := p.size(m)
	if e.Outcome != Completed {
		m.hurt(p.now, silenceHurt)
	}
	if e.Outcome != Completed || k == nil {
		return
	}
	m.told, m.toldAt, m.toldRoom = e.Load, p.now, false
	p.followLag(m)
	p.touch(m)
	util, press := e.Load.Utilization, math.NaN()
	if within(e.Load.FreeCores, k.Cores*(1-overMost), k.Cores) && within(e.Load.FreeMemory, k.Memory*(1-overMost), k.Memory) {
		if p.s.ReportsUsage {
			util, press = 1-e.Load.FreeCores/k.Cores, 1-e.Load.FreeMemory/k.Memory
		} else {
			m.toldRoom = true
		}
	}
	if within(util, 0, overMost) {
		p.bend(m, &m.bendC, 0, util, p.calm(), util > p.calm(), 1)
	}
	if within(press, 0, overMost) {
		p.bend(m, &m.bendM, 1, press, memoryFull, press > memoryFull, 1)
	}
}

// backlog is the share that starts and offers waiting on m stand for: own ones, or
// those that a recent report tells, if more.
func (p *Scheduler) backlog(m *machine) float64 {
	n := float64(m.starting())
	if p.now-m.toldAt < reportFresh && within(m.told.Queued, n, 1e4) {
		n = m.told.Queued
	}
	return startShare * n
}

// ask probes the machine that t would go to, where its load is only told that way
// and was not told lately, and reports whether t waits for the answer.
func (p *Scheduler) ask(t *task, m *machine) bool {
	if !p.s.Probes || t.probes >= probesMost || m.toldAt > 0 && p.now-m.toldAt < reportFresh {
		return false
	}
	if m.probedAt == 0 {
		t.probes++
		m.probedAt = p.now
		p.do(Probe{Worker: m.Worker})
	}
	return true
}

// refused takes a refusal for lack of room as news of the machine: until the
// view can have followed, it has less room than the task asks.
func (p *Scheduler) refused(m *machine, t *task, why Cause) {
	k := p.size(m)
	if k == nil {
		return
	}
	c, b := p.load(m)
	if why == CauseCores {
		p.bind(m, max(0, k.Cores*p.s.CoresOvercommit-c-t.Cores*0.99), 0)
	} else {
		p.bind(m, 0, max(0, k.Memory*p.s.MemoryOvercommit-b-t.Memory*0.99))
	}
}
