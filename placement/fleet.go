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
	for _, m := range p.lagDependentWorkers() {
		if p.kindOf(m) == nil || !m.listed {
			continue
		}
		for i := len(m.deltas) - 1; i >= 0; i-- {
			if d := &m.deltas[i]; d.at > m.viewedAt-p.lag {
				net[0], net[1] = net[0]+d.cores, net[1]+d.memory
				squares[0], squares[1] = squares[0]+d.cores*d.cores, squares[1]+d.memory*d.memory
			}
		}
	}
	have := [2]float64{p.listedCapacity.cores, p.listedCapacity.memory}
	for r := range shares {
		beyond := max(0, net[r]-2*math.Sqrt(squares[r]))
		shares[r] = beyond * float64(p.sharingSchedulers()-1) / max(1, have[r])
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
	for _, m := range p.sorted {
		if m.listed && m.State == Ready && m.kindIndex >= 0 && p.settings.HasView {
			c, b := p.requested(m)
			bc, bm := p.effectiveCapacity(m)
			free := min((bc-c)/p.settings.UnitCores, (bm-b)/p.settings.UnitMemory) / float64(p.sharingSchedulers())
			units += max(0, min(free, m.attemptWindow-float64(len(m.unanswered))))
		}
	}
	p.cachedFreeUnits, p.freeUnitsAt = units, p.now
	return units
}

// fleetMeans is what all machines that are ready together are asked for.
type fleetMeans struct {
	computedAt    int64
	utilization   float64 // asked share
	meanCores float64 // mean cores
}

// meanUtilization returns the asked share of the fleet and its mean cores. They only scale costs,
// so of a large fleet they are computed anew once a second.
func (p *Scheduler) meanUtilization() (rho, cores float64) {
	if f := &p.means; p.assignedCount() > maxEnumerated && f.computedAt > 0 && p.now < f.computedAt+second {
		return f.utilization, f.meanCores
	}
	p.refreshIndex()
	var asked, have, n float64
	for i := range p.settings.Kinds {
		count, sum := p.index.kinds[i].sum(p.index.baseline)
		n += count
		have += count * p.settings.Kinds[i].Cores
		asked += sum * p.settings.Kinds[i].Cores
	}
	asked += p.calibrationExcess()
	p.means = fleetMeans{computedAt: p.now, meanCores: 1}
	if n > 0 {
		p.means.utilization, p.means.meanCores = asked/have, have/n
	}
	return p.means.utilization, p.means.meanCores
}

// calibrationExcess is what the asked shares of machines are over those without bends, by cores.
func (p *Scheduler) calibrationExcess() (sum float64) {
	bear := p.index.baseline
	p.calibrated = slices.DeleteFunc(p.calibrated, func(m *workerInfo) bool {
		m.decayCalibration(p.now, calibrationHalfLife)
		if m.coresCalibration == 1 && m.memoryCalibration == 1 {
			m.inCalibrated = false
			return true
		}
		if k := p.kindOf(m); k != nil && m.position.indexed && p.settings.HasView {
			straight := max(m.requestedCores/k.Cores/bear.cores, m.requestedMemory/k.Memory/bear.memory)
			sum += (p.utilization(m) - straight) * k.Cores
		}
		return false
	})
	return sum
}

// trackCalibrated lists m among the machines with bends.
func (p *Scheduler) trackCalibrated(m *workerInfo) {
	p.markStale(m)
	if !m.inCalibrated {
		m.inCalibrated = true
		p.calibrated = append(p.calibrated, m)
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
func (p *Scheduler) countForeign(m *workerInfo) {
	foreign := m.listed && m.State == Foreign
	if foreign == m.foreign {
		return
	}
	m.foreign = foreign
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
	program      uint64
	version int64
	counted      bool
	cells        map[int]int
	zones        map[string]int
	unknownDomain     int // at machines whose place was never told
}

// countsOf counts the tasks of a program by place, once for all machines that are asked about.
func (p *Scheduler) countsOf(program uint64) *spreadCounts {
	s := &p.counts
	if s.counted && s.program == program && s.version == p.version {
		return s
	}
	if s.cells == nil {
		s.cells, s.zones = map[int]int{}, map[string]int{}
	}
	clear(s.cells)
	clear(s.zones)
	s.program, s.version, s.counted, s.unknownDomain = program, p.version, true, 0
	for _, m := range p.residents[program] {
		held := m.residentPrograms[program].active
		if !m.everListed {
			s.unknownDomain += held
			continue
		}
		s.cells[m.Cell] += held
		s.zones[m.Zone] += held
	}
	return s
}

// saturationLoad and fade are the least of all classes: one level for a machine that any may use.
func (p *Scheduler) saturationLoad() float64 { return p.minSaturationLoad }

func (p *Scheduler) saturationRange() float64 { return p.minSaturationRange }
