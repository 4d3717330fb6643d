package main

// This file tests connections to workers that are refused, reset, silent or reused.

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"ravenhitch/internal/testbed"
)

// maxUnresponsive is how long a worker that refuses connections and is silent is taken to be alive.
const maxUnresponsive = 2 * time.Second

// A worker that refuses connections and is silent on those that it has is dead, and nobody else will
// report the completions of its tasks. One that only takes no further connections is alive: its tasks
// end by its own report.
func TestWorkersRefusingConnections(t *testing.T) {
	for _, test := range []struct {
		name      string
		play      func(t *testing.T, worker *testbed.Worker, trace *traceRecorder)
		wantCause int
	}{
		{"vanished", func(_ *testing.T, worker *testbed.Worker, _ *traceRecorder) { worker.BecomeUnreachable() }, causeLost},
		{"ended with a close and no reset", func(_ *testing.T, worker *testbed.Worker, _ *traceRecorder) { worker.CloseGracefully() }, causeLost},
		{"refusing connections, and alive", func(t *testing.T, worker *testbed.Worker, trace *traceRecorder) {
			worker.RefuseConnections()
			for limit := time.Now().Add(3 * testbed.Timeout); trace.closingFor() < 2*maxUnresponsive; time.Sleep(time.Millisecond) {
				if time.Now().After(limit) {
					t.Fatal("it was not dialled for long")
				}
			}
			worker.SendFinish(testbed.RequestID(1), causeDone)
		}, causeDone},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			trace := newTraceRecorder()
			server := startTestServer(t, serverOptions{log: slog.New(trace)}, "a")
			client := server.connect(t)
			testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
			if line := testbed.Wait(t, "the response", client.Lines); line.Verb != "STARTED" {
				t.Fatalf("got %v", line)
			}
			test.play(t, server.workers[0], trace)
			if line := testbed.Wait(t, "the completion", client.Lines); line.Tag != testbed.RequestID(1) || line.Cause() != test.wantCause {
				t.Errorf("got %v, expected %d", line, test.wantCause)
			}
		})
	}
}

// A refused connection proves that nothing ran, so even a task that must not start twice is offered to
// another worker.
func TestRefusedConnection(t *testing.T) {
	server := newTestServer(t)
	dead, alive := testbed.NewWorker(t, "dead"), testbed.NewWorker(t, "alive")
	dead.RefuseConnections()
	server.discovery.Add(true, dead.ListEntry("up"), alive.ListEntry("up"))
	server.discovery.WaitPolled(t)
	client := server.connect(t)
	for i := range 8 {
		task := fmt.Sprint("ok-", i)
		testbed.Send(client, testbed.StartLine(testbed.RequestID(i), "archive-cut", task, 5000))
		if line := testbed.Wait(t, "the response", client.Lines); line.Verb != "STARTED" || *line.Blob != "alive holds about "+task {
			t.Errorf("got %v", line)
		}
		if alive.StartCount(task) != 1 {
			t.Errorf("%s was started %d times", task, alive.StartCount(task))
		}
	}
	if n := server.counts(t).ConnectFailed; n == 0 {
		t.Error("the dead worker was never tried")
	}
}

// Where an attempt was abandoned and nothing came in since, the next goes out on a new connection: to a
// worker that was cut off, that one fails with proof that nothing ran.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	server := newTestServer(t, "a")
	client := server.connect(t)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	testbed.Wait(t, "the response", client.Lines)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(2), "guide-web", "silent-1", 5000))
	for _, what := range []string{"ok-1", "the first attempt", "the second attempt"} {
		testbed.Wait(t, what, server.workers[0].Starts)
	}
	if dials, _ := server.workers[0].DialCounts(); dials < 2 {
		t.Errorf("%d connections", dials)
	}
}

// Where tasks run and nothing comes in, the connection may be dead without a sign: another one is opened,
// on which the worker reports the completions.
func TestIdleConnectionIsVerified(t *testing.T) {
	server := newTestServer(t, "a")
	client := server.connect(t)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	testbed.Wait(t, "the response", client.Lines)
	worker := server.workers[0]
	worker.Forget()
	worker.End(testbed.RequestID(1), causeDone)
	expectCause(t, "the completion", client, testbed.RequestID(1), causeDone)
}

// A connection that breaks after the offer proves nothing: such a task is not offered again.
func TestResetAfterOffer(t *testing.T) {
	server := newTestServer(t, "a")
	client := server.connect(t)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "archive-cut", "reset-1", 5000))
	if line := testbed.Wait(t, "the response", client.Lines); line.Cause() == causeRejected || line.Verb != "FINISH" {
		t.Errorf("got %v", line)
	}
	if n := server.workers[0].StartCount("reset-1"); n != 1 {
		t.Errorf("offered %d times", n)
	}
}

// A worker whose process dies resets its connections and refuses new ones: its tasks are reported lost.
func TestDeadWorker(t *testing.T) {
	server := newTestServer(t, "a")
	client := server.connect(t)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	testbed.Wait(t, "the response", client.Lines)
	server.workers[0].Crash()
	expectCause(t, "the completion", client, testbed.RequestID(1), causeLost)
}

// A new worker at the address of a removed one is not taken for it.
func TestReusedWorkerAddress(t *testing.T) {
	server := newTestServer(t, "a")
	client := server.connect(t)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	testbed.Wait(t, "the response", client.Lines)
	removed := server.workers[0]
	successor := strings.Replace(removed.ListEntry("up"), `"a"`, `"b"`, 1)
	server.discovery.Add(false, removed.ListEntry("removed"), successor)
	server.discovery.WaitPolled(t)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(2), "guide-web", "ok-2", 5000))
	if line := testbed.Wait(t, "the response", client.Lines); line.Tag != testbed.RequestID(2) || line.Verb != "STARTED" {
		t.Errorf("got %v", line)
	}
	// What ran on the removed worker ends without a report of it.
	expectCause(t, "the completion", client, testbed.RequestID(1), causeLost)
	if running := server.runningTasks(t); running != 1 {
		t.Errorf("%d tasks run", running)
	}
}
