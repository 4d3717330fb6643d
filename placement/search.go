package placement

import (
	"cmp"
	"math"
	"slices"
)

// This file owns the search for the worker of a task: it filters and scores candidates from
// the index, and draws among those of near-equal score. It must never change what is known of
// a worker, nor allocate.

// costMargin is how far above the lowest admission cost still counts as equal: about what one
// small task adds, which a late view cannot tell apart.
const costMargin = 0.02

// maxSuspectAttempts is how many unanswered attempts a suspect worker may have where all are
// suspect.
const maxSuspectAttempts = 2

// scoredWorker is a worker that passed the filters, and its score.
type scoredWorker struct {
	worker *workerInfo
	cost   float64
}

// search finds workers for tasks. Its slices are used again by the next search.
type search struct {
	*environment
	fleet     *fleet
	loads     *loadTracker
	capacity  *capacityModel
	index     *workerIndex
	residents *residents
	health    *health
	filter    *filter
	scorer    *scorer

	searchNumber  int64 // of searches so far
	evaluated     int   // workers that the present search looked at one by one
	task          *taskInfo
	class         *Class
	limits        []loadLimit // by kind: what is requested of a worker that fits the task
	taskFractions []fractions // by kind: what the task adds to the utilization of a worker
	scored        []scoredWorker
	lowestCost    float64                // of the scored workers
	nearLowest    []*workerInfo          // that are scored near the lowest cost
	suspects      []*workerInfo          // that fit and are not healthy
	visit         func(*workerInfo) bool // evaluate, bound once
	ordinals      ordinalSet
}

func newSearch(s search) *search {
	kinds := len(s.settings.Kinds)
	s.limits, s.taskFractions = make([]loadLimit, kinds), make([]fractions, kinds)
	s.visit = s.evaluate
	return &s
}

// selectWorker returns the worker for a task, or nil where it has to wait.
func (s *search) selectWorker(task *taskInfo) *workerInfo {
	finalists := s.finalists(task)
	if len(finalists) == 0 {
		return nil
	}
	return s.ordinals.nth(finalists, s.random.IntN(len(finalists)), len(s.fleet.sorted))
}

// finalists returns the workers among which that of a task is drawn, or none where it has to
// wait.
func (s *search) finalists(task *taskInfo) []*workerInfo {
	finalists := s.cheapest(task)
	if len(finalists) == 0 {
		return s.fallback(task)
	}
	if worker := s.uncordonedWorker(task); worker != nil {
		return append(finalists[:0], worker)
	}
	return finalists
}

// begin starts a search for a task among the workers that may have free capacity for it.
func (s *search) begin(task *taskInfo) {
	s.fleet.refresh()
	baseline := s.index.baseline
	s.searchNumber++
	s.evaluated = 0
	s.task, s.class, s.lowestCost = task, s.classOf(task), math.Inf(1)
	s.scored, s.nearLowest, s.suspects = s.scored[:0], s.nearLowest[:0], s.suspects[:0]
	for i := range s.settings.Kinds {
		kind := &s.settings.Kinds[i]
		size := fractions{task.Cores / kind.Cores, task.Memory / kind.Memory}
		utilization := max(size.cores/baseline.cores, size.memory/baseline.memory)
		s.scorer.setSize(i, utilization)
		s.limits[i] = s.filter.limit(task, i, size, utilization)
	}
}

// cheapest returns the workers for a task whose admission cost is near the lowest, in no order.
func (s *search) cheapest(task *taskInfo) []*workerInfo {
	s.begin(task)
	s.scorer.prepare(task)
	if task.Program != 0 {
		s.evaluateAll(s.residents.workers[task.Program])
		s.evaluateAll(s.fleet.preferredFor(task.Program))
	}
	inverse := s.index.inverseBaseline
	s.index.walk(levelWalk{limits: s.limits, visit: s.visit,
		matters: func(kindIndex int, requested fractions, minUtilization float64) bool {
			utilization := max(minUtilization, requested.cores*inverse.cores, requested.memory*inverse.memory)
			lowest := s.scorer.kinds[kindIndex].lowerBound(utilization, s.scorer.utilization)
			return lowest <= s.lowestCost+costMargin+roundingSlack
		},
	}, s.random)
	for _, candidate := range s.scored {
		if candidate.cost <= s.lowestCost+costMargin {
			s.nearLowest = append(s.nearLowest, candidate.worker)
		}
	}
	return s.nearLowest
}

// evaluateAll looks at some workers by themselves: at all of a few, and from anywhere at those
// of many.
func (s *search) evaluateAll(workers []*workerInfo) {
	first := 0
	if len(workers) > maxEnumerated {
		first = s.random.IntN(len(workers))
	}
	for i := range workers {
		if !s.evaluate(workers[(first+i)%len(workers)]) {
			return
		}
	}
}

// evaluate filters and scores one worker for the task of the search, and reports whether to go
// on.
func (s *search) evaluate(worker *workerInfo) bool {
	if worker.lastSearch == s.searchNumber {
		return true
	}
	worker.lastSearch = s.searchNumber
	s.evaluated++
	if !s.filter.feasible(worker, s.class, s.task) || !s.filter.fits(worker, s.task) {
		return true
	}
	if !s.filter.healthy(worker, s.task) {
		s.suspects = append(s.suspects, worker)
		return true
	}
	cost := s.scorer.score(worker, s.task)
	s.scored = append(s.scored, scoredWorker{worker, cost})
	s.lowestCost = min(s.lowestCost, cost)
	return len(s.scored) < maxEnumerated
}

// uncordonedWorker returns a worker that operators uncordoned, if a task can go there: one task
// shows that it is in use again.
func (s *search) uncordonedWorker(task *taskInfo) (found *workerInfo) {
	class := s.classOf(task)
	for worker := range s.fleet.pruneUncordoned() {
		suitable := class.Effect != Unsafe && s.filter.feasible(worker, class, task) &&
			s.filter.healthy(worker, task) && s.filter.fits(worker, task)
		if suitable && (found == nil || worker.ordinal < found.ordinal) {
			found = worker
		}
	}
	return found
}

// fallback returns the worker for a task where each that fits is suspect, as the last search
// found: the least suspect one, or none.
func (s *search) fallback(task *taskInfo) []*workerInfo {
	suspects := s.suspects
	if len(suspects) == 0 || s.classOf(task).Effect != Safe && s.majorityHealthy(task) {
		// A worker that fails fast looks empty: where most are healthy but full, a task waits
		// for them, unless trying again is safe.
		return nil
	}
	// An attempt at a worker that no connection reaches is spent for nothing, and may be the last one of
	// its task: the task waits for a worker that is reached, even if that has to answer or to end others.
	if slices.ContainsFunc(suspects, isUnreachable) && s.anyReachable(task) {
		suspects = slices.DeleteFunc(suspects, isUnreachable)
	}
	// Most look bad: suspect the network or the load, not them, and go on with the least
	// suspect, few attempts at a time each: what gets no answer uses up attempts that tasks
	// need later.
	suspects = slices.DeleteFunc(suspects, func(worker *workerInfo) bool {
		return len(worker.unanswered) >= maxSuspectAttempts
	})
	if len(suspects) == 0 {
		return nil
	}
	slices.SortFunc(suspects, func(a, b *workerInfo) int {
		return cmp.Or(cmp.Compare(a.suspicion(s.now, task.classIndex), b.suspicion(s.now, task.classIndex)),
			cmp.Compare(a.ordinal, b.ordinal))
	})
	return suspects[:1]
}

func isUnreachable(worker *workerInfo) bool { return worker.unreachable }

// anyReachable reports whether a worker is reached that may get a task, now or once it has answered or
// ended others.
func (s *search) anyReachable(task *taskInfo) bool {
	class := s.classOf(task)
	return slices.ContainsFunc(s.fleet.sorted, func(worker *workerInfo) bool {
		return !worker.unreachable && s.filter.permitsOnceAnswered(worker, class, task)
	})
}

// majorityHealthy reports whether more of the feasible workers are healthy than not.
func (s *search) majorityHealthy(task *taskInfo) bool {
	class := s.classOf(task)
	balance := 0
	for _, worker := range s.fleet.sorted {
		if !s.filter.feasible(worker, class, task) {
			continue
		}
		if s.filter.healthy(worker, task) {
			balance++
		} else {
			balance--
		}
	}
	return balance > 0
}

// fitsElsewhere reports whether a healthy worker other than the given one fits a task.
func (s *search) fitsElsewhere(task *taskInfo, worker *workerInfo) bool {
	s.begin(task)
	class, found := s.classOf(task), false
	s.index.walk(levelWalk{limits: s.limits,
		matters: func(int, fractions, float64) bool { return true },
		visit: func(other *workerInfo) bool {
			found = other != worker && s.filter.permits(other, class, task) &&
				s.health.healthy(other, task.classIndex) && s.filter.fits(other, task)
			return !found
		},
	}, s.random)
	return found
}

// closestToFitting returns the worker that lacks the least capacity to fit a task, of those that are not
// reserved, or nil.
func (s *search) closestToFitting(task *taskInfo) *workerInfo {
	s.fleet.refresh()
	class, inverse := s.classOf(task), s.index.inverseBaseline
	for i := range s.settings.Kinds {
		kind := &s.settings.Kinds[i]
		s.taskFractions[i] = fractions{
			task.Cores / kind.Cores * inverse.cores, task.Memory / kind.Memory * inverse.memory,
		}
	}
	var best *workerInfo
	lowest, slack := math.Inf(1), roundingSlack // among equals the first by name
	if len(s.fleet.sorted) > maxEnumerated {
		slack = -roundingSlack // any: there may be thousands
	}
	s.index.walk(levelWalk{unreservedOnly: true,
		matters: func(kindIndex int, requested fractions, minUtilization float64) bool {
			size := &s.taskFractions[kindIndex]
			needed := max(requested.cores*inverse.cores+size.cores, requested.memory*inverse.memory+size.memory)
			return max(needed, minUtilization+min(size.cores, size.memory)) <= lowest+slack
		},
		visit: func(worker *workerInfo) bool {
			if !s.filter.permits(worker, class, task) || !s.health.healthy(worker, task.classIndex) {
				return true
			}
			cores, memory := s.loads.requested(worker)
			effectiveCores, effectiveMemory := s.capacity.of(worker)
			needed := max((cores+task.Cores)/effectiveCores, (memory+task.Memory)/effectiveMemory)
			if needed < lowest || best != nil && needed == lowest && worker.ordinal < best.ordinal {
				best, lowest = worker, needed
			}
			return true
		},
	}, nil)
	return best
}
