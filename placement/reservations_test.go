package placement

import (
	"fmt"
	"testing"
)

// TestWorkerIsReservedForHigherPriority checks that a worker is reserved for a pending task of high priority:
// the worker that lacks the least capacity for the task. Smaller tasks of much lower priority do not get this
// worker, and the pending task gets it once the worker has enough free capacity.
func TestWorkerIsReservedForHigherPriority(t *testing.T) {
	settings := testSettings()
	settings.Classes[8].Kind = -1 // class "large", with a weight of 3, on any kind
	tight := func(name string, free float64) Entry { return smallWorker(name, 0, free-16) }
	f := newFixture(t, settings, 1, tight("a", 1.5), tight("b", 0.75), tight("c", 0.75))
	if got := ofType[Place](f.handleAfter(ms, f.request("better", "large", 2, 2))); len(got) != 0 {
		t.Fatalf("got offers %v of a task that no worker has free capacity for, want none", got)
	}
	for i := range 2 {
		for _, a := range ofType[Place](f.handleAfter(ms, f.request(fmt.Sprint(i), "safe", 0.5, 0.5))) {
			if a.Worker == "a" {
				t.Errorf("task %d of low priority: got an offer to the reserved worker, want none", i)
			}
		}
	}
	f.wantPlaced(f.handleAfter(ms, WorkerList{Kind: ListDelta, Entries: []Entry{tight("a", 8)}}), "a")
}

// TestFirstByNameIsReserved checks that in a small fleet, if several workers are equal, the first of them
// by name is reserved for a pending task, because nothing else distinguishes them.
func TestFirstByNameIsReserved(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("c", 0, -20), smallWorker("b", 0, -16), smallWorker("a", 0, -16), smallWorker("d", 1, -16))
	task := f.syntheticTask(0)
	task.Cores, task.Memory = 8, 8
	if worker := f.scheduler.search.closestToFitting(task); worker == nil || worker.Worker != "a" {
		t.Errorf("closestToFitting returned %v, want worker a", worker)
	}
}
