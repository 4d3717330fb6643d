package hollow

import (
	"bufio"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ravenhitch/internal/testbed"
)

// This file implements one connection from an orchestrator to a worker. It reads and writes messages
// and does not depend on the state of tasks.

// unknownOrchestrator stands for the orchestrator's index on a connection on which no offer has arrived yet.
const unknownOrchestrator = -1

type connection struct {
	worker *Worker
	socket net.Conn
	// orchestrator is the index of the orchestrator that opened the connection, taken from the request ID of an
	// offer. The worker's lock guards it.
	orchestrator int
	writing      sync.Mutex
	usedAt       atomic.Int64 // Unix time of the last message, or of the start of the connection, in nanoseconds
}

func newConnection(w *Worker, socket net.Conn) *connection {
	c := &connection{worker: w, socket: socket, orchestrator: unknownOrchestrator}
	c.touch()
	return c
}

func (c *connection) touch() { c.usedAt.Store(time.Now().UnixNano()) }

// closeIdle closes the connections on which no message was sent or received since the given time. The connections of
// an unresponsive worker are not closed.
func (w *Worker) closeIdle(since time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for c := range w.connections {
		if !w.unresponsive && c.usedAt.Load() < since.UnixNano() {
			testbed.CloseQuietly(c.socket)
		}
	}
}

// send writes a message. It ignores write errors because the reader notices a closed connection.
func (c *connection) send(line testbed.Line) {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.worker.fleet.messages.Add(1)
	c.touch()
	testbed.Send(c.socket, line)
}

func (c *connection) reset() { testbed.ResetConnection(c.socket) }

// serve reads and handles messages until the connection ends or a message is malformed. An
// unresponsive worker reads messages but does not handle them.
func (c *connection) serve() {
	defer c.close()
	for scanner := bufio.NewScanner(c.socket); scanner.Scan(); {
		var line testbed.Line
		if json.Unmarshal(scanner.Bytes(), &line) != nil {
			return
		}
		c.worker.fleet.messages.Add(1)
		c.touch()
		if !c.worker.isUnresponsive() {
			c.receive(line)
		}
	}
}

func (c *connection) close() {
	c.worker.mutex.Lock()
	delete(c.worker.connections, c)
	c.worker.mutex.Unlock()
	testbed.CloseQuietly(c.socket)
}

func (w *Worker) isUnresponsive() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.unresponsive
}

func (c *connection) receive(line testbed.Line) {
	switch line.Verb {
	case "START":
		c.identify(line.Tag)
		c.worker.receiveOffer(c, line)
	case "FINISH":
		c.worker.complete(line.Tag, codeCancelled)
	case "ECHO":
		c.send(testbed.CodeLine("ECHOED", line.Tag, codeOK))
	}
}

// identify records which orchestrator opened the connection. The request ID of an offer names the orchestrator.
func (c *connection) identify(requestID string) {
	if orchestrator, ok := OrchestratorOf(requestID); ok {
		c.worker.mutex.Lock()
		c.orchestrator = orchestrator
		c.worker.mutex.Unlock()
	}
}

// Ping sends a ping with options on one of the worker's connections. It reports whether the worker has a connection.
func (w *Worker) Ping(requestID string, options map[string]string) bool {
	w.mutex.Lock()
	var to *connection
	for c := range w.connections {
		to = c
		break
	}
	w.mutex.Unlock()
	if to == nil {
		return false
	}
	ping := testbed.CodeLine("ECHO", requestID, 0)
	ping.Opts = options
	to.send(ping)
	return true
}
