package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime/debug"
	"slices"
	"testing"
)

// This file generates random fleets and histories of events from a seed, for tests of properties that
// hold for every history.

// condition is the predominant state of the fleet in a history.
type condition int

const (
	mostlyHealthy   condition = iota
	mostlyFull                // tasks request about the full size of each worker
	mostlyFailing             // most attempts fail
	mostlyWarmingUp           // most workers started recently
	mostlyIdle                // many workers are empty and have equal free capacity
	conditionCount            // number of conditions
)

// The ranges of the random draws. historyWorkers is the maximum number of workers, and historyBurst the
// maximum number of requests in a burst. A history has at least 10 and fewer than 10+historySteps steps.
// Program numbers are below historyPrograms, and 0 means no program.
const (
	historyWorkers  = 600
	historySteps    = 60
	historyBurst    = 24
	historyPrograms = 12
)

// history drives a scheduler with random events, and holds the state outside the scheduler that the
// events depend on.
type history struct {
	t            *testing.T
	scheduler    *Scheduler
	seed         uint64
	steps        int // number of calls of Handle so far
	random       *rand.Rand
	condition    condition
	now          int64
	entries      []Entry
	index        map[string]int  // index in entries, by worker name
	attempts     map[string]int  // number of attempts, by request ID
	unfinished   map[string]Task // tasks that got no Reject or Fail and have not ended, by request ID
	offered      []Place         // attempts for which no answer or loss was drawn yet
	running      []Place         // accepted attempts and adopted tasks that have not ended
	probed       []string        // workers with a probe that was not answered
	requestCount int
	utilization  float64 // mean fraction of a worker's size that its tasks request
	stepCount    int
	record       func(now int64, events []Event) // called with the arguments of each call of Handle, or nil
}

func newHistory(t *testing.T, seed uint64) *history {
	t.Helper()
	h := &history{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 0)), now: 1000 * second, index: map[string]int{},
		attempts: map[string]int{}, unfinished: map[string]Task{}}
	h.condition = condition(h.random.IntN(int(conditionCount)))
	h.utilization = [conditionCount]float64{0.5, 1, 0.6, 0.5, 0}[h.condition]
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

// settings returns a random variation of testSettings, whose classes have all effects and all scopes of
// spread that settings permit.
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

// pick returns a random index, drawn with the given weights.
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

// drawEntry returns a random list entry of a worker.
func (h *history) drawEntry(name string, cell int) Entry {
	entry := Entry{Worker: name, Cell: cell, Zone: fmt.Sprint("z", cell%4), State: WorkerState(h.pick(94, 3, 3))}
	kinds := h.scheduler.settings.Kinds
	kind := kinds[h.random.IntN(len(kinds))]
	entry.Kind = kind.Name
	if h.chance(0.03) {
		entry.Kind = "unknown"
	}
	if h.chance([conditionCount]float64{0.05, 0.05, 0.05, 0.7, 0.02}[h.condition]) {
		entry.StartedAtUs = h.now - h.random.Int64N(12*second)
	}
	return h.drawFreeCapacity(entry, kind)
}

// drawFreeCapacity sets the free capacity of an entry to random multiples of a quarter, which makes ties
// common.
func (h *history) drawFreeCapacity(entry Entry, kind Kind) Entry {
	quarter := func(v float64) float64 { return math.Round(v*4) / 4 }
	requested := h.utilization
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

// kindOf returns the kind of an entry, or the first kind if that of the entry is unknown.
func (h *history) kindOf(entry Entry) Kind {
	for _, kind := range h.scheduler.settings.Kinds {
		if kind.Name == entry.Kind {
			return kind
		}
	}
	return h.scheduler.settings.Kinds[0]
}

// step draws the next time and events, passes them to the scheduler and returns its actions.
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

// handle passes events to the scheduler and updates the history from the actions that it returns. If the
// scheduler panics, the test fails with the seed and the number of the call, counted from 1.
func (h *history) handle(events []Event) []Action {
	defer func() {
		if panicked := recover(); panicked != nil {
			h.t.Fatalf("seed %d, call %d of Handle, %d workers: panic: %v\n%s", h.seed, h.steps, len(h.entries), panicked, debug.Stack())
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
		if h.chance(0.5) {
			return []Event{WorkerUnreachable{h.anyWorker()}}
		}
		return []Event{WorkerReachable{h.anyWorker()}}
	case 8:
		return []Event{ClientCancelled{h.anyRequestID()}}
	case 9:
		return []Event{TimerFired{"wake"}}
	}
	return []Event{h.drawAdopted()}
}
