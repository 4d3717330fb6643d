package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// TestIndexFollowsEvents compares the index and the sums with what they are computed from, after each
// step of drawn histories.
func TestIndexFollowsEvents(t *testing.T) {
	indexed := 0
	for i := range min(*historiesFlag, 30) {
		seed := *seedFlag + 1000 + uint64(i)
		h := newHistory(t, seed)
		for step := range h.stepCount {
			h.step()
			h.scheduler.fleet.refresh()
			count, err := checkIndex(h.scheduler)
			if err != nil {
				t.Fatalf("seed %d, step %d: %v", seed, step, err)
			}
			indexed += count
		}
	}
	if indexed == 0 {
		t.Error("no worker was indexed in any history")
	}
}

// checkIndex returns how many workers are indexed, or what is wrong with the index.
func checkIndex(scheduler *Scheduler) (indexed int, err error) {
	sums := struct{ asked, cores, memory float64 }{}
	for ordinal, worker := range scheduler.fleet.sorted {
		if worker.ordinal != ordinal || scheduler.fleet.nameHashes[ordinal] != worker.nameHash {
			return 0, fmt.Errorf("%s: ordinal %d, want %d", worker.Worker, worker.ordinal, ordinal)
		}
		if worker.listed == scheduler.fleet.unlisted[worker] {
			return 0, fmt.Errorf("%s: listed %v, unlisted %v", worker.Worker, worker.listed, scheduler.fleet.unlisted[worker])
		}
		kind := scheduler.kindOf(worker)
		if worker.position.indexed != (worker.listed && worker.State == Ready && kind != nil) {
			return 0, fmt.Errorf("%s: indexed %v; %+v", worker.Worker, worker.position.indexed, worker.Entry)
		}
		if kind == nil {
			continue
		}
		worker.stale = true
		cores, memory := scheduler.loads.requested(worker)
		worker.stale = false
		if cores != worker.requestedCores || memory != worker.requestedMemory {
			return 0, fmt.Errorf("%s: requested %v and %v, stored %v and %v", worker.Worker, cores, memory, worker.requestedCores, worker.requestedMemory)
		}
		if worker.listed && scheduler.settings.HasView {
			sums.asked, sums.cores, sums.memory = sums.asked+cores, sums.cores+kind.Cores, sums.memory+kind.Memory
		}
		if !worker.position.indexed {
			continue
		}
		indexed++
		if err := checkEntry(scheduler, worker, kind); err != nil {
			return 0, err
		}
	}
	if near := func(a, b float64) bool { return math.Abs(a-b) <= 1e-6*max(1, a) }; !near(sums.asked, scheduler.loads.requestedCores) ||
		!near(sums.cores, scheduler.loads.listedCapacity.cores) || !near(sums.memory, scheduler.loads.listedCapacity.memory) {
		return 0, fmt.Errorf("sums %+v; stored %v and %+v", sums, scheduler.loads.requestedCores, scheduler.loads.listedCapacity)
	}
	if held := countEntries(scheduler); held != indexed {
		return 0, fmt.Errorf("%d entries of %d workers", held, indexed)
	}
	return indexed, checkPrograms(scheduler)
}

func checkEntry(scheduler *Scheduler, worker *workerInfo, kind *Kind) error {
	levels := &scheduler.index.kinds[worker.position.kindIndex]
	level := &levels.levels[worker.position.level]
	entry := level.entries[worker.position.entryIndex]
	switch {
	case worker.position.kindIndex != worker.kindIndex || entry.worker != worker:
		return fmt.Errorf("%s: its position %+v has %s", worker.Worker, worker.position, entry.worker.Worker)
	case scheduler.settings.HasView && entry.requested != fractions{worker.requestedCores / kind.Cores, worker.requestedMemory / kind.Memory}:
		return fmt.Errorf("%s: entry %+v", worker.Worker, entry.requested)
	case !level.minRequested.within(entry.requested) || entry.calibration < level.minCalibration || entry.calibration > min(worker.calibration[resourceCores], worker.calibration[resourceMemory]):
		return fmt.Errorf("%s: entry %+v below the bounds %+v and %v of its level", worker.Worker, entry, level.minRequested, level.minCalibration)
	case (scheduler.reservations.priorities[worker] > 0) != (worker.position.entryIndex >= level.unreserved):
		return fmt.Errorf("%s: reserved %v, number %d of %d unreserved ones", worker.Worker, scheduler.reservations.priorities[worker] > 0, worker.position.entryIndex, level.unreserved)
	}
	share := max(entry.requested.cores/scheduler.index.scale.cores, entry.requested.memory/scheduler.index.scale.memory)
	if floor := float64(worker.position.level) * levelWidth; share < floor || share >= floor+levelWidth && worker.position.level < levelCount-1 {
		return fmt.Errorf("%s: utilization %v at level %d", worker.Worker, share, worker.position.level)
	}
	return nil
}

// countEntries counts the workers in all levels, and -1 where a set of levels is wrong.
func countEntries(scheduler *Scheduler) (count int) {
	for i := range scheduler.index.kinds {
		levels := &scheduler.index.kinds[i]
		for number := range levels.levels {
			level := &levels.levels[number]
			count += len(level.entries)
			bit := uint64(1) << (number % 64)
			if (levels.occupied[number/64]&bit != 0) != (len(level.entries) > 0) || (levels.unreserved[number/64]&bit != 0) != (level.unreserved > 0) {
				return -1
			}
		}
	}
	return count
}

func checkPrograms(scheduler *Scheduler) error {
	homes := 0
	for _, worker := range scheduler.fleet.sorted {
		for program := range worker.residentPrograms {
			homes++
			if !slices.Contains(scheduler.residents.workers[program], worker) {
				return fmt.Errorf("%s is not among the workers of program %d", worker.Worker, program)
			}
		}
	}
	for _, workers := range scheduler.residents.workers {
		homes -= len(workers)
	}
	if homes != 0 {
		return fmt.Errorf("%d workers too few are stored as running programs", homes)
	}
	return nil
}

// largeFleet is a fixture with many workers of one kind, whose utilizations are drawn.
func largeFleet(t *testing.T, workers int, share func(*rand.Rand) float64) *fixture {
	random := rand.New(rand.NewPCG(1, uint64(workers)))
	entries := make([]Entry, workers)
	for i := range entries {
		entries[i] = smallWorker(fmt.Sprintf("m%05d", i), i/8, 32*(1-share(random)))
	}
	return newFixture(t, testSettings(), 1, entries...)
}

// madeUpTask is a task that was not submitted to the scheduler.
func (f *fixture) madeUpTask(program uint64) *taskInfo {
	request := f.request("probe", "safe", 1, 2)
	request.Program = program
	return &taskInfo{Task: request.Task, arrivedAt: f.now, queuedSince: f.now}
}

func levelled(random *rand.Rand) float64 { return 0.6 + 0.04*random.NormFloat64() }

// TestSearchLooksAtFew bounds how many workers a search looks at, and that by less than
// the growth of the fleet.
func TestSearchLooksAtFew(t *testing.T) {
	looked := map[int]float64{}
	for _, count := range []int{400, 4000} {
		f := largeFleet(t, count, levelled)
		for program := range uint64(50) {
			f.scheduler.search.finalists(f.madeUpTask(program))
			looked[count] += float64(f.scheduler.search.evaluated) / 50
		}
	}
	idle := largeFleet(t, 4000, func(*rand.Rand) float64 { return 0 })
	if idle.scheduler.search.finalists(idle.madeUpTask(0)); idle.scheduler.search.evaluated > maxEnumerated {
		t.Errorf("%d workers looked at in an idle fleet, want %d at most", idle.scheduler.search.evaluated, maxEnumerated)
	}
	if looked[400] > 40 || looked[4000] > 2*looked[400] {
		t.Errorf("workers looked at in a search, by fleet: %v", looked)
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
	for _, k := range f.scheduler.index.kinds {
		for number := range k.levels {
			if level := &k.levels[number]; len(level.entries) > 0 && f.scheduler.search.limits[0].admits(level.minRequested, level.minCalibration) {
				t.Errorf("level %d of %d workers is not passed over: its bound is %+v", number, len(level.entries), level.minRequested)
			}
		}
	}
}

// TestFirstByNameIsReserved has the first of equals reserved for a pending task, as in a small fleet
// nothing else distinguishes them.
func TestFirstByNameIsReserved(t *testing.T) {
	f := newFixture(t, testSettings(), 1, smallWorker("c", 0, -20), smallWorker("b", 0, -16), smallWorker("a", 0, -16), smallWorker("d", 1, -16))
	task := f.madeUpTask(0)
	task.Cores, task.Memory = 8, 8
	if worker := f.scheduler.search.closestToFitting(task); worker == nil || worker.Worker != "a" {
		t.Errorf("reserved %v, want a", worker)
	}
}

// TestSearchAllocatesNothing counts the allocations of a search once its slices have grown.
func TestSearchAllocatesNothing(t *testing.T) {
	f := largeFleet(t, 1000, levelled)
	task := f.madeUpTask(7)
	if n := testing.AllocsPerRun(100, func() { f.scheduler.search.selectWorker(task) }); n > 0 {
		t.Errorf("%v allocations a search", n)
	}
}

// TestEqualsAreDrawnEvenly draws often among thousands of workers that are all alike.
func TestEqualsAreDrawnEvenly(t *testing.T) {
	const machines, mean = 4000, 10
	f := largeFleet(t, machines, func(*rand.Rand) float64 { return 0.3 })
	drawn := map[*workerInfo]int{}
	for range machines * mean {
		drawn[f.scheduler.search.selectWorker(f.madeUpTask(0))]++
	}
	var squares float64
	for _, worker := range f.scheduler.fleet.sorted {
		squares += math.Pow(float64(drawn[worker])-mean, 2) / mean
	}
	// The sum has the mean of the number of workers and a deviation of sqrt(2 workers).
	if limit := machines + 6*math.Sqrt(2*machines); squares > limit {
		t.Errorf("chi-square %.0f over %d workers, %.0f at most", squares, machines, limit)
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
		// Drawn evenly among those within the margin, a choice costs half of that more.
		if loss := (selectedSum - lowestSum) / 200; loss > 0.75*costMargin {
			t.Errorf("%s: the chosen cost %.4f more than the lowest in the mean", share.name, loss)
		}
	}
}

// TestMeansOfLargeFleet has the means of a large fleet follow it after a second.
func TestMeansOfLargeFleet(t *testing.T) {
	f := largeFleet(t, maxEnumerated+1, func(*rand.Rand) float64 { return 0 })
	f.scheduler.totals.means()
	entries := make([]Entry, len(f.scheduler.fleet.sorted))
	for i, worker := range f.scheduler.fleet.sorted {
		entries[i] = worker.Entry
		entries[i].FreeCores = 16
	}
	f.at(second/2, WorkerList{Kind: ListDelta, Entries: entries})
	if utilization, _ := f.scheduler.totals.means(); utilization != 0 {
		t.Errorf("utilization %v before a second has passed, want that of before", utilization)
	}
	f.at(second/2, TimerFired{})
	if utilization, _ := f.scheduler.totals.means(); math.Abs(utilization-0.5/f.scheduler.capacity.baseline.cores) > 1e-9 {
		t.Errorf("utilization %v after a second, want %v", utilization, 0.5/f.scheduler.capacity.baseline.cores)
	}
}

// TestFreeUnitsOfLargeFleet has the free capacity of a large fleet follow it with the timer.
func TestFreeUnitsOfLargeFleet(t *testing.T) {
	f := largeFleet(t, maxEnumerated+1, func(*rand.Rand) float64 { return 0 })
	f.scheduler.settings.UnitCores, f.scheduler.settings.UnitMemory = 1, 2
	all := f.scheduler.totals.freeUnits()
	for _, worker := range f.scheduler.fleet.sorted {
		worker.attemptWindow = 0 // it may be offered nothing
	}
	f.at(retryInterval/2, TimerFired{})
	if got := f.scheduler.totals.freeUnits(); got != all {
		t.Errorf("free capacity %v before the timer is due, want %v as before", got, all)
	}
	f.at(retryInterval/2, TimerFired{})
	if got := f.scheduler.totals.freeUnits(); got != 0 {
		t.Errorf("free capacity %v with the timer, want none", got)
	}
}

// TestPendingTasksOfLargeFleet has pending tasks looked at when the timer fires, and not at each change
// of the list, of which a large fleet has one in each call.
func TestPendingTasksOfLargeFleet(t *testing.T) {
	for _, count := range []int{maxEnumerated, maxEnumerated + 1} {
		f := largeFleet(t, count, func(*rand.Rand) float64 { return 1.5 })
		if got := ofType[Place](f.at(ms, f.request("1", "safe", 1, 2))); len(got) > 0 {
			t.Fatalf("%d workers: placed %v in a full fleet", count, got)
		}
		free := smallWorker("m00007", 0, 20)
		atOnce := len(ofType[Place](f.at(ms, WorkerList{Kind: ListDelta, Entries: []Entry{free}})))
		if want := map[bool]int{true: 1}[count <= maxEnumerated]; atOnce != want {
			t.Errorf("%d workers: %d tasks placed as free capacity appeared, want %d", count, atOnce, want)
		}
		if later := len(ofType[Place](f.at(retryInterval, TimerFired{Ref: "wake"}))); atOnce+later != 1 {
			t.Errorf("%d workers: %d tasks placed by the timer, want 1 in all", count, later)
		}
	}
}

// TestRemovedWorkersAreForgotten has nothing left of removed workers.
func TestRemovedWorkersAreForgotten(t *testing.T) {
	f := largeFleet(t, 100, levelled)
	for i := range 30 {
		f.startTask(fmt.Sprint(i))
	}
	removed := WorkerList{Kind: ListDelta}
	for _, worker := range f.scheduler.fleet.sorted {
		entry := worker.Entry
		entry.State = Removed
		removed.Entries = append(removed.Entries, entry)
	}
	f.at(ms, removed)
	for requestID, task := range f.scheduler.requests.tasks {
		f.at(0, AttemptEnded{RequestID: requestID, Attempt: len(task.attempts) - 1, Outcome: Completed, Final: true})
	}
	f.at(ms, WorkerList{Kind: ListDelta})
	f.scheduler.fleet.refresh()
	scheduler := f.scheduler
	if left := len(scheduler.fleet.sorted) + len(scheduler.fleet.workers) + len(scheduler.fleet.unlisted) + len(scheduler.residents.workers) + len(scheduler.affinity.preferred) + countEntries(scheduler); left != 0 {
		t.Errorf("left: %d workers by name, %d unlisted, %d programs, %d preferred, %d entries",
			len(scheduler.fleet.sorted), len(scheduler.fleet.unlisted), len(scheduler.residents.workers), len(scheduler.affinity.preferred), countEntries(scheduler))
	}
	if scheduler.loads.requestedCores != 0 && math.Abs(scheduler.loads.requestedCores) > 1e-9 || scheduler.loads.listedCapacity != (fractions{}) {
		t.Errorf("left: %v cores asked of %+v", scheduler.loads.requestedCores, scheduler.loads.listedCapacity)
	}
}

// startTask has a task placed and accepted.
func (f *fixture) startTask(requestID string) {
	f.t.Helper()
	got := ofType[Place](f.at(ms, f.request(requestID, "safe", 1, 2)))
	if len(got) != 1 {
		f.t.Fatalf("%d places of task %s, want 1", len(got), requestID)
	}
	f.at(ms, Accepted{RequestID: requestID, Worker: got[0].Worker, RTTUs: ms})
}
