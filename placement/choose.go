package placement

// This file chooses the machine for a task: filters first, then the admission cost.

import (
	"cmp"
	"slices"
)

const (
	// costMargin is how far above the lowest admission cost still counts as equal:
	// about what one small task adds, which a late view cannot tell apart.
	costMargin = 0.02
	// missPenalty is what a start away from the task's program adds to the backlog: it
	// takes several times the work and mostly misses its aim.
	missPenalty = 3.0
	// programWorkers is over how many machines the tasks of a program are spread.
	programWorkers = 12.0
	// startPenalty is what an own start under way adds to a machine's backlog, at mean
	// size: machines start few tasks at a time, and a late start loses its worth.
	startPenalty = 0.03
	// largeTaskShare is the share of a machine from which a task counts as large.
	largeTaskShare = 0.15
	// maxUtilization keeps the factor 1/(1-rho) finite when more is asked than borne.
	maxUtilization = 0.95
)

// selectWorker returns the machine for t, or nil where it has to wait.
func (p *Scheduler) selectWorker(task *taskInfo) *workerInfo {
	finalists := p.finalists(task)
	if len(finalists) == 0 {
		return nil
	}
	return p.nthByOrdinal(finalists, p.random.IntN(len(finalists)))
}

// finalists returns the machines among which t's is drawn, or none where t has to wait.
func (p *Scheduler) finalists(task *taskInfo) []*workerInfo {
	finalists := p.lowestCost(task)
	if len(finalists) == 0 {
		return p.fallback(task)
	}
	if worker := p.uncordonedWorker(task); worker != nil {
		return append(finalists[:0], worker)
	}
	return finalists
}

// uncordonedWorker returns a machine that operators put back, if t can go there: one task shows
// that it is in use again.
func (p *Scheduler) uncordonedWorker(task *taskInfo) (found *workerInfo) {
	class := &p.settings.Classes[task.classIndex]
	for worker := range p.uncordoned {
		switch {
		case !worker.awaitsFirstTask:
			delete(p.uncordoned, worker)
		case class.Effect == Unsafe || !p.available(worker, class, task) || !p.healthyFor(worker, task) || !p.fits(worker, task):
		case found == nil || worker.ordinal < found.ordinal:
			found = worker
		}
	}
	return found
}

// fallback returns the machine for t where each that has room looks bad, as the last
// search found: the least suspect one, or none.
func (p *Scheduler) fallback(task *taskInfo) []*workerInfo {
	class := &p.settings.Classes[task.classIndex]
	suspects := p.search.suspects
	if len(suspects) == 0 || class.Effect != Safe && p.majorityHealthy(task) {
		// A machine that fails fast looks empty: where most are well but full, a
		// task waits for them, unless trying again is safe.
		return nil
	}
	// Most look bad: suspect the network or the load, not them, and go on with
	// the least suspect, two attempts at a time each: what is lost in silence
	// uses up attempts that tasks need later.
	suspects = slices.DeleteFunc(suspects, func(worker *workerInfo) bool { return len(worker.unanswered) > 1 })
	if len(suspects) == 0 {
		return nil
	}
	slices.SortFunc(suspects, func(a, b *workerInfo) int {
		return cmp.Or(cmp.Compare(a.suspicion(p.now, task.classIndex), b.suspicion(p.now, task.classIndex)),
			cmp.Compare(a.ordinal, b.ordinal))
	})
	return suspects[:1]
}

// majorityHealthy reports whether more machines that t may go to are well than not.
func (p *Scheduler) majorityHealthy(task *taskInfo) bool {
	class := &p.settings.Classes[task.classIndex]
	balance := 0
	for _, worker := range p.sorted {
		if !p.available(worker, class, task) {
			continue
		}
		if p.healthyFor(worker, task) {
			balance++
		} else {
			balance--
		}
	}
	return balance > 0
}

// available reports whether t may go to m: by the rules, and as m is kept for no other task.
func (p *Scheduler) available(worker *workerInfo, class *Class, task *taskInfo) bool {
	return p.allowed(worker, class, task) && (len(p.reservations) == 0 || task.priority*reservationFactor >= p.reservations[worker])
}

// healthyFor reports whether m is taken to start t if it has room.
func (p *Scheduler) healthyFor(worker *workerInfo, task *taskInfo) bool {
	return p.healthy(worker, task.classIndex) && !task.failedOn(worker)
}

// allowed applies the rules, the task's kind and the window.
func (p *Scheduler) allowed(worker *workerInfo, class *Class, task *taskInfo) bool {
	return worker.listed && worker.State == Ready && p.now >= worker.drainingUntil && worker.kindIndex >= 0 &&
		float64(len(worker.unanswered)) < worker.attemptWindow && (class.Kind < 0 || class.Kind == worker.kindIndex) &&
		p.withinGroup(worker, class, task) && p.spreadAllows(worker, class, task) && p.slowStartAllows(worker)
}

// fits reports whether m has room by what it accepts and by what it bears.
func (p *Scheduler) fits(worker *workerInfo, task *taskInfo) bool {
	kind := p.kindOf(worker)
	if !p.settings.HasView {
		return task.Cores <= kind.Cores*p.settings.CoresOvercommit && task.Memory <= kind.Memory*p.settings.MemoryOvercommit
	}
	cores, memory := p.requested(worker)
	if p.overloaded {
		// Others chase what the view newly shows, and bind as this placer did since the
		// view; what own tasks gave up, only this one knows.
		cores += min(p.contention*kind.Cores, max(0, worker.FreeCores-worker.sustainedFreeCores)) + p.concurrentPlacements[0]*kind.Cores
		memory += min(p.contention*kind.Memory, max(0, worker.FreeMemory-worker.sustainedFreeMemory)) + p.concurrentPlacements[1]*kind.Memory
	}
	if cores+task.Cores > kind.Cores*p.settings.CoresOvercommit || memory+task.Memory > kind.Memory*p.settings.MemoryOvercommit {
		return false
	}
	effectiveCores, effectiveMemory := p.effectiveCapacity(worker)
	if max(task.Cores/effectiveCores, task.Memory/effectiveMemory) > largeTaskShare && p.now-task.arrivedAt > p.settings.Classes[task.classIndex].ObjectiveUs/4 {
		return true // a levelled fleet has no gap for a large task
	}
	return cores+task.Cores <= effectiveCores && memory+task.Memory <= effectiveMemory
}

// effectiveCapacity is the asked cores and memory that m can bear: what it accepts or, where
// less, what brings the use of its cores to the calm level and of its memory to
// the brink, by the part of what they asked that own tasks use. Asked shares
// are counted over it, so a share of 1 is a machine that bears no more.
func (p *Scheduler) effectiveCapacity(worker *workerInfo) (cores, memory float64) {
	kind := p.kindOf(worker)
	worker.decayCalibration(p.now, calibrationHalfLife)
	return kind.Cores * p.baseline.cores * worker.coresCalibration, kind.Memory * p.baseline.memory * worker.memoryCalibration
}

// computeBaseline is what machines of no bend bear, as parts of their size.
func (p *Scheduler) computeBaseline() fractions {
	cores, memory := p.settings.CoresOvercommit, p.settings.MemoryOvercommit
	if p.reportedRequests[0] > 0 && p.reportedUsage[0] > 0 {
		cores = min(cores, p.saturationLoad()*p.reportedRequests[0]/p.reportedUsage[0])
	}
	if p.reportedRequests[1] > 0 && p.reportedUsage[1] > 0 {
		memory = min(memory, memorySaturation*p.reportedRequests[1]/p.reportedUsage[1])
	}
	return fractions{cores, memory}
}

// utilization is the asked share of m: the larger of cores and memory.
func (p *Scheduler) utilization(worker *workerInfo) float64 {
	cores, memory := p.requested(worker)
	effectiveCores, effectiveMemory := p.effectiveCapacity(worker)
	return max(cores/effectiveCores, memory/effectiveMemory)
}

// cost is the admission cost of one first-policy-improvement step at a machine
// with backlog u, for a task of size x: A = u + l/(1-rho) (u x + x^2/2).
func cost(backlog, size, rate, utilization float64) float64 {
	return backlog + rate/(1-utilization)*(backlog*size+size*size/2)
}

// startRate is the pace of starts on m that a machine of its age keeps at least: a
// cold one looks empty and starts slowly.
func (p *Scheduler) startRate(worker *workerInfo) float64 {
	if !p.warmingUp(worker) {
		return 1
	}
	warm := float64(p.now-worker.StartedAtUs) / float64(p.settings.WarmUpUs)
	return max(0.1, p.settings.ColdStartRate+(1-p.settings.ColdStartRate)*max(0, warm))
}

// admissionCost is the admission cost of t at m.
func (p *Scheduler) admissionCost(worker *workerInfo, task *taskInfo) float64 {
	s, kind := &p.search, p.kindOf(worker)
	effectiveCores, effectiveMemory := p.effectiveCapacity(worker)
	backlog := s.utilization
	if p.settings.HasView {
		cores, memory := p.requested(worker)
		backlog = max(cores/effectiveCores, memory/effectiveMemory)
	}
	backlog += p.backlog(worker) * s.meanCores / kind.Cores / p.startRate(worker)
	backlog += missPenalty * p.missProbability(worker, task)
	return cost(backlog, max(task.Cores/effectiveCores, task.Memory/effectiveMemory), kind.Cores/s.meanCores, s.utilization)
}

// missProbability is how likely a start on m lacks the program of t, 0 to 1. A machine where a
// task of it is known to run, or just ran, holds it. Else placers that share nothing
// meet: the machines stand in an order hashed from the program, the same for all,
// and the first programWorkers of them are ever less likely to have it.
func (p *Scheduler) missProbability(worker *workerInfo, task *taskInfo) float64 {
	if task.Program == 0 || worker.residentPrograms[task.Program] != nil {
		return 0
	}
	return min(1, p.hashedRank(worker.hash(task.Program))/programWorkers)
}
