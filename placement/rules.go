package placement

// This file keeps the rules that no attempt may break.

import "math"

const (
	// A cold machine falls at slowStartDeviations roots of its budget, and as many offers, over it.
	// Those told of its start send informedShare of that at most: others may not know of it yet.
	slowStartDeviations = 2.0
	informedShare   = 2.0 / 3
)

// repeatWindowOpen reports whether machines still remember a keyed task.
func (p *Scheduler) repeatWindowOpen(c *Class, t *taskInfo) bool {
	return p.now < t.mayHaveRun.sentAt+c.WindowUs
}

// withinGroup keeps the second rule: what may have run goes only to the machines
// that discard its repeats.
func (p *Scheduler) withinGroup(m *workerInfo, c *Class, t *taskInfo) bool {
	if t.mayHaveRun == nil || c.Effect == Safe {
		return true
	}
	if c.Effect == Unsafe || !p.repeatWindowOpen(c, t) {
		return false
	}
	return c.Group == ScopeAll || sameDomain(m, t.mayHaveRun.worker, c.Group)
}

// spreadAllows keeps the fifth rule. A machine whose place was never told counts
// in every place.
func (p *Scheduler) spreadAllows(m *workerInfo, c *Class, t *taskInfo) bool {
	if c.Spread == ScopeNone {
		return true
	}
	s := p.countsOf(t.Program)
	n := 1 + s.unknownDomain
	switch c.Spread {
	case ScopeMachine:
		if h := m.residentPrograms[t.Program]; h != nil && m.everListed {
			n += h.active
		}
	case ScopeCell:
		n += s.cells[m.Cell]
	case ScopeZone:
		n += s.zones[m.Zone]
	}
	return n <= c.MaxPerDomain
}

func (p *Scheduler) warmingUp(m *workerInfo) bool {
	return m.StartedAtUs > 0 && p.now < m.StartedAtUs+p.settings.WarmUpUs
}

// slowStartAllows keeps the fourth rule: all placers together offer a cold machine at most a
// budget in any SlowStartWindowUs, here a tenth longer as offers differ in their way. Where that
// is one or more for each, every placer keeps to its part. Else they take turns in slots of
// the common clock, each for half as many placers as the budget, for one offer each: a span
// touches two slots at most. What it sent before its own start a placer does not know, so
// it sits that span or slot out.
func (p *Scheduler) slowStartAllows(m *workerInfo) bool {
	if !p.warmingUp(m) {
		return true
	}
	span, n := p.settings.SlowStartWindowUs*11/10+1, p.settings.SlowStartOffers
	n = min(n, informedShare*(n+slowStartDeviations*math.Sqrt(n)+slowStartDeviations))
	fleet, seat := p.settings.FleetSize, p.seatAt(m)
	if part := (int(n) + seat) / fleet; int(n) >= fleet {
		return p.now >= p.startedAt+span && m.offersAfter(max(p.now-span, m.StartedAtUs-1)) < part
	}
	if n < 1 || p.now < m.StartedAtUs {
		return false
	}
	crowd, step := max(1, int(n)/2), 1
	if n < 2 {
		step = 2 // every other slot is left empty
	}
	turns := (fleet + crowd - 1) / crowd
	slot := p.now / span // not from its start: some may know of an earlier one only
	begun := slot * span
	return slot%int64(turns*step) == int64(seat%turns*step) && p.startedAt < begun && m.offersAfter(begun-1) == 0
}
