package dispatch

import (
	"slices"
	"testing"

	"ravenhitch/placement"
)

// An attempt that timed out is cancelled at its worker before the next one.
func TestTimedOutAttemptIsCancelled(t *testing.T) {
	h := newHarness(t)
	h.updateWorkers(placement.ListFull, placement.Ready, "a", "b")
	h.mustStart("t1", 5000) // a quick answer, so that later attempts are abandoned early
	h.mustSubmit("t2", "web", "k2", 5000)
	h.advance(3000 * millisecond)
	if len(h.offers) < 3 || h.cancelled != len(h.offers)-2 {
		t.Errorf("offers %v, %d cancelled", h.offers, h.cancelled)
	}

	// An acceptance that crossed the cancel is not passed on.
	late := "a"
	if h.offered["t2"] == "a" {
		late = "b"
	}
	h.AttemptAccepted(h.now, late, "t2", "late")
	if kind, ok := h.finalResponses["t2"]; ok && kind == Started || len(h.received) != 1 {
		t.Errorf("responses %v", h.received)
	}
}

// An attempt that was cancelled and may still be open holds back the next one, and
// nothing else: not the response at its client's deadline, nor its client's cancel.
func TestUnconfirmedCancel(t *testing.T) {
	h := newHarness(t)
	h.updateWorkers(placement.ListFull, placement.Ready, "a", "b")
	h.mustStart("t0", 5000) // a quick answer, so that later attempts are abandoned early
	h.withholdConfirm = true
	for _, id := range []string{"t1", "t2", "t3", "t4"} {
		h.mustSubmit(id, "web", "k"+id, 2000)
	}
	h.advance(1000 * millisecond) // no second offer of any, or the harness fails
	if len(h.offers) != 5 || len(h.unconfirmed) != 4 || h.OpenCount() != 4 {
		t.Fatalf("offers %v, cancelled %v, open %d", h.offers, h.unconfirmed, h.OpenCount())
	}

	worker := h.unconfirmed["t1"]
	h.CancelConfirmed(h.now, "c", "t1") // another worker confirms nothing
	h.advance(0)
	h.confirmCancel("t1")
	h.advance(0)
	if len(h.offers) != 6 || h.offers[5] == "t1@"+worker {
		t.Errorf("after the confirmation: offers %v", h.offers)
	}

	delete(h.unconfirmed, "t4")
	h.endAttempt("t4", placement.Reset) // its connection broke: a confirmation as well
	if h.advance(0); len(h.offers) != 7 {
		t.Errorf("after a reset: offers %v", h.offers)
	}

	h.confirmCancel("t1")
	if h.Cancel(h.now, h, "t2") != WasOpen {
		t.Error("t2 could not be cancelled")
	}
	if !slices.ContainsFunc(h.events, isEndOfAttempt("t2")) {
		t.Errorf("the scheduler does not learn of the end of t2's attempt: %v", h.events)
	}

	h.confirmCancel("t2")
	h.advance(2000 * millisecond)
	if kind, ok := h.finalResponses["t3"]; !ok || kind != Rejected || h.OpenCount() != 0 {
		t.Errorf("t3 got %v, %d open", kind, h.OpenCount())
	}
	h.confirmCancel("t3")
	if h.advance(2000 * millisecond); len(h.offers) > 8 {
		t.Errorf("offers after the end: %v", h.offers)
	}
}

// isEndOfAttempt returns a predicate for the end of an attempt of a request.
func isEndOfAttempt(requestID string) func(placement.Event) bool {
	return func(event placement.Event) bool {
		ended, ok := event.(placement.AttemptEnded)
		return ok && ended.RequestID == requestID
	}
}

// Running tasks end when their worker has died, or has left the list for long.
func TestLostWorkers(t *testing.T) {
	h := newHarness(t)
	h.updateWorkers(placement.ListFull, placement.Ready, "a")
	h.mustStart("t1", 5000)
	h.mustStart("t2", 5000)
	h.endAttempt("t2", placement.Completed)
	h.WorkerDied(h.now, "a")
	h.mustStart("t3", 5000)
	h.updateWorkers(placement.ListDelta, placement.Removed, "a")
	h.advance(1000 * millisecond)
	if count := h.RunningCount(); count != 1 {
		t.Fatalf("%d tasks run just after the worker left the list", count)
	}
	h.advance(5000 * millisecond)
	type completion struct {
		requestID string
		outcome   placement.Outcome
	}
	var completed []completion
	for _, response := range h.received {
		if response.Kind == Completed {
			completed = append(completed, completion{response.RequestID, response.Outcome})
		}
	}
	want := []completion{{"t2", placement.Completed}, {"t1", placement.Reset}, {"t3", placement.Reset}}
	if !slices.Equal(completed, want) || h.RunningCount() != 0 {
		t.Errorf("completed %v, want %v; %d tasks run", completed, want, h.RunningCount())
	}
}

// An end that says that the task ran, though its acceptance was not read, ends the request at once: its client gets a
// failure, and nothing is offered again. An end that does not say so leads to another attempt.
func TestTaskEndedBeforeItsAcceptance(t *testing.T) {
	for _, test := range []struct {
		name    string
		outcome placement.Outcome
		cause   placement.Cause
		ran     bool
	}{
		{"completed", placement.Completed, placement.CauseUnknown, true},
		{"evicted", placement.Reset, placement.CauseEvicted, true},
		{"preempted", placement.Reset, placement.CausePreempted, true},
		{"sent away", placement.Reset, placement.CauseDrained, true},
		{"reset without a cause", placement.Reset, placement.CauseUnknown, false},
		{"rejected by a draining worker", placement.Rejected, placement.CauseDrained, false},
		{"cancelled", placement.Cancelled, placement.CauseUnknown, false},
	} {
		for _, class := range []string{"web", "cut", "all"} {
			t.Run(test.name+", "+class, func(t *testing.T) {
				h := newHarness(t)
				h.updateWorkers(placement.ListFull, placement.Ready, "a", "b")
				h.mustSubmit("t1", class, "k1", 5000)
				h.advance(10 * millisecond)
				worker := h.offered["t1"]
				delete(h.offered, "t1")
				h.mayHaveRun["t1"] = test.outcome != placement.Rejected
				h.TaskEnded(h.now, worker, "t1", test.outcome, test.cause)
				h.advance(10 * millisecond)
				kind, answered := h.finalResponses["t1"]
				if test.ran && (!answered || kind != Failed || len(h.offers) != 1 || h.Contains("t1")) {
					t.Errorf("response %v (%v), offers %v", kind, answered, h.offers)
				}
				if mayRetry := class != "cut" || !h.mayHaveRun["t1"]; !test.ran && mayRetry && len(h.offers) != 2 {
					t.Errorf("offers %v, response %v (%v)", h.offers, kind, answered)
				}
				h.checkTable()
			})
		}
	}
}

// An end that says that the task ran, of an attempt that was given up before, ends the request while nothing was offered
// since, and only then.
func TestAbandonedTaskEnded(t *testing.T) {
	const ran, drained = placement.Reset, placement.CauseDrained
	setUp := func(t *testing.T, withholdConfirm bool) (h *harness, worker string) {
		h = newHarness(t)
		h.updateWorkers(placement.ListFull, placement.Ready, "a")
		h.mustStart("t0", 5000) // a quick answer, so that later attempts are abandoned early
		h.withholdConfirm = withholdConfirm
		h.mustSubmit("t1", "web", "k1", 2000)
		h.advance(10 * millisecond)
		return h, h.offered["t1"]
	}
	failed := func(h *harness) bool { return h.finalResponses["t1"] == Failed && !h.Contains("t1") }
	t.Run("cancel not confirmed", func(t *testing.T) {
		h, worker := setUp(t, true)
		h.advance(500 * millisecond)
		if h.unconfirmed["t1"] == "" {
			t.Fatalf("offers %v", h.offers)
		}
		h.AbandonedTaskEnded(h.now, worker, "t1", placement.Rejected, 0) // a duplicate
		h.AbandonedTaskEnded(h.now, "b", "t1", ran, drained)             // a foreign one
		if h.OpenCount() != 1 {
			t.Fatal("the request is over")
		}
		h.AbandonedTaskEnded(h.now, worker, "t1", ran, drained)
		if !failed(h) {
			t.Errorf("responses %v", h.received)
		}
	})
	t.Run("pending", func(t *testing.T) {
		h, worker := setUp(t, false)
		h.updateWorkers(placement.ListDelta, placement.Draining, "a")
		h.endAttempt("t1", placement.Reset)
		h.advance(10 * millisecond)
		h.AbandonedTaskEnded(h.now, worker, "t1", placement.Reset, 0) // does not say that the task ran
		if h.OpenCount() != 1 || len(h.offers) != 2 {
			t.Fatalf("offers %v, responses %v", h.offers, h.received)
		}
		h.AbandonedTaskEnded(h.now, worker, "t1", placement.Completed, 0)
		h.advance(10 * millisecond)
		if !failed(h) {
			t.Errorf("responses %v", h.received)
		}
	})
	t.Run("offered since", func(t *testing.T) {
		h, worker := setUp(t, false)
		h.updateWorkers(placement.ListDelta, placement.Ready, "b")
		h.endAttempt("t1", placement.Reset)
		h.advance(10 * millisecond)
		if h.offered["t1"] != "b" {
			t.Fatalf("offers %v", h.offers)
		}
		h.AbandonedTaskEnded(h.now, worker, "t1", ran, drained)
		if h.offered["t1"] == "" || h.OpenCount() != 1 {
			t.Errorf("offers %v, responses %v", h.offers, h.received)
		}
	})
}
