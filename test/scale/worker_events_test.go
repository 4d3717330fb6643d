package scale

import (
	"slices"
	"time"
)

// This file owns what workers notify the ledger of: what runs where, what starts twice, and what
// completed without a report to its client.

// run is a task at a worker. Attempts of one request have the same request ID at all workers.
type run struct {
	worker, requestID string
	at                time.Time
}

// Accepted implements hollow.Observer.
func (l *ledger) Accepted(worker, key, requestID string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if other := l.running[key]; len(other) > 0 {
		l.duplicateStart(requestID, worker, other[0])
	}
	l.running[key], l.keys[requestID] = append(l.running[key], run{worker, requestID, time.Now()}), key
	delete(l.unreported, requestID) // an earlier attempt was cancelled
}

// duplicateStart counts a task that starts while it runs elsewhere: as a broken rule, or as a repeat
// where the rules allow one. A free class may be repeated without a limit; a guarded one within its
// window, as real workers discard the repeat, which hollow ones don't. The lock is held.
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

// maxDuplicatesLogged bounds the duplicate starts that are logged one by one.
const maxDuplicatesLogged = 5

// Ended implements hollow.Observer.
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

// reported forgets the completion of a request: its client has the report, or is owed none. The lock
// is held.
func (l *ledger) reported(requestID string) {
	delete(l.unreported, requestID)
	delete(l.lost, requestID)
}

// lostUnreported is how many tasks were lost with their workers without a report to their clients yet.
func (l *ledger) lostUnreported() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.lost)
}
