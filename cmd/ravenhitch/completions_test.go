package main

// This file tests to which client the completion of a task is reported.

import (
	"fmt"
	"strings"
	"testing"

	"ravenhitch/internal/testbed"
)

// A client that submits a running task again gets nothing of it: the completion goes to the client that
// submitted it first, and where that one has left to one that a task was started for.
func TestCompletionGoesToItsClient(t *testing.T) {
	server := newTestServer(t, "a")
	first, served, second := server.connect(t), server.connect(t), server.connect(t)
	for i := 1; i <= 2; i++ {
		testbed.Send(first, adoptedLine(testbed.RequestID(i), "a"))
	}
	pingServer(t, first)
	testbed.Send(served, testbed.StartLine(testbed.RequestID(3), "guide-web", "ok-3", 5000))
	if line := testbed.Wait(t, "the response", served.Lines); line.Verb != "STARTED" {
		t.Fatalf("got %v", line)
	}
	for i := 1; i <= 2; i++ {
		testbed.Send(second, adoptedLine(testbed.RequestID(i), "a"))
	}
	testbed.Send(second, adoptedLine(testbed.RequestID(4), "a")) // one that no other client has
	pingServer(t, second)

	server.workers[0].End(testbed.RequestID(1), causeDone)
	expectCause(t, "the completion", first, testbed.RequestID(1), causeDone)

	closeNow(t, first)
	server.waitConnections(t, 2)
	server.workers[0].End(testbed.RequestID(2), causeDone)
	expectCause(t, "the second completion", served, testbed.RequestID(2), causeDone)

	for range 9 { // clients that only ping
		pingServer(t, server.connect(t))
	}
	closeNow(t, served)
	server.waitConnections(t, 10)
	server.workers[0].End(testbed.RequestID(3), causeDone)
	expectCause(t, "the third completion", second, testbed.RequestID(3), causeDone)
}

// A task belongs to no connection: its completion goes to another client's connection, or to the next one
// that comes.
func TestCompletionGoesToAnotherClient(t *testing.T) {
	server := newTestServer(t, "a")
	first := server.connect(t)
	for i, task := range []string{"ok-1", "ok-2"} {
		testbed.Send(first, testbed.StartLine(testbed.RequestID(i+1), "guide-web", task, 5000))
		if line := testbed.Wait(t, task, first.Lines); line.Verb != "STARTED" || *line.Blob != "a holds about "+task {
			t.Fatalf("%s got %v", task, line)
		}
	}
	second := server.connect(t)
	testbed.Send(second, pingLine("t"))
	if line := testbed.Wait(t, "the answer to a ping", second.Lines); line.Verb != "ECHOED" || line.Cause() != 1 || line.Tag != "t" {
		t.Errorf("the ping got %v", line)
	}

	closeNow(t, first)
	server.waitConnections(t, 1)
	server.workers[0].End(testbed.RequestID(1), causeDone)
	expectCause(t, "the first completion", second, testbed.RequestID(1), causeDone)

	closeNow(t, second)
	server.waitConnections(t, 0)
	server.workers[0].End(testbed.RequestID(2), causeLost)
	server.waitUntil(t, "the completion here", func() bool { return server.dispatcher.RunningCount() == 0 })
	// One that only connects may be anybody: the completion waits for one that sends something.
	silent, third := server.connect(t), server.connect(t)
	testbed.Send(third, pingLine("t"))
	expectCause(t, "the second completion", third, testbed.RequestID(2), causeLost)
	for line := range silent.Lines { // closed after a while
		t.Errorf("the silent one got %v", line)
	}
}

// A completion that found no client waits for one that is known to be a client, while others come that may
// be anybody; where only those come, it goes to one of them in time.
func TestCompletionWaitsForAClient(t *testing.T) {
	invalid := testbed.StartLine(testbed.RequestID(2), "no-such-class", "ok-2", 5000)
	for _, test := range []struct {
		name  string
		sends []testbed.Line // by the client that gets the completion
		// before is what that client gets first, where no other is connected.
		before []string
	}{
		{"a task is started for it", []testbed.Line{testbed.StartLine(testbed.RequestID(3), "guide-web", "ok-3", 5000)}, nil},
		{"it registers a running task", []testbed.Line{adoptedLine(testbed.RequestID(4), "a"), invalid}, nil},
		{"it pings, as the platform does", []testbed.Line{pingLine("t")}, nil},
		{"no known client comes", []testbed.Line{invalid}, []string{"FINISH"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			server := newTestServer(t, "a")
			first := server.connect(t)
			testbed.Send(first, adoptedLine(testbed.RequestID(1), "a"))
			testbed.Send(first, adoptedLine(testbed.RequestID(5), "a"))
			pingServer(t, first)
			closeNow(t, first)
			server.waitConnections(t, 0)
			server.workers[0].End(testbed.RequestID(1), causeDone)
			server.waitUntil(t, "the completion here", func() bool { return server.dispatcher.RunningCount() == 1 })

			stranger := server.connect(t)
			testbed.Send(stranger, adoptedLine(testbed.RequestID(5), "a")) // which it may know by chance
			testbed.Send(stranger, invalid)
			if line := testbed.Wait(t, "the error", stranger.Lines); line.Tag != testbed.RequestID(2) || line.Cause() != causeFailed {
				t.Fatalf("got %v", line)
			}
			if len(test.before) > 0 {
				closeNow(t, stranger)
				server.waitConnections(t, 0)
			}

			client := server.connect(t)
			for _, line := range test.sends {
				testbed.Send(client, line)
			}
			for _, verb := range test.before {
				if line := testbed.Wait(t, "what comes before", client.Lines); line.Verb != verb || line.Tag == testbed.RequestID(1) {
					t.Fatalf("got %v", line)
				}
			}
			expectCause(t, "the completion", client, testbed.RequestID(1), causeDone)
		})
	}
}

// A task may complete before its worker reports its start: the worker reports both in one message, and so
// both are reported to the client, of whatever class, and nothing is sent again.
func TestCompletionWithStart(t *testing.T) {
	server := newTestServer(t, "a", "b")
	client := server.connect(t)
	for i, class := range []string{"guide-web", "archive-cut"} {
		task := "brief-" + class
		testbed.Send(client, testbed.StartLine(testbed.RequestID(i+1), class, task, 5000))
		line := testbed.Wait(t, "the response", client.Lines)
		if line.Verb != "STARTED" || line.Tag != testbed.RequestID(i+1) || !strings.HasSuffix(*line.Blob, " held about "+task) {
			t.Fatalf("%s got %v", task, line)
		}
		line = testbed.Wait(t, "the completion", client.Lines)
		if line.Verb != "FINISH" || line.Tag != testbed.RequestID(i+1) || line.Cause() != causeDone {
			t.Errorf("%s got %v", task, line)
		}
		if n := server.workers[0].StartCount(task) + server.workers[1].StartCount(task); n != 1 {
			t.Errorf("%s was offered %d times", task, n)
		}
	}
	if n := server.runningTasks(t); n != 0 {
		t.Errorf("%d tasks run", n)
	}
}

// An adopted task needs no response, and its completion is reported; its client's release reaches the
// worker.
func TestAdoptedTasks(t *testing.T) {
	server := newTestServer(t, "a")
	client := server.connect(t)
	for i := range 2 {
		line := testbed.StartLine(testbed.RequestID(i+1), "guide-web", "ok-1", 5000)
		line.Opts["extras"] += ";at:a"
		testbed.Send(client, line)
	}
	server.waitUntil(t, "both run", func() bool { return server.dispatcher.RunningCount() == 2 })
	server.workers[0].End(testbed.RequestID(1), causeDone)
	expectCause(t, "the completion", client, testbed.RequestID(1), causeDone)
	testbed.Send(client, cancelLine(testbed.RequestID(2)))
	if line := testbed.Wait(t, "the release", server.workers[0].Ends); line.Tag != testbed.RequestID(2) {
		t.Errorf("the worker got %v", line)
	}
	if len(server.workers[0].Starts) != 0 {
		t.Error("a running task was offered")
	}
}

// The completion of a task reaches its client although the table of connections is full of others: new
// ones do not evict the last clients that are known to have tasks.
func TestCompletionWithFullConnectionTable(t *testing.T) {
	for _, test := range []struct {
		name string
		send func(i int, stranger *testbed.Client)
	}{
		{"of clients that never submit", func(int, *testbed.Client) {}},
		{"of clients that submit what is invalid, and never read", func(i int, stranger *testbed.Client) {
			testbed.Send(stranger, testbed.StartLine(testbed.RequestID(100+i), "no-such-class", "ok-bad", 5000))
		}},
		{"of clients half of which wait for a response, and never read", func(i int, stranger *testbed.Client) {
			if i >= maxClients/2 {
				return
			}
			testbed.Send(stranger, testbed.StartLine(testbed.RequestID(100+i), "archive-cut", fmt.Sprint("silent-", i), 8000))
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			server := newSmallServer(t, "a")
			client := server.connect(t)
			testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
			if line := testbed.Wait(t, "the response", client.Lines); line.Verb != "STARTED" {
				t.Fatalf("got %v", line)
			}
			server.waitIdle(t)
			for i, stranger := range server.connectWhilePaused(t, 2*maxClients) {
				test.send(i, stranger)
			}
			server.waitUntil(t, "a full table", func() bool {
				return server.loop.HasQueuedConnections() || server.clientFront.Connections() == maxClients
			})
			server.onLoop(t, func() {}) // and a turn in which some wait
			server.workers[0].End(testbed.RequestID(1), causeDone)
			if line := testbed.Wait(t, "the completion", client.Lines); line.Tag != testbed.RequestID(1) || line.Cause() != causeDone {
				t.Errorf("got %v", line)
			}
		})
	}
}

// A completion whose client is away does not go to whoever has sent something, while the client may come
// back: it is reported to the first that pings, or that has tasks.
func TestCompletionNotReportedToStrangers(t *testing.T) {
	server := newSmallServer(t, "a")
	client := server.connect(t)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	if line := testbed.Wait(t, "the response", client.Lines); line.Verb != "STARTED" {
		t.Fatalf("got %v", line)
	}
	closeNow(t, client)
	server.waitConnections(t, 0)
	strangers := server.connectWhilePaused(t, maxClients)
	for i, stranger := range strangers {
		testbed.Send(stranger, testbed.StartLine(testbed.RequestID(100+i), "no-such-class", "ok-bad", 5000))
		if line := testbed.Wait(t, "the error", stranger.Lines); line.Cause() != causeFailed {
			t.Fatalf("got %v", line)
		}
	}
	server.workers[0].End(testbed.RequestID(1), causeDone)
	server.waitUntil(t, "the completion here", func() bool { return server.dispatcher.RunningCount() == 0 })
	again := server.connect(t)
	testbed.Send(again, pingLine("t"))
	if line := testbed.Wait(t, "the completion", again.Lines); line.Tag != testbed.RequestID(1) || line.Cause() != causeDone {
		t.Errorf("got %v", line)
	}
	for _, stranger := range strangers {
		select {
		case line, ok := <-stranger.Lines:
			if ok {
				t.Errorf("another got %v", line)
			}
		default:
		}
	}
}
