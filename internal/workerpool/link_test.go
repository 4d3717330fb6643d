package workerpool

import (
	"net"
	"testing"
	"time"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/jsonlines"
	"ravenhitch/placement"
)

// linkBench is a worker's listener, and the connections of an orchestrator to it.
type linkBench struct {
	t    *testing.T
	ln   net.Listener
	l    *eventloop.Loop
	n    *Pool
	core *dispatch.Dispatcher
}

func newLinkBench(t *testing.T) *linkBench {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	b := &linkBench{t: t, ln: ln}
	b.l, b.n, b.core = newNodes(t)
	t.Cleanup(b.l.Close)
	b.core.UpdateWorkers(b.l.Now(), placement.WorkerList{Kind: placement.ListFull, Entries: []placement.Entry{{Worker: "a", Kind: "std"}}})
	return b
}

// until runs the loop until a condition holds; once in a test.
func (b *linkBench) until(condition func() bool) {
	b.t.Helper()
	limit := b.l.After(10_000_000, b.l.Stop)
	met := false
	err := b.l.Run(func(now int64) {
		b.n.DeliverPending()
		b.core.Turn(now)
		if met = condition(); met {
			b.l.Stop()
		}
	})
	limit.Stop()
	if err != nil || !met {
		b.t.Fatalf("it did not come: %v", err)
	}
}

// stands hands in a task that stands at the worker.
func (b *linkBench) stands(tag string) {
	b.t.Helper()
	s := dispatch.Submission{RequestID: tag, Class: "cut", Key: "k" + tag, TimeoutUs: 1_000_000, Cores: 1, Memory: 1, RunningOn: "a"}
	if err := b.core.Submit(b.l.Now(), discard{}, s); err != nil {
		b.t.Fatal(err)
	}
}

// discard is an owner that reads nothing.
type discard struct{}

func (discard) Respond(dispatch.Response) {}

// later is a start of the worker's process after all that happened so far.
func (b *linkBench) later() int64 { return b.l.Now() + 60*time.Second.Microseconds() }

// A new start on the list ends what stood at a worker where no connection is older than it.
func TestListedStartEndsTasks(t *testing.T) {
	b := newLinkBench(t)
	b.n.UpdateWorker("a", b.ln.Addr().String(), true)
	b.n.WorkerStarted("a", 0)
	b.stands("t1")
	k := b.n.links["a"]
	b.until(func() bool { return k.conns[0].c.IsUp() })
	b.n.WorkerStarted("a", b.later())
	if !b.core.IsRunning("t1") {
		t.Fatal("a start on the list ended a task though a connection is there that was opened before it")
	}
	k.sweep(b.core.TasksOn("a"), b.l.Now())
	if !b.core.IsRunning("t1") {
		t.Fatal("the look at all workers ended it")
	}
	k.closeAll()
	k.sweep(b.core.TasksOn("a"), b.l.Now())
	if b.core.IsRunning("t1") {
		t.Error("the task stands on though no connection is left from before the start")
	}
	b.stands("t2")
	k.sweep(b.core.TasksOn("a"), b.l.Now())
	b.n.WorkerStarted("a", k.startedAt) // told again
	if !b.core.IsRunning("t2") {
		t.Error("one start was held against a task twice")
	}
}

// Connections are kept to the workers of this orchestrator, and to others while tasks stand there.
func TestConnectionsToOwnWorkers(t *testing.T) {
	b := newLinkBench(t)
	own := false
	b.n.SetAssigned(func(string) bool { return own })
	b.n.UpdateWorker("a", b.ln.Addr().String(), true)
	k := b.n.links["a"]
	k.sweep(b.core.TasksOn("a"), b.l.Now())
	if len(k.conns) != 0 {
		t.Fatal("a worker of another orchestrator was dialled for nothing")
	}
	b.stands("t1")
	k.sweep(b.core.TasksOn("a"), b.l.Now())
	if len(k.conns) != 1 {
		t.Fatal("a worker was not dialled where a task stands")
	}
	b.until(func() bool { return k.conns[0].c.IsUp() })
	k.sweep(b.core.TasksOn("a"), b.l.Now())
	if len(k.conns) != 1 {
		t.Fatal("the connection was closed under a task")
	}
	b.core.TaskEnded(b.l.Now(), "a", "t1", placement.Completed, 0)
	k.sweep(b.core.TasksOn("a"), b.l.Now())
	if len(k.conns) != 0 {
		t.Fatal("the connection to a worker of another orchestrator stays though nothing stands there")
	}
	own = true
	b.n.SetAssigned(func(string) bool { return own })
	if len(k.conns) != 1 {
		t.Error("a worker was not dialled as it came to this orchestrator")
	}
}

// What the system knows of a connection keeps it from being doubted, where that is set.
func TestQuietConnection(t *testing.T) {
	for _, after := range []time.Duration{0, 2 * time.Second} {
		b := newLinkBench(t)
		b.n.SetKeepAlive(after)
		b.n.UpdateWorker("a", b.ln.Addr().String(), true)
		nc := b.n.links["a"].conns[0]
		b.until(func() bool { return nc.c.IsUp() })
		if nc.quiet(b.l.Now() + maxQuiet) {
			t.Errorf("keepalive %s: quiet before its time", after)
		}
		if quiet := nc.quiet(b.l.Now() + maxQuiet + 1); quiet != (after == 0) {
			t.Errorf("keepalive %s: quiet %v", after, quiet)
		}
		nc.c.Close()
		if !nc.quiet(b.l.Now() + 60*time.Second.Microseconds()) {
			t.Errorf("keepalive %s: a connection without a sign is not doubted", after)
		}
	}
}

// A worker of another orchestrator where nothing stands is not dialled again after a failure, and what
// was released there and not heard of is forgotten in time.
func TestForeignWorkerIsLeftAlone(t *testing.T) {
	b := newLinkBench(t)
	b.n.SetAssigned(func(string) bool { return false })
	b.n.UpdateWorker("a", b.ln.Addr().String(), true)
	k := b.n.links["a"]
	k.unheard = map[string]int64{"t1": b.l.Now() - unheardFor - 1}
	k.later()
	over := false
	b.l.After(2*minRedial+sweepNodes, func() { over = true }) // behind the dial and a look at all workers
	b.until(func() bool { return over })
	if len(k.conns) != 0 || k.openedAt != 0 {
		t.Error("it was dialled")
	}
	if len(k.unheard) != 0 {
		t.Error("a release that nobody heard of is kept")
	}
}

// The end of a task that is not known yet is told once its client hands it in.
func TestEndAheadOfHandIn(t *testing.T) {
	b := newLinkBench(t)
	b.n.UpdateWorker("a", b.ln.Addr().String(), true)
	nc := b.n.links["a"].conns[0]
	nc.message(&jsonlines.Message{Verb: jsonlines.VerbFinish, Tag: "t1", RC: jsonlines.CauseGivenUp, HasRC: true})
	b.stands("t1")
	b.stands("t2")
	nc.message(&jsonlines.Message{Verb: jsonlines.VerbFinish, Tag: "t3", RC: jsonlines.CauseFull, HasRC: true}) // no task's end
	b.stands("t3")
	b.until(func() bool { return !b.core.IsRunning("t1") })
	if !b.core.IsRunning("t2") || !b.core.IsRunning("t3") {
		t.Error("another task was ended")
	}
}
