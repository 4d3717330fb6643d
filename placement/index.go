package placement

import (
	"math"
	"math/bits"
	"math/rand/v2"
)

// This file owns the index of the workers that may get tasks: by kind, and by how much of a
// kind's size is requested of each. It is updated as events change workers, so that a search
// looks at the few workers that can be selected and not at all of them. It must never
// decide: what it leaves out could not have been selected.

const (
	// maxEnumerated is up to how many candidates a search looks at each of them. Of more,
	// which then are near-equals by the hundred, it draws where to begin.
	maxEnumerated = 512
	// maxScaleDrift is by how much the effective capacity may change before all levels are
	// built anew.
	maxScaleDrift = 0.05
)

// workerIndex is the index of all workers. Its levels are those of the larger of the two
// requested fractions over scale, which is what the baseline was when the index was built.
type workerIndex struct {
	kinds           []kindLevels
	scale           fractions
	baseline        fractions // effective capacity, over the size of a worker
	inverseBaseline fractions
	stale           []*workerInfo // whose position may have changed since the last search
	finished        []bool        // by kind, during a walk
}

func newWorkerIndex(kinds int) *workerIndex {
	return &workerIndex{kinds: make([]kindLevels, kinds), finished: make([]bool, kinds)}
}

// setBaseline takes the baseline of effective capacity, and reports whether it is so far from
// the scale that all positions are to be computed anew.
func (x *workerIndex) setBaseline(baseline fractions) (rescaled bool) {
	x.baseline = baseline
	x.inverseBaseline = fractions{1 / baseline.cores, 1 / baseline.memory}
	if !drifted(baseline.cores, x.scale.cores) && !drifted(baseline.memory, x.scale.memory) {
		return false
	}
	x.scale = baseline
	return true
}

// drifted reports whether a part of the baseline has left the scale.
func drifted(now, then float64) bool { return math.Abs(now-then) > then*maxScaleDrift }

// invalidate notes that what is requested of a worker, or whether it may get tasks, may have
// changed.
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

// sum counts the indexed workers of a kind, and adds up their utilization without calibration.
func (x *workerIndex) sum(kindIndex int) (count, utilization float64) {
	return x.kinds[kindIndex].sum(x.baseline)
}

// reserve moves a worker behind those that are not reserved.
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

// release moves a worker back among those that are not reserved.
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

// remove takes a worker out of the index, if it is there.
func (x *workerIndex) remove(worker *workerInfo) {
	if worker.position.indexed {
		x.levelOf(worker).remove(worker.position.entryIndex)
		x.kinds[worker.position.kindIndex].updateSets(worker.position.level)
		worker.position = indexPosition{}
	}
}

// put gives a worker the position that follows from what is requested of it.
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

// loadLimit bounds what is requested of those workers of one kind that have free capacity for
// a task.
type loadLimit struct {
	max fractions
	// Of a worker with a calibration under calibrationBelow, calibratedMax may be requested.
	calibrationBelow float64
	calibratedMax    fractions
}

// admits reports whether a worker of which so much is requested, at least, may have free capacity.
func (l *loadLimit) admits(requested fractions, calibration float64) bool {
	return requested.within(l.max) || calibration < l.calibrationBelow && requested.within(l.calibratedMax)
}

// levelWalk is one walk over the index, level by level from the workers of which the least is
// requested.
type levelWalk struct {
	limits         []loadLimit // by kind, or nil
	unreservedOnly bool
	// matters reports whether workers of a kind can still matter of which these fractions at
	// least are requested, and whose utilization is minUtilization at least.
	matters func(kindIndex int, requested fractions, minUtilization float64) bool
	// visit looks at one worker, and reports whether to go on.
	visit func(worker *workerInfo) bool
}

// walk makes a walk. In levels of more than maxEnumerated workers it begins where random draws,
// or at the first where random is nil. (As a field of the walk, random would move everything that
// the functions of the walk capture to the heap.)
func (x *workerIndex) walk(plan levelWalk, random *rand.Rand) {
	clear(x.finished)
	// Where the baseline is above the scale, utilization is less than the levels say.
	drift := min(x.scale.cores/x.baseline.cores, x.scale.memory/x.baseline.memory)
	only := plan.unreservedOnly
	for number := x.nextLevel(0, only); number < levelCount; number = x.nextLevel(number+1, only) {
		minUtilization := max(0, float64(number)*levelWidth*drift-roundingSlack)
		finished := true
		for kindIndex := range x.kinds {
			if x.finished[kindIndex] || !plan.matters(kindIndex, fractions{}, minUtilization) {
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

// nextLevel is the first level from a number on that has workers of any kind, or levelCount.
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

// scanLevel looks at those workers of one level that are within the limit, and reports
// whether to go on.
func scanLevel(current *level, kindIndex int, minUtilization float64, plan *levelWalk, random *rand.Rand) bool {
	limit := loadLimit{max: unlimited}
	if plan.limits != nil {
		limit = plan.limits[kindIndex]
	}
	if !limit.admits(current.minRequested, current.minCalibration) ||
		!plan.matters(kindIndex, current.minRequested, minUtilization) {
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
			minRequested = minRequested.smaller(entry.requested)
			minCalibration = min(minCalibration, entry.calibration)
			if !limit.admits(entry.requested, entry.calibration) ||
				!plan.matters(kindIndex, entry.requested, minUtilization) {
				continue
			}
			if !plan.visit(entry.worker) {
				return false
			}
			if !plan.matters(kindIndex, current.minRequested, minUtilization) {
				return true // none of the others can matter any more
			}
		}
	}
	if len(entries) == len(current.entries) {
		current.minRequested, current.minCalibration = minRequested, minCalibration
	}
	return true
}
