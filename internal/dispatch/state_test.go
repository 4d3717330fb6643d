package dispatch

import (
	"bytes"
	"errors"
	"log/slog"
	"strings"
	"testing"
)

// Each event is legal only in the listed states, and leads to the same state from each of them.
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
				t.Errorf("event %v in state %v leads to %v (error %v), want %v", event, from, to, err, want)
			case !isLegal && !errors.As(err, &illegal):
				t.Errorf("event %v is legal in state %v, want an illegalTransitionError", event, from)
			case !isLegal && (illegal.from != from || illegal.event != event):
				t.Errorf("event %v in state %v returns an error for another event or state: %v", event, from, illegal)
			}
		}
	}
}

// Every state can be reached from stateNew, a request can be removed in every state that it can have in the table, and
// no state is open and also occupies a worker.
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
			t.Errorf("state %v can't be reached", s)
		}
		if isInTable := s != stateNew && s != stateRemoved; transitions[eventRemoved].from.has(s) != isInTable {
			t.Errorf("state %v: removal is legal: %v, want the opposite", s, !isInTable)
		}
		if s.isOpen() && s.occupiesWorker() {
			t.Errorf("state %v is open and also occupies a worker", s)
		}
	}
}

// All states and events have distinct names; values that do not exist are called unknown.
func TestStateNames(t *testing.T) {
	names := map[string]bool{}
	for s := range state(stateCount) {
		names[s.String()] = true
	}
	if len(names) != stateCount || names[""] || names["unknown"] {
		t.Errorf("state names are not distinct, or one is empty or unknown: %v", names)
	}
	names = map[string]bool{}
	for event := range stateEvent(eventCount) {
		names[event.String()] = true
	}
	if len(names) != eventCount || names[""] || names["unknown"] {
		t.Errorf("event names are not distinct, or one is empty or unknown: %v", names)
	}
	if state(stateCount).String() != "unknown" || state(-1).String() != "unknown" || stateEvent(eventCount).String() != "unknown" {
		t.Error("the name of a state or event that doesn't exist is not \"unknown\"")
	}
}

// An illegal transition is logged and carried out: the request continues, and the counts of the table stay correct.
// The test replaces the logger of the harness, which fails a test on an illegal transition.
func TestIllegalTransitionIsLogged(t *testing.T) {
	h := newHarness(t)
	var logged bytes.Buffer
	h.log = slog.New(slog.NewTextHandler(&logged, nil))
	h.mustSubmit("t1", "web", "k1", 5000)
	r := h.find("t1")
	r.worker = "a"

	h.transition(r, eventAccepted) // illegal, because a pending request has no open attempt

	if r.state != stateRunning || h.pendingCount != 0 || h.TasksOn("a").Count != 1 {
		t.Errorf("state %v, %d pending requests, %d tasks on worker a; want running, 0 and 1",
			r.state, h.pendingCount, h.TasksOn("a").Count)
	}
	line := logged.String()
	for _, part := range []string{"level=ERROR", `msg="illegal state transition"`, "request_id=t1", "accepted", "pending"} {
		if !strings.Contains(line, part) {
			t.Errorf("the text %q is missing from the log line %q", part, line)
		}
	}
}

// fatalRecorder records that the harness reported a failure, instead of failing the test.
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
		t.Fatal("the harness failed the test for a legal transition")
	}
	h.transition(r, eventReleased)
	if !recorder.failed {
		t.Error("the harness did not fail the test for an illegal transition")
	}
}
