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

// This file owns one connection of an orchestrator to a worker.

// unknownOrchestrator is the owner of a connection by which no set-up came yet.
const unknownOrchestrator = -1

type connection struct {
	worker *Worker
	socket net.Conn
	// orchestrator is whose it is, as the first set-up tells. The worker's lock guards it.
	orchestrator int
	writing      sync.Mutex
	usedAt       atomic.Int64 // Unix time of its last message or of its begin, in nanoseconds
}

func newConnection(w *Worker, socket net.Conn) *connection {
	c := &connection{worker: w, socket: socket, orchestrator: unknownOrchestrator}
	c.used()
	return c
}

func (c *connection) used() { c.usedAt.Store(time.Now().UnixNano()) }

// closeUnused closes the connections without a message since a moment, unless the worker is silent.
func (w *Worker) closeUnused(since time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for c := range w.connections {
		if !w.silent && c.usedAt.Load() < since.UnixNano() {
			c.socket.Close()
		}
	}
}

// send writes a message. That the other side is gone shows when reading.
func (c *connection) send(line testbed.Line) {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.worker.fleet.messages.Add(1)
	c.used()
	testbed.Send(c.socket, line)
}

func (c *connection) reset() {
	c.socket.(*net.TCPConn).SetLinger(0)
	c.socket.Close()
}

func (c *connection) serve() {
	defer c.closed()
	for scanner := bufio.NewScanner(c.socket); scanner.Scan(); {
		var line testbed.Line
		if json.Unmarshal(scanner.Bytes(), &line) != nil {
			return
		}
		c.worker.fleet.messages.Add(1)
		c.used()
		if !c.worker.isSilent() {
			c.message(line)
		}
	}
}

func (c *connection) closed() {
	c.worker.mutex.Lock()
	delete(c.worker.connections, c)
	c.worker.mutex.Unlock()
	c.socket.Close()
}

func (w *Worker) isSilent() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.silent
}

func (c *connection) message(line testbed.Line) {
	switch line.Verb {
	case "START":
		c.identify(line.Tag)
		c.worker.start(c, line)
	case "FINISH":
		c.worker.end(line.Tag, causeCancelled)
	case "ECHO":
		c.send(testbed.FinishLine("ECHOED", line.Tag, 1))
	}
}

func (c *connection) identify(tag string) {
	if orchestrator, ok := TagOrchestrator(tag); ok {
		c.worker.mutex.Lock()
		c.orchestrator = orchestrator
		c.worker.mutex.Unlock()
	}
}

// Test sends a test, in a message with the options given, on one of the worker's connections; it reports whether there was one.
func (w *Worker) Test(tag string, options map[string]string) bool {
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
	test := testbed.FinishLine("ECHO", tag, 0)
	test.Opts = options
	to.send(test)
	return true
}
