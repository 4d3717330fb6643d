package main

// This file tests connections to workers that are refused, reset or silent, and reused addresses of workers.

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"ravenhitch/internal/testbed"
)

// deadAfterRefused is the time after which the worker pool considers a worker dead if the worker refuses
// connections and sends nothing on its open connections. It equals the constant of the same name in package
// workerpool.
const deadAfterRefused = 2 * time.Second

// The server considers a worker dead if the worker refuses connections and is silent on its open connections.
// It then reports the worker's tasks lost, because the worker will never report their completions. A worker that
// only refuses new connections is alive, and its tasks end when it reports their completions.
func TestWorkersRefusingConnections(t *testing.T) {
	for _, test := range []struct {
		name        string
		injectFault func(t *testing.T, worker *testbed.Worker, trace *traceRecorder)
		wantCause   int
	}{
		{"unreachable", func(_ *testing.T, worker *testbed.Worker, _ *traceRecorder) { worker.BecomeUnreachable() }, codeLost},
		{"ended with a close and no reset", func(_ *testing.T, worker *testbed.Worker, _ *traceRecorder) { worker.CloseGracefully() }, codeLost},
		{"refusing connections, and alive", func(t *testing.T, worker *testbed.Worker, trace *traceRecorder) {
			worker.RefuseConnections()
			for limit := time.Now().Add(3 * testbed.Timeout); trace.closingDuration() < 2*deadAfterRefused; time.Sleep(time.Millisecond) {
				if time.Now().After(limit) {
					t.Fatal("the server did not keep dialling the worker for twice deadAfterRefused")
				}
			}
			worker.SendFinish(testbed.RequestID(1), codeDone)
		}, codeDone},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			trace := newTraceRecorder()
			server := startTestServer(t, serverOptions{log: slog.New(trace)}, "a")
			client := server.connect(t)
			testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
			if line := testbed.Wait(t, "the response", client.Lines); line.Verb != "STARTED" {
				t.Fatalf("response: got %v, want STARTED", line)
			}
			test.injectFault(t, server.workers[0], trace)
			if line := testbed.Wait(t, "the completion", client.Lines); line.Tag != testbed.RequestID(1) || line.Code() != test.wantCause {
				t.Errorf("completion of request 1: got %v, want code %d", line, test.wantCause)
			}
		})
	}
}

// A refused connection proves that the offer never reached the worker, so even a task that must not start twice is
// offered to another worker.
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
			t.Errorf("response: got %v, want STARTED from worker alive", line)
		}
		if alive.OfferCount(task) != 1 {
			t.Errorf("task %s: offered to worker alive %d times, want 1", task, alive.OfferCount(task))
		}
	}
	if n := server.counts(t).ConnectFailed; n == 0 {
		t.Error("got no failed connection, want at least one attempt at worker dead")
	}
}

// An attempt was abandoned and the worker has sent nothing since the offer. The attempt of the next request is therefore
// offered on a new connection. If the worker is partitioned, the new connection fails, which proves that the
// next attempt never ran.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	server := newTestServer(t, "a")
	client := server.connect(t)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	testbed.Wait(t, "the response", client.Lines)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(2), "guide-web", "silent-1", 5000))
	expectCode(t, "the response after the abandoned attempt", client, testbed.RequestID(2), codeRejected)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(3), "guide-web", "ok-2", 5000))
	for _, what := range []string{"ok-1", "the abandoned attempt", "ok-2"} {
		testbed.Wait(t, what, server.workers[0].Offers)
	}
	if dials, _ := server.workers[0].DialCounts(); dials < 2 {
		t.Errorf("got %d connections to the worker, want at least 2", dials)
	}
}

// While tasks run on a worker and the worker sends nothing, its connection may be dead without an error. The server
// therefore opens another connection, on which the worker reports the completions.
func TestIdleConnectionIsVerified(t *testing.T) {
	server := newTestServer(t, "a")
	client := server.connect(t)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	testbed.Wait(t, "the response", client.Lines)
	worker := server.workers[0]
	worker.ForgetConnections()
	worker.ReportCompletion(testbed.RequestID(1), codeDone)
	expectCode(t, "the completion", client, testbed.RequestID(1), codeDone)
}

// If the connection is reset after the offer was sent, the task may have run. A task that must not start
// twice is therefore not offered again.
func TestResetAfterOffer(t *testing.T) {
	server := newTestServer(t, "a")
	client := server.connect(t)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "archive-cut", "reset-1", 5000))
	if line := testbed.Wait(t, "the response", client.Lines); line.Code() == codeRejected || line.Verb != "FINISH" {
		t.Errorf("response: got %v, want FINISH with a code other than a rejection", line)
	}
	if n := server.workers[0].OfferCount("reset-1"); n != 1 {
		t.Errorf("the task was offered %d times, want 1", n)
	}
}

// If the process of a worker dies, its connections are reset and new connections are refused. The server then reports
// the worker's tasks lost.
func TestDeadWorker(t *testing.T) {
	server := newTestServer(t, "a")
	client := server.connect(t)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	testbed.Wait(t, "the response", client.Lines)
	server.workers[0].Crash()
	expectCode(t, "the completion", client, testbed.RequestID(1), codeLost)
}

// A new worker at the address of a removed worker is a different worker: the tasks of the removed worker are lost.
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
		t.Errorf("response: got %v, want STARTED for request 2", line)
	}
	// The task on the removed worker ends although no worker has reported its completion.
	expectCode(t, "the completion", client, testbed.RequestID(1), codeLost)
	if running := server.runningTasks(t); running != 1 {
		t.Errorf("got %d running tasks, want 1", running)
	}
}
