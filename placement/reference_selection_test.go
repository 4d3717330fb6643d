package placement

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// This file contains the selection by a full scan, and its comparison with the selection of a scheduler.

// selection is the result of a full scan.
type selection struct {
	required, permitted []*workerInfo // finalists must contain all of required, and none outside permitted
	withinTwiceMargin   []*workerInfo // workers whose cost is at most 2*costMargin above the lowest cost
	sampled             bool          // over maxEnumerated workers qualify, so the search may score only some
	path                string        // one of the path constants
}

// The values of selection.path, which name the rule that determined the finalists.
const (
	pathWaits      = "waits"
	pathNoCapacity = "no free capacity"
	pathFallback   = "least suspect"
	pathUncordoned = "uncordoned"
	pathCheapest   = "cheapest"
)

// candidate is a worker that the rules permit to get a task.
type candidate struct {
	worker       *workerInfo
	healthy      bool
	fits, border bool
}

func (r *reference) candidates(task *taskInfo) (list []candidate) {
	for _, worker := range r.workers {
		if !r.permits(worker, task) || task.priority*reservationFactor < r.scheduler.reservations.priorities[worker] {
			continue
		}
		fits, border := r.fits(worker, task)
		list = append(list, candidate{worker, r.healthy(worker, task.classIndex), fits, border})
	}
	return list
}

// selectFrom selects among the candidates by a full scan.
func (r *reference) selectFrom(list []candidate, task *taskInfo) selection {
	effect := r.scheduler.settings.Classes[task.classIndex].Effect
	var fit, healthy []*workerInfo
	healthyCount := 0
	for _, candidate := range list {
		if candidate.healthy {
			healthyCount++
		}
		if candidate.fits {
			fit = append(fit, candidate.worker)
			if candidate.healthy {
				healthy = append(healthy, candidate.worker)
			}
		}
	}
	suspectCount := len(list) - healthyCount
	if len(fit) == 0 {
		return selection{path: pathNoCapacity}
	}
	path := pathCheapest
	if len(healthy) == 0 {
		if healthyCount > suspectCount && effect != Safe {
			return selection{path: pathWaits}
		}
		class := &r.scheduler.settings.Classes[task.classIndex]
		isReached := func(worker *workerInfo) bool {
			return !worker.unreachable && r.permitsOnceAnswered(worker, class, task)
		}
		if slices.ContainsFunc(r.workers, isReached) {
			fit = slices.DeleteFunc(fit, func(worker *workerInfo) bool { return worker.unreachable })
		}
		leastSuspect := r.lowestSuspicion(fit, task.classIndex)
		if leastSuspect == nil {
			return selection{path: pathWaits}
		}
		healthy, path = []*workerInfo{leastSuspect}, pathFallback
	}
	for _, worker := range healthy {
		if worker.uncordonedIdle && effect != Unsafe {
			return selection{[]*workerInfo{worker}, []*workerInfo{worker}, nil, false, pathUncordoned}
		}
	}
	required, permitted, withinTwiceMargin := r.nearLowest(healthy, task)
	return selection{required, permitted, withinTwiceMargin, len(healthy) > maxEnumerated, path}
}

// lowestSuspicion returns the worker with the lowest suspicion. It considers only workers with at most
// one unanswered attempt, and returns nil if there are none. Among workers with equal suspicion, it returns
// the first one.
func (r *reference) lowestSuspicion(workers []*workerInfo, classIndex int) (best *workerInfo) {
	for _, worker := range workers {
		if len(worker.unanswered) <= 1 && (best == nil || r.suspicion(worker, classIndex) < r.suspicion(best, classIndex)) {
			best = worker
		}
	}
	return best
}

func (r *reference) nearLowest(workers []*workerInfo, task *taskInfo) (required, permitted, withinTwiceMargin []*workerInfo) {
	lowest := math.Inf(1)
	costs := make([]float64, len(workers))
	for i, worker := range workers {
		costs[i] = r.cost(worker, task)
		lowest = min(lowest, costs[i])
	}
	for i, worker := range workers {
		if costs[i] <= lowest+costMargin-referenceTolerance {
			required = append(required, worker)
		}
		if costs[i] <= lowest+costMargin+referenceTolerance {
			permitted = append(permitted, worker)
		}
		if costs[i] <= lowest+2*costMargin {
			withinTwiceMargin = append(withinTwiceMargin, worker)
		}
	}
	return required, permitted, withinTwiceMargin
}

// matches reports whether the finalists of a scheduler agree with this selection.
func (s selection) matches(got []*workerInfo) bool {
	// The search may have scored only some of the qualifying workers. It may therefore have missed some of
	// s.required, even the worker with the lowest cost.
	if s.sampled {
		return len(got) > 0 && !slices.ContainsFunc(got, func(worker *workerInfo) bool { return !slices.Contains(s.withinTwiceMargin, worker) })
	}
	seen := map[*workerInfo]bool{}
	for _, worker := range got {
		if seen[worker] || !slices.Contains(s.permitted, worker) {
			return false
		}
		seen[worker] = true
	}
	for _, worker := range s.required {
		if !seen[worker] {
			return false
		}
	}
	return true
}

// acceptsAnyVariant reports whether accept returns true for the candidates or for a variant of them,
// and whether it needed a variant. In a variant, some candidates at the limit of their free capacity
// have the opposite value of fits. All combinations of the first maxBorderFlips of these candidates are
// tried.
func acceptsAnyVariant(list []candidate, accept func([]candidate) bool) (ok, flipped bool) {
	if accept(list) {
		return true, false
	}
	var border []int
	for i, candidate := range list {
		if candidate.border {
			border = append(border, i)
		}
	}
	border = border[:min(len(border), maxBorderFlips)]
	for set := 1; set < 1<<len(border); set++ {
		changed := slices.Clone(list)
		for bit, i := range border {
			if set>>bit&1 == 1 {
				changed[i].fits = !changed[i].fits
			}
		}
		if accept(changed) {
			return true, true
		}
	}
	return false, false
}

// compareFinalists compares the finalists of a scheduler for a task with those of the full scan. It returns
// the path of the full scan, whether only a variant of the candidates matched (see acceptsAnyVariant), and
// an error if neither the candidates nor a variant matched.
func (r *reference) compareFinalists(task *taskInfo, got []*workerInfo) (path string, flipped bool, err error) {
	list := r.candidates(task)
	want := r.selectFrom(list, task)
	ok, flipped := acceptsAnyVariant(list, func(variant []candidate) bool { return r.selectFrom(variant, task).matches(got) })
	if !ok {
		err = fmt.Errorf("task %+v, priority %v: got finalists %s, the full scan (path %q) gives %s", task.Task, task.priority, names(got), want.path, names(want.permitted))
	}
	return want.path, flipped, err
}

// compareElsewhere compares the result of a scheduler's fitsElsewhere with the full scan. got is this
// result: whether the scheduler found that a task fits a worker other than the given one. flipped and err
// have the same meaning as for compareFinalists.
func (r *reference) compareElsewhere(task *taskInfo, worker *workerInfo, got bool) (flipped bool, err error) {
	var list []candidate
	for _, other := range r.workers {
		if other != worker && r.permits(other, task) && r.healthy(other, task.classIndex) {
			fits, border := r.fits(other, task)
			list = append(list, candidate{other, true, fits, border})
		}
	}
	ok, flipped := acceptsAnyVariant(list, func(variant []candidate) bool {
		return got == slices.ContainsFunc(variant, func(candidate candidate) bool { return candidate.fits })
	})
	if !ok {
		err = fmt.Errorf("task %+v: fits a worker other than %s: got %v, the full scan gives %v", task.Task, worker.Worker, got, !got)
	}
	return flipped, err
}

// compareReserved compares the worker that a scheduler newly reserved for a task, or nil if there is
// none, with the workers that the full scan considers a correct choice.
func (r *reference) compareReserved(task *taskInfo, got *workerInfo) error {
	scheduler := r.scheduler
	var want []*workerInfo
	if scheduler.settings.HasView && len(scheduler.reservations.priorities)*2 < len(r.workers) {
		lowest, needs := math.Inf(1), map[*workerInfo]float64{}
		for _, worker := range r.workers {
			if scheduler.reservations.priorities[worker] > 0 || !r.permits(worker, task) || !r.healthy(worker, task.classIndex) {
				continue
			}
			cores, memory := r.requested(worker)
			effectiveCores, effectiveMemory := r.effectiveCapacity(worker)
			needs[worker] = max((cores+task.Cores)/effectiveCores, (memory+task.Memory)/effectiveMemory)
			lowest = min(lowest, needs[worker])
		}
		for worker, need := range needs {
			if need <= lowest+referenceTolerance {
				want = append(want, worker)
			}
		}
	}
	if got == nil && len(want) == 0 || slices.Contains(want, got) {
		return nil
	}
	name := "none"
	if got != nil {
		name = got.Worker
	}
	return fmt.Errorf("task %+v: got reserved worker %s, the full scan gives one of %s", task.Task, name, names(want))
}

// compareSums compares the sums over the fleet that a scheduler maintains with those of the full scan.
func (r *reference) compareSums() error {
	scheduler := r.scheduler
	utilization, mean := scheduler.totals.means()
	others, wantOthers := scheduler.overload.estimateConcurrent(), r.concurrentPlacements()
	for _, test := range []struct {
		name      string
		got, want float64
	}{
		{"utilization of the fleet", utilization, r.fleetUtilization}, {"mean cores", mean, r.meanCores}, {"requested cores", scheduler.fleet.totalRequestedCores(), r.requestedCores()},
		{"free capacity", scheduler.totals.freeUnits(), r.freeUnits()}, {"cores placed by other schedulers", others[0], wantOthers[0]}, {"memory placed by other schedulers", others[1], wantOthers[1]},
	} {
		if test.got != test.want && math.Abs(test.got-test.want) > referenceTolerance*max(1, math.Abs(test.want)) {
			return fmt.Errorf("%s: got %v, the full scan gives %v", test.name, test.got, test.want)
		}
	}
	return nil
}

func names(workers []*workerInfo) string {
	if workers == nil {
		return "none"
	}
	var list []string
	for _, worker := range workers {
		list = append(list, worker.Worker)
	}
	slices.Sort(list)
	return "[" + strings.Join(list, " ") + "]"
}
