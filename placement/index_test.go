package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// TestIndexFollowsEvents compares what the index and the sums hold with what they are kept
// from, after each step of drawn histories.
func TestIndexFollowsEvents(t *testing.T) {
	indexed := 0
	for i := range min(*historiesFlag, 30) {
		seed := *seedFlag + 1000 + uint64(i)
		h := newHistory(t, seed)
		for step := range h.stepCount {
			h.step()
			h.p.fleet.refresh()
			n, err := checkIndex(h.p)
			if err != nil {
				t.Fatalf("seed %d, step %d: %v", seed, step, err)
			}
			indexed += n
		}
	}
	if indexed == 0 {
		t.Error("no machine was indexed in any history")
	}
}

// checkIndex returns how many machines are indexed, or what is wrong with the index.
func checkIndex(scheduler *Scheduler) (indexed int, err error) {
	sums := struct{ asked, cores, memory float64 }{}
	for ordinal, worker := range scheduler.fleet.sorted {
		if worker.ordinal != ordinal || scheduler.fleet.nameHashes[ordinal] != worker.nameHash {
			return 0, fmt.Errorf("%s: ordinal %d, want %d", worker.Worker, worker.ordinal, ordinal)
		}
		if worker.listed == scheduler.fleet.unlisted[worker] {
			return 0, fmt.Errorf("%s: listed %v, departed %v", worker.Worker, worker.listed, scheduler.fleet.unlisted[worker])
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
			return 0, fmt.Errorf("%s: asked for %v and %v, noted %v and %v", worker.Worker, cores, memory, worker.requestedCores, worker.requestedMemory)
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
		return 0, fmt.Errorf("sums %+v; noted %v and %+v", sums, scheduler.loads.requestedCores, scheduler.loads.listedCapacity)
	}
	if held := countEntries(scheduler); held != indexed {
		return 0, fmt.Errorf("%d entries of %d machines", held, indexed)
	}
	return indexed, checkPrograms(scheduler)
}

func checkEntry(scheduler *Scheduler, worker *workerInfo, kind *Kind) error {
	levels := &scheduler.index.kinds[worker.position.kindIndex]
	level := &levels.levels[worker.position.level]
	entry := level.entries[worker.position.entryIndex]
	switch {
	case worker.position.kindIndex != worker.kindIndex || entry.worker != worker:
		return fmt.Errorf("%s: its slot %+v holds %s", worker.Worker, worker.position, entry.worker.Worker)
	case scheduler.settings.HasView && entry.requested != fractions{worker.requestedCores / kind.Cores, worker.requestedMemory / kind.Memory}:
		return fmt.Errorf("%s: entry %+v", worker.Worker, entry.requested)
	case !level.minRequested.within(entry.requested) || entry.calibration < level.minCalibration || entry.calibration > min(worker.calibration[resourceCores], worker.calibration[resourceMemory]):
		return fmt.Errorf("%s: entry %+v below the bounds %+v and %v of its level", worker.Worker, entry, level.minRequested, level.minCalibration)
	case (scheduler.reservations.priorities[worker] > 0) != (worker.position.entryIndex >= level.unreserved):
		return fmt.Errorf("%s: kept %v, number %d of %d free ones", worker.Worker, scheduler.reservations.priorities[worker] > 0, worker.position.entryIndex, level.unreserved)
	}
	share := max(entry.requested.cores/scheduler.index.scale.cores, entry.requested.memory/scheduler.index.scale.memory)
	if floor := float64(worker.position.level) * levelWidth; share < floor || share >= floor+levelWidth && worker.position.level < levelCount-1 {
		return fmt.Errorf("%s: share %v at level %d", worker.Worker, share, worker.position.level)
	}
	return nil
}

// countEntries counts the machines in all levels, and -1 where a set of levels is wrong.
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
				return fmt.Errorf("%s is not among the machines of program %d", worker.Worker, program)
			}
		}
	}
	for _, workers := range scheduler.residents.workers {
		homes -= len(workers)
	}
	if homes != 0 {
		return fmt.Errorf("%d machines too few are noted to hold programs", homes)
	}
	return nil
}

// largeFleet is a bed with n machines of one kind that are asked for drawn shares.
func largeFleet(t *testing.T, n int, share func(*rand.Rand) float64) *bed {
	random := rand.New(rand.NewPCG(1, uint64(n)))
	entries := make([]Entry, n)
	for i := range entries {
		entries[i] = small(fmt.Sprintf("m%05d", i), i/8, 32*(1-share(random)))
	}
	return newBed(t, testSettings(), 1, entries...)
}

// probe is a task that nobody asked the placer for.
func (b *bed) probe(program uint64) *taskInfo {
	request := b.request("probe", "safe", 1, 2)
	request.Program = program
	return &taskInfo{Task: request.Task, arrivedAt: b.now, queuedSince: b.now}
}

func levelled(random *rand.Rand) float64 { return 0.6 + 0.04*random.NormFloat64() }

// TestSearchLooksAtFew bounds how many machines a search looks at, and that by less than
// the growth of the fleet.
func TestSearchLooksAtFew(t *testing.T) {
	looked := map[int]float64{}
	for _, n := range []int{400, 4000} {
		f := largeFleet(t, n, levelled)
		for program := range uint64(50) {
			f.p.search.finalists(f.probe(program))
			looked[n] += float64(f.p.search.evaluated) / 50
		}
	}
	idle := largeFleet(t, 4000, func(*rand.Rand) float64 { return 0 })
	if idle.p.search.finalists(idle.probe(0)); idle.p.search.evaluated > maxEnumerated {
		t.Errorf("%d machines looked at in an idle fleet, want %d at most", idle.p.search.evaluated, maxEnumerated)
	}
	if looked[400] > 40 || looked[4000] > 2*looked[400] {
		t.Errorf("machines looked at in a search, by fleet: %v", looked)
	}
}

// TestFullFleetIsRemembered has a search in a fleet without room look at no machine, and
// pass over whole levels once one search has found that they have none.
func TestFullFleetIsRemembered(t *testing.T) {
	f := largeFleet(t, 4000, func(random *rand.Rand) float64 { return 1.495 + 0.004*random.Float64() })
	// One machine of the same level had room, which an earlier bound shows still.
	last := small("m03999", 0, 32*(1-1.478))
	f.at(ms, WorkerList{Kind: ListDelta, Entries: []Entry{last}})
	task := f.probe(0)
	task.Cores, task.Memory = 0.25, 0.5
	if finalists := f.p.search.finalists(task); len(finalists) != 1 {
		t.Fatalf("%d machines to draw from, want the one with room", len(finalists))
	}
	last.FreeCores, last.FreeMemory = 32*(1-1.495), 64*(1-1.495)
	f.at(ms, WorkerList{Kind: ListDelta, Entries: []Entry{last}})
	if finalists := f.p.search.finalists(task); len(finalists) > 0 || f.p.search.evaluated > 0 {
		t.Fatalf("a full fleet: %d machines to draw from, %d looked at", len(finalists), f.p.search.evaluated)
	}
	for _, k := range f.p.index.kinds {
		for number := range k.levels {
			if level := &k.levels[number]; len(level.entries) > 0 && f.p.search.limits[0].admits(level.minRequested, level.minCalibration) {
				t.Errorf("level %d of %d machines is not passed over: it is taken to be asked for %+v", number, len(level.entries), level.minRequested)
			}
		}
	}
}

// TestFirstByNameIsKept has the first of equals kept for a held task, as in a small fleet
// nothing else tells them apart.
func TestFirstByNameIsKept(t *testing.T) {
	f := newBed(t, testSettings(), 1, small("c", 0, -20), small("b", 0, -16), small("a", 0, -16), small("d", 1, -16))
	task := f.probe(0)
	task.Cores, task.Memory = 8, 8
	if worker := f.p.search.closestToFitting(task); worker == nil || worker.Worker != "a" {
		t.Errorf("kept %v, want a", worker)
	}
}

// TestSearchAllocatesNothing counts the allocations of a search once its slices have grown.
func TestSearchAllocatesNothing(t *testing.T) {
	f := largeFleet(t, 1000, levelled)
	task := f.probe(7)
	if n := testing.AllocsPerRun(100, func() { f.p.search.selectWorker(task) }); n > 0 {
		t.Errorf("%v allocations a search", n)
	}
}

// TestEqualsAreDrawnEvenly draws often among thousands of machines that are all alike.
func TestEqualsAreDrawnEvenly(t *testing.T) {
	const machines, mean = 4000, 10
	f := largeFleet(t, machines, func(*rand.Rand) float64 { return 0.3 })
	drawn := map[*workerInfo]int{}
	for range machines * mean {
		drawn[f.p.search.selectWorker(f.probe(0))]++
	}
	var squares float64
	for _, worker := range f.p.fleet.sorted {
		squares += math.Pow(float64(drawn[worker])-mean, 2) / mean
	}
	// The sum has the mean of the number of machines and a deviation of sqrt(2 machines).
	if limit := machines + 6*math.Sqrt(2*machines); squares > limit {
		t.Errorf("chi-square %.0f over %d machines, %.0f at most", squares, machines, limit)
	}
}

// TestChoiceInALargeFleet compares the cost of what is chosen with the lowest of all, as a
// large fleet is looked at in part.
func TestChoiceInALargeFleet(t *testing.T) {
	for _, share := range []struct {
		name string
		draw func(*rand.Rand) float64
	}{
		{"levelled", levelled},
		{"alike", func(random *rand.Rand) float64 { return 0.5 + 0.001*random.Float64() }},
		{"uneven", func(random *rand.Rand) float64 { return random.Float64() }},
	} {
		f := largeFleet(t, 4000, share.draw)
		var chosen, lowest float64
		for program := range uint64(200) {
			task := f.probe(program % 20) // 0 is none
			worker := f.p.search.selectWorker(task)
			least := math.Inf(1)
			for _, other := range f.p.fleet.sorted {
				least = min(least, f.p.search.scorer.score(other, task))
			}
			got := f.p.search.scorer.score(worker, task)
			if got > least+2*costMargin {
				t.Errorf("%s: cost %v at %s, the lowest is %v", share.name, got, worker.Worker, least)
			}
			chosen, lowest = chosen+got, lowest+least
		}
		// Drawn evenly among those within the margin, a choice costs half of that more.
		if loss := (chosen - lowest) / 200; loss > 0.75*costMargin {
			t.Errorf("%s: the chosen cost %.4f more than the lowest in the mean", share.name, loss)
		}
	}
}

// TestMeansOfALargeFleet has the means of a large fleet follow it after a second.
func TestMeansOfALargeFleet(t *testing.T) {
	f := largeFleet(t, maxEnumerated+1, func(*rand.Rand) float64 { return 0 })
	f.p.totals.means()
	entries := make([]Entry, len(f.p.fleet.sorted))
	for i, worker := range f.p.fleet.sorted {
		entries[i] = worker.Entry
		entries[i].FreeCores = 16
	}
	f.at(second/2, WorkerList{Kind: ListDelta, Entries: entries})
	if utilization, _ := f.p.totals.means(); utilization != 0 {
		t.Errorf("share %v before a second has passed, want that of before", utilization)
	}
	f.at(second/2, TimerFired{})
	if utilization, _ := f.p.totals.means(); math.Abs(utilization-0.5/f.p.capacity.baseline.cores) > 1e-9 {
		t.Errorf("share %v after a second, want %v", utilization, 0.5/f.p.capacity.baseline.cores)
	}
}

// TestRoomOfALargeFleet has the spare room of a large fleet follow it with the bell.
func TestRoomOfALargeFleet(t *testing.T) {
	f := largeFleet(t, maxEnumerated+1, func(*rand.Rand) float64 { return 0 })
	f.p.settings.UnitCores, f.p.settings.UnitMemory = 1, 2
	all := f.p.totals.freeUnits()
	for _, worker := range f.p.fleet.sorted {
		worker.attemptWindow = 0 // it may be offered nothing
	}
	f.at(retryInterval/2, TimerFired{})
	if got := f.p.totals.freeUnits(); got != all {
		t.Errorf("room %v before the bell is due, want %v as before", got, all)
	}
	f.at(retryInterval/2, TimerFired{})
	if got := f.p.totals.freeUnits(); got != 0 {
		t.Errorf("room %v with the bell, want none", got)
	}
}

// TestHeldTasksOfALargeFleet has held tasks looked at when the bell rings, and not at each
// change of the list, of which a large fleet has one in each turn.
func TestHeldTasksOfALargeFleet(t *testing.T) {
	for _, n := range []int{maxEnumerated, maxEnumerated + 1} {
		f := largeFleet(t, n, func(*rand.Rand) float64 { return 1.5 })
		if got := of[Place](f.at(ms, f.request("1", "safe", 1, 2))); len(got) > 0 {
			t.Fatalf("%d machines: placed %v in a full fleet", n, got)
		}
		room := small("m00007", 0, 20)
		atOnce := len(of[Place](f.at(ms, WorkerList{Kind: ListDelta, Entries: []Entry{room}})))
		if want := map[bool]int{true: 1}[n <= maxEnumerated]; atOnce != want {
			t.Errorf("%d machines: %d tasks placed as room was told, want %d", n, atOnce, want)
		}
		if later := len(of[Place](f.at(retryInterval, TimerFired{Ref: "wake"}))); atOnce+later != 1 {
			t.Errorf("%d machines: %d tasks placed by the bell, want 1 in all", n, later)
		}
	}
}

// TestDepartedMachinesAreForgotten has nothing left of machines that went.
func TestDepartedMachinesAreForgotten(t *testing.T) {
	f := largeFleet(t, 100, levelled)
	for i := range 30 {
		f.started(fmt.Sprint(i))
	}
	gone := WorkerList{Kind: ListDelta}
	for _, worker := range f.p.fleet.sorted {
		entry := worker.Entry
		entry.State = Removed
		gone.Entries = append(gone.Entries, entry)
	}
	f.at(ms, gone)
	for requestID, task := range f.p.requests.tasks {
		f.at(0, AttemptEnded{RequestID: requestID, Attempt: len(task.attempts) - 1, Outcome: Completed, Final: true})
	}
	f.at(ms, WorkerList{Kind: ListDelta})
	f.p.fleet.refresh()
	scheduler := f.p
	if left := len(scheduler.fleet.sorted) + len(scheduler.fleet.workers) + len(scheduler.fleet.unlisted) + len(scheduler.residents.workers) + len(scheduler.affinity.preferred) + countEntries(scheduler); left != 0 {
		t.Errorf("left: %d machines by name, %d departed, %d programs, %d preferred, %d entries",
			len(scheduler.fleet.sorted), len(scheduler.fleet.unlisted), len(scheduler.residents.workers), len(scheduler.affinity.preferred), countEntries(scheduler))
	}
	if scheduler.loads.requestedCores != 0 && math.Abs(scheduler.loads.requestedCores) > 1e-9 || scheduler.loads.listedCapacity != (fractions{}) {
		t.Errorf("left: %v cores asked of %+v", scheduler.loads.requestedCores, scheduler.loads.listedCapacity)
	}
}

// started has a task placed and accepted.
func (b *bed) started(requestID string) {
	b.t.Helper()
	got := of[Place](b.at(ms, b.request(requestID, "safe", 1, 2)))
	if len(got) != 1 {
		b.t.Fatalf("%d places of task %s, want 1", len(got), requestID)
	}
	b.at(ms, Accepted{RequestID: requestID, Worker: got[0].Worker, RTTUs: ms})
}
