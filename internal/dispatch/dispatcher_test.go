package dispatch

import (
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"ravenhitch/placement"
)

func TestMain(m *testing.M) {
	// The seed is fixed here: packages without rapid reject its flags.
	for name, v := range map[string]string{"rapid.seed": "20261201", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, v); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const ms = int64(1000)

func settings() placement.Settings {
	return placement.Settings{
		FleetSize: 1, HasView: true, PollsDiscovery: true, CoresOvercommit: 1, MemoryOvercommit: 1, MaxAttempts: 3, TickUs: 2000,
		PollWithinUs: 10_000 * ms, AnswerSlackUs: 8 * ms, DrainGraceUs: 2000 * ms, SlowStartOffers: 50, SlowStartWindowUs: 3000 * ms,
		WarmUpUs: 16_000 * ms, ColdStartRate: 0.2, UnitCores: 1, UnitMemory: 2,
		Kinds: []placement.Kind{{Name: "std", Cores: 32, Memory: 64}},
		Classes: []placement.Class{
			{Name: "web", Effect: placement.Safe, Weight: 1, Kind: -1, SaturationLoad: 0.8, SaturationRange: 0.2, ObjectiveUs: 1000 * ms, DeadlineUs: 5000 * ms},
			{Name: "cut", Effect: placement.Unsafe, Weight: 5, Kind: -1, SaturationLoad: 0.8, SaturationRange: 0.2, ObjectiveUs: 6000 * ms, DeadlineUs: 9000 * ms},
			{Name: "all", Effect: placement.Keyed, Group: placement.ScopeAll, WindowUs: 700 * ms, Weight: 1, Kind: -1, SaturationLoad: 0.8, SaturationRange: 0.2},
			{Name: "zone", Effect: placement.Keyed, Group: placement.ScopeZone, WindowUs: 700 * ms, Weight: 1, Kind: -1, SaturationLoad: 0.8, SaturationRange: 0.2},
			{Name: "cell", Effect: placement.Keyed, Group: placement.ScopeCell, WindowUs: 700 * ms, Weight: 1, Kind: -1, SaturationLoad: 0.8, SaturationRange: 0.2},
			{Name: "apart", Effect: placement.Safe, Spread: placement.ScopeMachine, MaxPerDomain: 1, Weight: 1, Kind: -1, SaturationLoad: 0.8, SaturationRange: 0.2}},
	}
}

// bench is the world round a core, played by hand: it notes what nodes and
// owners are told and fails where an invariant does not hold.
type bench struct {
	t interface{ Fatalf(string, ...any) }
	*Dispatcher
	now      int64
	out      map[string]string // attempts out, by tag: the node
	stands   map[string]string
	final    map[string]ResponseKind // final answers
	mayRun   map[string]bool
	deadline map[string]int64
	drained  map[string]int64
	class    map[string]string
	offers   []string
	told     []Response
	gaveUp   int
	doubt    bool              // what is given up from now on is over only once proved
	unproved map[string]string // given up and not proved to be over, by tag: the node
}

func newBench(t interface{ Fatalf(string, ...any) }) *bench {
	b := &bench{t: t, now: 1_000_000 * ms, out: map[string]string{}, stands: map[string]string{}, final: map[string]ResponseKind{},
		mayRun: map[string]bool{}, deadline: map[string]int64{}, drained: map[string]int64{}, class: map[string]string{},
		unproved: map[string]string{}}
	c, err := New(settings(), 7, b, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatalf("%v", err)
	}
	b.Dispatcher = c
	return b
}

func (b *bench) Offer(node string, o Offer) {
	_, over := b.final[o.RequestID]
	at, drains := b.drained[node]
	switch {
	case b.out[o.RequestID] != "":
		b.t.Fatalf("%s: a second attempt is out", o.RequestID)
	case over || b.stands[o.RequestID] != "":
		b.t.Fatalf("%s: an offer after the end", o.RequestID)
	case o.Class == "cut" && b.mayRun[o.RequestID]:
		b.t.Fatalf("%s: may start twice", o.RequestID)
	case drains && b.now > at+2000*ms:
		b.t.Fatalf("%s: offered to %s, told to drain %d ms before", o.RequestID, node, (b.now-at)/ms)
	case !b.roster.owns(node):
		b.t.Fatalf("%s: offered to %s, which is another orchestrator's", o.RequestID, node)
	case o.TimeoutUs <= 0 || b.now+o.TimeoutUs > b.deadline[o.RequestID]:
		b.t.Fatalf("%s: an offer that waits for %d", o.RequestID, o.TimeoutUs)
	}
	b.out[o.RequestID] = node
	b.offers = append(b.offers, o.RequestID+"@"+node)
}

func (b *bench) CancelAttempt(node, tag string, _ bool) (sure bool) {
	if b.out[tag] != node || b.unproved[tag] != "" {
		b.t.Fatalf("%s: an attempt given up at %s is not there", tag, node)
	}
	b.mayRun[tag] = true
	b.gaveUp++
	if b.doubt {
		b.unproved[tag] = node
		return false
	}
	delete(b.out, tag)
	return true
}

// proved tells that an attempt that was given up is over.
func (b *bench) proved(tag string) {
	if node := b.unproved[tag]; node != "" {
		delete(b.unproved, tag)
		delete(b.out, tag)
		b.CancelConfirmed(b.now, node, tag)
	}
}

func (b *bench) Release(node, tag string) {}
func (b *bench) Probe(string)             {}

func (b *bench) Respond(a Response) {
	b.told = append(b.told, a)
	switch a.Kind {
	case Completed, Migrated:
		if b.stands[a.RequestID] == "" {
			b.t.Fatalf("%s: ended without having stood", a.RequestID)
		}
		delete(b.stands, a.RequestID)
		return
	}
	if was, ok := b.final[a.RequestID]; ok {
		b.t.Fatalf("%s: answered %v after %v", a.RequestID, a.Kind, was)
	}
	if b.now > b.deadline[a.RequestID] {
		b.t.Fatalf("%s: answered %d ms late", a.RequestID, (b.now-b.deadline[a.RequestID])/ms)
	}
	if a.Kind == Rejected && b.class[a.RequestID] == "cut" && b.mayRun[a.RequestID] {
		b.t.Fatalf("%s: refused though it may have started", a.RequestID)
	}
	b.final[a.RequestID] = a.Kind
}

func (b *bench) submit(tag, class, key string, waitMs int64) error {
	b.deadline[tag], b.class[tag] = b.now+waitMs*ms, class
	return b.Submit(b.now, b, Submission{RequestID: tag, Class: class, Key: key, TimeoutUs: waitMs * ms, Cores: 2, Memory: 4})
}

func (b *bench) list(kind placement.ListKind, state placement.WorkerState, names ...string) {
	l := placement.WorkerList{Kind: kind}
	for _, n := range names {
		l.Entries = append(l.Entries, placement.Entry{Worker: n, Kind: "std", State: state, FreeCores: 32, FreeMemory: 64})
		if state == placement.Ready {
			delete(b.drained, n)
		} else if _, ok := b.drained[n]; !ok {
			b.drained[n] = b.now
		}
	}
	b.UpdateWorkers(b.now, l)
}

func (b *bench) started(tag string) {
	node := b.out[tag]
	delete(b.out, tag)
	b.stands[tag], b.mayRun[tag] = node, true
	b.AttemptAccepted(b.now, node, tag, "by "+node)
}

func (b *bench) ended(tag string, st placement.Outcome) {
	node := b.out[tag]
	if node == "" {
		b.TaskEnded(b.now, b.stands[tag], tag, st, 0)
		return
	}
	delete(b.out, tag)
	switch st {
	case placement.Rejected, placement.ConnectFailed, placement.NeverSent:
	default:
		b.mayRun[tag] = true
	}
	b.TaskEnded(b.now, node, tag, st, 0)
}

// pass lets time go on, turn by turn, whenever the core asks for one.
func (b *bench) pass(d int64) {
	end := b.now + d
	b.Turn(b.now)
	for n := 0; ; n++ {
		next := b.NextDeadline()
		if next == 0 || next > end {
			break
		}
		if n > 100_000 {
			b.t.Fatalf("the core asks for turns without end")
		}
		b.now = max(b.now, next)
		b.Turn(b.now)
	}
	b.now = end
	b.Turn(b.now)
}

// checkHoldings compares what is held at each node with the requests that take room there.
func (b *bench) checkHoldings() {
	held := map[string]int{}
	for _, requests := range []map[string]*request{b.reqs, b.silent} {
		for _, r := range requests {
			if _, silent := b.silent[r.RequestID]; r.state.holds() || silent && r == b.silent[r.RequestID] {
				held[r.node]++
			}
		}
	}
	for node := range b.holdings {
		if b.TasksOn(node).Count != held[node] {
			b.t.Fatalf("%s holds %d tasks, %d are counted", node, held[node], b.TasksOn(node).Count)
		}
		delete(held, node)
	}
	if len(held) > 0 {
		b.t.Fatalf("tasks are held at %v and not counted", held)
	}
}

// Whatever happens in whatever order, the invariants that the bench checks hold,
// and every request that was not withdrawn has its answer in the end.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(t)
		nodes := []string{"a", "b", "c"}
		b.list(placement.ListFull, placement.Ready, nodes...)
		var tags []string
		withdrawn := map[string]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			tag := "-"
			if len(tags) > 0 {
				tag = rapid.SampledFrom(tags).Draw(t, "tag")
			}
			what := rapid.IntRange(0, 10).Draw(t, "what")
			if b.unproved[tag] != "" && (what == 3 || what == 4) {
				what = 8 // a minion says nothing of what it was told to give up
			}
			switch what {
			case 0, 1, 2:
				tag := fmt.Sprintf("%016x", len(tags)+1)
				tags = append(tags, tag)
				class := rapid.SampledFrom([]string{"web", "cut"}).Draw(t, "class")
				// Owners come again with a new tag while the first waits, is out or stands.
				key := rapid.SampledFrom([]string{"k", "l", "k" + tag}).Draw(t, "key")
				if err := b.submit(tag, class, key, rapid.Int64Range(100, 8000).Draw(t, "wait")); err != nil {
					t.Fatalf("%v", err)
				}
			case 3:
				if b.out[tag] != "" {
					b.started(tag)
				}
			case 4:
				st := rapid.SampledFrom([]placement.Outcome{placement.Completed, placement.Failed, placement.Rejected, placement.ConnectFailed,
					placement.Reset, placement.Cancelled, placement.NeverSent}).Draw(t, "status")
				b.ended(tag, st)
				delete(b.stands, tag)
			case 5:
				if b.Cancel(b.now, b, tag) != NotFound {
					withdrawn[tag] = true
					delete(b.stands, tag)
				}
			case 6:
				node := rapid.SampledFrom(nodes).Draw(t, "node")
				state := rapid.SampledFrom([]placement.WorkerState{placement.Ready, placement.Draining, placement.Removed}).Draw(t, "state")
				b.list(placement.ListDelta, state, node)
			case 7:
				b.AttemptAccepted(b.now, rapid.SampledFrom(nodes).Draw(t, "stray"), "nobody's", "")
			case 8:
				b.proved(tag)
			case 9:
				b.doubt = !b.doubt
			case 10:
				own := rapid.SampledFrom(append(nodes, "")).Draw(t, "own") // "": all
				b.SetAssignedWorkers(b.now, func(node string) bool { return own == "" || node == own })
			}
			b.pass(rapid.Int64Range(0, 1500).Draw(t, "ms") * ms)
			b.checkHoldings()
		}
		b.SetAssignedWorkers(b.now, nil)
		b.pass(10_000 * ms)
		b.checkHoldings()
		for _, tag := range tags {
			if _, ok := b.final[tag]; !ok && !withdrawn[tag] {
				t.Fatalf("%s was never answered", tag)
			}
		}
	})
}

// An attempt that ran out of time is given up at its node before the next one.
func TestTimedOut(t *testing.T) {
	b := newBench(t)
	b.list(placement.ListFull, placement.Ready, "a", "b")
	b.submit("t1", "web", "k1", 5000)
	b.pass(10 * ms)
	b.started("t1") // a quick answer, so that later ones are given up early
	b.submit("t2", "web", "k2", 5000)
	b.pass(3000 * ms)
	if len(b.offers) < 3 || b.gaveUp != len(b.offers)-2 {
		t.Errorf("offers %v, %d given up", b.offers, b.gaveUp)
	}
	// A yes that crossed the give-up is not passed on.
	late := "a"
	if b.out["t2"] == "a" {
		late = "b"
	}
	b.AttemptAccepted(b.now, late, "t2", "late")
	if k, ok := b.final["t2"]; ok && k == Started || len(b.told) != 1 {
		t.Errorf("told %v", b.told)
	}
}

// An attempt that was given up and may still be out holds back the next one, and
// nothing else: not the answer at its owner's time, nor its owner's withdrawal.
func TestUnprovedGiveUp(t *testing.T) {
	b := newBench(t)
	b.list(placement.ListFull, placement.Ready, "a", "b")
	b.submit("t0", "web", "k0", 5000)
	b.pass(10 * ms)
	b.started("t0") // a quick answer, so that later ones are given up early
	b.doubt = true
	for _, tag := range []string{"t1", "t2", "t3", "t4"} {
		b.submit(tag, "web", "k"+tag, 2000)
	}
	b.pass(1000 * ms) // no second offer of any, or the bench fails
	if n := len(b.offers); n != 5 || len(b.unproved) != 4 || b.OpenCount() != 4 {
		t.Fatalf("offers %v, given up %v, open %d", b.offers, b.unproved, b.OpenCount())
	}
	node := b.unproved["t1"]
	b.CancelConfirmed(b.now, "c", "t1") // another's word proves nothing
	b.pass(0)
	b.proved("t1")
	b.pass(0)
	if n := len(b.offers); n != 6 || b.offers[5] == "t1@"+node {
		t.Errorf("after the proof: offers %v", b.offers)
	}
	delete(b.unproved, "t4")
	b.ended("t4", placement.Reset) // its connection broke: a proof as well
	if b.pass(0); len(b.offers) != 7 {
		t.Errorf("after a reset: offers %v", b.offers)
	}
	b.proved("t1")
	if b.Cancel(b.now, b, "t2") != WasOpen {
		t.Error("t2 could not be withdrawn")
	}
	if !slices.ContainsFunc(b.events, func(e placement.Event) bool {
		d, ok := e.(placement.AttemptEnded)
		return ok && d.RequestID == "t2"
	}) {
		t.Errorf("the module does not hear of the end of t2's attempt: %v", b.events)
	}
	b.proved("t2")
	b.pass(2000 * ms)
	if k, ok := b.final["t3"]; !ok || k != Rejected || b.OpenCount() != 0 {
		t.Errorf("t3 got %v, %d open", k, b.OpenCount())
	}
	b.proved("t3")
	if b.pass(2000 * ms); len(b.offers) > 8 {
		t.Errorf("offers after the end: %v", b.offers)
	}
}

// Count that stand end when their node has died, or has left the list for long.
func TestLostNodes(t *testing.T) {
	b := newBench(t)
	b.list(placement.ListFull, placement.Ready, "a")
	b.submit("t1", "web", "k1", 5000)
	b.pass(10 * ms)
	b.started("t1")
	b.submit("t2", "web", "k2", 5000)
	b.pass(10 * ms)
	b.started("t2")
	b.ended("t2", placement.Completed)
	b.WorkerDied(b.now, "a")
	b.submit("t3", "web", "k3", 5000)
	b.pass(10 * ms)
	b.started("t3")
	b.list(placement.ListDelta, placement.Removed, "a")
	b.pass(1000 * ms)
	if n := b.RunningCount(); n != 1 {
		t.Fatalf("%d tasks stand just after the node left the list", n)
	}
	b.pass(5000 * ms)
	var over []string
	for _, a := range b.told {
		if a.Kind == Completed {
			over = append(over, fmt.Sprint(a.RequestID, a.Outcome))
		}
	}
	if fmt.Sprint(over) != "[t21 t16 t36]" || b.RunningCount() != 0 {
		t.Errorf("ended: %v", over)
	}
}

// A task that was released takes its place for the module until its end is known: a node
// that is cut off runs it on. Its owner may use its names again before.
func TestReleasedAtASilentNode(t *testing.T) {
	for name, end := range map[string]func(b *bench){
		"told":          func(b *bench) { b.TaskEnded(b.now, "a", "t1", placement.Cancelled, 0) },
		"its node died": func(b *bench) { b.WorkerDied(b.now, "a") },
		"silent for long": func(b *bench) {
			for range maxSilent / (100 * ms) {
				if len(b.silent) > 0 {
					b.pass(100 * ms)
				}
			}
		},
		"its node left and came back": func(b *bench) {
			b.list(placement.ListDelta, placement.Removed, "a")
			b.pass(1000 * ms)
			b.list(placement.ListDelta, placement.Ready, "a")
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.list(placement.ListFull, placement.Ready, "a")
			submit := func(tag string) {
				b.deadline[tag], b.class[tag] = b.now+90_000*ms, "apart"
				s := Submission{RequestID: tag, Class: "apart", Key: "k", Program: 7, TimeoutUs: 90_000 * ms, Cores: 2, Memory: 4, Resumable: true}
				if err := b.Submit(b.now, b, s); err != nil {
					t.Fatal(err)
				}
				b.pass(10 * ms)
			}
			submit("t1")
			b.started("t1")
			if b.Cancel(b.now, nil, "t1") != WasRunning {
				t.Fatal("it does not stand")
			}
			b.pass(2000 * ms)
			submit("t2")
			if b.pass(2000 * ms); len(b.offers) != 1 || !b.IsTerminating("t1") || b.TasksOn("a").Count != 1 {
				t.Fatalf("offers %v, held %v", b.offers, b.TasksOn("a"))
			}
			if err := b.submit("t1", "web", "k1", 1000); !errors.Is(err, ErrRequestIDInUse) {
				t.Errorf("its tag again: %v", err)
			}
			if err := b.Submit(b.now, b, Submission{RequestID: "t1", Class: "apart", Key: "k", RunningOn: "a"}); err != nil || b.Counts().Adopted != 0 {
				t.Errorf("handed in as running: %v, %d", err, b.Counts().Adopted)
			}
			end(b)
			if b.pass(100 * ms); fmt.Sprint(b.offers) != "[t1@a t2@a]" || b.IsTerminating("t1") || len(b.silent) > 0 {
				t.Errorf("offers %v, %d set aside", b.offers, len(b.silent))
			}
		})
	}
}

// A task found running needs no answer, and what its owner takes back is owed
// none either.
func TestFoundRunning(t *testing.T) {
	b := newBench(t)
	b.list(placement.ListFull, placement.Ready, "a")
	for _, tag := range []string{"t1", "t2"} {
		for range 2 { // told twice, as the orchestrator may hold it already
			if err := b.Submit(b.now, b, Submission{RequestID: tag, Class: "cut", Key: tag, Cores: 1, Memory: 1, RunningOn: "a"}); err != nil {
				t.Fatal(err)
			}
		}
		b.stands[tag] = "a"
	}
	b.pass(100 * ms)
	if b.Cancel(b.now, nil, "t1") != WasRunning {
		t.Error("t1 did not stand")
	}
	b.TaskEnded(b.now, "a", "t1", placement.Cancelled, 0)
	b.ended("t2", placement.Completed)
	b.pass(100 * ms)
	if len(b.told) != 1 || b.told[0].RequestID != "t2" || b.told[0].Kind != Completed {
		t.Errorf("told %v", b.told)
	}
	if c := b.Counts(); c.Adopted != 2 || c.Requests != 0 {
		t.Errorf("counts %+v", c)
	}
}

// Guards hold whatever the module asks for.
func TestGuards(t *testing.T) {
	b := newBench(t)
	b.list(placement.ListFull, placement.Ready, "a", "b")
	b.submit("t1", "cut", "k1", 5000)
	b.pass(10 * ms)
	r := b.find("t1")
	b.act(placement.Place{RequestID: "t1", Worker: "b"}) // one is out
	b.ended("t1", placement.Failed)
	b.act(placement.Place{RequestID: "t1", Worker: "b"}) // it may have started
	b.act(placement.Reject{RequestID: "t1"})             // and can't be refused
	b.act(placement.Place{RequestID: "t1", Worker: "b"}) // it is over
	b.submit("t2", "web", "k2", 5000)
	b.list(placement.ListDelta, placement.Draining, "b")
	b.now += 1900 * ms
	b.Dispatcher.now = b.now
	b.act(placement.Place{RequestID: "t2", Worker: "b"}) // told to drain long before
	if len(b.offers) != 1 || b.final["t1"] != Failed || r.state != gone || b.Counts().Blocked != 3 {
		t.Errorf("offers %v, answer %v, counts %+v", b.offers, b.final["t1"], b.Counts())
	}
}

// What only the module has a use for reaches it: whose task it is, how long it runs, that
// it came before.
func TestTaskToldWhole(t *testing.T) {
	b := newBench(t)
	s := Submission{RequestID: "9b1f03aa5c7e2d41", Class: "web", Key: "k", TimeoutUs: 5000 * ms, Cores: 1, Memory: 1, Tenant: "studio",
		ExpectedRunUs: 4_409_900, Retry: true}
	if err := b.Submit(b.now, b, s); err != nil {
		t.Fatal(err)
	}
	r, ok := b.events[len(b.events)-1].(placement.Request)
	if !ok || r.Tenant != "studio" || !r.HasRunHint || r.ExpectedRunUs != 4_409_900 || !r.Retry {
		t.Errorf("got %+v", b.events)
	}
}

// A keyed task that may have started goes only to nodes of its group, and only while they
// know its repeats, whenever its offer leaves; its owner is refused only where any node
// would know it.
func TestKeyedRepeats(t *testing.T) {
	for _, c := range []struct {
		class  string
		leaves map[string]bool // in the window, by node
		answer ResponseKind
	}{
		{"all", map[string]bool{"a": true, "near": true, "hall": true, "far": true}, Rejected},
		{"zone", map[string]bool{"a": true, "near": true, "hall": true, "far": false, "left": false}, Failed},
		{"cell", map[string]bool{"a": true, "near": true, "hall": false, "far": false, "left": false}, Failed},
		{"web", map[string]bool{"a": true, "far": true, "left": true}, Rejected},
		{"cut", map[string]bool{"a": true}, Failed},
	} {
		b := newBench(t)
		ready := func(name, zone string, cell int) placement.Entry {
			return placement.Entry{Worker: name, Kind: "std", Zone: zone, Cell: cell, FreeCores: 32, FreeMemory: 64}
		}
		b.UpdateWorkers(b.now, placement.WorkerList{Kind: placement.ListFull, Entries: []placement.Entry{ready("a", "h1", 1)}})
		b.submit("t1", c.class, "k1", 2000)
		b.pass(10 * ms)
		at := b.now - 10*ms
		b.UpdateWorkers(b.now, placement.WorkerList{Entries: []placement.Entry{ready("near", "h1", 1), ready("hall", "h1", 2), ready("far", "h2", 3)}})
		if b.doubt = true; b.out["t1"] != "a" {
			t.Fatalf("%s: offers %v", c.class, b.offers)
		}
		b.TaskEnded(b.now, "a", "t1", placement.Reset, 0)
		for node, leaves := range c.leaves {
			if why := b.CheckOffer(at+699*ms, node, "t1"); (why == "") != leaves {
				t.Errorf("%s to %s in the window: %q", c.class, node, why)
			}
			if why := b.CheckOffer(at+700*ms, node, "t1"); (why == "") != (leaves && b.effects[c.class] != placement.Keyed) {
				t.Errorf("%s to %s past the window: %q", c.class, node, why)
			}
		}
		b.ObserveTurn(200 * ms) // what is placed leaves at the end of a turn
		for passed, open := range map[int64]bool{499 * ms: true, 500 * ms: b.effects[c.class] != placement.Keyed} {
			if why := b.CheckOffer(at+passed, "a", "t1"); (why == "") != (open && c.leaves["a"]) {
				t.Errorf("%s after %d ms, under long turns: %q", c.class, passed/ms, why)
			}
		}
		r := b.reqs["t1"]
		if b.finish(r); b.final["t1"] != c.answer {
			t.Errorf("%s: answered %v", c.class, b.final["t1"])
		}
	}
}

// endings are the ways in which a request or a task ends.
var endings = map[string]func(b *bench, tag string){
	"withdrawn":           func(b *bench, tag string) { b.Cancel(b.now, b, tag) },
	"refused by its node": func(b *bench, tag string) { b.ended(tag, placement.Rejected); b.Cancel(b.now, b, tag) },
	"an error":            func(b *bench, tag string) { b.ended(tag, placement.Failed); b.Cancel(b.now, b, tag) },
	"out of time":         func(b *bench, _ string) { b.pass(3000 * ms) },
	"out of time and not proved": func(b *bench, tag string) {
		b.doubt = true
		b.pass(3000 * ms)
		b.proved(tag)
		b.doubt = false
	},
	"stood and ended": func(b *bench, tag string) { b.started(tag); b.ended(tag, placement.Completed); delete(b.stands, tag) },
	"released": func(b *bench, tag string) {
		b.started(tag)
		b.Cancel(b.now, b, tag)
		b.pass(1000 * ms)
		b.TaskEnded(b.now, b.stands[tag], tag, placement.Cancelled, 0)
		delete(b.stands, tag)
	},
	"its node died":            func(b *bench, tag string) { b.started(tag); b.WorkerDied(b.now, b.stands[tag]) },
	"its connection is closed": func(b *bench, tag string) { b.Reject(b.now, b, tag) },
}

// Of what has ended, in whatever way, nothing is kept.
func TestNothingStays(t *testing.T) {
	for name, end := range endings {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.list(placement.ListFull, placement.Ready, "a", "b")
			for i := range 200 {
				tag := fmt.Sprintf("%016x", i+1)
				b.submit(tag, []string{"web", "cut"}[i%2], "k"+tag, 2000)
				b.pass(10 * ms)
				if b.out[tag] == "" {
					t.Fatalf("%s was not offered; offers %v", tag, b.offers)
				}
				end(b, tag)
				b.pass(10 * ms)
				clear(b.out)
			}
			c := b.Dispatcher
			if len(c.due) > 0 {
				t.Errorf("%d times to come", len(c.due))
			}
			b.pass(20_000 * ms)
			if n := len(c.reqs) + len(c.keys) + len(c.alias) + len(c.past) + len(c.due) + len(c.silent) + len(c.holdings) + c.waits; n > 0 || len(c.bells) > 1 {
				t.Errorf("%d requests, %d keys, %d aliases, %d last words, %d times, %d wait, %d bells", len(c.reqs), len(c.keys),
					len(c.alias), len(c.past), len(c.due), c.waits, len(c.bells))
			}
		})
	}
}
