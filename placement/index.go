package placement

import (
	"math"
	"math/bits"
	"math/rand/v2"
)

// This file owns the index of the workers that may get tasks, by kind and by requested capacity
// relative to the size of the kind. Events mark the workers that they change, and the index is updated
// before the next search. A search then examines only the few workers that it may select, not all
// workers. The index makes no decisions: it leaves out only workers that the search could not select.

const (
	// maxEnumerated is the approximate maximum number of workers that a search scores. Among that many
	// workers, hundreds have nearly the same cost, so scoring more of them would hardly improve the
	// result. In a level or list of more than maxEnumerated workers, scoring starts at a random worker.
	maxEnumerated = 512
	// maxScaleDrift is the maximum relative difference between the baseline of effective capacity and
	// the baseline with which the levels were built. All levels are rebuilt if the difference is
	// larger.
	maxScaleDrift = 0.05
)

// workerIndex is the index of all workers that may get tasks. The level of a worker is determined by
// the cores and memory requested of it, as fractions of the size of its kind. The fraction of cores is
// divided by scale.cores and the fraction of memory by scale.memory, and the larger quotient
// determines the level.
type workerIndex struct {
	kinds []kindLevels
	// scale is the baseline with which the levels were last built.
	scale           fractions
	baseline        fractions // capacityModel.baseline at the last call of fleet.refresh
	inverseBaseline fractions
	stale           []*workerInfo // workers whose position may be out of date (see invalidate)
	finished        []bool        // by kind: whether the current walk needs no more workers of the kind
}

func newWorkerIndex(kinds int) *workerIndex {
	return &workerIndex{kinds: make([]kindLevels, kinds), finished: make([]bool, kinds)}
}

// setBaseline sets the baseline of effective capacity. If the baseline differs so much from the scale
// that all positions have to be recomputed, it becomes the new scale, and the result is true.
func (x *workerIndex) setBaseline(baseline fractions) (rescaled bool) {
	x.baseline = baseline
	x.inverseBaseline = fractions{1 / baseline.cores, 1 / baseline.memory}
	if !drifted(baseline.cores, x.scale.cores) && !drifted(baseline.memory, x.scale.memory) {
		return false
	}
	x.scale = baseline
	return true
}

// drifted reports whether one component of the baseline differs too much from the same component of
// the scale.
func drifted(current, builtWith float64) bool {
	return math.Abs(current-builtWith) > builtWith*maxScaleDrift
}

// invalidate marks a worker whose requested capacity, calibration or state may have changed. The next
// call of fleet.refresh recomputes its requested capacity and its position.
func (x *workerIndex) invalidate(worker *workerInfo) {
	if !worker.requestedStale {
		worker.requestedStale = true
		x.stale = append(x.stale, worker)
	}
}

// levelOf returns the level of an indexed worker.
func (x *workerIndex) levelOf(worker *workerInfo) *level {
	return &x.kinds[worker.position.kindIndex].levels[worker.position.level]
}

// sum returns the number of indexed workers of a kind, and the sum of their utilizations without
// calibration.
func (x *workerIndex) sum(kindIndex int) (count, utilization float64) {
	return x.kinds[kindIndex].sum(x.baseline)
}

// reserve moves a worker to the reserved entries of its level, if it is indexed.
func (x *workerIndex) reserve(worker *workerInfo) {
	if !worker.position.indexed {
		return
	}
	ownLevel := x.levelOf(worker)
	if worker.position.entryIndex < ownLevel.unreserved {
		ownLevel.unreserved--
		ownLevel.swap(worker.position.entryIndex, ownLevel.unreserved)
		x.kinds[worker.position.kindIndex].updateSets(worker.position.level)
	}
}

// release moves a worker back to the unreserved entries of its level, if it is indexed.
func (x *workerIndex) release(worker *workerInfo) {
	if !worker.position.indexed {
		return
	}
	ownLevel := x.levelOf(worker)
	if worker.position.entryIndex >= ownLevel.unreserved {
		ownLevel.swap(worker.position.entryIndex, ownLevel.unreserved)
		ownLevel.unreserved++
		x.kinds[worker.position.kindIndex].updateSets(worker.position.level)
	}
}

// remove removes a worker from the index, if it is indexed.
func (x *workerIndex) remove(worker *workerInfo) {
	if worker.position.indexed {
		x.levelOf(worker).remove(worker.position.entryIndex)
		x.kinds[worker.position.kindIndex].updateSets(worker.position.level)
		worker.position = indexPosition{}
	}
}

// put adds a worker to the index, or updates its entry and moves it to the level that its requested
// capacity requires. The argument reserved states whether the worker is reserved.
func (x *workerIndex) put(worker *workerInfo, requested fractions, reserved bool) {
	calibration := min(worker.calibration[resourceCores], worker.calibration[resourceMemory])
	entry := indexEntry{worker, requested, calibration}
	utilization := max(requested.cores/x.scale.cores, requested.memory/x.scale.memory)
	levelNumber := 0
	if utilization > 0 {
		levelNumber = int(min(levelCount-1, utilization/levelWidth))
	}
	position := &worker.position
	if position.indexed && position.kindIndex == worker.kindIndex && position.level == levelNumber {
		ownLevel := x.levelOf(worker)
		ownLevel.entries[position.entryIndex] = entry
		ownLevel.extendBounds(entry)
		return
	}
	x.remove(worker)
	worker.position = indexPosition{indexed: true, kindIndex: worker.kindIndex, level: levelNumber}
	x.levelOf(worker).add(entry, reserved)
	x.kinds[worker.kindIndex].updateSets(levelNumber)
}

// loadLimit is an upper limit of the requested capacity of workers of one kind. A worker above the
// limit does not have enough free capacity for the task of a search. A worker within the limit may have
// enough.
type loadLimit struct {
	max fractions
	// If the calibration of a worker is below calibrationBelow, the worker is also admitted with a
	// requested capacity within calibratedMax.
	calibrationBelow float64
	calibratedMax    fractions
}

// admits reports whether a worker with at least the given requested capacity and calibration may have
// enough free capacity for the task.
func (l *loadLimit) admits(requested fractions, calibration float64) bool {
	return requested.within(l.max) || calibration < l.calibrationBelow && requested.within(l.calibratedMax)
}

// levelWalk describes one walk over the index, level by level, beginning with the least utilized
// workers.
type levelWalk struct {
	limits         []loadLimit // by kind, or nil if there are no limits
	unreservedOnly bool
	// relevant reports whether the walk still needs workers of a kind with at least the given
	// requested capacity and at least the utilization minUtilization.
	relevant func(kindIndex int, requested fractions, minUtilization float64) bool
	// visit processes one worker, and reports whether to continue.
	visit func(worker *workerInfo) bool
}

// walk visits the workers that a plan describes. In levels of more than maxEnumerated workers it starts
// at a random worker, or at the first one if random is nil. random is a parameter and not a field of
// levelWalk, because if it were a field, the variables captured by the functions of the plan would
// escape to the heap.
func (x *workerIndex) walk(plan levelWalk, random *rand.Rand) {
	clear(x.finished)
	// If the baseline is above the scale, the utilization is lower than the level number indicates.
	drift := min(x.scale.cores/x.baseline.cores, x.scale.memory/x.baseline.memory)
	only := plan.unreservedOnly
	for number := x.nextLevel(0, only); number < levelCount; number = x.nextLevel(number+1, only) {
		minUtilization := max(0, float64(number)*levelWidth*drift-roundingTolerance)
		finished := true
		for kindIndex := range x.kinds {
			if x.finished[kindIndex] || !plan.relevant(kindIndex, fractions{}, minUtilization) {
				x.finished[kindIndex] = true
				continue
			}
			finished = false
			current := &x.kinds[kindIndex].levels[number]
			if len(current.entries) > 0 && !scanLevel(current, kindIndex, minUtilization, &plan, random) {
				return
			}
		}
		if finished {
			return
		}
	}
}

// nextLevel returns the number of the first level, starting at from, that contains workers of any
// kind (unreserved ones if unreservedOnly is true), or levelCount if there is none.
func (x *workerIndex) nextLevel(from int, unreservedOnly bool) int {
	for from < levelCount {
		var word uint64
		for kindIndex := range x.kinds {
			levels := &x.kinds[kindIndex]
			if unreservedOnly {
				word |= levels.unreserved[from/64]
			} else {
				word |= levels.occupied[from/64]
			}
		}
		if word >>= from % 64; word != 0 {
			return from + bits.TrailingZeros64(word)
		}
		from = (from/64 + 1) * 64
	}
	return levelCount
}

// scanLevel visits the workers of one level that the load limit of their kind admits and that the walk
// still needs. It reports whether to continue with the walk. If it scans all entries of the level, it
// makes the bounds of the level exact.
func scanLevel(current *level, kindIndex int, minUtilization float64, plan *levelWalk,
	random *rand.Rand) bool {
	limit := loadLimit{max: unlimited}
	if plan.limits != nil {
		limit = plan.limits[kindIndex]
	}
	if !limit.admits(current.minRequested, current.minCalibration) ||
		!plan.relevant(kindIndex, current.minRequested, minUtilization) {
		return true
	}
	entries, first := current.entries, 0
	if plan.unreservedOnly {
		entries = entries[:current.unreserved]
	}
	if random != nil && len(entries) > maxEnumerated {
		first = random.IntN(len(entries))
	}
	minRequested, minCalibration := unlimited, 1.0
	for _, part := range [2][]indexEntry{entries[first:], entries[:first]} {
		for i := range part {
			entry := &part[i]
			minRequested = minRequested.elementwiseMin(entry.requested)
			minCalibration = min(minCalibration, entry.calibration)
			if !limit.admits(entry.requested, entry.calibration) ||
				!plan.relevant(kindIndex, entry.requested, minUtilization) {
				continue
			}
			if !plan.visit(entry.worker) {
				return false
			}
			if !plan.relevant(kindIndex, current.minRequested, minUtilization) {
				// After this visit, the walk needs no other worker of this level, not even one with the
				// lowest requested capacity that the level may contain. The rest of the level is
				// therefore skipped, and the walk continues with the next kind or level.
				return true
			}
		}
	}
	if len(entries) == len(current.entries) {
		current.minRequested, current.minCalibration = minRequested, minCalibration
	}
	return true
}
