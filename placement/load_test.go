package placement

import (
	"fmt"
	"testing"
)

func TestPlacementsCountUntilViewShowsThem(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 20), smallWorker("b", 0, 18))
	f.wantPlaced(f.handleAfter(ms, f.request("1", "safe", 6, 6)), "a")
	worker := f.scheduler.fleet.workers["a"]
	if cores, _ := f.scheduler.loads.requested(worker); cores != 18 {
		t.Fatalf("got %v cores requested after the placement, want 18", cores)
	}
	// A view that arrives shortly after the placement cannot show it yet.
	f.handleAfter(100*ms, WorkerList{Kind: ListDelta, Entries: []Entry{smallWorker("a", 0, 20)}})
	if cores, _ := f.scheduler.loads.requested(worker); cores != 18 {
		t.Fatalf("got %v cores requested after an early view, want 18", cores)
	}
	f.handleAfter(5000*ms, WorkerList{Kind: ListDelta, Entries: []Entry{smallWorker("a", 0, 14)}})
	if cores, _ := f.scheduler.loads.requested(worker); cores != 18 {
		t.Fatalf("got %v cores requested once the view shows the placement, want 18 as it must not count twice", cores)
	}
}

func TestRejectionTakesPlacementBack(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 20))
	f.wantPlaced(f.handleAfter(ms, f.request("1", "safe", 2, 4)), "a")
	f.handleAfter(20*ms, AttemptEnded{RequestID: "1", Worker: "a", Outcome: Rejected, Cause: CauseQueue})
	cores, _ := f.scheduler.loads.requested(f.scheduler.fleet.workers["a"])
	if cores != 12 && cores != 14 { // 14 if the task was offered again at once
		t.Errorf("got %v cores requested after the rejection, want 12, or 14 with a new placement", cores)
	}
}

func TestRejectionForMemoryLeavesCores(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 20))
	f.handleAfter(ms, f.request("1", "safe", 2, 4))
	f.handleAfter(20*ms, AttemptEnded{RequestID: "1", Worker: "a", Outcome: Rejected, Cause: CauseMemory})
	cores, memory := f.scheduler.loads.requested(f.scheduler.fleet.workers["a"])
	if cores != 12 || memory+4 <= 64*1.5 {
		t.Errorf("got %v cores and %v memory requested, want 12 cores and memory above 92", cores, memory)
	}
}

func TestWithoutViewTasksSpreadAndMemoryIsBounded(t *testing.T) {
	settings := testSettings()
	settings.HasView = false
	f := newFixture(t, settings, 1, smallWorker("a", 0, 0), smallWorker("b", 0, 0), smallWorker("c", 1, 0))
	seen := map[string]int{}
	for i := range 3 * maxDeltas {
		request := f.request(fmt.Sprint(i), "safe", 1, 2)
		request.Program = 0
		for _, place := range ofType[Place](f.handleAfter(ms, request)) {
			seen[place.Worker]++
			f.handleAfter(0, Accepted{RequestID: place.RequestID, Worker: place.Worker, RTTUs: 900}, AttemptEnded{RequestID: place.RequestID, Worker: place.Worker, Outcome: Completed, Final: true})
		}
	}
	for _, worker := range f.scheduler.fleet.sorted {
		if seen[worker.Worker] < maxDeltas/2 || len(worker.deltas) > maxDeltas {
			t.Errorf("worker %s: got %d tasks and %d recorded changes, want at least %d tasks and at most %d changes",
				worker.Worker, seen[worker.Worker], len(worker.deltas), maxDeltas/2, maxDeltas)
		}
	}
}
