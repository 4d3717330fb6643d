package eventloop

import (
	"testing"
	"time"

	"ravenhitch/internal/testbed"
	"ravenhitch/internal/testbed/nettest"
)

// arrivalHandler reports the EarliestArrival of each message on a channel.
type arrivalHandler struct{ arrivals chan int64 }

func (*arrivalHandler) Opened(*Conn)        {}
func (*arrivalHandler) Closed(*Conn, error) {}
func (h *arrivalHandler) Data(c *Conn, b []byte) (int, error) {
	h.arrivals <- c.EarliestArrival()
	return len(b), nil
}

// TestEarliestArrival checks the earliest arrival time of a message in two cases. If the message waited in the socket
// during a long turn, the time is not later than the beginning of that turn. If the message arrived after a turn in
// which its connection was idle, the time is not earlier than that turn.
func TestEarliestArrival(t *testing.T) {
	loop, onLoop := startLoop(t, 8)
	handler := &arrivalHandler{make(chan int64, 10)}
	var addr string
	onLoop(func() {
		var err error
		if addr, err = loop.Listen("127.0.0.1:0", admitAll, func() Handler { return handler }); err != nil {
			t.Error(err)
		}
	})
	conn := nettest.Dial(t, addr)
	onLoop(func() {})
	write(t, conn, []byte("a"))
	testbed.Wait(t, "the first message", handler.arrivals)
	onLoop(func() {})

	var foundEmptyAt int64
	onLoop(func() { foundEmptyAt = loop.Clock() }) // an idle turn, which finds the connection empty
	onLoop(func() {})
	write(t, conn, []byte("b"))
	if at := testbed.Wait(t, "the second message", handler.arrivals); at < foundEmptyAt {
		t.Errorf("message on an idle connection: earliest arrival is %d us before the connection was found empty",
			foundEmptyAt-at)
	}

	var turnStartedAt int64
	onLoop(func() { // a long turn, at the beginning of which a message arrives
		turnStartedAt = loop.Clock()
		write(t, conn, []byte("c"))
		for loop.Clock() < turnStartedAt+20_000 {
		}
	})
	if at := testbed.Wait(t, "the third message", handler.arrivals); at > turnStartedAt {
		t.Errorf("message during a long turn: earliest arrival is %d us after the beginning of the turn", at-turnStartedAt)
	}
}

// TestLastSeenAt checks LastSeenAt of a connection. As long as data is left unread after a turn, LastSeenAt
// returns no time later than the write of the data. After all data is read, it returns a later time. An idle
// connection counts as completely read.
func TestLastSeenAt(t *testing.T) {
	const messageSize = 200 // in bytes; more than the 4 reads of 16 bytes of one turn
	loop, onLoop := startLoop(t, 10)
	local, remote := connectThree(t, loop, onLoop)
	reads := make(chan int, 100)
	onLoop(func() {
		loop.readBuffer = make([]byte, 16)
		local[0].handler = &testHandler{closed: make(chan error, 1), data: func(_ *Conn, b []byte) (int, error) {
			reads <- len(b)
			return len(b), nil
		}}
	})

	var writtenAt int64
	onLoop(func() { // data written in this turn is read from the next turn on
		writtenAt = loop.Clock()
		write(t, remote[0], make([]byte, messageSize))
		loop.Post(func() {
			if at := local[0].LastSeenAt(); at > writtenAt {
				t.Errorf("partly read connection: LastSeenAt is %d us after the write, want it not later", at-writtenAt)
			}
		})
	})
	for n := 0; n < messageSize; {
		n += testbed.Wait(t, "the rest of the message", reads)
	}

	var lastSeenAt int64
	onLoop(func() { lastSeenAt = local[0].LastSeenAt() })
	if lastSeenAt <= writtenAt {
		t.Errorf("completely read connection: LastSeenAt is %d us before the write, want it later", writtenAt-lastSeenAt)
	}
	onLoop(func() {
		if local[1].unreadPoll >= loop.polls.processedCount {
			t.Errorf("idle connection: unreadPoll is %d, want it below processedCount %d",
				local[1].unreadPoll, loop.polls.processedCount)
		}
	})
}

// pollUntil calls condition on the loop until it returns true, and reports whether it did within [testbed.Timeout].
func pollUntil(onLoop func(func()), condition func() bool) bool {
	met := false
	for limit := time.Now().Add(testbed.Timeout); !met && time.Now().Before(limit); time.Sleep(time.Millisecond) {
		onLoop(func() { met = condition() })
	}
	return met
}

// TestLastSeenAmongManyThatAreReady checks that LastSeenAt of an idle connection advances even if every poll
// finds more ready connections than it can report with a buffer of the initial size.
func TestLastSeenAmongManyThatAreReady(t *testing.T) {
	const pairs = initialEvents + 64
	loop, onLoop := startLoop(t, 3*pairs)
	var addr string
	onLoop(func() {
		var err error
		if addr, err = loop.Listen("127.0.0.1:0", admitAll, func() Handler { return newEchoHandler() }); err != nil {
			t.Error(err)
		}
	})
	idle, _ := connectThree(t, loop, onLoop)
	onLoop(func() {
		for range pairs { // on each connection, the two ends echo one byte back and forth
			c, err := loop.Dial(addr, dialTimeoutUs, newEchoHandler())
			if err != nil {
				t.Error(err)
				return
			}
			loop.After(500_000, func() { c.Write([]byte{1}) })
		}
	})
	connected := pollUntil(onLoop, func() bool {
		return loop.openDescriptors >= 2*pairs && loop.Now() > loop.startedAt.UnixMicro()+700_000
	})
	if !connected {
		t.Fatalf("connections were not established within %s", testbed.Timeout)
	}

	var since int64
	onLoop(func() { since = loop.Clock() })
	if !pollUntil(onLoop, func() bool { return idle[0].LastSeenAt() > since }) {
		t.Fatalf("LastSeenAt of an idle connection did not advance within %s", testbed.Timeout)
	}
}
