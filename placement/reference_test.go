package placement

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// This file owns the selection of a worker as a full scan, written out plainly from the raw state of a
// scheduler. It must never use what the scheduler computes, so that any faster way to the same selection
// can be compared with it.

const (
	// referenceSlack is how near a border a value may lie to count on either side.
	referenceSlack = 1e-9
	// maxFlips is up to how many workers at a border of free capacity are tried both ways.
	maxFlips = 5
)

// reference looks at the workers of a scheduler as they stand.
type reference struct {
	scheduler          *Scheduler
	workers            []*workerInfo // by name
	utilizationOfFleet float64       // of the fleet
	meanCores          float64       // of the fleet
}

func newReference(scheduler *Scheduler) *reference {
	r := &reference{scheduler: scheduler, workers: slices.Collect(maps.Values(scheduler.fleet.workers))}
	slices.SortFunc(r.workers, func(a, b *workerInfo) int { return cmp.Compare(a.Worker, b.Worker) })
	r.utilizationOfFleet, r.meanCores = r.means()
	return r
}

// --- What is requested of a worker, and its effective capacity ---

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

// calibrationBelow is what is left of a bend by now.
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
	case ScopeMachine:
		return a == b
	case ScopeCell:
		return a.everListed && b.everListed && a.Cell == b.Cell
	case ScopeZone:
		return a.everListed && b.everListed && a.Zone == b.Zone
	}
	return true
}

// permits is the rules, the kind and the window.
func (r *reference) permits(worker *workerInfo, task *taskInfo) bool {
	class := &r.scheduler.settings.Classes[task.classIndex]
	switch {
	case !worker.listed || worker.State != Ready || worker.kindIndex < 0 || r.scheduler.now < worker.drainingUntil:
		return false
	case float64(len(worker.unanswered)) >= worker.attemptWindow:
		return false
	case class.Kind >= 0 && class.Kind != worker.kindIndex:
		return false
	}
	return r.permitsRepeat(worker, class, task) && r.spreadPermits(worker, class, task) && r.slowStartPermits(worker)
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
	seat := (scheduler.settings.SelfIndex + int(worker.nameHash%uint64(schedulers))) % schedulers
	if int(budget) >= schedulers {
		return scheduler.now >= scheduler.startedAt+window && offersAfter(max(scheduler.now-window, worker.StartedAtUs-1)) < (int(budget)+seat)/schedulers
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
	return slot%int64(turns*step) == int64(seat%turns*step) && scheduler.startedAt < slotStart && offersAfter(slotStart-1) == 0
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

// fits reports whether a worker has free capacity for a task, and whether that is at a border.
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
		border = border || math.Abs(value-bound) <= referenceSlack*max(1, bound)
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
	warm := max(0, float64(r.scheduler.now-worker.StartedAtUs)/float64(r.scheduler.settings.WarmUpUs))
	return max(0.1, r.scheduler.settings.ColdStartRate+(1-r.scheduler.settings.ColdStartRate)*warm)
}

func (r *reference) missProbability(worker *workerInfo, task *taskInfo) float64 {
	if task.Program == 0 || worker.residentPrograms[task.Program] != nil {
		return 0
	}
	rank := (1 - float64(mix(worker.nameHash^mix(task.Program)))/math.MaxUint64) * float64(len(r.workers))
	return min(1, rank/programWorkers)
}

func (r *reference) cost(worker *workerInfo, task *taskInfo) float64 {
	cores := r.scheduler.settings.Kinds[worker.kindIndex].Cores
	utilization := min(r.utilizationOfFleet, maxUtilization)
	backlog := utilization
	if r.scheduler.settings.HasView {
		backlog = r.utilization(worker)
	}
	backlog += r.backlog(worker)*r.meanCores/cores/r.startRate(worker) + missPenalty*r.missProbability(worker, task)
	effectiveCores, effectiveMemory := r.effectiveCapacity(worker)
	size := max(task.Cores/effectiveCores, task.Memory/effectiveMemory)
	return backlog + cores/r.meanCores/(1-utilization)*(backlog*size+size*size/2)
}

// --- The choice ---

// choice is what a full scan comes to.
type choice struct {
	must, may []*workerInfo // the draw is among all of must and any of may, which holds must too
	wide      []*workerInfo // within twice the margin
	many      bool          // more can be chosen than are looked at one by one
	path      string        // on what path
}

// The paths of a choice.
const (
	pathWaits      = "waits"
	pathNoCapacity = "no room"
	pathFallback   = "least suspect"
	pathReturned   = "returned by hand"
	pathCheapest   = "cheapest"
)

// candidate is a worker that the rules allow.
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
		failed := slices.ContainsFunc(task.attempts, func(attempt *attemptInfo) bool { return attempt.failed && attempt.worker == worker })
		fits, border := r.fits(worker, task)
		list = append(list, candidate{worker, r.healthy(worker, task.classIndex) && !failed, fits, border})
	}
	return list
}

// selectWorker is the full scan over the candidates.
func (r *reference) choose(list []candidate, task *taskInfo) choice {
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
		return choice{path: pathNoCapacity}
	}
	path := pathCheapest
	if len(healthy) == 0 {
		if healthyCount > suspectCount && effect != Safe {
			return choice{path: pathWaits}
		}
		leastSuspect := r.lowestSuspicion(fit, task.classIndex)
		if leastSuspect == nil {
			return choice{path: pathWaits}
		}
		healthy, path = []*workerInfo{leastSuspect}, pathFallback
	}
	for _, worker := range healthy {
		if worker.uncordonedIdle && effect != Unsafe {
			return choice{[]*workerInfo{worker}, []*workerInfo{worker}, nil, false, pathReturned}
		}
	}
	must, may, wide := r.nearLowest(healthy, task)
	return choice{must, may, wide, len(healthy) > maxEnumerated, path}
}

// lowestSuspicion is the first of the least suspect workers with one unanswered attempt at most.
func (r *reference) lowestSuspicion(workers []*workerInfo, classIndex int) (best *workerInfo) {
	for _, worker := range workers {
		if len(worker.unanswered) <= 1 && (best == nil || r.suspicion(worker, classIndex) < r.suspicion(best, classIndex)) {
			best = worker
		}
	}
	return best
}

func (r *reference) nearLowest(workers []*workerInfo, task *taskInfo) (must, may, wide []*workerInfo) {
	lowest := math.Inf(1)
	costs := make([]float64, len(workers))
	for i, worker := range workers {
		costs[i] = r.cost(worker, task)
		lowest = min(lowest, costs[i])
	}
	for i, worker := range workers {
		if costs[i] <= lowest+costMargin-referenceSlack {
			must = append(must, worker)
		}
		if costs[i] <= lowest+costMargin+referenceSlack {
			may = append(may, worker)
		}
		if costs[i] <= lowest+2*costMargin {
			wide = append(wide, worker)
		}
	}
	return must, may, wide
}

// matches reports whether workers are what this choice draws among.
func (c choice) matches(got []*workerInfo) bool {
	if c.many { // a part of them is drawn from
		return len(got) > 0 && !slices.ContainsFunc(got, func(worker *workerInfo) bool { return !slices.Contains(c.wide, worker) })
	}
	seen := map[*workerInfo]bool{}
	for _, worker := range got {
		if seen[worker] || !slices.Contains(c.may, worker) {
			return false
		}
		seen[worker] = true
	}
	for _, worker := range c.must {
		if !seen[worker] {
			return false
		}
	}
	return true
}

// eachFlip calls f with the candidates, then with those at a border of free capacity decided
// the other way in every combination, until f is satisfied.
func eachFlip(list []candidate, accept func([]candidate) bool) (ok, flipped bool) {
	if accept(list) {
		return true, false
	}
	var border []int
	for i, candidate := range list {
		if candidate.border {
			border = append(border, i)
		}
	}
	border = border[:min(len(border), maxFlips)]
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

// compareFinalists returns on what path the full scan selects for a task, whether a border had to be
// decided otherwise, and what is wrong with what was found.
func (r *reference) compareFinalists(task *taskInfo, got []*workerInfo) (path string, flipped bool, err error) {
	list := r.candidates(task)
	want := r.choose(list, task)
	ok, flipped := eachFlip(list, func(variant []candidate) bool { return r.choose(variant, task).matches(got) })
	if !ok {
		err = fmt.Errorf("task %+v, priority %v: finalists %s, the full scan (%s) gives %s", task.Task, task.priority, names(got), want.path, names(want.may))
	}
	return want.path, flipped, err
}

// compareElsewhere checks whether a worker other than the given one fits a task.
func (r *reference) compareElsewhere(task *taskInfo, worker *workerInfo, got bool) (flipped bool, err error) {
	var list []candidate
	for _, other := range r.workers {
		if other != worker && r.permits(other, task) && r.healthy(other, task.classIndex) {
			fits, border := r.fits(other, task)
			list = append(list, candidate{other, true, fits, border})
		}
	}
	ok, flipped := eachFlip(list, func(variant []candidate) bool {
		return got == slices.ContainsFunc(variant, func(candidate candidate) bool { return candidate.fits })
	})
	if !ok {
		err = fmt.Errorf("task %+v away from %s: elsewhere = %v, the full scan gives %v", task.Task, worker.Worker, got, !got)
	}
	return flipped, err
}

// compareReserved checks the worker that is newly reserved for a task, or nil.
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
			if need <= lowest+referenceSlack {
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
	return fmt.Errorf("task %+v: reserved %s, the full scan gives one of %s", task.Task, name, names(want))
}

// compareSums checks what is summed over the fleet.
func (r *reference) compareSums() error {
	scheduler := r.scheduler
	utilization, mean := scheduler.totals.means()
	others, wantOthers := scheduler.overload.estimateConcurrent(), r.concurrentPlacements()
	for _, test := range []struct {
		name      string
		got, want float64
	}{
		{"asked share of the fleet", utilization, r.utilizationOfFleet}, {"mean cores", mean, r.meanCores}, {"asked cores", scheduler.fleet.requestedCores(), r.requestedCores()},
		{"free capacity", scheduler.totals.freeUnits(), r.freeUnits()}, {"cores bound by others", others[0], wantOthers[0]}, {"memory bound by others", others[1], wantOthers[1]},
	} {
		if test.got != test.want && math.Abs(test.got-test.want) > referenceSlack*max(1, math.Abs(test.want)) {
			return fmt.Errorf("%s: %v, the full scan gives %v", test.name, test.got, test.want)
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
