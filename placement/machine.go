package placement

// This file is what a placer remembers of machines: own changes of what they are asked for,
// the tasks they hold, and the order of their names. It decides nothing.

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

const (
	// lastingViews is how many views of a machine are kept.
	lastingViews = 4
	// homesKept is for how many programs, after their last task, a machine is
	// taken to keep them: the least that machines of this kind keep.
	homesKept = 4
)

// delta is a change that this placer made to what a machine is asked for.
type delta struct {
	at         int64
	cores, mem float64
}

// home is what this placer knows of a program on a machine.
type home struct {
	held int   // attempts and tasks without an outcome
	last int64 // when the last of them ended
}

// machine is what this placer knows of a machine.
type machine struct {
	Entry
	id                 uint64 // hash of its name
	known              bool   // it was on a list, so its places are known
	listed             bool   // it is on the list held now
	foreign            bool   // it is in Placer.foreign
	kind               int    // index in Settings.Kinds, or -1
	viewAt             int64
	spares             [lastingViews][2]float64 // of the last views
	views              int
	lastingC, lastingM float64 // room that all of these showed
	deltas             []delta
	homes              map[uint64]*home
	refs               int // attempts and tasks without an outcome

	unanswered []*attempt
	window     float64 // unanswered attempts that it may owe
	leavingTo  int64   // until when it is taken to drain
	movedAt    int64
	running    []*task // own placed tasks, in order of placing
	doubts     []doubt // suspicion, by class
	heard      []int64 // when an attempt of a class was last accepted
	reachedAt  int64   // when it was last told to be there after a failure
	bendC      float64 // what it bears, over what its kind bears: cores
	bendM      float64 // and memory
	bendAt     int64
	offers     []int64 // sends of late
	probedAt   int64   // when a probe went out that has no answer yet, or 0
	told       Load    // the last report
	toldAt     int64   // and when it came, or 0
	toldRoom   bool    // it told the room that nobody asked for
	back       bool    // it was put back by hand and got nothing since

	askedCores, askedMemory float64 // what it is asked for, unless it is stale
	stale                   bool    // what it is asked for has to be computed anew
	counted                 *Kind   // its kind, if it is in Placer.fleetAsked and listedSize
	lagged                  bool    // it is in Placer.lagged
	bentListed              bool    // it is in Placer.bent
	slot                    slot    // where it stands in the index
	ordinal                 int     // its number in Placer.order
	seen                    int64   // the last search that looked at it
}

// doubt is suspicion as it stood at a time.
type doubt struct {
	score float64
	at    int64
}

func (p *Scheduler) machine(name string) *machine {
	m := p.machines[name]
	if m != nil {
		return m
	}
	m = &machine{Entry: Entry{Worker: name}, id: nameHash(name), kind: -1, homes: map[uint64]*home{}, bendC: 1, bendM: 1, window: windowFirst,
		doubts: make([]doubt, len(p.s.Classes)), heard: make([]int64, len(p.s.Classes))}
	p.machines[name] = m
	p.departed[m] = true
	p.reorder()
	i, _ := slices.BinarySearchFunc(p.order, name, byName)
	p.order = slices.Insert(p.order, i, m)
	return m
}

// reorder notes that machines came or went.
func (p *Scheduler) reorder() {
	p.reordered = true
	clear(p.preferred)
}

// setListed notes whether m is on the list held now.
func (p *Scheduler) setListed(m *machine, listed bool) {
	m.listed = listed
	p.countForeign(m)
	if listed {
		delete(p.departed, m)
	} else {
		p.departed[m] = true
	}
	p.touch(m)
}

// since sums the own changes made after at.
func (m *machine) since(at int64) (cores, mem float64) {
	for i := len(m.deltas) - 1; i >= 0; i-- {
		if d := &m.deltas[i]; d.at > at {
			cores += d.cores
			mem += d.mem
		}
	}
	return cores, mem
}

// bind notes a change that this placer makes now to what m is asked for.
func (p *Scheduler) bind(m *machine, cores, mem float64) {
	if len(m.deltas) >= deltasMost {
		m.deltas = slices.Delete(m.deltas, 0, len(m.deltas)/2)
	}
	m.deltas = append(m.deltas, delta{p.now, cores, mem})
	p.followLag(m)
	p.touch(m)
}

// unbind takes back the bind of an attempt that never ran.
func (p *Scheduler) unbind(a *attempt) {
	m := a.m
	i := slices.IndexFunc(m.deltas, func(d delta) bool { return d.at == a.at && d.cores >= 0 })
	if i >= 0 {
		m.deltas = slices.Delete(m.deltas, i, i+1)
		p.touch(m)
	}
}

// rebind dates a bind by its acceptance, which is what the view follows.
func (p *Scheduler) rebind(a *attempt) {
	for i := range a.m.deltas {
		if d := &a.m.deltas[i]; d.at == a.at && d.cores >= 0 {
			d.at = p.now
			p.touch(a.m)
			return
		}
	}
}

// followLag notes that what m is asked for depends on the view's lag from now on.
func (p *Scheduler) followLag(m *machine) {
	if !m.lagged {
		m.lagged = true
		p.lagged = append(p.lagged, m)
	}
}

// laggedMachines are the machines for which the view's lag matters: those with own
// changes that the view may not hold yet, or with a report of their own.
func (p *Scheduler) laggedMachines() []*machine {
	p.lagged = slices.DeleteFunc(p.lagged, func(m *machine) bool {
		m.lagged = len(m.deltas) > 0 || m.toldRoom
		return !m.lagged
	})
	return p.lagged
}

func (p *Scheduler) size(m *machine) *Kind {
	if m.kind < 0 {
		return nil
	}
	return &p.s.Kinds[m.kind]
}

// forget lets go of departed machines that hold nothing of ours.
func (p *Scheduler) forget() {
	var gone []*machine
	for m := range p.departed {
		if m.refs == 0 {
			gone = append(gone, m)
		}
	}
	slices.SortFunc(gone, func(a, b *machine) int { return cmp.Compare(a.Worker, b.Worker) })
	for _, m := range gone {
		for program := range m.homes {
			p.leave(m, program)
		}
		m.deltas, m.toldRoom = nil, false
		p.touch(m)
		delete(p.departed, m)
		delete(p.returned, m)
		delete(p.machines, m.Worker)
		i, _ := slices.BinarySearchFunc(p.order, m.Worker, byName)
		p.order = slices.Delete(p.order, i, i+1)
		p.reorder()
	}
}

func byName(m *machine, name string) int { return cmp.Compare(m.Worker, name) }

// keepHome notes that m holds one task more of a program.
func (p *Scheduler) keepHome(m *machine, program uint64) {
	h := m.homes[program]
	if h == nil {
		h = &home{}
		m.homes[program] = h
		p.programs[program] = append(p.programs[program], m)
	}
	h.held++
	m.refs++
	m.back = false
	p.homesChanged++
}

// leave notes that m holds nothing of a program any more.
func (p *Scheduler) leave(m *machine, program uint64) {
	delete(m.homes, program)
	p.homesChanged++
	holders := p.programs[program]
	i := slices.Index(holders, m)
	last := len(holders) - 1
	holders[i], holders[last] = holders[last], nil
	if last == 0 {
		delete(p.programs, program)
		return
	}
	p.programs[program] = holders[:last]
}

func samePlace(a, b *machine, s Scope) bool {
	switch s {
	case ScopeMachine:
		return a == b
	case ScopeCell:
		return a.known && b.known && a.Cell == b.Cell
	case ScopeZone:
		return a.known && b.known && a.Zone == b.Zone
	}
	return true
}

// runs notes that t runs on m.
func (p *Scheduler) runs(t *task, m *machine) {
	t.ranAt = p.now
	m.running = append(m.running, t)
}

// starting counts own attempts on m that were sent and do not run yet.
func (m *machine) starting() int {
	n := len(m.unanswered)
	for _, t := range m.running {
		if t.attempts[len(t.attempts)-1].starting {
			n++
		}
	}
	return n
}

// hash mixes a program and m, the same at every placer.
func (m *machine) hash(program uint64) uint64 { return mix(m.id ^ mix(program)) }

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// nameHash is of a machine's name.
func nameHash(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// letGo notes that an attempt ended. Of the programs without a task, the ones
// that ended last are kept.
func (p *Scheduler) letGo(m *machine, program uint64) {
	m.refs--
	h := m.homes[program]
	if h == nil {
		return
	}
	p.homesChanged++
	h.held = max(0, h.held-1)
	h.last = p.now
	if h.held > 0 {
		return
	}
	idle, oldest := 0, program
	for id, h := range m.homes {
		if h.held > 0 {
			continue
		}
		idle++
		o := m.homes[oldest]
		if h.last < o.last || h.last == o.last && id < oldest {
			oldest = id
		}
	}
	if idle > homesKept {
		p.leave(m, oldest)
	}
}

func (p *Scheduler) entry(x Entry, fresh bool) {
	m := p.machine(x.Worker)
	own := m.State != Foreign && x.State != Foreign // a change of hands tells no new view
	if fresh && own && m.known && m.viewAt > 0 && m.StartedAtUs == x.StartedAtUs && p.s.HasView {
		p.learnLag(m, x)
	}
	if m.known && m.StartedAtUs != x.StartedAtUs {
		// A new start holds nothing of what was there. What has no outcome yet
		// counts for the spread until it has.
		m.deltas = nil
		for program, h := range m.homes {
			if h.held == 0 {
				p.leave(m, program)
			}
		}
		m.bendC, m.bendM = 1, 1
	}
	m.Entry, m.known = x, true
	p.setListed(m, x.State != Removed)
	p.homesChanged++ // its place may be another
	if m.back = m.back && m.listed || x.Uncordoned; x.Uncordoned {
		p.returned[m] = true
		clear(m.doubts) // what was held against it, its restart by hand among that, is over
	}
	m.kind = slices.IndexFunc(p.s.Kinds, func(k Kind) bool { return k.Name == x.Kind })
	m.viewAt = p.now
	m.spares[m.views%lastingViews] = [2]float64{x.FreeCores, x.FreeMemory}
	m.views++
	m.lastingC, m.lastingM = 0, 0
	if m.views >= lastingViews {
		m.lastingC, m.lastingM = math.Inf(1), math.Inf(1)
		for _, s := range m.spares {
			m.lastingC, m.lastingM = min(m.lastingC, s[0]), min(m.lastingM, s[1])
		}
	}
	old := p.now - bindsKept
	m.deltas = slices.DeleteFunc(m.deltas, func(d delta) bool { return d.at < old })
}

// relax forgets bends with time.
func (m *machine) relax(now, half int64) {
	if m.bendAt == now {
		return
	}
	if m.bendC == 1 && m.bendM == 1 {
		m.bendAt = now
		return
	}
	keep := faded(1, now-m.bendAt, half)
	m.bendC = 1 - (1-m.bendC)*keep
	m.bendM = 1 - (1-m.bendM)*keep
	m.bendAt = now
}

// setLag changes what the view's lag is taken to be.
func (p *Scheduler) setLag(lag int64) {
	if lag == p.lag {
		return
	}
	p.lag = lag
	for _, m := range p.laggedMachines() {
		p.touch(m)
	}
}

// offered notes a send, and forgets those of longer ago than kept.
func (m *machine) offered(now, kept int64) {
	m.offers = append(slices.DeleteFunc(m.offers, func(at int64) bool { return at < now-kept }), now)
}

// offersAfter counts the sends after at, of those not forgotten.
func (m *machine) offersAfter(at int64) (n int) {
	for _, sent := range m.offers {
		if sent > at {
			n++
		}
	}
	return n
}

// seat is this placer's number in the fleet, counted from another placer for each machine.
func (p *Scheduler) seat(m *machine) int {
	return (p.s.SelfIndex + int(m.id%uint64(p.s.FleetSize))) % p.s.FleetSize
}
