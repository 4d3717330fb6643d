package placement

import (
	"fmt"
	"testing"
)

// overloadedFixture returns a fixture with two workers, each with the given number of free cores. The
// scheduler has received a backpressure event.
func overloadedFixture(t *testing.T, free float64, pressure Backpressure) *fixture {
	settings := testSettings()
	settings.UnitCores, settings.UnitMemory = 1, 2
	f := newFixture(t, settings, 1, smallWorker("a", 0, free), smallWorker("b", 0, free))
	f.handleAfter(ms, pressure)
	return f
}

// TestRejectedOnceTooLate checks that a pending task is rejected at once if capacity becomes free only well
// after its deadline. A task that may still find a worker stays pending, and so do all tasks if the release
// rate is unknown.
func TestRejectedOnceTooLate(t *testing.T) {
	for _, test := range []struct {
		rate float64
		want int
	}{{0, 0}, {1, 3}, {10, 0}} {
		f := overloadedFixture(t, -20, Backpressure{ReleaseRate: test.rate})
		rejected := 0
		for i := range 12 {
			rejected += len(ofType[Reject](f.handleAfter(ms, f.request(fmt.Sprint(i), "safe", 1, 2))))
		}
		// Each task takes one unit and has 4.999 s left until its deadline. It is rejected if its expected
		// wait exceeds twice that time, 9.998 s. At one unit per second, the ninth task waits 9 s and stays
		// pending. The tenth, eleventh and twelfth would each wait 10 s behind nine pending tasks.
		if rejected != test.want {
			t.Errorf("release rate %v: got %d of 12 tasks rejected, want %d", test.rate, rejected, test.want)
		}
	}
}

// TestUnitsAreReservedByClass checks that a class leaves the reserved units free for other classes during
// an overload. A task of the class gets a worker once nothing is reserved, or if more units are free than
// are reserved.
func TestUnitsAreReservedByClass(t *testing.T) {
	reserved := make([]float64, len(testSettings().Classes))
	reserved[0] = 100
	f := overloadedFixture(t, 30, Backpressure{Reserved: reserved})
	if got := ofType[Place](f.handleAfter(ms, f.request("web", "safe", 1, 2))); len(got) != 0 {
		t.Errorf("class that must leave units free: got placements %v, want none", got)
	}
	if got := ofType[Place](f.handleAfter(ms, f.request("other", "all", 1, 2))); len(got) != 1 {
		t.Errorf("class that need not leave units free: got placements %v, want 1", got)
	}
	if got := ofType[Place](f.handleAfter(ms, Backpressure{})); len(got) != 1 || got[0].RequestID != "web" {
		t.Errorf("once nothing is reserved: got placements %v, want 1 of request web", got)
	}
	reserved[0] = 1
	f = overloadedFixture(t, 30, Backpressure{Reserved: reserved})
	if got := ofType[Place](f.handleAfter(ms, f.request("web", "safe", 1, 2))); len(got) != 1 {
		t.Errorf("with free capacity beyond the reserved unit: got placements %v, want 1", got)
	}
}

// TestConcurrentPlacementsCount checks that in an overload the scheduler assumes that other schedulers
// place as much as it does. It stops sending offers once its own and the assumed placements would fill the
// workers.
func TestConcurrentPlacementsCount(t *testing.T) {
	for _, test := range []struct {
		pressure Backpressure
		min, max int
	}{{Backpressure{}, 70, 100}, {Backpressure{ReleaseRate: 1000}, 35, 60}} {
		f := overloadedFixture(t, 32, test.pressure) // two workers that accept 48 cores each
		placed := 0
		for i := range 120 {
			requestID := fmt.Sprint(i)
			for _, place := range ofType[Place](f.handleAfter(ms, f.request(requestID, "safe", 1, 2))) {
				placed++
				f.handleAfter(ms, Accepted{RequestID: place.RequestID, Worker: place.Worker, RTTUs: 20 * ms})
			}
		}
		if placed < test.min || placed > test.max {
			t.Errorf("with %+v: got %d placements, want %d to %d", test.pressure, placed, test.min, test.max)
		}
	}
}
