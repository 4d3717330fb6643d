package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
)

func TestSlowStartBudget(t *testing.T) {
	warming := func(f *fixture) Entry {
		entry := smallWorker("a", 0, 32)
		entry.StartedAtUs = f.now - 10*ms
		return entry
	}
	count := func(f *fixture, from int) (count int) {
		for i := range 20 {
			requestID := fmt.Sprint(from, "-", i)
			actions := f.handleAfter(10*ms, f.request(requestID, "safe", .1, .1))
			count += len(ofType[Place](actions))
			f.handleAfter(0, Accepted{RequestID: requestID, Worker: "a", RTTUs: 1000})
		}
		return count
	}
	settings := testSettings() // with a slow-start budget of 8 offers for 2 schedulers
	f := newFixture(t, settings, 1, smallWorker("a", 0, 32))
	f.handleAfter(2*second, WorkerList{Kind: ListDelta, Entries: []Entry{warming(f)}})
	if count := count(f, 1); count != 4 {
		t.Errorf("got %d offers to a worker that warms up, want 4", count)
	}
	// For one window after the scheduler's own start, its share of the budget counts as used.
	restarted := &fixture{t: t, now: 1_000_000_000}
	var err error
	if restarted.scheduler, err = New(settings, 1); err != nil {
		t.Fatal(err)
	}
	restarted.handleAfter(0, WorkerList{Kind: ListCached, Entries: []Entry{warming(restarted)}})
	if count := count(restarted, 1); count != 0 {
		t.Errorf("got %d offers within the first window after a restart of the scheduler, want 0", count)
	}
	settings.SlowStartOffers = 0
	withoutBudget := newFixture(t, settings, 1)
	withoutBudget.handleAfter(2*second, WorkerList{Kind: ListDelta, Entries: []Entry{warming(withoutBudget)}})
	if count := count(withoutBudget, 1); count != 0 {
		t.Errorf("got %d offers with a budget of 0, want 0", count)
	}
}

func TestStartsOnWarmingWorkerCostMore(t *testing.T) {
	settings := testSettings()
	settings.ColdStartRate = 0.2
	f := newFixture(t, settings, 1, smallWorker("a", 0, 30))
	worker := f.scheduler.fleet.workers["a"]
	if got := f.scheduler.slowStart.startRate(worker); got != 1 {
		t.Errorf("got start rate %v of a warm worker, want 1", got)
	}
	worker.StartedAtUs = f.now
	if got := f.scheduler.slowStart.startRate(worker); got != 0.2 {
		t.Errorf("got start rate %v at the worker's start, want 0.2", got)
	}
	f.handleAfter(settings.WarmUpUs / 2)
	if got := f.scheduler.slowStart.startRate(worker); math.Abs(got-0.6) > 1e-9 {
		t.Errorf("got start rate %v halfway through the warm-up, want 0.6", got)
	}
}

// TestManySchedulersShareSlowStartBudget checks the number of offers within every window if the budget is
// about one offer per scheduler or less. It guards against schedulers that all send an offer at the same time
// and together exceed the budget.
func TestManySchedulersShareSlowStartBudget(t *testing.T) {
	for _, test := range []sharedBudget{
		{"one offer", 300, 1, false, false},
		{"two offers", 60, 2, false, false},
		{"a few", 300, 7.5, false, false},
		{"many", 200, 63, false, false},
		{"one for each", 20, 25, false, false},
		{"stalls", 200, 20, true, false},
		{"restarts", 200, 20, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			settings := testSettings()
			settings.FleetSize, settings.SlowStartOffers, settings.WarmUpUs = test.schedulers, test.offers, 8*second
			warming := smallWorker("a", 0, 32)
			warming.StartedAtUs = 1_000_000_000 + 3*second
			var sent []int64
			for settings.SelfIndex = range test.schedulers {
				sent = append(sent, test.offerTimes(t, settings, warming)...)
			}
			slices.Sort(sent)
			if len(sent) == 0 && test.offers > 2 {
				t.Error("got 0 offers to a worker that warms up, want at least 1")
			}
			for i, at := range sent {
				count, _ := slices.BinarySearch(sent, at+settings.SlowStartWindowUs)
				if count-i > int(test.offers) && at < warming.StartedAtUs+settings.WarmUpUs-settings.SlowStartWindowUs {
					t.Fatalf("got %d offers within a window, want at most %v", count-i, test.offers)
				}
			}
		})
	}
}

// sharedBudget is a case with a slow-start budget that many schedulers share. If stall is true, no scheduler
// is called during several periods of 2 s. If restart is true, each scheduler restarts once.
type sharedBudget struct {
	name           string
	schedulers     int
	offers         float64
	stall, restart bool
}

// offerTimes returns the times at which one scheduler sends offers to a worker that warms up.
func (b *sharedBudget) offerTimes(t *testing.T, settings Settings, warming Entry) (sent []int64) {
	t.Helper()
	index := settings.SelfIndex
	f := newFixture(t, settings, uint64(index), warming)
	f.handleAfter(3*second, WorkerList{Kind: ListDelta, Entries: []Entry{warming}})
	for i := range 70 {
		if b.stall && i%20 == 7 {
			f.now += 2 * second // the scheduler is stalled
		}
		if b.restart && i == 10+index%40 {
			now := f.now
			f = newFixture(t, settings, uint64(index), warming)
			f.now = now
			f.scheduler.startedAt = now
		}
		requestID := fmt.Sprint(i)
		for range len(ofType[Place](f.handleAfter(97*ms, f.request(requestID, "safe", .1, .1)))) {
			sent = append(sent, f.now)
		}
		f.handleAfter(0, Accepted{RequestID: requestID, Worker: "a", RTTUs: 1000})
	}
	return sent
}

// TestOffersBeforeKnownStartCount notifies a scheduler late of a worker's start. Offers that the scheduler
// sent after the start, while it still considered the worker warm, count towards its share of the budget.
func TestOffersBeforeKnownStartCount(t *testing.T) {
	settings := testSettings() // with a slow-start budget of 8 offers for 2 schedulers
	f := newFixture(t, settings, 1, smallWorker(warmingWorker, 0, 32))
	f.handleAfter(2 * second)
	offers := func(from, requests int) (count int) {
		for i := range requests {
			requestID := fmt.Sprint(from, "-", i)
			if len(ofType[Place](f.handleAfter(10*ms, f.request(requestID, "safe", .1, .1)))) == 0 {
				f.handleAfter(0, ClientCancelled{requestID})
				continue
			}
			count++
			f.handleAfter(0, Accepted{RequestID: requestID, Worker: warmingWorker, RTTUs: 1000})
		}
		return count
	}
	if count := offers(1, 2); count != 2 {
		t.Fatalf("got %d offers to the worker before its start, want 2", count)
	}
	started := smallWorker(warmingWorker, 0, 32)
	started.StartedAtUs = f.now + ms
	f.handleAfter(100 * ms)
	if count := offers(2, 3); count != 3 {
		t.Fatalf("got %d offers to a worker that still counts as warm, want 3", count)
	}
	f.handleAfter(ms, WorkerList{Kind: ListDelta, Entries: []Entry{started}})
	if count := offers(3, 10); count != 1 {
		t.Errorf("got %d offers once the start is known, want 1, as 3 of the scheduler's share of 4 were sent since the start", count)
	}
	started.StartedAtUs = f.now // the worker starts again, so the offers before this start no longer count
	f.handleAfter(ms, WorkerList{Kind: ListDelta, Entries: []Entry{started}})
	if count := offers(4, 10); count != 4 {
		t.Errorf("got %d offers after the next start, want 4", count)
	}
}

// TestTurnsAtWarmingWorker checks the turns of schedulers that outnumber the budget. A scheduler's turn does
// not depend on which start of the worker it was notified of, and a scheduler that restarts in its turn skips
// that turn.
func TestTurnsAtWarmingWorker(t *testing.T) {
	settings := testSettings()
	settings.FleetSize, settings.SlowStartOffers = 24, 10
	for settings.SelfIndex = range settings.FleetSize {
		var fixtures []*fixture
		for _, ago := range []int64{100 * ms, 730 * ms} {
			entry := smallWorker(warmingWorker, 0, 32)
			entry.StartedAtUs = 1_000_000_000 - ago
			fixtures = append(fixtures, newFixture(t, settings, 1, entry))
		}
		turns, permittedBefore := 0, false
		for range 800 {
			permitted := make([]bool, len(fixtures))
			for i, f := range fixtures {
				f.handleAfter(10 * ms)
				permitted[i] = f.scheduler.slowStart.permits(f.scheduler.fleet.workers[warmingWorker])
			}
			if permitted[0] != permitted[1] {
				t.Fatalf("scheduler %d at %d us: got permissions %v for the two starts, want the same for both",
					settings.SelfIndex, fixtures[0].now, permitted)
			}
			if permitted[0] && !permittedBefore {
				turns++
			}
			if restarted := newFixture(t, settings, 2, fixtures[0].scheduler.fleet.workers[warmingWorker].Entry); permitted[0] {
				restarted.scheduler.now, restarted.scheduler.startedAt = fixtures[0].now, fixtures[0].now
				if restarted.scheduler.slowStart.permits(restarted.scheduler.fleet.workers[warmingWorker]) {
					t.Fatalf("scheduler %d: got permission for an offer in the turn in which it restarted, want none", settings.SelfIndex)
				}
			}
			permittedBefore = permitted[0]
		}
		if turns == 0 {
			t.Errorf("scheduler %d: got no turn within 8 s, want at least 1", settings.SelfIndex)
		}
	}
}

// TestPartsAddUpToSlowStartBudget gives every scheduler more tasks at once than its share of the budget
// allows, and checks the total number of offers. The total is the budget, or the limit that informedShare
// sets if that is lower.
func TestPartsAddUpToSlowStartBudget(t *testing.T) {
	for _, test := range []struct {
		schedulers int
		offers     float64
		want       int
	}{
		{1, 8, 8}, {3, 8, 8}, {3, 20, 20}, {16, 20, 20}, {16, 50, 44}, {24, 200, 153}, {32, 200, 153},
	} {
		settings := testSettings()
		settings.FleetSize, settings.SlowStartOffers = test.schedulers, test.offers
		sent := 0
		for settings.SelfIndex = range test.schedulers {
			f := newFixture(t, settings, 1, smallWorker("warm", 0, -50))
			warming := smallWorker(warmingWorker, 0, 32)
			f.handleAfter(2 * second)
			warming.StartedAtUs = f.now
			f.handleAfter(ms, WorkerList{Kind: ListDelta, Entries: []Entry{warming}})
			for i := range test.want + 1 {
				requestID := fmt.Sprint(i)
				sent += len(ofType[Place](f.handleAfter(0, f.request(requestID, "safe", .1, .1))))
				f.handleAfter(0, Accepted{RequestID: requestID, Worker: warmingWorker, RTTUs: 1000})
			}
		}
		if sent != test.want {
			t.Errorf("%d schedulers, FreshOffers %v: got %d offers at once, want %d", test.schedulers, test.offers, sent, test.want)
		}
	}
}

// TestWarmWorkersHaveNoSlowStartBudget runs the random history of each seed with several slow-start settings
// and start times. No worker warms up in any of these runs, so the actions must be the same.
func TestWarmWorkersHaveNoSlowStartBudget(t *testing.T) {
	for seed := range uint64(5) {
		want := runWarmHistory(t, seed, 0, func(*Settings) {})
		if len(ofType[Place](want)) < 150 {
			t.Fatalf("seed %d: got %d offers, want at least 150", seed, len(ofType[Place](want)))
		}
		for name, got := range map[string][]Action{
			"no budget for workers that warm up": runWarmHistory(t, seed, 0, func(settings *Settings) { settings.SlowStartOffers = 0 }),
			"a budget of 1 offer in 60 s":        runWarmHistory(t, seed, 0, func(settings *Settings) { settings.SlowStartOffers, settings.SlowStartWindowUs = 1, 60*second }),
			"no warm-up":                         runWarmHistory(t, seed, 1_000_000_000-second, func(settings *Settings) { settings.WarmUpUs = 0 }),
			"started long ago":                   runWarmHistory(t, seed, 1, func(*Settings) {}),
		} {
			if !reflect.DeepEqual(got, want) {
				t.Errorf("seed %d: %s: got %d actions that differ from the %d of workers without a start time",
					seed, name, len(got), len(want))
			}
		}
	}
}

// runWarmHistory returns the actions of a random history. change modifies the settings, and startUs is the
// start time of all workers.
func runWarmHistory(t *testing.T, seed uint64, startUs int64, change func(*Settings)) (all []Action) {
	t.Helper()
	settings := testSettings()
	change(&settings)
	random := rand.New(rand.NewPCG(seed, 0))
	var entries []Entry
	for i := range 6 {
		entry := smallWorker(fmt.Sprint("m", i), i/2, float64(16+random.IntN(16)))
		entry.StartedAtUs = startUs
		entries = append(entries, entry)
	}
	f := newFixture(t, settings, seed, entries...)
	var running []Place
	attempts := map[string]int{} // number of ended attempts by request ID
	for i := range 300 {
		request := f.request(fmt.Sprint(i), settings.Classes[random.IntN(4)].Name, 0.5+random.Float64(), 1)
		request.Program = uint64(random.IntN(40))
		events := []Event{request, TimerFired{"wake"}}
		for len(running) > 0 && random.IntN(3) > 0 {
			place := running[0]
			running = running[1:]
			events = append(events, AttemptEnded{
				RequestID: place.RequestID, Attempt: attempts[place.RequestID], Worker: place.Worker,
				Outcome: drawOutcome(random), RTTUs: 2000,
			})
			attempts[place.RequestID]++
		}
		if i%40 == 39 {
			for j := range entries {
				entries[j].FreeCores = float64(16 + random.IntN(16))
			}
			events = append(events, WorkerList{Kind: ListFull, Entries: entries})
		}
		actions := f.handleAfter(int64(1+random.IntN(20))*ms, events...)
		all, running = append(all, actions...), append(running, ofType[Place](actions)...)
	}
	return all
}

// drawOutcome returns the random outcome of an attempt, which is Completed in 19 of 20 cases.
func drawOutcome(random *rand.Rand) Outcome {
	if random.IntN(20) == 0 {
		return []Outcome{Failed, Rejected, TimedOut, Reset}[random.IntN(4)]
	}
	return Completed
}
