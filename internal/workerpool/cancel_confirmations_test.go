package workerpool

import (
	"bufio"
	"errors"
	"net"
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/jsonlines"
	"ravenhitch/internal/testbed"
	"ravenhitch/internal/testbed/nettest"
)

// A ping's answer confirms the cancels written before the ping, not those written after it.
func TestCancelConfirmations(t *testing.T) {
	var cancels cancelConfirmations
	if cancels.pending() || cancels.isAnswer("") {
		t.Errorf("before any cancel: pending() = %v, isAnswer(\"\") = %v, want false", cancels.pending(), cancels.isAnswer(""))
	}

	cancels.await("00000000000000ff", []string{"before"}, 255)
	cancels.afterPing = append(cancels.afterPing, "after")
	if !cancels.pending() || !cancels.isAnswer("00000000000000ff") || cancels.isAnswer("00000000000000fe") {
		t.Errorf("state %+v does not await the answer to ping 00000000000000ff", cancels)
	}

	removed := cancels.reset()
	if !slices.Equal(removed.beforePing, []string{"before"}) || !slices.Equal(removed.afterPing, []string{"after"}) {
		t.Errorf("reset() = %+v, want beforePing [before], afterPing [after]", removed)
	}
	if cancels.pending() {
		t.Error("pending() = true after reset, want false")
	}
}

// cancelledOffer is an offer whose worker has read both the offer and its cancel.
type cancelledOffer struct {
	loop    *eventloop.Loop
	pool    *Pool
	conn    *workerConn
	worker  net.Conn
	pingTag string // tag of the ping behind the cancel
}

// cancelSentOffer offers a request to the worker, and cancels the offer after the worker has read it.
func cancelSentOffer(t *testing.T) *cancelledOffer {
	t.Helper()
	listener := nettest.Listen(t)
	loop, pool, dispatcher := newPool(t)
	c := &cancelledOffer{loop: loop, pool: pool, conn: offerToWorker(t, listener, loop, pool, dispatcher)}
	t.Cleanup(startLoop(t, loop, func(int64) { pool.DeliverPending() }))
	c.worker = nettest.Accept(t, listener)
	received := bufio.NewReader(c.worker)
	if m := readMessage(t, received); m.Verb != jsonlines.VerbStart || m.Tag != requestID {
		t.Fatalf("the worker received %+v, want the offer", m)
	}

	onLoop(loop, func() {
		if state := pool.CancelAttempt(workerName, requestID, true); state != dispatch.CancelUnconfirmed {
			t.Errorf("CancelAttempt() = %v before the worker has answered, want CancelUnconfirmed", state)
		}
		if count := pool.UnconfirmedCancels(); count != 1 {
			t.Errorf("UnconfirmedCancels() = %d, want 1", count)
		}
	})
	if m := readMessage(t, received); m.Verb != jsonlines.VerbFinish || m.Tag != requestID || m.RC != jsonlines.CodeEnded {
		t.Fatalf("the worker received %+v, want the cancel", m)
	}
	ping := readMessage(t, received)
	if ping.Verb != jsonlines.VerbEcho {
		t.Fatalf("the worker received %+v, want the ping behind the cancel", ping)
	}
	c.pingTag = ping.Tag
	return c
}

// readMessage reads the next message that the worker receives.
func readMessage(t *testing.T, received *bufio.Reader) jsonlines.Message {
	t.Helper()
	line, err := received.ReadBytes('\n')
	if err != nil {
		t.Fatal(err)
	}
	m, err := jsonlines.Parse(line)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// confirmed waits, for at most testbed.Timeout, until no cancel awaits the answer to a ping. It reports whether this
// happened.
func (c *cancelledOffer) confirmed() bool {
	pending := 1
	for limit := time.Now().Add(testbed.Timeout); pending > 0 && time.Now().Before(limit); time.Sleep(time.Millisecond) {
		onLoop(c.loop, func() { pending = c.pool.UnconfirmedCancels() })
	}
	return pending == 0
}

// The answer to the ping behind a cancel confirms the cancel, and the connection stays open.
func TestCancelIsConfirmedByPing(t *testing.T) {
	c := cancelSentOffer(t)
	answer := jsonlines.Message{Verb: jsonlines.VerbEchoed, Tag: c.pingTag, RC: pingSucceeded, HasRC: true}
	if _, err := c.worker.Write(jsonlines.Append(nil, &answer)); err != nil {
		t.Fatal(err)
	}
	if !c.confirmed() {
		t.Error("the cancel is still unconfirmed after the answer to the ping")
	}
	onLoop(c.loop, func() {
		if !c.conn.conn.IsUp() {
			t.Error("the connection was closed after the answer to the ping")
		}
	})
}

// If the ping behind a cancel is not answered, the connection is aborted and another one is dialled.
func TestUnansweredPingAbortsConnection(t *testing.T) {
	c := cancelSentOffer(t)
	if _, err := c.worker.Read(make([]byte, 1)); !errors.Is(err, unix.ECONNRESET) {
		t.Errorf("the worker's connection ended with %v, want %v", err, unix.ECONNRESET)
	}
	if !c.confirmed() {
		t.Error("the cancel is still unconfirmed after the abort")
	}
	onLoop(c.loop, func() {
		l := c.pool.links[workerName]
		if !c.conn.conn.IsClosed() || l.lostUnnoticedAt == 0 {
			t.Errorf("IsClosed() = %v, want true; lostUnnoticedAt = %d, want a time other than 0",
				c.conn.conn.IsClosed(), l.lostUnnoticedAt)
		}
		if len(l.conns) != 1 || l.conns[0] == c.conn {
			t.Errorf("the link has %d connections, want 1 newly dialled connection", len(l.conns))
		}
	})
}
