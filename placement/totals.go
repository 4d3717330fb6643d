package placement

import "math"

// This file owns sums and means over all workers, and caches them for a short time if the fleet is
// large. It must not make placement decisions.

// meansValidity is the time for which the means of a large fleet are cached.
const meansValidity = second

// fleetMeans holds means over all workers that are ready.
type fleetMeans struct {
	computedAt  int64   // time of the computation, in microseconds; 0 if there was none
	utilization float64 // mean utilization, weighted by cores
	cores       float64 // mean number of cores of a worker
}

// totals computes sums and means over all workers.
type totals struct {
	*environment
	fleet       *fleet
	loads       *loadTracker
	index       *workerIndex
	capacity    *capacityModel
	calibration *calibration
	cachedMeans fleetMeans
	// cachedFreeUnits is the result of freeUnits at the time freeUnitsAt. Offers made since are not
	// subtracted from it. Each scheduling pass subtracts its own offers, but only from its copy of the
	// result.
	cachedFreeUnits float64
	freeUnitsAt     int64
}

// means returns the mean utilization and the mean number of cores of all ready workers, or 0 and 1 if
// there are none. For a large fleet it recomputes them at most once per meansValidity, which is enough
// because they only scale terms of the admission cost.
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

// freeUnits returns this scheduler's share of the free capacity of all workers, in units (see
// [Settings.Units]). A worker counts for at most one unit for each further offer that its attempt window
// allows, because a worker handles only a few offers at a time. The result is +Inf if the size of a unit
// is unknown, and 0 without a view. For a large fleet the result is recomputed at most once per
// retryInterval.
func (t *totals) freeUnits() (units float64) {
	if t.settings.UnitCores <= 0 || t.settings.UnitMemory <= 0 {
		return math.Inf(1) // without a unit size, reserved units must not limit any class
	}
	if t.fleet.isLarge() && t.freeUnitsAt > 0 && t.now < t.freeUnitsAt+retryInterval {
		return t.cachedFreeUnits
	}
	t.fleet.refresh()
	for _, worker := range t.fleet.sorted {
		if worker.listed && worker.State == Ready && worker.kindIndex >= 0 && t.settings.HasView {
			cores, memory := t.loads.requested(worker)
			effectiveCores, effectiveMemory := t.capacity.effective(worker)
			free := min((effectiveCores-cores)/t.settings.UnitCores,
				(effectiveMemory-memory)/t.settings.UnitMemory)
			free /= float64(t.fleet.sharingSchedulers())
			units += max(0, min(free, worker.attemptWindow-float64(len(worker.unanswered))))
		}
	}
	t.cachedFreeUnits, t.freeUnitsAt = units, t.now
	return units
}
