package placement

import (
	"fmt"
	"math"
	"testing"
)

// TestRemovedWorkersAreForgotten has nothing left of removed workers.
func TestRemovedWorkersAreForgotten(t *testing.T) {
	f := largeFleet(t, 100, levelled)
	for i := range 30 {
		f.startTask(fmt.Sprint(i))
	}
	removed := WorkerList{Kind: ListDelta}
	for _, worker := range f.scheduler.fleet.sorted {
		entry := worker.Entry
		entry.State = Removed
		removed.Entries = append(removed.Entries, entry)
	}
	f.at(ms, removed)
	for requestID, task := range f.scheduler.requests.tasks {
		f.at(0, AttemptEnded{RequestID: requestID, Attempt: len(task.attempts) - 1, Outcome: Completed, Final: true})
	}
	f.at(ms, WorkerList{Kind: ListDelta})
	f.scheduler.fleet.refresh()
	scheduler := f.scheduler
	if left := len(scheduler.fleet.sorted) + len(scheduler.fleet.workers) + len(scheduler.fleet.unlisted) + len(scheduler.residents.workers) + len(scheduler.affinity.preferred) + countEntries(scheduler); left != 0 {
		t.Errorf("left: %d workers by name, %d unlisted, %d programs, %d preferred, %d entries",
			len(scheduler.fleet.sorted), len(scheduler.fleet.unlisted), len(scheduler.residents.workers), len(scheduler.affinity.preferred), countEntries(scheduler))
	}
	if scheduler.loads.listedRequestedCores != 0 && math.Abs(scheduler.loads.listedRequestedCores) > 1e-9 || scheduler.loads.listedCapacity != (fractions{}) {
		t.Errorf("left: %v cores requested of %+v", scheduler.loads.listedRequestedCores, scheduler.loads.listedCapacity)
	}
}
