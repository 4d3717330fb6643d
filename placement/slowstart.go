package placement

import "math"

// This file owns slow start: a worker that just started gets few offers, of all schedulers
// together. It must never permit an offer over the budget.

const (
	// A worker that warms up fails at slowStartDeviations roots of its budget, and as many
	// offers, over it. Schedulers that were notified of its start send informedShare of
	// that at most: others may not be notified yet.
	slowStartDeviations = 2.0
	informedShare       = 2.0 / 3
	// minStartRate bounds how slowly a worker is taken to start tasks.
	minStartRate = 0.1
)

// slowStart applies the budget of workers that just started.
type slowStart struct{ *environment }

// warmingUp reports whether a worker started just now.
func (s *slowStart) warmingUp(worker *workerInfo) bool {
	return worker.StartedAtUs > 0 && s.now < worker.StartedAtUs+s.settings.WarmUpUs
}

// startRate is the rate at which a worker starts tasks, over that of one that is warm: while
// it warms up, it looks empty and starts slowly.
func (s *slowStart) startRate(worker *workerInfo) float64 {
	if !s.warmingUp(worker) {
		return 1
	}
	warm := float64(s.now-worker.StartedAtUs) / float64(s.settings.WarmUpUs)
	return max(minStartRate, s.settings.ColdStartRate+(1-s.settings.ColdStartRate)*max(0, warm))
}

// permits reports whether a worker may get an offer without breaking the budget. Where that is one
// offer or more for each scheduler, every scheduler keeps to its part. Else they take turns.
func (s *slowStart) permits(worker *workerInfo) bool {
	if !s.warmingUp(worker) {
		return true
	}
	// Offers differ in their way, so a window counts for a tenth longer.
	window, budget := s.settings.SlowStartWindowUs*11/10+1, s.settings.SlowStartOffers
	budget = min(budget, informedShare*(budget+slowStartDeviations*math.Sqrt(budget)+slowStartDeviations))
	if int(budget) >= s.settings.FleetSize {
		return s.hasPartLeft(worker, window, int(budget))
	}
	return s.hasTurn(worker, window, budget)
}

// hasPartLeft reports whether this scheduler's part of the budget of the last window allows an offer.
// What it sent before its own start it does not know, so it leaves the first window out.
func (s *slowStart) hasPartLeft(worker *workerInfo, window int64, budget int) bool {
	part := (budget + s.rotatedIndex(worker)) / s.settings.FleetSize
	return s.now >= s.startedAt+window && worker.offersAfter(max(s.now-window, worker.StartedAtUs-1)) < part
}

// hasTurn reports whether this scheduler may send an offer in the present slot of the common clock. A
// slot is for half as many schedulers as the budget, for one offer each: a window touches two slots at
// most. The slot in which this scheduler started is left out, as it may have sent one before.
func (s *slowStart) hasTurn(worker *workerInfo, window int64, budget float64) bool {
	if budget < 1 || s.now < worker.StartedAtUs {
		return false
	}
	perSlot, step := max(1, int(budget)/2), 1
	if budget < 2 {
		step = 2 // every other slot is left empty
	}
	turns := (s.settings.FleetSize + perSlot - 1) / perSlot
	slot := s.now / window // not from its start: some may know of an earlier one only
	slotStart := slot * window
	return slot%int64(turns*step) == int64(s.rotatedIndex(worker)%turns*step) && s.startedAt < slotStart &&
		worker.offersAfter(slotStart-1) == 0
}

// rotatedIndex is this scheduler's number, counted from another scheduler for each worker.
func (s *slowStart) rotatedIndex(worker *workerInfo) int {
	return (s.settings.SelfIndex + int(worker.nameHash%uint64(s.settings.FleetSize))) % s.settings.FleetSize
}
