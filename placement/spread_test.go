package placement

import (
	"fmt"
	"testing"
)

func TestSpread(t *testing.T) {
	for _, test := range []struct {
		class string
		want  int // how many of 6 tasks are placed on three workers in cells 0, 0 and 1
	}{{"apartMachine", 3}, {"apartCell", 4}, {"apartZone", 2}} {
		f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30), smallWorker("b", 0, 30), smallWorker("c", 1, 30))
		count := 0
		for i := range 6 {
			count += len(ofType[Place](f.handleAfter(ms, f.request(fmt.Sprint(i), test.class, 1, 1))))
		}
		if count != test.want {
			t.Errorf("class %s: got %d placements of tasks requested in separate calls, want %d", test.class, count, test.want)
		}
		f = newFixture(t, testSettings(), 1, smallWorker("a", 0, 30), smallWorker("b", 0, 30), smallWorker("c", 1, 30))
		var all []Event
		for i := range 6 {
			all = append(all, f.request(fmt.Sprint(i), test.class, 1, 1))
		}
		if count := len(ofType[Place](f.handleAfter(ms, all...))); count != test.want {
			t.Errorf("class %s: got %d placements of tasks requested in one call, want %d", test.class, count, test.want)
		}
	}
}

func TestAdoptedTasksCountForSpread(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30))
	f.handleAfter(ms, Adopted{Task: f.request("e", "apartMachine", 1, 1).Task, Worker: "a"})
	f.wantPlaced(f.handleAfter(ms, f.request("1", "apartMachine", 1, 1)), "")
	f.wantPlaced(f.handleAfter(ms, AttemptEnded{RequestID: "e", Worker: "a", Outcome: Completed, Final: true}), "a")
	f.handleAfter(ms, AttemptEnded{RequestID: "1", Worker: "a", Outcome: Completed, Final: true})
	f.wantPlaced(f.handleAfter(ms, Adopted{Task: f.request("f", "apartMachine", 1, 1).Task, Worker: "a"}, f.request("2", "apartMachine", 1, 1)), "")
}

// TestSpreadCountsAreNotReused checks that cached counts are not used for another program, nor after another
// task of the same program was adopted.
func TestSpreadCountsAreNotReused(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 10))
	f.handleAfter(ms, Adopted{Task: f.request("e", "apartMachine", 1, 1).Task, Worker: "a"})
	other := f.request("1", "apartMachine", 40, 40)
	other.Program = 8
	f.wantPlaced(f.handleAfter(ms, other, f.request("2", "apartMachine", 1, 1)), "")
	f = newFixture(t, testSettings(), 1, smallWorker("a", 0, -16))
	f.wantPlaced(f.handleAfter(ms, f.request("1", "apartMachine", 1, 1)), "")
	full := WorkerList{Kind: ListDelta, Entries: []Entry{smallWorker("a", 0, -16)}}
	f.wantPlaced(f.handleAfter(ms, full), "")
	free := WorkerList{Kind: ListDelta, Entries: []Entry{smallWorker("a", 0, 30)}}
	f.wantPlaced(f.handleAfter(ms, Adopted{Task: f.request("e", "apartMachine", 1, 1).Task, Worker: "a"}, free), "")
}

// TestAttemptsOfCancelledRequestsCountForSpread cancels a request before its attempt has ended (incident
// ib4b606). The task may still run, so the attempt counts for the spread until it ends.
func TestAttemptsOfCancelledRequestsCountForSpread(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30))
	f.wantPlaced(f.handleAfter(ms, f.request("1", "apartMachine", 1, 1)), "a")
	f.handleAfter(ms, ClientCancelled{"1"})
	f.wantPlaced(f.handleAfter(ms, f.request("2", "apartMachine", 1, 1)), "")
	f.wantPlaced(f.handleAfter(ms, AttemptEnded{RequestID: "1", Worker: "a", Outcome: TimedOut, Final: true}), "a")
	if len(f.scheduler.requests.tasks) != 1 {
		t.Errorf("got %d tasks in the scheduler's state, want 1", len(f.scheduler.requests.tasks))
	}
}

func TestTasksOfRestartedWorkerCountForSpread(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30))
	f.handleAfter(2*second, Adopted{Task: f.request("e", "apartMachine", 1, 1).Task, Worker: "a"})
	entry := smallWorker("a", 0, 30)
	entry.StartedAtUs = f.now
	f.handleAfter(ms, WorkerList{Kind: ListDelta, Entries: []Entry{entry}})
	f.wantPlaced(f.handleAfter(ms, f.request("1", "apartMachine", 1, 1)), "")
	f.wantPlaced(f.handleAfter(ms, AttemptEnded{RequestID: "e", Worker: "a", Outcome: Reset, Final: true}), "a")
}

// BenchmarkSpread measures a new scheduler that handles a list of 400 workers, of which half are full, and
// then a call with 100 requests of a class with a spread limit.
func BenchmarkSpread(b *testing.B) {
	settings := testSettings()
	var entries []Entry
	for i := range 400 {
		entry := smallWorker(fmt.Sprint("m", i), i/8, 30)
		if i >= 200 {
			entry.FreeCores, entry.FreeMemory = -16, -32
		}
		entries = append(entries, entry)
	}
	for b.Loop() {
		scheduler, err := New(settings, 1)
		if err != nil {
			b.Fatal(err)
		}
		scheduler.Handle(1_000_000_000, []Event{WorkerList{Kind: ListCached, Entries: entries}})
		var events []Event
		for i := range 100 {
			events = append(events, Request{Task{RequestID: fmt.Sprint(i), Class: "apartMachine", Cores: 1, Memory: 1,
				DeadlineUs: 1_005_000_000, Program: uint64(i % 20)}})
		}
		scheduler.Handle(1_000_001_000, events)
	}
}
