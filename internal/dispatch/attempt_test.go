package dispatch

import (
	"slices"
	"strings"
	"testing"

	"ravenhitch/placement"
)

// An attempt that timed out is cancelled at its worker before the next one starts.
func TestTimedOutAttemptIsCancelled(t *testing.T) {
	h := newHarness(t)
	h.updateWorkers(placement.ListFull, placement.Ready, "a", "b", "c")
	h.mustStart("t1", 5000) // the scheduler derives a short timeout for later attempts from this quick acceptance
	h.mustSubmit("t2", "web", "k2", 5000)
	h.advance(3000 * millisecond)
	if len(h.offers) < 3 || h.cancelled != len(h.offers)-2 {
		t.Errorf("offers %v, cancelled attempts %d; want at least 3 offers and all but 2 cancelled", h.offers, h.cancelled)
	}

	// An acceptance that arrives after the cancel is not passed on to the client.
	late := strings.TrimPrefix(h.offers[1], "t2@")
	h.AttemptAccepted(h.now, late, "t2", "late")
	if kind, ok := h.finalResponses["t2"]; ok && kind == Started || len(h.received) != 1 {
		t.Errorf("responses %v, want only the start of t1", h.received)
	}
}

// An attempt that was cancelled without a confirmation may still be open. It delays the next attempt, but
// neither the response at the client's deadline nor a cancel by the client.
func TestUnconfirmedCancel(t *testing.T) {
	h := newHarness(t)
	h.updateWorkers(placement.ListFull, placement.Ready, "a", "b", "c")
	h.mustStart("t0", 5000) // the scheduler derives a short timeout for later attempts from this quick acceptance
	h.withholdConfirm = true
	for _, id := range []string{"t1", "t2", "t3", "t4"} {
		h.mustSubmit(id, "web", "k"+id, 2000)
	}
	h.advance(1000 * millisecond) // the harness fails the test if one of these requests is offered again
	if len(h.offers) != 5 || len(h.unconfirmed) != 4 || h.OpenCount() != 4 {
		t.Fatalf("offers %v, unconfirmed cancels %v, open requests %d; want 5, 4 and 4",
			h.offers, h.unconfirmed, h.OpenCount())
	}

	worker := h.unconfirmed["t1"]
	h.CancelConfirmed(h.now, "other", "t1") // the confirmation of another worker is ignored
	h.advance(0)
	h.confirmCancel("t1")
	h.advance(0)
	if len(h.offers) != 6 || h.offers[5] == "t1@"+worker {
		t.Errorf("offers after the confirmation of t1: %v, want a sixth, for t1 at another worker", h.offers)
	}

	delete(h.unconfirmed, "t4")
	h.endAttempt("t4", placement.Reset) // the end of the connection confirms the cancel as well
	if h.advance(0); len(h.offers) != 7 {
		t.Errorf("offers after the reset of t4's attempt: %v, want 7", h.offers)
	}

	h.confirmCancel("t1")
	if h.Cancel(h.now, h, "t2") != WasOpen {
		t.Error("Cancel of t2 did not return WasOpen")
	}
	if !slices.ContainsFunc(h.events, isEndOfAttempt("t2")) {
		t.Errorf("no AttemptEnded of t2 among the scheduler's events: %v", h.events)
	}

	h.confirmCancel("t2")
	h.advance(2000 * millisecond)
	if kind, ok := h.finalResponses["t3"]; !ok || kind != Rejected || h.OpenCount() != 0 {
		t.Errorf("t3: response kind %v, open requests %d; want Rejected and 0", kind, h.OpenCount())
	}
	h.confirmCancel("t3")
	if h.advance(2000 * millisecond); len(h.offers) > 8 {
		t.Errorf("offers after the end of all requests: %v, want at most 8", h.offers)
	}
}

// isEndOfAttempt returns a predicate that matches the AttemptEnded events of a request.
func isEndOfAttempt(requestID string) func(placement.Event) bool {
	return func(event placement.Event) bool {
		ended, ok := event.(placement.AttemptEnded)
		return ok && ended.RequestID == requestID
	}
}

// Running tasks end when their worker has died or has been off the list for unlistedTimeout.
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
		t.Fatalf("running tasks 1 s after the worker left the list: %d, want 1", count)
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
		t.Errorf("completions %v, want %v; running tasks %d, want 0", completed, want, h.RunningCount())
	}
}

// If a worker reports an end which shows that the task ran, and no acceptance was received, the request ends at once:
// the client gets a failure, and the task is not offered again. Any other end leads to another attempt, unless the
// task may have started and must not run twice.
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
		{"drained", placement.Reset, placement.CauseDrained, true},
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
					t.Errorf("the end shows that the task ran: response kind %v (received: %v), offers %v; want Failed, 1 offer and t1 removed",
						kind, answered, h.offers)
				}
				if mayRetry := class != "cut" || !h.mayHaveRun["t1"]; !test.ran && mayRetry && len(h.offers) != 2 {
					t.Errorf("the end does not show that the task ran: offers %v, want 2; response kind %v (received: %v)", h.offers, kind, answered)
				}
				h.checkTable()
			})
		}
	}
}

// If a worker reports an end which shows that the task of an abandoned attempt ran, the request fails, but only
// if the task has not been offered again since.
func TestAbandonedTaskEnded(t *testing.T) {
	const ran, drained = placement.Reset, placement.CauseDrained
	setUp := func(t *testing.T, withholdConfirm bool) (h *harness, worker string) {
		h = newHarness(t)
		h.updateWorkers(placement.ListFull, placement.Ready, "a")
		h.mustStart("t0", 5000) // the scheduler derives a short timeout for later attempts from this quick acceptance
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
			t.Fatalf("no unconfirmed cancel of t1; offers %v", h.offers)
		}
		// The dispatcher must ignore both reports: a rejection does not show that t1 ran, and
		// worker b has no attempt of t1.
		h.EndReported(h.now, worker, "t1", placement.Rejected, 0)
		h.EndReported(h.now, "b", "t1", ran, drained)
		if h.OpenCount() != 1 {
			t.Fatal("t1 is over after reports that the dispatcher must ignore, want it still open")
		}
		h.EndReported(h.now, worker, "t1", ran, drained)
		if !failed(h) {
			t.Errorf("responses %v, want a failure of t1, removed from the table", h.received)
		}
	})
	t.Run("pending", func(t *testing.T) {
		h, worker := setUp(t, false)
		h.updateWorkers(placement.ListDelta, placement.Draining, "a")
		h.endAttempt("t1", placement.Reset)
		h.advance(10 * millisecond)
		h.EndReported(h.now, worker, "t1", placement.Reset, 0) // a reset without a cause does not show that t1 ran
		if h.OpenCount() != 1 || len(h.offers) != 2 {
			t.Fatalf("offers %v, responses %v; want 2 offers and t1 still open", h.offers, h.received)
		}
		h.EndReported(h.now, worker, "t1", placement.Completed, 0)
		h.advance(10 * millisecond)
		if !failed(h) {
			t.Errorf("responses %v, want a failure of t1, removed from the table", h.received)
		}
	})
	t.Run("offered since", func(t *testing.T) {
		h, worker := setUp(t, false)
		h.updateWorkers(placement.ListDelta, placement.Ready, "b")
		h.endAttempt("t1", placement.Reset)
		h.advance(10 * millisecond)
		if h.offered["t1"] != "b" {
			t.Fatalf("t1 is not offered to worker b; offers %v", h.offers)
		}
		h.EndReported(h.now, worker, "t1", ran, drained)
		if h.offered["t1"] == "" || h.OpenCount() != 1 {
			t.Errorf("offers %v, responses %v; want t1 still open and offered to worker b", h.offers, h.received)
		}
	})
}

// Guards against the end of a task that is dropped, because another worker has rejected the request since: the task was
// offered again though it had come to its end.
func TestEndOfEarlierAttemptWhilePending(t *testing.T) {
	h := newHarness(t)
	h.updateWorkers(placement.ListFull, placement.Ready, "a", "b")
	h.mustSubmit("t1", "web", "k1", 5000)
	h.advance(10 * millisecond)
	first := h.offered["t1"]
	h.endAttempt("t1", placement.Reset)
	h.advance(10 * millisecond)
	h.updateWorkers(placement.ListDelta, placement.Draining, "a", "b")
	h.endAttempt("t1", placement.Rejected)
	h.advance(10 * millisecond)
	if len(h.offers) != 2 || h.OpenCount() != 1 {
		t.Fatalf("got offers %v and responses %v, want 2 offers and t1 still open", h.offers, h.received)
	}
	h.EndReported(h.now, first, "t1", placement.Completed, 0)
	if h.finalResponses["t1"] != Failed || h.Contains("t1") {
		t.Errorf("got responses %v, want a failure of t1, removed from the table", h.received)
	}
}

// If a worker reports an end which shows that the task of a lost offer ran, the request fails at once, even if the loss
// is not reported yet. Any other report leaves the attempt open.
func TestLostTaskEnded(t *testing.T) {
	for _, test := range []struct {
		name string
		age  int64 // time since the offer
	}{
		{"attempt open", 10 * millisecond},
		{"attempt timed out, cancel not confirmed", 500 * millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			h.updateWorkers(placement.ListFull, placement.Ready, "a")
			h.mustStart("t0", 5000) // the scheduler derives a short timeout for later attempts from this quick acceptance
			h.withholdConfirm = true
			h.mustSubmit("t1", "web", "k1", 2000)
			h.advance(10 * millisecond)
			worker := h.offered["t1"]
			h.advance(test.age)

			h.EndReported(h.now, worker, "t1", placement.Rejected, 0)
			h.EndReported(h.now, worker, "t1", placement.Reset, 0)
			h.EndReported(h.now, "b", "t1", placement.Reset, placement.CauseDrained)
			if _, answered := h.finalResponses["t1"]; answered || h.OpenCount() != 1 || len(h.offers) != 2 {
				t.Fatalf("offers %v, responses %v after reports that do not show that t1 ran; want 2 offers and t1 still open",
					h.offers, h.received)
			}
			h.EndReported(h.now, worker, "t1", placement.Reset, placement.CauseDrained)
			if h.finalResponses["t1"] != Failed || h.Contains("t1") {
				t.Errorf("responses %v, want a failure of t1, removed from the table", h.received)
			}
		})
	}
}

// A report on the end of a lost task may come after the attempt has ended, while the request is pending.
func TestLostTaskEndedWhilePending(t *testing.T) {
	h := newHarness(t)
	h.updateWorkers(placement.ListFull, placement.Ready, "a")
	h.mustSubmit("t1", "web", "k1", 2000)
	h.advance(10 * millisecond)
	worker := h.offered["t1"]
	h.updateWorkers(placement.ListDelta, placement.Draining, "a")
	h.endAttempt("t1", placement.Reset)
	h.advance(10 * millisecond)
	if h.OpenCount() != 1 || len(h.offers) != 1 {
		t.Fatalf("offers %v, responses %v; want 1 offer and t1 still open", h.offers, h.received)
	}
	h.EndReported(h.now, worker, "t1", placement.Reset, placement.CauseDrained)
	h.advance(10 * millisecond)
	if h.finalResponses["t1"] != Failed || h.Contains("t1") {
		t.Errorf("responses %v, want a failure of t1, removed from the table", h.received)
	}
}
