package dispatch

import (
	"fmt"
	"slices"
	"testing"

	"ravenhitch/placement"
)

// startNext submits the request of a number, lets the worker to which it is offered accept it, and
// returns that worker.
func (h *harness) startNext(number int, keyPrefix string) (worker string) {
	h.t.Helper()
	id := fmt.Sprintf("%016x", number)
	h.mustSubmit(id, "web", keyPrefix+id, 3000)
	h.advance(10 * millisecond)
	worker = h.offered[id]
	if worker == "" {
		h.t.Fatalf("%s: no offer", id)
	}
	h.accept(id)
	return worker
}

// startNextSix does the same for six requests from a number on, and returns their workers.
func (h *harness) startNextSix(first int, keyPrefix string) (workers []string) {
	h.t.Helper()
	for number := first; number < first+6; number++ {
		workers = append(workers, h.startNext(number, keyPrefix))
	}
	return workers
}

// cordonedEvents are what may happen while worker a is cordoned.
var cordonedEvents = map[string]func(h *harness){
	"nothing":         func(*harness) {},
	"listed as ready": func(h *harness) { h.updateWorkers(placement.ListDelta, placement.Ready, "a") },
	"a complete list": func(h *harness) { h.updateWorkers(placement.ListFull, placement.Ready, "a", "b") },
	"removed and back": func(h *harness) {
		h.updateWorkers(placement.ListDelta, placement.Removed, "a")
		h.updateWorkers(placement.ListDelta, placement.Ready, "a")
	},
	"its death":           func(h *harness) { h.WorkerDied(h.now, "a"); h.running = map[string]string{} },
	"cordoned again":      func(h *harness) { h.SetCordoned(h.now, map[string]bool{"a": true}) },
	"another is cordoned": func(h *harness) { h.SetCordoned(h.now, map[string]bool{"a": true, "c": true}) },
}

// A cordoned worker gets nothing, whatever discovery lists meanwhile, and is used again as soon
// as it is uncordoned, though its process died with tasks of ours.
func TestCordoned(t *testing.T) {
	for name, happens := range cordonedEvents {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.updateWorkers(placement.ListFull, placement.Ready, "a", "b")
			h.advance(4000 * millisecond)
			h.startNextSix(0, "k"+name)
			if !h.HasWorker("a") || h.HasWorker("x") {
				t.Error("the wrong workers are known")
			}

			h.SetCordoned(h.now, map[string]bool{"a": true})
			happens(h)
			if workers := h.startNextSix(6, "k"+name); slices.Contains(workers, "a") {
				t.Errorf("an offer to a cordoned worker: %v", workers)
			}
			if listed, avoided := h.PoolSize(); listed != 2 || avoided != 1 {
				t.Errorf("%d listed, %d avoided", listed, avoided)
			}

			h.SetCordoned(h.now, nil)
			if worker := h.startNext(12, "k"+name); worker != "a" {
				t.Errorf("uncordoned, and the next task went to %s", worker)
			}
			if totals := h.ClassTotals()["web"]; totals.Started != 13 || totals.Rejected+totals.Failed != 0 {
				t.Errorf("%+v", totals)
			}
		})
	}
}

// One task shows that an uncordoned worker is in use again; the next go where they would.
func TestUncordoned(t *testing.T) {
	h := newHarness(t)
	h.updateWorkers(placement.ListFull, placement.Ready, "a")
	h.advance(4000 * millisecond)
	var workers string
	for number := range 10 {
		if number == 8 {
			h.updateWorkers(placement.ListDelta, placement.Ready, "b")
			h.advance(4000 * millisecond)
			h.SetCordoned(h.now, map[string]bool{"a": true})
			h.SetCordoned(h.now, nil)
		}
		workers += h.startNext(number, "k")
	}
	if workers != "aaaaaaaaab" {
		t.Errorf("placed at %s", workers)
	}

	// What a complete list left out meanwhile is not there to be uncordoned.
	h.SetCordoned(h.now, map[string]bool{"a": true})
	h.updateWorkers(placement.ListFull, placement.Ready, "b")
	if !h.HasWorker("a") {
		t.Error("a cordoned worker can't be uncordoned")
	}
	h.SetCordoned(h.now, nil)
	if listed, _ := h.PoolSize(); listed != 1 || h.HasWorker("a") {
		t.Errorf("%d listed", listed)
	}
}

// Tasks at a worker that is assigned to another orchestrator go on, and are released by their clients
// as before; nothing new goes there, and an offer that is open may leave.
func TestAssignedWorkers(t *testing.T) {
	h := newHarness(t)
	h.updateWorkers(placement.ListFull, placement.Ready, "a")
	h.advance(4000 * millisecond)
	h.mustStart("t1", 3000)
	h.mustSubmit("t2", "web", "k2", 9000)
	h.advance(10 * millisecond)

	h.updateWorkers(placement.ListDelta, placement.Ready, "b")
	h.SetAssignedWorkers(h.now, func(worker string) bool { return worker == "b" })
	if err := h.CheckOffer(h.now+8000*millisecond, "a", "t2"); err != nil { // longer than the drain limit
		t.Errorf("an open offer is held back: %v", err)
	}
	h.advance(0)
	h.accept("t2")
	for _, id := range []string{"t3", "t4", "t5"} {
		h.mustSubmit(id, "web", "k"+id, 3000)
		h.advance(10 * millisecond)
		if h.offered[id] != "b" {
			t.Errorf("%s went to %q", id, h.offered[id])
		}
		h.accept(id)
	}
	if tasks := h.TasksOn("a"); tasks.Count != 2 || !h.IsRunning("t1") || !h.HasWorker("a") {
		t.Errorf("%d tasks run at a worker that was assigned to another, want 2", tasks.Count)
	}
	if state := h.schedulerState("a"); state != placement.Foreign {
		t.Errorf("another orchestrator's worker is listed to the scheduler as %v", state)
	}
	h.updateWorkers(placement.ListDelta, placement.Draining, "a")
	if state := h.schedulerState("a"); state != placement.Draining {
		t.Errorf("a draining worker is listed to the scheduler as %v", state)
	}
}
