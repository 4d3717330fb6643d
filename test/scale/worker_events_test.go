package scale

import (
	"slices"
	"time"
)

// This file contains the ledger's handlers for worker events. They track which tasks run on which workers,
// tasks that start twice, and completions that have not been reported to their clients.

// run is a task that runs at a worker. Attempts of one request have the same request ID at all workers.
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
	delete(l.unreported, requestID) // the completion belonged to an earlier, cancelled attempt
}

// duplicateStart counts a task that starts while it already runs, either as a rule violation or, where the
// rules allow it, as a repeat. Tasks of a free class may be repeated without limit. Tasks of a guarded class
// may be repeated within repeatWindow, because real workers discard such a repeat although hollow workers
// do not. The caller holds l.mutex.
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
		class := "unknown: its client has cancelled it"
		if r != nil {
			class = r.job.class.name
		}
		l.logf("started twice: class %s, request %s at %s, request %s at %s %s before", class, requestID, worker, other.requestID, other.worker,
			time.Since(other.at).Round(time.Microsecond))
	}
}

// maxDuplicatesLogged is the maximum number of duplicate starts that are logged one by one.
const maxDuplicatesLogged = 5

// Ended implements hollow.Observer. It records a completion that the client must be notified of, unless
// another attempt of the same request still runs.
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

// clearUnreported removes the completion of a request from l.unreported, because the client has been notified or
// needs no report. The caller holds l.mutex.
func (l *ledger) clearUnreported(requestID string) {
	delete(l.unreported, requestID)
	delete(l.lost, requestID)
}

// lostUnreported returns the number of tasks that were lost with their workers and not yet reported to
// their clients.
func (l *ledger) lostUnreported() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.lost)
}
