package placement

import (
	"fmt"
	"testing"
)

func TestTimeoutEjectsWorker(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30), smallWorker("b", 0, 4))
	f.wantPlaced(f.at(ms, f.request("1", "safe", 1, 2)), "a")
	f.wantPlaced(f.at(500*ms, AttemptEnded{RequestID: "1", Worker: "a", Outcome: TimedOut}), "b")
	f.at(10*ms, Accepted{RequestID: "1", Attempt: 1, Worker: "b", RTTUs: 9000})
	f.wantPlaced(f.at(10*ms, Request{Task{RequestID: "2", Class: "safe", Cores: 1, Memory: 2, DeadlineUs: f.now + 5*second, Program: 8}}), "b")
	// The symptom ends: after a while it is tried, then trusted.
	f.wantPlaced(f.at(10*second, Request{Task{RequestID: "3", Class: "safe", Cores: 1, Memory: 2, DeadlineUs: f.now + 15*second, Program: 9}}), "a")
}

// TestErrorsOfTwoWorkersMakeTaskUnusable has two workers fail one task: no third gets it, and both get
// the next tasks as before. One worker's errors for different tasks still eject it.
func TestErrorsOfTwoWorkersMakeTaskUnusable(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30), smallWorker("b", 0, 30), smallWorker("c", 1, 30))
	actions := f.at(ms, f.request("1", "safe", 1, 2))
	tried := map[string]bool{}
	for i := range 2 {
		worker := ofType[Place](actions)[0].Worker
		tried[worker] = true
		actions = f.at(ms, AttemptEnded{RequestID: "1", Attempt: i, Worker: worker, Outcome: Failed})
	}
	if len(ofType[Place](actions)) != 0 || len(ofType[Reject](actions)) != 1 || len(tried) != 2 {
		t.Fatalf("after errors of %v: %v", tried, actions)
	}
	for _, worker := range f.scheduler.fleet.sorted {
		if !f.scheduler.health.healthy(worker, 0) || worker.suspicion(f.now, 0) > 0.01 {
			t.Errorf("%s: suspicion %v", worker.Worker, worker.suspicion(f.now, 0))
		}
	}
	f = newFixture(t, testSettings(), 1, smallWorker("a", 0, 30))
	for i := range 2 {
		requestID := fmt.Sprint(i)
		f.at(ms, f.request(requestID, "unsafe", 1, 2))
		f.at(ms, AttemptEnded{RequestID: requestID, Worker: "a", Outcome: Failed})
	}
	if f.scheduler.health.healthy(f.scheduler.fleet.sorted[0], 0) {
		t.Error("a worker that fails every task is healthy")
	}
}

// TestReachableWorkerIsTriedAgain has a worker take a connection after one that got no answers: it is
// tried again, but not for ever where it takes connections and answers nothing.
func TestReachableWorkerIsTriedAgain(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30), smallWorker("b", 0, 30))
	worker := f.scheduler.fleet.workers["a"]
	worker.addSuspicion(f.now, 4*timeoutSuspicion)
	f.at(ms, WorkerReachable{Worker: "a"}, WorkerReachable{Worker: "unknown"})
	if suspicion := worker.suspicion(f.now, 0); !f.scheduler.health.healthy(worker, 0) || f.scheduler.health.healthy(worker, 4) || suspicion > reconnectedSuspicion {
		t.Errorf("suspicion %v after it was reached", suspicion)
	}
	worker.addSuspicion(f.now, timeoutSuspicion)
	f.at(ms, WorkerReachable{Worker: "a"})
	if f.scheduler.health.healthy(worker, 0) {
		t.Error("it was healthy again without an answer")
	}
	worker.recordSuccess(f.now, 0)
	f.at(ms, WorkerReachable{Worker: "a"})
	if !f.scheduler.health.healthy(worker, 0) {
		t.Error("it was not healthy again after an answer")
	}
}

// TestUnreachableWorkerIsLeftOut has all workers suspect and one of them unreachable: attempts go to the one that is
// reached, and those beyond its bound wait for it, until the other one is reached again.
func TestUnreachableWorkerIsLeftOut(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30), smallWorker("b", 0, 30))
	for _, worker := range f.scheduler.fleet.sorted {
		worker.addSuspicion(f.now, maxSuspicion)
	}
	f.at(0, WorkerUnreachable{Worker: "b"}, WorkerUnreachable{Worker: "unknown"})
	var requests []Event
	for i := range maxSuspectAttempts + 2 {
		requests = append(requests, f.request(fmt.Sprint(i), "safe", 1, 2))
	}
	expectPlaces(t, f.at(ms, requests...), "a", maxSuspectAttempts)
	expectPlaces(t, f.at(ms, WorkerReachable{Worker: "b"}), "b", 2)
	f.at(ms, Accepted{RequestID: "2", Worker: "b", RTTUs: ms})
	if f.scheduler.fleet.workers["b"].unreachable {
		t.Error("it is unreachable after it accepted an attempt")
	}
}

// TestUnreachableWorkersAreTriedWhereNoneIsReached has all workers suspect and unreachable: each is tried, as what is
// known of connections may be out of date. So is the only worker of a kind.
func TestUnreachableWorkersAreTriedWhereNoneIsReached(t *testing.T) {
	large := Entry{Worker: "c", Kind: "large", FreeCores: 60, FreeMemory: 120}
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30), smallWorker("b", 0, 30), large)
	for _, worker := range f.scheduler.fleet.sorted {
		worker.addSuspicion(f.now, maxSuspicion)
	}
	f.at(0, WorkerUnreachable{Worker: "c"})
	expectPlaces(t, f.at(ms, f.request("1", "large", 1, 2)), "c", 1)
	f.at(0, WorkerUnreachable{Worker: "a"}, WorkerUnreachable{Worker: "b"})
	var requests []Event
	for i := range 2 * maxSuspectAttempts {
		requests = append(requests, f.request(fmt.Sprint("2", i), "safe", 1, 2))
	}
	places := f.at(ms, requests...)
	expectPlaces(t, places, "a", maxSuspectAttempts)
	expectPlaces(t, places, "b", maxSuspectAttempts)
}

// TestUnreachableWorkerReturnsByItself has a worker stay unreachable: once its suspicion is forgotten it is tried as any
// other, since no connection may have been tried meanwhile.
func TestUnreachableWorkerReturnsByItself(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30), smallWorker("b", 0, 4))
	f.scheduler.fleet.workers["a"].addSuspicion(f.now, maxSuspicion)
	f.at(0, WorkerUnreachable{Worker: "a"})
	f.at(10 * suspicionHalflife)
	f.wantPlaced(f.at(ms, f.request("1", "safe", 1, 2)), "a")
}

// TestTaskWaitsForFullWorkerThatIsReached has a worker that looks empty as nothing reaches it, beside one that is full or
// has to answer: tasks wait for that one.
func TestTaskWaitsForFullWorkerThatIsReached(t *testing.T) {
	for _, test := range []struct {
		name      string
		freeCores float64 // of the worker that is reached
		prepare   func(reached *workerInfo)
	}{
		{"full", -16, func(*workerInfo) {}},
		{"suspect, with one attempt in its window", 30, func(reached *workerInfo) {
			reached.addSuspicion(1_000_000_000, maxSuspicion)
			reached.attemptWindow = 1
			reached.unanswered = []*attemptInfo{{worker: reached, sentAt: 1_000_000_000}}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, testSettings(), 1, smallWorker("a", 0, test.freeCores), smallWorker("b", 0, 30))
			f.scheduler.fleet.workers["b"].addSuspicion(f.now, maxSuspicion)
			test.prepare(f.scheduler.fleet.workers["a"])
			f.at(0, WorkerUnreachable{Worker: "b"})
			expectPlaces(t, f.at(ms, f.request("1", "safe", 1, 2)), "b", 0)
		})
	}
}

// expectPlaces fails where not just so many attempts go to a worker.
func expectPlaces(t *testing.T, actions []Action, worker string, want int) {
	t.Helper()
	got := 0
	for _, place := range ofType[Place](actions) {
		if place.Worker == worker {
			got++
		}
	}
	if got != want {
		t.Errorf("%d attempts at %s, want %d; actions %v", got, worker, want, actions)
	}
}

func TestSuspicionAloneNeverEjectsFleet(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30), smallWorker("b", 0, 30))
	for _, name := range []string{"a", "b"} {
		f.scheduler.fleet.workers[name].addSuspicion(f.now, maxSuspicion)
	}
	if got := ofType[Place](f.at(ms, f.request("1", "safe", 1, 2))); len(got) != 1 {
		t.Errorf("%d placed while all look bad, want 1", len(got))
	}
}

func TestJammedWorkerIsLeftAlone(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30), smallWorker("b", 0, 4))
	f.wantPlaced(f.at(ms, f.request("1", "safe", 1, 2)), "a")
	f.wantPlaced(f.at(5*ms, AttemptEnded{RequestID: "1", Worker: "a", Outcome: Rejected, Cause: CauseQueue}), "b")
	if window := f.scheduler.fleet.workers["a"].attemptWindow; window >= initialAttemptWindow {
		t.Errorf("window %v after 'too many wait', want it halved", window)
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
		t.Error("trusted again after one success in five")
	}
	for range 20 {
		worker.recordSuccess(f.now, 0)
	}
	if !f.scheduler.health.healthy(worker, 0) {
		t.Error("not trusted after twenty successes")
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
		attempts += len(ofType[Place](f.at(ms, f.request(fmt.Sprint(i), "safe", .5, .5))))
	}
	if attempts < 2 || attempts > 4 {
		t.Errorf("%d attempts at two unresponsive workers, want 2 to 4", attempts)
	}
}

func TestSlowStartsAreNoTimeout(t *testing.T) {
	settings := testSettings()
	for _, running := range []bool{false, true} {
		settings.AcceptMeansRunning = running
		f := newFixture(t, settings, 1, smallWorker("a", 0, 30))
		f.scheduler.health.meanRTT, f.scheduler.health.rttDeviation = 50_000, 10_000
		f.wantPlaced(f.at(ms, f.request("1", "safe", 1, 2)), "a")
		f.at(800 * ms)
		if got := f.scheduler.health.healthy(f.scheduler.fleet.workers["a"], 0); got != running {
			t.Errorf("accepted means running %v: healthy %v after 0.8 s, want %v", running, got, running)
		}
	}
}

func TestTimeoutIsDistinguishedFromLoss(t *testing.T) {
	for _, test := range []struct {
		name        string
		accepted    string // the class of an attempt accepted since
		safe, large bool   // which classes are trusted then
	}{
		{"unresponsive worker", "", false, false},
		{"unresponsive for one class", "large", false, true},
		{"answers lost", "safe", true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			entry := Entry{Worker: "a", Kind: "large", FreeCores: 60, FreeMemory: 120}
			f := newFixture(t, testSettings(), 1, entry)
			worker := f.scheduler.fleet.workers["a"]
			f.wantPlaced(f.at(ms, f.request("1", "safe", 1, 2)), "a")
			if test.accepted != "" {
				f.wantPlaced(f.at(ms, f.request("2", test.accepted, 1, 2)), "a")
				f.at(ms, Accepted{RequestID: "2", Worker: "a", RTTUs: 1000})
			}
			f.at(100*ms, AttemptEnded{RequestID: "1", Worker: "a", Outcome: TimedOut, Final: true})
			f.at(100 * ms)
			if safe, large := worker.suspicion(f.now, 0) < ejectionThreshold, worker.suspicion(f.now, 8) < ejectionThreshold; safe != test.safe || large != test.large {
				t.Errorf("not ejected for its class %v, for the other %v; want %v and %v", safe, large, test.safe, test.large)
			}
			f.at(10 * suspicionHalflife)
			if !f.scheduler.health.healthy(worker, 0) {
				t.Error("not forgotten")
			}
		})
	}
}

func TestSchedulerStallBlamesNobody(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30))
	f.scheduler.health.meanRTT, f.scheduler.health.rttDeviation = 20_000, 5_000
	f.wantPlaced(f.at(ms, f.request("1", "safe", 1, 2)), "a")
	// There is no call for two seconds; then the answer comes with a new request.
	f.wantPlaced(f.at(2*second, f.request("2", "safe", 1, 2), Accepted{RequestID: "1", Worker: "a", RTTUs: 21_000}), "a")
	if suspicion := f.scheduler.fleet.workers["a"].suspicion(f.now, 0); suspicion != 0 {
		t.Errorf("suspicion %v after a stall of the scheduler, want none", suspicion)
	}
}

// TestTaskSentAwayBlamesNobody has a worker send a task away whose acceptance was not read: it drains, which is no error.
func TestTaskSentAwayBlamesNobody(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30), smallWorker("b", 0, 4))
	f.wantPlaced(f.at(ms, f.request("1", "safe", 1, 2)), "a")
	f.at(ms, AttemptEnded{RequestID: "1", Worker: "a", Outcome: Reset, Cause: CauseDrained, Final: true})
	if suspicion := f.scheduler.fleet.workers["a"].suspicion(f.now, 0); suspicion != 0 {
		t.Errorf("suspicion %v", suspicion)
	}
	f.wantPlaced(f.at(ms, f.request("2", "safe", 1, 2)), "b")
	f.at(assumedDrain)
	f.wantPlaced(f.at(ms, f.request("3", "safe", 1, 2)), "a")
}
