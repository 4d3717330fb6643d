package backpressure

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// This file owns the history of a storm, as workers and clients observe it, and the check of the history. These are
// the rules for each request: At most one attempt is in flight. Workers reject only the attempt in flight. No attempt
// begins after the attempt in flight was accepted or after the final response. There is at most one final response,
// and it is STARTED if and only if an attempt in flight was accepted.

// operationKind is the kind of event that an operation records for a request.
type operationKind int

const (
	offered   operationKind = iota // an offer reached a worker
	rejected                       // a worker rejected an offer
	accepted                       // a worker accepted an offer
	cancelled                      // a cancel or a release reached a worker, or the connection of an offer was reset
	answered                       // the client received the final response
)

// String returns the name of the kind, which the log of a failed test shows.
func (k operationKind) String() string {
	return [...]string{"offered", "rejected", "accepted", "cancelled", "answered"}[k]
}

// Kinds of final response to a request.
const (
	responseStarted  = "started"
	responseRejected = "rejected"
	responseFailed   = "failed"
)

// operation is one event in the history of a request.
type operation struct {
	requestID string
	kind      operationKind
	worker    string // worker of the attempt; empty if kind is answered
	response  string // kind of final response; empty unless kind is answered
}

// String describes the operation for the log of a failed test.
func (o operation) String() string {
	if o.kind == answered {
		return fmt.Sprintf("request %s %s with %s", o.requestID, o.kind, o.response)
	}
	return fmt.Sprintf("request %s %s at %s", o.requestID, o.kind, o.worker)
}

// requestState is the state of a request after the operations so far.
type requestState struct {
	offeredTo  string // worker with the attempt in flight; empty if there is none
	acceptedBy string // worker that accepted the attempt in flight; empty if there is none
	response   string // kind of final response; empty if there is none
}

// apply reports whether the rules allow an operation in state s, and returns the state after the operation.
func (s requestState) apply(o operation) (valid bool, after requestState) {
	switch o.kind {
	case offered:
		valid = s == requestState{}
		s.offeredTo = o.worker
	case rejected:
		valid = s.offeredTo == o.worker
		s.offeredTo = ""
	case accepted:
		valid = true
		// If offeredTo is another worker or "", the attempt was cancelled before its acceptance. The acceptance is then
		// ignored, because the worker must end the task.
		if s.offeredTo == o.worker {
			s.offeredTo, s.acceptedBy = "", o.worker
		}
	case cancelled:
		valid = true
		if s.offeredTo == o.worker {
			s.offeredTo = ""
		}
	case answered:
		valid = s.response == "" && (o.response == responseStarted) == (s.acceptedBy != "")
		s.response = o.response
	}
	return valid, s
}

// history records operations with the time spans in which they happened. The zero value is ready to use
// after a call of elapsed.
type history struct {
	mu         sync.Mutex
	startedAt  time.Time
	sentAt     map[string]int64 // time when the client sent a request, in nanoseconds since startedAt, by request ID
	operations []porcupine.Operation
}

// elapsed returns the time in nanoseconds since its first call on this history. The first call also creates sentAt.
// The caller holds the lock, unless no other goroutine uses the history yet.
func (h *history) elapsed() int64 {
	if h.startedAt.IsZero() {
		h.startedAt = time.Now()
		h.sentAt = map[string]int64{}
	}
	return int64(time.Since(h.startedAt))
}

// sent records that a client is about to send a request.
func (h *history) sent(requestID string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sentAt[requestID] = h.elapsed()
}

// add records an operation that is observed now. A rejection or an acceptance by a worker happens at the moment
// when it is recorded. Offers, cancels and final responses come from the orchestrator and may be read late, so
// they happened at some time between the sending of the request and now.
func (h *history) add(o operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.elapsed()
	earliest := h.sentAt[o.requestID]
	if o.kind == rejected || o.kind == accepted {
		earliest = now
	}
	h.operations = append(h.operations, porcupine.Operation{Input: o, Call: earliest, Return: now, ClientId: len(h.operations)})
}

// model describes the states and the rules of a request for the check of the history.
var model = porcupine.Model{
	Partition: partitionByRequest,
	Init:      func() any { return requestState{} },
	Step: func(state, input, _ any) (bool, any) {
		return state.(requestState).apply(input.(operation))
	},
	Equal: func(a, b any) bool { return a == b },
}

// partitionByRequest groups operations by request ID, because the rules hold for each request separately.
func partitionByRequest(all []porcupine.Operation) (partitions [][]porcupine.Operation) {
	byID := map[string][]porcupine.Operation{}
	for _, o := range all {
		id := o.Input.(operation).requestID
		byID[id] = append(byID[id], o)
	}
	for _, operations := range byID {
		partitions = append(partitions, operations)
	}
	return partitions
}

// check reports whether some order of the operations, within their time spans, obeys the rules for each
// request. The result is Unknown if the check takes longer than timeout.
func (h *history) check(timeout time.Duration) porcupine.CheckResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	return porcupine.CheckOperationsTimeout(model, h.operations, timeout)
}

// violations describes the operations of each request whose history breaks the rules or was not checked within timeout,
// one operation a line.
func (h *history) violations(timeout time.Duration) (lines []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, operations := range partitionByRequest(h.operations) {
		if porcupine.CheckOperationsTimeout(model, operations, timeout) == porcupine.Ok {
			continue
		}
		for _, recorded := range operations {
			lines = append(lines, fmt.Sprintf("%s: between %s and %s", recorded.Input.(operation),
				time.Duration(recorded.Call), time.Duration(recorded.Return)))
		}
	}
	return lines
}

// TestHistoriesThatBreakRules guards against a check that accepts every history: each history breaks at least one
// rule, and the check must reject it.
func TestHistoriesThatBreakRules(t *testing.T) {
	for name, operations := range map[string][]operation{
		"two attempts in flight": {
			{kind: offered, worker: "a"}, {kind: offered, worker: "b"}, {kind: rejected, worker: "a"},
		},
		"two final responses": {
			{kind: answered, response: responseRejected}, {kind: answered, response: responseRejected},
		},
		"an attempt after the response": {
			{kind: offered, worker: "a"}, {kind: accepted, worker: "a"}, {kind: answered, response: responseStarted},
			{kind: offered, worker: "b"}, {kind: rejected, worker: "b"},
		},
		"started though no worker accepted": {
			{kind: offered, worker: "a"}, {kind: rejected, worker: "a"}, {kind: answered, response: responseStarted},
		},
		"rejected though one accepted": {
			{kind: offered, worker: "a"}, {kind: accepted, worker: "a"}, {kind: answered, response: responseRejected},
		},
	} {
		var h history
		h.elapsed()
		for i, o := range operations {
			o.requestID = "t"
			h.operations = append(h.operations, porcupine.Operation{Input: o, Call: int64(2 * i), Return: int64(2*i + 1), ClientId: i})
		}
		if r := h.check(time.Second); r != porcupine.Illegal {
			t.Errorf("%s: got check result %s, want %s", name, r, porcupine.Illegal)
		}
		if lines := h.violations(time.Second); len(lines) != len(operations) {
			t.Errorf("%s: got violations %q, want all %d operations", name, lines, len(operations))
		}
	}
}
