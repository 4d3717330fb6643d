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

// recoveryLimit is the maximum time between the recovery of discovery and the next poll, in microseconds. It applies
// even if the connection of the poll in flight stays open without a response.
const recoveryLimit = 2 * second

// TestUnresponsiveChannelIsPolledInTime asserts that the maximum blocking time of a poll, responseSlack and redialDelay
// add up to less than recoveryLimit if shard assignment is not enabled. If the poll in flight is never answered and its
// connection stays open, only the timer of the poll detects the failure.
func TestUnresponsiveChannelIsPolledInTime(t *testing.T) {
	if longest := pollBlockMs*millisecond + responseSlack + redialDelay; longest >= recoveryLimit {
		t.Errorf("a poll without a response is abandoned and repeated after %d us, want less than %d us",
			longest, recoveryLimit)
	}
}

// newPool returns a new event loop, and a worker pool and a dispatcher that are connected to each other and run on
// the loop.
func newPool(t *testing.T) (*eventloop.Loop, *workerpool.Pool, *dispatch.Dispatcher) {
	t.Helper()
	loop, err := eventloop.New(2 * latePollMinDescriptors)
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

// runLoop runs a loop with its pool and dispatcher on a goroutine. The returned function stops the loop and waits for
// the goroutine.
func runLoop(t *testing.T, loop *eventloop.Loop, pool *workerpool.Pool, dispatcher *dispatch.Dispatcher) (stop func()) {
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

// scriptedDiscovery is a fake discovery server whose responses the test sets one by one.
type scriptedDiscovery struct{ listener *net.TCPListener }

// newScriptedDiscovery returns a server that listens until the test ends.
func newScriptedDiscovery(t *testing.T) *scriptedDiscovery {
	t.Helper()
	return &scriptedDiscovery{nettest.Listen(t).(*net.TCPListener)}
}

// respond accepts the next connection, expects a poll whose request line contains want, and sends the response. It
// then closes the connection, unless keepOpen is true: the connection then stays open until the test ends.
func (s *scriptedDiscovery) respond(t *testing.T, want, response string, keepOpen bool) {
	t.Helper()
	if err := s.listener.SetDeadline(time.Now().Add(testbed.Timeout)); err != nil {
		t.Fatal(err)
	}
	conn := nettest.Accept(t, s.listener)
	for reader := bufio.NewReader(conn); ; {
		line, err := reader.ReadString('\n')
		if err != nil || strings.HasPrefix(line, "GET") && !strings.Contains(line, want) {
			t.Fatalf("poll: got line %q, error %v; want a request line that contains %q", line, err, want)
		}
		if line == "\r\n" {
			break
		}
	}
	if _, err := io.WriteString(conn, response); err != nil {
		t.Fatal(err)
	}
	if !keepOpen {
		if err := conn.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// TestChannelBreaksOff asserts that the follower polls again for the same event after an incomplete or invalid
// response, and applies the event when a complete response arrives. Discovery closes the connection in the middle of
// an event or of the head of a response, or sends a body that is not valid JSON. A response with a lower cursor
// changes nothing. After two responses to one poll, the follower applies the first one and polls on a new connection.
func TestChannelBreaksOff(t *testing.T) {
	discovery := newScriptedDiscovery(t)
	loop, pool, dispatcher := newPool(t)
	var logged bytes.Buffer
	follower := NewFollower(loop, dispatcher, pool, discovery.listener.Addr().String(), 1_000_000,
		slog.New(slog.NewTextHandler(&logged, nil)))
	follower.cursor = 6
	follower.Start()
	stop := runLoop(t, loop, pool, dispatcher)

	body := `{"cursor":7,"cmds":[{"cursor":7,"nodes":{"complete":false,"members":[{"id":"s-1","host_port":"127.0.0.1:9",` +
		`"locality":"h","flavor":"std","cell":1,"phase":"draining","size":1,"up_since_ms":0,"spare":[1,1]}]}}]}`
	complete := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	lower := "HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\n{\"cursor\":5,\"cmds\":[]} "
	next := strings.ReplaceAll(complete, `"cursor":7`, `"cursor":8`)
	for _, poll := range []struct {
		want, response string
		keepOpen       bool
	}{
		{"resume=6&", complete[:len(complete)-40], false},
		{"resume=6&", complete[:12], false},
		{"resume=6&", strings.Replace(complete, `"members"`, `"members`, 1), false},
		{"resume=6&", "HTTP/1.1 100 Continue\r\n\r\n" + complete, false},
		{"resume=7&", lower, false},
		{"resume=7&", next + next, true},
		{"resume=8&", "", false},
	} {
		discovery.respond(t, poll.want, poll.response, poll.keepOpen)
	}
	stop()
	if !dispatcher.IsListed("s-1") {
		t.Error("worker s-1 is not listed, want the event that lists it to be applied")
	}
	if strings.Contains(logged.String(), "discovery timed out") {
		t.Errorf("a poll timed out, want none to; log:\n%s", logged.String())
	}
}

// listEvent returns the response to a poll that lists a worker in event cursor.
func listEvent(cursor int, worker string) string {
	body := fmt.Sprintf(`{"cursor":%d,"cmds":[{"cursor":%d,"nodes":{"complete":false,"members":[{"id":%q,"host_port":"127.0.0.1:9",`+
		`"locality":"h","flavor":"std","cell":1,"phase":"draining","size":1,"up_since_ms":0,"spare":[1,1]}]}}]}`, cursor, cursor, worker)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// lateDiscovery is a fake discovery server that answers a poll when the test says so.
type lateDiscovery struct {
	t     *testing.T
	polls chan net.Conn // connections on which a poll was received, in order
}

// newLateDiscovery returns a server that listens until the test ends, and its address.
func newLateDiscovery(t *testing.T) (discovery *lateDiscovery, address string) {
	t.Helper()
	listener := nettest.Listen(t)
	discovery = &lateDiscovery{t, make(chan net.Conn, 100)}
	go func() { // ends when the listener is closed at the end of the test
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer testbed.CloseQuietly(conn)
				for scanner := bufio.NewScanner(conn); scanner.Scan(); {
					if strings.HasPrefix(scanner.Text(), "GET") {
						discovery.polls <- conn
					}
				}
			}()
		}
	}()
	return discovery, listener.Addr().String()
}

// nextPoll waits for the next poll and returns its connection.
func (d *lateDiscovery) nextPoll() net.Conn {
	d.t.Helper()
	return testbed.Wait(d.t, "a poll", d.polls)
}

// answer answers the poll on a connection.
func (d *lateDiscovery) answer(poll net.Conn, response string) {
	d.t.Helper()
	if _, err := io.WriteString(poll, response); err != nil {
		d.t.Errorf("the connection of the poll was closed: %v", err)
	}
}

// Guards against a discovery that answers each poll only after the next one was sent, and was never heard (review/2): the
// tasks of a worker that had stopped were never released. The answers may come in any order. Polls that discovery never
// answers are bounded.
func TestLateAnswersAreHeard(t *testing.T) {
	discovery, address := newLateDiscovery(t)
	loop, pool, dispatcher := newPool(t)
	follower := NewFollower(loop, dispatcher, pool, address, 1_000_000, slog.New(slog.DiscardHandler))
	follower.Start()
	defer runLoop(t, loop, pool, dispatcher)()
	isListed := func(worker string) (listed bool) {
		t.Helper()
		done := make(chan struct{})
		loop.Post(func() {
			listed = dispatcher.IsListed(worker)
			close(done)
		})
		<-done
		return listed
	}
	waitListed := func(worker string) {
		t.Helper()
		for limit := time.Now().Add(testbed.Timeout); !isListed(worker); time.Sleep(time.Millisecond) {
			if time.Now().After(limit) {
				t.Fatalf("worker %s is not listed, want the late answer that lists it to be applied", worker)
			}
		}
	}
	first, second := discovery.nextPoll(), discovery.nextPoll()
	discovery.answer(first, listEvent(1, "s-1"))
	waitListed("s-1")
	third := discovery.nextPoll()
	discovery.answer(third, listEvent(2, "s-2")) // in time, and before the answer to the poll before it
	waitListed("s-2")
	discovery.nextPoll()                               // on the connection of the third one
	_, _ = io.WriteString(second, listEvent(1, "s-1")) // the follower may have closed the connection: the answer holds nothing new

	for range maxLatePolls + 2 {
		loop.Post(follower.pollLate)
		discovery.nextPoll()
	}
	done := make(chan struct{})
	loop.Post(func() {
		if len(follower.late) > maxLatePolls {
			t.Errorf("%d polls are late, want at most %d", len(follower.late), maxLatePolls)
		}
		follower.SetAddress("127.0.0.1:9")
		if len(follower.late) > 0 {
			t.Errorf("%d late polls are left after a change of the address, want none", len(follower.late))
		}
		close(done)
	})
	<-done
}

// longAnswer returns the body of an answer with events up to the given number. Event n lists worker s-n, and all have as many
// other entries as needed for the size of an answer in bytes.
func longAnswer(events, size int) string {
	const entry = `{"id":"s-%d","host_port":"127.0.0.1:9","locality":"h","flavor":"std","cell":1,"phase":"draining","size":1,"up_since_ms":0,"spare":[1,1]}`
	var text strings.Builder
	fmt.Fprintf(&text, `{"cursor":%d,"cmds":[`, events)
	for n := 1; n <= events; n++ {
		if n > 1 {
			text.WriteByte(',')
		}
		fmt.Fprintf(&text, `{"cursor":%d,"nodes":{"complete":false,"members":[`+entry, n, n)
		for text.Len() < size*n/events {
			fmt.Fprintf(&text, ","+entry, 0)
		}
		text.WriteString("]}}")
	}
	text.WriteString("]}")
	return text.String()
}

// followScript starts a follower of a scripted discovery. stop ends it.
func followScript(t *testing.T) (discovery *scriptedDiscovery, dispatcher *dispatch.Dispatcher, stop func()) {
	t.Helper()
	discovery = newScriptedDiscovery(t)
	loop, pool, dispatcher := newPool(t)
	follower := NewFollower(loop, dispatcher, pool, discovery.listener.Addr().String(), 1_000_000, slog.New(slog.DiscardHandler))
	follower.Start()
	return discovery, dispatcher, runLoop(t, loop, pool, dispatcher)
}

// Guards against an answer that is refused for its length and asked for again for good (review/9), in both codings.
func TestLongAnswerIsApplied(t *testing.T) {
	const events, size = 40, 6 << 20
	body := longAnswer(events, size)
	var chunked strings.Builder
	for rest := body; rest != ""; {
		const chunk = 3 << 20
		piece := rest[:min(len(rest), chunk)]
		fmt.Fprintf(&chunked, "%x\r\n%s\r\n", len(piece), piece)
		rest = rest[len(piece):]
	}
	for name, response := range map[string]string{
		"content-length": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"chunked":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked.String() + "0\r\n\r\n",
	} {
		discovery, dispatcher, stop := followScript(t)
		discovery.respond(t, "resume=0&", response, false)
		discovery.respond(t, fmt.Sprintf("resume=%d&", events), "", false)
		stop()
		if !dispatcher.IsListed("s-1") || !dispatcher.IsListed(fmt.Sprint("s-", events)) {
			t.Errorf("%s: the workers of the first and the last event: listed %v and %v, want both", name, dispatcher.IsListed("s-1"),
				dispatcher.IsListed(fmt.Sprint("s-", events)))
		}
	}
}

// What was read of an answer that breaks off, or stops and stays open, is applied and not asked for again.
func TestEventsOfIncompleteAnswerAreApplied(t *testing.T) {
	body := longAnswer(3, 3_000)
	cut := strings.Index(body, `"cursor":3,"nodes"`) + 100
	discovery, dispatcher, stop := followScript(t)
	discovery.respond(t, "resume=0&", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:cut]), true)
	discovery.respond(t, "resume=2&", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:cut]), false)
	discovery.respond(t, "resume=2&", "", false)
	stop()
	if !dispatcher.IsListed("s-2") || dispatcher.IsListed("s-3") {
		t.Errorf("the workers of the second and the third event: listed %v and %v, want true and false", dispatcher.IsListed("s-2"),
			dispatcher.IsListed("s-3"))
	}
}

// An invalid answer is asked for again less and less often, until discovery responds. A connection that fails is not.
func TestInvalidAnswersAreAskedForLessOften(t *testing.T) {
	loop, pool, dispatcher := newPool(t)
	defer loop.Close()
	follower := NewFollower(loop, dispatcher, pool, "127.0.0.1:9", 1_000_000, slog.New(slog.DiscardHandler))
	invalid := &ResponseError{Part: "head", Reason: "too long"}
	for i, want := range []int64{100, 200, 400, 500, 500} {
		if got := follower.redialDelayAfter(invalid); got != want*millisecond {
			t.Errorf("delay after %d invalid answers: got %d us, want %d ms", i+1, got, want)
		}
	}
	if got := follower.redialDelayAfter(eventloop.ErrTimeout); got != redialDelay {
		t.Errorf("delay after a connection that failed: got %d us, want %d", got, redialDelay)
	}
	follower.recordResponse()
	if got := follower.redialDelayAfter(&StatusError{Status: 503}); got != redialDelay {
		t.Errorf("delay after the first invalid answer since a valid answer: got %d us, want %d", got, redialDelay)
	}
	if got := follower.Counts(); got.Invalid != 6 {
		t.Errorf("got %d invalid answers, want 6", got.Invalid)
	}
}
