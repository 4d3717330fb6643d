package workerpool

import (
	"bufio"
	"errors"
	"net"
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/jsonlines"
	"ravenhitch/internal/testbed"
	"ravenhitch/internal/testbed/nettest"
)

// Given a cancel before a ping and one after it, the ping's answer confirms the first alone.
func TestCancelConfirmations(t *testing.T) {
	var cancels cancelConfirmations
	if cancels.pending() || cancels.isAnswer("") {
		t.Error("pending before any cancel")
	}

	cancels.await([]string{"before"}, 255)
	cancels.afterPing = append(cancels.afterPing, "after")
	if !cancels.pending() || !cancels.isAnswer("00000000000000ff") || cancels.isAnswer("00000000000000fe") {
		t.Errorf("waits for another answer than the ping's: %+v", cancels)
	}

	noted := cancels.reset()
	if !slices.Equal(noted.beforePing, []string{"before"}) || !slices.Equal(noted.afterPing, []string{"after"}) {
		t.Errorf("noted %+v", noted)
	}
	if cancels.pending() {
		t.Error("pending after the reset")
	}
}

// cancelledOffer is an offer that its worker has read, and whose cancel the worker has read too.
type cancelledOffer struct {
	loop    *eventloop.Loop
	pool    *Pool
	conn    *workerConn
	worker  net.Conn
	pingTag string // of the ping behind the cancel
}

// cancelSentOffer offers a request to the worker, which reads it, and cancels it then.
func cancelSentOffer(t *testing.T) *cancelledOffer {
	t.Helper()
	listener := nettest.Listen(t)
	loop, pool, dispatcher := newPool(t)
	c := &cancelledOffer{loop: loop, pool: pool, conn: offerToWorker(t, listener, loop, pool, dispatcher)}
	t.Cleanup(startLoop(t, loop, func(int64) { pool.DeliverPending() }))
	c.worker = nettest.Accept(t, listener)
	received := bufio.NewReader(c.worker)
	if m := readMessage(t, received); m.Verb != jsonlines.VerbStart || m.Tag != requestID {
		t.Fatalf("received %+v, expected the offer", m)
	}

	onLoop(loop, func() {
		if pool.CancelAttempt(workerName, requestID, true) {
			t.Error("the cancel counts as confirmed before the worker has answered")
		}
		if count := pool.UnconfirmedCancels(); count != 1 {
			t.Errorf("%d connections with unconfirmed cancels", count)
		}
	})
	if m := readMessage(t, received); m.Verb != jsonlines.VerbFinish || m.Tag != requestID || m.RC != jsonlines.CodeEnded {
		t.Fatalf("received %+v, expected the cancel", m)
	}
	ping := readMessage(t, received)
	if ping.Verb != jsonlines.VerbEcho {
		t.Fatalf("received %+v, expected the ping behind the cancel", ping)
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

// confirmed reports whether no cancel is unconfirmed any more, within testbed.Timeout.
func (c *cancelledOffer) confirmed() bool {
	pending := 1
	for limit := time.Now().Add(testbed.Timeout); pending > 0 && time.Now().Before(limit); time.Sleep(time.Millisecond) {
		onLoop(c.loop, func() { pending = c.pool.UnconfirmedCancels() })
	}
	return pending == 0
}

// Given a cancel, the answer to the ping behind it confirms it, and the connection stays.
func TestCancelIsConfirmedByPing(t *testing.T) {
	c := cancelSentOffer(t)
	answer := jsonlines.Message{Verb: jsonlines.VerbEchoed, Tag: c.pingTag, RC: pingSucceeded, HasRC: true}
	if _, err := c.worker.Write(jsonlines.Append(nil, &answer)); err != nil {
		t.Fatal(err)
	}
	if !c.confirmed() {
		t.Error("the cancel is unconfirmed after the answer")
	}
	onLoop(c.loop, func() {
		if !c.conn.conn.IsUp() {
			t.Error("the connection was closed")
		}
	})
}

// Given a cancel whose ping is not answered, the connection is aborted and another one dialled.
func TestUnansweredPingAbortsConnection(t *testing.T) {
	c := cancelSentOffer(t)
	if _, err := c.worker.Read(make([]byte, 1)); !errors.Is(err, unix.ECONNRESET) {
		t.Errorf("the worker's connection ended with %v", err)
	}
	if !c.confirmed() {
		t.Error("the cancel is unconfirmed after the abort")
	}
	onLoop(c.loop, func() {
		l := c.pool.links[workerName]
		if !c.conn.conn.IsClosed() || l.lostUnnoticedAt == 0 {
			t.Errorf("closed %v, lost unnoticed at %d", c.conn.conn.IsClosed(), l.lostUnnoticedAt)
		}
		if len(l.conns) != 1 || l.conns[0] == c.conn {
			t.Error("no other connection was dialled")
		}
	})
}
