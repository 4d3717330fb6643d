package workerpool

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"testing"

	"ravenhitch/internal/jsonlines"
	"ravenhitch/internal/testbed"
	"ravenhitch/internal/testbed/nettest"
)

// runningTask is the request ID of a task that runs at the worker in these tests.
const runningTask = "00000000000000aa"

// completionTest is a pool with a link to a worker, at which a task runs.
type completionTest struct {
	*linkTest
	link      *link
	worker    net.Conn    // the worker's side of the connection
	condition func() bool // what waitFor waits for, checked in each turn; nil if it does not wait
	met       chan bool   // receives a value when condition holds
}

func newCompletionTest(t *testing.T) *completionTest {
	t.Helper()
	lt := &linkTest{t: t, listener: nettest.Listen(t)}
	lt.loop, lt.pool, lt.dispatcher = newPool(t)
	lt.dispatcher.UpdateWorkers(lt.loop.Now(), fullList())
	ct := &completionTest{linkTest: lt, link: lt.listWorker(), met: make(chan bool, 1)}
	stop := startLoop(t, lt.loop, func(int64) {
		lt.pool.DeliverPending()
		if ct.condition != nil && ct.condition() {
			ct.condition = nil
			ct.met <- true
		}
	})
	t.Cleanup(stop)
	ct.worker = nettest.Accept(t, lt.listener)
	ct.waitFor("the connection", func() bool { return len(ct.link.conns) == 1 && ct.link.conns[0].established })
	onLoop(lt.loop, func() { lt.adopt(runningTask) })
	return ct
}

// waitFor waits until a condition holds at the end of a turn.
func (ct *completionTest) waitFor(what string, condition func() bool) {
	ct.t.Helper()
	onLoop(ct.loop, func() { ct.condition = condition })
	testbed.Wait(ct.t, what, ct.met)
}

func (ct *completionTest) waitTaskEnded() {
	ct.t.Helper()
	ct.waitFor("the end of the task", func() bool { return !ct.dispatcher.Contains(runningTask) })
}

// offer makes an offer on the connection.
func (ct *completionTest) offer() {
	submission := newSubmission()
	if err := ct.dispatcher.Submit(ct.loop.Now(), discardingClient{}, submission); err != nil {
		ct.t.Error(err)
	}
	ct.pool.Offer(workerName, offerOf(submission))
}

func completionLine() testbed.Line {
	return testbed.CodeLine(jsonlines.VerbFinish, runningTask, jsonlines.CodeEnded)
}

// scriptedWorker is the worker's side of a connection, on which a test reads the messages one by one.
type scriptedWorker struct {
	t       *testing.T
	scanner *bufio.Scanner
}

// expect reads the next message from the orchestrator and checks its verb.
func (w *scriptedWorker) expect(verb string) {
	w.t.Helper()
	if !w.scanner.Scan() {
		w.t.Fatalf("got the end of the connection (error %v), want %s", w.scanner.Err(), verb)
	}
	var line testbed.Line
	if err := json.Unmarshal(w.scanner.Bytes(), &line); err != nil || line.Verb != verb {
		w.t.Fatalf("got message %q (error %v), want %s", w.scanner.Text(), err, verb)
	}
}

// expectEnd reads to the end of the connection.
func (ct *completionTest) expectEnd(conn net.Conn) {
	ct.t.Helper()
	if _, err := io.Copy(io.Discard, conn); err != nil {
		ct.t.Errorf("got error %v, want the end of the connection", err)
	}
}

// A completion crosses the cancel of an offer that was sent just before. The connection must not be aborted.
func TestCompletionCrossesCancelOfNewOffer(t *testing.T) {
	ct := newCompletionTest(t)
	worker := &scriptedWorker{t, bufio.NewScanner(ct.worker)}
	onLoop(ct.loop, ct.offer)
	worker.expect(jsonlines.VerbStart)
	onLoop(ct.loop, func() { ct.pool.CancelAttempt(workerName, requestID, true) })
	testbed.Send(ct.worker, completionLine())
	worker.expect(jsonlines.VerbFinish)
	ct.waitTaskEnded()
}

// A connection is aborted while a completion is in its receive buffer.
func TestCompletionReadBeforeAbort(t *testing.T) {
	ct := newCompletionTest(t)
	onLoop(ct.loop, ct.offer)
	worker := &scriptedWorker{t, bufio.NewScanner(ct.worker)}
	worker.expect(jsonlines.VerbStart)
	onLoop(ct.loop, func() {
		c := ct.link.conns[0]
		offer := c.openOffers[requestID]
		offer.writtenAt -= confirmationTimeout
		c.lastReadAt = offer.offeredAt - 1
		testbed.Send(ct.worker, completionLine())
		ct.pool.CancelAttempt(workerName, requestID, true)
		if !c.conn.IsClosed() {
			t.Error("the connection is open, want it to be aborted")
		}
	})
	ct.waitTaskEnded()
}

// A worker sends a completion before it notices that its connection was closed.
func TestCompletionCrossesClose(t *testing.T) {
	t.Run("idle connection", func(t *testing.T) {
		ct := newCompletionTest(t)
		onLoop(ct.loop, func() { ct.link.conns[0].close(errIdle) })
		ct.expectEnd(ct.worker)
		testbed.Send(ct.worker, completionLine())
		ct.waitTaskEnded()
	})
	t.Run("connection for late completions", func(t *testing.T) {
		ct := newCompletionTest(t)
		onLoop(ct.loop, func() {
			now := ct.loop.Now()
			ct.link.lostUnnoticedAt, ct.link.openedAt = now, now-lateCompletionInterval
			ct.sweep(ct.link)
		})
		late := nettest.Accept(t, ct.listener)
		ct.expectEnd(late)
		testbed.Send(late, completionLine())
		ct.waitTaskEnded()
	})
}

// After a connection was ended without reading it to its end, a worker has crossingTime to notice. Only a connection
// that was dialled later receives the completions that the worker repeats.
func TestConnectionAfterCrossing(t *testing.T) {
	lt := newLinkTest(t)
	l := lt.listWorker()
	lt.adopt(runningTask)
	tasks := lt.dispatcher.TasksOn(workerName)
	l.listedAt -= inheritedTime
	l.crossed()
	at := l.crossedAt
	if l.expectsLateCompletions(tasks, at) {
		t.Error("a connection for late completions is due at once, want it to be due after crossingTime")
	}
	l.opened(at)
	if !l.expectsLateCompletions(tasks, at+crossingTime) {
		t.Error("no connection for late completions is due after one that was dialled at the crossing, want one")
	}
	l.opened(at + crossingTime)
	if l.expectsLateCompletions(tasks, at+crossingTime) {
		t.Error("a connection for late completions is due after one that was dialled after crossingTime, want none")
	}
}

// An earlier process may have ended while the path to a worker was cut. For inheritedTime, the worker may report the
// completions of adopted tasks on a connection of that process, and repeat them only on one that is opened later.
func TestConnectionAfterAdoption(t *testing.T) {
	lt := newLinkTest(t)
	l := lt.listWorker()
	lt.adopt(runningTask)
	tasks, at := lt.dispatcher.TasksOn(workerName), l.listedAt
	l.openedAt = at
	for _, test := range []struct {
		after int64
		want  bool
	}{{lateCompletionInterval - 1, false}, {lateCompletionInterval, true}, {inheritedTime, false}} {
		if got := l.expectsLateCompletions(tasks, at+test.after); got != test.want {
			t.Errorf("%d us after the start: a connection for late completions is due: %v, want %v", test.after, got, test.want)
		}
	}
}

// A worker that never closes its side must not keep a lingering connection open.
func TestLingeringConnectionIsClosed(t *testing.T) {
	ct := newCompletionTest(t)
	var c *workerConn
	onLoop(ct.loop, func() {
		c = ct.link.conns[0]
		c.close(errIdle)
		if c.conn.IsClosed() {
			t.Error("the connection is closed at once, want it to linger")
		}
	})
	ct.waitFor("the close", func() bool { return c.conn.IsClosed() })
}

// After a connection ended without the worker noticing, a connection for late completions is due within the second in which
// a client must be notified, again and again.
func TestConnectionAfterUnnoticedLoss(t *testing.T) {
	lt := newLinkTest(t)
	l := lt.listWorker()
	lt.adopt(runningTask)
	tasks, at := lt.dispatcher.TasksOn(workerName), lt.loop.Now()
	l.listedAt -= inheritedTime
	l.lostUnnoticedAt, l.openedAt = at, at
	for _, test := range []struct {
		after int64
		want  bool
	}{{unnoticedInterval - 1, false}, {unnoticedInterval, true}, {second, true}} {
		if got := l.expectsLateCompletions(tasks, at+test.after); got != test.want {
			t.Errorf("%d us after a connection was opened: a connection for late completions is due: %v, want %v", test.after, got, test.want)
		}
	}
}

// This side closes a connection on which nothing came for a while. Unless the worker closes its side too, it may not have
// noticed.
func TestWorkerClosesAfterNoticingEnd(t *testing.T) {
	for _, closes := range []bool{true, false} {
		ct := newCompletionTest(t)
		var c *workerConn
		onLoop(ct.loop, func() {
			c = ct.link.conns[0]
			c.lastReadAt -= staleAfter + 1
			c.close(errSuperseded)
		})
		if closes {
			testbed.CloseQuietly(ct.worker)
		}
		ct.waitFor("the end of the connection", func() bool { return c.conn.IsClosed() })
		onLoop(ct.loop, func() {
			if noticed := ct.link.lostUnnoticedAt == 0; noticed != closes {
				t.Errorf("the worker closes: %v; counted as noticed: %v", closes, noticed)
			}
		})
	}
}
