package dispatch

import (
	"fmt"
	"testing"

	"ravenhitch/placement"
)

// handIn hands in a task that stands at a node.
func (b *bench) handIn(tag, node string) {
	b.stands[tag] = node
	s := Submission{RequestID: tag, Class: "web", Key: "k" + tag, TimeoutUs: 1000 * ms, Cores: 2, Memory: 4, RunningOn: node}
	if err := b.Submit(b.now, b, s); err != nil {
		b.t.Fatalf("%v", err)
	}
}

// overs are the tags whose ends were told.
func (b *bench) overs() (tags string) {
	for _, a := range b.told {
		if a.Kind == Completed {
			tags += a.RequestID + " "
		}
	}
	return tags
}

// A process that began after a task was offered, or handed in, does not run it: its end is told. What
// was offered since, or as good as then, stands on.
func TestNodeRestarted(t *testing.T) {
	b := newBench(t)
	b.list(placement.ListFull, placement.Ready, "a")
	place := func(tag string) {
		b.submit(tag, "web", "k"+tag, 5000)
		b.pass(10 * ms)
		b.started(tag)
	}
	place("offered")
	b.handIn("found", "a")
	place("released")
	b.Cancel(b.now, b, "released")
	delete(b.stands, "released")
	b.pass(5000 * ms)
	if !b.IsTerminating("released") {
		t.Fatal("the released task is not set aside")
	}
	place("justbefore")
	start := b.now + 500*ms
	b.pass(3000 * ms)
	place("after")
	b.WorkerRestarted(b.now, "other", start)
	if b.overs() != "" {
		t.Errorf("another node's start ended %q", b.overs())
	}
	b.WorkerRestarted(b.now, "a", start)
	if b.overs() != "found offered " || b.IsTerminating("released") {
		t.Errorf("ends told: %q, released task still held %v", b.overs(), b.IsTerminating("released"))
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
		b := newBench(t)
		b.list(placement.ListFull, placement.Ready, "a", "b")
		b.UnknownTaskEnded(b.now, c.node, "t1", c.status, 0)
		b.UnknownTaskEnded(b.now, "b", "t1", placement.Completed, 0) // the first word counts
		b.pass(c.after)
		b.handIn("t1", "a")
		b.handIn("t2", "a")
		b.pass(100 * ms)
		if told := b.overs() == "t1 "; told != (c.over && c.status != placement.Cancelled) || !b.IsRunning("t2") {
			t.Errorf("%s: told %q", name, b.overs())
		}
		if len(b.told) > 0 && b.told[0].Outcome != c.status {
			t.Errorf("%s: told as %v", name, b.told[0].Outcome)
		}
		if b.IsRunning("t1") == c.over {
			t.Errorf("%s: the task stands: %v", name, b.IsRunning("t1"))
		}
	}
}

// ClassTotals that nobody claims fill no memory.
func TestUnclaimedEndsAreBounded(t *testing.T) {
	b := newBench(t)
	for i := range 3 * unclaimedMost {
		b.UnknownTaskEnded(b.now, "a", fmt.Sprint("t", i), placement.Completed, 0)
	}
	u := &b.unclaimed
	if len(u.byTag) != unclaimedMost || len(u.tags) != unclaimedMost || u.tags[0] != fmt.Sprint("t", 2*unclaimedMost) {
		t.Errorf("%d ends, %d tags from %s on", len(u.byTag), len(u.tags), u.tags[0])
	}
	b.UnknownTaskEnded(b.now+unclaimedFor+1, "a", "last", placement.Completed, 0)
	if len(u.byTag) != 1 || len(u.tags) != 1 {
		t.Errorf("%d ends are left of what is too old", len(u.byTag)-1)
	}
}
