package placement

import (
	"math"
	"slices"
)

// This file owns what is known of an overload: whether more tasks come than find free
// capacity, and what the other schedulers place meanwhile. It must never reject a task.

const (
	// contentionStep is by how much a rejection for lack of capacity raises the contention;
	// contentionOffers accepted offers take it back.
	contentionStep   = 0.01
	contentionOffers = 12
	maxContention    = 0.2
	// chanceDeviations is how many standard deviations of own placements are put down to chance.
	chanceDeviations = 2
)

// overload tracks a time in which more tasks come than find free capacity.
type overload struct {
	*environment
	fleet  *fleet
	loads  *loadTracker
	active bool
	// contention is the part of newly shown free capacity that other schedulers are taken to
	// have used already.
	contention float64
	// concurrent is what other schedulers are taken to have placed since the view, as parts of
	// the capacity of the whole fleet.
	concurrent [resourceCount]float64
	// reservedUnits are the units that each class leaves to those of more weight.
	reservedUnits []float64
	// releaseRate is the units a second that become free while tasks wait, or 0.
	releaseRate float64
}

// apply takes what backpressure says.
func (o *overload) apply(event Backpressure) {
	o.releaseRate, o.needsPass = event.ReleaseRate, true
	o.active = event.ReleaseRate > 0
	for _, units := range event.Reserved {
		o.active = o.active || units > 0
	}
	clear(o.reservedUnits)
	copy(o.reservedUnits, event.Reserved)
}

// reservesUnits reports whether any class leaves units to others.
func (o *overload) reservesUnits() bool { return slices.Max(o.reservedUnits) > 0 }

// unitsReserved is how many units a class leaves to those of more weight.
func (o *overload) unitsReserved(classIndex int) float64 { return o.reservedUnits[classIndex] }

// timeUntilFree is how long it takes until as many units become free, in microseconds, if that
// is known.
func (o *overload) timeUntilFree(units float64) (us float64, known bool) {
	if o.releaseRate <= 0 {
		return 0, false
	}
	return units / o.releaseRate * float64(second), true
}

// offerAccepted lowers the contention.
func (o *overload) offerAccepted() {
	o.contention = max(0, o.contention-contentionStep/contentionOffers)
}

// offerRejected raises the contention, as a worker had no capacity for an offer.
func (o *overload) offerRejected() { o.contention = min(maxContention, o.contention+contentionStep) }

// updateConcurrent estimates anew what other schedulers placed since the view.
func (o *overload) updateConcurrent() { o.concurrent = o.estimateConcurrent() }

// estimateConcurrent estimates what other schedulers placed since the view: each as much as
// this one did beyond what chance makes of starts and ends. That is spread over all workers.
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

// concurrentFractions is what other schedulers are taken to have placed on each worker, as parts
// of its size.
func (o *overload) concurrentFractions() fractions {
	if !o.active {
		return fractions{}
	}
	return fractions{o.concurrent[resourceCores], o.concurrent[resourceMemory]}
}

// competing is what other schedulers are taken to have placed on a worker of a kind since the
// view: they compete for what the view newly shows, but only this scheduler knows what its own
// tasks released.
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
