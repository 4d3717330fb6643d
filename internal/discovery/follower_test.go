package discovery

import (
	"bufio"
	"bytes"
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

// recoveryLimit is within how much time the list must be read from discovery once it responds again, also where it
// does not respond on the connection of the poll in flight. It is in microseconds.
const recoveryLimit = 2 * second

// Discovery that responds again is polled within recoveryLimit, also where the poll in flight is never
// answered: on a connection that stays open and unresponsive only the timer shows that.
func TestUnresponsiveChannelIsPolledInTime(t *testing.T) {
	if longest := pollBlockMs*millisecond + responseSlack + redialDelay; longest >= recoveryLimit {
		t.Errorf("a poll without a response is abandoned and repeated after %d us, expected less than %d",
			longest, recoveryLimit)
	}
}

// newPool returns a pool of workers on a loop of its own, and the dispatcher that it serves.
func newPool(t *testing.T) (*eventloop.Loop, *workerpool.Pool, *dispatch.Dispatcher) {
	t.Helper()
	loop, err := eventloop.New(10)
	if err != nil {
		t.Fatal(err)
	}
	pool := workerpool.New(loop, 1_000_000, true, slog.New(slog.DiscardHandler))
	dispatcher, err := dispatch.New(placement.Settings{FleetSize: 1, CoresOvercommit: 1, MemoryOvercommit: 1,
		Classes: []placement.Class{{Name: "cut", Effect: placement.Unsafe, Kind: -1}},
		Kinds:   []placement.Kind{{Name: "std", Cores: 1, Memory: 1}}}, 1, pool, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	pool.SetDispatcher(dispatcher)
	return loop, pool, dispatcher
}

// run runs a loop with its pool and dispatcher until the returned function is called.
func run(t *testing.T, loop *eventloop.Loop, pool *workerpool.Pool, dispatcher *dispatch.Dispatcher) (stop func()) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := loop.Run(func(now int64) { pool.DeliverPending(); dispatcher.Turn(now) }); err != nil {
			t.Error(err)
		}
		loop.Close()
	}()
	return func() {
		loop.Post(loop.Stop)
		<-done
	}
}

// scriptedDiscovery stands in for discovery; a test scripts its answers.
type scriptedDiscovery struct{ listener *net.TCPListener }

// newScriptedDiscovery listens until the test ends.
func newScriptedDiscovery(t *testing.T) *scriptedDiscovery {
	t.Helper()
	return &scriptedDiscovery{nettest.Listen(t).(*net.TCPListener)}
}

// answer expects a poll that holds want on the next connection, and answers it. Unless keepOpen is set
// the connection is closed behind the answer, else when the test ends.
func (s *scriptedDiscovery) answer(t *testing.T, want, answer string, keepOpen bool) {
	t.Helper()
	if err := s.listener.SetDeadline(time.Now().Add(testbed.Timeout)); err != nil {
		t.Fatal(err)
	}
	conn := nettest.Accept(t, s.listener)
	for reader := bufio.NewReader(conn); ; {
		line, err := reader.ReadString('\n')
		if err != nil || strings.HasPrefix(line, "GET") && !strings.Contains(line, want) {
			t.Fatalf("polled with %q (%v), expected %s", line, err, want)
		}
		if line == "\r\n" {
			break
		}
	}
	if _, err := io.WriteString(conn, answer); err != nil {
		t.Fatal(err)
	}
	if !keepOpen {
		if err := conn.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// Where discovery breaks off in the middle of an event, or of the head of a response, it is polled again
// for the same event, which is applied once. Where it answers twice it is polled anew, and where it
// counts from a lower cursor on it reports nothing.
func TestChannelBreaksOff(t *testing.T) {
	discovery := newScriptedDiscovery(t)
	loop, pool, dispatcher := newPool(t)
	var logged bytes.Buffer
	follower := NewFollower(loop, dispatcher, pool, discovery.listener.Addr().String(), 1_000_000,
		slog.New(slog.NewTextHandler(&logged, nil)))
	follower.cursor = 6
	follower.Start()
	stop := run(t, loop, pool, dispatcher)

	body := `{"cursor":7,"cmds":[{"cursor":7,"nodes":{"complete":false,"members":[{"id":"s-1","host_port":"127.0.0.1:9",` +
		`"locality":"h","flavor":"std","cell":1,"phase":"draining","size":1,"up_since_ms":0,"spare":[1,1]}]}}]}`
	complete := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	lower := "HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\n{\"cursor\":5,\"cmds\":[]} "
	next := strings.ReplaceAll(complete, `"cursor":7`, `"cursor":8`)
	for _, poll := range []struct {
		want, answer string
		keepOpen     bool
	}{
		{"resume=6&", complete[:len(complete)-40], false},
		{"resume=6&", complete[:12], false},
		{"resume=6&", strings.Replace(complete, `"members"`, `"members`, 1), false},
		{"resume=6&", "HTTP/1.1 100 Continue\r\n\r\n" + complete, false},
		{"resume=7&", lower, false},
		{"resume=7&", next + next, true},
		{"resume=8&", "", false},
	} {
		discovery.answer(t, poll.want, poll.answer, poll.keepOpen)
	}
	stop()
	if !dispatcher.IsListed("s-1") {
		t.Error("the event was not applied")
	}
	if strings.Contains(logged.String(), "discovery timed out") { // a poll waited in vain
		t.Error(logged.String())
	}
}
