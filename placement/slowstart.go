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

// permits reports whether a worker may get an offer without breaking the budget: all
// schedulers together offer at most so much in any SlowStartWindowUs, here a tenth longer as
// offers differ in their way. Where that is one or more for each, every scheduler keeps to its
// part. Else they take turns in slots of the common clock, each for half as many schedulers as
// the budget, for one offer each: a window touches two slots at most. What it sent before its
// own start a scheduler does not know, so it leaves that window or slot out.
func (s *slowStart) permits(worker *workerInfo) bool {
	if !s.warmingUp(worker) {
		return true
	}
	window, budget := s.settings.SlowStartWindowUs*11/10+1, s.settings.SlowStartOffers
	budget = min(budget, informedShare*(budget+slowStartDeviations*math.Sqrt(budget)+slowStartDeviations))
	schedulers, seat := s.settings.FleetSize, s.seatAt(worker)
	if part := (int(budget) + seat) / schedulers; int(budget) >= schedulers {
		return s.now >= s.startedAt+window && worker.offersAfter(max(s.now-window, worker.StartedAtUs-1)) < part
	}
	if budget < 1 || s.now < worker.StartedAtUs {
		return false
	}
	perSlot, step := max(1, int(budget)/2), 1
	if budget < 2 {
		step = 2 // every other slot is left empty
	}
	turns := (schedulers + perSlot - 1) / perSlot
	slot := s.now / window // not from its start: some may know of an earlier one only
	slotStart := slot * window
	return slot%int64(turns*step) == int64(seat%turns*step) && s.startedAt < slotStart &&
		worker.offersAfter(slotStart-1) == 0
}

// seatAt is this scheduler's number, counted from another scheduler for each worker.
func (s *slowStart) seatAt(worker *workerInfo) int {
	return (s.settings.SelfIndex + int(worker.nameHash%uint64(s.settings.FleetSize))) % s.settings.FleetSize
}
