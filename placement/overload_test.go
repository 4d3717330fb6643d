package placement

import (
	"fmt"
	"testing"
)

// overloadedFixture is a fixture with two workers, under backpressure.
func overloadedFixture(t *testing.T, free float64, pressure Backpressure) *fixture {
	settings := testSettings()
	settings.UnitCores, settings.UnitMemory = 1, 2
	f := newFixture(t, settings, 1, smallWorker("a", 0, free), smallWorker("b", 0, free))
	f.at(ms, pressure)
	return f
}

// TestRejectedOnceTooLate has a pending task rejected at once if capacity becomes free well after its
// deadline; one that may find a worker waits; and without a release rate all wait.
func TestRejectedOnceTooLate(t *testing.T) {
	for _, test := range []struct {
		rate float64
		want int
	}{{0, 0}, {1, 3}, {10, 0}} {
		f := overloadedFixture(t, -20, Backpressure{ReleaseRate: test.rate})
		rejected := 0
		for i := range 12 {
			rejected += len(ofType[Reject](f.at(ms, f.request(fmt.Sprint(i), "safe", 1, 2))))
		}
		// With 5 s left and twice that to be sure, nine units become free at one a second.
		if rejected != test.want {
			t.Errorf("at a rate of %v: %d rejected of 12, want %d", test.rate, rejected, test.want)
		}
	}
}

// TestUnitsAreReservedByClass has a class leave free capacity to those of more weight during an overload,
// as far as they are expected to need it, and no longer.
func TestUnitsAreReservedByClass(t *testing.T) {
	reserved := make([]float64, len(testSettings().Classes))
	reserved[0] = 100
	f := overloadedFixture(t, 30, Backpressure{Reserved: reserved})
	if got := ofType[Place](f.at(ms, f.request("web", "safe", 1, 2))); len(got) != 0 {
		t.Errorf("placed %v", got)
	}
	if got := ofType[Place](f.at(ms, f.request("other", "all", 1, 2))); len(got) != 1 {
		t.Errorf("another class: placed %v", got)
	}
	if got := ofType[Place](f.at(ms, Backpressure{})); len(got) != 1 || got[0].RequestID != "web" {
		t.Errorf("once nothing is reserved: placed %v", got)
	}
	reserved[0] = 1
	f = overloadedFixture(t, 30, Backpressure{Reserved: reserved})
	if got := ofType[Place](f.at(ms, f.request("web", "safe", 1, 2))); len(got) != 1 {
		t.Errorf("with free capacity for all: placed %v", got)
	}
}

// TestConcurrentPlacementsCount has other schedulers place as much as this one in an overload: it stops
// where, with them, a worker would be full.
func TestConcurrentPlacementsCount(t *testing.T) {
	for _, test := range []struct {
		pressure Backpressure
		min, max int
	}{{Backpressure{}, 70, 100}, {Backpressure{ReleaseRate: 1000}, 35, 60}} {
		f := overloadedFixture(t, 32, test.pressure) // two workers that accept 48 cores each
		placed := 0
		for i := range 120 {
			requestID := fmt.Sprint(i)
			for _, place := range ofType[Place](f.at(ms, f.request(requestID, "safe", 1, 2))) {
				placed++
				f.at(ms, Accepted{RequestID: place.RequestID, Worker: place.Worker, RTTUs: 20 * ms})
			}
		}
		if placed < test.min || placed > test.max {
			t.Errorf("with %+v %d were placed, want %d to %d", test.pressure, placed, test.min, test.max)
		}
	}
}
