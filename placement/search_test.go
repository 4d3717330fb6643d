package placement

import (
	"math"
	"math/rand/v2"
	"testing"
)

// TestSearchLooksAtFew bounds the number of workers that a search evaluates. In a fleet that is ten
// times larger, the number may at most double.
func TestSearchLooksAtFew(t *testing.T) {
	evaluated := map[int]float64{}
	for _, count := range []int{400, 4000} {
		f := largeFleet(t, count, evenUtilization)
		for program := range uint64(50) {
			f.scheduler.search.finalists(f.syntheticTask(program))
			evaluated[count] += float64(f.scheduler.search.evaluated) / 50
		}
	}
	idle := largeFleet(t, 4000, func(*rand.Rand) float64 { return 0 })
	if idle.scheduler.search.finalists(idle.syntheticTask(0)); idle.scheduler.search.evaluated > maxEnumerated {
		t.Errorf("got %d evaluated workers in an idle fleet, want at most %d", idle.scheduler.search.evaluated, maxEnumerated)
	}
	if evaluated[400] > 40 || evaluated[4000] > 2*evaluated[400] {
		t.Errorf("got mean numbers of evaluated workers by fleet size %v, want at most 40 of 400 and at most twice as many of 4000", evaluated)
	}
}

// TestFullFleetIsRemembered checks that a search in a fleet without free capacity evaluates no worker.
// It also checks that a search skips whole levels once an earlier search has found that they have no
// free capacity.
func TestFullFleetIsRemembered(t *testing.T) {
	f := largeFleet(t, 4000, func(random *rand.Rand) float64 { return 1.495 + 0.004*random.Float64() })
	// At first, one worker has free capacity, and it is in the same level as full workers. When the capacity
	// is taken, the lower bound of the level's requested capacity does not rise, so the bound is too low until
	// the level is scanned.
	last := smallWorker("m03999", 0, 32*(1-1.478))
	f.handleAfter(ms, WorkerList{Kind: ListDelta, Entries: []Entry{last}})
	task := f.syntheticTask(0)
	task.Cores, task.Memory = 0.25, 0.5
	if finalists := f.scheduler.search.finalists(task); len(finalists) != 1 {
		t.Fatalf("got %d finalists, want only the worker with free capacity", len(finalists))
	}
	last.FreeCores, last.FreeMemory = 32*(1-1.495), 64*(1-1.495)
	f.handleAfter(ms, WorkerList{Kind: ListDelta, Entries: []Entry{last}})
	if finalists := f.scheduler.search.finalists(task); len(finalists) > 0 || f.scheduler.search.evaluated > 0 {
		t.Fatalf("got %d finalists and %d evaluated workers in a full fleet, want none", len(finalists), f.scheduler.search.evaluated)
	}
	for _, kind := range f.scheduler.index.kinds {
		for number := range kind.levels {
			if current := &kind.levels[number]; len(current.entries) > 0 && f.scheduler.search.limits[0].admits(current.minRequested, current.minCalibration) {
				t.Errorf("got level %d with %d workers and the lower bound %+v admitted, want it skipped", number, len(current.entries), current.minRequested)
			}
		}
	}
}

// TestSearchesAllocateNothing checks that no kind of search allocates once its slices have grown.
func TestSearchesAllocateNothing(t *testing.T) {
	f := largeFleet(t, 1000, evenUtilization)
	task, search := f.syntheticTask(7), f.scheduler.search
	for name, find := range map[string]func(){
		"selectWorker":     func() { search.selectWorker(task) },
		"fitsElsewhere":    func() { search.fitsElsewhere(task, f.scheduler.fleet.sorted[0]) },
		"closestToFitting": func() { search.closestToFitting(task) },
	} {
		if count := testing.AllocsPerRun(100, find); count > 0 {
			t.Errorf("%s: got %v allocations per search, want 0", name, count)
		}
	}
}

// TestEqualsAreDrawnEvenly draws many times among thousands of equal workers and checks the
// distribution with a chi-square test.
func TestEqualsAreDrawnEvenly(t *testing.T) {
	const workers, mean = 4000, 10
	f := largeFleet(t, workers, func(*rand.Rand) float64 { return 0.3 })
	drawn := map[*workerInfo]int{}
	for range workers * mean {
		drawn[f.scheduler.search.selectWorker(f.syntheticTask(0))]++
	}
	var squares float64
	for _, worker := range f.scheduler.fleet.sorted {
		squares += math.Pow(float64(drawn[worker])-mean, 2) / mean
	}
	// If all workers are equally likely, the chi-square sum has a mean of about the number of workers and
	// a standard deviation of about sqrt(2*workers).
	if limit := workers + 6*math.Sqrt(2*workers); squares > limit {
		t.Errorf("got chi-square %.0f over %d workers, want at most %.0f", squares, workers, limit)
	}
}

// TestSelectionInLargeFleet compares the cost of the selected worker with the lowest cost of all
// workers, because a search evaluates only a part of a large fleet.
func TestSelectionInLargeFleet(t *testing.T) {
	for _, distribution := range []struct {
		name string
		draw func(*rand.Rand) float64
	}{
		{"levelled", evenUtilization},
		{"alike", func(random *rand.Rand) float64 { return 0.5 + 0.001*random.Float64() }},
		{"uneven", func(random *rand.Rand) float64 { return random.Float64() }},
	} {
		f := largeFleet(t, 4000, distribution.draw)
		var selectedSum, lowestSum float64
		for program := range uint64(200) {
			task := f.syntheticTask(program % 20) // program 0 means no program
			worker := f.scheduler.search.selectWorker(task)
			lowest := math.Inf(1)
			for _, other := range f.scheduler.fleet.sorted {
				lowest = min(lowest, f.scheduler.search.scorer.score(other, task))
			}
			selected := f.scheduler.search.scorer.score(worker, task)
			if selected > lowest+2*costMargin {
				t.Errorf("%s: got cost %v at the selected worker %s, want at most %v above the lowest cost %v", distribution.name, selected, worker.Worker, 2*costMargin, lowest)
			}
			selectedSum, lowestSum = selectedSum+selected, lowestSum+lowest
		}
		// If the costs of the workers within costMargin of the lowest cost are evenly distributed, a worker
		// drawn from these workers costs, on average, half of costMargin more than the lowest cost.
		if loss := (selectedSum - lowestSum) / 200; loss > 0.75*costMargin {
			t.Errorf("%s: selected workers cost %.4f more than the lowest on average, want at most %.4f", distribution.name, loss, 0.75*costMargin)
		}
	}
}
