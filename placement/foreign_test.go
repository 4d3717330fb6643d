package placement

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
)

// This file tests that foreign workers get no offers and do not change any decision.

// recordedCall holds the time and the events of one call of the scheduler.
type recordedCall struct {
	now    int64
	events []Event
}

// recordHistory runs a random history. It returns the workers of the first list and the calls after
// that list. It also returns newly drawn settings for a replay, with a single scheduler and no tenants.
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

// withForeign returns the events with foreign entries added to the worker lists. A complete list gets all of
// them, a list of changes gets a random selection.
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

// TestForeignWorkersChangeNothing replays histories with and without foreign workers, and checks that the
// actions are the same.
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
		withoutForeignWorkers, err := New(settings, seed)
		if err != nil {
			t.Fatal(err)
		}
		withForeignWorkers, err := New(settings, seed)
		if err != nil {
			t.Fatal(err)
		}
		first := []Event{WorkerList{Kind: ListFull, Entries: workers}}
		calls = slices.Insert(calls, 0, recordedCall{calls[0].now - 1, first})
		for i, call := range calls {
			want := withoutForeignWorkers.Handle(call.now, call.events)
			got := withForeignWorkers.Handle(call.now, withForeign(random, call.events, foreign))
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("seed %d, call %d, %d workers and %d foreign ones: got actions\n%+v\nwant\n%+v", seed, i, len(workers),
					len(foreign), got, want)
			}
			placed += len(ofType[Place](want))
		}
	}
	if placed < 500 {
		t.Errorf("got %d placements compared, want at least 500", placed)
	}
}

// TestWorkerIsReassigned assigns one worker to another scheduler and back. Its task keeps running, and it
// gets no offers until it is assigned to this scheduler again.
func TestWorkerIsReassigned(t *testing.T) {
	a, b := smallWorker("a", 1, 8), smallWorker("b", 2, 8)
	f := newFixture(t, testSettings(), 1, a)
	f.wantPlaced(f.handleAfter(10*ms, f.request("1", "safe", 1, 1)), "a")
	f.handleAfter(10*ms, Accepted{RequestID: "1", Worker: "a", RTTUs: ms})
	a.State = Foreign
	for _, action := range f.handleAfter(10*ms, WorkerList{Kind: ListDelta, Entries: []Entry{a, b}}) {
		t.Errorf("got action %+v when a worker is reassigned, want none", action)
	}
	f.wantPlaced(f.handleAfter(10*ms, f.request("2", "safe", 1, 1)), "b")
	if worker := f.scheduler.fleet.workers["a"]; len(worker.running) != 1 {
		t.Errorf("got %d tasks running on the foreign worker, want 1", len(worker.running))
	}
	a.State, b.State = Ready, Foreign
	f.handleAfter(10*ms, WorkerList{Kind: ListDelta, Entries: []Entry{a, b}})
	f.wantPlaced(f.handleAfter(10*ms, f.request("3", "safe", 1, 1)), "a")
	f.handleAfter(10*ms, WorkerList{Kind: ListDelta, Entries: []Entry{{Worker: "b", State: Removed}}})
	if f.scheduler.fleet.foreignCount != 0 {
		t.Errorf("got a count of %d foreign workers after the removal, want 0", f.scheduler.fleet.foreignCount)
	}
}

// TestReassignmentTeachesNoLag checks that the lag estimate learns neither from the entries of foreign
// workers, nor from entries that are sent only because their worker was reassigned.
func TestReassignmentTeachesNoLag(t *testing.T) {
	a := smallWorker("a", 1, 8)
	f := newFixture(t, testSettings(), 1, a)
	f.wantPlaced(f.handleAfter(10*ms, f.request("1", "safe", 1, 1)), "a")
	seen := f.scheduler.view.lag.observations
	for _, state := range []WorkerState{Foreign, Ready, Foreign, Foreign, Ready} {
		a.State = state
		if state == Foreign {
			a.FreeCores--
		}
		f.handleAfter(10*ms, WorkerList{Kind: ListDelta, Entries: []Entry{a}})
	}
	if f.scheduler.view.lag.observations != seen {
		t.Errorf("got %g more observations of the lag after reassignments, want 0", f.scheduler.view.lag.observations-seen)
	}
	a.FreeCores--
	f.handleAfter(10*ms, WorkerList{Kind: ListDelta, Entries: []Entry{a}})
	if f.scheduler.view.lag.observations == seen {
		t.Error("got no observation of the lag from a new view of an assigned worker, want one")
	}
}

// TestQuotaOfDividedFleet compares two values of the cores requested of all workers: the estimate of a
// scheduler to which one worker in nine is assigned, and the sum of a scheduler that has current views
// of all workers.
func TestQuotaOfDividedFleet(t *testing.T) {
	var complete, divided []Entry
	for i := range 90 {
		entry := smallWorker(fmt.Sprint("m", i), i, 4)
		complete = append(complete, entry)
		if i%9 != 0 {
			entry.State, entry.FreeCores = Foreign, 0 // an outdated view
		}
		divided = append(divided, entry)
	}
	want := newFixture(t, testSettings(), 1, complete...).scheduler.fleet.totalRequestedCores()
	if got := newFixture(t, testSettings(), 1, divided...).scheduler.fleet.totalRequestedCores(); got < want*0.99 || got > want*1.01 {
		t.Errorf("got %g cores requested of the fleet, want %g", got, want)
	}
}

// TestAssignedWorkersAreNotShared checks that a scheduler does not divide the free capacity of the workers
// assigned to it by the number of schedulers, and assumes no concurrent placements of other schedulers there.
func TestAssignedWorkersAreNotShared(t *testing.T) {
	settings := testSettings()
	settings.FleetSize, settings.UnitCores, settings.UnitMemory = 9, 1, 2
	assigned, foreign := smallWorker("a", 1, 8), smallWorker("b", 2, 8)
	foreign.State = Foreign
	shared := newFixture(t, settings, 1, assigned).scheduler.totals.freeUnits()
	if divided := newFixture(t, settings, 1, assigned, foreign).scheduler.totals.freeUnits(); divided <= shared || divided > 9.01*shared {
		t.Errorf("got %g free units on a worker of a divided fleet, want over the %g on a shared worker, and at most 9.01 times as many",
			divided, shared)
	}
	f := newFixture(t, settings, 1, assigned, foreign)
	f.handleAfter(10*ms, Backpressure{ReleaseRate: 1})
	for _, requestID := range []string{"1", "2", "3", "4"} {
		f.handleAfter(10*ms, f.request(requestID, "safe", 1, 1))
	}
	if f.scheduler.overload.active = true; f.scheduler.overload.estimateConcurrent() != [2]float64{} {
		t.Errorf("got concurrent placements %v on assigned workers, want 0", f.scheduler.overload.estimateConcurrent())
	}
}

// TestPreferredWorkersFollowAssignment checks that after a change of the assignment the preferred workers of
// a program are among those that are assigned now.
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
	f.handleAfter(10*ms, WorkerList{Kind: ListDelta, Entries: entries})
	f.scheduler.fleet.refresh()
	assignedOnly := newFixture(t, testSettings(), 1, assigned...)
	assignedOnly.scheduler.fleet.refresh()
	if got, want := names(f.scheduler.fleet.preferredFor(7)), names(assignedOnly.scheduler.fleet.preferredFor(7)); got != want {
		t.Errorf("got preferred workers %s, want %s", got, want)
	}
}

// TestReservationsAreBoundedByAssignedWorkers checks that at most half of the assigned workers are reserved
// for pending tasks, regardless of the number of foreign workers.
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
		f.handleAfter(0, f.request(fmt.Sprint(i), "safe", 1+float64(i), 1))
	}
	if reserved := len(f.scheduler.reservations.priorities); reserved != 2 {
		t.Errorf("got %d workers reserved for pending tasks, want 2 of the 4 assigned ones", reserved)
	}
}
