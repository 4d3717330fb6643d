package placement

// This file sends what can be sent, best first, and answers what can wait no more.

import (
	"cmp"
	"slices"
)

const (
	// reservationFactor is by how much a held task must outrank another to keep a machine from it.
	reservationFactor = 1.5
	// rttWeight is the weight of one answer in the mean time that answers take.
	rttWeight = 1.0 / 16
	// latenessFactor is by how much a held task must be too late, by the pace at which room
	// comes, to be refused before its time is up.
	latenessFactor = 2.0
	// deadlineMarginTicks is how many ticks before its deadline a held task is answered.
	deadlineMarginTicks = 4
)

// priority is a task's worth for the room and time that it takes, the worth of a
// start included while it can still be in time: when room is short, tasks that
// are late already let those pass that are not. A tenant beyond its share ranks
// by what its tasks are then worth.
func (p *Scheduler) computePriority(t *taskInfo) float64 {
	c := &p.settings.Classes[t.classIndex]
	k := &p.settings.Kinds[0]
	size := t.Cores + t.Memory
	if p.settings.UnitCores > 0 && p.settings.UnitMemory > 0 {
		size = t.Cores/p.settings.UnitCores + t.Memory/p.settings.UnitMemory
	}
	v := c.Weight * size / max(t.Cores/k.Cores, t.Memory/k.Memory, 1e-9)
	if !t.Retry && p.now < t.arrivedAt+c.ObjectiveUs && t.HasRunHint {
		v *= 1 + c.StartBonusS*float64(second)/float64(max(t.ExpectedRunUs, second))
	}
	if p.overQuota(t) {
		v *= p.settings.OverQuotaWeight
	}
	return v
}

// overQuota guesses whether the tenant is beyond its share, from its part of
// own tasks and what the fleet is asked for.
func (p *Scheduler) overQuota(t *taskInfo) bool {
	i, ok := p.tenantIndexes[t.Tenant]
	if !ok || p.totalCores <= 0 || p.settings.Tenants[i].QuotaCores <= 0 {
		return false
	}
	return p.tenantCores[i]/p.totalCores*p.fleetRequestedCores() > p.settings.Tenants[i].QuotaCores
}

// runPass sends what can be sent, best first, and answers what can wait no more.
func (p *Scheduler) runPass() {
	if !p.dirty {
		return
	}
	p.dirty, p.concurrentPlacements = false, p.estimateConcurrentPlacements()
	for _, t := range p.pending {
		t.priority = p.computePriority(t)
	}
	slices.SortStableFunc(p.pending, func(a, b *taskInfo) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.queuedSince, b.queuedSince))
	})
	clear(p.unschedulable)
	p.clearReservations()
	ahead := 0.0 // units that are held and go first
	var room float64
	if slices.Max(p.reservedUnits) > 0 {
		room = p.freeUnits()
	}
	p.passTasks = append(p.passTasks[:0], p.pending...)
	for _, t := range p.passTasks {
		if p.exhausted(t) {
			p.giveFinalResponse(t)
			continue
		}
		s := taskShape{t.classIndex, t.Cores, t.Memory, 0}
		if p.settings.Classes[t.classIndex].Spread != ScopeNone {
			s.program = t.Program
		}
		units := p.settings.Units(t.Cores, t.Memory)
		if (!p.unschedulable[s] || t.mayHaveRun != nil) && (p.reservedUnits[t.classIndex] == 0 || room > p.reservedUnits[t.classIndex]) {
			if m := p.selectWorker(t); m != nil {
				if !p.probeFirst(t, m) {
					p.sendOffer(t, m)
					room -= units
				}
				continue
			}
		}
		if t.mayHaveRun != nil {
			continue
		}
		p.unschedulable[s] = true
		if p.releaseRate > 0 && (ahead+units)/p.releaseRate*float64(second) > float64(t.DeadlineUs-p.now)*latenessFactor {
			p.giveFinalResponse(t) // room comes too late for it: its owner is told now
			continue
		}
		ahead += units
		p.reserveFor(t)
	}
}

// reserveFor keeps the machine that is nearest to having room for a held task from
// those of far lower rank. It guards against small tasks of little worth that take
// every gap before it is large enough for one of more. It would harm where all held
// tasks are of one worth: then nothing is kept from them, or where room never comes:
// so half of the machines stay open to all.
func (p *Scheduler) reserveFor(t *taskInfo) {
	if !p.settings.HasView || len(p.reservations)*2 >= p.assignedCount() {
		return
	}
	if m := p.closestToFitting(t); m != nil {
		p.reserve(m, t.priority)
	}
}

func (p *Scheduler) sendOffer(t *taskInfo, m *workerInfo) {
	p.dequeue(t)
	a := &attempt{worker: m, sentAt: p.now, awaitingResponse: true}
	t.attempts = append(t.attempts, a)
	m.unanswered = append(m.unanswered, a)
	p.addDelta(m, t.Cores, t.Memory)
	p.addResident(m, t.Program)
	m.recordOffer(p.now, 2*p.settings.SlowStartWindowUs)
	p.emit(Place{RequestID: t.RequestID, Worker: m.Worker, AbandonAtUs: p.abandonAt(t)})
}

// abandonAt is when an attempt is given up: well after answers usually come, so
// that another may follow. An unsafe task could not be tried again, so it waits
// to its deadline.
func (p *Scheduler) abandonAt(t *taskInfo) int64 {
	c := &p.settings.Classes[t.classIndex]
	last := p.settings.MaxAttempts > 0 && len(t.attempts) >= p.settings.MaxAttempts
	if c.Effect == Unsafe || last || p.meanRTT == 0 {
		return t.DeadlineUs
	}
	wait := 2 * p.responseTimeout()
	if p.settings.AcceptMeansRunning {
		// Quick answers come first, so early on the slow starts are not seen yet.
		wait = max(wait, (t.DeadlineUs-p.now)*2/3)
	}
	return min(t.DeadlineUs, p.now+wait)
}

// responseTimeout is how long an answer takes at the longest, by those seen; where yes
// means running, starts that queue are no sign of a silent machine.
func (p *Scheduler) responseTimeout() int64 {
	if p.settings.AcceptMeansRunning {
		return max(int64(p.meanRTT+8*p.rttDeviation), second)
	}
	return max(int64(p.meanRTT+4*p.rttDeviation), second/8)
}

// exhausted reports whether nothing more can be done for a held task.
func (p *Scheduler) exhausted(t *taskInfo) bool {
	if t.DeadlineUs-p.now <= deadlineMarginTicks*max(p.settings.TickUs, 1000) || t.copyRunning || t.unusable {
		return true
	}
	if p.settings.MaxAttempts > 0 && len(t.attempts) >= p.settings.MaxAttempts {
		return true
	}
	c := &p.settings.Classes[t.classIndex]
	return t.mayHaveRun != nil && (c.Effect == Unsafe || c.Effect == Keyed && !p.repeatWindowOpen(c, t))
}

// giveFinalResponse gives the final answer: a refusal where the rules let us say that a
// retry is harmless, else a failure.
func (p *Scheduler) giveFinalResponse(t *taskInfo) {
	c := &p.settings.Classes[t.classIndex]
	if t.mayHaveRun == nil || c.Effect == Safe || c.Effect == Keyed && c.Group == ScopeAll {
		p.emit(Reject{RequestID: t.RequestID})
	} else {
		p.emit(Fail{RequestID: t.RequestID})
	}
	p.forgetTask(t)
}

// wake sets the next alarm.
