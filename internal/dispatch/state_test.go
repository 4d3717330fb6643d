package dispatch

import (
	"bytes"
	"errors"
	"log/slog"
	"strings"
	"testing"
)

// Each event is legal in just these states, and leads from all of them to one.
func TestTransitions(t *testing.T) {
	legal := map[stateEvent]map[state]state{
		eventSubmitted:         {stateNew: statePending},
		eventAdopted:           {stateNew: stateRunning},
		eventOffered:           {statePending: stateOffered},
		eventAccepted:          {stateOffered: stateRunning},
		eventCancelUnconfirmed: {stateOffered: stateCancelling},
		eventAttemptEnded:      {stateOffered: statePending, stateCancelling: statePending},
		eventReleased:          {stateRunning: stateTerminating},
		eventRemoved: {statePending: stateRemoved, stateOffered: stateRemoved, stateCancelling: stateRemoved,
			stateRunning: stateRemoved, stateTerminating: stateRemoved},
	}
	for event := range stateEvent(eventCount) {
		for from := range state(stateCount) {
			to, err := from.next(event)
			want, isLegal := legal[event][from]
			var illegal *illegalTransitionError
			switch {
			case isLegal && (err != nil || to != want):
				t.Errorf("%v in state %v leads to %v (%v), want %v", event, from, to, err, want)
			case !isLegal && !errors.As(err, &illegal):
				t.Errorf("%v in state %v is legal", event, from)
			case !isLegal && (illegal.from != from || illegal.event != event):
				t.Errorf("%v in state %v gives the error %v", event, from, illegal)
			}
		}
	}
}

// Every state but the first can be reached, and from every state the request can leave the table.
func TestEveryStateIsReachedAndLeft(t *testing.T) {
	reached := statesOf(stateNew)
	for range stateCount {
		for _, rule := range transitions {
			if rule.from&reached != 0 {
				reached |= statesOf(rule.to)
			}
		}
	}
	for s := range state(stateCount) {
		if !reached.has(s) {
			t.Errorf("%v can't be reached", s)
		}
		if isInTable := s != stateNew && s != stateRemoved; transitions[eventRemoved].from.has(s) != isInTable {
			t.Errorf("a request in state %v can be removed: %v", s, !isInTable)
		}
		if s.isOpen() && s.occupiesWorker() {
			t.Errorf("%v is both open and occupies a worker", s)
		}
	}
}

// States and events have names, also those that don't exist.
func TestStateNames(t *testing.T) {
	names := map[string]bool{}
	for s := range state(stateCount) {
		names[s.String()] = true
	}
	if len(names) != stateCount || names[""] || names["unknown"] {
		t.Errorf("names of the states: %v", names)
	}
	names = map[string]bool{}
	for event := range stateEvent(eventCount) {
		names[event.String()] = true
	}
	if len(names) != eventCount || names[""] || names["unknown"] {
		t.Errorf("names of the events: %v", names)
	}
	if state(stateCount).String() != "unknown" || state(-1).String() != "unknown" || stateEvent(eventCount).String() != "unknown" {
		t.Error("a state or event that doesn't exist has a name")
	}
}

// In service an illegal transition is logged and carried out: the request goes on, and what is
// counted beside the table stays right.
func TestIllegalTransitionIsLogged(t *testing.T) {
	h := newHarness(t)
	var logged bytes.Buffer
	h.log = slog.New(slog.NewTextHandler(&logged, nil))
	h.mustSubmit("t1", "web", "k1", 5000)
	r := h.find("t1")
	r.worker = "a"

	h.transition(r, eventAccepted) // a pending request has no attempt

	if r.state != stateRunning || h.pendingCount != 0 || h.TasksOn("a").Count != 1 {
		t.Errorf("state %v, %d pending, %d tasks", r.state, h.pendingCount, h.TasksOn("a").Count)
	}
	line := logged.String()
	for _, part := range []string{"level=ERROR", `msg="illegal state transition"`, "request_id=t1", "accepted", "pending"} {
		if !strings.Contains(line, part) {
			t.Errorf("%q is missing from the log line %q", part, line)
		}
	}
}

// fatalRecorder records the first failure instead of failing a test.
type fatalRecorder struct{ failed bool }

func (f *fatalRecorder) Helper()               {}
func (f *fatalRecorder) Fatalf(string, ...any) { f.failed = true }

// The harness fails a test in which an illegal transition happens.
func TestHarnessFailsOnIllegalTransition(t *testing.T) {
	recorder := &fatalRecorder{}
	h := newHarness(recorder)
	h.mustSubmit("t1", "web", "k1", 5000)
	r := h.find("t1")
	if recorder.failed {
		t.Fatal("a legal transition fails the test")
	}
	h.transition(r, eventReleased)
	if !recorder.failed {
		t.Error("an illegal transition does not fail the test")
	}
}
