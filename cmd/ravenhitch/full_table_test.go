package main

// This file fills the table of clients' connections with clients that never read or never
// ask, and lets tasks of a true client end meanwhile.

import (
	"fmt"
	"testing"

	"ravenhitch/internal/testbed"
)

// maxClients is how many clients' connections newServerWithSockets(t, 64, ...) holds.
const maxClients = 24

// waitIdle waits until the clients have been quiet for longer than their places are kept.
func (w *testServer) waitIdle(t *testing.T) {
	t.Helper()
	since := int64(0)
	w.onLoop(t, func() { since = w.loop.Now() })
	w.waitUntil(t, "a quiet client", func() bool { return w.loop.Now() > since+1_100_000 })
}

// connectWhilePaused connects so many clients at once, while the loop stands: all are new to it.
func (w *testServer) connectWhilePaused(t *testing.T, count int) (bad []*testbed.Client) {
	t.Helper()
	here, on := make(chan bool), make(chan bool)
	w.loop.Post(func() {
		here <- true
		<-on
	})
	testbed.Wait(t, "the loop stands", here)
	for range count {
		bad = append(bad, w.connect(t))
	}
	on <- true
	return bad
}

// The end of a task reaches its client although the table is full of others: new ones do not
// take the places of the last clients that are known to have tasks.
func TestCompletionWithFullConnectionTable(t *testing.T) {
	for _, test := range []struct {
		name string
		say  func(t *testing.T, server *testServer, i int, bad *testbed.Client)
	}{
		{"of clients that never ask", func(*testing.T, *testServer, int, *testbed.Client) {}},
		{"of clients that ask what can't be used, and never read", func(_ *testing.T, _ *testServer, i int, bad *testbed.Client) {
			testbed.Send(bad, testbed.StartLine(testbed.RequestID(100+i), "no-such-class", "ok-bad", 5000))
		}},
		{"of clients half of which wait for an answer, and never read", func(_ *testing.T, _ *testServer, i int, bad *testbed.Client) {
			if i >= maxClients/2 {
				return
			}
			testbed.Send(bad, testbed.StartLine(testbed.RequestID(100+i), "archive-cut", fmt.Sprint("silent-", i), 8000))
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			server := newServerWithSockets(t, 64, "a")
			client := server.connect(t)
			testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
			if line := testbed.Wait(t, "the answer", client.Lines); line.Verb != "STARTED" {
				t.Fatalf("got %v", line)
			}
			server.waitIdle(t)
			for i, bad := range server.connectWhilePaused(t, 2*maxClients) {
				test.say(t, server, i, bad)
			}
			server.waitUntil(t, "a full table", func() bool { return server.loop.HasQueuedConnections() || server.clientFront.Connections() == maxClients })
			server.onLoop(t, func() {}) // and a turn in which some wait
			server.workers[0].End(testbed.RequestID(1), 16)
			if line := testbed.Wait(t, "the end", client.Lines); line.Tag != testbed.RequestID(1) || line.Cause() != 16 {
				t.Errorf("got %v", line)
			}
		})
	}
}

// An end whose client is away does not go to whoever has said something, while the client
// may come back: it is told to the first that tests, or that has tasks.
func TestCompletionNotReportedToStrangers(t *testing.T) {
	server := newServerWithSockets(t, 64, "a")
	client := server.connect(t)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	if line := testbed.Wait(t, "the answer", client.Lines); line.Verb != "STARTED" {
		t.Fatalf("got %v", line)
	}
	client.Close()
	server.waitUntil(t, "no client", func() bool { return server.clientFront.Connections() == 0 })
	bad := server.connectWhilePaused(t, maxClients)
	for i, client := range bad {
		testbed.Send(client, testbed.StartLine(testbed.RequestID(100+i), "no-such-class", "ok-bad", 5000))
		if line := testbed.Wait(t, "the error", client.Lines); line.Cause() != 47 {
			t.Fatalf("got %v", line)
		}
	}
	server.workers[0].End(testbed.RequestID(1), 16)
	server.waitUntil(t, "the end here", func() bool { return server.dispatcher.RunningCount() == 0 })
	again := server.connect(t)
	testbed.Send(again, testbed.Line{Verb: "ECHO", Tag: "t", Opts: map[string]string{}})
	if line := testbed.Wait(t, "the end", again.Lines); line.Tag != testbed.RequestID(1) || line.Cause() != 16 {
		t.Errorf("got %v", line)
	}
	for _, client := range bad {
		select {
		case line, ok := <-client.Lines:
			if ok {
				t.Errorf("another got %v", line)
			}
		default:
		}
	}
}
