package main

// This file fills the table of clients' connections with clients that never read or never
// ask, and lets tasks of a true client end meanwhile.

import (
	"fmt"
	"testing"

	"ravenhitch/internal/testbed"
)

// tableSize is how many clients' connections newWorldLimited(t, 64, ...) holds.
const tableSize = 24

// quiet waits until the clients have been quiet for longer than their places are kept.
func (w *world) quiet(t *testing.T) {
	t.Helper()
	since := int64(0)
	w.on(t, func() { since = w.l.Now() })
	w.until(t, "a quiet client", func() bool { return w.l.Now() > since+1_100_000 })
}

// queued connects so many clients at once, while the loop stands: all are new to it.
func (w *world) queued(t *testing.T, count int) (bad []*testbed.Client) {
	t.Helper()
	here, on := make(chan bool), make(chan bool)
	w.l.Post(func() {
		here <- true
		<-on
	})
	testbed.Wait(t, "the loop stands", here)
	for range count {
		bad = append(bad, w.owner(t))
	}
	on <- true
	return bad
}

// The end of a task reaches its client although the table is full of others: new ones do not
// take the places of the last clients that are known to have tasks.
func TestEndInAFullTable(t *testing.T) {
	for _, c := range []struct {
		name string
		say  func(t *testing.T, w *world, i int, bad *testbed.Client)
	}{
		{"of clients that never ask", func(*testing.T, *world, int, *testbed.Client) {}},
		{"of clients that ask what can't be used, and never read", func(_ *testing.T, _ *world, i int, bad *testbed.Client) {
			testbed.Send(bad, testbed.StartLine(testbed.RequestID(100+i), "no-such-class", "ok-bad", 5000))
		}},
		{"of clients half of which wait for an answer, and never read", func(_ *testing.T, _ *world, i int, bad *testbed.Client) {
			if i >= tableSize/2 {
				return
			}
			testbed.Send(bad, testbed.StartLine(testbed.RequestID(100+i), "archive-cut", fmt.Sprint("silent-", i), 8000))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newWorldLimited(t, 64, "a")
			client := w.owner(t)
			testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
			if l := testbed.Wait(t, "the answer", client.Lines); l.Verb != "STARTED" {
				t.Fatalf("got %v", l)
			}
			w.quiet(t)
			for i, bad := range w.queued(t, 2*tableSize) {
				c.say(t, w, i, bad)
			}
			w.until(t, "a full table", func() bool { return w.l.HasQueuedConnections() || w.front.Connections() == tableSize })
			w.on(t, func() {}) // and a turn in which some wait
			w.minions[0].End(testbed.RequestID(1), 16)
			if l := testbed.Wait(t, "the end", client.Lines); l.Tag != testbed.RequestID(1) || l.Cause() != 16 {
				t.Errorf("got %v", l)
			}
		})
	}
}

// An end whose client is away does not go to whoever has said something, while the client
// may come back: it is told to the first that tests, or that has tasks.
func TestEndIsNotToldToAnybody(t *testing.T) {
	w := newWorldLimited(t, 64, "a")
	client := w.owner(t)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	if l := testbed.Wait(t, "the answer", client.Lines); l.Verb != "STARTED" {
		t.Fatalf("got %v", l)
	}
	client.Close()
	w.until(t, "no client", func() bool { return w.front.Connections() == 0 })
	bad := w.queued(t, tableSize)
	for i, o := range bad {
		testbed.Send(o, testbed.StartLine(testbed.RequestID(100+i), "no-such-class", "ok-bad", 5000))
		if l := testbed.Wait(t, "the error", o.Lines); l.Cause() != 47 {
			t.Fatalf("got %v", l)
		}
	}
	w.minions[0].End(testbed.RequestID(1), 16)
	w.until(t, "the end here", func() bool { return w.c.RunningCount() == 0 })
	again := w.owner(t)
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
