package placement

import "testing"

func TestPoorServiceLowersEffectiveCapacity(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 20), smallWorker("b", 0, 19))
	f.handleAfter(ms, Adopted{Task: f.request("e", "safe", 1, 1).Task, Worker: "a"})
	f.handleAfter(ms, TaskReport{RequestID: "e", Worker: "a", Kind: ReportService, Value: 0.96})
	if f.scheduler.fleet.workers["a"].calibration[resourceCores] != 1 {
		t.Errorf("got cores calibration %v after a report of 0.96 of full service, want 1",
			f.scheduler.fleet.workers["a"].calibration[resourceCores])
	}
	f.handleAfter(ms, TaskReport{RequestID: "e", Worker: "a", Kind: ReportService, Value: 0.4})
	request := f.request("1", "safe", 1, 2)
	request.Program = 9
	f.wantPlaced(f.handleAfter(ms, request), "b")
	f.scheduler.fleet.workers["a"].decayCalibration(f.now + 10*calibrationHalflife)
	if f.scheduler.fleet.workers["a"].calibration[resourceCores] < 0.99 {
		t.Errorf("got cores calibration %v ten half-lives after the last poor service, want at least 0.99",
			f.scheduler.fleet.workers["a"].calibration[resourceCores])
	}
}

func TestReportedCalibrationDecays(t *testing.T) {
	settings := testSettings()
	settings.Probes = true
	f := newFixture(t, settings, 1, smallWorker("a", 0, 30))
	worker := f.scheduler.fleet.workers["a"]
	f.handleAfter(ms, ProbeResult{Worker: "a", Outcome: Completed, Load: Load{24, 48, 1, 0}})
	if worker.calibration[resourceCores] > 0.5 {
		t.Errorf("got cores calibration %v of a fully utilized worker with 8 of 32 cores requested, want at most 0.5",
			worker.calibration[resourceCores])
	}
	worker.decayCalibration(f.now + 10*calibrationHalflife)
	if worker.calibration[resourceCores] < 0.99 {
		t.Errorf("got cores calibration %v ten half-lives after the report, want at least 0.99",
			worker.calibration[resourceCores])
	}
}

func TestPoorServiceOnWorkerOfUnknownKind(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30))
	unlisted := Adopted{Task{RequestID: "1", Class: "safe", Cores: 1, Memory: 2, HasRunHint: true, ExpectedRunUs: 60 * second}, "z"}
	unknownKind := smallWorker("unknown kind", 0, 30)
	unknownKind.Kind = "unknown"
	f.handleAfter(ms, WorkerList{Kind: ListDelta, Entries: []Entry{unknownKind}}, unlisted,
		Adopted{Task{RequestID: "2", Class: "safe", Cores: 1, Memory: 2, HasRunHint: true, ExpectedRunUs: 60 * second}, "unknown kind"})
	for _, name := range []string{"z", "unknown kind"} {
		requestID := map[string]string{"z": "1", "unknown kind": "2"}[name]
		if migrated := ofType[Migrate](f.handleAfter(second, TaskReport{RequestID: requestID, Worker: name, Kind: ReportService, Value: 0.1})); len(migrated) > 0 {
			t.Errorf("got migrations %v off worker %q of unknown size, want none", migrated, name)
		}
	}
}

// TestPoorServiceOnUnlistedWorker reports poor service on a worker of unknown size, which was never listed or
// whose kind is not in the settings. No calibration can be computed then. The scheduler must not panic, and
// must place later tasks.
func TestPoorServiceOnUnlistedWorker(t *testing.T) {
	unknownKind := smallWorker("unknown kind", 0, 4)
	unknownKind.Kind = "unknown"
	for _, worker := range []string{"unlisted", "unknown kind"} {
		f := newFixture(t, testSettings(), 1, unknownKind, smallWorker("a", 0, 30))
		f.handleAfter(ms, Adopted{f.request("1", "safe", 1, 2).Task, worker})
		func() {
			defer func() {
				if r := recover(); r != nil {
					t.Fatalf("service report of a task on worker %q: panic: %v", worker, r)
				}
			}()
			f.handleAfter(ms, TaskReport{"1", 0, worker, ReportService, 0.1})
		}()
		f.wantPlaced(f.handleAfter(ms, f.request("2", "safe", 1, 2)), "a")
	}
}
