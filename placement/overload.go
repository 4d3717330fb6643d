package placement

import (
	"math"
	"slices"
)

// This file owns the state of an overload: whether more tasks arrive than find free capacity, and an
// estimate of what other schedulers place at the same time. It must not reject tasks itself.

const (
	// contentionStep is the amount by which a rejection for lack of capacity raises the contention.
	contentionStep = 0.01
	// contentionOffers is the number of accepted offers that together lower the contention by
	// contentionStep.
	contentionOffers = 12
	// maxContention is the upper limit of the contention.
	maxContention = 0.2
	// chanceDeviations is the number of standard deviations up to which the net placements of this
	// scheduler are attributed to chance.
	chanceDeviations = 2
)

// overload tracks whether the fleet is overloaded, and estimates the placements of other schedulers.
type overload struct {
	*environment
	fleet *fleet
	loads *loadTracker
	// active is true while backpressure reports a release rate or reserved units.
	active bool
	// contention is the free capacity, as a fraction of a worker's size, that other schedulers are
	// assumed to have used already. On each worker, the contention is limited to the free capacity that
	// is new in the current view: the part above workerInfo.sustainedFree.
	contention float64
	// concurrent is, for each resource, the assumed size of the placements of other schedulers since the
	// current view, as a fraction of the capacity of the whole fleet.
	concurrent [resourceCount]float64
	// reservedUnits holds, for each class, the number of units (see Settings.Units) that the class leaves
	// free for classes of higher weight.
	reservedUnits []float64
	// releaseRate is the capacity that becomes free while tasks wait, in units per second. It is 0 if
	// the rate is unknown or no task waits.
	releaseRate float64
}

// apply updates the state of the overload from a backpressure event.
func (o *overload) apply(event Backpressure) {
	o.releaseRate, o.needsPass = event.ReleaseRate, true
	o.active = event.ReleaseRate > 0
	for _, units := range event.Reserved {
		o.active = o.active || units > 0
	}
	clear(o.reservedUnits)
	copy(o.reservedUnits, event.Reserved)
}

// reservesUnits reports whether any class must leave units free for other classes.
func (o *overload) reservesUnits() bool { return slices.Max(o.reservedUnits) > 0 }

// unitsReserved returns the number of units that a class must leave free for classes of higher weight.
func (o *overload) unitsReserved(classIndex int) float64 { return o.reservedUnits[classIndex] }

// timeUntilFree returns the time in microseconds until the given number of units has become free. The
// second result is false if the release rate is unknown or no task waits.
func (o *overload) timeUntilFree(units float64) (us float64, known bool) {
	if o.releaseRate <= 0 {
		return 0, false
	}
	return units / o.releaseRate * float64(second), true
}

// offerAccepted lowers the contention because a worker accepted an offer.
func (o *overload) offerAccepted() {
	o.contention = max(0, o.contention-contentionStep/contentionOffers)
}

// offerRejected raises the contention because a worker lacked the capacity for an offer.
func (o *overload) offerRejected() { o.contention = min(maxContention, o.contention+contentionStep) }

// updateConcurrent updates the estimate of the placements of other schedulers since the current view.
func (o *overload) updateConcurrent() { o.concurrent = o.estimateConcurrent() }

// estimateConcurrent estimates how much other schedulers placed since the current view, as fractions of
// the fleet's capacity. It assumes that each scheduler that offers tasks to the same workers placed as
// much as this scheduler did. It counts only the part of this scheduler's net placements that exceeds
// the random fluctuation of starts and ends (see chanceDeviations). The result is zero without an
// overload or without a view.
func (o *overload) estimateConcurrent() (shares [resourceCount]float64) {
	if !o.active || !o.settings.HasView {
		return shares
	}
	o.fleet.refresh()
	var net, squares [resourceCount]float64
	for _, worker := range o.loads.lagDependentWorkers() {
		if o.kindOf(worker) == nil || !worker.listed {
			continue
		}
		for i := len(worker.deltas) - 1; i >= 0; i-- {
			if d := &worker.deltas[i]; d.at > worker.viewedAt-o.loads.lag {
				net[resourceCores] += d.cores
				net[resourceMemory] += d.memory
				squares[resourceCores] += d.cores * d.cores
				squares[resourceMemory] += d.memory * d.memory
			}
		}
	}
	capacity := [resourceCount]float64{o.loads.listedCapacity.cores, o.loads.listedCapacity.memory}
	for r := range shares {
		excess := max(0, net[r]-chanceDeviations*math.Sqrt(squares[r]))
		shares[r] = excess * float64(o.fleet.sharingSchedulers()-1) / max(1, capacity[r])
	}
	return shares
}

// concurrentFractions returns how much other schedulers are assumed to have placed on each worker since
// the current view, as fractions of the worker's size. The result is zero without an overload.
func (o *overload) concurrentFractions() fractions {
	if !o.active {
		return fractions{}
	}
	return fractions{o.concurrent[resourceCores], o.concurrent[resourceMemory]}
}

// competing returns the cores and memory that other schedulers are assumed to have placed on a worker
// of the given kind since the current view. Other schedulers compete for free capacity that is new in
// the current view (see overload.contention). Capacity that this scheduler's own tasks released since
// the view is not contested, because other schedulers have no information about it. The result is zero
// without an overload.
func (o *overload) competing(worker *workerInfo, kind *Kind) (cores, memory float64) {
	if !o.active {
		return 0, 0
	}
	newCores := max(0, worker.FreeCores-worker.sustainedFree[resourceCores])
	newMemory := max(0, worker.FreeMemory-worker.sustainedFree[resourceMemory])
	cores = min(o.contention*kind.Cores, newCores) + o.concurrent[resourceCores]*kind.Cores
	memory = min(o.contention*kind.Memory, newMemory) + o.concurrent[resourceMemory]*kind.Memory
	return cores, memory
}
