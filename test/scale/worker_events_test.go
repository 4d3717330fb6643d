package scale

import (
	"slices"
	"time"
)

// This file contains the ledger's handlers for events at workers. They record which tasks run on which workers,
// which tasks start twice, and which completions have not been reported to their clients.

// run describes an attempt whose task runs at a worker. All attempts of one request have the same request ID.
type run struct {
	worker, requestID string
	at                time.Time // time of the start
}

// Accepted implements hollow.Observer. It records that a task has started at a worker.
func (l *ledger) Accepted(worker, key, requestID string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if other := l.running[key]; len(other) > 0 {
		l.duplicateStart(requestID, worker, other[0])
	}
	l.running[key], l.keys[requestID] = append(l.running[key], run{worker, requestID, time.Now()}), key
	// If the request ID has an unreported completion, that completion belonged to an earlier attempt of the request.
	// It need not be reported, because the task runs again.
	delete(l.unreported, requestID)
}

// duplicateStart counts the start of a task that already runs. The start counts as a repeat if the rules allow
// it, and as a violation otherwise. In a class with semantics "free", every repeat is allowed. In a class with
// semantics "guarded", a repeat within repeatWindow is allowed, because real workers discard it. Hollow workers do
// not discard it. The caller holds l.mutex.
func (l *ledger) duplicateStart(requestID, worker string, other run) {
	r := l.requests[requestID]
	switch {
	case r != nil && r.job.class.semantics == semanticsFree,
		r != nil && r.job.class.semantics == semanticsGuarded && time.Since(other.at) < repeatWindow:
		l.counts.repeats++
	default:
		l.counts.duplicateStarts++
	}
	if l.counts.duplicateStarts+l.counts.repeats <= maxDuplicatesLogged {
		class := "unknown (the request is not in the ledger)"
		if r != nil {
			class = r.job.class.name
		}
		l.logf("started twice: class %s, request %s at %s, request %s at %s %s earlier", class, requestID, worker, other.requestID, other.worker,
			time.Since(other.at).Round(time.Microsecond))
	}
}

// maxDuplicatesLogged is the maximum number of duplicate starts that are logged.
const maxDuplicatesLogged = 5

// Ended implements hollow.Observer. It removes the run that has ended and records a completion of which the client
// must be notified. It records no completion if another attempt of the same request still runs, if the ledger no
// longer contains the request, or if the ledger is closed.
func (l *ledger) Ended(worker, requestID string, at time.Time, lost bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	key := l.keys[requestID]
	others := slices.DeleteFunc(l.running[key], func(r run) bool { return r.worker == worker && r.requestID == requestID })
	if l.running[key] = others; len(others) == 0 {
		delete(l.running, key)
	}
	if slices.ContainsFunc(others, func(r run) bool { return r.requestID == requestID }) {
		return // another attempt of the same request runs
	}
	delete(l.keys, requestID)
	if l.requests[requestID] == nil || l.closed {
		return
	}
	l.unreported[requestID] = at
	if lost {
		l.lost[requestID] = true
	}
}

// clearUnreported removes the completion of a request from l.unreported. Either the client has been notified, or
// no report is required. The caller holds l.mutex.
func (l *ledger) clearUnreported(requestID string) {
	delete(l.unreported, requestID)
	delete(l.lost, requestID)
}

// lostUnreported returns the number of tasks that were lost with their workers and whose clients have not been
// notified of the loss yet.
func (l *ledger) lostUnreported() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.lost)
}
