package placement

import "math"

// This file owns slow start, which limits how many offers all schedulers together send to a worker that has
// just started. The limit for one window of SlowStartWindowUs is the slow-start budget, SlowStartOffers. This
// file must not permit an offer beyond the budget.

const (
	// slowStartDeviations determines the number of offers within a window above which a worker that
	// warms up becomes overloaded. This limit is the budget, plus slowStartDeviations times the square
	// root of the budget, plus slowStartDeviations offers.
	slowStartDeviations = 2.0
	// informedShare is the fraction of the limit (see slowStartDeviations) that the schedulers that
	// were notified of the worker's start may use together. The rest is left for the offers of
	// schedulers that have not been notified yet and may consider the worker warm.
	informedShare = 2.0 / 3
	// minStartRate is the lowest rate at which a worker is assumed to start tasks, as a fraction of the
	// rate of a warm worker.
	minStartRate = 0.1
)

// slowStart applies the slow-start budget to workers that have just started.
type slowStart struct{ *environment }

// warmingUp reports whether a worker started less than WarmUpUs ago.
func (s *slowStart) warmingUp(worker *workerInfo) bool {
	return worker.StartedAtUs > 0 && s.now < worker.StartedAtUs+s.settings.WarmUpUs
}

// startRate returns the rate at which a worker starts tasks, as a fraction of the rate of a warm worker.
// A worker that warms up looks empty but starts tasks slowly.
func (s *slowStart) startRate(worker *workerInfo) float64 {
	if !s.warmingUp(worker) {
		return 1
	}
	warmUpProgress := float64(s.now-worker.StartedAtUs) / float64(s.settings.WarmUpUs)
	return max(minStartRate, s.settings.ColdStartRate+(1-s.settings.ColdStartRate)*max(0, warmUpProgress))
}

// permits reports whether the budget permits this scheduler to send a worker an offer. The budget does not
// limit the offers to a worker that does not warm up. If the budget is at least one offer per scheduler,
// every scheduler uses its own share. Otherwise the schedulers take turns.
func (s *slowStart) permits(worker *workerInfo) bool {
	if !s.warmingUp(worker) {
		return true
	}
	// The window is a tenth longer than configured, because offers take different times to arrive.
	window, budget := s.settings.SlowStartWindowUs*11/10+1, s.settings.SlowStartOffers
	budget = min(budget, informedShare*(budget+slowStartDeviations*math.Sqrt(budget)+slowStartDeviations))
	if int(budget) >= s.settings.FleetSize {
		return s.hasShareLeft(worker, window, int(budget))
	}
	return s.hasTurn(worker, window, budget)
}

// hasShareLeft reports whether this scheduler's share of the budget allows another offer in the window that
// ends now. Offers before the worker's start do not count. The scheduler sends no offer in the first window
// after its own start, because it does not know which offers an earlier process sent.
func (s *slowStart) hasShareLeft(worker *workerInfo, window int64, budget int) bool {
	share := (budget + s.rotatedIndex(worker)) / s.settings.FleetSize
	return s.now >= s.startedAt+window && worker.offersAfter(max(s.now-window, worker.StartedAtUs-1)) < share
}

// hasTurn reports whether this scheduler has a turn in the current time slot and may still send its offer.
// All schedulers divide the time into the same slots. A slot is as long as a window, so a window overlaps at
// most two slots. At most max(1, budget/2) schedulers have a turn in the same slot, and each of them may send
// one offer. No scheduler has a turn if the budget is below one offer. A scheduler skips the slot in which it
// started, because an earlier process may have sent its offer already.
func (s *slowStart) hasTurn(worker *workerInfo, window int64, budget float64) bool {
	if budget < 1 || s.now < worker.StartedAtUs {
		return false
	}
	perSlot, step := max(1, int(budget)/2), 1
	if budget < 2 {
		step = 2 // every other slot stays empty, because a window may overlap two slots
	}
	turns := (s.settings.FleetSize + perSlot - 1) / perSlot
	// Slots do not begin at the worker's start, because some schedulers may know only an earlier start.
	slot := s.now / window
	slotStart := slot * window
	return slot%int64(turns*step) == int64(s.rotatedIndex(worker)%turns*step) && s.startedAt < slotStart &&
		worker.offersAfter(slotStart-1) == 0
}

// rotatedIndex returns this scheduler's index, rotated by an offset that depends on the worker's name. It
// gives the larger shares and the earlier turns to different schedulers at different workers.
func (s *slowStart) rotatedIndex(worker *workerInfo) int {
	return (s.settings.SelfIndex + int(worker.nameHash%uint64(s.settings.FleetSize))) % s.settings.FleetSize
}
