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
	for _, test := range []struct {
		name   string
		before bool // the set-up is written before the close, else after it
	}{
		{"written before the close", true},
		{"written after the close", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			server := newServerWithSockets(t, 64, "a")
			crossing := server.connect(t)
			pingServer(t, crossing)
			for range maxClients - 1 {
				pingServer(t, server.connect(t))
			}
			rested := int64(0)
			server.onLoop(t, func() { rested = server.loop.Now() + 150_000 }) // any of them may be closed then
			server.waitUntil(t, "quiet clients", func() bool { return server.loop.Now() > rested })
			setUp := testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000)
			if test.before {
				here, on := make(chan bool), make(chan bool)
				server.loop.Post(func() {
					here <- true
					<-on
				})
				testbed.Wait(t, "the loop stands", here)
				asks := server.connect(t) // it is found first, and takes the place
				testbed.Send(crossing, setUp)
				on <- true
				pingServer(t, asks)
			} else {
				pingServer(t, server.connect(t))
				testbed.Send(crossing, setUp)
			}
			for line := range crossing.Lines { // until it is closed
				t.Errorf("on the closed connection: %v", line)
			}
			if n := server.workers[0].StartCount("ok-1"); n != 0 {
				t.Fatalf("it did not cross the close: offered %d times", n)
			}
			again := server.connect(t)
			testbed.Send(again, setUp)
			if line := testbed.Wait(t, "the answer", again.Lines); line.Verb != "STARTED" || line.Tag != testbed.RequestID(1) {
				t.Errorf("got %v", line)
			}
			pingServer(t, again) // by then a second answer would have come
			if n := server.workers[0].StartCount("ok-1"); n != 1 {
				t.Errorf("offered %d times", n)
			}
		})
	}
}
