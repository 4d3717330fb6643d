package dispatch

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"ravenhitch/placement"
)

// randomRun plays random events on a harness.
type randomRun struct {
	*harness
	t          *rapid.T
	workers    []string
	requestIDs []string
	withdrawn  map[string]bool // requests that their client cancelled
}

// Whatever happens in whatever order, the invariants that the harness checks hold,
// and every request that was not cancelled by its client has its response in the end.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := &randomRun{harness: newHarness(t), t: t, workers: []string{"a", "b", "c"}, withdrawn: map[string]bool{}}
		run.updateWorkers(placement.ListFull, placement.Ready, run.workers...)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			run.step()
			run.advance(rapid.Int64Range(0, 1500).Draw(t, "ms") * millisecond)
			run.checkTable()
		}
		run.SetAssignedWorkers(run.now, nil)
		run.advance(10 * second)
		run.checkTable()
		for _, id := range run.requestIDs {
			if _, ok := run.finalResponses[id]; !ok && !run.withdrawn[id] {
				t.Fatalf("%s never got a response", id)
			}
		}
	})
}

// The events that a step draws from; a submission is three times as likely as each other.
const (
	stepSubmit1 = iota
	stepSubmit2
	stepSubmit3
	stepAccept
	stepEnd
	stepClientCancel
	stepListWorker
	stepStrayAccept
	stepConfirmCancel
	stepWithholdConfirm
	stepAssignWorkers
	stepLast = stepAssignWorkers
)

// step plays one random event, on a random request where it needs one.
func (run *randomRun) step() {
	id := "-"
	if len(run.requestIDs) > 0 {
		id = rapid.SampledFrom(run.requestIDs).Draw(run.t, "request ID")
	}
	event := rapid.IntRange(0, stepLast).Draw(run.t, "event")
	if run.unconfirmed[id] != "" && (event == stepAccept || event == stepEnd) {
		event = stepConfirmCancel // a worker reports nothing of an attempt whose cancel it has read
	}
	switch event {
	case stepSubmit1, stepSubmit2, stepSubmit3:
		run.submitNew()
	case stepAccept:
		if run.offered[id] != "" {
			run.accept(id)
		}
	case stepEnd:
		run.endWithAnyOutcome(id)
	case stepClientCancel:
		if run.Cancel(run.now, run.harness, id) != NotFound {
			run.withdrawn[id] = true
			delete(run.running, id)
		}
	case stepListWorker:
		worker := rapid.SampledFrom(run.workers).Draw(run.t, "worker")
		state := rapid.SampledFrom([]placement.WorkerState{placement.Ready, placement.Draining, placement.Removed}).Draw(run.t, "state")
		run.updateWorkers(placement.ListDelta, state, worker)
	case stepStrayAccept:
		run.AttemptAccepted(run.now, rapid.SampledFrom(run.workers).Draw(run.t, "stray"), "unknown", "")
	case stepConfirmCancel:
		run.confirmCancel(id)
	case stepWithholdConfirm:
		run.withholdConfirm = !run.withholdConfirm
	case stepAssignWorkers:
		assigned := rapid.SampledFrom(append(run.workers, "")).Draw(run.t, "assigned") // "": all
		run.SetAssignedWorkers(run.now, func(worker string) bool { return assigned == "" || worker == assigned })
	}
}

// submitNew submits a request. Clients come again with a new request ID for a key whose first request
// is pending, offered or running.
func (run *randomRun) submitNew() {
	id := fmt.Sprintf("%016x", len(run.requestIDs)+1)
	run.requestIDs = append(run.requestIDs, id)
	class := rapid.SampledFrom([]string{"web", "cut"}).Draw(run.t, "class")
	key := rapid.SampledFrom([]string{"k", "l", "k" + id}).Draw(run.t, "key")
	run.mustSubmit(id, class, key, rapid.Int64Range(100, 8000).Draw(run.t, "timeout"))
}

// endWithAnyOutcome ends the attempt or the running task of a request.
func (run *randomRun) endWithAnyOutcome(id string) {
	outcomes := []placement.Outcome{placement.Completed, placement.Failed, placement.Rejected, placement.ConnectFailed,
		placement.Reset, placement.Cancelled, placement.NeverSent}
	run.endAttempt(id, rapid.SampledFrom(outcomes).Draw(run.t, "outcome"))
	delete(run.running, id)
}
