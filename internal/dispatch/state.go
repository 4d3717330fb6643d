package dispatch

// This file owns the states of a request and the events that change them. No other file may change
// request.state. This file must never decide that an event has happened.
//
// The transitions, the offer rules (offer.go) and the functions that cause transitions together guarantee these
// invariants:
//
//   - a request gets one final response, by its deadline, unless its client cancels it before then or submitted its
//     task as already running;
//   - a request has at most one open attempt at a time, and none once the request is over;
//   - no request is offered to a worker on which a request with the same ID may have run;
//   - no offer goes to a worker that has been draining for longer than the drain limit;
//   - a task that must not run twice is started at most once, and its request is failed rather than rejected
//     if the task may have been started;
//   - every open or terminating request has a time (request.wakeAt) at which the dispatcher acts even if nothing is
//     reported;
//   - a task occupies capacity of its worker from its start until its end is known or assumed.

import "fmt"

// state is the state of a request.
type state int

const (
	stateNew         state = iota // not in the table yet
	statePending                  // no attempt is open
	stateOffered                  // an attempt is open
	stateCancelling               // the attempt was cancelled, and the cancel is not confirmed
	stateRunning                  // the worker accepted the task, or the task was adopted
	stateTerminating              // released or migrated, and the worker has not reported the completion
	stateRemoved                  // no longer in the table
	stateCount       = iota
)

var stateNames = [stateCount]string{"new", "pending", "offered", "cancelling", "running", "terminating", "removed"}

// String returns the name of the state, which the trace shows.
func (s state) String() string {
	if s >= 0 && int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// isOpen reports whether a request in this state still gets a final response.
func (s state) isOpen() bool {
	return s == statePending || s == stateOffered || s == stateCancelling
}

// occupiesWorker reports whether a request in this state occupies capacity of its worker.
func (s state) occupiesWorker() bool { return s == stateRunning || s == stateTerminating }

// stateEvent is an event that changes the state of a request.
type stateEvent int

const (
	eventSubmitted         stateEvent = iota // the client submitted the request
	eventAdopted                             // the client submitted the task as already running
	eventOffered                             // an offer was sent
	eventAccepted                            // the worker accepted the offer
	eventCancelUnconfirmed                   // the attempt was cancelled and may still be open
	eventAttemptEnded                        // the attempt ended, and no acceptance was received
	eventReleased                            // the task was released or migrated
	eventRemoved                             // rejected, failed or cancelled, or the task ended or became unresponsive
	eventCount             = iota
)

// stateSet is a set of states.
type stateSet uint8

func statesOf(states ...state) (set stateSet) {
	for _, s := range states {
		set |= 1 << s
	}
	return set
}

func (set stateSet) has(s state) bool { return set&(1<<s) != 0 }

// transitions lists for each event the states in which it is legal, and the state to which it leads.
var transitions = [eventCount]struct {
	name string
	from stateSet
	to   state
}{
	eventSubmitted:         {"submitted", statesOf(stateNew), statePending},
	eventAdopted:           {"adopted", statesOf(stateNew), stateRunning},
	eventOffered:           {"offered", statesOf(statePending), stateOffered},
	eventAccepted:          {"accepted", statesOf(stateOffered), stateRunning},
	eventCancelUnconfirmed: {"cancel unconfirmed", statesOf(stateOffered), stateCancelling},
	eventAttemptEnded:      {"attempt ended", statesOf(stateOffered, stateCancelling), statePending},
	eventReleased:          {"released", statesOf(stateRunning), stateTerminating},
	eventRemoved: {"removed", statesOf(statePending, stateOffered, stateCancelling, stateRunning, stateTerminating),
		stateRemoved},
}

// String returns the name of the event, which the log shows.
func (e stateEvent) String() string {
	if e >= 0 && int(e) < len(transitions) {
		return transitions[e].name
	}
	return "unknown"
}

// illegalTransitionError reports an event that is illegal in the state of the request.
type illegalTransitionError struct {
	from  state
	event stateEvent
}

// Error returns a text with the event and the state.
func (e *illegalTransitionError) Error() string {
	return fmt.Sprintf("dispatch: event %q is illegal in state %q", e.event, e.from)
}

// next returns the state to which an event leads, and an *illegalTransitionError if the event is illegal in
// state s.
func (s state) next(event stateEvent) (state, error) {
	rule := &transitions[event]
	if !rule.from.has(s) {
		return rule.to, &illegalTransitionError{s, event}
	}
	return rule.to, nil
}

// transition moves a request to the state to which an event leads, and updates the counts of pending requests
// and of the tasks on each worker. An illegal transition is a bug in this program. It is logged and still
// carried out, because a stuck request would harm its client more.
func (d *Dispatcher) transition(r *request, event stateEvent) {
	to, err := r.state.next(event)
	if err != nil {
		d.log.Error("illegal state transition", "request_id", r.RequestID, "err", err)
	}
	if r.state == to {
		return
	}
	d.countPending(r, to)
	d.countOccupied(r, to)
	r.state = to
}

// countOccupied updates tasksByWorker for a request that is about to change to the given state.
func (d *Dispatcher) countOccupied(r *request, to state) {
	was, is := r.state.occupiesWorker(), to.occupiesWorker()
	switch {
	case was && !is:
		d.tasksByWorker.remove(r)
	case !was && is:
		d.tasksByWorker.add(r)
	}
}
