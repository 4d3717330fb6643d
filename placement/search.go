package placement

// This file holds what one search for a machine knows: bounds of room and cost by kind,
// and what was found so far. It decides nothing.

import "math"

// search is one search. Its slices are used again by the next one.
type search struct {
	number                 int64 // of searches so far
	evaluated              int   // machines that it looked at one by one
	task                   *taskInfo
	class                  *Class
	utilization, meanCores float64 // of the fleet, as fleet has them
	kindCosts              []kindCost
	limits                 []loadLimit // by kind: what a machine with room for the task is asked for
	taskFractions          []fractions // by kind: what the task asks, as parts of what machines bear
	scored                 []scoredWorker
	minCost                float64       // cost of what was found
	finalists              []*workerInfo // found at near the least cost
	suspects               []*workerInfo // with room, and looking bad
}

func newSearch(kinds int) search {
	return search{kindCosts: make([]kindCost, kinds), taskFractions: make([]fractions, kinds), limits: make([]loadLimit, kinds)}
}

// scoredWorker is a machine that the task can go to, and its admission cost there.
type scoredWorker struct {
	worker *workerInfo
	cost   float64
}

// kindCost are the terms of the admission cost that machines of one kind have in common.
type kindCost struct {
	hasView  bool
	base     float64 // added to the backlog where the task's program is not known to be
	taskSize float64 // of the task, where nothing bends what machines bear
	weight   float64 // of the kind's cores over the mean
}

// cost is the least cost of a machine of the kind that is asked for a share or more, and
// that is none of those looked at by themselves.
func (k *kindCost) cost(requested, utilization float64) float64 {
	if !k.hasView {
		requested = utilization
	}
	return cost(requested+k.base, k.taskSize, k.weight, utilization)
}

// beginSearch starts a search for t among the machines that may have room for it.
func (p *Scheduler) beginSearch(task *taskInfo) *search {
	p.refreshIndex()
	s, baseline := &p.search, p.index.baseline
	s.number++
	s.evaluated = 0
	s.task, s.class, s.minCost = task, &p.settings.Classes[task.classIndex], math.Inf(1)
	s.scored, s.finalists, s.suspects = s.scored[:0], s.finalists[:0], s.suspects[:0]
	for i := range p.settings.Kinds {
		kind := &p.settings.Kinds[i]
		taskSize := fractions{task.Cores / kind.Cores, task.Memory / kind.Memory}
		s.kindCosts[i].taskSize = max(taskSize.cores/baseline.cores, taskSize.memory/baseline.memory)
		s.limits[i] = p.admissionLimit(task, i, taskSize)
	}
	return s
}

// prepareCosts adds to a search what machines of each kind cost.
func (p *Scheduler) prepareCosts(s *search) {
	s.utilization, s.meanCores = p.meanUtilization()
	s.utilization = min(s.utilization, maxUtilization)
	for i := range s.kindCosts {
		cost := &s.kindCosts[i]
		cost.hasView, cost.base, cost.weight = p.settings.HasView, 0, p.settings.Kinds[i].Cores/s.meanCores
		if s.task.Program != 0 {
			cost.base = missPenalty
		}
	}
}

// loadLimit is what a machine of a kind that has room for t is asked for (see fits).
func (p *Scheduler) admissionLimit(task *taskInfo, kindIndex int, taskSize fractions) loadLimit {
	class := &p.settings.Classes[task.classIndex]
	if class.Kind >= 0 && class.Kind != kindIndex {
		return loadLimit{max: fractions{math.Inf(-1), math.Inf(-1)}}
	}
	overcommit := fractions{p.settings.CoresOvercommit, p.settings.MemoryOvercommit}
	if !p.settings.HasView {
		return loadLimit{max: overcommit.minus(taskSize)}
	}
	if p.overloaded {
		taskSize.cores += p.concurrentPlacements[0]
		taskSize.memory += p.concurrentPlacements[1]
	}
	limit := loadLimit{max: p.index.baseline.minus(taskSize), calibratedMax: overcommit.minus(taskSize)}
	if size := p.search.kindCosts[kindIndex].taskSize; p.now-task.arrivedAt > class.ObjectiveUs/4 {
		// A large task that has waited is not held to what machines bear; it is large where
		// one bears little.
		if limit.calibrationBelow = size / largeTaskShare; limit.calibrationBelow > 1 {
			limit.max = limit.calibratedMax
		}
	}
	return limit
}

// evaluateAll looks at some machines by themselves: at all of a few, and from anywhere at
// those of many.
func (p *Scheduler) evaluateAll(workers []*workerInfo) {
	first := 0
	if len(workers) > maxEnumerated {
		first = p.random.IntN(len(workers))
	}
	for i := range workers {
		if !p.evaluate(workers[(first+i)%len(workers)]) {
			return
		}
	}
}

// lowestCost returns the machines for t whose admission cost is near the lowest, in no order.
func (p *Scheduler) lowestCost(task *taskInfo) []*workerInfo {
	s := p.beginSearch(task)
	p.prepareCosts(s)
	if task.Program != 0 {
		p.evaluateAll(p.residents[task.Program])
		p.evaluateAll(p.preferredFor(task.Program))
	}
	inverse := p.index.inverseBaseline
	p.walkLevels(levelWalk{limits: s.limits, randomStart: true, visit: p.visitCandidate,
		matters: func(kindIndex int, requested fractions, floor float64) bool {
			utilization := max(floor, requested.cores*inverse.cores, requested.memory*inverse.memory)
			return s.kindCosts[kindIndex].cost(utilization, s.utilization) <= s.minCost+costMargin+roundingSlack
		},
	})
	for _, candidate := range s.scored {
		if candidate.cost <= s.minCost+costMargin {
			s.finalists = append(s.finalists, candidate.worker)
		}
	}
	return s.finalists
}

// evaluate looks whether the task of the search can go to m, and at what cost. It reports
// whether to look on.
func (p *Scheduler) evaluate(worker *workerInfo) bool {
	s := &p.search
	if worker.lastSearch == s.number {
		return true
	}
	worker.lastSearch = s.number
	s.evaluated++
	task := s.task
	if !p.available(worker, s.class, task) || !p.fits(worker, task) {
		return true
	}
	if !p.healthyFor(worker, task) {
		s.suspects = append(s.suspects, worker)
		return true
	}
	candidate := scoredWorker{worker, p.admissionCost(worker, task)}
	s.scored = append(s.scored, candidate)
	s.minCost = min(s.minCost, candidate.cost)
	return len(s.scored) < maxEnumerated
}

// fitsElsewhere reports whether a healthy machine other than m has room for t.
func (p *Scheduler) fitsElsewhere(task *taskInfo, worker *workerInfo) bool {
	p.beginSearch(task)
	class, found := &p.settings.Classes[task.classIndex], false
	p.walkLevels(levelWalk{limits: p.search.limits, randomStart: true,
		matters: func(int, fractions, float64) bool { return true },
		visit: func(other *workerInfo) bool {
			found = other != worker && p.allowed(other, class, task) && p.healthy(other, task.classIndex) && p.fits(other, task)
			return !found
		},
	})
	return found
}

// closestToFitting returns the machine that lacks least to have room for t, of those that are
// not kept, or nil.
func (p *Scheduler) closestToFitting(t *taskInfo) *workerInfo {
	p.refreshIndex()
	class, inverse := &p.settings.Classes[t.classIndex], p.index.inverseBaseline
	for i := range p.settings.Kinds {
		kind := &p.settings.Kinds[i]
		p.search.taskFractions[i] = fractions{t.Cores / kind.Cores * inverse.cores, t.Memory / kind.Memory * inverse.memory}
	}
	var best *workerInfo
	lowestNeed, slack := math.Inf(1), roundingSlack // among equals the first by name
	if len(p.sorted) > maxEnumerated {
		slack = -roundingSlack // any: there may be thousands
	}
	p.walkLevels(levelWalk{unreservedOnly: true,
		matters: func(kindIndex int, requested fractions, floor float64) bool {
			t := &p.search.taskFractions[kindIndex]
			lowestPossible := max(requested.cores*inverse.cores+t.cores, requested.memory*inverse.memory+t.memory)
			return max(lowestPossible, floor+min(t.cores, t.memory)) <= lowestNeed+slack
		},
		visit: func(worker *workerInfo) bool {
			if !p.allowed(worker, class, t) || !p.healthy(worker, t.classIndex) {
				return true
			}
			cores, memory := p.requested(worker)
			effectiveCores, effectiveMemory := p.effectiveCapacity(worker)
			need := max((cores+t.Cores)/effectiveCores, (memory+t.Memory)/effectiveMemory)
			if need < lowestNeed || best != nil && need == lowestNeed && worker.ordinal < best.ordinal {
				best, lowestNeed = worker, need
			}
			return true
		},
	})
	return best
}
