package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"ravenhitch/internal/testbed"
)

// This file records all requests as clients and workers observed them. It checks no rules.

// request records the observations of one request. The time of an event that did not happen is zero.
type request struct {
	id, key        string
	class          string
	process        *process
	timeout        time.Duration
	submittedAt    time.Time
	respondedAt    time.Time   // arrival time of the first response
	response       string      // verb of the first response
	responses      int         // number of responses, plus the number of completion reports after the first report
	leftAt         time.Time   // time when the client cancelled the request or left, and thereby abandoned the request
	disconnectedAt time.Time   // time when the connection ended before the request had a response
	connection     *connection // connection on which the request was submitted
	worker         *worker     // worker at which the task ended
	endedAt        time.Time   // time when the task ended at the worker
	reportedAt     time.Time   // arrival time of the first FINISH or MOVE message, which reports the end of the request
	startedBy      string      // name of the worker that the first response names, if it is STARTED
	reportedEarly  bool        // the task was running at that worker when a FINISH reported its end
}

// connection records one connection of a client.
type connection struct {
	closedAt time.Time // time when the client closed the connection, zero if it did not
}

// ledger records the requests of all clients, by request ID.
type ledger struct {
	mu                 sync.Mutex
	requests           map[string]*request
	allWaits           []*wait
	refusedConnections int // number of connections that a process refused although it had to accept new connections
}

func newLedger() *ledger { return &ledger{requests: map[string]*request{}} }

// submitted records a request. Clients call it before they write the last byte of the request.
func (l *ledger) submitted(p *process, conn *connection, line testbed.Line, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	timeout, err := time.ParseDuration(line.Opts["left"] + "ms")
	if err != nil {
		panic(err)
	}
	l.requests[line.Tag] = &request{id: line.Tag, key: line.Opts["key"], class: line.Opts["class"], process: p, connection: conn,
		timeout: timeout, submittedAt: now}
}

// received records a message to a client. It returns the key of the message's request and reports whether the message
// is the first response. Messages with a verb other than STARTED, FINISH and MOVE, or with an unknown request ID, are
// ignored.
func (s *scenario) received(line testbed.Line, now time.Time) (key string, isResponse bool) {
	l := s.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[line.Tag]
	if r == nil || line.Verb != "STARTED" && line.Verb != "FINISH" && line.Verb != "MOVE" {
		return "", false
	}
	isCompletion := r.response == "STARTED" && line.Verb != "STARTED"
	switch {
	case r.respondedAt.IsZero():
		r.respondedAt, r.response, r.responses = now, line.Verb, 1
		if line.Verb == "STARTED" {
			r.startedBy, _, _ = strings.Cut(*line.Blob, " ") // the description begins with the name of the worker
		} else {
			r.reportedAt = now // a response other than STARTED ends the request: no report of a completion follows it
		}
		return r.key, true
	case isCompletion && r.reportedAt.IsZero():
		r.reportedAt = now
		r.reportedEarly = line.Verb == "FINISH" && s.attempts.IsRunningAt(r.startedBy, r.id)
	default:
		r.responses++
	}
	return r.key, false
}

// left records that a client cancelled requests, or left while the requests were open.
func (l *ledger) left(requestIDs map[string]bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for requestID := range requestIDs {
		l.requests[requestID].leftAt = now
	}
}

// closed records that a client closed its connection.
func (l *ledger) closed(c *connection, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.closedAt = now
}

// connectionEnded records for each open request that its connection ended before a response.
func (l *ledger) connectionEnded(requestIDs map[string]bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for requestID := range requestIDs {
		l.requests[requestID].disconnectedAt = now
	}
}

// refused records that a process refused a connection.
func (l *ledger) refused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusedConnections++
}

// endedAtWorker records that the task of a request ends now at a worker. It ignores all ends after the first
// one.
func (l *ledger) endedAtWorker(requestID string, w *worker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.requests[requestID]; r != nil && r.endedAt.IsZero() {
		r.endedAt, r.worker = time.Now(), w
	}
}

// isNeverAccepted reports whether workers run the task of a request without ever answering its offer, as the script
// "held" makes them do.
func (l *ledger) isNeverAccepted(requestID string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[requestID]
	return r != nil && strings.HasPrefix(r.key, "held-")
}

// String formats the observations of a request, with times in milliseconds since its submission.
func (r *request) String() string {
	since := func(at time.Time) string {
		if at.IsZero() {
			return "never"
		}
		return fmt.Sprintf("%.1f", float64(at.Sub(r.submittedAt).Microseconds())/1000)
	}
	return fmt.Sprintf("request %s (class %s, key %s) to %s, timeout %s, submitted at %s; in ms since then: "+
		"first response %s %s (%d responses), client cancelled or left %s, connection lost %s, connection closed by its client %s, task ended %s, completion reported %s",
		r.id, r.class, r.key, r.process.Name, r.timeout,
		r.submittedAt.Format("15:04:05.000000"), since(r.respondedAt), r.response, r.responses, since(r.leftAt), since(r.disconnectedAt),
		since(r.connection.closedAt), since(r.endedAt), since(r.reportedAt))
}
