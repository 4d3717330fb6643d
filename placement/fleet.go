package placement

// This file adds up what all machines have, are asked for and hold. It decides nothing.

import (
	"math"
	"slices"
)

// othersBinds guesses what the others bound since the view, as shares of the fleet:
// each as much as this placer did beyond what chance makes of binds and ends. A crowd
// is spread over all of them.
func (p *Scheduler) othersBinds() (shares [2]float64) {
	if !p.crowd || !p.s.HasView {
		return shares
	}
	p.settle()
	var net, squares [2]float64
	for _, m := range p.laggedMachines() {
		if p.size(m) == nil || !m.listed {
			continue
		}
		for i := len(m.deltas) - 1; i >= 0; i-- {
			if d := &m.deltas[i]; d.at > m.viewAt-p.lag {
				net[0], net[1] = net[0]+d.cores, net[1]+d.mem
				squares[0], squares[1] = squares[0]+d.cores*d.cores, squares[1]+d.mem*d.mem
			}
		}
	}
	have := [2]float64{p.listedSize.cores, p.listedSize.memory}
	for r := range shares {
		beyond := max(0, net[r]-2*math.Sqrt(squares[r]))
		shares[r] = beyond * float64(p.sharers()-1) / max(1, have[r])
	}
	return shares
}

// room is this placer's part of the room of all machines, in units, as far as it may
// ask for it at once: a machine looks at one offer at a time. Of a large fleet it is
// computed anew only so often; what is sent meanwhile is taken off by send.
func (p *Scheduler) room() (units float64) {
	if p.s.UnitCores <= 0 || p.s.UnitMemory <= 0 {
		return math.Inf(1) // no size is told: nothing is kept from anybody
	}
	if p.own() > enumerated && p.spareAt > 0 && p.now < p.spareAt+retryEvery {
		return p.spare
	}
	p.settle()
	for _, m := range p.order {
		if m.listed && m.State == Ready && m.kind >= 0 && p.s.HasView {
			c, b := p.load(m)
			bc, bm := p.bears(m)
			free := min((bc-c)/p.s.UnitCores, (bm-b)/p.s.UnitMemory) / float64(p.sharers())
			units += max(0, min(free, m.window-float64(len(m.unanswered))))
		}
	}
	p.spare, p.spareAt = units, p.now
	return units
}

// means is what all machines that are ready together are asked for.
type means struct {
	at    int64
	rho   float64 // asked share
	cores float64 // mean cores
}

// fleet returns the asked share of the fleet and its mean cores. They only scale costs,
// so of a large fleet they are computed anew once a second.
func (p *Scheduler) fleet() (rho, cores float64) {
	if f := &p.means; p.own() > enumerated && f.at > 0 && p.now < f.at+second {
		return f.rho, f.cores
	}
	p.settle()
	var asked, have, n float64
	for i := range p.s.Kinds {
		count, sum := p.index.kinds[i].sum(p.index.now)
		n += count
		have += count * p.s.Kinds[i].Cores
		asked += sum * p.s.Kinds[i].Cores
	}
	asked += p.bentExcess()
	p.means = means{at: p.now, cores: 1}
	if n > 0 {
		p.means.rho, p.means.cores = asked/have, have/n
	}
	return p.means.rho, p.means.cores
}

// bentExcess is what the asked shares of machines are over those without bends, by cores.
func (p *Scheduler) bentExcess() (sum float64) {
	bear := p.index.now
	p.bent = slices.DeleteFunc(p.bent, func(m *machine) bool {
		m.relax(p.now, bendHalf)
		if m.bendC == 1 && m.bendM == 1 {
			m.bentListed = false
			return true
		}
		if k := p.size(m); k != nil && m.slot.indexed && p.s.HasView {
			straight := max(m.askedCores/k.Cores/bear.cores, m.askedMemory/k.Memory/bear.memory)
			sum += (p.share(m) - straight) * k.Cores
		}
		return false
	})
	return sum
}

// noteBent lists m among the machines with bends.
func (p *Scheduler) noteBent(m *machine) {
	p.touch(m)
	if !m.bentListed {
		m.bentListed = true
		p.bent = append(p.bent, m)
	}
}

// askedCores is what the fleet is asked for: foreign machines as much as the others, whose views
// are told.
func (p *Scheduler) askedCores() float64 {
	p.settle()
	if p.foreign == 0 {
		return p.fleetAsked
	}
	return p.fleetAsked * float64(len(p.order)) / float64(max(1, p.own()))
}

// countForeign keeps the number of listed machines that belong to other placers.
func (p *Scheduler) countForeign(m *machine) {
	foreign := m.listed && m.State == Foreign
	if foreign == m.foreign {
		return
	}
	m.foreign = foreign
	if foreign {
		p.foreign++
	} else {
		p.foreign--
	}
	clear(p.preferred)
}

// own is the number of machines that belong to no other placer.
func (p *Scheduler) own() int { return len(p.order) - p.foreign }

// sharers is how many placers offer tasks to a machine: all of them, but this one alone where the
// machines are divided among them.
func (p *Scheduler) sharers() int {
	if p.foreign > 0 {
		return 1
	}
	return p.s.FleetSize
}

// spread is how many tasks of one program the machines hold, by place.
type spread struct {
	program      uint64
	homesChanged int64
	counted      bool
	cells        map[int]int
	zones        map[string]int
	unplaced     int // at machines whose place was never told
}

// spreadOf counts the tasks of a program by place, once for all machines that are asked about.
func (p *Scheduler) spreadOf(program uint64) *spread {
	s := &p.spread
	if s.counted && s.program == program && s.homesChanged == p.homesChanged {
		return s
	}
	if s.cells == nil {
		s.cells, s.zones = map[int]int{}, map[string]int{}
	}
	clear(s.cells)
	clear(s.zones)
	s.program, s.homesChanged, s.counted, s.unplaced = program, p.homesChanged, true, 0
	for _, m := range p.programs[program] {
		held := m.homes[program].held
		if !m.known {
			s.unplaced += held
			continue
		}
		s.cells[m.Cell] += held
		s.zones[m.Zone] += held
	}
	return s
}

// calm and fade are the least of all classes: one level for a machine that any may use.
func (p *Scheduler) calm() float64 { return p.calmLevel }

func (p *Scheduler) fade() float64 { return p.fadeLevel }
