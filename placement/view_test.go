package placement

import (
	"fmt"
	"math"
	"testing"
)

func TestLagIsLearned(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 28))
	free := 28.0
	type change struct{ at, by int64 }
	var changes []change
	for i := range 60 {
		requestID := fmt.Sprint(i)
		if i%3 != 1 {
			f.handleAfter(0, f.request(requestID, "safe", 1, 1))
			f.handleAfter(0, Accepted{RequestID: requestID, Worker: "a", RTTUs: 1000})
			changes = append(changes, change{f.now, 1})
			if i%2 == 0 {
				f.handleAfter(150*ms, AttemptEnded{RequestID: requestID, Worker: "a", Outcome: Completed, Final: true})
				changes = append(changes, change{f.now, -1})
			}
		}
		f.handleAfter(700 * ms)
		for len(changes) > 0 && changes[0].at <= f.now-2500*ms {
			free -= float64(changes[0].by)
			changes = changes[1:]
		}
		f.handleAfter(0, WorkerList{Kind: ListDelta, Entries: []Entry{smallWorker("a", 0, free)}})
	}
	if f.scheduler.loads.lag < 2000*ms || f.scheduler.loads.lag > 3250*ms {
		t.Errorf("got lag %v us, want 2000000 to 3250000 us", f.scheduler.loads.lag)
	}
}

func TestProbeOfSelectedWorker(t *testing.T) {
	settings := testSettings()
	settings.Probes = true
	nan := math.NaN()
	for _, test := range []struct {
		name string
		load Load
		want string // worker that gets the task after worker a has answered
	}{
		{"as the view says", Load{30, 60, .1, 0}, "a"},
		{"full since the view", Load{-16, -32, .7, 0}, "b"},
		{"busy though little is requested", Load{30, 60, 1, 0}, "b"},
		{"a long queue", Load{30, 60, .1, 40}, "b"},
		{"nothing reported", Load{nan, nan, nan, nan}, "a"},
		{"absurd", Load{1e9, -1e9, -5, 1e300}, "a"},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, settings, 1, smallWorker("a", 0, 30), smallWorker("b", 0, 16))
			request := f.request("1", "safe", 1, 2)
			request.Program = 0
			actions := f.handleAfter(ms, request)
			f.wantPlaced(actions, "")
			if got := ofType[Probe](actions); len(got) != 1 || got[0].Worker != "a" {
				t.Fatalf("got probes %v, want one of worker a", got)
			}
			actions = f.handleAfter(20*ms, ProbeResult{Worker: "a", Outcome: Completed, Load: test.load})
			for _, probe := range ofType[Probe](actions) {
				actions = f.handleAfter(20*ms, ProbeResult{Worker: probe.Worker, Outcome: Completed, Load: Load{16, 32, .5, 0}})
			}
			f.wantPlaced(actions, test.want)
		})
	}
}

func TestUnansweredProbeLeavesTaskForAnother(t *testing.T) {
	settings := testSettings()
	settings.Probes = true
	f := newFixture(t, settings, 1, smallWorker("a", 0, 30), smallWorker("b", 0, 4))
	request := f.request("1", "safe", 1, 2)
	request.Program = 0
	f.handleAfter(ms, request)
	actions := f.handleAfter(250*ms, ProbeResult{Worker: "a", Outcome: TimedOut})
	if got := ofType[Probe](actions); len(got) != 1 || got[0].Worker != "b" {
		t.Fatalf("got probes %v after the probe of worker a timed out, want one of worker b", got)
	}
	// Both workers are suspect now. The suspicion of worker a is lower, because it has decayed for longer.
	f.wantPlaced(f.handleAfter(10*ms, ProbeResult{Worker: "b", Outcome: TimedOut}, TimerFired{"wake"}), "a")
	actions = f.handleAfter(10*suspicionHalflife, request)
	if count := len(ofType[Place](actions)); count != 0 {
		t.Errorf("got %d more placements of a request that has an attempt, want 0", count)
	}
}
