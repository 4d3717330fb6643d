package clientfront

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/testbed"
	"ravenhitch/internal/testbed/nettest"
	"ravenhitch/internal/workerpool"
	"ravenhitch/placement"
)

// testFront is a front that serves clients without any worker.
type testFront struct {
	*Front
	addr string
}

// startFront serves clients until the test ends.
func startFront(t *testing.T, maxConns int) testFront {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	loop, err := eventloop.New(100)
	if err != nil {
		t.Fatal(err)
	}
	pool := workerpool.New(loop, 1_000_000, true, log)
	dispatcher, err := dispatch.New(placement.Settings{FleetSize: 1, CoresOvercommit: 1, MemoryOvercommit: 1,
		Classes: []placement.Class{{Name: "web", Effect: placement.Unsafe, Kind: -1}},
		Kinds:   []placement.Kind{{Name: "std", Cores: 1, Memory: 1}}}, 1, pool, log)
	if err != nil {
		t.Fatal(err)
	}
	pool.SetDispatcher(dispatcher)
	front := NewFront(loop, dispatcher, maxConns, 0, log)
	addr, err := front.Listen("127.0.0.1:0", 0)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := loop.Run(func(now int64) { pool.DeliverPending(); dispatcher.Turn(now) }); err != nil {
			t.Error(err)
		}
		loop.Close()
	}()
	t.Cleanup(func() {
		loop.Post(loop.Stop)
		<-done
	})
	return testFront{front, addr}
}

// onLoop runs a function on the loop, and waits for that.
func (f testFront) onLoop(run func()) {
	done := make(chan struct{})
	f.loop.Post(func() {
		defer close(done)
		run()
	})
	<-done
}

// client is a connection of a client.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// dial connects a client until the test ends.
func (f testFront) dial(t *testing.T) *client {
	t.Helper()
	conn := nettest.Dial(t, f.addr)
	if err := conn.SetDeadline(time.Now().Add(testbed.Timeout)); err != nil {
		t.Fatal(err)
	}
	return &client{conn, bufio.NewReader(conn)}
}

// send writes lines.
func (c *client) send(t *testing.T, lines ...string) {
	t.Helper()
	if _, err := io.WriteString(c.conn, strings.Join(lines, "\n")+"\n"); err != nil {
		t.Fatal(err)
	}
}

// expect reads lines that must be as given.
func (c *client) expect(t *testing.T, lines ...string) {
	t.Helper()
	for _, want := range lines {
		if got, err := c.reader.ReadString('\n'); err != nil || got != want+"\n" {
			t.Fatalf("got %q, %v, expected %s", got, err, want)
		}
	}
}

// expectEnd expects that the connection is closed with nothing left to read.
func (c *client) expectEnd(t *testing.T) {
	t.Helper()
	if rest, err := c.reader.ReadString('\n'); rest != "" || !errors.Is(err, io.EOF) {
		t.Fatalf("got %q, %v, expected the end", rest, err)
	}
}

// start is a valid submission.
func start(id int) string {
	return fmt.Sprintf(`{"verb":"START","tag":"%016x","opts":{"class":"web","key":"k%d","left":60000,"extras":"cores:1;memory:1"},"blob":"d"}`, id, id)
}

// finish is the response of an outcome.
func finish(id, rc int) string {
	return fmt.Sprintf(`{"verb":"FINISH","tag":"%016x","opts":{},"rc":%d}`, id, rc)
}

const (
	echo   = `{"verb":"ECHO","tag":"e"}`
	echoed = `{"verb":"ECHOED","tag":"e","opts":{},"rc":1}`
)

// Each message has its response on the wire.
func TestMessages(t *testing.T) {
	front := startFront(t, 10)
	for _, test := range []struct {
		name string
		send []string
		want []string
	}{
		{"echo", []string{echo}, []string{echoed}},
		{"finish of an unknown request", []string{`{"verb":"FINISH","tag":"x"}`}, []string{`{"verb":"FINISHED","tag":"x","opts":{}}`}},
		{"messages without a response", []string{`{"verb":"PENDING"}`, `{"verb":"FINISHED"}`, `{"verb":"ECHOED"}`, `{"verb":"NOTICE"}`, echo},
			[]string{echoed}},
		{"unknown verb", []string{`{"verb":"JUMP","tag":"x"}`}, []string{`{"verb":"FINISH","tag":"x","opts":{},"rc":47}`}},
		{"unknown class", []string{strings.Replace(start(1), `"web"`, `"none"`, 1)}, []string{finish(1, 47)}},
		{"unreadable cores", []string{strings.Replace(start(1), `cores:1`, `cores:x`, 1)}, []string{finish(1, 47)}},
		{"no description", []string{strings.Replace(start(1), `,"blob":"d"`, ``, 1)}, []string{finish(1, 47)}},
		{"cancel", []string{start(2), `{"verb":"FINISH","tag":"0000000000000002"}`},
			[]string{`{"verb":"FINISHED","tag":"0000000000000002","opts":{}}`}},
		{"duplicate request", []string{start(3), start(3), echo}, []string{finish(3, 34), echoed}},
		{"duplicate request with an error", []string{start(4), strings.Replace(start(4), `"web"`, `"none"`, 1), echo},
			[]string{finish(4, 34), echoed}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := front.dial(t)
			c.send(t, test.send...)
			c.expect(t, test.want...)
		})
	}
}

// Of a connection without a task 32 requests may be open; the next is rejected at once.
func TestOpenRequestsAreLimited(t *testing.T) {
	c := startFront(t, 10).dial(t)
	for id := range 33 {
		c.send(t, start(id))
	}
	c.send(t, echo)
	c.expect(t, finish(32, 34), echoed)
}

// A malformed message ends the connection, once open requests were rejected in the order of their IDs.
func TestMalformedMessageEndsConnection(t *testing.T) {
	c := startFront(t, 10).dial(t)
	c.send(t, start(2), start(1), `{"verb":`)
	c.expect(t, finish(1, 34), finish(2, 34))
	c.expectEnd(t)
}

// The 64th invalid message ends a connection without a task.
func TestInvalidMessagesEndConnection(t *testing.T) {
	c := startFront(t, 10).dial(t)
	for id := range 64 {
		c.send(t, strings.Replace(start(id), `"web"`, `"none"`, 1))
		c.expect(t, finish(id, 47))
	}
	c.expectEnd(t)
}

// Where the limit of connections is reached, those that never sent a message are closed for others before
// one that did. The event loop has a place freed before it sees whether another client waits, so that
// both of them go.
func TestAdmissionClosesLeastUsed(t *testing.T) {
	front := startFront(t, 3)
	speaker, silent, alsoSilent := front.dial(t), front.dial(t), front.dial(t)
	speaker.send(t, echo)
	speaker.expect(t, echoed)
	next := front.dial(t)
	next.send(t, echo)
	next.expect(t, echoed)
	silent.expectEnd(t)
	alsoSilent.expectEnd(t)
	speaker.send(t, echo)
	speaker.expect(t, echoed)
}

// A client that never sends its first message is disconnected, but not within the 2 s that it may take.
func TestSilentClientIsDisconnected(t *testing.T) {
	c := startFront(t, 10).dial(t)
	began := time.Now()
	c.expectEnd(t)
	if d := time.Since(began); d < 2*time.Second {
		t.Errorf("it was disconnected after %s", d)
	}
}
