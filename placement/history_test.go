package placement

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"runtime/debug"
	"slices"
	"testing"
)

// This file draws fleets and histories of events from a seed, for tests that hold for
// every history.

// condition is what a history is mostly like.
type condition int

const (
	mostlyWell    condition = iota
	mostlyFull              // hardly any worker has room
	mostlyFailing           // most attempts fail
	mostlyCold              // most machines came up just now
	mostlyIdle              // many machines are equally empty
	conditions              // how many there are
)

// The largest of what is drawn.
const (
	historyMachines = 600
	historySteps    = 60
	historyBurst    = 24
	historyPrograms = 12
)

// history is a placer, what is known outside of it, and the draw of what comes next.
type history struct {
	t         *testing.T
	p         *Scheduler
	seed      uint64
	steps     int // so far
	rng       *rand.Rand
	condition condition
	now       int64
	entries   []Entry
	index     map[string]int  // of entries, by name
	attempts  map[string]int  // by ticket: how many were made
	asked     map[string]Task // by ticket: not ended
	out       []Place         // attempts without an answer
	running   []Place         // accepted
	probed    []string        // machines that were asked for their load
	tickets   int
	level     float64 // share of the machines that is asked for
	stepCount int
	record    func(now int64, events []Event) // what is handed over, or nil
}

func newHistory(t *testing.T, seed uint64) *history {
	t.Helper()
	h := &history{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 0)), now: 1000 * second, index: map[string]int{},
		attempts: map[string]int{}, asked: map[string]Task{}}
	h.condition = condition(h.rng.IntN(int(conditions)))
	h.level = [conditions]float64{0.5, 1, 0.6, 0.5, 0}[h.condition]
	p, err := New(h.settings(), seed)
	if err != nil {
		t.Fatal(err)
	}
	h.p = p
	machines := int(math.Exp(h.rng.Float64()*math.Log(historyMachines)) + 0.5)
	for i := range machines {
		name := fmt.Sprint("m", i)
		h.index[name] = i
		h.entries = append(h.entries, h.drawEntry(name, i/4))
	}
	h.stepCount = 10 + h.rng.IntN(historySteps)
	h.handle([]Event{WorkerList{Kind: ListKind(1 + h.rng.IntN(2)), Entries: slices.Clone(h.entries)}})
	return h
}

// settings are drawn around those of the other tests, whose classes are of all sorts.
func (h *history) settings() Settings {
	s := testSettings()
	s.FleetSize = []int{1, 2, 9, 60}[h.rng.IntN(4)]
	s.SelfIndex = h.rng.IntN(s.FleetSize)
	s.HasView = h.chance(0.92)
	s.AcceptMeansRunning = h.chance(0.3)
	s.Probes = h.chance(0.3)
	s.Pings, s.PollsDiscovery = true, h.chance(0.5)
	s.ReportsUsage = h.chance(0.3)
	s.ReportsFree = true
	s.CoresOvercommit = []float64{1, 1, 1.5}[h.rng.IntN(3)]
	s.MemoryOvercommit = s.CoresOvercommit
	s.SlowStartOffers = []float64{0, 1, 8, 25, 200}[h.rng.IntN(5)]
	s.ColdStartRate = 0.2
	s.MaxAttempts = []int{0, 3, 3, 6}[h.rng.IntN(4)]
	s.UnitCores, s.UnitMemory = 2, 4
	s.OverQuotaWeight = 0.5
	s.Tenants = []Tenant{{"small", 40}, {"large", 400}}
	for i := range s.Classes {
		s.Classes[i].DeadlineUs = 5 * second
		if s.Classes[i].Spread != ScopeNone && h.chance(0.5) {
			s.Classes[i].MaxPerDomain = 3
		}
	}
	return s
}

func (h *history) chance(p float64) bool { return h.rng.Float64() < p }

// pick draws an index by weights.
func (h *history) pick(weights ...int) int {
	sum := 0
	for _, w := range weights {
		sum += w
	}
	draw := h.rng.IntN(sum)
	for i, w := range weights {
		if draw < w {
			return i
		}
		draw -= w
	}
	return 0
}

// drawEntry draws what the list says of a machine.
func (h *history) drawEntry(name string, cell int) Entry {
	e := Entry{Worker: name, Cell: cell, Zone: fmt.Sprint("z", cell%4), State: WorkerState(h.pick(94, 3, 3))}
	kinds := h.p.settings.Kinds
	kind := kinds[h.rng.IntN(len(kinds))]
	e.Kind = kind.Name
	if h.chance(0.03) {
		e.Kind = "unknown"
	}
	if h.chance([conditions]float64{0.05, 0.05, 0.05, 0.7, 0.02}[h.condition]) {
		e.StartedAtUs = h.now - h.rng.Int64N(12*second)
	}
	return h.drawRoom(e, kind)
}

// drawRoom draws the room that the list shows, in quarters so that ties are common.
func (h *history) drawRoom(e Entry, kind Kind) Entry {
	quarter := func(v float64) float64 { return math.Round(v*4) / 4 }
	asked := h.level
	if h.condition != mostlyIdle || h.chance(0.1) {
		asked += (h.rng.Float64() - 0.5) * 0.3
	}
	e.FreeCores = quarter(kind.Cores * (1 - asked))
	e.FreeMemory = quarter(kind.Memory * (1 - asked*(0.8+0.4*h.rng.Float64())))
	if h.condition == mostlyIdle {
		e.FreeMemory = kind.Memory
	}
	return e
}

// kindOf is the kind of an entry, or the first one where that is unknown.
func (h *history) kindOf(e Entry) Kind {
	for _, k := range h.p.settings.Kinds {
		if k.Name == e.Kind {
			return k
		}
	}
	return h.p.settings.Kinds[0]
}

// step draws the next time and events, hands them over and returns the actions.
func (h *history) step() []Action {
	h.now += h.drawPause()
	var events []Event
	for range 1 + h.rng.IntN(4) {
		events = append(events, h.drawEvents()...)
	}
	return h.handle(events)
}

func (h *history) drawPause() int64 {
	most := []int64{5 * ms, 100 * ms, 2 * second, 10 * second, 60 * second}[h.pick(40, 30, 20, 8, 2)]
	return h.rng.Int64N(most) + 1
}

// handle hands over events and notes what follows from the actions. A panic fails the
// test with what replays it.
func (h *history) handle(events []Event) []Action {
	defer func() {
		if r := recover(); r != nil {
			h.t.Fatalf("seed %d, step %d, %d machines: panic: %v\n%s", h.seed, h.steps, len(h.entries), r, debug.Stack())
		}
	}()
	h.steps++
	if h.record != nil {
		h.record(h.now, events)
	}
	actions := h.p.Handle(h.now, events)
	for _, a := range actions {
		switch a := a.(type) {
		case Place:
			h.attempts[a.RequestID]++
			h.out = append(h.out, a)
		case Probe:
			h.probed = append(h.probed, a.Worker)
		case Reject:
			delete(h.asked, a.RequestID)
		case Fail:
			delete(h.asked, a.RequestID)
		}
	}
	return actions
}

func (h *history) drawEvents() []Event {
	switch h.pick(25, 40, 14, 4, 12, 5, 3, 2, 2, 3, 4) {
	case 0:
		return h.drawRequests()
	case 1:
		return h.drawOutcomes()
	case 2:
		return []Event{h.drawDelta()}
	case 3:
		return []Event{h.drawList()}
	case 4:
		return h.drawNotes()
	case 5:
		return h.drawSampled()
	case 6:
		return []Event{h.drawPressure()}
	case 7:
		return []Event{WorkerReachable{h.anyMachine()}}
	case 8:
		return []Event{ClientCancelled{h.anyTicket()}}
	case 9:
		return []Event{TimerFired{"wake"}}
	}
	return []Event{h.drawExisting()}
}

func (h *history) anyMachine() string { return h.entries[h.rng.IntN(len(h.entries))].Worker }

// anyTicket is of a task that has not ended, or of none.
func (h *history) anyTicket() string {
	tickets := slices.Sorted(maps.Keys(h.asked))
	if len(tickets) == 0 {
		return "none"
	}
	return tickets[h.rng.IntN(len(tickets))]
}

// drawTask draws a task of any class and shape.
func (h *history) drawTask() Task {
	h.tickets++
	cores := []float64{.25, .5, 1, 2, 4, 8, 16, 30, 50, 90}[h.pick(5, 15, 25, 20, 15, 8, 5, 3, 2, 1)]
	memory := []float64{0.25, 1, 2, 8}[h.pick(1, 3, 5, 2)]
	classes := h.p.settings.Classes
	x := Task{
		RequestID: fmt.Sprint("t", h.tickets), Class: classes[h.rng.IntN(len(classes))].Name, Cores: cores, Memory: cores * memory,
		DeadlineUs: h.now + second/2 + h.rng.Int64N(10*second), Program: uint64(h.rng.IntN(historyPrograms)),
		Tenant: []string{"small", "large", "none"}[h.rng.IntN(3)], Retry: h.chance(0.1),
	}
	if h.chance(0.3) {
		x.Program = 0
	}
	if h.chance(0.6) {
		x.HasRunHint, x.ExpectedRunUs = true, h.rng.Int64N(200*second)
	}
	if h.chance(0.2) {
		x.QueuedSinceUs = h.now - h.rng.Int64N(5*second)
	}
	return x
}

func (h *history) drawRequests() (events []Event) {
	x := h.drawTask()
	n := 1 + h.rng.IntN(3)
	same := h.chance(0.1)
	if same {
		n = 1 + h.rng.IntN(historyBurst)
	}
	for range n {
		h.asked[x.RequestID] = x
		events = append(events, Request{x})
		next := h.drawTask()
		if same {
			ticket := next.RequestID
			next = x
			next.RequestID = ticket
		}
		x = next
	}
	return events
}

// drawExisting draws a task that was found running, at times on a machine that no list
// has named.
func (h *history) drawExisting() Event {
	x := h.drawTask()
	h.asked[x.RequestID] = x
	h.attempts[x.RequestID] = 1
	a := Place{RequestID: x.RequestID, Worker: h.anyMachine()}
	if h.chance(0.4) {
		a.Worker = fmt.Sprint("unlisted", h.rng.IntN(5))
	}
	h.running = append(h.running, a)
	return Adopted{x, a.Worker}
}

// drawOutcomes draws answers to attempts that are out, and ends of running tasks.
func (h *history) drawOutcomes() (events []Event) {
	for range 1 + h.rng.IntN(3) {
		if len(h.out) > 0 && h.chance(0.7) {
			i := h.rng.IntN(len(h.out))
			a := h.out[i]
			h.out = slices.Delete(h.out, i, i+1)
			if h.chance(0.05) {
				continue // it is never answered
			}
			events = append(events, h.drawAnswer(a))
		} else if len(h.running) > 0 {
			i := h.rng.IntN(len(h.running))
			a := h.running[i]
			h.running = slices.Delete(h.running, i, i+1)
			events = append(events, h.drawEnd(a))
		}
	}
	return events
}

func (h *history) drawAnswer(a Place) Event {
	attempt, rtt := h.attempts[a.RequestID]-1, 1+h.rng.Int64N(30*ms)
	accepted := 70
	if h.condition == mostlyFailing {
		accepted = 10
	}
	done := AttemptEnded{RequestID: a.RequestID, Attempt: attempt, Worker: a.Worker, RTTUs: rtt, Final: h.chance(0.05)}
	switch h.pick(accepted, 4, 12, 5, 4, 4, 2, 2) {
	case 0:
		h.running = append(h.running, a)
		return Accepted{RequestID: a.RequestID, Attempt: attempt, Worker: a.Worker, RTTUs: rtt}
	case 1:
		done.Outcome = Failed
	case 2:
		done.Outcome = Rejected
		done.Cause = []Cause{CauseCores, CauseMemory, CauseQueue, CauseWrongWorker}[h.rng.IntN(4)]
	case 3:
		done.Outcome = TimedOut
	case 4:
		done.Outcome = ConnectFailed
	case 5:
		done.Outcome = Reset
	case 6:
		done.Outcome = Cancelled
	case 7:
		done.Outcome = NeverSent
	}
	return done
}

func (h *history) drawEnd(a Place) Event {
	done := AttemptEnded{RequestID: a.RequestID, Attempt: h.attempts[a.RequestID] - 1, Worker: a.Worker, Outcome: Completed, Final: h.chance(0.5)}
	delete(h.asked, a.RequestID)
	switch h.pick(75, 10, 10, 5) {
	case 1:
		done.Outcome = Reset
		done.Cause = []Cause{CauseUnknown, CauseEvicted, CausePreempted, CauseDrained}[h.rng.IntN(4)]
	case 2:
		done.Outcome = Failed
	case 3:
		done.Outcome = Cancelled
	}
	return done
}

// drawDelta draws changes of a few machines, or at times of a part of the fleet that
// drains, is lost or comes back.
func (h *history) drawDelta() Event {
	var changed []Entry
	n := 1 + h.rng.IntN(5)
	together, state := h.chance(0.08), WorkerState(h.pick(50, 25, 25))
	if together {
		n = 1 + len(h.entries)/4
	}
	for range n {
		i := h.rng.IntN(len(h.entries))
		e := h.drawRoom(h.entries[i], h.kindOf(h.entries[i]))
		if together {
			e.State = state
		} else {
			e.State = WorkerState(h.pick(92, 4, 4))
		}
		if h.chance(0.04) || together && state == Ready {
			e.StartedAtUs = h.now - h.rng.Int64N(second)
		}
		h.entries[i] = e
		e.Uncordoned = h.chance(0.02)
		changed = append(changed, e)
	}
	return WorkerList{Kind: ListDelta, Entries: changed}
}

func (h *history) drawList() Event {
	l := WorkerList{Kind: []ListKind{ListFull, ListCached, ListFailed}[h.rng.IntN(3)]}
	if l.Kind == ListFailed {
		return l
	}
	missing := 0.02
	if h.chance(0.1) {
		missing = 0.5
	}
	for _, e := range h.entries {
		if !h.chance(missing) {
			l.Entries = append(l.Entries, e)
		}
	}
	return l
}

func (h *history) drawNotes() (events []Event) {
	for range min(len(h.running), 1+h.rng.IntN(4)) {
		a := h.running[h.rng.IntN(len(h.running))]
		n := TaskReport{RequestID: a.RequestID, Attempt: h.attempts[a.RequestID] - 1, Worker: a.Worker, Kind: ReportKind(1 + h.rng.IntN(5))}
		x := h.asked[a.RequestID]
		switch n.Kind {
		case ReportCores:
			n.Value = x.Cores * (0.3 + h.rng.Float64())
		case ReportMemory:
			n.Value = x.Memory * (0.3 + h.rng.Float64())
		default:
			n.Value = h.rng.Float64()*0.6 + 0.45
		}
		events = append(events, n)
	}
	return events
}

// drawSampled draws the answer to a probe, or a report that nobody asked for.
func (h *history) drawSampled() []Event {
	machine := h.anyMachine()
	if len(h.probed) > 0 && h.chance(0.8) {
		machine, h.probed = h.probed[0], h.probed[1:]
	}
	e := ProbeResult{Worker: machine, Outcome: Completed, RTTUs: ms}
	if h.chance(0.2) {
		e.Outcome = TimedOut
	}
	kind := h.kindOf(h.entries[h.index[machine]])
	e.Load = Load{kind.Cores * (1 - h.level*h.rng.Float64()*1.2), kind.Memory * (1 - h.level*h.rng.Float64()*1.2),
		h.rng.Float64() * 1.1, float64(h.rng.IntN(6))}
	switch h.pick(80, 10, 5, 5) {
	case 1:
		e.Load.FreeCores, e.Load.FreeMemory = math.NaN(), math.NaN()
	case 2:
		e.Load.Utilization, e.Load.Queued = math.NaN(), math.NaN()
	case 3:
		e.Load.FreeCores, e.Load.Queued = 1e9, 1e9
	}
	return []Event{e}
}

func (h *history) drawPressure() Event {
	e := Backpressure{}
	if h.chance(0.6) {
		e.ReleaseRate = h.rng.Float64() * 200
	}
	if h.chance(0.4) {
		for range h.p.settings.Classes {
			e.Reserved = append(e.Reserved, float64(h.rng.IntN(3)))
		}
	}
	return e
}

// probe draws a task to compare choices for. It is not one of the placer's: what came
// before it, attempts and errors, is made up.
func (h *history) probe() *taskInfo {
	x := h.drawTask()
	class := h.p.classIndexes[x.Class]
	t := &taskInfo{Task: x, classIndex: class, arrivedAt: h.now - h.rng.Int64N(3*second), queuedSince: h.now}
	t.priority = []float64{0, 0.01, 1, 1e6}[h.rng.IntN(4)]
	if h.chance(0.5) {
		t.priority = h.p.computePriority(t)
	}
	some := func() *workerInfo { return h.p.sorted[h.rng.IntN(len(h.p.sorted))] }
	for len(h.p.sorted) > 0 && len(t.attempts) < 3 && h.chance(0.25) {
		t.attempts = append(t.attempts, &attempt{worker: some(), sentAt: h.now - h.rng.Int64N(4*second), ended: true, failed: h.chance(0.5)})
	}
	if len(t.attempts) > 0 && h.chance(0.5) {
		t.mayHaveRun = t.attempts[0]
	}
	return t
}
