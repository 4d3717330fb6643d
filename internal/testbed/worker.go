package testbed

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"
)

// This file owns the stand-in worker's listener and connections and the messages that it reads.
// The responses to offers are in worker_script.go and capacity_model.go.

// maxLostOffers is the capacity of Worker.LostOffers.
const maxLostOffers = 1000

// Worker is a stand-in worker. If it has a CapacityModel, the model responds to offers.
// Otherwise the script that the task's key names determines the response (see answerByScript).
type Worker struct {
	Name    string
	Kind    string    // kind in the worker's list entry, "std" by default
	Offers  chan Line // received offers, in order; only without a CapacityModel
	Cancels chan Line // received cancels and releases, in order; only without a CapacityModel
	// LostOffers receives each offer whose connection ended before the orchestrator cancelled the offer or released
	// its task. This includes offers to which the worker responded. Closing a connection cancels its open offers, so
	// these offers appear here and not in Cancels. If maxLostOffers offers are waiting in the channel, further offers
	// are dropped.
	LostOffers chan Line
	// Size is the size of the worker and TaskSize that of each of its tasks. If they are set, the answers to pings carry a load
	// report. They must not change once the worker is listed.
	Size, TaskSize Resources

	host         Host
	listener     net.Listener
	attempts     *AttemptLog // set by RecordAttempts, nil if no attempts are recorded
	proxyAddress string      // address of the proxy for orchestrators, "" if they use the listener's address
	model        *CapacityModel

	mu               sync.Mutex // also guards attempts and proxyAddress until the first connection, which change no more then
	dialled          *sync.Cond // signalled when a connection is accepted
	connections      map[net.Conn]bool
	offerConnections map[string]net.Conn      // connection of each offer, by request ID
	running          map[string]bool          // running tasks, by request ID
	offerCounts      map[string]int           // number of offers, by the task's key; only without a CapacityModel
	dials            int                      // number of connections accepted
	unreported       []Line                   // reports of ended tasks to send on the next connection
	sentReports      map[string][]*sentReport // reports of ended tasks, by request ID
	unresponsive     bool                     // the worker reads messages and ignores them
	incarnation      int                      // number of crashes and replacements
	replaced         map[net.Conn]bool        // connections of a replaced process that are open; see ReplaceMachine
	connectionEnds   []time.Time              // end times of connections
	pings            int                      // number of pings received
}

// Resources is an amount of cores and memory.
type Resources struct{ Cores, Memory float64 }

// NewWorker starts a worker without a CapacityModel. The worker is closed at the end of the test or rehearsal.
func NewWorker(t Host, name string) *Worker { return newWorker(t, name, nil) }

func newWorker(t Host, name string, model *CapacityModel) *Worker {
	listener, err := ListenLocal()
	if err != nil {
		t.Fatal(err)
	}
	w := &Worker{
		Name:             name,
		Kind:             "std",
		Offers:           make(chan Line, maxUnread),
		Cancels:          make(chan Line, maxUnread),
		LostOffers:       make(chan Line, maxLostOffers),
		host:             t,
		listener:         listener,
		model:            model,
		connections:      map[net.Conn]bool{},
		offerConnections: map[string]net.Conn{},
		running:          map[string]bool{},
		offerCounts:      map[string]int{},
		sentReports:      map[string][]*sentReport{},
		replaced:         map[net.Conn]bool{},
	}
	w.dialled = sync.NewCond(&w.mu)
	go w.accept(listener)
	t.Cleanup(w.close)
	return w
}

// RecordAttempts records the attempts at this worker in the log. It must be called before the first connection and before
// NewProxy.
func (w *Worker) RecordAttempts(log *AttemptLog) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.attempts = log
}

// useProxy makes the worker's list entries have the address of a proxy.
func (w *Worker) useProxy(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.proxyAddress = address
}

// accept accepts connections until the listener is closed.
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
		for _, line := range unreported {
			w.recordReport(line, conn)
		}
		hasProxy := w.proxyAddress != ""
		w.mu.Unlock()
		if !hasProxy { // if the worker has a proxy, the proxy detects that the orchestrator closed a connection
			w.attempts.connected(conn.RemoteAddr().String(), func() bool { return closedByPeer(conn.(*net.TCPConn)) })
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

// serve handles the messages of a connection until it ends or a message cannot be parsed.
func (w *Worker) serve(conn net.Conn) {
	w.mu.Lock()
	incarnation := w.incarnation
	w.mu.Unlock()
	open := map[string]Line{} // offers on this connection without a cancel or release, by request ID
	defer func() { w.disconnected(conn, open) }()
	defer w.resetIfReplaced(conn)
	for scanner := bufio.NewScanner(conn); scanner.Scan(); {
		if w.isOfReplaced(conn) {
			return
		}
		var line Line
		if json.Unmarshal(scanner.Bytes(), &line) != nil {
			return
		}
		if !w.isResponsive(incarnation) {
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

// disconnected handles the end of a connection. open contains the offers on the connection for which the
// orchestrator sent neither a cancel nor a release.
func (w *Worker) disconnected(conn net.Conn, open map[string]Line) {
	w.mu.Lock()
	delete(w.connections, conn)
	w.connectionEnds = append(w.connectionEnds, time.Now())
	for _, reports := range w.sentReports {
		for _, report := range reports {
			report.lost = report.lost || report.connection == conn && time.Since(report.at) <= reportLossWindow
		}
	}
	maps.DeleteFunc(w.offerConnections, func(_ string, offered net.Conn) bool { return offered == conn })
	w.mu.Unlock()
	// If the orchestrator closed its connection to a proxy, the proxy has recorded the close already. The worker may
	// have read another offer since then, so the close is recorded again.
	w.attempts.connectionClosed(conn.RemoteAddr().String())
	if w.model != nil && isReset(conn) {
		for requestID := range open {
			w.model.offerReset(conn, requestID)
		}
	}
	for _, line := range open {
		select {
		case w.LostOffers <- line:
		default: // if the test does not read LostOffers, the full channel must not block this function
		}
	}
}

// receiveOffer handles an offer and reports whether its connection is still open.
func (w *Worker) receiveOffer(conn net.Conn, line Line) (open bool) {
	if w.model == nil {
		w.mu.Lock()
		w.offerConnections[line.Tag] = conn
		w.mu.Unlock()
	}
	w.attempts.offered(w.Name, conn.RemoteAddr().String(), line.Tag)
	if w.model != nil {
		w.model.offered(conn, line)
		return true
	}
	w.Offers <- line // before the response, so that a test that has seen the response finds the offer
	return w.answerByScript(conn, line)
}

func (w *Worker) receiveCancel(conn net.Conn, line Line) {
	w.attempts.ended(w.Name, line.Tag)
	if w.model != nil {
		w.model.cancelled(line.Tag)
		return
	}
	w.mu.Lock()
	wasRunning := w.running[line.Tag]
	delete(w.running, line.Tag)
	delete(w.offerConnections, line.Tag)
	w.mu.Unlock()
	w.Cancels <- line // before the response, as in receiveOffer
	if wasRunning {
		end := CodeLine("FINISH", line.Tag, codeCancelled)
		Send(conn, end)
		w.mu.Lock()
		w.unreported = append(w.unreported, end)
		w.mu.Unlock()
	}
}

func (w *Worker) receivePing(conn net.Conn, line Line) {
	w.mu.Lock()
	w.pings++
	count := float64(len(w.running))
	w.mu.Unlock()
	answer := CodeLine("ECHOED", line.Tag, codeOK)
	if w.Size.Cores > 0 {
		answer.Opts["load"] = fmt.Sprintf("x0:%g;x1:%g", w.Size.Cores-count*w.TaskSize.Cores, w.Size.Memory-count*w.TaskSize.Memory)
	}
	Send(conn, answer)
}

func (w *Worker) has(conn net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.connections[conn]
}

// SendNotice sends a notice on every open connection. The notice has the request ID 0, which belongs to no task, and
// only shows that the worker is alive.
func (w *Worker) SendNotice() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for conn := range w.connections {
		Send(conn, Line{Verb: "NOTICE", Tag: RequestID(0), Opts: map[string]string{"note": "up", "value": "0"}})
	}
}

// SendTaskNotice sends a notice about a task on every open connection, unless the present process of the worker does not run it.
func (w *Worker) SendTaskNotice(requestID string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.running[requestID] {
		return
	}
	for conn := range w.connections {
		Send(conn, Line{Verb: "NOTICE", Tag: requestID, Opts: map[string]string{"note": "cpu", "value": "0.5"}})
	}
}

// Addr returns the address at which orchestrators connect to the worker.
func (w *Worker) Addr() string {
	if w.proxyAddress != "" {
		return w.proxyAddress
	}
	return w.listener.Addr().String()
}

// OfferCount returns the number of offers of the task with the given key. It is 0 for a worker with a CapacityModel.
func (w *Worker) OfferCount(key string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.offerCounts[key]
}

// HasTask reports whether the task of a request is running. It is false for a worker with a CapacityModel.
func (w *Worker) HasTask(requestID string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running[requestID]
}

// TaskCount returns the number of running tasks. It is 0 for a worker with a CapacityModel.
func (w *Worker) TaskCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}

// PingCount returns the number of pings received so far.
func (w *Worker) PingCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pings
}

// DialCounts returns the number of connections accepted so far and the number that are open.
func (w *Worker) DialCounts() (accepted, open int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dials, len(w.connections)
}

// LostConnection reports whether a connection of the worker ended between two times. It does not matter which
// side closed the connection.
func (w *Worker) LostConnection(from, to time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.connectionEnds, func(at time.Time) bool { return at.After(from) && at.Before(to) })
}

// ListEntry returns the worker's list entry with a phase.
func (w *Worker) ListEntry(phase string) string { return w.ListEntryAt(phase, w.Addr()) }

// ListEntryAt returns the worker's list entry with a phase and an address other than Addr. Its spare capacity is that of an empty
// worker, if the size is set.
func (w *Worker) ListEntryAt(phase, addr string) string {
	spare := cmp.Or(w.Size, Resources{Cores: 32, Memory: 64})
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"hall-a","flavor":%q,"cell":1,"phase":%q,"size":1,`+
		`"up_since_ms":0,"spare":[%g,%g]}`, w.Name, addr, w.Kind, phase, spare.Cores, spare.Memory)
}
