package placement

// This file holds what one search for a machine knows: bounds of room and cost by kind,
// and what was found so far. It decides nothing.

import "math"

// search is one search. Its slices are used again by the next one.
type search struct {
	number    int64 // of searches so far
	evaluated    int   // machines that it looked at one by one
	task      *taskInfo
	class     *Class
	utilization, meanCores float64 // of the fleet, as fleet has them
	kindCosts     []kindCost
	limits    []loadLimit  // by kind: what a machine with room for the task is asked for
	taskFractions      []fractions // by kind: what the task asks, as parts of what machines bear
	scored     []scoredWorker
	minCost     float64    // cost of what was found
	finalists      []*workerInfo // found at near the least cost
	suspects  []*workerInfo // with room, and looking bad
}

func newSearch(kinds int) search {
	return search{kindCosts: make([]kindCost, kinds), taskFractions: make([]fractions, kinds), limits: make([]loadLimit, kinds)}
}

// scoredWorker is a machine that the task can go to, and its admission cost there.
type scoredWorker struct {
	worker    *workerInfo
	cost float64
}

// kindCost are the terms of the admission cost that machines of one kind have in common.
type kindCost struct {
	hasView bool
	base    float64 // added to the backlog where the task's program is not known to be
	taskSize    float64 // of the task, where nothing bends what machines bear
	weight  float64 // of the kind's cores over the mean
}

// cost is the least cost of a machine of the kind that is asked for a share or more, and
// that is none of those looked at by themselves.
func (k *kindCost) cost(asked, rho float64) float64 {
	if !k.hasView {
		asked = rho
	}
	return cost(asked+k.base, k.taskSize, k.weight, rho)
}

// beginSearch starts a search for t among the machines that may have room for it.
func (p *Scheduler) beginSearch(t *taskInfo) *search {
	p.refreshIndex()
	s, bear := &p.search, p.index.baseline
	s.number++
	s.evaluated = 0
	s.task, s.class, s.minCost = t, &p.settings.Classes[t.classIndex], math.Inf(1)
	s.scored, s.finalists, s.suspects = s.scored[:0], s.finalists[:0], s.suspects[:0]
	for i := range p.settings.Kinds {
		k := &p.settings.Kinds[i]
		asks := fractions{t.Cores / k.Cores, t.Memory / k.Memory}
		s.kindCosts[i].taskSize = max(asks.cores/bear.cores, asks.memory/bear.memory)
		s.limits[i] = p.admissionLimit(t, i, asks)
	}
	return s
}

// prepareCosts adds to a search what machines of each kind cost.
func (p *Scheduler) prepareCosts(s *search) {
	s.utilization, s.meanCores = p.meanUtilization()
	s.utilization = min(s.utilization, maxUtilization)
	for i := range s.kindCosts {
		k := &s.kindCosts[i]
		k.hasView, k.base, k.weight = p.settings.HasView, 0, p.settings.Kinds[i].Cores/s.meanCores
		if s.task.Program != 0 {
			k.base = missPenalty
		}
	}
}

// loadLimit is what a machine of a kind that has room for t is asked for (see fits).
func (p *Scheduler) admissionLimit(t *taskInfo, kind int, asks fractions) loadLimit {
	c := &p.settings.Classes[t.classIndex]
	if c.Kind >= 0 && c.Kind != kind {
		return loadLimit{max: fractions{math.Inf(-1), math.Inf(-1)}}
	}
	accepted := fractions{p.settings.CoresOvercommit, p.settings.MemoryOvercommit}
	if !p.settings.HasView {
		return loadLimit{max: accepted.minus(asks)}
	}
	if p.overloaded {
		asks.cores += p.concurrentPlacements[0]
		asks.memory += p.concurrentPlacements[1]
	}
	l := loadLimit{max: p.index.baseline.minus(asks), calibratedMax: accepted.minus(asks)}
	if size := p.search.kindCosts[kind].taskSize; p.now-t.arrivedAt > c.ObjectiveUs/4 {
		// A large task that has waited is not held to what machines bear; it is large where
		// one bears little.
		if l.calibrationBelow = size / largeTaskShare; l.calibrationBelow > 1 {
			l.max = l.calibratedMax
		}
	}
	return l
}

// evaluateAll looks at some machines by themselves: at all of a few, and from anywhere at
// those of many.
func (p *Scheduler) evaluateAll(ms []*workerInfo) {
	begin := 0
	if len(ms) > maxEnumerated {
		begin = p.random.IntN(len(ms))
	}
	for i := range ms {
		if !p.evaluate(ms[(begin+i)%len(ms)]) {
			return
		}
	}
}

// lowestCost returns the machines for t whose admission cost is near the lowest, in no order.
func (p *Scheduler) lowestCost(t *taskInfo) []*workerInfo {
	s := p.beginSearch(t)
	p.prepareCosts(s)
	if t.Program != 0 {
		p.evaluateAll(p.residents[t.Program])
		p.evaluateAll(p.preferredFor(t.Program))
	}
	inverse := p.index.inverseBaseline
	p.walkLevels(levelWalk{limits: s.limits, randomStart: true, visit: p.visitCandidate,
		matters: func(kind int, asked fractions, floor float64) bool {
			share := max(floor, asked.cores*inverse.cores, asked.memory*inverse.memory)
			return s.kindCosts[kind].cost(share, s.utilization) <= s.minCost+costMargin+roundingSlack
		},
	})
	for _, f := range s.scored {
		if f.cost <= s.minCost+costMargin {
			s.finalists = append(s.finalists, f.worker)
		}
	}
	return s.finalists
}

// evaluate looks whether the task of the search can go to m, and at what cost. It reports
// whether to look on.
func (p *Scheduler) evaluate(m *workerInfo) bool {
	s := &p.search
	if m.lastSearch == s.number {
		return true
	}
	m.lastSearch = s.number
	s.evaluated++
	t := s.task
	if !p.available(m, s.class, t) || !p.fits(m, t) {
		return true
	}
	if !p.healthyFor(m, t) {
		s.suspects = append(s.suspects, m)
		return true
	}
	f := scoredWorker{m, p.admissionCost(m, t)}
	s.scored = append(s.scored, f)
	s.minCost = min(s.minCost, f.cost)
	return len(s.scored) < maxEnumerated
}

// fitsElsewhere reports whether a healthy machine other than m has room for t.
func (p *Scheduler) fitsElsewhere(t *taskInfo, m *workerInfo) bool {
	p.beginSearch(t)
	c, found := &p.settings.Classes[t.classIndex], false
	p.walkLevels(levelWalk{limits: p.search.limits, randomStart: true,
		matters: func(int, fractions, float64) bool { return true },
		visit: func(o *workerInfo) bool {
			found = o != m && p.allowed(o, c, t) && p.healthy(o, t.classIndex) && p.fits(o, t)
			return !found
		},
	})
	return found
}

// closestToFitting returns the machine that lacks least to have room for t, of those that are
// not kept, or nil.
func (p *Scheduler) closestToFitting(t *taskInfo) *workerInfo {
	p.refreshIndex()
	c, inverse := &p.settings.Classes[t.classIndex], p.index.inverseBaseline
	for i := range p.settings.Kinds {
		k := &p.settings.Kinds[i]
		p.search.taskFractions[i] = fractions{t.Cores / k.Cores * inverse.cores, t.Memory / k.Memory * inverse.memory}
	}
	var best *workerInfo
	least, slack := math.Inf(1), roundingSlack // among equals the first by name
	if len(p.sorted) > maxEnumerated {
		slack = -roundingSlack // any: there may be thousands
	}
	p.walkLevels(levelWalk{unreservedOnly: true,
		matters: func(kind int, asked fractions, floor float64) bool {
			t := &p.search.taskFractions[kind]
			lack := max(asked.cores*inverse.cores+t.cores, asked.memory*inverse.memory+t.memory)
			return max(lack, floor+min(t.cores, t.memory)) <= least+slack
		},
		visit: func(m *workerInfo) bool {
			if !p.allowed(m, c, t) || !p.healthy(m, t.classIndex) {
				return true
			}
			cores, memory := p.requested(m)
			bc, bm := p.effectiveCapacity(m)
			v := max((cores+t.Cores)/bc, (memory+t.Memory)/bm)
			if v < least || best != nil && v == least && m.ordinal < best.ordinal {
				best, least = m, v
			}
			return true
		},
	})
	return best
}
