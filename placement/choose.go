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
func (p *Scheduler) selectWorker(t *taskInfo) *workerInfo {
	near := p.finalists(t)
	if len(near) == 0 {
		return nil
	}
	return p.nthByOrdinal(near, p.random.IntN(len(near)))
}

// finalists returns the machines among which t's is drawn, or none where t has to wait.
func (p *Scheduler) finalists(t *taskInfo) []*workerInfo {
	near := p.lowestCost(t)
	if len(near) == 0 {
		return p.fallback(t)
	}
	if m := p.uncordonedWorker(t); m != nil {
		return append(near[:0], m)
	}
	return near
}

// uncordonedWorker returns a machine that operators put back, if t can go there: one task shows
// that it is in use again.
func (p *Scheduler) uncordonedWorker(t *taskInfo) (first *workerInfo) {
	c := &p.settings.Classes[t.classIndex]
	for m := range p.uncordoned {
		switch {
		case !m.awaitsFirstTask:
			delete(p.uncordoned, m)
		case c.Effect == Unsafe || !p.available(m, c, t) || !p.healthyFor(m, t) || !p.fits(m, t):
		case first == nil || m.ordinal < first.ordinal:
			first = m
		}
	}
	return first
}

// fallback returns the machine for t where each that has room looks bad, as the last
// search found: the least suspect one, or none.
func (p *Scheduler) fallback(t *taskInfo) []*workerInfo {
	c := &p.settings.Classes[t.classIndex]
	fit := p.search.suspects
	if len(fit) == 0 || c.Effect != Safe && p.majorityHealthy(t) {
		// A machine that fails fast looks empty: where most are well but full, a
		// task waits for them, unless trying again is safe.
		return nil
	}
	// Most look bad: suspect the network or the load, not them, and go on with
	// the least suspect, two attempts at a time each: what is lost in silence
	// uses up attempts that tasks need later.
	fit = slices.DeleteFunc(fit, func(m *workerInfo) bool { return len(m.unanswered) > 1 })
	if len(fit) == 0 {
		return nil
	}
	slices.SortFunc(fit, func(a, b *workerInfo) int {
		return cmp.Or(cmp.Compare(a.suspicion(p.now, t.classIndex), b.suspicion(p.now, t.classIndex)),
			cmp.Compare(a.ordinal, b.ordinal))
	})
	return fit[:1]
}

// majorityHealthy reports whether more machines that t may go to are well than not.
func (p *Scheduler) majorityHealthy(t *taskInfo) bool {
	c := &p.settings.Classes[t.classIndex]
	balance := 0
	for _, m := range p.sorted {
		if !p.available(m, c, t) {
			continue
		}
		if p.healthyFor(m, t) {
			balance++
		} else {
			balance--
		}
	}
	return balance > 0
}

// available reports whether t may go to m: by the rules, and as m is kept for no other task.
func (p *Scheduler) available(m *workerInfo, c *Class, t *taskInfo) bool {
	return p.allowed(m, c, t) && (len(p.reservations) == 0 || t.priority*reservationFactor >= p.reservations[m])
}

// healthyFor reports whether m is taken to start t if it has room.
func (p *Scheduler) healthyFor(m *workerInfo, t *taskInfo) bool {
	return p.healthy(m, t.classIndex) && !t.failedOn(m)
}

// allowed applies the rules, the task's kind and the window.
func (p *Scheduler) allowed(m *workerInfo, c *Class, t *taskInfo) bool {
	return m.listed && m.State == Ready && p.now >= m.drainingUntil && m.kindIndex >= 0 &&
		float64(len(m.unanswered)) < m.attemptWindow && (c.Kind < 0 || c.Kind == m.kindIndex) &&
		p.withinGroup(m, c, t) && p.spreadAllows(m, c, t) && p.slowStartAllows(m)
}

// fits reports whether m has room by what it accepts and by what it bears.
func (p *Scheduler) fits(m *workerInfo, t *taskInfo) bool {
	k := p.kindOf(m)
	if !p.settings.HasView {
		return t.Cores <= k.Cores*p.settings.CoresOvercommit && t.Memory <= k.Memory*p.settings.MemoryOvercommit
	}
	cores, mem := p.requested(m)
	if p.overloaded {
		// Others chase what the view newly shows, and bind as this placer did since the
		// view; what own tasks gave up, only this one knows.
		cores += min(p.contention*k.Cores, max(0, m.FreeCores-m.sustainedFreeCores)) + p.concurrentPlacements[0]*k.Cores
		mem += min(p.contention*k.Memory, max(0, m.FreeMemory-m.sustainedFreeMemory)) + p.concurrentPlacements[1]*k.Memory
	}
	if cores+t.Cores > k.Cores*p.settings.CoresOvercommit || mem+t.Memory > k.Memory*p.settings.MemoryOvercommit {
		return false
	}
	bearC, bearM := p.effectiveCapacity(m)
	if max(t.Cores/bearC, t.Memory/bearM) > largeTaskShare && p.now-t.arrivedAt > p.settings.Classes[t.classIndex].ObjectiveUs/4 {
		return true // a levelled fleet has no gap for a large task
	}
	return cores+t.Cores <= bearC && mem+t.Memory <= bearM
}

// effectiveCapacity is the asked cores and memory that m can bear: what it accepts or, where
// less, what brings the use of its cores to the calm level and of its memory to
// the brink, by the part of what they asked that own tasks use. Asked shares
// are counted over it, so a share of 1 is a machine that bears no more.
func (p *Scheduler) effectiveCapacity(m *workerInfo) (cores, mem float64) {
	k := p.kindOf(m)
	m.decayCalibration(p.now, calibrationHalfLife)
	return k.Cores * p.baseline.cores * m.coresCalibration, k.Memory * p.baseline.memory * m.memoryCalibration
}

// computeBaseline is what machines of no bend bear, as parts of their size.
func (p *Scheduler) computeBaseline() fractions {
	c, b := p.settings.CoresOvercommit, p.settings.MemoryOvercommit
	if p.reportedRequests[0] > 0 && p.reportedUsage[0] > 0 {
		c = min(c, p.saturationLoad()*p.reportedRequests[0]/p.reportedUsage[0])
	}
	if p.reportedRequests[1] > 0 && p.reportedUsage[1] > 0 {
		b = min(b, memorySaturation*p.reportedRequests[1]/p.reportedUsage[1])
	}
	return fractions{c, b}
}

// utilization is the asked share of m: the larger of cores and memory.
func (p *Scheduler) utilization(m *workerInfo) float64 {
	c, b := p.requested(m)
	bc, bm := p.effectiveCapacity(m)
	return max(c/bc, b/bm)
}

// cost is the admission cost of one first-policy-improvement step at a machine
// with backlog u, for a task of size x: A = u + l/(1-rho) (u x + x^2/2).
func cost(u, x, l, rho float64) float64 {
	return u + l/(1-rho)*(u*x+x*x/2)
}

// startRate is the pace of starts on m that a machine of its age keeps at least: a
// cold one looks empty and starts slowly.
func (p *Scheduler) startRate(m *workerInfo) float64 {
	if !p.warmingUp(m) {
		return 1
	}
	warm := float64(p.now-m.StartedAtUs) / float64(p.settings.WarmUpUs)
	return max(0.1, p.settings.ColdStartRate+(1-p.settings.ColdStartRate)*max(0, warm))
}

// admissionCost is the admission cost of t at m.
func (p *Scheduler) admissionCost(m *workerInfo, t *taskInfo) float64 {
	s, k := &p.search, p.kindOf(m)
	bc, bm := p.effectiveCapacity(m)
	u := s.utilization
	if p.settings.HasView {
		cores, mem := p.requested(m)
		u = max(cores/bc, mem/bm)
	}
	u += p.backlog(m) * s.meanCores / k.Cores / p.startRate(m)
	u += missPenalty * p.missProbability(m, t)
	return cost(u, max(t.Cores/bc, t.Memory/bm), k.Cores/s.meanCores, s.utilization)
}

// missProbability is how likely a start on m lacks the program of t, 0 to 1. A machine where a
// task of it is known to run, or just ran, holds it. Else placers that share nothing
// meet: the machines stand in an order hashed from the program, the same for all,
// and the first programWorkers of them are ever less likely to have it.
func (p *Scheduler) missProbability(m *workerInfo, t *taskInfo) float64 {
	if t.Program == 0 || m.residentPrograms[t.Program] != nil {
		return 0
	}
	return min(1, p.hashedRank(m.hash(t.Program))/programWorkers)
}
