package placement

// This file keeps the rules that no attempt may break.

import "math"

const (
	// A cold machine falls at coldChance roots of its budget, and as many offers, over it.
	// Those told of its start send toldMost of that at most: others may not know of it yet.
	coldChance = 2.0
	toldMost   = 2.0 / 3
)

// windowOpen reports whether machines still remember a keyed task.
func (p *Scheduler) windowOpen(c *Class, t *task) bool {
	return p.now < t.mayRun.at+c.WindowUs
}

// inGroup keeps the second rule: what may have run goes only to the machines
// that discard its repeats.
func (p *Scheduler) inGroup(m *machine, c *Class, t *task) bool {
	if t.mayRun == nil || c.Effect == Safe {
		return true
	}
	if c.Effect == Unsafe || !p.windowOpen(c, t) {
		return false
	}
	return c.Group == ScopeAll || samePlace(m, t.mayRun.m, c.Group)
}

// spreadKept keeps the fifth rule. A machine whose place was never told counts
// in every place.
func (p *Scheduler) spreadKept(m *machine, c *Class, t *task) bool {
	if c.Spread == ScopeNone {
		return true
	}
	s := p.spreadOf(t.Program)
	n := 1 + s.unplaced
	switch c.Spread {
	case ScopeMachine:
		if h := m.homes[t.Program]; h != nil && m.known {
			n += h.held
		}
	case ScopeCell:
		n += s.cells[m.Cell]
	case ScopeZone:
		n += s.zones[m.Zone]
	}
	return n <= c.MaxPerDomain
}

func (p *Scheduler) cold(m *machine) bool {
	return m.StartedAtUs > 0 && p.now < m.StartedAtUs+p.s.WarmUpUs
}

// coldKept keeps the fourth rule: all placers together offer a cold machine at most a
// budget in any SlowStartWindowUs, here a tenth longer as offers differ in their way. Where that
// is one or more for each, every placer keeps to its part. Else they take turns in slots of
// the common clock, each for half as many placers as the budget, for one offer each: a span
// touches two slots at most. What it sent before its own start a placer does not know, so
// it sits that span or slot out.
func (p *Scheduler) coldKept(m *machine) bool {
	if !p.cold(m) {
		return true
	}
	span, n := p.s.SlowStartWindowUs*11/10+1, p.s.SlowStartOffers
	n = min(n, toldMost*(n+coldChance*math.Sqrt(n)+coldChance))
	fleet, seat := p.s.FleetSize, p.seat(m)
	if part := (int(n) + seat) / fleet; int(n) >= fleet {
		return p.now >= p.born+span && m.offersAfter(max(p.now-span, m.StartedAtUs-1)) < part
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
	return slot%int64(turns*step) == int64(seat%turns*step) && p.born < begun && m.offersAfter(begun-1) == 0
}
