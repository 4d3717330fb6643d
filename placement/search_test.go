package placement

import (
	"math"
	"math/rand/v2"
	"testing"
)

// TestSearchLooksAtFew bounds how many workers a search looks at, and that by less than
// the growth of the fleet.
func TestSearchLooksAtFew(t *testing.T) {
	evaluated := map[int]float64{}
	for _, count := range []int{400, 4000} {
		f := largeFleet(t, count, levelled)
		for program := range uint64(50) {
			f.scheduler.search.finalists(f.madeUpTask(program))
			evaluated[count] += float64(f.scheduler.search.evaluated) / 50
		}
	}
	idle := largeFleet(t, 4000, func(*rand.Rand) float64 { return 0 })
	if idle.scheduler.search.finalists(idle.madeUpTask(0)); idle.scheduler.search.evaluated > maxEnumerated {
		t.Errorf("%d workers looked at in an idle fleet, want %d at most", idle.scheduler.search.evaluated, maxEnumerated)
	}
	if evaluated[400] > 40 || evaluated[4000] > 2*evaluated[400] {
		t.Errorf("workers looked at in a search, by fleet: %v", evaluated)
	}
}

// TestFullFleetIsRemembered has a search in a fleet without free capacity look at no worker, and
// pass over whole levels once one search has found that they have none.
func TestFullFleetIsRemembered(t *testing.T) {
	f := largeFleet(t, 4000, func(random *rand.Rand) float64 { return 1.495 + 0.004*random.Float64() })
	// One worker of the same level had free capacity, which an earlier bound shows still.
	last := smallWorker("m03999", 0, 32*(1-1.478))
	f.at(ms, WorkerList{Kind: ListDelta, Entries: []Entry{last}})
	task := f.madeUpTask(0)
	task.Cores, task.Memory = 0.25, 0.5
	if finalists := f.scheduler.search.finalists(task); len(finalists) != 1 {
		t.Fatalf("%d workers to draw from, want the one with free capacity", len(finalists))
	}
	last.FreeCores, last.FreeMemory = 32*(1-1.495), 64*(1-1.495)
	f.at(ms, WorkerList{Kind: ListDelta, Entries: []Entry{last}})
	if finalists := f.scheduler.search.finalists(task); len(finalists) > 0 || f.scheduler.search.evaluated > 0 {
		t.Fatalf("a full fleet: %d workers to draw from, %d looked at", len(finalists), f.scheduler.search.evaluated)
	}
	for _, kind := range f.scheduler.index.kinds {
		for number := range kind.levels {
			if current := &kind.levels[number]; len(current.entries) > 0 && f.scheduler.search.limits[0].admits(current.minRequested, current.minCalibration) {
				t.Errorf("level %d of %d workers is not passed over: its bound is %+v", number, len(current.entries), current.minRequested)
			}
		}
	}
}

// TestSearchesAllocateNothing counts the allocations of each kind of search once its slices have grown.
func TestSearchesAllocateNothing(t *testing.T) {
	f := largeFleet(t, 1000, levelled)
	task, search := f.madeUpTask(7), f.scheduler.search
	for name, find := range map[string]func(){
		"selectWorker":     func() { search.selectWorker(task) },
		"fitsElsewhere":    func() { search.fitsElsewhere(task, f.scheduler.fleet.sorted[0]) },
		"closestToFitting": func() { search.closestToFitting(task) },
	} {
		if count := testing.AllocsPerRun(100, find); count > 0 {
			t.Errorf("%s: %v allocations a search", name, count)
		}
	}
}

// TestEqualsAreDrawnEvenly draws often among thousands of workers that are all alike.
func TestEqualsAreDrawnEvenly(t *testing.T) {
	const workers, mean = 4000, 10
	f := largeFleet(t, workers, func(*rand.Rand) float64 { return 0.3 })
	drawn := map[*workerInfo]int{}
	for range workers * mean {
		drawn[f.scheduler.search.selectWorker(f.madeUpTask(0))]++
	}
	var squares float64
	for _, worker := range f.scheduler.fleet.sorted {
		squares += math.Pow(float64(drawn[worker])-mean, 2) / mean
	}
	// The sum has the mean of the number of workers and a deviation of sqrt(2 workers).
	if limit := workers + 6*math.Sqrt(2*workers); squares > limit {
		t.Errorf("chi-square %.0f over %d workers, %.0f at most", squares, workers, limit)
	}
}

// TestSelectionInLargeFleet compares the cost of the selected worker with the lowest of all, as a large
// fleet is looked at in part.
func TestSelectionInLargeFleet(t *testing.T) {
	for _, share := range []struct {
		name string
		draw func(*rand.Rand) float64
	}{
		{"levelled", levelled},
		{"alike", func(random *rand.Rand) float64 { return 0.5 + 0.001*random.Float64() }},
		{"uneven", func(random *rand.Rand) float64 { return random.Float64() }},
	} {
		f := largeFleet(t, 4000, share.draw)
		var selectedSum, lowestSum float64
		for program := range uint64(200) {
			task := f.madeUpTask(program % 20) // 0 is none
			worker := f.scheduler.search.selectWorker(task)
			lowest := math.Inf(1)
			for _, other := range f.scheduler.fleet.sorted {
				lowest = min(lowest, f.scheduler.search.scorer.score(other, task))
			}
			selected := f.scheduler.search.scorer.score(worker, task)
			if selected > lowest+2*costMargin {
				t.Errorf("%s: cost %v at %s, the lowest is %v", share.name, selected, worker.Worker, lowest)
			}
			selectedSum, lowestSum = selectedSum+selected, lowestSum+lowest
		}
		// Drawn evenly among those within the margin, a selection costs half of that more.
		if loss := (selectedSum - lowestSum) / 200; loss > 0.75*costMargin {
			t.Errorf("%s: the selected cost %.4f more than the lowest in the mean", share.name, loss)
		}
	}
}
