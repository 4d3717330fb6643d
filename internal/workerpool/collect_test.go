package workerpool

import (
	"testing"

	"ravenhitch/internal/testbed"
)

// earlierTask is the ID of a task of an earlier process. A client hands it over, which shows that there was such a process.
const earlierTask = "e1"

// newCollectionTest returns a linkTest in which an earlier process has placed a task at another worker.
func newCollectionTest(t *testing.T) *linkTest {
	t.Helper()
	lt := newLinkTest(t)
	lt.adoptAt(earlierTask, "other")
	return lt
}

// A worker that is assigned to another orchestrator may keep completions from the time before the restart. It is connected
// once, until it has answered.
func TestUnassignedWorkerIsCollected(t *testing.T) {
	for _, pingsAllowed := range []bool{true, false} {
		lt := newCollectionTest(t)
		lt.pool.pingsAllowed = pingsAllowed
		lt.pool.SetAssigned(func(string) bool { return false })
		lt.pool.UpdateWorker(workerName, testbed.NewWorker(t, workerName).Addr(), true)
		l := lt.pool.links[workerName]
		lt.pool.sweep()
		if len(l.conns) != 1 {
			t.Fatalf("pings %v: %d connections to a worker that may keep completions, want 1", pingsAllowed, len(l.conns))
		}
		lt.sweep(l)
		if len(l.conns) != 1 {
			t.Fatalf("pings %v: the connection was closed before the worker answered", pingsAllowed)
		}
		lt.runUntil(func() bool { return l.collected })
		lt.pool.sweep()
		if len(l.conns) != 0 {
			t.Errorf("pings %v: %d connections after the worker answered, want 0", pingsAllowed, len(l.conns))
		}
	}
}

// A worker that hangs has not sent what it keeps, and would send it on a connection that is closed here. Its connection stays
// open until another needs the descriptor, and the worker is connected again.
func TestHangingWorkerIsNotCollected(t *testing.T) {
	lt := newCollectionTest(t)
	lt.pool.SetAssigned(func(string) bool { return false })
	l := lt.listWorker() // the operating system accepts the connection, and no process reads it
	lt.pool.sweep()
	lt.runUntil(func() bool { return len(lt.pool.collection.late) == 1 })
	if l.collected {
		t.Fatal("a worker counts as collected although it has not answered")
	}
	lt.pool.sweep()
	if len(l.conns) != 1 || !l.conns[0].conn.IsUp() {
		t.Fatal("the connection to a hanging worker was closed although nothing needs its descriptor")
	}
	if !closeSpare(&lt.pool.collection.late) || len(l.conns) != 0 {
		t.Fatal("the connection to a hanging worker keeps its descriptor from another")
	}
	lt.pool.sweep()
	if len(l.conns) != 1 {
		t.Error("a worker that has not answered was not connected again")
	}
}

// A process that ends leaves the completions to the next one, and collects no more.
func TestCollectionEnds(t *testing.T) {
	lt := newCollectionTest(t)
	lt.listWorker()
	lt.pool.sweep()
	if !lt.pool.collection.active {
		t.Fatal("no collection after a task of an earlier process was handed over")
	}
	lt.pool.Retire()
	lt.pool.sweep()
	if lt.pool.collection.active || lt.pool.collection.timer.Pending() {
		t.Error("the collection goes on although the process ends")
	}
}

// adoptAt submits a task that is already running at a worker.
func (lt *linkTest) adoptAt(requestID, worker string) {
	lt.t.Helper()
	s := newSubmission()
	s.RequestID, s.RunningOn = requestID, worker
	if err := lt.dispatcher.Submit(lt.loop.Now(), discardingClient{}, s); err != nil {
		lt.t.Fatal(err)
	}
}
