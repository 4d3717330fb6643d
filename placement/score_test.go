package placement

import (
	"fmt"
	"math"
	"testing"
)

func TestAdmissionCostByHand(t *testing.T) {
	for _, test := range []struct{ u, x, l, rho, want float64 }{
		{0, 0.5, 1, 0.5, 0.25},      // 2 * 0.125
		{0.5, 0.1, 1, 0.5, 0.61},    // 0.5 + 2 * (0.05 + 0.005)
		{0.5, 0.2, 0.5, 0.75, 0.74}, // 0.5 + 2 * (0.1 + 0.02)
	} {
		if got := admissionCost(test.u, test.x, test.l, test.rho); math.Abs(got-test.want) > 1e-12 {
			t.Errorf("admissionCost(%v, %v, %v, %v) = %v, want %v", test.u, test.x, test.l, test.rho, got, test.want)
		}
	}
}

func TestLowestCostWins(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 8), smallWorker("b", 0, 30), smallWorker("c", 1, 16))
	f.wantPlaced(f.handleAfter(ms, f.request("1", "safe", 1, 2)), "b")
}

func TestNearEqualsAreDrawn(t *testing.T) {
	seen := map[string]int{}
	for seed := range uint64(60) {
		f := newFixture(t, testSettings(), seed, smallWorker("a", 0, 20), smallWorker("b", 0, 20), smallWorker("c", 1, 20))
		request := f.request("1", "safe", 1, 2)
		request.Program = 0 // no program
		seen[ofType[Place](f.handleAfter(ms, request))[0].Worker]++
	}
	for _, name := range []string{"a", "b", "c"} {
		if seen[name] < 8 {
			t.Errorf("worker %s was drawn %d times of 60, want at least 8; draws %v", name, seen[name], seen)
		}
	}
}

func TestSchedulersPreferSameWorkerForProgram(t *testing.T) {
	first := map[string]int{}
	for i := range 20 {
		f := newFixture(t, testSettings(), uint64(i), smallWorker("a", 0, 20), smallWorker("b", 0, 20), smallWorker("c", 1, 20), smallWorker("d", 1, -10))
		first[ofType[Place](f.handleAfter(ms, f.request("1", "safe", 1, 2)))[0].Worker]++
	}
	maxCount := 0
	for _, count := range first {
		maxCount = max(maxCount, count)
	}
	if maxCount < 11 || first["d"] > 0 {
		t.Errorf("got first choices %v, want at least 11 of 20 on one worker and none on the overcommitted worker d", first)
	}
}

// TestSchedulersDoNotHerd checks that many schedulers with the same lagging view do not all select the same
// worker.
func TestSchedulersDoNotHerd(t *testing.T) {
	first := map[string]int{}
	for i := range 40 {
		var entries []Entry
		for name := range 8 {
			entries = append(entries, smallWorker(fmt.Sprint("m", name), name/4, 20))
		}
		f := newFixture(t, testSettings(), uint64(i), entries...)
		request := f.request("1", "safe", 1, 2)
		request.Program = uint64(i/5*977 + 1) // eight programs, each at five schedulers
		first[ofType[Place](f.handleAfter(ms, request))[0].Worker]++
		request.RequestID, request.Program = "2", 0
		first[ofType[Place](f.handleAfter(ms, request))[0].Worker]++
	}
	for name, count := range first {
		if count > 28 {
			t.Errorf("got %d of 80 first choices on %s, want at most 28", count, name)
		}
	}
}

// TestManySchedulersOnOneLateView bounds how many of 300 schedulers select the same worker. There are
// 100 workers, and the view of the schedulers does not change.
func TestManySchedulersOnOneLateView(t *testing.T) {
	var entries []Entry
	for name := range 100 {
		entries = append(entries, smallWorker(fmt.Sprint("m", name), name/6, 12+float64(name%9)))
	}
	first := map[string]int{}
	settings := testSettings()
	settings.FleetSize = 300
	for i := range settings.FleetSize {
		settings.SelfIndex = i
		f := newFixture(t, settings, uint64(i), entries...)
		request := f.request("1", "safe", 1, 2)
		request.Program = uint64(i%150 + 1) // two tasks of each of 150 programs
		first[ofType[Place](f.handleAfter(ms, request))[0].Worker]++
	}
	for name, count := range first {
		if count > 18 {
			t.Errorf("got %d of 300 first choices on %s, want at most 18", count, name)
		}
	}
	if len(first) < 50 {
		t.Errorf("got %d selected workers of 100, want at least 50", len(first))
	}
}
