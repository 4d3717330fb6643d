package dispatch

import (
	"fmt"
	"slices"
	"testing"

	"ravenhitch/placement"
)

// startNext submits a request whose ID and key are derived from number. The worker that receives the offer accepts
// it. startNext returns this worker.
func (h *harness) startNext(number int, keyPrefix string) (worker string) {
	h.t.Helper()
	id := fmt.Sprintf("%016x", number)
	h.mustSubmit(id, "web", keyPrefix+id, 3000)
	h.advance(10 * millisecond)
	worker = h.offered[id]
	if worker == "" {
		h.t.Fatalf("request %s: no offer", id)
	}
	h.accept(id)
	return worker
}

// startNextSix calls startNext for six consecutive numbers, starting with the given one, and returns the workers
// in order.
func (h *harness) startNextSix(first int, keyPrefix string) (workers []string) {
	h.t.Helper()
	for number := first; number < first+6; number++ {
		workers = append(workers, h.startNext(number, keyPrefix))
	}
	return workers
}

// cordonedEvents are events that may happen while worker a is cordoned.
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

// A cordoned worker gets no offers, whatever discovery lists, and is used again as soon as it is uncordoned,
// even if its process died while it ran tasks of this orchestrator.
func TestCordoned(t *testing.T) {
	for name, event := range cordonedEvents {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.updateWorkers(placement.ListFull, placement.Ready, "a", "b")
			h.advance(4000 * millisecond)
			h.startNextSix(0, "k"+name)
			if !h.HasWorker("a") || h.HasWorker("x") {
				t.Error("HasWorker is false for the listed worker a or true for the unknown worker x")
			}

			h.SetCordoned(h.now, map[string]bool{"a": true})
			event(h)
			if workers := h.startNextSix(6, "k"+name); slices.Contains(workers, "a") {
				t.Errorf("tasks were placed at %v, want none at the cordoned worker a", workers)
			}
			if listed, avoided := h.PoolSize(); listed != 2 || avoided != 1 {
				t.Errorf("PoolSize returned %d listed and %d avoided workers, want 2 and 1", listed, avoided)
			}

			h.SetCordoned(h.now, nil)
			if worker := h.startNext(12, "k"+name); worker != "a" {
				t.Errorf("first task after the uncordoning was placed at %s, want a", worker)
			}
			if totals := h.ClassTotals()["web"]; totals.Started != 13 || totals.Rejected+totals.Failed != 0 {
				t.Errorf("totals of class web %+v, want 13 started and no others", totals)
			}
		})
	}
}

// The first task after an uncordoning goes to the uncordoned worker, which shows that it is used again. Later
// tasks are placed as usual.
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
		t.Errorf("tasks were placed at workers %s, want aaaaaaaaab", workers)
	}

	// HasWorker is true for a cordoned worker that is missing from a complete list, until it is uncordoned.
	h.SetCordoned(h.now, map[string]bool{"a": true})
	h.updateWorkers(placement.ListFull, placement.Ready, "b")
	if !h.HasWorker("a") {
		t.Error("HasWorker is false for a cordoned worker that is not listed, so it can't be uncordoned; want true")
	}
	h.SetCordoned(h.now, nil)
	if listed, _ := h.PoolSize(); listed != 1 || h.HasWorker("a") {
		t.Errorf("after a was uncordoned: PoolSize returned %d listed workers, want 1, and HasWorker false for a", listed)
	}
}

// Tasks on a worker that is assigned to another orchestrator continue. The worker gets no new offers, but an
// earlier offer that still waits to be sent may be sent.
func TestAssignedWorkers(t *testing.T) {
	h := newHarness(t)
	h.updateWorkers(placement.ListFull, placement.Ready, "a")
	h.advance(4000 * millisecond)
	h.mustStart("t1", 3000)
	h.mustSubmit("t2", "web", "k2", 9000)
	h.advance(10 * millisecond)

	h.updateWorkers(placement.ListDelta, placement.Ready, "b")
	h.SetAssignedWorkers(h.now, func(worker string) bool { return worker == "b" })
	// The check uses a time after the drain limit. A draining worker would no longer get the offer
	// then.
	if err := h.CheckOffer(h.now+8000*millisecond, "a", "t2"); err != nil {
		t.Errorf("CheckOffer of an open offer: %v, want nil", err)
	}
	h.advance(0)
	h.accept("t2")
	for _, id := range []string{"t3", "t4", "t5"} {
		h.mustSubmit(id, "web", "k"+id, 3000)
		h.advance(10 * millisecond)
		if h.offered[id] != "b" {
			t.Errorf("request %s was offered to %q, want b", id, h.offered[id])
		}
		h.accept(id)
	}
	if tasks := h.TasksOn("a"); tasks.Count != 2 || !h.IsRunning("t1") || !h.HasWorker("a") {
		t.Errorf("tasks on foreign worker a: %d; want 2, with t1 running and HasWorker true", tasks.Count)
	}
	if state := h.schedulerState("a"); state != placement.Foreign {
		t.Errorf("another orchestrator's worker is listed to the scheduler as %v, want Foreign", state)
	}
	h.updateWorkers(placement.ListDelta, placement.Draining, "a")
	if state := h.schedulerState("a"); state != placement.Draining {
		t.Errorf("a draining worker is listed to the scheduler as %v, want Draining", state)
	}
}
