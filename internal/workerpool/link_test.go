package workerpool

import (
	"testing"
	"time"

	"ravenhitch/internal/jsonlines"
	"ravenhitch/placement"
)

// Given a task at a worker, a new start of the worker on the list ends the task once no connection is older than that
// start, and only once.
func TestListedStartEndsTasks(t *testing.T) {
	lt := newLinkTest(t)
	l := lt.listWorker()
	lt.pool.WorkerStarted(workerName, 0)
	lt.adopt("t1")
	lt.runUntil(func() bool { return l.conns[0].conn.IsUp() })

	lt.pool.WorkerStarted(workerName, lt.futureStart())
	if !lt.dispatcher.IsRunning("t1") {
		t.Fatal("a start on the list ended a task though a connection is up that was dialled before it")
	}
	lt.sweep(l)
	if !lt.dispatcher.IsRunning("t1") {
		t.Fatal("the sweep ended it")
	}

	l.closeAll(errAddressChanged)
	lt.sweep(l)
	if lt.dispatcher.IsRunning("t1") {
		t.Error("the task runs on though no connection is left from before the start")
	}

	lt.adopt("t2")
	lt.sweep(l)
	lt.pool.WorkerStarted(workerName, l.processStartedAt) // reported again
	if !lt.dispatcher.IsRunning("t2") {
		t.Error("one start ended tasks twice")
	}
}

// Connections are kept to the workers that are assigned to this orchestrator, and to others while tasks run there.
func TestConnectionsToAssignedWorkers(t *testing.T) {
	lt := newLinkTest(t)
	assigned := false
	lt.pool.SetAssigned(func(string) bool { return assigned })
	l := lt.listWorker()
	lt.sweep(l)
	if len(l.conns) != 0 {
		t.Fatal("a worker of another orchestrator was dialled for nothing")
	}

	lt.adopt("t1")
	lt.sweep(l)
	if len(l.conns) != 1 {
		t.Fatal("a worker was not dialled where a task runs")
	}

	lt.runUntil(func() bool { return l.conns[0].conn.IsUp() })
	lt.sweep(l)
	if len(l.conns) != 1 {
		t.Fatal("the connection was closed while a task runs")
	}

	lt.dispatcher.TaskEnded(lt.loop.Now(), workerName, "t1", placement.Completed, 0)
	lt.sweep(l)
	if len(l.conns) != 0 {
		t.Fatal("the connection to a worker of another orchestrator stays though no task runs there")
	}

	assigned = true
	lt.pool.SetAssigned(func(string) bool { return assigned })
	if len(l.conns) != 1 {
		t.Error("a worker was not dialled as it was assigned to this orchestrator")
	}
}

// Given TCP keepalive, a connection on which nothing comes in is not taken for dead while the system sees it alive.
func TestKeepAliveProvesConnectionAlive(t *testing.T) {
	for _, after := range []time.Duration{0, 2 * time.Second} {
		lt := newLinkTest(t)
		lt.pool.SetKeepAlive(after)
		c := lt.listWorker().conns[0]
		lt.runUntil(func() bool { return c.conn.IsUp() })
		if !c.checkAlive(lt.loop.Now() + maxReadGap) {
			t.Errorf("keepalive %s: taken for dead before its time", after)
		}
		if alive := c.checkAlive(lt.loop.Now() + maxReadGap + 1); alive != (after != 0) {
			t.Errorf("keepalive %s: known to be alive: %v", after, alive)
		}
		c.conn.Close()
		if c.checkAlive(lt.loop.Now() + time.Minute.Microseconds()) {
			t.Errorf("keepalive %s: a connection without a sign of life is taken for alive", after)
		}
	}
}

// Given a worker of another orchestrator where no task runs, it is not dialled again after a failure, and a release
// that it has not confirmed is forgotten in time.
func TestUnassignedWorkerIsNotRedialled(t *testing.T) {
	lt := newLinkTest(t)
	lt.pool.SetAssigned(func(string) bool { return false })
	l := lt.listWorker()
	l.releases = unconfirmedReleases{"t1": lt.loop.Now() - releaseRetention - 1}
	l.scheduleRedial()

	passed := false
	lt.loop.After(2*minRedialBackoff+sweepInterval, func() { passed = true }) // after the redial and a sweep
	lt.runUntil(func() bool { return passed })

	if len(l.conns) != 0 || l.openedAt != 0 {
		t.Error("it was dialled")
	}
	if len(l.releases) != 0 {
		t.Error("a release that was not confirmed is retained")
	}
}

// Given the completion of a task that is not known yet, it is reported once the task's client registers the task.
func TestCompletionBeforeRegistration(t *testing.T) {
	lt := newLinkTest(t)
	c := lt.listWorker().conns[0]
	completion := &jsonlines.Message{Verb: jsonlines.VerbFinish, Tag: "t1", RC: jsonlines.CodeEnded, HasRC: true}
	rejection := &jsonlines.Message{Verb: jsonlines.VerbFinish, Tag: "t3", RC: jsonlines.CodeRejected, HasRC: true}

	c.handleMessage(completion)
	lt.adopt("t1")
	lt.adopt("t2")
	c.handleMessage(rejection) // no completion of a task
	lt.adopt("t3")

	lt.runUntil(func() bool { return !lt.dispatcher.IsRunning("t1") })
	if !lt.dispatcher.IsRunning("t2") || !lt.dispatcher.IsRunning("t3") {
		t.Error("another task was ended")
	}
}
