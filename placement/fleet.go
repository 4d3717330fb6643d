package placement

// This file adds up what all machines have, are asked for and hold. It decides nothing.

import (
	"math"
	"slices"
)

// estimateConcurrentPlacements guesses what the others bound since the view, as shares of the fleet:
// each as much as this placer did beyond what chance makes of binds and ends. A crowd
// is spread over all of them.
func (p *Scheduler) estimateConcurrentPlacements() (shares [2]float64) {
	if !p.overloaded || !p.settings.HasView {
		return shares
	}
	p.refreshIndex()
	var net, squares [2]float64
	for _, worker := range p.lagDependentWorkers() {
		if p.kindOf(worker) == nil || !worker.listed {
			continue
		}
		for i := len(worker.deltas) - 1; i >= 0; i-- {
			if d := &worker.deltas[i]; d.at > worker.viewedAt-p.lag {
				net[0], net[1] = net[0]+d.cores, net[1]+d.memory
				squares[0], squares[1] = squares[0]+d.cores*d.cores, squares[1]+d.memory*d.memory
			}
		}
	}
	capacity := [2]float64{p.listedCapacity.cores, p.listedCapacity.memory}
	for resource := range shares {
		excess := max(0, net[resource]-2*math.Sqrt(squares[resource]))
		shares[resource] = excess * float64(p.sharingSchedulers()-1) / max(1, capacity[resource])
	}
	return shares
}

// freeUnits is this placer's part of the room of all machines, in units, as far as it may
// ask for it at once: a machine looks at one offer at a time. Of a large fleet it is
// computed anew only so often; what is sent meanwhile is taken off by send.
func (p *Scheduler) freeUnits() (units float64) {
	if p.settings.UnitCores <= 0 || p.settings.UnitMemory <= 0 {
		return math.Inf(1) // no size is told: nothing is kept from anybody
	}
	if p.assignedCount() > maxEnumerated && p.freeUnitsAt > 0 && p.now < p.freeUnitsAt+retryInterval {
		return p.cachedFreeUnits
	}
	p.refreshIndex()
	for _, worker := range p.sorted {
		if worker.listed && worker.State == Ready && worker.kindIndex >= 0 && p.settings.HasView {
			cores, memory := p.requested(worker)
			effectiveCores, effectiveMemory := p.effectiveCapacity(worker)
			free := min((effectiveCores-cores)/p.settings.UnitCores, (effectiveMemory-memory)/p.settings.UnitMemory) / float64(p.sharingSchedulers())
			units += max(0, min(free, worker.attemptWindow-float64(len(worker.unanswered))))
		}
	}
	p.cachedFreeUnits, p.freeUnitsAt = units, p.now
	return units
}

// fleetMeans is what all machines that are ready together are asked for.
type fleetMeans struct {
	computedAt  int64
	utilization float64 // asked share
	meanCores   float64 // mean cores
}

// meanUtilization returns the asked share of the fleet and its mean cores. They only scale costs,
// so of a large fleet they are computed anew once a second.
func (p *Scheduler) meanUtilization() (utilization, cores float64) {
	if f := &p.means; p.assignedCount() > maxEnumerated && f.computedAt > 0 && p.now < f.computedAt+second {
		return f.utilization, f.meanCores
	}
	p.refreshIndex()
	var requested, capacity, workers float64
	for i := range p.settings.Kinds {
		count, sum := p.index.kinds[i].sum(p.index.baseline)
		workers += count
		capacity += count * p.settings.Kinds[i].Cores
		requested += sum * p.settings.Kinds[i].Cores
	}
	requested += p.calibrationExcess()
	p.means = fleetMeans{computedAt: p.now, meanCores: 1}
	if workers > 0 {
		p.means.utilization, p.means.meanCores = requested/capacity, capacity/workers
	}
	return p.means.utilization, p.means.meanCores
}

// calibrationExcess is what the asked shares of machines are over those without bends, by cores.
func (p *Scheduler) calibrationExcess() (sum float64) {
	baseline := p.index.baseline
	p.calibrated = slices.DeleteFunc(p.calibrated, func(worker *workerInfo) bool {
		worker.decayCalibration(p.now, calibrationHalfLife)
		if worker.coresCalibration == 1 && worker.memoryCalibration == 1 {
			worker.inCalibrated = false
			return true
		}
		if kind := p.kindOf(worker); kind != nil && worker.position.indexed && p.settings.HasView {
			uncalibrated := max(worker.requestedCores/kind.Cores/baseline.cores, worker.requestedMemory/kind.Memory/baseline.memory)
			sum += (p.utilization(worker) - uncalibrated) * kind.Cores
		}
		return false
	})
	return sum
}

// trackCalibrated lists m among the machines with bends.
func (p *Scheduler) trackCalibrated(worker *workerInfo) {
	p.markStale(worker)
	if !worker.inCalibrated {
		worker.inCalibrated = true
		p.calibrated = append(p.calibrated, worker)
	}
}

// fleetRequestedCores is what the fleet is asked for: foreign machines as much as the others, whose views
// are told.
func (p *Scheduler) fleetRequestedCores() float64 {
	p.refreshIndex()
	if p.foreignCount == 0 {
		return p.requestedCores
	}
	return p.requestedCores * float64(len(p.sorted)) / float64(max(1, p.assignedCount()))
}

// countForeign keeps the number of listed machines that belong to other placers.
func (p *Scheduler) countForeign(worker *workerInfo) {
	foreign := worker.listed && worker.State == Foreign
	if foreign == worker.foreign {
		return
	}
	worker.foreign = foreign
	if foreign {
		p.foreignCount++
	} else {
		p.foreignCount--
	}
	clear(p.preferred)
}

// assignedCount is the number of machines that belong to no other placer.
func (p *Scheduler) assignedCount() int { return len(p.sorted) - p.foreignCount }

// sharingSchedulers is how many placers offer tasks to a machine: all of them, but this one alone where the
// machines are divided among them.
func (p *Scheduler) sharingSchedulers() int {
	if p.foreignCount > 0 {
		return 1
	}
	return p.settings.FleetSize
}

// spreadCounts is how many tasks of one program the machines hold, by place.
type spreadCounts struct {
	program       uint64
	version       int64
	counted       bool
	cells         map[int]int
	zones         map[string]int
	unknownDomain int // at machines whose place was never told
}

// countsOf counts the tasks of a program by place, once for all machines that are asked about.
func (p *Scheduler) countsOf(program uint64) *spreadCounts {
	counts := &p.counts
	if counts.counted && counts.program == program && counts.version == p.version {
		return counts
	}
	if counts.cells == nil {
		counts.cells, counts.zones = map[int]int{}, map[string]int{}
	}
	clear(counts.cells)
	clear(counts.zones)
	counts.program, counts.version, counts.counted, counts.unknownDomain = program, p.version, true, 0
	for _, worker := range p.residents[program] {
		active := worker.residentPrograms[program].active
		if !worker.everListed {
			counts.unknownDomain += active
			continue
		}
		counts.cells[worker.Cell] += active
		counts.zones[worker.Zone] += active
	}
	return counts
}

// saturationLoad and fade are the least of all classes: one level for a machine that any may use.
func (p *Scheduler) saturationLoad() float64 { return p.minSaturationLoad }

func (p *Scheduler) saturationRange() float64 { return p.minSaturationRange }
