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
	for _, c := range []struct {
		name string
		say  func(t *testing.T, w *testServer, i int, bad *testbed.Client)
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
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newServerWithSockets(t, 64, "a")
			client := w.connect(t)
			testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
			if l := testbed.Wait(t, "the answer", client.Lines); l.Verb != "STARTED" {
				t.Fatalf("got %v", l)
			}
			w.waitIdle(t)
			for i, bad := range w.connectWhilePaused(t, 2*maxClients) {
				c.say(t, w, i, bad)
			}
			w.waitUntil(t, "a full table", func() bool { return w.loop.HasQueuedConnections() || w.clientFront.Connections() == maxClients })
			w.onLoop(t, func() {}) // and a turn in which some wait
			w.workers[0].End(testbed.RequestID(1), 16)
			if l := testbed.Wait(t, "the end", client.Lines); l.Tag != testbed.RequestID(1) || l.Cause() != 16 {
				t.Errorf("got %v", l)
			}
		})
	}
}

// An end whose client is away does not go to whoever has said something, while the client
// may come back: it is told to the first that tests, or that has tasks.
func TestCompletionNotReportedToStrangers(t *testing.T) {
	w := newServerWithSockets(t, 64, "a")
	client := w.connect(t)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	if l := testbed.Wait(t, "the answer", client.Lines); l.Verb != "STARTED" {
		t.Fatalf("got %v", l)
	}
	client.Close()
	w.waitUntil(t, "no client", func() bool { return w.clientFront.Connections() == 0 })
	bad := w.connectWhilePaused(t, maxClients)
	for i, o := range bad {
		testbed.Send(o, testbed.StartLine(testbed.RequestID(100+i), "no-such-class", "ok-bad", 5000))
		if l := testbed.Wait(t, "the error", o.Lines); l.Cause() != 47 {
			t.Fatalf("got %v", l)
		}
	}
	w.workers[0].End(testbed.RequestID(1), 16)
	w.waitUntil(t, "the end here", func() bool { return w.dispatcher.RunningCount() == 0 })
	again := w.connect(t)
	testbed.Send(again, testbed.Line{Verb: "ECHO", Tag: "t", Opts: map[string]string{}})
	if l := testbed.Wait(t, "the end", again.Lines); l.Tag != testbed.RequestID(1) || l.Cause() != 16 {
		t.Errorf("got %v", l)
	}
	for _, o := range bad {
		select {
		case l, ok := <-o.Lines:
			if ok {
				t.Errorf("another got %v", l)
			}
		default:
		}
	}
}
