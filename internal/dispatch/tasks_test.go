package dispatch

import (
	"testing"

	"ravenhitch/placement"
)

// A process that began after a task was offered, or adopted, does not run it: its completion is
// reported. What was offered since, or as good as then, runs on.
func TestWorkerRestarted(t *testing.T) {
	h := newHarness(t)
	h.updateWorkers(placement.ListFull, placement.Ready, "a")
	h.mustStart("offered", 5000)
	h.adopt("adopted", "a")
	h.mustStart("released", 5000)
	h.Cancel(h.now, h, "released")
	delete(h.running, "released")
	h.advance(5000 * millisecond)
	if !h.IsTerminating("released") {
		t.Fatal("the released task is not unresponsive")
	}
	h.mustStart("justbefore", 5000)
	start := h.now + 500*millisecond
	h.advance(3000 * millisecond)
	h.mustStart("after", 5000)

	h.WorkerRestarted(h.now, "other", start)
	if h.completions() != "" {
		t.Errorf("another worker's start ended %q", h.completions())
	}
	h.WorkerRestarted(h.now, "a", start)
	if h.completions() != "adopted offered " || h.IsTerminating("released") {
		t.Errorf("completions: %q, released task is still terminating: %v", h.completions(), h.IsTerminating("released"))
	}
	if !h.IsRunning("justbefore") || !h.IsRunning("after") || h.TasksOn("a").Count != 2 {
		t.Errorf("%d tasks run, want 2", h.TasksOn("a").Count)
	}
}
