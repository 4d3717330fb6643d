package placement

import (
	"fmt"
	"testing"
)

// TestOneFinalResponse ends requests in different ways, and checks that each gets the expected final
// response once, or none if it was cancelled, was accepted or had an attempt with a final outcome.
func TestOneFinalResponse(t *testing.T) {
	timedOut := AttemptEnded{RequestID: "1", Worker: "a", Outcome: TimedOut}
	for _, test := range []struct {
		name, class      string
		entries          []Entry
		events           []Event
		rejected, failed int
	}{
		{"pending to the deadline", "safe", nil, nil, 1, 0},
		{"unsafe, pending to the deadline", "unsafe", nil, nil, 1, 0},
		{"safe, timed out at the deadline", "safe", []Entry{smallWorker("a", 0, 20)}, []Event{timedOut}, 1, 0},
		{"unsafe, timed out", "unsafe", []Entry{smallWorker("a", 0, 20)}, []Event{timedOut}, 0, 1},
		{"keyed by cell, timed out", "cell", []Entry{smallWorker("a", 0, 20)}, []Event{timedOut}, 0, 1},
		{"keyed by all, timed out", "all", []Entry{smallWorker("a", 0, 20)}, []Event{timedOut}, 1, 0},
		{"final outcome", "safe", []Entry{smallWorker("a", 0, 20)},
			[]Event{AttemptEnded{RequestID: "1", Worker: "a", Outcome: Cancelled, Final: true}}, 0, 0},
		{"cancelled", "safe", nil, []Event{ClientCancelled{"1"}}, 0, 0},
		{"accepted", "safe", []Entry{smallWorker("a", 0, 20)}, []Event{Accepted{RequestID: "1", Worker: "a"}}, 0, 0},
		{"unknown class", "nothing", []Entry{smallWorker("a", 0, 20)}, nil, 1, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, testSettings(), 1, test.entries...)
			actions := f.handleAfter(ms, f.request("1", test.class, 1, 2))
			if len(test.events) > 0 {
				actions = append(actions, f.handleAfter(4998*ms, test.events...)...)
			}
			for range 60 {
				actions = append(actions, f.handleAfter(100*ms, TimerFired{"wake"})...)
			}
			if rejected, failed := len(ofType[Reject](actions)), len(ofType[Fail](actions)); rejected != test.rejected || failed != test.failed {
				t.Errorf("got %d rejections and %d failures, want %d and %d; actions %v", rejected, failed, test.rejected, test.failed, actions)
			}
			if _, stored := f.scheduler.requests.tasks["1"]; stored && test.name != "accepted" {
				t.Error("got the request still stored after it ended, want it removed")
			}
		})
	}
}

func TestPendingTaskGetsResponseBeforeDeadline(t *testing.T) {
	f := newFixture(t, testSettings(), 1)
	request := f.request("1", "safe", 1, 2)
	actions := f.handleAfter(0, request)
	for f.now < request.DeadlineUs {
		timers := ofType[SetTimer](actions)
		if len(timers) == 0 {
			t.Fatal("got no timer while a task is pending, want one")
		}
		actions = f.handleAfter(timers[len(timers)-1].OffsetUs, TimerFired{"wake"})
		if len(ofType[Reject](actions)) == 1 {
			return
		}
	}
	t.Error("got no rejection until the deadline, want one")
}

func TestRepeatsByEffect(t *testing.T) {
	ended := func(outcome Outcome) AttemptEnded { return AttemptEnded{RequestID: "1", Worker: "a", Outcome: outcome} }
	for _, test := range []struct {
		class string
		after int64
		done  AttemptEnded
		again string // worker of the next attempt: "any", "b", or "" for no further attempt
	}{
		{"safe", 10 * ms, ended(Failed), "any"},
		{"safe", 10 * ms, ended(TimedOut), "any"},
		{"unsafe", 10 * ms, ended(Rejected), "any"},
		{"unsafe", 10 * ms, ended(ConnectFailed), "any"},
		{"unsafe", 10 * ms, ended(NeverSent), "any"},
		{"unsafe", 10 * ms, ended(Failed), ""},
		{"unsafe", 10 * ms, ended(TimedOut), ""},
		{"unsafe", 10 * ms, ended(Reset), ""},
		{"unsafe", 10 * ms, ended(Cancelled), ""},
		{"all", 10 * ms, ended(TimedOut), "any"},
		{"all", 2999 * ms, ended(TimedOut), "any"},
		{"all", 3000 * ms, ended(TimedOut), ""},
		{"cell", 10 * ms, ended(Reset), "b"},
		{"cell", 2999 * ms, ended(Reset), "b"},
		{"cell", 3000 * ms, ended(Reset), ""},
		{"cell", 10 * ms, ended(Rejected), "any"},
		{"zone", 10 * ms, ended(Failed), "b"},
	} {
		t.Run(fmt.Sprintf("%s %d after %d", test.class, test.done.Outcome, test.after), func(t *testing.T) {
			// Worker a is the emptiest one and c the next. Worker b is in a's cell and zone.
			f := newFixture(t, testSettings(), 3, smallWorker("a", 0, 30), smallWorker("b", 0, 4), smallWorker("c", 1, 20))
			f.wantPlaced(f.handleAfter(ms, f.request("1", test.class, 1, 2)), "a")
			got := ofType[Place](f.handleAfter(test.after, test.done))
			switch {
			case test.again == "" && len(got) > 0:
				t.Errorf("task was offered again to %s, want no further attempt", got[0].Worker)
			case test.again != "" && len(got) != 1:
				t.Errorf("got %d further offers, want 1", len(got))
			case test.again == "b" && got[0].Worker == "c":
				t.Error("task was offered to c, outside the group that discards its repeats, want b")
			}
		})
	}
}

// A task of a keyed class without an idempotency key gets no further attempt once it may have run, and its client is told that
// it may have.
func TestUnkeyedTaskIsNotRepeated(t *testing.T) {
	for _, class := range []string{"all", "cell", "zone"} {
		f := newFixture(t, testSettings(), 3, smallWorker("a", 0, 30), smallWorker("b", 0, 4), smallWorker("c", 1, 20))
		request := f.request("1", class, 1, 2)
		request.Unkeyed = true
		f.wantPlaced(f.handleAfter(ms, request), "a")
		actions := f.handleAfter(10*ms, AttemptEnded{RequestID: "1", Worker: "a", Outcome: Reset})
		if len(ofType[Place](actions)) > 0 || len(ofType[Fail](actions)) != 1 {
			t.Errorf("class %s: got %v, want a failure and no further attempt", class, actions)
		}
	}
}

// Guards against a second attempt at a worker on which the task may have run, whose messages about the first attempt
// would be taken for those about the second. A request for which no other worker is left gets its response at once. After an
// outcome which shows that the task never ran, the worker may get the task again.
func TestNoSecondAttemptWhereTaskMayHaveRun(t *testing.T) {
	for _, test := range []struct {
		outcome Outcome
		again   bool
	}{
		{Failed, false}, {TimedOut, false}, {Reset, false}, {Cancelled, false},
		{Rejected, true}, {ConnectFailed, true}, {NeverSent, true},
	} {
		t.Run(fmt.Sprint("outcome ", test.outcome), func(t *testing.T) {
			f := newFixture(t, testSettings(), 3, smallWorker("a", 0, 30))
			f.handleAfter(ms, f.request("1", "safe", 1, 2))
			actions := f.handleAfter(10*ms, AttemptEnded{RequestID: "1", Worker: "a", Outcome: test.outcome})
			if offers := len(ofType[Place](actions)); (offers == 1) != test.again {
				t.Errorf("got %d further offers to the only worker, want one: %v", offers, test.again)
			}
			if rejected := len(ofType[Reject](actions)) == 1; rejected == test.again {
				t.Errorf("rejected: %v, want the opposite", rejected)
			}

			repeated := f.request("2", "safe", 1, 2)
			repeated.MayHaveRunOn = []string{"a"}
			actions = f.handleAfter(10*ms, repeated)
			if len(ofType[Place](actions)) > 0 || len(ofType[Reject](actions)) != 1 {
				t.Errorf("got actions %v for a request with an ID that may have run on the only worker, want a rejection", actions)
			}
		})
	}
}

// Guards against a task that is kept from its worker and makes others of its shape wait, though the worker fits them.
func TestExcludedWorkerStaysOpenToOthers(t *testing.T) {
	f := newFixture(t, testSettings(), 3, smallWorker("a", 0, 30), smallWorker("full", 0, -200))
	excluded := f.request("1", "safe", 1, 2)
	excluded.MayHaveRunOn = []string{"a"}
	other := f.request("2", "safe", 1, 2)
	offers := ofType[Place](f.handleAfter(ms, excluded, other))
	if len(offers) != 1 || offers[0].RequestID != "2" || offers[0].Worker != "a" {
		t.Errorf("got offers %v, want request 2 at worker a", offers)
	}
}

func TestOneAttemptAtATime(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30), smallWorker("b", 0, 30))
	attempts := len(ofType[Place](f.handleAfter(ms, f.request("1", "safe", 1, 2))))
	for range 30 {
		attempts += len(ofType[Place](f.handleAfter(100*ms, TimerFired{"wake"})))
	}
	if attempts != 1 {
		t.Errorf("got %d attempts of an unanswered task, want 1", attempts)
	}
}

func TestTaskThatFitsNoKindIsRejectedAtOnce(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30))
	late := f.request("late", "safe", 1, 1)
	late.DeadlineUs = f.now - 1
	actions := f.handleAfter(ms, f.request("1", "safe", 97, 1), f.request("2", "large", 1, 193), late)
	if len(ofType[Reject](actions)) != 3 || len(f.scheduler.requests.tasks) != 0 {
		t.Errorf("got actions %v and %d stored tasks, want three rejections and no task", actions, len(f.scheduler.requests.tasks))
	}
}

func TestUnknownAndRepeatedEventsAreIgnored(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 20))
	done := AttemptEnded{RequestID: "1", Worker: "a", Outcome: Completed, Final: true}
	f.handleAfter(ms, Accepted{RequestID: "x"}, done, TaskReport{RequestID: "x"}, ClientCancelled{"x"}, TimerFired{"?"}, ProbeResult{Worker: "x"})
	f.handleAfter(ms, f.request("1", "safe", 1, 1))
	f.handleAfter(ms, Accepted{RequestID: "1", Attempt: 9}, Accepted{RequestID: "1", Worker: "a"}, Accepted{RequestID: "1", Worker: "a"})
	f.handleAfter(ms, done, done, done, TaskReport{RequestID: "1"})
	if len(f.scheduler.requests.tasks) != 0 || f.scheduler.fleet.workers["a"].active != 0 {
		t.Errorf("got %d tasks and %d active attempts left, want none", len(f.scheduler.requests.tasks), f.scheduler.fleet.workers["a"].active)
	}
}

func TestMemoryIsReleased(t *testing.T) {
	f := newFixture(t, testSettings(), 1)
	for i := range 300 {
		name := fmt.Sprint("m", i)
		f.handleAfter(100*ms, WorkerList{Kind: ListFull, Entries: []Entry{smallWorker(name, 0, 20)}})
		for j := range 10 {
			requestID := fmt.Sprint(i, "-", j)
			request := f.request(requestID, "safe", 1, 1)
			request.Program = uint64(i*10 + j)
			f.handleAfter(ms, request)
			f.handleAfter(ms, Accepted{RequestID: requestID, Worker: name, RTTUs: 1000})
			f.handleAfter(ms, AttemptEnded{RequestID: requestID, Worker: name, Outcome: Completed, Final: true})
		}
	}
	if len(f.scheduler.requests.tasks) > 0 || len(f.scheduler.fleet.workers) > 2 || len(f.scheduler.queue.pending) > 0 {
		t.Errorf("got %d tasks, %d workers and %d pending tasks left, want none, at most 2 and none", len(f.scheduler.requests.tasks), len(f.scheduler.fleet.workers), len(f.scheduler.queue.pending))
	}
	for _, worker := range f.scheduler.fleet.workers {
		if len(worker.residentPrograms) > maxIdlePrograms+1 || len(worker.running) > 0 {
			t.Errorf("got %d resident programs and %d running tasks left, want at most %d and none", len(worker.residentPrograms), len(worker.running), maxIdlePrograms+1)
		}
	}
}
