package clientfront

import (
	"fmt"
	"testing"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/testbed"
	"ravenhitch/placement"
)

// taskClients connects two clients, each of which counts as one that had a task, and returns them with their
// connections at the front. The second connection is the more recent one.
func taskClients(t *testing.T, front testFront) (clients [2]*client, conns [2]*clientConn) {
	t.Helper()
	for i := range clients {
		clients[i] = front.dial(t)
		clients[i].send(t, echo)
		clients[i].expect(t, echoed)
		front.onLoop(func() {
			for conn := range front.clients {
				if conn.number == uint64(i+1) {
					conn.hasTask, conns[i] = true, conn
				}
			}
		})
	}
	return clients, conns
}

// completeOn reports the completion of a task on a connection.
func (f testFront) completeOn(conn *clientConn, id int) {
	f.onLoop(func() {
		conn.Respond(dispatch.Response{Kind: dispatch.Completed, RequestID: fmt.Sprintf("%016x", id), Outcome: placement.Completed})
	})
}

// finished returns the confirmation of a completion.
func finished(id int) string {
	return fmt.Sprintf(`{"verb":"FINISHED","tag":"%016x","opts":{}}`, id)
}

// expectNothingBefore checks that the next line of a client is the answer to its ping.
func expectNothingBefore(t *testing.T, c *client) {
	t.Helper()
	c.send(t, echo)
	c.expect(t, echoed)
}

// A completion was written to a connection that ends before its client has read it. It is sent on another connection.
func TestUnreadCompletionIsRepeatedAfterConnectionEnd(t *testing.T) {
	for _, test := range []struct {
		name string
		end  func(front testFront, c *client, conn *clientConn)
	}{
		{"reset", func(_ testFront, c *client, _ *clientConn) { testbed.ResetConnection(c.conn) }},
		{"closed by the client as it is sent", func(_ testFront, c *client, _ *clientConn) { testbed.CloseQuietly(c.conn) }},
		{"closed by the front", func(front testFront, _ *client, conn *clientConn) {
			front.onLoop(func() { conn.rejectAndClose(errIdle) })
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			front := startFront(t, 10)
			clients, conns := taskClients(t, front)
			front.completeOn(conns[0], 1)
			test.end(front, clients[0], conns[0])
			clients[1].expect(t, finish(1, 16))
		})
	}
}

// A migration is owed in the same way as a completion.
func TestUnreadMigrationIsRepeatedAfterConnectionEnd(t *testing.T) {
	front := startFront(t, 10)
	clients, conns := taskClients(t, front)
	front.onLoop(func() {
		conns[0].Respond(dispatch.Response{Kind: dispatch.Migrated, RequestID: fmt.Sprintf("%016x", 1)})
	})
	testbed.ResetConnection(clients[0].conn)
	clients[1].expect(t, `{"verb":"MOVE","tag":"0000000000000001","opts":{}}`)
}

// A completion that its client has confirmed, or has had time to read before it closed its connection, is not repeated.
func TestReadCompletionIsNotRepeated(t *testing.T) {
	front := startFront(t, 10)
	clients, conns := taskClients(t, front)
	front.completeOn(conns[0], 1)
	clients[0].expect(t, finish(1, 16))
	clients[0].send(t, finished(1), echo)
	clients[0].expect(t, echoed)
	front.completeOn(conns[0], 2)
	clients[0].expect(t, finish(2, 16))
	front.onLoop(func() {
		sent := front.unconfirmed[fmt.Sprintf("%016x", 2)]
		sent.sentAt -= closeCrossingTime + 1
		front.unconfirmed[sent.requestID] = sent
	})
	testbed.CloseQuietly(clients[0].conn)
	front.waitClients(t, 1)
	expectNothingBefore(t, clients[1])
}

// waitClients waits until the front serves count clients.
func (f testFront) waitClients(t *testing.T, count int) {
	t.Helper()
	gone := make(chan bool, 1)
	var check func()
	check = func() {
		if len(f.clients) == count {
			gone <- true
			return
		}
		f.loop.After(millisecond, check)
	}
	f.onLoop(check)
	testbed.Wait(t, "the end of a connection", gone)
}

// A client has confirmed a completion and does not confirm the next one in time, as its connection is cut or it does not
// read. The completion is sent on another connection too.
func TestOverdueCompletionIsRepeated(t *testing.T) {
	front := startFront(t, 10)
	clients, conns := taskClients(t, front)
	front.completeOn(conns[0], 1)
	clients[0].send(t, finished(1), echo)
	clients[0].expect(t, finish(1, 16), echoed)
	front.completeOn(conns[0], 2)
	if !front.hasUndelivered() {
		t.Error("HasUndelivered: got false while a client is expected to confirm a completion, want true")
	}
	clients[1].expect(t, finish(2, 16))
}

// Completions that no client confirms are forgotten once they count as read.
func TestUnconfirmedCompletionsAreForgotten(t *testing.T) {
	front := startFront(t, 10)
	_, conns := taskClients(t, front)
	front.completeOn(conns[0], 1)
	front.onLoop(func() {
		front.sweepUnconfirmed(front.loop.Now() + confirmationRetention + 1)
		if len(front.unconfirmed) != 0 {
			t.Errorf("got %d unconfirmed completions after confirmationRetention, want none", len(front.unconfirmed))
		}
	})
	if front.hasUndelivered() {
		t.Error("HasUndelivered: got true for a client that never confirms, want false")
	}
}

// A completion is sent on one connection after the other, each of which is reset at once. However many these are, it is
// sent again.
func TestCompletionIsRepeatedAfterEachConnectionEnd(t *testing.T) {
	front := startFront(t, 10)
	const connectionEnds = 6
	front.complete(1)
	for range connectionEnds {
		c := front.dial(t)
		c.send(t, echo)
		c.expect(t, finish(1, 16), echoed)
		testbed.ResetConnection(c.conn)
		front.waitClients(t, 0)
	}
	c := front.dial(t)
	c.send(t, echo)
	c.expect(t, finish(1, 16), echoed)
}

// A completion is sent on a connection whose client has vanished without a sign: nothing comes on it any more. The client
// confirms nothing in general. The completion is sent on another connection too.
func TestCompletionOnSilentConnectionIsRepeated(t *testing.T) {
	front := startFront(t, 10)
	clients, conns := taskClients(t, front)
	front.completeOn(conns[0], 1)
	clients[1].expect(t, finish(1, 16))
}

// The same holds if no other client had a task.
func TestCompletionOnSilentConnectionGoesToAnyClient(t *testing.T) {
	front := startFront(t, 10)
	clients, conns := taskClients(t, front)
	front.onLoop(func() { conns[1].hasTask = false })
	front.completeOn(conns[0], 1)
	clients[1].expect(t, finish(1, 16))
}
