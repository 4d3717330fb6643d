package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"ravenhitch/internal/testbed"
)

// This file owns the record of all requests, as clients and workers saw them. It must never judge them.

// request is one request, as it was seen. Times that did not come are zero.
type request struct {
	id, key     string
	class       string
	process     *process
	timeout     time.Duration
	submittedAt time.Time
	answeredAt  time.Time   // its first response came
	answer      string      // that response
	answers     int         // final responses, or reports of its completion beyond the first
	leftAt      time.Time   // its client cancelled it or left
	lostAt      time.Time   // its connection ended before the response
	connection  *connection // that it was submitted on
	worker      *worker     // where its task ended
	endedAt     time.Time   // its task ended there
	reportedAt  time.Time   // the end was reported to its client
}

// connection is one connection of a client.
type connection struct {
	closedAt time.Time // when its client closed it
}

// ledger records the requests.
type ledger struct {
	mu             sync.Mutex
	requests       map[string]*request
	refusedClients int // connections refused while new ones still come
}

func newLedger() *ledger { return &ledger{requests: map[string]*request{}} }

// submitted records a request before its last byte is written.
func (l *ledger) submitted(p *process, on *connection, line testbed.Line, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	timeout, err := time.ParseDuration(line.Opts["left"] + "ms")
	if err != nil {
		panic(err)
	}
	l.requests[line.Tag] = &request{id: line.Tag, key: line.Opts["key"], class: line.Opts["class"], process: p, connection: on,
		timeout: timeout, submittedAt: now}
}

// received records a message to a client. It returns the key of its request, and whether it is the first response.
func (l *ledger) received(line testbed.Line, now time.Time) (key string, isResponse bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[line.Tag]
	if r == nil || line.Verb != "STARTED" && line.Verb != "FINISH" && line.Verb != "MOVE" {
		return "", false
	}
	isCompletion := r.answer == "STARTED" && line.Verb != "STARTED"
	switch {
	case r.answeredAt.IsZero():
		r.answeredAt, r.answer, r.answers = now, line.Verb, 1
		if line.Verb != "STARTED" {
			r.reportedAt = now // nothing more is owed
		}
		return r.key, true
	case isCompletion && r.reportedAt.IsZero():
		r.reportedAt = now
	default:
		r.answers++
	}
	return r.key, false
}

// left records that a client cancelled requests or left.
func (l *ledger) left(requestIDs map[string]bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for requestID := range requestIDs {
		l.requests[requestID].leftAt = now
	}
}

// closed records that a client closes its connection.
func (l *ledger) closed(c *connection, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.closedAt = now
}

// connectionEnded records the end of a connection on which requests were open.
func (l *ledger) connectionEnded(requestIDs map[string]bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for requestID := range requestIDs {
		l.requests[requestID].lostAt = now
	}
}

// refused records that a process refused a connection.
func (l *ledger) refused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusedClients++
}

// endedAtWorker records that a task ends now.
func (l *ledger) endedAtWorker(requestID string, w *worker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.requests[requestID]; r != nil && r.endedAt.IsZero() {
		r.endedAt, r.worker = time.Now(), w
	}
}

// isHeld reports whether the worker never answers the offer of a request.
func (l *ledger) isHeld(requestID string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[requestID]
	return r != nil && strings.HasPrefix(r.key, "held-")
}

// String is what was seen of a request, in milliseconds since it was submitted.
func (r *request) String() string {
	since := func(at time.Time) string {
		if at.IsZero() {
			return "never"
		}
		return fmt.Sprintf("%.1f", float64(at.Sub(r.submittedAt).Microseconds())/1000)
	}
	return fmt.Sprintf("request %s (%s, %s) to %s, timeout %s, submitted %s: answered %s %s (%d answers), client left %s, "+
		"connection lost %s, connection closed by its client %s, task ended %s, reported %s", r.id, r.class, r.key, r.process.Name, r.timeout,
		r.submittedAt.Format("15:04:05.000000"), since(r.answeredAt), r.answer, r.answers, since(r.leftAt), since(r.lostAt),
		since(r.connection.closedAt), since(r.endedAt), since(r.reportedAt))
}
