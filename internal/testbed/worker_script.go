package testbed

import (
	"encoding/json"
	"hash/fnv"
	"net"
	"strings"
	"time"
)

// This file owns the responses that a stand-in worker without a CapacityModel gives to offers.

// answerByScript responds to an offer according to the script, which is the first word of the task's key. It
// reports whether the connection is still open. The scripts are:
//   - ok- accepts the task.
//   - late- runs the task and sends the acceptance between minLateAnswer and maxLateAnswer after the offer.
//   - full- rejects the offer with the cause busy.
//   - copied- rejects the first attempt of a request without a cause, and sends a second copy of the rejection up to
//     maxCopyDelay later. It accepts later attempts after inspectionDelay. Attempts are counted as for missed-.
//   - error- reports that the task failed.
//   - silent- and any unknown word give no response.
//   - reset- resets the connection.
//   - missed- acts as silent- at the first attempt of a request and as ok- at later attempts. Attempts
//     at any worker that shares the AttemptLog are counted.
//   - half- and bare- give an invalid response to the worker's first offer with this key and accept later offers,
//     but never run the task. The invalid response is half a message (half-) or a message without its blob (bare-).
//   - twice- sends two responses to a request that was never offered, and then the acceptance of the offer twice.
//     It does not run the task.
//   - brief- completes the task at once and reports its acceptance and its completion in one message.
//   - held- runs the task and never sends the acceptance.
func (w *Worker) answerByScript(conn net.Conn, line Line) (open bool) {
	key := line.Opts["key"]
	w.mu.Lock()
	w.offerCounts[key]++
	w.mu.Unlock()
	switch script := w.script(line); script {
	case "ok":
		w.startTask(conn, line.Tag, *line.Blob)
	case "half", "bare":
		if w.OfferCount(key) == 1 {
			answerInvalid(conn, script, line)
			return true
		}
		started := line
		started.Verb = "STARTED"
		Send(conn, started)
	case "twice":
		answerTwice(conn, line)
	case "brief":
		w.attempts.ended(w.Name, line.Tag)
		finished, blob := CodeLine("FINISH", line.Tag, codeEnded), w.Name+" held "+*line.Blob
		finished.Blob = &blob
		Send(conn, finished)
	case "held":
		w.runTask(line.Tag)
	case "late":
		w.runTask(line.Tag)
		started := startedLine(line.Tag, w.Name+" holds "+*line.Blob)
		time.AfterFunc(drawDelay(key, minLateAnswer, maxLateAnswer), func() { Send(conn, started) })
	case "copied":
		w.rejectTwice(conn, line)
	case "inspected":
		time.AfterFunc(inspectionDelay, func() { w.startIfOpen(conn, line) })
	case "full":
		w.attempts.ended(w.Name, line.Tag)
		Send(conn, rejectedLine(line.Tag, "busy"))
	case "error":
		w.attempts.ended(w.Name, line.Tag)
		Send(conn, CodeLine("FINISH", line.Tag, codeFailed))
	case "reset":
		resetOnClose(conn)
		w.mu.Lock()
		delete(w.connections, conn)
		w.mu.Unlock()
		CloseQuietly(conn)
		return false
	}
	return true
}

// The delays of answers.
const (
	inspectionDelay = 30 * time.Millisecond
	minLateAnswer   = 100 * time.Millisecond
	maxLateAnswer   = 1600 * time.Millisecond
	maxCopyDelay    = 20 * time.Millisecond
)

// drawDelay returns a delay of at least shortest and less than longest. It depends only on the task's key, so that the same
// seed draws the same delays.
func drawDelay(key string, shortest, longest time.Duration) time.Duration {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key)) // Write on a hash never returns an error
	return shortest + time.Duration(h.Sum64()%uint64(longest-shortest))
}

// script returns the first word of a task's key. Instead of "missed", it returns "silent" at the first attempt of a request
// and "ok" at later attempts. Instead of "copied", it returns "inspected" at later attempts.
func (w *Worker) script(line Line) string {
	script, _, _ := strings.Cut(line.Opts["key"], "-")
	isFirst := func() bool { return w.attempts.OfferCount(line.Tag) <= 1 }
	switch {
	case script == "missed" && isFirst():
		return "silent"
	case script == "missed":
		return "ok"
	case script == "copied" && !isFirst():
		return "inspected"
	}
	return script
}

// rejectTwice rejects an offer and sends a second copy of the rejection later.
func (w *Worker) rejectTwice(conn net.Conn, line Line) {
	w.attempts.ended(w.Name, line.Tag)
	rejected := CodeLine("FINISH", line.Tag, codeRejected)
	Send(conn, rejected)
	time.AfterFunc(drawDelay(line.Opts["key"], 0, maxCopyDelay), func() { Send(conn, rejected) })
}

// startIfOpen accepts an offer unless it was cancelled or its connection has ended.
func (w *Worker) startIfOpen(conn net.Conn, line Line) {
	w.mu.Lock()
	open := w.offerConnections[line.Tag] == conn
	w.mu.Unlock()
	if open {
		w.startTask(conn, line.Tag, *line.Blob)
	}
}

// Accept accepts an offer to which the worker has not responded.
func (w *Worker) Accept(requestID string) {
	w.mu.Lock()
	conn := w.offerConnections[requestID]
	w.mu.Unlock()
	w.startTask(conn, requestID, requestID)
}

// Reject rejects an offer to which the worker has not responded, with the cause busy.
func (w *Worker) Reject(requestID string) {
	w.mu.Lock()
	conn := w.offerConnections[requestID]
	w.mu.Unlock()
	w.attempts.ended(w.Name, requestID)
	Send(conn, rejectedLine(requestID, "busy"))
}

// startTask runs a task and accepts its offer.
func (w *Worker) startTask(conn net.Conn, requestID, description string) {
	w.runTask(requestID)
	Send(conn, startedLine(requestID, w.Name+" holds "+description))
}

// runTask runs a task without a response to its offer.
func (w *Worker) runTask(requestID string) {
	w.mu.Lock()
	w.running[requestID] = true
	w.mu.Unlock()
	w.attempts.accepted(w.Name, requestID)
}

// answerInvalid sends an invalid response: for the script bare a message without its blob, and otherwise the
// first half of a message.
func answerInvalid(conn net.Conn, script string, line Line) {
	line.Verb = "STARTED"
	if script == "bare" {
		line.Blob = nil
		Send(conn, line)
		return
	}
	text, err := json.Marshal(line)
	if err != nil {
		panic(err)
	}
	_, _ = conn.Write(text[:len(text)/2]) // a write error is ignored: the reader of the connection detects the end
}

// answerTwice sends an acceptance and a rejection of a request that the orchestrator never sent,
// and then accepts an offer twice.
func answerTwice(conn net.Conn, line Line) {
	line.Verb = "STARTED"
	foreign := line
	foreign.Tag = RequestID(0xffff)
	Send(conn, foreign)
	Send(conn, CodeLine("FINISH", foreign.Tag, codeRejected))
	Send(conn, line)
	Send(conn, line)
}
