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
	mostlyHealthy   condition = iota
	mostlyFull                // hardly any worker has free capacity
	mostlyFailing             // most attempts fail
	mostlyWarmingUp           // most workers came up just now
	mostlyIdle                // many workers are equally empty
	conditions                // how many there are
)

// The largest of what is drawn.
const (
	historyWorkers  = 600
	historySteps    = 60
	historyBurst    = 24
	historyPrograms = 12
)

// history is a scheduler, what is known outside of it, and the random choice of what comes next.
type history struct {
	t            *testing.T
	scheduler    *Scheduler
	seed         uint64
	steps        int // so far
	random       *rand.Rand
	condition    condition
	now          int64
	entries      []Entry
	index        map[string]int  // of entries, by name
	attempts     map[string]int  // by request: how many were made
	unfinished   map[string]Task // by request: not ended
	offered      []Place         // attempts without an answer
	running      []Place         // accepted
	probed       []string        // workers with a probe that has no answer
	requestCount int
	level        float64 // utilization of the workers
	stepCount    int
	record       func(now int64, events []Event) // what is handed over, or nil
}

func newHistory(t *testing.T, seed uint64) *history {
	t.Helper()
	h := &history{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 0)), now: 1000 * second, index: map[string]int{},
		attempts: map[string]int{}, unfinished: map[string]Task{}}
	h.condition = condition(h.random.IntN(int(conditions)))
	h.level = [conditions]float64{0.5, 1, 0.6, 0.5, 0}[h.condition]
	scheduler, err := New(h.settings(), seed)
	if err != nil {
		t.Fatal(err)
	}
	h.scheduler = scheduler
	workers := int(math.Exp(h.random.Float64()*math.Log(historyWorkers)) + 0.5)
	for i := range workers {
		name := fmt.Sprint("m", i)
		h.index[name] = i
		h.entries = append(h.entries, h.drawEntry(name, i/4))
	}
	h.stepCount = 10 + h.random.IntN(historySteps)
	h.handle([]Event{WorkerList{Kind: ListKind(1 + h.random.IntN(2)), Entries: slices.Clone(h.entries)}})
	return h
}

// settings are drawn around those of the other tests, whose classes are of all sorts.
func (h *history) settings() Settings {
	settings := testSettings()
	settings.FleetSize = []int{1, 2, 9, 60}[h.random.IntN(4)]
	settings.SelfIndex = h.random.IntN(settings.FleetSize)
	settings.HasView = h.chance(0.92)
	settings.AcceptMeansRunning = h.chance(0.3)
	settings.Probes = h.chance(0.3)
	settings.Pings, settings.PollsDiscovery = true, h.chance(0.5)
	settings.ReportsUsage = h.chance(0.3)
	settings.ReportsFree = true
	settings.CoresOvercommit = []float64{1, 1, 1.5}[h.random.IntN(3)]
	settings.MemoryOvercommit = settings.CoresOvercommit
	settings.SlowStartOffers = []float64{0, 1, 8, 25, 200}[h.random.IntN(5)]
	settings.ColdStartRate = 0.2
	settings.MaxAttempts = []int{0, 3, 3, 6}[h.random.IntN(4)]
	settings.UnitCores, settings.UnitMemory = 2, 4
	settings.OverQuotaWeight = 0.5
	settings.Tenants = []Tenant{{"small", 40}, {"large", 400}}
	for i := range settings.Classes {
		settings.Classes[i].DeadlineUs = 5 * second
		if settings.Classes[i].Spread != ScopeNone && h.chance(0.5) {
			settings.Classes[i].MaxPerDomain = 3
		}
	}
	return settings
}

func (h *history) chance(p float64) bool { return h.random.Float64() < p }

// pick draws an index by weights.
func (h *history) pick(weights ...int) int {
	sum := 0
	for _, weight := range weights {
		sum += weight
	}
	draw := h.random.IntN(sum)
	for i, weight := range weights {
		if draw < weight {
			return i
		}
		draw -= weight
	}
	return 0
}

// drawEntry draws what the list says of a worker.
func (h *history) drawEntry(name string, cell int) Entry {
	entry := Entry{Worker: name, Cell: cell, Zone: fmt.Sprint("z", cell%4), State: WorkerState(h.pick(94, 3, 3))}
	kinds := h.scheduler.settings.Kinds
	kind := kinds[h.random.IntN(len(kinds))]
	entry.Kind = kind.Name
	if h.chance(0.03) {
		entry.Kind = "unknown"
	}
	if h.chance([conditions]float64{0.05, 0.05, 0.05, 0.7, 0.02}[h.condition]) {
		entry.StartedAtUs = h.now - h.random.Int64N(12*second)
	}
	return h.drawFreeCapacity(entry, kind)
}

// drawFreeCapacity draws the free capacity that the list shows, in quarters so that ties are common.
func (h *history) drawFreeCapacity(entry Entry, kind Kind) Entry {
	quarter := func(v float64) float64 { return math.Round(v*4) / 4 }
	requested := h.level
	if h.condition != mostlyIdle || h.chance(0.1) {
		requested += (h.random.Float64() - 0.5) * 0.3
	}
	entry.FreeCores = quarter(kind.Cores * (1 - requested))
	entry.FreeMemory = quarter(kind.Memory * (1 - requested*(0.8+0.4*h.random.Float64())))
	if h.condition == mostlyIdle {
		entry.FreeMemory = kind.Memory
	}
	return entry
}

// kindOf is the kind of an entry, or the first one where that is unknown.
func (h *history) kindOf(entry Entry) Kind {
	for _, kind := range h.scheduler.settings.Kinds {
		if kind.Name == entry.Kind {
			return kind
		}
	}
	return h.scheduler.settings.Kinds[0]
}

// step draws the next time and events, hands them over and returns the actions.
func (h *history) step() []Action {
	h.now += h.drawPause()
	var events []Event
	for range 1 + h.random.IntN(4) {
		events = append(events, h.drawEvents()...)
	}
	return h.handle(events)
}

func (h *history) drawPause() int64 {
	longest := []int64{5 * ms, 100 * ms, 2 * second, 10 * second, 60 * second}[h.pick(40, 30, 20, 8, 2)]
	return h.random.Int64N(longest) + 1
}

// handle hands over events and notes what follows from the actions. A panic fails the
// test with what replays it.
func (h *history) handle(events []Event) []Action {
	defer func() {
		if panicked := recover(); panicked != nil {
			h.t.Fatalf("seed %d, step %d, %d workers: panic: %v\n%s", h.seed, h.steps, len(h.entries), panicked, debug.Stack())
		}
	}()
	h.steps++
	if h.record != nil {
		h.record(h.now, events)
	}
	actions := h.scheduler.Handle(h.now, events)
	for _, action := range actions {
		switch action := action.(type) {
		case Place:
			h.attempts[action.RequestID]++
			h.offered = append(h.offered, action)
		case Probe:
			h.probed = append(h.probed, action.Worker)
		case Reject:
			delete(h.unfinished, action.RequestID)
		case Fail:
			delete(h.unfinished, action.RequestID)
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
		return h.drawReports()
	case 5:
		return h.drawProbeResult()
	case 6:
		return []Event{h.drawBackpressure()}
	case 7:
		return []Event{WorkerReachable{h.anyWorker()}}
	case 8:
		return []Event{ClientCancelled{h.anyRequestID()}}
	case 9:
		return []Event{TimerFired{"wake"}}
	}
	return []Event{h.drawAdopted()}
}

func (h *history) anyWorker() string { return h.entries[h.random.IntN(len(h.entries))].Worker }

// anyRequestID is of a task that has not ended, or of none.
func (h *history) anyRequestID() string {
	requestIDs := slices.Sorted(maps.Keys(h.unfinished))
	if len(requestIDs) == 0 {
		return "none"
	}
	return requestIDs[h.random.IntN(len(requestIDs))]
}

// drawTask draws a task of any class and shape.
func (h *history) drawTask() Task {
	h.requestCount++
	cores := []float64{.25, .5, 1, 2, 4, 8, 16, 30, 50, 90}[h.pick(5, 15, 25, 20, 15, 8, 5, 3, 2, 1)]
	memory := []float64{0.25, 1, 2, 8}[h.pick(1, 3, 5, 2)]
	classes := h.scheduler.settings.Classes
	task := Task{
		RequestID: fmt.Sprint("t", h.requestCount), Class: classes[h.random.IntN(len(classes))].Name, Cores: cores, Memory: cores * memory,
		DeadlineUs: h.now + second/2 + h.random.Int64N(10*second), Program: uint64(h.random.IntN(historyPrograms)),
		Tenant: []string{"small", "large", "none"}[h.random.IntN(3)], Retry: h.chance(0.1),
	}
	if h.chance(0.3) {
		task.Program = 0
	}
	if h.chance(0.6) {
		task.HasRunHint, task.ExpectedRunUs = true, h.random.Int64N(200*second)
	}
	if h.chance(0.2) {
		task.QueuedSinceUs = h.now - h.random.Int64N(5*second)
	}
	return task
}

func (h *history) drawRequests() (events []Event) {
	task := h.drawTask()
	count := 1 + h.random.IntN(3)
	burst := h.chance(0.1)
	if burst {
		count = 1 + h.random.IntN(historyBurst)
	}
	for range count {
		h.unfinished[task.RequestID] = task
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

// drawAdopted draws a task that was found running, at times on a worker that was never
// listed.
func (h *history) drawAdopted() Event {
	task := h.drawTask()
	h.unfinished[task.RequestID] = task
	h.attempts[task.RequestID] = 1
	place := Place{RequestID: task.RequestID, Worker: h.anyWorker()}
	if h.chance(0.4) {
		place.Worker = fmt.Sprint("unlisted", h.random.IntN(5))
	}
	h.running = append(h.running, place)
	return Adopted{task, place.Worker}
}

// drawOutcomes draws answers to attempts that are out, and ends of running tasks.
func (h *history) drawOutcomes() (events []Event) {
	for range 1 + h.random.IntN(3) {
		if len(h.offered) > 0 && h.chance(0.7) {
			i := h.random.IntN(len(h.offered))
			place := h.offered[i]
			h.offered = slices.Delete(h.offered, i, i+1)
			if h.chance(0.05) {
				continue // it is never answered
			}
			events = append(events, h.drawResponse(place))
		} else if len(h.running) > 0 {
			i := h.random.IntN(len(h.running))
			place := h.running[i]
			h.running = slices.Delete(h.running, i, i+1)
			events = append(events, h.drawCompletion(place))
		}
	}
	return events
}

func (h *history) drawResponse(place Place) Event {
	attempt, rtt := h.attempts[place.RequestID]-1, 1+h.random.Int64N(30*ms)
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
		ended.Cause = []Cause{CauseCores, CauseMemory, CauseQueue, CauseWrongWorker}[h.random.IntN(4)]
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

func (h *history) drawCompletion(place Place) Event {
	ended := AttemptEnded{RequestID: place.RequestID, Attempt: h.attempts[place.RequestID] - 1, Worker: place.Worker, Outcome: Completed, Final: h.chance(0.5)}
	delete(h.unfinished, place.RequestID)
	switch h.pick(75, 10, 10, 5) {
	case 1:
		ended.Outcome = Reset
		ended.Cause = []Cause{CauseUnknown, CauseEvicted, CausePreempted, CauseDrained}[h.random.IntN(4)]
	case 2:
		ended.Outcome = Failed
	case 3:
		ended.Outcome = Cancelled
	}
	return ended
}

// drawDelta draws changes of a few workers, or at times of a part of the fleet that
// drains, is lost or comes back.
func (h *history) drawDelta() Event {
	var changed []Entry
	count := 1 + h.random.IntN(5)
	together, state := h.chance(0.08), WorkerState(h.pick(50, 25, 25))
	if together {
		count = 1 + len(h.entries)/4
	}
	for range count {
		i := h.random.IntN(len(h.entries))
		entry := h.drawFreeCapacity(h.entries[i], h.kindOf(h.entries[i]))
		if together {
			entry.State = state
		} else {
			entry.State = WorkerState(h.pick(92, 4, 4))
		}
		if h.chance(0.04) || together && state == Ready {
			entry.StartedAtUs = h.now - h.random.Int64N(second)
		}
		h.entries[i] = entry
		entry.Uncordoned = h.chance(0.02)
		changed = append(changed, entry)
	}
	return WorkerList{Kind: ListDelta, Entries: changed}
}

func (h *history) drawList() Event {
	list := WorkerList{Kind: []ListKind{ListFull, ListCached, ListFailed}[h.random.IntN(3)]}
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

func (h *history) drawReports() (events []Event) {
	for range min(len(h.running), 1+h.random.IntN(4)) {
		place := h.running[h.random.IntN(len(h.running))]
		report := TaskReport{RequestID: place.RequestID, Attempt: h.attempts[place.RequestID] - 1, Worker: place.Worker, Kind: ReportKind(1 + h.random.IntN(5))}
		task := h.unfinished[place.RequestID]
		switch report.Kind {
		case ReportCores:
			report.Value = task.Cores * (0.3 + h.random.Float64())
		case ReportMemory:
			report.Value = task.Memory * (0.3 + h.random.Float64())
		default:
			report.Value = h.random.Float64()*0.6 + 0.45
		}
		events = append(events, report)
	}
	return events
}

// drawProbeResult draws the answer to a probe, or a report without a probe.
func (h *history) drawProbeResult() []Event {
	worker := h.anyWorker()
	if len(h.probed) > 0 && h.chance(0.8) {
		worker, h.probed = h.probed[0], h.probed[1:]
	}
	event := ProbeResult{Worker: worker, Outcome: Completed, RTTUs: ms}
	if h.chance(0.2) {
		event.Outcome = TimedOut
	}
	kind := h.kindOf(h.entries[h.index[worker]])
	event.Load = Load{kind.Cores * (1 - h.level*h.random.Float64()*1.2), kind.Memory * (1 - h.level*h.random.Float64()*1.2),
		h.random.Float64() * 1.1, float64(h.random.IntN(6))}
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

func (h *history) drawBackpressure() Event {
	event := Backpressure{}
	if h.chance(0.6) {
		event.ReleaseRate = h.random.Float64() * 200
	}
	if h.chance(0.4) {
		for range h.scheduler.settings.Classes {
			event.Reserved = append(event.Reserved, float64(h.random.IntN(3)))
		}
	}
	return event
}

// madeUpTask draws a task to compare selections for. It is not one of the scheduler's: what came
// before it, attempts and errors, is made up.
func (h *history) madeUpTask() *taskInfo {
	submitted := h.drawTask()
	classIndex := h.scheduler.requests.classIndexes[submitted.Class]
	task := &taskInfo{Task: submitted, classIndex: classIndex, arrivedAt: h.now - h.random.Int64N(3*second), queuedSince: h.now}
	task.priority = []float64{0, 0.01, 1, 1e6}[h.random.IntN(4)]
	if h.chance(0.5) {
		task.priority = h.scheduler.queue.priority(task)
	}
	anyWorker := func() *workerInfo { return h.scheduler.fleet.sorted[h.random.IntN(len(h.scheduler.fleet.sorted))] }
	for len(h.scheduler.fleet.sorted) > 0 && len(task.attempts) < 3 && h.chance(0.25) {
		task.attempts = append(task.attempts, &attemptInfo{worker: anyWorker(), sentAt: h.now - h.random.Int64N(4*second), ended: true, failed: h.chance(0.5)})
	}
	if len(task.attempts) > 0 && h.chance(0.5) {
		task.mayHaveRun = task.attempts[0]
	}
	return task
}
