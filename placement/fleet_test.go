package placement

import (
	"fmt"
	"math"
	"testing"
)

// TestRemovedWorkersAreForgotten checks that no state of removed workers remains once their tasks have ended.
func TestRemovedWorkersAreForgotten(t *testing.T) {
	f := largeFleet(t, 100, evenUtilization)
	for i := range 30 {
		f.startTask(fmt.Sprint(i))
	}
	removed := WorkerList{Kind: ListDelta}
	for _, worker := range f.scheduler.fleet.sorted {
		entry := worker.Entry
		entry.State = Removed
		removed.Entries = append(removed.Entries, entry)
	}
	f.handleAfter(ms, removed)
	for requestID, task := range f.scheduler.requests.tasks {
		f.handleAfter(0, AttemptEnded{RequestID: requestID, Attempt: len(task.attempts) - 1, Outcome: Completed, Final: true})
	}
	f.handleAfter(ms, WorkerList{Kind: ListDelta})
	f.scheduler.fleet.refresh()
	scheduler := f.scheduler
	if left := len(scheduler.fleet.sorted) + len(scheduler.fleet.workers) + len(scheduler.fleet.unlisted) + len(scheduler.residents.workers) + len(scheduler.affinity.preferred) + countEntries(scheduler); left != 0 {
		t.Errorf("got %d workers, %d unlisted, %d resident programs, %d cached lists of preferred workers, %d index entries; want 0 of each",
			len(scheduler.fleet.sorted), len(scheduler.fleet.unlisted), len(scheduler.residents.workers), len(scheduler.affinity.preferred), countEntries(scheduler))
	}
	if scheduler.loads.listedRequestedCores != 0 && math.Abs(scheduler.loads.listedRequestedCores) > 1e-9 || scheduler.loads.listedCapacity != (fractions{}) {
		t.Errorf("got %v requested cores and capacity %+v of listed workers, want 0 of both",
			scheduler.loads.listedRequestedCores, scheduler.loads.listedCapacity)
	}
}
