package testbed

import (
	"encoding/json"
	"net"
	"strings"
)

// This file owns what a stand-in worker without a CapacityModel answers to an offer.

// answerByScript answers an offer as the first word of the task's key says: ok-, full-,
// error-, silent- or reset-. A task missed- is silent at the first attempt of a request and
// ok at those after, at whatever worker. What is half- or bare- is invalid at the first offer
// of a task and fine at the next; twice- is a duplicate and a foreign answer. A task brief- is
// over before it was accepted: one message says both. A task held- runs, and its acceptance
// never comes. It reports whether the connection is still open.
func (w *Worker) answerByScript(conn net.Conn, line Line) (open bool) {
	key := line.Opts["key"]
	w.mu.Lock()
	w.offers[key]++
	w.mu.Unlock()
	switch script := w.script(line); script {
	case "ok":
		w.startTask(conn, line.Tag, *line.Blob)
	case "half", "bare":
		if w.StartCount(key) == 1 {
			answerInvalid(conn, script, line)
			return true
		}
		started := line
		started.Verb = "STARTED"
		Send(conn, started)
	case "twice":
		answerTwice(conn, line)
	case "brief":
		w.Attempts.ended(w.Name, line.Tag)
		finished, blob := FinishLine("FINISH", line.Tag, codeEnded), w.Name+" held "+*line.Blob
		finished.Blob = &blob
		Send(conn, finished)
	case "held":
		w.runTask(line.Tag)
	case "full":
		w.Attempts.ended(w.Name, line.Tag)
		Send(conn, rejectedLine(line.Tag, "busy"))
	case "error":
		w.Attempts.ended(w.Name, line.Tag)
		Send(conn, FinishLine("FINISH", line.Tag, codeFailed))
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

// script is the first word of a task's key, with missed- resolved by the attempt's number.
func (w *Worker) script(line Line) string {
	script, _, _ := strings.Cut(line.Opts["key"], "-")
	if script != "missed" {
		return script
	}
	if w.Attempts.Count(line.Tag) > 1 {
		return "ok"
	}
	return "silent"
}

// Accept answers an offer that the worker was silent about.
func (w *Worker) Accept(requestID string) {
	w.mu.Lock()
	conn := w.offerConnections[requestID]
	w.mu.Unlock()
	w.startTask(conn, requestID, requestID)
}

// startTask lets a task run and answers its offer.
func (w *Worker) startTask(conn net.Conn, requestID, description string) {
	w.runTask(requestID)
	Send(conn, startedLine(requestID, w.Name+" holds "+description))
}

// runTask lets a task run, and answers nothing.
func (w *Worker) runTask(requestID string) {
	w.mu.Lock()
	w.running[requestID] = true
	w.mu.Unlock()
	w.Attempts.accepted(w.Name, requestID)
}

// answerInvalid answers with half a message, or with one that lacks its blob.
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
	_, _ = conn.Write(text[:len(text)/2]) // whoever reads the connection notices its end
}

// answerTwice answers a request that the orchestrator never sent, and then an offer twice.
func answerTwice(conn net.Conn, line Line) {
	line.Verb = "STARTED"
	foreign := line
	foreign.Tag = RequestID(0xffff)
	Send(conn, foreign)
	Send(conn, FinishLine("FINISH", foreign.Tag, codeRejected))
	Send(conn, line)
	Send(conn, line)
}
