package placement

import (
	"math/rand/v2"
	"testing"
)

func TestPendingTaskGoesWhenCapacityAppears(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, -16))
	f.wantPlaced(f.handleAfter(ms, f.request("1", "safe", 1, 2)), "")
	f.wantPlaced(f.handleAfter(ms, WorkerList{Kind: ListDelta, Entries: []Entry{smallWorker("a", 0, 10)}}), "a")
}

func TestTasksStillInTimeGoFirst(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, -16))
	late := f.request("late", "safe", 1, 2)
	late.HasRunHint, late.ExpectedRunUs = true, 10*second
	f.handleAfter(0, late)
	inTime := late
	inTime.RequestID = "in time"
	f.handleAfter(1500*ms, inTime)
	again := late
	again.RequestID, again.Retry = "again", true
	f.handleAfter(ms, again)
	got := ofType[Place](f.handleAfter(ms, WorkerList{Kind: ListDelta, Entries: []Entry{smallWorker("a", 0, 10)}}))
	if len(got) < 1 || got[0].RequestID != "in time" {
		t.Errorf("got offers %v, want the task that can still start in time first", got)
	}
}

func TestTenantBeyondQuotaWaits(t *testing.T) {
	settings := testSettings()
	settings.Tenants, settings.OverQuotaWeight = []Tenant{{"big", 10}, {"little", 30}}, 0.1
	f := newFixture(t, settings, 1, smallWorker("a", 0, -16))
	running := f.request("e", "safe", 10, 1)
	running.Tenant = "big"
	f.handleAfter(0, Adopted{Task: running.Task, Worker: "a"})
	over, within := f.request("over", "safe", 1, 2), f.request("within", "safe", 1, 2)
	over.Tenant, within.Tenant = "big", "little"
	f.handleAfter(ms, over)
	f.handleAfter(ms, within)
	got := ofType[Place](f.handleAfter(ms, WorkerList{Kind: ListDelta, Entries: []Entry{smallWorker("a", 0, -14)}}))
	if len(got) == 0 || got[0].RequestID != "within" {
		t.Errorf("got offers %v, want the task of the tenant within its quota first", got)
	}
}

// TestQueuedSinceDecidesAmongEquals checks that among tasks of equal priority, the task whose client
// has waited longer goes first.
func TestQueuedSinceDecidesAmongEquals(t *testing.T) {
	f := overloadedFixture(t, -20, Backpressure{})
	late, early := f.request("late", "safe", 30, 60), f.request("early", "safe", 30, 60)
	early.QueuedSinceUs = f.now - 3000*ms
	f.handleAfter(ms, late)
	f.handleAfter(ms, early)
	got := ofType[Place](f.handleAfter(ms, WorkerList{Kind: ListFull, Entries: []Entry{smallWorker("a", 0, 32)}}))
	if len(got) != 1 || got[0].RequestID != "early" {
		t.Errorf("got offers %v, want one of the task whose client has waited longer", got)
	}
}

// TestPendingTasksOfLargeFleet checks that in a large fleet, pending tasks are scheduled when the timer
// fires and not at each change of the list. Otherwise nearly every call of Scheduler.Handle would make a
// scheduling pass, because in a large fleet nearly every call brings a list of changes.
func TestPendingTasksOfLargeFleet(t *testing.T) {
	for _, count := range []int{maxEnumerated, maxEnumerated + 1} {
		f := largeFleet(t, count, func(*rand.Rand) float64 { return 1.5 })
		if got := ofType[Place](f.handleAfter(ms, f.request("1", "safe", 1, 2))); len(got) > 0 {
			t.Fatalf("%d workers: got offers %v in a full fleet, want none", count, got)
		}
		free := smallWorker("m00007", 0, 20)
		atOnce := len(ofType[Place](f.handleAfter(ms, WorkerList{Kind: ListDelta, Entries: []Entry{free}})))
		if want := map[bool]int{true: 1}[count <= maxEnumerated]; atOnce != want {
			t.Errorf("%d workers: got %d offers when free capacity appeared, want %d", count, atOnce, want)
		}
		if later := len(ofType[Place](f.handleAfter(retryInterval, TimerFired{Ref: "wake"}))); atOnce+later != 1 {
			t.Errorf("%d workers: got %d offers after the timer fired and %d before, want 1 in total", count, later, atOnce)
		}
	}
}
