package dispatch

import (
	"fmt"
	"testing"

	"ravenhitch/placement"
)

// An adopted task ends if its worker reported the completion at most unclaimedRetention before the adoption. The
// completion is reported to the client with each outcome: a client that submits a task as running does not know that it
// was cancelled.
func TestCompletionBeforeAdoption(t *testing.T) {
	for name, c := range map[string]struct {
		worker    string
		outcome   placement.Outcome
		after     int64
		completes bool
	}{
		"completed":              {"a", placement.Completed, 0, true},
		"reset":                  {"a", placement.Reset, 1000 * millisecond, true},
		"cancelled":              {"a", placement.Cancelled, 59_000 * millisecond, true},
		"long ago":               {"a", placement.Completed, 61_000 * millisecond, false},
		"at another worker":      {"b", placement.Completed, 0, false},
		"an attempt that failed": {"a", placement.Failed, 0, false},
	} {
		h := newHarness(t)
		h.updateWorkers(placement.ListFull, placement.Ready, "a", "b")
		h.EndReported(h.now, c.worker, "t1", c.outcome, 0)
		h.EndReported(h.now, "b", "t1", placement.Completed, 0) // only the first report of the worker counts
		h.advance(c.after)
		h.adopt("t1", "a")
		h.adopt("t2", "a")
		h.advance(100 * millisecond)

		if reported := h.completions() == "t1 "; reported != c.completes || !h.IsRunning("t2") {
			t.Errorf("%s: wrong completions %q, or t2 is not running", name, h.completions())
		}
		if len(h.received) > 0 && h.received[0].Outcome != c.outcome {
			t.Errorf("%s: wrong outcome %v in the response", name, h.received[0].Outcome)
		}
		if h.IsRunning("t1") == c.completes {
			t.Errorf("%s: t1 is running: %v, want the opposite", name, h.IsRunning("t1"))
		}
	}
}

// Guards against the end of an abandoned attempt at another worker that hides the completion of the task: the adopted task
// would run for ever. The worker of the abandoned attempt repeats its end on the connection that a new process opens.
func TestCompletionBesideEndOfAbandonedAttempt(t *testing.T) {
	h := newHarness(t)
	h.updateWorkers(placement.ListFull, placement.Ready, "a", "b")
	h.EndReported(h.now, "b", "t1", placement.Cancelled, 0)
	h.EndReported(h.now, "a", "t1", placement.Completed, 0)
	h.EndReported(h.now, "a", "t1", placement.Reset, 0) // only the first report of a worker counts
	h.adopt("t1", "a")
	h.advance(100 * millisecond)
	if h.completions() != "t1 " || h.received[0].Outcome != placement.Completed {
		t.Errorf("got completions %q and responses %v, want that of t1 as worker a reported it", h.completions(), h.received)
	}
}

// The number of unclaimed completions is limited, and old ones are evicted.
func TestUnclaimedCompletionsAreBounded(t *testing.T) {
	h := newHarness(t)
	for i := range 3 * maxUnclaimed {
		h.EndReported(h.now, "a", fmt.Sprint("t", i), placement.Completed, 0)
	}
	unclaimed := &h.unclaimed
	oldest := fmt.Sprint("t", 2*maxUnclaimed)
	if len(unclaimed.byTask) != maxUnclaimed || len(unclaimed.order) != maxUnclaimed || unclaimed.order[0].requestID != oldest {
		t.Errorf("%d completions and %d tasks, the oldest %s; want the latest maxUnclaimed of both",
			len(unclaimed.byTask), len(unclaimed.order), unclaimed.order[0].requestID)
	}
	h.EndReported(h.now+unclaimedRetention+1, "a", "last", placement.Completed, 0)
	if len(unclaimed.byTask) != 1 || len(unclaimed.order) != 1 {
		t.Errorf("%d completions older than unclaimedRetention are left, want 0", len(unclaimed.byTask)-1)
	}
}

// earlierClient records the completions of tasks of an earlier process.
type earlierClient struct{ received []Response }

// Respond implements Client.
func (c *earlierClient) Respond(response Response) { c.received = append(c.received, response) }

// Guards against the end of a task that is reported to nobody, because it came while no process of its orchestrator ran, and
// nobody submits the task to the next one. The report is passed on once, unless the task is submitted first.
func TestCompletionOfEarlierProcessIsPassedOn(t *testing.T) {
	for name, c := range map[string]struct {
		outcome  placement.Outcome
		after    int64 // time from the first list to the report
		prepare  func(h *harness)
		passedOn bool
	}{
		"completed":            {outcome: placement.Completed, passedOn: true},
		"reset":                {outcome: placement.Reset, after: inheritedTime, passedOn: true},
		"cancelled":            {outcome: placement.Cancelled},
		"failed":               {outcome: placement.Failed},
		"long after the start": {outcome: placement.Completed, after: inheritedTime + 1},
		"repeat of this process": {outcome: placement.Completed, prepare: func(h *harness) {
			h.mustStart("t1", 5000)
			h.endAttempt("t1", placement.Completed)
		}},
		"repeat of an adopted task": {outcome: placement.Completed, prepare: func(h *harness) {
			h.adopt("t1", "a")
			h.endAttempt("t1", placement.Completed)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			h, earlier := newHarness(t), &earlierClient{}
			h.SetEarlierClients(earlier)
			h.updateWorkers(placement.ListFull, placement.Ready, "a")
			if c.prepare != nil {
				c.prepare(h)
			}
			h.now = max(h.now, h.inherited.firstListAt+c.after)
			for range 2 {
				h.EndReported(h.now, "a", "t1", c.outcome, 0)
			}
			h.advance(claimTimeout - 1)
			if len(earlier.received) > 0 {
				t.Errorf("got %v before claimTimeout, want no response", earlier.received)
			}
			h.advance(1)
			want := 0
			if c.passedOn {
				want = 1
			}
			if got := earlier.received; len(got) != want || want > 0 && (got[0].Kind != Completed || got[0].Outcome != c.outcome) {
				t.Errorf("got %v, want %d completions", got, want)
			}
		})
	}
}

// A task whose end is known is submitted as running, before the end is passed on or after it. Its client gets the
// completion, and before that nobody else does.
func TestPassedOnCompletionCanBeClaimed(t *testing.T) {
	for _, passedOn := range []int{0, 1} {
		h, earlier := newHarness(t), &earlierClient{}
		h.SetEarlierClients(earlier)
		h.updateWorkers(placement.ListFull, placement.Ready, "a")
		h.EndReported(h.now, "a", "t1", placement.Completed, 0)
		h.advance(int64(passedOn) * claimTimeout)
		h.adopt("t1", "a")
		h.advance(2 * claimTimeout)
		if h.completions() != "t1 " || len(earlier.received) != passedOn {
			t.Errorf("got completions %q and %d passed on, want that of t1 and %d", h.completions(), len(earlier.received), passedOn)
		}
	}
}
