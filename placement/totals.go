package placement

import "math"

// This file owns what is summed over all workers, and remembers it for a while where the
// fleet is large. It must never decide anything.

// meansValidity is how long the means of a large fleet are remembered.
const meansValidity = second

// fleetMeans are means over all workers that are ready.
type fleetMeans struct {
	computedAt  int64
	utilization float64 // weighted by cores
	cores       float64
}

// totals sums over all workers.
type totals struct {
	*environment
	fleet       *fleet
	loads       *loadTracker
	index       *workerIndex
	capacity    *capacityModel
	calibration *calibration
	cachedMeans fleetMeans
	// cachedFreeUnits is the result of freeUnits at freeUnitsAt. What was offered since is not taken
	// off: a scheduling pass takes its own offers off its copy.
	cachedFreeUnits float64
	freeUnitsAt     int64
}

// means returns the means over all workers. They only scale costs, so of a large fleet they
// are computed anew once a second.
func (t *totals) means() (utilization, cores float64) {
	cached := &t.cachedMeans
	valid := cached.computedAt > 0 && t.now < cached.computedAt+meansValidity
	if t.fleet.isLarge() && valid {
		return cached.utilization, cached.cores
	}
	t.fleet.refresh()
	var requested, capacity, workers float64
	for i := range t.settings.Kinds {
		count, sum := t.index.sum(i)
		workers += count
		capacity += count * t.settings.Kinds[i].Cores
		requested += sum * t.settings.Kinds[i].Cores
	}
	requested += t.calibration.excessUtilization()
	*cached = fleetMeans{computedAt: t.now, cores: 1}
	if workers > 0 {
		cached.utilization, cached.cores = requested/capacity, capacity/workers
	}
	return cached.utilization, cached.cores
}

// freeUnits is this scheduler's part of the free capacity of all workers, in units (see
// [Settings.Units]), as far as it may offer tasks for it at once: a worker looks at few
// offers at a time. Of a large fleet it is computed anew only so often.
func (t *totals) freeUnits() (units float64) {
	if t.settings.UnitCores <= 0 || t.settings.UnitMemory <= 0 {
		return math.Inf(1) // no size of a unit is known: nothing is reserved for any class
	}
	if t.fleet.isLarge() && t.freeUnitsAt > 0 && t.now < t.freeUnitsAt+retryInterval {
		return t.cachedFreeUnits
	}
	t.fleet.refresh()
	for _, worker := range t.fleet.sorted {
		if worker.listed && worker.State == Ready && worker.kindIndex >= 0 && t.settings.HasView {
			cores, memory := t.loads.requested(worker)
			effectiveCores, effectiveMemory := t.capacity.of(worker)
			free := min((effectiveCores-cores)/t.settings.UnitCores,
				(effectiveMemory-memory)/t.settings.UnitMemory)
			free /= float64(t.fleet.sharingSchedulers())
			units += max(0, min(free, worker.attemptWindow-float64(len(worker.unanswered))))
		}
	}
	t.cachedFreeUnits, t.freeUnitsAt = units, t.now
	return units
}
