package placement

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
)

// This file tests that foreign workers get no offers and change no decision.

// recordedCall are the events of one call.
type recordedCall struct {
	now    int64
	events []Event
}

// recordHistory runs a drawn history and returns the workers of its first list, and the calls after it.
func recordHistory(t *testing.T, seed uint64) (settings Settings, workers []Entry, calls []recordedCall) {
	t.Helper()
	h := newHistory(t, seed)
	workers = slices.Clone(h.entries)
	h.record = func(now int64, events []Event) { calls = append(calls, recordedCall{now, events}) }
	for range h.stepCount {
		h.step()
	}
	settings = h.settings()
	settings.FleetSize, settings.SelfIndex, settings.Tenants = 1, 0, nil
	return settings, workers, calls
}

// withForeign adds foreign entries to the lists among events: some to a list of changes, all to a
// complete one.
func withForeign(random *rand.Rand, events []Event, foreign []Entry) []Event {
	events = slices.Clone(events)
	for i, event := range events {
		list, ok := event.(WorkerList)
		if !ok || list.Kind == ListFailed {
			continue
		}
		list.Entries = slices.Clone(list.Entries)
		for j := range foreign {
			foreign[j].FreeCores = random.Float64() * 20
			if list.Kind != ListDelta || random.IntN(2) == 0 {
				at := random.IntN(len(list.Entries) + 1)
				list.Entries = slices.Insert(list.Entries, at, foreign[j])
			}
		}
		events[i] = list
	}
	return events
}

// TestForeignWorkersChangeNothing replays histories with and without foreign workers: every action is
// the same.
func TestForeignWorkersChangeNothing(t *testing.T) {
	placed := 0
	for seed := range uint64(60) {
		settings, workers, calls := recordHistory(t, seed)
		random := rand.New(rand.NewPCG(seed, 83))
		var foreign []Entry
		for i := range 1 + random.IntN(3*len(workers)) {
			entry := workers[random.IntN(len(workers))]
			entry.Worker, entry.State, entry.StartedAtUs = fmt.Sprint("f", i), Foreign, 0
			foreign = append(foreign, entry)
		}
		alone, err := New(settings, seed)
		if err != nil {
			t.Fatal(err)
		}
		among, err := New(settings, seed)
		if err != nil {
			t.Fatal(err)
		}
		first := []Event{WorkerList{Kind: ListFull, Entries: workers}}
		calls = slices.Insert(calls, 0, recordedCall{calls[0].now - 1, first})
		for i, call := range calls {
			want := alone.Handle(call.now, call.events)
			got := among.Handle(call.now, withForeign(random, call.events, foreign))
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("seed %d, call %d, %d workers and %d foreign ones: expected\n%+v\ngot\n%+v", seed, i, len(workers),
					len(foreign), want, got)
			}
			placed += len(ofType[Place](want))
		}
	}
	if placed < 500 {
		t.Errorf("expected 500 placements compared at least, got %d", placed)
	}
}

// TestWorkerIsReassigned follows one worker to another scheduler and back: its tasks run on, it gets
// no offer meanwhile, and gets offers again.
func TestWorkerIsReassigned(t *testing.T) {
	a, b := smallWorker("a", 1, 8), smallWorker("b", 2, 8)
	f := newFixture(t, testSettings(), 1, a)
	f.wantPlaced(f.at(10*ms, f.request("1", "safe", 1, 1)), "a")
	f.at(10*ms, Accepted{RequestID: "1", Worker: "a", RTTUs: ms})
	a.State = Foreign
	for _, action := range f.at(10*ms, WorkerList{Kind: ListDelta, Entries: []Entry{a, b}}) {
		t.Errorf("expected nothing as a worker is reassigned, got %+v", action)
	}
	f.wantPlaced(f.at(10*ms, f.request("2", "safe", 1, 1)), "b")
	if worker := f.scheduler.fleet.workers["a"]; len(worker.running) != 1 {
		t.Errorf("expected the task on the foreign worker to run on, got %d", len(worker.running))
	}
	a.State, b.State = Ready, Foreign
	f.at(10*ms, WorkerList{Kind: ListDelta, Entries: []Entry{a, b}})
	f.wantPlaced(f.at(10*ms, f.request("3", "safe", 1, 1)), "a")
	f.at(10*ms, WorkerList{Kind: ListDelta, Entries: []Entry{{Worker: "b", State: Removed}}})
	if f.scheduler.fleet.foreignCount != 0 {
		t.Errorf("expected no foreign worker to be counted after its removal, got %d", f.scheduler.fleet.foreignCount)
	}
}

// TestReassignmentTeachesNoLag asserts that nothing is learned of the view's lag from entries that come
// only as their worker was reassigned, nor from those of foreign workers.
func TestReassignmentTeachesNoLag(t *testing.T) {
	a := smallWorker("a", 1, 8)
	f := newFixture(t, testSettings(), 1, a)
	f.wantPlaced(f.at(10*ms, f.request("1", "safe", 1, 1)), "a")
	seen := f.scheduler.view.lag.observations
	for _, state := range []WorkerState{Foreign, Ready, Foreign, Foreign, Ready} {
		a.State = state
		if state == Foreign {
			a.FreeCores--
		}
		f.at(10*ms, WorkerList{Kind: ListDelta, Entries: []Entry{a}})
	}
	if f.scheduler.view.lag.observations != seen {
		t.Errorf("expected nothing to be learned of the lag, got %g changes of the view", f.scheduler.view.lag.observations-seen)
	}
	a.FreeCores--
	f.at(10*ms, WorkerList{Kind: ListDelta, Entries: []Entry{a}})
	if f.scheduler.view.lag.observations == seen {
		t.Error("expected a new view to teach of the lag")
	}
}

// TestQuotaOfDividedFleet compares the guess of what is requested of all workers with that of a
// scheduler that has all views.
func TestQuotaOfDividedFleet(t *testing.T) {
	var complete, divided []Entry
	for i := range 90 {
		entry := smallWorker(fmt.Sprint("m", i), i, 4)
		complete = append(complete, entry)
		if i%9 != 0 {
			entry.State, entry.FreeCores = Foreign, 0 // an old view
		}
		divided = append(divided, entry)
	}
	want := newFixture(t, testSettings(), 1, complete...).scheduler.fleet.totalRequestedCores()
	if got := newFixture(t, testSettings(), 1, divided...).scheduler.fleet.totalRequestedCores(); got < want*0.99 || got > want*1.01 {
		t.Errorf("expected %g cores to be requested of the fleet, got %g", want, got)
	}
}

// TestAssignedWorkersAreNotShared asserts that a scheduler to which workers are assigned counts on all
// of their free capacity, and expects no concurrent placements there.
func TestAssignedWorkersAreNotShared(t *testing.T) {
	settings := testSettings()
	settings.FleetSize, settings.UnitCores, settings.UnitMemory = 9, 1, 2
	assigned, foreign := smallWorker("a", 1, 8), smallWorker("b", 2, 8)
	foreign.State = Foreign
	shared := newFixture(t, settings, 1, assigned).scheduler.totals.freeUnits()
	if divided := newFixture(t, settings, 1, assigned, foreign).scheduler.totals.freeUnits(); divided <= shared || divided > 9.01*shared {
		t.Errorf("free capacity for %g units where workers are divided, %g where nine schedulers share one", divided, shared)
	}
	f := newFixture(t, settings, 1, assigned, foreign)
	f.at(10*ms, Backpressure{ReleaseRate: 1})
	for _, requestID := range []string{"1", "2", "3", "4"} {
		f.at(10*ms, f.request(requestID, "safe", 1, 1))
	}
	if f.scheduler.overload.active = true; f.scheduler.overload.estimateConcurrent() != [2]float64{} {
		t.Errorf("expected no concurrent placements at assigned workers, got %v", f.scheduler.overload.estimateConcurrent())
	}
}

// TestPreferredWorkersFollowAssignment asserts that the preferred workers of a program are among those
// that are assigned now.
func TestPreferredWorkersFollowAssignment(t *testing.T) {
	var entries []Entry
	for i := range 100 {
		entries = append(entries, smallWorker(fmt.Sprint("m", i), i, 4))
	}
	f := newFixture(t, testSettings(), 1, entries...)
	f.scheduler.fleet.refresh()
	f.scheduler.fleet.preferredFor(7)
	var assigned []Entry
	for i := range entries {
		if entries[i].State = Foreign; i%2 == 0 {
			entries[i].State = Ready
			assigned = append(assigned, entries[i])
		}
	}
	f.at(10*ms, WorkerList{Kind: ListDelta, Entries: entries})
	f.scheduler.fleet.refresh()
	alone := newFixture(t, testSettings(), 1, assigned...)
	alone.scheduler.fleet.refresh()
	if got, want := names(f.scheduler.fleet.preferredFor(7)), names(alone.scheduler.fleet.preferredFor(7)); got != want {
		t.Errorf("%s come first, expected %s", got, want)
	}
}

// TestReservationsAreBoundedByAssignedWorkers asserts that at most half of the assigned workers are
// reserved for pending tasks, however many foreign ones there are.
func TestReservationsAreBoundedByAssignedWorkers(t *testing.T) {
	entries := []Entry{smallWorker("a", 1, 0), smallWorker("b", 2, 0), smallWorker("c", 3, 0), smallWorker("d", 4, 0)}
	for i := range 40 {
		entry := smallWorker(fmt.Sprint("f", i), 5+i, 0)
		entry.State = Foreign
		entries = append(entries, entry)
	}
	settings := testSettings()
	settings.CoresOvercommit, settings.MemoryOvercommit = 1, 1
	f := newFixture(t, settings, 1, entries...)
	for i := range 10 {
		f.at(0, f.request(fmt.Sprint(i), "safe", 1+float64(i), 1))
	}
	if reserved := len(f.scheduler.reservations.priorities); reserved != 2 {
		t.Errorf("%d workers are reserved for pending tasks, expected 2 of the 4 assigned ones", reserved)
	}
}
