package placement

// This file keeps the rules that no attempt may break.

import "math"

const (
	// A cold machine falls at slowStartDeviations roots of its budget, and as many offers, over it.
	// Those told of its start send informedShare of that at most: others may not know of it yet.
	slowStartDeviations = 2.0
	informedShare       = 2.0 / 3
)

// repeatWindowOpen reports whether machines still remember a keyed task.
func (p *Scheduler) repeatWindowOpen(class *Class, task *taskInfo) bool {
	return p.now < task.mayHaveRun.sentAt+class.WindowUs
}

// withinGroup keeps the second rule: what may have run goes only to the machines
// that discard its repeats.
func (p *Scheduler) withinGroup(worker *workerInfo, class *Class, task *taskInfo) bool {
	if task.mayHaveRun == nil || class.Effect == Safe {
		return true
	}
	if class.Effect == Unsafe || !p.repeatWindowOpen(class, task) {
		return false
	}
	return class.Group == ScopeAll || sameDomain(worker, task.mayHaveRun.worker, class.Group)
}

// spreadAllows keeps the fifth rule. A machine whose place was never told counts
// in every place.
func (p *Scheduler) spreadAllows(worker *workerInfo, class *Class, task *taskInfo) bool {
	if class.Spread == ScopeNone {
		return true
	}
	counts := p.countsOf(task.Program)
	count := 1 + counts.unknownDomain
	switch class.Spread {
	case ScopeMachine:
		if resident := worker.residentPrograms[task.Program]; resident != nil && worker.everListed {
			count += resident.active
		}
	case ScopeCell:
		count += counts.cells[worker.Cell]
	case ScopeZone:
		count += counts.zones[worker.Zone]
	}
	return count <= class.MaxPerDomain
}

func (p *Scheduler) warmingUp(worker *workerInfo) bool {
	return worker.StartedAtUs > 0 && p.now < worker.StartedAtUs+p.settings.WarmUpUs
}

// slowStartAllows keeps the fourth rule: all placers together offer a cold machine at most a
// budget in any SlowStartWindowUs, here a tenth longer as offers differ in their way. Where that
// is one or more for each, every placer keeps to its part. Else they take turns in slots of
// the common clock, each for half as many placers as the budget, for one offer each: a span
// touches two slots at most. What it sent before its own start a placer does not know, so
// it sits that span or slot out.
func (p *Scheduler) slowStartAllows(worker *workerInfo) bool {
	if !p.warmingUp(worker) {
		return true
	}
	window, budget := p.settings.SlowStartWindowUs*11/10+1, p.settings.SlowStartOffers
	budget = min(budget, informedShare*(budget+slowStartDeviations*math.Sqrt(budget)+slowStartDeviations))
	fleet, seat := p.settings.FleetSize, p.seatAt(worker)
	if part := (int(budget) + seat) / fleet; int(budget) >= fleet {
		return p.now >= p.startedAt+window && worker.offersAfter(max(p.now-window, worker.StartedAtUs-1)) < part
	}
	if budget < 1 || p.now < worker.StartedAtUs {
		return false
	}
	perSlot, step := max(1, int(budget)/2), 1
	if budget < 2 {
		step = 2 // every other slot is left empty
	}
	turns := (fleet + perSlot - 1) / perSlot
	slot := p.now / window // not from its start: some may know of an earlier one only
	slotStart := slot * window
	return slot%int64(turns*step) == int64(seat%turns*step) && p.startedAt < slotStart && worker.offersAfter(slotStart-1) == 0
}
