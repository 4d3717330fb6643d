package dispatch

import (
	"context"
	"flag"
	"log/slog"
	"os"
	"testing"

	"ravenhitch/placement"
)

func TestMain(m *testing.M) {
	// The seed of rapid is set here and not on the command line, because test binaries of packages that do not use
	// rapid reject its flags.
	for name, value := range map[string]string{"rapid.seed": "20261201", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// drainGrace is the drain grace period of testSettings. The dispatcher stops its offers to a draining worker earlier,
// after Dispatcher.drainLimit.
const drainGrace = 2000 * millisecond

// testSettings returns settings with classes for the effects of a repeated start: class web is safe and class cut
// is unsafe. The classes "all", "zone" and "cell" are keyed, and each is named after its group. Class apart is
// safe and has a spread.
func testSettings() placement.Settings {
	class := func(name string, effect placement.Effect) placement.Class {
		return placement.Class{Name: name, Effect: effect, Weight: 1, Kind: -1, SaturationLoad: 0.8, SaturationRange: 0.2}
	}
	keyed := func(name string, group placement.Scope) placement.Class {
		keyed := class(name, placement.Keyed)
		keyed.Group, keyed.WindowUs = group, 700*millisecond
		return keyed
	}
	web := class("web", placement.Safe)
	web.ObjectiveUs, web.DeadlineUs = 1000*millisecond, 5000*millisecond
	cut := class("cut", placement.Unsafe)
	cut.Weight, cut.ObjectiveUs, cut.DeadlineUs = 5, 6000*millisecond, 9000*millisecond
	apart := class("apart", placement.Safe)
	apart.Spread, apart.MaxPerDomain = placement.ScopeWorker, 1
	return placement.Settings{
		FleetSize: 1, HasView: true, PollsDiscovery: true, CoresOvercommit: 1, MemoryOvercommit: 1, MaxAttempts: 3, TickUs: 2000,
		PollWithinUs: 10_000 * millisecond, AnswerSlackUs: 8 * millisecond, DrainGraceUs: drainGrace, SlowStartOffers: 50,
		SlowStartWindowUs: 3000 * millisecond, WarmUpUs: 16_000 * millisecond, ColdStartRate: 0.2, UnitCores: 1, UnitMemory: 2,
		Kinds: []placement.Kind{{Name: "std", Cores: 32, Memory: 64}},
		Classes: []placement.Class{web, cut, keyed("all", placement.ScopeAll), keyed("zone", placement.ScopeZone),
			keyed("cell", placement.ScopeCell), apart},
	}
}

// failer is the part of *testing.T and *rapid.T that the harness uses.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// transitionChecker is a slog.Handler that fails the test on an illegal state transition.
type transitionChecker struct{ failer }

func (c transitionChecker) Enabled(_ context.Context, level slog.Level) bool {
	return level >= slog.LevelError
}

func (c transitionChecker) Handle(_ context.Context, record slog.Record) error {
	if record.Message == "illegal state transition" {
		record.Attrs(func(attr slog.Attr) bool {
			if attr.Key == "err" {
				c.Fatalf("%v", attr.Value)
			}
			return true
		})
		c.Fatalf("%s", record.Message)
	}
	return nil
}

func (c transitionChecker) WithAttrs([]slog.Attr) slog.Handler { return c }
func (c transitionChecker) WithGroup(string) slog.Handler      { return c }

// harness simulates the workers and the clients of a dispatcher under the control of a test. It records what
// they receive, and fails the test if an invariant is broken.
type harness struct {
	t failer
	*Dispatcher
	now int64

	offers      []string          // all offers so far, as requestID@worker
	offered     map[string]string // worker with the open attempt, by request ID
	running     map[string]string // worker with the running task, by request ID
	cancelled   int               // number of cancelled attempts
	unconfirmed map[string]string // worker with a cancelled attempt whose cancel is not confirmed, by request ID
	// withholdConfirm is true if attempts that are cancelled from now on stay open until the test confirms the
	// cancel.
	withholdConfirm bool
	// withoutKeys is true if requests that are submitted from now on have no idempotency key.
	withoutKeys bool

	received       []Response
	finalResponses map[string]ResponseKind

	mayHaveRun   map[string]bool
	mayHaveRunAt map[string]bool   // by requestID@worker
	rejectedOn   map[string]uint64 // number of the connection of the latest rejection, by requestID@worker
	connections  uint64            // number of the latest connection on which an offer was rejected
	deadline     map[string]int64
	class        map[string]string
	drainedAt    map[string]int64
}

func newHarness(t failer) *harness {
	t.Helper()
	h := &harness{
		t:              t,
		now:            1000 * second,
		offered:        map[string]string{},
		running:        map[string]string{},
		unconfirmed:    map[string]string{},
		finalResponses: map[string]ResponseKind{},
		mayHaveRun:     map[string]bool{},
		mayHaveRunAt:   map[string]bool{},
		rejectedOn:     map[string]uint64{},
		deadline:       map[string]int64{},
		class:          map[string]string{},
		drainedAt:      map[string]int64{},
	}
	dispatcher, err := New(testSettings(), 7, h, slog.New(transitionChecker{t}))
	if err != nil {
		t.Fatalf("New: %v", err)
	}
	h.Dispatcher = dispatcher
	return h
}

// Offer implements WorkerPool.
func (h *harness) Offer(worker string, offer Offer) {
	id := offer.RequestID
	_, isOver := h.finalResponses[id]
	drainedAt, draining := h.drainedAt[worker]
	switch {
	case h.offered[id] != "":
		h.t.Fatalf("request %s: offered while another attempt is open", id)
	case isOver || h.running[id] != "":
		h.t.Fatalf("request %s: offered after its final response or while its task runs", id)
	case offer.Class == "cut" && h.mayHaveRun[id]:
		h.t.Fatalf("request %s: offered again though its task may have started and must not run twice", id)
	case draining && h.now > drainedAt+drainGrace:
		h.t.Fatalf("request %s: offered to worker %s, which has been draining for %d ms",
			id, worker, (h.now-drainedAt)/millisecond)
	case !h.listFilter.assigned(worker):
		h.t.Fatalf("request %s: offered to worker %s, which is assigned to another orchestrator", id, worker)
	case h.mayHaveRunAt[id+"@"+worker]:
		h.t.Fatalf("request %s: offered again to worker %s, on which it may have run", id, worker)
	case offer.AfterConnection < h.rejectedOn[id+"@"+worker]:
		h.t.Fatalf("request %s: offered to worker %s on a connection after %d, but the worker rejected it on %d", id, worker,
			offer.AfterConnection, h.rejectedOn[id+"@"+worker])
	case offer.TimeoutUs <= 0 || h.now+offer.TimeoutUs > h.deadline[id]:
		h.t.Fatalf("request %s: offer timeout %d us is not positive or ends after the deadline", id, offer.TimeoutUs)
	}
	h.offered[id] = worker
	h.offers = append(h.offers, id+"@"+worker)
}

// CancelAttempt implements WorkerPool.
func (h *harness) CancelAttempt(worker, requestID string, _ bool) CancelState {
	if h.offered[requestID] != worker || h.unconfirmed[requestID] != "" {
		h.t.Fatalf("request %s: cancelled at worker %s, which has no open attempt of it", requestID, worker)
	}
	h.recordMayHaveRun(requestID, worker)
	h.cancelled++
	if h.withholdConfirm {
		h.unconfirmed[requestID] = worker
		return CancelUnconfirmed
	}
	delete(h.offered, requestID)
	return CancelConfirmed
}

// Release implements WorkerPool.
func (h *harness) Release(string, string) {}

// CancelRelease implements WorkerPool.
func (h *harness) CancelRelease(string, string) {}

// Probe implements WorkerPool.
func (h *harness) Probe(string) {}

// Respond implements Client.
func (h *harness) Respond(response Response) {
	h.received = append(h.received, response)
	id := response.RequestID
	if response.Kind == Completed || response.Kind == Migrated {
		if h.running[id] == "" {
			h.t.Fatalf("request %s: reported as completed or migrated, but its task is not running", id)
		}
		delete(h.running, id)
		return
	}
	if before, ok := h.finalResponses[id]; ok {
		h.t.Fatalf("request %s: second final response of kind %v after %v", id, response.Kind, before)
	}
	if h.now > h.deadline[id] {
		h.t.Fatalf("request %s: response %d ms after the deadline", id, (h.now-h.deadline[id])/millisecond)
	}
	if response.Kind == Rejected && h.class[id] == "cut" && h.mayHaveRun[id] {
		h.t.Fatalf("request %s: rejected though its task may have started and must not run twice", id)
	}
	h.finalResponses[id] = response.Kind
}

// submit submits a request for a task with 2 cores and a memory of 4, in the unit of testSettings.
func (h *harness) submit(requestID, class, key string, timeoutMs int64) error {
	h.deadline[requestID], h.class[requestID] = h.now+timeoutMs*millisecond, class
	s := Submission{RequestID: requestID, Class: class, Key: key, TimeoutUs: timeoutMs * millisecond, Cores: 2, Memory: 4}
	if !h.withoutKeys {
		s.IdempotencyKey = "i" + key
	}
	return h.Submit(h.now, h, s)
}

// mustSubmit submits a request and fails the test if Submit returns an error.
func (h *harness) mustSubmit(requestID, class, key string, timeoutMs int64) {
	h.t.Helper()
	if err := h.submit(requestID, class, key, timeoutMs); err != nil {
		h.t.Fatalf("Submit of request %s: %v", requestID, err)
	}
}

// mustStart submits a request of class web. The worker that receives the offer accepts it.
func (h *harness) mustStart(requestID string, timeoutMs int64) {
	h.t.Helper()
	h.mustSubmit(requestID, "web", "k"+requestID, timeoutMs)
	h.advance(10 * millisecond)
	h.accept(requestID)
}

// adopt submits a task that is already running at a worker.
func (h *harness) adopt(requestID, worker string) {
	h.t.Helper()
	h.running[requestID] = worker
	submission := Submission{RequestID: requestID, Class: "web", Key: "k" + requestID, TimeoutUs: 1000 * millisecond, Cores: 2, Memory: 4, RunningOn: worker}
	if err := h.Submit(h.now, h, submission); err != nil {
		h.t.Fatalf("Submit of a running task: %v", err)
	}
}

// updateWorkers sends the dispatcher a list of workers that are all in one state.
func (h *harness) updateWorkers(kind placement.ListKind, state placement.WorkerState, workers ...string) {
	list := placement.WorkerList{Kind: kind}
	for _, worker := range workers {
		list.Entries = append(list.Entries, placement.Entry{Worker: worker, Kind: "std", State: state, FreeCores: 32, FreeMemory: 64})
		if state == placement.Ready {
			delete(h.drainedAt, worker)
		} else if _, ok := h.drainedAt[worker]; !ok {
			h.drainedAt[worker] = h.now
		}
	}
	h.UpdateWorkers(h.now, list)
}

// accept lets the worker with the open attempt of a request accept it.
func (h *harness) accept(requestID string) {
	worker := h.offered[requestID]
	delete(h.offered, requestID)
	h.running[requestID] = worker
	h.recordMayHaveRun(requestID, worker)
	h.AttemptAccepted(h.now, worker, requestID, "by "+worker)
}

// endAttempt lets a worker report the end of the open attempt of a request or, if there is none, of its
// running task.
func (h *harness) endAttempt(requestID string, outcome placement.Outcome) {
	worker := h.offered[requestID]
	if worker == "" {
		h.TaskEnded(h.now, h.running[requestID], requestID, outcome, 0)
		return
	}
	delete(h.offered, requestID)
	switch outcome {
	case placement.Rejected:
		h.reject(requestID, worker, 0)
	case placement.ConnectFailed, placement.NeverSent:
		h.OfferUndelivered(h.now, worker, requestID, outcome)
	default:
		h.recordMayHaveRun(requestID, worker)
		h.TaskEnded(h.now, worker, requestID, outcome, 0)
	}
}

// reject lets a worker reject an offer, on a connection that was used for no rejection before.
func (h *harness) reject(requestID, worker string, cause placement.Cause) {
	h.connections++
	h.rejectedOn[requestID+"@"+worker] = h.connections
	h.OfferRejected(h.now, worker, requestID, cause, h.connections)
}

// recordMayHaveRun records that a request may have run on a worker.
func (h *harness) recordMayHaveRun(requestID, worker string) {
	h.mayHaveRun[requestID], h.mayHaveRunAt[requestID+"@"+worker] = true, true
}

// confirmCancel confirms the cancel of the attempt of a request if there is an unconfirmed one.
func (h *harness) confirmCancel(requestID string) {
	if worker := h.unconfirmed[requestID]; worker != "" {
		delete(h.unconfirmed, requestID)
		delete(h.offered, requestID)
		h.CancelConfirmed(h.now, worker, requestID)
	}
}

// advance lets time pass, and calls Turn whenever the dispatcher requests it.
func (h *harness) advance(us int64) {
	h.t.Helper()
	const maxTurns = 100_000
	end := h.now + us
	h.Turn(h.now)
	for turns := 0; ; turns++ {
		next := h.NextDeadline()
		if next == 0 || next > end {
			break
		}
		if turns > maxTurns {
			h.t.Fatalf("the dispatcher requested more than maxTurns turns in one call of advance")
		}
		h.now = max(h.now, next)
		h.Turn(h.now)
	}
	h.now = end
	h.Turn(h.now)
}

// completions returns the request IDs of the reported completions, each followed by a space.
func (h *harness) completions() (ids string) { return h.idsWith(Completed) }

// idsWith returns the request IDs of the responses of a kind, each followed by a space.
func (h *harness) idsWith(kind ResponseKind) (ids string) {
	for _, response := range h.received {
		if response.Kind == kind {
			ids += response.RequestID + " "
		}
	}
	return ids
}

// schedulerState returns the state of a worker as the dispatcher reports it to the scheduler.
func (h *harness) schedulerState(worker string) placement.WorkerState {
	return h.listFilter.adjust(h.listFilter.entries[worker]).State
}

// checkTable fails the test if a request in the table has an illegal state or lacks its deadline, or if the counts
// that are derived from the table differ from it.
func (h *harness) checkTable() {
	h.t.Helper()
	h.checkRunningTasks()
	pending := 0
	for id, r := range h.requests {
		switch {
		case r.state == stateNew || r.state == stateRemoved:
			h.t.Fatalf("request %s is in the table in state %v", id, r.state)
		case (r.state.isOpen() || r.state == stateTerminating) && r.heapIndex < 0:
			h.t.Fatalf("request %s in state %v has no deadline", id, r.state)
		}
		if r.state == statePending {
			pending++
		}
	}
	if pending != h.pendingCount {
		h.t.Fatalf("%d requests are pending, but pendingCount is %d", pending, h.pendingCount)
	}
}

// checkRunningTasks compares the tasks that are counted for each worker with the requests that occupy it.
func (h *harness) checkRunningTasks() {
	h.t.Helper()
	occupying := map[string]int{}
	for _, requests := range []map[string]*request{h.requests, h.unresponsive} {
		for _, r := range requests {
			if r.state.occupiesWorker() || r == h.unresponsive[r.RequestID] {
				occupying[r.worker]++
			}
		}
	}
	for worker := range h.tasksByWorker {
		if h.TasksOn(worker).Count != occupying[worker] {
			h.t.Fatalf("%d tasks occupy worker %s, but %d are counted", occupying[worker], worker, h.TasksOn(worker).Count)
		}
		delete(occupying, worker)
	}
	if len(occupying) > 0 {
		h.t.Fatalf("workers with tasks that are not counted, with the number of tasks: %v", occupying)
	}
}
