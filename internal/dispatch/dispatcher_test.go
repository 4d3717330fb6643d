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

// harness is the world round a core, played by hand: it notes what nodes and
// owners are told and fails where an invariant does not hold.
type harness struct {
	t interface{ Fatalf(string, ...any) }
	*Dispatcher
	now             int64
	offered         map[string]string // attempts out, by tag: the node
	running         map[string]string
	responses       map[string]ResponseKind // final answers
	mayHaveRun      map[string]bool
	deadline        map[string]int64
	drainedAt       map[string]int64
	class           map[string]string
	offers          []string
	received        []Response
	cancelled       int
	withholdConfirm bool              // what is given up from now on is over only once proved
	unconfirmed     map[string]string // given up and not proved to be over, by tag: the node
}

func newHarness(t interface{ Fatalf(string, ...any) }) *harness {
	b := &harness{t: t, now: 1_000_000 * ms, offered: map[string]string{}, running: map[string]string{}, responses: map[string]ResponseKind{},
		mayHaveRun: map[string]bool{}, deadline: map[string]int64{}, drainedAt: map[string]int64{}, class: map[string]string{},
		unconfirmed: map[string]string{}}
	c, err := New(settings(), 7, b, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatalf("%v", err)
	}
	b.Dispatcher = c
	return b
}

func (b *harness) Offer(node string, o Offer) {
	_, over := b.responses[o.RequestID]
	at, drains := b.drainedAt[node]
	switch {
	case b.offered[o.RequestID] != "":
		b.t.Fatalf("%s: a second attempt is out", o.RequestID)
	case over || b.running[o.RequestID] != "":
		b.t.Fatalf("%s: an offer after the end", o.RequestID)
	case o.Class == "cut" && b.mayHaveRun[o.RequestID]:
		b.t.Fatalf("%s: may start twice", o.RequestID)
	case drains && b.now > at+2000*ms:
		b.t.Fatalf("%s: offered to %s, told to drain %d ms before", o.RequestID, node, (b.now-at)/ms)
	case !b.listFilter.assigned(node):
		b.t.Fatalf("%s: offered to %s, which is another orchestrator's", o.RequestID, node)
	case o.TimeoutUs <= 0 || b.now+o.TimeoutUs > b.deadline[o.RequestID]:
		b.t.Fatalf("%s: an offer that waits for %d", o.RequestID, o.TimeoutUs)
	}
	b.offered[o.RequestID] = node
	b.offers = append(b.offers, o.RequestID+"@"+node)
}

func (b *harness) CancelAttempt(node, tag string, _ bool) (sure bool) {
	if b.offered[tag] != node || b.unconfirmed[tag] != "" {
		b.t.Fatalf("%s: an attempt given up at %s is not there", tag, node)
	}
	b.mayHaveRun[tag] = true
	b.cancelled++
	if b.withholdConfirm {
		b.unconfirmed[tag] = node
		return false
	}
	delete(b.offered, tag)
	return true
}

// confirmCancel tells that an attempt that was given up is over.
func (b *harness) confirmCancel(tag string) {
	if node := b.unconfirmed[tag]; node != "" {
		delete(b.unconfirmed, tag)
		delete(b.offered, tag)
		b.CancelConfirmed(b.now, node, tag)
	}
}

func (b *harness) Release(node, tag string) {}
func (b *harness) Probe(string)             {}

func (b *harness) Respond(a Response) {
	b.received = append(b.received, a)
	switch a.Kind {
	case Completed, Migrated:
		if b.running[a.RequestID] == "" {
			b.t.Fatalf("%s: ended without having stood", a.RequestID)
		}
		delete(b.running, a.RequestID)
		return
	}
	if was, ok := b.responses[a.RequestID]; ok {
		b.t.Fatalf("%s: answered %v after %v", a.RequestID, a.Kind, was)
	}
	if b.now > b.deadline[a.RequestID] {
		b.t.Fatalf("%s: answered %d ms late", a.RequestID, (b.now-b.deadline[a.RequestID])/ms)
	}
	if a.Kind == Rejected && b.class[a.RequestID] == "cut" && b.mayHaveRun[a.RequestID] {
		b.t.Fatalf("%s: refused though it may have started", a.RequestID)
	}
	b.responses[a.RequestID] = a.Kind
}

func (b *harness) submit(tag, class, key string, waitMs int64) error {
	b.deadline[tag], b.class[tag] = b.now+waitMs*ms, class
	return b.Submit(b.now, b, Submission{RequestID: tag, Class: class, Key: key, TimeoutUs: waitMs * ms, Cores: 2, Memory: 4})
}

func (b *harness) updateWorkers(kind placement.ListKind, state placement.WorkerState, names ...string) {
	l := placement.WorkerList{Kind: kind}
	for _, n := range names {
		l.Entries = append(l.Entries, placement.Entry{Worker: n, Kind: "std", State: state, FreeCores: 32, FreeMemory: 64})
		if state == placement.Ready {
			delete(b.drainedAt, n)
		} else if _, ok := b.drainedAt[n]; !ok {
			b.drainedAt[n] = b.now
		}
	}
	b.UpdateWorkers(b.now, l)
}

func (b *harness) accept(tag string) {
	node := b.offered[tag]
	delete(b.offered, tag)
	b.running[tag], b.mayHaveRun[tag] = node, true
	b.AttemptAccepted(b.now, node, tag, "by "+node)
}

func (b *harness) endAttempt(tag string, st placement.Outcome) {
	node := b.offered[tag]
	if node == "" {
		b.TaskEnded(b.now, b.running[tag], tag, st, 0)
		return
	}
	delete(b.offered, tag)
	switch st {
	case placement.Rejected, placement.ConnectFailed, placement.NeverSent:
	default:
		b.mayHaveRun[tag] = true
	}
	b.TaskEnded(b.now, node, tag, st, 0)
}

// advance lets time go on, turn by turn, whenever the core asks for one.
func (b *harness) advance(d int64) {
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

// checkRunningTasks compares what is held at each node with the requests that take room there.
func (b *harness) checkRunningTasks() {
	held := map[string]int{}
	for _, requests := range []map[string]*request{b.requests, b.unresponsive} {
		for _, r := range requests {
			if _, silent := b.unresponsive[r.RequestID]; r.state.occupiesWorker() || silent && r == b.unresponsive[r.RequestID] {
				held[r.worker]++
			}
		}
	}
	for node := range b.tasksByWorker {
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
		b := newHarness(t)
		nodes := []string{"a", "b", "c"}
		b.updateWorkers(placement.ListFull, placement.Ready, nodes...)
		var tags []string
		withdrawn := map[string]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			tag := "-"
			if len(tags) > 0 {
				tag = rapid.SampledFrom(tags).Draw(t, "tag")
			}
			what := rapid.IntRange(0, 10).Draw(t, "what")
			if b.unconfirmed[tag] != "" && (what == 3 || what == 4) {
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
				if b.offered[tag] != "" {
					b.accept(tag)
				}
			case 4:
				st := rapid.SampledFrom([]placement.Outcome{placement.Completed, placement.Failed, placement.Rejected, placement.ConnectFailed,
					placement.Reset, placement.Cancelled, placement.NeverSent}).Draw(t, "status")
				b.endAttempt(tag, st)
				delete(b.running, tag)
			case 5:
				if b.Cancel(b.now, b, tag) != NotFound {
					withdrawn[tag] = true
					delete(b.running, tag)
				}
			case 6:
				node := rapid.SampledFrom(nodes).Draw(t, "node")
				state := rapid.SampledFrom([]placement.WorkerState{placement.Ready, placement.Draining, placement.Removed}).Draw(t, "state")
				b.updateWorkers(placement.ListDelta, state, node)
			case 7:
				b.AttemptAccepted(b.now, rapid.SampledFrom(nodes).Draw(t, "stray"), "nobody's", "")
			case 8:
				b.confirmCancel(tag)
			case 9:
				b.withholdConfirm = !b.withholdConfirm
			case 10:
				own := rapid.SampledFrom(append(nodes, "")).Draw(t, "own") // "": all
				b.SetAssignedWorkers(b.now, func(node string) bool { return own == "" || node == own })
			}
			b.advance(rapid.Int64Range(0, 1500).Draw(t, "ms") * ms)
			b.checkRunningTasks()
		}
		b.SetAssignedWorkers(b.now, nil)
		b.advance(10_000 * ms)
		b.checkRunningTasks()
		for _, tag := range tags {
			if _, ok := b.responses[tag]; !ok && !withdrawn[tag] {
				t.Fatalf("%s was never answered", tag)
			}
		}
	})
}

// An attempt that ran out of time is given up at its node before the next one.
func TestTimedOut(t *testing.T) {
	b := newHarness(t)
	b.updateWorkers(placement.ListFull, placement.Ready, "a", "b")
	b.submit("t1", "web", "k1", 5000)
	b.advance(10 * ms)
	b.accept("t1") // a quick answer, so that later ones are given up early
	b.submit("t2", "web", "k2", 5000)
	b.advance(3000 * ms)
	if len(b.offers) < 3 || b.cancelled != len(b.offers)-2 {
		t.Errorf("offers %v, %d given up", b.offers, b.cancelled)
	}
	// A yes that crossed the give-up is not passed on.
	late := "a"
	if b.offered["t2"] == "a" {
		late = "b"
	}
	b.AttemptAccepted(b.now, late, "t2", "late")
	if k, ok := b.responses["t2"]; ok && k == Started || len(b.received) != 1 {
		t.Errorf("told %v", b.received)
	}
}

// An attempt that was given up and may still be out holds back the next one, and
// nothing else: not the answer at its owner's time, nor its owner's withdrawal.
func TestUnprovedGiveUp(t *testing.T) {
	b := newHarness(t)
	b.updateWorkers(placement.ListFull, placement.Ready, "a", "b")
	b.submit("t0", "web", "k0", 5000)
	b.advance(10 * ms)
	b.accept("t0") // a quick answer, so that later ones are given up early
	b.withholdConfirm = true
	for _, tag := range []string{"t1", "t2", "t3", "t4"} {
		b.submit(tag, "web", "k"+tag, 2000)
	}
	b.advance(1000 * ms) // no second offer of any, or the bench fails
	if n := len(b.offers); n != 5 || len(b.unconfirmed) != 4 || b.OpenCount() != 4 {
		t.Fatalf("offers %v, given up %v, open %d", b.offers, b.unconfirmed, b.OpenCount())
	}
	node := b.unconfirmed["t1"]
	b.CancelConfirmed(b.now, "c", "t1") // another's word proves nothing
	b.advance(0)
	b.confirmCancel("t1")
	b.advance(0)
	if n := len(b.offers); n != 6 || b.offers[5] == "t1@"+node {
		t.Errorf("after the proof: offers %v", b.offers)
	}
	delete(b.unconfirmed, "t4")
	b.endAttempt("t4", placement.Reset) // its connection broke: a proof as well
	if b.advance(0); len(b.offers) != 7 {
		t.Errorf("after a reset: offers %v", b.offers)
	}
	b.confirmCancel("t1")
	if b.Cancel(b.now, b, "t2") != WasOpen {
		t.Error("t2 could not be withdrawn")
	}
	if !slices.ContainsFunc(b.events, func(e placement.Event) bool {
		d, ok := e.(placement.AttemptEnded)
		return ok && d.RequestID == "t2"
	}) {
		t.Errorf("the module does not hear of the end of t2's attempt: %v", b.events)
	}
	b.confirmCancel("t2")
	b.advance(2000 * ms)
	if k, ok := b.responses["t3"]; !ok || k != Rejected || b.OpenCount() != 0 {
		t.Errorf("t3 got %v, %d open", k, b.OpenCount())
	}
	b.confirmCancel("t3")
	if b.advance(2000 * ms); len(b.offers) > 8 {
		t.Errorf("offers after the end: %v", b.offers)
	}
}

// Count that stand end when their node has died, or has left the list for long.
func TestLostNodes(t *testing.T) {
	b := newHarness(t)
	b.updateWorkers(placement.ListFull, placement.Ready, "a")
	b.submit("t1", "web", "k1", 5000)
	b.advance(10 * ms)
	b.accept("t1")
	b.submit("t2", "web", "k2", 5000)
	b.advance(10 * ms)
	b.accept("t2")
	b.endAttempt("t2", placement.Completed)
	b.WorkerDied(b.now, "a")
	b.submit("t3", "web", "k3", 5000)
	b.advance(10 * ms)
	b.accept("t3")
	b.updateWorkers(placement.ListDelta, placement.Removed, "a")
	b.advance(1000 * ms)
	if n := b.RunningCount(); n != 1 {
		t.Fatalf("%d tasks stand just after the node left the list", n)
	}
	b.advance(5000 * ms)
	var over []string
	for _, a := range b.received {
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
	for name, end := range map[string]func(b *harness){
		"told":          func(b *harness) { b.TaskEnded(b.now, "a", "t1", placement.Cancelled, 0) },
		"its node died": func(b *harness) { b.WorkerDied(b.now, "a") },
		"silent for long": func(b *harness) {
			for range unresponsiveRetention / (100 * ms) {
				if len(b.unresponsive) > 0 {
					b.advance(100 * ms)
				}
			}
		},
		"its node left and came back": func(b *harness) {
			b.updateWorkers(placement.ListDelta, placement.Removed, "a")
			b.advance(1000 * ms)
			b.updateWorkers(placement.ListDelta, placement.Ready, "a")
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			b.updateWorkers(placement.ListFull, placement.Ready, "a")
			submit := func(tag string) {
				b.deadline[tag], b.class[tag] = b.now+90_000*ms, "apart"
				s := Submission{RequestID: tag, Class: "apart", Key: "k", Program: 7, TimeoutUs: 90_000 * ms, Cores: 2, Memory: 4, Resumable: true}
				if err := b.Submit(b.now, b, s); err != nil {
					t.Fatal(err)
				}
				b.advance(10 * ms)
			}
			submit("t1")
			b.accept("t1")
			if b.Cancel(b.now, nil, "t1") != WasRunning {
				t.Fatal("it does not stand")
			}
			b.advance(2000 * ms)
			submit("t2")
			if b.advance(2000 * ms); len(b.offers) != 1 || !b.IsTerminating("t1") || b.TasksOn("a").Count != 1 {
				t.Fatalf("offers %v, held %v", b.offers, b.TasksOn("a"))
			}
			if err := b.submit("t1", "web", "k1", 1000); !errors.Is(err, ErrRequestIDInUse) {
				t.Errorf("its tag again: %v", err)
			}
			if err := b.Submit(b.now, b, Submission{RequestID: "t1", Class: "apart", Key: "k", RunningOn: "a"}); err != nil || b.Counts().Adopted != 0 {
				t.Errorf("handed in as running: %v, %d", err, b.Counts().Adopted)
			}
			end(b)
			if b.advance(100 * ms); fmt.Sprint(b.offers) != "[t1@a t2@a]" || b.IsTerminating("t1") || len(b.unresponsive) > 0 {
				t.Errorf("offers %v, %d set aside", b.offers, len(b.unresponsive))
			}
		})
	}
}

// A task found running needs no answer, and what its owner takes back is owed
// none either.
func TestFoundRunning(t *testing.T) {
	b := newHarness(t)
	b.updateWorkers(placement.ListFull, placement.Ready, "a")
	for _, tag := range []string{"t1", "t2"} {
		for range 2 { // told twice, as the orchestrator may hold it already
			if err := b.Submit(b.now, b, Submission{RequestID: tag, Class: "cut", Key: tag, Cores: 1, Memory: 1, RunningOn: "a"}); err != nil {
				t.Fatal(err)
			}
		}
		b.running[tag] = "a"
	}
	b.advance(100 * ms)
	if b.Cancel(b.now, nil, "t1") != WasRunning {
		t.Error("t1 did not stand")
	}
	b.TaskEnded(b.now, "a", "t1", placement.Cancelled, 0)
	b.endAttempt("t2", placement.Completed)
	b.advance(100 * ms)
	if len(b.received) != 1 || b.received[0].RequestID != "t2" || b.received[0].Kind != Completed {
		t.Errorf("told %v", b.received)
	}
	if c := b.Counts(); c.Adopted != 2 || c.Requests != 0 {
		t.Errorf("counts %+v", c)
	}
}

// Guards hold whatever the module asks for.
func TestGuards(t *testing.T) {
	b := newHarness(t)
	b.updateWorkers(placement.ListFull, placement.Ready, "a", "b")
	b.submit("t1", "cut", "k1", 5000)
	b.advance(10 * ms)
	r := b.find("t1")
	b.act(placement.Place{RequestID: "t1", Worker: "b"}) // one is out
	b.endAttempt("t1", placement.Failed)
	b.act(placement.Place{RequestID: "t1", Worker: "b"}) // it may have started
	b.act(placement.Reject{RequestID: "t1"})             // and can't be refused
	b.act(placement.Place{RequestID: "t1", Worker: "b"}) // it is over
	b.submit("t2", "web", "k2", 5000)
	b.updateWorkers(placement.ListDelta, placement.Draining, "b")
	b.now += 1900 * ms
	b.Dispatcher.now = b.now
	b.act(placement.Place{RequestID: "t2", Worker: "b"}) // told to drain long before
	if len(b.offers) != 1 || b.responses["t1"] != Failed || r.state != stateRemoved || b.Counts().Blocked != 3 {
		t.Errorf("offers %v, answer %v, counts %+v", b.offers, b.responses["t1"], b.Counts())
	}
}

// What only the module has a use for reaches it: whose task it is, how long it runs, that
// it came before.
func TestTaskToldWhole(t *testing.T) {
	b := newHarness(t)
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
		b := newHarness(t)
		ready := func(name, zone string, cell int) placement.Entry {
			return placement.Entry{Worker: name, Kind: "std", Zone: zone, Cell: cell, FreeCores: 32, FreeMemory: 64}
		}
		b.UpdateWorkers(b.now, placement.WorkerList{Kind: placement.ListFull, Entries: []placement.Entry{ready("a", "h1", 1)}})
		b.submit("t1", c.class, "k1", 2000)
		b.advance(10 * ms)
		at := b.now - 10*ms
		b.UpdateWorkers(b.now, placement.WorkerList{Entries: []placement.Entry{ready("near", "h1", 1), ready("hall", "h1", 2), ready("far", "h2", 3)}})
		if b.withholdConfirm = true; b.offered["t1"] != "a" {
			t.Fatalf("%s: offers %v", c.class, b.offers)
		}
		b.TaskEnded(b.now, "a", "t1", placement.Reset, 0)
		for node, leaves := range c.leaves {
			if err := b.CheckOffer(at+699*ms, node, "t1"); (err == nil) != leaves {
				t.Errorf("%s to %s in the window: %v", c.class, node, err)
			}
			if err := b.CheckOffer(at+700*ms, node, "t1"); (err == nil) != (leaves && b.effects[c.class] != placement.Keyed) {
				t.Errorf("%s to %s past the window: %v", c.class, node, err)
			}
		}
		b.ObserveTurn(200 * ms) // what is placed leaves at the end of a turn
		for passed, open := range map[int64]bool{499 * ms: true, 500 * ms: b.effects[c.class] != placement.Keyed} {
			if err := b.CheckOffer(at+passed, "a", "t1"); (err == nil) != (open && c.leaves["a"]) {
				t.Errorf("%s after %d ms, under long turns: %v", c.class, passed/ms, err)
			}
		}
		r := b.requests["t1"]
		if b.rejectOrFail(r); b.responses["t1"] != c.answer {
			t.Errorf("%s: answered %v", c.class, b.responses["t1"])
		}
	}
}

// endingCases are the ways in which a request or a task ends.
var endingCases = map[string]func(b *harness, tag string){
	"withdrawn":           func(b *harness, tag string) { b.Cancel(b.now, b, tag) },
	"refused by its node": func(b *harness, tag string) { b.endAttempt(tag, placement.Rejected); b.Cancel(b.now, b, tag) },
	"an error":            func(b *harness, tag string) { b.endAttempt(tag, placement.Failed); b.Cancel(b.now, b, tag) },
	"out of time":         func(b *harness, _ string) { b.advance(3000 * ms) },
	"out of time and not proved": func(b *harness, tag string) {
		b.withholdConfirm = true
		b.advance(3000 * ms)
		b.confirmCancel(tag)
		b.withholdConfirm = false
	},
	"stood and ended": func(b *harness, tag string) {
		b.accept(tag)
		b.endAttempt(tag, placement.Completed)
		delete(b.running, tag)
	},
	"released": func(b *harness, tag string) {
		b.accept(tag)
		b.Cancel(b.now, b, tag)
		b.advance(1000 * ms)
		b.TaskEnded(b.now, b.running[tag], tag, placement.Cancelled, 0)
		delete(b.running, tag)
	},
	"its node died":            func(b *harness, tag string) { b.accept(tag); b.WorkerDied(b.now, b.running[tag]) },
	"its connection is closed": func(b *harness, tag string) { b.Reject(b.now, b, tag) },
}

// Of what has ended, in whatever way, nothing is kept.
func TestNothingStays(t *testing.T) {
	for name, end := range endingCases {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			b.updateWorkers(placement.ListFull, placement.Ready, "a", "b")
			for i := range 200 {
				tag := fmt.Sprintf("%016x", i+1)
				b.submit(tag, []string{"web", "cut"}[i%2], "k"+tag, 2000)
				b.advance(10 * ms)
				if b.offered[tag] == "" {
					t.Fatalf("%s was not offered; offers %v", tag, b.offers)
				}
				end(b, tag)
				b.advance(10 * ms)
				clear(b.offered)
			}
			c := b.Dispatcher
			if len(c.deadlines) > 0 {
				t.Errorf("%d times to come", len(c.deadlines))
			}
			b.advance(20_000 * ms)
			if n := len(c.requests) + len(c.latestByKey) + len(c.aliases) + len(c.responses.byRequestID) + len(c.deadlines) + len(c.unresponsive) + len(c.tasksByWorker) + c.pendingCount; n > 0 || len(c.timers) > 1 {
				t.Errorf("%d requests, %d keys, %d aliases, %d last words, %d times, %d wait, %d bells", len(c.requests), len(c.latestByKey),
					len(c.aliases), len(c.responses.byRequestID), len(c.deadlines), c.pendingCount, len(c.timers))
			}
		})
	}
}
