package placement

import (
	"math"
	"math/rand/v2"
	"testing"
)

// TestMeansOfLargeFleet has the means of a large fleet follow it after a second.
func TestMeansOfLargeFleet(t *testing.T) {
	f := largeFleet(t, maxEnumerated+1, func(*rand.Rand) float64 { return 0 })
	f.scheduler.totals.means()
	entries := make([]Entry, len(f.scheduler.fleet.sorted))
	for i, worker := range f.scheduler.fleet.sorted {
		entries[i] = worker.Entry
		entries[i].FreeCores = 16
	}
	f.at(second/2, WorkerList{Kind: ListDelta, Entries: entries})
	if utilization, _ := f.scheduler.totals.means(); utilization != 0 {
		t.Errorf("utilization %v before a second has passed, want that of before", utilization)
	}
	f.at(second/2, TimerFired{})
	if utilization, _ := f.scheduler.totals.means(); math.Abs(utilization-0.5/f.scheduler.capacity.baseline.cores) > 1e-9 {
		t.Errorf("utilization %v after a second, want %v", utilization, 0.5/f.scheduler.capacity.baseline.cores)
	}
}

// TestFreeUnitsOfLargeFleet has the free capacity of a large fleet follow it with the timer.
func TestFreeUnitsOfLargeFleet(t *testing.T) {
	f := largeFleet(t, maxEnumerated+1, func(*rand.Rand) float64 { return 0 })
	f.scheduler.settings.UnitCores, f.scheduler.settings.UnitMemory = 1, 2
	all := f.scheduler.totals.freeUnits()
	for _, worker := range f.scheduler.fleet.sorted {
		worker.attemptWindow = 0 // it may be offered nothing
	}
	f.at(retryInterval/2, TimerFired{})
	if got := f.scheduler.totals.freeUnits(); got != all {
		t.Errorf("free capacity %v before the timer is due, want %v as before", got, all)
	}
	f.at(retryInterval/2, TimerFired{})
	if got := f.scheduler.totals.freeUnits(); got != 0 {
		t.Errorf("free capacity %v with the timer, want none", got)
	}
}
