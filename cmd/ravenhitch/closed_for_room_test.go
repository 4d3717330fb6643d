package main

// This file lets set-ups cross the close of a connection for room: the client sends such a
// set-up once more on a new connection, and it must be answered, and run once.

import (
	"testing"

	"ravenhitch/internal/testbed"
)

// A set-up that is written while its connection is being closed for another is not read
// there. Sent again on a new connection it is answered, and only one attempt comes of it,
// whether it crossed the close or came to a connection that was closed before.
func TestRequestCrossesEviction(t *testing.T) {
	for _, c := range []struct {
		name   string
		before bool // the set-up is written before the close, else after it
	}{
		{"written before the close", true},
		{"written after the close", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newServerWithSockets(t, 64, "a")
			crossing := w.connect(t)
			pingServer(t, crossing)
			for range maxClients - 1 {
				pingServer(t, w.connect(t))
			}
			rested := int64(0)
			w.onLoop(t, func() { rested = w.loop.Now() + 150_000 }) // any of them may be closed then
			w.waitUntil(t, "quiet clients", func() bool { return w.loop.Now() > rested })
			setUp := testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000)
			if c.before {
				here, on := make(chan bool), make(chan bool)
				w.loop.Post(func() {
					here <- true
					<-on
				})
				testbed.Wait(t, "the loop stands", here)
				asks := w.connect(t) // it is found first, and takes the place
				testbed.Send(crossing, setUp)
				on <- true
				pingServer(t, asks)
			} else {
				pingServer(t, w.connect(t))
				testbed.Send(crossing, setUp)
			}
			for l := range crossing.Lines { // until it is closed
				t.Errorf("on the closed connection: %v", l)
			}
			if n := w.workers[0].StartCount("ok-1"); n != 0 {
				t.Fatalf("it did not cross the close: offered %d times", n)
			}
			again := w.connect(t)
			testbed.Send(again, setUp)
			if l := testbed.Wait(t, "the answer", again.Lines); l.Verb != "STARTED" || l.Tag != testbed.RequestID(1) {
				t.Errorf("got %v", l)
			}
			pingServer(t, again) // by then a second answer would have come
			if n := w.workers[0].StartCount("ok-1"); n != 1 {
				t.Errorf("offered %d times", n)
			}
		})
	}
}
