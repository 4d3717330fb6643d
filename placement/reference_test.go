package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// This file contains the reference implementation of the selection of a worker: a full scan over the raw
// state of a scheduler. It must not use the scheduler's index, filters, scores or cached sums, so that tests
// can compare the scheduler's faster search with it.

const (
	// If a value differs from its limit by at most referenceTolerance, both results of the comparison are
	// accepted.
	referenceTolerance = 1e-9
	// maxBorderFlips is the maximum number of workers for which acceptsAnyVariant tries both results of
	// fits. These are workers at the limit of their free capacity.
	maxBorderFlips = 5
)

// reference computes selections from the current state of the workers of a scheduler.
type reference struct {
	scheduler        *Scheduler
	workers          []*workerInfo // sorted by name
	fleetUtilization float64       // mean utilization of the fleet, weighted by cores
	meanCores        float64       // mean number of cores of the ready workers
}

func newReference(scheduler *Scheduler) *reference {
	r := &reference{scheduler: scheduler, workers: slices.Collect(maps.Values(scheduler.fleet.workers))}
	slices.SortFunc(r.workers, func(a, b *workerInfo) int { return cmp.Compare(a.Worker, b.Worker) })
	r.fleetUtilization, r.meanCores = r.means()
	return r
}

// --- Requested cores and memory of a worker, and its effective capacity ---

func (r *reference) deltasSince(worker *workerInfo, at int64) (cores, memory float64) {
	for _, d := range slices.Backward(worker.deltas) {
		if d.at > at {
			cores, memory = cores+d.cores, memory+d.memory
		}
	}
	return cores, memory
}

func (r *reference) requested(worker *workerInfo) (cores, memory float64) {
	kind := r.scheduler.settings.Kinds[worker.kindIndex]
	at, freeCores, freeMemory := worker.viewedAt-r.scheduler.loads.lag, worker.FreeCores, worker.FreeMemory
	if reported := worker.reportedAt - reportLag; worker.reportsFree && reported > at {
		at, freeCores, freeMemory = reported, worker.lastReport.FreeCores, worker.lastReport.FreeMemory
	}
	addedCores, addedMemory := r.deltasSince(worker, at)
	return max(0, kind.Cores-freeCores+addedCores), max(0, kind.Memory-freeMemory+addedMemory)
}

// decayedCalibration returns a calibration after its decay, toward 1, up to the current time.
func (r *reference) decayedCalibration(worker *workerInfo, calibration float64) float64 {
	if worker.calibratedAt == r.scheduler.now {
		return calibration
	}
	return 1 - (1-calibration)*math.Exp2(-float64(r.scheduler.now-worker.calibratedAt)/float64(calibrationHalflife))
}

func (r *reference) saturationLoad() float64 {
	lowest := math.Inf(1)
	for _, class := range r.scheduler.settings.Classes {
		lowest = min(lowest, class.SaturationLoad)
	}
	return lowest
}

func (r *reference) effectiveCapacity(worker *workerInfo) (cores, memory float64) {
	scheduler := r.scheduler
	kind := scheduler.settings.Kinds[worker.kindIndex]
	coresFactor, memoryFactor := scheduler.settings.CoresOvercommit, scheduler.settings.MemoryOvercommit
	if scheduler.capacity.requested[0] > 0 && scheduler.capacity.used[0] > 0 {
		coresFactor = min(coresFactor, r.saturationLoad()*scheduler.capacity.requested[0]/scheduler.capacity.used[0])
	}
	if scheduler.capacity.requested[1] > 0 && scheduler.capacity.used[1] > 0 {
		memoryFactor = min(memoryFactor, memorySaturation*scheduler.capacity.requested[1]/scheduler.capacity.used[1])
	}
	return kind.Cores * coresFactor * r.decayedCalibration(worker, worker.calibration[resourceCores]), kind.Memory * memoryFactor * r.decayedCalibration(worker, worker.calibration[resourceMemory])
}

func (r *reference) utilization(worker *workerInfo) float64 {
	cores, memory := r.requested(worker)
	effectiveCores, effectiveMemory := r.effectiveCapacity(worker)
	return max(cores/effectiveCores, memory/effectiveMemory)
}

// --- Sums over the fleet ---

func (r *reference) means() (utilization, cores float64) {
	var capacity, workers float64
	for _, worker := range r.workers {
		if !worker.listed || worker.State != Ready || worker.kindIndex < 0 {
			continue
		}
		size := r.scheduler.settings.Kinds[worker.kindIndex].Cores
		if r.scheduler.settings.HasView {
			utilization += r.utilization(worker) * size
		}
		capacity += size
		workers++
	}
	if workers == 0 {
		return 0, 1
	}
	return utilization / capacity, capacity / workers
}

func (r *reference) requestedCores() (sum float64) {
	for _, worker := range r.workers {
		if worker.listed && worker.kindIndex >= 0 && r.scheduler.settings.HasView {
			cores, _ := r.requested(worker)
			sum += cores
		}
	}
	return sum
}

func (r *reference) concurrentPlacements() (shares [2]float64) {
	scheduler := r.scheduler
	if !scheduler.overload.active || !scheduler.settings.HasView {
		return shares
	}
	var net, squares, capacity [2]float64
	for _, worker := range r.workers {
		if worker.kindIndex < 0 || !worker.listed {
			continue
		}
		kind := scheduler.settings.Kinds[worker.kindIndex]
		capacity[0], capacity[1] = capacity[0]+kind.Cores, capacity[1]+kind.Memory
		for _, d := range worker.deltas {
			if d.at > worker.viewedAt-scheduler.loads.lag {
				net[0], net[1] = net[0]+d.cores, net[1]+d.memory
				squares[0], squares[1] = squares[0]+d.cores*d.cores, squares[1]+d.memory*d.memory
			}
		}
	}
	for i := range shares {
		excess := max(0, net[i]-2*math.Sqrt(squares[i]))
		shares[i] = excess * float64(scheduler.settings.FleetSize-1) / max(1, capacity[i])
	}
	return shares
}

func (r *reference) freeUnits() (units float64) {
	scheduler := r.scheduler
	if scheduler.settings.UnitCores <= 0 || scheduler.settings.UnitMemory <= 0 {
		return math.Inf(1)
	}
	for _, worker := range r.workers {
		if !worker.listed || worker.State != Ready || worker.kindIndex < 0 || !scheduler.settings.HasView {
			continue
		}
		cores, memory := r.requested(worker)
		effectiveCores, effectiveMemory := r.effectiveCapacity(worker)
		free := min((effectiveCores-cores)/scheduler.settings.UnitCores, (effectiveMemory-memory)/scheduler.settings.UnitMemory) / float64(scheduler.settings.FleetSize)
		units += max(0, min(free, worker.attemptWindow-float64(len(worker.unanswered))))
	}
	return units
}

// --- Filters ---

func (r *reference) sameDomain(a, b *workerInfo, scope Scope) bool {
	switch scope {
	case ScopeWorker:
		return a == b
	case ScopeCell:
		return a.everListed && b.everListed && a.Cell == b.Cell
	case ScopeZone:
		return a.everListed && b.everListed && a.Zone == b.Zone
	}
	return true
}

// permits checks the attempt window of a worker and everything that permitsOnceAnswered checks.
func (r *reference) permits(worker *workerInfo, task *taskInfo) bool {
	class := &r.scheduler.settings.Classes[task.classIndex]
	if float64(len(worker.unanswered)) >= worker.attemptWindow {
		return false
	}
	return r.permitsOnceAnswered(worker, class, task)
}

// permitsOnceAnswered checks that a worker is listed, ready and not draining, that the class of the task
// permits its kind, that the task may not have run on it, and that the rules for repeats, spread
// and slow start permit the task.
func (r *reference) permitsOnceAnswered(worker *workerInfo, class *Class, task *taskInfo) bool {
	switch {
	case !worker.listed || worker.State != Ready || worker.kindIndex < 0 || r.scheduler.now < worker.drainingUntil:
		return false
	case class.Kind >= 0 && class.Kind != worker.kindIndex:
		return false
	}
	return !r.mayHaveRunOn(worker, task) && r.permitsRepeat(worker, class, task) && r.spreadPermits(worker, class, task) && r.slowStartPermits(worker)
}

// mayHaveRunOn reports whether an earlier attempt on the worker may have run the task.
func (r *reference) mayHaveRunOn(worker *workerInfo, task *taskInfo) bool {
	for _, attempt := range task.attempts {
		if attempt.worker.Worker == worker.Worker && !attempt.neverRan {
			return true
		}
	}
	return slices.Contains(task.MayHaveRunOn, worker.Worker)
}

func (r *reference) permitsRepeat(worker *workerInfo, class *Class, task *taskInfo) bool {
	if task.mayHaveRun == nil || class.Effect == Safe {
		return true
	}
	if class.Effect == Unsafe || r.scheduler.now >= task.mayHaveRun.sentAt+class.WindowUs {
		return false
	}
	return class.Group == ScopeAll || r.sameDomain(worker, task.mayHaveRun.worker, class.Group)
}

func (r *reference) spreadPermits(worker *workerInfo, class *Class, task *taskInfo) bool {
	if class.Spread == ScopeNone {
		return true
	}
	tasks := 1
	for _, other := range r.workers {
		if resident := other.residentPrograms[task.Program]; resident != nil && (r.sameDomain(worker, other, class.Spread) || !other.everListed && other != worker) {
			tasks += resident.active
		}
	}
	return tasks <= class.MaxPerDomain
}

func (r *reference) warmingUp(worker *workerInfo) bool {
	return worker.StartedAtUs > 0 && r.scheduler.now < worker.StartedAtUs+r.scheduler.settings.WarmUpUs
}

func (r *reference) slowStartPermits(worker *workerInfo) bool {
	scheduler := r.scheduler
	if !r.warmingUp(worker) {
		return true
	}
	offersAfter := func(at int64) (count int) {
		for _, offer := range worker.offerTimes {
			if offer > at {
				count++
			}
		}
		return count
	}
	window := scheduler.settings.SlowStartWindowUs*11/10 + 1
	budget := min(scheduler.settings.SlowStartOffers, 2*(scheduler.settings.SlowStartOffers+2*math.Sqrt(scheduler.settings.SlowStartOffers)+2)/3)
	schedulers := scheduler.settings.FleetSize
	rotatedIndex := (scheduler.settings.SelfIndex + int(worker.nameHash%uint64(schedulers))) % schedulers
	if int(budget) >= schedulers {
		return scheduler.now >= scheduler.startedAt+window && offersAfter(max(scheduler.now-window, worker.StartedAtUs-1)) < (int(budget)+rotatedIndex)/schedulers
	}
	if budget < 1 || scheduler.now < worker.StartedAtUs {
		return false
	}
	perSlot, step := max(1, int(budget)/2), 1
	if budget < 2 {
		step = 2
	}
	turns := (schedulers + perSlot - 1) / perSlot
	slot := scheduler.now / window
	slotStart := slot * window
	return slot%int64(turns*step) == int64(rotatedIndex%turns*step) && scheduler.startedAt < slotStart && offersAfter(slotStart-1) == 0
}

func (r *reference) suspicion(worker *workerInfo, classIndex int) float64 {
	score := worker.suspicions[classIndex]
	if score.score == 0 {
		return 0
	}
	return score.score * math.Exp2(-float64(r.scheduler.now-score.updatedAt)/float64(suspicionHalflife))
}

func (r *reference) responseTimeout() int64 {
	if r.scheduler.settings.AcceptMeansRunning {
		return max(int64(r.scheduler.health.meanRTT+8*r.scheduler.health.rttDeviation), second)
	}
	return max(int64(r.scheduler.health.meanRTT+4*r.scheduler.health.rttDeviation), second/8)
}

func (r *reference) healthy(worker *workerInfo, classIndex int) bool {
	if r.scheduler.health.meanRTT > 0 {
		if len(worker.unanswered) > 0 && r.scheduler.now-worker.unanswered[0].sentAt > r.responseTimeout() {
			return false
		}
		if worker.probeSentAt > 0 && r.scheduler.now-worker.probeSentAt > r.responseTimeout() {
			return false
		}
	}
	suspicion := r.suspicion(worker, classIndex)
	return suspicion < suspectThreshold || suspicion < ejectionThreshold && len(worker.unanswered) == 0 && r.scheduler.settings.Classes[classIndex].Effect != Unsafe
}

// fits reports whether a worker has free capacity for a task. The result border reports whether any of the
// compared values lies within referenceTolerance of its limit, so that the other result is also accepted.
func (r *reference) fits(worker *workerInfo, task *taskInfo) (fits, border bool) {
	scheduler := r.scheduler
	kind := scheduler.settings.Kinds[worker.kindIndex]
	if !scheduler.settings.HasView {
		return task.Cores <= kind.Cores*scheduler.settings.CoresOvercommit && task.Memory <= kind.Memory*scheduler.settings.MemoryOvercommit, false
	}
	cores, memory := r.requested(worker)
	if scheduler.overload.active {
		cores += min(scheduler.overload.contention*kind.Cores, max(0, worker.FreeCores-worker.sustainedFree[resourceCores])) + scheduler.overload.concurrent[0]*kind.Cores
		memory += min(scheduler.overload.contention*kind.Memory, max(0, worker.FreeMemory-worker.sustainedFree[resourceMemory])) + scheduler.overload.concurrent[1]*kind.Memory
	}
	withinBound := func(value, bound float64) bool {
		border = border || math.Abs(value-bound) <= referenceTolerance*max(1, bound)
		return value <= bound
	}
	if !withinBound(cores+task.Cores, kind.Cores*scheduler.settings.CoresOvercommit) || !withinBound(memory+task.Memory, kind.Memory*scheduler.settings.MemoryOvercommit) {
		return false, border
	}
	effectiveCores, effectiveMemory := r.effectiveCapacity(worker)
	small := withinBound(max(task.Cores/effectiveCores, task.Memory/effectiveMemory), largeTaskShare)
	if !small && scheduler.now-task.arrivedAt > scheduler.settings.Classes[task.classIndex].ObjectiveUs/4 {
		return true, border
	}
	enoughCores, enoughMemory := withinBound(cores+task.Cores, effectiveCores), withinBound(memory+task.Memory, effectiveMemory)
	return enoughCores && enoughMemory, border
}

// --- Cost ---

func (r *reference) backlog(worker *workerInfo) float64 {
	count := len(worker.unanswered)
	for _, task := range worker.running {
		if task.attempts[len(task.attempts)-1].starting {
			count++
		}
	}
	starts := float64(count)
	if r.scheduler.now-worker.reportedAt < reportValidity && worker.lastReport.Queued >= starts && worker.lastReport.Queued <= 1e4 {
		starts = worker.lastReport.Queued
	}
	return startPenalty * starts
}

func (r *reference) startRate(worker *workerInfo) float64 {
	if !r.warmingUp(worker) {
		return 1
	}
	warmUpProgress := max(0, float64(r.scheduler.now-worker.StartedAtUs)/float64(r.scheduler.settings.WarmUpUs))
	return max(0.1, r.scheduler.settings.ColdStartRate+(1-r.scheduler.settings.ColdStartRate)*warmUpProgress)
}

func (r *reference) missProbability(worker *workerInfo, task *taskInfo) float64 {
	if task.Program == 0 || worker.residentPrograms[task.Program] != nil {
		return 0
	}
	rank := (1 - float64(mix(worker.nameHash^mix(task.Program)))/math.MaxUint64) * float64(len(r.workers))
	return min(1, rank/preferredWorkerCount)
}

func (r *reference) cost(worker *workerInfo, task *taskInfo) float64 {
	cores := r.scheduler.settings.Kinds[worker.kindIndex].Cores
	utilization := min(r.fleetUtilization, maxUtilization)
	backlog := utilization
	if r.scheduler.settings.HasView {
		backlog = r.utilization(worker)
	}
	backlog += r.backlog(worker)*r.meanCores/cores/r.startRate(worker) + missPenalty*r.missProbability(worker, task)
	effectiveCores, effectiveMemory := r.effectiveCapacity(worker)
	size := max(task.Cores/effectiveCores, task.Memory/effectiveMemory)
	return backlog + cores/r.meanCores/(1-utilization)*(backlog*size+size*size/2)
}
