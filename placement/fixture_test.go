package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// This file owns the fixture that drives one scheduler with events, and the settings, workers and
// tasks that tests use.

const ms = int64(1000)

func testSettings() Settings {
	return Settings{
		FleetSize: 2, HasView: true, CoresOvercommit: 1.5, MemoryOvercommit: 1.5,
		Kinds: []Kind{{"small", 32, 64}, {"large", 64, 128}},
		Classes: []Class{
			{Name: "safe", Effect: Safe, ObjectiveUs: 700 * ms, DeadlineUs: 5000 * ms, Weight: 1, StartBonusS: 8, Kind: -1, SaturationLoad: .8, SaturationRange: .2},
			{Name: "all", Effect: Keyed, Group: ScopeAll, WindowUs: 3000 * ms, ObjectiveUs: 700 * ms, Weight: 1, Kind: -1, SaturationLoad: .8, SaturationRange: .2},
			{Name: "cell", Effect: Keyed, Group: ScopeCell, WindowUs: 3000 * ms, Weight: 1, Kind: -1, SaturationLoad: .8, SaturationRange: .2},
			{Name: "zone", Effect: Keyed, Group: ScopeZone, WindowUs: 3000 * ms, Weight: 1, Kind: -1, SaturationLoad: .8, SaturationRange: .2},
			{Name: "unsafe", Effect: Unsafe, Weight: 1, Kind: -1, SaturationLoad: .8, SaturationRange: .2},
			{Name: "apartMachine", Effect: Safe, Weight: 1, Kind: -1, Spread: ScopeWorker, MaxPerDomain: 1, SaturationLoad: .8, SaturationRange: .2},
			{Name: "apartCell", Effect: Safe, Weight: 1, Kind: -1, Spread: ScopeCell, MaxPerDomain: 2, SaturationLoad: .8, SaturationRange: .2},
			{Name: "apartZone", Effect: Safe, Weight: 1, Kind: -1, Spread: ScopeZone, MaxPerDomain: 1, SaturationLoad: .8, SaturationRange: .2},
			{Name: "large", Effect: Safe, ObjectiveUs: 4000 * ms, Weight: 3, Kind: 1, SaturationLoad: .8, SaturationRange: .2},
		},
		MaxAttempts: 3, AnswerSlackUs: 8 * ms, DrainGraceUs: 250 * ms, WarmUpUs: 10_000 * ms,
		SlowStartWindowUs: 1000 * ms, SlowStartOffers: 8, TickUs: 2 * ms, PollWithinUs: 10_000 * ms, MigrationCost: 0.08,
	}
}

// fixture drives one scheduler with events.
type fixture struct {
	t         *testing.T
	scheduler *Scheduler
	now       int64
}

func newFixture(t *testing.T, settings Settings, seed uint64, entries ...Entry) *fixture {
	t.Helper()
	scheduler, err := New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{t: t, scheduler: scheduler, now: 1_000_000_000}
	f.handleAfter(0, WorkerList{Kind: ListCached, Entries: entries})
	return f
}

// handleAfter advances the clock by a time in microseconds, and passes events to the scheduler.
func (f *fixture) handleAfter(after int64, events ...Event) []Action {
	f.now += after
	return f.scheduler.Handle(f.now, events)
}

func (f *fixture) request(requestID, class string, cores, memory float64) Request {
	return Request{Task{RequestID: requestID, Class: class, Cores: cores, Memory: memory, DeadlineUs: f.now + 5000*ms, Program: 7}}
}

func (f *fixture) wantPlaced(actions []Action, want string) {
	f.t.Helper()
	got := ""
	for _, place := range ofType[Place](actions) {
		got = place.Worker
	}
	if got != want {
		f.t.Fatalf("task was offered to %q, want %q; actions %v", got, want, actions)
	}
}

// syntheticTask returns a task that was not submitted to the scheduler.
func (f *fixture) syntheticTask(program uint64) *taskInfo {
	request := f.request("probe", "safe", 1, 2)
	request.Program = program
	return &taskInfo{Task: request.Task, arrivedAt: f.now, queuedSince: f.now}
}

// startTask submits a task and accepts its offer on behalf of the worker.
func (f *fixture) startTask(requestID string) {
	f.t.Helper()
	got := ofType[Place](f.handleAfter(ms, f.request(requestID, "safe", 1, 2)))
	if len(got) != 1 {
		f.t.Fatalf("got %d offers of task %s, want 1", len(got), requestID)
	}
	f.handleAfter(ms, Accepted{RequestID: requestID, Worker: got[0].Worker, RTTUs: ms})
}

func smallWorker(name string, cell int, freeCores float64) Entry {
	return Entry{Worker: name, Kind: "small", Cell: cell, Zone: fmt.Sprint("z", cell), FreeCores: freeCores, FreeMemory: 2 * freeCores}
}

// ofType returns the actions of one type.
func ofType[A Action](actions []Action) []A {
	var out []A
	for _, action := range actions {
		if matching, ok := action.(A); ok {
			out = append(out, matching)
		}
	}
	return out
}

// evenUtilization draws the utilization of a worker in an evenly loaded fleet.
func evenUtilization(random *rand.Rand) float64 { return 0.6 + 0.04*random.NormFloat64() }

// largeFleet returns a fixture with the given number of workers, all of one kind. drawUtilization draws the
// utilization of each worker.
func largeFleet(t *testing.T, workers int, drawUtilization func(*rand.Rand) float64) *fixture {
	random := rand.New(rand.NewPCG(1, uint64(workers)))
	entries := make([]Entry, workers)
	for i := range entries {
		entries[i] = smallWorker(fmt.Sprintf("m%05d", i), i/8, 32*(1-drawUtilization(random)))
	}
	return newFixture(t, testSettings(), 1, entries...)
}
