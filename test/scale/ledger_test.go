package scale

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ravenhitch/internal/testbed"
)

// This file contains the ledger. It records every task both as its client and as the workers see it, and counts
// the violations of the rules that the two records show.

// completionLimit is the maximum time from the completion of a task to its report to the client.
const completionLimit = 8 * time.Second

// task holds the properties and the state of one task. Starting a task may take several requests.
type task struct {
	job          job
	key          string
	runTime      time.Duration
	submittedAt  time.Time
	running      bool
	orchestrator *orchestrator // orchestrator that got the last request
	worker       string        // ID of the worker that runs the task
	requestID    string        // ID of the last request
}

// request is one submission of a task, or the record of a running task that is registered at an orchestrator.
type request struct {
	*task
	requestID  string
	connection *connection
	deadline   *time.Timer
	answered   bool
}

// counts holds the numbers of events that clients and workers have seen so far.
type counts struct {
	submitted, started, rejected, failed, ended, aborted, migrated, unreachable              int
	urgentLate, unanswered, duplicateStarts, duplicateResponses, lateCompletions, unreported int
	connectionsLost, endedWhileDown, repeats                                                 int
	foreignStarts                                                                            int // starts at workers that are assigned only to other orchestrators
}

// rulesBroken returns the number of violations of rules that must always hold.
func (c counts) rulesBroken() int {
	return c.unanswered + c.duplicateStarts + c.duplicateResponses + c.lateCompletions + c.unreported
}

// ledger records all tasks and requests. It implements hollow.Observer.
type ledger struct {
	mutex      sync.Mutex
	counts     counts
	requests   map[string]*request     // by ID: requests in flight, and those whose task runs as far as the client knows
	pending    map[*task]bool          // submitted tasks that do not run yet as far as their clients know
	running    map[string][]run        // attempts that are running at workers, by the task's key
	keys       map[string]string       // keys of running tasks, by request ID
	lost       map[string]bool         // IDs of requests whose task was lost with its worker; clearUnreported removes them
	unreported map[string]time.Time    // times of completions that have not been reported to the client yet, by request ID
	starts     *hdrhistogram.Histogram // times from the first submission of a task to its start, in microseconds
	closed     bool
	logf       func(format string, args ...any)
	received   chan struct{}                      // gets an element when a message has been received
	retry      func(t *task, after time.Duration) // submits a task again
	// placesAt reports whether worker is assigned to o while all orchestrators run.
	placesAt func(o *orchestrator, worker string) bool
}

const (
	histogramMaxUs  = 120_000_000
	histogramDigits = 3
)

// recordDuration records a duration in microseconds, limited to the bounds of the histogram.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(histogramMaxUs, max(1, d.Microseconds()))) // RecordValue fails only for values out of bounds
}

// Cause codes of FINISH messages in the protocol.
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

// submit records a request. The client calls it before it writes the request.
func (l *ledger) submit(t *task, requestID string, conn *connection) {
	r := &request{task: t, requestID: requestID, connection: conn}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.counts.submitted++
	t.requestID, t.orchestrator = requestID, conn.pool.orchestrator
	l.requests[requestID], l.pending[t] = r, true
	r.deadline = time.AfterFunc(t.job.class.responseTimeout+responseGrace, func() { l.deadlinePassed(r) })
}

// responseGrace is the time after a request's timeout for which its response is still accepted. The rules allow
// a delay of 58 ms. The rest is a reserve for delays on a busy host.
const responseGrace = time.Second

// deadlinePassed counts a request as unanswered if it has no response. The client then cancels the request and
// submits its task again.
func (l *ledger) deadlinePassed(r *request) {
	l.mutex.Lock()
	if r.answered || l.closed {
		l.mutex.Unlock()
		return
	}
	l.counts.unanswered++
	r.answered = true
	delete(l.requests, r.requestID)
	l.clearUnreported(r.requestID)
	l.mutex.Unlock()
	r.connection.cancel(r.requestID)
	l.retry(r.task, minRetryPause)
}

// unreachable counts a request that could not be written. Its client submits the task again.
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

// adopt records a task that was already running at a worker before the run.
func (l *ledger) adopt(t *task) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	t.running = true
	l.requests[t.requestID] = &request{task: t, requestID: t.requestID, answered: true}
	l.running[t.key], l.keys[t.requestID] = []run{{t.worker, t.requestID, time.Now()}}, t.key
}

// startedUnanswered reports whether a task runs although its client got no response that says so, for example
// because the response was lost with the connection. If the task runs, startedUnanswered records the worker and
// the request ID with which it runs.
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

// receive handles a message from an orchestrator.
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

// settle waits until no request is in flight and no completion older than one second is unreported, but at most
// for timeout. The timeout must exceed every request timeout and completionLimit. Then every late response and
// every late report of a completion has been counted when settle returns.
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

// settled reports whether no request is in flight and no completion older than age is unreported.
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

// started handles the response that reports the start of a task. The caller holds l.mutex.
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

// reject handles the rejection or failure of a request and returns the time after which the client
// retries. The caller holds l.mutex.
func (l *ledger) reject(r *request, line testbed.Line) time.Duration {
	r.answered = true
	r.deadline.Stop()
	delete(l.requests, r.requestID)
	l.clearUnreported(r.requestID)
	switch line.Code() {
	case codeRejected, codeUnavailable, codeNeverSent:
		l.counts.rejected++
		return retryAfter(line)
	}
	l.counts.failed++
	return retryAfterFailure
}

// complete handles the end or the migration of a running task. After a migration, it returns the time after which
// the client submits the task again. Otherwise it returns 0, because the task has ended, normally or not. The caller
// holds l.mutex.
func (l *ledger) complete(r *request, line testbed.Line, now time.Time) time.Duration {
	delete(l.requests, r.requestID)
	if at, ok := l.unreported[r.requestID]; ok {
		l.clearUnreported(r.requestID)
		if now.Sub(at) > completionLimit {
			l.counts.lateCompletions++
		}
	}
	switch {
	case line.Verb == "MOVE":
		l.counts.migrated++
		r.running = false
		return minRetryPause
	case line.Code() == codeEnded:
		l.counts.ended++
	default:
		l.counts.aborted++
	}
	return 0
}

// connectionLost handles the end of a connection. It counts all requests in flight on the connection as failed.
// Their clients submit the tasks again.
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

// runningAt returns the running tasks that a restarted orchestrator had started or adopted. It omits tasks that
// have ended without a report, usually while the orchestrator was down, and counts them in endedWhileDown. Their ends
// need not be reported, because clients notice them when they look for running tasks to register again.
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
			l.clearUnreported(requestID)
			l.counts.endedWhileDown++
		}
	}
	return running
}

// snapshot returns the counts. They include urgent tasks that have not started within urgentLimit, and
// completions that have not been reported within completionLimit.
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

// maxUnreportedLogged is the maximum number of unreported completions that describeUnreported describes.
const maxUnreportedLogged = 12

// describeUnreported returns a line for each completion that is still unreported after completionLimit, up to
// maxUnreportedLogged lines. It skips completions whose request is no longer in the ledger.
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

// close stops the timers of the request deadlines. From then on, the ledger counts no request as unanswered
// and records no completion that a worker reports. It still counts messages from orchestrators.
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

// resetStarts clears the recorded times from submission to start.
func (l *ledger) resetStarts() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.starts.Reset()
}

// startPercentileMs returns a percentile of the time from a task's first request to its start, in
// milliseconds.
func (l *ledger) startPercentileMs(percentile float64) float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return float64(l.starts.ValueAtQuantile(percentile)) / 1000
}
