package placement

// This file sends what can be sent, best first, and answers what can wait no more.

import (
	"cmp"
	"slices"
)

const (
	// keptOver is by how much a held task must outrank another to keep a machine from it.
	keptOver = 1.5
	// rttWeight is the weight of one answer in the mean time that answers take.
	rttWeight = 1.0 / 16
	// lateSure is by how much a held task must be too late, by the pace at which room
	// comes, to be refused before its time is up.
	lateSure = 2.0
	// ticksEarly is how many ticks before its deadline a held task is answered.
	ticksEarly = 4
)

// rank is a task's worth for the room and time that it takes, the worth of a
// start included while it can still be in time: when room is short, tasks that
// are late already let those pass that are not. A tenant beyond its share ranks
// by what its tasks are then worth.
func (p *Scheduler) rank(t *task) float64 {
	c := &p.s.Classes[t.class]
	k := &p.s.Kinds[0]
	size := t.Cores + t.Memory
	if p.s.UnitCores > 0 && p.s.UnitMemory > 0 {
		size = t.Cores/p.s.UnitCores + t.Memory/p.s.UnitMemory
	}
	v := c.Weight * size / max(t.Cores/k.Cores, t.Memory/k.Memory, 1e-9)
	if !t.Retry && p.now < t.arrived+c.ObjectiveUs && t.HasRunHint {
		v *= 1 + c.StartBonusS*float64(second)/float64(max(t.ExpectedRunUs, second))
	}
	if p.overShare(t) {
		v *= p.s.OverQuotaWeight
	}
	return v
}

// overShare guesses whether the tenant is beyond its share, from its part of
// own tasks and what the fleet is asked for.
func (p *Scheduler) overShare(t *task) bool {
	i, ok := p.tenants[t.Tenant]
	if !ok || p.ownTotal <= 0 || p.s.Tenants[i].QuotaCores <= 0 {
		return false
	}
	return p.ownCores[i]/p.ownTotal*p.askedCores() > p.s.Tenants[i].QuotaCores
}

// place sends what can be sent, best first, and answers what can wait no more.
func (p *Scheduler) place() {
	if !p.stirred {
		return
	}
	p.stirred, p.others = false, p.othersBinds()
	for _, t := range p.waiting {
		t.rank = p.rank(t)
	}
	slices.SortStableFunc(p.waiting, func(a, b *task) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.since, b.since))
	})
	clear(p.stuck)
	p.keepNone()
	ahead := 0.0 // units that are held and go first
	var room float64
	if slices.Max(p.keep) > 0 {
		room = p.room()
	}
	p.round = append(p.round[:0], p.waiting...)
	for _, t := range p.round {
		if p.hopeless(t) {
			p.finish(t)
			continue
		}
		s := shape{t.class, t.Cores, t.Memory, 0}
		if p.s.Classes[t.class].Spread != ScopeNone {
			s.program = t.Program
		}
		units := p.s.Units(t.Cores, t.Memory)
		if (!p.stuck[s] || t.mayRun != nil) && (p.keep[t.class] == 0 || room > p.keep[t.class]) {
			if m := p.choose(t); m != nil {
				if !p.ask(t, m) {
					p.send(t, m)
					room -= units
				}
				continue
			}
		}
		if t.mayRun != nil {
			continue
		}
		p.stuck[s] = true
		if p.roomPace > 0 && (ahead+units)/p.roomPace*float64(second) > float64(t.DeadlineUs-p.now)*lateSure {
			p.finish(t) // room comes too late for it: its owner is told now
			continue
		}
		ahead += units
		p.keepFor(t)
	}
}

// keepFor keeps the machine that is nearest to having room for a held task from
// those of far lower rank. It guards against small tasks of little worth that take
// every gap before it is large enough for one of more. It would harm where all held
// tasks are of one worth: then nothing is kept from them, or where room never comes:
// so half of the machines stay open to all.
func (p *Scheduler) keepFor(t *task) {
	if !p.s.HasView || len(p.kept)*2 >= p.own() {
		return
	}
	if m := p.nearestToRoom(t); m != nil {
		p.keepMachine(m, t.rank)
	}
}

func (p *Scheduler) send(t *task, m *machine) {
	p.unhold(t)
	a := &attempt{m: m, at: p.now, waits: true}
	t.attempts = append(t.attempts, a)
	m.unanswered = append(m.unanswered, a)
	p.bind(m, t.Cores, t.Memory)
	p.keepHome(m, t.Program)
	m.offered(p.now, 2*p.s.SlowStartWindowUs)
	p.do(Place{RequestID: t.RequestID, Worker: m.Worker, AbandonAtUs: p.abandonAt(t)})
}

// abandonAt is when an attempt is given up: well after answers usually come, so
// that another may follow. An unsafe task could not be tried again, so it waits
// to its deadline.
func (p *Scheduler) abandonAt(t *task) int64 {
	c := &p.s.Classes[t.class]
	last := p.s.MaxAttempts > 0 && len(t.attempts) >= p.s.MaxAttempts
	if c.Effect == Unsafe || last || p.rttMean == 0 {
		return t.DeadlineUs
	}
	wait := 2 * p.patience()
	if p.s.AcceptMeansRunning {
		// Quick answers come first, so early on the slow starts are not seen yet.
		wait = max(wait, (t.DeadlineUs-p.now)*2/3)
	}
	return min(t.DeadlineUs, p.now+wait)
}

// patience is how long an answer takes at the longest, by those seen; where yes
// means running, starts that queue are no sign of a silent machine.
func (p *Scheduler) patience() int64 {
	if p.s.AcceptMeansRunning {
		return max(int64(p.rttMean+8*p.rttDev), second)
	}
	return max(int64(p.rttMean+4*p.rttDev), second/8)
}

// hopeless reports whether nothing more can be done for a held task.
func (p *Scheduler) hopeless(t *task) bool {
	if t.DeadlineUs-p.now <= ticksEarly*max(p.s.TickUs, 1000) || t.stands || t.unfit {
		return true
	}
	if p.s.MaxAttempts > 0 && len(t.attempts) >= p.s.MaxAttempts {
		return true
	}
	c := &p.s.Classes[t.class]
	return t.mayRun != nil && (c.Effect == Unsafe || c.Effect == Keyed && !p.windowOpen(c, t))
}

// finish gives the final answer: a refusal where the rules let us say that a
// retry is harmless, else a failure.
func (p *Scheduler) finish(t *task) {
	c := &p.s.Classes[t.class]
	if t.mayRun == nil || c.Effect == Safe || c.Effect == Keyed && c.Group == ScopeAll {
		p.do(Reject{RequestID: t.RequestID})
	} else {
		p.do(Fail{RequestID: t.RequestID})
	}
	p.drop(t)
}

// wake sets the next alarm.
