package placement

import "testing"

func TestDrainingWorkersGetNothing(t *testing.T) {
	draining := smallWorker("a", 0, 30)
	draining.State = Draining
	removed := draining
	removed.State = Removed
	for name, list := range map[string]WorkerList{
		"draining": {Kind: ListDelta, Entries: []Entry{draining}},
		"removed":  {Kind: ListDelta, Entries: []Entry{removed}},
		"absent":   {Kind: ListFull, Entries: []Entry{smallWorker("b", 0, 1)}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30), smallWorker("b", 0, 1))
			f.handleAfter(ms, list)
			f.wantPlaced(f.handleAfter(ms, f.request("1", "safe", 1, 2)), "b")
		})
	}
}

func TestUnlistedDrainIsAssumed(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30), smallWorker("b", 0, 4))
	f.wantPlaced(f.handleAfter(ms, f.request("1", "safe", 1, 2)), "a")
	f.wantPlaced(f.handleAfter(10*ms, AttemptEnded{RequestID: "1", Worker: "a", Outcome: Rejected, Cause: CauseWrongWorker}), "b")
	f.wantPlaced(f.handleAfter(10*ms, f.request("2", "safe", 1, 2)), "b")
	f.handleAfter(assumedDrain, WorkerList{Kind: ListDelta})
	f.wantPlaced(f.handleAfter(0, Request{Task{RequestID: "3", Class: "safe", Cores: 1, Memory: 2, DeadlineUs: f.now + second, Program: 8}}), "a")
}

func TestLargeTaskGoesOverEffectiveCapacity(t *testing.T) {
	f := newFixture(t, testSettings(), 1, Entry{Worker: "a", Kind: "large", FreeCores: 4, FreeMemory: 60})
	// The running task uses all cores that it requests, so the effective capacity equals the saturation load
	// in testSettings: 0.8 of the worker's cores.
	f.handleAfter(0, Adopted{Task: f.request("e", "safe", 1, 1).Task, Worker: "a"})
	f.handleAfter(0, TaskReport{RequestID: "e", Worker: "a", Kind: ReportCores, Value: 1})
	f.wantPlaced(f.handleAfter(ms, f.request("s", "safe", 1, 2)), "")
	f.wantPlaced(f.handleAfter(ms, f.request("1", "large", 20, 20)), "")
	if got := ofType[Place](f.handleAfter(1100*ms, TimerFired{"wake"})); len(got) != 1 || got[0].RequestID != "1" {
		t.Errorf("got offers %v, want exactly one, for the large task", got)
	}
}

func TestFullHealthyWorkersAreWaitedFor(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 30), smallWorker("b", 0, -16), smallWorker("c", 0, -16))
	f.scheduler.fleet.workers["a"].addSuspicion(f.now, maxSuspicion)
	f.wantPlaced(f.handleAfter(ms, f.request("1", "unsafe", 1, 2)), "")
	f.wantPlaced(f.handleAfter(ms, f.request("2", "safe", 1, 2)), "a")
	if got := ofType[Place](f.handleAfter(ms, WorkerList{Kind: ListDelta, Entries: []Entry{smallWorker("c", 0, 10)}})); len(got) != 1 || got[0].Worker != "c" {
		t.Errorf("got offers %v, want exactly one, for the unsafe task, to c", got)
	}
}
