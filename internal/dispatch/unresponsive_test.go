package dispatch

import (
	"errors"
	"fmt"
	"testing"

	"ravenhitch/placement"
)

// unresponsiveEnds are the events after which an unresponsive task t1 on worker a counts as ended.
var unresponsiveEnds = map[string]func(h *harness){
	"reported":    func(h *harness) { h.TaskEnded(h.now, "a", "t1", placement.Cancelled, 0) },
	"worker died": func(h *harness) { h.WorkerDied(h.now, "a") },
	"unresponsive for long": func(h *harness) {
		for range unresponsiveRetention / (100 * millisecond) {
			if len(h.unresponsive) > 0 {
				h.advance(100 * millisecond)
			}
		}
	},
	"worker left and came back": func(h *harness) {
		h.updateWorkers(placement.ListDelta, placement.Removed, "a")
		h.advance(1000 * millisecond)
		h.updateWorkers(placement.ListDelta, placement.Ready, "a")
	},
}

// For the scheduler, a released task occupies its worker until its end is known or assumed, because a worker that
// cannot be reached keeps running it. The client may submit the key again before the end is known.
func TestReleasedAtUnresponsiveWorker(t *testing.T) {
	for name, end := range unresponsiveEnds {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.updateWorkers(placement.ListFull, placement.Ready, "a")
			h.mustSubmitSpread("t1")
			h.accept("t1")
			if h.Cancel(h.now, nil, "t1") != WasRunning {
				t.Fatal("Cancel of t1 did not return WasRunning")
			}
			h.advance(2000 * millisecond)

			h.mustSubmitSpread("t2")
			if h.advance(2000 * millisecond); len(h.offers) != 1 || !h.IsTerminating("t1") || h.TasksOn("a").Count != 1 {
				t.Fatalf("offers %v, tasks on worker a %v; want 1 offer, 1 task and t1 terminating", h.offers, h.TasksOn("a"))
			}
			if err := h.submit("t1", "web", "k1", 1000); !errors.Is(err, ErrRequestIDInUse) {
				t.Errorf("Submit with the request ID of the released task returned %v, want ErrRequestIDInUse", err)
			}
			adoption := Submission{RequestID: "t1", Class: "apart", Key: "k", RunningOn: "a"}
			if err := h.Submit(h.now, h, adoption); err != nil || h.Counts().Adopted != 0 {
				t.Errorf("Submit of t1 as a running task returned %v and adopted %d tasks, want nil and 0", err, h.Counts().Adopted)
			}

			end(h)
			if h.advance(100 * millisecond); fmt.Sprint(h.offers) != "[t1@a t2@a]" || h.IsTerminating("t1") || len(h.unresponsive) > 0 {
				t.Errorf("offers %v, %d unresponsive tasks; want [t1@a t2@a] and 0", h.offers, len(h.unresponsive))
			}
		})
	}
}

// mustSubmitSpread submits a resumable task of the class "apart". A worker may run only one task of this class per
// program.
func (h *harness) mustSubmitSpread(requestID string) {
	h.t.Helper()
	const timeout = 90_000 * millisecond
	h.deadline[requestID], h.class[requestID] = h.now+timeout, "apart"
	submission := Submission{RequestID: requestID, Class: "apart", Key: "k", Program: 7, TimeoutUs: timeout, Cores: 2, Memory: 4, Resumable: true}
	if err := h.Submit(h.now, h, submission); err != nil {
		h.t.Fatalf("Submit: %v", err)
	}
	h.advance(10 * millisecond)
}
