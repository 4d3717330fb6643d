package dispatch

import (
	"fmt"
	"testing"

	"ravenhitch/placement"
)

// adopt hands in a task that stands at a node.
func (b *harness) adopt(tag, node string) {
	b.running[tag] = node
	s := Submission{RequestID: tag, Class: "web", Key: "k" + tag, TimeoutUs: 1000 * ms, Cores: 2, Memory: 4, RunningOn: node}
	if err := b.Submit(b.now, b, s); err != nil {
		b.t.Fatalf("%v", err)
	}
}

// completions are the tags whose ends were told.
func (b *harness) completions() (tags string) {
	for _, a := range b.received {
		if a.Kind == Completed {
			tags += a.RequestID + " "
		}
	}
	return tags
}

// A process that began after a task was offered, or handed in, does not run it: its end is told. What
// was offered since, or as good as then, stands on.
func TestNodeRestarted(t *testing.T) {
	b := newHarness(t)
	b.updateWorkers(placement.ListFull, placement.Ready, "a")
	place := func(tag string) {
		b.submit(tag, "web", "k"+tag, 5000)
		b.advance(10 * ms)
		b.accept(tag)
	}
	place("offered")
	b.adopt("found", "a")
	place("released")
	b.Cancel(b.now, b, "released")
	delete(b.running, "released")
	b.advance(5000 * ms)
	if !b.IsTerminating("released") {
		t.Fatal("the released task is not set aside")
	}
	place("justbefore")
	start := b.now + 500*ms
	b.advance(3000 * ms)
	place("after")
	b.WorkerRestarted(b.now, "other", start)
	if b.completions() != "" {
		t.Errorf("another node's start ended %q", b.completions())
	}
	b.WorkerRestarted(b.now, "a", start)
	if b.completions() != "found offered " || b.IsTerminating("released") {
		t.Errorf("ends told: %q, released task still held %v", b.completions(), b.IsTerminating("released"))
	}
	if !b.IsRunning("justbefore") || !b.IsRunning("after") || b.TasksOn("a").Count != 2 {
		t.Errorf("%d tasks stand, expected 2", b.TasksOn("a").Count)
	}
}

// An end that a node told before the task was handed in is told to its client, but where the client
// itself asked for it.
func TestEndBeforeHandIn(t *testing.T) {
	for name, c := range map[string]struct {
		node   string
		status placement.Outcome
		after  int64
		over   bool
	}{
		"it ended":               {"a", placement.Completed, 0, true},
		"it was cut":             {"a", placement.Reset, 1000 * ms, true},
		"it was cancelled":       {"a", placement.Cancelled, 59_000 * ms, true},
		"long ago":               {"a", placement.Completed, 61_000 * ms, false},
		"at another node":        {"b", placement.Completed, 0, false},
		"an attempt that failed": {"a", placement.Failed, 0, false},
	} {
		b := newHarness(t)
		b.updateWorkers(placement.ListFull, placement.Ready, "a", "b")
		b.UnknownTaskEnded(b.now, c.node, "t1", c.status, 0)
		b.UnknownTaskEnded(b.now, "b", "t1", placement.Completed, 0) // the first word counts
		b.advance(c.after)
		b.adopt("t1", "a")
		b.adopt("t2", "a")
		b.advance(100 * ms)
		if told := b.completions() == "t1 "; told != (c.over && c.status != placement.Cancelled) || !b.IsRunning("t2") {
			t.Errorf("%s: told %q", name, b.completions())
		}
		if len(b.received) > 0 && b.received[0].Outcome != c.status {
			t.Errorf("%s: told as %v", name, b.received[0].Outcome)
		}
		if b.IsRunning("t1") == c.over {
			t.Errorf("%s: the task stands: %v", name, b.IsRunning("t1"))
		}
	}
}

// ClassTotals that nobody claims fill no memory.
func TestUnclaimedEndsAreBounded(t *testing.T) {
	b := newHarness(t)
	for i := range 3 * maxUnclaimed {
		b.UnknownTaskEnded(b.now, "a", fmt.Sprint("t", i), placement.Completed, 0)
	}
	u := &b.unclaimed
	if len(u.byRequestID) != maxUnclaimed || len(u.order) != maxUnclaimed || u.order[0] != fmt.Sprint("t", 2*maxUnclaimed) {
		t.Errorf("%d ends, %d tags from %s on", len(u.byRequestID), len(u.order), u.order[0])
	}
	b.UnknownTaskEnded(b.now+unclaimedRetention+1, "a", "last", placement.Completed, 0)
	if len(u.byRequestID) != 1 || len(u.order) != 1 {
		t.Errorf("%d ends are left of what is too old", len(u.byRequestID)-1)
	}
}
