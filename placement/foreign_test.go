package placement

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
)

// This file tests that machines of other placers are offered nothing and change no decision.

// recorded are the events of one turn.
type recorded struct {
	now    int64
	events []Event
}

// recordHistory plays a drawn history and returns its turns after the first list, which it returns
// as the machines that were there.
func recordHistory(t *testing.T, seed uint64) (settings Settings, workers []Entry, turns []recorded) {
	t.Helper()
	h := newHistory(t, seed)
	workers = slices.Clone(h.entries)
	h.record = func(now int64, events []Event) { turns = append(turns, recorded{now, events}) }
	for range h.stepCount {
		h.step()
	}
	settings = h.settings()
	settings.FleetSize, settings.SelfIndex, settings.Tenants = 1, 0, nil
	return settings, workers, turns
}

// withForeign adds the entries of other placers' machines to the lists among events: a part of them
// to a list of changes, all to a whole one.
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

// TestForeignMachinesChangeNothing replays histories with and without machines of other placers:
// every action is the same.
func TestForeignMachinesChangeNothing(t *testing.T) {
	placed := 0
	for seed := range uint64(60) {
		settings, workers, turns := recordHistory(t, seed)
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
		turns = slices.Insert(turns, 0, recorded{turns[0].now - 1, first})
		for i, turn := range turns {
			want := alone.Handle(turn.now, turn.events)
			got := among.Handle(turn.now, withForeign(random, turn.events, foreign))
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("seed %d, turn %d, %d machines and %d foreign ones: expected\n%+v\ngot\n%+v", seed, i, len(workers),
					len(foreign), want, got)
			}
			placed += len(of[Place](want))
		}
	}
	if placed < 500 {
		t.Errorf("expected 500 placements compared at least, got %d", placed)
	}
}

// TestMachineChangesHands follows one machine to another placer and back: its tasks stand, it is
// offered nothing meanwhile, and it is offered tasks again.
func TestMachineChangesHands(t *testing.T) {
	a, b := small("a", 1, 8), small("b", 2, 8)
	bed := newBed(t, testSettings(), 1, a)
	bed.placed(bed.at(10*ms, bed.request("1", "safe", 1, 1)), "a")
	bed.at(10*ms, Accepted{RequestID: "1", Worker: "a", RTTUs: ms})
	a.State = Foreign
	for _, action := range bed.at(10*ms, WorkerList{Kind: ListDelta, Entries: []Entry{a, b}}) {
		t.Errorf("expected nothing as a machine changes hands, got %+v", action)
	}
	bed.placed(bed.at(10*ms, bed.request("2", "safe", 1, 1)), "b")
	if worker := bed.p.fleet.workers["a"]; len(worker.running) != 1 {
		t.Errorf("expected the task at the other placer's machine to stand, got %d", len(worker.running))
	}
	a.State, b.State = Ready, Foreign
	bed.at(10*ms, WorkerList{Kind: ListDelta, Entries: []Entry{a, b}})
	bed.placed(bed.at(10*ms, bed.request("3", "safe", 1, 1)), "a")
	bed.at(10*ms, WorkerList{Kind: ListDelta, Entries: []Entry{{Worker: "b", State: Removed}}})
	if bed.p.fleet.foreignCount != 0 {
		t.Errorf("expected no foreign machine to be counted after it is gone, got %d", bed.p.fleet.foreignCount)
	}
}

// TestChangeOfHandsTellsNoView keeps what is learned of the view's lag from entries that are told
// again only since their machine changed hands, and from those of other placers' machines.
func TestChangeOfHandsTellsNoView(t *testing.T) {
	a := small("a", 1, 8)
	bed := newBed(t, testSettings(), 1, a)
	bed.placed(bed.at(10*ms, bed.request("1", "safe", 1, 1)), "a")
	seen := bed.p.view.lagObservations
	for _, state := range []WorkerState{Foreign, Ready, Foreign, Foreign, Ready} {
		a.State = state
		if state == Foreign {
			a.FreeCores--
		}
		bed.at(10*ms, WorkerList{Kind: ListDelta, Entries: []Entry{a}})
	}
	if bed.p.view.lagObservations != seen {
		t.Errorf("expected nothing to be learned of the lag, got %g changes of the view", bed.p.view.lagObservations-seen)
	}
	a.FreeCores--
	bed.at(10*ms, WorkerList{Kind: ListDelta, Entries: []Entry{a}})
	if bed.p.view.lagObservations == seen {
		t.Error("expected a new view to teach of the lag")
	}
}

// TestQuotaOfDividedFleet compares the guess of what all machines are asked for with the one of a
// placer that is told all views.
func TestQuotaOfDividedFleet(t *testing.T) {
	var whole, divided []Entry
	for i := range 90 {
		entry := small(fmt.Sprint("m", i), i, 4)
		whole = append(whole, entry)
		if i%9 != 0 {
			entry.State, entry.FreeCores = Foreign, 0 // an old view
		}
		divided = append(divided, entry)
	}
	want := newBed(t, testSettings(), 1, whole...).p.fleet.requestedCores()
	if got := newBed(t, testSettings(), 1, divided...).p.fleet.requestedCores(); got < want*0.99 || got > want*1.01 {
		t.Errorf("expected the fleet to be asked for %g cores, got %g", want, got)
	}
}

// TestDividedMachinesAreNotShared asserts that a placer whose machines are divided from the others'
// counts on the whole room of its own, and takes nobody else to bind there.
func TestDividedMachinesAreNotShared(t *testing.T) {
	s := testSettings()
	s.FleetSize, s.UnitCores, s.UnitMemory = 9, 1, 2
	own, foreign := small("a", 1, 8), small("b", 2, 8)
	foreign.State = Foreign
	shared := newBed(t, s, 1, own).p.totals.freeUnits()
	if divided := newBed(t, s, 1, own, foreign).p.totals.freeUnits(); divided <= shared || divided > 9.01*shared {
		t.Errorf("room for %g units where machines are divided, %g where nine placers share one", divided, shared)
	}
	f := newBed(t, s, 1, own, foreign)
	f.at(10*ms, Backpressure{ReleaseRate: 1})
	for _, requestID := range []string{"1", "2", "3", "4"} {
		f.at(10*ms, f.request(requestID, "safe", 1, 1))
	}
	if f.p.overload.active = true; f.p.overload.estimateConcurrent() != [2]float64{} {
		t.Errorf("others are taken to bind %v at machines that they are offered nothing at", f.p.overload.estimateConcurrent())
	}
}

// TestPreferredMachinesFollowHands asserts that the machines which come first for a program are those
// of the placer as they are now.
func TestPreferredMachinesFollowHands(t *testing.T) {
	var entries []Entry
	for i := range 100 {
		entries = append(entries, small(fmt.Sprint("m", i), i, 4))
	}
	bed := newBed(t, testSettings(), 1, entries...)
	bed.p.fleet.refresh()
	bed.p.fleet.preferredFor(7)
	var own []Entry
	for i := range entries {
		if entries[i].State = Foreign; i%2 == 0 {
			entries[i].State = Ready
			own = append(own, entries[i])
		}
	}
	bed.at(10*ms, WorkerList{Kind: ListDelta, Entries: entries})
	bed.p.fleet.refresh()
	alone := newBed(t, testSettings(), 1, own...)
	alone.p.fleet.refresh()
	if got, want := names(bed.p.fleet.preferredFor(7)), names(alone.p.fleet.preferredFor(7)); got != want {
		t.Errorf("%s come first, expected %s", got, want)
	}
}

// TestHalfOfOwnMachinesStayOpen asserts that held tasks keep half of the placer's own machines from
// others at most, however many foreign ones there are.
func TestHalfOfOwnMachinesStayOpen(t *testing.T) {
	entries := []Entry{small("a", 1, 0), small("b", 2, 0), small("c", 3, 0), small("d", 4, 0)}
	for i := range 40 {
		entry := small(fmt.Sprint("f", i), 5+i, 0)
		entry.State = Foreign
		entries = append(entries, entry)
	}
	s := testSettings()
	s.CoresOvercommit, s.MemoryOvercommit = 1, 1
	bed := newBed(t, s, 1, entries...)
	for i := range 10 {
		bed.at(0, bed.request(fmt.Sprint(i), "safe", 1+float64(i), 1))
	}
	if kept := len(bed.p.reservations.priorities); kept != 2 {
		t.Errorf("%d machines are kept for held tasks, expected 2 of the 4 own ones", kept)
	}
}
