package placement

// This file chooses the machine for a task: filters first, then the admission cost.

import (
	"cmp"
	"slices"
)

const (
	// margin is how far above the lowest admission cost still counts as equal:
	// about what one small task adds, which a late view cannot tell apart.
	margin = 0.02
	// awayShare is what a start away from the task's program adds to the backlog: it
	// takes several times the work and mostly misses its aim.
	awayShare = 3.0
	// awayOver is over how many machines the tasks of a program are spread.
	awayOver = 12.0
	// startShare is what an own start under way adds to a machine's backlog, at mean
	// size: machines start few tasks at a time, and a late start loses its worth.
	startShare = 0.03
	// largeShare is the share of a machine from which a task counts as large.
	largeShare = 0.15
	// rhoMost keeps the factor 1/(1-rho) finite when more is asked than borne.
	rhoMost = 0.95
)

// choose returns the machine for t, or nil where it has to wait.
func (p *Scheduler) choose(t *task) *machine {
	near := p.nearest(t)
	if len(near) == 0 {
		return nil
	}
	return p.nth(near, p.rng.IntN(len(near)))
}

// nearest returns the machines among which t's is drawn, or none where t has to wait.
func (p *Scheduler) nearest(t *task) []*machine {
	near := p.cheapest(t)
	if len(near) == 0 {
		return p.leastSuspect(t)
	}
	if m := p.putBack(t); m != nil {
		return append(near[:0], m)
	}
	return near
}

// putBack returns a machine that operators put back, if t can go there: one task shows
// that it is in use again.
func (p *Scheduler) putBack(t *task) (first *machine) {
	c := &p.s.Classes[t.class]
	for m := range p.returned {
		switch {
		case !m.back:
			delete(p.returned, m)
		case c.Effect == Unsafe || !p.open(m, c, t) || !p.well(m, t) || !p.fits(m, t):
		case first == nil || m.ordinal < first.ordinal:
			first = m
		}
	}
	return first
}

// leastSuspect returns the machine for t where each that has room looks bad, as the last
// search found: the least suspect one, or none.
func (p *Scheduler) leastSuspect(t *task) []*machine {
	c := &p.s.Classes[t.class]
	fit := p.search.suspects
	if len(fit) == 0 || c.Effect != Safe && p.mostWell(t) {
		// A machine that fails fast looks empty: where most are well but full, a
		// task waits for them, unless trying again is safe.
		return nil
	}
	// Most look bad: suspect the network or the load, not them, and go on with
	// the least suspect, two attempts at a time each: what is lost in silence
	// uses up attempts that tasks need later.
	fit = slices.DeleteFunc(fit, func(m *machine) bool { return len(m.unanswered) > 1 })
	if len(fit) == 0 {
		return nil
	}
	slices.SortFunc(fit, func(a, b *machine) int {
		return cmp.Or(cmp.Compare(a.suspicion(p.now, t.class), b.suspicion(p.now, t.class)),
			cmp.Compare(a.ordinal, b.ordinal))
	})
	return fit[:1]
}

// mostWell reports whether more machines that t may go to are well than not.
func (p *Scheduler) mostWell(t *task) bool {
	c := &p.s.Classes[t.class]
	balance := 0
	for _, m := range p.order {
		if !p.open(m, c, t) {
			continue
		}
		if p.well(m, t) {
			balance++
		} else {
			balance--
		}
	}
	return balance > 0
}

// open reports whether t may go to m: by the rules, and as m is kept for no other task.
func (p *Scheduler) open(m *machine, c *Class, t *task) bool {
	return p.allowed(m, c, t) && (len(p.kept) == 0 || t.rank*keptOver >= p.kept[m])
}

// well reports whether m is taken to start t if it has room.
func (p *Scheduler) well(m *machine, t *task) bool {
	return p.healthy(m, t.class) && !t.erredOn(m)
}

// allowed applies the rules, the task's kind and the window.
func (p *Scheduler) allowed(m *machine, c *Class, t *task) bool {
	return m.listed && m.State == Ready && p.now >= m.leavingTo && m.kind >= 0 &&
		float64(len(m.unanswered)) < m.window && (c.Kind < 0 || c.Kind == m.kind) &&
		p.inGroup(m, c, t) && p.spreadKept(m, c, t) && p.coldKept(m)
}

// fits reports whether m has room by what it accepts and by what it bears.
func (p *Scheduler) fits(m *machine, t *task) bool {
	k := p.size(m)
	if !p.s.HasView {
		return t.Cores <= k.Cores*p.s.CoresOvercommit && t.Memory <= k.Memory*p.s.MemoryOvercommit
	}
	cores, mem := p.load(m)
	if p.crowd {
		// Others chase what the view newly shows, and bind as this placer did since the
		// view; what own tasks gave up, only this one knows.
		cores += min(p.taken*k.Cores, max(0, m.FreeCores-m.lastingC)) + p.others[0]*k.Cores
		mem += min(p.taken*k.Memory, max(0, m.FreeMemory-m.lastingM)) + p.others[1]*k.Memory
	}
	if cores+t.Cores > k.Cores*p.s.CoresOvercommit || mem+t.Memory > k.Memory*p.s.MemoryOvercommit {
		return false
	}
	bearC, bearM := p.bears(m)
	if max(t.Cores/bearC, t.Memory/bearM) > largeShare && p.now-t.arrived > p.s.Classes[t.class].ObjectiveUs/4 {
		return true // a levelled fleet has no gap for a large task
	}
	return cores+t.Cores <= bearC && mem+t.Memory <= bearM
}

// bears is the asked cores and memory that m can bear: what it accepts or, where
// less, what brings the use of its cores to the calm level and of its memory to
// the brink, by the part of what they asked that own tasks use. Asked shares
// are counted over it, so a share of 1 is a machine that bears no more.
func (p *Scheduler) bears(m *machine) (cores, mem float64) {
	k := p.size(m)
	m.relax(p.now, bendHalf)
	return k.Cores * p.bearing.cores * m.bendC, k.Memory * p.bearing.memory * m.bendM
}

// multiples is what machines of no bend bear, as parts of their size.
func (p *Scheduler) multiples() shares {
	c, b := p.s.CoresOvercommit, p.s.MemoryOvercommit
	if p.asked[0] > 0 && p.used[0] > 0 {
		c = min(c, p.calm()*p.asked[0]/p.used[0])
	}
	if p.asked[1] > 0 && p.used[1] > 0 {
		b = min(b, memoryFull*p.asked[1]/p.used[1])
	}
	return shares{c, b}
}

// share is the asked share of m: the larger of cores and memory.
func (p *Scheduler) share(m *machine) float64 {
	c, b := p.load(m)
	bc, bm := p.bears(m)
	return max(c/bc, b/bm)
}

// cost is the admission cost of one first-policy-improvement step at a machine
// with backlog u, for a task of size x: A = u + l/(1-rho) (u x + x^2/2).
func cost(u, x, l, rho float64) float64 {
	return u + l/(1-rho)*(u*x+x*x/2)
}

// pace is the pace of starts on m that a machine of its age keeps at least: a
// cold one looks empty and starts slowly.
func (p *Scheduler) pace(m *machine) float64 {
	if !p.cold(m) {
		return 1
	}
	warm := float64(p.now-m.StartedAtUs) / float64(p.s.WarmUpUs)
	return max(0.1, p.s.ColdStartRate+(1-p.s.ColdStartRate)*max(0, warm))
}

// admission is the admission cost of t at m.
func (p *Scheduler) admission(m *machine, t *task) float64 {
	s, k := &p.search, p.size(m)
	bc, bm := p.bears(m)
	u := s.rho
	if p.s.HasView {
		cores, mem := p.load(m)
		u = max(cores/bc, mem/bm)
	}
	u += p.backlog(m) * s.mean / k.Cores / p.pace(m)
	u += awayShare * p.away(m, t)
	return cost(u, max(t.Cores/bc, t.Memory/bm), k.Cores/s.mean, s.rho)
}

// away is how likely a start on m lacks the program of t, 0 to 1. A machine where a
// task of it is known to run, or just ran, holds it. Else placers that share nothing
// meet: the machines stand in an order hashed from the program, the same for all,
// and the first awayOver of them are ever less likely to have it.
func (p *Scheduler) away(m *machine, t *task) float64 {
	if t.Program == 0 || m.homes[t.Program] != nil {
		return 0
	}
	return min(1, p.hashedPlace(m.hash(t.Program))/awayOver)
}
