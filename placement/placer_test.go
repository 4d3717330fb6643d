package placement

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"
)

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
			{Name: "apartMachine", Effect: Safe, Weight: 1, Kind: -1, Spread: ScopeMachine, MaxPerDomain: 1, SaturationLoad: .8, SaturationRange: .2},
			{Name: "apartCell", Effect: Safe, Weight: 1, Kind: -1, Spread: ScopeCell, MaxPerDomain: 2, SaturationLoad: .8, SaturationRange: .2},
			{Name: "apartZone", Effect: Safe, Weight: 1, Kind: -1, Spread: ScopeZone, MaxPerDomain: 1, SaturationLoad: .8, SaturationRange: .2},
			{Name: "large", Effect: Safe, ObjectiveUs: 4000 * ms, Weight: 3, Kind: 1, SaturationLoad: .8, SaturationRange: .2},
		},
		MaxAttempts: 3, AnswerSlackUs: 8 * ms, DrainGraceUs: 250 * ms, WarmUpUs: 10_000 * ms,
		SlowStartWindowUs: 1000 * ms, SlowStartOffers: 8, TickUs: 2 * ms, PollWithinUs: 10_000 * ms, MigrationCost: 0.08,
	}
}

// fixture drives one scheduler by events.
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
	f.at(0, WorkerList{Kind: ListCached, Entries: entries})
	return f
}

// at moves the clock on and hands over events.
func (f *fixture) at(after int64, events ...Event) []Action {
	f.now += after
	return f.scheduler.Handle(f.now, events)
}

func (f *fixture) request(requestID, class string, cores, memory float64) Request {
	return Request{Task{RequestID: requestID, Class: class, Cores: cores, Memory: memory, DeadlineUs: f.now + 5000*ms, Program: 7}}
}

func smallWorker(name string, cell int, spareCores float64) Entry {
	return Entry{Worker: name, Kind: "small", Cell: cell, Zone: fmt.Sprint("z", cell), FreeCores: spareCores, FreeMemory: 2 * spareCores}
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

func (f *fixture) wantPlaced(actions []Action, want string) {
	f.t.Helper()
	got := ""
	for _, place := range ofType[Place](actions) {
		got = place.Worker
	}
	if got != want {
		f.t.Fatalf("placed on %q, want %q; actions %v", got, want, actions)
	}
}

func TestAdmissionCostByHand(t *testing.T) {
	for _, test := range []struct{ u, x, l, rho, want float64 }{
		{0, 0.5, 1, 0.5, 0.25},      // 2 * 0.125
		{0.5, 0.1, 1, 0.5, 0.61},    // 0.5 + 2 * (0.05 + 0.005)
		{0.5, 0.2, 0.5, 0.75, 0.74}, // 0.5 + 2 * (0.1 + 0.02)
	} {
		if got := admissionCost(test.u, test.x, test.l, test.rho); math.Abs(got-test.want) > 1e-12 {
			t.Errorf("cost(%v, %v, %v, %v) = %v, want %v", test.u, test.x, test.l, test.rho, got, test.want)
		}
	}
}

func TestLowestCostWins(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 8), smallWorker("b", 0, 30), smallWorker("c", 1, 16))
	f.wantPlaced(f.at(ms, f.request("1", "safe", 1, 2)), "b")
}

func TestNearEqualsAreDrawn(t *testing.T) {
	seen := map[string]int{}
	for seed := range uint64(60) {
		f := newFixture(t, testSettings(), seed, smallWorker("a", 0, 20), smallWorker("b", 0, 20), smallWorker("c", 1, 20))
		request := f.request("1", "safe", 1, 2)
		request.Program = 0 // of no program
		seen[ofType[Place](f.at(ms, request))[0].Worker]++
	}
	for _, name := range []string{"a", "b", "c"} {
		if seen[name] < 8 {
			t.Errorf("%s drawn %d times of 60: %v", name, seen[name], seen)
		}
	}
}

func TestPlacementsCountUntilViewShowsThem(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 20), smallWorker("b", 0, 18))
	f.wantPlaced(f.at(ms, f.request("1", "safe", 6, 6)), "a")
	worker := f.scheduler.fleet.workers["a"]
	if c, _ := f.scheduler.loads.requested(worker); c != 18 {
		t.Fatalf("%v cores requested with the placement, want 18", c)
	}
	// A view that comes at once cannot show the placement yet.
	f.at(100*ms, WorkerList{Kind: ListDelta, Entries: []Entry{smallWorker("a", 0, 20)}})
	if c, _ := f.scheduler.loads.requested(worker); c != 18 {
		t.Fatalf("%v cores requested after an early view, want 18", c)
	}
	f.at(5000*ms, WorkerList{Kind: ListDelta, Entries: []Entry{smallWorker("a", 0, 14)}})
	if c, _ := f.scheduler.loads.requested(worker); c != 18 {
		t.Fatalf("%v cores requested once the view shows it, want 18, not counted twice", c)
	}
}

func TestRejectionTakesPlacementBack(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 20))
	f.wantPlaced(f.at(ms, f.request("1", "safe", 2, 4)), "a")
	f.at(20*ms, AttemptEnded{RequestID: "1", Worker: "a", Outcome: Rejected, Cause: CauseQueue})
	c, _ := f.scheduler.loads.requested(f.scheduler.fleet.workers["a"])
	if c != 12 && c != 14 { // 14 where it was tried again at once
		t.Errorf("%v cores requested, want 12 and at most the new placement", c)
	}
}

func TestRejectionForMemoryLeavesCores(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 20))
	f.at(ms, f.request("1", "safe", 2, 4))
	f.at(20*ms, AttemptEnded{RequestID: "1", Worker: "a", Outcome: Rejected, Cause: CauseMemory})
	c, memory := f.scheduler.loads.requested(f.scheduler.fleet.workers["a"])
	if c != 12 || memory+4 <= 64*1.5 {
		t.Errorf("%v cores and %v memory requested: want 12 and no free capacity for the task", c, memory)
	}
}

func TestLagIsLearned(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 28))
	free := 28.0
	type change struct{ at, by int64 }
	var binds []change
	for i := range 60 {
		requestID := fmt.Sprint(i)
		if i%3 != 1 {
			f.at(0, f.request(requestID, "safe", 1, 1))
			f.at(0, Accepted{RequestID: requestID, Worker: "a", RTTUs: 1000})
			binds = append(binds, change{f.now, 1})
			if i%2 == 0 {
				f.at(150*ms, AttemptEnded{RequestID: requestID, Worker: "a", Outcome: Completed, Final: true})
				binds = append(binds, change{f.now, -1})
			}
		}
		f.at(700 * ms)
		for len(binds) > 0 && binds[0].at <= f.now-2500*ms {
			free -= float64(binds[0].by)
			binds = binds[1:]
		}
		f.at(0, WorkerList{Kind: ListDelta, Entries: []Entry{smallWorker("a", 0, free)}})
	}
	if f.scheduler.loads.lag < 2000*ms || f.scheduler.loads.lag > 3250*ms {
		t.Errorf("lag %v, want near 2.5 s", f.scheduler.loads.lag)
	}
}

// TestOneFinalResponse drives each way in which a request can end.
func TestOneFinalResponse(t *testing.T) {
	toDeadline := AttemptEnded{RequestID: "1", Worker: "a", Outcome: TimedOut}
	for _, test := range []struct {
		name, class string
		entries     []Entry
		events      []Event
		deny, err   int
	}{
		{"pending to the deadline", "safe", nil, nil, 1, 0},
		{"unsafe, pending to the deadline", "unsafe", nil, nil, 1, 0},
		{"safe, timed out at the deadline", "safe", []Entry{smallWorker("a", 0, 20)}, []Event{toDeadline}, 1, 0},
		{"unsafe, timed out", "unsafe", []Entry{smallWorker("a", 0, 20)}, []Event{toDeadline}, 0, 1},
		{"keyed by cell, timed out", "cell", []Entry{smallWorker("a", 0, 20)}, []Event{toDeadline}, 0, 1},
		{"keyed by all, timed out", "all", []Entry{smallWorker("a", 0, 20)}, []Event{toDeadline}, 1, 0},
		{"closed by its outcome", "safe", []Entry{smallWorker("a", 0, 20)},
			[]Event{AttemptEnded{RequestID: "1", Worker: "a", Outcome: Cancelled, Final: true}}, 0, 0},
		{"gone", "safe", nil, []Event{ClientCancelled{"1"}}, 0, 0},
		{"placed", "safe", []Entry{smallWorker("a", 0, 20)}, []Event{Accepted{RequestID: "1", Worker: "a"}}, 0, 0},
		{"unknown class", "nothing", []Entry{smallWorker("a", 0, 20)}, nil, 1, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, testSettings(), 1, test.entries...)
			actions := f.at(ms, f.request("1", test.class, 1, 2))
			if len(test.events) > 0 {
				actions = append(actions, f.at(4998*ms, test.events...)...)
			}
			for range 60 {
				actions = append(actions, f.at(100*ms, TimerFired{"wake"})...)
			}
			if rejected, failed := len(ofType[Reject](actions)), len(ofType[Fail](actions)); rejected != test.deny || failed != test.err {
				t.Errorf("%d rejections and %d failures, want %d and %d: %v", rejected, failed, test.deny, test.err, actions)
			}
			if _, pending := f.scheduler.requests.tasks["1"]; pending && test.name != "placed" {
				t.Error("the task is not forgotten")
			}
		})
	}
}

func TestPendingTaskGetsResponseBeforeDeadline(t *testing.T) {
	f := newFixture(t, testSettings(), 1)
	request := f.request("1", "safe", 1, 2)
	actions := f.at(0, request)
	for f.now < request.DeadlineUs {
		timers := ofType[SetTimer](actions)
		if len(timers) == 0 {
			t.Fatal("no timer for a pending task")
		}
		actions = f.at(timers[len(timers)-1].OffsetUs, TimerFired{"wake"})
		if len(ofType[Reject](actions)) == 1 {
			return
		}
	}
	t.Error("the deadline passed without an answer")
}

func TestRepeatedEffects(t *testing.T) {
	ended := func(outcome Outcome) AttemptEnded { return AttemptEnded{RequestID: "1", Worker: "a", Outcome: outcome} }
	for _, test := range []struct {
		class string
		after int64
		done  AttemptEnded
		again string // where it may go next; "" for nowhere
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
			// a is emptiest, c next, and b shares a's cell and zone.
			f := newFixture(t, testSettings(), 3, smallWorker("a", 0, 30), smallWorker("b", 0, 4), smallWorker("c", 1, 20))
			f.wantPlaced(f.at(ms, f.request("1", test.class, 1, 2)), "a")
			got := ofType[Place](f.at(test.after, test.done))
			switch {
			case test.again == "" && len(got) > 0:
				t.Errorf("sent again to %s", got[0].Worker)
			case test.again != "" && len(got) != 1:
				t.Errorf("sent %d times, want once", len(got))
			case test.again == "b" && got[0].Worker == "c":
				t.Error("sent again outside its group")
			}
		})
	}
}

func TestOneAttemptAtATime(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30), smallWorker("b", 0, 30))
	attempts := len(ofType[Place](f.at(ms, f.request("1", "safe", 1, 2))))
	for range 30 {
		attempts += len(ofType[Place](f.at(100*ms, TimerFired{"wake"})))
	}
	if attempts != 1 {
		t.Errorf("%d attempts out, want 1", attempts)
	}
}

func TestDrainingWorkersGetNothing(t *testing.T) {
	draining := smallWorker("a", 0, 30)
	draining.State = Draining
	removed := draining
	removed.State = Removed
	for name, list := range map[string]WorkerList{
		"draining": {Kind: ListDelta, Entries: []Entry{draining}},
		"gone":     {Kind: ListDelta, Entries: []Entry{removed}},
		"absent":   {Kind: ListFull, Entries: []Entry{smallWorker("b", 0, 1)}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30), smallWorker("b", 0, 1))
			f.at(ms, list)
			f.wantPlaced(f.at(ms, f.request("1", "safe", 1, 2)), "b")
		})
	}
}

func TestUnlistedDrainIsAssumed(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30), smallWorker("b", 0, 4))
	f.wantPlaced(f.at(ms, f.request("1", "safe", 1, 2)), "a")
	f.wantPlaced(f.at(10*ms, AttemptEnded{RequestID: "1", Worker: "a", Outcome: Rejected, Cause: CauseWrongWorker}), "b")
	f.wantPlaced(f.at(10*ms, f.request("2", "safe", 1, 2)), "b")
	f.at(assumedDrain, WorkerList{Kind: ListDelta})
	f.wantPlaced(f.at(0, Request{Task{RequestID: "3", Class: "safe", Cores: 1, Memory: 2, DeadlineUs: f.now + second, Program: 8}}), "a")
}

func TestSlowStartBudget(t *testing.T) {
	warming := func(f *fixture) Entry {
		entry := smallWorker("a", 0, 32)
		entry.StartedAtUs = f.now - 10*ms
		return entry
	}
	count := func(f *fixture, from int) (count int) {
		for i := range 20 {
			requestID := fmt.Sprint(from, "-", i)
			actions := f.at(10*ms, f.request(requestID, "safe", .1, .1))
			count += len(ofType[Place](actions))
			f.at(0, Accepted{RequestID: requestID, Worker: "a", RTTUs: 1000})
		}
		return count
	}
	settings := testSettings() // 8 offers for 2 schedulers
	f := newFixture(t, settings, 1, smallWorker("a", 0, 32))
	f.at(2*second, WorkerList{Kind: ListDelta, Entries: []Entry{warming(f)}})
	if count := count(f, 1); count != 4 {
		t.Errorf("%d offers to a worker that warms up, want 4", count)
	}
	// After this scheduler's own start its part counts as spent for one window.
	restarted := &fixture{t: t, now: 1_000_000_000}
	restarted.scheduler, _ = New(settings, 1)
	restarted.at(0, WorkerList{Kind: ListCached, Entries: []Entry{warming(restarted)}})
	if count := count(restarted, 1); count != 0 {
		t.Errorf("%d offers within the first window after a restart, want 0", count)
	}
	settings.SlowStartOffers = 0
	withoutBudget := newFixture(t, settings, 1)
	withoutBudget.at(2*second, WorkerList{Kind: ListDelta, Entries: []Entry{warming(withoutBudget)}})
	if count := count(withoutBudget, 1); count != 0 {
		t.Errorf("%d offers with a budget of nothing, want 0", count)
	}
}

func TestSpread(t *testing.T) {
	for _, test := range []struct {
		class string
		want  int // of 6 tasks on cells 0, 0 and 1
	}{{"apartMachine", 3}, {"apartCell", 4}, {"apartZone", 2}} {
		f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30), smallWorker("b", 0, 30), smallWorker("c", 1, 30))
		count := 0
		for i := range 6 {
			count += len(ofType[Place](f.at(ms, f.request(fmt.Sprint(i), test.class, 1, 1))))
		}
		if count != test.want {
			t.Errorf("%s: %d sent, want %d", test.class, count, test.want)
		}
		f = newFixture(t, testSettings(), 1, smallWorker("a", 0, 30), smallWorker("b", 0, 30), smallWorker("c", 1, 30))
		var all []Event
		for i := range 6 {
			all = append(all, f.request(fmt.Sprint(i), test.class, 1, 1))
		}
		if count := len(ofType[Place](f.at(ms, all...))); count != test.want {
			t.Errorf("%s: %d of one call sent, want %d", test.class, count, test.want)
		}
	}
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30))
	f.at(ms, Adopted{Task: f.request("e", "apartMachine", 1, 1).Task, Worker: "a"})
	f.wantPlaced(f.at(ms, f.request("1", "apartMachine", 1, 1)), "")
	f.wantPlaced(f.at(ms, AttemptEnded{RequestID: "e", Worker: "a", Outcome: Completed, Final: true}), "a")
	f.at(ms, AttemptEnded{RequestID: "1", Worker: "a", Outcome: Completed, Final: true})
	f.wantPlaced(f.at(ms, Adopted{Task: f.request("f", "apartMachine", 1, 1).Task, Worker: "a"}, f.request("2", "apartMachine", 1, 1)), "")
	// What is known of one program is not taken for another, nor for what holds later.
	f = newFixture(t, testSettings(), 1, smallWorker("a", 0, 10))
	f.at(ms, Adopted{Task: f.request("e", "apartMachine", 1, 1).Task, Worker: "a"})
	other := f.request("1", "apartMachine", 40, 40)
	other.Program = 8
	f.wantPlaced(f.at(ms, other, f.request("2", "apartMachine", 1, 1)), "")
	f = newFixture(t, testSettings(), 1, smallWorker("a", 0, -16))
	f.wantPlaced(f.at(ms, f.request("1", "apartMachine", 1, 1)), "")
	full := WorkerList{Kind: ListDelta, Entries: []Entry{smallWorker("a", 0, -16)}}
	f.wantPlaced(f.at(ms, full), "")
	free := WorkerList{Kind: ListDelta, Entries: []Entry{smallWorker("a", 0, 30)}}
	f.wantPlaced(f.at(ms, Adopted{Task: f.request("e", "apartMachine", 1, 1).Task, Worker: "a"}, free), "")
}

func TestPendingTaskGoesWhenCapacityAppears(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, -16))
	f.wantPlaced(f.at(ms, f.request("1", "safe", 1, 2)), "")
	f.wantPlaced(f.at(ms, WorkerList{Kind: ListDelta, Entries: []Entry{smallWorker("a", 0, 10)}}), "a")
}

func TestLargeTaskGoesOverEffectiveCapacity(t *testing.T) {
	f := newFixture(t, testSettings(), 1, Entry{Worker: "a", Kind: "large", FreeCores: 4, FreeMemory: 60})
	// Tasks use all that they request, so the effective capacity is 0.8 of the cores.
	f.at(0, Adopted{Task: f.request("e", "safe", 1, 1).Task, Worker: "a"})
	f.at(0, TaskReport{RequestID: "e", Worker: "a", Kind: ReportCores, Value: 1})
	f.wantPlaced(f.at(ms, f.request("s", "safe", 1, 2)), "")
	f.wantPlaced(f.at(ms, f.request("1", "large", 20, 20)), "")
	if got := ofType[Place](f.at(1100*ms, TimerFired{"wake"})); len(got) != 1 || got[0].RequestID != "1" {
		t.Errorf("placed %v, want the large task alone", got)
	}
}

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
		name := ofType[Place](actions)[0].Worker
		tried[name] = true
		actions = f.at(ms, AttemptEnded{RequestID: "1", Attempt: i, Worker: name, Outcome: Failed})
	}
	if len(ofType[Place](actions)) != 0 || len(ofType[Reject](actions)) != 1 || len(tried) != 2 {
		t.Fatalf("after errors of %v: %v", tried, actions)
	}
	for _, name := range f.scheduler.fleet.sorted {
		if !f.scheduler.health.healthy(name, 0) || name.suspicion(f.now, 0) > 0.01 {
			t.Errorf("%s: suspicion %v", name.Worker, name.suspicion(f.now, 0))
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

func TestSuspicionAloneNeverEjectsFleet(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30), smallWorker("b", 0, 30))
	for _, name := range []string{"a", "b"} {
		f.scheduler.fleet.workers[name].addSuspicion(f.now, maxSuspicion)
	}
	if got := ofType[Place](f.at(ms, f.request("1", "safe", 1, 2))); len(got) != 1 {
		t.Errorf("%d placed while all look bad, want 1", len(got))
	}
}

func TestPoorServiceLowersEffectiveCapacity(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 20), smallWorker("b", 0, 19))
	f.at(ms, Adopted{Task: f.request("e", "safe", 1, 1).Task, Worker: "a"})
	f.at(ms, TaskReport{RequestID: "e", Worker: "a", Kind: ReportService, Value: 0.96})
	if f.scheduler.fleet.workers["a"].calibration[resourceCores] != 1 {
		t.Error("calibrated by ordinary noise")
	}
	f.at(ms, TaskReport{RequestID: "e", Worker: "a", Kind: ReportService, Value: 0.4})
	request := f.request("1", "safe", 1, 2)
	request.Program = 9
	f.wantPlaced(f.at(ms, request), "b")
	f.scheduler.fleet.workers["a"].decayCalibration(f.now + 10*calibrationHalflife)
	if f.scheduler.fleet.workers["a"].calibration[resourceCores] < 0.99 {
		t.Error("not forgotten when the symptom ends")
	}
}

func TestMigrationOffWorkerWithoutService(t *testing.T) {
	migrations := func(service float64, elsewhere float64) (count int) {
		f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 4), smallWorker("b", 0, elsewhere))
		var reports []Event
		for i := range 20 {
			event := Adopted{Task: f.request(fmt.Sprint(i), "safe", 1, 1).Task, Worker: "a"}
			event.HasRunHint, event.ExpectedRunUs = true, 20*second
			reports = append(reports, event)
		}
		f.at(ms, reports...)
		for range 10 {
			count += len(ofType[Migrate](f.at(second, TaskReport{RequestID: "1", Worker: "a", Kind: ReportService, Value: service})))
		}
		return count
	}
	if count := migrations(0, 30); count < 3 {
		t.Errorf("%d migrations off a worker without service, want some", count)
	}
	if count := migrations(0.9, 30); count != 0 {
		t.Errorf("%d migrations at 0.9 of service, want none", count)
	}
	if count := migrations(0.5, -20); count != 0 {
		t.Errorf("%d migrations with no free capacity elsewhere, want none", count)
	}
	if count := migrations(0, -20); count < 3 {
		t.Errorf("%d migrations off a worker without service, no free capacity elsewhere: want some", count)
	}
}

// TestSchedulersDoNotHerd has many schedulers with the same late view select workers.
func TestSchedulersDoNotHerd(t *testing.T) {
	first := map[string]int{}
	for i := range 40 {
		var entries []Entry
		for name := range 8 {
			entries = append(entries, smallWorker(fmt.Sprint("m", name), name/4, 20))
		}
		f := newFixture(t, testSettings(), uint64(i), entries...)
		request := f.request("1", "safe", 1, 2)
		request.Program = uint64(i/5*977 + 1) // eight programs, each at five schedulers
		first[ofType[Place](f.at(ms, request))[0].Worker]++
		request.RequestID, request.Program = "2", 0
		first[ofType[Place](f.at(ms, request))[0].Worker]++
	}
	for name, count := range first {
		if count > 28 {
			t.Errorf("%d of 80 first choices on %s", count, name)
		}
	}
}

func TestDiscoveryIsPolled(t *testing.T) {
	settings := testSettings()
	settings.PollsDiscovery = true
	f := newFixture(t, settings, 1, smallWorker("a", 0, 20))
	polls, last := 0, f.now
	for range 600 {
		actions := f.at(50*ms, TimerFired{"wake"})
		if len(ofType[WatchWorkers](actions)) == 0 {
			continue
		}
		polls++
		if f.now-last > settings.PollWithinUs {
			t.Fatalf("polled after %d us, want within %d", f.now-last, settings.PollWithinUs)
		}
		last = f.now
		f.at(0, WorkerList{Kind: ListFailed})
	}
	if polls < 5 || polls > 30 {
		t.Errorf("polled %d times in 30 s of failures", polls)
	}
	f.at(ms, WorkerList{Kind: ListFull, Entries: []Entry{smallWorker("a", 0, 20)}})
	for range 100 {
		if len(ofType[WatchWorkers](f.at(50*ms, TimerFired{"wake"}))) > 0 {
			t.Fatal("polled again while subscribed")
		}
	}
}

func TestSettingsNeverSeen(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"one scheduler":           func(settings *Settings) { settings.FleetSize = 1 },
		"no view":                 func(settings *Settings) { settings.HasView = false },
		"one attempt":             func(settings *Settings) { settings.MaxAttempts = 1 },
		"no slow-start budget":    func(settings *Settings) { settings.SlowStartOffers = 0 },
		"no tick":                 func(settings *Settings) { settings.TickUs = 0 },
		"acks running":            func(settings *Settings) { settings.AcceptMeansRunning = true },
		"asked list":              func(settings *Settings) { settings.PollsDiscovery, settings.PollWithinUs = true, 0 },
		"no spread free capacity": func(settings *Settings) { settings.Classes[5].MaxPerDomain = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			change(&settings)
			f := newFixture(t, settings, 1, smallWorker("a", 0, 20))
			responses := 0
			for i, class := range settings.Classes {
				request := f.request(fmt.Sprint(i), class.Name, 1, 1)
				request.DeadlineUs = f.now + 1*ms // very short
				actions := f.at(0, request)
				actions = append(actions, f.at(1*ms, TimerFired{"wake"})...)
				responses += len(ofType[Reject](actions)) + len(ofType[Fail](actions))
				for _, place := range ofType[Place](actions) {
					actions = f.at(0, AttemptEnded{RequestID: place.RequestID, Worker: place.Worker, Outcome: TimedOut})
					responses += len(ofType[Reject](actions)) + len(ofType[Fail](actions))
				}
			}
			if responses != len(settings.Classes) {
				t.Errorf("%d responses for %d requests", responses, len(settings.Classes))
			}
		})
	}
}

func TestNewNamesInvalidSetting(t *testing.T) {
	for want, change := range map[string]func(*Settings){
		"FleetSize":     func(settings *Settings) { settings.FleetSize = 0 },
		"Classes":       func(settings *Settings) { settings.Classes = nil },
		"Effect":        func(settings *Settings) { settings.Classes[0].Effect = 0 },
		"Group":         func(settings *Settings) { settings.Classes[1].Group = ScopeNone },
		"time is neg":   func(settings *Settings) { settings.WarmUpUs = -1 },
		"CoresMultiple": func(settings *Settings) { settings.CoresOvercommit = 0 },
	} {
		settings := testSettings()
		change(&settings)
		if _, err := New(settings, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want one that names %s", err, want)
		}
	}
}

func TestUnknownAndRepeatedEventsAreIgnored(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 20))
	done := AttemptEnded{RequestID: "1", Worker: "a", Outcome: Completed, Final: true}
	f.at(ms, Accepted{RequestID: "x"}, done, TaskReport{RequestID: "x"}, ClientCancelled{"x"}, TimerFired{"?"}, ProbeResult{Worker: "x"})
	f.at(ms, f.request("1", "safe", 1, 1))
	f.at(ms, Accepted{RequestID: "1", Attempt: 9}, Accepted{RequestID: "1", Worker: "a"}, Accepted{RequestID: "1", Worker: "a"})
	f.at(ms, done, done, done, TaskReport{RequestID: "1"})
	if len(f.scheduler.requests.tasks) != 0 || f.scheduler.fleet.workers["a"].active != 0 {
		t.Errorf("%d tasks, %d active attempts left", len(f.scheduler.requests.tasks), f.scheduler.fleet.workers["a"].active)
	}
}

func TestMemoryIsReleased(t *testing.T) {
	f := newFixture(t, testSettings(), 1)
	for i := range 300 {
		name := fmt.Sprint("m", i)
		f.at(100*ms, WorkerList{Kind: ListFull, Entries: []Entry{smallWorker(name, 0, 20)}})
		for j := range 10 {
			requestID := fmt.Sprint(i, "-", j)
			request := f.request(requestID, "safe", 1, 1)
			request.Program = uint64(i*10 + j)
			f.at(ms, request)
			f.at(ms, Accepted{RequestID: requestID, Worker: name, RTTUs: 1000})
			f.at(ms, AttemptEnded{RequestID: requestID, Worker: name, Outcome: Completed, Final: true})
		}
	}
	if len(f.scheduler.requests.tasks) > 0 || len(f.scheduler.fleet.workers) > 2 || len(f.scheduler.queue.pending) > 0 {
		t.Errorf("%d tasks, %d workers, %d pending left", len(f.scheduler.requests.tasks), len(f.scheduler.fleet.workers), len(f.scheduler.queue.pending))
	}
	for _, worker := range f.scheduler.fleet.workers {
		if len(worker.residentPrograms) > maxIdlePrograms+1 || len(worker.running) > 0 {
			t.Errorf("%d resident programs, %d running left", len(worker.residentPrograms), len(worker.running))
		}
	}
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() (all []Action) {
		b := newFixture(t, testSettings(), 42, smallWorker("a", 0, 20), smallWorker("b", 0, 20), smallWorker("c", 1, 20), smallWorker("d", 1, 20))
		for i := range 300 {
			requestID := fmt.Sprint(i)
			request := b.request(requestID, "safe", 1, 1)
			request.Program = uint64(i % 17)
			actions := b.at(7*ms, request)
			all = append(all, actions...)
			for _, place := range ofType[Place](actions) {
				all = append(all, b.at(ms, Accepted{RequestID: place.RequestID, Worker: place.Worker, RTTUs: 900},
					TaskReport{RequestID: place.RequestID, Worker: place.Worker, Kind: ReportService, Value: 0.1})...)
			}
		}
		return all
	}
	if first, b := run(), run(); !reflect.DeepEqual(first, b) {
		t.Error("the same events gave other actions")
	}
}

func TestTasksStillInTimeGoFirst(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, -16))
	late := f.request("late", "safe", 1, 2)
	late.HasRunHint, late.ExpectedRunUs = true, 10*second
	f.at(0, late)
	inTime := late
	inTime.RequestID = "fresh"
	f.at(1500*ms, inTime)
	again := late
	again.RequestID, again.Retry = "again", true
	f.at(ms, again)
	got := ofType[Place](f.at(ms, WorkerList{Kind: ListDelta, Entries: []Entry{smallWorker("a", 0, 10)}}))
	if len(got) < 1 || got[0].RequestID != "fresh" {
		t.Errorf("placed %v, want the task that can still start in time first", got)
	}
}

func TestSchedulersMeetForProgram(t *testing.T) {
	first := map[string]int{}
	for i := range 20 {
		f := newFixture(t, testSettings(), uint64(i), smallWorker("a", 0, 20), smallWorker("b", 0, 20), smallWorker("c", 1, 20), smallWorker("d", 1, -10))
		first[ofType[Place](f.at(ms, f.request("1", "safe", 1, 2)))[0].Worker]++
	}
	maxCount := 0
	for _, count := range first {
		maxCount = max(maxCount, count)
	}
	if maxCount < 11 || first["d"] > 0 {
		t.Errorf("first choices %v, want most on one worker and none on the full one", first)
	}
}

func TestJammedWorkerIsLeftAlone(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30), smallWorker("b", 0, 4))
	f.wantPlaced(f.at(ms, f.request("1", "safe", 1, 2)), "a")
	f.wantPlaced(f.at(5*ms, AttemptEnded{RequestID: "1", Worker: "a", Outcome: Rejected, Cause: CauseQueue}), "b")
	if w := f.scheduler.fleet.workers["a"].attemptWindow; w >= initialWindow {
		t.Errorf("window %v after 'too many wait', want it halved", w)
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

func TestStartsOnWarmingWorkerCostMore(t *testing.T) {
	settings := testSettings()
	settings.ColdStartRate = 0.2
	f := newFixture(t, settings, 1, smallWorker("a", 0, 30))
	worker := f.scheduler.fleet.workers["a"]
	if got := f.scheduler.slowStart.startRate(worker); got != 1 {
		t.Errorf("rate %v of a warm worker, want 1", got)
	}
	worker.StartedAtUs = f.now
	if got := f.scheduler.slowStart.startRate(worker); got != 0.2 {
		t.Errorf("rate %v at the start, want 0.2", got)
	}
	f.at(settings.WarmUpUs / 2)
	if got := f.scheduler.slowStart.startRate(worker); math.Abs(got-0.6) > 1e-9 {
		t.Errorf("rate %v half way, want 0.6", got)
	}
}

// TestGapsAreReservedForHigherPriority has the worker that is closest to fitting a pending task of far
// higher priority reserved: smaller tasks of low priority go elsewhere, and come back after it.
func TestGapsAreReservedForHigherPriority(t *testing.T) {
	settings := testSettings()
	settings.Classes[8].Kind = -1 // weight 3
	tight := func(name string, free float64) Entry { return smallWorker(name, 0, free-16) }
	f := newFixture(t, settings, 1, tight("a", 1.5), tight("b", 0.75), tight("c", 0.75))
	if got := ofType[Place](f.at(ms, f.request("better", "large", 2, 2))); len(got) != 0 {
		t.Fatalf("there was free capacity: %v", got)
	}
	for i := range 2 {
		for _, a := range ofType[Place](f.at(ms, f.request(fmt.Sprint(i), "safe", 0.5, 0.5))) {
			if a.Worker == "a" {
				t.Errorf("task %d took the gap", i)
			}
		}
	}
	f.wantPlaced(f.at(ms, WorkerList{Kind: ListDelta, Entries: []Entry{tight("a", 8)}}), "a")
}

func TestFullHealthyWorkersAreWaitedFor(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30), smallWorker("b", 0, -16), smallWorker("c", 0, -16))
	f.scheduler.fleet.workers["a"].addSuspicion(f.now, maxSuspicion)
	f.wantPlaced(f.at(ms, f.request("1", "unsafe", 1, 2)), "")
	f.wantPlaced(f.at(ms, f.request("2", "safe", 1, 2)), "a")
	if got := ofType[Place](f.at(ms, WorkerList{Kind: ListDelta, Entries: []Entry{smallWorker("c", 0, 10)}})); len(got) != 1 || got[0].Worker != "c" {
		t.Errorf("placed %v, want the unsafe task on c", got)
	}
}

// TestAttemptsOfCancelledRequestsCountForSpread cancels a request before its attempt has ended, as in
// incident ib4b606.
func TestAttemptsOfCancelledRequestsCountForSpread(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30))
	f.wantPlaced(f.at(ms, f.request("1", "apartMachine", 1, 1)), "a")
	f.at(ms, ClientCancelled{"1"})
	f.wantPlaced(f.at(ms, f.request("2", "apartMachine", 1, 1)), "")
	f.wantPlaced(f.at(ms, AttemptEnded{RequestID: "1", Worker: "a", Outcome: TimedOut, Final: true}), "a")
	if len(f.scheduler.requests.tasks) != 1 {
		t.Errorf("%d tasks remembered, want 1", len(f.scheduler.requests.tasks))
	}
}

func TestTasksOfRestartedWorkerCountForSpread(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30))
	f.at(2*second, Adopted{Task: f.request("e", "apartMachine", 1, 1).Task, Worker: "a"})
	entry := smallWorker("a", 0, 30)
	entry.StartedAtUs = f.now
	f.at(ms, WorkerList{Kind: ListDelta, Entries: []Entry{entry}})
	f.wantPlaced(f.at(ms, f.request("1", "apartMachine", 1, 1)), "")
	f.wantPlaced(f.at(ms, AttemptEnded{RequestID: "e", Worker: "a", Outcome: Reset, Final: true}), "a")
}

func TestSuspectWorkersGetFewAttempts(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30), smallWorker("b", 0, 30))
	for _, name := range []string{"a", "b"} {
		f.scheduler.fleet.workers[name].addSuspicion(f.now, maxSuspicion)
		f.scheduler.fleet.workers[name].attemptWindow = maxWindow
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

func TestTaskThatFitsNoKindIsRejectedAtOnce(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30))
	late := f.request("late", "safe", 1, 1)
	late.DeadlineUs = f.now - 1
	actions := f.at(ms, f.request("1", "safe", 97, 1), f.request("2", "large", 1, 193), late)
	if len(ofType[Reject](actions)) != 3 || len(f.scheduler.requests.tasks) != 0 {
		t.Errorf("actions %v, want three rejections", actions)
	}
}

func TestTenantBeyondQuotaWaits(t *testing.T) {
	settings := testSettings()
	settings.Tenants, settings.OverQuotaWeight = []Tenant{{"big", 10}, {"little", 30}}, 0.1
	f := newFixture(t, settings, 1, smallWorker("a", 0, -16))
	running := f.request("e", "safe", 10, 1)
	running.Tenant = "big"
	f.at(0, Adopted{Task: running.Task, Worker: "a"})
	over, within := f.request("over", "safe", 1, 2), f.request("within", "safe", 1, 2)
	over.Tenant, within.Tenant = "big", "little"
	f.at(ms, over)
	f.at(ms, within)
	got := ofType[Place](f.at(ms, WorkerList{Kind: ListDelta, Entries: []Entry{smallWorker("a", 0, -14)}}))
	if len(got) == 0 || got[0].RequestID != "within" {
		t.Errorf("placed %v, want the tenant within its quota first", got)
	}
}

func TestWithoutViewTasksSpreadAndMemoryIsBounded(t *testing.T) {
	settings := testSettings()
	settings.HasView = false
	f := newFixture(t, settings, 1, smallWorker("a", 0, 0), smallWorker("b", 0, 0), smallWorker("c", 1, 0))
	seen := map[string]int{}
	for i := range 3 * maxDeltas {
		request := f.request(fmt.Sprint(i), "safe", 1, 2)
		request.Program = 0
		for _, place := range ofType[Place](f.at(ms, request)) {
			seen[place.Worker]++
			f.at(0, Accepted{RequestID: place.RequestID, Worker: place.Worker, RTTUs: 900}, AttemptEnded{RequestID: place.RequestID, Worker: place.Worker, Outcome: Completed, Final: true})
		}
	}
	for _, worker := range f.scheduler.fleet.sorted {
		if seen[worker.Worker] < maxDeltas/2 || len(worker.deltas) > maxDeltas {
			t.Errorf("%s: %d tasks, %d changes remembered", worker.Worker, seen[worker.Worker], len(worker.deltas))
		}
	}
}

// TestManySchedulersShareSlowStartBudget has parts of the budget under one, which all schedulers once
// used at the same moment.
func TestManySchedulersShareSlowStartBudget(t *testing.T) {
	for _, test := range []struct {
		name          string
		placers       int
		fresh         float64
		stall, reborn bool
	}{
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
			settings.FleetSize, settings.SlowStartOffers, settings.WarmUpUs = test.placers, test.fresh, 8*second
			warming := smallWorker("a", 0, 32)
			warming.StartedAtUs = 1_000_000_000 + 3*second
			var sent []int64
			for i := range test.placers {
				settings.SelfIndex = i
				f := newFixture(t, settings, uint64(i), warming)
				f.at(3*second, WorkerList{Kind: ListDelta, Entries: []Entry{warming}})
				for j := range 70 {
					if test.stall && j%20 == 7 {
						f.now += 2 * second // then all at once
					}
					if test.reborn && j == 10+i%40 {
						now := f.now
						f = newFixture(t, settings, uint64(i), warming)
						f.now = now
						f.scheduler.startedAt = now
					}
					requestID := fmt.Sprint(j)
					for range len(ofType[Place](f.at(97*ms, f.request(requestID, "safe", .1, .1)))) {
						sent = append(sent, f.now)
					}
					f.at(0, Accepted{RequestID: requestID, Worker: "a", RTTUs: 1000})
				}
			}
			slices.Sort(sent)
			if len(sent) == 0 && test.fresh > 2 {
				t.Error("a worker that warms up got nothing at all")
			}
			for i, at := range sent {
				count, _ := slices.BinarySearch(sent, at+settings.SlowStartWindowUs)
				if count-i > int(test.fresh) && at < warming.StartedAtUs+settings.WarmUpUs-settings.SlowStartWindowUs {
					t.Fatalf("%d offers within a window, want %v at most", count-i, test.fresh)
				}
			}
		})
	}
}

func TestTimeoutIsDistinguishedFromLoss(t *testing.T) {
	for _, test := range []struct {
		name        string
		heard       string // the class of an answer since the attempt
		safe, large bool   // which classes are trusted then
	}{
		{"silent worker", "", false, false},
		{"silent for one class", "large", false, true},
		{"answers lost", "safe", true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			entry := Entry{Worker: "a", Kind: "large", FreeCores: 60, FreeMemory: 120}
			f := newFixture(t, testSettings(), 1, entry)
			worker := f.scheduler.fleet.workers["a"]
			f.wantPlaced(f.at(ms, f.request("1", "safe", 1, 2)), "a")
			if test.heard != "" {
				f.wantPlaced(f.at(ms, f.request("2", test.heard, 1, 2)), "a")
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

func TestProbeOfSelectedWorker(t *testing.T) {
	settings := testSettings()
	settings.Probes = true
	nan := math.NaN()
	for _, test := range []struct {
		name string
		load Load
		want string // where the task goes once a has answered
	}{
		{"as the view says", Load{30, 60, .1, 0}, "a"},
		{"full since the view", Load{-16, -32, .7, 0}, "b"},
		{"busy though little is asked of it", Load{30, 60, 1, 0}, "b"},
		{"a long line", Load{30, 60, .1, 40}, "b"},
		{"nothing reported", Load{nan, nan, nan, nan}, "a"},
		{"absurd", Load{1e9, -1e9, -5, 1e300}, "a"},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, settings, 1, smallWorker("a", 0, 30), smallWorker("b", 0, 16))
			request := f.request("1", "safe", 1, 2)
			request.Program = 0
			actions := f.at(ms, request)
			f.wantPlaced(actions, "")
			if got := ofType[Probe](actions); len(got) != 1 || got[0].Worker != "a" {
				t.Fatalf("probed %v, want a once", got)
			}
			actions = f.at(20*ms, ProbeResult{Worker: "a", Outcome: Completed, Load: test.load})
			for _, probe := range ofType[Probe](actions) {
				actions = f.at(20*ms, ProbeResult{Worker: probe.Worker, Outcome: Completed, Load: Load{16, 32, .5, 0}})
			}
			f.wantPlaced(actions, test.want)
		})
	}
}

func TestUnansweredProbeLeavesTaskForAnother(t *testing.T) {
	settings := testSettings()
	settings.Probes = true
	f := newFixture(t, settings, 1, smallWorker("a", 0, 30), smallWorker("b", 0, 4))
	request := f.request("1", "safe", 1, 2)
	request.Program = 0
	f.at(ms, request)
	actions := f.at(250*ms, ProbeResult{Worker: "a", Outcome: TimedOut})
	if got := ofType[Probe](actions); len(got) != 1 || got[0].Worker != "b" {
		t.Fatalf("probed %v, want b next", got)
	}
	f.wantPlaced(f.at(10*ms, ProbeResult{Worker: "b", Outcome: TimedOut}, TimerFired{"wake"}), "a") // the least suspect
	actions = f.at(10*suspicionHalflife, request)
	if count := len(ofType[Place](actions)); count != 0 {
		t.Errorf("a request with an attempt was placed %d times more", count)
	}
}

func TestReportedCalibrationDecays(t *testing.T) {
	settings := testSettings()
	settings.Probes = true
	f := newFixture(t, settings, 1, smallWorker("a", 0, 30))
	worker := f.scheduler.fleet.workers["a"]
	f.at(ms, ProbeResult{Worker: "a", Outcome: Completed, Load: Load{24, 48, 1, 0}})
	if worker.calibration[resourceCores] > 0.5 {
		t.Errorf("calibrated to %v by a worker busy with a sixth of its size, want under a half", worker.calibration[resourceCores])
	}
	worker.decayCalibration(f.now + 10*calibrationHalflife)
	if worker.calibration[resourceCores] < 0.99 {
		t.Error("not forgotten")
	}
}

// TestManySchedulersOnOneLateView bounds how many of 300 schedulers choose one worker
// of 100 while the view does not change.
func TestManySchedulersOnOneLateView(t *testing.T) {
	var entries []Entry
	for name := range 100 {
		entries = append(entries, smallWorker(fmt.Sprint("m", name), name/6, 12+float64(name%9)))
	}
	first := map[string]int{}
	settings := testSettings()
	settings.FleetSize = 300
	for i := range settings.FleetSize {
		settings.SelfIndex = i
		f := newFixture(t, settings, uint64(i), entries...)
		request := f.request("1", "safe", 1, 2)
		request.Program = uint64(i%150 + 1) // two tasks of each of 150 programs
		first[ofType[Place](f.at(ms, request))[0].Worker]++
	}
	for name, count := range first {
		if count > 18 {
			t.Errorf("%d of 300 first choices on %s, want 18 at most", count, name)
		}
	}
	if len(first) < 50 {
		t.Errorf("%d workers chosen, want half of them at least", len(first))
	}
}

func TestHardInput(t *testing.T) {
	settings := testSettings()
	settings.FleetSize, settings.SelfIndex, settings.SlowStartOffers = 300, 299, 1
	f := newFixture(t, settings, 1, Entry{Worker: "a", Kind: "small", FreeCores: 30, FreeMemory: 60})
	request := f.request("1", "apartCell", 1, 2)
	f.wantPlaced(f.at(ms, request), "a") // a list that names no cell
	// The clock jumps by two seconds, and outcomes come in any order.
	f.at(2*second, AttemptEnded{RequestID: "1", Worker: "a", Outcome: Completed, Final: true}, Accepted{RequestID: "1", Worker: "a"},
		TaskReport{RequestID: "1", Worker: "a", Kind: ReportRunning}, ClientCancelled{"1"})
	if len(f.scheduler.requests.tasks) != 0 || len(f.scheduler.fleet.workers["a"].unanswered) != 0 {
		t.Errorf("%d tasks, %d unanswered left", len(f.scheduler.requests.tasks), len(f.scheduler.fleet.workers["a"].unanswered))
	}
	var entries []Entry
	for m := range 200 { // a fleet that grows in one list, all of which warm up
		entry := smallWorker(fmt.Sprint("c", m), m/6, 30)
		entry.StartedAtUs = f.now
		entries = append(entries, entry)
	}
	f.at(ms, WorkerList{Kind: ListDelta, Entries: entries})
	f.wantPlaced(f.at(ms, f.request("2", "safe", 1, 2)), "a")
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

// overloadedFixture is a fixture with two workers, under backpressure.
func overloadedFixture(t *testing.T, free float64, pressure Backpressure) *fixture {
	settings := testSettings()
	settings.UnitCores, settings.UnitMemory = 1, 2
	f := newFixture(t, settings, 1, smallWorker("a", 0, free), smallWorker("b", 0, free))
	f.at(ms, pressure)
	return f
}

// TestRejectedOnceTooLate has a pending task rejected at once if capacity becomes free well after its
// deadline; one that may find a worker waits; and without a release rate all wait.
func TestRejectedOnceTooLate(t *testing.T) {
	for _, test := range []struct {
		pace float64
		want int
	}{{0, 0}, {1, 3}, {10, 0}} {
		f := overloadedFixture(t, -20, Backpressure{ReleaseRate: test.pace})
		rejected := 0
		for i := range 12 {
			rejected += len(ofType[Reject](f.at(ms, f.request(fmt.Sprint(i), "safe", 1, 2))))
		}
		// With 5 s left and twice that to be sure, nine units become free at one a second.
		if rejected != test.want {
			t.Errorf("at a rate of %v: %d rejected of 12, want %d", test.pace, rejected, test.want)
		}
	}
}

// TestQueuedSinceDecidesAmongEquals has the task go first, of equal priority, whose client waits longer.
func TestQueuedSinceDecidesAmongEquals(t *testing.T) {
	f := overloadedFixture(t, -20, Backpressure{})
	late, early := f.request("late", "safe", 30, 60), f.request("early", "safe", 30, 60)
	early.QueuedSinceUs = f.now - 3000*ms
	f.at(ms, late)
	f.at(ms, early)
	got := ofType[Place](f.at(ms, WorkerList{Kind: ListFull, Entries: []Entry{smallWorker("a", 0, 32)}}))
	if len(got) != 1 || got[0].RequestID != "early" {
		t.Errorf("placed %v", got)
	}
}

// TestUnitsAreReservedByClass has a class leave free capacity to those of more weight during an overload,
// as far as they are expected to need it, and no longer.
func TestUnitsAreReservedByClass(t *testing.T) {
	reserved := make([]float64, len(testSettings().Classes))
	reserved[0] = 100
	f := overloadedFixture(t, 30, Backpressure{Reserved: reserved})
	if got := ofType[Place](f.at(ms, f.request("web", "safe", 1, 2))); len(got) != 0 {
		t.Errorf("placed %v", got)
	}
	if got := ofType[Place](f.at(ms, f.request("other", "all", 1, 2))); len(got) != 1 {
		t.Errorf("another class: placed %v", got)
	}
	if got := ofType[Place](f.at(ms, Backpressure{})); len(got) != 1 || got[0].RequestID != "web" {
		t.Errorf("once nothing is reserved: placed %v", got)
	}
	reserved[0] = 1
	f = overloadedFixture(t, 30, Backpressure{Reserved: reserved})
	if got := ofType[Place](f.at(ms, f.request("web", "safe", 1, 2))); len(got) != 1 {
		t.Errorf("with free capacity for all: placed %v", got)
	}
}

// TestConcurrentPlacementsCount has other schedulers place as much as this one in an overload: it stops
// where, with them, a worker would be full.
func TestConcurrentPlacementsCount(t *testing.T) {
	for _, test := range []struct {
		p          Backpressure
		least, all int
	}{{Backpressure{}, 70, 100}, {Backpressure{ReleaseRate: 1000}, 35, 60}} {
		f := overloadedFixture(t, 32, test.p) // two workers that accept 48 cores each
		placed := 0
		for i := range 120 {
			requestID := fmt.Sprint(i)
			for _, place := range ofType[Place](f.at(ms, f.request(requestID, "safe", 1, 2))) {
				placed++
				f.at(ms, Accepted{RequestID: place.RequestID, Worker: place.Worker, RTTUs: 20 * ms})
			}
		}
		if placed < test.least || placed > test.all {
			t.Errorf("with %+v %d were placed, want %d to %d", test.p, placed, test.least, test.all)
		}
	}
}

// BenchmarkSpread is a call in which tasks of a class with a spread come to a large fleet, while others
// wait for free capacity.
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

func TestPoorServiceOnWorkerOfUnknownKind(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30))
	unlisted := Adopted{Task{RequestID: "1", Class: "safe", Cores: 1, Memory: 2, HasRunHint: true, ExpectedRunUs: 60 * second}, "z"}
	unknownKind := smallWorker("odd", 0, 30)
	unknownKind.Kind = "never heard of"
	f.at(ms, WorkerList{Kind: ListDelta, Entries: []Entry{unknownKind}}, unlisted,
		Adopted{Task{RequestID: "2", Class: "safe", Cores: 1, Memory: 2, HasRunHint: true, ExpectedRunUs: 60 * second}, "odd"})
	for _, name := range []string{"z", "odd"} {
		requestID := map[string]string{"z": "1", "odd": "2"}[name]
		if migrated := ofType[Migrate](f.at(second, TaskReport{RequestID: requestID, Worker: name, Kind: ReportService, Value: 0.1})); len(migrated) > 0 {
			t.Errorf("migrated %v off a worker of unknown size", migrated)
		}
	}
}
