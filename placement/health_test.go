package placement

import (
	"fmt"
	"testing"
)

func TestTimeoutEjectsWorker(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30), smallWorker("b", 0, 4))
	f.wantPlaced(f.handleAfter(ms, f.request("1", "safe", 1, 2)), "a")
	f.wantPlaced(f.handleAfter(500*ms, AttemptEnded{RequestID: "1", Worker: "a", Outcome: TimedOut}), "b")
	f.handleAfter(10*ms, Accepted{RequestID: "1", Attempt: 1, Worker: "b", RTTUs: 9000})
	f.wantPlaced(f.handleAfter(10*ms, Request{Task{RequestID: "2", Class: "safe", Cores: 1, Memory: 2, DeadlineUs: f.now + 5*second, Program: 8}}), "b")
	// The suspicion decays without further timeouts, and worker a gets tasks again.
	f.wantPlaced(f.handleAfter(10*second, Request{Task{RequestID: "3", Class: "safe", Cores: 1, Memory: 2, DeadlineUs: f.now + 15*second, Program: 9}}), "a")
}

// TestErrorsOfTwoWorkersMakeTaskUnusable has two workers fail one task. No third worker gets the task, and
// neither of the two workers is suspected. A worker that fails different tasks is still ejected.
func TestErrorsOfTwoWorkersMakeTaskUnusable(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30), smallWorker("b", 0, 30), smallWorker("c", 1, 30))
	actions := f.handleAfter(ms, f.request("1", "safe", 1, 2))
	tried := map[string]bool{}
	for i := range 2 {
		worker := ofType[Place](actions)[0].Worker
		tried[worker] = true
		actions = f.handleAfter(ms, AttemptEnded{RequestID: "1", Attempt: i, Worker: worker, Outcome: Failed})
	}
	if len(ofType[Place](actions)) != 0 || len(ofType[Reject](actions)) != 1 || len(tried) != 2 {
		t.Fatalf("after errors on workers %v: got actions %v, want two workers tried and one rejection only", tried, actions)
	}
	for _, worker := range f.scheduler.fleet.sorted {
		if !f.scheduler.health.healthy(worker, 0) || worker.suspicion(f.now, 0) > 0.01 {
			t.Errorf("worker %s: got healthy %v and suspicion %v, want healthy and at most 0.01", worker.Worker,
				f.scheduler.health.healthy(worker, 0), worker.suspicion(f.now, 0))
		}
	}
	f = newFixture(t, testSettings(), 1, smallWorker("a", 0, 30))
	for i := range 2 {
		requestID := fmt.Sprint(i)
		f.handleAfter(ms, f.request(requestID, "unsafe", 1, 2))
		f.handleAfter(ms, AttemptEnded{RequestID: requestID, Worker: "a", Outcome: Failed})
	}
	if f.scheduler.health.healthy(f.scheduler.fleet.sorted[0], 0) {
		t.Error("got healthy after errors of two different tasks, want not healthy")
	}
}

// TestReachableWorkerIsTriedAgain has a worker accept a new connection after a connection that carried
// no answers. The worker is tried again, but not repeatedly if it accepts connections and never
// answers.
func TestReachableWorkerIsTriedAgain(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30), smallWorker("b", 0, 30))
	worker := f.scheduler.fleet.workers["a"]
	worker.addSuspicion(f.now, 4*timeoutSuspicion)
	f.handleAfter(ms, WorkerReachable{Worker: "a"}, WorkerReachable{Worker: "unknown"})
	if suspicion := worker.suspicion(f.now, 0); !f.scheduler.health.healthy(worker, 0) || f.scheduler.health.healthy(worker, 4) || suspicion > reconnectedSuspicion {
		t.Errorf("got suspicion %v after the worker was reached, want at most %v, healthy for class safe but not unsafe",
			suspicion, reconnectedSuspicion)
	}
	worker.addSuspicion(f.now, timeoutSuspicion)
	f.handleAfter(ms, WorkerReachable{Worker: "a"})
	if f.scheduler.health.healthy(worker, 0) {
		t.Error("got healthy after a further connection without an answer, want not healthy")
	}
	worker.recordSuccess(f.now, 0)
	f.handleAfter(ms, WorkerReachable{Worker: "a"})
	if !f.scheduler.health.healthy(worker, 0) {
		t.Error("got not healthy after an answer and a further connection, want healthy")
	}
}

// TestUnreachableWorkerIsLeftOut uses a fleet of two suspect workers, one of which is unreachable.
// Attempts go only to the reachable worker, which gets maxSuspectAttempts of them. The other tasks wait
// until the unreachable worker is reached again.
func TestUnreachableWorkerIsLeftOut(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30), smallWorker("b", 0, 30))
	for _, worker := range f.scheduler.fleet.sorted {
		worker.addSuspicion(f.now, maxSuspicion)
	}
	f.handleAfter(0, WorkerUnreachable{Worker: "b"}, WorkerUnreachable{Worker: "unknown"})
	var requests []Event
	for i := range maxSuspectAttempts + 2 {
		requests = append(requests, f.request(fmt.Sprint(i), "safe", 1, 2))
	}
	expectPlaces(t, f.handleAfter(ms, requests...), "a", maxSuspectAttempts)
	expectPlaces(t, f.handleAfter(ms, WorkerReachable{Worker: "b"}), "b", 2)
	f.handleAfter(ms, Accepted{RequestID: "2", Worker: "b", RTTUs: ms})
	if f.scheduler.fleet.workers["b"].unreachable {
		t.Error("got worker b unreachable after it accepted an attempt, want reachable")
	}
}

// TestUnreachableWorkersAreTriedWhereNoneIsReached uses a fleet in which all workers are suspect and
// unreachable. Each of them is tried, because the state of the connections may be out of date. The only
// worker of a kind is also tried if it is unreachable and workers of other kinds are reachable.
func TestUnreachableWorkersAreTriedWhereNoneIsReached(t *testing.T) {
	large := Entry{Worker: "c", Kind: "large", FreeCores: 60, FreeMemory: 120}
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30), smallWorker("b", 0, 30), large)
	for _, worker := range f.scheduler.fleet.sorted {
		worker.addSuspicion(f.now, maxSuspicion)
	}
	f.handleAfter(0, WorkerUnreachable{Worker: "c"})
	expectPlaces(t, f.handleAfter(ms, f.request("1", "large", 1, 2)), "c", 1)
	f.handleAfter(0, WorkerUnreachable{Worker: "a"}, WorkerUnreachable{Worker: "b"})
	var requests []Event
	for i := range 2 * maxSuspectAttempts {
		requests = append(requests, f.request(fmt.Sprint("2", i), "safe", 1, 2))
	}
	places := f.handleAfter(ms, requests...)
	expectPlaces(t, places, "a", maxSuspectAttempts)
	expectPlaces(t, places, "b", maxSuspectAttempts)
}

// TestUnreachableWorkerReturnsByItself has a worker stay unreachable. Once its suspicion has decayed,
// it gets tasks like any other worker: possibly no connection was attempted in the meantime, so the
// worker may be reachable again.
func TestUnreachableWorkerReturnsByItself(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30), smallWorker("b", 0, 4))
	f.scheduler.fleet.workers["a"].addSuspicion(f.now, maxSuspicion)
	f.handleAfter(0, WorkerUnreachable{Worker: "a"})
	f.handleAfter(10 * suspicionHalflife)
	f.wantPlaced(f.handleAfter(ms, f.request("1", "safe", 1, 2)), "a")
}

// TestTaskWaitsForFullWorkerThatIsReached uses a fleet of two workers. The unreachable one looks empty,
// because no task reaches it. The reachable one is full, or has as many unanswered attempts as its attempt
// window permits. Tasks wait for the reachable worker.
func TestTaskWaitsForFullWorkerThatIsReached(t *testing.T) {
	for _, test := range []struct {
		name      string
		freeCores float64 // free cores of the reachable worker
		prepare   func(reached *workerInfo)
	}{
		{"full", -16, func(*workerInfo) {}},
		{"suspect, with its attempt window used up", 30, func(reached *workerInfo) {
			reached.addSuspicion(1_000_000_000, maxSuspicion)
			reached.attemptWindow = 1
			reached.unanswered = []*attemptInfo{{worker: reached, sentAt: 1_000_000_000}}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, testSettings(), 1, smallWorker("a", 0, test.freeCores), smallWorker("b", 0, 30))
			f.scheduler.fleet.workers["b"].addSuspicion(f.now, maxSuspicion)
			test.prepare(f.scheduler.fleet.workers["a"])
			f.handleAfter(0, WorkerUnreachable{Worker: "b"})
			expectPlaces(t, f.handleAfter(ms, f.request("1", "safe", 1, 2)), "b", 0)
		})
	}
}

// expectPlaces reports an error unless exactly the wanted number of attempts goes to a worker.
func expectPlaces(t *testing.T, actions []Action, worker string, want int) {
	t.Helper()
	got := 0
	for _, place := range ofType[Place](actions) {
		if place.Worker == worker {
			got++
		}
	}
	if got != want {
		t.Errorf("got %d attempts at worker %s, want %d; actions %v", got, worker, want, actions)
	}
}

func TestSuspicionAloneNeverEjectsFleet(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30), smallWorker("b", 0, 30))
	for _, name := range []string{"a", "b"} {
		f.scheduler.fleet.workers[name].addSuspicion(f.now, maxSuspicion)
	}
	if got := ofType[Place](f.handleAfter(ms, f.request("1", "safe", 1, 2))); len(got) != 1 {
		t.Errorf("got %d placements while all workers are suspect, want 1", len(got))
	}
}

func TestJammedWorkerIsLeftAlone(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30), smallWorker("b", 0, 4))
	f.wantPlaced(f.handleAfter(ms, f.request("1", "safe", 1, 2)), "a")
	f.wantPlaced(f.handleAfter(5*ms, AttemptEnded{RequestID: "1", Worker: "a", Outcome: Rejected, Cause: CauseQueue}), "b")
	if window := f.scheduler.fleet.workers["a"].attemptWindow; window >= initialAttemptWindow {
		t.Errorf("got attempt window %v after a rejection for a full queue, want under %v", window, initialAttemptWindow)
	}
}

func TestOneSuccessDoesNotClearLossyWorker(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30))
	worker := f.scheduler.fleet.workers["a"]
	for range 4 {
		worker.addSuspicion(f.now, 1.5)
	}
	worker.recordSuccess(f.now, 0)
	if f.scheduler.health.healthy(worker, 0) {
		t.Error("got healthy after four losses and one success, want not healthy")
	}
	for range 20 {
		worker.recordSuccess(f.now, 0)
	}
	if !f.scheduler.health.healthy(worker, 0) {
		t.Error("got not healthy after twenty more successes, want healthy")
	}
}

func TestSuspectWorkersGetFewAttempts(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30), smallWorker("b", 0, 30))
	for _, name := range []string{"a", "b"} {
		f.scheduler.fleet.workers[name].addSuspicion(f.now, maxSuspicion)
		f.scheduler.fleet.workers[name].attemptWindow = maxAttemptWindow
	}
	attempts := 0
	for i := range 20 {
		attempts += len(ofType[Place](f.handleAfter(ms, f.request(fmt.Sprint(i), "safe", .5, .5))))
	}
	if attempts < 2 || attempts > 4 {
		t.Errorf("got %d attempts at two unresponsive workers, want 2 to 4", attempts)
	}
}

func TestSlowStartsAreNoTimeout(t *testing.T) {
	settings := testSettings()
	for _, running := range []bool{false, true} {
		settings.AcceptMeansRunning = running
		f := newFixture(t, settings, 1, smallWorker("a", 0, 30))
		f.scheduler.health.meanRTT, f.scheduler.health.rttDeviation = 50_000, 10_000
		f.wantPlaced(f.handleAfter(ms, f.request("1", "safe", 1, 2)), "a")
		f.handleAfter(800 * ms)
		if got := f.scheduler.health.healthy(f.scheduler.fleet.workers["a"], 0); got != running {
			t.Errorf("AcceptMeansRunning %v: got healthy %v with an offer unanswered for 0.8 s, want %v", running, got, running)
		}
	}
}

func TestTimeoutIsDistinguishedFromLoss(t *testing.T) {
	for _, test := range []struct {
		name        string
		accepted    string // class of a later attempt that the worker accepted, or "" for none
		safe, large bool   // whether the worker is expected to stay below the ejection threshold, by class
	}{
		{"unresponsive worker", "", false, false},
		{"unresponsive for one class", "large", false, true},
		{"answers lost", "safe", true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			entry := Entry{Worker: "a", Kind: "large", FreeCores: 60, FreeMemory: 120}
			f := newFixture(t, testSettings(), 1, entry)
			worker := f.scheduler.fleet.workers["a"]
			f.wantPlaced(f.handleAfter(ms, f.request("1", "safe", 1, 2)), "a")
			if test.accepted != "" {
				f.wantPlaced(f.handleAfter(ms, f.request("2", test.accepted, 1, 2)), "a")
				f.handleAfter(ms, Accepted{RequestID: "2", Worker: "a", RTTUs: 1000})
			}
			f.handleAfter(100*ms, AttemptEnded{RequestID: "1", Worker: "a", Outcome: TimedOut, Final: true})
			f.handleAfter(100 * ms)
			if safe, large := worker.suspicion(f.now, 0) < ejectionThreshold, worker.suspicion(f.now, 8) < ejectionThreshold; safe != test.safe || large != test.large {
				t.Errorf("below the ejection threshold: got %v for class safe and %v for class large, want %v and %v",
					safe, large, test.safe, test.large)
			}
			f.handleAfter(10 * suspicionHalflife)
			if !f.scheduler.health.healthy(worker, 0) {
				t.Error("got not healthy ten half-lives of the suspicion later, want healthy")
			}
		})
	}
}

func TestSchedulerStallBlamesNobody(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30))
	f.scheduler.health.meanRTT, f.scheduler.health.rttDeviation = 20_000, 5_000
	f.wantPlaced(f.handleAfter(ms, f.request("1", "safe", 1, 2)), "a")
	// The scheduler is not called for two seconds. Then it receives the acceptance of request 1 together
	// with a new request.
	f.wantPlaced(f.handleAfter(2*second, f.request("2", "safe", 1, 2), Accepted{RequestID: "1", Worker: "a", RTTUs: 21_000}), "a")
	if suspicion := f.scheduler.fleet.workers["a"].suspicion(f.now, 0); suspicion != 0 {
		t.Errorf("got suspicion %v after a stall of the scheduler, want 0", suspicion)
	}
}

// TestTaskSentAwayBlamesNobody has a draining worker end a task before the scheduler has received the
// acceptance of the task. Draining is not an error, so the worker is not suspected. The worker gets no
// tasks until assumedDrain has passed.
func TestTaskSentAwayBlamesNobody(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30), smallWorker("b", 0, 4))
	f.wantPlaced(f.handleAfter(ms, f.request("1", "safe", 1, 2)), "a")
	f.handleAfter(ms, AttemptEnded{RequestID: "1", Worker: "a", Outcome: Reset, Cause: CauseDrained, Final: true})
	if suspicion := f.scheduler.fleet.workers["a"].suspicion(f.now, 0); suspicion != 0 {
		t.Errorf("got suspicion %v after the worker drained, want 0", suspicion)
	}
	f.wantPlaced(f.handleAfter(ms, f.request("2", "safe", 1, 2)), "b")
	f.handleAfter(assumedDrain)
	f.wantPlaced(f.handleAfter(ms, f.request("3", "safe", 1, 2)), "a")
}
