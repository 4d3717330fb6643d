package clientfront

// This file owns the shared helpers of this package's tests: a front on its own event loop, and clients that
// connect to it.

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

// testFront is a front that serves clients and has no workers.
type testFront struct {
	*Front
	addr string
}

// startFront starts a front that serves at most maxConns clients at a time and has no idle timeout. The front runs
// until the end of the test.
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

// onLoop runs a function on the event loop and waits until the function returns.
func (f testFront) onLoop(run func()) {
	done := make(chan struct{})
	f.loop.Post(func() {
		defer close(done)
		run()
	})
	<-done
}

// client is the client's side of a connection to the front.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// dial connects a client, which is disconnected at the end of the test.
func (f testFront) dial(t *testing.T) *client {
	t.Helper()
	conn := nettest.Dial(t, f.addr)
	if err := conn.SetDeadline(time.Now().Add(testbed.Timeout)); err != nil {
		t.Fatal(err)
	}
	return &client{conn, bufio.NewReader(conn)}
}

// send writes lines to the front, each with a line feed.
func (c *client) send(t *testing.T, lines ...string) {
	t.Helper()
	if _, err := io.WriteString(c.conn, strings.Join(lines, "\n")+"\n"); err != nil {
		t.Fatal(err)
	}
}

// expect reads one line for each given line, and fails the test if the two differ.
func (c *client) expect(t *testing.T, lines ...string) {
	t.Helper()
	for _, want := range lines {
		if got, err := c.reader.ReadString('\n'); err != nil || got != want+"\n" {
			t.Fatalf("read line: got %q and error %v, want %s", got, err, want)
		}
	}
}

// expectEnd fails the test unless the connection is closed with nothing left to read.
func (c *client) expectEnd(t *testing.T) {
	t.Helper()
	if rest, err := c.reader.ReadString('\n'); rest != "" || !errors.Is(err, io.EOF) {
		t.Fatalf("read at the end of the connection: got %q and error %v, want nothing and io.EOF", rest, err)
	}
}

// start returns the line of a valid submission.
func start(id int) string {
	return fmt.Sprintf(`{"verb":"START","tag":"%016x","opts":{"class":"web","key":"k%d","left":60000,`+
		`"extras":"cores:1;memory:1"},"blob":"d"}`, id, id)
}

// finish returns the line of a FINISH message with the outcome code rc.
func finish(id, rc int) string {
	return fmt.Sprintf(`{"verb":"FINISH","tag":"%016x","opts":{},"rc":%d}`, id, rc)
}

const (
	echo   = `{"verb":"ECHO","tag":"e"}`
	echoed = `{"verb":"ECHOED","tag":"e","opts":{},"rc":1}`
)
