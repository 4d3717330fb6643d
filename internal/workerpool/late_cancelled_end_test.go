package workerpool

import (
	"bufio"
	"encoding/json"
	"net"
	"testing"

	"ravenhitch/internal/jsonlines"
	"ravenhitch/internal/testbed"
	"ravenhitch/internal/testbed/nettest"
)

// scriptedWorker is the worker's side of a connection, on which a test reads and writes the messages one by one.
type scriptedWorker struct {
	t       *testing.T
	conn    net.Conn
	scanner *bufio.Scanner
}

// expect reads the next message from the orchestrator, checks its verb and returns it.
func (w *scriptedWorker) expect(verb string) (line testbed.Line) {
	w.t.Helper()
	if !w.scanner.Scan() {
		w.t.Fatalf("got the end of the connection (error %v), want %s", w.scanner.Err(), verb)
	}
	if err := json.Unmarshal(w.scanner.Bytes(), &line); err != nil || line.Verb != verb {
		w.t.Fatalf("got message %q (error %v), want %s", w.scanner.Text(), err, verb)
	}
	return line
}

// send sends a message and waits until the orchestrator has handled it.
func (w *scriptedWorker) send(line testbed.Line) {
	w.t.Helper()
	testbed.Send(w.conn, line)
	testbed.Send(w.conn, testbed.Line{Verb: jsonlines.VerbEcho, Tag: requestID})
	w.expect(jsonlines.VerbEchoed)
}

// The end of a cancelled task must not end a later attempt of the same request at the same worker. Here, the worker
// accepts the first attempt just before it reads the cancel. It answers the ping behind the cancel before it reports
// the end of the task. In between, it is offered the request again.
func TestEndOfCancelledTaskKeepsNextAttempt(t *testing.T) {
	listener := nettest.Listen(t)
	loop, pool, dispatcher := newPool(t)
	workerConn := offerToWorker(t, listener, loop, pool, dispatcher)
	defer startLoop(t, loop, func(int64) { pool.DeliverPending() })()
	conn := nettest.Accept(t, listener)
	worker := &scriptedWorker{t, conn, bufio.NewScanner(conn)}
	worker.expect(jsonlines.VerbStart)
	worker.send(testbed.Line{Verb: jsonlines.VerbNotice, Tag: requestID}) // without received data, the cancel would abort the connection

	onLoop(loop, func() { pool.CancelAttempt(workerName, requestID, true) })
	worker.expect(jsonlines.VerbFinish)
	ping := worker.expect(jsonlines.VerbEcho)
	description := "held"
	worker.send(testbed.Line{Verb: jsonlines.VerbStarted, Tag: requestID, Blob: &description})
	worker.send(testbed.CodeLine(jsonlines.VerbEchoed, ping.Tag, pingSucceeded))

	onLoop(loop, func() { pool.Offer(workerName, offerOf(newSubmission())) })
	worker.expect(jsonlines.VerbStart)
	worker.send(testbed.CodeLine(jsonlines.VerbFinish, requestID, jsonlines.CodeCancelled))
	onLoop(loop, func() {
		if workerConn.openOffers[requestID] == nil {
			t.Error("the end of the cancelled task ended the next attempt, want the attempt to stay open")
		}
	})
}
