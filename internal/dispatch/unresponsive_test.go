package dispatch

import (
	"errors"
	"fmt"
	"testing"

	"ravenhitch/placement"
)

// unresponsiveEnds are the ways in which the end of an unresponsive task t1 at worker a becomes known.
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

// A task that was released occupies its worker for the scheduler until its end is known: a worker
// that is cut off runs it on. Its client may use its names again before.
func TestReleasedAtUnresponsiveWorker(t *testing.T) {
	for name, end := range unresponsiveEnds {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.updateWorkers(placement.ListFull, placement.Ready, "a")
			h.mustSubmitApart("t1")
			h.accept("t1")
			if h.Cancel(h.now, nil, "t1") != WasRunning {
				t.Fatal("t1 does not run")
			}
			h.advance(2000 * millisecond)

			h.mustSubmitApart("t2")
			if h.advance(2000 * millisecond); len(h.offers) != 1 || !h.IsTerminating("t1") || h.TasksOn("a").Count != 1 {
				t.Fatalf("offers %v, tasks %v", h.offers, h.TasksOn("a"))
			}
			if err := h.submit("t1", "web", "k1", 1000); !errors.Is(err, ErrRequestIDInUse) {
				t.Errorf("its request ID again: %v", err)
			}
			adoption := Submission{RequestID: "t1", Class: "apart", Key: "k", RunningOn: "a"}
			if err := h.Submit(h.now, h, adoption); err != nil || h.Counts().Adopted != 0 {
				t.Errorf("submitted as running: %v, %d", err, h.Counts().Adopted)
			}

			end(h)
			if h.advance(100 * millisecond); fmt.Sprint(h.offers) != "[t1@a t2@a]" || h.IsTerminating("t1") || len(h.unresponsive) > 0 {
				t.Errorf("offers %v, %d unresponsive", h.offers, len(h.unresponsive))
			}
		})
	}
}

// mustSubmitApart submits a resumable task of the program of which a worker may run one.
func (h *harness) mustSubmitApart(requestID string) {
	h.t.Helper()
	const timeout = 90_000 * millisecond
	h.deadline[requestID], h.class[requestID] = h.now+timeout, "apart"
	submission := Submission{RequestID: requestID, Class: "apart", Key: "k", Program: 7, TimeoutUs: timeout, Cores: 2, Memory: 4, Resumable: true}
	if err := h.Submit(h.now, h, submission); err != nil {
		h.t.Fatalf("%v", err)
	}
	h.advance(10 * millisecond)
}
