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
	scheduler, err := New(h.settings(), seed)
	if err != nil {
		t.Fatal(err)
	}
	h.p = scheduler
	workers := int(math.Exp(h.rng.Float64()*math.Log(historyMachines)) + 0.5)
	for i := range workers {
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
	for _, weight := range weights {
		sum += weight
	}
	draw := h.rng.IntN(sum)
	for i, weight := range weights {
		if draw < weight {
			return i
		}
		draw -= weight
	}
	return 0
}

// drawEntry draws what the list says of a machine.
func (h *history) drawEntry(name string, cell int) Entry {
	entry := Entry{Worker: name, Cell: cell, Zone: fmt.Sprint("z", cell%4), State: WorkerState(h.pick(94, 3, 3))}
	kinds := h.p.settings.Kinds
	kind := kinds[h.rng.IntN(len(kinds))]
	entry.Kind = kind.Name
	if h.chance(0.03) {
		entry.Kind = "unknown"
	}
	if h.chance([conditions]float64{0.05, 0.05, 0.05, 0.7, 0.02}[h.condition]) {
		entry.StartedAtUs = h.now - h.rng.Int64N(12*second)
	}
	return h.drawRoom(entry, kind)
}

// drawRoom draws the room that the list shows, in quarters so that ties are common.
func (h *history) drawRoom(entry Entry, kind Kind) Entry {
	quarter := func(v float64) float64 { return math.Round(v*4) / 4 }
	requested := h.level
	if h.condition != mostlyIdle || h.chance(0.1) {
		requested += (h.rng.Float64() - 0.5) * 0.3
	}
	entry.FreeCores = quarter(kind.Cores * (1 - requested))
	entry.FreeMemory = quarter(kind.Memory * (1 - requested*(0.8+0.4*h.rng.Float64())))
	if h.condition == mostlyIdle {
		entry.FreeMemory = kind.Memory
	}
	return entry
}

// kindOf is the kind of an entry, or the first one where that is unknown.
func (h *history) kindOf(entry Entry) Kind {
	for _, kind := range h.p.settings.Kinds {
		if kind.Name == entry.Kind {
			return kind
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
	longest := []int64{5 * ms, 100 * ms, 2 * second, 10 * second, 60 * second}[h.pick(40, 30, 20, 8, 2)]
	return h.rng.Int64N(longest) + 1
}

// handle hands over events and notes what follows from the actions. A panic fails the
// test with what replays it.
func (h *history) handle(events []Event) []Action {
	defer func() {
		if panicked := recover(); panicked != nil {
			h.t.Fatalf("seed %d, step %d, %d machines: panic: %v\n%s", h.seed, h.steps, len(h.entries), panicked, debug.Stack())
		}
	}()
	h.steps++
	if h.record != nil {
		h.record(h.now, events)
	}
	actions := h.p.Handle(h.now, events)
	for _, action := range actions {
		switch action := action.(type) {
		case Place:
			h.attempts[action.RequestID]++
			h.out = append(h.out, action)
		case Probe:
			h.probed = append(h.probed, action.Worker)
		case Reject:
			delete(h.asked, action.RequestID)
		case Fail:
			delete(h.asked, action.RequestID)
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
	requestIDs := slices.Sorted(maps.Keys(h.asked))
	if len(requestIDs) == 0 {
		return "none"
	}
	return requestIDs[h.rng.IntN(len(requestIDs))]
}

// drawTask draws a task of any class and shape.
func (h *history) drawTask() Task {
	h.tickets++
	cores := []float64{.25, .5, 1, 2, 4, 8, 16, 30, 50, 90}[h.pick(5, 15, 25, 20, 15, 8, 5, 3, 2, 1)]
	memory := []float64{0.25, 1, 2, 8}[h.pick(1, 3, 5, 2)]
	classes := h.p.settings.Classes
	task := Task{
		RequestID: fmt.Sprint("t", h.tickets), Class: classes[h.rng.IntN(len(classes))].Name, Cores: cores, Memory: cores * memory,
		DeadlineUs: h.now + second/2 + h.rng.Int64N(10*second), Program: uint64(h.rng.IntN(historyPrograms)),
		Tenant: []string{"small", "large", "none"}[h.rng.IntN(3)], Retry: h.chance(0.1),
	}
	if h.chance(0.3) {
		task.Program = 0
	}
	if h.chance(0.6) {
		task.HasRunHint, task.ExpectedRunUs = true, h.rng.Int64N(200*second)
	}
	if h.chance(0.2) {
		task.QueuedSinceUs = h.now - h.rng.Int64N(5*second)
	}
	return task
}

func (h *history) drawRequests() (events []Event) {
	task := h.drawTask()
	n := 1 + h.rng.IntN(3)
	burst := h.chance(0.1)
	if burst {
		n = 1 + h.rng.IntN(historyBurst)
	}
	for range n {
		h.asked[task.RequestID] = task
		events = append(events, Request{task})
		next := h.drawTask()
		if burst {
			requestID := next.RequestID
			next = task
			next.RequestID = requestID
		}
		task = next
	}
	return events
}

// drawExisting draws a task that was found running, at times on a machine that no list
// has named.
func (h *history) drawExisting() Event {
	task := h.drawTask()
	h.asked[task.RequestID] = task
	h.attempts[task.RequestID] = 1
	place := Place{RequestID: task.RequestID, Worker: h.anyMachine()}
	if h.chance(0.4) {
		place.Worker = fmt.Sprint("unlisted", h.rng.IntN(5))
	}
	h.running = append(h.running, place)
	return Adopted{task, place.Worker}
}

// drawOutcomes draws answers to attempts that are out, and ends of running tasks.
func (h *history) drawOutcomes() (events []Event) {
	for range 1 + h.rng.IntN(3) {
		if len(h.out) > 0 && h.chance(0.7) {
			i := h.rng.IntN(len(h.out))
			place := h.out[i]
			h.out = slices.Delete(h.out, i, i+1)
			if h.chance(0.05) {
				continue // it is never answered
			}
			events = append(events, h.drawAnswer(place))
		} else if len(h.running) > 0 {
			i := h.rng.IntN(len(h.running))
			place := h.running[i]
			h.running = slices.Delete(h.running, i, i+1)
			events = append(events, h.drawEnd(place))
		}
	}
	return events
}

func (h *history) drawAnswer(place Place) Event {
	attempt, rtt := h.attempts[place.RequestID]-1, 1+h.rng.Int64N(30*ms)
	accepted := 70
	if h.condition == mostlyFailing {
		accepted = 10
	}
	ended := AttemptEnded{RequestID: place.RequestID, Attempt: attempt, Worker: place.Worker, RTTUs: rtt, Final: h.chance(0.05)}
	switch h.pick(accepted, 4, 12, 5, 4, 4, 2, 2) {
	case 0:
		h.running = append(h.running, place)
		return Accepted{RequestID: place.RequestID, Attempt: attempt, Worker: place.Worker, RTTUs: rtt}
	case 1:
		ended.Outcome = Failed
	case 2:
		ended.Outcome = Rejected
		ended.Cause = []Cause{CauseCores, CauseMemory, CauseQueue, CauseWrongWorker}[h.rng.IntN(4)]
	case 3:
		ended.Outcome = TimedOut
	case 4:
		ended.Outcome = ConnectFailed
	case 5:
		ended.Outcome = Reset
	case 6:
		ended.Outcome = Cancelled
	case 7:
		ended.Outcome = NeverSent
	}
	return ended
}

func (h *history) drawEnd(place Place) Event {
	ended := AttemptEnded{RequestID: place.RequestID, Attempt: h.attempts[place.RequestID] - 1, Worker: place.Worker, Outcome: Completed, Final: h.chance(0.5)}
	delete(h.asked, place.RequestID)
	switch h.pick(75, 10, 10, 5) {
	case 1:
		ended.Outcome = Reset
		ended.Cause = []Cause{CauseUnknown, CauseEvicted, CausePreempted, CauseDrained}[h.rng.IntN(4)]
	case 2:
		ended.Outcome = Failed
	case 3:
		ended.Outcome = Cancelled
	}
	return ended
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
		entry := h.drawRoom(h.entries[i], h.kindOf(h.entries[i]))
		if together {
			entry.State = state
		} else {
			entry.State = WorkerState(h.pick(92, 4, 4))
		}
		if h.chance(0.04) || together && state == Ready {
			entry.StartedAtUs = h.now - h.rng.Int64N(second)
		}
		h.entries[i] = entry
		entry.Uncordoned = h.chance(0.02)
		changed = append(changed, entry)
	}
	return WorkerList{Kind: ListDelta, Entries: changed}
}

func (h *history) drawList() Event {
	list := WorkerList{Kind: []ListKind{ListFull, ListCached, ListFailed}[h.rng.IntN(3)]}
	if list.Kind == ListFailed {
		return list
	}
	missing := 0.02
	if h.chance(0.1) {
		missing = 0.5
	}
	for _, entry := range h.entries {
		if !h.chance(missing) {
			list.Entries = append(list.Entries, entry)
		}
	}
	return list
}

func (h *history) drawNotes() (events []Event) {
	for range min(len(h.running), 1+h.rng.IntN(4)) {
		place := h.running[h.rng.IntN(len(h.running))]
		report := TaskReport{RequestID: place.RequestID, Attempt: h.attempts[place.RequestID] - 1, Worker: place.Worker, Kind: ReportKind(1 + h.rng.IntN(5))}
		task := h.asked[place.RequestID]
		switch report.Kind {
		case ReportCores:
			report.Value = task.Cores * (0.3 + h.rng.Float64())
		case ReportMemory:
			report.Value = task.Memory * (0.3 + h.rng.Float64())
		default:
			report.Value = h.rng.Float64()*0.6 + 0.45
		}
		events = append(events, report)
	}
	return events
}

// drawSampled draws the answer to a probe, or a report that nobody asked for.
func (h *history) drawSampled() []Event {
	worker := h.anyMachine()
	if len(h.probed) > 0 && h.chance(0.8) {
		worker, h.probed = h.probed[0], h.probed[1:]
	}
	event := ProbeResult{Worker: worker, Outcome: Completed, RTTUs: ms}
	if h.chance(0.2) {
		event.Outcome = TimedOut
	}
	kind := h.kindOf(h.entries[h.index[worker]])
	event.Load = Load{kind.Cores * (1 - h.level*h.rng.Float64()*1.2), kind.Memory * (1 - h.level*h.rng.Float64()*1.2),
		h.rng.Float64() * 1.1, float64(h.rng.IntN(6))}
	switch h.pick(80, 10, 5, 5) {
	case 1:
		event.Load.FreeCores, event.Load.FreeMemory = math.NaN(), math.NaN()
	case 2:
		event.Load.Utilization, event.Load.Queued = math.NaN(), math.NaN()
	case 3:
		event.Load.FreeCores, event.Load.Queued = 1e9, 1e9
	}
	return []Event{event}
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
	submitted := h.drawTask()
	classIndex := h.p.requests.classIndexes[submitted.Class]
	task := &taskInfo{Task: submitted, classIndex: classIndex, arrivedAt: h.now - h.rng.Int64N(3*second), queuedSince: h.now}
	task.priority = []float64{0, 0.01, 1, 1e6}[h.rng.IntN(4)]
	if h.chance(0.5) {
		task.priority = h.p.queue.priority(task)
	}
	anyWorker := func() *workerInfo { return h.p.fleet.sorted[h.rng.IntN(len(h.p.fleet.sorted))] }
	for len(h.p.fleet.sorted) > 0 && len(task.attempts) < 3 && h.chance(0.25) {
		task.attempts = append(task.attempts, &attemptInfo{worker: anyWorker(), sentAt: h.now - h.rng.Int64N(4*second), ended: true, failed: h.chance(0.5)})
	}
	if len(task.attempts) > 0 && h.chance(0.5) {
		task.mayHaveRun = task.attempts[0]
	}
	return task
}
