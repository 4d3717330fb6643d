package placement

import (
	"math"
	"math/rand/v2"
	"testing"
)

// TestMeansOfLargeFleet checks that the means of a large fleet stay the same for a second after they were
// computed, even if the fleet changes, and show the change after that.
func TestMeansOfLargeFleet(t *testing.T) {
	f := largeFleet(t, maxEnumerated+1, func(*rand.Rand) float64 { return 0 })
	f.scheduler.totals.means()
	entries := make([]Entry, len(f.scheduler.fleet.sorted))
	for i, worker := range f.scheduler.fleet.sorted {
		entries[i] = worker.Entry
		entries[i].FreeCores = 16
	}
	f.handleAfter(second/2, WorkerList{Kind: ListDelta, Entries: entries})
	if utilization, _ := f.scheduler.totals.means(); utilization != 0 {
		t.Errorf("got utilization %v before a second has passed, want 0 as before the change", utilization)
	}
	f.handleAfter(second/2, TimerFired{})
	if utilization, _ := f.scheduler.totals.means(); math.Abs(utilization-0.5/f.scheduler.capacity.baseline.cores) > 1e-9 {
		t.Errorf("got utilization %v after a second, want %v", utilization, 0.5/f.scheduler.capacity.baseline.cores)
	}
}

// TestFreeUnitsOfLargeFleet checks that the free units of a large fleet stay the same for retryInterval
// after they were computed, even if the fleet changes, and show the change after that.
func TestFreeUnitsOfLargeFleet(t *testing.T) {
	f := largeFleet(t, maxEnumerated+1, func(*rand.Rand) float64 { return 0 })
	f.scheduler.settings.UnitCores, f.scheduler.settings.UnitMemory = 1, 2
	all := f.scheduler.totals.freeUnits()
	for _, worker := range f.scheduler.fleet.sorted {
		worker.attemptWindow = 0 // the worker must not get offers
	}
	f.handleAfter(retryInterval/2, TimerFired{})
	if got := f.scheduler.totals.freeUnits(); got != all {
		t.Errorf("got %v free units before retryInterval has passed, want %v as before the change", got, all)
	}
	f.handleAfter(retryInterval/2, TimerFired{})
	if got := f.scheduler.totals.freeUnits(); got != 0 {
		t.Errorf("got %v free units after retryInterval, want 0", got)
	}
}
