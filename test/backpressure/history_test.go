package backpressure

import (
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// This file owns the history of a storm, as workers and clients saw it, and what must hold of
// each request: one final response, one attempt in flight, none that begins after the response.

// operationKind is what happened to a request.
type operationKind int

const (
	offered   operationKind = iota // an offer reached a worker
	rejected                       // the worker rejected it
	accepted                       // or accepted it
	cancelled                      // it was cancelled there
	answered                       // the client has the final response
)

// The final responses to a request.
const (
	responseStarted  = "started"
	responseRejected = "rejected"
	responseFailed   = "failed"
)

// operation is one that happened to a request.
type operation struct {
	requestID string
	kind      operationKind
	worker    string // of an attempt
	response  string // of a request that was answered
}

// requestState is what has become of a request.
type requestState struct {
	offeredTo  string // the worker with an attempt in flight
	acceptedBy string
	response   string
}

// apply is the state after an operation, and whether that may happen in the state before.
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
		if s.offeredTo == o.worker { // else it was cancelled meanwhile: a copy, which the worker is to end
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

// history records operations. The zero value is ready.
type history struct {
	mu         sync.Mutex
	startedAt  time.Time
	sentAt     map[string]int64 // by request ID
	operations []porcupine.Operation
}

// now is the time since the first call. The lock is held, or nothing else runs yet.
func (h *history) now() int64 {
	if h.startedAt.IsZero() {
		h.startedAt = time.Now()
		h.sentAt = map[string]int64{}
	}
	return int64(time.Since(h.startedAt))
}

// sent records that a client sends a request.
func (h *history) sent(requestID string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sentAt[requestID] = h.now()
}

// add records an operation that was seen now. What a worker reads late happened at the
// orchestrator some time since the request was sent; what a worker says happens now.
func (h *history) add(o operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	earliest := h.sentAt[o.requestID]
	if o.kind == rejected || o.kind == accepted {
		earliest = now
	}
	h.operations = append(h.operations, porcupine.Operation{Input: o, Call: earliest, Return: now, ClientId: len(h.operations)})
}

var model = porcupine.Model{
	Partition: byRequest,
	Init:      func() any { return requestState{} },
	Step: func(state, input, _ any) (bool, any) {
		return state.(requestState).apply(input.(operation))
	},
	Equal: func(a, b any) bool { return a == b },
}

func byRequest(all []porcupine.Operation) (partitions [][]porcupine.Operation) {
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

// check reports whether the history can have come of requests that each obey the rules.
func (h *history) check(timeout time.Duration) porcupine.CheckResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	return porcupine.CheckOperationsTimeout(model, h.operations, timeout)
}

// The checker finds what it is there to find.
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
		h.now()
		for i, o := range operations {
			o.requestID = "t"
			h.operations = append(h.operations, porcupine.Operation{Input: o, Call: int64(2 * i), Return: int64(2*i + 1), ClientId: i})
		}
		if r := h.check(time.Second); r != porcupine.Illegal {
			t.Errorf("%s: %s", name, r)
		}
	}
}
