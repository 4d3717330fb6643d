package placement

// This file holds what one search for a machine knows: bounds of room and cost by kind,
// and what was found so far. It decides nothing.

import "math"

// search is one search. Its slices are used again by the next one.
type search struct {
	number    int64 // of searches so far
	looked    int   // machines that it looked at one by one
	task      *task
	class     *Class
	rho, mean float64 // of the fleet, as fleet has them
	kinds     []kindTerms
	limits    []limit  // by kind: what a machine with room for the task is asked for
	asks      []shares // by kind: what the task asks, as parts of what machines bear
	found     []priced
	least     float64    // cost of what was found
	near      []*machine // found at near the least cost
	suspects  []*machine // with room, and looking bad
}

func newSearch(kinds int) search {
	return search{kinds: make([]kindTerms, kinds), asks: make([]shares, kinds), limits: make([]limit, kinds)}
}

// priced is a machine that the task can go to, and its admission cost there.
type priced struct {
	m    *machine
	cost float64
}

// kindTerms are the terms of the admission cost that machines of one kind have in common.
type kindTerms struct {
	hasView bool
	base    float64 // added to the backlog where the task's program is not known to be
	size    float64 // of the task, where nothing bends what machines bear
	weight  float64 // of the kind's cores over the mean
}

// cost is the least cost of a machine of the kind that is asked for a share or more, and
// that is none of those looked at by themselves.
func (k *kindTerms) cost(asked, rho float64) float64 {
	if !k.hasView {
		asked = rho
	}
	return cost(asked+k.base, k.size, k.weight, rho)
}

// begin starts a search for t among the machines that may have room for it.
func (p *Scheduler) begin(t *task) *search {
	p.settle()
	s, bear := &p.search, p.index.now
	s.number++
	s.looked = 0
	s.task, s.class, s.least = t, &p.s.Classes[t.class], math.Inf(1)
	s.found, s.near, s.suspects = s.found[:0], s.near[:0], s.suspects[:0]
	for i := range p.s.Kinds {
		k := &p.s.Kinds[i]
		asks := shares{t.Cores / k.Cores, t.Memory / k.Memory}
		s.kinds[i].size = max(asks.cores/bear.cores, asks.memory/bear.memory)
		s.limits[i] = p.limit(t, i, asks)
	}
	return s
}

// price adds to a search what machines of each kind cost.
func (p *Scheduler) price(s *search) {
	s.rho, s.mean = p.fleet()
	s.rho = min(s.rho, rhoMost)
	for i := range s.kinds {
		k := &s.kinds[i]
		k.hasView, k.base, k.weight = p.s.HasView, 0, p.s.Kinds[i].Cores/s.mean
		if s.task.Program != 0 {
			k.base = awayShare
		}
	}
}

// limit is what a machine of a kind that has room for t is asked for (see fits).
func (p *Scheduler) limit(t *task, kind int, asks shares) limit {
	c := &p.s.Classes[t.class]
	if c.Kind >= 0 && c.Kind != kind {
		return limit{most: shares{math.Inf(-1), math.Inf(-1)}}
	}
	accepted := shares{p.s.CoresOvercommit, p.s.MemoryOvercommit}
	if !p.s.HasView {
		return limit{most: accepted.less(asks)}
	}
	if p.crowd {
		asks.cores += p.others[0]
		asks.memory += p.others[1]
	}
	l := limit{most: p.index.now.less(asks), bentMost: accepted.less(asks)}
	if size := p.search.kinds[kind].size; p.now-t.arrived > c.ObjectiveUs/4 {
		// A large task that has waited is not held to what machines bear; it is large where
		// one bears little.
		if l.bent = size / largeShare; l.bent > 1 {
			l.most = l.bentMost
		}
	}
	return l
}

// considerAll looks at some machines by themselves: at all of a few, and from anywhere at
// those of many.
func (p *Scheduler) considerAll(ms []*machine) {
	begin := 0
	if len(ms) > enumerated {
		begin = p.rng.IntN(len(ms))
	}
	for i := range ms {
		if !p.consider(ms[(begin+i)%len(ms)]) {
			return
		}
	}
}

// cheapest returns the machines for t whose admission cost is near the lowest, in no order.
func (p *Scheduler) cheapest(t *task) []*machine {
	s := p.begin(t)
	p.price(s)
	if t.Program != 0 {
		p.considerAll(p.programs[t.Program])
		p.considerAll(p.hashedFirst(t.Program))
	}
	inverse := p.index.inverse
	p.ascend(walk{limits: s.limits, sample: true, visit: p.visit,
		matters: func(kind int, asked shares, floor float64) bool {
			share := max(floor, asked.cores*inverse.cores, asked.memory*inverse.memory)
			return s.kinds[kind].cost(share, s.rho) <= s.least+margin+rounding
		},
	})
	for _, f := range s.found {
		if f.cost <= s.least+margin {
			s.near = append(s.near, f.m)
		}
	}
	return s.near
}

// consider looks whether the task of the search can go to m, and at what cost. It reports
// whether to look on.
func (p *Scheduler) consider(m *machine) bool {
	s := &p.search
	if m.seen == s.number {
		return true
	}
	m.seen = s.number
	s.looked++
	t := s.task
	if !p.open(m, s.class, t) || !p.fits(m, t) {
		return true
	}
	if !p.well(m, t) {
		s.suspects = append(s.suspects, m)
		return true
	}
	f := priced{m, p.admission(m, t)}
	s.found = append(s.found, f)
	s.least = min(s.least, f.cost)
	return len(s.found) < enumerated
}

// elsewhere reports whether a healthy machine other than m has room for t.
func (p *Scheduler) elsewhere(t *task, m *machine) bool {
	p.begin(t)
	c, found := &p.s.Classes[t.class], false
	p.ascend(walk{limits: p.search.limits, sample: true,
		matters: func(int, shares, float64) bool { return true },
		visit: func(o *machine) bool {
			found = o != m && p.allowed(o, c, t) && p.healthy(o, t.class) && p.fits(o, t)
			return !found
		},
	})
	return found
}

// nearestToRoom returns the machine that lacks least to have room for t, of those that are
// not kept, or nil.
func (p *Scheduler) nearestToRoom(t *task) *machine {
	p.settle()
	c, inverse := &p.s.Classes[t.class], p.index.inverse
	for i := range p.s.Kinds {
		k := &p.s.Kinds[i]
		p.search.asks[i] = shares{t.Cores / k.Cores * inverse.cores, t.Memory / k.Memory * inverse.memory}
	}
	var best *machine
	least, slack := math.Inf(1), rounding // among equals the first by name
	if len(p.order) > enumerated {
		slack = -rounding // any: there may be thousands
	}
	p.ascend(walk{freeOnly: true,
		matters: func(kind int, asked shares, floor float64) bool {
			t := &p.search.asks[kind]
			lack := max(asked.cores*inverse.cores+t.cores, asked.memory*inverse.memory+t.memory)
			return max(lack, floor+min(t.cores, t.memory)) <= least+slack
		},
		visit: func(m *machine) bool {
			if !p.allowed(m, c, t) || !p.healthy(m, t.class) {
				return true
			}
			cores, memory := p.load(m)
			bc, bm := p.bears(m)
			v := max((cores+t.Cores)/bc, (memory+t.Memory)/bm)
			if v < least || best != nil && v == least && m.ordinal < best.ordinal {
				best, least = m, v
			}
			return true
		},
	})
	return best
}
