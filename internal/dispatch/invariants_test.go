package dispatch

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"ravenhitch/placement"
)

// randomRun applies random events to a harness.
type randomRun struct {
	*harness
	t               *rapid.T
	workers         []string
	requestIDs      []string
	clientCancelled map[string]bool // requests that the client cancelled
}

// The invariants that the harness checks hold for random events in any order, and every request that the
// client did not cancel gets a final response.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := &randomRun{harness: newHarness(t), t: t, workers: []string{"a", "b", "c"}, clientCancelled: map[string]bool{}}
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
			if _, ok := run.finalResponses[id]; !ok && !run.clientCancelled[id] {
				t.Fatalf("request %s has no final response", id)
			}
		}
	})
}

// The events from which a step draws. A submission is three times as likely as any other event.
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
	stepStrayReport1
	stepStrayReport2
	stepLast = stepStrayReport2
)

// step applies one random event, to a random request if the event needs one.
func (run *randomRun) step() {
	id := "-"
	if len(run.requestIDs) > 0 {
		id = rapid.SampledFrom(run.requestIDs).Draw(run.t, "request ID")
	}
	event := rapid.IntRange(0, stepLast).Draw(run.t, "event")
	if run.unconfirmed[id] != "" && (event == stepAccept || event == stepEnd) {
		event = stepConfirmCancel // the attempt is cancelled, so the worker can only confirm the cancel
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
			run.clientCancelled[id] = true
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
		assigned := rapid.SampledFrom(append(run.workers, "")).Draw(run.t, "assigned") // "": all workers
		run.SetAssignedWorkers(run.now, func(worker string) bool { return assigned == "" || worker == assigned })
	case stepStrayReport1, stepStrayReport2:
		run.strayReport(id)
	}
}

// strayReport lets a worker that does not have the present attempt of a request send a message about an earlier one, as if it
// was late or came a second time. The present attempt or task must not be affected.
func (run *randomRun) strayReport(id string) {
	worker := rapid.SampledFrom(run.workers).Draw(run.t, "reporter")
	r := run.requests[id]
	if r != nil && r.worker == worker {
		return
	}
	before := stateRemoved
	if r != nil {
		before = r.state
	}
	switch rapid.IntRange(0, 4).Draw(run.t, "message") {
	case 0:
		run.AttemptAccepted(run.now, worker, id, "late")
	case 1:
		run.CancelConfirmed(run.now, worker, id)
	case 2:
		run.TaskReported(run.now, worker, id, placement.ReportRunning, 0)
	default:
		outcomes := []placement.Outcome{placement.Completed, placement.Failed, placement.Rejected, placement.Reset, placement.Cancelled}
		causes := []placement.Cause{placement.CauseUnknown, placement.CauseDrained, placement.CauseEvicted}
		run.EndReported(run.now, worker, id, rapid.SampledFrom(outcomes).Draw(run.t, "outcome"),
			rapid.SampledFrom(causes).Draw(run.t, "cause"))
	}
	if r != nil && before != statePending && r.state != before {
		run.t.Fatalf("request %s: a message of worker %s about an earlier attempt changed its state from %v to %v", id, worker, before, r.state)
	}
}

// submitNew submits a request. The key may be that of an earlier request in any state, as if the client of that
// request submitted the task again with a new request ID.
func (run *randomRun) submitNew() {
	id := fmt.Sprintf("%016x", len(run.requestIDs)+1)
	run.requestIDs = append(run.requestIDs, id)
	class := rapid.SampledFrom([]string{"web", "cut"}).Draw(run.t, "class")
	key := rapid.SampledFrom([]string{"k", "l", "k" + id}).Draw(run.t, "key")
	run.mustSubmit(id, class, key, rapid.Int64Range(100, 8000).Draw(run.t, "timeout"))
}

// endWithAnyOutcome ends the attempt or the running task of a request with a random outcome.
func (run *randomRun) endWithAnyOutcome(id string) {
	outcomes := []placement.Outcome{placement.Completed, placement.Failed, placement.Rejected, placement.ConnectFailed,
		placement.Reset, placement.Cancelled, placement.NeverSent}
	run.endAttempt(id, rapid.SampledFrom(outcomes).Draw(run.t, "outcome"))
	delete(run.running, id)
}
