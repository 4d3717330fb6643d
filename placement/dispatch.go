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
func (p *Scheduler) computePriority(task *taskInfo) float64 {
	class := &p.settings.Classes[task.classIndex]
	kind := &p.settings.Kinds[0]
	size := task.Cores + task.Memory
	if p.settings.UnitCores > 0 && p.settings.UnitMemory > 0 {
		size = task.Cores/p.settings.UnitCores + task.Memory/p.settings.UnitMemory
	}
	priority := class.Weight * size / max(task.Cores/kind.Cores, task.Memory/kind.Memory, 1e-9)
	if !task.Retry && p.now < task.arrivedAt+class.ObjectiveUs && task.HasRunHint {
		priority *= 1 + class.StartBonusS*float64(second)/float64(max(task.ExpectedRunUs, second))
	}
	if p.overQuota(task) {
		priority *= p.settings.OverQuotaWeight
	}
	return priority
}

// overQuota guesses whether the tenant is beyond its share, from its part of
// own tasks and what the fleet is asked for.
func (p *Scheduler) overQuota(task *taskInfo) bool {
	tenantIndex, ok := p.tenantIndexes[task.Tenant]
	if !ok || p.totalCores <= 0 || p.settings.Tenants[tenantIndex].QuotaCores <= 0 {
		return false
	}
	return p.tenantCores[tenantIndex]/p.totalCores*p.fleetRequestedCores() > p.settings.Tenants[tenantIndex].QuotaCores
}

// runPass sends what can be sent, best first, and answers what can wait no more.
func (p *Scheduler) runPass() {
	if !p.dirty {
		return
	}
	p.dirty, p.concurrentPlacements = false, p.estimateConcurrentPlacements()
	for _, task := range p.pending {
		task.priority = p.computePriority(task)
	}
	slices.SortStableFunc(p.pending, func(a, b *taskInfo) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.queuedSince, b.queuedSince))
	})
	clear(p.unschedulable)
	p.clearReservations()
	unitsAhead := 0.0 // units that are held and go first
	var freeUnits float64
	if slices.Max(p.reservedUnits) > 0 {
		freeUnits = p.freeUnits()
	}
	p.passTasks = append(p.passTasks[:0], p.pending...)
	for _, task := range p.passTasks {
		if p.exhausted(task) {
			p.giveFinalResponse(task)
			continue
		}
		shape := taskShape{task.classIndex, task.Cores, task.Memory, 0}
		if p.settings.Classes[task.classIndex].Spread != ScopeNone {
			shape.program = task.Program
		}
		units := p.settings.Units(task.Cores, task.Memory)
		if (!p.unschedulable[shape] || task.mayHaveRun != nil) && (p.reservedUnits[task.classIndex] == 0 || freeUnits > p.reservedUnits[task.classIndex]) {
			if worker := p.selectWorker(task); worker != nil {
				if !p.probeFirst(task, worker) {
					p.sendOffer(task, worker)
					freeUnits -= units
				}
				continue
			}
		}
		if task.mayHaveRun != nil {
			continue
		}
		p.unschedulable[shape] = true
		if p.releaseRate > 0 && (unitsAhead+units)/p.releaseRate*float64(second) > float64(task.DeadlineUs-p.now)*latenessFactor {
			p.giveFinalResponse(task) // room comes too late for it: its owner is told now
			continue
		}
		unitsAhead += units
		p.reserveFor(task)
	}
}

// reserveFor keeps the machine that is nearest to having room for a held task from
// those of far lower rank. It guards against small tasks of little worth that take
// every gap before it is large enough for one of more. It would harm where all held
// tasks are of one worth: then nothing is kept from them, or where room never comes:
// so half of the machines stay open to all.
func (p *Scheduler) reserveFor(task *taskInfo) {
	if !p.settings.HasView || len(p.reservations)*2 >= p.assignedCount() {
		return
	}
	if worker := p.closestToFitting(task); worker != nil {
		p.reserve(worker, task.priority)
	}
}

func (p *Scheduler) sendOffer(task *taskInfo, worker *workerInfo) {
	p.dequeue(task)
	attempt := &attemptInfo{worker: worker, sentAt: p.now, awaitingResponse: true}
	task.attempts = append(task.attempts, attempt)
	worker.unanswered = append(worker.unanswered, attempt)
	p.addDelta(worker, task.Cores, task.Memory)
	p.addResident(worker, task.Program)
	worker.recordOffer(p.now, 2*p.settings.SlowStartWindowUs)
	p.emit(Place{RequestID: task.RequestID, Worker: worker.Worker, AbandonAtUs: p.abandonAt(task)})
}

// abandonAt is when an attempt is given up: well after answers usually come, so
// that another may follow. An unsafe task could not be tried again, so it waits
// to its deadline.
func (p *Scheduler) abandonAt(task *taskInfo) int64 {
	class := &p.settings.Classes[task.classIndex]
	lastAttempt := p.settings.MaxAttempts > 0 && len(task.attempts) >= p.settings.MaxAttempts
	if class.Effect == Unsafe || lastAttempt || p.meanRTT == 0 {
		return task.DeadlineUs
	}
	timeout := 2 * p.responseTimeout()
	if p.settings.AcceptMeansRunning {
		// Quick answers come first, so early on the slow starts are not seen yet.
		timeout = max(timeout, (task.DeadlineUs-p.now)*2/3)
	}
	return min(task.DeadlineUs, p.now+timeout)
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
func (p *Scheduler) exhausted(task *taskInfo) bool {
	if task.DeadlineUs-p.now <= deadlineMarginTicks*max(p.settings.TickUs, 1000) || task.copyRunning || task.unusable {
		return true
	}
	if p.settings.MaxAttempts > 0 && len(task.attempts) >= p.settings.MaxAttempts {
		return true
	}
	class := &p.settings.Classes[task.classIndex]
	return task.mayHaveRun != nil && (class.Effect == Unsafe || class.Effect == Keyed && !p.repeatWindowOpen(class, task))
}

// giveFinalResponse gives the final answer: a refusal where the rules let us say that a
// retry is harmless, else a failure.
func (p *Scheduler) giveFinalResponse(task *taskInfo) {
	class := &p.settings.Classes[task.classIndex]
	if task.mayHaveRun == nil || class.Effect == Safe || class.Effect == Keyed && class.Group == ScopeAll {
		p.emit(Reject{RequestID: task.RequestID})
	} else {
		p.emit(Fail{RequestID: task.RequestID})
	}
	p.forgetTask(task)
}

// wake sets the next alarm.
