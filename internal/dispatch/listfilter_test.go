package dispatch

import (
	"testing"

	"ravenhitch/placement"
)

// A minion that is out by hand gets nothing, whatever the channel lists meanwhile, and
// is used again as soon as it is back, though its process died with tasks of ours.
func TestByHand(t *testing.T) {
	for name, meanwhile := range map[string]func(b *harness){
		"nothing":         func(*harness) {},
		"listed up":       func(b *harness) { b.updateWorkers(placement.ListDelta, placement.Ready, "a") },
		"a complete list": func(b *harness) { b.updateWorkers(placement.ListFull, placement.Ready, "a", "b") },
		"gone and back": func(b *harness) {
			b.updateWorkers(placement.ListDelta, placement.Removed, "a")
			b.updateWorkers(placement.ListDelta, placement.Ready, "a")
		},
		"its death":      func(b *harness) { b.WorkerDied(b.now, "a"); b.running = map[string]string{} },
		"out once more":  func(b *harness) { b.SetCordoned(b.now, map[string]bool{"a": true}) },
		"another is out": func(b *harness) { b.SetCordoned(b.now, map[string]bool{"a": true, "c": true}) },
	} {
		b := newHarness(t)
		b.updateWorkers(placement.ListFull, placement.Ready, "a", "b")
		b.advance(4000 * ms)
		n := 0
		offer := func(key string) string {
			n++
			tag := "00000000000000" + string(rune('a'+n/16)) + "0123456789abcdef"[n%16:n%16+1]
			if err := b.submit(tag, "web", key, 3000); err != nil {
				t.Fatal(err)
			}
			b.advance(10 * ms)
			node := b.offered[tag]
			if node == "" {
				t.Fatalf("%s: no offer", name)
			}
			b.accept(tag)
			return node
		}
		for range 6 {
			offer("k" + name + string(rune('a'+n)))
		}
		if !b.HasWorker("a") || b.HasWorker("x") {
			t.Errorf("%s: the wrong minions are known", name)
		}
		b.SetCordoned(b.now, map[string]bool{"a": true})
		meanwhile(b)
		for range 6 {
			if node := offer("k" + name + string(rune('a'+n))); node == "a" {
				t.Errorf("%s: an offer to a minion out by hand", name)
			}
		}
		if listed, avoided := b.PoolSize(); listed != 2 || avoided != 1 {
			t.Errorf("%s: %d listed, %d avoided", name, listed, avoided)
		}
		b.SetCordoned(b.now, nil)
		if node := offer("k" + name + string(rune('a'+n))); node != "a" {
			t.Errorf("%s: put back, and the next task went to %s", name, node)
		}
		if e := b.ClassTotals()["web"]; e.Started != 13 || e.Rejected+e.Failed != 0 {
			t.Errorf("%s: %+v", name, e)
		}
	}
}

// One task shows that a minion is in use again; the next go where they would. What a
// complete list left out meanwhile is not there to be put back.
func TestPutBack(t *testing.T) {
	b := newHarness(t)
	b.updateWorkers(placement.ListFull, placement.Ready, "a")
	b.advance(4000 * ms)
	var got string
	for n := range 10 {
		tag := "000000000000000" + string(rune('0'+n))
		if n == 8 {
			b.updateWorkers(placement.ListDelta, placement.Ready, "b")
			b.advance(4000 * ms)
			b.SetCordoned(b.now, map[string]bool{"a": true})
			b.SetCordoned(b.now, nil)
		}
		if err := b.submit(tag, "web", "k"+tag, 3000); err != nil {
			t.Fatal(err)
		}
		b.advance(10 * ms)
		got += b.offered[tag]
		b.accept(tag)
	}
	if got != "aaaaaaaaab" {
		t.Errorf("placed at %s", got)
	}
	b.SetCordoned(b.now, map[string]bool{"a": true})
	b.updateWorkers(placement.ListFull, placement.Ready, "b")
	if !b.HasWorker("a") {
		t.Error("who is out can't be put back")
	}
	b.SetCordoned(b.now, nil)
	if listed, _ := b.PoolSize(); listed != 1 || b.HasWorker("a") {
		t.Errorf("%d listed", listed)
	}
}

// What stands at a node that another orchestrator takes over stays, and is ended by its client as
// before; nothing new goes there, and an offer that is out may leave.
func TestOwnNodes(t *testing.T) {
	b := newHarness(t)
	b.updateWorkers(placement.ListFull, placement.Ready, "a")
	b.advance(4000 * ms)
	b.submit("t1", "web", "k1", 3000)
	b.advance(10 * ms)
	b.accept("t1")
	b.submit("t2", "web", "k2", 9000)
	b.advance(10 * ms)
	b.updateWorkers(placement.ListDelta, placement.Ready, "b")
	b.SetAssignedWorkers(b.now, func(node string) bool { return node == "b" })
	if err := b.CheckOffer(b.now+8000*ms, "a", "t2"); err != nil { // 2 s are what one that drains has
		t.Errorf("an offer that is out is held back: %v", err)
	}
	b.advance(0)
	b.accept("t2")
	for i, tag := range []string{"t3", "t4", "t5"} {
		b.submit(tag, "web", "k"+tag, 3000)
		b.advance(10 * ms)
		if b.offered[tag] != "b" {
			t.Errorf("task %d went to %q", i, b.offered[tag])
		}
		b.accept(tag)
	}
	if h := b.TasksOn("a"); h.Count != 2 || !b.IsRunning("t1") || !b.HasWorker("a") {
		t.Errorf("%d tasks stand at a node that changed hands, expected 2", h.Count)
	}
	if state := b.schedulerState("a"); state != placement.Foreign {
		t.Errorf("another orchestrator's node is told to the module as %v", state)
	}
	b.updateWorkers(placement.ListDelta, placement.Draining, "a")
	if state := b.schedulerState("a"); state != placement.Draining {
		t.Errorf("a node that drains is told to the module as %v", state)
	}
}

// schedulerState is the state in which a node would be told to the module.
func (b *harness) schedulerState(node string) placement.WorkerState {
	return b.listFilter.adjust(b.listFilter.listed[node]).State
}
