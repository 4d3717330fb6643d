package placement

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
)

func TestUnusualSettings(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"one scheduler":          func(settings *Settings) { settings.FleetSize = 1 },
		"no view":                func(settings *Settings) { settings.HasView = false },
		"one attempt":            func(settings *Settings) { settings.MaxAttempts = 1 },
		"no slow-start budget":   func(settings *Settings) { settings.SlowStartOffers = 0 },
		"no tick":                func(settings *Settings) { settings.TickUs = 0 },
		"accepted means running": func(settings *Settings) { settings.AcceptMeansRunning = true },
		"polled list":            func(settings *Settings) { settings.PollsDiscovery, settings.PollWithinUs = true, 0 },
		"no task per domain":     func(settings *Settings) { settings.Classes[5].MaxPerDomain = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			change(&settings)
			f := newFixture(t, settings, 1, smallWorker("a", 0, 20))
			responses := 0
			for i, class := range settings.Classes {
				request := f.request(fmt.Sprint(i), class.Name, 1, 1)
				request.DeadlineUs = f.now + 1*ms // less time is left than the response margin
				actions := f.handleAfter(0, request)
				actions = append(actions, f.handleAfter(1*ms, TimerFired{"wake"})...)
				responses += len(ofType[Reject](actions)) + len(ofType[Fail](actions))
				for _, place := range ofType[Place](actions) {
					actions = f.handleAfter(0, AttemptEnded{RequestID: place.RequestID, Worker: place.Worker, Outcome: TimedOut})
					responses += len(ofType[Reject](actions)) + len(ofType[Fail](actions))
				}
			}
			if responses != len(settings.Classes) {
				t.Errorf("got %d final responses, want %d, one for each request", responses, len(settings.Classes))
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
			t.Errorf("New returned error %v, want one that contains %q", err, want)
		}
	}
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() (all []Action) {
		f := newFixture(t, testSettings(), 42, smallWorker("a", 0, 20), smallWorker("b", 0, 20), smallWorker("c", 1, 20), smallWorker("d", 1, 20))
		for i := range 300 {
			requestID := fmt.Sprint(i)
			request := f.request(requestID, "safe", 1, 1)
			request.Program = uint64(i % 17)
			actions := f.handleAfter(7*ms, request)
			all = append(all, actions...)
			for _, place := range ofType[Place](actions) {
				all = append(all, f.handleAfter(ms, Accepted{RequestID: place.RequestID, Worker: place.Worker, RTTUs: 900},
					TaskReport{RequestID: place.RequestID, Worker: place.Worker, Kind: ReportService, Value: 0.1})...)
			}
		}
		return all
	}
	if first, again := run(), run(); !reflect.DeepEqual(first, again) {
		t.Error("got different actions from two schedulers with the same seed and the same events, want the same actions")
	}
}

func TestUnusualInput(t *testing.T) {
	settings := testSettings()
	settings.FleetSize, settings.SelfIndex, settings.SlowStartOffers = 300, 299, 1
	f := newFixture(t, settings, 1, Entry{Worker: "a", Kind: "small", FreeCores: 30, FreeMemory: 60})
	request := f.request("1", "apartCell", 1, 2)
	// The list entry names no cell, although the class limits the spread by cell.
	f.wantPlaced(f.handleAfter(ms, request), "a")
	// The clock advances by two seconds, and events of one attempt arrive out of order.
	f.handleAfter(2*second, AttemptEnded{RequestID: "1", Worker: "a", Outcome: Completed, Final: true}, Accepted{RequestID: "1", Worker: "a"},
		TaskReport{RequestID: "1", Worker: "a", Kind: ReportRunning}, ClientCancelled{"1"})
	if len(f.scheduler.requests.tasks) != 0 || len(f.scheduler.fleet.workers["a"].unanswered) != 0 {
		t.Errorf("got %d tasks and %d unanswered attempts left, want none", len(f.scheduler.requests.tasks), len(f.scheduler.fleet.workers["a"].unanswered))
	}
	var entries []Entry
	for m := range 200 { // one list adds 200 workers, which are all warming up
		entry := smallWorker(fmt.Sprint("c", m), m/6, 30)
		entry.StartedAtUs = f.now
		entries = append(entries, entry)
	}
	f.handleAfter(ms, WorkerList{Kind: ListDelta, Entries: entries})
	f.wantPlaced(f.handleAfter(ms, f.request("2", "safe", 1, 2)), "a")
}
