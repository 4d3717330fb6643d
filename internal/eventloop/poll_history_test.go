package eventloop

import (
	"testing"
	"time"

	"ravenhitch/internal/testbed"
	"ravenhitch/internal/testbed/nettest"
)

// arrivalHandler reports for each message when it came in at the earliest.
type arrivalHandler struct{ arrivals chan int64 }

func (*arrivalHandler) Opened(*Conn)        {}
func (*arrivalHandler) Closed(*Conn, error) {}
func (h *arrivalHandler) Data(c *Conn, b []byte) (int, error) {
	h.arrivals <- c.EarliestArrival()
	return len(b), nil
}

// What lay in the socket while a turn lasted counts from before that turn; what came in on an idle connection
// counts from when that was last found empty, not from its last message.
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
	onLoop(func() { foundEmptyAt = loop.Clock() }) // an idle turn: the connection was found empty
	onLoop(func() {})
	write(t, conn, []byte("b"))
	if at := testbed.Wait(t, "the second message", handler.arrivals); at < foundEmptyAt {
		t.Errorf("a message to an idle connection counts from %d us before it was found empty", foundEmptyAt-at)
	}

	var turnStartedAt int64
	onLoop(func() { // a long turn, with a message that comes in early in it
		turnStartedAt = loop.Clock()
		write(t, conn, []byte("c"))
		for loop.Clock() < turnStartedAt+20_000 {
		}
	})
	if at := testbed.Wait(t, "the third message", handler.arrivals); at > turnStartedAt {
		t.Errorf("a message that came in during a long turn counts from %d us later", at-turnStartedAt)
	}
}

// What was read of a connection shows up to when it was last seen: where a turn leaves something unread that is
// before it was written, else when the turn began.
func TestLastSeenAt(t *testing.T) {
	const messageSize = 200 // of which a turn reads 64 bytes
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
	onLoop(func() { // what is written here is read from the next turn on
		writtenAt = loop.Clock()
		write(t, remote[0], make([]byte, messageSize))
		loop.Post(func() {
			if at := local[0].LastSeenAt(); at > writtenAt {
				t.Errorf("partly read, and last seen %d us after it was written", at-writtenAt)
			}
		})
	})
	for n := 0; n < messageSize; {
		n += testbed.Wait(t, "what was written", reads)
	}

	var lastSeenAt int64
	onLoop(func() { lastSeenAt = local[0].LastSeenAt() })
	if lastSeenAt <= writtenAt {
		t.Errorf("all was read, and it is last seen %d us before that was written", writtenAt-lastSeenAt)
	}
	onLoop(func() {
		if local[1].unreadPoll >= loop.polls.processedCount {
			t.Error("an idle connection counts as not read")
		}
	})
}

// pollUntil calls a condition on the loop until it holds, and reports whether it did within the test's patience.
func pollUntil(onLoop func(func()), condition func() bool) bool {
	met := false
	for limit := time.Now().Add(testbed.Timeout); !met && time.Now().Before(limit); time.Sleep(time.Millisecond) {
		onLoop(func() { met = condition() })
	}
	return met
}

// Given more connections that are ready in every turn than a poll reports at first, an idle one counts as seen
// all the same.
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
		for range pairs { // each sends one byte back and forth
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
		t.Fatal("the connections did not come up")
	}

	var since int64
	onLoop(func() { since = loop.Clock() })
	if !pollUntil(onLoop, func() bool { return idle[0].LastSeenAt() > since }) {
		t.Fatalf("an idle connection was not seen in %s", testbed.Timeout)
	}
}
