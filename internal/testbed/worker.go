package testbed

import (
	"bufio"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"
)

// This file owns the stand-in worker's listener, its connections and what it reads on
// them. What it answers is in worker_script.go and capacity_model.go.

// maxLostOffers bounds the offers that Worker.LostOffers holds.
const maxLostOffers = 1000

// Worker is a stand-in worker. Without a CapacityModel it answers an offer by the script
// that the task's key names (see answerByScript); with one, the model answers.
type Worker struct {
	Name   string
	Kind   string    // as the list has it; "std" unless it is set
	Starts chan Line // offers, in order; only without a CapacityModel
	Ends   chan Line // cancels and releases, in order; the same
	// LostOffers are the offers whose connection closed before the orchestrator released them,
	// answered or not: closing a connection cancels what is open on it. It holds maxLostOffers;
	// what comes beyond is dropped.
	LostOffers chan Line
	// Attempts records the attempts here, where it is set before the first connection.
	Attempts *AttemptLog

	host         Host
	listener     net.Listener
	proxyAddress string // where orchestrators reach it, "" where that is its listener's
	model        *CapacityModel

	mu               sync.Mutex
	dialled          *sync.Cond // a connection came
	connections      map[net.Conn]bool
	offerConnections map[string]net.Conn // by request ID
	running          map[string]bool     // by request ID
	offers           map[string]int      // by key
	dials            int                 // connections so far
	unreported       []Line              // completions for the next connection
	unresponsive     bool                // it reads, and writes nothing any more
	incarnation      int                 // of its process: how often it crashed
	connectionEnds   []time.Time
	pings            int // so far
}

// NewWorker starts a worker that follows its script, and ends with the test.
func NewWorker(t Host, name string) *Worker { return newWorker(t, name, nil) }

func newWorker(t Host, name string, model *CapacityModel) *Worker {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &Worker{
		Name:             name,
		Kind:             "std",
		Starts:           make(chan Line, maxUnread),
		Ends:             make(chan Line, maxUnread),
		LostOffers:       make(chan Line, maxLostOffers),
		host:             t,
		listener:         listener,
		model:            model,
		connections:      map[net.Conn]bool{},
		offerConnections: map[string]net.Conn{},
		running:          map[string]bool{},
		offers:           map[string]int{},
	}
	w.dialled = sync.NewCond(&w.mu)
	go w.accept(listener)
	t.Cleanup(w.close)
	return w
}

// accept takes connections until the listener is closed.
func (w *Worker) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.connections[conn] = true
		w.dials++
		w.dialled.Broadcast()
		unreported := w.unreported
		w.unreported = nil
		w.mu.Unlock()
		if w.proxyAddress == "" { // else the proxy knows what the orchestrator closed
			w.Attempts.connected(conn.RemoteAddr().String(), func() bool { return closedByPeer(conn.(*net.TCPConn)) })
		}
		for _, line := range unreported {
			Send(conn, line)
		}
		go w.serve(conn)
	}
}

func (w *Worker) close() {
	w.mu.Lock()
	CloseQuietly(w.listener)
	w.mu.Unlock()
	w.CloseConnections()
}

// serve reads a connection to its end.
func (w *Worker) serve(conn net.Conn) {
	w.mu.Lock()
	incarnation := w.incarnation
	w.mu.Unlock()
	open := map[string]Line{} // offers on this connection that were not released
	defer func() { w.disconnected(conn, open) }()
	for scanner := bufio.NewScanner(conn); scanner.Scan(); {
		var line Line
		if json.Unmarshal(scanner.Bytes(), &line) != nil {
			return
		}
		if !w.reads(incarnation) {
			continue
		}
		switch line.Verb {
		case "START":
			open[line.Tag] = line
			if !w.receiveOffer(conn, line) {
				return
			}
		case "FINISH":
			delete(open, line.Tag)
			w.receiveCancel(conn, line)
		case "ECHO":
			w.receivePing(conn, line)
		}
	}
}

// disconnected takes the end of a connection and the offers that were open on it.
func (w *Worker) disconnected(conn net.Conn, open map[string]Line) {
	w.mu.Lock()
	delete(w.connections, conn)
	w.connectionEnds = append(w.connectionEnds, time.Now())
	maps.DeleteFunc(w.offerConnections, func(_ string, offered net.Conn) bool { return offered == conn })
	w.mu.Unlock()
	// Also behind a proxy, which has recorded the close when it came: the worker may have read an offer after that.
	w.Attempts.connectionClosed(conn.RemoteAddr().String())
	for _, line := range open {
		select {
		case w.LostOffers <- line:
		default: // nobody reads them: a full channel must not block the connection's end
		}
	}
}

// receiveOffer takes an offer, and reports whether its connection is still open.
func (w *Worker) receiveOffer(conn net.Conn, line Line) (open bool) {
	if w.model == nil {
		w.mu.Lock()
		w.offerConnections[line.Tag] = conn
		w.mu.Unlock()
	}
	w.Attempts.offered(w.Name, conn.RemoteAddr().String(), line.Tag)
	if w.model != nil {
		w.model.offered(conn, line)
		return true
	}
	open = w.answerByScript(conn, line)
	w.Starts <- line
	return open
}

func (w *Worker) receiveCancel(conn net.Conn, line Line) {
	w.Attempts.ended(w.Name, line.Tag)
	if w.model != nil {
		w.model.cancelled(line.Tag)
		return
	}
	w.mu.Lock()
	wasRunning := w.running[line.Tag]
	delete(w.running, line.Tag)
	delete(w.offerConnections, line.Tag)
	w.mu.Unlock()
	if wasRunning {
		Send(conn, FinishLine("FINISH", line.Tag, codeCancelled))
	}
	w.Ends <- line
}

func (w *Worker) receivePing(conn net.Conn, line Line) {
	w.mu.Lock()
	w.pings++
	w.mu.Unlock()
	Send(conn, FinishLine("ECHOED", line.Tag, codeOK))
}

func (w *Worker) has(conn net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.connections[conn]
}

// report sends what concerns a task on the connection of its offer, else on any open one,
// else on the next.
func (w *Worker) report(conn net.Conn, line Line) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.connections[conn] {
		for other := range w.connections {
			conn = other
		}
	}
	if !w.connections[conn] {
		w.unreported = append(w.unreported, line)
		return
	}
	Send(conn, line)
}

// SendFinish completes a running task as the protocol has it: reported on the connection of
// its offer while that looks open here, else on any open one, and also on the next one
// opened.
func (w *Worker) SendFinish(requestID string, rc int) {
	w.sendEnd(requestID, FinishLine("FINISH", requestID, rc))
}

// SendAway ends a running task as a draining worker does, reported as SendFinish has it.
func (w *Worker) SendAway(requestID string) { w.sendEnd(requestID, drainedLine(requestID)) }

// sendEnd ends a running task, and reports that with a message.
func (w *Worker) sendEnd(requestID string, line Line) {
	w.Attempts.ended(w.Name, requestID)
	w.mu.Lock()
	conn := w.offerConnections[requestID]
	delete(w.running, requestID)
	w.mu.Unlock()
	w.report(conn, line)
	w.mu.Lock()
	w.unreported = append(w.unreported, line)
	w.mu.Unlock()
}

// End completes a task with a code, reported on any open connection or on the next one
// opened, for which it waits.
func (w *Worker) End(requestID string, rc int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.running, requestID)
	delete(w.offerConnections, requestID)
	for len(w.connections) == 0 {
		w.dialled.Wait()
	}
	for conn := range w.connections {
		Send(conn, FinishLine("FINISH", requestID, rc))
		return
	}
}

// SendNotice sends a notice that concerns no task on every open connection: the worker is up.
func (w *Worker) SendNotice() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for conn := range w.connections {
		Send(conn, Line{Verb: "NOTICE", Tag: RequestID(0), Opts: map[string]string{"note": "up", "value": "0"}})
	}
}

// Addr is where orchestrators reach it.
func (w *Worker) Addr() string {
	if w.proxyAddress != "" {
		return w.proxyAddress
	}
	return w.listener.Addr().String()
}

// StartCount is the number of offers of a task.
func (w *Worker) StartCount(key string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.offers[key]
}

// HasTask reports whether the task of a request runs.
func (w *Worker) HasTask(requestID string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running[requestID]
}

// TaskCount is the number of running tasks.
func (w *Worker) TaskCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}

// PingCount is the number of pings so far.
func (w *Worker) PingCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pings
}

// DialCounts is how many connections came, and how many are open.
func (w *Worker) DialCounts() (came, open int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dials, len(w.connections)
}

// LostConnection reports whether one of its connections ended between two times, from whichever side.
func (w *Worker) LostConnection(from, to time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.connectionEnds, func(at time.Time) bool { return at.After(from) && at.Before(to) })
}

// ListEntry is its entry on the list.
func (w *Worker) ListEntry(phase string) string { return w.ListEntryAt(phase, w.Addr()) }

// ListEntryAt is the same for whoever reaches it at another address.
func (w *Worker) ListEntryAt(phase, addr string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"hall-a","flavor":%q,"cell":1,"phase":%q,"size":1,`+
		`"up_since_ms":0,"spare":[32,64]}`, w.Name, addr, w.Kind, phase)
}
