package placement

import (
	"cmp"
	"math"
	"slices"
)

// This file owns the search for the worker of a task: it filters and scores candidates from the
// index, and draws among those with a score near the best. A search never changes the recorded state
// of a worker, only values derived from it, and does not allocate once its slices have grown.

// costMargin is the maximum amount by which an admission cost may exceed the lowest one and still count
// as equal to it. One small task adds about this cost. The view lags and may not show such a task yet, so a
// smaller difference means nothing.
const costMargin = 0.02

// maxSuspectAttempts is the maximum number of unanswered attempts at a suspect worker if all workers
// that fit the task are suspect.
const maxSuspectAttempts = 2

// scoredWorker is a worker that passed the filters, with its admission cost.
type scoredWorker struct {
	worker *workerInfo
	cost   float64
}

// search finds workers for tasks. Each search reuses the slices of the previous search.
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

	searchNumber  int64 // number of searches so far
	evaluated     int   // number of workers that the current search evaluated one by one
	task          *taskInfo
	class         *Class
	limits        []loadLimit // by kind: upper limit of the load of a worker that the task fits
	taskFractions []fractions // by kind: utilization that the task adds to an uncalibrated worker
	scored        []scoredWorker
	lowestCost    float64                // lowest cost of the scored workers
	nearLowest    []*workerInfo          // scored workers with a cost near the lowest
	suspects      []*workerInfo          // workers that fit but are not healthy
	visit         func(*workerInfo) bool // the method value s.evaluate, created once for all searches
	ordinals      ordinalSet
}

func newSearch(s search) *search {
	kinds := len(s.settings.Kinds)
	s.limits, s.taskFractions = make([]loadLimit, kinds), make([]fractions, kinds)
	s.visit = s.evaluate
	return &s
}

// selectWorker returns the worker for a task, or nil if the task has to wait.
func (s *search) selectWorker(task *taskInfo) *workerInfo {
	finalists := s.finalists(task)
	if len(finalists) == 0 {
		return nil
	}
	return s.ordinals.nth(finalists, s.random.IntN(len(finalists)), len(s.fleet.sorted))
}

// finalists returns the workers from which selectWorker draws one, or none if the task has to wait.
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

// begin starts a search. It resets the results of the previous search. For each kind, it computes the
// size of the task and the highest load of a worker that the task fits.
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

// cheapest returns the workers with an admission cost near the lowest, in no particular order. It considers
// only workers that are feasible and healthy for the task and have free capacity for it. If more than
// maxEnumerated workers qualify, it may consider only some of them.
func (s *search) cheapest(task *taskInfo) []*workerInfo {
	s.begin(task)
	s.scorer.prepare(task)
	if task.Program != 0 {
		s.evaluateAll(s.residents.workers[task.Program])
		s.evaluateAll(s.fleet.preferredFor(task.Program))
	}
	inverse := s.index.inverseBaseline
	s.index.walk(levelWalk{limits: s.limits, visit: s.visit,
		relevant: func(kindIndex int, requested fractions, minUtilization float64) bool {
			utilization := max(minUtilization, requested.cores*inverse.cores, requested.memory*inverse.memory)
			lowest := s.scorer.kinds[kindIndex].lowerBound(utilization, s.scorer.utilization)
			return lowest <= s.lowestCost+costMargin+roundingTolerance
		},
	}, s.random)
	for _, candidate := range s.scored {
		if candidate.cost <= s.lowestCost+costMargin {
			s.nearLowest = append(s.nearLowest, candidate.worker)
		}
	}
	return s.nearLowest
}

// evaluateAll evaluates the given workers one by one, and stops once maxEnumerated workers have a
// score. It starts at a random worker if more than maxEnumerated workers are given.
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

// evaluate filters and scores one worker for the task of the search. A worker that this search has
// already evaluated is skipped. The result reports whether to evaluate further workers. It is false if this
// worker got a score and at least maxEnumerated workers now have one.
func (s *search) evaluate(worker *workerInfo) bool {
	if worker.lastSearch == s.searchNumber {
		return true
	}
	worker.lastSearch = s.searchNumber
	s.evaluated++
	if !s.filter.feasible(worker, s.class, s.task) || !s.filter.fits(worker, s.task) {
		return true
	}
	if !s.health.healthy(worker, s.task.classIndex) {
		s.suspects = append(s.suspects, worker)
		return true
	}
	cost := s.scorer.score(worker, s.task)
	s.scored = append(s.scored, scoredWorker{worker, cost})
	s.lowestCost = min(s.lowestCost, cost)
	return len(s.scored) < maxEnumerated
}

// uncordonedWorker returns a worker that operators uncordoned and that has got no new attempt or task since.
// The worker is feasible and healthy for the given task and has free capacity for it. The result is the first
// such worker by name, or nil if there is none or if the task must not run twice. The search prefers an
// uncordoned worker for one task only, because one task is enough to show that the worker is in use again.
func (s *search) uncordonedWorker(task *taskInfo) (found *workerInfo) {
	class := s.classOf(task)
	for worker := range s.fleet.pruneUncordoned() {
		suitable := task.effect(class) != Unsafe && s.filter.feasible(worker, class, task) &&
			s.health.healthy(worker, task.classIndex) && s.filter.fits(worker, task)
		if suitable && (found == nil || worker.ordinal < found.ordinal) {
			found = worker
		}
	}
	return found
}

// fallback returns the least suspect worker for a task, or none. It requires that the last search
// found no healthy worker that fits the task.
func (s *search) fallback(task *taskInfo) []*workerInfo {
	suspects := s.suspects
	if len(suspects) == 0 || task.effect(s.classOf(task)) != Safe && s.majorityHealthy(task) {
		// A suspect worker may have free capacity only because it fails its tasks quickly. If most workers
		// are healthy but full, the task therefore waits for one of them, unless the task is safe to repeat.
		return nil
	}
	// An attempt at an unreachable worker is wasted, and may be the last attempt of its task. If any
	// reachable worker may get the task, unreachable workers are left out, even if the task then has to
	// wait until a reachable worker answers or ends other attempts.
	if slices.ContainsFunc(suspects, isUnreachable) && s.anyReachable(task) {
		suspects = slices.DeleteFunc(suspects, isUnreachable)
	}
	// All workers that fit the task are suspect. Either the task is safe to repeat, or at least half of the
	// feasible workers are suspect. In the second case, the likely cause is the network or the load and not
	// the workers. The search therefore selects the least suspect worker. Each worker gets only few attempts
	// at a time, because an unanswered attempt counts towards the maximum number of attempts of its task.
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

// anyReachable reports whether a reachable worker may get a task, now or after the worker has
// answered or ended other attempts.
func (s *search) anyReachable(task *taskInfo) bool {
	class := s.classOf(task)
	return slices.ContainsFunc(s.fleet.sorted, func(worker *workerInfo) bool {
		return !worker.unreachable && s.filter.permitsOnceAnswered(worker, class, task)
	})
}

// majorityHealthy reports whether more than half of the feasible workers are healthy.
func (s *search) majorityHealthy(task *taskInfo) bool {
	class := s.classOf(task)
	balance := 0
	for _, worker := range s.fleet.sorted {
		if !s.filter.feasible(worker, class, task) {
			continue
		}
		if s.health.healthy(worker, task.classIndex) {
			balance++
		} else {
			balance--
		}
	}
	return balance > 0
}

// fitsElsewhere reports whether a healthy worker other than the given one may get a task and has free
// capacity for it. Reservations do not count.
func (s *search) fitsElsewhere(task *taskInfo, worker *workerInfo) bool {
	s.begin(task)
	class, found := s.classOf(task), false
	s.index.walk(levelWalk{limits: s.limits,
		relevant: func(int, fractions, float64) bool { return true },
		visit: func(other *workerInfo) bool {
			found = other != worker && s.filter.permits(other, class, task) &&
				s.health.healthy(other, task.classIndex) && s.filter.fits(other, task)
			return !found
		},
	}, s.random)
	return found
}

// closestToFitting returns the healthy unreserved worker that would have the lowest utilization if it
// ran a task, and so lacks the least capacity to fit the task. It returns nil if no healthy unreserved
// worker may get the task.
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
	// The walk over the index visits only workers for which the lower bound of the utilization with the
	// task is at most lowest+slack. With a positive slack, the walk also visits workers that are equal to
	// the best worker so far, so the first of the equal workers by name is returned.
	lowest, slack := math.Inf(1), roundingTolerance
	if len(s.fleet.sorted) > maxEnumerated {
		slack = -roundingTolerance // skip workers equal to the best one so far, because there may be thousands
	}
	s.index.walk(levelWalk{unreservedOnly: true,
		relevant: func(kindIndex int, requested fractions, minUtilization float64) bool {
			size := &s.taskFractions[kindIndex]
			needed := max(requested.cores*inverse.cores+size.cores, requested.memory*inverse.memory+size.memory)
			return max(needed, minUtilization+min(size.cores, size.memory)) <= lowest+slack
		},
		visit: func(worker *workerInfo) bool {
			if !s.filter.permits(worker, class, task) || !s.health.healthy(worker, task.classIndex) {
				return true
			}
			cores, memory := s.loads.requested(worker)
			effectiveCores, effectiveMemory := s.capacity.effective(worker)
			needed := max((cores+task.Cores)/effectiveCores, (memory+task.Memory)/effectiveMemory)
			if needed < lowest || best != nil && needed == lowest && worker.ordinal < best.ordinal {
				best, lowest = worker, needed
			}
			return true
		},
	}, nil)
	return best
}
