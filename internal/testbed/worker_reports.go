package testbed

import (
	"net"
	"slices"
	"time"
)

// This file owns the reports of a stand-in worker on tasks that have ended: which connection gets them, and which of them are lost.

// sentReport is a report of an ended task that was sent on a connection.
type sentReport struct {
	connection net.Conn
	at         time.Time
	lost       bool // the connection ended within reportLossWindow
}

// reportLossWindow is the time for which a report may be on its way when its connection ends.
const reportLossWindow = 100 * time.Millisecond

// report sends a message about a task on the connection conn of its offer. If that connection has ended, report
// uses any open connection. If none is open, the next connection gets the message.
func (w *Worker) report(conn net.Conn, line Line) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reportLocked(conn, line)
}

// reportLocked is report for a caller that holds mu.
func (w *Worker) reportLocked(conn net.Conn, line Line) {
	if !w.connections[conn] {
		for other := range w.connections {
			conn = other
		}
	}
	if !w.connections[conn] {
		w.unreported = append(w.unreported, line)
		return
	}
	w.recordReport(line, conn)
	Send(conn, line)
}

// SendFinish completes a running task and reports the completion as the protocol specifies. The report goes to
// the connection of the offer, if that connection looks open to the worker, otherwise to any open connection. The
// report is also sent on the next connection, or twice there if no connection was open.
func (w *Worker) SendFinish(requestID string, rc int) {
	w.sendEnd(requestID, CodeLine("FINISH", requestID, rc))
}

// EvictTask ends a running task as a draining worker does and reports the end like SendFinish.
func (w *Worker) EvictTask(requestID string) { w.sendEnd(requestID, drainedLine(requestID)) }

// EndTask completes a task like SendFinish, unless the present process of the worker does not run it: the process that takes the
// place of another knows nothing of its tasks.
func (w *Worker) EndTask(requestID string, rc int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running[requestID] {
		w.end(requestID, CodeLine("FINISH", requestID, rc))
	}
}

// sendEnd ends a running task and reports the end with the given message.
func (w *Worker) sendEnd(requestID string, line Line) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.end(requestID, line)
}

// end ends a running task and reports the end with the given message. The caller holds mu.
func (w *Worker) end(requestID string, line Line) {
	w.attempts.ended(w.Name, requestID)
	delete(w.running, requestID)
	w.reportLocked(w.offerConnections[requestID], line)
	w.unreported = append(w.unreported, line)
}

// ForgetReports drops the reports of ended tasks that the worker would send on its next connection.
func (w *Worker) ForgetReports() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unreported = nil
}

// ReportCompletion completes a task and reports the completion with a code on any open connection. If no
// connection is open, ReportCompletion waits for the next one.
func (w *Worker) ReportCompletion(requestID string, rc int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.running, requestID)
	delete(w.offerConnections, requestID)
	for len(w.connections) == 0 {
		w.dialled.Wait()
	}
	for conn := range w.connections {
		Send(conn, CodeLine("FINISH", requestID, rc))
		return
	}
}

// WillReport reports whether the worker will send the end of a task on its next connection.
func (w *Worker) WillReport(requestID string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.unreported, func(line Line) bool { return line.Tag == requestID })
}

// recordReport records that a report of an ended task is sent on a connection. The caller holds mu.
func (w *Worker) recordReport(line Line, conn net.Conn) {
	if line.Verb == "FINISH" {
		w.sentReports[line.Tag] = append(w.sentReports[line.Tag], &sentReport{connection: conn, at: time.Now()})
	}
}

// LostReports reports whether the reports of an ended task may all be lost: it was reported as often as the protocol
// specifies, and each connection on which it was reported ended within reportLossWindow.
func (w *Worker) LostReports(requestID string) bool {
	const reportCount = 2
	w.mu.Lock()
	defer w.mu.Unlock()
	reports := w.sentReports[requestID]
	return len(reports) >= reportCount && !slices.ContainsFunc(reports, func(report *sentReport) bool { return !report.lost })
}

// ReportedSince reports whether the worker sent a report of an ended task after a time, on a connection that did not end within
// reportLossWindow.
func (w *Worker) ReportedSince(requestID string, since time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.sentReports[requestID], func(r *sentReport) bool { return r.at.After(since) && !r.lost })
}
