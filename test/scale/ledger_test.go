package scale

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ravenhitch/internal/testbed"
)

// This file owns the ledger: every task as its client and its workers see it, and the rules that are
// checked on both.

// completionLimit is how long the report of a completion may take to its client.
const completionLimit = 8 * time.Second

// task is one that a client wants, however many requests that takes.
type task struct {
	job          job
	key          string
	runTime      time.Duration
	submittedAt  time.Time
	running      bool
	orchestrator *orchestrator // of the last request
	worker       string        // where it runs
	requestID    string        // of the last request
}

// request is one submission of a task.
type request struct {
	*task
	requestID  string
	connection *connection
	deadline   *time.Timer
	answered   bool
}

// counts are what clients and workers have seen so far.
type counts struct {
	submitted, started, rejected, failed, ended, aborted, migrated, unreachable              int
	urgentLate, unanswered, duplicateStarts, duplicateResponses, lateCompletions, unreported int
	connectionsLost, endedWhileDown, repeats                                                 int
	foreignStarts                                                                            int // starts at workers of another orchestrator
}

// rulesBroken adds up what must never be.
func (c counts) rulesBroken() int {
	return c.unanswered + c.duplicateStarts + c.duplicateResponses + c.lateCompletions + c.unreported
}

// ledger records the tasks. It implements hollow.Observer.
type ledger struct {
	mutex      sync.Mutex
	counts     counts
	requests   map[string]*request  // by request ID, in flight or running
	pending    map[*task]bool       // that have not started
	running    map[string][]run     // what runs, by the task's key
	keys       map[string]string    // of running tasks, by request ID
	lost       map[string]bool      // request IDs in unreported whose worker failed
	unreported map[string]time.Time // completions without a report to the client yet, by request ID
	starts     *hdrhistogram.Histogram
	closed     bool
	logf       func(format string, args ...any)
	received   chan struct{}                             // has an element after messages came
	retry      func(t *task, after time.Duration)        // submits a task again
	placesAt   func(o *orchestrator, worker string) bool // it places tasks there
}

const (
	histogramMaxUs  = 120_000_000
	histogramDigits = 3
)

// recordDuration records a length of time, which the bounds of a histogram limit.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(histogramMaxUs, max(1, d.Microseconds()))) // a value within the bounds never fails
}

// Codes of FINISH messages, as the protocol numbers them.
const (
	codeEnded       = 16
	codeRejected    = 34
	codeUnavailable = 42
	codeNeverSent   = 102
)

func newLedger() *ledger {
	return &ledger{
		requests:   map[string]*request{},
		pending:    map[*task]bool{},
		running:    map[string][]run{},
		keys:       map[string]string{},
		lost:       map[string]bool{},
		unreported: map[string]time.Time{},
		received:   make(chan struct{}, 1),
		starts:     hdrhistogram.New(1, histogramMaxUs, histogramDigits),
	}
}

// submit records a request before it is written.
func (l *ledger) submit(t *task, requestID string, conn *connection) {
	r := &request{task: t, requestID: requestID, connection: conn}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.counts.submitted++
	t.requestID, t.orchestrator = requestID, conn.pool.orchestrator
	l.requests[requestID], l.pending[t] = r, true
	r.deadline = time.AfterFunc(t.job.class.responseTimeout+responseGrace, func() { l.deadlinePassed(r) })
}

// responseGrace is how long after a request's timeout its response still counts: the rules allow
// 58 ms, and the rest is for a busy host.
const responseGrace = time.Second

// deadlinePassed takes a request without a response; its client cancels it and retries.
func (l *ledger) deadlinePassed(r *request) {
	l.mutex.Lock()
	if r.answered || l.closed {
		l.mutex.Unlock()
		return
	}
	l.counts.unanswered++
	r.answered = true
	delete(l.requests, r.requestID)
	l.reported(r.requestID)
	l.mutex.Unlock()
	r.connection.cancel(r.requestID)
	l.retry(r.task, minRetryPause)
}

// unreachable takes a request that could not be written.
func (l *ledger) unreachable(requestID string) {
	l.mutex.Lock()
	r := l.requests[requestID]
	if r == nil || r.answered {
		l.mutex.Unlock()
		return
	}
	r.answered = true
	r.deadline.Stop()
	delete(l.requests, requestID)
	l.counts.unreachable++
	l.mutex.Unlock()
	l.retry(r.task, retryAfterFailure)
}

// adopt records a task that ran before at a worker.
func (l *ledger) adopt(t *task) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	t.running = true
	l.requests[t.requestID] = &request{task: t, requestID: t.requestID, answered: true}
	l.running[t.key], l.keys[t.requestID] = []run{{t.worker, t.requestID, time.Now()}}, t.key
}

// startedUnanswered reports whether a task runs though its client has no response: that was lost with
// the connection. The task counts as running from now on.
func (l *ledger) startedUnanswered(t *task) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	runs := l.running[t.key]
	if len(runs) == 0 {
		return false
	}
	t.running, t.requestID, t.worker = true, runs[0].requestID, runs[0].worker
	l.requests[t.requestID] = &request{task: t, requestID: t.requestID, answered: true}
	delete(l.pending, t)
	return true
}

// receive takes what an orchestrator sent.
func (l *ledger) receive(line testbed.Line) {
	now := time.Now()
	l.mutex.Lock()
	r := l.requests[line.Tag]
	var retryAfter time.Duration
	switch {
	case r == nil:
	case line.Verb == "STARTED":
		l.started(r, line, now)
	case line.Verb == "FINISH" && !r.answered:
		retryAfter = l.reject(r, line)
	case line.Verb == "FINISH", line.Verb == "MOVE":
		retryAfter = l.complete(r, line, now)
	}
	l.mutex.Unlock()
	if retryAfter > 0 {
		l.retry(r.task, retryAfter)
	}
	select {
	case l.received <- struct{}{}:
	default:
	}
}

// settle waits until no request is in flight and no completion older than a second is unreported, or
// for a timeout. The last request's timeout and the last completion's limit pass within that, so that
// what is late then is counted.
func (l *ledger) settle(timeout time.Duration) {
	expired := time.After(timeout)
	for !l.settled(time.Second) {
		select {
		case <-l.received:
		case <-expired:
			return
		}
	}
}

func (l *ledger) settled(age time.Duration) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, r := range l.requests {
		if !r.answered {
			return false
		}
	}
	for _, at := range l.unreported {
		if time.Since(at) > age {
			return false
		}
	}
	return true
}

// started takes the response that a task was started. The lock is held.
func (l *ledger) started(r *request, line testbed.Line, now time.Time) {
	if r.answered {
		l.counts.duplicateResponses++
		return
	}
	r.answered = true
	r.deadline.Stop()
	l.counts.started++
	r.running = true
	r.worker, _, _ = strings.Cut(*line.Blob, " ")
	if !l.placesAt(r.orchestrator, r.worker) {
		l.counts.foreignStarts++
	}
	delete(l.pending, r.task)
	took := now.Sub(r.submittedAt)
	recordDuration(l.starts, took)
	if r.job.class.urgent && took > urgentLimit {
		l.counts.urgentLate++
	}
}

// reject takes a rejection or a failure, and returns after what time the client retries. The lock is
// held.
func (l *ledger) reject(r *request, line testbed.Line) time.Duration {
	r.answered = true
	r.deadline.Stop()
	delete(l.requests, r.requestID)
	l.reported(r.requestID)
	switch line.Cause() {
	case codeRejected, codeUnavailable, codeNeverSent:
		l.counts.rejected++
		return retryAfter(line)
	}
	l.counts.failed++
	return retryAfterFailure
}

// complete takes the completion or the migration of a running task, and returns after what time the
// client retries, or 0. The lock is held.
func (l *ledger) complete(r *request, line testbed.Line, now time.Time) time.Duration {
	delete(l.requests, r.requestID)
	if at, ok := l.unreported[r.requestID]; ok {
		l.reported(r.requestID)
		if now.Sub(at) > completionLimit {
			l.counts.lateCompletions++
		}
	}
	switch {
	case line.Verb == "MOVE":
		l.counts.migrated++
		r.running = false
		return minRetryPause
	case line.Cause() == codeEnded:
		l.counts.ended++
	default:
		l.counts.aborted++
	}
	return 0
}

// connectionLost takes the requests in flight on a connection that ended; their clients retry.
func (l *ledger) connectionLost(closed *connection) {
	l.mutex.Lock()
	var inFlight []*request
	for requestID, r := range l.requests {
		if r.connection == closed && !r.answered {
			r.answered = true
			r.deadline.Stop()
			delete(l.requests, requestID)
			inFlight = append(inFlight, r)
		}
	}
	l.counts.connectionsLost++
	l.counts.failed += len(inFlight)
	l.mutex.Unlock()
	for _, r := range inFlight {
		l.retry(r.task, retryAfterFailure)
	}
}

// runningAt returns the running tasks that an orchestrator has started. Those that completed while it
// was down need no report: their clients learn it as they look for the tasks to hand over.
func (l *ledger) runningAt(o *orchestrator) (running []*task) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for requestID, r := range l.requests {
		switch _, runs := l.keys[requestID]; {
		case !r.answered || !r.running || r.orchestrator != o:
		case runs:
			running = append(running, r.task)
		default:
			delete(l.requests, requestID)
			l.reported(requestID)
			l.counts.endedWhileDown++
		}
	}
	return running
}

// snapshot returns the counts, with what is overdue by now.
func (l *ledger) snapshot() counts {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	c := l.counts
	for t := range l.pending {
		if t.job.class.urgent && time.Since(t.submittedAt) > urgentLimit {
			c.urgentLate++
		}
	}
	for _, at := range l.unreported {
		if time.Since(at) > completionLimit {
			c.unreported++
		}
	}
	return c
}

// maxUnreportedLogged bounds the completions that are described one by one.
const maxUnreportedLogged = 12

// describeUnreported describes the completions without a report to the client in time.
func (l *ledger) describeUnreported() (lines []string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for requestID, at := range l.unreported {
		r := l.requests[requestID]
		if r == nil || time.Since(at) <= completionLimit || len(lines) == maxUnreportedLogged {
			continue
		}
		lines = append(lines, fmt.Sprintf("request %s at %s, placed by %s, running %v, lost with its worker %v, completed at %s", requestID, r.worker,
			r.orchestrator.Name, r.running, l.lost[requestID], at.Format(time.RFC3339Nano)))
	}
	return lines
}

// close stops the checks.
func (l *ledger) close() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.closed = true
	for _, r := range l.requests {
		if r.deadline != nil {
			r.deadline.Stop()
		}
	}
}

// resetStarts forgets how long starts took.
func (l *ledger) resetStarts() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.starts.Reset()
}

// startPercentileMs is a percentile of the time from a task's first request to its start.
func (l *ledger) startPercentileMs(percentile float64) float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return float64(l.starts.ValueAtQuantile(percentile)) / 1000
}
