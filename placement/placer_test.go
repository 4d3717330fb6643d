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

// bed drives one placer by events.
type bed struct {
	t   *testing.T
	p   *Scheduler
	now int64
}

func newBed(t *testing.T, s Settings, seed uint64, entries ...Entry) *bed {
	t.Helper()
	scheduler, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	f := &bed{t: t, p: scheduler, now: 1_000_000_000}
	f.at(0, WorkerList{Kind: ListCached, Entries: entries})
	return f
}

// sentAt moves the clock on and hands over events.
func (b *bed) at(after int64, events ...Event) []Action {
	b.now += after
	return b.p.Handle(b.now, events)
}

func (b *bed) request(requestID, class string, cores, memory float64) Request {
	return Request{Task{RequestID: requestID, Class: class, Cores: cores, Memory: memory, DeadlineUs: b.now + 5000*ms, Program: 7}}
}

func small(name string, cell int, spareCores float64) Entry {
	return Entry{Worker: name, Kind: "small", Cell: cell, Zone: fmt.Sprint("z", cell), FreeCores: spareCores, FreeMemory: 2 * spareCores}
}

// of returns the actions of one type.
func of[A Action](actions []Action) []A {
	var out []A
	for _, action := range actions {
		if matching, ok := action.(A); ok {
			out = append(out, matching)
		}
	}
	return out
}

func (b *bed) placed(actions []Action, want string) {
	b.t.Helper()
	got := ""
	for _, place := range of[Place](actions) {
		got = place.Worker
	}
	if got != want {
		b.t.Fatalf("placed on %q, want %q; actions %v", got, want, actions)
	}
}

func TestCostByHand(t *testing.T) {
	for _, c := range []struct{ u, x, l, rho, want float64 }{
		{0, 0.5, 1, 0.5, 0.25},      // 2 * 0.125
		{0.5, 0.1, 1, 0.5, 0.61},    // 0.5 + 2 * (0.05 + 0.005)
		{0.5, 0.2, 0.5, 0.75, 0.74}, // 0.5 + 2 * (0.1 + 0.02)
	} {
		if got := admissionCost(c.u, c.x, c.l, c.rho); math.Abs(got-c.want) > 1e-12 {
			t.Errorf("cost(%v, %v, %v, %v) = %v, want %v", c.u, c.x, c.l, c.rho, got, c.want)
		}
	}
}

func TestLowestCostWins(t *testing.T) {
	f := newBed(t, testSettings(), 1, small("a", 0, 8), small("b", 0, 30), small("c", 1, 16))
	f.placed(f.at(ms, f.request("1", "safe", 1, 2)), "b")
}

func TestNearEqualsAreDrawn(t *testing.T) {
	seen := map[string]int{}
	for seed := range uint64(60) {
		f := newBed(t, testSettings(), seed, small("a", 0, 20), small("b", 0, 20), small("c", 1, 20))
		request := f.request("1", "safe", 1, 2)
		request.Program = 0 // of no service
		seen[of[Place](f.at(ms, request))[0].Worker]++
	}
	for _, name := range []string{"a", "b", "c"} {
		if seen[name] < 8 {
			t.Errorf("%s drawn %d times of 60: %v", name, seen[name], seen)
		}
	}
}

func TestOwnBindsCountUntilTheViewHoldsThem(t *testing.T) {
	f := newBed(t, testSettings(), 1, small("a", 0, 20), small("b", 0, 18))
	f.placed(f.at(ms, f.request("1", "safe", 6, 6)), "a")
	worker := f.p.fleet.workers["a"]
	if c, _ := f.p.loads.requested(worker); c != 18 {
		t.Fatalf("load %v with the bind, want 18", c)
	}
	// A view that comes at once cannot hold the bind yet.
	f.at(100*ms, WorkerList{Kind: ListDelta, Entries: []Entry{small("a", 0, 20)}})
	if c, _ := f.p.loads.requested(worker); c != 18 {
		t.Fatalf("load %v after an early view, want 18", c)
	}
	f.at(5000*ms, WorkerList{Kind: ListDelta, Entries: []Entry{small("a", 0, 14)}})
	if c, _ := f.p.loads.requested(worker); c != 18 {
		t.Fatalf("load %v once the view holds it, want 18, not counted twice", c)
	}
}

func TestFullTakesTheBindOut(t *testing.T) {
	f := newBed(t, testSettings(), 1, small("a", 0, 20))
	f.placed(f.at(ms, f.request("1", "safe", 2, 4)), "a")
	f.at(20*ms, AttemptEnded{RequestID: "1", Worker: "a", Outcome: Rejected, Cause: CauseQueue})
	c, _ := f.p.loads.requested(f.p.fleet.workers["a"])
	if c != 12 && c != 14 { // 14 where it was tried again at once
		t.Errorf("load %v, want 12 and at most the new bind", c)
	}
}

func TestRefusedForMemoryLeavesCores(t *testing.T) {
	f := newBed(t, testSettings(), 1, small("a", 0, 20))
	f.at(ms, f.request("1", "safe", 2, 4))
	f.at(20*ms, AttemptEnded{RequestID: "1", Worker: "a", Outcome: Rejected, Cause: CauseMemory})
	c, memory := f.p.loads.requested(f.p.fleet.workers["a"])
	if c != 12 || memory+4 <= 64*1.5 {
		t.Errorf("load %v cores, %v memory: want 12 and no room for the task", c, memory)
	}
}

func TestLagIsLearned(t *testing.T) {
	f := newBed(t, testSettings(), 1, small("a", 0, 28))
	free := 28.0
	type change struct{ at, by int64 }
	var binds []change
	for i := range 60 {
		id := fmt.Sprint(i)
		if i%3 != 1 {
			f.at(0, f.request(id, "safe", 1, 1))
			f.at(0, Accepted{RequestID: id, Worker: "a", RTTUs: 1000})
			binds = append(binds, change{f.now, 1})
			if i%2 == 0 {
				f.at(150*ms, AttemptEnded{RequestID: id, Worker: "a", Outcome: Completed, Final: true})
				binds = append(binds, change{f.now, -1})
			}
		}
		f.at(700 * ms)
		for len(binds) > 0 && binds[0].at <= f.now-2500*ms {
			free -= float64(binds[0].by)
			binds = binds[1:]
		}
		f.at(0, WorkerList{Kind: ListDelta, Entries: []Entry{small("a", 0, free)}})
	}
	if f.p.loads.lag < 2000*ms || f.p.loads.lag > 3250*ms {
		t.Errorf("lag %v, want near 2.5 s", f.p.loads.lag)
	}
}

// TestOneFinalAnswer drives each way in which a request can end.
func TestOneFinalAnswer(t *testing.T) {
	toDeadline := AttemptEnded{RequestID: "1", Worker: "a", Outcome: TimedOut}
	for _, c := range []struct {
		name, class string
		entries     []Entry
		events      []Event
		deny, err   int
	}{
		{"held to the deadline", "safe", nil, nil, 1, 0},
		{"unsafe, held to the deadline", "unsafe", nil, nil, 1, 0},
		{"safe, timed out at the deadline", "safe", []Entry{small("a", 0, 20)}, []Event{toDeadline}, 1, 0},
		{"unsafe, timed out", "unsafe", []Entry{small("a", 0, 20)}, []Event{toDeadline}, 0, 1},
		{"keyed by cell, timed out", "cell", []Entry{small("a", 0, 20)}, []Event{toDeadline}, 0, 1},
		{"keyed by all, timed out", "all", []Entry{small("a", 0, 20)}, []Event{toDeadline}, 1, 0},
		{"closed by its outcome", "safe", []Entry{small("a", 0, 20)},
			[]Event{AttemptEnded{RequestID: "1", Worker: "a", Outcome: Cancelled, Final: true}}, 0, 0},
		{"gone", "safe", nil, []Event{ClientCancelled{"1"}}, 0, 0},
		{"placed", "safe", []Entry{small("a", 0, 20)}, []Event{Accepted{RequestID: "1", Worker: "a"}}, 0, 0},
		{"unknown class", "nothing", []Entry{small("a", 0, 20)}, nil, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newBed(t, testSettings(), 1, c.entries...)
			actions := f.at(ms, f.request("1", c.class, 1, 2))
			if len(c.events) > 0 {
				actions = append(actions, f.at(4998*ms, c.events...)...)
			}
			for range 60 {
				actions = append(actions, f.at(100*ms, TimerFired{"wake"})...)
			}
			if rejected, failed := len(of[Reject](actions)), len(of[Fail](actions)); rejected != c.deny || failed != c.err {
				t.Errorf("%d refusals and %d failures, want %d and %d: %v", rejected, failed, c.deny, c.err, actions)
			}
			if _, pending := f.p.requests.tasks["1"]; pending && c.name != "placed" {
				t.Error("the task is not let go")
			}
		})
	}
}

func TestHeldTaskIsAnsweredBeforeItsDeadline(t *testing.T) {
	f := newBed(t, testSettings(), 1)
	request := f.request("1", "safe", 1, 2)
	actions := f.at(0, request)
	for f.now < request.DeadlineUs {
		alarms := of[SetTimer](actions)
		if len(alarms) == 0 {
			t.Fatal("no alarm for a held task")
		}
		actions = f.at(alarms[len(alarms)-1].OffsetUs, TimerFired{"wake"})
		if len(of[Reject](actions)) == 1 {
			return
		}
	}
	t.Error("the deadline passed without an answer")
}

func TestRepeatedEffects(t *testing.T) {
	ended := func(outcome Outcome) AttemptEnded { return AttemptEnded{RequestID: "1", Worker: "a", Outcome: outcome} }
	for _, c := range []struct {
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
		t.Run(fmt.Sprintf("%s %d after %d", c.class, c.done.Outcome, c.after), func(t *testing.T) {
			// a is emptiest, c next, and b shares a's cell and zone.
			f := newBed(t, testSettings(), 3, small("a", 0, 30), small("b", 0, 4), small("c", 1, 20))
			f.placed(f.at(ms, f.request("1", c.class, 1, 2)), "a")
			got := of[Place](f.at(c.after, c.done))
			switch {
			case c.again == "" && len(got) > 0:
				t.Errorf("sent again to %s", got[0].Worker)
			case c.again != "" && len(got) != 1:
				t.Errorf("sent %d times, want once", len(got))
			case c.again == "b" && got[0].Worker == "c":
				t.Error("sent again outside its group")
			}
		})
	}
}

func TestOneAttemptAtATime(t *testing.T) {
	f := newBed(t, testSettings(), 1, small("a", 0, 30), small("b", 0, 30))
	n := len(of[Place](f.at(ms, f.request("1", "safe", 1, 2))))
	for range 30 {
		n += len(of[Place](f.at(100*ms, TimerFired{"wake"})))
	}
	if n != 1 {
		t.Errorf("%d attempts out, want 1", n)
	}
}

func TestDrainsAreKept(t *testing.T) {
	drain := small("a", 0, 30)
	drain.State = Draining
	gone := drain
	gone.State = Removed
	for name, l := range map[string]WorkerList{
		"draining": {Kind: ListDelta, Entries: []Entry{drain}},
		"gone":     {Kind: ListDelta, Entries: []Entry{gone}},
		"absent":   {Kind: ListFull, Entries: []Entry{small("b", 0, 1)}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newBed(t, testSettings(), 1, small("a", 0, 30), small("b", 0, 1))
			f.at(ms, l)
			f.placed(f.at(ms, f.request("1", "safe", 1, 2)), "b")
		})
	}
}

func TestUnlistedDrainShows(t *testing.T) {
	f := newBed(t, testSettings(), 1, small("a", 0, 30), small("b", 0, 4))
	f.placed(f.at(ms, f.request("1", "safe", 1, 2)), "a")
	f.placed(f.at(10*ms, AttemptEnded{RequestID: "1", Worker: "a", Outcome: Rejected, Cause: CauseWrongWorker}), "b")
	f.placed(f.at(10*ms, f.request("2", "safe", 1, 2)), "b")
	f.at(assumedDrain, WorkerList{Kind: ListDelta})
	f.placed(f.at(0, Request{Task{RequestID: "3", Class: "safe", Cores: 1, Memory: 2, DeadlineUs: f.now + second, Program: 8}}), "a")
}

func TestColdBudget(t *testing.T) {
	cold := func(f *bed) Entry {
		entry := small("a", 0, 32)
		entry.StartedAtUs = f.now - 10*ms
		return entry
	}
	count := func(f *bed, from int) (n int) {
		for i := range 20 {
			id := fmt.Sprint(from, "-", i)
			actions := f.at(10*ms, f.request(id, "safe", .1, .1))
			n += len(of[Place](actions))
			f.at(0, Accepted{RequestID: id, Worker: "a", RTTUs: 1000})
		}
		return n
	}
	s := testSettings() // 8 offers for 2 placers
	f := newBed(t, s, 1, small("a", 0, 32))
	f.at(2*second, WorkerList{Kind: ListDelta, Entries: []Entry{cold(f)}})
	if n := count(f, 1); n != 4 {
		t.Errorf("%d offers to a cold machine, want 4", n)
	}
	// After this placer's own start its part counts as spent for one span.
	b2 := &bed{t: t, now: 1_000_000_000}
	b2.p, _ = New(s, 1)
	b2.at(0, WorkerList{Kind: ListCached, Entries: []Entry{cold(b2)}})
	if n := count(b2, 1); n != 0 {
		t.Errorf("%d offers within the first span after a restart, want 0", n)
	}
	s.SlowStartOffers = 0
	b3 := newBed(t, s, 1)
	b3.at(2*second, WorkerList{Kind: ListDelta, Entries: []Entry{cold(b3)}})
	if n := count(b3, 1); n != 0 {
		t.Errorf("%d offers with a budget of nothing, want 0", n)
	}
}

func TestSpread(t *testing.T) {
	for _, c := range []struct {
		class string
		want  int // of 6 tasks on cells 0, 0 and 1
	}{{"apartMachine", 3}, {"apartCell", 4}, {"apartZone", 2}} {
		f := newBed(t, testSettings(), 1, small("a", 0, 30), small("b", 0, 30), small("c", 1, 30))
		n := 0
		for i := range 6 {
			n += len(of[Place](f.at(ms, f.request(fmt.Sprint(i), c.class, 1, 1))))
		}
		if n != c.want {
			t.Errorf("%s: %d sent, want %d", c.class, n, c.want)
		}
		f = newBed(t, testSettings(), 1, small("a", 0, 30), small("b", 0, 30), small("c", 1, 30))
		var all []Event
		for i := range 6 {
			all = append(all, f.request(fmt.Sprint(i), c.class, 1, 1))
		}
		if n := len(of[Place](f.at(ms, all...))); n != c.want {
			t.Errorf("%s: %d of a turn sent, want %d", c.class, n, c.want)
		}
	}
	f := newBed(t, testSettings(), 1, small("a", 0, 30))
	f.at(ms, Adopted{Task: f.request("e", "apartMachine", 1, 1).Task, Worker: "a"})
	f.placed(f.at(ms, f.request("1", "apartMachine", 1, 1)), "")
	f.placed(f.at(ms, AttemptEnded{RequestID: "e", Worker: "a", Outcome: Completed, Final: true}), "a")
	f.at(ms, AttemptEnded{RequestID: "1", Worker: "a", Outcome: Completed, Final: true})
	f.placed(f.at(ms, Adopted{Task: f.request("f", "apartMachine", 1, 1).Task, Worker: "a"}, f.request("2", "apartMachine", 1, 1)), "")
	// What is known of one program is not taken for another, nor for what holds later.
	f = newBed(t, testSettings(), 1, small("a", 0, 10))
	f.at(ms, Adopted{Task: f.request("e", "apartMachine", 1, 1).Task, Worker: "a"})
	other := f.request("1", "apartMachine", 40, 40)
	other.Program = 8
	f.placed(f.at(ms, other, f.request("2", "apartMachine", 1, 1)), "")
	f = newBed(t, testSettings(), 1, small("a", 0, -16))
	f.placed(f.at(ms, f.request("1", "apartMachine", 1, 1)), "")
	full := WorkerList{Kind: ListDelta, Entries: []Entry{small("a", 0, -16)}}
	f.placed(f.at(ms, full), "")
	free := WorkerList{Kind: ListDelta, Entries: []Entry{small("a", 0, 30)}}
	f.placed(f.at(ms, Adopted{Task: f.request("e", "apartMachine", 1, 1).Task, Worker: "a"}, free), "")
}

func TestHeldTaskGoesWhenRoomAppears(t *testing.T) {
	f := newBed(t, testSettings(), 1, small("a", 0, -16))
	f.placed(f.at(ms, f.request("1", "safe", 1, 2)), "")
	f.placed(f.at(ms, WorkerList{Kind: ListDelta, Entries: []Entry{small("a", 0, 10)}}), "a")
}

func TestLargeTaskGoesOverWhatAMachineBears(t *testing.T) {
	f := newBed(t, testSettings(), 1, Entry{Worker: "a", Kind: "large", FreeCores: 4, FreeMemory: 60})
	// Own tasks use all they ask, so the machine bears 0.8 of its cores.
	f.at(0, Adopted{Task: f.request("e", "safe", 1, 1).Task, Worker: "a"})
	f.at(0, TaskReport{RequestID: "e", Worker: "a", Kind: ReportCores, Value: 1})
	f.placed(f.at(ms, f.request("s", "safe", 1, 2)), "")
	f.placed(f.at(ms, f.request("1", "large", 20, 20)), "")
	if got := of[Place](f.at(1100*ms, TimerFired{"wake"})); len(got) != 1 || got[0].RequestID != "1" {
		t.Errorf("placed %v, want the large task alone", got)
	}
}

func TestNoAnswerPutsAMachineOut(t *testing.T) {
	f := newBed(t, testSettings(), 1, small("a", 0, 30), small("b", 0, 4))
	f.placed(f.at(ms, f.request("1", "safe", 1, 2)), "a")
	f.placed(f.at(500*ms, AttemptEnded{RequestID: "1", Worker: "a", Outcome: TimedOut}), "b")
	f.at(10*ms, Accepted{RequestID: "1", Attempt: 1, Worker: "b", RTTUs: 9000})
	f.placed(f.at(10*ms, Request{Task{RequestID: "2", Class: "safe", Cores: 1, Memory: 2, DeadlineUs: f.now + 5*second, Program: 8}}), "b")
	// The symptom ends: after a while it is tried, then trusted.
	f.placed(f.at(10*second, Request{Task{RequestID: "3", Class: "safe", Cores: 1, Memory: 2, DeadlineUs: f.now + 15*second, Program: 9}}), "a")
}

// Errors of two machines for one task speak against the task: it is asked of no
// third, and both machines get the next tasks as before. One machine's errors for
// different tasks still put it out.
func TestErrorsOfTwoMachinesSpeakAgainstTheTask(t *testing.T) {
	f := newBed(t, testSettings(), 1, small("a", 0, 30), small("b", 0, 30), small("c", 1, 30))
	actions := f.at(ms, f.request("1", "safe", 1, 2))
	asked := map[string]bool{}
	for i := range 2 {
		m := of[Place](actions)[0].Worker
		asked[m] = true
		actions = f.at(ms, AttemptEnded{RequestID: "1", Attempt: i, Worker: m, Outcome: Failed})
	}
	if len(of[Place](actions)) != 0 || len(of[Reject](actions)) != 1 || len(asked) != 2 {
		t.Fatalf("after errors of %v: %v", asked, actions)
	}
	for _, m := range f.p.fleet.sorted {
		if !f.p.health.healthy(m, 0) || m.suspicion(f.now, 0) > 0.01 {
			t.Errorf("%s: suspicion %v", m.Worker, m.suspicion(f.now, 0))
		}
	}
	f = newBed(t, testSettings(), 1, small("a", 0, 30))
	for i := range 2 {
		requestID := fmt.Sprint(i)
		f.at(ms, f.request(requestID, "unsafe", 1, 2))
		f.at(ms, AttemptEnded{RequestID: requestID, Worker: "a", Outcome: Failed})
	}
	if f.p.health.healthy(f.p.fleet.sorted[0], 0) {
		t.Error("a machine that fails every task is well")
	}
}

// A machine that is there after a connection fell silent is tried again, but not for
// ever where it takes connections and answers nothing.
func TestReachedMachineIsTriedAgain(t *testing.T) {
	f := newBed(t, testSettings(), 1, small("a", 0, 30), small("b", 0, 30))
	worker := f.p.fleet.workers["a"]
	worker.addSuspicion(f.now, 4*timeoutSuspicion)
	f.at(ms, WorkerReachable{Worker: "a"}, WorkerReachable{Worker: "unknown"})
	if suspicion := worker.suspicion(f.now, 0); !f.p.health.healthy(worker, 0) || f.p.health.healthy(worker, 4) || suspicion > reconnectedSuspicion {
		t.Errorf("suspicion %v after it was reached", suspicion)
	}
	worker.addSuspicion(f.now, timeoutSuspicion)
	f.at(ms, WorkerReachable{Worker: "a"})
	if f.p.health.healthy(worker, 0) {
		t.Error("it was taken back without an answer")
	}
	worker.recordSuccess(f.now, 0)
	f.at(ms, WorkerReachable{Worker: "a"})
	if !f.p.health.healthy(worker, 0) {
		t.Error("it was not taken back after an answer")
	}
}

func TestHealthAloneNeverTurnsTheFleetAway(t *testing.T) {
	f := newBed(t, testSettings(), 1, small("a", 0, 30), small("b", 0, 30))
	for _, m := range []string{"a", "b"} {
		f.p.fleet.workers[m].addSuspicion(f.now, maxSuspicion)
	}
	if got := of[Place](f.at(ms, f.request("1", "safe", 1, 2))); len(got) != 1 {
		t.Errorf("%d placed while all look bad, want 1", len(got))
	}
}

func TestPoorServiceTurnsLoadAway(t *testing.T) {
	f := newBed(t, testSettings(), 1, small("a", 0, 20), small("b", 0, 19))
	f.at(ms, Adopted{Task: f.request("e", "safe", 1, 1).Task, Worker: "a"})
	f.at(ms, TaskReport{RequestID: "e", Worker: "a", Kind: ReportService, Value: 0.96})
	if f.p.fleet.workers["a"].calibration[resourceCores] != 1 {
		t.Error("bent by ordinary noise")
	}
	f.at(ms, TaskReport{RequestID: "e", Worker: "a", Kind: ReportService, Value: 0.4})
	request := f.request("1", "safe", 1, 2)
	request.Program = 9
	f.placed(f.at(ms, request), "b")
	f.p.fleet.workers["a"].decayCalibration(f.now + 10*calibrationHalflife)
	if f.p.fleet.workers["a"].calibration[resourceCores] < 0.99 {
		t.Error("not let go when the symptom ends")
	}
}

func TestMovesOffAMachineThatServesNothing(t *testing.T) {
	migrations := func(service float64, elsewhere float64) (n int) {
		f := newBed(t, testSettings(), 1, small("a", 0, 4), small("b", 0, elsewhere))
		var reports []Event
		for i := range 20 {
			event := Adopted{Task: f.request(fmt.Sprint(i), "safe", 1, 1).Task, Worker: "a"}
			event.HasRunHint, event.ExpectedRunUs = true, 20*second
			reports = append(reports, event)
		}
		f.at(ms, reports...)
		for range 10 {
			n += len(of[Migrate](f.at(second, TaskReport{RequestID: "1", Worker: "a", Kind: ReportService, Value: service})))
		}
		return n
	}
	if n := migrations(0, 30); n < 3 {
		t.Errorf("%d moves off a machine that serves nothing, want some", n)
	}
	if n := migrations(0.9, 30); n != 0 {
		t.Errorf("%d moves at 0.9 of service, want none", n)
	}
	if n := migrations(0.5, -20); n != 0 {
		t.Errorf("%d moves with no room elsewhere, want none", n)
	}
	if n := migrations(0, -20); n < 3 {
		t.Errorf("%d moves off a machine that serves nothing, no room elsewhere: want some", n)
	}
}

// TestPlacersDoNotHerd lets many placers with the same late view choose.
func TestPlacersDoNotHerd(t *testing.T) {
	first := map[string]int{}
	for i := range 40 {
		var entries []Entry
		for m := range 8 {
			entries = append(entries, small(fmt.Sprint("m", m), m/4, 20))
		}
		f := newBed(t, testSettings(), uint64(i), entries...)
		request := f.request("1", "safe", 1, 2)
		request.Program = uint64(i/5*977 + 1) // eight services, each at five placers
		first[of[Place](f.at(ms, request))[0].Worker]++
		request.RequestID, request.Program = "2", 0
		first[of[Place](f.at(ms, request))[0].Worker]++
	}
	for m, n := range first {
		if n > 28 {
			t.Errorf("%d of 80 first choices on %s", n, m)
		}
	}
}

func TestDiscoveryIsAsked(t *testing.T) {
	s := testSettings()
	s.PollsDiscovery = true
	f := newBed(t, s, 1, small("a", 0, 20))
	n, last := 0, f.now
	for range 600 {
		actions := f.at(50*ms, TimerFired{"wake"})
		if len(of[WatchWorkers](actions)) == 0 {
			continue
		}
		n++
		if f.now-last > s.PollWithinUs {
			t.Fatalf("asked after %d us, want within %d", f.now-last, s.PollWithinUs)
		}
		last = f.now
		f.at(0, WorkerList{Kind: ListFailed})
	}
	if n < 5 || n > 30 {
		t.Errorf("asked %d times in 30 s of failures", n)
	}
	f.at(ms, WorkerList{Kind: ListFull, Entries: []Entry{small("a", 0, 20)}})
	for range 100 {
		if len(of[WatchWorkers](f.at(50*ms, TimerFired{"wake"}))) > 0 {
			t.Fatal("asked again while subscribed")
		}
	}
}

func TestSettingsNeverSeen(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"one placer":     func(s *Settings) { s.FleetSize = 1 },
		"no view":        func(s *Settings) { s.HasView = false },
		"one attempt":    func(s *Settings) { s.MaxAttempts = 1 },
		"no cold budget": func(s *Settings) { s.SlowStartOffers = 0 },
		"no tick":        func(s *Settings) { s.TickUs = 0 },
		"acks running":   func(s *Settings) { s.AcceptMeansRunning = true },
		"asked list":     func(s *Settings) { s.PollsDiscovery, s.PollWithinUs = true, 0 },
		"no spread room": func(s *Settings) { s.Classes[5].MaxPerDomain = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			s := testSettings()
			change(&s)
			f := newBed(t, s, 1, small("a", 0, 20))
			answers := 0
			for i, class := range s.Classes {
				request := f.request(fmt.Sprint(i), class.Name, 1, 1)
				request.DeadlineUs = f.now + 1*ms // very short
				actions := f.at(0, request)
				actions = append(actions, f.at(1*ms, TimerFired{"wake"})...)
				answers += len(of[Reject](actions)) + len(of[Fail](actions))
				for _, place := range of[Place](actions) {
					actions = f.at(0, AttemptEnded{RequestID: place.RequestID, Worker: place.Worker, Outcome: TimedOut})
					answers += len(of[Reject](actions)) + len(of[Fail](actions))
				}
			}
			if answers != len(s.Classes) {
				t.Errorf("%d answers for %d requests", answers, len(s.Classes))
			}
		})
	}
}

func TestNewNamesWhatIsWrong(t *testing.T) {
	for want, change := range map[string]func(*Settings){
		"FleetSize":     func(s *Settings) { s.FleetSize = 0 },
		"Classes":       func(s *Settings) { s.Classes = nil },
		"Effect":        func(s *Settings) { s.Classes[0].Effect = 0 },
		"Group":         func(s *Settings) { s.Classes[1].Group = ScopeNone },
		"time is neg":   func(s *Settings) { s.WarmUpUs = -1 },
		"CoresMultiple": func(s *Settings) { s.CoresOvercommit = 0 },
	} {
		s := testSettings()
		change(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want one that names %s", err, want)
		}
	}
}

func TestUnknownAndRepeatedEventsAreIgnored(t *testing.T) {
	f := newBed(t, testSettings(), 1, small("a", 0, 20))
	done := AttemptEnded{RequestID: "1", Worker: "a", Outcome: Completed, Final: true}
	f.at(ms, Accepted{RequestID: "x"}, done, TaskReport{RequestID: "x"}, ClientCancelled{"x"}, TimerFired{"?"}, ProbeResult{Worker: "x"})
	f.at(ms, f.request("1", "safe", 1, 1))
	f.at(ms, Accepted{RequestID: "1", Attempt: 9}, Accepted{RequestID: "1", Worker: "a"}, Accepted{RequestID: "1", Worker: "a"})
	f.at(ms, done, done, done, TaskReport{RequestID: "1"})
	if len(f.p.requests.tasks) != 0 || f.p.fleet.workers["a"].active != 0 {
		t.Errorf("%d tasks, %d refs left", len(f.p.requests.tasks), f.p.fleet.workers["a"].active)
	}
}

func TestMemoryIsLetGo(t *testing.T) {
	f := newBed(t, testSettings(), 1)
	for i := range 300 {
		name := fmt.Sprint("m", i)
		f.at(100*ms, WorkerList{Kind: ListFull, Entries: []Entry{small(name, 0, 20)}})
		for j := range 10 {
			id := fmt.Sprint(i, "-", j)
			request := f.request(id, "safe", 1, 1)
			request.Program = uint64(i*10 + j)
			f.at(ms, request)
			f.at(ms, Accepted{RequestID: id, Worker: name, RTTUs: 1000})
			f.at(ms, AttemptEnded{RequestID: id, Worker: name, Outcome: Completed, Final: true})
		}
	}
	if len(f.p.requests.tasks) > 0 || len(f.p.fleet.workers) > 2 || len(f.p.queue.pending) > 0 {
		t.Errorf("%d tasks, %d machines, %d waiting left", len(f.p.requests.tasks), len(f.p.fleet.workers), len(f.p.queue.pending))
	}
	for _, worker := range f.p.fleet.workers {
		if len(worker.residentPrograms) > maxIdlePrograms+1 || len(worker.running) > 0 {
			t.Errorf("%d homes, %d running left", len(worker.residentPrograms), len(worker.running))
		}
	}
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() (all []Action) {
		b := newBed(t, testSettings(), 42, small("a", 0, 20), small("b", 0, 20), small("c", 1, 20), small("d", 1, 20))
		for i := range 300 {
			id := fmt.Sprint(i)
			request := b.request(id, "safe", 1, 1)
			request.Program = uint64(i % 17)
			actions := b.at(7*ms, request)
			all = append(all, actions...)
			for _, place := range of[Place](actions) {
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
	f := newBed(t, testSettings(), 1, small("a", 0, -16))
	late := f.request("late", "safe", 1, 2)
	late.HasRunHint, late.ExpectedRunUs = true, 10*second
	f.at(0, late)
	fresh := late
	fresh.RequestID = "fresh"
	f.at(1500*ms, fresh)
	again := late
	again.RequestID, again.Retry = "again", true
	f.at(ms, again)
	got := of[Place](f.at(ms, WorkerList{Kind: ListDelta, Entries: []Entry{small("a", 0, 10)}}))
	if len(got) < 1 || got[0].RequestID != "fresh" {
		t.Errorf("placed %v, want the task that can still start in time first", got)
	}
}

func TestPlacersMeetForAProgram(t *testing.T) {
	first := map[string]int{}
	for i := range 20 {
		f := newBed(t, testSettings(), uint64(i), small("a", 0, 20), small("b", 0, 20), small("c", 1, 20), small("d", 1, -10))
		first[of[Place](f.at(ms, f.request("1", "safe", 1, 2)))[0].Worker]++
	}
	maxCount := 0
	for _, n := range first {
		maxCount = max(maxCount, n)
	}
	if maxCount < 11 || first["d"] > 0 {
		t.Errorf("first choices %v, want most on one machine and none on the full one", first)
	}
}

func TestJammedMachineIsLeftAlone(t *testing.T) {
	f := newBed(t, testSettings(), 1, small("a", 0, 30), small("b", 0, 4))
	f.placed(f.at(ms, f.request("1", "safe", 1, 2)), "a")
	f.placed(f.at(5*ms, AttemptEnded{RequestID: "1", Worker: "a", Outcome: Rejected, Cause: CauseQueue}), "b")
	if w := f.p.fleet.workers["a"].attemptWindow; w >= initialWindow {
		t.Errorf("window %v after 'too many wait', want it halved", w)
	}
}

func TestOneSuccessDoesNotClearALossyMachine(t *testing.T) {
	f := newBed(t, testSettings(), 1, small("a", 0, 30))
	worker := f.p.fleet.workers["a"]
	for range 4 {
		worker.addSuspicion(f.now, 1.5)
	}
	worker.recordSuccess(f.now, 0)
	if f.p.health.healthy(worker, 0) {
		t.Error("trusted again after one success in five")
	}
	for range 20 {
		worker.recordSuccess(f.now, 0)
	}
	if !f.p.health.healthy(worker, 0) {
		t.Error("not trusted after twenty successes")
	}
}

func TestStartsOnAColdMachineWeighMore(t *testing.T) {
	s := testSettings()
	s.ColdStartRate = 0.2
	f := newBed(t, s, 1, small("a", 0, 30))
	worker := f.p.fleet.workers["a"]
	if got := f.p.slowStart.startRate(worker); got != 1 {
		t.Errorf("pace %v of a warm machine, want 1", got)
	}
	worker.StartedAtUs = f.now
	if got := f.p.slowStart.startRate(worker); got != 0.2 {
		t.Errorf("pace %v at the start, want 0.2", got)
	}
	f.at(s.WarmUpUs / 2)
	if got := f.p.slowStart.startRate(worker); math.Abs(got-0.6) > 1e-9 {
		t.Errorf("pace %v half way, want 0.6", got)
	}
}

// A held task of far higher rank keeps the machine nearest to having room for it
// from smaller tasks of little worth; those go elsewhere, and come back after it.
func TestGapsAreKeptForBetterTasks(t *testing.T) {
	s := testSettings()
	s.Classes[8].Kind = -1 // worth 3
	tight := func(name string, free float64) Entry { return small(name, 0, free-16) }
	f := newBed(t, s, 1, tight("a", 1.5), tight("b", 0.75), tight("c", 0.75))
	if got := of[Place](f.at(ms, f.request("better", "large", 2, 2))); len(got) != 0 {
		t.Fatalf("there was room: %v", got)
	}
	for i := range 2 {
		for _, a := range of[Place](f.at(ms, f.request(fmt.Sprint(i), "safe", 0.5, 0.5))) {
			if a.Worker == "a" {
				t.Errorf("task %d took the gap", i)
			}
		}
	}
	f.placed(f.at(ms, WorkerList{Kind: ListDelta, Entries: []Entry{tight("a", 8)}}), "a")
}

func TestFullButWellMachinesAreWaitedFor(t *testing.T) {
	f := newBed(t, testSettings(), 1, small("a", 0, 30), small("b", 0, -16), small("c", 0, -16))
	f.p.fleet.workers["a"].addSuspicion(f.now, maxSuspicion)
	f.placed(f.at(ms, f.request("1", "unsafe", 1, 2)), "")
	f.placed(f.at(ms, f.request("2", "safe", 1, 2)), "a")
	if got := of[Place](f.at(ms, WorkerList{Kind: ListDelta, Entries: []Entry{small("c", 0, 10)}})); len(got) != 1 || got[0].Worker != "c" {
		t.Errorf("placed %v, want the unsafe task on c", got)
	}
}

// Found on incident ib4b606: a request was given up while its attempt was out.
func TestAttemptsOfGoneRequestsCountForTheSpread(t *testing.T) {
	f := newBed(t, testSettings(), 1, small("a", 0, 30))
	f.placed(f.at(ms, f.request("1", "apartMachine", 1, 1)), "a")
	f.at(ms, ClientCancelled{"1"})
	f.placed(f.at(ms, f.request("2", "apartMachine", 1, 1)), "")
	f.placed(f.at(ms, AttemptEnded{RequestID: "1", Worker: "a", Outcome: TimedOut, Final: true}), "a")
	if len(f.p.requests.tasks) != 1 {
		t.Errorf("%d tasks kept, want 1", len(f.p.requests.tasks))
	}
}

func TestTasksOfARestartedMachineCountForTheSpread(t *testing.T) {
	f := newBed(t, testSettings(), 1, small("a", 0, 30))
	f.at(2*second, Adopted{Task: f.request("e", "apartMachine", 1, 1).Task, Worker: "a"})
	entry := small("a", 0, 30)
	entry.StartedAtUs = f.now
	f.at(ms, WorkerList{Kind: ListDelta, Entries: []Entry{entry}})
	f.placed(f.at(ms, f.request("1", "apartMachine", 1, 1)), "")
	f.placed(f.at(ms, AttemptEnded{RequestID: "e", Worker: "a", Outcome: Reset, Final: true}), "a")
}

func TestLeastSuspectMachinesGetFewAttempts(t *testing.T) {
	f := newBed(t, testSettings(), 1, small("a", 0, 30), small("b", 0, 30))
	for _, m := range []string{"a", "b"} {
		f.p.fleet.workers[m].addSuspicion(f.now, maxSuspicion)
		f.p.fleet.workers[m].attemptWindow = maxWindow
	}
	n := 0
	for i := range 20 {
		n += len(of[Place](f.at(ms, f.request(fmt.Sprint(i), "safe", .5, .5))))
	}
	if n < 2 || n > 4 {
		t.Errorf("%d attempts out on two silent machines, want 2 to 4", n)
	}
}

func TestSlowStartsAreNoSilence(t *testing.T) {
	s := testSettings()
	for _, running := range []bool{false, true} {
		s.AcceptMeansRunning = running
		f := newBed(t, s, 1, small("a", 0, 30))
		f.p.health.meanRTT, f.p.health.rttDeviation = 50_000, 10_000
		f.placed(f.at(ms, f.request("1", "safe", 1, 2)), "a")
		f.at(800 * ms)
		if got := f.p.health.healthy(f.p.fleet.workers["a"], 0); got != running {
			t.Errorf("yes means running %v: healthy %v after 0.8 s, want %v", running, got, running)
		}
	}
}

func TestTaskThatFitsNoKindIsRefusedAtOnce(t *testing.T) {
	f := newBed(t, testSettings(), 1, small("a", 0, 30))
	late := f.request("late", "safe", 1, 1)
	late.DeadlineUs = f.now - 1
	actions := f.at(ms, f.request("1", "safe", 97, 1), f.request("2", "large", 1, 193), late)
	if len(of[Reject](actions)) != 3 || len(f.p.requests.tasks) != 0 {
		t.Errorf("actions %v, want three refusals", actions)
	}
}

func TestTenantBeyondItsShareWaits(t *testing.T) {
	s := testSettings()
	s.Tenants, s.OverQuotaWeight = []Tenant{{"big", 10}, {"little", 30}}, 0.1
	f := newBed(t, s, 1, small("a", 0, -16))
	run := f.request("e", "safe", 10, 1)
	run.Tenant = "big"
	f.at(0, Adopted{Task: run.Task, Worker: "a"})
	over, within := f.request("over", "safe", 1, 2), f.request("within", "safe", 1, 2)
	over.Tenant, within.Tenant = "big", "little"
	f.at(ms, over)
	f.at(ms, within)
	got := of[Place](f.at(ms, WorkerList{Kind: ListDelta, Entries: []Entry{small("a", 0, -14)}}))
	if len(got) == 0 || got[0].RequestID != "within" {
		t.Errorf("placed %v, want the tenant within its share first", got)
	}
}

func TestWithoutAViewTasksSpreadAndMemoryIsBounded(t *testing.T) {
	s := testSettings()
	s.HasView = false
	f := newBed(t, s, 1, small("a", 0, 0), small("b", 0, 0), small("c", 1, 0))
	seen := map[string]int{}
	for i := range 3 * maxDeltas {
		request := f.request(fmt.Sprint(i), "safe", 1, 2)
		request.Program = 0
		for _, place := range of[Place](f.at(ms, request)) {
			seen[place.Worker]++
			f.at(0, Accepted{RequestID: place.RequestID, Worker: place.Worker, RTTUs: 900}, AttemptEnded{RequestID: place.RequestID, Worker: place.Worker, Outcome: Completed, Final: true})
		}
	}
	for _, worker := range f.p.fleet.sorted {
		if seen[worker.Worker] < maxDeltas/2 || len(worker.deltas) > maxDeltas {
			t.Errorf("%s: %d tasks, %d changes remembered", worker.Worker, seen[worker.Worker], len(worker.deltas))
		}
	}
}

// Found on fresh days of the grown deployments: where a placer's part of the
// fresh offers is under one, all placers sent theirs at the same moment.
func TestManyPlacersKeepTheColdBudget(t *testing.T) {
	for _, c := range []struct {
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
		t.Run(c.name, func(t *testing.T) {
			s := testSettings()
			s.FleetSize, s.SlowStartOffers, s.WarmUpUs = c.placers, c.fresh, 8*second
			cold := small("a", 0, 32)
			cold.StartedAtUs = 1_000_000_000 + 3*second
			var sent []int64
			for i := range c.placers {
				s.SelfIndex = i
				f := newBed(t, s, uint64(i), cold)
				f.at(3*second, WorkerList{Kind: ListDelta, Entries: []Entry{cold}})
				for j := range 70 {
					if c.stall && j%20 == 7 {
						f.now += 2 * second // then all at once
					}
					if c.reborn && j == 10+i%40 {
						now := f.now
						f = newBed(t, s, uint64(i), cold)
						f.now = now
						f.p.startedAt = now
					}
					id := fmt.Sprint(j)
					for range len(of[Place](f.at(97*ms, f.request(id, "safe", .1, .1)))) {
						sent = append(sent, f.now)
					}
					f.at(0, Accepted{RequestID: id, Worker: "a", RTTUs: 1000})
				}
			}
			slices.Sort(sent)
			if len(sent) == 0 && c.fresh > 2 {
				t.Error("a cold machine got nothing at all")
			}
			for i, at := range sent {
				n, _ := slices.BinarySearch(sent, at+s.SlowStartWindowUs)
				if n-i > int(c.fresh) && at < cold.StartedAtUs+s.WarmUpUs-s.SlowStartWindowUs {
					t.Fatalf("%d offers within a span, want %v at most", n-i, c.fresh)
				}
			}
		})
	}
}

func TestSilenceIsToldFromAClassAndFromALoss(t *testing.T) {
	for _, c := range []struct {
		name        string
		heard       string // the class of an answer since the attempt
		safe, large bool   // which classes are trusted then
	}{
		{"silent machine", "", false, false},
		{"silent for one class", "large", false, true},
		{"answers lost", "safe", true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			entry := Entry{Worker: "a", Kind: "large", FreeCores: 60, FreeMemory: 120}
			f := newBed(t, testSettings(), 1, entry)
			worker := f.p.fleet.workers["a"]
			f.placed(f.at(ms, f.request("1", "safe", 1, 2)), "a")
			if c.heard != "" {
				f.placed(f.at(ms, f.request("2", c.heard, 1, 2)), "a")
				f.at(ms, Accepted{RequestID: "2", Worker: "a", RTTUs: 1000})
			}
			f.at(100*ms, AttemptEnded{RequestID: "1", Worker: "a", Outcome: TimedOut, Final: true})
			f.at(100 * ms)
			if safe, large := worker.suspicion(f.now, 0) < ejectionThreshold, worker.suspicion(f.now, 8) < ejectionThreshold; safe != c.safe || large != c.large {
				t.Errorf("in use for its class %v, for the other %v; want %v and %v", safe, large, c.safe, c.large)
			}
			f.at(10 * suspicionHalflife)
			if !f.p.health.healthy(worker, 0) {
				t.Error("not let go")
			}
		})
	}
}

func TestTasksAskTheMachineThatTheyWouldGoTo(t *testing.T) {
	settings := testSettings()
	settings.Probes = true
	nan := math.NaN()
	for _, c := range []struct {
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
		t.Run(c.name, func(t *testing.T) {
			f := newBed(t, settings, 1, small("a", 0, 30), small("b", 0, 16))
			request := f.request("1", "safe", 1, 2)
			request.Program = 0
			actions := f.at(ms, request)
			f.placed(actions, "")
			if got := of[Probe](actions); len(got) != 1 || got[0].Worker != "a" {
				t.Fatalf("asked %v, want a once", got)
			}
			actions = f.at(20*ms, ProbeResult{Worker: "a", Outcome: Completed, Load: c.load})
			for _, probe := range of[Probe](actions) {
				actions = f.at(20*ms, ProbeResult{Worker: probe.Worker, Outcome: Completed, Load: Load{16, 32, .5, 0}})
			}
			f.placed(actions, c.want)
		})
	}
}

func TestSilentProbeKeepsTheTaskForAnother(t *testing.T) {
	s := testSettings()
	s.Probes = true
	f := newBed(t, s, 1, small("a", 0, 30), small("b", 0, 4))
	request := f.request("1", "safe", 1, 2)
	request.Program = 0
	f.at(ms, request)
	actions := f.at(250*ms, ProbeResult{Worker: "a", Outcome: TimedOut})
	if got := of[Probe](actions); len(got) != 1 || got[0].Worker != "b" {
		t.Fatalf("asked %v, want b next", got)
	}
	f.placed(f.at(10*ms, ProbeResult{Worker: "b", Outcome: TimedOut}, TimerFired{"wake"}), "a") // the least suspect
	actions = f.at(10*suspicionHalflife, request)
	if n := len(of[Place](actions)); n != 0 {
		t.Errorf("a ticket that is out was placed %d times more", n)
	}
}

func TestReportedBendIsLetGo(t *testing.T) {
	s := testSettings()
	s.Probes = true
	f := newBed(t, s, 1, small("a", 0, 30))
	worker := f.p.fleet.workers["a"]
	f.at(ms, ProbeResult{Worker: "a", Outcome: Completed, Load: Load{24, 48, 1, 0}})
	if worker.calibration[resourceCores] > 0.5 {
		t.Errorf("bent to %v by a machine busy with a sixth of its size, want under a half", worker.calibration[resourceCores])
	}
	worker.decayCalibration(f.now + 10*calibrationHalflife)
	if worker.calibration[resourceCores] < 0.99 {
		t.Error("not let go")
	}
}

// TestManyPlacersOnOneLateView bounds how many of 300 placers choose one machine
// of 100 while the view stands still.
func TestManyPlacersOnOneLateView(t *testing.T) {
	var entries []Entry
	for m := range 100 {
		entries = append(entries, small(fmt.Sprint("m", m), m/6, 12+float64(m%9)))
	}
	first := map[string]int{}
	s := testSettings()
	s.FleetSize = 300
	for i := range s.FleetSize {
		s.SelfIndex = i
		f := newBed(t, s, uint64(i), entries...)
		request := f.request("1", "safe", 1, 2)
		request.Program = uint64(i%150 + 1) // two tasks of each of 150 services
		first[of[Place](f.at(ms, request))[0].Worker]++
	}
	for m, n := range first {
		if n > 18 {
			t.Errorf("%d of 300 first choices on %s, want 18 at most", n, m)
		}
	}
	if len(first) < 50 {
		t.Errorf("%d machines chosen, want half of them at least", len(first))
	}
}

func TestHardInput(t *testing.T) {
	s := testSettings()
	s.FleetSize, s.SelfIndex, s.SlowStartOffers = 300, 299, 1
	f := newBed(t, s, 1, Entry{Worker: "a", Kind: "small", FreeCores: 30, FreeMemory: 60})
	request := f.request("1", "apartCell", 1, 2)
	f.placed(f.at(ms, request), "a") // a list that names no cell
	// The clock jumps by two seconds, and outcomes come in any order.
	f.at(2*second, AttemptEnded{RequestID: "1", Worker: "a", Outcome: Completed, Final: true}, Accepted{RequestID: "1", Worker: "a"},
		TaskReport{RequestID: "1", Worker: "a", Kind: ReportRunning}, ClientCancelled{"1"})
	if len(f.p.requests.tasks) != 0 || len(f.p.fleet.workers["a"].unanswered) != 0 {
		t.Errorf("%d tasks, %d unanswered left", len(f.p.requests.tasks), len(f.p.fleet.workers["a"].unanswered))
	}
	var entries []Entry
	for m := range 200 { // a fleet that grows in one list, all cold
		entry := small(fmt.Sprint("c", m), m/6, 30)
		entry.StartedAtUs = f.now
		entries = append(entries, entry)
	}
	f.at(ms, WorkerList{Kind: ListDelta, Entries: entries})
	f.placed(f.at(ms, f.request("2", "safe", 1, 2)), "a")
}

func TestOwnStallBlamesNobody(t *testing.T) {
	f := newBed(t, testSettings(), 1, small("a", 0, 30))
	f.p.health.meanRTT, f.p.health.rttDeviation = 20_000, 5_000
	f.placed(f.at(ms, f.request("1", "safe", 1, 2)), "a")
	// No turn for two seconds; then the answer is found beside a new request.
	f.placed(f.at(2*second, f.request("2", "safe", 1, 2), Accepted{RequestID: "1", Worker: "a", RTTUs: 21_000}), "a")
	if suspicion := f.p.fleet.workers["a"].suspicion(f.now, 0); suspicion != 0 {
		t.Errorf("suspicion %v after an own stall, want none", suspicion)
	}
}

// crowded is a placer that is told of room at a pace, or that room is to be kept.
func crowded(t *testing.T, free float64, pressure Backpressure) *bed {
	s := testSettings()
	s.UnitCores, s.UnitMemory = 1, 2
	f := newBed(t, s, 1, small("a", 0, free), small("b", 0, free))
	f.at(ms, pressure)
	return f
}

// A held task that finds no room in its time by far, at the pace at which room comes,
// is refused at once; one that may find it waits; and without a pace all wait.
func TestRefusedOnceItIsKnown(t *testing.T) {
	for _, x := range []struct {
		pace float64
		want int
	}{{0, 0}, {1, 3}, {10, 0}} {
		f := crowded(t, -20, Backpressure{ReleaseRate: x.pace})
		rejected := 0
		for i := range 12 {
			rejected += len(of[Reject](f.at(ms, f.request(fmt.Sprint(i), "safe", 1, 2))))
		}
		// With 5 s left and twice that to be sure, nine units find room at one a second.
		if rejected != x.want {
			t.Errorf("at a pace of %v: %d refused of 12, want %d", x.pace, rejected, x.want)
		}
	}
}

// Of equal rank the one whose owner stands in line for longer goes first.
func TestPlaceInLine(t *testing.T) {
	f := crowded(t, -20, Backpressure{})
	late, early := f.request("late", "safe", 30, 60), f.request("early", "safe", 30, 60)
	early.QueuedSinceUs = f.now - 3000*ms
	f.at(ms, late)
	f.at(ms, early)
	got := of[Place](f.at(ms, WorkerList{Kind: ListFull, Entries: []Entry{small("a", 0, 32)}}))
	if len(got) != 1 || got[0].RequestID != "early" {
		t.Errorf("placed %v", got)
	}
}

// While a crowd comes, a class leaves room to those of more worth, as far as they are
// expected to need it, and no longer.
func TestRoomIsKept(t *testing.T) {
	reserved := make([]float64, len(testSettings().Classes))
	reserved[0] = 100
	f := crowded(t, 30, Backpressure{Reserved: reserved})
	if got := of[Place](f.at(ms, f.request("web", "safe", 1, 2))); len(got) != 0 {
		t.Errorf("placed %v", got)
	}
	if got := of[Place](f.at(ms, f.request("other", "all", 1, 2))); len(got) != 1 {
		t.Errorf("another class: placed %v", got)
	}
	if got := of[Place](f.at(ms, Backpressure{})); len(got) != 1 || got[0].RequestID != "web" {
		t.Errorf("once nothing is kept: placed %v", got)
	}
	reserved[0] = 1
	f = crowded(t, 30, Backpressure{Reserved: reserved})
	if got := of[Place](f.at(ms, f.request("web", "safe", 1, 2))); len(got) != 1 {
		t.Errorf("with room for all: placed %v", got)
	}
}

// In a crowd others are taken to bind as much as this placer: it stops where, with
// them, a machine would be full.
func TestOthersBindToo(t *testing.T) {
	for _, x := range []struct {
		p          Backpressure
		least, all int
	}{{Backpressure{}, 70, 100}, {Backpressure{ReleaseRate: 1000}, 35, 60}} {
		f := crowded(t, 32, x.p) // two machines that accept 48 cores each
		placed := 0
		for i := range 120 {
			requestID := fmt.Sprint(i)
			for _, place := range of[Place](f.at(ms, f.request(requestID, "safe", 1, 2))) {
				placed++
				f.at(ms, Accepted{RequestID: place.RequestID, Worker: place.Worker, RTTUs: 20 * ms})
			}
		}
		if placed < x.least || placed > x.all {
			t.Errorf("with %+v %d were placed, want %d to %d", x.p, placed, x.least, x.all)
		}
	}
}

// BenchmarkSpread is a turn in which tasks of a class that states a spread come to a large
// fleet, while others wait for room.
func BenchmarkSpread(b *testing.B) {
	s := testSettings()
	var entries []Entry
	for i := range 400 {
		entry := small(fmt.Sprint("m", i), i/8, 30)
		if i >= 200 {
			entry.FreeCores, entry.FreeMemory = -16, -32
		}
		entries = append(entries, entry)
	}
	for b.Loop() {
		scheduler, err := New(s, 1)
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

func TestPoorServiceOnAMachineOfUnknownKind(t *testing.T) {
	f := newBed(t, testSettings(), 1, small("a", 0, 30))
	unlisted := Adopted{Task{RequestID: "1", Class: "safe", Cores: 1, Memory: 2, HasRunHint: true, ExpectedRunUs: 60 * second}, "z"}
	unknownKind := small("odd", 0, 30)
	unknownKind.Kind = "never heard of"
	f.at(ms, WorkerList{Kind: ListDelta, Entries: []Entry{unknownKind}}, unlisted,
		Adopted{Task{RequestID: "2", Class: "safe", Cores: 1, Memory: 2, HasRunHint: true, ExpectedRunUs: 60 * second}, "odd"})
	for _, name := range []string{"z", "odd"} {
		requestID := map[string]string{"z": "1", "odd": "2"}[name]
		if moved := of[Migrate](f.at(second, TaskReport{RequestID: requestID, Worker: name, Kind: ReportService, Value: 0.1})); len(moved) > 0 {
			t.Errorf("moved %v off a machine whose size nobody knows", moved)
		}
	}
}
