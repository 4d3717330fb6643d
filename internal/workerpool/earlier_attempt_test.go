package workerpool

// This file tests that no message of a worker about one attempt of a request is taken for a message about another. A
// message names the request and no attempt, and the worker may send it late, twice and on another connection.

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"testing"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/jsonlines"
	"ravenhitch/internal/testbed"
	"ravenhitch/internal/testbed/nettest"
	"ravenhitch/placement"
)

// received is a message that a worker has received.
type received struct {
	testbed.Line
	worker string
	conn   net.Conn
}

// attemptTest is a pool with its dispatcher and workers that the test plays. The dispatcher makes the attempts.
type attemptTest struct {
	t          *testing.T
	loop       *eventloop.Loop
	pool       *Pool
	dispatcher *dispatch.Dispatcher
	received   chan received          // messages that the workers have received, without pings
	responses  chan dispatch.Response // responses to the client
}

// Respond implements dispatch.Client.
func (at *attemptTest) Respond(response dispatch.Response) { at.responses <- response }

func newAttemptTest(t *testing.T, workers ...string) *attemptTest {
	t.Helper()
	at := &attemptTest{t: t, received: make(chan received, 100), responses: make(chan dispatch.Response, 100)}
	at.loop, at.pool, at.dispatcher = newPool(t)
	list := placement.WorkerList{Kind: placement.ListFull}
	for _, worker := range workers {
		listener := nettest.Listen(t)
		go at.acceptAll(worker, listener) // ends when the listener is closed at the end of the test
		list.Entries = append(list.Entries, placement.Entry{Worker: worker, Kind: "std"})
		at.pool.UpdateWorker(worker, listener.Addr().String(), true)
	}
	at.dispatcher.UpdateWorkers(at.loop.Now(), list)
	var timer *eventloop.Timer
	t.Cleanup(startLoop(t, at.loop, func(now int64) {
		at.pool.DeliverPending()
		at.dispatcher.Turn(now)
		timer.Stop()
		if next := at.dispatcher.NextDeadline(); next > 0 {
			timer = at.loop.At(next, func() {})
		}
	}))
	return at
}

// acceptAll receives the messages to a worker on all connections.
func (at *attemptTest) acceptAll(worker string, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer testbed.CloseQuietly(conn)
			for scanner := bufio.NewScanner(conn); scanner.Scan(); {
				var line testbed.Line
				if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
					at.t.Errorf("worker %s received %q: %v", worker, scanner.Text(), err)
					return
				}
				if line.Verb == jsonlines.VerbEcho {
					testbed.Send(conn, testbed.CodeLine(jsonlines.VerbEchoed, line.Tag, pingSucceeded))
					continue
				}
				at.received <- received{line, worker, conn}
			}
		}()
	}
}

// submit submits a request whose ID ends in number.
func (at *attemptTest) submit(number int, class string) (requestID string) {
	at.t.Helper()
	requestID = testbed.RequestID(number)
	submission := dispatch.Submission{
		RequestID: requestID, Class: class, Key: fmt.Sprint("k", number), TimeoutUs: 60 * second, Cores: 0.1, Memory: 0.1,
	}
	onLoop(at.loop, func() {
		if err := at.dispatcher.Submit(at.loop.Now(), at, submission); err != nil {
			at.t.Error(err)
		}
	})
	return requestID
}

// expect returns the next message that a worker receives, and checks its verb.
func (at *attemptTest) expect(verb string) received {
	at.t.Helper()
	message := testbed.Wait(at.t, verb, at.received)
	if message.Verb != verb {
		at.t.Fatalf("worker %s received %s, want %s", message.worker, message.Verb, verb)
	}
	return message
}

// expectResponse checks the kind of the next response to the client.
func (at *attemptTest) expectResponse(kind dispatch.ResponseKind) {
	at.t.Helper()
	if response := testbed.Wait(at.t, "a response", at.responses); response.Kind != kind {
		at.t.Fatalf("got response %+v, want kind %v", response, kind)
	}
}

// expectNoResponse waits until the pool has handled what the workers have sent, and fails the test if the client got a
// response. conn must be a connection that the pool keeps. The pool may close others, so that it answers nothing on them. It
// reads all of them in the turn in which it reads conn, so that it has read them all when it answers a second ping.
func (at *attemptTest) expectNoResponse(conn net.Conn) {
	at.t.Helper()
	for range 2 {
		testbed.Send(conn, testbed.Line{Verb: jsonlines.VerbEcho, Tag: testbed.RequestID(0)})
		at.expect(jsonlines.VerbEchoed)
	}
	select {
	case response := <-at.responses:
		at.t.Fatalf("got response %+v, want none", response)
	default:
	}
}

// accept lets a worker accept an offer, and expects that the client is told.
func (at *attemptTest) accept(offer received) {
	at.t.Helper()
	testbed.Send(offer.conn, startedLine(offer.Tag))
	at.expectResponse(dispatch.Started)
}

// expectCancel waits until an offer that the worker does not answer is cancelled. The worker sends a notice before, because
// the pool would abort the connection if it was silent.
func (at *attemptTest) expectCancel(offer received) {
	at.t.Helper()
	testbed.Send(offer.conn, testbed.Line{Verb: jsonlines.VerbNotice, Tag: offer.Tag})
	if cancel := at.expect(jsonlines.VerbFinish); cancel.Tag != offer.Tag {
		at.t.Fatalf("got the cancel of request %s, want that of %s", cancel.Tag, offer.Tag)
	}
}

// warmUp lets a worker accept a request, so that the scheduler knows how soon workers answer. Unanswered attempts are then
// abandoned early.
func (at *attemptTest) warmUp() {
	at.t.Helper()
	at.submit(0xaaaa, "web")
	at.accept(at.expect(jsonlines.VerbStart))
}

// openConn makes the pool open another connection to a worker, and returns the worker's side of it.
func (at *attemptTest) openConn(worker string) net.Conn {
	at.t.Helper()
	onLoop(at.loop, func() {
		l := at.pool.links[worker]
		c := l.dial()
		c.send(&jsonlines.Message{Verb: jsonlines.VerbPending, Tag: requestID})
	})
	return at.expect(jsonlines.VerbPending).conn
}

// Guards against the end of a task that is dropped, because its offer is still open on a connection that is dead: the task was
// offered again, or its client was left without an answer until its time was up.
func TestEndOfTaskWhoseOfferIsOpenOnDeadConnection(t *testing.T) {
	at := newAttemptTest(t, "a")
	id := at.submit(1, "cut")
	at.expect(jsonlines.VerbStart)
	testbed.Send(at.openConn("a"), finishLine(id, jsonlines.CodeEnded))
	at.expectResponse(dispatch.Failed)
}

// A report of the end that overtakes the acceptance on another connection does not take the place of the acceptance.
func TestEndOvertakesAcceptanceOnOtherConnection(t *testing.T) {
	at := newAttemptTest(t, "a")
	id := at.submit(1, "cut")
	offer := at.expect(jsonlines.VerbStart)
	repeated := at.openConn("a")
	testbed.Send(repeated, finishLine(id, jsonlines.CodeEnded))
	at.expectNoResponse(repeated)
	at.accept(offer)
	testbed.Send(offer.conn, finishLine(id, jsonlines.CodeEnded))
	at.expectResponse(dispatch.Completed)
}

// Guards against the answer to an earlier ping of the same turn that confirms a cancel, before the worker has read the cancel:
// the next attempt began while the first could still be accepted.
func TestAnswerToEarlierPingConfirmsNoCancel(t *testing.T) {
	listener := nettest.Listen(t)
	loop, pool, dispatcher := newPool(t)
	offerToWorker(t, listener, loop, pool, dispatcher)
	defer startLoop(t, loop, func(int64) { pool.DeliverPending() })()
	conn := nettest.Accept(t, listener)
	lines := bufio.NewScanner(conn)
	next := func(verb string) (line testbed.Line) {
		t.Helper()
		if !lines.Scan() || json.Unmarshal(lines.Bytes(), &line) != nil || line.Verb != verb {
			t.Fatalf("got message %q, want %s", lines.Text(), verb)
		}
		return line
	}
	next(jsonlines.VerbStart)
	onLoop(loop, func() {
		pool.links[workerName].pingAll()
		pool.CancelAttempt(workerName, requestID, true)
	})
	earlier := next(jsonlines.VerbEcho)
	next(jsonlines.VerbFinish)
	next(jsonlines.VerbEcho)
	testbed.Send(conn, testbed.CodeLine(jsonlines.VerbEchoed, earlier.Tag, pingSucceeded))
	testbed.Send(conn, testbed.Line{Verb: jsonlines.VerbEcho, Tag: requestID})
	next(jsonlines.VerbEchoed) // the pool has read the answer
	onLoop(loop, func() {
		if pool.UnconfirmedCancels() != 1 {
			t.Error("the answer to an earlier ping confirmed the cancel, want it unconfirmed")
		}
	})
}

func startedLine(requestID string) testbed.Line {
	description := "held"
	return testbed.Line{Verb: jsonlines.VerbStarted, Tag: requestID, Blob: &description}
}

func finishLine(requestID string, code int) testbed.Line {
	return testbed.CodeLine(jsonlines.VerbFinish, requestID, code)
}

// Guards against the second copy of a rejection that ends the next attempt at the same worker (review/1): the task was
// started at two workers, though its class must not run twice.
func TestRejectionCopyKeepsNextAttempt(t *testing.T) {
	for _, code := range []int{jsonlines.CodeRejected, jsonlines.CodeNeverSent} {
		t.Run(fmt.Sprint("code ", code), func(t *testing.T) {
			at := newAttemptTest(t, "a")
			id := at.submit(1, "cut")
			first := at.expect(jsonlines.VerbStart)
			testbed.Send(first.conn, finishLine(id, code))
			second := at.expect(jsonlines.VerbStart)
			testbed.Send(first.conn, finishLine(id, code)) // the copy
			at.expectNoResponse(second.conn)
			at.accept(second)
			testbed.Send(first.conn, finishLine(id, code)) // another copy, while the task runs
			at.expectNoResponse(second.conn)
			testbed.Send(second.conn, finishLine(id, jsonlines.CodeEnded))
			at.expectResponse(dispatch.Completed)
		})
	}
}

// Guards against the repeat of the end of a cancelled attempt that ends the next attempt at the same worker (review/3): the
// client was told that its task is over while it ran.
func TestRepeatedEndKeepsRunningTask(t *testing.T) {
	at := newAttemptTest(t, "a")
	at.warmUp()
	id := at.submit(1, "web")
	first := at.expect(jsonlines.VerbStart)
	at.expectCancel(first)
	testbed.Send(first.conn, finishLine(id, jsonlines.CodeCancelled))
	select {
	case second := <-at.received:
		t.Errorf("worker received a second %s of request %s, want none: its task may have run there", second.Verb, id)
		at.accept(second)
		repeated := at.openConn("a")
		testbed.Send(repeated, finishLine(id, jsonlines.CodeCancelled))
		at.expectNoResponse(repeated)
	case response := <-at.responses:
		if response.Kind != dispatch.Rejected {
			t.Errorf("got response %+v, want a rejection", response)
		}
	}
}

// Guards against messages about a cancelled attempt that end or accept the next one. The worker accepted the first attempt
// just before it read the cancel, and it answers the ping behind the cancel before it reports the end of the task.
func TestMessagesOfCancelledAttemptKeepNextAttempt(t *testing.T) {
	drained := func(id string) testbed.Line {
		line := finishLine(id, jsonlines.CodeReset)
		line.Opts = map[string]string{"note": "drained"}
		return line
	}
	code := func(code int) func(id string) testbed.Line {
		return func(id string) testbed.Line { return finishLine(id, code) }
	}
	messages := map[string]func(id string) testbed.Line{
		"cancelled": code(jsonlines.CodeCancelled), "completed": code(jsonlines.CodeEnded), "reset": code(jsonlines.CodeReset),
		"drained": drained, "rejected": code(jsonlines.CodeRejected), "never sent": code(jsonlines.CodeNeverSent),
		"failed": code(jsonlines.CodeFailed), "accepted": startedLine,
	}
	for name, message := range messages {
		for _, isRunning := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, next attempt accepted: %v", name, isRunning), func(t *testing.T) {
				t.Parallel()
				at := newAttemptTest(t, "a", "b")
				at.warmUp()
				id := at.submit(1, "web")
				first := at.expect(jsonlines.VerbStart)
				at.expectCancel(first)
				next := at.expect(jsonlines.VerbStart)
				if isRunning {
					at.accept(next)
				}
				repeated := at.openConn(first.worker)
				for _, conn := range []net.Conn{first.conn, repeated} {
					testbed.Send(conn, message(id))
				}
				at.expectNoResponse(repeated)
				if !isRunning {
					at.accept(next)
				}
				testbed.Send(next.conn, finishLine(id, jsonlines.CodeEnded))
				at.expectResponse(dispatch.Completed)
			})
		}
	}
}
